#include "base/log.h"
#include "node/node_priv.h"

/* Shutdown of the scheduler process after a stop signal.  */

/* The load balancer sends new connections until two readiness checks, a second
   apart, have failed; jobs are accepted for this time after a stop signal.  */
#define STOP_ACCEPT_MS 2600
/* Time before the end of the grace time at which the requests that still wait
   for the store are answered.  */
#define STOP_ANSWER_BEFORE_MS 600
/* Time before it at which the process ends in any case.  */
#define STOP_END_BEFORE_MS 300
#define STOP_POLL_MS 50

static void
on_stop_timer (void *arg)
{
  struct node *nod = arg;
  int64_t elapsed_ms = (clock_now_us (nod->clk) - nod->stop_us) / 1000;
  nod->rejects_jobs = elapsed_ms >= STOP_ACCEPT_MS;
  /* The answers are sent in the next pass of the event loop.  */
  int64_t left_ms = nod->set->grace_ms - elapsed_ms;
  bool answered
      = left_ms <= STOP_ANSWER_BEFORE_MS && node_answer_pending (nod);
  bool idle = nod->rejects_jobs && wire_front_open_requests (nod->frt) == 0;
  nod->stopped = !answered && (idle || left_ms <= STOP_END_BEFORE_MS);
  if (!nod->stopped)
    timer_add (nod->ev, nod, STOP_POLL_MS * 1000, on_stop_timer, nod);
}

void
node_begin_stop (struct node *nod)
{
  if (nod->stopping)
    return;
  nod->stopping = true;
  nod->stop_us = clock_now_us (nod->clk);
  log_event (nod->lg, EV_NODE_STOPPING, LOG_S ("name", nod->set->name),
             LOG_I ("open", wire_front_open_requests (nod->frt)));
  wire_front_drain (nod->frt);
  node_release_duties (nod);
  on_stop_timer (nod);
}
