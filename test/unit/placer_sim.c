#include "placer_sim.h"

#include <check.h>
#include <stdio.h>
#include <string.h>

#include "sched/placer_priv.h"
#include "sched/pool.h"

#define SIM_RUNS_MAX 1024
/* A worker's answer in placer_world has room for so many runs.  */
#define SIM_ROWS_MAX 8
/* Ticks for which a hold waits for an end.  */
#define SIM_HOLD_TICKS 5

struct world *wld;
static struct sim_run sim_runs[SIM_RUNS_MAX];
static size_t sim_count;
static uint64_t sim_ends;
static uint32_t sim_ticks;
/* Stops get no answer and have no effect.  */
bool sim_ignores_stops;

void
sim_setup (void)
{
  wld = world_create ();
  world_release_earlier (wld);
  sim_count = 0;
  sim_ends = 0;
  sim_ignores_stops = false;
}

void
sim_teardown (void)
{
  world_destroy (wld);
}

void
sim_add_worker (const char *id, int64_t cpu_milli, int64_t memory_mb,
                const char *labels)
{
  struct worker_report rep
      = { .capacity = { .cpu_milli = cpu_milli, .memory_mb = memory_mb },
          .clock_ms = 1000,
          .born_ms = 1000 };
  name_copy (rep.id, id);
  name_copy (rep.pool, "p");
  name_copy (rep.address, "10.0.0.1:1");
  snprintf (rep.host, sizeof rep.host, "m-%s", id);
  while (labels && *labels)
    {
      size_t len = strcspn (labels, " ");
      name_copy_len (rep.labels[rep.label_count++], labels, len);
      labels += len + (labels[len] == ' ');
    }
  placer_update_worker (wld->plc, id, &rep);
}

struct worker *
sim_find_worker (const char *id)
{
  struct worker *wrk = pool_find_id (&wld->plc->pool, id);
  ck_assert_ptr_nonnull (wrk);
  return wrk;
}

struct sim_run *
sim_find_run (uint64_t job, uint32_t index)
{
  for (size_t n = 0; n < sim_count; n++)
    if (!sim_runs[n].ended && sim_runs[n].row.job == job
        && sim_runs[n].row.index == index)
      return &sim_runs[n];
  return NULL;
}

void
sim_end_run (struct sim_run *run, enum run_end end)
{
  ck_assert_ptr_nonnull (run);
  run->ended = true;
  run->row.end = end;
  run->row.number = ++sim_ends;
}

/* Whether the worker answers a hold now: it waits for an end.  */
static bool
hold_due (const struct world_call *call)
{
  if (call->wait_ms == 0 || sim_ticks % SIM_HOLD_TICKS == 0)
    return true;
  for (size_t n = 0; n < sim_count; n++)
    if (sim_runs[n].ended && sim_runs[n].row.number > call->last_seen
        && strcmp (sim_runs[n].worker, call->worker) == 0)
      return true;
  return false;
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
  struct sim_run *run = sim_find_run (call->task.job, call->task.index);
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
        sim_end_run (run, RUN_END_STOPPED);
      break;
    case WORLD_HOLD:
      if (hold_due (call))
        sim_hold (call);
      return;
    case WORLD_PACE:
      break;
    }
  world_answer (wld, call, COMMAND_DONE);
}

void
sim_play (int64_t ms)
{
  for (int64_t left = ms; left > 0; left -= SIM_TICK_MS)
    {
      size_t kept = 0;
      sim_ticks++;
      world_confirm_ownership (wld);
      world_tick (wld, SIM_TICK_MS);
      world_complete_append (wld);
      for (size_t n = 0; n < wld->call_count; n++)
        if (!wld->calls[n].answered
            && !(sim_ignores_stops && wld->calls[n].kind == WORLD_STOP))
          sim_answer (&wld->calls[n]);
      for (size_t n = 0; n < wld->call_count; n++)
        if (!wld->calls[n].answered)
          wld->calls[kept++] = wld->calls[n];
      wld->call_count = kept;
    }
}

size_t
sim_count_runs (const char *worker)
{
  size_t count = 0;
  for (size_t n = 0; n < sim_count; n++)
    count += !sim_runs[n].ended && strcmp (sim_runs[n].worker, worker) == 0;
  return count;
}

void
sim_vacate (const char *host)
{
  ck_assert (placer_vacate (wld->plc, host,
                            wld->clk.now_us + (int64_t)SIM_GRACE_MS * 1000));
}

void
sim_add_workers (int count)
{
  char id[16];
  for (int n = 0; n < count; n++)
    {
      snprintf (id, sizeof id, "w%d", n);
      sim_add_worker (id, 4000, 8192, NULL);
    }
}
