#include "base/clock.h"
#include "base/log.h"
#include "sched/placer_priv.h"

/* The leases that commands give to the runs of a worker, and their ends as far
   as this owner can tell; see docs/design/instances.md.  */

int64_t
placer_add_lease_slack (int64_t span_us)
{
  return span_us + span_us * CLOCK_SLOW_MAX_PERCENT / 100 + ANSWER_TRANSIT_US;
}

int64_t
placer_lease_end_ms (const struct placer *plc, const struct worker *wrk,
                     int64_t now_us)
{
  /* Later owners count on leases that begin no later than this.  A command may
     be repeated after the check of the confirmation, or this process may be
     suspended between the check and the command.  */
  int64_t last_us = plc->confirmed_us + plc->set.confirm_ms * 1000;
  int64_t begin_us = now_us < last_us ? now_us : last_us;
  /* The slowest clock possible: on a faster one the lease is shorter, and
     never longer than later owners wait for.  */
  int64_t passed_us = begin_us - wrk->clock_read_us;
  if (passed_us > 0)
    passed_us -= passed_us * CLOCK_SLOW_MAX_PERCENT / 100;
  return wrk->clock_ms + passed_us / 1000 + plc->set.lease_ms;
}

static void
log_long_lease (const struct placer *plc, const struct worker *wrk,
                int64_t span_ms, const char *reason)
{
  log_event (plc->env.lg, EV_WORKER_LONG_LEASE, LOG_S ("worker", wrk->rep.id),
             LOG_S ("pool", plc->set.pool), LOG_I ("lease_ms", span_ms),
             LOG_S ("reason", reason));
}

struct timed_call
placer_timed_call (const struct worker *wrk, int64_t now_us,
                   int64_t lease_end_ms)
{
  return (struct timed_call){ .sent_us = now_us,
                              .generation = wrk->generation,
                              .clock_number = wrk->clock_number,
                              .lease_end_ms = lease_end_ms };
}

/* Whether CLOCK_MS, in an answer to CALL that is read at NOW_US, cannot be the
   clock of WRK that is known.  Answers may overtake each other.  */
static bool
is_other_clock (const struct worker *wrk, const struct timed_call *call,
                int64_t clock_ms, int64_t now_us)
{
  int64_t least_us = call->sent_us - wrk->clock_read_us;
  int64_t most_us = now_us - wrk->clock_sent_us;
  if (least_us > 0)
    least_us -= least_us * CLOCK_SLOW_MAX_PERCENT / 100;
  most_us += most_us * CLOCK_SLOW_MAX_PERCENT / 100;
  /* Both clocks are in whole milliseconds.  */
  return clock_ms < wrk->clock_ms + least_us / 1000 - 1
         || clock_ms > wrk->clock_ms + most_us / 1000 + 1;
}

static void
note_longest_lease (struct placer *plc, struct worker *wrk, int64_t from_us)
{
  int64_t until_us
      = from_us + placer_add_lease_slack (plc->set.lease_max_ms * 1000);
  if (until_us <= wrk->own_leases_end_us
      || until_us <= clock_now_us (plc->env.clk))
    return;
  wrk->own_leases_end_us = until_us;
  if (!wrk->long_lease_logged)
    log_long_lease (plc, wrk, plc->set.lease_max_ms, "no_answer");
  wrk->long_lease_logged = true;
}

static void
keep_later (int64_t *time_us, int64_t other_us)
{
  if (other_us > *time_us)
    *time_us = other_us;
}

/* The next instance of WRK may still carry out calls without an answer whose
   leases end by the clock before.  */
static void
begin_clock (struct placer *plc, struct worker *wrk)
{
  wrk->clock_number++;
  wrk->first_answer_us = 0;
  wrk->instance_seen = false;
  wrk->unlisted = true;
  placer_raise_generation (plc, wrk);
  keep_later (&wrk->earlier_late_leases_us, wrk->late_leases_us);
}

void
placer_end_earlier_leases (struct placer *plc, struct worker *wrk,
                           int64_t at_us)
{
  int64_t last_us = wrk->earlier_late_leases_us;
  if (last_us > 0)
    note_longest_lease (plc, wrk, last_us < at_us ? last_us : at_us);
  wrk->earlier_late_leases_us = 0;
}

bool
placer_note_clock (struct placer *plc, struct worker *wrk,
                   const struct timed_call *call, int64_t clock_ms)
{
  int64_t now_us = clock_now_us (plc->env.clk);
  bool known = wrk->clock_ms > 0;
  bool other = known && is_other_clock (wrk, call, clock_ms, now_us);
  /* An earlier instance may have answered.  */
  if ((!known || other) && call->clock_number != wrk->clock_number)
    return false;
  if (other)
    begin_clock (plc, wrk);
  wrk->clock_ms = clock_ms;
  wrk->clock_read_us = now_us;
  wrk->clock_sent_us = call->sent_us;
  return true;
}

void
placer_forget_clock (struct placer *plc, struct worker *wrk)
{
  if (wrk->clock_ms > 0)
    begin_clock (plc, wrk);
  wrk->clock_ms = 0;
}

void
placer_note_unanswered (struct placer *plc, struct worker *wrk,
                        const struct timed_call *call)
{
  int64_t late_us = call->sent_us + LATE_CALL_MAX_US;
  if (call->lease_end_ms == 0)
    return;
  keep_later (&wrk->late_leases_us, late_us);
  if (call->clock_number == wrk->clock_number)
    return;
  keep_later (&wrk->earlier_late_leases_us, late_us);
  if (wrk->generation_answered_us && wrk->generation > call->generation)
    placer_end_earlier_leases (plc, wrk, wrk->generation_answered_us);
}

int64_t
placer_leases_end_us (const struct placer *plc, const struct worker *wrk)
{
  int64_t earlier_us = plc->earlier_leases_end_us;
  int64_t answered_us
      = wrk->first_answer_us
        + placer_add_lease_slack (plc->set.lease_max_ms * 1000);
  if (wrk->first_answer_us > 0 && answered_us < earlier_us)
    earlier_us = answered_us;
  keep_later (&earlier_us, wrk->own_leases_end_us);
  if (wrk->earlier_late_leases_us > 0)
    keep_later (&earlier_us,
                wrk->earlier_late_leases_us
                    + placer_add_lease_slack (plc->set.lease_max_ms * 1000));
  return earlier_us;
}

void
placer_note_lease (struct placer *plc, struct worker *wrk, int64_t now_us)
{
  int64_t until_us
      = now_us + placer_add_lease_slack (plc->set.lease_ms * 1000);
  if (until_us > wrk->own_leases_end_us)
    wrk->own_leases_end_us = until_us;
}

/* Whether a worker that answers with STATUS may have extended leases.  */
static bool
extends_leases (enum command_status status)
{
  return status == COMMAND_DONE || status == COMMAND_STALE_RUN
         || status == COMMAND_NO_ROOM || status == COMMAND_NO_TICKET;
}

void
placer_note_grant (struct placer *plc, struct worker *wrk,
                   int64_t lease_end_ms, const struct command_result *res,
                   int64_t now_us)
{
  int64_t span_ms
      = res->clock_ms > 0 ? lease_end_ms - res->clock_ms : INT64_MAX;
  if (lease_end_ms == 0
      || (res->clock_ms == 0 && !extends_leases (res->status)))
    return;
  /* The clock of a worker that has restarted begins anew, so a lease until a
     time on its earlier clock is as long as the worker allows.  An answer
     without the clock may come from such a worker.  */
  if (span_ms > plc->set.lease_max_ms)
    span_ms = plc->set.lease_max_ms;
  if (span_ms > plc->set.lease_ms && !wrk->long_lease_logged)
    log_long_lease (plc, wrk, span_ms,
                    res->clock_ms > 0 ? "other_clock" : "no_clock");
  wrk->long_lease_logged = span_ms > plc->set.lease_ms;
  int64_t until_us = now_us + placer_add_lease_slack (span_ms * 1000);
  if (until_us > wrk->own_leases_end_us)
    wrk->own_leases_end_us = until_us;
}

void
placer_keep_removed (struct placer *plc, const struct worker *wrk)
{
  /* It may return under its id while late acknowledgements are on their
     way.  */
  bool raise = clock_now_us (plc->env.clk) < wrk->late_acks_us
               && wrk->generation + 1 < plc->set.token_count;
  uint32_t generation = wrk->generation + raise;
  if (generation > plc->removed_generation)
    plc->removed_generation = generation;
  if (wrk->late_leases_us > 0)
    keep_later (&plc->removed_leases_end_us,
                wrk->late_leases_us
                    + placer_add_lease_slack (plc->set.lease_max_ms * 1000));
}
