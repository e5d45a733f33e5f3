#include <string.h>
#include <talloc.h>

#include "base/log.h"
#include "wave/wave_codec.h"
#include "wave/wave_core_priv.h"

/* Hosts under way: what is asked of the platform next, and what its answers
   mean.  */

#define US_PER_MS 1000
/* With the lease held, so many refusals by the fence in a row mean that the
   host's fence was raised by something else than a planner.  */
#define FENCED_MAX 30

static void
free_task (struct priv *p, struct wave_task *task)
{
  HASH_DEL (p->tasks, task);
  talloc_free (task);
}

void
wave_core_drop_tasks (struct priv *p)
{
  struct wave_task *task;
  struct wave_task *tmp;
  HASH_ITER (hh, p->tasks, task, tmp)
    free_task (p, task);
}

static void
add_task (struct priv *p, struct wave_task *task)
{
  HASH_ADD_KEYPTR (hh, p->tasks, task->host, strlen (task->host), task);
}

/* The task of the host; NULL without memory.  */
static struct wave_task *
task_of (struct priv *p, const char host[WAVE_NAME_SIZE])
{
  struct wave_task *task;
  HASH_FIND_STR (p->tasks, host, task);
  if (task)
    return task;
  task = talloc_zero (p, struct wave_task);
  if (!task)
    return NULL;
  memcpy (task->host, host, sizeof task->host);
  add_task (p, task);
  return task;
}

static void
list_task (struct priv *p, const struct wave *wv, const struct wave_host *wh)
{
  struct wave_task *task = task_of (p, wh->name);
  if (!task)
    return;
  if (task->generation == wh->generation && strcmp (task->wave, wv->id) == 0)
    {
      task->listed = true;
      return;
    }
  /* A result of the former step no longer finds the task.  */
  memcpy (task->wave, wv->id, sizeof task->wave);
  memset (&task->seen, 0, sizeof task->seen);
  task->seen.slots_in_use = -1;
  task->generation = wh->generation;
  task->token = p->next_token++;
  task->open = false;
  task->listed = true;
  task->fenced = 0;
  task->next_us = 0;
}

void
wave_core_list_tasks (struct priv *p)
{
  struct wave_task *task;
  struct wave_task *tmp;
  const struct wave_lease *ls = wave_find_lease (&p->fold, p->set.data_centre);
  if (p->tasks_changes == p->fold.changes)
    return;
  p->tasks_changes = p->fold.changes;
  for (task = p->tasks; task; task = task->hh.next)
    task->listed = false;
  for (uint32_t w = 0; w < p->fold.count; w++)
    {
      const struct wave *wv = p->fold.waves[w];
      uint32_t left = wave_under_way (wv);
      for (uint32_t n = 0; n < wv->count && left > 0; n++)
        {
          const struct wave_host *wh = &wv->hosts[n];
          if (wh->step != WAVE_DRAINING && wh->step != WAVE_REBOOTING
              && wh->step != WAVE_CHECKING)
            continue;
          left--;
          if (&p->fold.leases[wh->centre] == ls)
            list_task (p, wv, wh);
        }
    }
  HASH_ITER (hh, p->tasks, task, tmp)
    if (!task->listed)
      free_task (p, task);
}

static bool
is_drained (void *arg, const char *wave, const char *host)
{
  struct priv *p = arg;
  struct wave_task *task;
  HASH_FIND_STR (p->tasks, host, task);
  return task && strcmp (task->wave, wave) == 0
         && (task->seen.done || task->seen.unresolved
             || (task->open && task->asked == WAVE_NEXT_OPERATE));
}

/* Whether the host may be drained by what is known of its pool now.  A drain
   that may have been done is repeated all the same.  */
static bool
may_drain (struct priv *p, int64_t now_us, const struct wave_task *task)
{
  struct wave_plan_input in = wave_core_input (p, now_us);
  if (task->seen.unresolved)
    return true;
  return p->fleet && now_us - p->fleet_us < p->set.fleet_age_ms * US_PER_MS
         && wave_core_replan (p, now_us)
         && wave_plan_may_drain (&in, p->plan, task->host, is_drained, p);
}

static struct wave_move
next_move (struct priv *p, int64_t now_us, const struct wave_task *task,
           const struct wave **wv, const struct wave_host **wh)
{
  *wv = wave_find (&p->fold, task->wave);
  *wh = *wv ? wave_find_host (*wv, task->host) : NULL;
  if (!*wh)
    return (struct wave_move){ .next = WAVE_NEXT_WAIT };
  bool drain = (*wh)->step == WAVE_DRAINING && !task->seen.done
               && (*wv)->state != WAVE_CANCELLED
               && may_drain (p, now_us, task);
  int64_t elapsed_ms = wave_core_log_ms (p, now_us) - (*wh)->since_ms;
  /* The budget may have held the drain back long after its record.  */
  if ((*wh)->step == WAVE_DRAINING && task->seen.done)
    elapsed_ms = (now_us - task->done_us) / US_PER_MS;
  return wave_step_next (&p->set.plan, *wv, *wh, &task->seen, elapsed_ms,
                         drain);
}

size_t
wave_core_task_steps (struct priv *p, int64_t now_us,
                      struct wave_step_item *steps, size_t count, size_t max)
{
  wave_core_list_tasks (p);
  for (struct wave_task *task = p->tasks; task && count < max;
       task = task->hh.next)
    {
      const struct wave *wv;
      const struct wave_host *wh;
      if (task->open)
        continue;
      struct wave_move mv = next_move (p, now_us, task, &wv, &wh);
      if (mv.next != WAVE_NEXT_RECORD)
        continue;
      uint32_t host
          = p->fleet ? wave_fleet_find (p->fleet, task->host) : FLEET_NONE;
      steps[count++] = (struct wave_step_item){
        .wave = wv->id,
        .host = wh->name,
        .generation = wh->generation,
        .step = mv.step,
        .reason = mv.reason,
        .pool = host == FLEET_NONE
                    ? ""
                    : p->fleet->pools[p->fleet->hosts[host].pool].name,
      };
    }
  return count;
}

/* Fills in what CALL needs.  Returns false when the host's address is not
   known.  */
static bool
make_call (struct priv *p, const struct wave_task *task, const struct wave *wv,
           const struct wave_host *wh, enum wave_next next,
           struct host_call *call)
{
  *call = (struct host_call){ .host = task->host, .fence = p->fence };
  if (next == WAVE_NEXT_OPERATE)
    {
      wave_operation_id (wv, wh, p->operation_id);
      call->op = wave_step_op (wh->step);
      call->operation_id = p->operation_id;
      return true;
    }
  call->op = next == WAVE_NEXT_GET ? HOST_OP_GET : HOST_OP_HEALTH;
  if (next == WAVE_NEXT_GET)
    return true;
  uint32_t host
      = p->fleet ? wave_fleet_find (p->fleet, task->host) : FLEET_NONE;
  if (host == FLEET_NONE)
    return false;
  call->address = p->fleet->hosts[host].address;
  return true;
}

bool
wave_core_call (struct wave_core *core, int64_t now_us, struct host_call *call,
                uint64_t *token)
{
  struct priv *p = core->priv;
  if (!p->wanted || !wave_core_holds (core, now_us)
      || p->calls >= p->set.max_calls)
    return false;
  wave_core_list_tasks (p);
  for (struct wave_task *task = p->tasks; task; task = task->hh.next)
    {
      const struct wave *wv;
      const struct wave_host *wh;
      if (task->open || now_us < task->next_us)
        continue;
      struct wave_move mv = next_move (p, now_us, task, &wv, &wh);
      if (mv.next == WAVE_NEXT_WAIT || mv.next == WAVE_NEXT_RECORD)
        continue;
      if (!make_call (p, task, wv, wh, mv.next, call))
        {
          task->next_us = now_us + p->set.poll_ms * US_PER_MS;
          continue;
        }
      task->open = true;
      task->asked = mv.next;
      p->calls++;
      *token = task->token;
      return true;
    }
  return false;
}

static void
operation_ended (struct priv *p, int64_t now_us, struct wave_task *task,
                 const struct host_result *res)
{
  const struct wave *wv = wave_find (&p->fold, task->wave);
  const struct wave_host *wh = wv ? wave_find_host (wv, task->host) : NULL;
  struct wave_seen *seen = &task->seen;
  if (res->status != HOST_CALL_DONE)
    log_event (p->lg, EV_WAVE_CALL_FAILED, LOG_S ("host", task->host),
               LOG_I ("status", res->status));
  task->fenced = res->status == HOST_CALL_FENCED ? task->fenced + 1 : 0;
  switch (res->status)
    {
    case HOST_CALL_DONE:
      seen->done = true;
      task->done_us = now_us;
      seen->unresolved = false;
      task->next_us = now_us;
      if (wh && wh->step == WAVE_DRAINING)
        task->next_us += p->set.settle_ms * US_PER_MS;
      break;
    case HOST_CALL_REFUSED:
      seen->refused = true;
      break;
    case HOST_CALL_FENCED:
      seen->refused = task->fenced >= FENCED_MAX;
      break;
    case HOST_CALL_UNKNOWN:
      seen->unresolved = true;
      break;
    case HOST_CALL_NOT_DONE:
      break;
    }
}

static void
count_late (const struct priv *p, int64_t now_us, struct wave_task *task)
{
  const struct wave *wv = wave_find (&p->fold, task->wave);
  const struct wave_host *wh = wv ? wave_find_host (wv, task->host) : NULL;
  if (wh
      && wave_core_log_ms (p, now_us) - wh->since_ms
             >= wave_step_limit_ms (&p->set.plan, wh->step))
    task->seen.late_tries++;
}

void
wave_core_call_result (struct wave_core *core, int64_t now_us, uint64_t token,
                       const struct host_result *res)
{
  struct priv *p = core->priv;
  struct wave_task *task = p->tasks;
  if (p->calls > 0)
    p->calls--;
  while (task && task->token != token)
    task = task->hh.next;
  if (!task)
    return;
  task->open = false;
  task->next_us = now_us + p->set.poll_ms * US_PER_MS;
  if (task->asked == WAVE_NEXT_OPERATE)
    task->seen.unresolved
        = task->seen.unresolved || res->status == HOST_CALL_UNKNOWN;
  /* Without the lease another planner may have gone on meanwhile.  It is asked
     again under the same id once the lease is held again.  */
  if (!wave_core_holds (core, now_us))
    return;
  count_late (p, now_us, task);
  if (task->asked == WAVE_NEXT_OPERATE)
    operation_ended (p, now_us, task, res);
  else if (res->status != HOST_CALL_DONE)
    return;
  else if (task->asked == WAVE_NEXT_GET)
    {
      task->seen.state = res->state;
      /* A host that is live may be asked for its health at once.  */
      if (res->state == HOST_ACTUAL_LIVE)
        task->next_us = now_us;
    }
  else
    {
      task->seen.has_health = true;
      task->seen.healthy = res->healthy;
      task->seen.slots_in_use = res->slots_in_use;
    }
}
