#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "placer_world.h"

/* A gang beside a backlog of small tasks, which take each processor that gets
   free at once.  */

#define SMALL_JOB                                                             \
  "{\"steps\":[{\"count\":1,\"cpu\":1000,\"mem-mb\":64,\"estimate-ms\":800}]" \
  "}"
#define GANG_JOB                                                              \
  "{\"steps\":[{\"count\":2,\"cpu\":1500,\"mem-mb\":64,\"estimate-ms\":800,"  \
  "\"gang\":true}]}"
#define GANG_ID 5
#define FIRST_SMALL_ID 100
#define STEP_MS 50
#define RUN_MS 800
/* One small job more than the worker runs comes in this time.  */
#define JOB_INTERVAL_MS 200
/* As long as the longest wait of any other task.  */
#define WAIT_MAX_MS 30000
#define RUNS_MAX 8

static struct world *wld;
static struct world_row runs[RUNS_MAX];
static int64_t ends_ms[RUNS_MAX];
static size_t run_count;
static uint64_t end_number;

static void
setup (void)
{
  wld = world_create ();
  wld->hold_born_ms = 1000;
  run_count = end_number = 0;
  world_add_worker (wld, "w1", 1000);
  world_enrol_worker (wld, "w1");
  world_release_earlier (wld);
}

static void
teardown (void)
{
  world_destroy (wld);
}

/* w1 takes starts, and lists the runs that have ended.  */
static void
answer (void)
{
  int64_t now_ms = wld->clk.now_us / 1000;
  struct world_row ended[RUNS_MAX];
  struct world_call *start;
  size_t ended_count = 0;
  while ((start = world_call (wld, WORLD_START, "w1")))
    {
      ck_assert_uint_lt (run_count, RUNS_MAX);
      runs[run_count] = (struct world_row){ .job = start->task.job,
                                            .index = start->task.index,
                                            .run = start->run };
      ends_ms[run_count++] = now_ms + RUN_MS;
      world_answer (wld, start, COMMAND_DONE);
    }
  if (!world_call (wld, WORLD_HOLD, "w1"))
    return;
  for (size_t n = run_count; n-- > 0;)
    if (now_ms >= ends_ms[n])
      {
        ended[ended_count] = runs[n];
        ended[ended_count].end = RUN_END_DONE;
        ended[ended_count++].number = ++end_number;
        runs[n] = runs[--run_count];
        ends_ms[n] = ends_ms[run_count];
      }
  world_answer_hold (wld, "w1", runs, run_count, ended, ended_count);
}

/* Guards against a gang that never starts (LOST): its worker has room for it
   and is never empty.  */
START_TEST (test_gang_beside_backlog)
{
  uint64_t next_id = FIRST_SMALL_ID;
  for (int ms = 0; ms < WAIT_MAX_MS; ms += STEP_MS)
    {
      if (ms % JOB_INTERVAL_MS == 0)
        {
          world_add_job (wld, next_id, SMALL_JOB, 200 + next_id);
          next_id++;
        }
      if (ms == 2000)
        world_add_job (wld, GANG_ID, GANG_JOB, 200);
      world_confirm_ownership (wld);
      world_tick (wld, STEP_MS);
      world_complete_append (wld);
      answer ();
      if (world_starts (wld, GANG_ID, 0) > 0)
        return;
    }
  ck_abort_msg ("the gang has not started");
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("placer_gang_wait");
  TCase *tc = tcase_create ("placer_gang_wait");
  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_add_test (tc, test_gang_beside_backlog);
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
