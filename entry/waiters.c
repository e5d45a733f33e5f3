#include <sys/time.h>
#include <tevent.h>
#include <utlist.h>

#include "entry/traffic_priv.h"

/* Waiting requests are also retried at this interval, because slots that peers
   release become known from their deltas and not from the end of a request of
   this process.  */
#define WAITERS_RETRY_US 2000

static void arm_timer (struct traffic *trf);

static void
on_timer (struct tevent_context *ev, struct tevent_timer *te,
          struct timeval tv, void *arg)
{
  struct traffic *trf = arg;
  struct request *req;
  struct request *next;

  trf->waiters_timer = NULL;
  trf->serving_waiters = true;
  DL_FOREACH_SAFE2 (trf->waiters, req, next, wait_next)
  flow_send_attempt (trf, req);
  trf->serving_waiters = false;
  if (trf->waiters)
    arm_timer (trf);
}

static void
arm_timer (struct traffic *trf)
{
  if (!trf->waiters_timer)
    trf->waiters_timer = tevent_add_timer (
        trf->ev, trf->ev, tevent_timeval_current_ofs (0, WAITERS_RETRY_US),
        on_timer, trf);
}

void
waiters_add (struct traffic *trf, struct request *req)
{
  if (req->waits_for_target)
    return;
  req->state = REQUEST_WAIT_TARGET;
  request_trace_record_step (trf, req, TRACE_WAIT_TARGET, 0, 0);
  req->waits_for_target = true;
  DL_APPEND2 (trf->waiters, req, wait_prev, wait_next);
  trf->waiter_count++;
  arm_timer (trf);
}

void
waiters_remove (struct traffic *trf, struct request *req)
{
  if (!req->waits_for_target)
    return;
  DL_DELETE2 (trf->waiters, req, wait_prev, wait_next);
  trf->waiter_count--;
  req->waits_for_target = false;
}

bool
waiters_any (const struct traffic *trf, uint32_t pool)
{
  const struct request *req;
  DL_FOREACH2 (trf->waiters, req, wait_next)
  if (req->pool == pool && req->query.avoid_count == 0)
    return true;
  return false;
}

void
waiters_serve (struct traffic *trf, uint32_t pool)
{
  struct request *req;
  struct request *next;

  if (trf->serving_waiters)
    return;
  trf->serving_waiters = true;
  DL_FOREACH_SAFE2 (trf->waiters, req, next, wait_next)
  {
    bool any_target = req->query.avoid_count == 0;
    uint32_t count = trf->waiter_count;
    if (req->pool != pool)
      continue;
    flow_send_attempt (trf, req);
    if (any_target && trf->waiter_count == count)
      break;
  }
  trf->serving_waiters = false;
}
