#include <string.h>

#include "fleet/host_mgr_priv.h"

/* Hosts on their way to a pool that needs them, and what such a need waits
   for.  */

/* Time after its cooldown for which a host that has come to a pool counts as
   on its way there: the pool's owner may not have reported since.  */
#define ARRIVAL_US 1000000
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
host_mgr_has_arrived (const struct mgr_host *host, const char *name,
                      int64_t now_us)
{
  return host->current_op == OP_NONE
         && now_us < host->cooldown_until_us + ARRIVAL_US
         && strcmp (host->dest_pool, name) == 0
         && strcmp (host->rep.pool, name) == 0;
}

bool
host_mgr_moves_to (const struct mgr_host *host, const char *name)
{
  return host->current_op == OP_MOVE && strcmp (host->dest_pool, name) == 0;
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
  for (size_t n = 0; n < mgr->host_count; n++)
    {
      const struct mgr_host *host = &mgr->hosts[n];
      bool comes = host_mgr_moves_to (host, pool->name)
                   || host_mgr_has_arrived (host, pool->name, now_us);
      if (!host->listed
          || (!comes && strcmp (host->rep.pool, pool->name) == 0))
        continue;
      if (!host_mgr_host_has_label (host, pool->needed_label))
        rep->obstacles[OBSTACLE_LABEL]++;
      else if (comes)
        {
          rep->incoming++;
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
