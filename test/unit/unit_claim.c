#include <check.h>
#include <string.h>
#include <talloc.h>
#include <tevent.h>

#include "base/clock.h"
#include "base/err.h"
#include "claim/claim.h"
#include "log_memory.h"

#define PROGRESS_TIMEOUT_S 60
#define FAR_DEADLINE_US 600000000 /* from now; no test reaches it */
#define LIFETIME_MS 3600000
#define ROWS(table) (int)(sizeof (table) / sizeof *(table))

static struct tevent_context *ev;
static struct log_memory mem;
static struct claims first_proc;
static struct claims second_proc;

/* Records the calls of a request's callback.  */
struct verdict_cb
{
  int count;
  struct claim_outcome out;
  char body[64];
};

static void
on_verdict (void *arg, const struct claim_outcome *out)
{
  struct verdict_cb *cb = arg;
  cb->count++;
  cb->out = *out;
  ck_assert_uint_lt (out->body_len, sizeof cb->body);
  if (out->body)
    memcpy (cb->body, out->body, out->body_len);
}

static void
on_released (void *arg, bool recorded)
{
  *(int *)arg = recorded;
}

static void
on_progress_timeout (struct tevent_context *ctx, struct tevent_timer *te,
                     struct timeval now, void *arg)
{
  ck_abort_msg ("no progress for %d s", PROGRESS_TIMEOUT_S);
}

/* Runs the event loop until COND, evaluated before each event, is true.  */
#define WAIT_FOR(cond)                                                        \
  do                                                                          \
    {                                                                         \
      struct tevent_timer *timeout = tevent_add_timer (                       \
          ev, ev, tevent_timeval_current_ofs (PROGRESS_TIMEOUT_S, 0),         \
          on_progress_timeout, NULL);                                         \
      while (!(cond))                                                         \
        ck_assert_int_eq (tevent_loop_once (ev), 0);                          \
      talloc_free (timeout);                                                  \
    }                                                                         \
  while (0)

static void
start_process (struct claims *cls, const char *name, const struct clock *clk,
               uint32_t max)
{
  struct claim_settings set = claim_settings_default;
  set.writer = name;
  set.incarnation = 1;
  set.key_lifetime_ms = LIFETIME_MS;
  set.max_answer_bytes = 16;
  set.max_waiting = max;
  set.max_keys = max;
  ck_assert_int_eq (claims_init (cls, ev, &set, &mem.st, ev, clk), 0);
}

static void
start (void)
{
  ev = tevent_context_init (NULL);
  log_memory_init (&mem, ev, ev);
  start_process (&first_proc, "e1", &clock_system, 1000);
  start_process (&second_proc, "e2", &clock_system, 1000);
  WAIT_FOR (claims_ready (&first_proc) && claims_ready (&second_proc));
}

static void
stop (void)
{
  claims_fini (&first_proc);
  claims_fini (&second_proc);
  log_store_fini (&mem.st);
  talloc_free (ev);
}

static struct claim_key
key_of (const char *name)
{
  return claim_key_make ("caller", "kind", name);
}

static void
request (struct claims *cls, const char *key, uint64_t body, int64_t wait_us,
         struct verdict_cb *cb)
{
  int64_t deadline = clock_now_us (&clock_system) + wait_us;
  memset (cb, 0, sizeof *cb);
  ck_assert_int_eq (
      claim_request (cls, key_of (key), body, deadline, on_verdict, cb), 0);
  ck_assert_int_eq (cb->count, 0);
}

/* Makes a request and waits for its verdict.  */
static struct verdict_cb
request_and_wait (struct claims *cls, const char *key, uint64_t body)
{
  struct verdict_cb cb;
  request (cls, key, body, FAR_DEADLINE_US, &cb);
  WAIT_FOR (cb.count > 0);
  return cb;
}

/* Makes CLS fold all records that are in the log now, by waiting for the grant
   of a new key, whose record comes after them.  */
static void
catch_up (struct claims *cls)
{
  static int count;
  char name[16];
  snprintf (name, sizeof name, "sync%d", count++);
  ck_assert_int_eq (request_and_wait (cls, name, 5).out.verdict,
                    CLAIM_GRANTED);
}

static const struct
{
  enum log_memory_fault fault; /* of the first append */
  bool delayed; /* append the first record after the second append */
} faults[] = {
  { FAULT_NONE, false },        { FAULT_REPLY_LOST, false },
  { FAULT_APPEND_LOST, false }, { FAULT_APPEND_DELAYED, true },
  { FAULT_NOT_DONE, false },
};

/* Guards against a claim that is lost, granted twice or granted to a second
   process when its append fails or its result is unknown.  */
START_TEST (test_append_faults)
{
  struct verdict_cb cb;
  start ();
  mem.fault = faults[_i].fault;
  request (&first_proc, "k", 5, FAR_DEADLINE_US, &cb);
  WAIT_FOR (mem.appends == 1);
  mem.fault = FAULT_NONE;
  if (faults[_i].delayed)
    {
      WAIT_FOR (mem.appends == 2);
      log_memory_append_delayed (&mem);
    }
  WAIT_FOR (cb.count > 0);
  ck_assert_int_eq (cb.out.verdict, CLAIM_GRANTED);
  catch_up (&second_proc);
  struct verdict_cb other = request_and_wait (&second_proc, "k", 5);
  ck_assert_int_eq (other.out.verdict, CLAIM_DUPLICATE);
  ck_assert_int_eq (other.out.result, CLAIM_RESULT_NONE);
  ck_assert_int_eq (cb.count, 1);
  stop ();
}
END_TEST

/* Guards against a verdict before the record of a slow append is folded.  */
START_TEST (test_slow_append)
{
  struct verdict_cb cb;
  start ();
  mem.fault = FAULT_SLOW;
  request (&first_proc, "k", 5, FAR_DEADLINE_US, &cb);
  WAIT_FOR (mem.appends == 1);
  ck_assert_int_eq (cb.count, 0);
  log_memory_append_delayed (&mem);
  WAIT_FOR (cb.count > 0);
  ck_assert_int_eq (cb.out.verdict, CLAIM_GRANTED);
  stop ();
}
END_TEST

/* Guards against a key that stays held when its claim is appended after the
   request timed out.  */
START_TEST (test_timeout_releases)
{
  struct verdict_cb cb;
  start ();
  mem.fault = FAULT_APPEND_DELAYED;
  request (&first_proc, "k", 5, 20000, &cb);
  WAIT_FOR (cb.count > 0);
  ck_assert_int_eq (cb.out.verdict, CLAIM_TIMEOUT);
  ck_assert_uint_eq (mem.next, 0);
  mem.fault = FAULT_NONE;
  log_memory_append_delayed (&mem);
  WAIT_FOR (mem.next == 2);
  catch_up (&second_proc);
  ck_assert_int_eq (request_and_wait (&second_proc, "k", 5).out.verdict,
                    CLAIM_GRANTED);
  ck_assert_int_eq (cb.count, 1);
  stop ();
}
END_TEST

static const struct
{
  bool done;
  bool answered;
  const char *body;
  uint64_t repeat_digest;
  enum claim_verdict verdict;
  enum claim_result result;
  const char *repeat_answer; /* answer to the repeated request, or NULL */
} repeated_keys[] = {
  { false, false, "", 5, CLAIM_DUPLICATE, CLAIM_RESULT_NONE, NULL },
  { true, false, "", 5, CLAIM_DUPLICATE, CLAIM_RESULT_UNKNOWN, NULL },
  { true, true, "lot 7", 5, CLAIM_DUPLICATE, CLAIM_RESULT_ANSWERED, "lot 7" },
  { true, true, "", 5, CLAIM_DUPLICATE, CLAIM_RESULT_ANSWERED, "" },
  { true, true, "more than 16 bytes", 5, CLAIM_DUPLICATE,
    CLAIM_RESULT_ANSWERED, NULL },
  { true, true, "lot 7", 6, CLAIM_KEY_REUSED, CLAIM_RESULT_NONE, NULL },
};

/* Guards against a process that counts as idle while a result waits to be
   recorded, and against a repeated key that is granted again, gets an answer
   other than the recorded one, or is accepted with another body.  */
START_TEST (test_repeated_key)
{
  const char *body = repeated_keys[_i].body;
  start ();
  struct verdict_cb cb = request_and_wait (&first_proc, "k", 5);
  ck_assert_int_eq (cb.out.verdict, CLAIM_GRANTED);
  if (repeated_keys[_i].done)
    {
      ck_assert_int_eq (claim_done (&first_proc, key_of ("k"), cb.out.claim_id,
                                    repeated_keys[_i].answered, 201,
                                    (const uint8_t *)body, strlen (body)),
                        0);
      ck_assert (!claims_idle (&first_proc));
      WAIT_FOR (claims_idle (&first_proc));
      ck_assert_uint_eq (mem.next, 2);
    }
  struct claims *procs[] = { &first_proc, &second_proc };
  for (int n = 0; n < 2; n++)
    {
      catch_up (procs[n]);
      struct verdict_cb again
          = request_and_wait (procs[n], "k", repeated_keys[_i].repeat_digest);
      ck_assert_int_eq (again.out.verdict, repeated_keys[_i].verdict);
      ck_assert_int_eq (again.out.result, repeated_keys[_i].result);
      if (again.out.result == CLAIM_RESULT_ANSWERED)
        ck_assert_uint_eq (again.out.status, 201);
      ck_assert_int_eq (again.out.body != NULL,
                        repeated_keys[_i].repeat_answer != NULL);
      if (repeated_keys[_i].repeat_answer)
        ck_assert_str_eq (again.body, repeated_keys[_i].repeat_answer);
    }
  stop ();
}
END_TEST

/* Guards against callers that repeat a key and are told "unknown" although the
   answer is in the log: more answers are asked for at a time than are read
   at a time.  */
START_TEST (test_many_repeated_keys)
{
  enum
  {
    COUNT = 40
  };
  static struct verdict_cb repeats[COUNT];
  char key[8];
  start ();
  for (int n = 0; n < COUNT; n++)
    {
      snprintf (key, sizeof key, "k%d", n);
      struct verdict_cb cb = request_and_wait (&first_proc, key, 5);
      ck_assert_int_eq (claim_done (&first_proc, key_of (key), cb.out.claim_id,
                                    true, 201, (const uint8_t *)key,
                                    strlen (key)),
                        0);
    }
  WAIT_FOR (claims_idle (&first_proc));
  catch_up (&second_proc);
  for (int n = 0; n < COUNT; n++)
    {
      snprintf (key, sizeof key, "k%d", n);
      request (&second_proc, key, 5, FAR_DEADLINE_US, &repeats[n]);
    }
  for (int n = 0; n < COUNT; n++)
    {
      snprintf (key, sizeof key, "k%d", n);
      WAIT_FOR (repeats[n].count > 0);
      ck_assert_int_eq (repeats[n].out.result, CLAIM_RESULT_ANSWERED);
      ck_assert_str_eq (repeats[n].body, key);
    }
  stop ();
}
END_TEST

/* Guards against a release that is never recorded, and against one reported as
   recorded while the log is unreachable.  */
START_TEST (test_release)
{
  int recorded = -1;
  start ();
  struct verdict_cb cb = request_and_wait (&first_proc, "k", 5);
  mem.down = true;
  int64_t deadline = clock_now_us (&clock_system) + 20000;
  ck_assert_int_eq (claim_release (&first_proc, key_of ("k"), cb.out.claim_id,
                                   deadline, on_released, &recorded),
                    0);
  WAIT_FOR (recorded != -1);
  ck_assert_int_eq (recorded, 0);
  mem.down = false;
  WAIT_FOR (mem.next == 2);
  catch_up (&second_proc);
  struct verdict_cb other = request_and_wait (&second_proc, "k", 6);
  ck_assert_int_eq (other.out.verdict, CLAIM_GRANTED);
  ck_assert_int_eq (claim_release (&second_proc, key_of ("k"),
                                   other.out.claim_id, INT64_MAX, on_released,
                                   &recorded),
                    0);
  WAIT_FOR (recorded == 1);
  stop ();
}
END_TEST

#define REQUEST_COUNT 100

/* Guards against a separate append for each of many simultaneous claims.  */
START_TEST (test_group_commit)
{
  static struct verdict_cb cb[REQUEST_COUNT];
  char name[16];
  start ();
  for (int n = 0; n < REQUEST_COUNT; n++)
    {
      snprintf (name, sizeof name, "k%d", n);
      request (&first_proc, name, 5, FAR_DEADLINE_US, &cb[n]);
    }
  for (int n = 0; n < REQUEST_COUNT; n++)
    {
      WAIT_FOR (cb[n].count > 0);
      ck_assert_int_eq (cb[n].out.verdict, CLAIM_GRANTED);
    }
  ck_assert_uint_eq (mem.appends, 1);
  stop ();
}
END_TEST

/* Guards against grants before the log was read, requests without a verdict
   while the log is unreachable, and a process that does not become ready when
   the log is reachable again.  */
START_TEST (test_outage)
{
  struct clock_manual clk;
  struct verdict_cb cb = { 0 };
  ev = tevent_context_init (NULL);
  log_memory_init (&mem, ev, ev);
  clock_manual_init (&clk, 1000000);
  mem.down = true;
  start_process (&first_proc, "e1", &clk.clk, 1000);
  second_proc.priv = NULL;
  ck_assert_int_eq (claim_request (&first_proc, key_of ("k"), 5,
                                   FAR_DEADLINE_US, on_verdict, &cb),
                    0);
  WAIT_FOR (cb.count == 1);
  ck_assert_int_eq (cb.out.verdict, CLAIM_UNAVAILABLE);
  mem.down = false;
  WAIT_FOR (claims_ready (&first_proc));
  mem.down = true;
  ck_assert_int_eq (claim_request (&first_proc, key_of ("k"), 5,
                                   FAR_DEADLINE_US, on_verdict, &cb),
                    0);
  /* The manual clock does not advance, so only failed reads can reveal the
     outage.  */
  WAIT_FOR (cb.count == 2);
  ck_assert_int_eq (cb.out.verdict, CLAIM_UNAVAILABLE);
  ck_assert (!claims_ready (&first_proc));
  mem.down = false;
  WAIT_FOR (claims_ready (&first_proc));
  stop ();
}
END_TEST

/* Guards against a process that becomes ready before it has read the whole
   log, and then appends claims of keys that are already held.  */
START_TEST (test_start_with_existing_log)
{
  start ();
  for (int n = 0; n < 5; n++)
    catch_up (&first_proc);
  request_and_wait (&first_proc, "k", 5);
  claims_fini (&second_proc);
  mem.read_limit = 1;
  start_process (&second_proc, "e3", &clock_system, 1000);
  WAIT_FOR (claims_ready (&second_proc));
  uint32_t before = mem.appends;
  ck_assert_int_eq (request_and_wait (&second_proc, "k", 5).out.verdict,
                    CLAIM_DUPLICATE);
  ck_assert_uint_eq (mem.appends, before);
  stop ();
}
END_TEST

static const struct
{
  int64_t elapsed_ms;    /* log time since the last record */
  uint64_t first_offset; /* of the oldest record kept */
  bool ready;
} missing_records[] = {
  { 0, 0, true },
  { 0, 1, false },
  { LIFETIME_MS - 1, 1, false },
  { LIFETIME_MS, 1, true },
  { LIFETIME_MS, 2, false }, /* no record shows the elapsed time */
};

/* Guards against grants by a process that cannot read claims which may still
   hold their keys, because the log has removed their records.  The process
   starts after the removal; one that falls behind takes the same path.  */
START_TEST (test_missing_records)
{
  start ();
  request_and_wait (&first_proc, "k", 5);
  request_and_wait (&first_proc, "l", 5);
  mem.time_ms += missing_records[_i].elapsed_ms;
  log_memory_truncate (&mem, missing_records[_i].first_offset);
  claims_fini (&second_proc);
  start_process (&second_proc, "e3", &clock_system, 1000);
  uint64_t before = mem.next;
  if (missing_records[_i].first_offset > 0)
    WAIT_FOR (mem.next > before);
  /* After two more reads the process has folded the record it appended.  */
  uint32_t reads = mem.reads;
  WAIT_FOR (mem.reads >= reads + 2);
  ck_assert_int_eq (claims_ready (&second_proc), missing_records[_i].ready);
  if (!missing_records[_i].ready)
    ck_assert_int_eq (request_and_wait (&second_proc, "new", 5).out.verdict,
                      CLAIM_UNAVAILABLE);
  stop ();
}
END_TEST

/* Guards against a damaged record after which no more are read, and against
   grants after a record in a newer format, which may have claims.  */
START_TEST (test_unreadable_records)
{
  static const uint8_t newer[] = { 0x08, 0x63 }; /* version: 99 */
  start ();
  log_memory_put (&mem, (const uint8_t *)"junk", 4);
  ck_assert_int_eq (request_and_wait (&first_proc, "k", 5).out.verdict,
                    CLAIM_GRANTED);
  log_memory_put (&mem, newer, sizeof newer);
  WAIT_FOR (!claims_ready (&first_proc) && !claims_ready (&second_proc));
  ck_assert_int_eq (request_and_wait (&first_proc, "l", 5).out.verdict,
                    CLAIM_UNAVAILABLE);
  stop ();
}
END_TEST

#define LIMIT 16

/* Guards against an unlimited number of waiting requests, and of keys.  */
START_TEST (test_bounds)
{
  struct verdict_cb cb[LIMIT + 1];
  char name[16];
  start ();
  claims_fini (&first_proc);
  start_process (&first_proc, "e4", &clock_system, LIMIT);
  WAIT_FOR (claims_ready (&first_proc));
  mem.fault = FAULT_SLOW;
  for (int n = 0; n <= LIMIT; n++)
    {
      snprintf (name, sizeof name, "k%d", n);
      request (&first_proc, name, 5, FAR_DEADLINE_US, &cb[n]);
    }
  WAIT_FOR (cb[LIMIT].count > 0);
  ck_assert_int_eq (cb[LIMIT].out.verdict, CLAIM_OVERLOADED);
  mem.fault = FAULT_NONE;
  WAIT_FOR (mem.appends > 0);
  log_memory_append_delayed (&mem);
  for (int n = 0; n < LIMIT; n++)
    {
      WAIT_FOR (cb[n].count > 0);
      ck_assert_int_eq (cb[n].out.verdict, CLAIM_GRANTED);
    }
  ck_assert_int_eq (request_and_wait (&first_proc, "more", 5).out.verdict,
                    CLAIM_OVERLOADED);
  stop ();
}
END_TEST

/* Guards against callbacks after claims_fini, and against use after free, when
   calls of the log are in progress.  */
START_TEST (test_fini_with_calls_in_progress)
{
  struct verdict_cb cb;
  start ();
  mem.fault = FAULT_SLOW;
  request (&first_proc, "k", 5, FAR_DEADLINE_US, &cb);
  WAIT_FOR (mem.appends == 1);
  claims_fini (&first_proc);
  log_memory_append_delayed (&mem);
  WAIT_FOR (mem.next == 1 && mem.reads > 4);
  ck_assert_int_eq (cb.count, 0);
  stop ();
}
END_TEST

/* Guards against one digest for different callers, kinds and keys that form
   the same text, and for different bodies.  */
START_TEST (test_key_digest)
{
  struct claim_key a = claim_key_make ("ab", "c", "d");
  struct claim_key b = claim_key_make ("a", "bc", "d");
  struct claim_key c = claim_key_make ("ab", "c", "d");
  ck_assert (a.hi != b.hi && a.lo != b.lo);
  ck_assert (a.hi == c.hi && a.lo == c.lo);
  ck_assert (claim_body_digest (NULL, 0) != claim_body_digest ("a", 1));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("claim");
  TCase *tc = tcase_create ("claim");
  tcase_set_timeout (tc, 2 * PROGRESS_TIMEOUT_S);
  tcase_add_loop_test (tc, test_append_faults, 0, ROWS (faults));
  tcase_add_test (tc, test_slow_append);
  tcase_add_test (tc, test_timeout_releases);
  tcase_add_loop_test (tc, test_repeated_key, 0, ROWS (repeated_keys));
  tcase_add_test (tc, test_many_repeated_keys);
  tcase_add_test (tc, test_release);
  tcase_add_test (tc, test_group_commit);
  tcase_add_test (tc, test_outage);
  tcase_add_test (tc, test_start_with_existing_log);
  tcase_add_loop_test (tc, test_missing_records, 0, ROWS (missing_records));
  tcase_add_test (tc, test_unreadable_records);
  tcase_add_test (tc, test_bounds);
  tcase_add_test (tc, test_fini_with_calls_in_progress);
  tcase_add_test (tc, test_key_digest);
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed != 0;
}
