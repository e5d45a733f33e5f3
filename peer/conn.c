#include "peer/conn.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netdb.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <string.h>
#include <sys/random.h>
#include <sys/socket.h>
#include <talloc.h>
#include <tevent.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/counter.h"
#include "base/err.h"

/* Largest frame accepted before the peer is verified.  A hello with the
   longest names is smaller.  */
#define HELLO_MAX_BYTES 1024
/* Reads per socket event, so that one busy peer does not delay the others.  */
#define READS_PER_EVENT_MAX 8
#define LISTEN_BACKLOG 64
/* With small socket buffers little data waits in the kernel, so that a slow
   peer shows up in the send queue.  */
#define SOCKET_BUFFER_BYTES 32768

static void
set_socket_options (int fd)
{
  int one = 1;
  int size = SOCKET_BUFFER_BYTES;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  setsockopt (fd, SOL_SOCKET, SO_SNDBUF, &size, sizeof size);
  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
}

void
conn_close (struct conn *con, int err)
{
  if (con->state == CONN_CLOSED)
    return;
  con->state = CONN_CLOSED;
  TALLOC_FREE (con->fde);
  close (con->fd);
  con->fd = -1;
  TALLOC_FREE (con->send_buf);
  con->send_len = 0;
  con->shr->evs->closed (con->shr->arg, con, err);
}

static void
update_write_events (struct conn *con)
{
  if (con->send_len > 0)
    TEVENT_FD_WRITEABLE (con->fde);
  else
    {
      TEVENT_FD_NOT_WRITEABLE (con->fde);
      con->unsent_since_us = 0;
    }
}

void
conn_flush (struct conn *con)
{
  if (con->state == CONN_CLOSED || con->state == CONN_CONNECTING)
    return;
  size_t done = 0;
  while (done < con->send_len)
    {
      ssize_t n = send (con->fd, con->send_buf + done, con->send_len - done,
                        MSG_NOSIGNAL | MSG_DONTWAIT);
      if (n < 0 && errno == EINTR)
        continue;
      if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
        break;
      if (n < 0)
        {
          conn_close (con, ERR_IO);
          return;
        }
      done += n;
      counter_add (con->shr->ctr, CTR_PEER_WRITES, 1);
    }
  if (done > 0)
    {
      memmove (con->send_buf, con->send_buf + done, con->send_len - done);
      con->send_len -= done;
      counter_add (con->shr->ctr, CTR_PEER_BYTES_SENT, done);
    }
  update_write_events (con);
}

static int
queue_append (struct conn *con, const uint8_t *raw, size_t len)
{
  size_t cap = talloc_array_length (con->send_buf);
  if (con->send_len + len > cap)
    {
      uint8_t *out
          = talloc_realloc (con, con->send_buf, uint8_t, con->send_len + len);
      if (!out)
        return ERR_NOMEM;
      con->send_buf = out;
    }
  memcpy (con->send_buf + con->send_len, raw, len);
  if (con->send_len == 0)
    con->unsent_since_us = clock_now_us (con->shr->clk);
  con->send_len += len;
  return 0;
}

int
conn_send (struct conn *con, PeerFrame *msg, bool droppable)
{
  uint8_t *raw = NULL;
  size_t len = 0;

  if (con->state == CONN_CLOSED)
    return ERR_UNAVAILABLE;
  msg->version = FRAME_VERSION;
  msg->sequence = con->sequence_out;
  int err = frame_seal (&con->key_out, msg, con, &raw, &len);
  if (!err && droppable && con->send_len + len > con->shr->queue_max_bytes)
    {
      counter_add (con->shr->ctr, CTR_PEER_DELTAS_DROPPED, 1);
      talloc_free (raw);
      return ERR_FULL;
    }
  if (!err && con->send_len + len > 2 * con->shr->queue_max_bytes)
    err = ERR_FULL;
  if (!err)
    err = queue_append (con, raw, len);
  talloc_free (raw);
  if (err)
    {
      conn_close (con, err);
      return err;
    }
  con->sequence_out++;
  counter_add (con->shr->ctr, CTR_PEER_FRAMES_SENT, 1);
  return 0;
}

static void
send_hello (struct conn *con)
{
  PeerHello hello = PEER_HELLO__INIT;
  PeerFrame msg = PEER_FRAME__INIT;
  hello.nonce.data = con->nonce;
  hello.nonce.len = sizeof con->nonce;
  hello.data_centre = (char *)con->shr->data_centre;
  hello.address = (char *)con->shr->address;
  msg.sender = (char *)con->shr->name;
  msg.incarnation = con->shr->incarnation;
  msg.body_case = PEER_FRAME__BODY_HELLO;
  msg.hello = &hello;
  conn_send (con, &msg, false);
}

static bool
copy_visible_text (char *out, size_t size, const char *text)
{
  size_t len = strlen (text);
  if (len >= size)
    return false;
  for (size_t n = 0; n < len; n++)
    if (text[n] <= ' ' || text[n] > '~')
      return false;
  memcpy (out, text, len + 1);
  return true;
}

static void
derive_keys (struct conn *con, const uint8_t *peer_nonce)
{
  struct frame_session ses = {
    .dialer = con->dialed ? con->shr->name : con->name,
    .acceptor = con->dialed ? con->name : con->shr->name,
  };
  memcpy (ses.dialer_nonce, con->dialed ? con->nonce : peer_nonce,
          FRAME_NONCE_BYTES);
  memcpy (ses.acceptor_nonce, con->dialed ? peer_nonce : con->nonce,
          FRAME_NONCE_BYTES);
  frame_key_derive (&con->key_in, &con->shr->key, &ses, !con->dialed);
  frame_key_derive (&con->key_out, &con->shr->key, &ses, con->dialed);
}

static int
handle_hello (struct conn *con, const PeerFrame *msg)
{
  if (msg->body_case != PEER_FRAME__BODY_HELLO)
    return ERR_PROTOCOL;
  const PeerHello *hello = msg->hello;
  if (hello->nonce.len != FRAME_NONCE_BYTES || *msg->sender == '\0'
      || !copy_visible_text (con->name, sizeof con->name, msg->sender)
      || !copy_visible_text (con->data_centre, sizeof con->data_centre,
                             hello->data_centre)
      || !copy_visible_text (con->address, sizeof con->address,
                             hello->address))
    return ERR_PROTOCOL;
  con->incarnation = msg->incarnation;
  if (!con->dialed)
    send_hello (con);
  if (strcmp (con->name, con->shr->name) == 0)
    {
      /* The peer has this process's name, or is this process.  Send the hello
         before closing, so that the dialer detects it as well.  */
      conn_flush (con);
      return ERR_EXISTS;
    }
  derive_keys (con, hello->nonce.data);
  if (con->state == CONN_CLOSED)
    return 0;
  con->state = CONN_AWAIT_FIRST_FRAME;
  con->shr->evs->hello_received (con->shr->arg, con);
  return 0;
}

static int
handle_frame (struct conn *con, const uint8_t *raw, size_t len)
{
  PeerFrame *msg;
  int err = frame_open (&con->key_in, raw, len, con->sequence_in, &msg);
  if (err)
    return err;
  con->sequence_in++;
  if (con->state == CONN_AWAIT_HELLO)
    err = handle_hello (con, msg);
  else
    {
      if (con->state == CONN_AWAIT_FIRST_FRAME)
        {
          con->state = CONN_UP;
          con->up_us = clock_now_us (con->shr->clk);
          con->reader.max_bytes = FRAME_MAX_BYTES;
          con->shr->evs->up (con->shr->arg, con);
        }
      if (con->state == CONN_UP)
        err = con->shr->evs->frame (con->shr->arg, con, msg);
    }
  peer_frame__free_unpacked (msg, NULL);
  return err;
}

/* Receives once and handles the whole frames.  Returns 1 when more data may be
   waiting, 0 when not, or an error.  */
static int
read_once (struct conn *con)
{
  size_t room;
  uint8_t *buf = frame_reader_reserve (&con->reader, &room);
  if (!buf)
    return ERR_NOMEM;
  ssize_t n = recv (con->fd, buf, room, MSG_DONTWAIT);
  if (n < 0)
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR ? 0
                                                                     : ERR_IO;
  if (n == 0)
    return ERR_UNAVAILABLE;
  frame_reader_commit (&con->reader, n);
  counter_add (con->shr->ctr, CTR_PEER_BYTES_RECEIVED, n);

  const uint8_t *raw;
  size_t len;
  int res = 0;
  while (con->state != CONN_CLOSED
         && (res = frame_reader_next (&con->reader, &raw, &len)) > 0)
    {
      res = handle_frame (con, raw, len);
      if (res < 0)
        break;
    }
  return res < 0 ? res : (size_t)n == room;
}

static void
connect_done (struct conn *con)
{
  int code = 0;
  socklen_t len = sizeof code;
  getsockopt (con->fd, SOL_SOCKET, SO_ERROR, &code, &len);
  if (code != 0)
    {
      conn_close (con, ERR_IO);
      return;
    }
  con->state = CONN_AWAIT_HELLO;
  tevent_fd_set_flags (con->fde, TEVENT_FD_READ);
  send_hello (con);
  conn_flush (con);
}

static void
on_ready (struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags,
          void *arg)
{
  struct conn *con = arg;
  if (con->state == CONN_CONNECTING)
    {
      connect_done (con);
      return;
    }
  int res = flags & TEVENT_FD_READ ? 1 : 0;
  for (int n = 0;
       res > 0 && n < READS_PER_EVENT_MAX && con->state != CONN_CLOSED; n++)
    res = read_once (con);
  if (res < 0)
    conn_close (con, res);
  /* Also sends replies that were queued while reading, such as a hello.  */
  conn_flush (con);
}

void
conn_tick (struct conn *con, int64_t now_us)
{
  if (con->state < CONN_UP
      && now_us - con->opened_us >= con->shr->handshake_timeout_us)
    conn_close (con, ERR_TIMEOUT);
  else if (con->state == CONN_UP && con->send_len > 0
           && now_us - con->unsent_since_us >= con->shr->stall_timeout_us)
    conn_close (con, ERR_TIMEOUT);
}

static int
conn_new (struct conn_shared *shr, void *parent, int fd, uint16_t flags,
          struct conn **out)
{
  struct conn *con = talloc_zero (parent, struct conn);
  if (!con)
    return ERR_NOMEM;
  con->shr = shr;
  con->fd = fd;
  con->address_index = ADDRESS_NONE;
  con->opened_us = clock_now_us (shr->clk);
  con->key_in = shr->key;
  con->key_out = shr->key;
  frame_reader_init (&con->reader, con, HELLO_MAX_BYTES);
  if (getrandom (con->nonce, sizeof con->nonce, 0) != sizeof con->nonce)
    {
      talloc_free (con);
      return ERR_SYSTEM;
    }
  con->fde = tevent_add_fd (shr->ev, con, fd, flags, on_ready, con);
  if (!con->fde)
    {
      talloc_free (con);
      return ERR_NOMEM;
    }
  *out = con;
  return 0;
}

static int
resolve (const char *host, uint16_t port, struct addrinfo **out)
{
  struct addrinfo hints = { .ai_flags = AI_NUMERICHOST | AI_NUMERICSERV,
                            .ai_socktype = SOCK_STREAM };
  char service[8];
  snprintf (service, sizeof service, "%u", port);
  return getaddrinfo (host, service, &hints, out) != 0 ? ERR_INVALID : 0;
}

int
conn_dial (struct conn_shared *shr, void *parent, const char *host,
           uint16_t port, struct conn **out)
{
  struct addrinfo *info;
  int err = resolve (host, port, &info);
  if (err)
    return err;
  err = ERR_SYSTEM;
  int fd = socket (info->ai_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC,
                   0);
  if (fd < 0)
    goto done;
  set_socket_options (fd);
  if (connect (fd, info->ai_addr, info->ai_addrlen) != 0
      && errno != EINPROGRESS)
    {
      close (fd);
      goto done;
    }
  err = conn_new (shr, parent, fd, TEVENT_FD_WRITE, out);
  if (err)
    {
      close (fd);
      goto done;
    }
  (*out)->dialed = true;
  snprintf ((*out)->remote, sizeof (*out)->remote, "%.48s:%u", host, port);
done:
  freeaddrinfo (info);
  return err;
}

static void
set_remote (struct conn *con)
{
  struct sockaddr_storage addr;
  socklen_t len = sizeof addr;
  char host[48] = "";
  char service[8] = "";
  if (getpeername (con->fd, (struct sockaddr *)&addr, &len) == 0)
    getnameinfo ((struct sockaddr *)&addr, len, host, sizeof host, service,
                 sizeof service, NI_NUMERICHOST | NI_NUMERICSERV);
  snprintf (con->remote, sizeof con->remote, "%s:%s", host, service);
}

int
conn_accept (struct conn_shared *shr, void *parent, int fd, struct conn **out)
{
  set_socket_options (fd);
  int err = conn_new (shr, parent, fd, TEVENT_FD_READ, out);
  if (err)
    {
      close (fd);
      return err;
    }
  (*out)->state = CONN_AWAIT_HELLO;
  set_remote (*out);
  return 0;
}

static uint16_t
bound_port (int fd)
{
  union
  {
    struct sockaddr any;
    struct sockaddr_in in;
    struct sockaddr_in6 in6;
  } addr = { 0 };
  socklen_t len = sizeof addr;
  if (getsockname (fd, &addr.any, &len) != 0)
    return 0;
  return ntohs (addr.any.sa_family == AF_INET6 ? addr.in6.sin6_port
                                               : addr.in.sin_port);
}

int
conn_listen (const char *host, uint16_t port, int *out, uint16_t *bound)
{
  struct addrinfo *info;
  int one = 1;
  int err = resolve (host, port, &info);
  if (err)
    return err;
  int fd = socket (info->ai_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC,
                   0);
  if (fd >= 0)
    setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (fd >= 0
      && (bind (fd, info->ai_addr, info->ai_addrlen) != 0
          || listen (fd, LISTEN_BACKLOG) != 0))
    {
      close (fd);
      fd = -1;
    }
  freeaddrinfo (info);
  if (fd < 0)
    return ERR_SYSTEM;
  *out = fd;
  *bound = bound_port (fd);
  return 0;
}
