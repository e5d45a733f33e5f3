#include <string.h>

#include "fleet/host_mgr_priv.h"

/* Moves of hosts between pools: to pools that are short of hosts, and of idle
   hosts to the spare pool.  */

/* A demand older than this causes no moves.  */
#define DEMAND_AGE_MAX_US 4000000
/* An idle host moves to the spare pool after this time.  Moving it there and
   back costs as much as keeping it for about two seconds, and most load peaks
   of a queue begin as the peak of another one ends.  */
#define SPARE_DELAY_US 1500000

/* Number of hosts with POOL as the destination of their move.  */
static uint32_t
count_incoming (const struct host_mgr *mgr, const char *pool)
{
  uint32_t count = 0;
  for (size_t n = 0; n < mgr->host_count; n++)
    count += mgr->hosts[n].current_op == OP_MOVE
             && strcmp (mgr->hosts[n].dest_pool, pool) == 0;
  return count;
}

/* Whether HOST can go to another pool because its move to the spare pool was
   not ordered yet.  */
static bool
may_redirect (const struct host_mgr *mgr, const struct mgr_host *host)
{
  return host->listed && host->current_op == OP_MOVE
         && (host->phase == PHASE_VACATING || host->phase == PHASE_EMPTY)
         && host_mgr_pool_is_spare (mgr, host->dest_pool);
}

/* Most different costs of a host in host_cost.  */
#define HOST_COSTS 7

/* Cost of taking HOST for the pool TARGET, or -1 if it cannot be taken:
   preferably one that is about to move to the spare pool, next one in the
   spare pool, then an idle one of a pool that is not short itself.  For URGENT
   work, which can be done in time, last one that another pool uses for late
   work only.  A host that a wave still has to maintain costs one more.  */
static int
host_cost (const struct host_mgr *mgr, const struct mgr_host *host,
           const char *target, bool urgent, int64_t now_us)
{
  const struct pool_row *row = &mgr->rows[host->pool_row];
  bool redirect = may_redirect (mgr, host);
  if ((!redirect && !host_mgr_may_begin_op (host, now_us))
      || strcmp (host->rep.pool, target) == 0)
    return -1;
  if (redirect || row->spare)
    return (redirect ? 0 : 1) + host->wave_pending;
  if (!row->demand || !host_mgr_host_is_idle (mgr, host))
    return -1;
  if (row->demand->short_hosts == 0)
    return 3 + host->wave_pending;
  return urgent && row->demand->urgent_hosts == 0 ? 5 + host->wave_pending
                                                  : -1;
}

static const char *
spare_pool (const struct host_mgr *mgr)
{
  for (size_t n = 0; n < mgr->cat->pool_count; n++)
    if (mgr->cat->pools[n].spare)
      return mgr->cat->pools[n].name;
  return NULL;
}

static bool
demand_is_recent (const struct mgr_pool *pool, int64_t now_us)
{
  return now_us - pool->demand_us <= DEMAND_AGE_MAX_US;
}

/* Begins the moves of as many hosts to POOL as it is short of, those with the
   lowest cost first; with URGENT, only for its urgent work.  Returns true when
   there are not enough hosts.  */
static bool
supply_pool (struct host_mgr *mgr, struct mgr_pool *pool, bool urgent,
             int64_t now_us)
{
  uint32_t wanted = urgent ? pool->urgent_hosts : pool->short_hosts;
  uint32_t incoming = count_incoming (mgr, pool->name);
  for (int cost = 0; cost < HOST_COSTS && incoming < wanted; cost++)
    for (size_t n = 0; n < mgr->host_count && incoming < wanted; n++)
      {
        struct mgr_host *host = &mgr->hosts[n];
        if (host_cost (mgr, host, pool->name, urgent, now_us) != cost)
          continue;
        name_copy (host->dest_pool, pool->name);
        if (host->phase == PHASE_NONE)
          host_mgr_begin_op (mgr, host, OP_MOVE, now_us);
        incoming++;
      }
  return incoming < wanted;
}

/* Begins to move hosts that have been idle long enough to the pool SPARE.  */
static void
move_idle_to_spare (struct host_mgr *mgr, const char *spare, int64_t now_us)
{
  for (size_t n = 0; n < mgr->host_count; n++)
    {
      struct mgr_host *host = &mgr->hosts[n];
      const struct mgr_pool *pool = mgr->rows[host->pool_row].demand;
      if (!pool || pool->short_hosts > 0 || !demand_is_recent (pool, now_us)
          || !host->idle_since_us
          || now_us < host->idle_since_us + SPARE_DELAY_US
          || !host_mgr_may_begin_op (host, now_us))
        continue;
      name_copy (host->dest_pool, spare);
      host_mgr_begin_op (mgr, host, OP_MOVE, now_us);
    }
}

void
host_mgr_step_moves (struct host_mgr *mgr, int64_t now_us)
{
  const char *spare = spare_pool (mgr);
  bool shortage = false;
  /* Work that can be done in time comes before late work, whichever pool it
     belongs to.  */
  for (int urgent = 1; urgent >= 0; urgent--)
    for (size_t n = 0; n < mgr->pool_count; n++)
      if (demand_is_recent (&mgr->pools[n], now_us))
        shortage
            = supply_pool (mgr, &mgr->pools[n], urgent, now_us) || shortage;
  if (spare && !shortage)
    move_idle_to_spare (mgr, spare, now_us);
}
