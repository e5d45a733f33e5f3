#pragma once

#include <microhttpd.h>
#include <stddef.h>
#include <stdint.h>

/* A libmicrohttpd daemon driven by a tevent context: epoll, external loop,
   connections that can be suspended.  Belongs to one thread.  */

struct tevent_context;
struct mhd_loop;

struct mhd_loop_settings
{
  const char *address; /* IP:PORT, port 0 takes a free one */
  unsigned int max_connections;
  unsigned int idle_timeout_s;
  size_t connection_memory; /* bytes for the headers of a connection */
  MHD_AccessHandlerCallback access;
  MHD_RequestCompletedCallback completed;
  void *arg; /* of both callbacks */
};

/* Returns 0, ERR_INVALID for the address, ERR_SYSTEM when it cannot be bound,
   or ERR_NOMEM.  */
int mhd_loop_create (void *parent, struct tevent_context *ev,
                     const struct mhd_loop_settings *set,
                     struct mhd_loop **out);
uint16_t mhd_loop_port (const struct mhd_loop *loop);

/* Lets a suspended connection go on in a later turn of the event loop.  */
void mhd_loop_resume (struct mhd_loop *loop, struct MHD_Connection *conn);

/* Takes no new connections; open ones go on.  */
void mhd_loop_quiesce (struct mhd_loop *loop);

/* Ends all connections; none may be suspended.  The completed callback still
   runs for each.  */
void mhd_loop_destroy (struct mhd_loop *loop);
