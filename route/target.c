#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <xxhash.h>

#include "base/err.h"
#include "route/route_priv.h"

/* The target table: handles, the groups from which targets are chosen, and the
   load of each target.  */

/* Peers whose load is recorded for one target.  */
#define PEER_LOADS_MAX 64

/* Upper bound of the load that a peer reports, more than any target has in
   flight.  Keeps the sum of wrong reports from wrapping to a small load.  */
#define PEER_LOAD_MAX 1000000

/* Time until the first probe of a target that was reported as leaving while
   the host list does not mark it so.  */
#define LEAVING_PROBE_DELAY_US 5000000

struct target *
target_get (const struct priv *p, struct target_handle tgt)
{
  if (tgt.generation == 0 || tgt.index >= p->capacity)
    return NULL;
  struct target *t = p->targets[tgt.index];
  return t->handle.generation == tgt.generation ? t : NULL;
}

static int
compare_group (uint32_t pool_a, const char *dc_a, uint32_t pool_b,
               const char *dc_b)
{
  if (pool_a != pool_b)
    return pool_a < pool_b ? -1 : 1;
  return strcmp (dc_a, dc_b);
}

static int
compare_groups (const void *a, const void *b)
{
  const struct group *x = a;
  const struct group *y = b;
  return compare_group (x->pool, x->data_centre, y->pool, y->data_centre);
}

struct group *
group_find (const struct priv *p, uint32_t pool, const char *data_centre)
{
  struct group key = { .pool = pool, .data_centre = data_centre };
  if (p->group_count == 0)
    return NULL;
  return bsearch (&key, p->groups, p->group_count, sizeof key, compare_groups);
}

static void
group_swap (struct priv *p, struct group *grp, uint32_t a, uint32_t b)
{
  uint32_t index = grp->indexes[a];
  grp->indexes[a] = grp->indexes[b];
  grp->indexes[b] = index;
  p->targets[grp->indexes[a]]->group_pos = a;
  p->targets[grp->indexes[b]]->group_pos = b;
}

void
group_set_ejected (struct priv *p, struct target *t, bool ejected)
{
  struct group *grp = t->group;
  if (ejected && t->group_pos < grp->available_count)
    group_swap (p, grp, t->group_pos, --grp->available_count);
  else if (!ejected && t->group_pos >= grp->available_count)
    group_swap (p, grp, t->group_pos, grp->available_count++);
}

void
group_add (struct priv *p, struct group *grp, struct target *t)
{
  t->group = grp;
  t->group_pos = grp->target_count;
  grp->indexes[grp->target_count++] = t->handle.index;
  group_set_ejected (p, t, false);
}

void
group_remove (struct priv *p, struct target *t)
{
  struct group *grp = t->group;
  if (!grp)
    return;
  group_set_ejected (p, t, true);
  group_swap (p, grp, t->group_pos, grp->target_count - 1);
  grp->target_count--;
  t->group = NULL;
}

static uint32_t
peers_in_flight (const struct priv *p, const struct target *t, int64_t now_us)
{
  uint32_t sum = 0;
  for (uint32_t n = 0; n < t->peer_load_count; n++)
    if (now_us - t->peer_loads[n].received_us < p->settings.peer_load_ttl_us)
      sum += t->peer_loads[n].in_flight;
  return sum;
}

uint32_t
target_in_flight (const struct priv *p, const struct target *t, int64_t now_us)
{
  uint32_t others = peers_in_flight (p, t, now_us);
  if (now_us < t->report_valid_until_us && t->reported_other_slots > others)
    others = t->reported_other_slots;
  uint32_t sum = t->own_in_flight + others;
  if (now_us < t->full_until_us && sum < t->info.slots)
    sum = t->info.slots;
  return sum;
}

void
target_queue_change (struct priv *p, struct target *t)
{
  if (t->change_queued)
    return;
  t->change_queued = true;
  p->changes[p->change_count++] = t->handle.index;
}

static void
drop_change (struct priv *p, struct target *t)
{
  for (uint32_t n = 0; t->change_queued && n < p->change_count; n++)
    if (p->changes[n] == t->handle.index)
      {
        p->changes[n] = p->changes[--p->change_count];
        t->change_queued = false;
      }
}

void
target_free_if_unused (struct priv *p, struct target *t)
{
  if (t->listed || t->own_in_flight > 0)
    return;
  drop_change (p, t);
  struct target_handle next = t->handle;
  next.generation++;
  if (next.generation == 0)
    next.generation = 1;
  talloc_free (t->peer_loads);
  *t = (struct target){ .handle = next };
  t->health.probe_pos = NO_POSITION;
  p->free_indexes[p->free_count++] = next.index;
}

/* Ensures that the table has room for MORE new targets.  */
static int
reserve_targets (struct priv *p, uint32_t more)
{
  if (p->free_count >= more)
    return 0;
  uint32_t size = p->capacity + more - p->free_count;
  uint32_t **arrays[] = { &p->free_indexes, &p->probes, &p->changes };
  for (size_t n = 0; n < sizeof arrays / sizeof *arrays; n++)
    {
      uint32_t *array = talloc_realloc (p, *arrays[n], uint32_t, size);
      if (!array)
        return ERR_NOMEM;
      *arrays[n] = array;
    }
  struct target **targets
      = talloc_realloc (p, p->targets, struct target *, size);
  if (!targets)
    return ERR_NOMEM;
  p->targets = targets;
  while (p->capacity < size)
    {
      struct target *t = talloc_zero (p, struct target);
      if (!t)
        return ERR_NOMEM;
      t->handle.index = p->capacity;
      t->handle.generation = 1;
      t->health.probe_pos = NO_POSITION;
      p->targets[p->capacity] = t;
      p->free_indexes[p->free_count++] = p->capacity++;
    }
  return 0;
}

/* Entry of a new list of targets while it is applied.  */
struct list_entry
{
  const struct target_info *info;
  struct target *target; /* NULL for a new target */
};

static int
compare_hosts (const void *a, const void *b)
{
  const struct list_entry *x = a;
  const struct list_entry *y = b;
  return strcmp (x->info->host, y->info->host);
}

static int
compare_entry_groups (const void *a, const void *b)
{
  const struct target_info *x = ((const struct list_entry *)a)->info;
  const struct target_info *y = ((const struct list_entry *)b)->info;
  int order = compare_group (x->pool, x->data_centre, y->pool, y->data_centre);
  return order ? order : strcmp (x->host, y->host);
}

static bool
name_is_valid (const char name[ROUTE_NAME_SIZE], bool may_be_empty)
{
  return memchr (name, 0, ROUTE_NAME_SIZE) && (may_be_empty || name[0]);
}

static bool
info_is_valid (const struct target_info *info)
{
  return name_is_valid (info->host, false)
         && name_is_valid (info->address, false)
         && name_is_valid (info->rack, true)
         && name_is_valid (info->data_centre, false);
}

static struct target *
find_host (const struct priv *p, const char *host)
{
  uint32_t low = 0;
  uint32_t high = p->listed_count;
  while (low < high)
    {
      uint32_t mid = low + (high - low) / 2;
      struct target *t = p->targets[p->by_host[mid]];
      int order = strcmp (host, t->info.host);
      if (order == 0)
        return t;
      if (order < 0)
        high = mid;
      else
        low = mid + 1;
    }
  return NULL;
}

/* Fills in ENTRIES, sorted by host, with the known target of each.  Returns
   the number of new targets, ERR_INVALID or ERR_EXISTS.  */
static int
match_entries (struct priv *p, struct list_entry *entries,
               const struct target_info *infos, size_t count)
{
  int new_count = 0;
  for (size_t n = 0; n < count; n++)
    {
      if (!info_is_valid (&infos[n]))
        return ERR_INVALID;
      struct target *t = find_host (p, infos[n].host);
      if (t && strcmp (t->info.address, infos[n].address) != 0)
        t = NULL;
      entries[n] = (struct list_entry){ &infos[n], t };
      new_count += t == NULL;
    }
  qsort (entries, count, sizeof *entries, compare_hosts);
  for (size_t n = 1; n < count; n++)
    if (strcmp (entries[n - 1].info->host, entries[n].info->host) == 0)
      return ERR_EXISTS;
  return new_count;
}

/* Creates empty groups with room for all ENTRIES, which are sorted by group.
   Returns NULL without memory.  */
static struct group *
create_groups (struct priv *p, const struct list_entry *entries, size_t count,
               uint32_t *group_count)
{
  struct group *groups = talloc_zero_array (p, struct group, count + 1);
  if (!groups)
    return NULL;
  uint32_t created = 0;
  for (size_t from = 0; from < count;)
    {
      const struct target_info *info = entries[from].info;
      size_t to = from + 1;
      while (to < count && entries[to].info->pool == info->pool
             && strcmp (entries[to].info->data_centre, info->data_centre) == 0)
        to++;
      struct group *grp = &groups[created++];
      grp->pool = info->pool;
      grp->data_centre = talloc_strdup (groups, info->data_centre);
      grp->indexes = talloc_array (groups, uint32_t, to - from);
      if (!grp->data_centre || !grp->indexes)
        {
          talloc_free (groups);
          return NULL;
        }
      from = to;
    }
  *group_count = created;
  return groups;
}

/* Empties the old groups and unlists the targets that ENTRIES lack.  */
static void
unlist_missing (struct priv *p, const struct list_entry *entries, size_t count)
{
  for (uint32_t n = 0; n < p->listed_count; n++)
    p->targets[p->by_host[n]]->listed = false;
  for (size_t n = 0; n < count; n++)
    if (entries[n].target)
      entries[n].target->listed = true;
  for (uint32_t n = 0; n < p->listed_count; n++)
    {
      struct target *t = p->targets[p->by_host[n]];
      t->group = NULL;
      if (t->listed)
        continue;
      health_cancel_probe (p, t);
      t->health.ejected = false;
      target_free_if_unused (p, t);
    }
}

/* Applies INFO to the target.  A target that is new in a group that existed
   before, or that is no longer leaving, begins with a slow start.  */
static void
apply_info (struct priv *p, struct target *t, const struct target_info *info,
            bool is_new, bool group_existed, int64_t now_us)
{
  bool returns = !is_new && t->info.leaving && !info->leaving;
  bool moves = is_new || t->info.pool != info->pool;
  if (returns)
    {
      t->marked_leaving = false;
      health_cancel_probe (p, t);
      t->health.ejected = false;
    }
  t->info = *info;
  t->listed = true;
  t->rack_digest
      = info->rack[0] ? XXH3_64bits (info->rack, strlen (info->rack)) : 0;
  if (info->leaving && !t->marked_leaving)
    {
      health_cancel_probe (p, t);
      t->health.ejected = false;
    }
  if (returns || (moves && group_existed))
    health_begin_slow_start (t, now_us);
}

static void
join_group (struct priv *p, struct target *t, struct group *grp)
{
  if (t->info.leaving || t->marked_leaving)
    return;
  group_add (p, grp, t);
  if (t->health.ejected)
    group_set_ejected (p, t, true);
}

/* Applies a checked list; cannot fail.  ENTRIES are sorted by group.  */
static void
apply_list (struct priv *p, struct list_entry *entries, size_t count,
            struct group *groups, uint32_t group_count, uint32_t *by_host,
            int64_t now_us)
{
  unlist_missing (p, entries, count);
  uint32_t g = 0;
  for (size_t n = 0; n < count; n++)
    {
      const struct target_info *info = entries[n].info;
      while (compare_group (groups[g].pool, groups[g].data_centre, info->pool,
                            info->data_centre)
             != 0)
        g++;
      bool group_existed
          = group_find (p, info->pool, info->data_centre) != NULL;
      bool is_new = entries[n].target == NULL;
      if (is_new)
        entries[n].target = p->targets[p->free_indexes[--p->free_count]];
      apply_info (p, entries[n].target, info, is_new, group_existed, now_us);
      join_group (p, entries[n].target, &groups[g]);
    }
  qsort (entries, count, sizeof *entries, compare_hosts);
  for (size_t n = 0; n < count; n++)
    by_host[n] = entries[n].target->handle.index;
  talloc_free (p->by_host);
  talloc_free (p->groups);
  p->by_host = by_host;
  p->listed_count = (uint32_t)count;
  p->groups = groups;
  p->group_count = group_count;
  for (uint32_t n = 0; n < group_count; n++)
    health_enforce_cap (p, &groups[n], now_us);
}

int
route_set_targets (struct route *rt, const struct target_info *infos,
                   size_t count, int64_t now_us)
{
  struct priv *p = rt->priv;
  health_detect_pause (p, now_us);
  if (count > INT32_MAX)
    return ERR_TOO_LARGE;
  struct list_entry *entries = talloc_array (p, struct list_entry, count + 1);
  uint32_t *by_host = talloc_array (p, uint32_t, count + 1);
  struct group *groups = NULL;
  uint32_t group_count = 0;
  int err = ERR_NOMEM;
  if (!entries || !by_host)
    goto done;
  err = match_entries (p, entries, infos, count);
  if (err < 0)
    goto done;
  err = reserve_targets (p, (uint32_t)err);
  if (err < 0)
    goto done;
  qsort (entries, count, sizeof *entries, compare_entry_groups);
  err = ERR_NOMEM;
  groups = create_groups (p, entries, count, &group_count);
  if (!groups)
    goto done;
  apply_list (p, entries, count, groups, group_count, by_host, now_us);
  by_host = NULL;
  err = 0;
done:
  talloc_free (entries);
  talloc_free (by_host);
  return err;
}

const struct target_info *
route_target_info (const struct route *rt, struct target_handle tgt)
{
  const struct target *t = target_get (rt->priv, tgt);
  return t ? &t->info : NULL;
}

enum target_state
route_target_state (const struct route *rt, struct target_handle tgt,
                    int64_t now_us)
{
  const struct priv *p = rt->priv;
  const struct target *t = target_get (p, tgt);
  if (!t || !t->group)
    return TARGET_LEAVING;
  if (t->health.ejected)
    return TARGET_EJECTED;
  bool slow
      = t->health.slow_start
        && now_us - t->health.slow_start_begin_us < p->settings.slow_start_us;
  return slow || t->health.probation ? TARGET_SLOW_START : TARGET_LIVE;
}

int
route_find_target (const struct route *rt, const char *host,
                   struct target_handle *out)
{
  const struct target *t = find_host (rt->priv, host);
  if (!t)
    return ERR_NOT_FOUND;
  *out = t->handle;
  return 0;
}

void
route_mark_leaving (struct route *rt, struct target_handle tgt, int64_t now_us)
{
  struct priv *p = rt->priv;
  struct target *t = target_get (p, tgt);
  health_detect_pause (p, now_us);
  if (!t || !t->listed || t->marked_leaving)
    return;
  struct group *grp = t->group;
  t->marked_leaving = true;
  t->health.ejected = false;
  group_remove (p, t);
  health_cancel_probe (p, t);
  health_schedule_probe (p, t, now_us + LEAVING_PROBE_DELAY_US);
  if (grp)
    health_enforce_cap (p, grp, now_us);
}

void
route_peer_load (struct route *rt, uint32_t peer, struct target_handle tgt,
                 uint32_t in_flight, int64_t now_us)
{
  struct priv *p = rt->priv;
  struct target *t = target_get (p, tgt);
  health_detect_pause (p, now_us);
  if (!t)
    return;
  struct peer_load *entry = NULL;
  for (uint32_t n = 0; n < t->peer_load_count && !entry; n++)
    if (t->peer_loads[n].peer == peer)
      entry = &t->peer_loads[n];
  for (uint32_t n = 0; n < t->peer_load_count && !entry; n++)
    if (now_us - t->peer_loads[n].received_us >= p->settings.peer_load_ttl_us)
      entry = &t->peer_loads[n];
  if (!entry && t->peer_load_count < PEER_LOADS_MAX)
    {
      struct peer_load *loads = talloc_realloc (
          p, t->peer_loads, struct peer_load, t->peer_load_count + 1);
      /* Without memory the load of the peer stays unknown, as after a lost
         delta.  The target itself refuses work beyond its slots.  */
      if (!loads)
        return;
      t->peer_loads = loads;
      entry = &loads[t->peer_load_count++];
    }
  if (in_flight > PEER_LOAD_MAX)
    in_flight = PEER_LOAD_MAX;
  if (entry)
    *entry = (struct peer_load){ peer, in_flight, now_us };
}

void
route_pool_load (const struct route *rt, uint32_t pool, int64_t now_us,
                 struct route_pool_load *out)
{
  const struct priv *p = rt->priv;
  *out = (struct route_pool_load){ 0 };
  for (uint32_t g = 0; g < p->group_count; g++)
    {
      const struct group *grp = &p->groups[g];
      if (grp->pool != pool)
        continue;
      out->targets += grp->available_count;
      for (uint32_t n = 0; n < grp->available_count; n++)
        {
          const struct target *t = p->targets[grp->indexes[n]];
          out->slots += health_usable_slots (p, t, now_us);
          out->own_attempts += t->own_in_flight;
          out->peer_attempts += peers_in_flight (p, t, now_us);
        }
    }
}

size_t
route_take_load_changes (struct route *rt, struct route_candidate *out,
                         size_t max)
{
  struct priv *p = rt->priv;
  size_t count = p->change_count < max ? p->change_count : max;
  for (size_t n = 0; n < count; n++)
    {
      struct target *t = p->targets[p->changes[n]];
      t->change_queued = false;
      out[n] = (struct route_candidate){ t->handle, t->own_in_flight,
                                         t->info.slots };
    }
  p->change_count -= (uint32_t)count;
  if (count > 0)
    memmove (p->changes, p->changes + count,
             p->change_count * sizeof *p->changes);
  return count;
}
