#pragma once

#include <stddef.h>
#include <stdint.h>
#include <tevent.h>

#include "platform/http_client.h"

/* An HTTP server that answers every request with the same body, and a client
   for it.  The bodies need not be valid JSON.  */

struct wire_server
{
  struct tevent_context *ev;
  struct http_client cli;
  char address[32]; /* HOST:PORT */
  /* Of the last request; written by the server's thread before it answers.  */
  char after[1024]; /* argument "after" of the query */
  size_t after_len;
  unsigned requests;
  const uint8_t *body; /* of all responses */
  size_t body_len;
  struct MHD_Daemon *web;
};

void wire_server_start (struct wire_server *srv);
void wire_server_stop (struct wire_server *srv);

/* Runs the event loop until *DONE is not 0.  */
void wire_server_await (struct wire_server *srv, const int *done);
