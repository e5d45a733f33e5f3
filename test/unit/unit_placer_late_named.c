#include <check.h>
#include <stdio.h>
#include <string.h>

#include "base/log.h"
#include "fleet/host_link.h"
#include "placer_world.h"
#include "sched/placer_priv.h"

/* The line task.unplaced names a perpetual task that is tied to the worker of
   a start without an answer, and why it does not start there.  */

#define PERPETUAL_JOB                                                         \
  "{\"steps\":[{\"count\":1,\"cpu\":1000,\"mem-mb\":64,\"perpetual\":true}]}"
/* Tasks that no worker takes.  */
#define LABEL_JOB                                                             \
  "{\"steps\":[{\"count\":6,\"cpu\":1000,\"mem-mb\":64,\"perpetual\":true,"   \
  "\"requirements\":\"x\"}]}"
#define BORN_MS 1000
#define STEP_MS 50
/* Such a task is named within this time.  */
#define NAMED_MS 3000

enum change
{
  DRAINS,       /* w1 answers, and leaves by its own notice */
  HOST_IS_DOWN, /* w1 is shown as down, and there is no other */
  NEVER_ANSWERS /* w1 has a start of an earlier owner */
};

static const struct
{
  enum change change;
  bool others; /* further tasks wait, and did so before */
  const char *fields;
} cases[] = {
  { DRAINS, false,
    "waits_for=place_of_late_start awaited=w1 place=draining tie_left_ms=" },
  { DRAINS, true,
    "waits_for=place_of_late_start awaited=w1 place=draining tie_left_ms=" },
  { NEVER_ANSWERS, false,
    "waits_for=late_start awaited=w1 place=silent tie_left_ms=" },
  { NEVER_ANSWERS, true,
    "waits_for=late_start awaited=w1 place=silent tie_left_ms=" },
  { HOST_IS_DOWN, false,
    "waits_for=none awaited=\"\" place=\"\" tie_left_ms=0" },
};

static struct world *wld;

static void
report_draining (void)
{
  struct worker_report rep
      = { .capacity = { .cpu_milli = 4000, .memory_mb = 8192 },
          .born_ms = BORN_MS,
          .draining = true };
  name_copy (rep.id, "w1");
  name_copy (rep.host, "m-w1");
  name_copy (rep.pool, "p");
  name_copy (rep.address, "10.0.0.1:1");
  placer_update_worker (wld->plc, "w1", &rep);
}

static void
list_host_as_down (void)
{
  const struct host_report host
      = { .name = "m-w1", .worker = "w1", .pool = "p", .state = HOST_DOWN };
  const struct host_list list = { .hosts = &host, .count = 1 };
  placer_update_hosts (wld->plc, &list, wld->clk.now_us - 100000);
}

/* Lets MS pass; w1 answers if ANSWERS, and lists nothing.  */
static void
pass (int ms, bool answers)
{
  for (int n = 0; n < ms / STEP_MS; n++)
    {
      struct world_call *call;
      world_confirm_ownership (wld);
      world_tick (wld, STEP_MS);
      world_complete_append (wld);
      while ((call = world_call (wld, WORLD_STOP, "w1")))
        world_answer (wld, call, answers ? COMMAND_DONE : COMMAND_NO_ANSWER);
      if ((call = world_call (wld, WORLD_HOLD, "w1")) && answers)
        world_answer_hold (wld, "w1", NULL, 0, NULL, 0);
      else if (call)
        world_answer (wld, call, COMMAND_NO_ANSWER);
    }
}

static void
tie_to_w1 (enum change change, bool others)
{
  struct late_start late
      = { .ref = { .job = 2 }, .number = 1, .worker = "w1", .host = "m-w1" };
  if (change == NEVER_ANSWERS)
    {
      if (others)
        world_add_job (wld, 3, LABEL_JOB, 201);
      pass (others ? 2500 : 0, false);
      world_add_job (wld, 2, PERPETUAL_JOB, 200);
      late.sent_us = wld->clk.now_us;
      placer_add_earlier_start (wld->plc, &late);
      world_add_worker (wld, "w1", BORN_MS);
      world_release_earlier (wld);
      return;
    }
  world_add_worker (wld, "w1", BORN_MS);
  world_enrol_worker (wld, "w1");
  world_release_earlier (wld);
  if (others)
    world_add_job (wld, 3, LABEL_JOB, 201);
  pass (2500, true);
  world_add_job (wld, 2, PERPETUAL_JOB, 200);
  world_confirm_ownership (wld);
  world_tick (wld, 1);
  world_record_runs (wld);
  world_answer (wld, world_call (wld, WORLD_START, "w1"), COMMAND_NO_ANSWER);
  if (change == DRAINS)
    report_draining ();
}

/* Guards against a task that may run on one worker only and does not (LOST),
   while no line tells within 3 s why that one does not take it.  */
START_TEST (test_tie_is_named)
{
  const enum change change = cases[_i].change;
  char text[16384];
  FILE *file = tmpfile ();
  ck_assert_ptr_nonnull (file);
  wld = world_create ();
  wld->hold_born_ms = BORN_MS;
  wld->plc->env.lg
      = logger_create (NULL, &wld->clk.clk, fileno (file), LOG_LEVEL_WARN);
  tie_to_w1 (change, cases[_i].others);
  if (change == HOST_IS_DOWN)
    {
      pass (HOST_LIST_LAG_US / 1000 + 200, false);
      list_host_as_down ();
    }
  pass (NAMED_MS, change == DRAINS);
  logger_destroy (wld->plc->env.lg);
  wld->plc->env.lg = NULL;
  rewind (file);
  size_t len = fread (text, 1, sizeof text - 1, file);
  text[len] = '\0';
  fclose (file);
  const char *line = strstr (text, "task=0000000000000002.0.0.0 for_ms=");
  const char *end = line ? strchr (line, '\n') : NULL;
  const char *found = line ? strstr (line, cases[_i].fields) : NULL;
  ck_assert_msg (found && found < end, "%s: %s", cases[_i].fields, text);
  world_destroy (wld);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("placer_late_named");
  TCase *tc = tcase_create ("placer_late_named");
  tcase_add_loop_test (tc, test_tie_is_named, 0, sizeof cases / sizeof *cases);
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed != 0;
}
