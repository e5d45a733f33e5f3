#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base/log.h"
#include "fleet/host_link.h"
#include "job/job_codec.h"
#include "placer_world.h"
#include "sched/placer_priv.h"

/* The line task.unplaced names a perpetual task that may not be placed yet,
   and whom it waits for; task.placed tells at the end of the wait what it
   consisted of.  */

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
  if (cases[_i].hindrance != EARLIER_OWNER)
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

/* What ends the waits of the following cases begins after this time.  */
#define HELD_MS 2400
#define LATE_HELD_MS 9400
/* Longest time from then to the line.  */
#define TOLD_MS 1500

enum held_by
{
  HELD_EARLIER_OWNER,
  HELD_LATE_START,
  HELD_OTHER_POOL,
  HELD_NO_PLACE,
  HELD_ROOM,
  HELD_OWNER,
  HELD_START,
  HELD_REFUSED,
};

enum held_until
{
  UNTIL_RELEASED, /* what holds the task back is over */
  UNTIL_FOUND,    /* a worker lists a run of it */
  UNTIL_JOB_ENDS,
  UNTIL_FENCED,
  UNTIL_CLOSED,
};

/* Waits by what holds the task back, how they end and what the line says.  */
static const struct
{
  enum held_by by;
  enum held_until until;
  int64_t held_ms;
  const char *event;
  const char *outcome;
  const char *longest;
  const char *awaited;
} waits[] = {
  { HELD_EARLIER_OWNER, UNTIL_RELEASED, HELD_MS, "task.placed", "started",
    "earlier_owner", "w2" },
  { HELD_LATE_START, UNTIL_RELEASED, HELD_MS, "task.placed", "started",
    "late_start", "w3" },
  { HELD_OTHER_POOL, UNTIL_RELEASED, HELD_MS, "task.placed", "started",
    "other", "" },
  { HELD_NO_PLACE, UNTIL_RELEASED, HELD_MS, "task.placed", "started",
    "no_place", "" },
  { HELD_ROOM, UNTIL_RELEASED, HELD_MS, "task.placed", "started", "room",
    "w1" },
  { HELD_OWNER, UNTIL_RELEASED, HELD_MS, "task.placed", "started", "owner",
    "" },
  { HELD_START, UNTIL_RELEASED, HELD_MS, "task.placed", "started", "start",
    "w1" },
  { HELD_REFUSED, UNTIL_RELEASED, HELD_MS, "task.placed", "started", "start",
    "w1" },
  { HELD_NO_PLACE, UNTIL_RELEASED, LATE_HELD_MS, "task.placed_late", "started",
    "no_place", "" },
  { HELD_EARLIER_OWNER, UNTIL_FOUND, HELD_MS, "task.placed", "found",
    "earlier_owner", "w2" },
  { HELD_NO_PLACE, UNTIL_JOB_ENDS, HELD_MS, "task.placed", "ended", "no_place",
    "" },
  { HELD_NO_PLACE, UNTIL_FENCED, HELD_MS, "task.placed", "handed_over",
    "no_place", "" },
  { HELD_NO_PLACE, UNTIL_CLOSED, HELD_MS, "task.placed", "handed_over",
    "no_place", "" },
  { HELD_NO_PLACE, UNTIL_CLOSED, LATE_HELD_MS, "task.placed_late",
    "handed_over", "no_place", "" },
};

/* The tasks that "w1" runs, and whether it answers starts and stops.  */
static struct world_row rows[2];
static size_t row_count;
static bool others_read, silent, refuses;
static struct job *held_job;

static int64_t
others_read_us (void *arg)
{
  return others_read ? wld->clk.now_us : 0;
}

static void
answer_worker (void)
{
  struct world_call *call;
  while (!silent && (call = world_call (wld, WORLD_START, "w1")))
    {
      if (!refuses)
        rows[row_count++]
            = (struct world_row){ .job = call->task.job, .run = call->run };
      world_answer (wld, call, refuses ? COMMAND_REJECTED : COMMAND_DONE);
    }
  while (!silent && (call = world_call (wld, WORLD_STOP, "w1")))
    {
      world_answer (wld, call, COMMAND_DONE);
      row_count = 0;
    }
  if (world_call (wld, WORLD_HOLD, "w1"))
    world_answer_hold (wld, "w1", rows, row_count, NULL, 0);
}

static void
play (int64_t ms, bool own)
{
  for (int64_t passed = 0; passed < ms; passed += STEP_MS)
    {
      answer_worker ();
      if (own)
        world_confirm_ownership (wld);
      world_tick (wld, STEP_MS);
      world_complete_append (wld);
    }
}

static void
hold_back (enum held_by by)
{
  static const char full_job[]
      = "{\"steps\":[{\"count\":1,\"cpu\":4000,\"mem-mb\":64}]}";
  others_read = by != HELD_OTHER_POOL;
  wld->plc->env.others_read_us = others_read_us;
  if (by == HELD_EARLIER_OWNER)
    placer_add_earlier_worker (wld->plc, "w2", "m-w2", 1000, wld->clk.now_us);
  if (by == HELD_NO_PLACE)
    pool_find_id (&wld->plc->pool, "w1")->rep.draining = true;
  if (by == HELD_ROOM)
    {
      world_add_job (wld, 1, full_job, 200);
      play (1000, true);
      ck_assert_uint_eq (row_count, 1);
    }
  if (by == HELD_OWNER)
    wld->log_age_ms = 5000;
  silent = by == HELD_START || by == HELD_ROOM;
  refuses = by == HELD_REFUSED;
  held_job = world_add_job (wld, 2, PERPETUAL_JOB,
                            by == HELD_EARLIER_OWNER ? 50 : 200);
  held_job->pool_uncertain = by == HELD_OTHER_POOL;
  if (by == HELD_LATE_START)
    {
      const struct late_start late = { .ref = { .job = 2 },
                                       .number = 1,
                                       .worker = "w3",
                                       .host = "m-w3",
                                       .sent_us = wld->clk.now_us };
      placer_add_earlier_start (wld->plc, &late);
    }
}

static void
release (enum held_by by)
{
  const struct host_report host
      = { .name = "m-w1", .pool = "p", .state = HOST_UP };
  const struct host_list list = { .hosts = &host, .count = 1 };
  others_read = true;
  silent = refuses = false;
  wld->log_age_ms = 0;
  pool_find_id (&wld->plc->pool, "w1")->rep.draining = false;
  if (by == HELD_EARLIER_OWNER)
    placer_limit_earlier_leases (wld->plc, wld->clk.now_us);
  /* The host of the late start is gone.  */
  for (int n = 0; n < 2 && by == HELD_LATE_START; n++)
    placer_update_hosts (wld->plc, &list, wld->clk.now_us);
}

static void
find_run (void)
{
  const struct world_row row = { .job = 2, .run = 1 };
  world_add_worker (wld, "w2", 1000);
  world_tick (wld, STEP_MS);
  world_answer_hold (wld, "w2", &row, 1, NULL, 0);
}

/* The value of the field KEY in LINE.  */
static int64_t
field (const char *line, const char *key)
{
  const char *found = strstr (line, key);
  ck_assert_msg (found, "%s: %s", key, line);
  return strtoll (found + strlen (key), NULL, 10);
}

static void
check_line (const char *text, int n)
{
  static const char *const parts[] = {
    " earlier_owner_ms=", " late_start_ms=", " no_place_ms=", " room_ms=",
    " owner_ms=",         " start_ms=",      " other_ms="
  };
  char start[256];
  int64_t sum = 0, longest = 0;
  snprintf (start, sizeof start, "name=%s ", waits[n].event);
  const char *line = strstr (text, start);
  ck_assert_msg (line, "%d: no %s: %s", n, waits[n].event, text);
  ck_assert_msg (!strstr (line + 1, "name=task.placed"), "%d: %s", n, line);
  snprintf (start, sizeof start,
            " pool=p task=0000000000000002.0.0.0 outcome=%s for_ms=",
            waits[n].outcome);
  ck_assert_msg (strstr (line, start), "%d: %s: %s", n, start, line);
  for (size_t k = 0; k < sizeof parts / sizeof *parts; k++)
    {
      int64_t ms = field (line, parts[k]);
      sum += ms;
      longest = ms > longest ? ms : longest;
    }
  int64_t for_ms = field (line, " for_ms=");
  ck_assert_int_eq (sum, for_ms);
  ck_assert_int_ge (for_ms, waits[n].held_ms - 200);
  ck_assert_int_le (for_ms, waits[n].held_ms + 600);
  snprintf (start, sizeof start, " longest=%s ", waits[n].longest);
  ck_assert_msg (strstr (line, start), "%d: %s: %s", n, start, line);
  snprintf (start, sizeof start, " %s_ms=", waits[n].longest);
  ck_assert_int_eq (field (line, start), longest);
  ck_assert_int_ge (longest, waits[n].held_ms - 400);
  snprintf (start, sizeof start, " awaited=%s ",
            *waits[n].awaited ? waits[n].awaited : "\"\"");
  ck_assert_msg (strstr (line, start) || !*waits[n].awaited, "%d: %s: %s", n,
                 start, line);
}

/* Guards against a wait whose length and parts no line tells, so that its
   cause is guessed (LOST).  */
START_TEST (test_end_of_wait_is_told)
{
  char text[16384];
  FILE *file = tmpfile ();
  ck_assert_ptr_nonnull (file);
  row_count = 0;
  silent = refuses = false;
  others_read = true;
  wld = world_create ();
  world_add_worker (wld, "w1", 1000);
  world_enrol_worker (wld, "w1");
  if (waits[_i].by != HELD_EARLIER_OWNER)
    world_release_earlier (wld);
  play (1000, true);
  wld->plc->env.lg
      = logger_create (NULL, &wld->clk.clk, fileno (file), LOG_LEVEL_INFO);
  struct logger *lg = wld->plc->env.lg;
  hold_back (waits[_i].by);
  play (waits[_i].held_ms, true);
  if (waits[_i].until == UNTIL_RELEASED)
    release (waits[_i].by);
  if (waits[_i].until == UNTIL_FOUND)
    find_run ();
  if (waits[_i].until == UNTIL_JOB_ENDS)
    {
      held_job->state = JOB_CANCELLED;
      placer_update_job (wld->plc, held_job, JOB_CHANGE_CANCELLED);
    }
  if (waits[_i].until == UNTIL_FENCED)
    placer_note_fence (wld->plc, 99);
  if (waits[_i].until == UNTIL_CLOSED)
    world_take_over (wld, 99, 400);
  play (TOLD_MS, waits[_i].until != UNTIL_FENCED);
  bool started = waits[_i].until == UNTIL_RELEASED;
  struct histogram *hst = &wld->ctr.histograms[HST_TASK_UNPLACED];
  uint64_t counted = 0;
  for (size_t n = 0; n <= HISTOGRAM_BOUNDS; n++)
    counted += hst->counts[n];
  ck_assert_uint_eq (counted, started);
  wld->plc->env.lg = NULL;
  logger_destroy (lg);
  rewind (file);
  size_t len = fread (text, 1, sizeof text - 1, file);
  text[len] = '\0';
  fclose (file);
  check_line (text, _i);
  world_destroy (wld);
}
END_TEST

/* Guards against a line for each start: one that is confirmed within 1 s is no
   wait.  */
START_TEST (test_short_wait_is_not_told)
{
  char text[16384];
  FILE *file = tmpfile ();
  ck_assert_ptr_nonnull (file);
  row_count = 0;
  silent = refuses = false;
  others_read = true;
  wld = world_create ();
  world_add_worker (wld, "w1", 1000);
  world_enrol_worker (wld, "w1");
  world_release_earlier (wld);
  play (1000, true);
  wld->plc->env.lg
      = logger_create (NULL, &wld->clk.clk, fileno (file), LOG_LEVEL_INFO);
  hold_back (HELD_START);
  play (700, true);
  release (HELD_START);
  play (TOLD_MS, true);
  ck_assert_uint_eq (row_count, 1);
  ck_assert_uint_eq (wld->plc->unplaced_count, 0);
  logger_destroy (wld->plc->env.lg);
  wld->plc->env.lg = NULL;
  rewind (file);
  size_t len = fread (text, 1, sizeof text - 1, file);
  text[len] = '\0';
  fclose (file);
  ck_assert_msg (!strstr (text, "name=task.placed"), "%s", text);
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
  tcase_add_loop_test (tc, test_end_of_wait_is_told, 0,
                       sizeof waits / sizeof *waits);
  tcase_add_test (tc, test_short_wait_is_not_told);
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed != 0;
}
