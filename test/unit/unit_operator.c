#include <arpa/inet.h>
#include <check.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <tevent.h>
#include <unistd.h>

#include "base/err.h"
#include "claim/claim.h"
#include "cli/explain.h"
#include "entry/mailbox.h"
#include "entry/operator.h"
#include "entry/request.h"
#include "entry/request_trace_json.h"
#include "route/retry.h"

#define COUNT(a) (sizeof (a) / sizeof *(a))
#define TOKEN "0123456789abcdef-token"
#define ANSWER_TIMEOUT_MS 200

/* Listener  */

struct operator_test
{
  struct tevent_context *ev;
  struct operator_listener *op;
  struct mailbox stop_mb;
  bool stop;
  pthread_t thread;
  int queries_received; /* read after the thread was joined */
  int expired;
};

static void
answer_later (struct tevent_context *ev, struct tevent_timer *te,
              struct timeval now, void *arg)
{
  struct operator_test *ot = arg;
  operator_answer (ot->op, (uint64_t)ot->queries_received, 200,
                   "{\"late\":true}");
}

/* Answers /v1/status and the request id with escaped characters at once,
   request "later" from a timer, and no other.  */
static void
on_query (void *arg, uint64_t query_id, enum operator_query type,
          const char *request_id)
{
  struct operator_test *ot = arg;
  ot->queries_received++;
  if (type == OPERATOR_STATUS)
    operator_answer (ot->op, query_id, 200, "{\"status\":true}");
  else if (strcmp (request_id, "later") == 0)
    tevent_add_timer (ot->ev, ot->ev, tevent_timeval_current_ofs (0, 1000),
                      answer_later, ot);
  else if (strcmp (request_id, "a/b?c%d") == 0)
    operator_answer (ot->op, query_id, 200, "{\"unescaped\":true}");
}

static void
on_expired (void *arg, uint64_t query_id, enum operator_query type)
{
  ((struct operator_test *)arg)->expired++;
}

static void
on_stop (void *arg, struct message *msg)
{
  ((struct operator_test *)arg)->stop = true;
}

static void *
operator_main (void *arg)
{
  struct operator_test *ot = arg;
  while (!ot->stop)
    tevent_loop_once (ot->ev);
  return NULL;
}

static void
operator_test_start (struct operator_test *ot)
{
  const struct operator_settings set = { .address = "127.0.0.1:0",
                                         .token = TOKEN,
                                         .timeout_ms = ANSWER_TIMEOUT_MS };
  const struct operator_handler handler
      = { .query = on_query, .expired = on_expired, .arg = ot };
  *ot = (struct operator_test){ .ev = tevent_context_init (NULL) };
  ck_assert_int_eq (operator_create (NULL, ot->ev, &set, &handler, &ot->op),
                    0);
  ck_assert_int_eq (mailbox_init (&ot->stop_mb, ot->ev, on_stop, ot), 0);
  pthread_create (&ot->thread, NULL, operator_main, ot);
}

static void
operator_test_stop (struct operator_test *ot)
{
  struct message msg = { .type = 0 };
  ck_assert (mailbox_post (&ot->stop_mb, &msg));
  pthread_join (ot->thread, NULL);
  mailbox_fini (&ot->stop_mb);
  operator_destroy (ot->op);
  talloc_free (ot->ev);
}

static int
connect_to (uint16_t port, const char *send)
{
  struct sockaddr_in sa = { .sin_family = AF_INET, .sin_port = htons (port) };
  sa.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  ck_assert_int_eq (connect (fd, (struct sockaddr *)&sa, sizeof sa), 0);
  ck_assert_int_eq (write (fd, send, strlen (send)), (ssize_t)strlen (send));
  return fd;
}

static void
exchange (uint16_t port, const char *send, char *out, size_t size)
{
  int fd = connect_to (port, send);
  size_t len = 0;
  ssize_t n;
  while (len < size - 1 && (n = read (fd, out + len, size - 1 - len)) > 0)
    len += (size_t)n;
  out[len] = '\0';
  close (fd);
}

#define HTTP(line, headers)                                                   \
  line " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" headers "\r\n"
#define AUTH(token) "Authorization: Bearer " token "\r\n"
#define LONG_ID                                                               \
  "0123456789012345678901234567890123456789012345678901234567890123456789"

/* Guards against an answer to a client without the token, against a handler
   that runs for such a request, and against a malformed path that is
   accepted.  */
static const struct
{
  const char *name;
  const char *send;
  const char *status;
  const char *body;
  int queries_received;
} queries[] = {
  { "no token", HTTP ("GET /v1/status", ""), " 401 ", "unauthenticated", 0 },
  { "no token, unknown path", HTTP ("GET /x", ""), " 401 ", "", 0 },
  { "wrong token", HTTP ("GET /v1/status", AUTH ("0123456789abcdef-tokex")),
    " 401 ", "", 0 },
  { "prefix of the token", HTTP ("GET /v1/status", AUTH ("0123456789")),
    " 401 ", "", 0 },
  { "token with a suffix", HTTP ("GET /v1/status", AUTH (TOKEN "x")), " 401 ",
    "", 0 },
  { "empty token", HTTP ("GET /v1/status", AUTH ("")), " 401 ", "", 0 },
  { "other scheme",
    HTTP ("GET /v1/status", "Authorization: Basic " TOKEN "\r\n"), " 401 ", "",
    0 },
  { "post without token", HTTP ("POST /v1/status", "Content-Length: 2\r\n"),
    " 401 ", "", 0 },
  { "status", HTTP ("GET /v1/status", AUTH (TOKEN)), " 200 ",
    "{\"status\":true}", 1 },
  { "answer later", HTTP ("GET /v1/explain/later", AUTH (TOKEN)), " 200 ",
    "{\"late\":true}", 1 },
  { "no answer", HTTP ("GET /v1/explain/never", AUTH (TOKEN)), " 503 ",
    "timeout", 1 },
  { "escaped id", HTTP ("GET /v1/explain/a%2Fb%3Fc%25d", AUTH (TOKEN)),
    " 200 ", "unescaped", 1 },
  { "post", HTTP ("POST /v1/status", AUTH (TOKEN) "Content-Length: 0\r\n"),
    " 405 ", "", 0 },
  { "no id", HTTP ("GET /v1/explain/", AUTH (TOKEN)), " 400 ", "", 0 },
  { "id too long", HTTP ("GET /v1/explain/" LONG_ID, AUTH (TOKEN)), " 400 ",
    "", 0 },
  { "id with a quote", HTTP ("GET /v1/explain/a%22b", AUTH (TOKEN)), " 400 ",
    "", 0 },
  { "id with a line end", HTTP ("GET /v1/explain/a%0Ab", AUTH (TOKEN)),
    " 400 ", "", 0 },
  { "no such path", HTTP ("GET /v1/stat", AUTH (TOKEN)), " 404 ", "", 0 },
  { "path with a suffix", HTTP ("GET /v1/status/x", AUTH (TOKEN)), " 404 ", "",
    0 },
};

START_TEST (test_query)
{
  struct operator_test ot;
  char out[4096];
  operator_test_start (&ot);
  exchange (operator_port (ot.op), queries[_i].send, out, sizeof out);
  ck_assert_msg (strstr (out, queries[_i].status) != NULL
                     && strstr (out, queries[_i].body) != NULL,
                 "%s: %s", queries[_i].name, out);
  ck_assert_ptr_null (strstr (out, TOKEN));
  exchange (operator_port (ot.op), HTTP ("GET /v1/status", AUTH (TOKEN)), out,
            sizeof out);
  ck_assert_msg (strstr (out, "{\"status\":true}") != NULL, "after %s: %s",
                 queries[_i].name, out);
  operator_test_stop (&ot);
  ck_assert_int_eq (ot.queries_received, queries[_i].queries_received + 1);
  ck_assert_int_eq (ot.expired, strcmp (queries[_i].name, "no answer") == 0);
}
END_TEST

/* Guards against a process that aborts when the listener is destroyed with a
   pending query: libmicrohttpd does not allow its daemon to be stopped while a
   connection is suspended.  Also guards against an answer to a query whose
   connection is gone.  */
START_TEST (test_stop_with_open_query)
{
  struct operator_test ot;
  char out[256];
  operator_test_start (&ot);
  int fd = connect_to (operator_port (ot.op),
                       HTTP ("GET /v1/explain/never", AUTH (TOKEN)));
  exchange (operator_port (ot.op), HTTP ("GET /v1/status", AUTH (TOKEN)), out,
            sizeof out);
  operator_test_stop (&ot);
  close (fd);
}
END_TEST

static const struct
{
  const char *text;
  int err;
} tokens[] = {
  { "0123456789abcdef\n", 0 },
  { "0123456789abcdef", 0 },
  { "0123456789abcdef\r\n", 0 },
  { "0123456789abcde\n", ERR_INVALID },
  { "0123456789 abcdef\n", ERR_INVALID },
  { "", ERR_INVALID },
};

/* Guards against a listener that accepts a token that is easy to guess.  */
START_TEST (test_token_file)
{
  char path[] = "/tmp/kingcuphollow-token-XXXXXX";
  char token[OPERATOR_TOKEN_MAX + 1];
  int fd = mkstemp (path);
  ssize_t len = (ssize_t)strlen (tokens[_i].text);
  ck_assert_int_eq (write (fd, tokens[_i].text, (size_t)len), len);
  close (fd);
  ck_assert_int_eq (operator_token_read (path, token), tokens[_i].err);
  if (tokens[_i].err == 0)
    ck_assert_str_eq (token, "0123456789abcdef");
  unlink (path);
  ck_assert_int_eq (operator_token_read (path, token), ERR_NOT_FOUND);
}
END_TEST

/* Ring of request traces */

#define RING_SIZE 4

static struct trace_ref
begin_trace (struct trace_ring *ring, const char *id, int64_t now_us)
{
  struct request_trace start
      = { .arrival_us = now_us, .arrival_ms = now_us / 1000 };
  snprintf (start.id, sizeof start.id, "%s", id);
  return trace_ring_begin (ring, &start);
}

/* Guards against steps that are added to another request's trace after the
   record was overwritten, and against a search that does not report
   overwritten records.  */
START_TEST (test_ring_overwrite)
{
  void *ctx = talloc_new (NULL);
  struct trace_ring ring;
  struct traces_found *found = talloc (ctx, struct traces_found);
  char id[16];
  ck_assert_int_eq (trace_ring_init (&ring, ctx, RING_SIZE), 0);
  struct trace_ref first = begin_trace (&ring, "r0", 1000);
  ck_assert_ptr_nonnull (trace_ring_get (&ring, first));
  for (int n = 1; n <= RING_SIZE; n++)
    {
      snprintf (id, sizeof id, "r%d", n);
      begin_trace (&ring, id, 1000 * (n + 1));
    }
  ck_assert_ptr_null (trace_ring_get (&ring, first));
  trace_ring_find (&ring, "r0", found);
  ck_assert_uint_eq (found->count, 0);
  ck_assert_uint_eq (found->overwritten, 1);
  ck_assert_int_eq (found->oldest_ms, 2);
  trace_ring_find (&ring, "r1", found);
  ck_assert_uint_eq (found->count, 1);
  talloc_free (ctx);
}
END_TEST

/* Guards against a search for a repeated id that does not return its newest
   traces.  */
START_TEST (test_ring_same_id)
{
  void *ctx = talloc_new (NULL);
  struct trace_ring ring;
  struct traces_found *found = talloc (ctx, struct traces_found);
  ck_assert_int_eq (trace_ring_init (&ring, ctx, 3 * TRACES_FOUND_MAX), 0);
  for (int n = 0; n < TRACES_FOUND_MAX + 2; n++)
    begin_trace (&ring, "same", 1000 * n);
  trace_ring_find (&ring, "same", found);
  ck_assert_uint_eq (found->count, TRACES_FOUND_MAX);
  ck_assert_uint_eq (found->not_copied, 2);
  ck_assert_int_eq (found->traces[0].arrival_ms, 2);
  ck_assert_int_eq (found->traces[TRACES_FOUND_MAX - 1].arrival_ms,
                    TRACES_FOUND_MAX + 1);
  talloc_free (ctx);
}
END_TEST

/* Guards against a full record that has no room for the outcome or does not
   report dropped steps.  */
START_TEST (test_record_full)
{
  static struct request_trace trc;
  memset (&trc, 0, sizeof trc);
  for (int n = 0; n < 5; n++)
    request_trace_add_step (&trc, TRACE_WAIT_TARGET, n);
  ck_assert_uint_eq (trc.step_count, 1);
  ck_assert_uint_eq (trc.steps[0].times, 5);
  ck_assert (!trc.steps_dropped);
  for (int n = 0; n < TRACE_STEPS_MAX; n++)
    request_trace_add_step (&trc, TRACE_SENT, n);
  ck_assert (trc.steps_dropped);
  ck_assert_ptr_nonnull (request_trace_add_step (&trc, TRACE_END, 7));
  ck_assert_uint_eq (trc.steps[trc.step_count - 1].type, TRACE_END);
  char name[TRACE_NAMES_BYTES];
  memset (name, 'x', sizeof name - 1);
  name[sizeof name - 1] = '\0';
  ck_assert_uint_eq (request_trace_add_name (&trc, "h1"), 0);
  ck_assert_uint_eq (request_trace_add_name (&trc, name), TRACE_NAME_NONE);
  ck_assert_uint_eq (request_trace_add_name (&trc, "h2"), 3);
  ck_assert_uint_eq (request_trace_add_name (&trc, "h1"), 0);
}
END_TEST

/* Text of `explain` */

struct step
{
  enum trace_step_type type;
  int detail;
  int extra;
  int number;
  const char *name;
};

/* known_since of an entry process that cannot be reached.  */
#define UNREACHED (-1)
#define KNOWN_SINCE_MS 500 /* known_since_ms; the requests arrive at 1000 */

/* Guards against a statement that goes beyond what is known, such as "not run"
   for an attempt that was sent, and against an exit code or note that hides
   missing parts.  The replies are in the order in which the processes are
   queried.  */
static const struct
{
  const char *name;
  struct
  {
    int known_since; /* in ms; UNREACHED; 0: no such process */
    int hops;
    struct step steps[10]; /* none: the process does not know the request */
  } replies[2];
  int code;
  const char *expect[4];
  const char *absent; /* must not be in the output */
} explain_cases[] = {
  { "answered",
    { { KNOWN_SINCE_MS,
        0,
        { { TRACE_ADMITTED, 0, 0, 0, NULL },
          { TRACE_SENT, 0, 0, 1, "h1" },
          { TRACE_RESULT, ATTEMPT_ANSWERED, 0, 200, "h1" },
          { TRACE_END, OUTCOME_ANSWERED, REASON_NONE, 200, NULL } } } },
    0,
    { "Attempt 1 goes to target h1", "whether the caller read it is not known",
      "caller marie for kind stock_query" },
    "may be incomplete" },
  { "guard refusal, then not run",
    { { KNOWN_SINCE_MS,
        0,
        { { TRACE_SENT, 0, 0, 1, "h1" },
          { TRACE_RESULT, ATTEMPT_TARGET_REFUSED, 0, 503, "h1" },
          { TRACE_RETRY, RETRY_NO_ATTEMPTS, 0, 0, NULL },
          { TRACE_END, OUTCOME_NOT_RUN, REASON_REFUSED, 503, NULL } } } },
    0,
    { "certainly did not run", "all its attempts are used up",
      "Outcome: not run. It certainly did not run: the targets refused it" },
    "not known" },
  { "sent, no complete answer",
    { { KNOWN_SINCE_MS,
        0,
        { { TRACE_CLAIM_REQUESTED, 0, 0, 0, NULL },
          { TRACE_CLAIM_VERDICT, CLAIM_GRANTED, 0, 0, NULL },
          { TRACE_SENT, 0, 0, 1, "h1" },
          { TRACE_RESULT, ATTEMPT_NO_VALID_ANSWER, 0, 0, "h1" },
          { TRACE_RETRY, RETRY_NO_UNSAFE, 0, 0, NULL },
          { TRACE_END, OUTCOME_UNKNOWN, REASON_NO_ANSWER, 504, NULL } } } },
    0,
    { "this request holds the idempotency key", "must not run twice",
      "Outcome: unknown. It was sent, and whether it ran is not known" },
    "certainly" },
  { "answer of another request",
    { { KNOWN_SINCE_MS,
        0,
        { { TRACE_SENT, 0, 0, 1, "h1" },
          { TRACE_RESULT, ATTEMPT_NO_VALID_ANSWER, 1, 200, "h1" },
          { TRACE_END, OUTCOME_UNKNOWN, REASON_BAD_ANSWER, 502, NULL } } } },
    0,
    { "was incomplete, too long or not for this request; the answer was "
      "discarded, and whether this attempt ran is not known" },
    "certainly" },
  { "duplicate with recorded answer",
    { { KNOWN_SINCE_MS,
        0,
        { { TRACE_CLAIM_VERDICT, CLAIM_DUPLICATE, CLAIM_RESULT_ANSWERED, 0,
            NULL },
          { TRACE_END, OUTCOME_ANSWERED, REASON_DUPLICATE, 200, NULL } } } },
    0,
    { "its answer is recorded", "This request itself did not run" },
    "handed" },
  { "duplicate without result",
    { { KNOWN_SINCE_MS,
        0,
        { { TRACE_CLAIM_VERDICT, CLAIM_DUPLICATE, CLAIM_RESULT_NONE, 0, NULL },
          { TRACE_END, OUTCOME_UNKNOWN, REASON_DUPLICATE_NO_RESULT, 409,
            NULL } } } },
    0,
    { "Outcome: unknown. This request itself was not sent to a target" },
    "It was sent" },
  { "released",
    { { KNOWN_SINCE_MS,
        0,
        { { TRACE_RELEASE_REQUESTED, 0, 0, 0, NULL },
          { TRACE_RELEASED, 0, 0, 0, NULL },
          { TRACE_END, OUTCOME_NOT_RUN, REASON_NO_TARGET, 503, NULL } } } },
    0,
    { "could not be recorded in time", "no target could take it" },
    NULL },
  { "stopped with an open claim",
    { { KNOWN_SINCE_MS,
        0,
        { { TRACE_CLAIM_REQUESTED, 0, 0, 0, NULL },
          { TRACE_END, OUTCOME_NOT_RUN, REASON_DRAINING, 503, NULL } } } },
    0,
    { "Its idempotency key may still be held" },
    NULL },
  { "open",
    { { KNOWN_SINCE_MS, 0, { { TRACE_QUEUED, 0, 0, 0, NULL } } } },
    0,
    { "waits in the queue", "Outcome: none yet" },
    "did not run" },
  { "the other process cannot be reached",
    { { KNOWN_SINCE_MS,
        0,
        { { TRACE_END, OUTCOME_NOT_RUN, REASON_QUEUE_FULL, 429, NULL } } },
      { UNREACHED, 0, { { 0 } } } },
    EXPLAIN_EXIT_PARTIAL,
    { "the queue of its kind was full",
      "The trace of the request may be incomplete",
      "127.0.0.1:2: not reached" },
    NULL },
  { "the other process restarted",
    { { KNOWN_SINCE_MS,
        0,
        { { TRACE_END, OUTCOME_NOT_RUN, REASON_QUEUE_FULL, 429, NULL } } },
      { 2000, 0, { { 0 } } } },
    EXPLAIN_EXIT_PARTIAL,
    { "e2: it started at 1970-01-01 00:00:02.000 UTC; any earlier request "
      "traces are lost" },
    NULL },
  { "forwarded, and the other process knows it",
    { { KNOWN_SINCE_MS,
        0,
        { { TRACE_FORWARDED, 0, 0, 0, "127.0.0.1:9" },
          { TRACE_FORWARD_RESULT, ATTEMPT_ANSWERED, 0, 200, NULL },
          { TRACE_END, OUTCOME_ANSWERED, REASON_NONE, 200, NULL } } },
      { KNOWN_SINCE_MS,
        1,
        { { TRACE_END, OUTCOME_ANSWERED, REASON_NONE, 200, NULL } } } },
    0,
    { "received 2 times under this id, by 2 entry processes",
      "forwarded by an entry process of another data centre",
      "goes to the entry process at 127.0.0.1:9" },
    "may be incomplete" },
  { "forwarded, and the other process is not queried",
    { { KNOWN_SINCE_MS,
        0,
        { { TRACE_FORWARDED, 0, 0, 0, "127.0.0.1:9" },
          { TRACE_FORWARD_RESULT, ATTEMPT_TIMEOUT, 0, 0, NULL },
          { TRACE_END, OUTCOME_UNKNOWN, REASON_NO_ANSWER, 504, NULL } } } },
    EXPLAIN_EXIT_PARTIAL,
    { "was not queried or no longer has a trace of it" },
    "certainly" },
  { "not found",
    { { KNOWN_SINCE_MS, 0, { { 0 } } }, { UNREACHED, 0, { { 0 } } } },
    EXPLAIN_EXIT_NOT_FOUND,
    { "No entry process that was reached has a trace of",
      "127.0.0.1:2: not reached", "e1: it started at" },
    "Outcome" },
};

static json_t *
make_trace (int hops, const struct step *steps, size_t count)
{
  static struct request_trace trc;
  memset (&trc, 0, sizeof trc);
  trc.arrival_ms = 1000;
  trc.hops = (uint8_t)hops;
  strcpy (trc.id, "r1");
  strcpy (trc.caller, "marie");
  strcpy (trc.kind, "stock_query");
  for (size_t n = 0; n < count; n++)
    {
      if (n > 0 && steps[n].type == 0)
        break;
      struct trace_step *step
          = request_trace_add_step (&trc, steps[n].type, (int64_t)n * 1000);
      step->detail = (uint8_t)steps[n].detail;
      step->extra = (uint8_t)steps[n].extra;
      step->number = (uint16_t)steps[n].number;
      if (steps[n].name)
        step->name = request_trace_add_name (&trc, steps[n].name);
      trc.ended |= steps[n].type == TRACE_END;
    }
  return request_trace_json (&trc);
}

static bool
knows_request (const struct step *steps, const char *name)
{
  return steps[0].type != TRACE_QUEUED || strcmp (name, "open") == 0;
}

static size_t
make_replies (int i, struct operator_reply replies[2])
{
  static const char *const addresses[] = { "127.0.0.1:1", "127.0.0.1:2" };
  static const char *const names[] = { "e1", "e2" };
  size_t count = 0;
  for (size_t n = 0; n < 2 && explain_cases[i].replies[n].known_since != 0;
       n++)
    {
      const struct step *steps = explain_cases[i].replies[n].steps;
      replies[n] = (struct operator_reply){ .address = addresses[n] };
      count++;
      if (explain_cases[i].replies[n].known_since == UNREACHED)
        {
          strcpy (replies[n].error, "not reached: refused");
          continue;
        }
      json_t *list = json_array ();
      if (knows_request (steps, explain_cases[i].name))
        json_array_append_new (
            list, make_trace (explain_cases[i].replies[n].hops, steps,
                              COUNT (explain_cases[i].replies[n].steps)));
      replies[n].root = json_pack (
          "{s:s, s:i, s:i, s:b, s:o}", "name", names[n], "known_since_ms",
          explain_cases[i].replies[n].known_since, "overwritten", 0,
          "keeps_stories", 1, "stories", list);
    }
  return count;
}

START_TEST (test_explain)
{
  struct operator_reply replies[2];
  char *text;
  size_t size;
  size_t count = make_replies (_i, replies);
  FILE *out = open_memstream (&text, &size);
  int code = explain_print ("r1", replies, count, false, out);
  fclose (out);
  ck_assert_msg (code == explain_cases[_i].code, "%s: code %d: %s",
                 explain_cases[_i].name, code, text);
  for (int n = 0; n < 4 && explain_cases[_i].expect[n]; n++)
    ck_assert_msg (strstr (text, explain_cases[_i].expect[n]) != NULL,
                   "%s: no \"%s\" in: %s", explain_cases[_i].name,
                   explain_cases[_i].expect[n], text);
  if (explain_cases[_i].absent)
    ck_assert_msg (strstr (text, explain_cases[_i].absent) == NULL,
                   "%s: \"%s\" in: %s", explain_cases[_i].name,
                   explain_cases[_i].absent, text);
  free (text);

  out = open_memstream (&text, &size);
  ck_assert_int_eq (explain_print ("r1", replies, count, true, out), code);
  fclose (out);
  json_t *root = json_loads (text, 0, NULL);
  ck_assert_msg (json_is_array (json_object_get (root, "events")), "%s", text);
  json_decref (root);
  free (text);
  for (size_t n = 0; n < count; n++)
    json_decref (replies[n].root);
}
END_TEST

/* Guards against a crash on an answer from another version of the program.  */
START_TEST (test_explain_malformed)
{
  static const char *const answers[] = {
    "{}",
    "{\"stories\":[{}]}",
    "{\"stories\":[{\"steps\":[{},{\"step\":\"new\"},3,{\"step\":\"result\"},"
    "{\"step\":\"end\"},{\"step\":\"sent\",\"candidates\":[1]}]}]}",
    "{\"stories\":7,\"name\":{}}",
  };
  char *text;
  size_t size;
  for (size_t n = 0; n < COUNT (answers); n++)
    {
      struct operator_reply reply
          = { .address = "127.0.0.1:1",
              .root = json_loads (answers[n], 0, NULL) };
      FILE *out = open_memstream (&text, &size);
      explain_print ("r1", &reply, 1, n % 2 == 1, out);
      fclose (out);
      ck_assert_uint_gt (size, 0);
      free (text);
      json_decref (reply.root);
    }
}
END_TEST

int
main (void)
{
  signal (SIGPIPE, SIG_IGN);
  Suite *suite = suite_create ("operator");
  TCase *tc = tcase_create ("operator");
  tcase_set_timeout (tc, 60);
  tcase_add_loop_test (tc, test_query, 0, COUNT (queries));
  tcase_add_test (tc, test_stop_with_open_query);
  tcase_add_loop_test (tc, test_token_file, 0, COUNT (tokens));
  tcase_add_test (tc, test_ring_overwrite);
  tcase_add_test (tc, test_ring_same_id);
  tcase_add_test (tc, test_record_full);
  tcase_add_loop_test (tc, test_explain, 0, COUNT (explain_cases));
  tcase_add_test (tc, test_explain_malformed);
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed != 0;
}
