/* Measures the processor time of a pool's owner for each task: its start, its
   end and the record of it.  The owner's placer, HTTP client and encoders run
   in the main thread and talk over loopback to stand-ins of the workers in a
   second thread, whose processor time does not count.  Prints a table, or JSON
   with --json; docs/design/owner.md has the figures.

   usage: owner_cost [--json] [--seconds=N] [WORKERS]...  */

#include <inttypes.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <tevent.h>
#include <time.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/counter.h"
#include "base/log.h"
#include "base/timer.h"
#include "job/job_codec.h"
#include "owner_workers.h"
#include "platform/wire_decode.h"
#include "platform/wire_worker.h"
#include "sched/placer.h"

#define POOL "p"
#define LEASE_MS 5000
/* The mean time that a stand-in of the platform's store takes.  */
#define APPEND_US 6000
#define CONFIRM_INTERVAL_US 300000
#define FEED_INTERVAL_US 20000
#define TASKS_PER_JOB 8
#define TASK_CPU_MILLI 4500
#define WORKER_CPU_MILLI 32000
/* Runs that a worker has room for.  */
#define SLOTS (WORKER_CPU_MILLI / TASK_CPU_MILLI)
/* Share of the workers' slots that the offered jobs fill.  */
#define LOAD 0.7
#define WARM_UP_US 2000000
/* To one worker; see node/node.c.  */
#define CONNECTIONS_MAX 4
/* As in the owner's process; see node/duties.c.  */
#define TICK_BATCH_DELAY_US 3000
#define TICK_PAUSE_FACTOR 1

struct bench
{
  struct tevent_context *ev;
  struct counters ctr;
  struct logger *lg;
  struct job_table jobs;
  struct post_client cli;
  struct wire_worker link;
  struct placer *plc;
  struct timer *timer;
  int64_t timer_us;
  int64_t tick_ended_us;
  int64_t tick_duration_us;
  uint64_t next_job;
  double owed_jobs; /* that are due and not yet added */
  double jobs_per_s;
  int64_t fed_us;
  uint8_t *spec;
  size_t spec_len;
  uint64_t ticks;
};

static struct queue queues[] = { { .name = "q",
                                   .host = "h",
                                   .path_prefix = "/q/",
                                   .pool = POOL,
                                   .attempts = 4,
                                   .stretch = 2,
                                   .goal_extra_ms = 600 } };
static struct pool_config pools[]
    = { { .name = POOL, .enforces_capacity = true } };
static const struct catalog cat
    = { .queues = queues, .queue_count = 1, .pools = pools, .pool_count = 1 };
static const struct catalog *cat_ptr = &cat;

static void
fail (const char *what)
{
  fprintf (stderr, "owner_cost: %s\n", what);
  exit (1);
}

static void schedule (struct bench *ben, int64_t at_us);

static void
on_tick (void *arg)
{
  struct bench *ben = arg;
  ben->timer = NULL;
  ben->timer_us = 0;
  int64_t begun_us = clock_now_us (&clock_system);
  int64_t next_us = placer_tick (ben->plc);
  ben->ticks++;
  ben->tick_ended_us = clock_now_us (&clock_system);
  ben->tick_duration_us = ben->tick_ended_us - begun_us;
  schedule (ben, next_us);
}

static void
schedule (struct bench *ben, int64_t at_us)
{
  int64_t now_us = clock_now_us (&clock_system);
  int64_t pause_end_us
      = ben->tick_ended_us + TICK_PAUSE_FACTOR * ben->tick_duration_us;
  if (at_us < now_us + TICK_BATCH_DELAY_US)
    at_us = now_us + TICK_BATCH_DELAY_US;
  if (at_us < pause_end_us)
    at_us = pause_end_us;
  if (ben->timer && ben->timer_us <= at_us)
    return;
  talloc_free (ben->timer);
  ben->timer = timer_add (ben->ev, NULL, at_us - now_us, on_tick, ben);
  ben->timer_us = at_us;
}

static void
wake (void *arg)
{
  schedule (arg, 0);
}

static int64_t
log_read_us (void *arg)
{
  return clock_now_us (&clock_system);
}

struct append
{
  persist_fn *fn;
  void *arg;
};

static void
on_appended (void *arg)
{
  struct append app = *(struct append *)arg;
  talloc_free (arg);
  app.fn (app.arg, PERSIST_DONE);
}

static int
persist (void *arg, const struct topic_entry *entries, size_t count,
         persist_fn *fn, void *fn_arg)
{
  struct bench *ben = arg;
  struct append *app = talloc (NULL, struct append);
  *app = (struct append){ .fn = fn, .arg = fn_arg };
  timer_add (ben->ev, NULL, APPEND_US, on_appended, app);
  return 0;
}

static int
persist_first (void *arg, const char *key, persist_fill_fn *fill,
               persist_fn *fn, void *fn_arg)
{
  const uint8_t *value;
  size_t len;
  int err = fill (fn_arg, &value, &len);
  return err ? err : persist (arg, NULL, 1, fn, fn_arg);
}

static void
add_job (struct bench *ben)
{
  char key[JOB_KEY_BYTES + 1];
  struct job_fold_result res;
  job_key_format (JOB_KEY_SPEC, ++ben->next_job, key);
  if (job_table_fold (&ben->jobs, ben->ev, 0, 100 + ben->next_job, key,
                      JOB_KEY_BYTES, ben->spec, ben->spec_len,
                      clock_now_us (&clock_system), &res)
      || !res.job)
    fail ("a job was not taken");
  /* The specification is encoded once; the goal is that of a new job.  */
  res.job->accepted_ms = clock_wall_ms (&clock_system);
  placer_update_job (ben->plc, res.job, JOB_CHANGE_NEW);
}

static void
on_feed (void *arg)
{
  struct bench *ben = arg;
  int64_t now_us = clock_now_us (&clock_system);
  ben->owed_jobs += ben->jobs_per_s * (double)(now_us - ben->fed_us) / 1e6;
  ben->fed_us = now_us;
  for (; ben->owed_jobs >= 1; ben->owed_jobs--)
    add_job (ben);
  schedule (ben, 0);
  timer_add (ben->ev, ben->ev, FEED_INTERVAL_US, on_feed, ben);
}

static void
on_confirm (void *arg)
{
  struct bench *ben = arg;
  placer_confirm_ownership (ben->plc, clock_now_us (&clock_system));
  timer_add (ben->ev, ben->ev, CONFIRM_INTERVAL_US, on_confirm, ben);
}

static void
encode_spec (struct bench *ben)
{
  char json[512];
  struct job_spec spec;
  const char *fault;
  snprintf (json, sizeof json,
            "{\"spec\":\"0123456789abcdef0123456789abcdef0123456789abcdef\","
            "\"steps\":[{\"count\":%d,\"cpu\":%d,\"mem-mb\":900,"
            "\"estimate-ms\":%d}]}",
            TASKS_PER_JOB, TASK_CPU_MILLI, OWNER_WORK_MS);
  if (wire_decode_job (ben->ev, (const uint8_t *)json, strlen (json), &spec,
                       &fault)
      || job_encode_spec (ben->ev,
                          &(struct job_acceptance){
                              .queue = "q",
                              .pool = POOL,
                              .accepted_ms = clock_wall_ms (&clock_system) },
                          &spec, &ben->spec, &ben->spec_len))
    fail ("the job's specification was not taken");
}

static void
add_workers (struct bench *ben, const struct owner_workers *wrks)
{
  for (int n = 0; n < wrks->count; n++)
    {
      struct worker_report rep = { .capacity = { .cpu_milli = WORKER_CPU_MILLI,
                                                 .memory_mb = 131072 },
                                   .clock_ms = 1,
                                   .born_ms = wrks->born_ms };
      owner_workers_id (n, rep.id);
      owner_workers_address (wrks, n, rep.address);
      name_copy (rep.pool, POOL);
      snprintf (rep.host, sizeof rep.host, "m-%d", n);
      placer_update_worker (ben->plc, rep.id, &rep);
    }
}

static int64_t
thread_cpu_us (void)
{
  struct timespec ts;
  clock_gettime (CLOCK_THREAD_CPUTIME_ID, &ts);
  return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

static void
run_until (struct bench *ben, int64_t until_us)
{
  while (clock_now_us (&clock_system) < until_us)
    tevent_loop_once (ben->ev);
}

struct figures
{
  uint64_t starts, ends, holds, ticks;
  int64_t cpu_us;
};

static struct figures
take_figures (struct bench *ben, const struct owner_workers *wrks)
{
  return (struct figures){
    .starts = counter_get (&ben->ctr, CTR_RUNS_STARTED),
    .holds = counter_get (&ben->ctr, CTR_HOLDS),
    .ends = __atomic_load_n (&wrks->ends, __ATOMIC_RELAXED),
    .ticks = ben->ticks,
    .cpu_us = thread_cpu_us (),
  };
}

static void
measure (int workers, int seconds, bool json)
{
  struct bench ben = { .ev = tevent_context_init (NULL) };
  struct owner_workers wrks;
  /* What the owner logs is written, as in its process.  */
  ben.lg
      = logger_create (ben.ev, &clock_system, STDERR_FILENO, LOG_LEVEL_INFO);
  owner_workers_start (&wrks, workers);
  job_table_init (&ben.jobs);
  if (post_client_init (&ben.cli, ben.ev, ben.ev, CONNECTIONS_MAX)
      || wire_worker_init (&ben.link, ben.ev, &ben.cli))
    fail ("out of memory");
  const struct placer_settings set
      = { .pool = POOL,
          .token = 7,
          .fence_offset = 1,
          .lease_ms = LEASE_MS,
          .lease_max_ms = 2 * LEASE_MS,
          .confirm_ms = 6000,
          .start_confirm_ms = 3000,
          .confirmed_us = clock_now_us (&clock_system) };
  const struct placer_env env = { .clk = &clock_system,
                                  .lg = ben.lg,
                                  .ctr = &ben.ctr,
                                  .lnk = &ben.link.lnk,
                                  .jobs = &ben.jobs,
                                  .cat = &cat_ptr,
                                  .persist = persist,
                                  .persist_first = persist_first,
                                  .log_read_us = log_read_us,
                                  .wake = wake,
                                  .arg = &ben };
  ben.plc = placer_create (ben.ev, &set, &env);
  placer_limit_earlier_leases (ben.plc, clock_now_us (&clock_system));
  encode_spec (&ben);
  add_workers (&ben, &wrks);
  int slots = workers * SLOTS;
  ben.jobs_per_s = slots * LOAD * 1000 / OWNER_WORK_MS / TASKS_PER_JOB;
  ben.fed_us = clock_now_us (&clock_system) + WARM_UP_US;
  on_confirm (&ben);
  schedule (&ben, 0);
  timer_add (ben.ev, ben.ev, WARM_UP_US, on_feed, &ben);
  run_until (&ben, clock_now_us (&clock_system) + 3 * (int64_t)WARM_UP_US);
  struct figures a = take_figures (&ben, &wrks);
  run_until (&ben, clock_now_us (&clock_system) + (int64_t)seconds * 1000000);
  struct figures b = take_figures (&ben, &wrks);
  owner_workers_stop (&wrks);
  double ends = (double)(b.ends - a.ends);
  double offered = ben.jobs_per_s * TASKS_PER_JOB;
  printf (json ? "{\"workers\":%d,\"offered_per_s\":%.0f,\"ends_per_s\":%.0f,"
                 "\"cpu_us_per_task\":%.1f,\"holds_per_task\":%.2f,"
                 "\"ticks_per_s\":%.0f,\"core_share\":%.3f}\n"
               : "| %d | %.0f | %.0f | %.1f | %.2f | %.0f | %.3f |\n",
          workers, offered, ends / seconds,
          ends > 0 ? (double)(b.cpu_us - a.cpu_us) / ends : 0,
          ends > 0 ? (double)(b.holds - a.holds) / ends : 0,
          (double)(b.ticks - a.ticks) / seconds,
          (double)(b.cpu_us - a.cpu_us) / 1e6 / seconds);
  fflush (stdout);
}

int
main (int argc, char **argv)
{
  static const int defaults[] = { 50, 200, 400 };
  int seconds = 5;
  bool json = false;
  bool chosen = false;
  for (int n = 1; n < argc; n++)
    if (strcmp (argv[n], "--json") == 0)
      json = true;
    else if (strncmp (argv[n], "--seconds=", 10) == 0)
      seconds = atoi (argv[n] + 10);
  if (seconds < 1)
    fail ("--seconds is not a positive number");
  if (!json)
    printf ("| workers | offered tasks/s | ended/s | us of processor time a "
            "task | holds a task | ticks/s | share of a core |\n"
            "|---|---|---|---|---|---|---|\n");
  for (int n = 1; n < argc; n++)
    if (atoi (argv[n]) > 0)
      {
        chosen = true;
        measure (atoi (argv[n]), seconds, json);
      }
  for (size_t n = 0; !chosen && n < sizeof defaults / sizeof *defaults; n++)
    measure (defaults[n], seconds, json);
  return 0;
}
