#pragma once

#include <curl/curl.h>
#include <jansson.h>

#include "test/scenario/scenario.h"

/* Callers: loads of requests sent at planned times, and the response to each.
   A load to a data centre or to "all" is balanced: its calls go round robin
   to the entry processes that were ready at the latest poll, and a call is
   sent again, to the next one, when its connection is refused.  A load to one
   entry process always goes there.  */

enum call_result
{
  CALL_OPEN,
  CALL_ANSWERED,
  CALL_NOT_RUN,
  CALL_UNKNOWN,     /* the response said "unknown" */
  CALL_LOST,        /* sent, but no complete response with an outcome */
  CALL_UNREACHABLE, /* never connected */
};

struct call
{
  struct load *ld;
  int number;
  /* Earlier call whose key and body this one repeats, or NULL.  */
  const struct call *original;
  const char *id;
  const char *key; /* Idempotency-Key; NULL: none */
  const char *caller;
  char *body;
  size_t body_len;
  int try_count;
  int64_t sent_us;
  int64_t end_us;
  enum call_result result;
  long status;
  char entry[8];              /* entry process it was sent to */
  char reason[64];            /* X-Reason, or libcurl's error */
  const char *response_error; /* why the response is incomplete or belongs to
                                 another request; NULL: it is neither */
  /* Used while the call is open.  */
  CURL *curl;
  struct curl_slist *headers;
  struct tevent_timer *timeout;
  int64_t timeout_us;
  char *response_body;
  size_t response_len;
};

struct load
{
  struct load *prev, *next;
  struct scenario *sc;
  const char *name;
  const char *kind;
  const char *destination;
  const struct load *original; /* load that this one repeats, or NULL */
  int64_t duration_ms;         /* the calls are sent evenly over this time */
  int64_t deadline_ms;
  int64_t service_ms; /* execution time asked of the target for each call */
  int64_t body_bytes; /* negative: random, below 2000 */
  bool send_keys;     /* with an Idempotency-Key for each call */
  struct call *calls;
  int count;
  int64_t start_us;
  int sent_count;
  int ended_count;
  int next_entry; /* position of the round robin */
};

/* Starts sending LD, whose fields from sc to count (except calls) are set.  */
void load_start (struct load *ld);
/* Returns the load NAME; NULL and fails the scenario when there is none.  */
struct load *load_find (struct scenario *sc, const char *name);
/* A scenario_cond: whether all calls of LOAD (NULL: of all loads) ended.  */
bool load_ended (struct scenario *sc, void *load);

const char *call_result_name (enum call_result result);
/* Returns whether OUTCOME is the name of the call's result or is its reason,
   or is "served" and the call was answered with a status below 300.  */
bool call_is (const struct call *cl, const char *outcome);
/* Returns the call's line in the callers' journal.  */
json_t *call_json (const struct call *cl);
