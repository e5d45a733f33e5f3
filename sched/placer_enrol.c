#include <string.h>
#include <talloc.h>

#include "base/clock.h"
#include "base/err.h"
#include "proto/job.pb-c.h"
#include "sched/placer_record.h"

/* The pool's worker record.  Before an owner starts the first task on a
   worker, it names the worker in this record in the log.  A later owner thus
   knows from which workers it needs an answer, or the expiry of their leases,
   before it starts tasks that may still be running there.  The record also has
   the starts without an answer, for which a later owner waits as this one
   does.  */

/* Least time until the record is written again for starts without an
   answer.  */
#define ANNOUNCE_INTERVAL_US 200000
/* Those that were sent more recently are not in the record: workers answer
   within some milliseconds.  */
#define ANNOUNCE_AGE_US 100000
/* Most starts without an answer in the record, so that it stays below the
   store's limit of 256 KB.  */
#define LATE_STARTS_MAX 1024

#define KEY_PREFIX_BYTES (sizeof PLACER_WORKERS_KEY_PREFIX - 1)

struct enrol_ctx
{
  struct placer *plc;
  uint32_t *handles; /* of the workers that the record names */
  size_t count;
  uint32_t *unenrolled; /* handles of the workers that it leaves out */
  size_t unenrolled_count;
  uint64_t number; /* of the record */
  struct named_places places;
};

/* Whether WRK was vacated and runs nothing.  Such a worker is left out of the
   record: its host may be off when a later owner takes over, which would wait
   for its answer in vain.  Before it has settled, it may run what an earlier
   owner has started.  */
static bool
is_vacated (const struct placer *plc, const struct worker *wrk)
{
  return wrk->vacate && wrk->reached && !wrk->runs
         && wrk->acked_end >= wrk->applied_end
         && (plc->takeover_done || wrk->settled);
}

static void
on_enrolled (void *arg, enum persist_outcome out)
{
  struct enrol_ctx *ctx = arg;
  struct placer *plc = ctx->plc;
  plc->enrolling = plc->enrol_pending = false;
  plc->naming = (struct named_places){ 0 };
  if (out == PERSIST_FENCED)
    plc->fenced = true;
  else if (out == PERSIST_DONE)
    {
      plc->durable_record = ctx->number;
      talloc_free (plc->named.rows);
      plc->named.rows = talloc_steal (plc, ctx->places.rows);
      plc->named.count = ctx->places.count;
    }
  else
    /* What it was to tell is due again.  */
    plc->enrol_stale = plc->late_starts_changed = true;
  for (size_t n = 0; !plc->closing && out == PERSIST_DONE && n < ctx->count;
       n++)
    {
      struct worker *wrk = placer_find_worker (plc, ctx->handles[n]);
      if (wrk)
        wrk->enrolled = true;
    }
  for (size_t n = 0;
       !plc->closing && out == PERSIST_DONE && n < ctx->unenrolled_count; n++)
    {
      struct worker *wrk = placer_find_worker (plc, ctx->unenrolled[n]);
      if (wrk)
        wrk->unenrolled = is_vacated (plc, wrk);
    }
  talloc_free (ctx);
  if (!plc->closing)
    {
      /* The next append is sent before the next tick; without the record it
         would make that wait for one more append.  */
      if (out == PERSIST_DONE
          && placer_may_command (plc, clock_now_us (plc->env.clk)))
        placer_enrol (plc);
      plc->env.wake (plc->env.arg);
    }
  placer_release_call (plc);
}

static Kingcuphollow__PoolWorkers__Worker *
add_worker_row (Kingcuphollow__PoolWorkers__Worker *row,
                Kingcuphollow__PoolWorkers *msg, char *id, char *host,
                int64_t born_ms)
{
  kingcuphollow__pool_workers__worker__init (row);
  row->id = id;
  row->host = host;
  row->born_ms = born_ms;
  msg->workers[msg->n_workers++] = row;
  return row;
}

/* Fills MSG with the workers that may run tasks.  Its memory belongs to CTX.
   Returns false when out of memory.  */
static bool
fill_worker_record (struct placer *plc, struct enrol_ctx *ctx,
                    Kingcuphollow__PoolWorkers *msg)
{
  size_t most = plc->pool.count + plc->earlier_count;
  Kingcuphollow__PoolWorkers__Worker *rows
      = talloc_array (ctx, Kingcuphollow__PoolWorkers__Worker, most);
  msg->workers
      = talloc_array (ctx, Kingcuphollow__PoolWorkers__Worker *, most);
  ctx->handles = talloc_array (ctx, uint32_t, plc->pool.count);
  ctx->unenrolled = talloc_array (ctx, uint32_t, plc->pool.count);
  if (!rows || !msg->workers || !ctx->handles || !ctx->unenrolled
      || !placer_collect_places (plc, ctx, is_vacated, &ctx->places))
    return false;
  for (size_t n = 0; n < plc->earlier_run_count; n++)
    plc->earlier_runs[n].recorded = false;
  for (size_t n = 0; n < plc->pool.count; n++)
    {
      struct worker *wrk = plc->pool.workers[n];
      if (is_vacated (plc, wrk))
        {
          wrk->enrolled = false;
          ctx->unenrolled[ctx->unenrolled_count++] = wrk->handle;
          continue;
        }
      ctx->handles[ctx->count++] = wrk->handle;
      if (!placer_fill_runs (plc, ctx, wrk, &ctx->places,
                             add_worker_row (&rows[msg->n_workers], msg,
                                             wrk->rep.id, wrk->rep.host,
                                             wrk->rep.born_ms)))
        return false;
    }
  for (size_t n = 0; n < plc->earlier_count; n++)
    {
      struct earlier_worker *erl = &plc->earlier[n];
      Kingcuphollow__PoolWorkers__Worker *row = add_worker_row (
          &rows[msg->n_workers], msg, erl->id, erl->host, erl->born_ms);
      if (!pool_find_id (&plc->pool, erl->id)
          && !placer_fill_runs (plc, ctx, NULL, &ctx->places, row))
        return false;
    }
  return true;
}

/* Adds the start of run NUMBER of REF on WORKER to MSG, unless it is over.  */
static void
add_late_row (Kingcuphollow__PoolWorkers__LateStart *row,
              Kingcuphollow__PoolWorkers *msg, const struct late_start *late,
              int64_t now_us)
{
  if (now_us > late->sent_us + LATE_CALL_MAX_US)
    return;
  kingcuphollow__pool_workers__late_start__init (row);
  row->job = late->ref.job;
  row->occurrence = late->ref.occurrence;
  row->step = late->ref.step;
  row->index = late->ref.index;
  row->run = late->number;
  row->worker = (char *)late->worker;
  row->host = (char *)late->host;
  row->age_ms = (uint32_t)((now_us - late->sent_us) / 1000);
  msg->late_starts[msg->n_late_starts++] = row;
}

/* Whether the start of RUN has had no answer for some time.  */
static bool
is_open_start (const struct run *run, int64_t now_us)
{
  return run->start_sent_us > 0 && !run->start_settled
         && now_us - run->start_sent_us > ANNOUNCE_AGE_US;
}

/* Fills MSG with the starts that have had no answer yet.  Returns false when
   out of memory.  */
static bool
fill_late_starts (struct placer *plc, struct enrol_ctx *ctx,
                  Kingcuphollow__PoolWorkers *msg)
{
  int64_t now_us = clock_now_us (plc->env.clk);
  size_t most = plc->late_start_count;
  for (size_t n = 0; n < plc->pool.count; n++)
    for (const struct run *run = plc->pool.workers[n]->runs; run;
         run = run->next)
      most += is_open_start (run, now_us);
  if (most > LATE_STARTS_MAX)
    most = LATE_STARTS_MAX;
  Kingcuphollow__PoolWorkers__LateStart *rows
      = talloc_array (ctx, Kingcuphollow__PoolWorkers__LateStart, most);
  struct late_start *open = talloc_array (ctx, struct late_start, most);
  msg->late_starts
      = talloc_array (ctx, Kingcuphollow__PoolWorkers__LateStart *, most);
  if (!rows || !open || !msg->late_starts)
    return false;
  for (size_t n = 0; n < plc->late_start_count && msg->n_late_starts < most;
       n++)
    add_late_row (&rows[msg->n_late_starts], msg, &plc->late_starts[n],
                  now_us);
  for (size_t n = 0; n < plc->pool.count; n++)
    for (const struct run *run = plc->pool.workers[n]->runs;
         run && msg->n_late_starts < most; run = run->next)
      if (is_open_start (run, now_us))
        {
          struct late_start *late = &open[msg->n_late_starts];
          *late = placer_late_start_of (run);
          add_late_row (&rows[msg->n_late_starts], msg, late, now_us);
        }
  return true;
}

/* Whether the starts without an answer are to be recorded now.  */
static bool
announce_due (const struct placer *plc)
{
  return plc->late_starts_changed
         && clock_now_us (plc->env.clk) >= plc->next_announce_us;
}

/* Whether the log needs another worker record.  */
static bool
record_needed (const struct placer *plc)
{
  if (plc->enrol_stale || plc->runs_changed || announce_due (plc))
    return true;
  for (size_t n = 0; n < plc->pool.count; n++)
    {
      const struct worker *wrk = plc->pool.workers[n];
      if (!(is_vacated (plc, wrk) ? wrk->unenrolled : wrk->enrolled))
        return true;
    }
  return false;
}

/* Supplies the worker record.  With a slow store it has waited for the append
   before it, and names the workers and runs that have come since too.  */
static int
fill_record (void *arg, const uint8_t **data, size_t *len)
{
  struct enrol_ctx *ctx = arg;
  struct placer *plc = ctx->plc;
  Kingcuphollow__PoolWorkers msg = KINGCUPHOLLOW__POOL_WORKERS__INIT;
  msg.token = plc->set.token;
  if (plc->closing || !fill_worker_record (plc, ctx, &msg)
      || !fill_late_starts (plc, ctx, &msg))
    return ERR_NOMEM;
  msg.runs_recorded
      = placer_limit_runs (plc, &msg) && msg.n_late_starts < LATE_STARTS_MAX;
  *len = kingcuphollow__pool_workers__get_packed_size (&msg);
  uint8_t *packed = talloc_size (ctx, *len);
  if (!packed)
    return ERR_NOMEM;
  kingcuphollow__pool_workers__pack (&msg, packed);
  *data = packed;
  ctx->number = ++plc->last_record;
  plc->enrolling = true;
  plc->naming = ctx->places;
  plc->enrol_stale = plc->runs_changed = plc->late_starts_changed = false;
  plc->next_announce_us = clock_now_us (plc->env.clk) + ANNOUNCE_INTERVAL_US;
  return 0;
}

void
placer_enrol (struct placer *plc)
{
  char key[KEY_PREFIX_BYTES + NAME_BYTES] = PLACER_WORKERS_KEY_PREFIX;
  for (size_t n = 0; n < plc->pool.count; n++)
    {
      struct worker *wrk = plc->pool.workers[n];
      wrk->unenrolled = wrk->unenrolled && is_vacated (plc, wrk);
    }
  if (plc->enrol_pending || plc->fenced || !record_needed (plc))
    return;
  struct enrol_ctx *ctx = talloc_zero (plc, struct enrol_ctx);
  if (!ctx)
    return;
  ctx->plc = plc;
  name_copy (key + KEY_PREFIX_BYTES, plc->set.pool);
  plc->enrol_pending = true;
  plc->enrol_sent_us = clock_now_us (plc->env.clk);
  plc->calls_in_flight++;
  if (plc->env.persist_first (plc->env.arg, key, fill_record, on_enrolled, ctx)
      == 0)
    return;
  plc->enrol_pending = false;
  plc->calls_in_flight--;
  talloc_free (ctx);
}

void
placer_add_earlier_worker (struct placer *plc, const char *id,
                           const char *host, int64_t born_ms, int64_t known_us)
{
  struct earlier_worker *rows = talloc_realloc (
      plc, plc->earlier, struct earlier_worker, plc->earlier_count + 1);
  if (!rows)
    {
      /* The worker is waited for only if registered.  */
      plc->earlier_runs_known = false;
      return;
    }
  plc->earlier = rows;
  rows += plc->earlier_count++;
  *rows = (struct earlier_worker){ .born_ms = born_ms };
  name_copy (rows->id, id);
  name_copy (rows->host, host);
  rows->known_us = known_us;
}

void
placer_add_earlier_record (struct placer *plc, const uint8_t *data, size_t len,
                           int64_t read_us)
{
  Kingcuphollow__PoolWorkers *msg
      = data ? kingcuphollow__pool_workers__unpack (NULL, len, data) : NULL;
  if (!msg)
    return;
  plc->earlier_runs_known = msg->runs_recorded;
  for (size_t n = 0; n < msg->n_workers; n++)
    {
      const Kingcuphollow__PoolWorkers__Worker *row = msg->workers[n];
      placer_add_earlier_worker (plc, row->id, row->host, row->born_ms,
                                 read_us);
      for (size_t m = 0; m < row->n_runs; m++)
        placer_add_earlier_run (plc, row->id, row->runs[m]);
    }
  for (size_t n = 0; n < msg->n_late_starts; n++)
    {
      const Kingcuphollow__PoolWorkers__LateStart *row = msg->late_starts[n];
      struct late_start late = {
        .ref = { .job = row->job,
                 .occurrence = row->occurrence,
                 .step = row->step,
                 .index = row->index },
        .number = row->run,
        .sent_us = read_us - (int64_t)row->age_ms * 1000,
      };
      name_copy (late.worker, row->worker);
      name_copy (late.host, row->host);
      if (clock_now_us (plc->env.clk) <= late.sent_us + LATE_CALL_MAX_US)
        placer_add_earlier_start (plc, &late);
    }
  kingcuphollow__pool_workers__free_unpacked (msg, NULL);
}

static void
remove_earlier_at (struct placer *plc, size_t index)
{
  plc->earlier[index] = plc->earlier[--plc->earlier_count];
}

void
placer_drop_earlier_worker (struct placer *plc, const char *id)
{
  for (size_t n = plc->earlier_count; n-- > 0;)
    if (strcmp (plc->earlier[n].id, id) == 0)
      remove_earlier_at (plc, n);
}

void
placer_drop_earlier_on_host (struct placer *plc,
                             const struct worker_report *rep)
{
  for (size_t n = plc->earlier_count; *rep->host && n-- > 0;)
    if (strcmp (plc->earlier[n].host, rep->host) == 0
        && plc->earlier[n].born_ms > 0
        && rep->born_ms > plc->earlier[n].born_ms)
      remove_earlier_at (plc, n);
}
