#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "peer/address.h"
#include "peer/frame.h"
#include "peer/load_publisher.h"
#include "peer/member.h"

/* One TCP connection to a peer, on the control thread: handshake, keys,
   sequence numbers and a bounded send queue.  Private to peer/; struct peers
   owns the connections and decides which are opened and kept.

   Handshake: the dialer sends a hello, the acceptor answers with a hello, then
   both send a heartbeat under the keys of this connection.  A connection is up
   once the peer's heartbeat is verified.  The hello alone proves nothing, as
   it may be a recording of an earlier one.  */

struct tevent_context;
struct tevent_fd;
struct conn;

enum conn_state
{
  CONN_CONNECTING,
  CONN_AWAIT_HELLO,
  CONN_AWAIT_FIRST_FRAME, /* the first frame under the connection's key */
  CONN_UP,
  CONN_CLOSED, /* to be freed by the owner */
};

struct conn_events
{
  /* The peer's hello is valid.  The owner has to send a heartbeat.  */
  void (*hello_received) (void *arg, struct conn *con);
  void (*up) (void *arg, struct conn *con);
  /* A verified frame arrived on a connection that is up.  Returns 0 or an
     error with which the connection is closed.  */
  int (*frame) (void *arg, struct conn *con, const PeerFrame *msg);
  void (*closed) (void *arg, struct conn *con, int err);
};

/* Settings and callbacks common to all connections of a process.  */
struct conn_shared
{
  struct tevent_context *ev;
  const struct clock *clk;
  struct counters *ctr;
  const struct conn_events *evs;
  void *arg;
  struct frame_key key; /* of hellos */
  const char *name;
  const char *data_centre;
  const char *address; /* of this process's listener, "" without one */
  uint64_t incarnation;
  size_t queue_max_bytes; /* size of a send queue above which droppable frames
                             are dropped */
  int64_t handshake_timeout_us;
  int64_t stall_timeout_us; /* for a send queue that does not become empty */
};

struct conn
{
  struct conn *prev;
  struct conn *next;
  struct conn_shared *shr;
  enum conn_state state;
  bool dialed;
  char remote[64]; /* IP:PORT of the other end, for the log */
  int64_t opened_us;
  int64_t up_us; /* 0 before the connection is up */

  /* Set and used by the owner.  */
  uint32_t address_index; /* of the dialed address, or ADDRESS_NONE */
  struct member_handle member;
  struct load_cursor cursor;

  /* Copied from the peer's hello.  */
  char name[MEMBER_NAME_SIZE];
  char data_centre[MEMBER_NAME_SIZE];
  char address[64];
  uint64_t incarnation;

  /* Internal to conn.c, but for send_len and unsent_since_us, which the owner
     reads or resets.  */
  int fd;
  struct tevent_fd *fde;
  struct frame_key key_in;
  struct frame_key key_out;
  uint64_t sequence_in;
  uint64_t sequence_out;
  uint8_t nonce[FRAME_NONCE_BYTES];
  struct frame_reader reader;
  uint8_t *send_buf;
  size_t send_len;
  int64_t unsent_since_us; /* when the send queue became non-empty */
};

/* Returns 0, ERR_INVALID (address), ERR_NOMEM or ERR_SYSTEM.  */
int conn_dial (struct conn_shared *shr, void *parent, const char *host,
               uint16_t port, struct conn **out);

/* Listens on the IP address HOST; with PORT 0 the system chooses the port.
   Returns 0 and the socket and port, ERR_INVALID (address) or ERR_SYSTEM.  */
int conn_listen (const char *host, uint16_t port, int *out, uint16_t *bound);

/* Takes ownership of FD, on failure too.  */
int conn_accept (struct conn_shared *shr, void *parent, int fd,
                 struct conn **out);

/* Appends MSG to the send queue with the next sequence number; conn_flush
   sends the queue.  A droppable frame that would exceed queue_max_bytes is
   dropped with ERR_FULL.  Any other frame may extend the queue to twice that
   size; beyond that the connection is closed.  Returns ERR_UNAVAILABLE on a
   closed connection.  */
int conn_send (struct conn *con, PeerFrame *msg, bool droppable);
void conn_flush (struct conn *con);

/* Closes the connection when its handshake takes handshake_timeout_us or its
   send queue has not been empty for stall_timeout_us.  */
void conn_tick (struct conn *con, int64_t now_us);

/* Calls the event closed, once.  The owner frees the memory later.  */
void conn_close (struct conn *con, int err);
