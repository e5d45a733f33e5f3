#include <arpa/inet.h>
#include <check.h>
#include <endian.h>
#include <microhttpd.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <tevent.h>

#include "base/clock.h"
#include "base/err.h"
#include "breaking_peer.h"
#include "log_memory.h"
#include "proto/record.pb-c.h"
#include "silent_peer.h"
#include "store/append_queue.h"
#include "store/host_http.h"
#include "store/log_http.h"
#include "store/record.h"

#define WAIT_S 60

static struct tevent_context *ev;

static void
on_timeout (struct tevent_context *ctx, struct tevent_timer *te,
            struct timeval now, void *arg)
{
  ck_abort_msg ("no progress for %d s", WAIT_S);
}

static void
wait_for (const int *count, int want)
{
  struct tevent_timer *te = tevent_add_timer (
      ev, ev, tevent_timeval_current_ofs (WAIT_S, 0), on_timeout, NULL);
  while (*count < want)
    ck_assert_int_eq (tevent_loop_once (ev), 0);
  talloc_free (te);
}

static const struct record sample
    = { "e1", 7, 300, 5, (const uint8_t *)"some body", 9 };

/* Guards against a damaged record that decodes as another one: every flipped
   bit and every truncation must be detected.  */
START_TEST (test_record_damage)
{
  void *ctx = talloc_new (NULL);
  uint8_t *data;
  size_t len;
  struct record rec;
  void *storage;
  ck_assert_int_eq (record_encode (ctx, &sample, &data, &len), 0);
  ck_assert_int_eq (record_decode (ctx, data, len, &rec, &storage), 0);
  ck_assert_str_eq (rec.writer, "e1");
  ck_assert_uint_eq (rec.incarnation, 7);
  ck_assert_uint_eq (rec.sequence, 300);
  ck_assert_uint_eq (rec.expected_generation, 5);
  ck_assert_mem_eq (rec.body, "some body", 9);
  for (size_t bit = 0; bit < 8 * len; bit++)
    {
      data[bit / 8] ^= 1U << bit % 8;
      ck_assert_int_ne (record_decode (ctx, data, len, &rec, &storage), 0);
      ck_assert_ptr_null (storage);
      data[bit / 8] ^= 1U << bit % 8;
    }
  for (size_t cut = 0; cut < len; cut++)
    ck_assert_int_ne (record_decode (ctx, data, cut, &rec, &storage), 0);
  talloc_free (ctx);
}
END_TEST

static const struct
{
  uint32_t version;
  const char *writer;
  int flip; /* of the checksum */
  int err;
} envelopes[] = {
  { 0, "e1", 0, ERR_PROTOCOL },
  { RECORD_VERSION + 1, "e1", 0, ERR_CONFLICT },
  { RECORD_VERSION, "", 0, ERR_PROTOCOL },
  { RECORD_VERSION, "a\nb", 0, ERR_PROTOCOL },
  { RECORD_VERSION, "e1", 1, ERR_CHECKSUM },
};

/* Guards against an error that is reported as another one: a newer format
   version must not be reported as a damaged record.  */
START_TEST (test_record_errors)
{
  Kingcuphollow__Record msg = KINGCUPHOLLOW__RECORD__INIT;
  uint8_t buf[256];
  struct record rec;
  void *storage;
  msg.version = envelopes[_i].version;
  msg.writer = (char *)envelopes[_i].writer;
  msg.checksum = 99;
  size_t len = kingcuphollow__record__pack (&msg, buf);
  ck_assert_int_eq (record_decode (NULL, buf, len, &rec, &storage),
                    envelopes[_i].err);
}
END_TEST

static const struct
{
  unsigned int status; /* of the reply; 0: the connection is closed without a
                          reply */
  const char *body;
  const char *retry;
  enum append_status result;
  uint64_t offset;
  int64_t retry_after_ms;
} appends[] = {
  { 200, "{\"offset\":7,\"time_ms\":8}", NULL, APPEND_DONE, 7, 0 },
  { 200, "{\"offset\":7,\"time_ms\":", NULL, APPEND_UNKNOWN, 0, 0 },
  { 200, "{\"offset\":-7,\"time_ms\":8}", NULL, APPEND_UNKNOWN, 0, 0 },
  { 200, "{\"offset\":\"7\",\"time_ms\":8}", NULL, APPEND_UNKNOWN, 0, 0 },
  { 200, "", NULL, APPEND_UNKNOWN, 0, 0 },
  { 429, "", "120", APPEND_NOT_DONE, 0, 120 },
  { 429, "", "12x", APPEND_NOT_DONE, 0, 0 },
  { 413, "", NULL, APPEND_NOT_DONE, 0, 0 },
  { 503, "", NULL, APPEND_NOT_DONE, 0, 0 },
  { 500, "", NULL, APPEND_UNKNOWN, 0, 0 },
  { 404, "", NULL, APPEND_UNKNOWN, 0, 0 },
  { 0, "", NULL, APPEND_UNKNOWN, 0, 0 },
};

static const struct
{
  unsigned int status;
  const char *first;
  const char *next;
  uint64_t offsets[2];   /* of the records sent; UINT64_MAX: none */
  uint32_t declared_len; /* in the last record's header; 4 bytes are sent */
  int err;
  size_t count;
} reads[] = {
  { 200, "3", "12", { 10, 11 }, 4, 0, 2 },
  { 200, "3", "10", { UINT64_MAX, UINT64_MAX }, 4, 0, 0 },
  { 200, "0", "10", { UINT64_MAX, UINT64_MAX }, 4, 0, 0 },
  { 410, "30", "40", { UINT64_MAX, UINT64_MAX }, 4, ERR_EXPIRED, 0 },
  { 200, NULL, "12", { 10, 11 }, 4, ERR_PROTOCOL, 0 },
  { 200, "3", "12x", { 10, 11 }, 4, ERR_PROTOCOL, 0 },
  { 200, "3", "99999999999999999999", { 10, 11 }, 4, ERR_PROTOCOL, 0 },
  { 200, "13", "12", { 10, 11 }, 4, ERR_PROTOCOL, 0 },
  { 200, "3", "13", { 10, 12 }, 4, ERR_PROTOCOL, 0 },
  { 200, "3", "12", { 9, 10 }, 4, ERR_PROTOCOL, 0 },
  { 200, "3", "11", { 10, 11 }, 4, ERR_PROTOCOL, 0 },
  { 200, "3", "12", { 10, 11 }, 5, ERR_PROTOCOL, 0 },
  { 200, "3", "12", { 10, 11 }, 3, ERR_PROTOCOL, 0 },
  { 200, "3", "12", { 10, 11 }, 0xffffffffU, ERR_PROTOCOL, 0 },
  { 503, NULL, NULL, { UINT64_MAX, UINT64_MAX }, 4, ERR_UNAVAILABLE, 0 },
  { 404, NULL, NULL, { UINT64_MAX, UINT64_MAX }, 4, ERR_PROTOCOL, 0 },
};

static const char payload[4] = { 'a', 'b', 'c', 'd' };
static int current_row;
static bool reply_endless; /* the server sends a body that never ends */

static ssize_t
endless_body (void *arg, uint64_t pos, char *buf, size_t max)
{
  memset (buf, 'x', max);
  return (ssize_t)max;
}

static struct MHD_Response *
read_reply (void)
{
  uint8_t body[64];
  size_t len = 0;
  for (int n = 0; n < 2; n++)
    if (reads[current_row].offsets[n] != UINT64_MAX)
      {
        uint64_t offset = htobe64 (reads[current_row].offsets[n]);
        uint64_t time_ms = htobe64 (5000);
        uint32_t size = htobe32 (n == 1 ? reads[current_row].declared_len : 4);
        memcpy (body + len, &offset, 8);
        memcpy (body + len + 8, &time_ms, 8);
        memcpy (body + len + 16, &size, 4);
        memcpy (body + len + 20, payload, sizeof payload);
        len += 24;
      }
  struct MHD_Response *resp
      = MHD_create_response_from_buffer (len, body, MHD_RESPMEM_MUST_COPY);
  if (reads[current_row].first)
    MHD_add_response_header (resp, "X-First-Offset", reads[current_row].first);
  if (reads[current_row].next)
    MHD_add_response_header (resp, "x-next-offset", reads[current_row].next);
  return resp;
}

static enum MHD_Result
serve (void *arg, struct MHD_Connection *con, const char *url,
       const char *method, const char *version, const char *data, size_t *len,
       void **con_cls)
{
  static int request_started;
  if (!*con_cls || *len)
    {
      *con_cls = &request_started;
      *len = 0;
      return MHD_YES;
    }
  bool post = strcmp (method, "POST") == 0;
  unsigned int status
      = post ? appends[current_row].status : reads[current_row].status;
  struct MHD_Response *resp;
  if (status == 0)
    return MHD_NO;
  if (reply_endless)
    resp = MHD_create_response_from_callback (MHD_SIZE_UNKNOWN, 4096,
                                              endless_body, NULL, NULL);
  else if (post)
    {
      resp = MHD_create_response_from_buffer (
          strlen (appends[current_row].body),
          (char *)appends[current_row].body, MHD_RESPMEM_PERSISTENT);
      if (appends[current_row].retry)
        MHD_add_response_header (resp, "X-Retry-After-Ms",
                                 appends[current_row].retry);
    }
  else
    resp = read_reply ();
  enum MHD_Result res = MHD_queue_response (con, status, resp);
  MHD_destroy_response (resp);
  return res;
}

static struct MHD_Daemon *web;
static struct log_http lh;
static int replies;
static struct append_result append_res;
static struct read_result read_res;
static int hosts_err;

static void
on_append (void *arg, const struct append_result *res)
{
  append_res = *res;
  replies++;
}

static void
on_read (void *arg, const struct read_result *res)
{
  read_res = *res;
  for (size_t n = 0; n < res->count; n++)
    {
      ck_assert_uint_eq (res->records[n].offset,
                         reads[current_row].offsets[n]);
      ck_assert_int_eq (res->records[n].time_ms, 5000);
      ck_assert_mem_eq (res->records[n].data, payload, sizeof payload);
    }
  replies++;
}

static void
on_hosts (void *arg, const struct hosts_result *res)
{
  hosts_err = res->err;
  replies++;
}

static void
start_http (void)
{
  char address[32];
  struct log_http_settings set = log_http_settings_default;
  struct sockaddr_in addr = { .sin_family = AF_INET };
  addr.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  replies = 0;
  reply_endless = false;
  ev = tevent_context_init (NULL);
  web = MHD_start_daemon (MHD_USE_INTERNAL_POLLING_THREAD, 0, NULL, NULL,
                          serve, NULL, MHD_OPTION_SOCK_ADDR, &addr,
                          MHD_OPTION_END);
  ck_assert_ptr_nonnull (web);
  snprintf (address, sizeof address, "127.0.0.1:%u",
            MHD_get_daemon_info (web, MHD_DAEMON_INFO_BIND_PORT)->port);
  set.address = address;
  set.max_calls = 2;
  ck_assert_int_eq (log_http_init (&lh, ev, ev, &set), 0);
}

static void
stop_http (void)
{
  log_store_fini (&lh.st);
  talloc_free (ev);
  if (web)
    MHD_stop_daemon (web);
}

/* Guards against an append reported as done, or as certainly not done, without
   proof in the reply.  */
START_TEST (test_http_append)
{
  current_row = _i;
  start_http ();
  ck_assert_int_eq (
      log_store_append (&lh.st, "claims", (uint8_t *)"x", 1, on_append, NULL),
      0);
  ck_assert_int_eq (replies, 0);
  wait_for (&replies, 1);
  ck_assert_int_eq (append_res.status, appends[_i].result);
  ck_assert_uint_eq (append_res.offset, appends[_i].offset);
  ck_assert_int_eq (append_res.retry_after_ms, appends[_i].retry_after_ms);
  stop_http ();
}
END_TEST

/* Guards against an append that libcurl sends again by itself when a reused
   connection breaks: the 503 to the repeat says nothing about the first
   one.  */
START_TEST (test_http_append_broken)
{
  struct breaking_peer peer;
  struct log_http_settings set = log_http_settings_default;
  breaking_peer_start (&peer);
  replies = 0;
  ev = tevent_context_init (NULL);
  set.address = peer.address;
  set.max_calls = 1;
  ck_assert_int_eq (log_http_init (&lh, ev, ev, &set), 0);
  for (int n = 1; n <= 2; n++)
    {
      ck_assert_int_eq (log_store_append (&lh.st, "claims", (uint8_t *)"x", 1,
                                          on_append, NULL),
                        0);
      wait_for (&replies, n);
    }
  log_store_fini (&lh.st);
  talloc_free (ev);
  ck_assert_int_eq (breaking_peer_stop (&peer), 2);
  ck_assert_int_eq (append_res.status, APPEND_UNKNOWN);
}
END_TEST

#define IDLE_COUNT 4
#define SILENT_TIMEOUT_MS 300

static struct host_http hh;

static void
on_host (void *arg, const struct host_result *res)
{
  hosts_err = res->status == HOST_CALL_DONE ? 0 : ERR_UNAVAILABLE;
  replies++;
}

static void
read_hosts (const struct silent_peer *peer)
{
  ck_assert_int_eq (log_store_read_hosts (&lh.st, on_hosts, NULL), 0);
}

static void
read_health (const struct silent_peer *peer)
{
  const struct host_call call
      = { .op = HOST_OP_HEALTH, .address = peer->address };
  ck_assert_int_eq (host_api_call (&hh.api, &call, on_host, NULL), 0);
}

static void (*const silenced_calls[]) (const struct silent_peer *peer)
    = { read_hosts, read_health };

/* Guards against a view that grows old: a cut silences the idle connections
   for good, and one call after the other waited for its time-out on the next
   of them.  */
START_TEST (test_http_silenced)
{
  struct silent_peer peer;
  struct log_http_settings set = log_http_settings_default;
  struct host_http_settings host_set = host_http_settings_default;
  silent_peer_start (&peer);
  replies = 0;
  ev = tevent_context_init (NULL);
  set.address = host_set.address = peer.address;
  set.hosts_timeout_ms = host_set.call_timeout_ms = SILENT_TIMEOUT_MS;
  ck_assert_int_eq (log_http_init (&lh, ev, ev, &set), 0);
  ck_assert_int_eq (host_http_init (&hh, ev, ev, &host_set), 0);
  for (int n = 0; n < IDLE_COUNT; n++)
    silenced_calls[_i](&peer);
  wait_for (&replies, IDLE_COUNT);
  silent_peer_silence (&peer);
  silenced_calls[_i](&peer);
  wait_for (&replies, IDLE_COUNT + 1);
  ck_assert_int_ne (hosts_err, 0);
  for (int n = 1; n < IDLE_COUNT; n++)
    {
      silenced_calls[_i](&peer);
      wait_for (&replies, IDLE_COUNT + 1 + n);
      ck_assert_int_eq (hosts_err, 0);
    }
  ck_assert_int_eq (atomic_load (&peer.unanswered), 1);
  log_store_fini (&lh.st);
  host_api_fini (&hh.api);
  talloc_free (ev);
  silent_peer_stop (&peer);
}
END_TEST

/* Guards against accepting records from a damaged reply, or from one whose
   headers and records do not match the request.  */
START_TEST (test_http_read)
{
  current_row = _i;
  start_http ();
  ck_assert_int_eq (
      log_store_read (&lh.st, "claims", 10, 4096, 0, on_read, NULL), 0);
  wait_for (&replies, 1);
  ck_assert_int_eq (read_res.err, reads[_i].err);
  ck_assert_uint_eq (read_res.count, reads[_i].count);
  stop_http ();
}
END_TEST

/* Guards against memory use that grows with the size of the reply, against
   more calls in progress than max_calls, and against a refused connection that
   is reported as APPEND_UNKNOWN.  */
START_TEST (test_http_bounds)
{
  static uint8_t big[LOG_RECORD_MAX_BYTES + 1];
  current_row = 0;
  start_http ();
  struct log_store *st = &lh.st;
  ck_assert_int_eq (
      log_store_append (st, "a", big, sizeof big, on_append, NULL),
      ERR_TOO_LARGE);
  ck_assert_int_eq (log_store_append (st, "a/../b", big, 1, on_append, NULL),
                    ERR_INVALID);
  reply_endless = true;
  ck_assert_int_eq (log_store_append (st, "a", big, 1, on_append, NULL), 0);
  ck_assert_int_eq (log_store_read (st, "a", 0, 4096, 0, on_read, NULL), 0);
  ck_assert_int_eq (log_store_read_hosts (st, on_hosts, NULL), ERR_FULL);
  wait_for (&replies, 2);
  ck_assert_int_eq (append_res.status, APPEND_UNKNOWN);
  ck_assert_int_eq (read_res.err, ERR_PROTOCOL);
  ck_assert_int_eq (log_store_read_hosts (st, on_hosts, NULL), 0);
  wait_for (&replies, 3);
  ck_assert_int_eq (hosts_err, ERR_PROTOCOL);
  MHD_stop_daemon (web);
  web = NULL;
  ck_assert_int_eq (log_store_append (st, "a", big, 1, on_append, NULL), 0);
  wait_for (&replies, 4);
  ck_assert_int_eq (append_res.status, APPEND_NOT_DONE);
  stop_http ();
}
END_TEST

static struct log_memory mem;
static struct append_queue aq;
static struct clock_manual clk;
static char completion_order[16];
static int done;

static void
on_queued (void *arg, const struct append_result *res)
{
  completion_order[done++] = *(const char *)arg;
}

static int
fill_none (void *arg, const uint8_t **data, size_t *len)
{
  return ERR_NOT_FOUND;
}

static void
on_run_end (struct tevent_context *ctx, struct tevent_timer *te,
            struct timeval now, void *arg)
{
  *(bool *)arg = true;
}

/* Runs the event loop for 30 ms, longer than the timers of the queue under
   test.  */
static void
run_event_loop (void)
{
  bool over = false;
  tevent_add_timer (ev, ev, tevent_timeval_current_ofs (0, 30000), on_run_end,
                    &over);
  while (!over)
    tevent_loop_once (ev);
}

static void
add (enum append_priority prio, const char *stream, const char *name)
{
  ck_assert_int_eq (append_queue_add (&aq, prio, stream, (uint8_t *)name, 1,
                                      on_queued, (void *)name),
                    0);
}

/* Guards against exceeding the append rate, urgent appends queued behind
   bookkeeping ones, two appends in progress on one stream, and ignoring the
   wait that the log requested.  The clock advances only when the test sets
   it.  */
START_TEST (test_append_queue)
{
  struct append_queue_settings set = { 100, 2, 5, 20 };
  ev = tevent_context_init (NULL);
  log_memory_init (&mem, ev, ev);
  clock_manual_init (&clk, 0);
  done = 0;
  ck_assert_int_eq (append_queue_init (&aq, ev, &set, &mem.st, ev, &clk.clk),
                    0);
  mem.fault = FAULT_SLOW;
  add (APPEND_BOOKKEEPING, "s", "d");
  add (APPEND_URGENT, "s", "a");
  add (APPEND_URGENT, "s", "b");
  add (APPEND_BOOKKEEPING, "t", "c");
  ck_assert_int_eq (append_queue_add_deferred (&aq, APPEND_URGENT, "u",
                                               fill_none, on_queued, "n"),
                    0);
  ck_assert_int_eq (append_queue_add (&aq, APPEND_URGENT, "s", (uint8_t *)"f",
                                      1, on_queued, "f"),
                    ERR_FULL);
  run_event_loop ();
  ck_assert_uint_eq (mem.appends, 2);
  mem.fault = FAULT_NONE;
  log_memory_append_delayed (&mem);
  run_event_loop ();
  ck_assert_uint_eq (mem.appends, 2);
  clk.now_us += 10000;
  wait_for (&done, 4);
  run_event_loop ();
  ck_assert_uint_eq (mem.appends, 3);
  mem.fault = FAULT_NOT_DONE;
  mem.retry_after_ms = 100;
  clk.now_us += 20000;
  wait_for (&done, 5);
  ck_assert_mem_eq (completion_order, "nacbd", 5);
  mem.fault = FAULT_NONE;
  add (APPEND_URGENT, "s", "e");
  clk.now_us += 99000;
  run_event_loop ();
  ck_assert_int_eq (done, 5);
  clk.now_us += 1000;
  wait_for (&done, 6);
  append_queue_fini (&aq);
  log_store_fini (&mem.st);
  talloc_free (ev);
}
END_TEST

#define ROWS(table) (int)(sizeof (table) / sizeof *(table))

int
main (void)
{
  Suite *suite = suite_create ("store");
  TCase *tc = tcase_create ("store");
  tcase_set_timeout (tc, 2 * WAIT_S);
  tcase_add_test (tc, test_record_damage);
  tcase_add_loop_test (tc, test_record_errors, 0, ROWS (envelopes));
  tcase_add_loop_test (tc, test_http_append, 0, ROWS (appends));
  tcase_add_test (tc, test_http_append_broken);
  tcase_add_loop_test (tc, test_http_silenced, 0, ROWS (silenced_calls));
  tcase_add_loop_test (tc, test_http_read, 0, ROWS (reads));
  tcase_add_test (tc, test_http_bounds);
  tcase_add_test (tc, test_append_queue);
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed != 0;
}
