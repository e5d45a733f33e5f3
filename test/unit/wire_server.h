#pragma once

#include <stddef.h>
#include <stdint.h>
#include <tevent.h>

#include "platform/http_client.h"
#include "platform/post_client.h"

/* An HTTP server for tests, and a client for it.  The bodies of its responses
   need not be valid JSON.  */

struct wire_server
{
  struct tevent_context *ev;
  struct http_client cli;
  struct post_client post;
  char address[32];    /* HOST:PORT */
  const uint8_t *body; /* of all responses, unless RESPOND is set */
  size_t body_len;
  unsigned int status; /* of all responses; 0: 200 */
  /* Returns the body of the response to a request for the path URL, as a child
     of PARENT.  AFTER is the argument "after" of the query, or NULL.  Runs in
     the server's thread.  */
  char *(*respond) (void *parent, const char *url, const char *after,
                    size_t after_len, size_t *len);
  struct MHD_Daemon *web;
};

void wire_server_start (struct wire_server *srv);
void wire_server_stop (struct wire_server *srv);

/* Runs the event loop until *DONE is not 0.  */
void wire_server_await (struct wire_server *srv, const int *done);
