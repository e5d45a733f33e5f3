#include <string.h>
#include <talloc.h>

#include "fleet/host_mgr_priv.h"

/* Maintenance waves.  */

/* Outside the spare pool, a host's maintenance begins only if then one host of
   its pool, or at most one in this many, is in an operation or not up: the
   others have to take its tasks, those of a pool of four with two on each.  */
#define POOL_UNAVAILABLE_DIVISOR 3
/* Time after which tasks on a host that is being vacated are stopped, if the
   wave has the time, and the shortest one.  Most tasks take a second or two.
 */
#define GRACE_MAX_MS 5000
#define GRACE_MIN_MS 1500
/* Time from the end of the grace until the host is back: the tasks end and the
   owner reports in 0.2 s, maintenance takes 2 s, and the list shows the host
   up to 0.4 s later.  */
#define CARRY_OUT_MS 2600
/* While pools are short of hosts, a wave's maintenance is spread evenly over
   this part of the wave's duration, with a lead of WAVE_LEAD_US.  The rest of
   the duration is for hosts that are slow to vacate.  */
#define WAVE_PACING_PERCENT 40
#define WAVE_LEAD_US 2000000
/* Hosts that are vacated in advance, beyond the number of the wave's hosts
   that may be down at the same time.  */
#define WAVE_PREPARED_HOSTS 2

struct mgr_wave *
host_mgr_find_wave (struct host_mgr *mgr, uint64_t number)
{
  for (size_t n = 0; n < mgr->wave_count; n++)
    if (mgr->waves[n].number == number)
      return &mgr->waves[n];
  return NULL;
}

void
host_mgr_mark_done (struct mgr_wave *wave, const char *host)
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
  struct mgr_wave *wave = host_mgr_find_wave (mgr, number);
  if (wave)
    {
      host_mgr_mark_done (wave, host);
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
  if (host_mgr_find_wave (mgr, wave->number)
      || mgr->wave_count == HOST_MGR_WAVES_MAX)
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
      host_mgr_mark_done (added, mgr->early_progress[n].host);
}

void
host_mgr_count_wave (const struct host_mgr *mgr, struct mgr_wave *wave)
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

/* Whether no more maintenance may begin in the pool for now.  */
static bool
pool_at_limit (const struct pool_row *row)
{
  return !row->spare && row->unavailable > 0
         && (row->unavailable + 1) * POOL_UNAVAILABLE_DIVISOR > row->all;
}

/* Number of times that GROUP hosts at a time make TOTAL.  */
static uint32_t
count_turns (uint32_t total, uint32_t group)
{
  return group > 0 ? (total + group - 1) / group : total;
}

/* The wave's hosts have to go in turns: at most so many at a time of a pool,
   and of the wave.  The grace lets as many turns as are left end in time.  */
int64_t
host_mgr_wave_grace_ms (const struct host_mgr *mgr,
                        const struct mgr_wave *wave,
                        const struct mgr_host *host, int64_t now_us)
{
  uint32_t left = 0;
  uint32_t left_in_pool = 0;
  uint32_t share = mgr->rows[host->pool_row].all / POOL_UNAVAILABLE_DIVISOR;
  if (!wave)
    return GRACE_MAX_MS;
  for (size_t n = 0; n < wave->wave->host_count; n++)
    {
      const struct mgr_host *other = wave->hosts[n];
      if (wave->done[n] || !other || !other->listed)
        continue;
      left++;
      left_in_pool += other->pool_row == host->pool_row;
    }
  uint32_t turns = count_turns (left, (uint32_t)wave->wave->most_out);
  uint32_t turns_in_pool = count_turns (left_in_pool, share > 1 ? share : 1);
  if (turns < turns_in_pool)
    turns = turns_in_pool;
  int64_t left_ms
      = wave->wave->duration_ms - (now_us - wave->received_us) / 1000;
  int64_t grace_ms = left_ms / (turns > 0 ? turns : 1) - CARRY_OUT_MS;
  if (grace_ms > GRACE_MAX_MS)
    return GRACE_MAX_MS;
  return grace_ms > GRACE_MIN_MS ? grace_ms : GRACE_MIN_MS;
}

/* Picks the wave's next host: one with the fewest refusals, among these an
   idle one, else one of the least busy pool.  */
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
      if (pool_at_limit (row))
        continue;
      int64_t cost = host_mgr_host_is_idle (mgr, host) ? 0
                     : row->demand ? 1 + row->demand->busy_milli
                                   : 1;
      if (!best || host->refusals < best->refusals
          || (host->refusals == best->refusals && cost < best_cost))
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

bool
host_mgr_step_wave (struct host_mgr *mgr, struct mgr_wave *wave,
                    int64_t now_us)
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

void
host_mgr_mark_wave_hosts (struct host_mgr *mgr)
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

/* What HOST waits for, which an unfinished wave still has to maintain.  */
static enum wave_wait
host_wait (const struct host_mgr *mgr, const struct mgr_host *host,
           int64_t now_us)
{
  if (host->phase != PHASE_NONE && host->current_op == OP_MOVE)
    return WAIT_MOVE;
  switch (host->phase)
    {
    case PHASE_NONE:
      break;
    case PHASE_VACATING:
      return WAIT_VACATING;
    case PHASE_EMPTY:
      return WAIT_EMPTY;
    case PHASE_ORDERED:
    case PHASE_AWAITING_WORKER:
      return WAIT_ORDERED;
    }
  if (host->rep.state != HOST_UP)
    return WAIT_NOT_UP;
  if (now_us < host->refused_until_us)
    return WAIT_REFUSED;
  if (now_us < host->cooldown_until_us)
    return WAIT_COOLING;
  return pool_at_limit (&mgr->rows[host->pool_row]) ? WAIT_POOL_LIMIT
                                                    : WAIT_PACE;
}

void
host_mgr_count_waits (const struct host_mgr *mgr, const struct mgr_wave *wave,
                      int64_t now_us, uint32_t waits[WAIT_COUNT])
{
  memset (waits, 0, WAIT_COUNT * sizeof *waits);
  for (size_t n = 0; n < wave->wave->host_count; n++)
    {
      const struct mgr_host *host = host_mgr_find (mgr, wave->wave->hosts[n]);
      if (!wave->done[n] && host && host->listed)
        waits[host_wait (mgr, host, now_us)]++;
    }
}
