#include "fleet/host_mgr_priv.h"

#include <string.h>
#include <talloc.h>

#include "base/err.h"

/* Time after which tasks on a host that is being vacated for a move are
   stopped.  Most tasks take a second or two.  */
#define GRACE_MOVE_MS 1500
/* An operation is given up when its host is not empty this long after the end
   of the grace, for an owner that does not answer.  An owner that does refuses
   the request 4 s after the last progress.  The rest is for a host on which
   perpetual tasks are moved in turn, and for a pool whose owner is replaced,
   which takes 2 to 4 s.  */
#define VACATE_ANSWER_US 10000000
/* An empty host is given back when its order has waited this long for other
   hosts of its wave: a maintenance takes 2 s.  */
#define EMPTY_TIMEOUT_US 5000000
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

void
host_mgr_give_up (struct host_mgr *mgr, struct mgr_host *host,
                  const char *reason, const char *kept_for, int64_t now_us)
{
  mgr->ops.vacate_over (mgr->ops.arg, host, reason, kept_for,
                        now_us - host->op_began_us);
  host->dest_pool[0] = '\0';
  end_op (mgr, host, now_us);
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
  for (size_t n = 0; mgr->hosts && n < mgr->host_count; n++)
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
  pool->placeless_hosts = dem->placeless_hosts;
  name_copy (pool->needed_label, dem->needed_label ? dem->needed_label : "");
  pool->idle = dem->idle;
  pool->idle_count = dem->idle_count;
  pool->busy_milli = dem->busy_milli;
  pool->demand_us = now_us;
  update_idle_hosts (mgr, pool, now_us);
}

void
host_mgr_order_answered (struct host_mgr *mgr, struct mgr_host *host,
                         enum host_order_status status, int64_t now_us)
{
  host->order_in_flight = false;
  host->order_busy = status == HOST_ORDER_BUSY;
  if (status != HOST_ORDER_UNKNOWN && status != HOST_ORDER_REJECTED)
    mgr->answered_us = now_us;
  switch (status)
    {
    case HOST_ORDER_DONE:
      if (host->current_op == OP_MAINTENANCE)
        {
          struct mgr_wave *wave = host_mgr_find_wave (mgr, host->wave);
          host_mgr_mark_done (host_mgr_find_wave (mgr, host->wave),
                              host->rep.name);
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
      host_mgr_mark_done (host_mgr_find_wave (mgr, host->wave),
                          host->rep.name);
      host_mgr_give_up (mgr, host, "not_in_wave", "", now_us);
      return;
    case HOST_ORDER_INVALID:
      host_mgr_give_up (mgr, host, "invalid", "", now_us);
      return;
    }
}

void
host_mgr_begin_op (struct host_mgr *mgr, struct mgr_host *host,
                   enum host_mgr_op op, int64_t now_us)
{
  host->current_op = op;
  if (op != OP_MOVE)
    host->dest_pool[0] = '\0';
  host->op_began_us = now_us;
  host->next_order_us = 0;
  host->order_busy = false;
  mgr->rows[host->pool_row].unavailable++;
  if (mgr->rows[host->pool_row].spare)
    {
      /* Nothing runs in the spare pool: the host need not be vacated.  */
      set_phase (host, PHASE_EMPTY, now_us);
      return;
    }
  set_phase (host, PHASE_VACATING, now_us);
  host->grace_ms = GRACE_MOVE_MS;
  if (op == OP_MAINTENANCE)
    host->grace_ms = host_mgr_wave_grace_ms (
        mgr, host_mgr_find_wave (mgr, host->wave), host, now_us);
  mgr->ops.vacate (mgr->ops.arg, host, host->grace_ms);
}

bool
host_mgr_may_begin_op (const struct mgr_host *host, int64_t now_us)
{
  return host->listed && host->rep.state == HOST_UP
         && host->phase == PHASE_NONE && now_us >= host->cooldown_until_us
         && now_us >= host->refused_until_us;
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
      row->down += host->listed && host->rep.state == HOST_DOWN;
      row->unavailable
          += host->listed
             && (host->phase != PHASE_NONE || host->rep.state != HOST_UP);
      row->remain
          += host->listed && host->rep.state == HOST_UP
             && (host->phase == PHASE_NONE || host->phase == PHASE_VACATING);
    }
}

bool
host_mgr_host_is_idle (const struct host_mgr *mgr, const struct mgr_host *host)
{
  return mgr->rows[host->pool_row].spare || host->idle_since_us > 0;
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
  struct mgr_wave *wave = host_mgr_find_wave (mgr, host->wave);
  switch (host->phase)
    {
    case PHASE_NONE:
      return;
    case PHASE_VACATING:
      if (!host->listed)
        host_mgr_give_up (mgr, host, "left", "", now_us);
      else if (now_us > host->phase_began_us + host->grace_ms * 1000
                            + VACATE_ANSWER_US)
        host_mgr_not_vacated (mgr, host, "timeout", "", now_us);
      return;
    case PHASE_EMPTY:
      if (!host->listed)
        host_mgr_give_up (mgr, host, "left", "", now_us);
      else if (host->current_op == OP_MOVE
               || (wave && wave->down + wave->unlisted < wave->wave->most_out))
        {
          send_order (mgr, host, now_us);
          /* The platform may carry it out from now on.  */
          if (wave && host->current_op == OP_MAINTENANCE
              && host->phase == PHASE_ORDERED)
            wave->down++;
        }
      else if (now_us > host->phase_began_us + EMPTY_TIMEOUT_US)
        host_mgr_not_vacated (mgr, host, "not_ordered", "", now_us);
      return;
    case PHASE_ORDERED:
      if (!host->listed)
        host_mgr_give_up (mgr, host, "left", "", now_us);
      else
        send_order (mgr, host, now_us);
      return;
    case PHASE_AWAITING_WORKER:
      if (!host->listed)
        end_op (mgr, host, now_us);
      else if (has_returned (mgr, host))
        {
          end_op (mgr, host, now_us);
          host_mgr_host_returned (mgr, host);
        }
      return;
    }
}

bool
host_mgr_step (struct host_mgr *mgr, int64_t now_us)
{
  bool busy = false;
  if (!mgr->cat || mgr->host_count == 0)
    return false;
  for (size_t n = 0; n < mgr->wave_count; n++)
    host_mgr_count_wave (mgr, &mgr->waves[n]);
  count_pools (mgr);
  for (size_t n = 0; n < mgr->host_count; n++)
    {
      step_host (mgr, &mgr->hosts[n], now_us);
      busy = busy || mgr->hosts[n].phase != PHASE_NONE;
    }
  /* Operations may have ended.  */
  count_pools (mgr);
  host_mgr_end_pauses (mgr);
  for (size_t n = 0; n < mgr->wave_count; n++)
    busy = host_mgr_step_wave (mgr, &mgr->waves[n], now_us) || busy;
  host_mgr_mark_wave_hosts (mgr);
  host_mgr_step_moves (mgr, now_us);
  return busy;
}
