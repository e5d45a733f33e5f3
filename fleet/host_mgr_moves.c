#include <string.h>

#include "fleet/host_mgr_priv.h"

/* Moves of hosts between pools: to pools that are short of hosts, and of idle
   hosts to the spare pool.  */

/* A demand older than this causes no moves but for perpetual tasks.  */
#define DEMAND_AGE_MAX_US 4000000
/* What perpetual tasks need counts until the next owner reports, but no longer
   than a perpetual task may be without a run: the pool's owner may be
   replaced, and a host that comes in vain is given back.  */
#define NEED_AGE_MAX_US 9000000
/* An idle host moves to the spare pool after this time.  Moving it there and
   back costs as much as keeping it for about two seconds, and most load peaks
   of a queue begin as the peak of another one ends.  */
#define SPARE_DELAY_US 1500000

/* Most hosts that are vacated at a time for what one pool needs, if one of
   them is not idle.  A demand may pass, and each such host stops the batch
   work of its pool.  Late ones are not counted: they are replaced.  */
#define BUSY_HOSTS_MAX 2
/* Time for which a pool has to need a host before a busy one is taken for it.
   Most needs are over sooner, when tasks or hosts that were on their way have
   arrived.  */
#define BUSY_DELAY_US 500000
/* An owner whose last demand is older than this may have ended: it reports
   every 1.5 s, and a report is read within a second.  */
#define OWNER_SILENT_US 2500000
/* Cost of a host that such an owner has to vacate first, for what is needed:
   more than that of any other.  */
#define SILENT_COST 6
/* Hosts by which a pool that gives up a busy host has to be larger than the
   one that needs it.  After the move it is not smaller, so that no host is
   taken back for the same reason.  */
#define GIVER_LEAD_HOSTS 2
/* Of the hosts of a pool, one in this many at most is in an operation or not
   up when a busy one is taken, but always one may be.  */
#define GIVER_DIVISOR 3

/* What hosts are wanted for; the higher, the more important.  */
enum want
{
  WANT_LATE,   /* work that is late */
  WANT_URGENT, /* work that can be done in time */
  WANT_PLACES, /* perpetual tasks that have no place */
};

/* The hosts that one pool wants.  */
struct wish
{
  enum want want;
  const char *pool;
  const char *label;  /* that they must have; "": any */
  uint32_t incoming;  /* hosts that come to the pool and have it */
  uint32_t arrived;   /* those that have arrived just now */
  uint32_t vacating;  /* those that are not empty yet, and not late */
  uint32_t available; /* the pool's hosts that are not down, and those that
                         come */
  uint32_t busy_most; /* hosts for which busy ones may be taken */
};

/* Hosts that POOL needs for tasks without a place, rather than to be able to
   give up others.  Hosts that it has refused to vacate are a reason for needed
   ones, but not for those of tasks that have no run.  */
static uint32_t
count_placeless (const struct host_mgr *mgr, const struct mgr_pool *pool,
                 int64_t now_us)
{
  uint32_t refused = host_mgr_count_refused (mgr, pool, now_us);
  uint32_t others
      = pool->needed_hosts > refused ? pool->needed_hosts - refused : 0;
  return others > pool->placeless_hosts ? others : pool->placeless_hosts;
}

static struct wish
make_wish (const struct host_mgr *mgr, const struct mgr_pool *pool,
           enum want want, uint32_t wanted, int64_t now_us)
{
  uint32_t on_time = 0;
  uint32_t late = 0;
  struct wish wish
      = { .want = want,
          .pool = pool->name,
          .label = want == WANT_PLACES ? pool->needed_label : "" };
  for (uint32_t n = 0; n < mgr->row_count; n++)
    if (strcmp (mgr->rows[n].name, pool->name) == 0)
      wish.available = mgr->rows[n].all - mgr->rows[n].down;
  for (size_t n = 0; n < mgr->host_count; n++)
    {
      const struct mgr_host *host = &mgr->hosts[n];
      if (want == WANT_PLACES && host_mgr_host_has_label (host, wish.label))
        wish.arrived += host_mgr_has_arrived (host, pool, now_us);
      if (!host_mgr_moves_to (host, pool->name))
        continue;
      bool is_late = host_mgr_is_late (mgr, host, want == WANT_PLACES, now_us);
      wish.available += !is_late;
      if (!host_mgr_host_has_label (host, wish.label))
        continue;
      late += is_late;
      on_time += !is_late;
      wish.vacating += host->phase == PHASE_VACATING && !is_late;
    }
  wish.incoming = wish.arrived + host_mgr_count_coming (on_time, late, wanted);
  if (want == WANT_PLACES && wish.incoming < pool->needed_hosts
      && pool->needed_since_us
      && now_us >= pool->needed_since_us + BUSY_DELAY_US)
    wish.busy_most = count_placeless (mgr, pool, now_us);
  return wish;
}

/* The hosts that POOL lacks for its work, if it lacks COUNT in all.  A host
   with a certain label, of which there may be none, is not among them: others
   would be taken for it without end.  */
static uint32_t
without_labelled (const struct mgr_pool *pool, uint32_t count)
{
  uint32_t labelled = *pool->needed_label ? pool->needed_hosts : 0;
  return count > labelled ? count - labelled : 0;
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

static bool
demand_is_recent (const struct mgr_pool *pool, int64_t now_us)
{
  return now_us - pool->demand_us <= DEMAND_AGE_MAX_US;
}

/* Whether the pool ROW can give up a host that is not idle for WISH: it has
   many more hosts than the pool that needs one, and needs none itself.  Its
   owner may still refuse.  */
static bool
may_take_busy (const struct pool_row *row, const struct wish *wish,
               int64_t now_us)
{
  uint32_t out = row->unavailable + 1;
  return wish->incoming < wish->busy_most
         && demand_is_recent (row->demand, now_us)
         && row->demand->needed_hosts == 0 && wish->vacating < BUSY_HOSTS_MAX
         && (out == 1 || out * GIVER_DIVISOR <= row->all)
         && row->all >= row->unavailable + wish->available + GIVER_LEAD_HOSTS;
}

/* Cost to add for a host that the owner of its pool ROW has to vacate.  */
static int
silent_cost (const struct pool_row *row, const struct wish *wish,
             int64_t now_us)
{
  bool silent = now_us - row->demand->demand_us > OWNER_SILENT_US;
  return wish->want == WANT_PLACES && silent ? SILENT_COST : 0;
}

/* Cost of taking HOST for WISH, or -1 if it cannot be taken: preferably one
   that is about to move to the spare pool, next one in the spare pool, then an
   idle one of a pool that is not short itself.  For work that can be done in
   time or that is needed, next one that another pool uses for late work only,
   and for what is needed last one that another pool uses at all.  A host that
   a wave still has to maintain costs one more.  A host that has to be emptied
   first may not become so: for what is needed, one on its way to the spare
   pool is no better than an idle one, and one of a pool whose owner is silent
   comes last.  */
static int
host_cost (const struct host_mgr *mgr, const struct mgr_host *host,
           const struct wish *wish, int64_t now_us)
{
  const struct pool_row *row = &mgr->rows[host->pool_row];
  bool redirect = may_redirect (mgr, host);
  if ((!redirect && !host_mgr_may_begin_op (host, now_us))
      || strcmp (host->rep.pool, wish->pool) == 0
      || !host_mgr_host_has_label (host, wish->label))
    return -1;
  if (row->spare)
    return 1 + host->wave_pending;
  if (redirect && host->phase == PHASE_EMPTY)
    return host->wave_pending;
  if (!row->demand)
    return -1;
  const int extra = host->wave_pending + silent_cost (row, wish, now_us);
  if (redirect)
    return (wish->want == WANT_PLACES ? 3 : 0) + extra;
  if (host_mgr_host_is_idle (mgr, host))
    {
      if (without_labelled (row->demand, row->demand->short_hosts) == 0)
        return 3 + extra;
      if (wish->want >= WANT_URGENT
          && without_labelled (row->demand, row->demand->urgent_hosts) == 0)
        return 5 + extra;
    }
  return may_take_busy (row, wish, now_us) ? 7 + extra : -1;
}

static const char *
spare_pool (const struct host_mgr *mgr)
{
  for (size_t n = 0; n < mgr->cat->pool_count; n++)
    if (mgr->cat->pools[n].spare)
      return mgr->cat->pools[n].name;
  return NULL;
}

/* Begins the moves of as many hosts to POOL as it wants, those with the lowest
   cost first.  Returns true when there are not enough hosts, unless they are
   to have a certain label: idle hosts need not wait for that.  */
static bool
supply_pool (struct host_mgr *mgr, struct mgr_pool *pool, enum want want,
             int64_t now_us)
{
  uint32_t wanted = want == WANT_PLACES   ? pool->needed_hosts
                    : want == WANT_URGENT ? pool->urgent_hosts
                                          : pool->short_hosts;
  if (pool->needed_hosts == 0)
    pool->needed_since_us = 0;
  else if (!pool->needed_since_us)
    pool->needed_since_us = now_us;
  if (want != WANT_PLACES)
    wanted = wanted > pool->set_aside ? wanted - pool->set_aside : 0;
  struct wish wish = make_wish (mgr, pool, want, wanted, now_us);
  int next = 0;
  for (int cost = 0; cost >= 0 && wish.incoming < wanted; cost = next)
    {
      next = -1;
      for (size_t n = 0; n < mgr->host_count && wish.incoming < wanted; n++)
        {
          struct mgr_host *host = &mgr->hosts[n];
          int this_cost = host_cost (mgr, host, &wish, now_us);
          if (this_cost > cost && (next < 0 || this_cost < next))
            next = this_cost;
          if (this_cost != cost)
            continue;
          name_copy (host->dest_pool, pool->name);
          if (host->phase == PHASE_NONE)
            host_mgr_begin_op (mgr, host, OP_MOVE, now_us);
          wish.incoming++;
          wish.available++;
          wish.vacating += host->phase == PHASE_VACATING;
        }
    }
  uint32_t unmet = wish.incoming < wanted ? wanted - wish.incoming : 0;
  if (want == WANT_PLACES)
    pool->set_aside = (*wish.label ? unmet : 0)
                      + (wish.arrived < wanted ? wish.arrived : wanted);
  return unmet > 0 && !*wish.label;
}

/* Begins to move hosts that have been idle long enough to the pool SPARE.  */
static void
move_idle_to_spare (struct host_mgr *mgr, const char *spare, int64_t now_us)
{
  for (size_t n = 0; n < mgr->host_count; n++)
    {
      struct mgr_host *host = &mgr->hosts[n];
      const struct mgr_pool *pool = mgr->rows[host->pool_row].demand;
      if (!pool || without_labelled (pool, pool->short_hosts) > 0
          || !demand_is_recent (pool, now_us) || !host->idle_since_us
          || now_us < host->idle_since_us + SPARE_DELAY_US
          || !host_mgr_may_begin_op (host, now_us))
        continue;
      name_copy (host->dest_pool, spare);
      host_mgr_begin_op (mgr, host, OP_MOVE, now_us);
    }
}

/* Supplies the pools whose perpetual tasks lack places.  Those that need hosts
   only to be able to give up others come last, as all their tasks run.
   Returns true when there are not enough hosts.  */
static bool
supply_places (struct host_mgr *mgr, int64_t now_us)
{
  bool shortage = false;
  for (int placeless = 1; placeless >= 0; placeless--)
    for (size_t n = 0; n < mgr->pool_count; n++)
      {
        struct mgr_pool *pool = &mgr->pools[n];
        if (now_us - pool->demand_us <= NEED_AGE_MAX_US
            && (count_placeless (mgr, pool, now_us) > 0) == placeless)
          shortage = supply_pool (mgr, pool, WANT_PLACES, now_us) || shortage;
      }
  return shortage;
}

void
host_mgr_step_moves (struct host_mgr *mgr, int64_t now_us)
{
  const char *spare = spare_pool (mgr);
  /* Perpetual tasks without a place come first, then work that can be done in
     time, whichever pool it belongs to.  */
  bool shortage = supply_places (mgr, now_us);
  for (int want = WANT_URGENT; want >= WANT_LATE; want--)
    for (size_t n = 0; n < mgr->pool_count; n++)
      if (demand_is_recent (&mgr->pools[n], now_us))
        shortage = supply_pool (mgr, &mgr->pools[n], (enum want)want, now_us)
                   || shortage;
  if (spare && !shortage)
    move_idle_to_spare (mgr, spare, now_us);
}
