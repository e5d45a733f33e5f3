#include <check.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "base/log.h"
#include "job/job_codec.h"
#include "placer_world.h"
#include "sched/placer_record.h"

/* The line task.unplaced names a perpetual task that may not be placed yet,
   and whom it waits for.  */

#define BATCH_JOB "{\"steps\":[{\"count\":1,\"cpu\":1000,\"mem-mb\":64}]}"
#define PERPETUAL_JOB                                                         \
  "{\"steps\":[{\"count\":1,\"cpu\":1000,\"mem-mb\":64,\"perpetual\":true}]}"
#define STEP_MS 50
/* Such a task is named within this time.  */
#define NAMED_MS 3000

enum hindrance
{
  STORED_TWICE,
  PERHAPS_STORED_TWICE,
  EARLIER_OWNER,
  EARLIER_RUN,
  LATE_START,
};

static const struct
{
  enum hindrance hindrance;
  const char *job;
  const char *fields;
} cases[] = {
  { STORED_TWICE, PERPETUAL_JOB, "waits_for=withdrawal awaited=z" },
  { PERHAPS_STORED_TWICE, PERPETUAL_JOB,
    "waits_for=other_partitions awaited=\"\" " },
  { EARLIER_OWNER, PERPETUAL_JOB, "waits_for=earlier_owner awaited=w2" },
  { EARLIER_RUN, PERPETUAL_JOB, "waits_for=earlier_owner awaited=w3" },
  { LATE_START, PERPETUAL_JOB, "waits_for=late_start awaited=w3" },
  { STORED_TWICE, BATCH_JOB, "reason=stored_twice" },
  { PERHAPS_STORED_TWICE, BATCH_JOB, "reason=other_partitions" },
  { EARLIER_OWNER, BATCH_JOB, "reason=takeover" },
  { LATE_START, BATCH_JOB, "reason=late_start" },
};

static struct world *wld;

static int64_t
never_read_us (void *arg)
{
  return 0;
}

/* Stores job 2 for the pool "z" as well.  */
static void
add_rival (void)
{
  char key[JOB_KEY_BYTES + 1];
  struct job *job = job_table_find (&wld->jobs, 2);
  struct job_fold_result res;
  uint8_t *data;
  size_t len;
  const struct job_acceptance acc = { .queue = "q", .pool = "z" };
  ck_assert_int_eq (job_encode_spec (wld->ctx, &acc, &job->spec, &data, &len),
                    0);
  job_key_format (JOB_KEY_SPEC, 2, key);
  ck_assert_int_eq (job_table_fold (&wld->jobs, wld->ctx, 1, 5, key,
                                    JOB_KEY_BYTES, data, len, 0, &res),
                    0);
}

static void
make_hindrance (enum hindrance hindrance, const char *json)
{
  if (hindrance == PERHAPS_STORED_TWICE)
    wld->plc->env.others_read_us = never_read_us;
  if (hindrance == EARLIER_OWNER)
    {
      /* A worker that earlier owners have used, and that does not answer.  */
      placer_add_earlier_worker (wld->plc, "w2", "m-w2", 1000,
                                 wld->clk.now_us);
      world_add_job (wld, 2, json, 50);
      return;
    }
  if (hindrance == EARLIER_RUN)
    {
      /* Two such workers, of which the record names the second.  */
      Kingcuphollow__PoolWorkers__Run row
          = KINGCUPHOLLOW__POOL_WORKERS__RUN__INIT;
      row.job = 2;
      row.run = 1;
      placer_add_earlier_worker (wld->plc, "w2", "m-w2", 1000,
                                 wld->clk.now_us);
      placer_add_earlier_worker (wld->plc, "w3", "m-w3", 1000,
                                 wld->clk.now_us);
      wld->plc->earlier_runs_known = true;
      placer_add_earlier_run (wld->plc, "w3", &row);
      world_add_job (wld, 2, json, 50);
      return;
    }
  struct job *job = world_add_job (wld, 2, json, 200);
  job->pool_uncertain = hindrance == PERHAPS_STORED_TWICE;
  if (hindrance == STORED_TWICE)
    add_rival ();
  if (hindrance == LATE_START)
    {
      const struct late_start late = { .ref = { .job = 2 },
                                       .number = 1,
                                       .worker = "w3",
                                       .host = "m-w3",
                                       .sent_us = wld->clk.now_us };
      placer_add_earlier_start (wld->plc, &late);
    }
}

/* Guards against a task without a run for which no line tells within
   3 s who awaits what (LOST).  */
START_TEST (test_wait_is_named)
{
  char text[8192];
  FILE *file = tmpfile ();
  ck_assert_ptr_nonnull (file);
  wld = world_create ();
  world_add_worker (wld, "w1", 1000);
  world_enrol_worker (wld, "w1");
  if (cases[_i].hindrance != EARLIER_OWNER
      && cases[_i].hindrance != EARLIER_RUN)
    world_release_earlier (wld);
  wld->plc->env.lg
      = logger_create (NULL, &wld->clk.clk, fileno (file), LOG_LEVEL_WARN);
  make_hindrance (cases[_i].hindrance, cases[_i].job);
  for (int n = 0; n < NAMED_MS / STEP_MS; n++)
    {
      struct world_call *call = world_call (wld, WORLD_HOLD, "w1");
      if (call)
        world_answer_hold (wld, "w1", NULL, 0, NULL, 0);
      world_confirm_ownership (wld);
      world_tick (wld, STEP_MS);
      world_complete_append (wld);
    }
  logger_destroy (wld->plc->env.lg);
  wld->plc->env.lg = NULL;
  rewind (file);
  size_t len = fread (text, 1, sizeof text - 1, file);
  text[len] = '\0';
  fclose (file);
  ck_assert_msg (strstr (text, cases[_i].fields), "%s: %s", cases[_i].fields,
                 text);
  world_destroy (wld);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("placer_unplaced");
  TCase *tc = tcase_create ("placer_unplaced");
  tcase_add_loop_test (tc, test_wait_is_named, 0,
                       sizeof cases / sizeof *cases);
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed != 0;
}
