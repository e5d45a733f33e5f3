#include <check.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "base/err.h"
#include "platform/wire_decode.h"

/* Tests of the decoders of records that other writers make.  */

/* Members of a worker's entry, between the braces.  */
#define SERVICE "\"service\":\"huvo11a\","
#define ADDRESS "\"address\":\"10.1.0.9:8080\","
#define ZONE "\"zone\":\"a\","
#define VERSION "\"version\":\"v1\","
#define SLOTS "\"slots\":8,"
#define STATE "\"state\":\"ready\","
#define SEQUENCE "\"sequence\":4,"
#define COLD "\"cold-left-ms\":0,"
#define BORN "\"born\":1791221337267,"
#define CAPACITY "\"capacity\":{\"cpu\":16000,\"mem-mb\":32768,\"gpu\":0},"
#define LABELS "\"labels\":[\"a\",\"r1-3\"],"
#define MACHINE "\"machine\":\"m-4fd0e\","
#define CLOCK "\"clock-ms\":482113"
#define UP_TO_ZONE SERVICE ADDRESS ZONE
#define AFTER_STATE SEQUENCE COLD BORN CAPACITY LABELS MACHINE CLOCK
#define AFTER_ADDRESS ZONE VERSION SLOTS STATE AFTER_STATE
#define TEN(text) text text text text text text text text text text
#define ENTRY "{" SERVICE ADDRESS AFTER_ADDRESS "}"

static struct worker_report rep;
static const char *fault;
/* Results for nested entries.  */
static int results[6][2];

static int
decode (const char *id, size_t id_len, const char *json)
{
  return wire_decode_worker (id, id_len, (const uint8_t *)json, strlen (json),
                             &rep, &fault);
}

/* Guards against an entry of a worker that is not accepted.  */
START_TEST (test_worker_entry)
{
  static const char *const entries[] = {
    ENTRY,
    /* Of an earlier version of the workers; and unknown members.  */
    "{" SERVICE ADDRESS ZONE VERSION SLOTS STATE SEQUENCE COLD CAPACITY LABELS
        CLOCK "}",
    "{\"x\":[[{}]]," SERVICE ADDRESS AFTER_ADDRESS "}",
    "{" SERVICE ADDRESS ZONE VERSION SLOTS "\"state\":\"draining\","
    "\"drain-remaining-ms\":1999.5," AFTER_STATE "}",
    "{" SERVICE "\"address\":\"node-1.example:1\"," AFTER_ADDRESS "}",
    "{" SERVICE "\"address\":\"[fd00::1]:65535\"," AFTER_ADDRESS "}",
  };
  for (size_t n = 0; n < sizeof entries / sizeof *entries; n++)
    ck_assert_msg (decode ("i-7f3a91c2", 10, entries[n]) == 0, "%s: %s", fault,
                   entries[n]);
  ck_assert_int_eq (decode ("i-7f3a91c2", 10, ENTRY), 0);
  ck_assert_str_eq (rep.id, "i-7f3a91c2");
  ck_assert_str_eq (rep.pool, "huvo11a");
  ck_assert_str_eq (rep.address, "10.1.0.9:8080");
  ck_assert_str_eq (rep.host, "m-4fd0e");
  ck_assert_str_eq (rep.rack, "r1-3");
  ck_assert_int_eq (rep.capacity.cpu_milli, 16000);
  ck_assert_int_eq (rep.born_ms, 1791221337267);
  ck_assert_int_eq (rep.clock_ms, 482113);
  ck_assert (!rep.draining);
}
END_TEST

/* Guards against the use of an entry that another writer made.  Its calls fail
   for good, a new owner waits in vain for its answer, and numbers out of range
   overflow in the placer.  */
START_TEST (test_odd_worker_entry)
{
  static const struct
  {
    const char *fault;
    const char *json;
  } cases[] = {
    { "value", "" },
    { "value", "?" },
    { "value", "null" },
    { "value", "7" },
    { "value", "[" ENTRY "]" },
    { "value", ENTRY "x" },
    { "value", "{" SERVICE ADDRESS AFTER_ADDRESS },
    { "value", "{\"x\":\"\xff\"," SERVICE ADDRESS AFTER_ADDRESS "}" },
    { "value", "{\"x\":\"\\u0000\"," SERVICE ADDRESS AFTER_ADDRESS "}" },
    { "value",
      "{\"x\":99999999999999999999," SERVICE ADDRESS AFTER_ADDRESS "}" },
    { "value", "{\"x\":1e400," SERVICE ADDRESS AFTER_ADDRESS "}" },
    { "value", "{" SERVICE SERVICE ADDRESS AFTER_ADDRESS "}" },
    { "service", "{}" },
    { "service", "{" ADDRESS AFTER_ADDRESS "}" },
    { "service", "{\"service\":\"\"," ADDRESS AFTER_ADDRESS "}" },
    { "service", "{\"service\":[\"huvo11a\"]," ADDRESS AFTER_ADDRESS "}" },
    { "service",
      "{\"service\":\"" TEN (TEN ("p")) "\"," ADDRESS AFTER_ADDRESS "}" },
    { "zone", "{" SERVICE ADDRESS VERSION SLOTS STATE AFTER_STATE "}" },
    { "zone",
      "{" SERVICE ADDRESS "\"zone\":1," VERSION SLOTS STATE AFTER_STATE "}" },
    { "version", "{" UP_TO_ZONE SLOTS STATE AFTER_STATE "}" },
    { "version", "{" UP_TO_ZONE "\"version\":1," SLOTS STATE AFTER_STATE "}" },
    { "slots", "{" UP_TO_ZONE VERSION STATE AFTER_STATE "}" },
    { "slots",
      "{" UP_TO_ZONE VERSION "\"slots\":\"8\"," STATE AFTER_STATE "}" },
    { "slots", "{" UP_TO_ZONE VERSION "\"slots\":-1," STATE AFTER_STATE "}" },
    { "slots", "{" UP_TO_ZONE VERSION
               "\"slots\":9223372036854775807," STATE AFTER_STATE "}" },
    { "state", "{" UP_TO_ZONE VERSION SLOTS AFTER_STATE "}" },
    { "state",
      "{" UP_TO_ZONE VERSION SLOTS "\"state\":\"resting\"," AFTER_STATE "}" },
    { "state",
      "{" UP_TO_ZONE VERSION SLOTS "\"state\":true," AFTER_STATE "}" },
    { "sequence", "{" UP_TO_ZONE VERSION SLOTS STATE COLD BORN CAPACITY LABELS
                      MACHINE CLOCK "}" },
    { "sequence",
      "{" UP_TO_ZONE VERSION SLOTS STATE
      "\"sequence\":{}," COLD BORN CAPACITY LABELS MACHINE CLOCK "}" },
    { "cold-left-ms",
      "{" UP_TO_ZONE VERSION SLOTS STATE SEQUENCE
      "\"cold-left-ms\":-5," BORN CAPACITY LABELS MACHINE CLOCK "}" },
    { "born",
      "{" UP_TO_ZONE VERSION SLOTS STATE SEQUENCE COLD
      "\"born\":\"1791221337267\"," CAPACITY LABELS MACHINE CLOCK "}" },
    { "born", "{" UP_TO_ZONE VERSION SLOTS STATE SEQUENCE COLD
              "\"born\":-1," CAPACITY LABELS MACHINE CLOCK "}" },
    { "born", "{" UP_TO_ZONE VERSION SLOTS STATE SEQUENCE COLD
              "\"born\":1791221337267.5," CAPACITY LABELS MACHINE CLOCK "}" },
    { "born",
      "{" UP_TO_ZONE VERSION SLOTS STATE SEQUENCE COLD
      "\"born\":9000000000000000000," CAPACITY LABELS MACHINE CLOCK "}" },
    { "clock-ms", "{" UP_TO_ZONE VERSION SLOTS STATE SEQUENCE COLD BORN
                      CAPACITY LABELS MACHINE "\"clock-ms\":1e300}" },
    { "clock-ms", "{" UP_TO_ZONE VERSION SLOTS STATE SEQUENCE COLD BORN
                      CAPACITY LABELS MACHINE "\"clock-ms\":-1}" },
    { "drain-remaining-ms",
      "{\"drain-remaining-ms\":\"soon\"," SERVICE ADDRESS AFTER_ADDRESS "}" },
    { "machine",
      "{" UP_TO_ZONE VERSION SLOTS STATE SEQUENCE COLD BORN CAPACITY LABELS
      "\"machine\":5," CLOCK "}" },
    { "cpu", "{" UP_TO_ZONE VERSION SLOTS STATE SEQUENCE COLD BORN LABELS
                 MACHINE CLOCK "}" },
    { "cpu", "{" UP_TO_ZONE VERSION SLOTS STATE SEQUENCE COLD BORN
             "\"capacity\":[16000,32768]," LABELS MACHINE CLOCK "}" },
    { "cpu",
      "{" UP_TO_ZONE VERSION SLOTS STATE SEQUENCE COLD BORN
      "\"capacity\":{\"cpu\":1e300,\"mem-mb\":1}," LABELS MACHINE CLOCK "}" },
    { "mem-mb",
      "{" UP_TO_ZONE VERSION SLOTS STATE SEQUENCE COLD BORN
      "\"capacity\":{\"cpu\":1,\"mem-mb\":9223372036854775807}," LABELS MACHINE
          CLOCK "}" },
    { "mem-mb",
      "{" UP_TO_ZONE VERSION SLOTS STATE SEQUENCE COLD BORN
      "\"capacity\":{\"cpu\":1,\"mem-mb\":-1}," LABELS MACHINE CLOCK "}" },
    { "gpu",
      "{" UP_TO_ZONE VERSION SLOTS STATE SEQUENCE COLD BORN
      "\"capacity\":{\"cpu\":1,\"mem-mb\":1,\"gpu\":null}," LABELS MACHINE
          CLOCK "}" },
    { "labels", "{" UP_TO_ZONE VERSION SLOTS STATE SEQUENCE COLD BORN CAPACITY
                    MACHINE CLOCK "}" },
    { "labels", "{" UP_TO_ZONE VERSION SLOTS STATE SEQUENCE COLD BORN CAPACITY
                "\"labels\":\"a\"," MACHINE CLOCK "}" },
    { "labels", "{" UP_TO_ZONE VERSION SLOTS STATE SEQUENCE COLD BORN CAPACITY
                "\"labels\":[1,\"r1-3\"]," MACHINE CLOCK "}" },
  };
  for (size_t n = 0; n < sizeof cases / sizeof *cases; n++)
    {
      ck_assert_msg (decode ("w", 1, cases[n].json) == ERR_PROTOCOL, "%s: %s",
                     cases[n].fault, cases[n].json);
      ck_assert_msg (strcmp (fault, cases[n].fault) == 0, "%s: %s", fault,
                     cases[n].json);
    }
}
END_TEST

/* Guards against calls to an address that no call can reach, or that is not
   the one that it looks like.  */
START_TEST (test_odd_worker_address)
{
  static const char *const addresses[] = {
    "",
    ":",
    ":80",
    "h",
    "h:",
    "h:0",
    "h:00",
    "h:65536",
    "h:99999",
    "h:4294967376",
    "h:-1",
    "h:+80",
    "h: 80",
    "h:80x",
    "h:80/",
    "h:80:80",
    "http://h:80",
    "user@h:80",
    "a b:80",
    "h/x:80",
    "h?x:80",
    "h#x:80",
    "\\n:80",
    "h\\r\\nX-Y: z:80",
    "h%41:80",
    "\xc3\xa9:80",
    "fd00::1:80",
    "[fd00::1]",
    "[fd00::1:80",
    "[]:80x",
    "[h]:80",
    TEN (TEN ("h")) ":80",
  };
  for (size_t n = 0; n < sizeof addresses / sizeof *addresses; n++)
    {
      char json[1024];
      snprintf (json, sizeof json,
                "{" SERVICE "\"address\":\"%s\"," AFTER_ADDRESS "}",
                addresses[n]);
      ck_assert_msg (decode ("w", 1, json) == ERR_PROTOCOL, "%s",
                     addresses[n]);
      ck_assert_str_eq (fault, "address");
    }
}
END_TEST

/* Guards against a key that passes for the id of another worker once it is cut
   off at a NUL, or that adds a header to the commands.  */
START_TEST (test_odd_worker_key)
{
  static const struct
  {
    const char *key;
    size_t len;
  } cases[] = {
    { "", 0 },
    { "w1\0x", 4 },
    { "\0", 1 },
    { "w1\r\nFencing-Token: 9", 20 },
    { "w 1", 3 },
    { "w1\x7f", 3 },
    { "w\xc3\xa9", 3 },
    { "w\xff", 2 },
    { "0123456789012345678901234567890123456789012345678901234567890123", 64 },
  };
  for (size_t n = 0; n < sizeof cases / sizeof *cases; n++)
    {
      ck_assert_msg (decode (cases[n].key, cases[n].len, ENTRY)
                         == ERR_PROTOCOL,
                     "case %zu", n);
      ck_assert_str_eq (fault, "key");
    }
}
END_TEST

/* Guards against a wave that takes all its hosts down at once, or that never
   ends, because a number in it is odd.  */
START_TEST (test_odd_wave)
{
#define MACHINES "\"machines\":[\"m-1\",\"m-2\"],"
  static const char *const waves[] = {
    "",
    "[]",
    "{\"wave\":1,\"duration-s\":20,\"cap\":1}",
    "{\"wave\":1,\"machines\":5,\"duration-s\":20,\"cap\":1}",
    "{\"wave\":1,\"machines\":[5],\"duration-s\":20,\"cap\":1}",
    "{\"wave\":1,\"machines\":[\"" TEN (
        TEN ("m")) "\"],\"duration-s\":20,\"cap\":1}",
    "{" MACHINES "\"duration-s\":20,\"cap\":1}",
    "{\"wave\":-1," MACHINES "\"duration-s\":20,\"cap\":1}",
    "{\"wave\":\"1\"," MACHINES "\"duration-s\":20,\"cap\":1}",
    "{\"wave\":1," MACHINES "\"duration-s\":20}",
    "{\"wave\":1," MACHINES "\"duration-s\":20,\"cap\":-1}",
    "{\"wave\":1," MACHINES "\"duration-s\":20,\"cap\":4294967297}",
    "{\"wave\":1," MACHINES "\"duration-s\":1e300,\"cap\":1}",
    "{\"wave\":1," MACHINES "\"duration-s\":-5,\"cap\":1}",
    "{\"wave\":1," MACHINES "\"duration-s\":{},\"cap\":1}",
  };
  void *ctx = talloc_new (NULL);
  for (size_t n = 0; n < sizeof waves / sizeof *waves; n++)
    ck_assert_msg (
        !wire_decode_wave (ctx, (const uint8_t *)waves[n], strlen (waves[n])),
        "%s", waves[n]);
  const char *good = "{\"wave\":1," MACHINES "\"duration-s\":20.5,\"cap\":1}";
  const struct maintenance_wave *wave
      = wire_decode_wave (ctx, (const uint8_t *)good, strlen (good));
  ck_assert_ptr_nonnull (wave);
  ck_assert_uint_eq (wave->host_count, 2);
  ck_assert_int_eq (wave->duration_ms, 20500);
  talloc_free (ctx);
}
END_TEST

/* Guards against a version after which all later ones seem older.  */
START_TEST (test_odd_version)
{
  static const char *const versions[]
      = { "-1", "1e300", "9223372036854775807", "\"7\"", "null", "1.5" };
  void *ctx = talloc_new (NULL);
  for (size_t n = 0; n < sizeof versions / sizeof *versions; n++)
    {
      char *json = talloc_asprintf (
          ctx, "{\"version\":%s,\"routes\":[],\"services\":[]}", versions[n]);
      ck_assert_msg (
          !wire_decode_catalog (ctx, (const uint8_t *)json, strlen (json)),
          "%s", versions[n]);
    }
  talloc_free (ctx);
}
END_TEST

#define SMALL_STACK_BYTES ((size_t)512 * 1024)

static char *
append (char *pos, const char *text, size_t count)
{
  for (size_t n = 0; n < count; n++)
    pos = stpcpy (pos, text);
  return pos;
}

static void *
decode_nested (void *arg)
{
  static const size_t depths[] = { 16, 64, 2046, 2047, 2048, 40000 };
  char *json = talloc_size (NULL, 512 * 1024);
  for (size_t n = 0; n < sizeof depths / sizeof *depths; n++)
    for (int objects = 0; objects < 2; objects++)
      {
        char *pos = append (json, "{\"x\":", 1);
        pos = append (pos, objects ? "{\"x\":" : "[", depths[n]);
        pos = append (pos, "0", 1);
        decode ("w", 1, json);
        pos = append (pos, objects ? "}" : "]", depths[n]);
        append (pos, "," SERVICE ADDRESS AFTER_ADDRESS "}", 1);
        results[n][objects] = decode ("w", 1, json);
      }
  talloc_free (json);
  return NULL;
}

/* Guards against an entry that is nested so deeply that the parser overflows a
   stack of a sixteenth of the usual size.  */
START_TEST (test_deeply_nested_entry)
{
  pthread_attr_t attr;
  pthread_t thread;
  ck_assert_int_eq (pthread_attr_init (&attr), 0);
  ck_assert_int_eq (pthread_attr_setstacksize (&attr, SMALL_STACK_BYTES), 0);
  ck_assert_int_eq (pthread_create (&thread, &attr, decode_nested, NULL), 0);
  ck_assert_int_eq (pthread_join (thread, NULL), 0);
  pthread_attr_destroy (&attr);
  ck_assert_int_eq (results[0][0], 0);
  ck_assert_int_eq (results[0][1], 0);
  ck_assert_int_eq (results[5][0], ERR_PROTOCOL);
  ck_assert_int_eq (results[5][1], ERR_PROTOCOL);
}
END_TEST

#define REPORT(clock, sequence, rest)                                         \
  "{\"service\":\"p\",\"clock-ms\":" clock ",\"sequence\":" sequence rest "}"

static const struct fingerprint_case
{
  const char *a, *b;
  bool same;
} fingerprint_cases[] = {
  { REPORT ("1", "2", ""), REPORT ("1", "2", ""), true },
  { REPORT ("1", "2", ""), REPORT ("482113", "9007", ""), true },
  { REPORT ("1", "2", ""), REPORT ("1", "2", ",\"state\":\"draining\""),
    false },
  { REPORT ("1", "2", ",\"slots\":8"), REPORT ("1", "2", ",\"slots\":9"),
    false },
  /* Not valid, so that they must not pass for the first one.  */
  { REPORT ("1", "2", ""), REPORT ("1", "", ""), false },
  { REPORT ("1", "2", ""), REPORT ("", "2", ""), false },
  { REPORT ("1", "2", ""), REPORT ("1", "-2", ""), false },
  { REPORT ("1", "2", ""), REPORT ("1", "02", ""), false },
  { REPORT ("1", "2", ""), REPORT ("1", "2.5", ""), false },
  { REPORT ("1", "2", ""), REPORT ("1e9", "2", ""), false },
  { REPORT ("1", "2", ""), REPORT ("1", "99999999999999999999", ""), false },
  { REPORT ("1", "2", ""), REPORT ("1", "\"2\"", ""), false },
  { REPORT ("1", "2", ""), REPORT ("1", "2", ",\"sequence\":3"), false },
  { REPORT ("1", "2", ""),
    "{\"service\":\"p\",\"clock-ms\":1,\"sequence\":", false },
  { "{}", "", false },
};

/* Guards against a changed or unreadable report that passes for the last one
   and is not decoded: a worker that drains would get further tasks (DRAIN). */
START_TEST (test_fingerprint)
{
  const struct fingerprint_case *it = &fingerprint_cases[_i];
  int64_t clock_ms = 0;
  uint64_t a = wire_worker_fingerprint ((const uint8_t *)it->a, strlen (it->a),
                                        &clock_ms);
  uint64_t b = wire_worker_fingerprint ((const uint8_t *)it->b, strlen (it->b),
                                        &clock_ms);
  ck_assert_int_eq (a == b, it->same);
  wire_worker_fingerprint ((const uint8_t *)REPORT ("482113", "4", ""),
                           strlen (REPORT ("482113", "4", "")), &clock_ms);
  ck_assert_int_eq (clock_ms, 482113);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("wire_decode");
  TCase *tc = tcase_create ("wire_decode");
  tcase_add_test (tc, test_worker_entry);
  tcase_add_test (tc, test_odd_worker_entry);
  tcase_add_test (tc, test_odd_worker_address);
  tcase_add_test (tc, test_odd_worker_key);
  tcase_add_test (tc, test_odd_wave);
  tcase_add_test (tc, test_odd_version);
  tcase_add_test (tc, test_deeply_nested_entry);
  tcase_add_loop_test (tc, test_fingerprint, 0,
                       sizeof fingerprint_cases / sizeof *fingerprint_cases);
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed != 0;
}
