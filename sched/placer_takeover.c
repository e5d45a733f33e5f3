#include "base/clock.h"
#include "base/log.h"
#include "sched/placer_record.h"

/* Whether this owner may send commands, and what earlier owners may still have
   started.  */

bool
placer_may_command (const struct placer *plc, int64_t now_us)
{
  return !plc->fenced && !plc->closing
         && now_us - plc->confirmed_us < plc->set.confirm_ms * 1000;
}

bool
placer_log_current (const struct placer *plc, int64_t now_us)
{
  int64_t read_us = plc->env.log_read_us (plc->env.arg);
  return read_us > 0 && now_us - read_us < LOG_AGE_MAX_US;
}

bool
placer_may_start (const struct placer *plc, int64_t now_us)
{
  return placer_may_command (plc, now_us)
         && now_us - plc->confirmed_us < plc->set.start_confirm_ms * 1000
         && placer_log_current (plc, now_us);
}

/* An earlier owner's leases have expired a lease span after its last command.
   It may send other commands for longer than starts, by the difference of the
   two limits.  */
int64_t
placer_earlier_starts_end_us (const struct placer *plc)
{
  return plc->earlier_leases_end_us
         - placer_lease_span_us (plc->set.lease_max_ms)
         - (plc->set.confirm_ms - plc->set.start_confirm_ms) * 1000;
}

bool
placer_worker_unreached (const struct placer *plc, const struct worker *wrk)
{
  if (wrk->settled)
    return false;
  /* The next instance is known, and may have been given tasks.  */
  if (wrk->registered && wrk->reported_born_ms > wrk->rep.born_ms)
    return true;
  return !wrk->reported_ended
         || (wrk->ended_list_us > 0
             && !placer_list_covers_earlier_starts (plc, wrk->ended_list_us));
}

const char *
placer_unreached (const struct placer *plc)
{
  if (plc->earlier_count > 0)
    return plc->earlier[0].id;
  for (size_t n = 0; n < plc->pool.count; n++)
    if (placer_worker_unreached (plc, plc->pool.workers[n]))
      return plc->pool.workers[n]->rep.id;
  return NULL;
}

static size_t
count_unreached (const struct placer *plc)
{
  size_t count = 0;
  for (size_t n = 0; n < plc->pool.count; n++)
    count += placer_worker_unreached (plc, plc->pool.workers[n]);
  for (size_t n = 0; n < plc->earlier_count; n++)
    {
      const struct worker *wrk = pool_find_id (&plc->pool, plc->earlier[n].id);
      count += !wrk || !placer_worker_unreached (plc, wrk);
    }
  return count;
}

void
placer_check_takeover (struct placer *plc, int64_t now_us)
{
  if (plc->takeover_done)
    return;
  const char *unreached = placer_unreached (plc);
  plc->takeover_done
      = (!unreached && now_us >= placer_earlier_starts_end_us (plc))
        || now_us > plc->earlier_leases_end_us;
  if (!plc->takeover_done)
    return;
  log_event (
      plc->env.lg, EV_PLACER_TAKEOVER_DONE, LOG_S ("pool", plc->set.pool),
      LOG_I ("after_ms", (now_us - plc->claimed_us) / 1000),
      LOG_S ("unreached", unreached ? unreached : "none"),
      LOG_I ("unreached_count", count_unreached (plc)),
      LOG_I ("lease_ms", plc->set.lease_max_ms),
      LOG_I ("leases_left_ms", (plc->earlier_leases_end_us - now_us) / 1000),
      LOG_I ("runs_recorded", plc->earlier_runs_known),
      LOG_I ("earlier_runs", plc->earlier_run_count));
  /* Nothing runs any more on the workers that did not answer, so that later
     owners need not wait for them.  */
  plc->enrol_stale
      = plc->enrol_stale || plc->earlier_count > 0 || !plc->earlier_runs_known;
  plc->earlier_count = 0;
  placer_forget_earlier_runs (plc);
}

bool
placer_may_still_run (const struct placer *plc, struct job *job,
                      const struct task_ref *ref)
{
  bool recorded;
  bool may_start
      = clock_now_us (plc->env.clk) < placer_earlier_starts_end_us (plc);
  if (plc->takeover_done || job->offset >= plc->set.fence_offset)
    return false;
  bool located = job_task (job, ref)->located_token == plc->set.token;
  if (!plc->earlier_runs_known || !job->spec.steps[ref->step].perpetual)
    return !located || may_start;
  /* Earlier owners start no other runs than those that their record names.  */
  const char *awaited = placer_awaited_worker (plc, ref, &recorded);
  return (awaited && !located) || (recorded && may_start);
}

const char *
placer_task_awaits (const struct placer *plc, struct job *job,
                    const struct task_ref *ref)
{
  bool recorded;
  return plc->earlier_runs_known && job->spec.steps[ref->step].perpetual
             ? placer_awaited_worker (plc, ref, &recorded)
             : placer_unreached (plc);
}

int64_t
placer_lease_span_us (int64_t lease_max_ms)
{
  int64_t lease_us = lease_max_ms * 1000;
  return lease_us + lease_us * CLOCK_SLOW_MAX_PERCENT / 100
         + COMMAND_TRANSIT_US;
}

void
placer_limit_earlier_leases (struct placer *plc, int64_t end_us)
{
  if (end_us < plc->earlier_leases_end_us)
    plc->earlier_leases_end_us = end_us;
}

bool
placer_takeover_done (const struct placer *plc)
{
  return plc->takeover_done;
}
