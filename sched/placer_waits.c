#include "base/clock.h"
#include "base/log.h"
#include "sched/placer_priv.h"

/* Reports runs that have waited for some time: for the answer to their start,
   to be listed by their worker, or for their end after a stop.  */

/* Runs that wait for less are not reported.  Workers list runs every 1.3 s at
   most, and runs end within about 1 s of their stop.  */
#define WAIT_REPORT_US 2000000
#define WAIT_CHECK_INTERVAL_US 200000
/* Least time between two reports of one run, and time in which a pool has at
   most WAIT_REPORTS_MAX of each kind of wait.  */
#define WAIT_REPORT_INTERVAL_US 5000000
#define WAIT_REPORTS_MAX 4

int64_t
placer_run_waits_since_us (const struct run *run)
{
  switch (run->state)
    {
    case RUN_STARTING:
      return run->created_us;
    case RUN_STOPPING:
      return run->stop_wanted_us;
    case RUN_ACTIVE:
      break;
    }
  return run->seen_us > run->confirmed_us ? run->seen_us : run->confirmed_us;
}

/* The wait of an active run on a worker that does not answer ends with its
   lease.  */
static enum wait_kind
wait_kind (const struct run *run)
{
  return run->state == RUN_ACTIVE && run->wrk->unanswered_calls > 0
             ? WAIT_LEASE
             : WAIT_OTHER;
}

/* Runs that were not reported yet come first, then the longest waits.  */
static bool
reported_before (const struct run *a, const struct run *b)
{
  if ((a->wait_reported_us == 0) != (b->wait_reported_us == 0))
    return a->wait_reported_us == 0;
  return placer_run_waits_since_us (a) < placer_run_waits_since_us (b);
}

/* Counts the runs that wait and returns the one of KIND to be reported next,
   or NULL.  */
static struct run *
next_report (const struct placer *plc, enum wait_kind kind, int64_t now_us,
             uint32_t *waiting)
{
  struct run *next = NULL;
  *waiting = 0;
  for (size_t n = 0; n < plc->pool.count; n++)
    for (struct run *run = plc->pool.workers[n]->runs; run; run = run->next)
      {
        if (now_us - placer_run_waits_since_us (run) < WAIT_REPORT_US)
          continue;
        ++*waiting;
        if (wait_kind (run) == kind
            && (run->wait_reported_us == 0
                || now_us - run->wait_reported_us >= WAIT_REPORT_INTERVAL_US)
            && (!next || reported_before (run, next)))
          next = run;
      }
  return next;
}

static const char *
stop_state (const struct run *run)
{
  return !run->stop_wanted ? "none"
         : run->stopped_us ? "acknowledged"
         : run->stop_sent  ? "sent"
                           : "due";
}

static int64_t
age_ms (int64_t now_us, int64_t at_us)
{
  return at_us ? (now_us - at_us) / 1000 : -1;
}

static void
log_wait (const struct placer *plc, const struct run *run, uint32_t waiting,
          int64_t now_us)
{
  static const char *const states[] = {
    [RUN_STARTING] = "starting",
    [RUN_ACTIVE] = "active",
    [RUN_STOPPING] = "stopping",
  };
  const struct worker *wrk = run->wrk;
  const char *obstacle = placer_start_obstacle (plc, now_us);
  char name[TASK_NAME_MAX];
  task_ref_format (&run->ref, name);
  log_event (
      plc->env.lg, EV_RUN_WAITS, LOG_S ("pool", plc->set.pool),
      LOG_S ("task", name), LOG_I ("run", run->number),
      LOG_S ("worker", wrk->rep.id),
      LOG_S ("state", run->unsent ? "recording" : states[run->state]),
      LOG_I ("for_ms", (now_us - placer_run_waits_since_us (run)) / 1000),
      LOG_I ("runs", waiting),
      LOG_I ("start_unanswered", run->start_unanswered),
      LOG_I ("confirmed_ms", age_ms (now_us, run->confirmed_us)),
      LOG_I ("listed_ms", age_ms (now_us, run->seen_us)),
      LOG_S ("stop", stop_state (run)),
      LOG_I ("stop_sent_ms", age_ms (now_us, run->stop_sent_us)),
      LOG_I ("stop_acknowledged_ms", age_ms (now_us, run->stopped_us)),
      LOG_I ("calls", run->calls_in_flight),
      LOG_I ("unanswered", wrk->unanswered_calls),
      LOG_I ("hold_answered_ms", age_ms (now_us, wrk->hold_answered_us)),
      LOG_I ("incomplete", wrk->hold_incomplete),
      LOG_I ("ended_ms", age_ms (now_us, wrk->ended_us)),
      LOG_I ("instance_ms", age_ms (now_us, wrk->known_us)),
      LOG_I ("lease_left_ms",
             (placer_leases_end_us (plc, wrk) - now_us) / 1000),
      LOG_S ("owner", obstacle ? obstacle : "ready"));
}

void
placer_check_waits (struct placer *plc, int64_t now_us)
{
  struct run *run;
  uint32_t waiting;
  if (now_us < plc->next_waits_check_us)
    return;
  plc->next_waits_check_us = now_us + WAIT_CHECK_INTERVAL_US;
  if (now_us - plc->wait_reports_us >= WAIT_REPORT_INTERVAL_US)
    {
      plc->wait_reports_us = now_us;
      plc->wait_reports[WAIT_OTHER] = plc->wait_reports[WAIT_LEASE] = 0;
    }
  for (int kind = 0; kind < WAIT_KINDS; kind++)
    while (plc->wait_reports[kind] < WAIT_REPORTS_MAX
           && (run = next_report (plc, kind, now_us, &waiting)))
      {
        plc->wait_reports[kind]++;
        run->wait_reported_us = now_us;
        log_wait (plc, run, waiting, now_us);
      }
}
