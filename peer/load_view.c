#include "peer/load_view.h"

#include <string.h>
#include <talloc.h>

#include "base/err.h"
#include "peer/load_publisher.h"

const struct load_view_settings load_view_settings_default = {
  .max_targets = 4096,
  .ttl_us = 2000000,
  .repeat_us = 1000000,
};

struct entry
{
  char *name;
  uint32_t value; /* in-flight requests */
  bool ejected;
  /* Sequence numbers of the messages with the last value and health.  */
  uint64_t value_sequence;
  uint64_t health_sequence;
};

struct priv
{
  struct load_view_settings set;
  const struct load_view_events *evs;
  void *arg;
  struct entry *entries; /* by id */
  uint32_t count;
  uint32_t capacity;
  uint32_t epoch;
  bool live; /* values are reported, and have not expired */
  int64_t last_frame_us;
  int64_t repeat_at_us;
};

int
load_view_init (struct load_view *lv, void *parent,
                const struct load_view_settings *set,
                const struct load_view_events *evs, void *arg)
{
  if (set->max_targets == 0 || set->ttl_us <= 0 || set->repeat_us <= 0)
    return ERR_INVALID;
  struct priv *p = talloc_zero (parent, struct priv);
  if (!p)
    return ERR_NOMEM;
  p->set = *set;
  p->evs = evs;
  p->arg = arg;
  lv->priv = p;
  return 0;
}

/* Reports all values with VALID, else load 0 and not ejected in their place.
 */
static void
report_all (struct priv *p, bool valid)
{
  for (uint32_t n = 0; n < p->count; n++)
    {
      struct entry *ent = &p->entries[n];
      if (ent->value > 0)
        p->evs->load (p->arg, ent->name, valid ? ent->value : 0);
      if (ent->ejected)
        p->evs->health (p->arg, ent->name, valid);
    }
}

static void
entries_clear (struct priv *p)
{
  if (p->live)
    report_all (p, false);
  TALLOC_FREE (p->entries);
  p->count = 0;
  p->capacity = 0;
}

void
load_view_fini (struct load_view *lv)
{
  if (!lv->priv)
    return;
  entries_clear (lv->priv);
  TALLOC_FREE (lv->priv);
}

/* Allows only visible ASCII, as host names are written to logs and messages.
 */
static bool
name_valid (const char *name, size_t len)
{
  if (len == 0 || len > LOAD_NAME_MAX)
    return false;
  for (size_t n = 0; n < len; n++)
    if (name[n] <= ' ' || name[n] > '~')
      return false;
  return true;
}

/* Appends the name of the next id, or checks that a known id has the same name
   as before.  */
static int
entry_set_name (struct priv *p, uint32_t id, const char *name, size_t len)
{
  if (id < p->count)
    return strlen (p->entries[id].name) == len
                   && memcmp (p->entries[id].name, name, len) == 0
               ? 0
               : ERR_PROTOCOL;
  char *copy = talloc_strndup (p->entries, name, len);
  if (!copy)
    return ERR_NOMEM;
  p->entries[id] = (struct entry){ .name = copy };
  p->count = id + 1;
  return 0;
}

static int
entries_reserve (struct priv *p, size_t need)
{
  if (need > p->set.max_targets)
    return ERR_PROTOCOL;
  if (need <= p->capacity)
    return 0;
  uint32_t capacity
      = need < 2 * p->capacity ? 2 * p->capacity : (uint32_t)need;
  if (capacity > p->set.max_targets)
    capacity = p->set.max_targets;
  struct entry *ents = talloc_realloc (p, p->entries, struct entry, capacity);
  if (!ents)
    return ERR_NOMEM;
  p->entries = ents;
  p->capacity = capacity;
  return 0;
}

int
load_view_names (struct load_view *lv, const PeerNames *msg)
{
  struct priv *p = lv->priv;
  if (msg->n_shared != msg->n_suffixes || msg->epoch < p->epoch
      || msg->first > p->set.max_targets)
    return ERR_PROTOCOL;
  if (msg->epoch > p->epoch)
    {
      entries_clear (p);
      p->epoch = msg->epoch;
    }
  if (msg->first > p->count)
    return ERR_PROTOCOL;
  int err = entries_reserve (p, (size_t)msg->first + msg->n_shared);
  char name[LOAD_NAME_MAX];
  size_t prev_len = 0;
  for (size_t n = 0; !err && n < msg->n_shared; n++)
    {
      size_t shared = msg->shared[n];
      const ProtobufCBinaryData *suf = &msg->suffixes[n];
      if (shared > prev_len || suf->len > LOAD_NAME_MAX - shared)
        return ERR_PROTOCOL;
      if (suf->len > 0)
        memcpy (name + shared, suf->data, suf->len);
      prev_len = shared + suf->len;
      if (!name_valid (name, prev_len))
        return ERR_PROTOCOL;
      err = entry_set_name (p, msg->first + (uint32_t)n, name, prev_len);
    }
  return err;
}

/* Checks a whole list of gaps and values, so that an invalid message changes
   nothing.  */
static int
check_list (const struct priv *p, uint32_t first, uint32_t span, size_t n_gaps,
            const uint32_t *gaps, size_t n_values, const uint32_t *values,
            uint32_t max_value)
{
  uint64_t id = first;
  if (n_gaps != n_values || (uint64_t)first + span > p->set.max_targets)
    return ERR_PROTOCOL;
  for (size_t n = 0; n < n_gaps; n++)
    {
      id += gaps[n];
      if (id >= p->set.max_targets || values[n] > max_value)
        return ERR_PROTOCOL;
      id++;
    }
  return 0;
}

typedef void apply_fn (struct priv *p, uint32_t id, uint64_t sequence,
                       uint32_t value);

static void
apply_value (struct priv *p, uint32_t id, uint64_t sequence, uint32_t value)
{
  if (id >= p->count || sequence <= p->entries[id].value_sequence)
    return;
  struct entry *ent = &p->entries[id];
  bool changed = ent->value != value;
  ent->value_sequence = sequence;
  ent->value = value;
  if (changed && p->live)
    p->evs->load (p->arg, ent->name, value);
}

static void
apply_health (struct priv *p, uint32_t id, uint64_t sequence, uint32_t value)
{
  if (id >= p->count || sequence <= p->entries[id].health_sequence)
    return;
  struct entry *ent = &p->entries[id];
  bool changed = ent->ejected != (value != 0);
  ent->health_sequence = sequence;
  ent->ejected = value != 0;
  if (changed && p->live)
    p->evs->health (p->arg, ent->name, ent->ejected);
}

/* Applies listed values, and 0 to the ids of the range from FIRST that are not
   listed.  */
static void
apply_list (struct priv *p, uint64_t sequence, uint32_t first, uint32_t span,
            size_t count, const uint32_t *gaps, const uint32_t *values,
            apply_fn *apply)
{
  uint32_t id = first;
  uint32_t end = first + span;
  for (size_t n = 0; n < count; n++)
    {
      uint32_t listed = id + gaps[n];
      for (; id < listed && id < end; id++)
        apply (p, id, sequence, 0);
      apply (p, listed, sequence, values[n]);
      id = listed + 1;
    }
  for (; id < end; id++)
    apply (p, id, sequence, 0);
}

/* Decodes a delta's codes into gaps and counts.  Returns the number of
   targets, or SIZE_MAX when a count is missing or too large.  */
static size_t
decode (const LoadDelta *msg, uint32_t *gaps, uint32_t *counts)
{
  size_t count = 0;
  for (size_t n = 0; n < msg->n_codes; n++, count++)
    {
      gaps[count] = msg->codes[n] / LOAD_CODE_BASE;
      counts[count] = msg->codes[n] % LOAD_CODE_BASE;
      if (counts[count] < LOAD_CODE_MORE)
        continue;
      if (++n == msg->n_codes || msg->codes[n] > LOAD_COUNT_MAX)
        return SIZE_MAX;
      counts[count] += msg->codes[n];
    }
  return count;
}

int
load_view_load (struct load_view *lv, uint64_t sequence, const LoadDelta *msg)
{
  struct priv *p = lv->priv;
  int err = ERR_NOMEM;
  uint32_t *gaps = talloc_array (p, uint32_t, msg->n_codes);
  uint32_t *counts = talloc_array (p, uint32_t, msg->n_codes);
  if (!gaps || !counts)
    goto done;
  size_t count = decode (msg, gaps, counts);
  err = count == SIZE_MAX ? ERR_PROTOCOL
                          : check_list (p, msg->first, msg->span, count, gaps,
                                        count, counts, LOAD_COUNT_MAX);
  if (!err && msg->epoch == p->epoch)
    apply_list (p, sequence, msg->first, msg->span, count, gaps, counts,
                apply_value);
done:
  talloc_free (gaps);
  talloc_free (counts);
  return err;
}

int
load_view_health (struct load_view *lv, uint64_t sequence,
                  const HealthDelta *msg)
{
  struct priv *p = lv->priv;
  int err = check_list (p, msg->first, msg->span, msg->n_gaps, msg->gaps,
                        msg->n_ejected, msg->ejected, 1);
  if (!err && msg->epoch == p->epoch)
    apply_list (p, sequence, msg->first, msg->span, msg->n_gaps, msg->gaps,
                msg->ejected, apply_health);
  return err;
}

void
load_view_new_link (struct load_view *lv)
{
  struct priv *p = lv->priv;
  for (uint32_t n = 0; n < p->count; n++)
    {
      p->entries[n].value_sequence = 0;
      p->entries[n].health_sequence = 0;
    }
}

void
load_view_frame_received (struct load_view *lv, int64_t now_us)
{
  struct priv *p = lv->priv;
  p->last_frame_us = now_us;
  if (p->live)
    return;
  p->live = true;
  p->repeat_at_us = now_us + p->set.repeat_us;
  report_all (p, true);
}

void
load_view_tick (struct load_view *lv, int64_t now_us)
{
  struct priv *p = lv->priv;
  if (!p->live)
    return;
  if (now_us - p->last_frame_us >= p->set.ttl_us)
    {
      report_all (p, false);
      p->live = false;
    }
  else if (now_us >= p->repeat_at_us)
    {
      p->repeat_at_us = now_us + p->set.repeat_us;
      report_all (p, true);
    }
}
