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
placer_lease_end (const struct placer *plc, const struct worker *wrk,
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

int64_t
placer_leases_end_us (const struct placer *plc, const struct worker *wrk)
{
  int64_t earlier_us = plc->earlier_leases_end_us;
  int64_t answered_us
      = wrk->first_answer_us
        + placer_add_lease_slack (plc->set.lease_max_ms * 1000);
  if (wrk->first_answer_us > 0 && answered_us < earlier_us)
    earlier_us = answered_us;
  return wrk->lease_end_us > earlier_us ? wrk->lease_end_us : earlier_us;
}

void
placer_note_lease (struct placer *plc, struct worker *wrk, int64_t now_us)
{
  int64_t until_us
      = now_us + placer_add_lease_slack (plc->set.lease_ms * 1000);
  if (until_us > wrk->lease_end_us)
    wrk->lease_end_us = until_us;
}

static void
log_long_lease (const struct placer *plc, const struct worker *wrk,
                int64_t span_ms, const char *reason)
{
  log_event (plc->env.lg, EV_WORKER_LONG_LEASE, LOG_S ("worker", wrk->rep.id),
             LOG_S ("pool", plc->set.pool), LOG_I ("lease_ms", span_ms),
             LOG_S ("reason", reason));
}

void
placer_note_grant (struct placer *plc, struct worker *wrk,
                   int64_t lease_end_ms, int64_t clock_ms, int64_t now_us)
{
  int64_t span_ms = lease_end_ms - clock_ms;
  if (lease_end_ms == 0 || clock_ms == 0)
    return;
  /* The clock of a worker that has restarted begins anew, so a lease until a
     time on its earlier clock is as long as the worker allows.  */
  if (span_ms > plc->set.lease_max_ms)
    span_ms = plc->set.lease_max_ms;
  if (span_ms > plc->set.lease_ms && !wrk->long_lease_logged)
    log_long_lease (plc, wrk, span_ms, "other_clock");
  wrk->long_lease_logged = span_ms > plc->set.lease_ms;
  int64_t until_us = now_us + placer_add_lease_slack (span_ms * 1000);
  if (until_us > wrk->lease_end_us)
    wrk->lease_end_us = until_us;
}
