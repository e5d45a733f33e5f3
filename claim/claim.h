#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* At-most-once execution of requests with an idempotency key.  Before a
   request is sent, its process appends a claim of the key to the platform's
   log; the first claim in the log holds the key.  All functions belong to the
   control thread.  docs/design/claims.md compares this with the
   alternatives.  */

struct log_store;
struct clock;
struct tevent_context;

/* 128-bit digest, see claim_key_make.  */
struct claim_key
{
  uint64_t hi;
  uint64_t lo;
};

/* Digest of caller, kind and idempotency key.  */
struct claim_key claim_key_make (const char *caller, const char *kind,
                                 const char *key);
uint64_t claim_body_digest (const void *body, size_t len);

enum claim_verdict
{
  CLAIM_GRANTED,     /* this request holds the key and may be sent */
  CLAIM_DUPLICATE,   /* another request with the same body claimed the key
                        first; claim_outcome describes that request */
  CLAIM_KEY_REUSED,  /* the key is held by a request with another body */
  CLAIM_UNAVAILABLE, /* the log cannot be reached; this request will certainly
                        not be granted later */
  CLAIM_TIMEOUT,     /* no decision before the deadline; this request will
                        certainly not be granted later */
  CLAIM_OVERLOADED,  /* too many claims wait, or too many keys are held */
};

/* What the log records about the request that holds a key.  */
enum claim_result
{
  CLAIM_RESULT_NONE,     /* no result recorded: still running, or lost */
  CLAIM_RESULT_ANSWERED, /* an answer was received */
  CLAIM_RESULT_UNKNOWN,  /* sent, but no complete answer was received */
};

struct claim_outcome
{
  enum claim_verdict verdict;
  enum claim_result result; /* of the holder; for CLAIM_DUPLICATE */
  uint32_t status;          /* HTTP status, for CLAIM_RESULT_ANSWERED */
  int64_t recorded_ms;      /* log time of the holder's claim, or of its result
                            when one is recorded */
  const uint8_t *body;      /* recorded answer, valid during the callback; NULL
                               when it was too large or could not be read */
  size_t body_len;
  uint64_t claim_id;  /* for CLAIM_GRANTED */
  int64_t granted_us; /* monotonic time, for CLAIM_GRANTED */
};

typedef void claim_fn (void *arg, const struct claim_outcome *out);
typedef void claim_release_fn (void *arg, bool recorded);

struct claim_settings
{
  const char *writer;      /* name of this process */
  uint64_t incarnation;    /* differs at each start of the process */
  const char *stream;      /* name of the log's stream; default "claims" */
  int64_t key_lifetime_ms; /* a key expires this long after its last claim;
                              default 24 h */
  int64_t group_commit_us; /* longest wait of a claim for others that share
                              its record */
  uint32_t appends_per_s;  /* this process's share of the log's append rate */
  uint32_t max_waiting;    /* limit on undecided claims, and separately on
                              results not yet recorded */
  uint32_t max_keys;       /* keys held in memory; claims of further keys are
                              refused */
  uint32_t max_answer_bytes; /* larger answers are recorded without body */
};

extern const struct claim_settings claim_settings_default;

/* The claims of one process.  */
struct claims
{
  struct priv *priv;
};

/* Returns 0, ERR_INVALID (a setting is out of range, such as a key lifetime
   under 1 s) or ERR_NOMEM.  PARENT is a talloc context that must live until
   the store is finished, because calls in progress refer to it.  */
int claims_init (struct claims *cls, void *parent,
                 const struct claim_settings *set, struct log_store *st,
                 struct tevent_context *ev, const struct clock *clk);

/* The callbacks of requests and releases that still wait do not run.  May be
   called from a callback.  */
void claims_fini (struct claims *cls);

/* Whether claims can be granted: this process has recently read the log to
   its end and knows every key that is held.  */
bool claims_ready (const struct claims *cls);

/* Whether nothing waits to be recorded in the log and no callback is due.  A
   stopping process waits for this, since claims_fini drops what waits.  */
bool claims_idle (const struct claims *cls);

/* Claims KEY.  FN runs once, never from inside this call, with the verdict,
   at the latest at DEADLINE_US (monotonic) or half a key lifetime from now,
   whichever is sooner.  Returns 0, ERR_FULL or ERR_NOMEM; after an error FN
   does not run.  */
int claim_request (struct claims *cls, struct claim_key key,
                   uint64_t body_digest, int64_t deadline_us, claim_fn *fn,
                   void *arg);

/* Records the answer to a granted request, or, with ANSWERED false, that its
   result is unknown.  The result is kept, and its append repeated, until it is
   in the log.  Returns 0, ERR_EXISTS (the same result already waits to be
   appended), ERR_FULL or ERR_NOMEM; after the last two the key stays held
   without a result.  */
int claim_done (struct claims *cls, struct claim_key key, uint64_t claim_id,
                bool answered, uint32_t status, const uint8_t *body,
                size_t len);

/* Releases a key whose request was certainly never sent.  FN runs once, at
   the latest at DEADLINE_US (monotonic), with whether the release has taken
   effect in the log by then; its append is still repeated afterwards.  Returns
   0, ERR_EXISTS (the same release already waits to be appended), ERR_FULL or
   ERR_NOMEM; FN runs only after 0.  */
int claim_release (struct claims *cls, struct claim_key key, uint64_t claim_id,
                   int64_t deadline_us, claim_release_fn *fn, void *arg);
