#include "wave/wave_fold.h"

#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base/err.h"

static const char *const step_names[WAVE_STEP_COUNT]
    = { "waiting", "draining", "rebooting", "checking", "back", "failed" };
static const char *const reason_names[WAVE_REASON_COUNT]
    = { "",          "no_return",    "not_healthy",  "refused",
        "host_down", "host_unknown", "several_lost", "rack_lost",
        "cancelled" };
static const char *const effect_names[WAVE_EFFECT_COUNT]
    = { "done", "void",  "invalid", "exists", "overlap",
        "full", "stale", "fenced",  "held" };

const char *
wave_step_name (enum wave_step step)
{
  return step_names[step];
}

const char *
wave_reason_name (enum wave_reason reason)
{
  return reason_names[reason];
}

const char *
wave_effect_name (enum wave_effect effect)
{
  return effect_names[effect];
}

bool
wave_name_valid (const char *name)
{
  static const char allowed[] = "abcdefghijklmnopqrstuvwxyz"
                                "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_-.";
  size_t len = strlen (name);
  return len > 0 && len < WAVE_NAME_SIZE && strspn (name, allowed) == len;
}

static bool
text_valid (const char *text)
{
  size_t len = strlen (text);
  if (len == 0 || len >= WAVE_NAME_SIZE)
    return false;
  for (const char *p = text; *p; p++)
    if (*p < ' ' || *p > '~')
      return false;
  return true;
}

/* The caller has checked that SRC fits.  */
static void
copy_name (char dst[WAVE_NAME_SIZE], const char *src)
{
  memcpy (dst, src, strlen (src) + 1);
}

int
wave_fold_init (struct wave_fold *fold, void *parent)
{
  memset (fold, 0, sizeof *fold);
  fold->ctx = talloc_new (parent);
  fold->waves = talloc_zero_array (fold->ctx, struct wave *, WAVE_WAVES_MAX);
  fold->pools
      = talloc_zero_array (fold->ctx, struct wave_pool_state, WAVE_POOLS_MAX);
  if (!fold->waves || !fold->pools)
    {
      TALLOC_FREE (fold->ctx);
      return ERR_NOMEM;
    }
  fold->complete = true;
  return 0;
}

void
wave_fold_fini (struct wave_fold *fold)
{
  TALLOC_FREE (fold->ctx);
}

void
wave_fold_reset (struct wave_fold *fold, uint64_t from, bool lost)
{
  for (uint32_t n = 0; n < fold->wave_count; n++)
    TALLOC_FREE (fold->waves[n]);
  memset (fold->leases, 0, sizeof fold->leases);
  fold->wave_count = 0;
  fold->lease_count = 0;
  fold->host_total = 0;
  fold->pool_count = 0;
  fold->evicted_generation = 0;
  fold->now_ms = 0;
  fold->next_offset = from;
  fold->complete = !lost;
  fold->change_count++;
}

struct wave *
wave_find (const struct wave_fold *fold, const char *id)
{
  for (uint32_t n = 0; n < fold->wave_count; n++)
    if (strcmp (fold->waves[n]->id, id) == 0)
      return fold->waves[n];
  return NULL;
}

static int
compare_name (const void *key, const void *host)
{
  return strcmp (key, ((const struct wave_host *)host)->name);
}

static int
compare_hosts (const void *a, const void *b)
{
  return strcmp (((const struct wave_host *)a)->name,
                 ((const struct wave_host *)b)->name);
}

struct wave_host *
wave_find_host (const struct wave *wv, const char *host)
{
  return bsearch (host, wv->hosts, wv->host_count, sizeof *wv->hosts,
                  compare_name);
}

const struct wave_lease *
wave_find_lease (const struct wave_fold *fold, const char *data_centre)
{
  for (uint32_t n = 0; n < fold->lease_count; n++)
    if (strcmp (fold->leases[n].data_centre, data_centre) == 0)
      return &fold->leases[n];
  return NULL;
}

static struct wave_pool_state *
find_pool_state (const struct wave_fold *fold, const char *pool)
{
  for (uint32_t n = 0; n < fold->pool_count; n++)
    if (strcmp (fold->pools[n].name, pool) == 0)
      return &fold->pools[n];
  return NULL;
}

struct wave_pool_state
wave_find_pool (const struct wave_fold *fold, const char *pool)
{
  const struct wave_pool_state *pst = find_pool_state (fold, pool);
  if (pst)
    return *pst;
  return (struct wave_pool_state){ .generation = fold->evicted_generation };
}

/* The entry of POOL, which is added if there is none.  When the array is full,
   it replaces the pool that has gone longest without a host taken out of
   service.  Pools without an entry share the highest generation ever evicted,
   so that none of them appears older than it is.  */
static struct wave_pool_state *
get_pool_state (struct wave_fold *fold, const char *pool)
{
  struct wave_pool_state *pst = find_pool_state (fold, pool);
  if (pst)
    return pst;
  pst = &fold->pools[0];
  if (fold->pool_count < WAVE_POOLS_MAX)
    pst = &fold->pools[fold->pool_count++];
  else
    {
      for (uint32_t n = 1; n < fold->pool_count; n++)
        if (fold->pools[n].generation < pst->generation)
          pst = &fold->pools[n];
      if (pst->generation > fold->evicted_generation)
        fold->evicted_generation = pst->generation;
    }
  memset (pst, 0, sizeof *pst);
  copy_name (pst->name, pool);
  pst->generation = fold->evicted_generation;
  return pst;
}

uint32_t
wave_hosts_in_maintenance (const struct wave *wv)
{
  return wv->hosts_in_step[WAVE_DRAINING] + wv->hosts_in_step[WAVE_REBOOTING]
         + wv->hosts_in_step[WAVE_CHECKING];
}

bool
wave_is_expired (const struct wave_fold *fold, const struct wave *wv)
{
  return wv->deadline_ms != 0 && fold->now_ms >= wv->deadline_ms;
}

bool
wave_is_open (const struct wave_fold *fold, const struct wave *wv)
{
  if (wave_hosts_in_maintenance (wv) > 0)
    return true;
  return wv->hosts_in_step[WAVE_WAITING] > 0 && wv->state != WAVE_CANCELLED
         && !wave_is_expired (fold, wv);
}

const char *
wave_state_name (const struct wave_fold *fold, const struct wave *wv)
{
  if (wv->state == WAVE_CANCELLED)
    return "cancelled";
  if (wv->state == WAVE_HALTED)
    return "halted";
  if (wave_hosts_in_maintenance (wv) == 0
      && wv->hosts_in_step[WAVE_WAITING] == 0)
    return "done";
  if (wave_is_expired (fold, wv))
    return "expired";
  return wv->state == WAVE_PAUSED ? "paused" : "running";
}

/* Whether HOST is in an open wave other than EXCEPT.  */
static bool
host_in_open_wave (const struct wave_fold *fold, const char *host,
                   const struct wave *except)
{
  for (uint32_t n = 0; n < fold->wave_count; n++)
    {
      const struct wave *wv = fold->waves[n];
      if (wv == except || !wave_is_open (fold, wv))
        continue;
      const struct wave_host *wh = wave_find_host (wv, host);
      if (wh && wh->step != WAVE_BACK && wh->step != WAVE_FAILED)
        return true;
    }
  return false;
}

static void
evict_wave (struct wave_fold *fold, uint32_t n)
{
  fold->host_total -= fold->waves[n]->host_count;
  talloc_free (fold->waves[n]);
  fold->wave_count--;
  memmove (&fold->waves[n], &fold->waves[n + 1],
           (fold->wave_count - n) * sizeof (struct wave *));
}

/* Evicts ended waves, oldest first, until one wave with COUNT hosts fits.
   Returns whether it does.  */
static bool
evict_ended_waves (struct wave_fold *fold, size_t count, uint64_t offset)
{
  for (uint32_t n = 0; n < fold->wave_count
                       && (fold->wave_count >= WAVE_WAVES_MAX
                           || fold->host_total + count > WAVE_HOSTS_TOTAL);)
    {
      const struct wave *wv = fold->waves[n];
      if (!wave_is_open (fold, wv) && offset - wv->offset > WAVE_CREATE_WINDOW)
        evict_wave (fold, n);
      else
        n++;
    }
  return fold->wave_count < WAVE_WAVES_MAX
         && fold->host_total + count <= WAVE_HOSTS_TOTAL;
}

/* Index of the data centre, which is added if needed; -1: too many.  */
static int
get_centre_index (struct wave_fold *fold, const char *data_centre)
{
  const struct wave_lease *ls = wave_find_lease (fold, data_centre);
  if (ls)
    return (int)(ls - fold->leases);
  if (fold->lease_count == WAVE_CENTRES_MAX)
    return -1;
  copy_name (fold->leases[fold->lease_count].data_centre, data_centre);
  return (int)fold->lease_count++;
}

static enum wave_effect
check_create (const struct wave_fold *fold, uint64_t offset,
              const struct wave_record *rec)
{
  if (!wave_name_valid (rec->id) || !text_valid (rec->editor)
      || rec->deadline_ms < 0 || rec->host_count == 0
      || rec->host_count > WAVE_HOSTS_MAX || rec->base_offset > offset)
    return WAVE_EFFECT_INVALID;
  for (size_t n = 0; n < rec->host_count; n++)
    if (!wave_name_valid (rec->hosts[n].name)
        || !wave_name_valid (rec->hosts[n].data_centre))
      return WAVE_EFFECT_INVALID;
  if (wave_find (fold, rec->id))
    return WAVE_EFFECT_EXISTS;
  if (offset - rec->base_offset > WAVE_CREATE_WINDOW)
    return WAVE_EFFECT_STALE;
  for (size_t n = 0; n < rec->host_count; n++)
    if (host_in_open_wave (fold, rec->hosts[n].name, NULL))
      return WAVE_EFFECT_OVERLAP;
  return WAVE_EFFECT_DONE;
}

static enum wave_effect
fill_hosts (struct wave_fold *fold, struct wave *wv,
            const struct wave_record *rec)
{
  for (size_t n = 0; n < rec->host_count; n++)
    {
      struct wave_host *wh = &wv->hosts[n];
      int centre = get_centre_index (fold, rec->hosts[n].data_centre);
      if (centre < 0)
        return WAVE_EFFECT_FULL;
      copy_name (wh->name, rec->hosts[n].name);
      wh->centre = (uint8_t)centre;
      wh->generation = 1;
      wh->since_ms = fold->now_ms;
    }
  qsort (wv->hosts, rec->host_count, sizeof *wv->hosts, compare_hosts);
  for (size_t n = 1; n < rec->host_count; n++)
    if (compare_hosts (&wv->hosts[n - 1], &wv->hosts[n]) == 0)
      return WAVE_EFFECT_INVALID;
  return WAVE_EFFECT_DONE;
}

static int
fold_create (struct wave_fold *fold, uint64_t offset,
             const struct wave_record *rec, enum wave_effect *effect)
{
  *effect = check_create (fold, offset, rec);
  if (*effect != WAVE_EFFECT_DONE)
    return 0;
  struct wave *wv = talloc_zero (fold->ctx, struct wave);
  if (wv)
    wv->hosts = talloc_zero_array (wv, struct wave_host, rec->host_count);
  if (!wv || !wv->hosts)
    {
      talloc_free (wv);
      return ERR_NOMEM;
    }
  *effect = evict_ended_waves (fold, rec->host_count, offset)
                ? fill_hosts (fold, wv, rec)
                : WAVE_EFFECT_FULL;
  if (*effect != WAVE_EFFECT_DONE)
    {
      talloc_free (wv);
      return 0;
    }
  copy_name (wv->id, rec->id);
  copy_name (wv->editor, rec->editor);
  wv->offset = offset;
  wv->created_ms = fold->now_ms;
  wv->changed_ms = fold->now_ms;
  wv->deadline_ms = rec->deadline_ms;
  wv->most_out = rec->most_out;
  wv->generation = 1;
  wv->host_count = (uint32_t)rec->host_count;
  wv->hosts_in_step[WAVE_WAITING] = wv->host_count;
  fold->host_total += wv->host_count;
  fold->waves[fold->wave_count++] = wv;
  return 0;
}

static void
set_host_step (struct wave_fold *fold, struct wave *wv, struct wave_host *wh,
               enum wave_step step, enum wave_reason reason)
{
  wv->hosts_in_step[wh->step]--;
  wv->hosts_in_step[step]++;
  wv->changed_ms = fold->now_ms;
  wh->step = step;
  wh->reason = reason;
  wh->generation++;
  wh->since_ms = fold->now_ms;
  wh->acknowledged = false;
  if (step == WAVE_DRAINING)
    wh->attempt = wh->generation;
  if (step == WAVE_REBOOTING)
    wh->rebooted = true;
}

/* Failed hosts no longer count towards a halt.  With RETRY they continue with
   the check if they were rebooted, and otherwise wait for maintenance again,
   so that no host is rebooted twice.  */
static void
resume_hosts (struct wave_fold *fold, struct wave *wv, bool retry)
{
  for (uint32_t n = 0; n < wv->host_count; n++)
    {
      struct wave_host *wh = &wv->hosts[n];
      if (wh->step != WAVE_FAILED)
        continue;
      if (retry && !host_in_open_wave (fold, wh->name, wv))
        set_host_step (fold, wv, wh,
                       wh->rebooted ? WAVE_CHECKING : WAVE_WAITING,
                       WAVE_REASON_NONE);
      else
        wh->acknowledged = true;
    }
}

static enum wave_effect
fold_change (struct wave_fold *fold, const struct wave_record *rec)
{
  struct wave *wv = wave_find (fold, rec->id);
  if (!text_valid (rec->editor))
    return WAVE_EFFECT_INVALID;
  if (!wv || wv->generation != rec->generation || wv->state == WAVE_CANCELLED)
    return WAVE_EFFECT_VOID;
  switch (rec->type)
    {
    case WAVE_RECORD_PAUSE:
      if (wv->state == WAVE_RUNNING)
        wv->state = WAVE_PAUSED;
      break;
    case WAVE_RECORD_CANCEL:
      wv->state = WAVE_CANCELLED;
      break;
    default:
      wv->state = WAVE_RUNNING;
      wv->reason = WAVE_REASON_NONE;
      resume_hosts (fold, wv, rec->retry);
      break;
    }
  wv->generation++;
  wv->changed_ms = fold->now_ms;
  copy_name (wv->editor, rec->editor);
  return WAVE_EFFECT_DONE;
}

static enum wave_effect
fold_lease (struct wave_fold *fold, uint64_t offset,
            const struct wave_record *rec)
{
  if (!wave_name_valid (rec->data_centre) || !text_valid (rec->writer)
      || rec->duration_ms > WAVE_LEASE_MAX_MS
      || (rec->duration_ms < WAVE_LEASE_MIN_MS && rec->duration_ms != 0))
    return WAVE_EFFECT_INVALID;
  int centre = get_centre_index (fold, rec->data_centre);
  if (centre < 0)
    return WAVE_EFFECT_FULL;
  struct wave_lease *ls = &fold->leases[centre];
  bool live = ls->granted && fold->now_ms < ls->expires_ms;
  bool same = ls->granted && ls->incarnation == rec->incarnation
              && strcmp (ls->holder, rec->writer) == 0;
  if (live && !same)
    return WAVE_EFFECT_HELD;
  if (!live && rec->duration_ms == 0)
    return WAVE_EFFECT_VOID;
  if (!live)
    {
      copy_name (ls->holder, rec->writer);
      ls->incarnation = rec->incarnation;
      ls->fence = offset;
      ls->granted = true;
    }
  ls->expires_ms = fold->now_ms + rec->duration_ms;
  return WAVE_EFFECT_DONE;
}

static bool
step_allowed (const struct wave *wv, const struct wave_host *wh,
              enum wave_step step)
{
  bool cancelled = wv->state == WAVE_CANCELLED;
  switch (step)
    {
    case WAVE_DRAINING:
      return wh->step == WAVE_WAITING && wv->state == WAVE_RUNNING;
    case WAVE_REBOOTING:
      return wh->step == WAVE_DRAINING && !wh->rebooted && !cancelled;
    case WAVE_CHECKING:
      return wh->step == WAVE_REBOOTING
             || (wh->step == WAVE_DRAINING && cancelled);
    case WAVE_BACK:
      return wh->step == WAVE_CHECKING;
    case WAVE_FAILED:
      return wh->step != WAVE_BACK && wh->step != WAVE_FAILED;
    default:
      return false;
    }
}

/* Returns whether the step took effect.  A step to WAVE_DRAINING has to name
   the pool's generation from before the record, so that several of them in one
   record may name the same generation.  */
static bool
fold_step (struct wave_fold *fold, uint64_t offset,
           const struct wave_lease *ls, const struct wave_step_item *item)
{
  struct wave *wv = wave_find (fold, item->wave);
  struct wave_host *wh = wv ? wave_find_host (wv, item->host) : NULL;
  bool named = wave_name_valid (item->pool);
  if (!wh || wh->generation != item->generation
      || &fold->leases[wh->centre] != ls || !step_allowed (wv, wh, item->step)
      || (unsigned int)item->reason >= WAVE_REASON_COUNT)
    return false;
  if (item->step == WAVE_DRAINING)
    {
      uint64_t current
          = named ? wave_find_pool (fold, item->pool).generation : 0;
      if (!named || wave_is_expired (fold, wv)
          || (current != item->pool_generation && current != offset + 1))
        return false;
    }
  if (named)
    {
      struct wave_pool_state *pst = get_pool_state (fold, item->pool);
      pst->changed_ms = fold->now_ms;
      if (item->step == WAVE_DRAINING)
        pst->generation = offset + 1;
    }
  set_host_step (fold, wv, wh, item->step, item->reason);
  return true;
}

static enum wave_effect
fold_plan (struct wave_fold *fold, uint64_t offset,
           const struct wave_record *rec)
{
  const struct wave_lease *ls = wave_find_lease (fold, rec->data_centre);
  enum wave_effect effect = WAVE_EFFECT_VOID;
  if (!ls || !ls->granted || ls->fence != rec->fence
      || ls->incarnation != rec->incarnation
      || strcmp (ls->holder, rec->writer) != 0)
    return WAVE_EFFECT_FENCED;
  for (size_t n = 0; n < rec->step_count; n++)
    if (fold_step (fold, offset, ls, &rec->steps[n]))
      effect = WAVE_EFFECT_DONE;
  for (size_t n = 0; n < rec->halt_count; n++)
    {
      const struct wave_halt_item *item = &rec->halts[n];
      struct wave *wv = wave_find (fold, item->wave);
      if (!wv || wv->generation != item->generation
          || (wv->state != WAVE_RUNNING && wv->state != WAVE_PAUSED)
          || (unsigned int)item->reason >= WAVE_REASON_COUNT)
        continue;
      wv->state = WAVE_HALTED;
      wv->reason = item->reason;
      wv->generation++;
      wv->changed_ms = fold->now_ms;
      effect = WAVE_EFFECT_DONE;
    }
  return effect;
}

int
wave_fold_record (struct wave_fold *fold, uint64_t offset, int64_t time_ms,
                  const struct wave_record *rec, enum wave_effect *effect)
{
  int64_t before_ms = fold->now_ms;
  int err = 0;
  if (offset != fold->next_offset)
    return ERR_INVALID;
  /* The log's clock may be set back; that must not extend leases.  */
  if (time_ms > fold->now_ms)
    fold->now_ms = time_ms;
  switch (rec->type)
    {
    case WAVE_RECORD_CREATE:
      err = fold_create (fold, offset, rec, effect);
      break;
    case WAVE_RECORD_LEASE:
      *effect = fold_lease (fold, offset, rec);
      break;
    case WAVE_RECORD_PLAN:
      *effect = fold_plan (fold, offset, rec);
      break;
    default:
      *effect = fold_change (fold, rec);
      break;
    }
  if (err)
    {
      fold->now_ms = before_ms;
      return err;
    }
  fold->next_offset++;
  /* Even a creation that did not fit may have evicted ended waves.  */
  if (*effect == WAVE_EFFECT_DONE || rec->type == WAVE_RECORD_CREATE)
    fold->change_count++;
  return 0;
}

void
wave_fold_skip (struct wave_fold *fold, uint64_t offset, int64_t time_ms)
{
  if (offset != fold->next_offset)
    return;
  if (time_ms > fold->now_ms)
    fold->now_ms = time_ms;
  fold->next_offset++;
}
