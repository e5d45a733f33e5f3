#include "peer/load.h"

#include <string.h>
#include <talloc.h>

#define HASH_NONFATAL_OOM 1
#include <uthash.h>

#include "base/err.h"

/* Ranges in which one refresh of all targets is spread over its time.  */
#define REFRESH_SLICES 8
/* Bytes of a frame besides its lists, and of a changed target whose id is near
   the one before and whose count is small.  */
#define FRAME_BYTES 32
#define ENTRY_BYTES 1
/* With less to spend a message would mostly consist of its frame.  */
#define SPEND_MIN_BYTES 160
#define WEIGHTS 16
#define NEVER INT64_MIN

const struct load_settings load_settings_default = {
  .max_targets = 4096,
  .max_entries = 2048,
  .min_interval_us = 100000,
  .refresh_us = 30000000,
  .budget_bytes_per_s = 2500,
};

struct entry
{
  UT_hash_handle hh;
  char name[LOAD_NAME_MAX + 1];
  uint32_t id;
  uint32_t slots;
  uint32_t value;
  uint32_t sent; /* as the peers know it */
  bool ejected;
  bool ejected_sent;
};

struct priv
{
  struct load_settings set;
  struct entry **entries; /* by id */
  uint32_t count;
  struct entry *by_name;
  uint32_t epoch;
  uint32_t ejected; /* targets */

  int64_t next_delta_us;
  int64_t next_refresh_us;
  uint32_t refresh_from;
  uint32_t fill_from; /* first id of the next partial delta's last weight */
  int64_t credit;     /* bytes that may be sent on each link */
  int64_t credit_us;  /* time up to which it was granted */
  bool scanning;
  bool health_due;

  /* The message given out last.  */
  PeerNames names;
  LoadDelta load;
  HealthDelta health;
  uint32_t *gaps;
  uint32_t *values;
  ProtobufCBinaryData *suffixes;
};

int
load_init (struct load *ld, void *parent, const struct load_settings *set)
{
  if (set->max_targets == 0 || set->max_entries == 0
      || set->min_interval_us <= 0 || set->refresh_us <= 0)
    return ERR_INVALID;
  struct priv *p = talloc_zero (parent, struct priv);
  if (!p)
    return ERR_NOMEM;
  p->set = *set;
  p->epoch = 1;
  p->credit_us = NEVER;
  p->entries = talloc_zero_array (p, struct entry *, set->max_targets);
  p->gaps = talloc_array (p, uint32_t, set->max_entries);
  p->values = talloc_array (p, uint32_t, set->max_entries);
  p->suffixes = talloc_array (p, ProtobufCBinaryData, set->max_entries);
  if (!p->entries || !p->gaps || !p->values || !p->suffixes)
    {
      talloc_free (p);
      return ERR_NOMEM;
    }
  ld->priv = p;
  return 0;
}

void
load_fini (struct load *ld)
{
  if (ld->priv)
    HASH_CLEAR (hh, ld->priv->by_name);
  TALLOC_FREE (ld->priv);
}

/* The statements counted are those of the uthash macro.
   NOLINTBEGIN(readability-function-size) */
static int
entry_index (struct priv *p, struct entry *ent)
{
  HASH_ADD_STR (p->by_name, name, ent);
  return ent->hh.tbl ? 0 : ERR_NOMEM;
}
/* NOLINTEND(readability-function-size) */

static void
entry_free (struct priv *p, struct entry *ent)
{
  if (p->by_name)
    HASH_DEL (p->by_name, ent);
  talloc_free (ent);
}

/* Starts a new dictionary with the targets that have load or are ejected, so
   that names of targets that went away do not fill it up.  */
static void
entries_compact (struct priv *p)
{
  uint32_t kept = 0;
  for (uint32_t n = 0; n < p->count; n++)
    {
      struct entry *ent = p->entries[n];
      if (ent->value == 0 && !ent->ejected)
        {
          entry_free (p, ent);
          continue;
        }
      ent->id = kept;
      p->entries[kept++] = ent;
    }
  p->count = kept;
  p->epoch++;
  p->refresh_from = 0;
  p->fill_from = 0;
}

static int
entry_add (struct priv *p, const char *host, struct entry **out)
{
  size_t len = strlen (host);
  if (len == 0 || len > LOAD_NAME_MAX)
    return ERR_INVALID;
  if (p->count == p->set.max_targets)
    entries_compact (p);
  if (p->count == p->set.max_targets)
    return ERR_FULL;
  struct entry *ent = talloc_zero (p, struct entry);
  if (!ent)
    return ERR_NOMEM;
  memcpy (ent->name, host, len + 1);
  ent->id = p->count;
  int err = entry_index (p, ent);
  if (err)
    {
      talloc_free (ent);
      return err;
    }
  p->entries[p->count++] = ent;
  *out = ent;
  return 0;
}

static struct entry *
entry_find (struct priv *p, const char *host)
{
  struct entry *ent;
  HASH_FIND_STR (p->by_name, host, ent);
  return ent;
}

int
load_set (struct load *ld, const char *host, uint32_t in_flight,
          uint32_t slots)
{
  struct priv *p = ld->priv;
  if (in_flight > LOAD_COUNT_MAX || slots == 0)
    return ERR_INVALID;
  struct entry *ent = entry_find (p, host);
  if (!ent && in_flight == 0)
    return 0;
  int err = ent ? 0 : entry_add (p, host, &ent);
  if (err)
    return err;
  ent->value = in_flight;
  ent->slots = slots;
  return 0;
}

int
load_set_health (struct load *ld, const char *host, bool ejected)
{
  struct priv *p = ld->priv;
  struct entry *ent = entry_find (p, host);
  if (!ent && !ejected)
    return 0;
  int err = ent ? 0 : entry_add (p, host, &ent);
  if (!err)
    {
      p->ejected += ejected;
      p->ejected -= ent->ejected;
      ent->ejected = ejected;
      p->health_due |= ent->ejected != ent->ejected_sent;
    }
  return err;
}

static void
frame_set_load (struct priv *p, uint32_t first, uint32_t span, size_t count,
                PeerFrame *frame)
{
  load_delta__init (&p->load);
  p->load.epoch = p->epoch;
  p->load.first = first;
  p->load.span = span;
  p->load.n_codes = count;
  p->load.codes = p->gaps;
  peer_frame__init (frame);
  frame->body_case = PEER_FRAME__BODY_LOAD;
  frame->load = &p->load;
}

static void
put_entry (struct priv *p, size_t *count, uint32_t *next_id, uint32_t id,
           uint32_t value)
{
  p->gaps[*count] = id - *next_id;
  p->values[*count] = value;
  *next_id = id + 1;
  ++*count;
}

/* Adds one target to the codes; there has to be room for two numbers.  */
static void
put_code (struct priv *p, size_t *count, uint32_t *next_id,
          const struct entry *ent)
{
  bool more = ent->sent >= LOAD_CODE_MORE;
  p->gaps[(*count)++] = (ent->id - *next_id) * LOAD_CODE_BASE
                        + (more ? LOAD_CODE_MORE : ent->sent);
  if (more)
    p->gaps[(*count)++] = ent->sent - LOAD_CODE_MORE;
  *next_id = ent->id + 1;
}

/* All values of a range.  With CURRENT they are brought up to date for all
   peers first.  Returns the end of the range.  */
static uint32_t
make_range (struct priv *p, uint32_t first, uint32_t end, bool current,
            PeerFrame *frame)
{
  size_t count = 0;
  uint32_t next_id = first;
  uint32_t id = first;
  for (; id < end && id < p->count && count + 2 <= p->set.max_entries; id++)
    {
      struct entry *ent = p->entries[id];
      if (current)
        ent->sent = ent->value;
      if (ent->sent != 0)
        put_code (p, &count, &next_id, ent);
    }
  frame_set_load (p, first, id - first, count, frame);
  return id;
}

/* How much a change matters: more, the larger it is beside the slots.  */
static uint32_t
entry_weight (const struct entry *ent)
{
  uint32_t diff = ent->value > ent->sent ? ent->value - ent->sent
                                         : ent->sent - ent->value;
  if (diff == 0)
    return 0;
  uint64_t weight = 1 + (uint64_t)diff * 8 / ent->slots;
  return weight < WEIGHTS ? (uint32_t)weight : WEIGHTS - 1;
}

/* Which of the changed targets go into a message for which there is room for
   MAX of them.  */
struct selection
{
  uint32_t weight; /* all of at least this weight */
  uint32_t fill;   /* and as many of the weight below */
};

static struct selection
select_changes (const struct priv *p, uint32_t max)
{
  uint32_t counts[WEIGHTS] = { 0 };
  for (uint32_t id = 0; id < p->count; id++)
    counts[entry_weight (p->entries[id])]++;
  struct selection sel = { .weight = WEIGHTS };
  while (sel.weight > 1 && counts[sel.weight - 1] <= max)
    max -= counts[--sel.weight];
  sel.fill = sel.weight > 1 ? max : 0;
  return sel;
}

/* Room for changed targets in what may be sent now; 0 to wait.  */
static uint32_t
delta_room (const struct priv *p, bool partial)
{
  uint32_t pending = 0;
  uint32_t most = p->set.max_entries / 2; /* of up to two numbers */
  if (p->set.budget_bytes_per_s == 0)
    return most;
  for (uint32_t id = 0; id < p->count; id++)
    pending += p->entries[id]->value != p->entries[id]->sent;
  int64_t need = FRAME_BYTES + (int64_t)ENTRY_BYTES * pending;
  if (p->credit < need && (!partial || p->credit < SPEND_MIN_BYTES))
    return 0;
  int64_t room = (p->credit - FRAME_BYTES) / ENTRY_BYTES;
  return room < most ? (uint32_t)room : most;
}

/* The next message with changed targets of this interval.  */
static bool
make_delta (struct priv *p, bool partial, PeerFrame *frame)
{
  size_t count = 0;
  uint32_t next_id = 0;
  uint32_t room = delta_room (p, partial);
  if (room == 0)
    return false;
  struct selection sel = select_changes (p, room);
  uint32_t filled_to = 0;
  for (uint32_t id = 0; id < p->count; id++)
    {
      struct entry *ent = p->entries[id];
      uint32_t weight = entry_weight (ent);
      bool fill
          = sel.fill > 0 && weight == sel.weight - 1 && id >= p->fill_from;
      if (weight < sel.weight && !fill)
        continue;
      if (fill && --sel.fill == 0)
        filled_to = id + 1;
      ent->sent = ent->value;
      put_code (p, &count, &next_id, ent);
    }
  p->fill_from = filled_to;
  frame_set_load (p, 0, 0, count, frame);
  return count > 0;
}

/* The health of all targets: with few ejections it is shorter than the list
   of changes would be often, and a lost message heals with the next.  */
static void
make_health (struct priv *p, PeerFrame *frame)
{
  size_t count = 0;
  uint32_t next_id = 0;
  uint32_t id = 0;
  for (; id < p->count && count < p->set.max_entries; id++)
    {
      struct entry *ent = p->entries[id];
      ent->ejected_sent = ent->ejected;
      if (ent->ejected)
        put_entry (p, &count, &next_id, id, 1);
    }
  health_delta__init (&p->health);
  p->health.epoch = p->epoch;
  p->health.span = id;
  p->health.n_gaps = count;
  p->health.gaps = p->gaps;
  p->health.n_ejected = count;
  p->health.ejected = p->values;
  peer_frame__init (frame);
  frame->body_case = PEER_FRAME__BODY_HEALTH;
  frame->health = &p->health;
}

static bool
make_refresh (struct priv *p, int64_t now_us, bool partial, PeerFrame *frame)
{
  bool first = p->next_refresh_us == 0;
  if (p->count == 0 || now_us < p->next_refresh_us
      || (!partial && p->set.budget_bytes_per_s > 0))
    return false;
  p->next_refresh_us = now_us + p->set.refresh_us / REFRESH_SLICES;
  if (first)
    return false;
  if (p->refresh_from >= p->count)
    p->refresh_from = 0;
  p->health_due |= p->refresh_from == 0;
  uint32_t size = (p->count + REFRESH_SLICES - 1) / REFRESH_SLICES;
  p->refresh_from
      = make_range (p, p->refresh_from, p->refresh_from + size, true, frame);
  return true;
}

/* At most a second's worth is saved up, so that a quiet time is not followed
   by a burst.  */
static void
grant_credit (struct priv *p, int64_t now_us, uint32_t links)
{
  int64_t rate = p->set.budget_bytes_per_s / links;
  int64_t most = rate > SPEND_MIN_BYTES ? rate : SPEND_MIN_BYTES;
  int64_t bytes = p->credit_us == NEVER
                      ? most
                      : rate * (now_us - p->credit_us) / 1000000;
  if (p->credit_us == NEVER || p->credit + bytes > most)
    {
      p->credit = most;
      p->credit_us = now_us;
    }
  else if (bytes > 0)
    {
      p->credit += bytes;
      p->credit_us += bytes * 1000000 / rate;
    }
}

static bool
make_next (struct priv *p, int64_t now_us, bool partial, PeerFrame *frame)
{
  if (p->health_due)
    {
      p->health_due = false;
      make_health (p, frame);
      return true;
    }
  return make_refresh (p, now_us, partial, frame)
         || make_delta (p, partial, frame);
}

bool
load_next (struct load *ld, int64_t now_us, uint32_t links, bool partial,
           PeerFrame *frame)
{
  struct priv *p = ld->priv;
  if (links == 0)
    return false;
  if (now_us >= p->next_delta_us)
    {
      p->next_delta_us = now_us + p->set.min_interval_us;
      p->scanning = true;
    }
  if (!p->scanning)
    return false;
  grant_credit (p, now_us, links);
  p->scanning = make_next (p, now_us, partial, frame);
  if (p->scanning)
    p->credit -= FRAME_BYTES + (int64_t)peer_frame__get_packed_size (frame);
  return p->scanning;
}

static void
make_names (struct priv *p, uint32_t first, uint32_t end, PeerFrame *frame)
{
  const char *prev = "";
  size_t count = 0;
  for (uint32_t id = first; id < end; id++, count++)
    {
      char *name = p->entries[id]->name;
      uint32_t shared = 0;
      while (prev[shared] && prev[shared] == name[shared])
        shared++;
      p->gaps[count] = shared;
      p->suffixes[count].data = (uint8_t *)name + shared;
      p->suffixes[count].len = strlen (name + shared);
      prev = name;
    }
  peer_names__init (&p->names);
  p->names.epoch = p->epoch;
  p->names.first = first;
  p->names.n_shared = count;
  p->names.shared = p->gaps;
  p->names.n_suffixes = count;
  p->names.suffixes = p->suffixes;
  peer_frame__init (frame);
  frame->body_case = PEER_FRAME__BODY_NAMES;
  frame->names = &p->names;
}

bool
load_catch_up (struct load *ld, struct load_cursor *cur, uint32_t max,
               PeerFrame *frame)
{
  struct priv *p = ld->priv;
  if (cur->epoch != p->epoch)
    *cur = (struct load_cursor){ .epoch = p->epoch };
  if (max == 0 || max > p->set.max_entries)
    max = p->set.max_entries;
  if (cur->values < cur->names)
    {
      cur->values = make_range (p, cur->values, cur->names, false, frame);
      return true;
    }
  if (cur->names < p->count)
    {
      uint32_t end = p->count - cur->names > max ? cur->names + max : p->count;
      make_names (p, cur->names, end, frame);
      cur->names = end;
      /* The peer ignored the health of targets that it had no names of.  */
      cur->health_sent &= p->ejected == 0;
      return true;
    }
  if (cur->health_sent || p->count == 0)
    return false;
  cur->health_sent = true;
  make_health (p, frame);
  return true;
}
