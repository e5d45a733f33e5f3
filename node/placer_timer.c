#include <talloc.h>

#include "node/node_priv.h"

/* When the placer of a pool that this process owns does its work.  */

/* Events within this time are handled by one tick of the placer.  */
#define TICK_BATCH_DELAY_US 3000
/* Pause between two ticks of the placer, in multiples of the first one's
   duration.  With a backlog a tick takes some milliseconds, and the process
   needs time to read the answers to its commands.  */
#define TICK_PAUSE_FACTOR 1
/* Longest such pause.  A tick in which the process was suspended seems to take
   seconds, and the leases of 5 s end without holds.  An owner with a large
   backlog and little processor time needs pauses of some 100 ms.  */
#define TICK_PAUSE_MAX_US 1000000

static void
on_placer_timer (void *arg)
{
  struct held_duty *hld = arg;
  hld->timer = NULL;
  hld->timer_us = 0;
  if (!hld->plc)
    return;
  int64_t begun_us = clock_now_us (hld->nod->clk);
  int64_t next_us = placer_tick (hld->plc);
  if (placer_awaits_others (hld->plc))
    node_confirm_others (hld);
  node_withdraw_rivals (hld);
  node_fleet_report (hld);
  node_update_admission (hld);
  node_publish_states (hld);
  if (placer_needs_confirmation (hld->plc))
    node_request_confirmation (hld->nod);
  hld->tick_ended_us = clock_now_us (hld->nod->clk);
  hld->tick_duration_us = hld->tick_ended_us - begun_us;
  node_schedule_placer (hld, next_us);
}

void
node_schedule_placer (struct held_duty *hld, int64_t at_us)
{
  int64_t now_us = clock_now_us (hld->nod->clk);
  int64_t pause_us = TICK_PAUSE_FACTOR * hld->tick_duration_us;
  if (pause_us > TICK_PAUSE_MAX_US)
    pause_us = TICK_PAUSE_MAX_US;
  int64_t pause_end_us = hld->tick_ended_us + pause_us;
  if (at_us < now_us + TICK_BATCH_DELAY_US)
    at_us = now_us + TICK_BATCH_DELAY_US;
  if (at_us < pause_end_us)
    at_us = pause_end_us;
  if (hld->timer && hld->timer_us <= at_us)
    return;
  talloc_free (hld->timer);
  int64_t wait_us = at_us - now_us;
  hld->timer = timer_add (hld->nod->ev, hld, wait_us, on_placer_timer, hld);
  hld->timer_us = at_us;
}
