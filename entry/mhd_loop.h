#pragma once

#include <microhttpd.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A libmicrohttpd daemon driven by a tevent context: epoll, external event
   loop, suspendable connections.  Belongs to one thread.  */

struct tevent_context;
struct mhd_loop;

struct mhd_loop_settings
{
  const char *address; /* IP:PORT; port 0 selects a free port */
  unsigned int max_connections;
  unsigned int idle_timeout_s;
  size_t connection_memory; /* bytes for the headers of each connection */
  MHD_AccessHandlerCallback access;
  MHD_RequestCompletedCallback completed;
  void *arg; /* passed to both callbacks */
};

/* Returns 0, ERR_INVALID for a malformed address, ERR_SYSTEM when it cannot be
   bound, or ERR_NOMEM.  */
int mhd_loop_create (void *parent, struct tevent_context *ev,
                     const struct mhd_loop_settings *set,
                     struct mhd_loop **out);
uint16_t mhd_loop_port (const struct mhd_loop *loop);

/* Resumes a suspended connection in a later pass of the event loop.  */
void mhd_loop_resume (struct mhd_loop *loop, struct MHD_Connection *conn);

/* Accepts the connections and reads the requests that the kernel holds by now.
   Returns whether all were read.  Must not be called from a callback of the
   loop.  */
bool mhd_loop_read_pending (struct mhd_loop *loop);

/* Stops accepting connections; open ones are still served.  */
void mhd_loop_quiesce (struct mhd_loop *loop);

/* Closes all connections, none of which may be suspended.  The completed
   callback still runs for each request.  */
void mhd_loop_destroy (struct mhd_loop *loop);
