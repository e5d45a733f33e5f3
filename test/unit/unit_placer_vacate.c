#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/log.h"
#include "placer_sim.h"
#include "sched/placer_priv.h"
#include "sched/pool.h"

/* Tests of hosts that are to be emptied while perpetual tasks need their
   places.  The workers answer each command at once.  */

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
  sim_add_workers (1 + row->free_workers);
  sim_play (SIM_SETTLE_MS);
  if (*row->vacated)
    sim_vacate (row->vacated);
  if (*row->draining)
    sim_find_worker (row->draining)->rep.draining = true;
  if (*row->silent)
    sim_find_worker (row->silent)->avoid_until_us = INT64_MAX;
  wld->plc->env.lg
      = logger_create (NULL, &wld->clk.clk, fileno (file), LOG_LEVEL_WARN);
  world_add_job (wld, 1, row->job, 200);
  sim_play (2000);
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
  sim_add_workers (1);
  sim_play (SIM_SETTLE_MS);
  world_add_job (wld, 1,
                 "{\"steps\":[{\"count\":9,\"cpu\":9000,\"perpetual\":true}]}",
                 200);
  for (size_t n = 0; n < sizeof rows / sizeof rows[0]; n++)
    {
      sim_play (rows[n].ms - passed);
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
  sim_add_workers (2);
  sim_play (SIM_SETTLE_MS);
  world_add_job (wld, 1,
                 "{\"steps\":[{\"count\":2,\"cpu\":1000,\"perpetual\":true,"
                 "\"anti-affinity\":1}]}",
                 200);
  for (int n = 0; n < 2; n++)
    {
      sim_play (1200);
      sim_end_run (sim_find_run (1, 0), RUN_END_FAILED);
    }
  sim_play (1200);
  ck_assert_uint_eq (sim_count_runs ("w0"), 1);
  ck_assert_uint_eq (sim_count_runs ("w1"), 1);
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
  sim_add_workers (4);
  sim_play (SIM_SETTLE_MS);
  world_add_job (wld, 1, BOUND_JOB, 200);
  sim_play (2000);
  ck_assert_ptr_nonnull (sim_find_run (1, 3));
  name_copy (worker, sim_find_run (1, 3)->worker);
  name_copy (host, sim_find_worker (worker)->rep.host);
  sim_vacate (host);
  sim_vacate (strcmp (worker, "w0") == 0 ? "m-w1" : "m-w0");
  sim_play (200);
  if (sim_find_run (1, 3))
    sim_end_run (sim_find_run (1, 3), RUN_END_FAILED);
  sim_play (2000);
  ck_assert_ptr_nonnull (sim_find_run (1, 3));
}
END_TEST

#define WORKERS_MAX 6
#define JOBS_MAX 4
#define REQUESTS_MAX 3

#define TASKS(count, more) "{\"steps\":[{\"count\":" count "," more "}]}"
#define LASTING(count, more) TASKS (count, "\"perpetual\":true," more)
#define ONE_EACH "\"cpu\":1000,\"mem-mb\":64,\"anti-affinity\":1"
#define TWO_EACH "\"fills\":true,\"mem-mb\":64,\"anti-affinity\":2"
#define BATCH(count)                                                          \
  TASKS (count, "\"cpu\":1000,\"mem-mb\":1024,\"estimate-ms\":60000")

/* A pool, and the hosts that it is asked to give up.  */
struct vacate_case
{
  const char *title;
  struct
  {
    int64_t cpu_milli, memory_mb; /* 0: no worker */
    const char *label;
  } workers[WORKERS_MAX];
  struct
  {
    const char *json;
    const char *on; /* the worker that its tasks start on */
  } jobs[JOBS_MAX];
  const char *draining; /* a worker that leaves by its own notice */
  struct
  {
    const char *worker;
    enum placer_keep_reason kept;
  } requests[REQUESTS_MAX];
  int64_t pause_ms;     /* between the requests */
  const char *late_job; /* one that is accepted after the requests */
  uint32_t lacking;
  uint32_t placeless; /* those of them for tasks that have no run */
  const char *label;  /* that the pool lacks; NULL: any */
};

#define USUAL                                                                 \
  {                                                                           \
    4000, 8192, NULL                                                          \
  }

#define NONE PLACER_KEEP_NONE
#define NO_PLACE PLACER_KEEP_NO_PLACE
#define TASK_WAITS PLACER_KEEP_TASK_WAITS
#define NO_PROGRESS PLACER_KEEP_NO_PROGRESS

static const struct vacate_case vacate_cases[] = {
  { "bound, no spare worker",
    { USUAL, USUAL },
    { { LASTING ("1", ONE_EACH), "w0" }, { LASTING ("2", ONE_EACH), "" } },
    .requests = { { "w0", NO_PLACE } },
    .lacking = 1 },
  { "bound, a spare worker",
    { USUAL, USUAL, USUAL },
    { { LASTING ("2", ONE_EACH), "" } },
    .requests = { { "w2", NONE } } },
  { "in the order of the requests",
    { USUAL, USUAL, USUAL },
    { { LASTING ("2", ONE_EACH), "" } },
    .requests = { { "w0", NONE }, { "w1", NO_PLACE } },
    .lacking = 1 },
  { "in the order of the requests, the other way round",
    { USUAL, USUAL, USUAL },
    { { LASTING ("2", ONE_EACH), "" } },
    .requests = { { "w1", NONE }, { "w0", NO_PLACE } },
    .lacking = 1 },
  { "seven tasks, two on each of four workers",
    { USUAL, USUAL, USUAL, USUAL },
    { { LASTING ("7", TWO_EACH), "" } },
    /* At most a third of a pool is asked for at a time.  */
    .requests = { { "w0", NO_PLACE }, { "w3", NO_PLACE }, { "w1", NO_PLACE } },
    .lacking = 1 },
  { "label that no other worker has",
    { { 4000, 8192, "gpu" }, { 4000, 8192, "r2" }, USUAL },
    { { LASTING ("1", "\"cpu\":100,\"requirements\":\"gpu\""), "w0" } },
    .requests = { { "w2", NONE }, { "w0", NO_PLACE } },
    .lacking = 1,
    .label = "gpu" },
  { "label that another worker has",
    { { 4000, 8192, "gpu" }, { 4000, 8192, "r2" }, { 4000, 8192, "gpu" } },
    { { LASTING ("1", "\"cpu\":100,\"requirements\":\"gpu\""), "w0" } },
    .requests = { { "w0", NONE }, { "w2", NO_PLACE } },
    .pause_ms = 200,
    .lacking = 1,
    .label = "gpu" },
  { "a host that is asked for is no place, decided or not",
    { { 4000, 8192, "gpu" }, { 4000, 8192, "r2" }, { 4000, 8192, "gpu" } },
    { { LASTING ("1", "\"cpu\":100,\"requirements\":\"gpu\""), "w0" } },
    .requests = { { "w0", NO_PLACE }, { "w2", NONE } },
    .lacking = 1,
    .label = "gpu" },
  { "workers with several labels, racks among them",
    { { 4000, 8192, "ssd r1" },
      { 4000, 8192, "r1 gpu ssd" },
      { 4000, 8192, "gpu r2" } },
    { { LASTING ("1", "\"cpu\":2500,\"requirements\":\"r1\""), "w0" },
      { LASTING ("1", "\"cpu\":2500,\"requirements\":\"gpu\""), "w2" } },
    .requests = { { "w0", NONE }, { "w2", NO_PLACE } },
    .pause_ms = 200,
    .lacking = 1,
    .label = "gpu" },
  { "two labels, one of them gone",
    { { 4000, 8192, "a" },
      { 4000, 8192, "b" },
      { 4000, 8192, "a" },
      { 4000, 8192, "b" } },
    { { LASTING ("1", "\"cpu\":100,\"requirements\":\"a\""), "w0" },
      { LASTING ("1", "\"cpu\":100,\"requirements\":\"b\""), "w1" } },
    .requests = { { "w0", NONE }, { "w2", NO_PLACE }, { "w1", NONE } },
    .pause_ms = 200,
    .lacking = 1,
    .label = "a" },
  { "memory of a task that needs no processor",
    { USUAL, USUAL },
    { { LASTING ("1", "\"fills\":true,\"mem-mb\":5000"), "w0" },
      { LASTING ("1", "\"fills\":true,\"mem-mb\":5000"), "w1" } },
    .requests = { { "w0", NO_PLACE } },
    .lacking = 1 },
  { "a larger worker",
    { USUAL, { 8000, 16384, NULL } },
    { { LASTING ("1", "\"fills\":true,\"mem-mb\":5000"), "w0" },
      { LASTING ("1", "\"fills\":true,\"mem-mb\":5000"), "w1" } },
    .requests = { { "w0", NONE } } },
  { "workers that are too small",
    { USUAL, { 1000, 2048, NULL }, { 1000, 2048, NULL } },
    { { LASTING ("1", "\"cpu\":2000"), "w0" } },
    .requests = { { "w0", NO_PLACE } },
    .lacking = 1 },
  { "processors in use by perpetual tasks",
    { USUAL, USUAL },
    { { LASTING ("2", "\"cpu\":1500"), "w0" },
      { LASTING ("1", "\"cpu\":1500"), "w1" } },
    .requests = { { "w0", NO_PLACE } },
    .lacking = 1 },
  { "processors in use by batch tasks",
    { USUAL, USUAL },
    { { LASTING ("2", "\"cpu\":1500,\"may-miss\":1"), "w0" },
      { BATCH ("4"), "w1" } },
    .requests = { { "w0", NONE } } },
  { "batch tasks on the host, too",
    { USUAL, USUAL },
    { { LASTING ("1", "\"cpu\":1500"), "w0" },
      { BATCH ("2"), "w0" },
      { BATCH ("4"), "w1" } },
    .requests = { { "w0", NONE } } },
  { "batch tasks only",
    { USUAL, USUAL },
    { { BATCH ("4"), "w0" }, { BATCH ("4"), "w1" } },
    .requests = { { "w0", NONE } } },
  { "planned moves use up the places",
    { USUAL, USUAL, USUAL },
    { { LASTING ("1", "\"cpu\":3000"), "w0" },
      { LASTING ("1", "\"cpu\":3000"), "w1" } },
    .requests = { { "w0", NONE }, { "w1", NO_PLACE } },
    .lacking = 1 },
  { "a draining worker is no place, and takes one",
    { USUAL, USUAL, USUAL },
    { { LASTING ("3", ONE_EACH), "" } },
    .draining = "w2",
    .requests = { { "w0", NO_PLACE } },
    .lacking = 2 },
  { "tasks of a draining worker get a vacated host",
    { USUAL, USUAL },
    { { LASTING ("1", ONE_EACH), "w1" } },
    .draining = "w1",
    .requests = { { "w0", TASK_WAITS } },
    .lacking = 1 },
  { "a task that waits gets the host that was asked for last",
    { USUAL, USUAL, USUAL },
    { { LASTING ("1", "\"cpu\":4000"), "w0" },
      { BATCH ("1"), "w1" },
      { BATCH ("1"), "w2" } },
    .requests = { { "w1", NONE }, { "w2", TASK_WAITS } },
    .late_job = LASTING ("1", "\"cpu\":2000"),
    .lacking = 1 },
  { "a task that waits and fits on no vacated host",
    { { 4000, 8192, "r1" }, { 4000, 8192, "r1" }, { 2000, 8192, "r2" } },
    { { BATCH ("1"), "w1" }, { BATCH ("1"), "w2" } },
    .requests = { { "w1", NONE }, { "w2", NONE } },
    .late_job = LASTING ("2", "\"cpu\":9000,\"requirements\":\"r2\""),
    .lacking = 0 },
  { "a task that waits for a label that no worker has",
    { { 4000, 8192, "r1" }, { 4000, 8192, "r1" } },
    { { BATCH ("1"), "w1" } },
    .requests = { { "w1", NONE } },
    .late_job = LASTING ("2", "\"cpu\":3000,\"requirements\":\"r9\""),
    .lacking = 1,
    .placeless = 1,
    .label = "r9" },
  { "several tasks that wait, more than the vacated hosts take",
    { USUAL, USUAL },
    { { LASTING ("1", "\"cpu\":4000"), "w0" }, { BATCH ("1"), "w1" } },
    .requests = { { "w1", TASK_WAITS } },
    .late_job = LASTING ("5", ONE_EACH),
    .lacking = 5,
    .placeless = 4 },
};

/* Lets only the worker ON take tasks, or with "" all.  */
static void
use_only (const char *on)
{
  for (size_t n = 0; n < wld->plc->pool.count; n++)
    {
      struct worker *wrk = wld->plc->pool.workers[n];
      bool used = !*on || strcmp (wrk->rep.id, on) == 0;
      wrk->avoid_until_us = used ? 0 : INT64_MAX;
    }
}

static void
set_up_case (const struct vacate_case *row)
{
  char id[16];
  for (int n = 0; n < WORKERS_MAX && row->workers[n].cpu_milli > 0; n++)
    {
      snprintf (id, sizeof id, "w%d", n);
      sim_add_worker (id, row->workers[n].cpu_milli, row->workers[n].memory_mb,
                      row->workers[n].label);
    }
  sim_play (SIM_SETTLE_MS);
  for (int n = 0; n < JOBS_MAX && row->jobs[n].json; n++)
    {
      use_only (row->jobs[n].on);
      world_add_job (wld, (uint64_t)n + 1, row->jobs[n].json, 200 + n);
      sim_play (400);
    }
  use_only ("");
  if (row->draining)
    sim_find_worker (row->draining)->rep.draining = true;
}

static enum placer_keep_reason
kept_reason (const char *host)
{
  struct placer_kept kept;
  return placer_host_kept (wld->plc, host, &kept) ? kept.reason : NONE;
}

static bool
host_empty (const char *host)
{
  struct placer_vacated vac;
  return placer_host_empty (wld->plc, host, &vac);
}

/* Guards against hosts that are given up although a perpetual task loses its
   last place, that are refused although each has another one, and against
   waits without end: a host that is granted becomes empty, one that is kept
   does not and takes tasks.  */
START_TEST (test_requests)
{
  const struct vacate_case *row = &vacate_cases[_i];
  char hosts[REQUESTS_MAX][NAME_BYTES];
  size_t count = 0;
  set_up_case (row);
  for (; count < REQUESTS_MAX && row->requests[count].worker; count++)
    {
      name_copy (hosts[count],
                 sim_find_worker (row->requests[count].worker)->rep.host);
      sim_vacate (hosts[count]);
      sim_play (row->pause_ms);
    }
  if (row->late_job)
    world_add_job (wld, 9, row->late_job, 300);
  sim_play (2 * SIM_TICK_MS);
  if (row->late_job)
    sim_play (200);
  for (size_t n = 0; n < count; n++)
    ck_assert_msg (kept_reason (hosts[n]) == row->requests[n].kept,
                   "%s: %s: reason %d", row->title, hosts[n],
                   kept_reason (hosts[n]));
  ck_assert_msg (wld->plc->lacking_hosts == row->lacking, "%s: lacking %u",
                 row->title, wld->plc->lacking_hosts);
  ck_assert_msg (wld->plc->placeless_hosts == row->placeless,
                 "%s: placeless %u", row->title, wld->plc->placeless_hosts);
  ck_assert_msg (strcmp (wld->plc->lacking_label, row->label ? row->label : "")
                     == 0,
                 "%s: label %s", row->title, wld->plc->lacking_label);
  for (int n = 0; n < 8; n++)
    {
      sim_play (1000);
      for (size_t m = 0; m < count; m++)
        if (row->requests[m].kept != NONE)
          {
            sim_vacate (hosts[m]);
            ck_assert (!host_empty (hosts[m]));
          }
    }
  for (size_t n = 0; n < count; n++)
    {
      ck_assert_msg (kept_reason (hosts[n]) == row->requests[n].kept,
                     "%s: %s later: reason %d", row->title, hosts[n],
                     kept_reason (hosts[n]));
      ck_assert_msg (host_empty (hosts[n]) == (row->requests[n].kept == NONE),
                     "%s: %s: empty %d", row->title, hosts[n],
                     host_empty (hosts[n]));
      if (row->requests[n].kept != NONE)
        ck_assert (worker_schedulable (
            sim_find_worker (row->requests[n].worker), wld->clk.now_us));
    }
}
END_TEST

/* What the runs on WRK and the reservations there need.  */
static struct resources
sum_needs (const struct worker *wrk)
{
  struct resources sum = { 0 };
  for (const struct run *run = wrk->runs; run; run = run->next)
    resources_add (&sum, &run->job->spec.steps[run->ref.step], 1);
  for (const struct job *job = wld->jobs.by_id; job; job = job->hh.next)
    for (uint32_t n = 0; n < job->task_count; n++)
      if (job->occurrences[0].tasks[n].reserved_worker == wrk->handle)
        resources_add (&sum, &job->spec.steps[0], 1);
  return sum;
}

/* Guards against capacity that stays reserved after a move: nothing could use
   it any more.  */
START_TEST (test_reservations_given_back)
{
  set_up_case (&vacate_cases[_i]);
  for (int n = 0; n < REQUESTS_MAX && vacate_cases[_i].requests[n].worker; n++)
    sim_vacate (
        sim_find_worker (vacate_cases[_i].requests[n].worker)->rep.host);
  for (int n = 0; n < 100; n++)
    {
      if (n == 50)
        for (size_t m = 0; m < wld->plc->pool.count; m++)
          placer_vacate (wld->plc, wld->plc->pool.workers[m]->rep.host, 0);
      sim_play (SIM_TICK_MS);
      for (size_t m = 0; m < wld->plc->pool.count; m++)
        {
          const struct worker *wrk = wld->plc->pool.workers[m];
          struct resources sum = sum_needs (wrk);
          ck_assert_int_eq (wrk->used.cpu_milli, sum.cpu_milli);
          ck_assert_int_eq (wrk->used.memory_mb, sum.memory_mb);
        }
    }
}
END_TEST

/* Guards against a task that is started on a host whose order to be turned off
   may be on its way, as it was reported as empty; one that was not is given
   back.  */
START_TEST (test_told_empty)
{
  bool told = _i == 1;
  set_up_case (&(struct vacate_case){
      .workers = { USUAL, USUAL },
      .jobs = { { LASTING ("1", "\"cpu\":4000"), "w0" } } });
  sim_vacate ("m-w1");
  sim_play (2000);
  if (told)
    ck_assert (host_empty ("m-w1"));
  world_add_job (wld, 9, LASTING ("1", "\"cpu\":4000"), 300);
  sim_play (3000);
  ck_assert_int_eq (kept_reason ("m-w1"), told ? NONE : TASK_WAITS);
  ck_assert_uint_eq (sim_count_runs ("w1"), !told);
  ck_assert (host_empty ("m-w1") == told);
  ck_assert_uint_eq (wld->plc->lacking_hosts, 1);
}
END_TEST

/* Guards against a host that is vacated without end, as a run there does not
   end, and against one that is kept although runs leave it.  */
START_TEST (test_no_progress)
{
  /* LEAVES_MS after the request the first run there ends by itself.  */
  static const struct
  {
    int64_t leaves_ms, kept_after_ms;
  } rows[] = { { 0, 9000 }, { 3000, 9000 }, { 7000, 11000 } };
  int64_t kept_after_ms = 0;
  set_up_case (&(struct vacate_case){ .workers = { USUAL, USUAL },
                                      .jobs = { { BATCH ("2"), "w0" } } });
  sim_ignores_stops = true;
  sim_vacate ("m-w0");
  for (int64_t ms = SIM_TICK_MS; ms < 15000; ms += SIM_TICK_MS)
    {
      if (ms / SIM_TICK_MS == rows[_i].leaves_ms / SIM_TICK_MS)
        sim_end_run (sim_find_run (1, 0), RUN_END_DONE);
      sim_play (SIM_TICK_MS);
      if (kept_after_ms == 0 && kept_reason ("m-w0") != NONE)
        kept_after_ms = ms;
    }
  ck_assert_int_eq (kept_reason ("m-w0"), NO_PROGRESS);
  ck_assert_int_ge (kept_after_ms, rows[_i].kept_after_ms);
  ck_assert_int_le (kept_after_ms, rows[_i].kept_after_ms + 300);
  ck_assert_uint_eq (wld->plc->lacking_hosts, 0);
}
END_TEST

/* Guards against a host that is kept while its task waits for others of its
   step, of which one at a time may be away, to leave a host before it.  */
START_TEST (test_waits_for_moves)
{
  set_up_case (&(struct vacate_case){
      .workers = { USUAL, USUAL, USUAL },
      .jobs = { { LASTING ("6", "\"cpu\":100,\"may-miss\":1"), "w0" } } });
  use_only ("w1");
  sim_end_run (sim_find_run (1, 5), RUN_END_FAILED);
  sim_play (600);
  ck_assert_str_eq (sim_find_run (1, 5)->worker, "w1");
  use_only ("");
  for (int n = 0; n < 2; n++)
    placer_vacate (wld->plc, n ? "m-w1" : "m-w0", wld->clk.now_us + 500000);
  for (int n = 0; n < 9; n++)
    {
      sim_ignores_stops = true;
      sim_play (1200);
      sim_ignores_stops = false;
      sim_play (SIM_TICK_MS);
      ck_assert_int_eq (kept_reason ("m-w0"), NONE);
      ck_assert_int_eq (kept_reason ("m-w1"), NONE);
    }
  ck_assert (host_empty ("m-w0"));
  sim_play (1000);
  ck_assert (host_empty ("m-w1"));
}
END_TEST

/* Guards against a reservation that is taken away with its host although the
   task has no other place, while it waits for room or is being moved.  */
START_TEST (test_reservation_on_vacated_host)
{
  static const struct
  {
    int workers;
    bool moves; /* the task runs on another host that is vacated */
    enum placer_keep_reason kept;
  } rows[] = { { 2, false, TASK_WAITS },
               { 3, false, NONE },
               { 2, true, NO_PLACE },
               { 3, true, NONE } };
  struct vacate_case pool
      = { .workers = { USUAL, USUAL }, .jobs = { { BATCH ("4"), "w1" } } };
  if (rows[_i].workers == 3)
    {
      pool.workers[2] = pool.workers[0];
      pool.jobs[1].json = BATCH ("4");
      pool.jobs[1].on = "w2";
    }
  set_up_case (&pool);
  use_only (rows[_i].moves ? "w0" : "w1");
  if (!rows[_i].moves)
    sim_find_worker ("w0")->rep.draining = true;
  sim_ignores_stops = true;
  world_add_job (wld, 9, LASTING ("1", "\"cpu\":2000"), 300);
  sim_play (400);
  use_only ("w1");
  if (rows[_i].moves)
    sim_vacate ("m-w0");
  sim_play (400);
  struct task *tsk = &job_table_find (&wld->jobs, 9)->occurrences[0].tasks[0];
  ck_assert_uint_eq (tsk->reserved_worker, sim_find_worker ("w1")->handle);
  ck_assert ((tsk->run != NULL) == rows[_i].moves);
  use_only ("");
  sim_vacate ("m-w1");
  sim_play (200);
  ck_assert_int_eq (kept_reason ("m-w1"), rows[_i].kept);
  ck_assert_int_eq (kept_reason ("m-w0"), NONE);
  sim_ignores_stops = false;
  sim_play (8000);
  ck_assert_ptr_nonnull (sim_find_run (9, 0));
  ck_assert_str_eq (sim_find_run (9, 0)->worker,
                    rows[_i].kept == NONE ? "w2" : "w1");
  ck_assert (host_empty ("m-w1") == (rows[_i].kept == NONE));
}
END_TEST

/* Guards against requests that are refused by a new owner because it does not
   know the workers yet, and against a task that it starts on a host which the
   earlier owner may have reported as empty.  */
START_TEST (test_takeover)
{
  int64_t undecided = 0;
  set_up_case (
      &(struct vacate_case){ .workers = { USUAL, USUAL, USUAL, USUAL },
                             .jobs = { { LASTING ("3", ONE_EACH), "" } } });
  while (sim_count_runs ("w3") > 0)
    {
      sim_vacate ("m-w3");
      sim_play (1000);
    }
  sim_vacate ("m-w3");
  sim_play (1000);
  world_take_over (wld, 8, 150);
  wld->call_count = 0;
  sim_add_workers (4);
  for (int n = 0; n < 300; n++)
    {
      sim_vacate ("m-w0");
      sim_vacate ("m-w3");
      if (!placer_takeover_done (wld->plc))
        {
          undecided++;
          ck_assert_int_eq (kept_reason ("m-w0"), NONE);
        }
      sim_play (SIM_TICK_MS);
    }
  ck_assert_int_gt (undecided, 10);
  ck_assert_int_eq (kept_reason ("m-w0"), NO_PLACE);
  ck_assert_int_eq (kept_reason ("m-w3"), NONE);
  world_add_job (wld, 9, LASTING ("1", "\"cpu\":4000"), 300);
  sim_play (1000);
  ck_assert_uint_eq (sim_count_runs ("w3"), 0);
  ck_assert_ptr_null (sim_find_run (9, 0));
  ck_assert_int_eq (kept_reason ("m-w3"), NONE);
}
END_TEST

/* Guards against a host that is kept, asked for and kept in each tick, a
   refusal that outlives its request, and a pool that asks for a host which has
   arrived.  */
START_TEST (test_asked_again)
{
  struct placer_kept first, kept;
  set_up_case (
      &(struct vacate_case){ .workers = { USUAL, USUAL },
                             .jobs = { { LASTING ("2", ONE_EACH), "" } } });
  sim_vacate ("m-w0");
  sim_play (SIM_TICK_MS);
  ck_assert (placer_host_kept (wld->plc, "m-w0", &first));
  ck_assert_int_eq (first.reason, NO_PLACE);
  ck_assert_int_le (first.took_us, (int64_t)SIM_TICK_MS * 1000);
  ck_assert_int_eq (strncmp (first.task, "0000000000000001.0.0.", 21), 0);
  for (int n = 0; n < 20; n++)
    {
      sim_vacate ("m-w0");
      sim_play (SIM_TICK_MS);
      ck_assert (placer_host_kept (wld->plc, "m-w0", &kept));
      ck_assert_int_eq (kept.took_us, first.took_us);
    }
  placer_vacate (wld->plc, "m-w0", 0);
  ck_assert (!placer_host_kept (wld->plc, "m-w0", &kept));
  sim_play (2000);
  ck_assert_uint_eq (wld->plc->lacking_hosts, 1);
  if (_i == 0)
    {
      sim_vacate ("m-w0");
      sim_play (SIM_TICK_MS);
      ck_assert_int_eq (kept_reason ("m-w0"), NO_PLACE);
      placer_vacate (wld->plc, "m-w0", 0);
      sim_play (KEPT_LACKING_US / 1000 - 500);
      ck_assert_uint_eq (wld->plc->lacking_hosts, 1);
      sim_play (1000);
      ck_assert_uint_eq (wld->plc->lacking_hosts, 0);
      ck_assert_ptr_null (wld->plc->vacated);
      return;
    }
  sim_add_worker ("w2", 4000, 8192, NULL);
  sim_play (1000);
  ck_assert_uint_eq (wld->plc->lacking_hosts, 0);
  sim_vacate ("m-w0");
  sim_play (3000);
  ck_assert_int_eq (kept_reason ("m-w0"), NONE);
  ck_assert (host_empty ("m-w0"));
}
END_TEST

#define LARGE_WORKERS 300
#define LARGE_TASKS 40
#define LARGE_PLANS 100
/* Processor time of a plan under sanitizers; a tick takes up to 20 ms.  */
#define LARGE_PLAN_MAX_US 20000

/* Guards against plans of places that take the owner of a large pool most of
   its time: 40 perpetual tasks in need of a place, and batch work
   everywhere.  */
START_TEST (test_large_pool)
{
  sim_add_workers (LARGE_WORKERS);
  sim_play (400);
  world_add_job (wld, 1, LASTING ("40", TWO_EACH), 200);
  sim_play (400);
  world_add_job (wld, 2, BATCH ("900"), 201);
  sim_play (400);
  for (uint32_t n = 0; n < LARGE_TASKS; n++)
    sim_vacate (sim_find_worker (sim_find_run (1, n)->worker)->rep.host);
  placer_decide_vacating (wld->plc, wld->clk.now_us);
  for (uint32_t n = 0; n < LARGE_TASKS; n++)
    ck_assert (sim_find_worker (sim_find_run (1, n)->worker)->vacate);
  clock_t begun = clock ();
  for (int n = 0; n < LARGE_PLANS; n++)
    {
      wld->plc->next_plan_us = 0;
      placer_decide_vacating (wld->plc, wld->clk.now_us);
    }
  int64_t plan_us
      = (int64_t)(clock () - begun) * 1000000 / CLOCKS_PER_SEC / LARGE_PLANS;
  printf ("a plan takes %d us\n", (int)plan_us);
  ck_assert_int_lt (plan_us, LARGE_PLAN_MAX_US);
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("placer_vacate");
  tcase_add_checked_fixture (tc, sim_setup, sim_teardown);
  tcase_add_loop_test (tc, test_unplaced_reported, 0, 5);
  tcase_add_test (tc, test_unplaced_reports_limited);
  tcase_add_test (tc, test_unplaced_not_reported);
  tcase_add_test (tc, test_task_beside_vacated_hosts);
  tcase_add_loop_test (tc, test_requests, 0,
                       sizeof vacate_cases / sizeof vacate_cases[0]);
  tcase_add_loop_test (tc, test_reservations_given_back, 0,
                       sizeof vacate_cases / sizeof vacate_cases[0]);
  tcase_add_loop_test (tc, test_told_empty, 0, 2);
  tcase_add_loop_test (tc, test_no_progress, 0, 3);
  tcase_add_test (tc, test_waits_for_moves);
  tcase_add_loop_test (tc, test_reservation_on_vacated_host, 0, 4);
  tcase_add_test (tc, test_takeover);
  tcase_add_loop_test (tc, test_asked_again, 0, 2);
  tcase_add_test (tc, test_large_pool);
  Suite *suite = suite_create ("placer_vacate");
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
