#include "entry/mhd_loop.h"

#include <arpa/inet.h>
#include <poll.h>
#include <stdbool.h>
#include <sys/time.h>
#include <talloc.h>
#include <tevent.h>
#include <unistd.h>

#include "base/err.h"
#include "base/option.h"

#define LISTEN_BACKLOG 1024u
/* Bounds mhd_loop_read_pending under a load that never pauses.  */
#define PENDING_PASSES_MAX 64

struct mhd_loop
{
  struct tevent_context *ev;
  struct MHD_Daemon *daemon;
  struct tevent_fd *fde;
  struct tevent_timer *timer;
  struct tevent_immediate *run_im;
  bool run_scheduled;
  MHD_socket listen_fd;
  uint16_t port;
};

static void run_daemon (struct mhd_loop *loop);

static void
on_immediate (struct tevent_context *ev, struct tevent_immediate *im,
              void *arg)
{
  struct mhd_loop *loop = arg;
  loop->run_scheduled = false;
  run_daemon (loop);
}

/* Runs the daemon in the next pass of the event loop, for resumed connections
   or pending work.  Several calls in one pass share one run.  */
static void
schedule_run (struct mhd_loop *loop)
{
  if (loop->run_scheduled)
    return;
  loop->run_scheduled = true;
  tevent_schedule_immediate (loop->run_im, loop->ev, on_immediate, loop);
}

static void
on_timer (struct tevent_context *ev, struct tevent_timer *te,
          struct timeval now, void *arg)
{
  struct mhd_loop *loop = arg;
  loop->timer = NULL;
  run_daemon (loop);
}

static void
on_ready (struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags,
          void *arg)
{
  run_daemon (arg);
}

static void
run_daemon (struct mhd_loop *loop)
{
  MHD_UNSIGNED_LONG_LONG ms;

  MHD_run (loop->daemon);
  TALLOC_FREE (loop->timer);
  if (MHD_get_timeout (loop->daemon, &ms) != MHD_YES)
    return;
  if (ms == 0)
    schedule_run (loop);
  else
    loop->timer = tevent_add_timer (
        loop->ev, loop,
        tevent_timeval_current_ofs (ms / 1000, ms % 1000 * 1000), on_timer,
        loop);
}

static int
loop_destructor (struct mhd_loop *loop)
{
  TALLOC_FREE (loop->fde);
  TALLOC_FREE (loop->timer);
  if (loop->daemon)
    MHD_stop_daemon (loop->daemon);
  if (loop->listen_fd != MHD_INVALID_SOCKET)
    close (loop->listen_fd);
  return 0;
}

static int
start_daemon (struct mhd_loop *loop, const struct mhd_loop_settings *set,
              const struct sockaddr *sa, bool ipv6)
{
  unsigned int flags
      = MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | (ipv6 ? MHD_USE_IPv6 : 0);
  loop->daemon = MHD_start_daemon (
      flags, 0, NULL, NULL, set->access, set->arg, MHD_OPTION_SOCK_ADDR, sa,
      MHD_OPTION_CONNECTION_LIMIT, set->max_connections,
      MHD_OPTION_CONNECTION_TIMEOUT, set->idle_timeout_s,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, set->connection_memory,
      MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_LISTEN_BACKLOG_SIZE,
      LISTEN_BACKLOG, MHD_OPTION_NOTIFY_COMPLETED, set->completed, set->arg,
      MHD_OPTION_END);
  if (!loop->daemon)
    return ERR_SYSTEM;
  const union MHD_DaemonInfo *info
      = MHD_get_daemon_info (loop->daemon, MHD_DAEMON_INFO_BIND_PORT);
  loop->port = info->port;
  info = MHD_get_daemon_info (loop->daemon, MHD_DAEMON_INFO_EPOLL_FD);
  loop->fde = tevent_add_fd (loop->ev, loop, info->epoll_fd, TEVENT_FD_READ,
                             on_ready, loop);
  return loop->fde ? 0 : ERR_NOMEM;
}

int
mhd_loop_create (void *parent, struct tevent_context *ev,
                 const struct mhd_loop_settings *set, struct mhd_loop **out)
{
  char host[64];
  uint16_t port;
  struct sockaddr_in sa4 = { .sin_family = AF_INET };
  struct sockaddr_in6 sa6 = { .sin6_family = AF_INET6 };

  int err = address_parse (set->address, host, &port);
  if (err)
    return err;
  sa4.sin_port = sa6.sin6_port = htons (port);
  bool ipv6 = inet_pton (AF_INET, host, &sa4.sin_addr) != 1;
  if (ipv6 && inet_pton (AF_INET6, host, &sa6.sin6_addr) != 1)
    return ERR_INVALID;

  struct mhd_loop *loop = talloc_zero (parent, struct mhd_loop);
  if (!loop)
    return ERR_NOMEM;
  loop->ev = ev;
  loop->listen_fd = MHD_INVALID_SOCKET;
  loop->run_im = tevent_create_immediate (loop);
  talloc_set_destructor (loop, loop_destructor);
  err = loop->run_im ? start_daemon (
            loop, set,
            ipv6 ? (struct sockaddr *)&sa6 : (struct sockaddr *)&sa4, ipv6)
                     : ERR_NOMEM;
  if (err)
    {
      talloc_free (loop);
      return err;
    }
  *out = loop;
  return 0;
}

uint16_t
mhd_loop_port (const struct mhd_loop *loop)
{
  return loop->port;
}

void
mhd_loop_resume (struct mhd_loop *loop, struct MHD_Connection *conn)
{
  MHD_resume_connection (conn);
  schedule_run (loop);
}

bool
mhd_loop_read_pending (struct mhd_loop *loop)
{
  const union MHD_DaemonInfo *info
      = MHD_get_daemon_info (loop->daemon, MHD_DAEMON_INFO_EPOLL_FD);
  struct pollfd ready = { .fd = info->epoll_fd, .events = POLLIN };
  int passes = 0;
  while (passes < PENDING_PASSES_MAX && poll (&ready, 1, 0) > 0)
    {
      MHD_run (loop->daemon);
      passes++;
    }
  run_daemon (loop);
  return passes < PENDING_PASSES_MAX;
}

void
mhd_loop_quiesce (struct mhd_loop *loop)
{
  if (loop->listen_fd == MHD_INVALID_SOCKET)
    loop->listen_fd = MHD_quiesce_daemon (loop->daemon);
}

void
mhd_loop_destroy (struct mhd_loop *loop)
{
  talloc_free (loop);
}
