#include <check.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>
#include <tevent.h>
#include <time.h>

#include "base/clock.h"
#include "base/err.h"
#include "log_memory.h"
#include "state/host_list.h"
#include "table/table.h"
#include "wave/wave_run.h"

#define PROGRESS_TIMEOUT_S 60
/* From now; reached only by tests that set the clock forward.  */
#define FAR_DEADLINE_US 600000000
#define HOSTS 4
#define ROWS(table) (int)(sizeof (table) / sizeof *(table))

static struct tevent_context *ev;
static struct log_memory mem;
static struct wave_run run;

/* Host store in memory that answers every call at once.  */
static struct memory_hosts
{
  struct host_api hs;
  enum host_actual_state state[HOSTS];
  uint32_t reboots[HOSTS];
  uint32_t calls;
  uint32_t peak_out;
  enum host_call_status fault; /* result of operations */
  bool refuse;                 /* calls fail with ERR_FULL */
} hosts;

struct pending
{
  host_call_fn *fn;
  void *arg;
  struct host_result res;
};

static void
reply (struct tevent_context *ctx, struct tevent_immediate *im, void *arg)
{
  struct pending pd = *(struct pending *)arg;
  talloc_free (arg);
  pd.fn (pd.arg, &pd.res);
}

static int
memory_call (struct host_api *hs, const struct host_call *call,
             host_call_fn *fn, void *arg)
{
  int n = call->op == HOST_OP_HEALTH
              ? call->address[strlen (call->address) - 1] - '1'
              : call->host[1] - '0';
  struct pending *pd = talloc_zero (ev, struct pending);
  uint32_t out = 0;
  if (hosts.refuse)
    {
      talloc_free (pd);
      return ERR_FULL;
    }
  *pd = (struct pending){ fn, arg, { .slots_in_use = 0 } };
  hosts.calls++;
  if (host_op_is_change (call->op))
    pd->res.status = hosts.fault;
  if (call->op == HOST_OP_DRAIN)
    hosts.state[n] = HOST_ACTUAL_LEAVING;
  if (call->op == HOST_OP_RETURN)
    hosts.state[n] = HOST_ACTUAL_LIVE;
  hosts.reboots[n] += call->op == HOST_OP_REBOOT;
  pd->res.state = hosts.state[n];
  pd->res.healthy = hosts.state[n] == HOST_ACTUAL_LIVE;
  for (int k = 0; k < HOSTS; k++)
    out += hosts.state[k] != HOST_ACTUAL_LIVE;
  if (out > hosts.peak_out)
    hosts.peak_out = out;
  tevent_schedule_immediate (tevent_create_immediate (pd), ev, reply, pd);
  return 0;
}

static const struct host_api_driver memory_driver = { .call = memory_call };

/* The system's clock, set forward by ahead_us, so that a test decides when a
   deadline passes.  */
static int64_t ahead_us;

static struct timespec
ahead_monotonic (const struct clock *clk)
{
  int64_t us = clock_now_us (&clock_system) + ahead_us;
  return (struct timespec){ us / 1000000, us % 1000000 * 1000 };
}

static struct timespec
ahead_wall (const struct clock *clk)
{
  return clock_wall (&clock_system);
}

static const struct clock_driver ahead_driver
    = { .monotonic = ahead_monotonic, .wall = ahead_wall };
static const struct clock clock_ahead = { &ahead_driver };

static void
on_progress_timeout (struct tevent_context *ctx, struct tevent_timer *te,
                     struct timeval now, void *arg)
{
  ck_abort_msg ("no progress for %d s", PROGRESS_TIMEOUT_S);
}

/* Runs the event loop until COND holds.  Fails after PROGRESS_TIMEOUT_S.  */
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
set_fleet (void)
{
  struct host all[HOSTS] = { 0 };
  struct host_list list = { .hosts = all, .count = HOSTS };
  struct table *tab = table_create (ev);
  struct table_row row;
  for (int n = 0; n < HOSTS; n++)
    {
      snprintf (all[n].name, sizeof all[n].name, "h%d", n);
      snprintf (all[n].address, sizeof all[n].address, "127.0.0.1:%d", n + 1);
      snprintf (all[n].data_centre, sizeof all[n].data_centre, "a");
      snprintf (all[n].rack, sizeof all[n].rack, "r");
      snprintf (all[n].initial_pool, sizeof all[n].initial_pool, "p");
    }
  table_row_init (&row, TABLE_POOL, "p");
  row.pool.availability_budget_pct = 75;
  ck_assert_int_eq (table_add (tab, &row), 0);
  ck_assert_int_eq (wave_run_set_fleet (&run, &list, tab, NULL, NULL), 0);
}

/* Intervals are short, so that a wave takes some tenths of a second.  */
static void
start_run (const char *name, uint64_t incarnation)
{
  struct wave_run_settings set;
  wave_run_settings_init (&set);
  set.core.name = name;
  set.core.incarnation = incarnation;
  set.core.data_centre = "a";
  set.core.lease_ms = WAVE_LEASE_MIN_MS;
  set.core.renew_interval_ms = 200;
  set.core.poll_interval_ms = 1;
  set.core.plan_interval_ms = 20;
  set.core.plan_min_interval_ms = 1;
  set.core.drain_settle_ms = 1;
  set.core.append_min_interval_ms = 1;
  set.core.resend_delay_ms = 20;
  ck_assert_int_eq (wave_run_init (&run, ev, &set, &mem.st, &hosts.hs, ev,
                                   &clock_ahead, NULL),
                    0);
  set_fleet ();
  WAIT_FOR (wave_run_ready (&run));
}

static void
start (void)
{
  ev = tevent_context_init (NULL);
  log_memory_init (&mem, ev, ev);
  memset (&hosts, 0, sizeof hosts);
  hosts.hs.drv = &memory_driver;
  ahead_us = 0;
  for (int n = 0; n < HOSTS; n++)
    hosts.state[n] = HOST_ACTUAL_LIVE;
  start_run ("e1", 1);
}

static void
stop (void)
{
  wave_run_fini (&run);
  log_store_fini (&mem.st);
  talloc_free (ev);
}

struct edit_result
{
  int count;
  int err;
  enum wave_effect effect;
};

static void
on_edit_result (void *arg, int err, enum wave_effect effect)
{
  struct edit_result *res = arg;
  res->count++;
  res->err = err;
  res->effect = effect;
}

static const struct wave_new_host all_hosts[HOSTS]
    = { { "h0", "a" }, { "h1", "a" }, { "h2", "a" }, { "h3", "a" } };

static int
create (int64_t wait_us, struct edit_result *res)
{
  const struct wave_create_request req = {
    .id = "w", .editor = "ana", .hosts = all_hosts, .host_count = HOSTS
  };
  memset (res, 0, sizeof *res);
  return wave_run_create (&run, &req, clock_now_us (&clock_system) + wait_us,
                          on_edit_result, res);
}

static bool
wave_is_done (void)
{
  const struct wave *wv = wave_find (wave_run_state (&run), "w");
  return wv && wv->hosts_in_step[WAVE_BACK] == HOSTS;
}

static void
check_done (void)
{
  for (int n = 0; n < HOSTS; n++)
    {
      ck_assert_int_eq (hosts.state[n], HOST_ACTUAL_LIVE);
      ck_assert_uint_eq (hosts.reboots[n], 1);
    }
  ck_assert_uint_eq (hosts.peak_out, 1);
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

/* Guards against an operator's edit that a lost reply drops, duplicates or
   reports wrongly, and against a wave that does not end.  */
START_TEST (test_append_faults)
{
  struct edit_result res;
  start ();
  mem.fault = faults[_i].fault;
  ck_assert_int_eq (create (FAR_DEADLINE_US, &res), 0);
  ck_assert_int_eq (res.count, 0);
  WAIT_FOR (mem.appends >= 1);
  mem.fault = FAULT_NONE;
  if (faults[_i].delayed)
    {
      WAIT_FOR (mem.appends >= 2);
      log_memory_append_delayed (&mem);
    }
  WAIT_FOR (res.count > 0);
  ck_assert_int_eq (res.err, 0);
  ck_assert_int_eq (res.effect, WAVE_EFFECT_DONE);
  WAIT_FOR (wave_is_done ());
  ck_assert_int_eq (res.count, 1);
  check_done ();
  stop ();
}
END_TEST

static const struct
{
  enum log_memory_fault fault;
  bool down;
  int err;
} deadlines[] = {
  { FAULT_NOT_DONE, false, ERR_UNAVAILABLE },
  { FAULT_APPEND_LOST, false, ERR_UNKNOWN_EFFECT },
  { FAULT_SLOW, false, ERR_UNKNOWN_EFFECT },
  { FAULT_NONE, true, ERR_UNKNOWN_EFFECT },
};

/* Guards against an operator who is told that an edit certainly had no effect
   when it may have had one, or who gets no answer.  */
START_TEST (test_deadline)
{
  struct edit_result res;
  start ();
  mem.fault = deadlines[_i].fault;
  mem.down = deadlines[_i].down;
  ck_assert_int_eq (create (FAR_DEADLINE_US, &res), 0);
  WAIT_FOR (mem.appends > 0);
  ahead_us = FAR_DEADLINE_US;
  WAIT_FOR (res.count > 0);
  ck_assert_int_eq (res.err, deadlines[_i].err);
  stop ();
}
END_TEST

/* Guards against an edit that a process that was paused appends after its
   deadline, so that it takes effect although its operator gave it up.  */
START_TEST (test_deadline_before_append)
{
  struct edit_result res;
  start ();
  ck_assert_int_eq (create (FAR_DEADLINE_US, &res), 0);
  ahead_us = FAR_DEADLINE_US;
  WAIT_FOR (res.count > 0);
  ck_assert_int_eq (res.err, ERR_UNAVAILABLE);
  ck_assert_uint_eq (mem.appends, 0);
  stop ();
}
END_TEST

/* Guards against a process that restarts during a wave and loses hosts or
   reboots some again.  */
START_TEST (test_restart)
{
  struct edit_result res;
  start ();
  ck_assert_int_eq (create (FAR_DEADLINE_US, &res), 0);
  WAIT_FOR (hosts.reboots[0] + hosts.reboots[1] + hosts.reboots[2]
                + hosts.reboots[3]
            > 0);
  wave_run_fini (&run);
  /* The new process waits until the previous lease has expired by the log's
     time.  */
  mem.time_ms += WAVE_LEASE_MIN_MS;
  start_run ("e1", 2);
  /* The platform recognises repeated operation ids, but this host store does
     not.  Reboots are counted from here, so that one that was in flight and is
     repeated counts once.  */
  memset (hosts.reboots, 0, sizeof hosts.reboots);
  const struct wave *wv = wave_find (wave_run_state (&run), "w");
  uint32_t back = wv->hosts_in_step[WAVE_BACK];
  WAIT_FOR (wave_is_done ());
  ck_assert_uint_le (hosts.reboots[0] + hosts.reboots[1] + hosts.reboots[2]
                         + hosts.reboots[3],
                     HOSTS - back);
  stop ();
}
END_TEST

static void
on_passed (struct tevent_context *ctx, struct tevent_timer *te,
           struct timeval now, void *arg)
{
  *(bool *)arg = true;
}

/* Guards against a wave that stops for good when the log's clock falls behind
   the planner's estimate of it by more than a lease: the planner then renewed
   its lease with every append.  */
START_TEST (test_log_clock_behind)
{
  struct edit_result res;
  const struct timespec pause = { .tv_sec = 1, .tv_nsec = 200000000 };
  start ();
  ck_assert_int_eq (create (FAR_DEADLINE_US, &res), 0);
  WAIT_FOR (hosts.calls > 0);
  nanosleep (&pause, NULL);
  WAIT_FOR (wave_is_done ());
  check_done ();
  stop ();
}
END_TEST

/* Guards against callbacks after wave_run_fini when calls of the stores are in
   progress.  */
START_TEST (test_fini_with_calls_in_progress)
{
  struct edit_result res;
  start ();
  ck_assert_int_eq (create (FAR_DEADLINE_US, &res), 0);
  WAIT_FOR (hosts.calls > 0);
  wave_run_fini (&run);
  bool passed = false;
  tevent_add_timer (ev, ev, tevent_timeval_current_ofs (1, 500000), on_passed,
                    &passed);
  WAIT_FOR (passed);
  ck_assert_ptr_null (run.priv);
  stop ();
}
END_TEST

/* Guards against a run that stops permanently when the host store accepts no
   call, and against an edit that is accepted for a wave that does not
   exist.  */
START_TEST (test_store_full)
{
  struct edit_result res;
  start ();
  ck_assert_int_eq (
      wave_run_pause (&run, "w", "ana", FAR_DEADLINE_US, on_edit_result, &res),
      ERR_NOT_FOUND);
  hosts.refuse = true;
  ck_assert_int_eq (create (FAR_DEADLINE_US, &res), 0);
  WAIT_FOR (res.count > 0);
  const struct wave *wv = wave_find (wave_run_state (&run), "w");
  WAIT_FOR (wv->hosts_in_step[WAVE_DRAINING] > 0);
  hosts.refuse = false;
  WAIT_FOR (wave_is_done ());
  check_done ();
  stop ();
}
END_TEST

/* Guards against an undecodable record that stops reading of the stream
   permanently.  */
START_TEST (test_unreadable)
{
  struct edit_result res;
  start ();
  log_memory_put (&mem, (const uint8_t *)"x", 1);
  WAIT_FOR (wave_run_state (&run)->next_offset == 1);
  WAIT_FOR (wave_run_ready (&run));
  ck_assert_int_eq (create (FAR_DEADLINE_US, &res), 0);
  WAIT_FOR (wave_is_done ());
  stop ();
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("wave_run");
  TCase *tc = tcase_create ("wave_run");
  tcase_set_timeout (tc, 2 * PROGRESS_TIMEOUT_S);
  tcase_add_loop_test (tc, test_append_faults, 0, ROWS (faults));
  tcase_add_loop_test (tc, test_deadline, 0, ROWS (deadlines));
  tcase_add_test (tc, test_deadline_before_append);
  tcase_add_test (tc, test_restart);
  tcase_add_test (tc, test_log_clock_behind);
  tcase_add_test (tc, test_fini_with_calls_in_progress);
  tcase_add_test (tc, test_store_full);
  tcase_add_test (tc, test_unreadable);
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed != 0;
}
