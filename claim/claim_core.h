#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "claim/claim.h"
#include "store/log_store.h"

/* The claim logic of one process, without I/O and without a clock: chooses the
   items of the next record, handles the results of appends, folds the records
   that were read, and decides the verdict on each request.  claim.c connects
   it to the log and a tevent context; unit_claim_model runs it through every
   order of events.

   A record whose append has an unknown result may or may not be in the log,
   and the process does not wait to find out: claim_core_resend puts its items
   into a record with a higher sequence, and if the earlier record is appended
   after that one, every process ignores it.  A claim whose request already has
   its verdict is kept until no record with it can take effect any more; when
   such a claim becomes the holder of its key before that, it is released.  */

struct claim_core
{
  struct priv *priv;
};

struct claim_core_settings
{
  const struct claim_settings *settings; /* copied */
  uint64_t nonce; /* makes claim ids differ between processes that were started
                     with the same name and incarnation by mistake */
  int64_t max_read_age_us; /* claims are refused when the log's end was last
                              read longer ago than this */
};

enum claim_event_type
{
  CLAIM_EVENT_VERDICT,
  CLAIM_EVENT_RELEASED, /* a release was folded, or its deadline passed */
};

/* A callback that is due.  */
struct claim_event
{
  enum claim_event_type type;
  claim_fn *fn;                 /* of CLAIM_EVENT_VERDICT */
  claim_release_fn *release_fn; /* of CLAIM_EVENT_RELEASED; may be NULL */
  void *arg;
  struct claim_outcome outcome;
  bool recorded;          /* whether the release took effect */
  int64_t deadline_us;    /* of the request */
  bool read_answer;       /* the record at answer_offset may have the answer */
  uint64_t answer_offset; /* log offset of the holder's done item */
  uint64_t answer_id;     /* claim id of that item */
};

/* Returns 0, ERR_INVALID or ERR_NOMEM.  */
int claim_core_init (struct claim_core *core, void *parent,
                     const struct claim_core_settings *set);
void claim_core_fini (struct claim_core *core);

/* As the functions of claim.h; claim_core_next_event returns the callbacks
   that are due.  */
int claim_core_request (struct claim_core *core, int64_t now_us,
                        struct claim_key key, uint64_t body_digest,
                        int64_t deadline_us, claim_fn *fn, void *arg);
int claim_core_done (struct claim_core *core, int64_t now_us,
                     struct claim_key key, uint64_t claim_id, bool answered,
                     uint32_t status, const uint8_t *body, size_t len);
int claim_core_release (struct claim_core *core, int64_t now_us,
                        struct claim_key key, uint64_t claim_id,
                        int64_t deadline_us, claim_release_fn *fn, void *arg);

/* Takes the next event.  Returns false when there is none.  A grant whose
   deadline has passed by NOW_US is released and reported as a timeout.  */
bool claim_core_next_event (struct claim_core *core, int64_t now_us,
                            struct claim_event *event);

bool claim_core_has_event (const struct claim_core *core);

/* Returns the time from which a record should be appended, or INT64_MAX when
   there is nothing to append or an append is open.  Sets *URGENT when claims
   or releases wait for the append.  */
int64_t claim_core_append_due (const struct claim_core *core, bool *urgent);

/* Has a record appended even when there are no items, because the log's time
   is known only from its records.  */
void claim_core_probe_log_time (struct claim_core *core, int64_t now_us);

/* Encodes the next record into *DATA, a talloc child of PARENT, and opens an
   append: none other can begin until the result of this one is known or
   claim_core_resend is called.  Returns 0, ERR_NOT_FOUND (nothing to append,
   or an append is open) or another error of claim_batch_encode.  */
int claim_core_build_record (struct claim_core *core, void *parent,
                             uint8_t **data, size_t *len);

/* Handles the result of the open append.  After APPEND_UNKNOWN the append
   stays open until its record is folded or claim_core_resend is called.  */
void claim_core_append_result (struct claim_core *core,
                               const struct append_result *res);
bool claim_core_append_is_open (const struct claim_core *core);

/* Gives up waiting for the result of the open append, if any: its items go
   into the next record.  */
void claim_core_resend (struct claim_core *core);

/* Folds REC, which must be the record at claim_core_next_offset.  A record of
   an unknown format or with an item of unknown type makes the fold incomplete.
   Returns 0, or without an effect ERR_PROTOCOL, ERR_CHECKSUM or ERR_NOMEM; the
   caller then reads the record again.  When it stays undecodable, the caller
   skips it with claim_core_skip; every other process does the same.  */
int claim_core_fold (struct claim_core *core, int64_t now_us,
                     const struct log_record_view *rec);
void claim_core_skip (struct claim_core *core,
                      const struct log_record_view *rec);

/* Ends a read whose records were folded.  NEXT_OFFSET is the offset after the
   log's last record.  */
void claim_core_read_done (struct claim_core *core, int64_t now_us,
                           uint64_t next_offset);

/* Claims are refused from now on, until a read reaches the log's end again. */
void claim_core_set_log_unreachable (struct claim_core *core);

/* Restarts the fold at FIRST_OFFSET, because the log no longer has the records
   before it that were not read.  */
void claim_core_handle_gap (struct claim_core *core, uint64_t first_offset);

/* Ends the requests and releases whose deadline has passed, and all undecided
   requests when the core is not ready.  */
void claim_core_expire (struct claim_core *core, int64_t now_us);

/* Earliest deadline of a request or release that waits, or INT64_MAX.  */
int64_t claim_core_next_deadline (const struct claim_core *core);

/* See claims_ready and claims_idle.  */
bool claim_core_ready (const struct claim_core *core, int64_t now_us);
bool claim_core_idle (const struct claim_core *core);

/* See claim_fold_complete.  */
bool claim_core_fold_complete (const struct claim_core *core);

/* Offset of the next record to fold.  */
uint64_t claim_core_next_offset (const struct claim_core *core);
