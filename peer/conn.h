#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "peer/address.h"
#include "peer/frame.h"
#include "peer/load.h"
#include "peer/member.h"

/* One TCP connection to a peer: handshake, keys, sequence numbers and a
   bounded send queue.  Private to peer/; link.c decides which connections
   there are.

   The dialer sends a hello, the acceptor answers with a hello and both send
   a heartbeat under the keys of this connection.  A connection is up once
   that heartbeat was verified: a hello alone may have been recorded earlier.
 */

struct tevent_context;
struct tevent_fd;
struct conn;

enum conn_state
{
  CONN_CONNECTING,
  CONN_HELLO, /* waits for the peer's hello */
  CONN_PROOF, /* waits for the first frame under the connection's key */
  CONN_UP,
  CONN_CLOSED, /* waits to be freed by its owner */
};

struct conn_events
{
  /* The peer's hello was valid: send the heartbeat.  */
  void (*greeted) (void *arg, struct conn *con);
  void (*up) (void *arg, struct conn *con);
  /* A verified frame on a connection that is up.  Returns 0 or an error that
     closes the connection.  */
  int (*frame) (void *arg, struct conn *con, const PeerFrame *msg);
  void (*closed) (void *arg, struct conn *con, int err);
};

/* What all connections of a process share.  */
struct conn_shared
{
  struct tevent_context *ev;
  const struct clock *clk;
  struct counters *ctr;
  const struct conn_events *evs;
  void *arg;
  struct frame_key key;
  const char *name;
  const char *data_centre;
  const char *address; /* of the own listener, "" without one */
  uint64_t incarnation;
  size_t queue_bytes; /* droppable frames beyond are dropped */
  int64_t handshake_us;
  int64_t stuck_us; /* a queue that never empties in this time */
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
  int64_t up_us;

  /* Of the owner.  */
  uint32_t slot; /* index of the dialed address, or ADDRESS_NONE */
  struct member_handle member;
  struct load_cursor cursor;

  /* From the peer's hello.  */
  char name[MEMBER_NAME_MAX];
  char data_centre[MEMBER_NAME_MAX];
  char address[64];
  uint64_t incarnation;

  /* Of conn.c.  */
  int fd;
  struct tevent_fd *fde;
  struct frame_key key_in;
  struct frame_key key_out;
  uint64_t sequence_in;
  uint64_t sequence_out;
  uint8_t nonce[FRAME_NONCE_BYTES];
  struct frame_reader reader;
  uint8_t *out;
  size_t out_len;
  int64_t out_since_us; /* the queue has not been empty since */
};

/* Returns 0, ERR_INVALID (address), ERR_NOMEM or ERR_SYSTEM.  */
int conn_dial (struct conn_shared *shr, void *parent, const char *host,
               uint16_t port, struct conn **out);

/* Listens on the IP address HOST; PORT 0 takes a free one.  Returns 0,
   ERR_INVALID or ERR_SYSTEM.  */
int conn_listen (const char *host, uint16_t port, int *out, uint16_t *bound);

/* Takes FD over, also when it fails.  */
int conn_accept (struct conn_shared *shr, void *parent, int fd,
                 struct conn **out);

/* Queues MSG with the next sequence number.  A droppable frame that the queue
   has no room for is dropped with ERR_FULL; any other closes the connection
   when the queue is twice that long.  Returns also ERR_UNAVAILABLE when the
   connection is closed.  conn_flush sends.  */
int conn_send (struct conn *con, PeerFrame *msg, bool droppable);
void conn_flush (struct conn *con);

/* Closes a connection whose handshake takes too long or which is stuck.  */
void conn_tick (struct conn *con, int64_t now_us);

/* Calls the event closed once; the memory stays until the owner frees it.  */
void conn_close (struct conn *con, int err);
