/* Open-loop load generator: sends the requests of a trace at their planned
   times to several entry addresses in rotation, as a load balancer does, and
   records each outcome.  Latency is measured from the planned time, so that it
   includes the delay of requests that are sent late because the system is
   slow.  One thread, with libcurl in a tevent loop.  */

#include <curl/curl.h>
#include <inttypes.h>
#include <jansson.h>
#include <signal.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <sys/timerfd.h>
#include <talloc.h>
#include <tevent.h>
#include <unistd.h>
#include <utlist.h>
#include <xxhash.h>

#include "base/clock.h"
#include "base/err.h"
#include "base/option.h"
#include "test/load/summary.h"
#include "test/load/trace.h"

#define MAX_ENTRIES 128
#define MAX_ANSWER_BYTES (16 << 20)
#define RETRY_DELAY_US 100000  /* see end_attempt */
#define TIMEOUT_MARGIN_MS 2000 /* past the deadline */
#define MAX_UNKNOWN_ATTEMPTS 3 /* of one request; see should_retry */

struct settings
{
  char *entries;
  char *trace;
  char *pattern;
  char *path;
  char *journal;
  char *name;
  int64_t json;
  int64_t seconds;
  int64_t turn_ms;
  int64_t rate;
  int64_t service_us;
  int64_t seed;
  int64_t connections;
  int64_t service_percent;
  int64_t duplicate_percent;
};

#define FIELD(f) offsetof (struct settings, f)

static const char *const patterns[] = { "surge", NULL };

static const struct option_def options[] = {
  { "entries", OPTION_STR, FIELD (entries), 1, 4096, NULL, NULL, NULL,
    "entry addresses, IP:PORT,..." },
  { "trace", OPTION_STR, FIELD (trace), 0, 1024, NULL, NULL, "",
    "file with the trace to send; without it a pattern is generated" },
  { "pattern", OPTION_CHOICE, FIELD (pattern), 0, 0, patterns, NULL, "surge",
    "generated pattern" },
  { "path", OPTION_STR, FIELD (path), 1, 64, NULL, NULL, "/v1/work/",
    "path before the kind; with /run/ the addresses are those of targets" },
  { "journal", OPTION_STR, FIELD (journal), 0, 1024, NULL, NULL, "",
    "file that receives one line for each attempt" },
  { "name", OPTION_STR, FIELD (name), 1, 32, NULL, NULL, "c",
    "prefix of the request ids, unique to each run" },
  { "json", OPTION_BOOL, FIELD (json), 0, 1, NULL, NULL, "no",
    "print the summary as JSON" },
  { "seconds", OPTION_INT, FIELD (seconds), 1, 3600, NULL, "s", "10",
    "length of a generated pattern" },
  { "turn-ms", OPTION_INT, FIELD (turn_ms), 1, 600000, NULL, "ms", "2000",
    "duration of the surge of each kind" },
  { "rate", OPTION_INT, FIELD (rate), 1, 1000000, NULL, "requests/s", "100",
    "mean rate of a generated pattern, over all kinds" },
  { "service-us", OPTION_INT, FIELD (service_us), 0, 60000000, NULL, "us",
    "5000", "mean service time of a generated pattern" },
  { "seed", OPTION_INT, FIELD (seed), 0, INT32_MAX, NULL, NULL, "1",
    "seed of a generated pattern" },
  { "connections", OPTION_INT, FIELD (connections), 1, 10000, NULL,
    "connections", "512", "limit of open connections; further requests wait" },
  { "service-percent", OPTION_INT, FIELD (service_percent), 0, 10000, NULL,
    "%", "100", "factor applied to the service times of the trace" },
  { "duplicate-percent", OPTION_INT, FIELD (duplicate_percent), 0, 100, NULL,
    "%", "0",
    "share of the requests marked \"once\" that are sent twice at once, "
    "under one key" },
  { NULL, 0, 0, 0, 0, NULL, NULL, NULL, NULL },
};

struct caller
{
  struct settings set;
  struct tevent_context *ev;
  CURLM *curl_multi;
  struct tevent_timer *curl_timer;
  char *entries[MAX_ENTRIES]; /* addresses of entry processes or targets */
  int entry_count;
  int next_entry; /* for the first attempt of the next request */
  struct trace trace;
  size_t next_index;       /* in the trace, of the next request to start */
  size_t open_requests;    /* started and without a final outcome */
  int64_t active_attempts; /* transfers in progress */
  struct request *waiting_attempts; /* queue for a free connection */
  int64_t request_count;            /* started so far, with duplicates */
  int64_t start_us;                 /* monotonic time */
  int timer_fd; /* for the planned times; timers of tevent are too coarse, as
                   they round up to whole milliseconds */
  int64_t wall_offset_us; /* wall clock minus monotonic clock */
  FILE *journal;
  struct summary summary;
};

struct request
{
  struct request *prev, *next; /* while it waits for a connection */
  struct caller *cr;
  const struct trace_request *planned;
  int64_t number;     /* in this run, from 1 */
  int64_t key_number; /* number of the first request with the same key */
  int64_t planned_us; /* send time by the trace, monotonic */
  char *body;
  int attempt;
  int unknown_attempts; /* attempts that may have run without a reply */
  int entry;            /* index of the entry address */
  char id[64];          /* request id of the current attempt */
  char key[64];         /* idempotency key, the same for all attempts */
  /* Of the current attempt.  */
  int64_t sent_us;
  int64_t remaining_ms; /* from the send time to the deadline */
  CURL *curl;
  struct curl_slist *headers;
  char *answer;
  size_t size; /* of answer in bytes */
  char error[CURL_ERROR_SIZE];
};

static int64_t
now_us (void)
{
  return clock_now_us (&clock_system);
}

static struct timeval
time_after_us (int64_t us)
{
  return tevent_timeval_current_ofs ((uint32_t)(us / 1000000),
                                     (uint32_t)(us % 1000000));
}

/* Outcomes of attempts  */

struct attempt_result
{
  const char *outcome; /* answered, not_run, unknown */
  const char *reason;  /* from the reply, or why there is none; may be NULL */
  const char *answer_check; /* correct, wrong, none; see check_answer */
  long status;              /* of HTTP, 0 without a reply */
};

static const char *
response_header (struct request *req, const char *name)
{
  struct curl_header *hd;
  return curl_easy_header (req->curl, name, 0, CURLH_HEADER, -1, &hd)
                 == CURLHE_OK
             ? hd->value
             : NULL;
}

static bool
field_equals (const json_t *obj, const char *name, const char *value)
{
  const char *text = json_string_value (json_object_get (obj, name));
  return text && strcmp (text, value) == 0;
}

/* Whether ID is that of an attempt with this request's idempotency key: an
   entry process answers a repeated key with the recorded answer, which has the
   id of the attempt that ran.  The number of a duplicate is one more than that
   of the request it duplicates.  */
static bool
id_has_same_key (const struct request *req, const char *id)
{
  size_t len = strlen (req->cr->set.name);
  int64_t number;
  int attempt;
  int end = 0;
  if (!req->planned->once || !id || strncmp (id, req->cr->set.name, len) != 0
      || sscanf (id + len, "-%" SCNd64 ".%d%n", &number, &attempt, &end) != 2
      || id[len + end] != '\0' || attempt < 1)
    return false;
  return number == req->key_number || number == req->key_number + 1;
}

/* Checks that the answer is complete and belongs to the request: to its id or
   its key, and to its body, which differs from that of every other key.
   Returns "correct", "wrong", or "none" for an answer that cannot be checked:
   the answer to a repeated key need not contain the target's answer again.  */
static const char *
check_answer (struct request *req)
{
  char checksum[17];
  const char *check = "wrong";
  json_t *obj = json_loadb (req->answer, req->size, 0, NULL);
  snprintf (checksum, sizeof checksum, "%016" PRIx64,
            (uint64_t)XXH64 (req->body, strlen (req->body), 0));
  bool repeated = req->unknown_attempts > 0 || req->key_number != req->number;
  if (field_equals (obj, "request_id", req->id)
      || id_has_same_key (
          req, json_string_value (json_object_get (obj, "request_id"))))
    {
      if (field_equals (obj, "checksum", checksum)
          && field_equals (obj, "kind", req->planned->kind))
        check = "correct";
      else if (repeated && !json_object_get (obj, "checksum"))
        check = "none";
    }
  json_decref (obj);
  return check;
}

static struct attempt_result
classify_attempt (struct request *req, CURLcode code)
{
  struct attempt_result result = { "unknown", NULL, "none", 0 };
  curl_easy_getinfo (req->curl, CURLINFO_RESPONSE_CODE, &result.status);
  if (code != CURLE_OK)
    {
      result.reason = code == CURLE_COULDNT_CONNECT      ? "not_connected"
                      : code == CURLE_OPERATION_TIMEDOUT ? "caller_timeout"
                                                         : req->error;
      /* libcurl resends a request on its own when a reused connection was
         closed, so a refused connection alone does not prove that nothing was
         sent.  */
      long sent = 0;
      curl_easy_getinfo (req->curl, CURLINFO_REQUEST_SIZE, &sent);
      if (code == CURLE_COULDNT_CONNECT && sent == 0)
        result.outcome = "not_run";
      return result;
    }
  const char *outcome = response_header (req, "X-Outcome");
  const char *id = response_header (req, "X-Request-Id");
  result.reason = response_header (req, "X-Reason");
  if (!outcome && strncmp (req->cr->set.path, "/run/", 5) == 0)
    outcome = response_header (req, "X-Not-Started") ? "not_run" : "answered";
  if (!outcome)
    result.reason = "no_outcome";
  else
    result.outcome = strcmp (outcome, "answered") == 0  ? "answered"
                     : strcmp (outcome, "not_run") == 0 ? "not_run"
                                                        : "unknown";
  if (!id || strcmp (id, req->id) != 0)
    result.answer_check = "wrong";
  else if (strcmp (result.outcome, "answered") == 0)
    result.answer_check = check_answer (req);
  return result;
}

static void
write_journal (struct request *req, const struct attempt_result *result,
               int64_t end_us, bool final)
{
  struct caller *cr = req->cr;
  int64_t wall = cr->wall_offset_us;
  if (!cr->journal)
    return;
  json_t *obj = json_pack (
      "{s:I, s:i, s:s, s:s, s:s, s:s, s:b, s:I, s:I, s:I, s:I, s:i, s:s, "
      "s:s*, s:s, s:b}",
      "call", req->number, "attempt", req->attempt, "request_id", req->id,
      "kind", req->planned->kind, "caller", req->planned->caller, "entry",
      cr->entries[req->entry], "once", req->planned->once, "planned_us",
      req->planned_us + wall, "sent_us", req->sent_us + wall, "end_us",
      end_us + wall, "deadline_ms", req->remaining_ms, "status",
      (int)result->status, "outcome", result->outcome, "reason",
      result->reason, "own", result->answer_check, "final", final);
  if (req->planned->once)
    json_object_set_new (obj, "key", json_string (req->key));
  json_dumpf (obj, cr->journal, JSON_COMPACT);
  fputc ('\n', cr->journal);
  json_decref (obj);
}

/* Sending  */

static void queue_attempt (struct request *req);
static void start_waiting_attempts (struct caller *cr);

static void
end_request (struct request *req, const struct attempt_result *result,
             int64_t end_us)
{
  const char *outcome = result->outcome;
  /* An earlier attempt may have run, so that "not run" for the last one does
     not hold for the whole request.  */
  if (req->unknown_attempts > 0 && strcmp (outcome, "answered") != 0)
    outcome = "unknown";
  summary_add (&req->cr->summary, req->planned->kind, outcome,
               end_us - req->planned_us, req->planned->deadline_ms * 1000);
  req->cr->open_requests--;
  talloc_free (req);
}

static void
on_retry (struct tevent_context *ev, struct tevent_timer *te,
          struct timeval now, void *arg)
{
  queue_attempt (arg);
}

/* Whether to retry at another entry address, as a client of a load balancer
   does.  While time remains, an attempt that could not connect is always
   retried, and one whose reply was lost until MAX_UNKNOWN_ATTEMPTS attempts
   have ended that way.  */
static bool
should_retry (const struct request *req, CURLcode code)
{
  int64_t remaining_us
      = req->planned_us + req->planned->deadline_ms * 1000 - now_us ();
  return code != CURLE_OK && code != CURLE_OPERATION_TIMEDOUT
         && remaining_us > RETRY_DELAY_US
         && req->unknown_attempts < MAX_UNKNOWN_ATTEMPTS;
}

static void
end_attempt (struct request *req, CURLcode code)
{
  struct caller *cr = req->cr;
  int64_t end_us = now_us ();
  struct attempt_result result = classify_attempt (req, code);
  bool unsent = code == CURLE_COULDNT_CONNECT;
  cr->summary.wrong_answers += strcmp (result.answer_check, "wrong") == 0;
  req->unknown_attempts += code != CURLE_OK && !unsent;
  bool retry = should_retry (req, code);
  write_journal (req, &result, end_us, !retry);
  curl_multi_remove_handle (cr->curl_multi, req->curl);
  curl_easy_cleanup (req->curl);
  curl_slist_free_all (req->headers);
  TALLOC_FREE (req->answer);
  req->curl = NULL;
  req->headers = NULL;
  req->size = 0;
  cr->active_attempts--;
  if (retry)
    {
      /* Pauses after a lost reply and when no address could be connected to;
         after a single failed connection the next address is tried at
         once.  */
      bool pause = !unsent || req->attempt % cr->entry_count == 0;
      req->entry = (req->entry + 1) % cr->entry_count;
      tevent_add_timer (cr->ev, req,
                        time_after_us (pause ? RETRY_DELAY_US : 0), on_retry,
                        req);
    }
  else
    end_request (req, &result, end_us);
  start_waiting_attempts (cr);
}

static size_t
on_answer_data (char *data, size_t size, size_t count, void *arg)
{
  struct request *req = arg;
  size_t more = size * count;
  if (req->size + more > MAX_ANSWER_BYTES)
    return 0;
  req->answer = talloc_realloc (req, req->answer, char, req->size + more + 1);
  memcpy (req->answer + req->size, data, more);
  req->size += more;
  return more;
}

static void
add_header (struct request *req, const char *name, const char *value)
{
  char *text = talloc_asprintf (req, "%s: %s", name, value);
  req->headers = curl_slist_append (req->headers, text);
  talloc_free (text);
}

static void
set_headers (struct request *req)
{
  char text[32];
  add_header (req, "X-Caller", req->planned->caller);
  add_header (req, "X-Request-Id", req->id);
  snprintf (text, sizeof text, "%" PRId64, req->remaining_ms);
  add_header (req, "X-Deadline-Ms", text);
  if (req->planned->once)
    add_header (req, "Idempotency-Key", req->key);
  add_header (req, "Expect", "");
  add_header (req, "Content-Type", "text/plain");
}

static void
send_attempt (struct request *req)
{
  struct caller *cr = req->cr;
  char *url = talloc_asprintf (req, "http://%s%s%s", cr->entries[req->entry],
                               cr->set.path, req->planned->kind);
  cr->active_attempts++;
  req->curl = curl_easy_init ();
  set_headers (req);
  curl_easy_setopt (req->curl, CURLOPT_URL, url);
  curl_easy_setopt (req->curl, CURLOPT_PRIVATE, req);
  curl_easy_setopt (req->curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (req->curl, CURLOPT_HTTPHEADER, req->headers);
  curl_easy_setopt (req->curl, CURLOPT_POSTFIELDS, req->body);
  curl_easy_setopt (req->curl, CURLOPT_WRITEFUNCTION, on_answer_data);
  curl_easy_setopt (req->curl, CURLOPT_WRITEDATA, req);
  curl_easy_setopt (req->curl, CURLOPT_ERRORBUFFER, req->error);
  curl_easy_setopt (req->curl, CURLOPT_TIMEOUT_MS,
                    (long)req->remaining_ms + TIMEOUT_MARGIN_MS);
  curl_multi_add_handle (cr->curl_multi, req->curl);
  talloc_free (url);
}

/* Starts attempts from the queue while connections are free.  The caller has
   its own queue because the connection limit of libcurl takes time quadratic
   in the number of waiting transfers.  */
static void
start_waiting_attempts (struct caller *cr)
{
  static const struct attempt_result not_sent
      = { "not_run", "not_sent", "none", 0 };
  while (cr->waiting_attempts && cr->active_attempts < cr->set.connections)
    {
      struct request *req = cr->waiting_attempts;
      int64_t now = now_us ();
      DL_DELETE (cr->waiting_attempts, req);
      req->attempt++;
      snprintf (req->id, sizeof req->id, "%s-%" PRId64 ".%d", cr->set.name,
                req->number, req->attempt);
      req->sent_us = now;
      req->remaining_ms
          = (req->planned_us - now) / 1000 + req->planned->deadline_ms;
      if (req->remaining_ms > 0)
        send_attempt (req);
      else
        {
          write_journal (req, &not_sent, now, true);
          end_request (req, &not_sent, now);
        }
    }
}

static void
queue_attempt (struct request *req)
{
  DL_APPEND (req->cr->waiting_attempts, req);
  start_waiting_attempts (req->cr);
}

/* Creates the body, which starts with the service time for the target's
   stand-in.  */
static char *
make_body (struct request *req)
{
  int64_t us = req->planned->service_us * req->cr->set.service_percent / 100;
  char *body = talloc_asprintf (req, "service_us=%" PRId64 " key=%" PRId64 " ",
                                us, req->key_number);
  size_t size = strlen (body);
  size_t want = (size_t)req->planned->body_bytes;
  if (want <= size)
    return body;
  body = talloc_realloc (req, body, char, want + 1);
  memset (body + size, '.', want - size);
  body[want] = '\0';
  return body;
}

static void
start_request (struct caller *cr, const struct trace_request *item,
               int64_t key_number)
{
  struct request *req = talloc_zero (cr, struct request);
  req->cr = cr;
  req->planned = item;
  req->number = ++cr->request_count;
  req->key_number = key_number ? key_number : req->number;
  req->planned_us = cr->start_us + item->time_ms * 1000;
  req->entry = cr->next_entry++ % cr->entry_count;
  req->body = make_body (req);
  snprintf (req->key, sizeof req->key, "%s-k%" PRId64, cr->set.name,
            req->key_number);
  cr->open_requests++;
  int64_t lag_us = now_us () - req->planned_us;
  if (lag_us > cr->summary.max_send_lag_us)
    cr->summary.max_send_lag_us = lag_us;
  queue_attempt (req);
}

/* Starts the requests that are due and sets the timer for the next one.  */
static void
start_due_requests (struct caller *cr)
{
  while (cr->next_index < cr->trace.count)
    {
      const struct trace_request *item = &cr->trace.requests[cr->next_index];
      int64_t due_us = cr->start_us + item->time_ms * 1000;
      if (due_us > now_us ())
        {
          struct itimerspec at
              = { .it_value = { .tv_sec = due_us / 1000000,
                                .tv_nsec = due_us % 1000000 * 1000 } };
          timerfd_settime (cr->timer_fd, TFD_TIMER_ABSTIME, &at, NULL);
          return;
        }
      cr->next_index++;
      start_request (cr, item, 0);
      /* Spreads the duplicates evenly over the requests.  */
      if (item->once
          && (cr->next_index * 37) % 100 < (size_t)cr->set.duplicate_percent)
        start_request (cr, item, cr->request_count);
    }
}

static void
on_send_timer (struct tevent_context *ev, struct tevent_fd *fde,
               uint16_t flags, void *arg)
{
  struct caller *cr = arg;
  uint64_t expirations;
  if (read (cr->timer_fd, &expirations, sizeof expirations) > 0)
    start_due_requests (cr);
}

/* Callbacks of libcurl  */

static void
handle_finished_transfers (struct caller *cr)
{
  CURLMsg *msg;
  int left;
  while ((msg = curl_multi_info_read (cr->curl_multi, &left)))
    if (msg->msg == CURLMSG_DONE)
      {
        char *req;
        CURLcode code = msg->data.result;
        curl_easy_getinfo (msg->easy_handle, CURLINFO_PRIVATE, &req);
        end_attempt ((struct request *)req, code);
      }
}

struct watched_socket
{
  struct caller *cr;
  curl_socket_t fd;
};

static void
on_socket_event (struct tevent_context *ev, struct tevent_fd *fde,
                 uint16_t flags, void *arg)
{
  struct watched_socket *ws = arg;
  struct caller *cr = ws->cr;
  int running;
  int mask = (flags & TEVENT_FD_READ ? CURL_CSELECT_IN : 0)
             | (flags & TEVENT_FD_WRITE ? CURL_CSELECT_OUT : 0);
  curl_multi_socket_action (cr->curl_multi, ws->fd, mask, &running);
  handle_finished_transfers (cr);
}

static int
on_curl_socket_change (CURL *curl, curl_socket_t fd, int what, void *arg,
                       void *socket)
{
  struct caller *cr = arg;
  struct watched_socket *ws = socket;
  uint16_t flags = (what & CURL_POLL_IN ? TEVENT_FD_READ : 0)
                   | (what & CURL_POLL_OUT ? TEVENT_FD_WRITE : 0);
  talloc_free (ws);
  ws = NULL;
  if (what != CURL_POLL_REMOVE)
    {
      ws = talloc_zero (cr, struct watched_socket);
      ws->cr = cr;
      ws->fd = fd;
      tevent_add_fd (cr->ev, ws, fd, flags, on_socket_event, ws);
    }
  curl_multi_assign (cr->curl_multi, fd, ws);
  return 0;
}

static void
on_curl_timer (struct tevent_context *ev, struct tevent_timer *te,
               struct timeval now, void *arg)
{
  struct caller *cr = arg;
  int running;
  cr->curl_timer = NULL;
  curl_multi_socket_action (cr->curl_multi, CURL_SOCKET_TIMEOUT, 0, &running);
  handle_finished_transfers (cr);
}

static int
on_curl_timeout_change (CURLM *multi, long ms, void *arg)
{
  struct caller *cr = arg;
  TALLOC_FREE (cr->curl_timer);
  if (ms >= 0)
    cr->curl_timer = tevent_add_timer (cr->ev, cr, time_after_us (ms * 1000),
                                       on_curl_timer, cr);
  return 0;
}

/* Startup  */

static const char *const surge_kinds[]
    = { "query", "plan", "notice", "allocation", "report" };

static void
generate_trace (struct caller *cr)
{
  struct trace_kind kinds[5] = { 0 };
  for (int n = 0; n < 5; n++)
    kinds[n] = (struct trace_kind){
      .kind = surge_kinds[n],
      .caller_prefix = "caller",
      .caller_count = 20,
      .surge_turn = n,
      .rate_s = (double)cr->set.rate / 5,
      .service_us = cr->set.service_us,
      .deadline_ms = 2000,
      .body_bytes = 256,
      .once = strcmp (surge_kinds[n], "allocation") == 0,
    };
  trace_generate (cr, kinds, 5, 5, cr->set.seconds, cr->set.turn_ms, 5,
                  (unsigned)cr->set.seed, &cr->trace);
}

static int
init_caller (struct caller *cr)
{
  char *save;
  size_t line;
  for (char *entry = strtok_r (cr->set.entries, ",", &save);
       entry && cr->entry_count < MAX_ENTRIES;
       entry = strtok_r (NULL, ",", &save))
    cr->entries[cr->entry_count++] = entry;
  if (cr->entry_count == 0)
    return ERR_INVALID;
  if (!*cr->set.trace)
    generate_trace (cr);
  else
    {
      int err = trace_read (cr, cr->set.trace, &cr->trace, &line);
      if (err < 0)
        {
          fprintf (stderr,
                   "load_caller: %s: invalid trace at line %zu (0: cannot "
                   "open the file)\n",
                   cr->set.trace, line);
          return err;
        }
    }
  if (*cr->set.journal && !(cr->journal = fopen (cr->set.journal, "w")))
    return ERR_IO;
  summary_init (&cr->summary, cr, cr->trace.count * 2);
  cr->ev = tevent_context_init (cr);
  cr->timer_fd = timerfd_create (CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
  tevent_add_fd (cr->ev, cr, cr->timer_fd, TEVENT_FD_READ, on_send_timer, cr);
  cr->curl_multi = curl_multi_init ();
  curl_multi_setopt (cr->curl_multi, CURLMOPT_SOCKETFUNCTION,
                     on_curl_socket_change);
  curl_multi_setopt (cr->curl_multi, CURLMOPT_SOCKETDATA, cr);
  curl_multi_setopt (cr->curl_multi, CURLMOPT_TIMERFUNCTION,
                     on_curl_timeout_change);
  curl_multi_setopt (cr->curl_multi, CURLMOPT_TIMERDATA, cr);
  curl_multi_setopt (cr->curl_multi, CURLMOPT_MAXCONNECTS,
                     (long)cr->set.connections);
  return 0;
}

int
main (int argc, char **argv)
{
  signal (SIGPIPE, SIG_IGN);
  struct caller *cr = talloc_zero (NULL, struct caller);
  int err = options_parse (cr, "load_caller", options, argc - 1, argv + 1,
                           &cr->set, stdout, stderr);
  if (err != 0)
    return err < 0 ? 2 : 0;
  curl_global_init (CURL_GLOBAL_DEFAULT);
  err = init_caller (cr);
  if (err < 0)
    {
      fprintf (stderr, "load_caller: cannot start: %s\n", err_name (err));
      return 2;
    }
  cr->start_us = now_us ();
  struct timespec wall = clock_wall (&clock_system);
  cr->wall_offset_us
      = (int64_t)wall.tv_sec * 1000000 + wall.tv_nsec / 1000 - cr->start_us;
  start_due_requests (cr);
  while (cr->open_requests > 0 || cr->next_index < cr->trace.count)
    tevent_loop_once (cr->ev);

  cr->summary.elapsed_us = now_us () - cr->start_us;
  summary_print (&cr->summary, cr->set.json);
  err = cr->journal && fclose (cr->journal) != 0 ? 1 : 0;
  curl_multi_cleanup (cr->curl_multi);
  curl_global_cleanup ();
  talloc_free (cr);
  return err;
}
