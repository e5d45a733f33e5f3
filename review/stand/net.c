#define _GNU_SOURCE
#include "net.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define FDS_MAX 8192

enum kind
{
  KIND_NONE,
  KIND_SERVER,
  KIND_CONN,
  KIND_CALL
};

struct server
{
  int fd;
  request_fn *fn;
  void *arg;
};

struct peer
{
  enum kind kind;
  uint64_t number;
  struct server *srv; /* of a server or one of its connections */
  char *in;
  size_t in_len, in_size;
  char *out;
  size_t out_len, out_sent;
  bool busy; /* a request is being handled */
  unsigned served;
  /* Of a call.  */
  answer_fn *fn;
  void *arg;
  int64_t deadline;
};

struct timer
{
  int64_t due;
  uint64_t number;
  timer_fn *fn;
  void *arg;
};

static struct peer peers[FDS_MAX];
static int fd_end;
static uint64_t last_number;
static struct timer *timers;
static size_t timer_count, timer_size;
static bool stopped;

static int64_t
clock_ms (clockid_t id)
{
  struct timespec ts;
  clock_gettime (id, &ts);
  return ts.tv_sec * 1000LL + ts.tv_nsec / 1000000;
}

int64_t
net_now (void)
{
  return clock_ms (CLOCK_MONOTONIC);
}

int64_t
net_wall (void)
{
  return clock_ms (CLOCK_REALTIME);
}

static struct peer *
add_peer (int fd, enum kind kind)
{
  if (fd < 0 || fd >= FDS_MAX)
    {
      fprintf (stderr, "too many sockets\n");
      exit (2);
    }
  peers[fd] = (struct peer){ .kind = kind, .number = ++last_number };
  if (fd >= fd_end)
    fd_end = fd + 1;
  return &peers[fd];
}

static void
close_peer (int fd)
{
  free (peers[fd].in);
  free (peers[fd].out);
  peers[fd] = (struct peer){ 0 };
  close (fd);
}

static struct sockaddr_in
loopback (int port)
{
  return (struct sockaddr_in){ .sin_family = AF_INET,
                               .sin_port = htons ((uint16_t)port),
                               .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
}

struct server *
net_listen (int *port, request_fn *fn, void *arg)
{
  struct sockaddr_in addr = loopback (*port);
  socklen_t len = sizeof addr;
  int one = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (fd < 0 || bind (fd, (struct sockaddr *)&addr, sizeof addr)
      || listen (fd, 512)
      || getsockname (fd, (struct sockaddr *)&addr, &len))
    {
      perror ("listen");
      exit (2);
    }
  *port = ntohs (addr.sin_port);
  struct server *srv = malloc (sizeof *srv);
  *srv = (struct server){ .fd = fd, .fn = fn, .arg = arg };
  add_peer (fd, KIND_SERVER)->srv = srv;
  return srv;
}

static void
reset_fd (int fd)
{
  struct linger now = { .l_onoff = 1 };
  setsockopt (fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  close_peer (fd);
}

size_t
net_reset_all (struct server *srv)
{
  size_t count = 0;
  for (int fd = 0; fd < fd_end; fd++)
    if (peers[fd].srv == srv && peers[fd].kind == KIND_CONN)
      {
        reset_fd (fd);
        count++;
      }
  return count;
}

void
net_shut (struct server *srv)
{
  net_reset_all (srv);
  close_peer (srv->fd);
  free (srv);
}

int
net_free_port (void)
{
  struct sockaddr_in addr = loopback (0);
  socklen_t len = sizeof addr;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (bind (fd, (struct sockaddr *)&addr, sizeof addr)
      || getsockname (fd, (struct sockaddr *)&addr, &len))
    exit (2);
  close (fd);
  return ntohs (addr.sin_port);
}

static struct peer *
find_conn (struct conn_ref conn)
{
  struct peer *pr = conn.fd >= 0 ? &peers[conn.fd] : NULL;
  return pr && pr->kind == KIND_CONN && pr->number == conn.number ? pr : NULL;
}

static void parse_requests (int fd);

/* Sends what is left; returns false when the connection has failed.  */
static bool
flush_out (int fd)
{
  struct peer *pr = &peers[fd];
  while (pr->out_sent < pr->out_len)
    {
      ssize_t n = send (fd, pr->out + pr->out_sent,
                        pr->out_len - pr->out_sent, MSG_NOSIGNAL);
      if (n < 0)
        return errno == EAGAIN || errno == EINTR;
      pr->out_sent += (size_t)n;
    }
  free (pr->out);
  pr->out = NULL;
  pr->out_len = pr->out_sent = 0;
  return true;
}

static void
queue_out (int fd, const void *data, size_t len)
{
  struct peer *pr = &peers[fd];
  pr->out = realloc (pr->out, pr->out_len + len + 1);
  memcpy (pr->out + pr->out_len, data, len);
  pr->out_len += len;
}

void
net_reply (struct conn_ref conn, int status, const char *type,
           const void *body, size_t len)
{
  char head[256];
  struct peer *pr = find_conn (conn);
  if (!pr)
    return;
  int n = snprintf (head, sizeof head,
                    "HTTP/1.1 %d X\r\nContent-Type: %s\r\n"
                    "Content-Length: %zu\r\n\r\n",
                    status, type, len);
  queue_out (conn.fd, head, (size_t)n);
  queue_out (conn.fd, body, len);
  pr->busy = false;
  pr->served++;
  if (!flush_out (conn.fd))
    close_peer (conn.fd);
  else
    parse_requests (conn.fd);
}

void
net_reset (struct conn_ref conn)
{
  if (find_conn (conn))
    reset_fd (conn.fd);
}

/* Returns the header's value, or NULL.  */
static const char *
header (const char *head, const char *name)
{
  size_t len = strlen (name);
  for (const char *line = strstr (head, "\r\n"); line;
       line = strstr (line, "\r\n"))
    {
      line += 2;
      if (strncasecmp (line, name, len) == 0 && line[len] == ':')
        return line + len + 1 + strspn (line + len + 1, " ");
    }
  return NULL;
}

static void
copy_value (char *dst, size_t size, const char *value)
{
  size_t len = value ? strcspn (value, "\r\n") : 0;
  snprintf (dst, size, "%.*s", (int)len, value ? value : "");
}

static void
parse_requests (int fd)
{
  struct peer *pr = &peers[fd];
  if (pr->kind != KIND_CONN || pr->busy || pr->in_len == 0)
    return;
  pr->in[pr->in_len] = '\0';
  char *end = strstr (pr->in, "\r\n\r\n");
  if (!end)
    return;
  size_t head_len = (size_t)(end - pr->in) + 4;
  *end = '\0';
  const char *value = header (pr->in, "Content-Length");
  size_t body_len = value ? strtoul (value, NULL, 10) : 0;
  struct request req = { .conn = { fd, pr->number }, .served = pr->served };
  sscanf (pr->in, "%11s %599s", req.method, req.path);
  copy_value (req.instance, sizeof req.instance,
              header (pr->in, "Expect-Instance"));
  *end = '\r';
  if (pr->in_len < head_len + body_len)
    return;
  req.len = body_len;
  req.body = malloc (body_len + 1);
  memcpy (req.body, pr->in + head_len, body_len);
  req.body[body_len] = '\0';
  pr->in_len -= head_len + body_len;
  memmove (pr->in, pr->in + head_len + body_len, pr->in_len);
  pr->busy = true;
  pr->srv->fn (pr->srv->arg, &req);
  free (req.body);
}

static void
end_call (int fd, int status, const char *body)
{
  answer_fn *fn = peers[fd].fn;
  void *arg = peers[fd].arg;
  char *copy = strdup (body);
  close_peer (fd);
  fn (arg, status, copy);
  free (copy);
}

static void
parse_answer (int fd)
{
  struct peer *pr = &peers[fd];
  int status = 0;
  if (pr->in_len == 0)
    return;
  pr->in[pr->in_len] = '\0';
  char *end = strstr (pr->in, "\r\n\r\n");
  if (!end || sscanf (pr->in, "HTTP/1.1 %d", &status) != 1)
    return;
  const char *value = header (pr->in, "Content-Length");
  size_t body_len = value ? strtoul (value, NULL, 10) : 0;
  if (pr->in_len >= (size_t)(end - pr->in) + 4 + body_len)
    end_call (fd, status, end + 4);
}

void
net_call (int port, const char *method, const char *path, const char *host,
          const char *body, int timeout_ms, answer_fn *fn, void *arg)
{
  struct sockaddr_in addr = loopback (port);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (connect (fd, (struct sockaddr *)&addr, sizeof addr)
      && errno != EINPROGRESS)
    {
      close (fd);
      fn (arg, 0, "");
      return;
    }
  struct peer *pr = add_peer (fd, KIND_CALL);
  pr->fn = fn;
  pr->arg = arg;
  pr->deadline = net_now () + timeout_ms;
  char head[900];
  int n = snprintf (head, sizeof head,
                    "%s %s HTTP/1.1\r\nHost: %s\r\nDeadline-Ms: %d\r\n"
                    "Content-Type: application/json\r\n"
                    "Content-Length: %zu\r\n\r\n",
                    method, path, host, timeout_ms, strlen (body));
  queue_out (fd, head, (size_t)n);
  queue_out (fd, body, strlen (body));
}

void
net_after (int64_t ms, timer_fn *fn, void *arg)
{
  if (timer_count == timer_size)
    {
      timer_size = timer_size ? timer_size * 2 : 64;
      timers = realloc (timers, timer_size * sizeof *timers);
    }
  timers[timer_count++] = (struct timer){ .due = net_now () + ms,
                                          .number = ++last_number,
                                          .fn = fn,
                                          .arg = arg };
}

/* Runs the due timers; returns the time until the next one.  */
static int
run_timers (void)
{
  for (;;)
    {
      size_t first = 0;
      for (size_t n = 1; n < timer_count; n++)
        if (timers[n].due < timers[first].due
            || (timers[n].due == timers[first].due
                && timers[n].number < timers[first].number))
          first = n;
      if (timer_count == 0)
        return 1000;
      int64_t left = timers[first].due - net_now ();
      if (left > 0)
        return left < 1000 ? (int)left : 1000;
      struct timer tmr = timers[first];
      timers[first] = timers[--timer_count];
      tmr.fn (tmr.arg);
    }
}

static void
accept_all (int fd)
{
  int conn, one = 1;
  while ((conn = accept4 (fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0)
    {
      setsockopt (conn, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      struct server *srv = peers[fd].srv;
      add_peer (conn, KIND_CONN)->srv = srv;
    }
}

/* Reads what is there; returns false at the end of the connection.  */
static bool
read_in (int fd)
{
  struct peer *pr = &peers[fd];
  for (;;)
    {
      if (pr->in_len + 65537 > pr->in_size)
        {
          pr->in_size = pr->in_len * 2 + 65537;
          pr->in = realloc (pr->in, pr->in_size);
        }
      ssize_t n = recv (fd, pr->in + pr->in_len, 65536, 0);
      if (n < 0)
        return errno == EAGAIN || errno == EINTR;
      if (n == 0)
        return false;
      pr->in_len += (size_t)n;
    }
}

static void
handle_fd (int fd, short events)
{
  struct peer *pr = &peers[fd];
  uint64_t number = pr->number;
  if (pr->kind == KIND_SERVER)
    {
      accept_all (fd);
      return;
    }
  bool open = !(events & POLLOUT) || flush_out (fd);
  if (events & (POLLIN | POLLHUP | POLLERR))
    open = read_in (fd) && open;
  if (pr->kind == KIND_CALL)
    parse_answer (fd);
  else
    parse_requests (fd);
  if (open || peers[fd].number != number)
    return;
  if (peers[fd].kind == KIND_CALL)
    end_call (fd, 0, "");
  else if (peers[fd].kind == KIND_CONN)
    close_peer (fd);
}

void
net_run (void)
{
  static struct pollfd fds[FDS_MAX];
  stopped = false;
  while (!stopped)
    {
      int wait = run_timers ();
      nfds_t count = 0;
      for (int fd = 0; fd < fd_end; fd++)
        {
          struct peer *pr = &peers[fd];
          if (pr->kind == KIND_CALL && net_now () > pr->deadline)
            end_call (fd, 0, "");
          if (pr->kind != KIND_NONE)
            fds[count++] = (struct pollfd){
              .fd = fd,
              .events = (short)(POLLIN
                                | (pr->out_sent < pr->out_len ? POLLOUT : 0)),
            };
        }
      if (stopped || poll (fds, count, wait) <= 0)
        continue;
      for (nfds_t n = 0; n < count; n++)
        if (fds[n].revents && peers[fds[n].fd].kind != KIND_NONE)
          handle_fd (fds[n].fd, fds[n].revents);
    }
}

void
net_stop (void)
{
  stopped = true;
}
