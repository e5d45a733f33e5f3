#include "wave/wave_plan.h"

/* Decides the next action for one host in maintenance.  */

/* Number of call results after a step's time limit before the host is recorded
   as failed.  Time alone is not enough, because there may have been no planner
   when the limit passed.  */
#define LATE_RESULTS_MIN 5

static const struct wave_decision wait_decision
    = { .action = WAVE_ACTION_WAIT };
static const struct wave_decision operate_decision
    = { .action = WAVE_ACTION_OPERATE };

static struct wave_decision
record_decision (enum wave_step step, enum wave_reason reason)
{
  return (struct wave_decision){ WAVE_ACTION_RECORD, step, reason };
}

static struct wave_decision
action_decision (enum wave_action action)
{
  return (struct wave_decision){ .action = action };
}

enum host_op
wave_step_op (enum wave_step step)
{
  switch (step)
    {
    case WAVE_DRAINING:
      return HOST_OP_DRAIN;
    case WAVE_REBOOTING:
      return HOST_OP_REBOOT;
    default:
      return HOST_OP_RETURN;
    }
}

int64_t
wave_step_limit_ms (const struct wave_plan_settings *set, enum wave_step step)
{
  switch (step)
    {
    case WAVE_DRAINING:
      return set->drain_limit_ms;
    case WAVE_REBOOTING:
      return set->reboot_limit_ms;
    default:
      return set->check_limit_ms;
    }
}

static struct wave_decision
draining_next (const struct wave_plan_settings *set, const struct wave *wv,
               const struct wave_observation *obs, int64_t elapsed_ms,
               bool may_drain)
{
  /* A drain that takes effect after the return would leave the host out of
     service permanently.  */
  if (obs->unresolved && !obs->done)
    return operate_decision;
  /* A host that has not been rebooted is returned to service at once.  */
  if (wv->state == WAVE_CANCELLED)
    return record_decision (WAVE_CHECKING, WAVE_REASON_CANCELLED);
  if (!obs->done)
    return may_drain ? operate_decision : wait_decision;
  if ((obs->has_health && obs->slots_in_use == 0)
      || elapsed_ms >= set->drain_limit_ms)
    return record_decision (WAVE_REBOOTING, WAVE_REASON_NONE);
  return action_decision (WAVE_ACTION_HEALTH);
}

static struct wave_decision
rebooting_next (const struct wave_observation *obs)
{
  if (obs->done
      && (obs->state == HOST_ACTUAL_LIVE || obs->state == HOST_ACTUAL_LEAVING))
    return record_decision (WAVE_CHECKING, WAVE_REASON_NONE);
  if (obs->late_results >= LATE_RESULTS_MIN)
    return record_decision (WAVE_FAILED, WAVE_REASON_NO_RETURN);
  return obs->done ? action_decision (WAVE_ACTION_GET) : operate_decision;
}

static struct wave_decision
checking_next (const struct wave_observation *obs)
{
  if (obs->done && obs->state == HOST_ACTUAL_LIVE && obs->has_health
      && obs->healthy)
    return record_decision (WAVE_BACK, WAVE_REASON_NONE);
  if (obs->late_results >= LATE_RESULTS_MIN)
    return record_decision (WAVE_FAILED, WAVE_REASON_NOT_HEALTHY);
  if (!obs->done)
    return operate_decision;
  return action_decision (obs->state == HOST_ACTUAL_LIVE ? WAVE_ACTION_HEALTH
                                                         : WAVE_ACTION_GET);
}

struct wave_decision
wave_step_next (const struct wave_plan_settings *set, const struct wave *wv,
                const struct wave_host *wh, const struct wave_observation *obs,
                int64_t elapsed_ms, bool may_drain)
{
  if (obs->refused)
    return record_decision (WAVE_FAILED, WAVE_REASON_REFUSED);
  switch (wh->step)
    {
    case WAVE_DRAINING:
      return draining_next (set, wv, obs, elapsed_ms, may_drain);
    case WAVE_REBOOTING:
      return rebooting_next (obs);
    case WAVE_CHECKING:
      return checking_next (obs);
    default:
      return wait_decision;
    }
}
