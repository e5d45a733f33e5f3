#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "claim/claim.h"

/* The state of all claims, computed by folding the records of the claims
   stream: each record is applied to the state in offset order.  No I/O and no
   clock: time is the append time that the log gives each record, so all
   processes that fold the same records have the same state.

   - The first claim of a key holds it until it is released, or until the key's
     lifetime has passed since the last claim of the key, by any process.
   - A release takes effect only when it names the holder and no result is
     recorded.  A done item takes effect only when it names the holder; an
     answer replaces the result "unknown", and nothing replaces an answer.
   - A record takes effect only when its sequence is higher than that of every
     record folded from the same writer and incarnation.  A record appended
     twice thus takes effect once, and a record that is appended after a later
     one of its writer has no effect.

   Because the lifetime counts from the last claim, a fold that starts at a
   later offset holds every key that a fold from the start holds, once it has
   read a lifetime of log time: see claim_fold_complete.  */

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
  CLAIM_OP_DONE,    /* records the result of a claim's request */
  CLAIM_OP_RELEASE, /* gives up a key whose request was never sent */
};

struct claim_op
{
  enum claim_op_type type;
  struct claim_key key;
  uint64_t claim_id;
  uint64_t body_digest; /* of a claim: see claim_body_digest */
  bool answered;        /* of a done item: false when the result is unknown */
  uint32_t status;      /* of an answered done item: HTTP status up to 999 */
};

enum claim_effect
{
  CLAIM_EFFECT_NONE,          /* a done item or release that does not apply */
  CLAIM_EFFECT_HOLDER,        /* this claim holds the key */
  CLAIM_EFFECT_HELD_BY_OTHER, /* another claim holds it, with the same body */
  CLAIM_EFFECT_OTHER_BODY,    /* another claim holds it, with another body */
  CLAIM_EFFECT_NO_ROOM,  /* the claim was dropped because max_keys are held
                            or memory ran out; the fold is incomplete */
  CLAIM_EFFECT_RECORDED, /* the result was recorded */
  CLAIM_EFFECT_RELEASED, /* the key was released */
};

/* The state of a key that is held.  */
struct claim_key_state
{
  uint64_t claim_id;
  uint32_t body_digest; /* lower half of the holder's */
  enum claim_result result;
  uint32_t status;      /* HTTP status of the answer; 0: none or not valid */
  int64_t recorded_ms;  /* log time of the claim, or of the last done item */
  uint64_t done_offset; /* log offset of the last done item */
};

/* Returns 0, ERR_INVALID or ERR_NOMEM.  */
int claim_fold_init (struct claim_fold *fold, void *parent,
                     const struct claim_fold_settings *set);
void claim_fold_fini (struct claim_fold *fold);

/* Clears the state; the next record to fold is the one at offset FROM.  LOST:
   there were records before it that are not folded, so keys may be missing and
   the fold is incomplete.  */
void claim_fold_reset (struct claim_fold *fold, uint64_t from, bool lost);

/* Begins the record at OFFSET, which must be claim_fold_next_offset.  Returns
   whether the record takes effect; claim_fold_item must be called for each of
   its items when it does, and for none otherwise.  */
bool claim_fold_begin_record (struct claim_fold *fold, uint64_t offset,
                              int64_t time_ms, const char *writer,
                              uint64_t incarnation, uint64_t sequence);

/* Applies an item of the record that was begun last.  */
enum claim_effect claim_fold_item (struct claim_fold *fold,
                                   const struct claim_op *op);

/* Skips the record at OFFSET.  MAY_CLAIM: it may have claims that this program
   cannot decode but others can, so the fold becomes incomplete.  */
void claim_fold_skip (struct claim_fold *fold, uint64_t offset,
                      int64_t time_ms, bool may_claim);

/* Returns whether KEY is held, and then sets *HELD.  */
bool claim_fold_find (const struct claim_fold *fold, struct claim_key key,
                      struct claim_key_state *held);

/* Whether the fold certainly has every key that is held.  False after a start
   at a later record than the log's first, after a skipped record that may have
   claims, and after CLAIM_EFFECT_NO_ROOM, until a key lifetime of log time has
   passed since then.  */
bool claim_fold_complete (const struct claim_fold *fold);

/* Offset of the next record to fold.  */
uint64_t claim_fold_next_offset (const struct claim_fold *fold);

/* Append time of the last record, or of an earlier one when that is later.  */
int64_t claim_fold_log_time_ms (const struct claim_fold *fold);

/* Number of keys that are held.  */
uint32_t claim_fold_key_count (const struct claim_fold *fold);
