#include <check.h>
#include <string.h>
#include <talloc.h>
#include <tevent.h>

#include "base/clock.h"
#include "base/err.h"
#include "claim/claim.h"
#include "log_memory.h"

#define WAIT_S 60
#define FAR_US 600000000 /* a deadline that no test reaches */
#define LIFETIME_MS 3600000
#define ROWS(table) (int)(sizeof (table) / sizeof *(table))

static struct tevent_context *ev;
static struct log_memory mem;
static struct claims one;
static struct claims two;

struct told
{
  int count;
  struct claim_outcome out;
  char body[64];
};

static void
on_verdict (void *arg, const struct claim_outcome *out)
{
  struct told *told = arg;
  told->count++;
  told->out = *out;
  ck_assert_uint_lt (out->body_len, sizeof told->body);
  if (out->body)
    memcpy (told->body, out->body, out->body_len);
}

static void
on_released (void *arg, bool recorded)
{
  *(int *)arg = recorded;
}

static void
on_bound (struct tevent_context *ctx, struct tevent_timer *te,
          struct timeval now, void *arg)
{
  ck_abort_msg ("no progress for %d s", WAIT_S);
}

/* Runs the loop until COND, evaluated after each step, holds.  */
#define WAIT_FOR(cond)                                                        \
  do                                                                          \
    {                                                                         \
      struct tevent_timer *bound = tevent_add_timer (                         \
          ev, ev, tevent_timeval_current_ofs (WAIT_S, 0), on_bound, NULL);    \
      while (!(cond))                                                         \
        ck_assert_int_eq (tevent_loop_once (ev), 0);                          \
      talloc_free (bound);                                                    \
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
  start_process (&one, "e1", &clock_system, 1000);
  start_process (&two, "e2", &clock_system, 1000);
  WAIT_FOR (claims_ready (&one) && claims_ready (&two));
}

static void
stop (void)
{
  claims_fini (&one);
  claims_fini (&two);
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
         struct told *told)
{
  int64_t deadline = clock_now_us (&clock_system) + wait_us;
  memset (told, 0, sizeof *told);
  ck_assert_int_eq (
      claim_request (cls, key_of (key), body, deadline, on_verdict, told), 0);
  ck_assert_int_eq (told->count, 0);
}

/* Requests and waits for the verdict.  */
static struct told
settle (struct claims *cls, const char *key, uint64_t body)
{
  struct told told;
  request (cls, key, body, FAR_US, &told);
  WAIT_FOR (told.count > 0);
  return told;
}

/* Lets CLS fold what stands in the log: a grant comes only after that.  */
static void
catch_up (struct claims *cls)
{
  static int count;
  char name[16];
  snprintf (name, sizeof name, "sync%d", count++);
  ck_assert_int_eq (settle (cls, name, 5).out.verdict, CLAIM_GRANTED);
}

static const struct
{
  enum log_memory_fault fault; /* of the first append */
  bool land;                   /* let it take effect after the second */
} faults[] = {
  { FAULT_NONE, false }, { FAULT_REPLY_LOST, false }, { FAULT_LOST, false },
  { FAULT_LATE, true },  { FAULT_NOT_DONE, false },
};

/* Guards against a claim that a lost or refused append loses, grants twice or
   grants to a second process.  */
START_TEST (test_append_faults)
{
  struct told told;
  start ();
  mem.fault = faults[_i].fault;
  request (&one, "k", 5, FAR_US, &told);
  WAIT_FOR (mem.appends == 1);
  mem.fault = FAULT_NONE;
  if (faults[_i].land)
    {
      WAIT_FOR (mem.appends == 2);
      log_memory_land (&mem);
    }
  WAIT_FOR (told.count > 0);
  ck_assert_int_eq (told.out.verdict, CLAIM_GRANTED);
  catch_up (&two);
  struct told other = settle (&two, "k", 5);
  ck_assert_int_eq (other.out.verdict, CLAIM_DUPLICATE);
  ck_assert_int_eq (other.out.known, CLAIM_KNOWN_NOTHING);
  ck_assert_int_eq (told.count, 1);
  stop ();
}
END_TEST

/* Guards against a slow append that is answered before it is folded.  */
START_TEST (test_slow)
{
  struct told told;
  start ();
  mem.fault = FAULT_SLOW;
  request (&one, "k", 5, FAR_US, &told);
  WAIT_FOR (mem.appends == 1);
  ck_assert_int_eq (told.count, 0);
  log_memory_land (&mem);
  WAIT_FOR (told.count > 0);
  ck_assert_int_eq (told.out.verdict, CLAIM_GRANTED);
  stop ();
}
END_TEST

/* Guards against a key that stays claimed when its claim lands after the
   request was told that it timed out.  */
START_TEST (test_timeout_releases)
{
  struct told told;
  start ();
  mem.fault = FAULT_LATE;
  request (&one, "k", 5, 20000, &told);
  WAIT_FOR (told.count > 0);
  ck_assert_int_eq (told.out.verdict, CLAIM_TIMEOUT);
  ck_assert_uint_eq (mem.next, 0);
  mem.fault = FAULT_NONE;
  log_memory_land (&mem);
  WAIT_FOR (mem.next == 2);
  catch_up (&two);
  ck_assert_int_eq (settle (&two, "k", 5).out.verdict, CLAIM_GRANTED);
  ck_assert_int_eq (told.count, 1);
  stop ();
}
END_TEST

static const struct
{
  bool done;
  bool answered;
  const char *body;
  uint64_t repeat_body;
  enum claim_verdict verdict;
  enum claim_known known;
  const char *repeat; /* answer that the repeated key gets; NULL: none */
} repeats[] = {
  { false, false, "", 5, CLAIM_DUPLICATE, CLAIM_KNOWN_NOTHING, NULL },
  { true, false, "", 5, CLAIM_DUPLICATE, CLAIM_KNOWN_UNKNOWN, NULL },
  { true, true, "lot 7", 5, CLAIM_DUPLICATE, CLAIM_KNOWN_ANSWERED, "lot 7" },
  { true, true, "", 5, CLAIM_DUPLICATE, CLAIM_KNOWN_ANSWERED, "" },
  { true, true, "more than 16 bytes", 5, CLAIM_DUPLICATE, CLAIM_KNOWN_ANSWERED,
    NULL },
  { true, true, "lot 7", 6, CLAIM_KEY_REUSED, CLAIM_KNOWN_NOTHING, NULL },
};

/* Guards against a process that stops while its results wait, and against a
   repeated key that runs again, gets another answer than the
   recorded one, or passes with another body.  */
START_TEST (test_repeated_key)
{
  const char *body = repeats[_i].body;
  start ();
  struct told told = settle (&one, "k", 5);
  ck_assert_int_eq (told.out.verdict, CLAIM_GRANTED);
  if (repeats[_i].done)
    {
      ck_assert_int_eq (claim_done (&one, key_of ("k"), told.out.claim_id,
                                    repeats[_i].answered, 201,
                                    (const uint8_t *)body, strlen (body)),
                        0);
      ck_assert (!claims_idle (&one));
      WAIT_FOR (claims_idle (&one));
      ck_assert_uint_eq (mem.next, 2);
    }
  struct claims *procs[] = { &one, &two };
  for (int n = 0; n < 2; n++)
    {
      catch_up (procs[n]);
      struct told again = settle (procs[n], "k", repeats[_i].repeat_body);
      ck_assert_int_eq (again.out.verdict, repeats[_i].verdict);
      ck_assert_int_eq (again.out.known, repeats[_i].known);
      if (again.out.known == CLAIM_KNOWN_ANSWERED)
        ck_assert_uint_eq (again.out.status, 201);
      ck_assert_int_eq (again.out.body != NULL, repeats[_i].repeat != NULL);
      if (repeats[_i].repeat)
        ck_assert_str_eq (again.body, repeats[_i].repeat);
    }
  stop ();
}
END_TEST

/* Guards against a release that is not recorded, and against one reported as
   recorded while the log is away.  */
START_TEST (test_release)
{
  int recorded = -1;
  start ();
  struct told told = settle (&one, "k", 5);
  mem.down = true;
  int64_t deadline = clock_now_us (&clock_system) + 20000;
  ck_assert_int_eq (claim_release (&one, key_of ("k"), told.out.claim_id,
                                   deadline, on_released, &recorded),
                    0);
  WAIT_FOR (recorded != -1);
  ck_assert_int_eq (recorded, 0);
  mem.down = false;
  WAIT_FOR (mem.next == 2);
  catch_up (&two);
  struct told other = settle (&two, "k", 6);
  ck_assert_int_eq (other.out.verdict, CLAIM_GRANTED);
  ck_assert_int_eq (claim_release (&two, key_of ("k"), other.out.claim_id,
                                   INT64_MAX, on_released, &recorded),
                    0);
  WAIT_FOR (recorded == 1);
  stop ();
}
END_TEST

#define COMPANY 100

/* Guards against one append for each claim.  */
START_TEST (test_group_commit)
{
  static struct told told[COMPANY];
  char name[16];
  start ();
  for (int n = 0; n < COMPANY; n++)
    {
      snprintf (name, sizeof name, "k%d", n);
      request (&one, name, 5, FAR_US, &told[n]);
    }
  for (int n = 0; n < COMPANY; n++)
    {
      WAIT_FOR (told[n].count > 0);
      ck_assert_int_eq (told[n].out.verdict, CLAIM_GRANTED);
    }
  ck_assert_uint_eq (mem.appends, 1);
  stop ();
}
END_TEST

/* Guards against grants before the log was read, requests that hang while the
   log is away, and a process that stays unready once it is back.  */
START_TEST (test_outage)
{
  struct clock_manual clk;
  struct told told = { 0 };
  ev = tevent_context_init (NULL);
  log_memory_init (&mem, ev, ev);
  clock_manual_init (&clk, 1000000);
  mem.down = true;
  start_process (&one, "e1", &clk.clk, 1000);
  two.priv = NULL;
  ck_assert_int_eq (
      claim_request (&one, key_of ("k"), 5, FAR_US, on_verdict, &told), 0);
  WAIT_FOR (told.count == 1);
  ck_assert_int_eq (told.out.verdict, CLAIM_UNAVAILABLE);
  mem.down = false;
  WAIT_FOR (claims_ready (&one));
  mem.down = true;
  ck_assert_int_eq (
      claim_request (&one, key_of ("k"), 5, FAR_US, on_verdict, &told), 0);
  /* The clock stands still, so that only the failing reads can tell.  */
  WAIT_FOR (told.count == 2);
  ck_assert_int_eq (told.out.verdict, CLAIM_UNAVAILABLE);
  ck_assert (!claims_ready (&one));
  mem.down = false;
  WAIT_FOR (claims_ready (&one));
  stop ();
}
END_TEST

/* Guards against a process that says it is ready before it has read the whole
   log, and then appends claims of keys that are long held.  */
START_TEST (test_late_start)
{
  start ();
  for (int n = 0; n < 5; n++)
    catch_up (&one);
  settle (&one, "k", 5);
  claims_fini (&two);
  mem.read_limit = 1;
  start_process (&two, "e3", &clock_system, 1000);
  WAIT_FOR (claims_ready (&two));
  uint32_t before = mem.appends;
  ck_assert_int_eq (settle (&two, "k", 5).out.verdict, CLAIM_DUPLICATE);
  ck_assert_uint_eq (mem.appends, before);
  stop ();
}
END_TEST

static const struct
{
  int64_t pass_ms; /* log time that passed after the records */
  uint64_t first;  /* oldest record kept */
  bool ready;
} gaps[] = {
  { 0, 0, true },
  { 0, 1, false },
  { LIFETIME_MS - 1, 1, false },
  { LIFETIME_MS, 1, true },
  { LIFETIME_MS, 2, false }, /* no record kept tells how long ago */
};

/* Guards against grants by a process that could not read claims which may
   still hold, both from the start and after falling behind.  */
START_TEST (test_gap)
{
  start ();
  settle (&one, "k", 5);
  settle (&one, "l", 5);
  mem.time_ms += gaps[_i].pass_ms;
  log_memory_truncate (&mem, gaps[_i].first);
  claims_fini (&two);
  start_process (&two, "e3", &clock_system, 1000);
  uint64_t before = mem.next;
  if (gaps[_i].first > 0)
    WAIT_FOR (mem.next > before);
  /* Two reads later the process has folded what it appended.  */
  uint32_t reads = mem.reads;
  WAIT_FOR (mem.reads >= reads + 2);
  ck_assert_int_eq (claims_ready (&two), gaps[_i].ready);
  if (!gaps[_i].ready)
    ck_assert_int_eq (settle (&two, "new", 5).out.verdict, CLAIM_UNAVAILABLE);
  stop ();
}
END_TEST

/* Guards against a damaged record that stops the reader, and against grants
   after a record whose format this program does not know.  */
START_TEST (test_unreadable)
{
  static const uint8_t newer[] = { 0x08, 0x63 }; /* version: 99 */
  start ();
  log_memory_put (&mem, (const uint8_t *)"junk", 4);
  ck_assert_int_eq (settle (&one, "k", 5).out.verdict, CLAIM_GRANTED);
  log_memory_put (&mem, newer, sizeof newer);
  WAIT_FOR (!claims_ready (&one) && !claims_ready (&two));
  ck_assert_int_eq (settle (&one, "l", 5).out.verdict, CLAIM_UNAVAILABLE);
  stop ();
}
END_TEST

#define SMALL 16

/* Guards against unbounded waiting requests and keys.  */
START_TEST (test_bounds)
{
  struct told told[SMALL + 1];
  char name[16];
  start ();
  claims_fini (&one);
  start_process (&one, "e4", &clock_system, SMALL);
  WAIT_FOR (claims_ready (&one));
  mem.fault = FAULT_SLOW;
  for (int n = 0; n <= SMALL; n++)
    {
      snprintf (name, sizeof name, "k%d", n);
      request (&one, name, 5, FAR_US, &told[n]);
    }
  WAIT_FOR (told[SMALL].count > 0);
  ck_assert_int_eq (told[SMALL].out.verdict, CLAIM_OVERLOADED);
  mem.fault = FAULT_NONE;
  WAIT_FOR (mem.appends > 0);
  log_memory_land (&mem);
  for (int n = 0; n < SMALL; n++)
    {
      WAIT_FOR (told[n].count > 0);
      ck_assert_int_eq (told[n].out.verdict, CLAIM_GRANTED);
    }
  ck_assert_int_eq (settle (&one, "more", 5).out.verdict, CLAIM_OVERLOADED);
  stop ();
}
END_TEST

/* Guards against callbacks and use after free when claims are finished with
   calls in progress.  */
START_TEST (test_finish_early)
{
  struct told told;
  start ();
  mem.fault = FAULT_SLOW;
  request (&one, "k", 5, FAR_US, &told);
  WAIT_FOR (mem.appends == 1);
  claims_fini (&one);
  log_memory_land (&mem);
  WAIT_FOR (mem.next == 1 && mem.reads > 4);
  ck_assert_int_eq (told.count, 0);
  stop ();
}
END_TEST

/* Guards against digests under which different requests run together.  */
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
  tcase_set_timeout (tc, 2 * WAIT_S);
  tcase_add_loop_test (tc, test_append_faults, 0, ROWS (faults));
  tcase_add_test (tc, test_slow);
  tcase_add_test (tc, test_timeout_releases);
  tcase_add_loop_test (tc, test_repeated_key, 0, ROWS (repeats));
  tcase_add_test (tc, test_release);
  tcase_add_test (tc, test_group_commit);
  tcase_add_test (tc, test_outage);
  tcase_add_test (tc, test_late_start);
  tcase_add_loop_test (tc, test_gap, 0, ROWS (gaps));
  tcase_add_test (tc, test_unreadable);
  tcase_add_test (tc, test_bounds);
  tcase_add_test (tc, test_finish_early);
  tcase_add_test (tc, test_key_digest);
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed != 0;
}
