#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "route/route.h"

/* Attempts at targets over HTTP: libcurl multi under the tevent context of a
   traffic thread.  An attempt's answer is passed on only when it is whole and
   carries the id of the request; any other answer closes the connection.  */

struct tevent_context;
struct clock;
struct dispatch;
struct attempt;

struct dispatch_settings
{
  uint32_t max_attempts;    /* in progress at a time */
  uint32_t max_connections; /* open to all targets */
  size_t max_answer;        /* bytes */
  int64_t connect_timeout_ms;
};

struct attempt_call
{
  const char *address; /* IP:PORT of the target */
  const char *path;    /* such as "/run/KIND" */
  const char *request_id;
  const char *key; /* NULL: none */
  const char *caller;
  uint32_t number; /* 1 for a request's first attempt */
  uint32_t hops;   /* > 0: the call goes to an entry process */
  const void *body;
  size_t body_len;
  int64_t timeout_ms;
  bool may_repeat; /* false: uses a connection of its own, because libcurl
                      itself sends a request again when a reused connection
                      was closed */
};

struct attempt_reply
{
  enum attempt_result result;
  bool bad_answer; /* an answer came and was not this request's, or not
                      whole or too long */
  unsigned int status;
  void *body; /* malloc; the callback takes it over */
  size_t body_len;
  char content_type[128];
  int32_t slots_in_use; /* -1: not said */
  bool leaving;
  /* Of an entry process's answer, empty for a target's.  */
  char outcome[32];
  char reason[32];
  char target[64];
  int64_t retry_after_ms;
  int64_t latency_us;
};

typedef void attempt_fn (void *arg, struct attempt_reply *reply);

/* Returns 0 or ERR_NOMEM.  */
int dispatch_create (void *parent, struct tevent_context *ev,
                     const struct clock *clk,
                     const struct dispatch_settings *set,
                     struct dispatch **out);
void dispatch_destroy (struct dispatch *dsp);

/* Starts an attempt.  BODY must stay until FN ran or the attempt was
   cancelled.  Returns 0, ERR_FULL, ERR_NOMEM or ERR_SYSTEM; nothing was sent
   unless it returns 0, and only then FN runs, later and once.  */
int dispatch_send (struct dispatch *dsp, const struct attempt_call *call,
                   attempt_fn *fn, void *arg, struct attempt **out);

typedef void health_fn (void *arg, bool healthy);

/* Asks the target at ADDRESS for its health with GET /health.  Returns as
   dispatch_send.  The callback does not run once the dispatch was destroyed.
 */
int dispatch_health (struct dispatch *dsp, const char *address,
                     int64_t timeout_ms, health_fn *fn, void *arg);

/* Ends the attempt; its callback does not run.  */
void dispatch_cancel (struct attempt *att);
