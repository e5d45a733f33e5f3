#include <check.h>
#include <string.h>
#include <talloc.h>

#include "base/clock.h"
#include "base/counter.h"
#include "base/err.h"
#include "platform/wire_store.h"
#include "silent_peer.h"
#include "store/follower.h"
#include "wire_server.h"

/* Tests of platform/wire_store.c against an HTTP server.  */

/* Of the values "v1" and "v2" in base64.  */
#define GOOD_ITEM_1 "{\"key\":\"a\",\"value\":\"djE=\",\"offset\":4}"
#define GOOD_ITEM_2 "{\"key\":\"p\",\"value\":\"djI=\",\"offset\":6}"

static struct wire_server srv;
static struct wire_store store;
static struct counters ctr;
static int done;
static char good[64]; /* key, value and offset of each usable record */
static int err;
static uint64_t end_offset;

static void
setup (void)
{
  wire_server_start (&srv);
  ck_assert_int_eq (wire_store_init (&store, srv.ev, &srv.cli, srv.address,
                                     &clock_system, &ctr),
                    0);
}

static void
teardown (void)
{
  wire_server_stop (&srv);
}

/* Notes the records whose values are those of the good items.  */
static void
on_records (void *arg, const struct topic_read_result *res)
{
  good[0] = '\0';
  for (size_t n = 0; n < res->count; n++)
    {
      const struct topic_record *rec = &res->records[n];
      if (rec->entry.value_len != 2 || rec->entry.value[0] != 'v')
        continue;
      char text[32];
      snprintf (text, sizeof text, "%.*s=%.2s@%d ", (int)rec->entry.key_len,
                rec->entry.key, (const char *)rec->entry.value,
                (int)rec->offset);
      strncat (good, text, sizeof good - strlen (good) - 1);
    }
  err = res->err;
  end_offset = res->end_offset;
  done = 1;
}

static void
read_newest (const char *body, size_t len)
{
  srv.body = (const uint8_t *)body;
  srv.body_len = len;
  done = 0;
  ck_assert_int_eq (
      topic_read_newest (&store.st, "t", 0, NULL, 0, on_records, NULL), 0);
  wire_server_await (&srv, &done);
}

/* Guards against a process that stops following the workers' entries: one item
   that another writer made, and that cannot be read, used to make the whole
   page invalid, and the page was requested again and again.  */
START_TEST (test_odd_item)
{
  static const char *const items[] = {
    "0",
    "null",
    "\"x\"",
    "[]",
    "{}",
    "{\"key\":\"o\"}",
    /* A key of other types, and one with a NUL.  */
    "{\"key\":5,\"value\":\"eA==\",\"offset\":5}",
    "{\"key\":\"o\\u0000x\",\"value\":\"\",\"offset\":5}",
    "{\"key\":\"\",\"value\":\"\",\"offset\":5}",
    /* Not UTF-8: a lone byte, an overlong form and half a surrogate pair.  */
    "{\"key\":\"o\xff\",\"value\":\"eA==\",\"offset\":5}",
    "{\"key\":\"o\xc0\x80\",\"value\":\"eA==\",\"offset\":5}",
    "{\"key\":\"o\\ud800\",\"value\":\"eA==\",\"offset\":5}",
    /* Numbers out of range.  */
    "{\"key\":\"o\",\"value\":\"eA==\",\"offset\":99999999999999999999}",
    "{\"key\":\"o\",\"value\":\"eA==\",\"offset\":-99999999999999999999}",
    "{\"key\":\"o\",\"value\":\"eA==\",\"offset\":1e400}",
    "{\"key\":\"o\",\"value\":\"eA==\",\"offset\":-1}",
    "{\"key\":\"o\",\"value\":\"eA==\",\"offset\":1.5}",
    "{\"key\":\"o\",\"value\":\"eA==\",\"offset\":\"5\"}",
    /* Values that are not base64, or not text.  */
    "{\"key\":\"o\",\"value\":\"*\",\"offset\":5}",
    "{\"key\":\"o\",\"value\":\"eA\",\"offset\":5}",
    "{\"key\":\"o\",\"value\":\"=\",\"offset\":5}",
    "{\"key\":\"o\",\"value\":7,\"offset\":5}",
    "{\"key\":\"o\",\"value\":{\"]\":\"\\\"}\"},\"offset\":5}",
    "{\"key\":\"o\",\"key\":\"o\",\"value\":\"eA==\"}",
  };
  for (size_t n = 0; n < sizeof items / sizeof *items; n++)
    {
      char *body
          = talloc_asprintf (srv.ev,
                             "{\"items\":[" GOOD_ITEM_1 ",%s," GOOD_ITEM_2 "],"
                             "\"has-more\":false,\"end\":9}",
                             items[n]);
      read_newest (body, strlen (body));
      ck_assert_msg (err == 0, "error %d: %s", err, items[n]);
      ck_assert_msg (strcmp (good, "a=v1@4 p=v2@6 ") == 0, "%s: %s", good,
                     items[n]);
      ck_assert_uint_eq (end_offset, 9);
    }
}
END_TEST

/* Guards against an item that is nested so deeply that the parser rejects the
   page, or that the stack does not suffice for.  */
START_TEST (test_deeply_nested_item)
{
  static const size_t depths[]
      = { 10, 1000, 2044, 2045, 2046, 2047, 2048, 5000, 200000 };
  for (size_t n = 0; n < sizeof depths / sizeof *depths; n++)
    {
      size_t depth = depths[n];
      char *nested = talloc_zero_size (srv.ev, 2 * depth + 1);
      memset (nested, '[', depth);
      memset (nested + depth, ']', depth);
      char *body
          = talloc_asprintf (srv.ev,
                             "{\"items\":[" GOOD_ITEM_1
                             ",{\"key\":\"o\",\"value\":%s}," GOOD_ITEM_2
                             "],\"has-more\":false,\"end\":9}",
                             nested);
      read_newest (body, strlen (body));
      ck_assert_msg (err == 0, "error %d at depth %zu", err, depth);
      ck_assert_str_eq (good, "a=v1@4 p=v2@6 ");
      talloc_free (nested);
      talloc_free (body);
    }
}
END_TEST

/* Guards against a page that is taken as empty although it cannot be read as a
   whole: the records behind it would be missed.  */
START_TEST (test_unreadable_page)
{
  static const char *const bodies[] = {
    "",
    "[]",
    "{",
    "{\"items\":[",
    "{\"items\":5,\"end\":9}",
    "{\"items\":[{\"key\":\"a],\"end\":9}",
    "{\"items\":[]} x",
    "{\"items\":[],\"end\":99999999999999999999}",
  };
  for (size_t n = 0; n < sizeof bodies / sizeof *bodies; n++)
    {
      read_newest (bodies[n], strlen (bodies[n]));
      ck_assert_msg (err == ERR_PROTOCOL, "error %d: %s", err, bodies[n]);
    }
}
END_TEST

/* Guards against a malformed response to a read in order that crashes the
   process, and against a record without a key that hides those behind it.  */
START_TEST (test_read_in_order)
{
#define HEADER "\0\0\0\0\0\0\0\x09\0\0\0\0\0\0\0\0"
#define GOOD_RECORD "\0\0\0\x04\x01pv2"
  static const struct
  {
    const char *body;
    size_t len;
    int err;
    const char *good;
  } cases[] = {
#define CASE(text, want_err, want) { text, sizeof text - 1, want_err, want }
    CASE (HEADER GOOD_RECORD, 0, "p=v2@4 "),
    CASE ("\0\0\0", ERR_PROTOCOL, ""),
    /* An empty record, a key longer than its record, a key without a value and
       an empty key.  */
    CASE (HEADER "\0\0\0\0" GOOD_RECORD, 0, "p=v2@5 "),
    CASE (HEADER "\0\0\0\x02\x09k" GOOD_RECORD, 0, "p=v2@5 "),
    CASE (HEADER "\0\0\0\x02\x01k" GOOD_RECORD, 0, "p=v2@5 "),
    CASE (HEADER "\0\0\0\x02\0w" GOOD_RECORD, 0, "p=v2@5 "),
    CASE (HEADER "\0\0\0\x05\x03o\0xw" GOOD_RECORD, 0, "p=v2@5 "),
    /* Truncated records.  */
    CASE (HEADER GOOD_RECORD "\xff\xff\xff\xff\x01", 0, "p=v2@4 "),
    CASE (HEADER GOOD_RECORD "\0\0", 0, "p=v2@4 "),
#undef CASE
  };
  for (size_t n = 0; n < sizeof cases / sizeof *cases; n++)
    {
      srv.body = (const uint8_t *)cases[n].body;
      srv.body_len = cases[n].len;
      done = 0;
      ck_assert_int_eq (
          topic_read (&store.st, "t", 0, 4, 1024, 0, 0, on_records, NULL), 0);
      wire_server_await (&srv, &done);
      ck_assert_msg (err == cases[n].err, "case %zu: error %d", n, err);
      ck_assert_msg (strcmp (good, cases[n].good) == 0, "case %zu: %s", n,
                     good);
    }
}
END_TEST

#define KEYS_MAX 4
#define REQUESTS_MAX 40

/* A key of the store, and its form in JSON.  */
struct key
{
  const char *bytes;
  size_t len;
  const char *json;
};

static const struct key *keys; /* sorted */
static size_t page_items;
static int requests;
static int reads_in_order;

/* Responds as the store does, with pages of PAGE_ITEMS items.  */
static char *
respond_page (void *parent, const char *url, const char *after,
              size_t after_len, size_t *len)
{
  requests++;
  if (strcmp (url, "/v1/log-read") == 0)
    {
      reads_in_order++;
      *len = 16;
      char *body = talloc_zero_size (parent, *len);
      body[7] = 9;
      return body;
    }
  char *body = talloc_strdup (parent, "{\"items\":[");
  size_t first = 0;
  while (after && first < KEYS_MAX && keys[first].json)
    {
      const struct key *key = &keys[first];
      int diff = memcmp (key->bytes, after,
                         key->len < after_len ? key->len : after_len);
      if (diff > 0 || (diff == 0 && key->len > after_len))
        break;
      first++;
    }
  size_t next = first;
  for (; next < first + page_items && next < KEYS_MAX && keys[next].json;
       next++)
    body = talloc_asprintf_append (
        body, "%s{\"key\":\"%s\",\"value\":\"djE=\",\"offset\":4}",
        next > first ? "," : "", keys[next].json);
  bool more = next < KEYS_MAX && keys[next].json;
  body = talloc_asprintf_append (body, "],\"has-more\":%s,\"end\":9}",
                                 more ? "true" : "false");
  *len = strlen (body);
  return body;
}

static void
on_followed (void *arg, const struct topic_record *rec)
{
  if (rec->entry.key_len == 1 && strlen (good) < sizeof good - 1)
    strncat (good, rec->entry.key, 1);
}

static void
on_batch (void *arg)
{
}

/* Guards against a follower that requests the same page again and again
   without a pause, and never gets to the entries behind it, because the page
   ends with the key of another writer: an empty one, one with a NUL, one that
   is longer than the request's buffer, or one that cannot be read.  */
START_TEST (test_page_ends_with_odd_key)
{
#define KEY(text)                                                             \
  {                                                                           \
    text, sizeof text - 1, text                                               \
  }
#define E_ACUTE "\xc3\xa9"
#define TEN(text) text text text text text text text text text text
#define LONG_KEY TEN (TEN (E_ACUTE)) TEN (E_ACUTE) TEN (E_ACUTE)
  static const struct
  {
    struct key keys[KEYS_MAX];
    size_t page_items;
    const char *good; /* keys that have to be delivered */
  } cases[] = {
    { { KEY ("a"), KEY ("b"), KEY ("z") }, 1, "abz" },
    { { KEY (""), KEY ("a"), KEY ("z") }, 1, "az" },
    { { { "\0", 1, "\\u0000" }, KEY ("a"), KEY ("z") }, 1, "az" },
    { { KEY ("a"), { "o\0x", 3, "o\\u0000x" }, KEY ("z") }, 1, "az" },
    { { KEY ("a"), KEY ("o%&=+ #/x"), KEY ("z") }, 1, "az" },
    { { KEY ("A"), KEY ("B" LONG_KEY), KEY ("z") }, 1, "Az" },
    { { KEY ("a"), KEY ("o\xff"), KEY ("z") }, 2, "az" },
    /* A page without any readable key cannot be continued; the entries behind
       it are read in order, as their writers repeat them.  */
    { { KEY ("a"), KEY ("o\xff"), KEY ("z") }, 1, "a" },
    { { KEY ("\xff"), KEY ("\xffz") }, 1, "" },
  };
  for (size_t n = 0; n < sizeof cases / sizeof *cases; n++)
    {
      struct follower fol;
      const struct follower_settings set
          = { .topic = "t", .batch_delay_ms = 1, .wait_ms = 1000 };
      keys = cases[n].keys;
      page_items = cases[n].page_items;
      good[0] = '\0';
      requests = reads_in_order = 0;
      srv.respond = respond_page;
      ck_assert_int_eq (follower_init (&fol, srv.ev, &store.st, srv.ev,
                                       &clock_system, &set, on_followed,
                                       on_batch, NULL),
                        0);
      while (!reads_in_order && requests < REQUESTS_MAX)
        tevent_loop_once (srv.ev);
      ck_assert_msg (reads_in_order, "case %zu: %d requests, read %s", n,
                     requests, good);
      ck_assert_msg (strcmp (good, cases[n].good) == 0, "case %zu: read %s", n,
                     good);
      follower_fini (&fol);
    }
}
END_TEST

/* A response that comes has much longer than it takes beside load.  */
#define READ_TIMEOUT_MS 2000

static struct topic_call last_call;

static void
on_call (void *arg, const struct topic_read_result *res)
{
  last_call = res->call;
  err = res->err;
  done = 1;
}

static void
read_from (struct topic_store *st)
{
  done = 0;
  ck_assert_int_eq (
      topic_read (st, "t", 0, 4, 1024, 0, READ_TIMEOUT_MS, on_call, NULL), 0);
  wire_server_await (&srv, &done);
}

static const struct
{
  bool reuse;
  bool silence;
  const char *partial; /* what a silenced connection still sends */
  bool stop;           /* the peer, before the call */
  enum topic_call_outcome outcome;
} call_outcomes[] = {
  { false, false, NULL, false, TOPIC_CALL_ANSWERED },
  { true, false, NULL, false, TOPIC_CALL_ANSWERED },
  { true, true, NULL, false, TOPIC_CALL_NO_RESPONSE },
  { true, true, "HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\nx", false,
    TOPIC_CALL_PARTLY_RECEIVED },
  { false, false, NULL, true, TOPIC_CALL_NOT_CONNECTED },
};

/* Guards against an incident whose log does not tell what a call to the store
   waited for, and against a reader that takes a silenced connection for
   something else.  */
START_TEST (test_call_outcomes)
{
  struct silent_peer peer;
  struct wire_store other;
  silent_peer_start (&peer);
  peer.partial = call_outcomes[_i].partial;
  ck_assert_int_eq (wire_store_init (&other, srv.ev, &srv.cli, peer.address,
                                     &clock_system, &ctr),
                    0);
  if (call_outcomes[_i].reuse)
    read_from (&other.st);
  if (call_outcomes[_i].silence)
    silent_peer_silence (&peer);
  if (call_outcomes[_i].stop)
    silent_peer_stop (&peer);
  read_from (&other.st);
  ck_assert_int_eq (last_call.outcome, call_outcomes[_i].outcome);
  ck_assert_int_eq (err != 0,
                    call_outcomes[_i].outcome != TOPIC_CALL_ANSWERED);
  ck_assert_int_eq (last_call.reused, call_outcomes[_i].reuse);
  ck_assert_int_eq (last_call.connect_us > 0,
                    !call_outcomes[_i].reuse && !call_outcomes[_i].stop);
  if (call_outcomes[_i].silence)
    ck_assert_int_ge (last_call.waited_us, READ_TIMEOUT_MS * 1000);
  if (!call_outcomes[_i].stop)
    silent_peer_stop (&peer);
}
END_TEST

/* The same for a response that rejects the call.  */
START_TEST (test_rejected_call_outcome)
{
  srv.status = 503;
  srv.body = (const uint8_t *)"";
  read_from (&store.st);
  ck_assert_int_eq (last_call.outcome, TOPIC_CALL_REJECTED);
  ck_assert_int_eq (err, ERR_UNAVAILABLE);
}
END_TEST

static enum topic_append_status append_status;
static uint64_t append_expected;

static void
on_append (void *arg, const struct topic_append_result *res)
{
  append_status = res->status;
  append_expected = res->expected_sequence;
  done = 1;
}

/* Guards against an append that is taken for not done (REFUSED), or for done
   (LOST), on a response which does not say so.  Of a sequence number that the
   store expects, none may be made up.  */
static const struct append_answer
{
  unsigned int status;
  const char *body;
  enum topic_append_status result;
  uint64_t expected;
} append_answers[] = {
  { 200, "{\"offset\":1,\"end\":2}", TOPIC_APPENDED, 0 },
  { 200, "{\"offset\":0,\"end\":2}", TOPIC_APPENDED, 0 },
  { 200, "{\"end\":2}", TOPIC_UNKNOWN, 0 },
  { 200, "{\"offset\":\"1\",\"end\":2}", TOPIC_UNKNOWN, 0 },
  { 200, "{\"offset\":-1,\"end\":2}", TOPIC_UNKNOWN, 0 },
  { 200, "{\"offset\":1,\"en", TOPIC_UNKNOWN, 0 },
  { 200, "[1]", TOPIC_UNKNOWN, 0 },
  { 200, "", TOPIC_UNKNOWN, 0 },
  { 202, "{\"offset\":1,\"end\":2}", TOPIC_UNKNOWN, 0 },
  { 400, "{}", TOPIC_REJECTED, 0 },
  { 403, "{}", TOPIC_REJECTED, 0 },
  { 408, "{}", TOPIC_UNKNOWN, 0 },
  { 409, "{\"reason\":\"seq\",\"sequence\":7}", TOPIC_SEQUENCE_MISMATCH, 7 },
  { 409, "{\"reason\":\"seq\",\"sequence\":0}", TOPIC_SEQUENCE_MISMATCH, 0 },
  { 409, "{\"reason\":\"seq\"}", TOPIC_SEQUENCE_MISMATCH,
    TOPIC_SEQUENCE_NONE },
  { 409, "{\"reason\":\"seq\",\"sequence\":\"7\"}", TOPIC_SEQUENCE_MISMATCH,
    TOPIC_SEQUENCE_NONE },
  { 409, "{\"reason\":\"fenced\"}", TOPIC_FENCED, 0 },
  { 409, "{\"offset\":1,\"end\":2}", TOPIC_UNKNOWN, 0 },
  { 409, "{\"reason\":\"se", TOPIC_UNKNOWN, 0 },
  { 409, "", TOPIC_UNKNOWN, 0 },
  { 412, "{\"end\":2}", TOPIC_END_MISMATCH, 0 },
  { 429, "", TOPIC_REJECTED, 0 },
  { 500, "", TOPIC_UNKNOWN, 0 },
  { 502, "", TOPIC_UNKNOWN, 0 },
  { 503, "", TOPIC_REJECTED, 0 },
  { 504, "", TOPIC_UNKNOWN, 0 },
  { 507, "", TOPIC_FULL, 0 },
};

START_TEST (test_append_status)
{
  const struct append_answer *it = &append_answers[_i];
  const struct topic_entry ent = {
    .key = "k", .key_len = 1, .value = (const uint8_t *)"v", .value_len = 1
  };
  const struct topic_append app
      = { .topic = "t", .producer = "p", .entries = &ent, .count = 1 };
  srv.body = (const uint8_t *)it->body;
  srv.body_len = strlen (it->body);
  srv.status = it->status;
  done = 0;
  ck_assert_int_eq (topic_append (&store.st, &app, on_append, NULL), 0);
  wire_server_await (&srv, &done);
  ck_assert_int_eq (append_status, it->result);
  if (it->result == TOPIC_SEQUENCE_MISMATCH)
    ck_assert_uint_eq (append_expected, it->expected);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("wire_store");
  TCase *tc = tcase_create ("wire_store");
  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_set_timeout (tc, 60);
  tcase_add_loop_test (tc, test_append_status, 0,
                       sizeof append_answers / sizeof *append_answers);
  tcase_add_loop_test (tc, test_call_outcomes, 0,
                       sizeof call_outcomes / sizeof *call_outcomes);
  tcase_add_test (tc, test_rejected_call_outcome);
  tcase_add_test (tc, test_odd_item);
  tcase_add_test (tc, test_deeply_nested_item);
  tcase_add_test (tc, test_unreadable_page);
  tcase_add_test (tc, test_read_in_order);
  tcase_add_test (tc, test_page_ends_with_odd_key);
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed != 0;
}
