#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "admit/admit.h"
#include "claim/claim.h"
#include "entry/request_trace.h"
#include "route/retry.h"
#include "route/route.h"

/* A caller's request, from its first header to its reply.  Owned by the
   listener, used by the traffic thread only.  */

/* Bytes, without the terminating NUL.  */
#define REQUEST_ID_MAX 64
#define REQUEST_KEY_MAX 128
#define REQUEST_NAME_MAX 64

enum request_outcome
{
  OUTCOME_OPEN,
  OUTCOME_ANSWERED,
  OUTCOME_NOT_RUN,
  OUTCOME_UNKNOWN,
};

/* X (symbol, name in replies and logs, HTTP status)  */
#define REASON_LIST(X)                                                        \
  X (REASON_NONE, "none", 200)                                                \
  X (REASON_BAD_REQUEST, "bad_request", 400)                                  \
  X (REASON_MISSING_KEY, "missing_key", 400)                                  \
  X (REASON_MISSING_CALLER, "missing_caller", 400)                            \
  X (REASON_UNKNOWN_KIND, "unknown_kind", 404)                                \
  X (REASON_METHOD_NOT_ALLOWED, "method_not_allowed", 405)                    \
  X (REASON_TOO_LARGE, "too_large", 413)                                      \
  X (REASON_KEY_REUSED, "key_reused", 422)                                    \
  X (REASON_DUPLICATE, "duplicate", 409)                                      \
  X (REASON_DUPLICATE_NO_RESULT, "duplicate_without_result", 409)             \
  X (REASON_QUEUE_FULL, "queue_full", 429)                                    \
  X (REASON_QUEUE_DEADLINE, "queue_deadline", 503)                            \
  X (REASON_DEADLINE, "deadline", 503)                                        \
  X (REASON_NO_CAPACITY, "no_capacity", 503)                                  \
  X (REASON_NO_TARGET, "no_target", 503)                                      \
  X (REASON_REFUSED, "refused_by_targets", 503)                               \
  X (REASON_OVERLOADED, "overloaded", 503)                                    \
  X (REASON_STARTING, "starting", 503)                                        \
  X (REASON_DRAINING, "draining", 503)                                        \
  X (REASON_CLAIM_UNAVAILABLE, "claim_unavailable", 503)                      \
  X (REASON_CLAIM_TIMEOUT, "claim_timeout", 503)                              \
  X (REASON_NO_ANSWER, "no_answer", 504)                                      \
  X (REASON_BAD_ANSWER, "bad_answer", 502)                                    \
  X (REASON_STOPPED, "stopped", 504)                                          \
  X (REASON_INTERNAL, "internal", 500)

enum request_reason
{
#define X(sym, name, status) sym,
  REASON_LIST (X)
#undef X
};

enum request_state
{
  REQUEST_READING,
  REQUEST_QUEUED,
  REQUEST_CLAIMING,
  REQUEST_WAIT_TARGET, /* admitted; no target is known to have a free slot */
  REQUEST_SENT,
  REQUEST_FORWARDED, /* to an entry process of another data centre */
  REQUEST_RELEASING,
  REQUEST_REPLIED,
};

struct MHD_Connection;
struct traffic;
struct attempt;

struct request
{
  struct admit_item item; /* first: its address is cast to the request's */

  /* Set by the listener.  */
  char id[REQUEST_ID_MAX + 1];
  char caller[REQUEST_NAME_MAX + 1];
  char kind_name[REQUEST_NAME_MAX + 1];
  char key[REQUEST_KEY_MAX + 1];
  bool has_key;
  int64_t deadline_ms; /* limit set by the caller; 0: the default */
  uint32_t hops;
  char *body;
  size_t body_len;
  size_t body_size;
  bool body_too_large;
  enum request_reason reject_reason;
  struct MHD_Connection *conn;
  bool in_handler; /* inside the listener's handler, before the connection is
                      suspended */

  /* Set by the traffic thread.  */
  struct traffic *traffic;
  enum request_state state;
  struct trace_ref trace;
  struct request *wait_prev; /* list of requests that wait for a target */
  struct request *wait_next;
  bool waits_for_target;
  struct request *prev;
  struct request *next;
  uint32_t forwards; /* entry processes of other data centres tried */
  int64_t arrival_us;
  int64_t admitted_us; /* when it was admitted; 0: holds no slot */
  bool idempotent;
  uint32_t max_attempts;
  uint32_t pool;
  uint32_t attempts;
  uint32_t target_refusals;
  bool may_have_run; /* a target may have run an attempt */
  struct route_query query;
  struct target_handle target;
  struct attempt *attempt;
  struct claim_key claim_key;
  uint64_t claim_id;
  bool claimed;

  /* The reply.  */
  enum request_outcome outcome;
  enum request_reason reason;
  unsigned int status;
  int64_t retry_after_us;
  bool key_held; /* the key of a request without an answer may still be
                    claimed */
  char target_name[REQUEST_NAME_MAX + 1];
  char content_type[128];
  void *answer; /* from malloc */
  size_t answer_len;
};

const char *outcome_name (enum request_outcome outcome);
/* Returns REASON_INTERNAL for an unknown name.  */
enum request_reason reason_find (const char *name);
const char *reason_name (enum request_reason reason);
unsigned int reason_status (enum request_reason reason);

/* Whether TEXT has 1 to MAX visible ASCII characters other than '"' and '\\',
   which would need an escape in the JSON reply.  */
bool request_text_valid (const char *text, size_t max);

/* Sets ID to a new random request id.  */
void request_id_generate (char id[REQUEST_ID_MAX + 1]);
