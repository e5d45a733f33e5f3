#include <check.h>
#include <talloc.h>

#include "placer_world.h"

/* A perpetual task whose start has had no answer, and whose worker drains
   while others are free.  Listed in KNOWN-RED.txt.  */

#define BORN_MS 1000
#define STEP_MS 50
/* RULES.md, LOST: a task that lasts runs again by 9 s after its last run, as
   it may have no run for 3 s from 6 s after it.  */
#define AGAIN_MAX_US 9000000

static struct world *wld;

static void
answer_hold (const char *worker)
{
  if (world_call (wld, WORLD_HOLD, worker))
    world_answer_hold (wld, worker, NULL, 0, NULL, 0);
}

static void
drain (const char *id)
{
  struct worker_report rep
      = { .capacity = { .cpu_milli = 4000, .memory_mb = 8192 },
          .born_ms = BORN_MS,
          .draining = true };
  name_copy (rep.id, id);
  name_copy (rep.host, "m-w1");
  name_copy (rep.pool, "p");
  name_copy (rep.address, "10.0.0.1:1");
  placer_update_worker (wld->plc, id, &rep);
}

/* Guards against a perpetual task without a run (LOST) while its only place is
   a worker that leaves.  */
START_TEST (test_place_drains)
{
  wld = world_create ();
  wld->hold_born_ms = BORN_MS;
  world_add_worker (wld, "w1", BORN_MS);
  world_enrol_worker (wld, "w1");
  world_release_earlier (wld);
  world_add_job (wld, 2,
                 "{\"steps\":[{\"count\":1,\"cpu\":1000,\"mem-mb\":64,"
                 "\"perpetual\":true}]}",
                 200);
  world_confirm_ownership (wld);
  world_tick (wld, 1);
  int64_t sent_us = wld->clk.now_us;
  world_answer (wld, world_call (wld, WORLD_START, "w1"), COMMAND_NO_ANSWER);
  world_add_worker (wld, "w2", BORN_MS);
  drain ("w1");
  while (!world_call (wld, WORLD_START, "w2"))
    {
      ck_assert_int_lt (wld->clk.now_us, sent_us + AGAIN_MAX_US);
      world_confirm_ownership (wld);
      world_tick (wld, STEP_MS);
      world_complete_append (wld);
      struct world_call *call;
      while ((call = world_call (wld, WORLD_STOP, "w1")))
        world_answer (wld, call, COMMAND_DONE);
      answer_hold ("w1");
      answer_hold ("w2");
    }
  world_destroy (wld);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("placer_late_drain");
  TCase *tc = tcase_create ("placer_late_drain");
  tcase_add_test (tc, test_place_drains);
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed != 0;
}
