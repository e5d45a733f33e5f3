#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "route/route.h"

/* Attempts at targets over HTTP: a libcurl multi handle driven by the tevent
   context of a traffic thread.  An answer is accepted only if it is complete
   and carries the id of the request; any other answer closes the
   connection.  */

struct tevent_context;
struct clock;
struct dispatch;
struct attempt;

struct dispatch_settings
{
  uint32_t max_attempts;    /* in progress at a time */
  uint32_t max_connections; /* open connections, over all targets */
  size_t max_answer;        /* bytes */
  int64_t connect_timeout_ms;
};

struct attempt_call
{
  const char *address; /* IP:PORT of the target */
  const char *path;    /* such as "/run/KIND" */
  const char *request_id;
  const char *key; /* idempotency key; NULL: none */
  const char *caller;
  uint32_t number; /* 1 for a request's first attempt */
  uint32_t hops;   /* X-Hop; above 0 the call goes to an entry process */
  const void *body;
  size_t body_len;
  int64_t timeout_ms;
  bool may_repeat; /* whether the request may run twice; if not, it uses a new
                      connection, because libcurl itself resends a request when
                      a reused connection was closed */
};

struct attempt_reply
{
  enum attempt_result result;
  bool bad_answer; /* an answer came, but it was incomplete, too long or
                      belonged to another request */
  unsigned int status;
  void *body; /* from malloc; freed after the callback unless that took
                 ownership by setting it to NULL */
  size_t body_len;
  char content_type[128];
  int32_t slots_in_use; /* -1: not reported */
  bool leaving;
  /* Set by the answer of an entry process, empty for a target's.  */
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

/* Starts an attempt.  The body and request id of CALL must remain valid until
   FN has run or the attempt was cancelled.  Returns 0, ERR_FULL,
   ERR_NOMEM or ERR_SYSTEM.  After an error nothing was sent and FN does not
   run.  After 0, FN runs once, after this call has returned, unless the
   attempt is cancelled.  */
int dispatch_send (struct dispatch *dsp, const struct attempt_call *call,
                   attempt_fn *fn, void *arg, struct attempt **out);

typedef void probe_fn (void *arg, bool healthy);

/* Checks the health of the target at ADDRESS with GET /health.  Returns the
   same values as dispatch_send.  FN does not run after the dispatch was
   destroyed.  */
int dispatch_probe (struct dispatch *dsp, const char *address,
                    int64_t timeout_ms, probe_fn *fn, void *arg);

/* Ends the attempt without running its callback.  */
void dispatch_cancel (struct attempt *att);
