#include "claim/claim_fold.h"

#include <string.h>
#include <talloc.h>
#include <xxhash.h>

#include "base/err.h"

#define LIFETIME_MAX_MS ((int64_t)1 << 40)
#define TIME_MAX_MS (((int64_t)1 << 42) - 1)
#define STATUS_MAX 999
#define ENTRIES_MIN 16
#define WRITERS_MIN 16
#define WRITERS_MAX 1024
#define NIL UINT32_MAX

/* 64 bytes, so that a million keys stay below 72 MB with the bucket heads.
   Bit fields hold log times of up to 2^42 ms, which reach to the year 2109. */
struct entry
{
  struct claim_key key;
  uint64_t claim_id;
  uint64_t done_offset;
  uint64_t last_ms : 42; /* last claim of the key; order of the list */
  uint64_t known : 2;
  uint64_t status : 10;
  uint64_t known_ms : 42;
  uint32_t body_digest;
  /* Indices into entries, or NIL.  */
  uint32_t older;
  uint32_t newer;
  uint32_t chain; /* next of the bucket, or of the free list */
};

_Static_assert(sizeof (struct entry) == 64, "memory bound per key");

struct writer
{
  uint64_t name_hash;
  uint64_t incarnation;
  uint64_t sequence; /* highest folded */
  int64_t last_ms;
};

struct priv
{
  struct claim_fold_settings set;
  uint64_t next;
  int64_t now_ms;
  int64_t complete_ms;   /* the fold is complete from this log time on */
  bool complete_unknown; /* the first record read decides it */
  uint64_t offset;       /* of the record being folded */

  struct entry *entries;
  uint32_t *heads;
  uint32_t cap; /* of entries and heads; a power of two */
  uint32_t count;
  uint32_t free;
  uint32_t oldest;
  uint32_t newest;

  struct writer *writers;
  uint32_t writer_count;
  uint32_t writer_cap;
};

static uint32_t *
head_of (const struct priv *p, struct claim_key key)
{
  /* Keys are digests already.  */
  return &p->heads[key.lo & (p->cap - 1)];
}

static void
put_free (struct priv *p, uint32_t from)
{
  for (uint32_t n = p->cap; n-- > from;)
    {
      p->entries[n].chain = p->free;
      p->free = n;
    }
}

static void
link_bucket (struct priv *p, uint32_t idx)
{
  uint32_t *head = head_of (p, p->entries[idx].key);
  p->entries[idx].chain = *head;
  *head = idx;
}

/* Doubles the room.  Returns false without memory or at the bound.  */
static bool
grow (struct priv *p)
{
  uint32_t cap = p->cap ? 2 * p->cap : ENTRIES_MIN;
  if (p->cap >= p->set.max_keys)
    return false;
  struct entry *entries = talloc_realloc (p, p->entries, struct entry, cap);
  if (!entries)
    return false;
  p->entries = entries;
  uint32_t *heads = talloc_array (p, uint32_t, cap);
  if (!heads)
    return false;
  talloc_free (p->heads);
  p->heads = heads;
  memset (heads, 0xff, cap * sizeof *heads);
  uint32_t old = p->cap;
  p->cap = cap;
  for (uint32_t n = p->oldest; n != NIL; n = p->entries[n].newer)
    link_bucket (p, n);
  put_free (p, old);
  return true;
}

static uint32_t
find (const struct priv *p, struct claim_key key)
{
  if (p->cap == 0)
    return NIL;
  uint32_t n = *head_of (p, key);
  while (n != NIL
         && (p->entries[n].key.hi != key.hi || p->entries[n].key.lo != key.lo))
    n = p->entries[n].chain;
  return n;
}

static void
unlink_age (struct priv *p, uint32_t idx)
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
  e->last_ms = (uint64_t)p->now_ms;
  e->older = p->newest;
  e->newer = NIL;
  if (p->newest == NIL)
    p->oldest = idx;
  else
    p->entries[p->newest].newer = idx;
  p->newest = idx;
}

static void
drop (struct priv *p, uint32_t idx)
{
  uint32_t *link = head_of (p, p->entries[idx].key);
  while (*link != idx)
    link = &p->entries[*link].chain;
  *link = p->entries[idx].chain;
  unlink_age (p, idx);
  p->entries[idx].chain = p->free;
  p->free = idx;
  p->count--;
}

static void
expire (struct priv *p)
{
  while (p->oldest != NIL
         && (int64_t)p->entries[p->oldest].last_ms + p->set.key_lifetime_ms
                <= p->now_ms)
    drop (p, p->oldest);
}

static void
set_incomplete (struct priv *p)
{
  p->complete_ms = p->now_ms + p->set.key_lifetime_ms;
}

static void
advance (struct priv *p, uint64_t offset, int64_t time_ms)
{
  if (time_ms > TIME_MAX_MS)
    time_ms = TIME_MAX_MS;
  if (time_ms > p->now_ms)
    p->now_ms = time_ms;
  p->offset = offset;
  p->next = offset + 1;
  expire (p);
  if (p->complete_unknown)
    set_incomplete (p);
  p->complete_unknown = false;
}

/* Returns the slot for a writer that is new or was not heard of for a key
   lifetime.  When all are in use, the one quiet for longest gives way: a late
   duplicate of its records may then count, and claim a key for nobody.  */
static struct writer *
new_writer (struct priv *p)
{
  struct writer *oldest = NULL;
  for (uint32_t n = 0; n < p->writer_count; n++)
    if (!oldest || p->writers[n].last_ms < oldest->last_ms)
      oldest = &p->writers[n];
  if (oldest
      && (p->writer_count == WRITERS_MAX
          || oldest->last_ms + p->set.key_lifetime_ms <= p->now_ms))
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
claim_fold_record (struct claim_fold *fold, uint64_t offset, int64_t time_ms,
                   const char *writer, uint64_t incarnation, uint64_t sequence)
{
  struct priv *p = fold->priv;
  uint64_t hash = XXH3_64bits (writer, strlen (writer));
  struct writer *wr = NULL;
  advance (p, offset, time_ms);
  for (uint32_t n = 0; n < p->writer_count && !wr; n++)
    if (p->writers[n].name_hash == hash
        && p->writers[n].incarnation == incarnation)
      wr = &p->writers[n];
  if (wr && wr->last_ms + p->set.key_lifetime_ms > p->now_ms
      && sequence <= wr->sequence)
    return false;
  if (!wr)
    wr = new_writer (p);
  *wr = (struct writer){ hash, incarnation, sequence, p->now_ms };
  return true;
}

static enum claim_effect
fold_claim (struct priv *p, const struct claim_op *op)
{
  uint32_t idx = find (p, op->key);
  if (idx != NIL)
    {
      struct entry *e = &p->entries[idx];
      unlink_age (p, idx);
      link_newest (p, idx);
      if (e->claim_id == op->claim_id)
        return CLAIM_EFFECT_HOLDS;
      return e->body_digest == (uint32_t)op->body_digest
                 ? CLAIM_EFFECT_HELD
                 : CLAIM_EFFECT_OTHER_BODY;
    }
  if (p->count >= p->set.max_keys || (p->free == NIL && !grow (p)))
    {
      set_incomplete (p);
      return CLAIM_EFFECT_NO_ROOM;
    }
  idx = p->free;
  struct entry *e = &p->entries[idx];
  p->free = e->chain;
  memset (e, 0, sizeof *e);
  e->key = op->key;
  e->claim_id = op->claim_id;
  e->body_digest = (uint32_t)op->body_digest;
  e->known = CLAIM_KNOWN_NOTHING;
  e->known_ms = (uint64_t)p->now_ms;
  link_bucket (p, idx);
  link_newest (p, idx);
  p->count++;
  return CLAIM_EFFECT_HOLDS;
}

static enum claim_effect
fold_done (struct priv *p, const struct claim_op *op)
{
  uint32_t idx = find (p, op->key);
  if (idx == NIL || p->entries[idx].claim_id != op->claim_id)
    return CLAIM_EFFECT_VOID;
  struct entry *e = &p->entries[idx];
  if (e->known == CLAIM_KNOWN_ANSWERED
      || (e->known == CLAIM_KNOWN_UNKNOWN && !op->answered))
    return CLAIM_EFFECT_VOID;
  e->known = op->answered ? CLAIM_KNOWN_ANSWERED : CLAIM_KNOWN_UNKNOWN;
  e->status = op->answered && op->status <= STATUS_MAX ? op->status : 0;
  e->known_ms = (uint64_t)p->now_ms;
  e->done_offset = p->offset;
  return CLAIM_EFFECT_RECORDED;
}

static enum claim_effect
fold_release (struct priv *p, const struct claim_op *op)
{
  uint32_t idx = find (p, op->key);
  if (idx == NIL || p->entries[idx].claim_id != op->claim_id
      || p->entries[idx].known != CLAIM_KNOWN_NOTHING)
    return CLAIM_EFFECT_VOID;
  drop (p, idx);
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
  return CLAIM_EFFECT_VOID;
}

void
claim_fold_skip (struct claim_fold *fold, uint64_t offset, int64_t time_ms,
                 bool may_claim)
{
  advance (fold->priv, offset, time_ms);
  if (may_claim)
    set_incomplete (fold->priv);
}

bool
claim_fold_find (const struct claim_fold *fold, struct claim_key key,
                 struct claim_held *held)
{
  const struct priv *p = fold->priv;
  uint32_t idx = find (p, key);
  if (idx == NIL)
    return false;
  const struct entry *e = &p->entries[idx];
  *held = (struct claim_held){
    .claim_id = e->claim_id,
    .body_digest = e->body_digest,
    .known = (enum claim_known)e->known,
    .status = e->status,
    .known_ms = (int64_t)e->known_ms,
    .done_offset = e->done_offset,
  };
  return true;
}

bool
claim_fold_complete (const struct claim_fold *fold)
{
  const struct priv *p = fold->priv;
  return !p->complete_unknown && p->now_ms >= p->complete_ms;
}

uint64_t
claim_fold_next (const struct claim_fold *fold)
{
  return fold->priv->next;
}

int64_t
claim_fold_now_ms (const struct claim_fold *fold)
{
  return fold->priv->now_ms;
}

uint32_t
claim_fold_count (const struct claim_fold *fold)
{
  return fold->priv->count;
}

void
claim_fold_reset (struct claim_fold *fold, uint64_t from, bool lost)
{
  struct priv *p = fold->priv;
  TALLOC_FREE (p->entries);
  TALLOC_FREE (p->heads);
  p->cap = 0;
  p->count = 0;
  p->free = p->oldest = p->newest = NIL;
  p->writer_count = 0;
  p->next = from;
  p->now_ms = 0;
  p->complete_ms = 0;
  p->complete_unknown = lost;
}

int
claim_fold_init (struct claim_fold *fold, void *parent,
                 const struct claim_fold_settings *set)
{
  fold->priv = NULL;
  if (set->key_lifetime_ms < 1 || set->key_lifetime_ms > LIFETIME_MAX_MS
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
