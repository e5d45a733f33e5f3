#include <arpa/inet.h>
#include <check.h>
#include <errno.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <tevent.h>
#include <unistd.h>

#include "breaking_peer.h"
#include "platform/post_client.h"

/* Tests of platform/post_client.c against peers that are cut off, that break
   connections, or that respond in odd ways.  The test is the peer: it reads
   and writes the socket between rounds of the client's loop.  */

/* Far more than the peer's receive buffer, less than the client's send buffer:
   the kernel holds the whole call.  */
#define BODY_BYTES 10000
/* More than the client's send buffer.  */
#define LARGE_BYTES (16 * 1024 * 1024)
#define CALL_TIMEOUT_MS 200
/* Longer than the kernel keeps bytes that the peer does not acknowledge.  */
#define PAUSE_MS 4500
#define READ_WAIT_MS 2000
#define LONG_MS 60000
#define CALLS_MAX 8
#define MAX_PER_PEER 2
/* Longer than the client waits for a connection.  */
#define CONNECT_WAIT_MS 1500
#define BACKLOG_FILLERS 8
#define OK_EMPTY "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

static struct tevent_context *ev;
static struct post_client cli;
static int listener;
static char address[32];
static size_t ended;
static enum http_outcome outcome;
static int status;
static char answer[256];

static void
listen_with_buffer (int bytes)
{
  struct sockaddr_in addr = { .sin_family = AF_INET };
  socklen_t len = sizeof addr;
  addr.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  listener = socket (AF_INET, SOCK_STREAM, 0);
  ck_assert_int_ge (listener, 0);
  if (bytes)
    ck_assert_int_eq (
        setsockopt (listener, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes), 0);
  ck_assert_int_eq (bind (listener, (struct sockaddr *)&addr, len), 0);
  ck_assert_int_eq (listen (listener, 16), 0);
  ck_assert_int_eq (getsockname (listener, (struct sockaddr *)&addr, &len), 0);
  snprintf (address, sizeof address, "127.0.0.1:%u", ntohs (addr.sin_port));
}

static void
setup (void)
{
  listen_with_buffer (1); /* the kernel rounds up to its minimum */
  ev = tevent_context_init (NULL);
  ck_assert_int_eq (post_client_init (&cli, ev, ev, MAX_PER_PEER), 0);
  ended = 0;
}

static void
teardown (void)
{
  post_client_fini (&cli);
  talloc_free (ev);
  close (listener);
}

static void
on_response (void *arg, const struct http_response *res)
{
  outcome = res->outcome;
  status = res->status;
  ck_assert_uint_lt (res->len, sizeof answer);
  memcpy (answer, res->body, res->len + 1);
  ended++;
}

static int
post (size_t body_len, int64_t timeout_ms, bool (*may_send) (void *arg))
{
  static char body[BODY_BYTES];
  memset (body, 'x', sizeof body);
  const struct post_request req = { .address = address,
                                    .path = "/v1/order",
                                    .header = "Expect-Instance: w",
                                    .body = body,
                                    .body_len = body_len,
                                    .timeout_ms = timeout_ms,
                                    .may_send = may_send };
  return post_call (&cli, &req, on_response, NULL);
}

static void
on_time_over (struct tevent_context *ctx, struct tevent_timer *te,
              struct timeval tv, void *arg)
{
  *(bool *)arg = true;
}

/* Runs the event loop for MS, or until COUNT calls have ended.  */
static void
run_loop (int64_t ms, size_t count)
{
  bool over = false;
  struct tevent_timer *te = tevent_add_timer (
      ev, ev, tevent_timeval_current_ofs (ms / 1000, ms % 1000 * 1000),
      on_time_over, &over);
  while (!over && ended < count)
    tevent_loop_once (ev);
  if (!over)
    talloc_free (te);
}

/* Reads up to BYTES that the network delivers on SOCK.  */
static size_t
read_bytes (int sock, char *text, size_t bytes)
{
  size_t len = 0;
  while (len < bytes)
    {
      struct pollfd pfd = { .fd = sock, .events = POLLIN };
      if (poll (&pfd, 1, READ_WAIT_MS) <= 0)
        break;
      ssize_t got = read (sock, text + len, bytes - len);
      if (got <= 0)
        break;
      len += (size_t)got;
    }
  text[len] = '\0';
  return len;
}

/* Accepts a connection and reads a whole call without a body.  */
static int
accept_call (void)
{
  char text[1024];
  struct pollfd pfd = { .fd = listener, .events = POLLIN };
  ck_assert_int_eq (poll (&pfd, 1, READ_WAIT_MS), 1);
  int sock = accept (listener, NULL, NULL);
  ck_assert_int_ge (sock, 0);
  ck_assert_int_gt (read (sock, text, sizeof text - 1), 0);
  return sock;
}

static void
answer_with (int sock, const char *text)
{
  ck_assert_int_eq (write (sock, text, strlen (text)), strlen (text));
}

static size_t
delivered_body_bytes (void)
{
  char text[BODY_BYTES + 2049];
  int sock = accept (listener, NULL, NULL);
  ck_assert_int_ge (sock, 0);
  size_t len = read_bytes (sock, text, sizeof text - 1);
  close (sock);
  const char *body = strstr (text, "\r\n\r\n");
  return body ? len - (size_t)(body + 4 - text) : 0;
}

/* Guards against an order that reaches its receiver after its sender has given
   it up (ONE, TWICE): when a partition ends, the kernel would deliver what it
   still holds, although another process has the duty by then.  */
START_TEST (test_given_up_call_is_not_delivered)
{
  ck_assert_int_eq (post (BODY_BYTES, CALL_TIMEOUT_MS, NULL), 0);
  run_loop (5000, 1);
  ck_assert_uint_eq (ended, 1);
  ck_assert_int_eq (outcome, HTTP_NO_RESPONSE);
  ck_assert_uint_lt (delivered_body_bytes (), BODY_BYTES);
}
END_TEST

/* The same for a process that is paused and cannot give the call up
   itself.  */
START_TEST (test_call_of_paused_process_is_not_delivered)
{
  ck_assert_int_eq (post (BODY_BYTES, LONG_MS, NULL), 0);
  run_loop (100, 1);
  ck_assert_uint_eq (ended, 0);
  usleep (PAUSE_MS * 1000);
  ck_assert_uint_lt (delivered_body_bytes (), BODY_BYTES);
}
END_TEST

/* Guards against an answer that arrived in time and is dropped because this
   process looks at the socket late (TWICE): the worker would count as silent,
   and its ended tasks would be started again.  */
START_TEST (test_answer_before_deadline)
{
  ck_assert_int_eq (post (0, CALL_TIMEOUT_MS, NULL), 0);
  run_loop (50, 1);
  int sock = accept_call ();
  answer_with (sock, OK_EMPTY);
  usleep (3 * CALL_TIMEOUT_MS * 1000);
  run_loop (5000, 1);
  ck_assert_uint_eq (ended, 1);
  ck_assert_int_eq (outcome, HTTP_RESPONDED);
  ck_assert_int_eq (status, 200);
  close (sock);
}
END_TEST

/* The same for a connection that was established in time: the worker would
   count as silent although nothing was sent to it.  */
START_TEST (test_connection_before_deadline)
{
  ck_assert_int_eq (post (0, LONG_MS, NULL), 0);
  usleep (900000);
  run_loop (200, 1);
  int sock = accept_call ();
  answer_with (sock, OK_EMPTY);
  run_loop (5000, 1);
  ck_assert_uint_eq (ended, 1);
  ck_assert_int_eq (outcome, HTTP_RESPONDED);
  close (sock);
}
END_TEST

static const struct broken_call
{
  size_t body_len;
} broken_calls[] = { { 0 }, { 100 }, { BODY_BYTES } };

/* Guards against a call that is sent again when a reused connection breaks:
   the response to the repeat hides that the first one was carried out (LOST,
   REFUSED, TWICE).  */
START_TEST (test_broken_call_is_not_repeated)
{
  struct breaking_peer peer;
  breaking_peer_start (&peer);
  snprintf (address, sizeof address, "%s", peer.address);
  for (size_t n = 0; n < 2; n++)
    {
      ck_assert_int_eq (post (broken_calls[_i].body_len, LONG_MS, NULL), 0);
      run_loop (LONG_MS, n + 1);
      ck_assert_uint_eq (ended, n + 1);
      ck_assert_int_eq (outcome, n == 0 ? HTTP_RESPONDED : HTTP_NO_RESPONSE);
    }
  ck_assert_int_eq (breaking_peer_stop (&peer), 2);
}
END_TEST

/* Guards against a worker that counts as silent because it has closed an idle
   connection: nothing of the call was received, so that a new connection may
   carry it.  */
START_TEST (test_closed_idle_connection)
{
  ck_assert_int_eq (post (0, LONG_MS, NULL), 0);
  run_loop (50, 1);
  int sock = accept_call ();
  answer_with (sock, OK_EMPTY);
  run_loop (5000, 1);
  ck_assert_uint_eq (ended, 1);
  close (sock);
  run_loop (50, 2);
  ck_assert_int_eq (post (0, LONG_MS, NULL), 0);
  run_loop (50, 2);
  sock = accept_call ();
  answer_with (sock, OK_EMPTY);
  run_loop (5000, 2);
  ck_assert_uint_eq (ended, 2);
  ck_assert_int_eq (outcome, HTTP_RESPONDED);
  close (sock);
}
END_TEST

/* Opens COUNT connections, whose calls the peer answers in this order.  */
static void
open_connections (int *socks, size_t count)
{
  for (size_t n = 0; n < count; n++)
    ck_assert_int_eq (post (0, LONG_MS, NULL), 0);
  run_loop (50, count);
  for (size_t n = 0; n < count; n++)
    {
      socks[n] = accept_call ();
      answer_with (socks[n], OK_EMPTY);
      run_loop (5000, n + 1);
      ck_assert_uint_eq (ended, n + 1);
    }
}

/* Sends COUNT calls, each of which has to reach the peer on a new connection
   at once.  */
static void
check_new_connections (size_t count)
{
  size_t before = ended;
  for (size_t n = 0; n < count; n++)
    ck_assert_int_eq (post (0, CALL_TIMEOUT_MS, NULL), 0);
  run_loop (50, before + count);
  for (size_t n = 0; n < count; n++)
    {
      int sock = accept_call ();
      answer_with (sock, OK_EMPTY);
    }
  for (size_t n = 1; n <= count; n++)
    {
      run_loop (5000, before + n);
      ck_assert_uint_eq (ended, before + n);
      ck_assert_int_eq (outcome, HTTP_RESPONDED);
    }
}

/* Guards against a start without an answer: a connection that was silenced
   while it was idle took it long after.  */
START_TEST (test_old_idle_connection)
{
  static const struct
  {
    int64_t idle_ms, idle_max_ms;
    bool reused;
  } cases[] = { { 0, 10000, true }, { 150, 0, true }, { 150, 50, false } };
  int socks[MAX_PER_PEER];
  const struct post_request req = { .address = address,
                                    .path = "/v1/order",
                                    .header = "Expect-Instance: w",
                                    .timeout_ms = LONG_MS,
                                    .idle_max_ms = cases[_i].idle_max_ms };
  open_connections (socks, MAX_PER_PEER);
  run_loop (cases[_i].idle_ms, MAX_PER_PEER + 1);
  ck_assert_int_eq (post_call (&cli, &req, on_response, NULL), 0);
  run_loop (50, MAX_PER_PEER + 1);
  struct pollfd pfd = { .fd = listener, .events = POLLIN };
  ck_assert_int_eq (poll (&pfd, 1, cases[_i].reused ? 0 : READ_WAIT_MS),
                    !cases[_i].reused);
}
END_TEST

/* Guards against calls that wait for their time-outs one after the other when
   a partition has silenced all open connections: each idle one took a command
   long after the partition had ended.  */
START_TEST (test_connections_after_silent_call)
{
  int socks[MAX_PER_PEER];
  open_connections (socks, MAX_PER_PEER);
  ck_assert_int_eq (post (0, CALL_TIMEOUT_MS, NULL), 0);
  run_loop (5000, MAX_PER_PEER + 1);
  ck_assert_int_eq (outcome, HTTP_NO_RESPONSE);
  check_new_connections (MAX_PER_PEER);
}
END_TEST

/* The same for a connection that was in use when the partition began and
   became idle while the call that shows the silence was under way.  */
START_TEST (test_connection_idle_since_silent_call)
{
  int socks[MAX_PER_PEER];
  open_connections (socks, MAX_PER_PEER);
  /* Calls take the connection that was used last first.  */
  ck_assert_int_eq (post (0, CALL_TIMEOUT_MS, NULL), 0);
  ck_assert_int_eq (post (0, LONG_MS, NULL), 0);
  run_loop (50, MAX_PER_PEER + 2);
  answer_with (socks[0], OK_EMPTY);
  run_loop (5000, MAX_PER_PEER + 2);
  ck_assert_uint_eq (ended, MAX_PER_PEER + 2);
  ck_assert_int_eq (outcome, HTTP_NO_RESPONSE);
  check_new_connections (MAX_PER_PEER);
}
END_TEST

static int
post_new_connection (void)
{
  const struct post_request req = { .address = address,
                                    .path = "/v1/order",
                                    .timeout_ms = LONG_MS,
                                    .new_connection = true };
  return post_call (&cli, &req, on_response, NULL);
}

/* The same when no call but the opening of a connection shows the silence. The
   kernel drops connection requests while the listener's queue is full.  */
START_TEST (test_connections_after_silent_connect)
{
  int socks[MAX_PER_PEER];
  int fillers[BACKLOG_FILLERS];
  struct sockaddr_in addr;
  socklen_t len = sizeof addr;
  open_connections (socks, MAX_PER_PEER - 1);
  ck_assert_int_eq (listen (listener, 0), 0);
  ck_assert_int_eq (getsockname (listener, (struct sockaddr *)&addr, &len), 0);
  for (size_t n = 0; n < BACKLOG_FILLERS; n++)
    {
      fillers[n] = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      ck_assert (connect (fillers[n], (struct sockaddr *)&addr, len) == 0
                 || errno == EINPROGRESS);
    }
  ck_assert_int_eq (post_new_connection (), 0);
  run_loop (CONNECT_WAIT_MS, MAX_PER_PEER);
  ck_assert_uint_eq (ended, MAX_PER_PEER);
  ck_assert_int_eq (outcome, HTTP_NOT_SENT);
  for (size_t n = 0; n < BACKLOG_FILLERS; n++)
    close (fillers[n]);
  ck_assert_int_eq (listen (listener, 16), 0);
  struct pollfd pfd = { .fd = listener, .events = POLLIN };
  while (poll (&pfd, 1, 50) > 0)
    close (accept (listener, NULL, NULL));
  check_new_connections (MAX_PER_PEER);
}
END_TEST

static bool permitted;

static bool
may_send (void *arg)
{
  return permitted;
}

static const struct late_call
{
  bool (*may_send) (void *arg);
  bool permitted; /* when the connection is ready */
  enum http_outcome outcome;
  int calls; /* that the peer receives */
} late_calls[] = {
  { NULL, false, HTTP_RESPONDED, 1 },
  { may_send, true, HTTP_RESPONDED, 1 },
  { may_send, false, HTTP_NOT_SENT, 0 },
};

/* Guards against a command that a process sends after its permission has
   ended, as it was paused between its decision and the sending (TWICE, ONE).
 */
START_TEST (test_late_call_is_not_sent)
{
  const struct late_call *it = &late_calls[_i];
  struct breaking_peer peer;
  breaking_peer_start (&peer);
  snprintf (address, sizeof address, "%s", peer.address);
  permitted = true;
  ck_assert_int_eq (post (0, LONG_MS, it->may_send), 0);
  permitted = it->permitted;
  run_loop (LONG_MS, 1);
  ck_assert_uint_eq (ended, 1);
  ck_assert_int_eq (breaking_peer_stop (&peer), it->calls);
  ck_assert_int_eq (outcome, it->outcome);
}
END_TEST

/* Guards against the rest of a command that is sent after the permission has
   ended (TWICE, ONE): the receiver would carry out the whole.  */
START_TEST (test_rest_of_late_call_is_not_sent)
{
  static char body[LARGE_BYTES];
  static char text[LARGE_BYTES + 2049];
  const struct post_request req = { .address = address,
                                    .path = "/v1/order",
                                    .body = body,
                                    .body_len = sizeof body,
                                    .timeout_ms = LONG_MS,
                                    .may_send = may_send };
  permitted = true;
  ck_assert_int_eq (post_call (&cli, &req, on_response, NULL), 0);
  run_loop (100, 1);
  ck_assert_uint_eq (ended, 0);
  permitted = false;
  int sock = accept (listener, NULL, NULL);
  /* Makes room in the client's send buffer.  */
  size_t len = 0;
  for (int n = 0; n < 1000 && ended == 0; n++)
    {
      ssize_t got = recv (sock, text, sizeof text, MSG_DONTWAIT);
      len += got > 0 ? (size_t)got : 0;
      run_loop (2, 1);
    }
  ck_assert_uint_eq (ended, 1);
  ck_assert_int_eq (outcome, HTTP_NO_RESPONSE);
  len += read_bytes (sock, text, sizeof text - 1);
  ck_assert_uint_lt (len, LARGE_BYTES);
  close (sock);
}
END_TEST

/* Guards against a refused call whose callback runs inside post_call, where
   the caller has not noted the call yet.  */
START_TEST (test_refused_call_on_idle_connection)
{
  struct breaking_peer peer;
  breaking_peer_start (&peer);
  snprintf (address, sizeof address, "%s", peer.address);
  ck_assert_int_eq (post (0, LONG_MS, NULL), 0);
  run_loop (LONG_MS, 1);
  permitted = false;
  ck_assert_int_eq (post (0, LONG_MS, may_send), 0);
  ck_assert_uint_eq (ended, 1);
  run_loop (LONG_MS, 2);
  ck_assert_uint_eq (ended, 2);
  ck_assert_int_eq (outcome, HTTP_NOT_SENT);
  ck_assert_int_eq (breaking_peer_stop (&peer), 1);
}
END_TEST

static const struct odd_response
{
  const char *text;
  bool closes;
  enum http_outcome outcome;
  int status;
  const char *body;
} odd_responses[] = {
  { "HTTP/1.1 409 Conflict\r\nContent-Length: 2\r\n\r\n{}", false,
    HTTP_RESPONDED, 409, "{}" },
  { "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n"
    "\r\nx",
    false, HTTP_RESPONDED, 200, "x" },
  { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde"
    "\r\n0\r\n\r\n",
    false, HTTP_RESPONDED, 200, "abcde" },
  { "HTTP/1.0 200 OK\r\n\r\nabc", true, HTTP_RESPONDED, 200, "abc" },
  { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab", true, HTTP_NO_RESPONSE,
    0, "" },
  { "HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\nab", false, HTTP_NO_RESPONSE,
    0, "" },
  { "HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\nab", false,
    HTTP_NO_RESPONSE, 0, "" },
  { "SMTP ready\r\n\r\n", false, HTTP_NO_RESPONSE, 0, "" },
  { "", true, HTTP_NO_RESPONSE, 0, "" },
};

/* Guards against a response that is malformed or cut short and is taken for a
   whole one, or ends the process.  */
START_TEST (test_odd_response)
{
  const struct odd_response *it = &odd_responses[_i];
  ck_assert_int_eq (post (0, LONG_MS, NULL), 0);
  run_loop (50, 1);
  int sock = accept_call ();
  answer_with (sock, it->text);
  if (it->closes)
    shutdown (sock, SHUT_WR);
  run_loop (5000, 1);
  ck_assert_uint_eq (ended, 1);
  ck_assert_int_eq (outcome, it->outcome);
  ck_assert_int_eq (status, it->status);
  ck_assert_str_eq (answer, it->body);
  close (sock);
}
END_TEST

/* Guards against more connections to a worker than it has room for, and calls
   that wait for one beyond their time.  */
START_TEST (test_connection_limit)
{
  int socks[MAX_PER_PEER];
  for (size_t n = 0; n < CALLS_MAX; n++)
    ck_assert_int_eq (post (0, n < CALLS_MAX - 1 ? LONG_MS : 300, NULL), 0);
  run_loop (50, CALLS_MAX);
  for (size_t n = 0; n < MAX_PER_PEER; n++)
    socks[n] = accept_call ();
  struct pollfd pfd = { .fd = listener, .events = POLLIN };
  ck_assert_int_eq (poll (&pfd, 1, 50), 0);
  run_loop (1000, 1);
  ck_assert_uint_eq (ended, 1);
  ck_assert_int_eq (outcome, HTTP_NOT_SENT);
  for (size_t n = 1; n < CALLS_MAX; n++)
    {
      char text[1024];
      answer_with (socks[0], OK_EMPTY);
      run_loop (5000, n + 1);
      ck_assert_uint_eq (ended, n + 1);
      ck_assert_int_eq (outcome, HTTP_RESPONDED);
      /* The next call; the last one was sent on the other connection.  */
      if (n < CALLS_MAX - MAX_PER_PEER)
        ck_assert_int_gt (read (socks[0], text, sizeof text), 0);
      else
        socks[0] = socks[1];
    }
}
END_TEST

static const char *const bad_addresses[]
    = { "",           "10.0.0.1",       "10.0.0.1:",
        "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:8x",
        "host:80",    "10.0.0:80",      "1000.1000.1000.1000:80" };

/* Guards against an address that no call can use and that makes the process
   end or hang.  */
START_TEST (test_bad_address)
{
  snprintf (address, sizeof address, "%s", bad_addresses[_i]);
  ck_assert_int_eq (post (0, LONG_MS, NULL), 0);
  ck_assert_uint_eq (ended, 0);
  run_loop (5000, 1);
  ck_assert_uint_eq (ended, 1);
  ck_assert_int_eq (outcome, HTTP_NOT_SENT);
}
END_TEST

#define ROWS(table) (int)(sizeof (table) / sizeof *(table))

int
main (void)
{
  Suite *suite = suite_create ("post_client");
  TCase *tc = tcase_create ("post_client");
  tcase_set_timeout (tc, 60);
  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_add_test (tc, test_given_up_call_is_not_delivered);
  tcase_add_test (tc, test_call_of_paused_process_is_not_delivered);
  tcase_add_test (tc, test_answer_before_deadline);
  tcase_add_test (tc, test_connection_before_deadline);
  tcase_add_loop_test (tc, test_broken_call_is_not_repeated, 0,
                       ROWS (broken_calls));
  tcase_add_test (tc, test_closed_idle_connection);
  tcase_add_loop_test (tc, test_old_idle_connection, 0, 3);
  tcase_add_test (tc, test_connections_after_silent_call);
  tcase_add_test (tc, test_connection_idle_since_silent_call);
  tcase_add_test (tc, test_connections_after_silent_connect);
  tcase_add_loop_test (tc, test_late_call_is_not_sent, 0, ROWS (late_calls));
  tcase_add_test (tc, test_rest_of_late_call_is_not_sent);
  tcase_add_test (tc, test_refused_call_on_idle_connection);
  tcase_add_loop_test (tc, test_odd_response, 0, ROWS (odd_responses));
  tcase_add_test (tc, test_connection_limit);
  tcase_add_loop_test (tc, test_bad_address, 0, ROWS (bad_addresses));
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed != 0;
}
