#include "base/curl_loop.h"

#include <netdb.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <tevent.h>
#include <unistd.h>

#include "base/err.h"
#include "base/timer.h"

struct call
{
  struct call *prev;
  struct call *next;
  CURL *easy;
  curl_loop_fn *fn;
  void *arg;
};

struct priv
{
  struct tevent_context *ev;
  CURLM *multi;
  struct timer *timer;
  struct call *calls;
  uint32_t count;
  uint32_t max_calls;
  struct watch **watches; /* by socket */
  curl_socket_t watches_size;
  /* While run_done_callbacks runs, points to its local flag, which
     curl_loop_fini sets; otherwise NULL.  */
  bool *finished;
};

static pthread_once_t global_once = PTHREAD_ONCE_INIT;
static CURLcode global_result;

static void
global_init (void)
{
  global_result = curl_global_init (CURL_GLOBAL_DEFAULT);
}

static void
detach_call (struct priv *p, struct call *call)
{
  curl_multi_remove_handle (p->multi, call->easy);
  curl_easy_setopt (call->easy, CURLOPT_PRIVATE, NULL);
  if (call->prev)
    call->prev->next = call->next;
  else
    p->calls = call->next;
  if (call->next)
    call->next->prev = call->prev;
  p->count--;
  talloc_free (call);
}

static struct call *
find_call (struct priv *p, CURL *easy)
{
  char *ptr = NULL;
  curl_easy_getinfo (easy, CURLINFO_PRIVATE, &ptr);
  return (struct call *)ptr;
}

/* Runs the callbacks of the transfers that have ended.  Returns early when one
   of them ran curl_loop_fini, which frees P.  */
static void
run_done_callbacks (struct priv *p)
{
  bool finished = false;
  bool *outer_finished = p->finished;
  CURLMsg *msg;
  int msgs_left;

  p->finished = &finished;
  while ((msg = curl_multi_info_read (p->multi, &msgs_left)))
    {
      if (msg->msg != CURLMSG_DONE)
        continue;
      CURL *easy = msg->easy_handle;
      CURLcode res = msg->data.result;
      struct call *call = find_call (p, easy);
      curl_loop_fn *fn = call->fn;
      void *arg = call->arg;
      detach_call (p, call);
      fn (arg, easy, res);
      if (finished)
        {
          if (outer_finished)
            *outer_finished = true;
          return;
        }
    }
  p->finished = outer_finished;
}

static void
on_timer (void *arg)
{
  struct priv *p = arg;
  int running;
  p->timer = NULL;
  curl_multi_socket_action (p->multi, CURL_SOCKET_TIMEOUT, 0, &running);
  run_done_callbacks (p);
}

static int
set_timer (CURLM *multi, long timeout_ms, void *arg)
{
  struct priv *p = arg;
  TALLOC_FREE (p->timer);
  if (timeout_ms < 0)
    return 0;
  p->timer = timer_add (p->ev, p, (int64_t)timeout_ms * 1000, on_timer, p);
  return p->timer ? 0 : -1;
}

/* Watch of a connection's socket.  It stays while the connection is idle: to
   add and remove it for each transfer would cost two system calls of the seven
   or so of a transfer.  */
struct watch
{
  struct priv *priv;
  curl_socket_t sock;
  struct tevent_fd *fde;
  bool established; /* libcurl has waited for a response */
  bool idle;        /* libcurl does not wait for the socket */
};

static struct watch *
find_watch (const struct priv *p, curl_socket_t sock)
{
  return sock < p->watches_size ? p->watches[sock] : NULL;
}

static void
on_socket (struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags,
           void *arg)
{
  struct watch *watch = arg;
  struct priv *p = watch->priv;
  int mask = 0;
  int running;
  if (watch->idle)
    {
      /* The peer has closed the connection.  libcurl notices before it uses
         the connection again.  */
      tevent_fd_set_flags (fde, 0);
      return;
    }
  if (flags & TEVENT_FD_READ)
    mask |= CURL_CSELECT_IN;
  if (flags & TEVENT_FD_WRITE)
    mask |= CURL_CSELECT_OUT;
  curl_multi_socket_action (p->multi, watch->sock, mask, &running);
  run_done_callbacks (p);
}

static struct watch *
add_watch (struct priv *p, curl_socket_t sock)
{
  if (sock >= p->watches_size)
    {
      curl_socket_t size = sock + 64;
      struct watch **watches
          = talloc_realloc (p, p->watches, struct watch *, (size_t)size);
      if (!watches)
        return NULL;
      for (curl_socket_t n = p->watches_size; n < size; n++)
        watches[n] = NULL;
      p->watches = watches;
      p->watches_size = size;
    }
  struct watch *watch = talloc_zero (p, struct watch);
  if (!watch)
    return NULL;
  watch->priv = p;
  watch->sock = sock;
  watch->fde
      = tevent_add_fd (p->ev, watch, sock, TEVENT_FD_READ, on_socket, watch);
  if (!watch->fde)
    TALLOC_FREE (watch);
  p->watches[sock] = watch;
  return watch;
}

static void
remove_watch (struct priv *p, struct watch *watch)
{
  p->watches[watch->sock] = NULL;
  talloc_free (watch);
}

static int
watch_socket (CURL *easy, curl_socket_t sock, int what, void *arg, void *ptr)
{
  struct priv *p = arg;
  struct watch *watch = find_watch (p, sock);
  /* Sockets are always watched for reading: tevent's epoll back end does not
     report the error of a socket that is watched for writing only, so a
     refused connection would be noticed only at the timeout.  libcurl watches
     for writing alone only while it connects, when watching for reading too
     costs nothing.  */
  uint16_t flags = TEVENT_FD_READ;

  if (what == CURL_POLL_REMOVE)
    {
      /* libcurl closes the socket of a connection that was not established
         without a call of close_socket.  */
      if (watch && !watch->established)
        remove_watch (p, watch);
      else if (watch)
        {
          watch->idle = true;
          tevent_fd_set_flags (watch->fde, TEVENT_FD_READ);
        }
      return 0;
    }
  if (what == CURL_POLL_OUT || what == CURL_POLL_INOUT)
    flags |= TEVENT_FD_WRITE;
  if (!watch)
    watch = add_watch (p, sock);
  if (!watch)
    return -1;
  watch->established = watch->established || what == CURL_POLL_IN;
  watch->idle = false;
  tevent_fd_set_flags (watch->fde, flags);
  return 0;
}

/* Closes a connection's socket for libcurl.  Without this, a watch would stay
   for a number that the next socket gets.  */
static int
close_socket (void *arg, curl_socket_t sock)
{
  struct priv *p = arg;
  struct watch *watch = find_watch (p, sock);
  if (watch)
    remove_watch (p, watch);
  return close (sock);
}

int
curl_loop_init (struct curl_loop *loop, void *parent,
                struct tevent_context *ev,
                const struct curl_loop_settings *set)
{
  loop->priv = NULL;
  if (set->max_calls == 0 || set->max_idle == 0)
    return ERR_INVALID;
  pthread_once (&global_once, global_init);
  if (global_result != CURLE_OK)
    return ERR_NOMEM;
  struct priv *p = talloc_zero (parent, struct priv);
  if (!p)
    return ERR_NOMEM;
  p->ev = ev;
  p->max_calls = set->max_calls;
  p->multi = curl_multi_init ();
  if (!p->multi)
    {
      talloc_free (p);
      return ERR_NOMEM;
    }
  curl_multi_setopt (p->multi, CURLMOPT_SOCKETFUNCTION, watch_socket);
  curl_multi_setopt (p->multi, CURLMOPT_SOCKETDATA, p);
  curl_multi_setopt (p->multi, CURLMOPT_TIMERFUNCTION, set_timer);
  curl_multi_setopt (p->multi, CURLMOPT_TIMERDATA, p);
  curl_multi_setopt (p->multi, CURLMOPT_MAXCONNECTS, (long)set->max_idle);
  curl_multi_setopt (p->multi, CURLMOPT_MAX_TOTAL_CONNECTIONS,
                     (long)set->max_connections);
  curl_multi_setopt (p->multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                     (long)set->max_per_host);
  loop->priv = p;
  return 0;
}

void
curl_loop_fini (struct curl_loop *loop)
{
  struct priv *p = loop->priv;
  if (!p)
    return;
  loop->priv = NULL;
  if (p->finished)
    *p->finished = true;
  while (p->calls)
    detach_call (p, p->calls);
  curl_multi_cleanup (p->multi);
  talloc_free (p);
}

int
curl_loop_add (struct curl_loop *loop, CURL *easy, curl_loop_fn *fn, void *arg)
{
  struct priv *p = loop->priv;
  if (p->count >= p->max_calls)
    return ERR_FULL;
  struct call *call = talloc_zero (p, struct call);
  if (!call)
    return ERR_NOMEM;
  call->easy = easy;
  call->fn = fn;
  call->arg = arg;
  curl_easy_setopt (easy, CURLOPT_PRIVATE, call);
  /* libcurl's signals could be delivered to any thread, and only its built-in
     resolver needs them.  */
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_CLOSESOCKETFUNCTION, close_socket);
  curl_easy_setopt (easy, CURLOPT_CLOSESOCKETDATA, p);
  CURLMcode code = curl_multi_add_handle (p->multi, easy);
  if (code != CURLM_OK)
    {
      curl_easy_setopt (easy, CURLOPT_PRIVATE, NULL);
      talloc_free (call);
      return code == CURLM_OUT_OF_MEMORY ? ERR_NOMEM : ERR_SYSTEM;
    }
  call->next = p->calls;
  if (p->calls)
    p->calls->prev = call;
  p->calls = call;
  p->count++;
  return 0;
}

void
curl_loop_remove (struct curl_loop *loop, CURL *easy)
{
  struct call *call = find_call (loop->priv, easy);
  if (call)
    detach_call (loop->priv, call);
}

bool
curl_loop_is_repeat (CURL *easy)
{
  char *method = NULL;
  long sent = 0;
  curl_easy_getinfo (easy, CURLINFO_EFFECTIVE_METHOD, &method);
  /* Counts the bytes of all attempts.  */
  curl_easy_getinfo (easy, CURLINFO_REQUEST_SIZE, &sent);
  return sent > 0 && !(method && strcmp (method, "GET") == 0);
}

static bool
has_peer (curl_socket_t sock, const char *host, const char *port)
{
  struct sockaddr_storage addr;
  socklen_t len = sizeof addr;
  char text[NI_MAXHOST], number[NI_MAXSERV];
  return getpeername (sock, (struct sockaddr *)&addr, &len) == 0
         && getnameinfo ((struct sockaddr *)&addr, len, text, sizeof text,
                         number, sizeof number,
                         NI_NUMERICHOST | NI_NUMERICSERV)
                == 0
         && strcmp (text, host) == 0 && strcmp (number, port) == 0;
}

void
curl_loop_shut_idle (struct curl_loop *loop, CURL *easy)
{
  struct priv *p = loop->priv;
  char *host = NULL;
  char port[NI_MAXSERV];
  long num = 0;
  curl_easy_getinfo (easy, CURLINFO_PRIMARY_IP, &host);
  curl_easy_getinfo (easy, CURLINFO_PRIMARY_PORT, &num);
  snprintf (port, sizeof port, "%ld", num);
  for (curl_socket_t sock = 0; host && sock < p->watches_size; sock++)
    if (p->watches[sock] && p->watches[sock]->idle
        && has_peer (sock, host, port))
      shutdown (sock, SHUT_RDWR);
}

uint32_t
curl_loop_calls (const struct curl_loop *loop)
{
  return loop->priv->count;
}
