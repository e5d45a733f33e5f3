#include "test/scenario/relay.h"

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>
#include <utlist.h>

/* One of the two connections of a pair; they are freed together.  */
struct side
{
  struct side *prev, *next;
  struct relay *rl;
  struct side *other;
  struct tevent_fd *event;
  int fd;
};

struct relay
{
  struct scenario *sc;
  const uint16_t *target;
  struct tevent_fd *listener;
  struct side *sides;
  int fd;
};

static void
close_pair (struct side *sd)
{
  struct side *sides[2] = { sd, sd->other };
  for (int n = 0; n < 2; n++)
    {
      DL_DELETE (sd->rl->sides, sides[n]);
      TALLOC_FREE (sides[n]->event);
      close (sides[n]->fd);
    }
  talloc_free (sides[1]);
  talloc_free (sides[0]);
}

/* A receiver that takes no more counts as gone: the messages between entry
   processes are small.  */
static void
on_data (struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags,
         void *arg)
{
  struct side *sd = arg;
  char buf[65536];
  ssize_t len = recv (sd->fd, buf, sizeof buf, 0);
  if (len <= 0 || send (sd->other->fd, buf, len, MSG_NOSIGNAL) != len)
    close_pair (sd);
}

static struct side *
add_side (struct relay *rl, int fd)
{
  struct side *sd = talloc_zero (rl, struct side);
  sd->rl = rl;
  sd->fd = fd;
  sd->event = tevent_add_fd (rl->sc->ev, sd, fd, TEVENT_FD_READ, on_data, sd);
  DL_APPEND (rl->sides, sd);
  return sd;
}

static void
on_connection (struct tevent_context *ev, struct tevent_fd *fde,
               uint16_t flags, void *arg)
{
  struct relay *rl = arg;
  struct sockaddr_in sa = { .sin_family = AF_INET,
                            .sin_port = htons (*rl->target),
                            .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int fd = accept4 (rl->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  /* On loopback a connection is made or refused at once.  */
  int out = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0 || *rl->target == 0
      || connect (out, (struct sockaddr *)&sa, sizeof sa) != 0)
    {
      close (out);
      close (fd);
      return;
    }
  struct side *a = add_side (rl, fd);
  struct side *b = add_side (rl, out);
  a->other = b;
  b->other = a;
}

struct relay *
relay_create (struct scenario *sc, const uint16_t *target, uint16_t *port)
{
  struct relay *rl = talloc_zero (sc, struct relay);
  struct sockaddr_in sa
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t len = sizeof sa;
  rl->sc = sc;
  rl->target = target;
  rl->fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (bind (rl->fd, (struct sockaddr *)&sa, len) != 0
      || listen (rl->fd, SOMAXCONN) != 0
      || getsockname (rl->fd, (struct sockaddr *)&sa, &len) != 0)
    {
      scenario_fail (sc, "no port for a relay");
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
  struct side *sd;
  uint16_t flags = cut ? 0 : TEVENT_FD_READ;
  tevent_fd_set_flags (rl->listener, flags);
  DL_FOREACH (rl->sides, sd)
    tevent_fd_set_flags (sd->event, flags);
}
