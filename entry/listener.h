#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "entry/request.h"

/* HTTP listener for callers: libmicrohttpd driven by the tevent context of a
   traffic thread.  Reads each request completely, within size limits, passes
   it to the handler and sends the reply once listener_reply was called.  */

struct tevent_context;
struct listener;

struct listener_settings
{
  const char *address; /* IP:PORT; port 0 selects a free port */
  const char *server;  /* name of this entry process for X-Served-By */
  size_t max_body;     /* bytes */
  unsigned int max_connections;
  unsigned int idle_timeout_s;
  int64_t key_lifetime_ms;
};

struct listener_handler
{
  /* Takes a complete request, or one with reject_reason set.  It must be
     replied to with listener_reply, during this call or later.  */
  void (*request) (void *arg, struct request *req);
  /* Answers a plain GET: returns the HTTP status and sets *TEXT, owned by the
     talloc context PARENT, or returns 0 for an unknown path.  */
  unsigned int (*get) (void *arg, const char *path, void *parent, char **text);
  void *arg;
};

/* Returns 0, ERR_INVALID for a malformed address, ERR_SYSTEM when it cannot be
   bound, or ERR_NOMEM.  */
int listener_create (void *parent, struct tevent_context *ev,
                     const struct listener_settings *set,
                     const struct listener_handler *handler,
                     struct listener **out);
uint16_t listener_port (const struct listener *lis);

/* Sends the reply.  REQ's outcome, reason, status, retry_after_us and answer
   must be set.  The request is freed after its reply was sent.  */
void listener_reply (struct listener *lis, struct request *req);

/* Stops accepting connections; open ones are still served.  */
void listener_quiesce (struct listener *lis);

/* Reads the requests that have arrived by now.  Returns whether all were read.
   Must not be called from a callback of the listener.  */
bool listener_read_pending (struct listener *lis);

/* Number of requests that were read and whose reply has not been sent yet.  */
unsigned int listener_open_count (const struct listener *lis);

/* Every request must have been replied to.  */
void listener_destroy (struct listener *lis);
