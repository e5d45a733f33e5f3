#include "wave/wave_plan.h"

/* What is done next for one host under way.  */

/* After a step's limit a planner looks so often before it gives the host up,
   because there may have been no planner while the limit passed.  */
#define LATE_TRIES_MIN 5

static const struct wave_move wait_move = { .next = WAVE_NEXT_WAIT };
static const struct wave_move operate = { .next = WAVE_NEXT_OPERATE };

static struct wave_move
record (enum wave_step step, enum wave_reason reason)
{
  return (struct wave_move){ WAVE_NEXT_RECORD, step, reason };
}

static struct wave_move
ask (enum wave_next next)
{
  return (struct wave_move){ .next = next };
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

static struct wave_move
draining_next (const struct wave_plan_settings *set, const struct wave *wv,
               const struct wave_seen *seen, int64_t elapsed_ms,
               bool may_drain)
{
  /* A drain that landed after the return would take the host out of service
     for good.  */
  if (seen->unresolved && !seen->done)
    return operate;
  /* A host that was not rebooted yet is returned at once.  */
  if (wv->state == WAVE_CANCELLED)
    return record (WAVE_CHECKING, WAVE_REASON_CANCELLED);
  if (!seen->done)
    return may_drain ? operate : wait_move;
  if ((seen->has_health && seen->slots_in_use == 0)
      || elapsed_ms >= set->drain_limit_ms)
    return record (WAVE_REBOOTING, WAVE_REASON_NONE);
  return ask (WAVE_NEXT_HEALTH);
}

static struct wave_move
rebooting_next (const struct wave_seen *seen)
{
  if (seen->done
      && (seen->state == HOST_ACTUAL_LIVE
          || seen->state == HOST_ACTUAL_LEAVING))
    return record (WAVE_CHECKING, WAVE_REASON_NONE);
  if (seen->late_tries >= LATE_TRIES_MIN)
    return record (WAVE_FAILED, WAVE_REASON_NO_RETURN);
  return seen->done ? ask (WAVE_NEXT_GET) : operate;
}

static struct wave_move
checking_next (const struct wave_seen *seen)
{
  if (seen->done && seen->state == HOST_ACTUAL_LIVE && seen->has_health
      && seen->healthy)
    return record (WAVE_BACK, WAVE_REASON_NONE);
  if (seen->late_tries >= LATE_TRIES_MIN)
    return record (WAVE_FAILED, WAVE_REASON_NOT_HEALTHY);
  if (!seen->done)
    return operate;
  return ask (seen->state == HOST_ACTUAL_LIVE ? WAVE_NEXT_HEALTH
                                              : WAVE_NEXT_GET);
}

struct wave_move
wave_step_next (const struct wave_plan_settings *set, const struct wave *wv,
                const struct wave_host *wh, const struct wave_seen *seen,
                int64_t elapsed_ms, bool may_drain)
{
  if (seen->refused)
    return record (WAVE_FAILED, WAVE_REASON_REFUSED);
  switch (wh->step)
    {
    case WAVE_DRAINING:
      return draining_next (set, wv, seen, elapsed_ms, may_drain);
    case WAVE_REBOOTING:
      return rebooting_next (seen);
    case WAVE_CHECKING:
      return checking_next (seen);
    default:
      return wait_move;
    }
}
