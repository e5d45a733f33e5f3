#include <check.h>

#include "fleet/host_link.h"
#include "placer_world.h"
#include "sched/placer_priv.h"

/* Tests of a task whose start had no answer, when lists of hosts show that the
   worker of that start has ended; see docs/design/instances.md.  */

#define BATCH_JOB                                                             \
  "{\"steps\":[{\"count\":1,\"cpu\":1000,\"mem-mb\":64,\"estimate-ms\":900}]" \
  "}"
#define PERPETUAL_JOB                                                         \
  "{\"steps\":[{\"count\":1,\"cpu\":1000,\"mem-mb\":64,\"perpetual\":true}]}"
#define GANG_JOB                                                              \
  "{\"steps\":[{\"count\":1,\"cpu\":1000,\"mem-mb\":64,\"gang\":true}]}"
#define BORN_MS 1000
#define STEP_MS 50
/* Time between two lists of hosts.  */
#define LIST_MS 1000
/* When the worker's report is removed from the store.  */
#define REMOVED_MS 1800
/* A task starts within this time once nothing hinders it.  */
#define AGAIN_US 500000

enum list_shows
{
  GONE,        /* the host is not in the lists */
  REPLACED,    /* another worker has it */
  DOWN,        /* the worker may start again under its id */
  MOVING,      /* to another pool */
  MOVED,       /* another pool has it, with another worker */
  SPARE,       /* it is off, in the pool of spare hosts */
  MAINTENANCE, /* in this pool */
};

enum starter
{
  OWN,
  EARLIER_OWNER,
};

static const struct
{
  const char *job;
  enum starter starter;
  enum list_shows shows;
  /* From the start without an answer to the next one.  */
  int64_t least_us;
  /* From the end of the worker to the next start, or, if that has to wait,
     from the first list of hosts that lets it go on.  */
  int64_t most_us;
} cases[] = {
  { PERPETUAL_JOB, OWN, GONE, 0, AGAIN_US },
  { PERPETUAL_JOB, OWN, REPLACED, 0, AGAIN_US },
  { PERPETUAL_JOB, OWN, DOWN, 0, AGAIN_US },
  { BATCH_JOB, OWN, GONE, 0, AGAIN_US },
  { BATCH_JOB, OWN, REPLACED, 0, AGAIN_US },
  { BATCH_JOB, OWN, DOWN, LATE_CALL_MAX_US, AGAIN_US },
  { GANG_JOB, OWN, GONE, 0, AGAIN_US },
  { GANG_JOB, OWN, DOWN, LATE_CALL_MAX_US, AGAIN_US },
  { PERPETUAL_JOB, EARLIER_OWNER, GONE, 0, AGAIN_US },
  { PERPETUAL_JOB, EARLIER_OWNER, REPLACED, 0, AGAIN_US },
  /* It is waited for until the worker is removed from the pool.  */
  { PERPETUAL_JOB, EARLIER_OWNER, DOWN, 0, AGAIN_US + 3000000 },
  { BATCH_JOB, EARLIER_OWNER, GONE, 0, AGAIN_US },
  { BATCH_JOB, EARLIER_OWNER, DOWN, LATE_CALL_MAX_US, AGAIN_US },
  { PERPETUAL_JOB, OWN, MOVING, 0, AGAIN_US },
  { PERPETUAL_JOB, OWN, MOVED, 0, AGAIN_US },
  { PERPETUAL_JOB, OWN, SPARE, 0, AGAIN_US },
  { PERPETUAL_JOB, OWN, MAINTENANCE, 0, AGAIN_US },
  { BATCH_JOB, OWN, MOVING, 0, AGAIN_US },
  { BATCH_JOB, OWN, MOVED, 0, AGAIN_US },
  { BATCH_JOB, OWN, SPARE, 0, AGAIN_US },
  { BATCH_JOB, OWN, MAINTENANCE, LATE_CALL_MAX_US, AGAIN_US },
  { GANG_JOB, OWN, REPLACED, 0, AGAIN_US },
  { GANG_JOB, OWN, MOVING, 0, AGAIN_US },
  { GANG_JOB, OWN, MOVED, 0, AGAIN_US },
  { GANG_JOB, OWN, SPARE, 0, AGAIN_US },
  { PERPETUAL_JOB, EARLIER_OWNER, MOVING, 0, AGAIN_US },
  { PERPETUAL_JOB, EARLIER_OWNER, MOVED, 0, AGAIN_US },
  { PERPETUAL_JOB, EARLIER_OWNER, SPARE, 0, AGAIN_US },
  { BATCH_JOB, EARLIER_OWNER, REPLACED, 0, AGAIN_US },
  { BATCH_JOB, EARLIER_OWNER, MOVING, 0, AGAIN_US },
  { BATCH_JOB, EARLIER_OWNER, MOVED, 0, AGAIN_US },
  { BATCH_JOB, EARLIER_OWNER, SPARE, 0, AGAIN_US },
  { GANG_JOB, EARLIER_OWNER, GONE, 0, AGAIN_US },
  { GANG_JOB, EARLIER_OWNER, REPLACED, 0, AGAIN_US },
  { GANG_JOB, EARLIER_OWNER, MOVED, 0, AGAIN_US },
};

static struct world *wld;

/* Leaves run 1 of job 2 on w1 without an answer to its start, with w2 free.
   Returns when the start was sent.  */
static int64_t
leave_start_unanswered (const char *job, enum starter starter)
{
  struct late_start late = { .ref = { .job = 2 },
                             .number = 1,
                             .worker = "w1",
                             .host = "m-w1",
                             .sent_us = wld->clk.now_us - 500000 };
  if (starter == EARLIER_OWNER)
    {
      placer_add_earlier_worker (wld->plc, "w1", "m-w1", BORN_MS,
                                 wld->clk.now_us);
      world_add_job (wld, 2, job, 50);
      placer_add_earlier_start (wld->plc, &late);
      world_add_worker (wld, "w1", BORN_MS);
      world_release_earlier (wld);
    }
  else
    {
      world_add_worker (wld, "w1", BORN_MS);
      world_enrol_worker (wld, "w1");
      world_release_earlier (wld);
      world_add_job (wld, 2, job, 200);
      world_confirm_ownership (wld);
      world_tick (wld, 1);
      late.sent_us = wld->clk.now_us;
      world_answer (wld, world_call (wld, WORLD_START, "w1"),
                    COMMAND_NO_ANSWER);
    }
  world_add_worker (wld, "w2", BORN_MS);
  world_enrol_worker (wld, "w2");
  return late.sent_us;
}

/* Lets STEP_MS pass, in which w1 answers nothing.  */
static void
step (void)
{
  struct world_call *call;
  world_confirm_ownership (wld);
  world_tick (wld, STEP_MS);
  world_complete_append (wld);
  while ((call = world_call (wld, WORLD_STOP, "w1"))
         || (call = world_call (wld, WORLD_HOLD, "w1")))
    world_answer (wld, call, COMMAND_NO_ANSWER);
  if (world_call (wld, WORLD_HOLD, "w2"))
    world_answer_hold (wld, "w2", NULL, 0, NULL, 0);
}

static void
list_hosts (enum list_shows shows)
{
  const struct host_report hosts[] = {
    { .name = "m-w2", .worker = "w2", .pool = "p", .state = HOST_UP },
    { .name = "m-w1", .worker = "w7", .pool = "p", .state = HOST_UP },
    { .name = "m-w1", .worker = "w1", .pool = "p", .state = HOST_DOWN },
    { .name = "m-w1", .worker = "", .pool = "q", .state = HOST_MOVING },
    { .name = "m-w1", .worker = "w7", .pool = "q", .state = HOST_UP },
    { .name = "m-w1", .worker = "", .pool = "spare", .state = HOST_UP },
    { .name = "m-w1", .worker = "", .pool = "p", .state = HOST_MAINTENANCE },
  };
  struct host_report rows[2] = { hosts[0], hosts[shows] };
  const struct host_list list
      = { .hosts = rows, .count = shows == GONE ? 1 : 2 };
  placer_update_hosts (wld->plc, &list, wld->clk.now_us - 100000);
}

/* Guards against a task that waits (LOST) for a worker that has ended for
   good, and against two runs of it (TWICE) while that may start again under
   its id.  */
START_TEST (test_worker_has_ended)
{
  wld = world_create ();
  wld->hold_born_ms = BORN_MS;
  int64_t sent_us = leave_start_unanswered (cases[_i].job, cases[_i].starter);
  int64_t least_us = sent_us + cases[_i].least_us;
  size_t before = world_starts (wld, 2, 0);
  int64_t ended_us = 0;
  for (int n = 1; world_starts (wld, 2, 0) == before; n++)
    {
      const struct worker *wrk = pool_find_id (&wld->plc->pool, "w1");
      step ();
      if (n == REMOVED_MS / STEP_MS)
        placer_update_worker (wld->plc, "w1", NULL);
      if (n % (LIST_MS / STEP_MS) == 0)
        list_hosts (cases[_i].shows);
      if (!ended_us && wrk->reported_ended)
        ended_us = wld->clk.now_us;
      int64_t from_us = ended_us;
      if (cases[_i].least_us)
        from_us = least_us + HOST_LIST_LAG_US + LIST_MS * 1000;
      ck_assert_msg (
          !ended_us || wld->clk.now_us < from_us + cases[_i].most_us,
          "waits for over %d ms", (int)((wld->clk.now_us - from_us) / 1000));
      ck_assert_int_lt (n, 1000);
    }
  ck_assert_int_gt (ended_us, 0);
  ck_assert_int_gt (wld->clk.now_us, least_us);
  ck_assert_ptr_nonnull (world_call (wld, WORLD_START, "w2"));
  world_destroy (wld);
}
END_TEST

/* Guards against a perpetual task that has to wait for a host (LOST) after its
   one place, a worker that drains, has left: a host is asked for before.  */
START_TEST (test_host_beside_draining_worker)
{
  const bool drains = _i == 1;
  struct world_call *call;
  struct worker_report rep
      = { .capacity = { .cpu_milli = 4000, .memory_mb = 8192 },
          .born_ms = BORN_MS,
          .draining = drains };
  wld = world_create ();
  wld->hold_born_ms = BORN_MS;
  leave_start_unanswered (PERPETUAL_JOB, OWN);
  name_copy (rep.id, "w1");
  name_copy (rep.host, "m-w1");
  name_copy (rep.pool, "p");
  name_copy (rep.address, "10.0.0.1:1");
  placer_update_worker (wld->plc, "w1", &rep);
  /* Neither worker has room for the task or takes it.  */
  for (int n = 0; n < 40; n++)
    {
      world_confirm_ownership (wld);
      for (size_t k = 0; k < wld->plc->pool.count; k++)
        wld->plc->pool.workers[k]->avoid_until_us = INT64_MAX;
      world_tick (wld, STEP_MS);
      while ((call = world_call (wld, WORLD_STOP, "w1")))
        world_answer (wld, call, COMMAND_DONE);
      if (world_call (wld, WORLD_HOLD, "w1"))
        world_answer_hold (wld, "w1", NULL, 0, NULL, 0);
      if (world_call (wld, WORLD_HOLD, "w2"))
        world_answer_hold (wld, "w2", NULL, 0, NULL, 0);
    }
  ck_assert_uint_eq (wld->plc->late_start_count, 1);
  ck_assert_uint_eq (wld->plc->lacking_hosts, drains);
  world_destroy (wld);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("placer_late_ended");
  TCase *tc = tcase_create ("placer_late_ended");
  tcase_add_loop_test (tc, test_worker_has_ended, 0,
                       sizeof cases / sizeof *cases);
  tcase_add_loop_test (tc, test_host_beside_draining_worker, 0, 2);
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed != 0;
}
