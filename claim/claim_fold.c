#include "claim/claim_fold.h"

#include <string.h>
#include <talloc.h>
#include <xxhash.h>

#include "base/err.h"

#define KEY_LIFETIME_MAX_MS ((int64_t)1 << 40)
#define LOG_TIME_MAX_MS (((int64_t)1 << 42) - 1)
#define STATUS_MAX 999
#define ENTRIES_MIN 16
#define WRITERS_MIN 16
#define WRITERS_MAX 1024
#define NIL UINT32_MAX

/* A key that is held, or an unused entry in the free list.  64 bytes, so that
   a million keys take less than 72 MB with their buckets.  The bit fields for
   times hold less than 2^42 ms, which is reached in the year 2109.  */
struct entry
{
  struct claim_key key;
  uint64_t claim_id;
  uint64_t done_offset;
  uint64_t last_claim_ms : 42; /* log time; the list by age has this order */
  uint64_t result : 2;
  uint64_t status : 10;
  uint64_t recorded_ms : 42;
  uint32_t body_digest;
  /* Indices into priv.entries, or NIL.  */
  uint32_t older;
  uint32_t newer;
  uint32_t next; /* in the bucket, or in the free list */
};

_Static_assert(sizeof (struct entry) == 64, "memory bound per key");

/* A process that appends to the stream.  */
struct writer
{
  uint64_t name_hash;
  uint64_t incarnation;
  uint64_t sequence; /* of its last record that took effect */
  int64_t last_ms;   /* log time of that record */
};

struct priv
{
  struct claim_fold_settings set;
  uint64_t next_offset;
  int64_t log_time_ms;
  int64_t complete_ms;    /* the fold is complete from this log time on */
  bool complete_ms_unset; /* until the first record is folded */
  uint64_t record_offset; /* of the record being folded */

  struct entry *entries;
  uint32_t *buckets; /* hash table; indices of the first entries, or NIL */
  uint32_t cap;      /* of entries and of buckets; a power of two */
  uint32_t key_count;
  uint32_t free_list; /* index of the first unused entry, or NIL */
  uint32_t oldest;    /* by last claim */
  uint32_t newest;

  struct writer *writers;
  uint32_t writer_count;
  uint32_t writer_cap;
};

static uint32_t *
bucket_of (const struct priv *p, struct claim_key key)
{
  /* Keys are digests, so their low bits serve as the hash.  */
  return &p->buckets[key.lo & (p->cap - 1)];
}

static void
add_to_free_list (struct priv *p, uint32_t from)
{
  for (uint32_t n = p->cap; n-- > from;)
    {
      p->entries[n].next = p->free_list;
      p->free_list = n;
    }
}

static void
add_to_bucket (struct priv *p, uint32_t idx)
{
  uint32_t *head = bucket_of (p, p->entries[idx].key);
  p->entries[idx].next = *head;
  *head = idx;
}

/* Doubles the table.  Returns false when memory runs out or when max_keys is
   reached.  */
static bool
grow_table (struct priv *p)
{
  uint32_t cap = p->cap ? 2 * p->cap : ENTRIES_MIN;
  if (p->cap >= p->set.max_keys)
    return false;
  struct entry *entries = talloc_realloc (p, p->entries, struct entry, cap);
  if (!entries)
    return false;
  p->entries = entries;
  uint32_t *buckets = talloc_array (p, uint32_t, cap);
  if (!buckets)
    return false;
  talloc_free (p->buckets);
  p->buckets = buckets;
  memset (buckets, 0xff, cap * sizeof *buckets);
  uint32_t old = p->cap;
  p->cap = cap;
  for (uint32_t n = p->oldest; n != NIL; n = p->entries[n].newer)
    add_to_bucket (p, n);
  add_to_free_list (p, old);
  return true;
}

static uint32_t
find_entry (const struct priv *p, struct claim_key key)
{
  if (p->cap == 0)
    return NIL;
  uint32_t n = *bucket_of (p, key);
  while (n != NIL
         && (p->entries[n].key.hi != key.hi || p->entries[n].key.lo != key.lo))
    n = p->entries[n].next;
  return n;
}

static void
unlink_by_age (struct priv *p, uint32_t idx)
{
  struct entry *e = &p->entries[idx];
  if (e->older == NIL)
    p->oldest = e->newer;
  else
    p->entries[e->older].newer = e->newer;
  if (e->newer == NIL)
    p->newest = e->older;
  else
    p->entries[e->newer].older = e->older;
}

static void
link_newest (struct priv *p, uint32_t idx)
{
  struct entry *e = &p->entries[idx];
  e->last_claim_ms = (uint64_t)p->log_time_ms;
  e->older = p->newest;
  e->newer = NIL;
  if (p->newest == NIL)
    p->oldest = idx;
  else
    p->entries[p->newest].newer = idx;
  p->newest = idx;
}

static void
remove_entry (struct priv *p, uint32_t idx)
{
  uint32_t *link = bucket_of (p, p->entries[idx].key);
  while (*link != idx)
    link = &p->entries[*link].next;
  *link = p->entries[idx].next;
  unlink_by_age (p, idx);
  p->entries[idx].next = p->free_list;
  p->free_list = idx;
  p->key_count--;
}

static void
remove_expired (struct priv *p)
{
  while (p->oldest != NIL
         && (int64_t)p->entries[p->oldest].last_claim_ms
                    + p->set.key_lifetime_ms
                <= p->log_time_ms)
    remove_entry (p, p->oldest);
}

static void
set_incomplete (struct priv *p)
{
  p->complete_ms = p->log_time_ms + p->set.key_lifetime_ms;
}

static void
advance_to (struct priv *p, uint64_t offset, int64_t time_ms)
{
  if (time_ms > LOG_TIME_MAX_MS)
    time_ms = LOG_TIME_MAX_MS;
  if (time_ms > p->log_time_ms)
    p->log_time_ms = time_ms;
  p->record_offset = offset;
  p->next_offset = offset + 1;
  remove_expired (p);
  if (p->complete_ms_unset)
    set_incomplete (p);
  p->complete_ms_unset = false;
}

/* Returns the slot for a new writer: that of a writer without a record for a
   key lifetime, or an unused one.  When there are WRITERS_MAX writers, or
   memory runs out, the slot of the writer with the oldest last record is
   reused.  A late duplicate of that writer's records may then take effect and
   claim a key for a request that has already ended.  */
static struct writer *
new_writer (struct priv *p)
{
  struct writer *oldest = NULL;
  for (uint32_t n = 0; n < p->writer_count; n++)
    if (!oldest || p->writers[n].last_ms < oldest->last_ms)
      oldest = &p->writers[n];
  if (oldest
      && (p->writer_count == WRITERS_MAX
          || oldest->last_ms + p->set.key_lifetime_ms <= p->log_time_ms))
    return oldest;
  if (p->writer_count == p->writer_cap)
    {
      struct writer *more
          = talloc_realloc (p, p->writers, struct writer, 2 * p->writer_cap);
      if (!more)
        return oldest;
      p->writers = more;
      p->writer_cap *= 2;
    }
  return &p->writers[p->writer_count++];
}

bool
claim_fold_begin_record (struct claim_fold *fold, uint64_t offset,
                         int64_t time_ms, const char *writer,
                         uint64_t incarnation, uint64_t sequence)
{
  struct priv *p = fold->priv;
  uint64_t hash = XXH3_64bits (writer, strlen (writer));
  struct writer *wr = NULL;
  advance_to (p, offset, time_ms);
  for (uint32_t n = 0; n < p->writer_count && !wr; n++)
    if (p->writers[n].name_hash == hash
        && p->writers[n].incarnation == incarnation)
      wr = &p->writers[n];
  if (wr && wr->last_ms + p->set.key_lifetime_ms > p->log_time_ms
      && sequence <= wr->sequence)
    return false;
  if (!wr)
    wr = new_writer (p);
  *wr = (struct writer){ hash, incarnation, sequence, p->log_time_ms };
  return true;
}

static enum claim_effect
fold_claim (struct priv *p, const struct claim_op *op)
{
  uint32_t idx = find_entry (p, op->key);
  if (idx != NIL)
    {
      struct entry *e = &p->entries[idx];
      unlink_by_age (p, idx);
      link_newest (p, idx);
      if (e->claim_id == op->claim_id)
        return CLAIM_EFFECT_HOLDER;
      return e->body_digest == (uint32_t)op->body_digest
                 ? CLAIM_EFFECT_HELD_BY_OTHER
                 : CLAIM_EFFECT_OTHER_BODY;
    }
  if (p->key_count >= p->set.max_keys
      || (p->free_list == NIL && !grow_table (p)))
    {
      set_incomplete (p);
      return CLAIM_EFFECT_NO_ROOM;
    }
  idx = p->free_list;
  struct entry *e = &p->entries[idx];
  p->free_list = e->next;
  memset (e, 0, sizeof *e);
  e->key = op->key;
  e->claim_id = op->claim_id;
  e->body_digest = (uint32_t)op->body_digest;
  e->result = CLAIM_RESULT_NONE;
  e->recorded_ms = (uint64_t)p->log_time_ms;
  add_to_bucket (p, idx);
  link_newest (p, idx);
  p->key_count++;
  return CLAIM_EFFECT_HOLDER;
}

static enum claim_effect
fold_done (struct priv *p, const struct claim_op *op)
{
  uint32_t idx = find_entry (p, op->key);
  if (idx == NIL || p->entries[idx].claim_id != op->claim_id)
    return CLAIM_EFFECT_NONE;
  struct entry *e = &p->entries[idx];
  if (e->result == CLAIM_RESULT_ANSWERED
      || (e->result == CLAIM_RESULT_UNKNOWN && !op->answered))
    return CLAIM_EFFECT_NONE;
  e->result = op->answered ? CLAIM_RESULT_ANSWERED : CLAIM_RESULT_UNKNOWN;
  e->status = op->answered && op->status <= STATUS_MAX ? op->status : 0;
  e->recorded_ms = (uint64_t)p->log_time_ms;
  e->done_offset = p->record_offset;
  return CLAIM_EFFECT_RECORDED;
}

static enum claim_effect
fold_release (struct priv *p, const struct claim_op *op)
{
  uint32_t idx = find_entry (p, op->key);
  if (idx == NIL || p->entries[idx].claim_id != op->claim_id
      || p->entries[idx].result != CLAIM_RESULT_NONE)
    return CLAIM_EFFECT_NONE;
  remove_entry (p, idx);
  return CLAIM_EFFECT_RELEASED;
}

enum claim_effect
claim_fold_item (struct claim_fold *fold, const struct claim_op *op)
{
  switch (op->type)
    {
    case CLAIM_OP_CLAIM:
      return fold_claim (fold->priv, op);
    case CLAIM_OP_DONE:
      return fold_done (fold->priv, op);
    case CLAIM_OP_RELEASE:
      return fold_release (fold->priv, op);
    }
  return CLAIM_EFFECT_NONE;
}

void
claim_fold_skip (struct claim_fold *fold, uint64_t offset, int64_t time_ms,
                 bool may_claim)
{
  advance_to (fold->priv, offset, time_ms);
  if (may_claim)
    set_incomplete (fold->priv);
}

bool
claim_fold_find (const struct claim_fold *fold, struct claim_key key,
                 struct claim_key_state *held)
{
  const struct priv *p = fold->priv;
  uint32_t idx = find_entry (p, key);
  if (idx == NIL)
    return false;
  const struct entry *e = &p->entries[idx];
  *held = (struct claim_key_state){
    .claim_id = e->claim_id,
    .body_digest = e->body_digest,
    .result = (enum claim_result)e->result,
    .status = e->status,
    .recorded_ms = (int64_t)e->recorded_ms,
    .done_offset = e->done_offset,
  };
  return true;
}

bool
claim_fold_complete (const struct claim_fold *fold)
{
  const struct priv *p = fold->priv;
  return !p->complete_ms_unset && p->log_time_ms >= p->complete_ms;
}

uint64_t
claim_fold_next_offset (const struct claim_fold *fold)
{
  return fold->priv->next_offset;
}

int64_t
claim_fold_log_time_ms (const struct claim_fold *fold)
{
  return fold->priv->log_time_ms;
}

uint32_t
claim_fold_key_count (const struct claim_fold *fold)
{
  return fold->priv->key_count;
}

void
claim_fold_reset (struct claim_fold *fold, uint64_t from, bool lost)
{
  struct priv *p = fold->priv;
  TALLOC_FREE (p->entries);
  TALLOC_FREE (p->buckets);
  p->cap = 0;
  p->key_count = 0;
  p->free_list = p->oldest = p->newest = NIL;
  p->writer_count = 0;
  p->next_offset = from;
  p->log_time_ms = 0;
  p->complete_ms = 0;
  p->complete_ms_unset = lost;
}

int
claim_fold_init (struct claim_fold *fold, void *parent,
                 const struct claim_fold_settings *set)
{
  fold->priv = NULL;
  if (set->key_lifetime_ms < 1 || set->key_lifetime_ms > KEY_LIFETIME_MAX_MS
      || set->max_keys == 0 || set->max_keys > UINT32_MAX / 4)
    return ERR_INVALID;
  struct priv *p = talloc_zero (parent, struct priv);
  if (!p)
    return ERR_NOMEM;
  p->set = *set;
  p->writer_cap = WRITERS_MIN;
  p->writers = talloc_array (p, struct writer, WRITERS_MIN);
  if (!p->writers)
    {
      talloc_free (p);
      return ERR_NOMEM;
    }
  fold->priv = p;
  claim_fold_reset (fold, 0, false);
  return 0;
}

void
claim_fold_fini (struct claim_fold *fold)
{
  TALLOC_FREE (fold->priv);
}
