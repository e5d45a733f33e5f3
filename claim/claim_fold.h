#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "claim/claim.h"

/* The rules of claims: a fold of the records of the claims stream in offset
   order.  No I/O and no clock: time is the log's own append time, so that
   every process that folds the same records holds the same state.

   - The first claim of a key holds it until it is released or the key's
     lifetime has passed since the last claim of the key, by whomever.
   - A release counts only from the holder, and only before a done.  A done
     counts only from the holder; an answer replaces "unknown", and nothing
     replaces an answer.
   - A writer's record counts only when its sequence is above all those folded
     of this writer and incarnation.  A record appended twice thus counts once,
     and one that lands after a later record of its writer never counts.

   Counting the lifetime from the last claim makes a fold that starts at a
   later offset hold every key that a fold from the start holds, once a
   lifetime of log time was read: see claim_fold_complete.  */

struct claim_fold_settings
{
  int64_t key_lifetime_ms; /* 1 to 2^40 */
  uint32_t max_keys;
};

struct claim_fold
{
  struct priv *priv;
};

enum claim_op_type
{
  CLAIM_OP_CLAIM,
  CLAIM_OP_DONE,
  CLAIM_OP_RELEASE,
};

struct claim_op
{
  enum claim_op_type type;
  struct claim_key key;
  uint64_t claim_id;
  uint64_t body_digest; /* claim */
  bool answered;        /* done */
  uint32_t status;      /* done, answered: HTTP status up to 999 */
};

enum claim_effect
{
  CLAIM_EFFECT_VOID,
  CLAIM_EFFECT_HOLDS,      /* this claim holds the key */
  CLAIM_EFFECT_HELD,       /* another claim holds the key */
  CLAIM_EFFECT_OTHER_BODY, /* the same, for a request with another body */
  CLAIM_EFFECT_NO_ROOM,    /* too many keys: the fold becomes incomplete */
  CLAIM_EFFECT_RECORDED,
  CLAIM_EFFECT_RELEASED,
};

/* What the fold holds of a key.  */
struct claim_held
{
  uint64_t claim_id;
  uint32_t body_digest; /* lower half */
  enum claim_known known;
  uint32_t status;
  int64_t known_ms;     /* log time of the claim or of the done */
  uint64_t done_offset; /* of the record that holds the answer */
};

/* Returns 0, ERR_INVALID or ERR_NOMEM.  */
int claim_fold_init (struct claim_fold *fold, void *parent,
                     const struct claim_fold_settings *set);
void claim_fold_fini (struct claim_fold *fold);

/* Forgets everything and goes on at offset FROM.  LOST: records before it
   were not folded, so that keys may be missing.  */
void claim_fold_reset (struct claim_fold *fold, uint64_t from, bool lost);

/* Begins the record at OFFSET, which must be claim_fold_next.  Returns whether
   its items count; claim_fold_item is called for them only then.  */
bool claim_fold_record (struct claim_fold *fold, uint64_t offset,
                        int64_t time_ms, const char *writer,
                        uint64_t incarnation, uint64_t sequence);
enum claim_effect claim_fold_item (struct claim_fold *fold,
                                   const struct claim_op *op);

/* Passes over the record at OFFSET.  MAY_CLAIM: it may hold claims that this
   program cannot read, so that the fold becomes incomplete.  */
void claim_fold_skip (struct claim_fold *fold, uint64_t offset,
                      int64_t time_ms, bool may_claim);

/* Returns whether KEY is held, and how.  */
bool claim_fold_find (const struct claim_fold *fold, struct claim_key key,
                      struct claim_held *held);

/* Whether no key that is held can be missing.  False after a start behind the
   log's first record, after a record that could not be read and after a claim
   that found no room, until a key lifetime of log time has passed since.  */
bool claim_fold_complete (const struct claim_fold *fold);

uint64_t claim_fold_next (const struct claim_fold *fold);
int64_t claim_fold_now_ms (const struct claim_fold *fold);
uint32_t claim_fold_count (const struct claim_fold *fold);
