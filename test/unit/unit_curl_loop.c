#include <arpa/inet.h>
#include <check.h>
#include <curl/curl.h>
#include <microhttpd.h>
#include <stdbool.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <tevent.h>
#include <unistd.h>

#include "base/curl_loop.h"
#include "base/err.h"

#define WAIT_S 60

static struct tevent_context *ev;
static struct curl_loop loop;
static struct MHD_Daemon *web;
static uint16_t web_port;
static int results[8];
static int completed;

static enum MHD_Result
serve (void *arg, struct MHD_Connection *con, const char *url,
       const char *method, const char *version, const char *data, size_t *len,
       void **con_cls)
{
  struct MHD_Response *resp
      = MHD_create_response_from_buffer (2, "ok", MHD_RESPMEM_PERSISTENT);
  enum MHD_Result res = MHD_queue_response (con, 200, resp);
  MHD_destroy_response (resp);
  return res;
}

static void
start (uint32_t max_calls)
{
  struct curl_loop_settings set = { max_calls, 0, 4, 0 };
  struct sockaddr_in addr = { .sin_family = AF_INET };
  addr.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  completed = 0;
  memset (results, -1, sizeof results);
  ev = tevent_context_init (NULL);
  ck_assert_int_eq (curl_loop_init (&loop, ev, ev, &set), 0);
  web = MHD_start_daemon (
      MHD_USE_INTERNAL_POLLING_THREAD | MHD_ALLOW_SUSPEND_RESUME, 0, NULL,
      NULL, serve, NULL, MHD_OPTION_SOCK_ADDR, &addr, MHD_OPTION_END);
  ck_assert_ptr_nonnull (web);
  web_port = MHD_get_daemon_info (web, MHD_DAEMON_INFO_BIND_PORT)->port;
}

static void
stop (void)
{
  curl_loop_fini (&loop);
  talloc_free (ev);
  MHD_stop_daemon (web);
}

/* Returns a TCP socket bound to a free port of the loopback interface.  */
static int
bound_socket (uint16_t *port)
{
  struct sockaddr_in addr = { .sin_family = AF_INET };
  socklen_t len = sizeof addr;
  int sock = socket (AF_INET, SOCK_STREAM, 0);
  addr.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  ck_assert_int_eq (bind (sock, (struct sockaddr *)&addr, sizeof addr), 0);
  ck_assert_int_eq (getsockname (sock, (struct sockaddr *)&addr, &len), 0);
  *port = ntohs (addr.sin_port);
  return sock;
}

/* Returns a listening socket on which connections are established but never
   get a response.  */
static int
unresponsive_socket (uint16_t *port)
{
  int sock = bound_socket (port);
  ck_assert_int_eq (listen (sock, 8), 0);
  return sock;
}

static size_t
discard_body (char *data, size_t size, size_t count, void *arg)
{
  return size * count;
}

static CURL *
easy_for (uint16_t port, const char *path)
{
  char url[64];
  CURL *easy = curl_easy_init ();
  ck_assert_ptr_nonnull (easy);
  snprintf (url, sizeof url, "http://127.0.0.1:%u%s", port, path);
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, discard_body);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, WAIT_S * 1500L);
  return easy;
}

static void
on_done (void *arg, CURL *easy, CURLcode res)
{
  int *slot = arg;
  *slot = res;
  completed++;
  curl_easy_cleanup (easy);
}

static void
on_timeout (struct tevent_context *ctx, struct tevent_timer *te,
            struct timeval now, void *arg)
{
  ck_abort_msg ("no progress for %d s", WAIT_S);
}

static void
on_time_over (struct tevent_context *ctx, struct tevent_timer *te,
              struct timeval now, void *arg)
{
  *(bool *)arg = true;
}

static void
wait_for (int count)
{
  struct tevent_timer *te = tevent_add_timer (
      ev, ev, tevent_timeval_current_ofs (WAIT_S, 0), on_timeout, NULL);
  while (completed < count)
    ck_assert_int_eq (tevent_loop_once (ev), 0);
  talloc_free (te);
}

/* Guards against a callback that does not run, or runs from inside
   curl_loop_add.  */
START_TEST (test_completes)
{
  start (4);
  for (int n = 0; n < 3; n++)
    ck_assert_int_eq (curl_loop_add (&loop, easy_for (web_port, "/ok"),
                                     on_done, &results[n]),
                      0);
  ck_assert_int_eq (completed, 0);
  wait_for (3);
  for (int n = 0; n < 3; n++)
    ck_assert_int_eq (results[n], CURLE_OK);
  ck_assert_uint_eq (curl_loop_calls (&loop), 0);
  stop ();
}
END_TEST

#define BACKLOG_FILLERS 4

/* A listener with a full backlog: the handshake of a further connection stays
   pending.  */
struct full_listener
{
  int sock;
  int fillers[BACKLOG_FILLERS];
  uint16_t port;
};

static void
full_listener_open (struct full_listener *lst)
{
  struct sockaddr_in addr = { .sin_family = AF_INET };
  lst->sock = bound_socket (&lst->port);
  ck_assert_int_eq (listen (lst->sock, 0), 0);
  addr.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  addr.sin_port = htons (lst->port);
  for (int n = 0; n < BACKLOG_FILLERS; n++)
    {
      lst->fillers[n] = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      (void)connect (lst->fillers[n], (struct sockaddr *)&addr, sizeof addr);
    }
}

static void
full_listener_close_fillers (struct full_listener *lst)
{
  for (int n = 0; n < BACKLOG_FILLERS; n++)
    close (lst->fillers[n]);
}

/* Guards against a refused connection that is noticed only at the timeout: the
   refusal arrives during the handshake, and tevent does not report the error
   of a socket that is watched for writing only.  The listener's backlog is
   filled, so the handshake stays pending; once the listener is closed, the
   next SYN is refused.  */
START_TEST (test_refused)
{
  struct full_listener lst;
  start (4);
  full_listener_open (&lst);
  CURL *easy = easy_for (lst.port, "/");
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS, WAIT_S * 1500L);
  ck_assert_int_eq (curl_loop_add (&loop, easy, on_done, &results[0]), 0);
  ck_assert_int_eq (tevent_loop_once (ev), 0);
  ck_assert_int_eq (completed, 0);
  close (lst.sock);
  wait_for (1);
  ck_assert_int_eq (results[0], CURLE_COULDNT_CONNECT);
  full_listener_close_fillers (&lst);
  stop ();
}
END_TEST

static int loop_errors;

static void
count_loop_errors (void *arg, enum tevent_debug_level level, const char *fmt,
                   va_list args)
{
  loop_errors += level <= TEVENT_DEBUG_ERROR;
}

static int
note_socket (void *arg, curl_socket_t sock, curlsocktype purpose)
{
  *(curl_socket_t *)arg = sock;
  return CURL_SOCKOPT_OK;
}

/* Guards against a connection without events: the one before it under the same
   socket number was never established, its watch stayed, and the event loop
   did not register the new socket.  */
START_TEST (test_number_of_unconnected_socket_reused)
{
  struct full_listener lst;
  curl_socket_t socks[2];
  start (4);
  loop_errors = 0;
  tevent_set_debug (ev, count_loop_errors, NULL);
  full_listener_open (&lst);
  for (int n = 0; n < 2; n++)
    {
      CURL *easy = easy_for (n == 0 ? lst.port : web_port, "/ok");
      curl_easy_setopt (easy, CURLOPT_SOCKOPTFUNCTION, note_socket);
      curl_easy_setopt (easy, CURLOPT_SOCKOPTDATA, &socks[n]);
      curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS,
                        n == 0 ? 50L : WAIT_S * 1500L);
      ck_assert_int_eq (curl_loop_add (&loop, easy, on_done, &results[n]), 0);
      wait_for (n + 1);
    }
  ck_assert_int_eq (results[0], CURLE_OPERATION_TIMEDOUT);
  ck_assert_int_eq (results[1], CURLE_OK);
  ck_assert_int_eq (socks[0], socks[1]);
  ck_assert_int_eq (loop_errors, 0);
  full_listener_close_fillers (&lst);
  close (lst.sock);
  stop ();
}
END_TEST

/* Guards against more transfers than max_calls, and against a removed transfer
   whose callback still runs or which still counts as held.  */
START_TEST (test_full_and_remove)
{
  uint16_t port;
  start (1);
  int sock = unresponsive_socket (&port);
  CURL *blocked = easy_for (port, "/");
  CURL *more = easy_for (web_port, "/ok");
  ck_assert_int_eq (curl_loop_add (&loop, blocked, on_done, &results[0]), 0);
  ck_assert_int_eq (curl_loop_add (&loop, more, on_done, &results[1]),
                    ERR_FULL);
  curl_loop_remove (&loop, blocked);
  curl_loop_remove (&loop, blocked);
  ck_assert_int_eq (curl_loop_add (&loop, more, on_done, &results[1]), 0);
  wait_for (1);
  ck_assert_int_eq (results[0], -1);
  ck_assert_int_eq (results[1], CURLE_OK);
  curl_easy_cleanup (blocked);
  close (sock);
  stop ();
}
END_TEST

static void
on_done_finish (void *arg, CURL *easy, CURLcode res)
{
  on_done (arg, easy, res);
  curl_loop_fini (&loop);
}

/* Guards against use after free when a callback runs curl_loop_fini.  */
START_TEST (test_finish_in_callback)
{
  uint16_t port;
  start (4);
  int sock = unresponsive_socket (&port);
  CURL *blocked = easy_for (port, "/");
  ck_assert_int_eq (curl_loop_add (&loop, blocked, on_done, &results[0]), 0);
  ck_assert_int_eq (curl_loop_add (&loop, easy_for (web_port, "/ok"),
                                   on_done_finish, &results[1]),
                    0);
  wait_for (1);
  ck_assert_int_eq (results[0], -1);
  ck_assert_int_eq (results[1], CURLE_OK);
  curl_easy_cleanup (blocked);
  close (sock);
  stop ();
}
END_TEST

/* Runs the loop for MS.  Returns the number of events.  */
static int
run_for (int ms)
{
  bool over = false;
  int events = 0;
  tevent_add_timer (ev, ev, tevent_timeval_current_ofs (0, ms * 1000),
                    on_time_over, &over);
  for (; !over; events++)
    ck_assert_int_eq (tevent_loop_once (ev), 0);
  return events;
}

/* Accepts a connection and answers the request that has arrived on it.  */
static int
answer_one (int listener)
{
  static const char text[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  char request[1024];
  int sock = accept (listener, NULL, NULL);
  ck_assert_int_ge (sock, 0);
  ck_assert_int_gt (read (sock, request, sizeof request), 0);
  ck_assert_int_eq (write (sock, text, sizeof text - 1), sizeof text - 1);
  return sock;
}

/* Guards against a loop that never rests, and against a call that fails, after
   the peer has closed an idle connection, whose socket is still watched.  */
START_TEST (test_idle_connection_closed)
{
  uint16_t port;
  start (4);
  int listener = unresponsive_socket (&port);
  for (int n = 0; n < 2; n++)
    {
      ck_assert_int_eq (
          curl_loop_add (&loop, easy_for (port, "/ok"), on_done, &results[n]),
          0);
      run_for (200);
      int sock = answer_one (listener);
      wait_for (n + 1);
      ck_assert_int_eq (results[n], CURLE_OK);
      close (sock);
      ck_assert_int_lt (run_for (200), 20);
    }
  close (listener);
  stop ();
}
END_TEST

/* How a connection ends whose socket number the next one gets.  */
enum ending
{
  END_ABORTED,       /* by PREREQFUNCTION, before the request */
  END_NOT_REUSED,    /* after the response */
  END_PUSHED_OUT,    /* idle, by the limit of idle connections */
  END_NO_RESPONSE,   /* at the time-out, while it waits for the response */
  END_BLOCKED,       /* at the time-out, while it sends */
  END_REMOVED,       /* by curl_loop_remove, while it waits */
  END_REMOVED_EARLY, /* by curl_loop_remove, while it connects */
  ENDINGS
};

static int
refuse_request (void *arg, char *ip, char *local_ip, int port, int local_port)
{
  return CURL_PREREQFUNC_ABORT;
}

/* Large enough to fill the buffers of both ends.  */
#define BLOCKED_BYTES (64L << 20)

/* Returns the transfer whose connection ends as END says.  */
static CURL *
ending_easy (enum ending end, const struct full_listener *full,
             uint16_t mute_port)
{
  bool waits
      = end == END_NO_RESPONSE || end == END_BLOCKED || end == END_REMOVED;
  uint16_t port = waits                      ? mute_port
                  : end == END_REMOVED_EARLY ? full->port
                                             : web_port;
  CURL *easy = easy_for (port, "/ok");
  if (end == END_ABORTED)
    curl_easy_setopt (easy, CURLOPT_PREREQFUNCTION, refuse_request);
  if (end == END_NOT_REUSED)
    curl_easy_setopt (easy, CURLOPT_FORBID_REUSE, 1L);
  if (end == END_NO_RESPONSE || end == END_BLOCKED)
    curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, 300L);
  if (end == END_BLOCKED)
    {
      static char body[BLOCKED_BYTES];
      curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE, BLOCKED_BYTES);
      curl_easy_setopt (easy, CURLOPT_POSTFIELDS, body);
    }
  return easy;
}

/* Guards against a connection without events, whichever way the one before it
   under the same socket number ended.  */
START_TEST (test_number_reused)
{
  struct full_listener full;
  uint16_t mute_port;
  start (8);
  loop_errors = 0;
  tevent_set_debug (ev, count_loop_errors, NULL);
  full_listener_open (&full);
  int mute = unresponsive_socket (&mute_port);
  int rounds = _i == END_PUSHED_OUT ? 6 : 1;
  int done = 0;
  for (int n = 0; n < rounds; n++)
    {
      CURL *easy = ending_easy (_i, &full, mute_port);
      if (_i == END_PUSHED_OUT)
        curl_easy_setopt (easy, CURLOPT_FRESH_CONNECT, 1L);
      ck_assert_int_eq (curl_loop_add (&loop, easy, on_done, &results[0]), 0);
      if (_i == END_REMOVED || _i == END_REMOVED_EARLY)
        {
          run_for (100);
          curl_loop_remove (&loop, easy);
          curl_easy_cleanup (easy);
          continue;
        }
      wait_for (++done);
      ck_assert_int_eq (results[0],
                        _i == END_ABORTED ? CURLE_ABORTED_BY_CALLBACK
                        : _i == END_NO_RESPONSE || _i == END_BLOCKED
                            ? CURLE_OPERATION_TIMEDOUT
                            : CURLE_OK);
    }
  /* At once, so that they get all numbers that are free.  */
  for (int n = 0; n < 4; n++)
    {
      CURL *easy = easy_for (web_port, "/ok");
      curl_easy_setopt (easy, CURLOPT_FRESH_CONNECT, 1L);
      curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS, WAIT_S * 1500L);
      ck_assert_int_eq (curl_loop_add (&loop, easy, on_done, &results[n]), 0);
    }
  wait_for (done + 4);
  for (int n = 0; n < 4; n++)
    ck_assert_int_eq (results[n], CURLE_OK);
  ck_assert_int_eq (loop_errors, 0);
  full_listener_close_fillers (&full);
  close (full.sock);
  close (mute);
  stop ();
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("curl_loop");
  TCase *tc = tcase_create ("curl_loop");
  tcase_set_timeout (tc, 2 * WAIT_S);
  tcase_add_test (tc, test_completes);
  tcase_add_test (tc, test_refused);
  tcase_add_test (tc, test_number_of_unconnected_socket_reused);
  tcase_add_test (tc, test_full_and_remove);
  tcase_add_test (tc, test_finish_in_callback);
  tcase_add_test (tc, test_idle_connection_closed);
  tcase_add_loop_test (tc, test_number_reused, 0, ENDINGS);
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed != 0;
}
