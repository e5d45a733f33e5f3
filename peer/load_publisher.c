#include "peer/load_publisher.h"

#include <string.h>
#include <talloc.h>

#define HASH_NONFATAL_OOM 1
#include <uthash.h>

#include "base/err.h"

/* Messages into which one refresh of all targets is split, spread evenly over
   refresh_us.  */
#define REFRESH_SLICES 8
#define FRAME_OVERHEAD_BYTES 32 /* of a frame without its lists */
/* Encoded size of a changed target whose id is close to the previous one and
   whose count is small.  */
#define CHANGE_BYTES 1
/* Smallest budget for a partial delta: with less, most of the message would be
   frame overhead.  */
#define PARTIAL_MIN_BYTES 160
#define WEIGHT_COUNT 16 /* weights of changes: 0 to 15, 0 for no change */
#define TIME_UNSET INT64_MIN

const struct load_publisher_settings load_publisher_settings_default = {
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
  uint32_t value; /* in-flight requests */
  uint32_t sent;  /* value last sent to the peers */
  bool ejected;
  bool ejected_sent;
};

struct priv
{
  struct load_publisher_settings set;
  struct entry **entries; /* by id */
  uint32_t count;
  struct entry *by_name;
  uint32_t epoch;
  uint32_t ejected; /* number of ejected targets */

  int64_t next_delta_us;
  int64_t next_refresh_us;
  uint32_t next_refresh_id;
  uint32_t next_fill_id; /* first id to consider for the fill of the next
                            partial delta, see struct selection */
  /* Token bucket for the budget.  */
  int64_t token_bytes;   /* bytes that may be sent on each link */
  int64_t token_time_us; /* until when tokens have been added */
  bool more_due;         /* more messages may be due in this interval */
  bool health_due;

  /* The message returned last.  GAPS also holds codes and shared lengths.  */
  PeerNames names;
  LoadDelta load;
  HealthDelta health;
  uint32_t *gaps;
  uint32_t *values;
  ProtobufCBinaryData *suffixes;
};

int
load_publisher_init (struct load_publisher *pub, void *parent,
                     const struct load_publisher_settings *set)
{
  if (set->max_targets == 0 || set->max_entries == 0
      || set->min_interval_us <= 0 || set->refresh_us <= 0)
    return ERR_INVALID;
  struct priv *p = talloc_zero (parent, struct priv);
  if (!p)
    return ERR_NOMEM;
  p->set = *set;
  p->epoch = 1;
  p->token_time_us = TIME_UNSET;
  p->entries = talloc_zero_array (p, struct entry *, set->max_targets);
  p->gaps = talloc_array (p, uint32_t, set->max_entries);
  p->values = talloc_array (p, uint32_t, set->max_entries);
  p->suffixes = talloc_array (p, ProtobufCBinaryData, set->max_entries);
  if (!p->entries || !p->gaps || !p->values || !p->suffixes)
    {
      talloc_free (p);
      return ERR_NOMEM;
    }
  pub->priv = p;
  return 0;
}

void
load_publisher_fini (struct load_publisher *pub)
{
  if (pub->priv)
    HASH_CLEAR (hh, pub->priv->by_name);
  TALLOC_FREE (pub->priv);
}

/* clang-tidy counts the statements of the uthash macro.
   NOLINTBEGIN(readability-function-size) */
static int
entry_insert (struct priv *p, struct entry *ent)
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

/* Starts a new dictionary that keeps only the targets that have load or are
   ejected, so that removed targets do not fill it up.  */
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
  p->next_refresh_id = 0;
  p->next_fill_id = 0;
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
  int err = entry_insert (p, ent);
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
load_publisher_set (struct load_publisher *pub, const char *host,
                    uint32_t in_flight, uint32_t slots)
{
  struct priv *p = pub->priv;
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
load_publisher_set_health (struct load_publisher *pub, const char *host,
                           bool ejected)
{
  struct priv *p = pub->priv;
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

/* Appends one target to the codes, which need space for two more numbers.  */
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

/* Makes a message with the values of the ids from FIRST to before END, or of
   fewer when max_entries is reached.  With CURRENT these are the current
   values, which thereby are sent to all peers; otherwise the values last sent.
   Returns the end of the range that the message covers.  */
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

/* Returns the weight of a target's change, which grows with its size relative
   to the slots; 0 without a change.  */
static uint32_t
change_weight (const struct entry *ent)
{
  uint32_t diff = ent->value > ent->sent ? ent->value - ent->sent
                                         : ent->sent - ent->value;
  if (diff == 0)
    return 0;
  uint64_t weight = 1 + (uint64_t)diff * 8 / ent->slots;
  return weight < WEIGHT_COUNT ? (uint32_t)weight : WEIGHT_COUNT - 1;
}

/* The changed targets that are chosen for one message.  Where not all changes
   of a weight fit, successive messages take them in turn, by id.  */
struct selection
{
  uint32_t min_weight; /* all changes of at least this weight */
  uint32_t fill;       /* number of changes of weight min_weight - 1 */
};

/* Chooses at most MAX changed targets, larger weights first.  */
static struct selection
select_changes (const struct priv *p, uint32_t max)
{
  uint32_t counts[WEIGHT_COUNT] = { 0 };
  for (uint32_t id = 0; id < p->count; id++)
    counts[change_weight (p->entries[id])]++;
  struct selection sel = { .min_weight = WEIGHT_COUNT };
  while (sel.min_weight > 1 && counts[sel.min_weight - 1] <= max)
    max -= counts[--sel.min_weight];
  sel.fill = sel.min_weight > 1 ? max : 0;
  return sel;
}

/* Returns how many changed targets a message may hold within the budget; 0
   when it has to wait.  */
static uint32_t
delta_max_changes (const struct priv *p, bool partial)
{
  uint32_t pending = 0;
  uint32_t max_changes
      = p->set.max_entries / 2; /* a change takes at most two numbers */
  if (p->set.budget_bytes_per_s == 0)
    return max_changes;
  for (uint32_t id = 0; id < p->count; id++)
    pending += p->entries[id]->value != p->entries[id]->sent;
  int64_t needed_bytes
      = FRAME_OVERHEAD_BYTES + (int64_t)CHANGE_BYTES * pending;
  if (p->token_bytes < needed_bytes
      && (!partial || p->token_bytes < PARTIAL_MIN_BYTES))
    return 0;
  int64_t affordable = (p->token_bytes - FRAME_OVERHEAD_BYTES) / CHANGE_BYTES;
  return affordable < max_changes ? (uint32_t)affordable : max_changes;
}

/* Makes the next delta of this interval.  Returns false when none is due.  */
static bool
make_delta (struct priv *p, bool partial, PeerFrame *frame)
{
  size_t count = 0;
  uint32_t next_id = 0;
  uint32_t max_changes = delta_max_changes (p, partial);
  if (max_changes == 0)
    return false;
  struct selection sel = select_changes (p, max_changes);
  uint32_t fill_end = 0;
  for (uint32_t id = 0; id < p->count; id++)
    {
      struct entry *ent = p->entries[id];
      uint32_t weight = change_weight (ent);
      bool fill = sel.fill > 0 && weight == sel.min_weight - 1
                  && id >= p->next_fill_id;
      if (weight < sel.min_weight && !fill)
        continue;
      if (fill && --sel.fill == 0)
        fill_end = id + 1;
      ent->sent = ent->value;
      put_code (p, &count, &next_id, ent);
    }
  p->next_fill_id = fill_end;
  frame_set_load (p, 0, 0, count, frame);
  return count > 0;
}

/* Makes a message with the health of all targets.  As few are ejected, it is
   often shorter than a list of changes would be, and the next message corrects
   a lost one.  */
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

/* Makes the next message of the periodic refresh, if it is due.  */
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
  if (p->next_refresh_id >= p->count)
    p->next_refresh_id = 0;
  p->health_due |= p->next_refresh_id == 0;
  uint32_t size = (p->count + REFRESH_SLICES - 1) / REFRESH_SLICES;
  p->next_refresh_id = make_range (p, p->next_refresh_id,
                                   p->next_refresh_id + size, true, frame);
  return true;
}

/* Adds tokens for the time that passed.  The bucket holds at most one second's
   tokens (or PARTIAL_MIN_BYTES if that is more), so that a quiet time is not
   followed by a burst.  */
static void
refill_tokens (struct priv *p, int64_t now_us, uint32_t links)
{
  int64_t rate = p->set.budget_bytes_per_s / links;
  int64_t max_tokens = rate > PARTIAL_MIN_BYTES ? rate : PARTIAL_MIN_BYTES;
  int64_t bytes = p->token_time_us == TIME_UNSET
                      ? max_tokens
                      : rate * (now_us - p->token_time_us) / 1000000;
  if (p->token_time_us == TIME_UNSET || p->token_bytes + bytes > max_tokens)
    {
      p->token_bytes = max_tokens;
      p->token_time_us = now_us;
    }
  else if (bytes > 0)
    {
      p->token_bytes += bytes;
      p->token_time_us += bytes * 1000000 / rate;
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
load_publisher_next (struct load_publisher *pub, int64_t now_us,
                     uint32_t links, bool partial, PeerFrame *frame)
{
  struct priv *p = pub->priv;
  if (links == 0)
    return false;
  if (now_us >= p->next_delta_us)
    {
      p->next_delta_us = now_us + p->set.min_interval_us;
      p->more_due = true;
    }
  if (!p->more_due)
    return false;
  refill_tokens (p, now_us, links);
  p->more_due = make_next (p, now_us, partial, frame);
  if (p->more_due)
    p->token_bytes
        -= FRAME_OVERHEAD_BYTES + (int64_t)peer_frame__get_packed_size (frame);
  return p->more_due;
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
load_publisher_catch_up (struct load_publisher *pub, struct load_cursor *cur,
                         uint32_t max, PeerFrame *frame)
{
  struct priv *p = pub->priv;
  if (cur->epoch != p->epoch)
    *cur = (struct load_cursor){ .epoch = p->epoch };
  if (max == 0 || max > p->set.max_entries)
    max = p->set.max_entries;
  if (cur->values_sent < cur->names_sent)
    {
      cur->values_sent
          = make_range (p, cur->values_sent, cur->names_sent, false, frame);
      return true;
    }
  if (cur->names_sent < p->count)
    {
      uint32_t end = p->count - cur->names_sent > max ? cur->names_sent + max
                                                      : p->count;
      make_names (p, cur->names_sent, end, frame);
      cur->names_sent = end;
      /* The peer ignored health of targets whose names it did not know.  */
      cur->health_sent &= p->ejected == 0;
      return true;
    }
  if (cur->health_sent || p->count == 0)
    return false;
  cur->health_sent = true;
  make_health (p, frame);
  return true;
}
