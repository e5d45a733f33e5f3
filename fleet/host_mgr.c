#include "fleet/host_mgr_priv.h"

#include <string.h>
#include <talloc.h>

#include "base/err.h"

/* Time after which tasks on a host that is being vacated are stopped.  Most
   tasks take a second or two.  */
#define GRACE_MAINTENANCE_MS 5000
#define GRACE_MOVE_MS 1500
/* An operation is given up when its host is not empty after this time: the
   pool's owner may have failed, or the pool may be unable to do without the
   host.  */
#define VACATE_TIMEOUT_US 15000000
/* Delays before an order is repeated: after a failure, and to a busy host.  */
#define ORDER_RETRY_US 400000
#define BUSY_RETRY_US 1000000
/* A host that is listed as up this long after its order was done counts as
   returned, even without a new worker: an order that was already carried out
   for an earlier holder of the duty changes nothing.  Maintenance takes 2 s
   and a move 1.5 s.  */
#define RETURN_TIMEOUT_US 4500000
/* Time between the end of an operation on a host and the next one.  */
#define COOLDOWN_US 500000
/* Outside the spare pool, a host's maintenance begins only while no host of
   its pool, or less than one in this many, is in an operation or not up.  */
#define POOL_UNAVAILABLE_DIVISOR 3
/* While pools are short of hosts, a wave's maintenance is spread evenly over
   this part of the wave's duration, with a lead of WAVE_LEAD_US.  The rest of
   the duration is for hosts that are slow to vacate.  */
#define WAVE_PACING_PERCENT 40
#define WAVE_LEAD_US 2000000
/* Hosts that are vacated in advance, beyond the number of the wave's hosts
   that may be down at the same time.  */
#define WAVE_PREPARED_HOSTS 2

void
host_mgr_init (struct host_mgr *mgr, void *parent,
               const struct host_mgr_ops *ops)
{
  *mgr = (struct host_mgr){ .ops = *ops };
}

void
host_mgr_fini (struct host_mgr *mgr)
{
  struct host_index *row, *next;
  HASH_ITER (hh, mgr->by_name, row, next)
    {
      HASH_DEL (mgr->by_name, row);
      talloc_free (row);
    }
  talloc_free (mgr->hosts);
  talloc_free (mgr->early_progress);
  for (size_t n = 0; n < mgr->pool_count; n++)
    talloc_free (mgr->pools[n].idle);
  for (size_t n = 0; n < mgr->wave_count; n++)
    talloc_free (mgr->waves[n].wave);
  *mgr = (struct host_mgr){ 0 };
}

struct mgr_host *
host_mgr_find (const struct host_mgr *mgr, const char *host)
{
  struct host_index *row;
  HASH_FIND_STR (mgr->by_name, host, row);
  return row ? &mgr->hosts[row->index] : NULL;
}

/* A function of its own because the linter's limit on the size of a function
   counts the expansion of uthash's macros.  */
static void
add_index_row (struct host_mgr *mgr, struct host_index *row)
{
  HASH_ADD_KEYPTR (hh, mgr->by_name, row->name, strlen (row->name), row);
}

static struct mgr_host *
add_host (struct host_mgr *mgr, void *parent, const char *name)
{
  struct host_index *row = talloc_zero (parent, struct host_index);
  /* The array may move: orders in progress refer to hosts by name.  */
  struct mgr_host *hosts = talloc_realloc (parent, mgr->hosts, struct mgr_host,
                                           mgr->host_count + 1);
  if (hosts)
    mgr->hosts = hosts;
  if (!row || !hosts || mgr->host_count >= HOST_MGR_HOSTS_MAX)
    {
      talloc_free (row);
      return NULL;
    }
  name_copy (row->name, name);
  row->index = mgr->host_count;
  add_index_row (mgr, row);
  hosts[mgr->host_count] = (struct mgr_host){ 0 };
  return &hosts[mgr->host_count++];
}

static void
set_phase (struct mgr_host *host, enum host_phase phase, int64_t now_us)
{
  host->phase = phase;
  host->phase_began_us = now_us;
}

/* Ends the host's operation, whether it is complete or given up.  */
static void
end_op (struct host_mgr *mgr, struct mgr_host *host, int64_t now_us)
{
  mgr->ops.withdraw (mgr->ops.arg, host);
  host->current_op = OP_NONE;
  host->request_offset = 0;
  host->cooldown_until_us = now_us + COOLDOWN_US;
  set_phase (host, PHASE_NONE, now_us);
}

bool
host_mgr_pool_is_spare (const struct host_mgr *mgr, const char *name)
{
  const struct pool_config *pool = catalog_pool (mgr->cat, name);
  return pool && pool->spare;
}

/* Whether the operation ordered for HOST is complete: the host is up with
   another worker, or in the spare pool, whose hosts run no worker.  */
static bool
has_returned (const struct host_mgr *mgr, const struct mgr_host *host)
{
  if (host->listed_us <= host->phase_began_us || host->rep.state != HOST_UP)
    return false;
  if (host->listed_us > host->phase_began_us + RETURN_TIMEOUT_US
      || host_mgr_pool_is_spare (mgr, host->rep.pool))
    return true;
  return *host->rep.worker
         && strcmp (host->rep.worker, host->previous_worker) != 0;
}

int
host_mgr_set_hosts (struct host_mgr *mgr, void *parent,
                    const struct host_list *list, int64_t asked_us)
{
  /* An incomplete list may leave out a host that is still there.  */
  for (size_t n = 0; n < mgr->host_count && !list->incomplete; n++)
    mgr->hosts[n].listed = false;
  for (size_t n = 0; n < list->count; n++)
    {
      struct mgr_host *host = host_mgr_find (mgr, list->hosts[n].name);
      if (!host)
        host = add_host (mgr, parent, list->hosts[n].name);
      if (!host)
        return ERR_NOMEM;
      if (list->hosts[n].state != HOST_UNKNOWN || !*host->rep.name)
        host->rep = list->hosts[n];
      host->rep.state = list->hosts[n].state;
      host->listed = true;
      host->listed_us = asked_us;
    }
  return 0;
}

static struct mgr_pool *
find_pool (struct host_mgr *mgr, const char *name)
{
  for (size_t n = 0; n < mgr->pool_count; n++)
    if (strcmp (mgr->pools[n].name, name) == 0)
      return &mgr->pools[n];
  return NULL;
}

/* Updates the hosts of POOL from the list of idle hosts in its new demand.  */
static void
update_idle_hosts (struct host_mgr *mgr, const struct mgr_pool *pool,
                   int64_t now_us)
{
  for (size_t n = 0; n < pool->idle_count; n++)
    {
      struct mgr_host *host = host_mgr_find (mgr, pool->idle[n]);
      if (host)
        host->reported_idle = true;
    }
  for (size_t n = 0; n < mgr->host_count; n++)
    {
      struct mgr_host *host = &mgr->hosts[n];
      if (strcmp (host->rep.pool, pool->name) == 0)
        {
          if (!host->reported_idle)
            host->idle_since_us = 0;
          else if (!host->idle_since_us)
            host->idle_since_us = now_us;
        }
      host->reported_idle = false;
    }
}

void
host_mgr_set_demand (struct host_mgr *mgr, const struct pool_demand *dem,
                     int64_t now_us)
{
  struct mgr_pool *pool = find_pool (mgr, dem->pool);
  if (!pool)
    {
      if (mgr->pool_count == HOST_MGR_POOLS_MAX)
        {
          talloc_free (dem->idle);
          return;
        }
      pool = &mgr->pools[mgr->pool_count++];
      *pool = (struct mgr_pool){ 0 };
      name_copy (pool->name, dem->pool);
    }
  talloc_free (pool->idle);
  pool->short_hosts = dem->short_hosts;
  pool->urgent_hosts = dem->urgent_hosts;
  pool->needed_hosts = dem->needed_hosts;
  name_copy (pool->needed_label, dem->needed_label ? dem->needed_label : "");
  pool->idle = dem->idle;
  pool->idle_count = dem->idle_count;
  pool->busy_milli = dem->busy_milli;
  pool->demand_us = now_us;
  update_idle_hosts (mgr, pool, now_us);
}

static struct mgr_wave *
find_wave (struct host_mgr *mgr, uint64_t number)
{
  for (size_t n = 0; n < mgr->wave_count; n++)
    if (mgr->waves[n].number == number)
      return &mgr->waves[n];
  return NULL;
}

static void
mark_done (struct mgr_wave *wave, const char *host)
{
  for (size_t n = 0; wave && n < wave->wave->host_count; n++)
    if (!wave->done[n] && strcmp (wave->wave->hosts[n], host) == 0)
      {
        wave->done[n] = true;
        wave->done_count++;
      }
}

void
host_mgr_add_progress (struct host_mgr *mgr, void *parent, uint64_t number,
                       const char *host)
{
  struct mgr_wave *wave = find_wave (mgr, number);
  if (wave)
    {
      mark_done (wave, host);
      return;
    }
  struct early_progress *early
      = talloc_realloc (parent, mgr->early_progress, struct early_progress,
                        mgr->early_count + 1);
  if (!early)
    return; /* the host is ordered again; a repeated order changes nothing */
  mgr->early_progress = early;
  early += mgr->early_count++;
  early->wave = number;
  name_copy (early->host, host);
}

void
host_mgr_add_wave (struct host_mgr *mgr, void *parent,
                   struct maintenance_wave *wave, int64_t now_us)
{
  if (find_wave (mgr, wave->number) || mgr->wave_count == HOST_MGR_WAVES_MAX)
    {
      talloc_free (wave);
      return;
    }
  struct mgr_wave *added = &mgr->waves[mgr->wave_count];
  *added = (struct mgr_wave){ .number = wave->number,
                              .wave = wave,
                              .received_us = now_us };
  added->done = talloc_zero_array (wave, bool, wave->host_count + 1);
  added->hosts
      = talloc_zero_array (wave, struct mgr_host *, wave->host_count + 1);
  if (!added->done || !added->hosts)
    {
      talloc_free (wave);
      return;
    }
  mgr->wave_count++;
  for (size_t n = 0; n < mgr->early_count; n++)
    if (mgr->early_progress[n].wave == added->number)
      mark_done (added, mgr->early_progress[n].host);
}

void
host_mgr_order_answered (struct host_mgr *mgr, struct mgr_host *host,
                         enum host_order_status status, int64_t now_us)
{
  host->order_in_flight = false;
  switch (status)
    {
    case HOST_ORDER_DONE:
      if (host->current_op == OP_MAINTENANCE)
        {
          struct mgr_wave *wave = find_wave (mgr, host->wave);
          mark_done (find_wave (mgr, host->wave), host->rep.name);
          if (wave)
            mgr->ops.wave_state (mgr->ops.arg, wave);
        }
      set_phase (host, PHASE_AWAITING_WORKER, now_us);
      return;
    case HOST_ORDER_UNKNOWN:
    case HOST_ORDER_REJECTED:
    case HOST_ORDER_FENCED:
      host->next_order_us = now_us + ORDER_RETRY_US;
      return;
    case HOST_ORDER_BUSY:
      host->next_order_us = now_us + BUSY_RETRY_US;
      return;
    case HOST_ORDER_NOT_IN_WAVE:
      mark_done (find_wave (mgr, host->wave), host->rep.name);
      end_op (mgr, host, now_us);
      return;
    case HOST_ORDER_INVALID:
      end_op (mgr, host, now_us);
      return;
    }
}

void
host_mgr_begin_op (struct host_mgr *mgr, struct mgr_host *host,
                   enum host_mgr_op op, int64_t now_us)
{
  host->current_op = op;
  host->next_order_us = 0;
  mgr->rows[host->pool_row].unavailable++;
  if (mgr->rows[host->pool_row].spare)
    {
      /* Nothing runs in the spare pool: the host need not be vacated.  */
      set_phase (host, PHASE_EMPTY, now_us);
      return;
    }
  set_phase (host, PHASE_VACATING, now_us);
  mgr->ops.vacate (mgr->ops.arg, host,
                   op == OP_MOVE ? GRACE_MOVE_MS : GRACE_MAINTENANCE_MS);
}

bool
host_mgr_may_begin_op (const struct mgr_host *host, int64_t now_us)
{
  return host->listed && host->rep.state == HOST_UP
         && host->phase == PHASE_NONE && now_us >= host->cooldown_until_us;
}

static uint32_t
add_row (struct host_mgr *mgr, const char *name)
{
  for (uint32_t n = 0; n < mgr->row_count; n++)
    if (strcmp (mgr->rows[n].name, name) == 0)
      return n;
  if (mgr->row_count > HOST_MGR_POOLS_MAX)
    return HOST_MGR_POOLS_MAX;
  mgr->rows[mgr->row_count]
      = (struct pool_row){ .name = name,
                           .spare = host_mgr_pool_is_spare (mgr, name),
                           .demand = find_pool (mgr, name) };
  return mgr->row_count++;
}

/* Counts the hosts by pool.  */
static void
count_pools (struct host_mgr *mgr)
{
  mgr->row_count = 0;
  for (size_t n = 0; n < mgr->host_count; n++)
    {
      struct mgr_host *host = &mgr->hosts[n];
      host->pool_row = add_row (mgr, host->rep.pool);
      struct pool_row *row = &mgr->rows[host->pool_row];
      row->all += host->listed;
      row->unavailable
          += host->listed
             && (host->phase != PHASE_NONE || host->rep.state != HOST_UP);
    }
}

/* Looks up the wave's hosts, and counts those that are or may be in
   maintenance or down.  */
static void
count_wave (const struct host_mgr *mgr, struct mgr_wave *wave)
{
  wave->down = wave->unlisted = 0;
  for (size_t n = 0; n < wave->wave->host_count; n++)
    {
      struct mgr_host *host = host_mgr_find (mgr, wave->wave->hosts[n]);
      wave->hosts[n] = host;
      if (!host)
        continue;
      bool ordered = host->current_op == OP_MAINTENANCE
                     && host->wave == wave->number
                     && (host->phase == PHASE_ORDERED
                         || host->phase == PHASE_AWAITING_WORKER);
      bool down = ordered || host->rep.state == HOST_MAINTENANCE
                  || host->rep.state == HOST_UNKNOWN;
      wave->down += down;
      wave->unlisted += !down && wave->done[n]
                        && host->listed_us < mgr->maintenance_listed_from_us;
    }
}

/* Number of the wave's hosts being vacated, or empty and not ordered yet.  */
static uint32_t
wave_preparing (const struct mgr_wave *wave)
{
  uint32_t count = 0;
  for (size_t n = 0; n < wave->wave->host_count; n++)
    {
      const struct mgr_host *host = wave->hosts[n];
      count
          += host && host->current_op == OP_MAINTENANCE
             && host->wave == wave->number
             && (host->phase == PHASE_VACATING || host->phase == PHASE_EMPTY);
    }
  return count;
}

bool
host_mgr_host_is_idle (const struct host_mgr *mgr, const struct mgr_host *host)
{
  return mgr->rows[host->pool_row].spare || host->idle_since_us > 0;
}

/* Picks the wave's next host: an idle one, else one of the least busy pool. */
static struct mgr_host *
pick_for_maintenance (struct host_mgr *mgr, const struct mgr_wave *wave,
                      int64_t now_us)
{
  struct mgr_host *best = NULL;
  int64_t best_cost = 0;
  for (size_t n = 0; n < wave->wave->host_count; n++)
    {
      struct mgr_host *host = wave->hosts[n];
      if (wave->done[n] || !host || !host_mgr_may_begin_op (host, now_us))
        continue;
      const struct pool_row *row = &mgr->rows[host->pool_row];
      if (!row->spare && row->unavailable > 0
          && row->unavailable * POOL_UNAVAILABLE_DIVISOR >= row->all)
        continue;
      int64_t cost = host_mgr_host_is_idle (mgr, host) ? 0
                     : row->demand ? 1 + row->demand->busy_milli
                                   : 1;
      if (!best || cost < best_cost)
        {
          best = host;
          best_cost = cost;
        }
    }
  return best;
}

/* Whether the wave begins no further maintenance for now, because a pool is
   short of hosts and the wave is ahead of its evenly spread schedule.  */
static bool
wave_can_wait (const struct host_mgr *mgr, const struct mgr_wave *wave,
               uint32_t in_progress, int64_t now_us)
{
  bool shortage = false;
  for (size_t n = 0; n < mgr->pool_count; n++)
    shortage = shortage || mgr->pools[n].short_hosts > 0;
  int64_t span_us = wave->wave->duration_ms * 1000 * WAVE_PACING_PERCENT / 100;
  int64_t age_us = now_us - wave->received_us;
  if (!shortage || age_us >= span_us)
    return false;
  int64_t planned
      = (int64_t)wave->wave->host_count * (age_us + WAVE_LEAD_US) / span_us;
  return (int64_t)(wave->done_count + in_progress) >= planned;
}

static bool
step_wave (struct host_mgr *mgr, struct mgr_wave *wave, int64_t now_us)
{
  size_t left = 0;
  if (wave->completed)
    return false;
  if (!wave->running_reported)
    {
      wave->running_reported = true;
      mgr->ops.wave_state (mgr->ops.arg, wave);
    }
  /* A host that has left the platform needs no maintenance.  */
  for (size_t n = 0; n < wave->wave->host_count; n++)
    {
      const struct mgr_host *host = wave->hosts[n];
      left += !wave->done[n] && host && host->listed;
    }
  if (left == 0 && mgr->host_count > 0)
    {
      wave->completed = true;
      mgr->ops.wave_state (mgr->ops.arg, wave);
      return false;
    }
  uint32_t in_progress = wave->down + wave_preparing (wave);
  while (in_progress < wave->wave->most_out + WAVE_PREPARED_HOSTS
         && !wave_can_wait (mgr, wave, in_progress, now_us))
    {
      struct mgr_host *host = pick_for_maintenance (mgr, wave, now_us);
      if (!host)
        break;
      host->wave = wave->number;
      host_mgr_begin_op (mgr, host, OP_MAINTENANCE, now_us);
      in_progress++;
    }
  return true;
}

static void
send_order (struct host_mgr *mgr, struct mgr_host *host, int64_t now_us)
{
  if (host->order_in_flight || now_us < host->next_order_us)
    return;
  if (host->phase == PHASE_EMPTY)
    {
      memcpy (host->previous_worker, host->rep.worker, NAME_BYTES);
      set_phase (host, PHASE_ORDERED, now_us);
    }
  host->order_in_flight = true;
  mgr->ops.order (mgr->ops.arg, host);
}

static void
step_host (struct host_mgr *mgr, struct mgr_host *host, int64_t now_us)
{
  struct mgr_wave *wave = find_wave (mgr, host->wave);
  switch (host->phase)
    {
    case PHASE_NONE:
      return;
    case PHASE_VACATING:
      if (!host->listed || now_us > host->phase_began_us + VACATE_TIMEOUT_US)
        end_op (mgr, host, now_us);
      return;
    case PHASE_EMPTY:
      if (!host->listed)
        end_op (mgr, host, now_us);
      else if (host->current_op == OP_MOVE
               || (wave && wave->down + wave->unlisted < wave->wave->most_out))
        {
          send_order (mgr, host, now_us);
          /* The platform may carry it out from now on.  */
          if (wave && host->current_op == OP_MAINTENANCE
              && host->phase == PHASE_ORDERED)
            wave->down++;
        }
      return;
    case PHASE_ORDERED:
      if (!host->listed)
        end_op (mgr, host, now_us);
      else
        send_order (mgr, host, now_us);
      return;
    case PHASE_AWAITING_WORKER:
      if (!host->listed || has_returned (mgr, host))
        end_op (mgr, host, now_us);
      return;
    }
}

/* Marks the hosts that an unfinished wave still has to maintain.  */
static void
mark_wave_hosts (struct host_mgr *mgr)
{
  for (size_t n = 0; n < mgr->host_count; n++)
    mgr->hosts[n].wave_pending = false;
  for (size_t n = 0; n < mgr->wave_count; n++)
    {
      const struct mgr_wave *wave = &mgr->waves[n];
      for (size_t m = 0; !wave->completed && m < wave->wave->host_count; m++)
        {
          struct mgr_host *host = wave->hosts[m];
          if (host && !wave->done[m])
            host->wave_pending = true;
        }
    }
}

bool
host_mgr_step (struct host_mgr *mgr, int64_t now_us)
{
  bool busy = false;
  if (!mgr->cat || mgr->host_count == 0)
    return false;
  for (size_t n = 0; n < mgr->wave_count; n++)
    count_wave (mgr, &mgr->waves[n]);
  count_pools (mgr);
  for (size_t n = 0; n < mgr->host_count; n++)
    {
      step_host (mgr, &mgr->hosts[n], now_us);
      busy = busy || mgr->hosts[n].phase != PHASE_NONE;
    }
  /* Operations may have ended.  */
  count_pools (mgr);
  for (size_t n = 0; n < mgr->wave_count; n++)
    busy = step_wave (mgr, &mgr->waves[n], now_us) || busy;
  mark_wave_hosts (mgr);
  host_mgr_step_moves (mgr, now_us);
  return busy;
}
