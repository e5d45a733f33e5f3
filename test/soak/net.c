#include "test/soak/net.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define FDS_MAX 32768
#define EVENTS_MAX 256
#define BACKLOG 512
#define PORT_MIN 10000
#define PORT_SPAN 512
#define PORT_RANGES 40
/* A gap of the loop above this was not caused by the program's own work.  */
#define GAP_MIN_MS 200
#define LATE_CHECK_MS 10

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
  int filler; /* fills the queue of new connections; -1: none */
  bool hold;
  struct net_link link;
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
  bool busy;   /* a request is being handled */
  bool silent; /* returns nothing further, see net_silence */
  bool mute;   /* requests arrive and answers do not */
  bool want_out;
  /* Of a call.  */
  answer_fn *fn;
  void *arg;
  int64_t deadline;
  int port;           /* of the process that is called */
  int64_t idle_since; /* 0: a call is open */
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
static int epoll_fd = -1;
net_gap_fn *net_on_gap;
static uint64_t last_number;
static struct timer *timers;
static size_t timer_count, timer_size;
static bool stopped;

/* Returns memory of SIZE bytes; the program cannot go on without it.  */
static void *
grow (void *mem, size_t size)
{
  void *grown = realloc (mem, size);
  if (!grown)
    {
      fprintf (stderr, "soak: no memory\n");
      exit (2);
    }
  return grown;
}

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
  if (epoll_fd < 0)
    epoll_fd = epoll_create1 (EPOLL_CLOEXEC);
  peers[fd] = (struct peer){ .kind = kind, .number = ++last_number };
  struct epoll_event ev = { .events = EPOLLIN, .data.fd = fd };
  epoll_ctl (epoll_fd, EPOLL_CTL_ADD, fd, &ev);
  if (fd >= fd_end)
    fd_end = fd + 1;
  return &peers[fd];
}

static void
set_events (int fd, uint32_t events)
{
  struct epoll_event ev = { .events = events, .data.fd = fd };
  epoll_ctl (epoll_fd, EPOLL_CTL_MOD, fd, &ev);
}

/* Asks to be told when FD takes bytes again if some are left.  */
static void
update_events (int fd)
{
  struct peer *pr = &peers[fd];
  bool want = pr->out_sent < pr->out_len;
  if (want != pr->want_out)
    set_events (fd, EPOLLIN | (want ? EPOLLOUT : 0));
  pr->want_out = want;
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
      || listen (fd, BACKLOG)
      || getsockname (fd, (struct sockaddr *)&addr, &len))
    {
      perror ("soak: listen");
      exit (2);
    }
  *port = ntohs (addr.sin_port);
  struct server *srv = grow (NULL, sizeof *srv);
  *srv = (struct server){ .fd = fd, .filler = -1, .fn = fn, .arg = arg };
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

/* Binds a port of the loopback address; returns the socket, or -1.  */
static int
bind_port (int port)
{
  struct sockaddr_in addr = loopback (port);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd >= 0 && bind (fd, (struct sockaddr *)&addr, sizeof addr) == 0)
    return fd;
  close (fd);
  return -1;
}

/* Takes a range of ports for this program alone: its first port stays bound,
   as two soaks on one range would send their jobs to each other's processes.
   The ranges are below the one from which the kernel takes ports for
   connections.  */
static int
take_range (void)
{
  for (int n = 0; n < PORT_RANGES; n++)
    {
      int first = PORT_MIN + n * PORT_SPAN;
      int fd = bind_port (first);
      if (fd >= 0 && listen (fd, 1) == 0)
        return first;
      if (fd >= 0)
        close (fd);
    }
  fprintf (stderr, "soak: no free range of ports\n");
  exit (2);
}

int
net_free_port (void)
{
  static int next, end;
  if (next == 0)
    {
      next = take_range () + 1;
      end = next + PORT_SPAN - 1;
    }
  while (next < end)
    {
      int fd = bind_port (next++);
      close (fd);
      if (fd >= 0)
        return next - 1;
    }
  fprintf (stderr, "soak: no free port\n");
  exit (2);
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
      ssize_t n = send (fd, pr->out + pr->out_sent, pr->out_len - pr->out_sent,
                        MSG_NOSIGNAL);
      if (n < 0)
        {
          update_events (fd);
          return errno == EAGAIN || errno == EINTR;
        }
      pr->out_sent += (size_t)n;
    }
  update_events (fd);
  free (pr->out);
  pr->out = NULL;
  pr->out_len = pr->out_sent = 0;
  return true;
}

static void
queue_out (int fd, const void *data, size_t len)
{
  struct peer *pr = &peers[fd];
  pr->out = grow (pr->out, pr->out_len + len + 1);
  memcpy (pr->out + pr->out_len, data, len);
  pr->out_len += len;
}

struct net_link *
net_link_of (struct server *srv)
{
  return &srv->link;
}

void
net_reply (struct conn_ref conn, int status, const char *type,
           const void *body, size_t len)
{
  char head[256];
  struct peer *pr = find_conn (conn);
  if (!pr || pr->silent || pr->mute)
    return;
  if (pr->srv->link.drop_out)
    {
      pr->silent = true;
      return;
    }
  int n = snprintf (head, sizeof head,
                    "HTTP/1.1 %d X\r\nContent-Type: %s\r\n"
                    "Content-Length: %zu\r\n\r\n",
                    status, type, len);
  queue_out (conn.fd, head, (size_t)n);
  queue_out (conn.fd, body, len);
  pr->busy = false;
  if (pr->srv->hold)
    return;
  if (!flush_out (conn.fd))
    close_peer (conn.fd);
  else
    parse_requests (conn.fd);
}

void
net_silence (struct conn_ref conn)
{
  struct peer *pr = find_conn (conn);
  if (pr)
    pr->silent = true;
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
  if (pr->kind == KIND_CONN && pr->srv->link.drop_in && pr->in_len > 0)
    pr->silent = true;
  if (pr->kind == KIND_CONN && pr->silent)
    pr->in_len = 0;
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
  struct request req = { .conn = { fd, pr->number } };
  sscanf (pr->in, "%11s %599s", req.method, req.path);
  copy_value (req.instance, sizeof req.instance,
              header (pr->in, "Expect-Instance"));
  value = header (pr->in, "Fencing-Token");
  req.token = value ? strtoll (value, NULL, 10) : 0;
  *end = '\r';
  if (pr->in_len < head_len + body_len)
    return;
  req.len = body_len;
  req.body = grow (NULL, body_len + 1);
  memcpy (req.body, pr->in + head_len, body_len);
  req.body[body_len] = '\0';
  pr->in_len -= head_len + body_len;
  memmove (pr->in, pr->in + head_len + body_len, pr->in_len);
  pr->busy = true;
  pr->srv->fn (pr->srv->arg, &req);
  free (req.body);
}

/* Ends the open call.  A connection that has answered stays open for the next
   call to its process.  */
static void
end_call (int fd, int status, const char *head, const char *body)
{
  struct peer *pr = &peers[fd];
  struct answer ans = { .status = status,
                        .broken = status == 0 && net_now () <= pr->deadline };
  answer_fn *fn = pr->fn;
  void *arg = pr->arg;
  char *copy = strdup (body);
  const char *retry = head ? header (head, "Retry-After") : NULL;
  ans.body = copy;
  ans.retry_after_s = retry ? atoi (retry) : 0;
  if (status == 0)
    reset_fd (fd);
  else
    {
      pr->idle_since = net_now ();
      pr->in_len = 0;
    }
  fn (arg, &ans);
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
  if (pr->in_len < (size_t)(end - pr->in) + 4 + body_len)
    return;
  *end = '\0';
  end_call (fd, status, pr->in, end + 4);
}

/* A connection to PORT that no call uses, or -1.  */
static int
find_idle (int port)
{
  for (int fd = 0; fd < fd_end; fd++)
    if (peers[fd].kind == KIND_CALL && peers[fd].port == port
        && peers[fd].idle_since)
      return fd;
  return -1;
}

static int
open_conn (int port)
{
  struct sockaddr_in addr = loopback (port);
  int one = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return -1;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  if (connect (fd, (struct sockaddr *)&addr, sizeof addr)
      && errno != EINPROGRESS)
    {
      close (fd);
      return -1;
    }
  add_peer (fd, KIND_CALL)->port = port;
  return fd;
}

void
net_call (const struct call *call, answer_fn *fn, void *arg)
{
  const char *body = call->body ? call->body : "";
  int fd = find_idle (call->port);
  if (fd < 0)
    fd = open_conn (call->port);
  if (fd < 0)
    {
      const struct answer none = { .body = "" };
      fn (arg, &none);
      return;
    }
  struct peer *pr = &peers[fd];
  pr->fn = fn;
  pr->arg = arg;
  pr->idle_since = 0;
  pr->deadline = net_now () + call->timeout_ms;
  char head[900];
  int n = snprintf (head, sizeof head,
                    "%s %s HTTP/1.1\r\nHost: %s\r\nDeadline-Ms: %d\r\n"
                    "Content-Type: application/json\r\n"
                    "Content-Length: %zu\r\n\r\n",
                    call->method, call->path, call->host, call->timeout_ms,
                    strlen (body));
  queue_out (fd, head, (size_t)n);
  queue_out (fd, body, strlen (body));
  /* While the connection is being made, the first attempt fails.  */
  flush_out (fd);
}

static bool
timer_before (const struct timer *a, const struct timer *b)
{
  return a->due != b->due ? a->due < b->due : a->number < b->number;
}

static void
swap_timers (size_t a, size_t b)
{
  struct timer tmp = timers[a];
  timers[a] = timers[b];
  timers[b] = tmp;
}

void
net_after (int64_t ms, timer_fn *fn, void *arg)
{
  if (timer_count == timer_size)
    {
      timer_size = timer_size ? timer_size * 2 : 64;
      timers = grow (timers, timer_size * sizeof *timers);
    }
  size_t pos = timer_count++;
  timers[pos] = (struct timer){
    .due = net_now () + ms, .number = ++last_number, .fn = fn, .arg = arg
  };
  while (pos > 0 && timer_before (&timers[pos], &timers[(pos - 1) / 2]))
    {
      swap_timers (pos, (pos - 1) / 2);
      pos = (pos - 1) / 2;
    }
}

/* Takes the first timer out of the heap.  */
static struct timer
pop_timer (void)
{
  struct timer first = timers[0];
  size_t pos = 0;
  timers[0] = timers[--timer_count];
  for (;;)
    {
      size_t low = pos;
      for (size_t kid = 2 * pos + 1; kid <= 2 * pos + 2; kid++)
        if (kid < timer_count && timer_before (&timers[kid], &timers[low]))
          low = kid;
      if (low == pos)
        return first;
      swap_timers (low, pos);
      pos = low;
    }
}

/* Runs the due timers; returns the time until the next one.  */
static int
run_timers (void)
{
  while (timer_count > 0)
    {
      int64_t left = timers[0].due - net_now ();
      if (left > 0)
        return left < 20 ? (int)left : 20;
      struct timer tmr = pop_timer ();
      tmr.fn (tmr.arg);
    }
  return 20;
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
      if (srv->link.refuse)
        reset_fd (conn);
      else if (srv->hold)
        set_events (conn, 0);
    }
}

void
net_hang (struct server *srv, bool on)
{
  if (on == (srv->filler >= 0))
    return;
  if (!on)
    {
      close (srv->filler);
      srv->filler = -1;
      listen (srv->fd, BACKLOG);
      set_events (srv->fd, EPOLLIN);
      return;
    }
  /* With a full queue the kernel drops the first packet of a connection.  */
  struct sockaddr_in addr = { 0 };
  socklen_t len = sizeof addr;
  accept_all (srv->fd);
  set_events (srv->fd, 0);
  getsockname (srv->fd, (struct sockaddr *)&addr, &len);
  srv->filler = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (srv->filler < 0
      || connect (srv->filler, (struct sockaddr *)&addr, sizeof addr)
      || listen (srv->fd, 0))
    {
      perror ("soak: filling the queue of a listener");
      exit (2);
    }
}

void
net_hold (struct server *srv, bool on)
{
  srv->hold = on;
  for (int fd = 0; fd < fd_end; fd++)
    if (peers[fd].srv == srv && peers[fd].kind == KIND_CONN)
      {
        set_events (fd, on ? 0 : EPOLLIN);
        peers[fd].want_out = false;
        if (!on && !flush_out (fd))
          close_peer (fd);
      }
}

void
net_silence_all (struct server *srv, bool arrives)
{
  for (int fd = 0; fd < fd_end; fd++)
    if (peers[fd].srv == srv && peers[fd].kind == KIND_CONN)
      *(arrives ? &peers[fd].mute : &peers[fd].silent) = true;
}

void
net_reset_busy (struct server *srv)
{
  for (int fd = 0; fd < fd_end; fd++)
    if (peers[fd].srv == srv && peers[fd].kind == KIND_CONN && peers[fd].busy)
      reset_fd (fd);
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
          pr->in = grow (pr->in, pr->in_size);
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
handle_fd (int fd, uint32_t events)
{
  struct peer *pr = &peers[fd];
  uint64_t number = pr->number;
  if (pr->kind == KIND_SERVER)
    {
      accept_all (fd);
      return;
    }
  if (pr->kind == KIND_CONN && pr->srv->hold)
    {
      /* The caller has reset it.  */
      close_peer (fd);
      return;
    }
  bool open = !(events & EPOLLOUT) || flush_out (fd);
  if (events & (EPOLLIN | EPOLLHUP | EPOLLERR))
    open = read_in (fd) && open;
  if (pr->kind == KIND_CALL && !pr->idle_since)
    parse_answer (fd);
  else
    parse_requests (fd);
  if (open || peers[fd].number != number)
    return;
  if (peers[fd].kind == KIND_CALL && !peers[fd].idle_since)
    end_call (fd, 0, NULL, "");
  else if (peers[fd].kind != KIND_NONE)
    close_peer (fd);
}

static void
end_late_calls (void)
{
  static int64_t last;
  int64_t now = net_now ();
  if (now - last < LATE_CHECK_MS)
    return;
  last = now;
  for (int fd = 0; fd < fd_end; fd++)
    if (peers[fd].kind == KIND_CALL && !peers[fd].idle_since
        && now > peers[fd].deadline)
      end_call (fd, 0, NULL, "");
}

/* Tells of a time in which this program was not scheduled.  */
static void
check_gap (int64_t *last)
{
  int64_t now = net_now ();
  if (now - *last > GAP_MIN_MS && net_on_gap)
    net_on_gap (*last, now);
  *last = now;
}

void
net_run (void)
{
  struct epoll_event events[EVENTS_MAX];
  int64_t last = net_now ();
  stopped = false;
  while (!stopped)
    {
      check_gap (&last);
      int wait = run_timers ();
      end_late_calls ();
      if (stopped)
        break;
      int count = epoll_wait (epoll_fd, events, EVENTS_MAX, wait);
      for (int n = 0; n < count; n++)
        if (peers[events[n].data.fd].kind != KIND_NONE)
          handle_fd (events[n].data.fd, events[n].events);
    }
}

void
net_stop (void)
{
  stopped = true;
}
