#include "test/scenario/relay.h"

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>
#include <utlist.h>

/* One of the two connections that a relay joins; both are freed together.  */
struct relay_conn
{
  struct relay_conn *prev, *next;
  struct relay *rl;
  struct relay_conn *peer;
  struct tevent_fd *event;
  int fd;
};

struct relay
{
  struct scenario *sc;
  const uint16_t *target_port;
  struct tevent_fd *listener;
  struct relay_conn *conns;
  int fd;
};

static void
close_pair (struct relay_conn *conn)
{
  struct relay_conn *conns[2] = { conn, conn->peer };
  for (int n = 0; n < 2; n++)
    {
      DL_DELETE (conn->rl->conns, conns[n]);
      TALLOC_FREE (conns[n]->event);
      close (conns[n]->fd);
    }
  talloc_free (conns[1]);
  talloc_free (conns[0]);
}

/* Forwards data.  Closes both connections when one ends, or when the receiver
   does not take all data: messages between entry processes are small, so such
   a receiver has stopped reading.  */
static void
on_data (struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags,
         void *arg)
{
  struct relay_conn *conn = arg;
  char buf[65536];
  ssize_t len = recv (conn->fd, buf, sizeof buf, 0);
  if (len <= 0 || send (conn->peer->fd, buf, len, MSG_NOSIGNAL) != len)
    close_pair (conn);
}

static struct relay_conn *
add_conn (struct relay *rl, int fd)
{
  struct relay_conn *conn = talloc_zero (rl, struct relay_conn);
  conn->rl = rl;
  conn->fd = fd;
  conn->event
      = tevent_add_fd (rl->sc->ev, conn, fd, TEVENT_FD_READ, on_data, conn);
  DL_APPEND (rl->conns, conn);
  return conn;
}

static void
on_connection (struct tevent_context *ev, struct tevent_fd *fde,
               uint16_t flags, void *arg)
{
  struct relay *rl = arg;
  struct sockaddr_in sa = { .sin_family = AF_INET,
                            .sin_port = htons (*rl->target_port),
                            .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int fd = accept4 (rl->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  /* Blocks only briefly: on loopback a connection is made or refused at
     once.  */
  int out = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0 || *rl->target_port == 0
      || connect (out, (struct sockaddr *)&sa, sizeof sa) != 0)
    {
      close (out);
      close (fd);
      return;
    }
  struct relay_conn *a = add_conn (rl, fd);
  struct relay_conn *b = add_conn (rl, out);
  a->peer = b;
  b->peer = a;
}

struct relay *
relay_create (struct scenario *sc, const uint16_t *target_port, uint16_t *port)
{
  struct relay *rl = talloc_zero (sc, struct relay);
  struct sockaddr_in sa
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t len = sizeof sa;
  rl->sc = sc;
  rl->target_port = target_port;
  rl->fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (bind (rl->fd, (struct sockaddr *)&sa, len) != 0
      || listen (rl->fd, SOMAXCONN) != 0
      || getsockname (rl->fd, (struct sockaddr *)&sa, &len) != 0)
    {
      scenario_fail (sc, "cannot listen on a port for a relay");
      return NULL;
    }
  *port = ntohs (sa.sin_port);
  rl->listener
      = tevent_add_fd (sc->ev, rl, rl->fd, TEVENT_FD_READ, on_connection, rl);
  return rl;
}

void
relay_set_cut (struct relay *rl, bool cut)
{
  struct relay_conn *conn;
  uint16_t flags = cut ? 0 : TEVENT_FD_READ;
  tevent_fd_set_flags (rl->listener, flags);
  DL_FOREACH (rl->conns, conn)
    tevent_fd_set_flags (conn->event, flags);
}
