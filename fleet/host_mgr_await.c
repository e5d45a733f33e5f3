#include <string.h>

#include "fleet/host_mgr_priv.h"

/* Hosts on their way to a pool that needs them, and what such a need waits
   for.  */

/* Time after its cooldown for which a host that has come to a pool counts as
   on its way there at least: the pool's owner may not have noticed it yet.  */
#define ARRIVAL_US 1000000
/* Time after the grace in which an owner that answers reports a host as empty:
   the tasks end and the report is read in 0.2 s.  */
#define VACATE_LATE_US 500000
/* Time in which the platform answers an order if it answers any: it takes some
   milliseconds, and 50 times as long when the platform is slow.  */
#define ORDER_LATE_US 1000000
/* A list that was requested this long after a move was ordered shows the host
   with its new worker: the move takes 1.5 s, and the list shows the hosts as
   they were up to 1 s before.  */
#define MOVE_LATE_US 3000000
/* Late hosts that are replaced at a time, for each host that is wanted.  */
#define REPLACED_MAX 2
/* Time after its pause for which a host that its pool refused to vacate counts
   as a reason for a needed host, but for one of a task that has no run.  The
   tasks there run, and only the host cannot be vacated: that is no reason to
   stop the work of others.  */
#define REFUSED_SPAN_US 10000000
/* A need is reported when it has lasted this long, and again after the
   interval.  Most last for an order, a move and the next list of hosts, of 2
   to 2.5 s in all.  */
#define AWAITED_DELAY_US 2500000
#define AWAITED_INTERVAL_US 5000000
/* No need is reported when its pool's last demand is older than this.  */
#define AWAITED_AGE_MAX_US 10000000

bool
host_mgr_host_has_label (const struct mgr_host *host, const char *label)
{
  for (size_t n = 0; n < host->rep.label_count; n++)
    if (strcmp (host->rep.labels[n], label) == 0)
      return true;
  return !*label;
}

bool
host_mgr_has_arrived (const struct mgr_host *host, const struct mgr_pool *pool,
                      int64_t now_us)
{
  return host->current_op == OP_NONE && host->listed
         && host->rep.state != HOST_DOWN
         && (now_us < host->cooldown_until_us + ARRIVAL_US
             || pool->demand_us < host->phase_began_us)
         && strcmp (host->dest_pool, pool->name) == 0
         && strcmp (host->rep.pool, pool->name) == 0;
}

bool
host_mgr_moves_to (const struct mgr_host *host, const char *name)
{
  return host->current_op == OP_MOVE && strcmp (host->dest_pool, name) == 0;
}

bool
host_mgr_is_late (const struct host_mgr *mgr, const struct mgr_host *host,
                  bool needed, int64_t now_us)
{
  if (host->rep.state == HOST_DOWN)
    return true;
  switch (host->phase)
    {
    case PHASE_NONE:
    case PHASE_EMPTY:
      return false;
    case PHASE_VACATING:
      /* Other work can wait for the next owner: a host more would cost more
         than it gains.  */
      return needed
             && now_us > host->op_began_us + host->grace_ms * 1000
                             + VACATE_LATE_US;
    case PHASE_ORDERED:
      /* When the platform answers no orders, no other host comes either.  */
      return (host->order_busy && host->rep.state != HOST_MOVING)
             || mgr->answered_us > host->phase_began_us + ORDER_LATE_US;
    case PHASE_AWAITING_WORKER:
      return host->listed_us > host->phase_began_us + MOVE_LATE_US;
    }
  return false;
}

uint32_t
host_mgr_count_coming (uint32_t on_time, uint32_t late, uint32_t wanted)
{
  uint32_t replaced = wanted * REPLACED_MAX;
  return on_time + (late > replaced ? late - replaced : 0);
}

uint32_t
host_mgr_count_refused (const struct host_mgr *mgr,
                        const struct mgr_pool *pool, int64_t now_us)
{
  uint32_t refused = 0;
  for (size_t n = 0; pool->needed_hosts > 0 && n < mgr->host_count; n++)
    refused += mgr->hosts[n].refusals > 0
               && now_us < mgr->hosts[n].refused_until_us + REFUSED_SPAN_US
               && strcmp (mgr->hosts[n].rep.pool, pool->name) == 0;
  return refused;
}

/* Why HOST of another pool, which has the label, is not taken, or is free.  */
static enum host_obstacle
find_obstacle (const struct host_mgr *mgr, const struct mgr_host *host,
               int64_t now_us)
{
  if (host->rep.state != HOST_UP)
    return OBSTACLE_NOT_UP;
  if (host->phase != PHASE_NONE)
    return OBSTACLE_OPERATION;
  if (now_us < host->refused_until_us)
    return OBSTACLE_REFUSED;
  if (now_us < host->cooldown_until_us)
    return OBSTACLE_COOLING;
  if (mgr->rows[host->pool_row].spare)
    return OBSTACLE_NONE_SPARE;
  return host_mgr_host_is_idle (mgr, host) ? OBSTACLE_NONE_IDLE
                                           : OBSTACLE_IN_USE;
}

static void
describe_need (const struct host_mgr *mgr, const struct mgr_pool *pool,
               int64_t now_us, struct awaited_report *rep)
{
  *rep = (struct awaited_report){ .pool = pool,
                                  .for_us = now_us - pool->needed_since_us };
  rep->kept = host_mgr_count_refused (mgr, pool, now_us);
  for (size_t n = 0; n < mgr->host_count; n++)
    {
      const struct mgr_host *host = &mgr->hosts[n];
      bool comes = host_mgr_moves_to (host, pool->name)
                   || host_mgr_has_arrived (host, pool, now_us);
      if (!host->listed
          || (!comes && strcmp (host->rep.pool, pool->name) == 0))
        continue;
      if (!host_mgr_host_has_label (host, pool->needed_label))
        rep->obstacles[OBSTACLE_LABEL]++;
      else if (comes)
        {
          rep->incoming++;
          rep->late += host_mgr_is_late (mgr, host, true, now_us);
          if (!rep->host || host->op_began_us < rep->host->op_began_us)
            rep->host = host;
        }
      else
        rep->obstacles[find_obstacle (mgr, host, now_us)]++;
    }
}

bool
host_mgr_next_awaited (struct host_mgr *mgr, int64_t now_us,
                       struct awaited_report *rep)
{
  for (size_t n = 0; n < mgr->pool_count; n++)
    {
      struct mgr_pool *pool = &mgr->pools[n];
      if (pool->needed_hosts == 0 || !pool->needed_since_us
          || now_us < pool->needed_since_us + AWAITED_DELAY_US
          || now_us > pool->demand_us + AWAITED_AGE_MAX_US
          || now_us < pool->next_awaited_us)
        continue;
      pool->next_awaited_us = now_us + AWAITED_INTERVAL_US;
      describe_need (mgr, pool, now_us, rep);
      return true;
    }
  return false;
}
