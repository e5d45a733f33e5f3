#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "placer_world.h"
#include "sched/placer_priv.h"
#include "sched/pool.h"

/* Tests of hosts that are to be emptied while perpetual tasks need their
   places.  The workers answer each command at once.  */

#define SIM_RUNS_MAX 64
/* A worker's answer in placer_world has room for so many runs.  */
#define SIM_ROWS_MAX 8
#define TICK_MS 40
/* Time after which the workers are enrolled and the takeover is done.  */
#define SETTLE_MS 9000
#define GRACE_MS 5000

/* A run on a worker, or an end that was not acknowledged.  */
struct sim_run
{
  char worker[NAME_BYTES];
  struct world_row row;
  bool ended;
};

static struct world *wld;
static struct sim_run sim_runs[SIM_RUNS_MAX];
static size_t sim_count;
static uint64_t sim_ends;
/* Name of a worker that does not answer, or "".  */
static char sim_silent[NAME_BYTES];

static void
setup (void)
{
  wld = world_create ();
  world_release_earlier (wld);
  sim_count = 0;
  sim_ends = 0;
  sim_silent[0] = '\0';
}

static void
teardown (void)
{
  world_destroy (wld);
}

/* Adds a worker with LABEL, unless it is NULL, on the host "m-ID".  */
static void
add_worker (const char *id, int64_t cpu_milli, int64_t memory_mb,
            const char *label)
{
  struct worker_report rep
      = { .capacity = { .cpu_milli = cpu_milli, .memory_mb = memory_mb },
          .clock_ms = 1000,
          .born_ms = 1000 };
  name_copy (rep.id, id);
  name_copy (rep.pool, "p");
  name_copy (rep.address, "10.0.0.1:1");
  snprintf (rep.host, sizeof rep.host, "m-%s", id);
  if (label)
    name_copy (rep.labels[rep.label_count++], label);
  placer_update_worker (wld->plc, id, &rep);
}

static struct worker *
find_worker (const char *id)
{
  struct worker *wrk = pool_find_id (&wld->plc->pool, id);
  ck_assert_ptr_nonnull (wrk);
  return wrk;
}

static struct sim_run *
find_run (uint64_t job, uint32_t index)
{
  for (size_t n = 0; n < sim_count; n++)
    if (!sim_runs[n].ended && sim_runs[n].row.job == job
        && sim_runs[n].row.index == index)
      return &sim_runs[n];
  return NULL;
}

static void
end_run (struct sim_run *run, enum run_end end)
{
  ck_assert_ptr_nonnull (run);
  run->ended = true;
  run->row.end = end;
  run->row.number = ++sim_ends;
}

static void
sim_hold (struct world_call *call)
{
  struct world_row running[SIM_ROWS_MAX], ended[SIM_ROWS_MAX];
  size_t running_count = 0, ended_count = 0, kept = 0;
  for (size_t n = 0; n < sim_count; n++)
    {
      struct sim_run *run = &sim_runs[n];
      bool here = strcmp (run->worker, call->worker) == 0;
      if (here && run->ended && run->row.number <= call->last_seen)
        continue;
      ck_assert_uint_lt (running_count, SIM_ROWS_MAX);
      ck_assert_uint_lt (ended_count, SIM_ROWS_MAX);
      if (here && run->ended)
        ended[ended_count++] = run->row;
      else if (here)
        running[running_count++] = run->row;
      sim_runs[kept++] = *run;
    }
  sim_count = kept;
  world_answer_hold (wld, call->worker, running, running_count, ended,
                     ended_count);
}

static void
sim_answer (struct world_call *call)
{
  struct sim_run *run = find_run (call->task.job, call->task.index);
  switch (call->kind)
    {
    case WORLD_START:
      ck_assert_msg (!run, "a task has two runs");
      ck_assert_uint_lt (sim_count, SIM_RUNS_MAX);
      run = &sim_runs[sim_count++];
      *run = (struct sim_run){ .row = { .job = call->task.job,
                                        .index = call->task.index,
                                        .run = call->run } };
      name_copy (run->worker, call->worker);
      break;
    case WORLD_STOP:
      if (run && run->row.run == call->run)
        end_run (run, RUN_END_STOPPED);
      break;
    case WORLD_HOLD:
      sim_hold (call);
      return;
    case WORLD_PACE:
      break;
    }
  world_answer (wld, call, COMMAND_DONE);
}

/* Lets MS pass; the workers answer what they are sent.  */
static void
play (int64_t ms)
{
  for (int64_t left = ms; left > 0; left -= TICK_MS)
    {
      size_t kept = 0;
      world_confirm_ownership (wld);
      world_tick (wld, TICK_MS);
      world_complete_append (wld);
      for (size_t n = 0; n < wld->call_count; n++)
        if (!wld->calls[n].answered
            && strcmp (wld->calls[n].worker, sim_silent) != 0)
          sim_answer (&wld->calls[n]);
      for (size_t n = 0; n < wld->call_count; n++)
        if (!wld->calls[n].answered)
          wld->calls[kept++] = wld->calls[n];
      wld->call_count = kept;
    }
}

/* Number of runs on WORKER.  */
static size_t
count_runs (const char *worker)
{
  size_t count = 0;
  for (size_t n = 0; n < sim_count; n++)
    count += !sim_runs[n].ended && strcmp (sim_runs[n].worker, worker) == 0;
  return count;
}

static void
vacate (const char *host)
{
  ck_assert (placer_vacate (wld->plc, host,
                            wld->clk.now_us + (int64_t)GRACE_MS * 1000));
}

/* Adds COUNT workers "w0" and so on.  */
static void
add_workers (int count)
{
  char id[16];
  for (int n = 0; n < count; n++)
    {
      snprintf (id, sizeof id, "w%d", n);
      add_worker (id, 4000, 8192, NULL);
    }
}

/* Reasons why a perpetual task has no place.  */
struct unplaced_case
{
  const char *job;
  int free_workers; /* beside "w0", which the job's other tasks use */
  const char *vacated, *draining, *silent;
  const char *fields; /* of the log line */
};

/* Guards against a perpetual task without a run of which no line tells, or not
   why: no worker is free, so placer.stalled says nothing.  */
START_TEST (test_unplaced_reported)
{
  static const struct unplaced_case rows[] = {
    { "{\"steps\":[{\"count\":3,\"cpu\":1000,\"fills\":true,"
      "\"perpetual\":true,\"anti-affinity\":2}]}",
      0, "", "", "",
      "workers=1 vacated=0 draining=0 unavailable=0 label=0 bound=1 no_room=0 "
      "allowed=0" },
    { "{\"steps\":[{\"count\":3,\"cpu\":2000,\"perpetual\":true}]}", 0, "", "",
      "",
      "workers=1 vacated=0 draining=0 unavailable=0 label=0 bound=0 no_room=1 "
      "allowed=0" },
    { "{\"steps\":[{\"count\":3,\"mem-mb\":4096,\"fills\":true,"
      "\"perpetual\":true}]}",
      0, "", "", "",
      "workers=1 vacated=0 draining=0 unavailable=0 label=0 bound=0 no_room=1 "
      "allowed=0" },
    { "{\"steps\":[{\"count\":1,\"cpu\":1000,\"perpetual\":true,"
      "\"requirements\":\"gpu\"}]}",
      2, "m-w1", "w2", "",
      "workers=3 vacated=1 draining=1 unavailable=0 label=1 bound=0 no_room=0 "
      "allowed=0 required_label=gpu" },
    { "{\"steps\":[{\"count\":1,\"cpu\":9000,\"perpetual\":true}]}", 1, "", "",
      "w1",
      "workers=2 vacated=0 draining=0 unavailable=1 label=0 bound=0 no_room=1 "
      "allowed=0" },
  };
  const struct unplaced_case *row = &rows[_i];
  FILE *file = tmpfile ();
  char text[4096];
  ck_assert_ptr_nonnull (file);
  add_workers (1 + row->free_workers);
  play (SETTLE_MS);
  if (*row->vacated)
    vacate (row->vacated);
  if (*row->draining)
    find_worker (row->draining)->rep.draining = true;
  if (*row->silent)
    find_worker (row->silent)->avoid_until_us = INT64_MAX;
  wld->plc->env.lg
      = logger_create (NULL, &wld->clk.clk, fileno (file), LOG_LEVEL_WARN);
  world_add_job (wld, 1, row->job, 200);
  play (2000);
  logger_destroy (wld->plc->env.lg);
  wld->plc->env.lg = NULL;
  rewind (file);
  size_t len = fread (text, 1, sizeof text - 1, file);
  text[len] = '\0';
  fclose (file);
  ck_assert_msg (strstr (text, "task.unplaced"), "no line: %s", text);
  ck_assert_msg (strstr (text, row->fields), "fields: %s", text);
  ck_assert_msg (strstr (text, "owner=ready"), "owner: %s", text);
  ck_assert_uint_eq (wld->plc->unplaced_reports, 1);
}
END_TEST

/* Guards against a log that is flooded by a pool without hosts: the number of
   lines has a limit, and each task comes again after 5 s only.  */
START_TEST (test_unplaced_reports_limited)
{
  static const struct
  {
    int64_t ms;
    uint32_t reports; /* since the last 5 s began */
  } rows[] = { { 900, 0 }, { 1400, 4 }, { 5900, 4 }, { 6700, 4 } };
  int64_t passed = 0;
  uint32_t total = 0;
  add_workers (1);
  play (SETTLE_MS);
  world_add_job (wld, 1,
                 "{\"steps\":[{\"count\":9,\"cpu\":9000,\"perpetual\":true}]}",
                 200);
  for (size_t n = 0; n < sizeof rows / sizeof rows[0]; n++)
    {
      play (rows[n].ms - passed);
      passed = rows[n].ms;
      ck_assert_uint_eq (wld->plc->unplaced_reports, rows[n].reports);
    }
  for (size_t n = 0; n < wld->plc->unplaced_count; n++)
    total += wld->plc->unplaced[n].reported_us > 0;
  ck_assert_uint_eq (wld->plc->unplaced_count, 9);
  ck_assert_uint_eq (total, 8);
}
END_TEST

/* Guards against lines for tasks that start in time.  */
START_TEST (test_unplaced_not_reported)
{
  add_workers (2);
  play (SETTLE_MS);
  world_add_job (wld, 1,
                 "{\"steps\":[{\"count\":2,\"cpu\":1000,\"perpetual\":true,"
                 "\"anti-affinity\":1}]}",
                 200);
  for (int n = 0; n < 2; n++)
    {
      play (1200);
      end_run (find_run (1, 0), RUN_END_FAILED);
    }
  play (1200);
  ck_assert_uint_eq (count_runs ("w0"), 1);
  ck_assert_uint_eq (count_runs ("w1"), 1);
  ck_assert_uint_eq (wld->plc->unplaced_reports, 0);
}
END_TEST

#define BOUND_JOB                                                             \
  "{\"steps\":[{\"count\":7,\"cpu\":1000,\"mem-mb\":64,\"fills\":true,"       \
  "\"perpetual\":true,\"anti-affinity\":2}]}"

/* Guards against a perpetual task that never starts again: two of four hosts
   are to be emptied, and each of the others has as many of its siblings as the
   job allows, which have no other place either.  */
START_TEST (test_task_beside_vacated_hosts)
{
  char worker[NAME_BYTES], host[NAME_BYTES];
  add_workers (4);
  play (SETTLE_MS);
  world_add_job (wld, 1, BOUND_JOB, 200);
  play (2000);
  ck_assert_ptr_nonnull (find_run (1, 3));
  name_copy (worker, find_run (1, 3)->worker);
  name_copy (host, find_worker (worker)->rep.host);
  vacate (host);
  vacate (strcmp (worker, "w0") == 0 ? "m-w1" : "m-w0");
  play (200);
  if (find_run (1, 3))
    end_run (find_run (1, 3), RUN_END_FAILED);
  play (2000);
  ck_assert_ptr_nonnull (find_run (1, 3));
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("placer_vacate");
  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_add_loop_test (tc, test_unplaced_reported, 0, 5);
  tcase_add_test (tc, test_unplaced_reports_limited);
  tcase_add_test (tc, test_unplaced_not_reported);
  tcase_add_test (tc, test_task_beside_vacated_hosts);
  Suite *suite = suite_create ("placer_vacate");
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
