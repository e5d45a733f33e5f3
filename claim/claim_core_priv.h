#pragma once

/* Data and functions that claim_core.c and claim_core_fold.c share; only they
   and unit_claim_model include this header.  */

#include <xxhash.h>

#define HASH_NONFATAL_OOM 1
#define HASH_FUNCTION(key, len, hash)                                         \
  ((hash) = (unsigned int)XXH3_64bits ((key), (len)))
#include <uthash.h>
#include <utlist.h>

#include "claim/claim_codec.h"
#include "claim/claim_core.h"
#include "claim/claim_fold.h"

enum item_list
{
  LIST_RELEASE, /* the first three: items for the next record, by type */
  LIST_CLAIM,
  LIST_DONE,
  LIST_IN_FLIGHT, /* items of a record that was built but not yet folded */
  LIST_ABANDONED, /* claims whose request has its verdict, while a record with
                     them may still be folded */
  LIST_COUNT,
};

/* An event that is due (in priv.events), or that will be once its item is
   decided (then in item.pending).  */
struct pending_event
{
  struct pending_event *prev;
  struct pending_event *next;
  struct claim_event event;
  struct claim_key key; /* of a request */
};

struct item_id
{
  uint64_t claim_id;
  uint64_t kind; /* 2 * claim_op_type, plus 1 for a done with an answer */
};

/* A claim, done or release of this process that it has not yet folded.  */
struct item
{
  UT_hash_handle hh;
  struct item *prev;
  struct item *next;
  struct item_id id;
  struct claim_item wire;
  enum item_list list;
  int64_t queued_us;
  int64_t deadline_us;
  uint64_t seq;      /* sequence of the last record with the item; 0: none */
  uint64_t prev_seq; /* value of seq before that record was built; 0: none */
  bool appended;     /* the last record is in the log, at offset */
  uint64_t offset;
  struct pending_event *pending; /* NULL: no callback waits for the item */
};

struct priv
{
  struct claim_settings set;
  int64_t max_read_age_us;
  uint64_t nonce;
  uint64_t claim_id_counter;
  uint64_t sequence;       /* of the last record built */
  uint64_t max_folded_seq; /* highest folded of own records */

  struct claim_fold fold;
  struct item *by_id;
  struct item *lists[LIST_COUNT];
  uint32_t counts[CLAIM_OP_RELEASE + 1]; /* items by type */
  struct pending_event *events;
  uint32_t event_count; /* events due, and items with a pending event */

  bool append_open; /* an append has no result yet, or an unknown one */
  bool time_probe_wanted;
  int64_t time_probe_since_us;
  bool caught_up;       /* the log's end was reached; no failure since */
  int64_t caught_up_us; /* when the log's end was last reached */
};

/* Returns the item with the claim id, type and ANSWERED of OP, or NULL.  */
struct item *claim_core_find (struct priv *p, const struct claim_op *op);
void claim_core_remove (struct priv *p, struct item *item);

/* Removes a claim that is decided, or moves it to LIST_ABANDONED while a
   record with it may still be folded.  */
void claim_core_retire (struct priv *p, struct item *item);

/* Queues the verdict on the request of ITEM, unless it already has one.  */
void claim_core_queue_verdict (struct priv *p, struct item *item,
                               enum claim_verdict verdict);

/* Queues the verdict on a request whose key is held by another claim.  */
void claim_core_queue_holder_verdict (struct priv *p,
                                      struct pending_event *pev,
                                      const struct claim_key_state *held,
                                      uint64_t body_digest);

/* Queues the event of a release, unless it was queued before.  */
void claim_core_queue_release_result (struct priv *p, struct item *item,
                                      bool recorded);

/* Releases a claim that holds its key although no grant was reported to its
   request.  When memory runs out the key stays held, which is safe.  */
void claim_core_release_unused (struct priv *p, int64_t now_us,
                                struct claim_key key, uint64_t claim_id);

/* Queues these items in flight for the next record: those of records with the
   sequence SEQ or higher, and those of records that were appended at an offset
   before NEXT and were ignored by the fold, so that they have no effect for
   any process.  */
void claim_core_requeue (struct priv *p, uint64_t seq, uint64_t next);
