#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "entry/request.h"

/* HTTP towards callers: libmicrohttpd under the tevent context of a traffic
   thread.  Reads requests whole, within bounds, and hands them on; the reply
   goes out once listener_reply was called.  */

struct tevent_context;
struct listener;

struct listener_settings
{
  const char *address; /* IP:PORT, port 0 takes a free one */
  const char *server;  /* name of this entry process for X-Served-By */
  size_t max_body;     /* bytes */
  unsigned int max_connections;
  unsigned int idle_timeout_s;
  int64_t key_lifetime_ms;
};

struct listener_handler
{
  /* A whole request, or one with early_reason set.  Must be replied to, now
     or later, by listener_reply.  */
  void (*request) (void *arg, struct request *req);
  /* The answer of a plain GET: returns the HTTP status and text owned by the
     talloc context PARENT, or 0 for an unknown path.  */
  unsigned int (*get) (void *arg, const char *path, void *parent, char **text);
  void *arg;
};

/* Returns 0, ERR_INVALID for the address, ERR_SYSTEM when it cannot be bound,
   or ERR_NOMEM.  */
int listener_create (void *parent, struct tevent_context *ev,
                     const struct listener_settings *set,
                     const struct listener_handler *handler,
                     struct listener **out);
uint16_t listener_port (const struct listener *lis);

/* REQ's outcome, reason, status, retry_after_us and answer are set.  The
   request is freed after its reply went out.  */
void listener_reply (struct listener *lis, struct request *req);

/* Takes no new connections; open ones go on.  */
void listener_quiesce (struct listener *lis);

/* Requests that were read and whose reply did not go out yet.  */
unsigned int listener_open (const struct listener *lis);

/* Every request must have been replied to.  */
void listener_destroy (struct listener *lis);
