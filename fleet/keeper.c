#include "fleet/keeper.h"

#include <string.h>
#include <talloc.h>

#include "base/err.h"

/* Time in which tasks end by themselves on a host that is to be emptied; most
   take a second or two.  */
#define VACATE_UPKEEP_MS 5000
#define VACATE_MOVE_MS 1500
/* A request without a report for so long is withdrawn; its owner may be gone
   or cannot do without the host.  */
#define VACATE_TIMEOUT_US 15000000
/* Pauses before an order is sent again.  */
#define ORDER_RETRY_US 400000
#define ORDER_BUSY_US 1000000
/* A host that is up so long after its order was done by an earlier holder: an
   upkeep takes 2 s and a move 1.5 s.  */
#define AWAY_MAX_US 4500000
/* A host that arrived stays at least so long.  */
#define REST_US 500000
/* A host that its pool can spare goes to the spare pool after this time; two
   moves cost as much as a host does in about two seconds, and most turns begin
   as another ends.  */
#define PARK_US 1500000
/* A demand older than this is not acted on.  */
#define DEMAND_AGE_US 4000000
/* Hosts of one pool that are emptied or away for upkeep at a time, as a part
   of its hosts.  */
#define POOL_OUT_PART 3
/* Upkeep is spread evenly over this part of a wave's time while pools lack
   hosts, this much ahead; the rest is for hosts that are slow to empty.  */
#define WAVE_SPAN_PERCENT 40
#define WAVE_LEAD_US 2000000
/* Hosts that are emptied ahead of the wave's bound.  */
#define WAVE_AHEAD 2

void
keeper_init (struct keeper *kpr, void *parent, const struct keeper_ops *ops)
{
  *kpr = (struct keeper){ .ops = *ops };
}

void
keeper_fini (struct keeper *kpr)
{
  struct host_index *row, *next;
  HASH_ITER (hh, kpr->by_name, row, next)
    {
      HASH_DEL (kpr->by_name, row);
      talloc_free (row);
    }
  talloc_free (kpr->hosts);
  talloc_free (kpr->early);
  for (size_t n = 0; n < kpr->pool_count; n++)
    talloc_free (kpr->pools[n].idle);
  for (size_t n = 0; n < kpr->wave_count; n++)
    talloc_free (kpr->waves[n].wave);
  *kpr = (struct keeper){ 0 };
}

struct kept_host *
keeper_find (const struct keeper *kpr, const char *host)
{
  struct host_index *row;
  HASH_FIND_STR (kpr->by_name, host, row);
  return row ? &kpr->hosts[row->index] : NULL;
}

/* The function size that the linter counts includes uthash's macros.  */
static void
link_index (struct keeper *kpr, struct host_index *row)
{
  HASH_ADD_KEYPTR (hh, kpr->by_name, row->name, strlen (row->name), row);
}

static struct kept_host *
add_host (struct keeper *kpr, void *parent, const char *name)
{
  struct host_index *row = talloc_zero (parent, struct host_index);
  /* Orders in progress refer to hosts by name, not by address.  */
  struct kept_host *hosts = talloc_realloc (
      parent, kpr->hosts, struct kept_host, kpr->host_count + 1);
  if (hosts)
    kpr->hosts = hosts;
  if (!row || !hosts || kpr->host_count >= KEEPER_HOSTS_MAX)
    {
      talloc_free (row);
      return NULL;
    }
  name_copy (row->name, name);
  row->index = kpr->host_count;
  link_index (kpr, row);
  hosts[kpr->host_count] = (struct kept_host){ 0 };
  return &hosts[kpr->host_count++];
}

static void
set_phase (struct kept_host *host, enum host_phase phase, int64_t now_us)
{
  host->phase = phase;
  host->phase_us = now_us;
}

static void
end_purpose (struct keeper *kpr, struct kept_host *host, int64_t now_us)
{
  kpr->ops.withdraw (kpr->ops.arg, host);
  host->purpose = PURPOSE_NONE;
  host->request_offset = 0;
  host->rest_us = now_us + REST_US;
  set_phase (host, PHASE_IDLE, now_us);
}

/* An ordered host is back when it is up with another worker, or in a pool
   whose hosts are off.  */
static bool
is_back (const struct keeper *kpr, const struct kept_host *host)
{
  const struct pool_config *pool
      = kpr->cat ? catalog_pool (kpr->cat, host->rep.pool) : NULL;
  if (host->listed_us <= host->phase_us || host->rep.state != HOST_UP)
    return false;
  /* An order that was done before changes nothing.  */
  if (host->listed_us > host->phase_us + AWAY_MAX_US)
    return true;
  if (pool && pool->spare)
    return true;
  return *host->rep.worker
         && strcmp (host->rep.worker, host->left_worker) != 0;
}

int
keeper_hosts (struct keeper *kpr, void *parent, const struct host_list *list,
              int64_t asked_us)
{
  for (size_t n = 0; n < kpr->host_count; n++)
    kpr->hosts[n].listed = false;
  for (size_t n = 0; n < list->count; n++)
    {
      struct kept_host *host = keeper_find (kpr, list->hosts[n].name);
      if (!host)
        host = add_host (kpr, parent, list->hosts[n].name);
      if (!host)
        return ERR_NOMEM;
      host->rep = list->hosts[n];
      host->listed = true;
      host->listed_us = asked_us;
    }
  return 0;
}

static struct kept_pool *
find_pool (struct keeper *kpr, const char *name)
{
  for (size_t n = 0; n < kpr->pool_count; n++)
    if (strcmp (kpr->pools[n].name, name) == 0)
      return &kpr->pools[n];
  return NULL;
}

static void
note_offers (struct keeper *kpr, const struct kept_pool *pool, int64_t now_us)
{
  for (size_t n = 0; n < pool->idle_count; n++)
    {
      struct kept_host *host = keeper_find (kpr, pool->idle[n]);
      if (host)
        host->offer_heard = true;
    }
  for (size_t n = 0; n < kpr->host_count; n++)
    {
      struct kept_host *host = &kpr->hosts[n];
      if (strcmp (host->rep.pool, pool->name) == 0)
        {
          if (!host->offer_heard)
            host->offered_us = 0;
          else if (!host->offered_us)
            host->offered_us = now_us;
        }
      host->offer_heard = false;
    }
}

void
keeper_demand (struct keeper *kpr, const struct pool_demand *dem,
               int64_t now_us)
{
  struct kept_pool *pool = find_pool (kpr, dem->pool);
  if (!pool)
    {
      if (kpr->pool_count == KEEPER_POOLS_MAX)
        {
          talloc_free (dem->idle);
          return;
        }
      pool = &kpr->pools[kpr->pool_count++];
      *pool = (struct kept_pool){ 0 };
      name_copy (pool->name, dem->pool);
    }
  talloc_free (pool->idle);
  pool->short_hosts = dem->short_hosts;
  pool->idle = dem->idle;
  pool->idle_count = dem->idle_count;

  pool->busy_milli = dem->busy_milli;
  pool->heard_us = now_us;
  note_offers (kpr, pool, now_us);
}

static struct kept_wave *
find_wave (struct keeper *kpr, uint64_t number)
{
  for (size_t n = 0; n < kpr->wave_count; n++)
    if (kpr->waves[n].number == number)
      return &kpr->waves[n];
  return NULL;
}

static void
mark_done (struct kept_wave *wave, const char *host)
{
  for (size_t n = 0; wave && n < wave->wave->host_count; n++)
    if (!wave->done[n] && strcmp (wave->wave->hosts[n], host) == 0)
      {
        wave->done[n] = true;
        wave->done_count++;
      }
}

void
keeper_wave_done (struct keeper *kpr, void *parent, uint64_t number,
                  const char *host)
{
  struct kept_wave *wave = find_wave (kpr, number);
  if (wave)
    {
      mark_done (wave, host);
      return;
    }
  struct early_done *early = talloc_realloc (
      parent, kpr->early, struct early_done, kpr->early_count + 1);
  if (!early)
    return; /* its order is repeated, and was done before */
  kpr->early = early;
  early += kpr->early_count++;
  early->wave = number;
  name_copy (early->host, host);
}

void
keeper_wave (struct keeper *kpr, void *parent, struct upkeep_wave *wave,
             int64_t now_us)
{
  if (find_wave (kpr, wave->number) || kpr->wave_count == KEEPER_WAVES_MAX)
    {
      talloc_free (wave);
      return;
    }
  struct kept_wave *kept = &kpr->waves[kpr->wave_count];
  *kept = (struct kept_wave){ .number = wave->number,
                              .wave = wave,
                              .seen_us = now_us };
  kept->done = talloc_zero_array (wave, bool, wave->host_count + 1);
  if (!kept->done)
    {
      talloc_free (wave);
      return;
    }
  kpr->wave_count++;
  for (size_t n = 0; n < kpr->early_count; n++)
    if (kpr->early[n].wave == kept->number)
      mark_done (kept, kpr->early[n].host);
}

void
keeper_emptied (struct keeper *kpr, const char *name, uint64_t offset,
                int64_t now_us)
{
  struct kept_host *host = keeper_find (kpr, name);
  if (host && host->phase == PHASE_VACATING && host->request_offset
      && host->request_offset == offset)
    set_phase (host, PHASE_EMPTY, now_us);
}

void
keeper_ordered (struct keeper *kpr, struct kept_host *host,
                enum host_order_status status, int64_t now_us)
{
  host->order_open = false;
  switch (status)
    {
    case HOST_ORDER_DONE:
      if (host->purpose == PURPOSE_UPKEEP)
        {
          struct kept_wave *wave = find_wave (kpr, host->wave);
          mark_done (find_wave (kpr, host->wave), host->rep.name);
          if (wave)
            kpr->ops.wave_state (kpr->ops.arg, wave);
        }
      set_phase (host, PHASE_AWAY, now_us);
      return;
    case HOST_ORDER_UNKNOWN:
    case HOST_ORDER_REJECTED:
    case HOST_ORDER_FENCED:
      host->next_order_us = now_us + ORDER_RETRY_US;
      return;
    case HOST_ORDER_BUSY:
      host->next_order_us = now_us + ORDER_BUSY_US;
      return;
    case HOST_ORDER_NOT_ASKED:
      mark_done (find_wave (kpr, host->wave), host->rep.name);
      end_purpose (kpr, host, now_us);
      return;
    case HOST_ORDER_INVALID:
      end_purpose (kpr, host, now_us);
      return;
    }
}

static bool
pool_is_spare (const struct keeper *kpr, const char *name)
{
  const struct pool_config *pool = catalog_pool (kpr->cat, name);
  return pool && pool->spare;
}

static void
begin_purpose (struct keeper *kpr, struct kept_host *host,
               enum host_purpose purpose, int64_t now_us)
{
  host->purpose = purpose;
  host->next_order_us = 0;
  if (pool_is_spare (kpr, host->rep.pool))
    {
      /* Nothing runs in the spare pool.  */
      set_phase (host, PHASE_EMPTY, now_us);
      return;
    }
  set_phase (host, PHASE_VACATING, now_us);
  kpr->ops.vacate (kpr->ops.arg, host,
                   purpose == PURPOSE_MOVE ? VACATE_MOVE_MS
                                           : VACATE_UPKEEP_MS);
}

static bool
may_begin (const struct kept_host *host, int64_t now_us)
{
  return host->listed && host->rep.state == HOST_UP
         && host->phase == PHASE_IDLE && now_us >= host->rest_us;
}

/* Hosts of the wave that an order may have taken down.  */
static uint32_t
wave_out (const struct keeper *kpr, const struct kept_wave *wave)
{
  uint32_t out = 0;
  for (size_t n = 0; n < wave->wave->host_count; n++)
    {
      const struct kept_host *host = keeper_find (kpr, wave->wave->hosts[n]);
      if (!host)
        continue;
      bool ours
          = host->purpose == PURPOSE_UPKEEP && host->wave == wave->number
            && (host->phase == PHASE_ORDERED || host->phase == PHASE_AWAY);
      out += ours || host->rep.state == HOST_UPKEEP;
    }
  return out;
}

static uint32_t
wave_preparing (const struct keeper *kpr, const struct kept_wave *wave)
{
  uint32_t count = 0;
  for (size_t n = 0; n < wave->wave->host_count; n++)
    {
      const struct kept_host *host = keeper_find (kpr, wave->wave->hosts[n]);
      count
          += host && host->purpose == PURPOSE_UPKEEP
             && host->wave == wave->number
             && (host->phase == PHASE_VACATING || host->phase == PHASE_EMPTY);
    }
  return count;
}

/* Hosts of POOL, and those of them that are emptied or away.  */
static void
count_pool (const struct keeper *kpr, const char *pool, uint32_t *all,
            uint32_t *out)
{
  *all = *out = 0;
  for (size_t n = 0; n < kpr->host_count; n++)
    {
      const struct kept_host *host = &kpr->hosts[n];
      if (!host->listed || strcmp (host->rep.pool, pool) != 0)
        continue;
      ++*all;
      *out += host->phase != PHASE_IDLE || host->rep.state != HOST_UP;
    }
}

static bool
host_is_idle (const struct keeper *kpr, const struct kept_host *host)
{
  return pool_is_spare (kpr, host->rep.pool) || host->offered_us > 0;
}

/* The wave's next host: one without work, else of the pool that is least
   busy.  */
static struct kept_host *
pick_for_upkeep (struct keeper *kpr, const struct kept_wave *wave,
                 int64_t now_us)
{
  struct kept_host *best = NULL;
  int64_t best_cost = 0;
  for (size_t n = 0; n < wave->wave->host_count; n++)
    {
      struct kept_host *host = keeper_find (kpr, wave->wave->hosts[n]);
      uint32_t all, out;
      if (wave->done[n] || !host || !may_begin (host, now_us))
        continue;
      bool spare = pool_is_spare (kpr, host->rep.pool);
      count_pool (kpr, host->rep.pool, &all, &out);
      if (!spare && out > 0 && out * POOL_OUT_PART >= all)
        continue;
      const struct kept_pool *pool = find_pool (kpr, host->rep.pool);
      int64_t cost = host_is_idle (kpr, host) ? 0
                     : pool                   ? 1 + pool->busy_milli
                                              : 1;
      if (!best || cost < best_cost)
        {
          best = host;
          best_cost = cost;
        }
    }
  return best;
}

/* While a pool lacks hosts, a wave that is ahead of its time leaves them to
   it.  */
static bool
wave_can_wait (const struct keeper *kpr, const struct kept_wave *wave,
               uint32_t under_way, int64_t now_us)
{
  bool lacking = false;
  for (size_t n = 0; n < kpr->pool_count; n++)
    lacking = lacking || kpr->pools[n].short_hosts > 0;
  int64_t span_us = wave->wave->duration_ms * 1000 * WAVE_SPAN_PERCENT / 100;
  int64_t passed_us = now_us - wave->seen_us;
  if (!lacking || passed_us >= span_us)
    return false;
  int64_t planned
      = (int64_t)wave->wave->host_count * (passed_us + WAVE_LEAD_US) / span_us;
  return (int64_t)(wave->done_count + under_way) >= planned;
}

static bool
step_wave (struct keeper *kpr, struct kept_wave *wave, int64_t now_us)
{
  size_t left = 0;
  if (wave->completed)
    return false;
  if (!wave->told_running)
    {
      wave->told_running = true;
      kpr->ops.wave_state (kpr->ops.arg, wave);
    }
  /* A host that left the platform needs no upkeep.  */
  for (size_t n = 0; n < wave->wave->host_count; n++)
    {
      const struct kept_host *host = keeper_find (kpr, wave->wave->hosts[n]);
      left += !wave->done[n] && host && host->listed;
    }
  if (left == 0 && kpr->host_count > 0)
    {
      wave->completed = true;
      kpr->ops.wave_state (kpr->ops.arg, wave);
      return false;
    }
  uint32_t under_way = wave_out (kpr, wave) + wave_preparing (kpr, wave);
  while (under_way < wave->wave->most_out + WAVE_AHEAD
         && !wave_can_wait (kpr, wave, under_way, now_us))
    {
      struct kept_host *host = pick_for_upkeep (kpr, wave, now_us);
      if (!host)
        break;
      host->wave = wave->number;
      begin_purpose (kpr, host, PURPOSE_UPKEEP, now_us);
      under_way++;
    }
  return true;
}

static void
send_order (struct keeper *kpr, struct kept_host *host, int64_t now_us)
{
  if (host->order_open || now_us < host->next_order_us)
    return;
  if (host->phase == PHASE_EMPTY)
    {
      memcpy (host->left_worker, host->rep.worker, NAME_BYTES);
      set_phase (host, PHASE_ORDERED, now_us);
    }
  host->order_open = true;
  kpr->ops.order (kpr->ops.arg, host);
}

static void
step_host (struct keeper *kpr, struct kept_host *host, int64_t now_us)
{
  struct kept_wave *wave = find_wave (kpr, host->wave);
  switch (host->phase)
    {
    case PHASE_IDLE:
      return;
    case PHASE_VACATING:
      if (!host->listed || now_us > host->phase_us + VACATE_TIMEOUT_US)
        end_purpose (kpr, host, now_us);
      return;
    case PHASE_EMPTY:
      if (!host->listed)
        end_purpose (kpr, host, now_us);
      else if (host->purpose == PURPOSE_MOVE
               || (wave && wave_out (kpr, wave) < wave->wave->most_out))
        send_order (kpr, host, now_us);
      return;
    case PHASE_ORDERED:
      if (!host->listed)
        end_purpose (kpr, host, now_us);
      else
        send_order (kpr, host, now_us);
      return;
    case PHASE_AWAY:
      if (!host->listed || is_back (kpr, host))
        end_purpose (kpr, host, now_us);
      return;
    }
}

/* Hosts on their way into POOL.  */
static uint32_t
incoming (const struct keeper *kpr, const char *pool)
{
  uint32_t count = 0;
  for (size_t n = 0; n < kpr->host_count; n++)
    count += kpr->hosts[n].purpose == PURPOSE_MOVE
             && strcmp (kpr->hosts[n].target, pool) == 0;
  return count;
}

/* Marks the hosts for which a wave waits.  */
static void
mark_waves (struct keeper *kpr)
{
  for (size_t n = 0; n < kpr->host_count; n++)
    kpr->hosts[n].in_wave = false;
  for (size_t n = 0; n < kpr->wave_count; n++)
    {
      const struct kept_wave *wave = &kpr->waves[n];
      for (size_t m = 0; !wave->completed && m < wave->wave->host_count; m++)
        {
          struct kept_host *host = keeper_find (kpr, wave->wave->hosts[m]);
          if (host && !wave->done[m])
            host->in_wave = true;
        }
    }
}

/* Whether HOST is on its way to the spare pool and can still go elsewhere.  */
static bool
may_retarget (const struct keeper *kpr, const struct kept_host *host)
{
  return host->listed && host->purpose == PURPOSE_MOVE
         && (host->phase == PHASE_VACATING || host->phase == PHASE_EMPTY)
         && pool_is_spare (kpr, host->target);
}

/* A host for a pool that lacks one: of the spare pool, on its way there, or
   one that its pool can spare.  */
static struct kept_host *
pick_for_pool (struct keeper *kpr, const char *target, int64_t now_us)
{
  struct kept_host *best = NULL;
  int best_cost = 0;
  for (size_t n = 0; n < kpr->host_count; n++)
    {
      struct kept_host *host = &kpr->hosts[n];
      const struct kept_pool *pool = find_pool (kpr, host->rep.pool);
      bool retarget = may_retarget (kpr, host);
      if ((!retarget && !may_begin (host, now_us))
          || strcmp (host->rep.pool, target) == 0)
        continue;
      bool spare = pool_is_spare (kpr, host->rep.pool);
      if (!spare && !retarget
          && (!pool || pool->short_hosts > 0 || !host_is_idle (kpr, host)))
        continue;
      int cost = (retarget ? 0 : spare ? 1 : 3) + host->in_wave;
      if (!best || cost < best_cost)
        {
          best = host;
          best_cost = cost;
        }
    }
  return best;
}

static const char *
spare_pool (const struct keeper *kpr)
{
  for (size_t n = 0; n < kpr->cat->pool_count; n++)
    if (kpr->cat->pools[n].spare)
      return kpr->cat->pools[n].name;
  return NULL;
}

static bool
demand_holds (const struct kept_pool *pool, int64_t now_us)
{
  return now_us - pool->heard_us <= DEMAND_AGE_US;
}

/* Brings hosts to POOL.  Returns whether it lacks more.  */
static bool
fill_pool (struct keeper *kpr, struct kept_pool *pool, int64_t now_us)
{
  uint32_t have = incoming (kpr, pool->name);
  for (; have < pool->short_hosts; have++)
    {
      struct kept_host *host = pick_for_pool (kpr, pool->name, now_us);
      if (!host)
        return true;
      name_copy (host->target, pool->name);
      if (host->phase == PHASE_IDLE)
        begin_purpose (kpr, host, PURPOSE_MOVE, now_us);
    }
  return false;
}

static void
park_hosts (struct keeper *kpr, const char *spare, int64_t now_us)
{
  for (size_t n = 0; n < kpr->host_count; n++)
    {
      struct kept_host *host = &kpr->hosts[n];
      const struct kept_pool *pool = find_pool (kpr, host->rep.pool);
      if (!pool || !demand_holds (pool, now_us) || !host->offered_us
          || now_us < host->offered_us + PARK_US || !may_begin (host, now_us))
        continue;
      name_copy (host->target, spare);
      begin_purpose (kpr, host, PURPOSE_MOVE, now_us);
    }
}

static void
step_moves (struct keeper *kpr, int64_t now_us)
{
  const char *spare = spare_pool (kpr);
  bool lacking = false;
  for (size_t n = 0; n < kpr->pool_count; n++)
    if (demand_holds (&kpr->pools[n], now_us))
      lacking = fill_pool (kpr, &kpr->pools[n], now_us) || lacking;
  if (spare && !lacking)
    park_hosts (kpr, spare, now_us);
}

bool
keeper_step (struct keeper *kpr, int64_t now_us)
{
  bool busy = false;
  if (!kpr->cat || kpr->host_count == 0)
    return false;
  for (size_t n = 0; n < kpr->host_count; n++)
    {
      step_host (kpr, &kpr->hosts[n], now_us);
      busy = busy || kpr->hosts[n].phase != PHASE_IDLE;
    }
  for (size_t n = 0; n < kpr->wave_count; n++)
    busy = step_wave (kpr, &kpr->waves[n], now_us) || busy;
  mark_waves (kpr);
  step_moves (kpr, now_us);
  return busy;
}
