#include "silent_peer.h"

#include <arpa/inet.h>
#include <check.h>
#include <poll.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define CALL_MAX_BYTES 4096
/* 16 bytes: a page of the store's log without records.  */
#define RESPONSE "HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n"
#define RESPONSE_BODY_BYTES 16

struct connection
{
  int sock;
  int generation; /* of the peer, when it was accepted */
  char text[CALL_MAX_BYTES];
  size_t len;
};

static void
respond (struct silent_peer *peer, const struct connection *con)
{
  char text[sizeof RESPONSE - 1 + RESPONSE_BODY_BYTES] = RESPONSE;
  if (con->generation == atomic_load (&peer->generation))
    {
      atomic_fetch_add (&peer->answered, 1);
      ck_assert_int_eq (write (con->sock, text, sizeof text), sizeof text);
      return;
    }
  if (peer->partial)
    ck_assert_int_gt (write (con->sock, peer->partial, strlen (peer->partial)),
                      0);
  atomic_fetch_add (&peer->unanswered, 1);
}

/* Reads from a connection and answers each call, all of which have no body.
   Returns false at its end.  */
static bool
serve (struct silent_peer *peer, struct connection *con)
{
  ssize_t got = read (con->sock, con->text + con->len,
                      sizeof con->text - 1 - con->len);
  if (got <= 0)
    return false;
  con->len += (size_t)got;
  con->text[con->len] = '\0';
  if (strstr (con->text, "\r\n\r\n"))
    {
      con->len = 0;
      respond (peer, con);
    }
  return true;
}

static void
accept_connection (struct silent_peer *peer, struct connection *con)
{
  con->sock = accept (peer->listener, NULL, NULL);
  ck_assert_int_ge (con->sock, 0);
  con->generation = atomic_load (&peer->generation);
  con->len = 0;
  atomic_fetch_add (&peer->connections, 1);
}

static void *
run (void *arg)
{
  static _Thread_local struct connection cons[SILENT_PEER_CONNECTIONS_MAX];
  struct silent_peer *peer = arg;
  struct pollfd fds[2 + SILENT_PEER_CONNECTIONS_MAX];
  size_t count = 0;
  for (;;)
    {
      fds[0] = (struct pollfd){ .fd = peer->stop[0], .events = POLLIN };
      fds[1] = (struct pollfd){ .fd = peer->listener, .events = POLLIN };
      for (size_t n = 0; n < count; n++)
        fds[2 + n] = (struct pollfd){ .fd = cons[n].sock, .events = POLLIN };
      ck_assert_int_gt (poll (fds, 2 + count, -1), 0);
      if (fds[0].revents)
        break;
      for (size_t n = count; n > 0; n--)
        if (fds[1 + n].revents && !serve (peer, &cons[n - 1]))
          {
            close (cons[n - 1].sock);
            cons[n - 1] = cons[--count];
          }
      if (fds[1].revents)
        {
          ck_assert_uint_lt (count, SILENT_PEER_CONNECTIONS_MAX);
          accept_connection (peer, &cons[count++]);
        }
    }
  for (size_t n = 0; n < count; n++)
    close (cons[n].sock);
  return NULL;
}

void
silent_peer_start (struct silent_peer *peer)
{
  struct sockaddr_in addr = { .sin_family = AF_INET };
  socklen_t len = sizeof addr;
  addr.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  memset (peer, 0, sizeof *peer);
  peer->listener = socket (AF_INET, SOCK_STREAM, 0);
  ck_assert_int_ge (peer->listener, 0);
  ck_assert_int_eq (bind (peer->listener, (struct sockaddr *)&addr, len), 0);
  ck_assert_int_eq (listen (peer->listener, SILENT_PEER_CONNECTIONS_MAX), 0);
  ck_assert_int_eq (
      getsockname (peer->listener, (struct sockaddr *)&addr, &len), 0);
  snprintf (peer->address, sizeof peer->address, "127.0.0.1:%u",
            ntohs (addr.sin_port));
  ck_assert_int_eq (pipe (peer->stop), 0);
  ck_assert_int_eq (pthread_create (&peer->thread, NULL, run, peer), 0);
}

void
silent_peer_stop (struct silent_peer *peer)
{
  close (peer->stop[1]);
  pthread_join (peer->thread, NULL);
  close (peer->stop[0]);
  close (peer->listener);
}

void
silent_peer_silence (struct silent_peer *peer)
{
  atomic_fetch_add (&peer->generation, 1);
}
