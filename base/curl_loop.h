#pragma once

#include <curl/curl.h>
#include <stdbool.h>
#include <stdint.h>

/* A libcurl multi handle driven by a tevent context.  One loop belongs to one
   thread.  The caller owns the easy handles: the loop neither creates nor
   frees them.  It uses CURLOPT_PRIVATE of the handles that it holds.  */

struct tevent_context;

struct curl_loop_settings
{
  uint32_t max_calls;       /* easy handles held at a time; beyond: ERR_FULL */
  uint32_t max_connections; /* open connections; further transfers are queued
                               by libcurl; 0: no limit */
  uint32_t max_idle;        /* idle connections kept for reuse; at least 1 */
  uint32_t max_per_host; /* open connections to one address; further transfers
                            are queued by libcurl; 0: no limit */
};

struct curl_loop
{
  struct priv *priv;
};

/* RES is libcurl's result of the transfer.  EASY is no longer held by the
   loop: the callback may free it, reset it, or add it again.  */
typedef void curl_loop_fn (void *arg, CURL *easy, CURLcode res);

/* Returns 0, ERR_INVALID or ERR_NOMEM.  PARENT is a talloc context.  */
int curl_loop_init (struct curl_loop *loop, void *parent,
                    struct tevent_context *ev,
                    const struct curl_loop_settings *set);

/* Removes the handles still held, without running their callbacks, and
   closes all connections.  May be called from a curl_loop_fn.  */
void curl_loop_fini (struct curl_loop *loop);

/* Starts the transfer for which EASY is set up.  Returns 0, ERR_FULL,
   ERR_NOMEM or ERR_SYSTEM.  After 0, FN runs exactly once unless the handle is
   removed or curl_loop_fini runs first; it never runs from inside this
   call.  */
int curl_loop_add (struct curl_loop *loop, CURL *easy, curl_loop_fn *fn,
                   void *arg);

/* Removes EASY before its transfer has ended.  Its callback does not run, and
   libcurl closes the connection if the transfer had begun.  Has no effect on a
   handle that the loop does not hold.  Must not be called from a callback
   that libcurl itself runs (write, header, read functions); those stop a
   transfer by their return value.  */
void curl_loop_remove (struct curl_loop *loop, CURL *easy);

/* Whether libcurl is about to send the request of EASY a second time.  It does
   so by itself when a reused connection breaks before a response, although the
   peer may have carried the request out; the response to the repeat says
   nothing about that.  A GET may be repeated.  For use in
   CURLOPT_PREREQFUNCTION, which libcurl calls before each sending.  */
bool curl_loop_is_repeat (CURL *easy);

/* Shuts down the idle connections to the address that EASY's transfer was sent
   to; libcurl opens new ones instead.  For a transfer without a response: what
   silenced its connection may have silenced all that were open, and each would
   cost the next transfer its time-out.  To be called from its
   curl_loop_fn.  */
void curl_loop_shut_idle (struct curl_loop *loop, CURL *easy);

/* Number of easy handles held.  */
uint32_t curl_loop_calls (const struct curl_loop *loop);
