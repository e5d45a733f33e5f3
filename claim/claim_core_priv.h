#pragma once

/* Private to claim_core.c and claim_core_fold.c.  */

#include <xxhash.h>

#define HASH_NONFATAL_OOM 1
#define HASH_FUNCTION(key, len, hash)                                         \
  ((hash) = (unsigned int)XXH3_64bits ((key), (len)))
#include <uthash.h>
#include <utlist.h>

#include "claim/claim_codec.h"
#include "claim/claim_core.h"
#include "claim/claim_fold.h"

enum list
{
  LIST_RELEASE,
  LIST_CLAIM,
  LIST_DONE,
  LIST_FLIGHT, /* in a record that was built */
  LIST_DEAD,   /* concluded claims that may still land in the log */
  LISTS,
};

struct out
{
  struct out *prev;
  struct out *next;
  struct claim_event event;
  struct claim_key key;
};

struct item_id
{
  uint64_t claim_id;
  uint64_t kind; /* type, and for done whether answered */
};

struct item
{
  UT_hash_handle hh;
  struct item *prev;
  struct item *next;
  struct item_id id;
  struct claim_item wire;
  enum list list;
  int64_t since_us;
  int64_t deadline_us;
  uint64_t seq;      /* last record that holds the item, 0: none */
  uint64_t prev_seq; /* the record before it, of unknown effect */
  bool appended;     /* the last record stands at offset */
  uint64_t offset;
  struct out *out; /* of a request or release that waits to be told */
};

struct priv
{
  struct claim_settings set;
  int64_t contact_limit_us;
  uint64_t nonce;
  uint64_t last_claim;
  uint64_t sequence;   /* of the last record built */
  uint64_t folded_seq; /* highest own sequence folded */

  struct claim_fold fold;
  struct item *by_id;
  struct item *lists[LISTS];
  uint32_t counts[CLAIM_OP_RELEASE + 1]; /* items by type */
  struct out *outs;
  uint32_t out_count; /* outs and items that will yield one */

  bool open; /* an append without a result that settles it */
  bool want_time;
  int64_t want_time_us;
  bool contact;
  int64_t contact_at_us;
};

/* Returns the item of OP, or NULL.  */
struct item *claim_core_find (struct priv *p, const struct claim_op *op);
void claim_core_remove (struct priv *p, struct item *item);

/* Takes a concluded claim out, or keeps an eye on it while a record that
   holds it may still be folded.  */
void claim_core_retire (struct priv *p, struct item *item);

/* Tells the request of ITEM its verdict, unless it was told.  */
void claim_core_conclude (struct priv *p, struct item *item,
                          enum claim_verdict verdict);
void claim_core_conclude_held (struct priv *p, struct out *out,
                               const struct claim_held *held,
                               uint64_t body_digest);
void claim_core_conclude_release (struct priv *p, struct item *item,
                                  bool recorded);

/* Releases a claim that holds its key and was never granted.  Without memory
   the key stays claimed, which is safe.  */
void claim_core_release_unused (struct priv *p, int64_t now_us,
                                struct claim_key key, uint64_t claim_id);

/* Puts back the items of the record SEQ and above it, and those of records
   that stand before NEXT and were not found there: they count for nobody.  */
void claim_core_requeue (struct priv *p, uint64_t seq, uint64_t next);
