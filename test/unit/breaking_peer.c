#include "breaking_peer.h"

#include <arpa/inet.h>
#include <check.h>
#include <poll.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define CALL_MAX_BYTES 16384
#define LENGTH_HEADER "Content-Length: "

/* Waits for bytes or a connection on SOCK.  Returns false when the peer is to
   stop.  */
static bool
wait_for_input (const struct breaking_peer *peer, int sock)
{
  struct pollfd fds[] = { { .fd = sock, .events = POLLIN },
                          { .fd = peer->stop[0], .events = POLLIN } };
  return poll (fds, 2, -1) > 0 && !fds[1].revents;
}

/* Reads one call.  Returns false at the end of the connection.  */
static bool
read_call (const struct breaking_peer *peer, int sock)
{
  char text[CALL_MAX_BYTES];
  size_t len = 0;
  size_t need = SIZE_MAX;
  while (len < need)
    {
      if (!wait_for_input (peer, sock))
        return false;
      ssize_t got = read (sock, text + len, sizeof text - 1 - len);
      if (got <= 0)
        return false;
      len += (size_t)got;
      text[len] = '\0';
      const char *end = strstr (text, "\r\n\r\n");
      const char *length = strstr (text, LENGTH_HEADER);
      if (end)
        need = (size_t)(end + 4 - text)
               + (length ? strtoul (length + strlen (LENGTH_HEADER), NULL, 10)
                         : 0);
    }
  return true;
}

static void
respond (int sock, const char *status)
{
  char text[128];
  int len = snprintf (text, sizeof text,
                      "HTTP/1.1 %s\r\nContent-Length: 0\r\n\r\n", status);
  ck_assert_int_eq (write (sock, text, (size_t)len), len);
}

static void *
run (void *arg)
{
  struct breaking_peer *peer = arg;
  while (wait_for_input (peer, peer->listener))
    {
      int sock = accept (peer->listener, NULL, NULL);
      while (read_call (peer, sock) && ++peer->calls != 2)
        respond (sock, peer->calls == 1 ? "200 OK" : "503 Busy");
      close (sock);
    }
  return NULL;
}

void
breaking_peer_start (struct breaking_peer *peer)
{
  struct sockaddr_in addr = { .sin_family = AF_INET };
  socklen_t len = sizeof addr;
  addr.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  *peer = (struct breaking_peer){ 0 };
  peer->listener = socket (AF_INET, SOCK_STREAM, 0);
  ck_assert_int_ge (peer->listener, 0);
  ck_assert_int_eq (bind (peer->listener, (struct sockaddr *)&addr, len), 0);
  ck_assert_int_eq (listen (peer->listener, 4), 0);
  ck_assert_int_eq (
      getsockname (peer->listener, (struct sockaddr *)&addr, &len), 0);
  snprintf (peer->address, sizeof peer->address, "127.0.0.1:%u",
            ntohs (addr.sin_port));
  ck_assert_int_eq (pipe (peer->stop), 0);
  ck_assert_int_eq (pthread_create (&peer->thread, NULL, run, peer), 0);
}

int
breaking_peer_stop (struct breaking_peer *peer)
{
  close (peer->stop[1]);
  pthread_join (peer->thread, NULL);
  close (peer->stop[0]);
  close (peer->listener);
  return peer->calls;
}
