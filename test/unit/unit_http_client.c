#include <arpa/inet.h>
#include <check.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <tevent.h>
#include <unistd.h>

#include "breaking_peer.h"
#include "platform/http_client.h"
#include "silent_peer.h"

/* Tests of platform/http_client.c against peers that the network cuts off: one
   that does not read, so that the bytes of a call are held back as by a
   partition, and one whose connection breaks while it handles a call.  */

/* Far more than the peer's receive buffer, less than the client's send buffer:
   the kernel holds the whole call.  */
#define BODY_BYTES 10000
#define CALL_TIMEOUT_MS 200
/* Longer than the kernel keeps bytes that the peer does not acknowledge.  */
#define PAUSE_MS 4500
#define READ_WAIT_MS 2000

static struct tevent_context *ev;
static struct http_client cli;
static int listener;
static char url[64];
static bool done;
static enum http_outcome outcome;

static void
setup (void)
{
  struct sockaddr_in addr = { .sin_family = AF_INET };
  socklen_t len = sizeof addr;
  int bytes = 1; /* the kernel rounds up to its minimum */
  addr.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  listener = socket (AF_INET, SOCK_STREAM, 0);
  ck_assert_int_ge (listener, 0);
  ck_assert_int_eq (
      setsockopt (listener, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes), 0);
  ck_assert_int_eq (bind (listener, (struct sockaddr *)&addr, len), 0);
  ck_assert_int_eq (listen (listener, 4), 0);
  ck_assert_int_eq (getsockname (listener, (struct sockaddr *)&addr, &len), 0);
  snprintf (url, sizeof url, "http://127.0.0.1:%u/v1/order",
            ntohs (addr.sin_port));
  ev = tevent_context_init (NULL);
  ck_assert_int_eq (http_client_init (&cli, ev, ev, 0), 0);
  done = false;
}

static void
teardown (void)
{
  http_client_fini (&cli);
  talloc_free (ev);
  close (listener);
}

static void
on_response (void *arg, const struct http_response *res)
{
  outcome = res->outcome;
  done = true;
}

static void
send_order (int64_t timeout_ms)
{
  static char body[BODY_BYTES];
  memset (body, 'x', sizeof body);
  const struct http_request req = { .method = "POST",
                                    .url = url,
                                    .content_type = "application/json",
                                    .body = body,
                                    .body_len = sizeof body,
                                    .timeout_ms = timeout_ms };
  ck_assert_int_eq (http_call (&cli, &req, on_response, NULL), 0);
}

static void
on_time_over (struct tevent_context *ctx, struct tevent_timer *te,
              struct timeval tv, void *arg)
{
  *(bool *)arg = true;
}

/* Runs the event loop for MS, or until the call ends.  */
static void
run_loop (int64_t ms)
{
  bool over = false;
  struct tevent_timer *te = tevent_add_timer (
      ev, ev, tevent_timeval_current_ofs (ms / 1000, ms % 1000 * 1000),
      on_time_over, &over);
  while (!over && !done)
    tevent_loop_once (ev);
  if (!over)
    talloc_free (te);
}

/* Reads all that the network still delivers, as the receiver of the order
   does.  Returns the number of body bytes.  */
static size_t
receive_body (void)
{
  char text[BODY_BYTES + 2048];
  size_t len = 0;
  int sock = accept (listener, NULL, NULL);
  ck_assert_int_ge (sock, 0);
  for (;;)
    {
      struct pollfd pfd = { .fd = sock, .events = POLLIN };
      if (poll (&pfd, 1, READ_WAIT_MS) <= 0)
        break;
      ssize_t got = read (sock, text + len, sizeof text - 1 - len);
      if (got <= 0)
        break;
      len += (size_t)got;
    }
  close (sock);
  text[len] = '\0';
  const char *body = strstr (text, "\r\n\r\n");
  return body ? len - (size_t)(body + 4 - text) : 0;
}

/* Guards against an order that reaches its receiver after its sender has given
   it up (ONE): when a partition ends, the kernel would deliver what it still
   holds, although another process has the duty by then.  */
START_TEST (test_given_up_call_is_not_delivered)
{
  send_order (CALL_TIMEOUT_MS);
  run_loop (5000);
  ck_assert (done);
  ck_assert_int_eq (outcome, HTTP_NO_RESPONSE);
  ck_assert_uint_lt (receive_body (), BODY_BYTES);
}
END_TEST

/* The same for a process that is paused and cannot give the call up
   itself.  */
START_TEST (test_call_of_paused_process_is_not_delivered)
{
  send_order (10 * PAUSE_MS);
  run_loop (100);
  ck_assert (!done);
  usleep (PAUSE_MS * 1000);
  ck_assert_uint_lt (receive_body (), BODY_BYTES);
}
END_TEST

static const struct broken_call
{
  const char *method;
  size_t body_len;
  enum http_outcome outcome;
  int calls; /* that the peer receives */
} broken_calls[] = {
  { "POST", 0, HTTP_NO_RESPONSE, 2 },
  { "POST", 100, HTTP_NO_RESPONSE, 2 },
  { "POST", BODY_BYTES, HTTP_NO_RESPONSE, 2 },
  /* Reading again is harmless.  */
  { "GET", 0, HTTP_RESPONDED, 3 },
};

/* Guards against a call that libcurl sends again by itself when a reused
   connection breaks: the response to the repeat hides that the first one was
   carried out (LOST, REFUSED, TWICE).  */
START_TEST (test_broken_call_is_not_repeated)
{
  static const char body[BODY_BYTES];
  const struct broken_call *it = &broken_calls[_i];
  struct breaking_peer peer;
  breaking_peer_start (&peer);
  snprintf (url, sizeof url, "http://%s/v1/order", peer.address);
  const struct http_request req
      = { .method = it->method,
          .url = url,
          .content_type = it->body_len ? "application/json" : NULL,
          .body = body,
          .body_len = it->body_len,
          .timeout_ms = 10 * PAUSE_MS };
  for (int n = 0; n < 2; n++)
    {
      done = false;
      ck_assert_int_eq (http_call (&cli, &req, on_response, NULL), 0);
      run_loop (20 * PAUSE_MS);
      ck_assert (done);
      if (n == 0)
        ck_assert_int_eq (outcome, HTTP_RESPONDED);
    }
  ck_assert_int_eq (breaking_peer_stop (&peer), it->calls);
  ck_assert_int_eq (outcome, it->outcome);
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
  snprintf (url, sizeof url, "http://%s/v1/order", peer.address);
  const struct http_request req = { .method = "POST",
                                    .url = url,
                                    .timeout_ms = 10 * PAUSE_MS,
                                    .may_send = it->may_send };
  permitted = true;
  ck_assert_int_eq (http_call (&cli, &req, on_response, NULL), 0);
  permitted = it->permitted;
  run_loop (20 * PAUSE_MS);
  ck_assert (done);
  ck_assert_int_eq (breaking_peer_stop (&peer), it->calls);
  ck_assert_int_eq (outcome, it->outcome);
}
END_TEST

static int outstanding;

static void
on_one_of_many (void *arg, const struct http_response *res)
{
  ck_assert_int_eq (res->outcome, HTTP_RESPONDED);
  done = --outstanding == 0;
}

/* Makes COUNT calls at the same time, which leave as many idle
   connections.  */
static void
open_idle (const struct silent_peer *peer, int count)
{
  snprintf (url, sizeof url, "http://%s/v1/log-read", peer->address);
  const struct http_request req
      = { .method = "GET", .url = url, .timeout_ms = 10 * PAUSE_MS };
  done = false;
  outstanding = count;
  for (int n = 0; n < count; n++)
    ck_assert_int_eq (http_call (&cli, &req, on_one_of_many, NULL), 0);
  run_loop (20 * PAUSE_MS);
  ck_assert (done);
}

static enum http_outcome
call_peer (const struct silent_peer *peer, int64_t timeout_ms)
{
  snprintf (url, sizeof url, "http://%s/v1/log-read", peer->address);
  const struct http_request req
      = { .method = "GET", .url = url, .timeout_ms = timeout_ms };
  done = false;
  ck_assert_int_eq (http_call (&cli, &req, on_response, NULL), 0);
  run_loop (20 * PAUSE_MS);
  ck_assert (done);
  return outcome;
}

static const struct silenced
{
  int idle;            /* connections, when they are silenced */
  int times;           /* that they are silenced, and opened again */
  const char *partial; /* what they still send */
} silenced[] = {
  { 1, 1, NULL },
  { 4, 1, NULL },
  { 8, 1, NULL },
  { 4, 2, NULL },
  { 4, 1, "HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\nx" },
};

/* Guards against a view that grows old (CONFIG): a cut silences the idle
   connections for good, and one call after the other waited for its time-out
   on the next of them.  After one unanswered call, all further calls to that
   address are answered, and connections to other addresses stay.  */
START_TEST (test_silenced_connections_are_not_reused)
{
  const struct silenced *it = &silenced[_i];
  struct silent_peer peer, other;
  silent_peer_start (&peer);
  silent_peer_start (&other);
  peer.partial = it->partial;
  open_idle (&other, 1);
  for (int n = 0; n < it->times; n++)
    {
      open_idle (&peer, it->idle);
      silent_peer_silence (&peer);
      ck_assert_int_eq (call_peer (&peer, CALL_TIMEOUT_MS), HTTP_NO_RESPONSE);
      for (int m = 0; m < it->idle; m++)
        ck_assert_int_eq (call_peer (&peer, 10 * PAUSE_MS), HTTP_RESPONDED);
    }
  ck_assert_int_eq (call_peer (&other, 10 * PAUSE_MS), HTTP_RESPONDED);
  ck_assert_int_eq (atomic_load (&other.connections), 1);
  ck_assert_int_eq (atomic_load (&peer.unanswered), it->times);
  silent_peer_stop (&peer);
  silent_peer_stop (&other);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("http_client");
  TCase *tc = tcase_create ("http_client");
  tcase_set_timeout (tc, 60);
  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_add_test (tc, test_given_up_call_is_not_delivered);
  tcase_add_test (tc, test_call_of_paused_process_is_not_delivered);
  tcase_add_loop_test (tc, test_broken_call_is_not_repeated, 0,
                       sizeof broken_calls / sizeof *broken_calls);
  tcase_add_loop_test (tc, test_late_call_is_not_sent, 0,
                       sizeof late_calls / sizeof *late_calls);
  tcase_add_loop_test (tc, test_silenced_connections_are_not_reused, 0,
                       sizeof silenced / sizeof *silenced);
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed != 0;
}
