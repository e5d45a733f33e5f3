#include "base/clock.h"
#include "base/log.h"
#include "sched/placer_priv.h"

/* Runs that a worker which answers calls neither lists nor ends.  Its leases
   are no longer extended, so that all that runs there ends; see
   docs/design/instances.md.  */

/* Longest time that a run waits on a worker that answers.  A hold that got no
   answer delays the list of runs by 2.2 s, and a run ends within 1 s of its
   stop.  */
#define RUN_WAIT_MAX_US 2500000
/* Least time between two reports of one worker.  */
#define WITHHELD_REPORT_INTERVAL_US 5000000

/* Judged by the last call that was answered and not by the present time: this
   process may have been suspended.  */
static bool
is_overdue (const struct worker *wrk, int64_t since_us)
{
  return wrk->clock_sent_us - since_us >= RUN_WAIT_MAX_US;
}

static const struct run *
overdue_run (const struct worker *wrk)
{
  /* The link ends a start that gets no answer.  */
  for (const struct run *run = wrk->runs; run; run = run->next)
    if ((run->state != RUN_STARTING || run->start_unanswered) && !run->unsent
        && is_overdue (wrk, placer_run_waits_since_us (run)))
      return run;
  return NULL;
}

/* Whether a row that cannot be read may be a run of an earlier owner, which
   has to end with the leases that this owner gave.  */
static bool
may_hide_earlier_run (const struct placer *plc, const struct worker *wrk)
{
  return wrk->hold_incomplete && !wrk->settled && !plc->takeover_done;
}

static void
log_withheld (const struct placer *plc, const struct worker *wrk,
              const struct run *run, int64_t now_us)
{
  char name[TASK_NAME_MAX] = "";
  if (run)
    task_ref_format (&run->ref, name);
  log_event (plc->env.lg, EV_WORKER_LEASES_WITHHELD,
             LOG_S ("worker", wrk->rep.id), LOG_S ("pool", plc->set.pool),
             LOG_S ("task", name), LOG_I ("run", run ? run->number : 0),
             LOG_I ("incomplete", wrk->hold_incomplete),
             LOG_I ("unknown_runs", worker_has_unknown_runs (wrk)),
             LOG_I ("unanswered", wrk->unanswered_calls),
             LOG_I ("lease_left_ms",
                    (placer_leases_end_us (plc, wrk) - now_us) / 1000));
}

void
placer_check_overdue (struct placer *plc, struct worker *wrk)
{
  int64_t now_us = clock_now_us (plc->env.clk);
  const struct run *run = overdue_run (wrk);
  bool unknown = worker_has_unknown_runs (wrk)
                 && is_overdue (wrk, wrk->unknown_since_us);
  wrk->leases_withheld = run || unknown || may_hide_earlier_run (plc, wrk);
  if (!wrk->leases_withheld
      || (wrk->withheld_report_us > 0
          && now_us < wrk->withheld_report_us + WITHHELD_REPORT_INTERVAL_US))
    return;
  wrk->withheld_report_us = now_us;
  log_withheld (plc, wrk, run, now_us);
}
