#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "claim/claim.h"
#include "store/log_store.h"

/* The decisions of one process on its claims, without I/O: which items go
   into the next record, what an append's result means, what a folded record
   decides, and what each request is told.  claim.c drives it from the log and
   a tevent context, and unit_claim_model in every order of events.

   A record that may or may not stand in the log is not waited for: after
   claim_core_resend its live items go into a record with a higher sequence,
   which makes the earlier one void if it lands later.  A claim is forgotten
   only once that is certain; until then a claim that was given up is released
   when it turns up as holder.  */

struct claim_core
{
  struct priv *priv;
};

struct claim_core_settings
{
  const struct claim_settings *cls; /* copied */
  uint64_t nonce; /* makes claim ids differ between processes that were started
                     with the same name and incarnation by mistake */
  int64_t contact_us; /* not ready without a read for longer than this */
};

enum claim_event_type
{
  CLAIM_EVENT_VERDICT,
  CLAIM_EVENT_RELEASED, /* a release is recorded, or its deadline passed */
};

struct claim_event
{
  enum claim_event_type type;
  claim_fn *fn;
  claim_release_fn *release_fn;
  void *arg;
  struct claim_outcome out;
  bool recorded;
  int64_t deadline_us;    /* of the request */
  bool read_answer;       /* the answer may stand in the record at */
  uint64_t answer_offset; /* this offset, under */
  uint64_t answer_id;     /* this claim id */
};

/* Returns 0, ERR_INVALID or ERR_NOMEM.  */
int claim_core_init (struct claim_core *core, void *parent,
                     const struct claim_core_settings *set);
void claim_core_fini (struct claim_core *core);

/* See claim.h.  Verdicts come out of claim_core_next.  */
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
   deadline has passed by NOW_US becomes a timeout here.  */
bool claim_core_next (struct claim_core *core, int64_t now_us,
                      struct claim_event *event);

bool claim_core_has_event (const struct claim_core *core);

/* Time from which an append is worth asking for; INT64_MAX: none is wanted,
   or one is open.  URGENT: requests wait for it.  */
int64_t claim_core_append_due (const struct claim_core *core, bool *urgent);

/* Asks for an append without items, which tells the log's time.  */
void claim_core_want_time (struct claim_core *core, int64_t now_us);

/* Makes the next record, owned by PARENT, and opens an append.  Returns 0,
   ERR_NOT_FOUND (nothing to append, or one is open) or ERR_NOMEM.  */
int claim_core_build (struct claim_core *core, void *parent, uint8_t **data,
                      size_t *len);

/* The result of the open append.  After APPEND_UNKNOWN it stays open until
   its record is folded or claim_core_resend is called.  */
void claim_core_append_result (struct claim_core *core,
                               const struct append_result *res);
bool claim_core_is_open (const struct claim_core *core);
void claim_core_resend (struct claim_core *core);

/* Folds the record at claim_core_offset.  Returns 0, or ERR_PROTOCOL,
   ERR_CHECKSUM or ERR_NOMEM without an effect: the caller reads the record
   again and, when it stays unreadable, passes over it, as every process
   will.  */
int claim_core_fold (struct claim_core *core, int64_t now_us,
                     const struct log_record_view *rec);
void claim_core_skip (struct claim_core *core,
                      const struct log_record_view *rec);

/* A read ended; NEXT_OFFSET is the log's.  */
void claim_core_read_done (struct claim_core *core, int64_t now_us,
                           uint64_t next_offset);

/* The log cannot be read: not ready until the next read that succeeds.  */
void claim_core_no_contact (struct claim_core *core);

/* Records before FIRST_OFFSET were not read and are gone.  */
void claim_core_gap (struct claim_core *core, uint64_t first_offset);

/* Concludes what has passed its deadline, and every request while claims
   cannot be made.  */
void claim_core_expire (struct claim_core *core, int64_t now_us);

/* Next deadline of a request or release, INT64_MAX without any.  */
int64_t claim_core_next_deadline (const struct claim_core *core);

bool claim_core_ready (const struct claim_core *core, int64_t now_us);
bool claim_core_idle (const struct claim_core *core);
bool claim_core_complete (const struct claim_core *core);
uint64_t claim_core_offset (const struct claim_core *core);
