#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* At-most-once execution: a claim in the platform's log before dispatch.
   Belongs to the control thread.  docs/design/claims.md weighs the ways.  */

struct log_store;
struct clock;
struct tevent_context;

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
  CLAIM_DUPLICATE,   /* another request holds or held it: see known */
  CLAIM_KEY_REUSED,  /* same key, other body */
  CLAIM_UNAVAILABLE, /* the log cannot be reached: certainly no claim of
                        this request will be granted later */
  CLAIM_TIMEOUT,     /* not settled before the deadline; the same holds */
  CLAIM_OVERLOADED,  /* too many claims wait */
};

enum claim_known
{
  CLAIM_KNOWN_NOTHING, /* claimed; no result recorded: running or lost */
  CLAIM_KNOWN_ANSWERED,
  CLAIM_KNOWN_UNKNOWN, /* was sent, and no whole answer came */
};

struct claim_outcome
{
  enum claim_verdict verdict;
  enum claim_known known; /* for CLAIM_DUPLICATE */
  uint32_t status;        /* HTTP status, for CLAIM_KNOWN_ANSWERED */
  int64_t known_ms;       /* log time of what is known */
  const uint8_t *body;    /* recorded answer, valid during the callback; NULL
                             when it was too large or cannot be read back */
  size_t body_len;
  uint64_t claim_id;  /* for CLAIM_GRANTED */
  int64_t granted_us; /* monotonic */
};

typedef void claim_fn (void *arg, const struct claim_outcome *out);
typedef void claim_release_fn (void *arg, bool recorded);

struct claim_settings
{
  const char *writer;      /* name of this process */
  uint64_t incarnation;    /* differs at each start */
  const char *stream;      /* "claims" */
  int64_t key_lifetime_ms; /* default 24 h */
  int64_t group_commit_us; /* longest wait for company in a batch */
  uint32_t appends_per_s;  /* this process's budget of the log's appends */
  uint32_t max_waiting;
  uint32_t max_keys;         /* folded keys kept; beyond, claims are refused */
  uint32_t max_answer_bytes; /* larger answers are recorded without body */
};

extern const struct claim_settings claim_settings_default;

struct claims
{
  struct priv *priv;
};

/* Returns 0, ERR_INVALID (a setting out of range, as a key lifetime under 1 s)
   or ERR_NOMEM.  PARENT is a talloc context that lives until the store is
   finished, because calls in progress refer to it.  */
int claims_init (struct claims *cls, void *parent,
                 const struct claim_settings *set, struct log_store *st,
                 struct tevent_context *ev, const struct clock *clk);

/* Requests that still wait are not told.  May be called from a callback.  */
void claims_fini (struct claims *cls);

/* Whether the fold has caught up with the log lately: claims can be made.  */
bool claims_ready (const struct claims *cls);

/* Whether nothing waits to stand in the log or to be told.  A process that
   stops waits for this, since claims_fini drops what waits.  */
bool claims_idle (const struct claims *cls);

/* FN runs once, never from inside this call, with a verdict at the latest at
   DEADLINE_US (monotonic), or half a key lifetime from now when that is
   sooner.  Returns 0 or ERR_FULL or ERR_NOMEM, and then FN does not run.  */
int claim_request (struct claims *cls, struct claim_key key,
                   uint64_t body_digest, int64_t deadline_us, claim_fn *fn,
                   void *arg);

/* Records the answer, or (ANSWERED false) that the outcome is unknown.  Kept
   until it stands in the log.  Returns 0, ERR_EXISTS (recorded already and not
   yet in the log), ERR_FULL or ERR_NOMEM; the key then stays claimed with
   nothing known.  */
int claim_done (struct claims *cls, struct claim_key key, uint64_t claim_id,
                bool answered, uint32_t status, const uint8_t *body,
                size_t len);

/* Releases a key whose request was certainly never run.  FN learns whether
   the release stands in the log, at the latest at DEADLINE_US; the release is
   tried on after that.  Returns 0, ERR_EXISTS, ERR_FULL or ERR_NOMEM, and FN
   runs only after 0.  */
int claim_release (struct claims *cls, struct claim_key key, uint64_t claim_id,
                   int64_t deadline_us, claim_release_fn *fn, void *arg);
