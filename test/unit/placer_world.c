#include "placer_world.h"

#include <check.h>
#include <string.h>
#include <talloc.h>

#include "base/err.h"
#include "job_help.h"
#include "proto/job.pb-c.h"

/* The world of the running test, for the driver's functions, which are given
   the link only.  */
static struct world *current_world;

/* Whether SENT is a start of the run of CALL at WORKER.  */
static bool
is_same_start (const struct world_call *sent, const struct world_call *call,
               const char *worker)
{
  return sent->kind == WORLD_START && sent->run == call->run
         && sent->task.job == call->task.job
         && sent->task.occurrence == call->task.occurrence
         && sent->task.step == call->task.step
         && sent->task.index == call->task.index
         && strcmp (sent->worker, worker) == 0;
}

static int
record_call (enum world_call_kind kind, const struct command_target *to,
             struct world_call call)
{
  struct world *wld = current_world;
  ck_assert_uint_lt (wld->call_count, WORLD_CALLS_MAX);
  /* A start that is sent twice may be carried out twice, by two instances.  */
  for (size_t n = 0; n < wld->call_count && kind == WORLD_START; n++)
    ck_assert (!is_same_start (&wld->calls[n], &call, to->worker));
  call.kind = kind;
  call.may_send = to->may_send;
  name_copy (call.worker, to->worker);
  wld->calls[wld->call_count++] = call;
  if (kind == WORLD_START)
    wld->clk.now_us += wld->start_cost_us;
  return 0;
}

static int
fake_start (struct worker_link *lnk, const struct command_target *to,
            const struct start_command *cmd, command_fn *fn, void *arg)
{
  return record_call (WORLD_START, to,
                      (struct world_call){ .task = cmd->task,
                                           .run = cmd->run,
                                           .lease_end_ms = cmd->lease_end_ms,
                                           .token = cmd->token,
                                           .fn = fn,
                                           .arg = arg });
}

static int
fake_stop (struct worker_link *lnk, const struct command_target *to,
           const struct stop_command *cmd, command_fn *fn, void *arg)
{
  return record_call (WORLD_STOP, to,
                      (struct world_call){ .task = cmd->task,
                                           .run = cmd->run,
                                           .token = cmd->token,
                                           .fn = fn,
                                           .arg = arg });
}

static int
fake_pace (struct worker_link *lnk, const struct command_target *to,
           const struct pace_command *cmd, command_fn *fn, void *arg)
{
  return record_call (
      WORLD_PACE, to,
      (struct world_call){ .task = cmd->task, .fn = fn, .arg = arg });
}

static int
fake_hold (struct worker_link *lnk, const struct command_target *to,
           const struct hold_command *cmd, hold_fn *fn, void *arg)
{
  return record_call (WORLD_HOLD, to,
                      (struct world_call){ .lease_end_ms = cmd->lease_end_ms,
                                           .last_seen = cmd->last_seen,
                                           .token = cmd->token,
                                           .wait_ms = cmd->wait_ms,
                                           .hold_fn = fn,
                                           .arg = arg });
}

static const struct worker_link_driver driver = {
  .start = fake_start, .stop = fake_stop, .pace = fake_pace, .hold = fake_hold
};

static int
persist (void *arg, const struct topic_entry *entries, size_t count,
         persist_fn *fn, void *fn_arg)
{
  struct world *wld = arg;
  if (wld->persist_fails)
    return ERR_FULL;
  wld->append_count++;
  wld->persist_fn = fn;
  wld->persist_arg = fn_arg;
  return 0;
}

void
world_send_record (struct world *wld)
{
  const uint8_t *value;
  size_t len;
  persist_fill_fn *fill = wld->enrol_fill;
  wld->enrol_fill = NULL;
  if (!fill)
    return;
  ck_assert_int_eq (fill (wld->enrol_arg, &value, &len), 0);
  Kingcuphollow__PoolWorkers *msg
      = kingcuphollow__pool_workers__unpack (NULL, len, value);
  ck_assert_ptr_nonnull (msg);
  wld->recorded_workers = msg->n_workers;
  talloc_free (wld->record);
  wld->record_len = len;
  wld->record = talloc_memdup (wld->ctx, value, len);
  kingcuphollow__pool_workers__free_unpacked (msg, NULL);
}

/* An append of job progress and one of the worker record may be in progress at
   the same time; world_tick completes the latter.  */
static int
persist_first (void *arg, const char *key, persist_fill_fn *fill,
               persist_fn *fn, void *fn_arg)
{
  struct world *wld = arg;
  if (wld->persist_fails)
    return ERR_FULL;
  wld->append_count++;
  wld->enrol_fn = fn;
  wld->enrol_arg = fn_arg;
  wld->enrol_fill = fill;
  if (!wld->append_busy)
    world_send_record (wld);
  return 0;
}

static int64_t
log_read_us (void *arg)
{
  const struct world *wld = arg;
  return wld->log_inconsistent ? 0 : wld->clk.now_us - wld->log_age_ms * 1000;
}

static void
wake (void *arg)
{
}

static void
create_placer (struct world *wld, uint64_t token, uint64_t fence_offset)
{
  const struct placer_settings set
      = { .pool = "p",
          .token = token,
          .token_count = WORLD_TOKENS,
          .fence_offset = fence_offset,
          .lease_ms = WORLD_LEASE_MS,
          .lease_max_ms = WORLD_LEASE_MAX_MS,
          .confirm_ms = WORLD_CONFIRM_MS,
          .start_confirm_ms = WORLD_START_CONFIRM_MS,
          .confirmed_us = wld->clk.now_us - wld->confirmed_age_ms * 1000 };
  const struct placer_env env = { .clk = &wld->clk.clk,
                                  .ctr = &wld->ctr,
                                  .lnk = &wld->lnk,
                                  .jobs = &wld->jobs,
                                  .cat = &wld->cat_ptr,
                                  .persist = persist,
                                  .persist_first = persist_first,
                                  .log_read_us = log_read_us,
                                  .wake = wake,
                                  .arg = wld };
  wld->plc = placer_create (NULL, &set, &env);
}

struct world *
world_create (void)
{
  static struct queue queues[] = { { .name = "q",
                                     .host = "h",
                                     .path_prefix = "/q/",
                                     .pool = "p",
                                     .attempts = 3,
                                     .stretch = 2,
                                     .goal_extra_ms = 600 } };
  static struct pool_config pools[]
      = { { .name = "p", .enforces_capacity = true } };
  struct world *wld = talloc_zero (NULL, struct world);
  current_world = wld;
  wld->ctx = wld;
  clock_manual_init (&wld->clk, 1000 * (int64_t)1000000);
  wld->cat = (struct catalog){
    .queues = queues, .queue_count = 1, .pools = pools, .pool_count = 1
  };
  wld->cat_ptr = &wld->cat;
  wld->lnk.drv = &driver;
  job_table_init (&wld->jobs);
  create_placer (wld, 7, WORLD_FENCE_OFFSET);
  return wld;
}

static void
destroy_placer (struct world *wld)
{
  persist_fn *enrol_fn = wld->enrol_fn;
  persist_fn *fn = wld->persist_fn;
  placer_destroy (wld->plc);
  /* The placer is closing and ignores these answers; it is freed after the
     last one.  */
  for (size_t n = 0; n < wld->call_count; n++)
    if (!wld->calls[n].answered)
      world_answer (wld, &wld->calls[n], COMMAND_NO_ANSWER);
  wld->enrol_fn = wld->persist_fn = NULL;
  wld->enrol_fill = NULL;
  if (fn)
    fn (wld->persist_arg, PERSIST_FENCED);
  if (enrol_fn)
    enrol_fn (wld->enrol_arg, PERSIST_FENCED);
}

void
world_take_over (struct world *wld, uint64_t token, uint64_t fence_offset)
{
  destroy_placer (wld);
  create_placer (wld, token, fence_offset);
}

void
world_destroy (struct world *wld)
{
  destroy_placer (wld);
  job_table_fini (&wld->jobs);
  talloc_free (wld);
}

void
world_add_worker (struct world *wld, const char *id, int64_t born_ms)
{
  struct worker_report rep
      = { .capacity = { .cpu_milli = 4000, .memory_mb = 8192 },
          .clock_ms = 1000,
          .born_ms = born_ms };
  name_copy (rep.id, id);
  name_copy (rep.pool, "p");
  name_copy (rep.address, "10.0.0.1:1");
  rep.host[0] = 'm';
  rep.host[1] = '-';
  memcpy (rep.host + 2, id, strlen (id) + 1);
  placer_update_worker (wld->plc, id, &rep);
}

struct job *
world_add_job (struct world *wld, uint64_t id, const char *json,
               uint64_t offset)
{
  struct job *job = help_fold_job (&wld->jobs, wld, id, json, offset,
                                   wld->clk.now_us, wld->clk.now_us / 1000);
  placer_update_job (wld->plc, job, JOB_CHANGE_NEW);
  return job;
}

void
world_tick (struct world *wld, int64_t ms)
{
  persist_fn *enrol_fn = wld->enrol_fill ? NULL : wld->enrol_fn;
  if (enrol_fn)
    wld->enrol_fn = NULL;
  wld->clk.now_us += ms * 1000;
  if (enrol_fn)
    enrol_fn (wld->enrol_arg, PERSIST_DONE);
  placer_tick (wld->plc);
}

void
world_record_runs (struct world *wld)
{
  if (wld->enrol_fn)
    world_tick (wld, 1);
}

void
world_release_earlier (struct world *wld)
{
  placer_limit_earlier_leases (
      wld->plc, wld->clk.now_us + placer_lease_span_us (WORLD_LEASE_MAX_MS));
}

void
world_confirm_ownership (struct world *wld)
{
  placer_confirm_ownership (wld->plc, wld->clk.now_us);
}

void
world_complete_append (struct world *wld)
{
  persist_fn *fn = wld->persist_fn;
  wld->persist_fn = NULL;
  if (fn)
    fn (wld->persist_arg, PERSIST_DONE);
}

struct world_call *
world_call (struct world *wld, enum world_call_kind kind, const char *worker)
{
  for (size_t n = 0; n < wld->call_count; n++)
    if (wld->calls[n].kind == kind && !wld->calls[n].answered
        && strcmp (wld->calls[n].worker, worker) == 0)
      return &wld->calls[n];
  return NULL;
}

void
world_answer (struct world *wld, struct world_call *call,
              enum command_status status)
{
  ck_assert_ptr_nonnull (call);
  struct hold_result res = { .command = { .status = status } };
  if (status == COMMAND_DONE)
    res.command.clock_ms = wld->clk.now_us / 1000;
  call->answered = true;
  if (call->hold_fn)
    call->hold_fn (call->arg, &res);
  else
    call->fn (call->arg, &res.command);
}

void
world_answer_hold (struct world *wld, const char *worker,
                   const struct world_row *running, size_t running_count,
                   const struct world_row *ended, size_t ended_count)
{
  struct running_row runs[8];
  struct ended_row ends[8];
  struct world_call *call = world_call (wld, WORLD_HOLD, worker);
  ck_assert_ptr_nonnull (call);
  for (size_t n = 0; n < running_count; n++)
    runs[n] = (struct running_row){ .task = { .job = running[n].job,
                                              .index = running[n].index },
                                    .run = running[n].run,
                                    .percent = 100,
                                    .checkpoint = "" };
  for (size_t n = 0; n < ended_count; n++)
    ends[n] = (struct ended_row){ .task = { .job = ended[n].job,
                                            .index = ended[n].index },
                                  .run = ended[n].run,
                                  .end = ended[n].end,
                                  .number = ended[n].number,
                                  .checkpoint = "" };
  const struct hold_result res
      = { .command
          = { .status = COMMAND_DONE, .clock_ms = wld->clk.now_us / 1000 },
          .born_ms = wld->hold_born_ms,
          .running = runs,
          .running_count = running_count,
          .ended = ends,
          .ended_count = ended_count };
  call->answered = true;
  call->hold_fn (call->arg, &res);
}

void
world_enrol_worker (struct world *wld, const char *worker)
{
  world_tick (wld, 1);
  world_answer_hold (wld, worker, NULL, 0, NULL, 0);
  world_tick (wld, 1);
  world_tick (wld, 1);
}

size_t
world_starts (const struct world *wld, uint64_t job, uint32_t index)
{
  size_t count = 0;
  for (size_t n = 0; n < wld->call_count; n++)
    count += wld->calls[n].kind == WORLD_START && wld->calls[n].task.job == job
             && wld->calls[n].task.index == index;
  return count;
}
