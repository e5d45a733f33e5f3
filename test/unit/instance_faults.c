#include "instance_model.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "job/job_codec.h"
#include "platform/wire_decode.h"

/* What happens in a model, by its seed: jobs, and faults that follow each
   other and overlap.  */

#define FAULTS_FROM_US (6 * SECOND)
#define FAULTS_SPAN_US (22 * SECOND)
#define CALM_US (45 * SECOND)
#define JOB_INTERVAL_US (2500 * MS)
#define JOBS_UNTIL_US (36 * SECOND)
/* A worker that drains ends after at least this time, and at most after this
   and the span.  */
#define DRAIN_MIN_US (2 * SECOND)
#define DRAIN_SPAN_US (8 * SECOND)
/* A task without a run for this long at the end is lost.  */
#define LOST_AFTER_US (5 * SECOND)

enum fault_kind
{
  FAULT_NONE,
  FAULT_RESTART, /* workers end and start again under their ids */
  FAULT_CUT,     /* no calls to workers */
  FAULT_CUT_ONE_WAY,
  FAULT_NETWORK, /* calls and answers are lost or late */
  FAULT_KILL,    /* of the owner */
  FAULT_PAUSE,
  FAULT_CUT_LOG,
  FAULT_RELEASE,
};

/* A fault that begins FROM_MS plus up to SPREAD_MS after the series.  */
struct fault_step
{
  enum fault_kind kind;
  int64_t from_ms, spread_ms;
  int64_t least_ms, more_ms; /* how long it lasts */
};

#define SERIES_STEPS_MAX 6
static const struct fault_step series[][SERIES_STEPS_MAX] = {
  { { FAULT_NETWORK, 0, 300, 1500, 2000 },
    { FAULT_RESTART, 200, 800, 20, 600 },
    { FAULT_KILL, 1200, 2500, 800, 4000 },
    { FAULT_CUT, 1300, 3000, 6000, 9000 } },
  { { FAULT_RESTART, 0, 600, 20, 300 },
    { FAULT_RESTART, 600, 1500, 20, 300 },
    { FAULT_CUT, 700, 3000, 4000, 10000 },
    { FAULT_RELEASE, 700, 3000, 800, 3000 } },
  { { FAULT_CUT, 0, 500, 1000, 9000 },
    { FAULT_RESTART, 300, 4000, 20, 600 },
    { FAULT_PAUSE, 300, 3000, 1500, 7000 } },
  { { FAULT_RESTART, 0, 1000, 20, 600 },
    { FAULT_CUT_LOG, 500, 2000, 2000, 8000 },
    { FAULT_CUT, 600, 4000, 3000, 9000 } },
  { { FAULT_KILL, 0, 500, 500, 2000 },
    { FAULT_RESTART, 200, 4000, 20, 600 },
    { FAULT_KILL, 2500, 3000, 500, 2000 },
    { FAULT_CUT, 300, 6000, 3000, 9000 } },
  { { FAULT_NETWORK, 0, 100, 2000, 6000 },
    { FAULT_RESTART, 300, 2000, 20, 600 },
    { FAULT_CUT_ONE_WAY, 300, 3000, 1000, 6000 } },
  { { FAULT_RESTART, 0, 2000, 20, 600 },
    { FAULT_CUT, 200, 4000, 6000, 9000 } },
  { { FAULT_NETWORK, 0, 200, 1500, 2500 },
    { FAULT_RESTART, 100, 400, 20, 300 },
    { FAULT_CUT, 800, 2500, 6000, 6000 } },
  { { FAULT_RESTART, 0, 100, 20, 200 },
    { FAULT_CUT_ONE_WAY, 200, 300, 50, 1500 },
    { FAULT_CUT, 1000, 2500, 6000, 6000 } },
};
#define SERIES_COUNT (sizeof series / sizeof *series)

/* A fault in progress.  */
struct fault
{
  struct fault_step step;
  uint32_t group;  /* its workers, a bit each */
  bool calls_only; /* a cut in one way: of calls, otherwise of answers */
  struct owner *own;
};

static struct owner *
current_owner (struct model *mdl)
{
  struct owner *found = NULL;
  for (uint32_t n = 0; n < MODEL_OWNERS; n++)
    if (mdl->owners[n].up && mdl->owners[n].plc
        && (!found || mdl->owners[n].token > found->token))
      found = &mdl->owners[n];
  return found;
}

static void
on_worker_boot (struct model *mdl, void *arg, int64_t worker)
{
  model_worker_boot (mdl, (uint32_t)worker);
}

static void
on_owner_boot (struct model *mdl, void *arg, int64_t owner)
{
  if (!mdl->owners[owner].up)
    owner_boot (mdl, (uint32_t)owner);
}

static void
on_owner_stopped (struct model *mdl, void *arg, int64_t owner)
{
  owner_kill (&mdl->owners[owner]);
}

static void
cut_workers (struct model *mdl, const struct fault *flt, bool cut)
{
  bool calls = flt->step.kind == FAULT_CUT || flt->calls_only;
  for (uint32_t n = 0; n < MODEL_WORKERS; n++)
    {
      struct model_worker *wrk = &mdl->workers[n];
      if (!(flt->group >> n & 1))
        continue;
      if (calls)
        wrk->cut_calls = cut;
      if (flt->step.kind == FAULT_CUT || !calls)
        wrk->cut_answers = cut;
      if (flt->step.kind == FAULT_CUT)
        wrk->cut_store = cut;
      model_trace (mdl, "worker=%s cut=%d%d", wrk->id, wrk->cut_calls,
                   wrk->cut_answers);
    }
}

static void
on_fault_end (struct model *mdl, void *arg, int64_t num)
{
  struct fault *flt = arg;
  switch (flt->step.kind)
    {
    case FAULT_CUT:
    case FAULT_CUT_ONE_WAY:
      cut_workers (mdl, flt, false);
      break;
    case FAULT_NETWORK:
      mdl->net = (struct model_network){ 0 };
      break;
    case FAULT_CUT_LOG:
      flt->own->cut_log = false;
      break;
    default:
      break;
    }
}

static void
on_drained (struct model *mdl, void *arg, int64_t away_us)
{
  struct model_worker *wrk = arg;
  uint32_t worker = (uint32_t)(wrk - mdl->workers);
  /* Not so if it was restarted meanwhile.  */
  if (!wrk->up || !wrk->draining)
    return;
  model_worker_end (mdl, worker);
  model_after (mdl, NULL, away_us, on_worker_boot, NULL, worker);
}

static void
restart_workers (struct model *mdl, const struct fault *flt, int64_t away_us)
{
  for (uint32_t n = 0; n < MODEL_WORKERS; n++)
    if ((flt->group >> n & 1) && mdl->workers[n].up && mdl->opt.drains)
      {
        mdl->workers[n].draining = true;
        if (!mdl->workers[n].cut_store)
          model_worker_report (mdl, n);
        model_after (mdl, NULL, DRAIN_MIN_US + model_pick (mdl, DRAIN_SPAN_US),
                     on_drained, &mdl->workers[n], away_us);
      }
    else if ((flt->group >> n & 1) && mdl->workers[n].up)
      {
        model_worker_end (mdl, n);
        model_after (mdl, NULL, away_us, on_worker_boot, NULL, n);
      }
}

/* Begins a fault of the owner OWN that lasts LASTS_US.  */
static void
begin_owner_fault (struct model *mdl, struct fault *flt, struct owner *own,
                   int64_t lasts_us)
{
  flt->own = own;
  switch (flt->step.kind)
    {
    case FAULT_KILL:
      owner_kill (own);
      model_after (mdl, NULL, lasts_us, on_owner_boot, NULL, own->index);
      break;
    case FAULT_PAUSE:
      model_trace (mdl, "owner=%s paused", own->name);
      own->paused_until_us = mdl->now_us + lasts_us;
      break;
    case FAULT_CUT_LOG:
      model_trace (mdl, "owner=%s cut from the log", own->name);
      own->cut_log = true;
      model_after (mdl, NULL, lasts_us, on_fault_end, flt, 0);
      break;
    default:
      owner_stop (own);
      model_after (mdl, own, 600 * MS, on_owner_stopped, NULL, own->index);
      model_after (mdl, NULL, 600 * MS + lasts_us, on_owner_boot, NULL,
                   own->index);
      break;
    }
}

static void
on_fault (struct model *mdl, void *arg, int64_t num)
{
  struct fault *flt = arg;
  int64_t lasts_us
      = (flt->step.least_ms + model_pick (mdl, flt->step.more_ms)) * MS;
  struct owner *own = current_owner (mdl);
  switch (flt->step.kind)
    {
    case FAULT_NONE:
      break;
    case FAULT_RESTART:
      restart_workers (mdl, flt, lasts_us);
      break;
    case FAULT_CUT:
    case FAULT_CUT_ONE_WAY:
      cut_workers (mdl, flt, true);
      model_after (mdl, NULL, lasts_us, on_fault_end, flt, 0);
      break;
    case FAULT_NETWORK:
      mdl->net = (struct model_network){
        .lost_calls = 10, .lost_answers = 20, .late_calls = 8, .slow = 20
      };
      model_after (mdl, NULL, lasts_us, on_fault_end, flt, 0);
      break;
    default:
      if (own)
        begin_owner_fault (mdl, flt, own, lasts_us);
      break;
    }
}

static void
on_disturb (struct model *mdl, void *arg, int64_t kinds)
{
  struct model_worker *wrk = arg;
  wrk->disturbed = (uint32_t)kinds;
  model_trace (mdl, "worker=%s disturbed=%u", wrk->id, wrk->disturbed);
}

/* Workers are at fault for some time, and one of them for good.  */
static void
plan_disturbed (struct model *mdl)
{
  for (int n = 0; n < 4; n++)
    {
      struct model_worker *wrk
          = &mdl->workers[model_pick (mdl, MODEL_WORKERS)];
      int64_t from_us = FAULTS_FROM_US + model_pick (mdl, FAULTS_SPAN_US);
      int64_t lasts_us = SECOND + model_pick (mdl, 15 * SECOND);
      model_after (mdl, NULL, from_us, on_disturb, wrk,
                   1 + model_pick (mdl, DISTURBED_KINDS - 1));
      if (n > 0)
        model_after (mdl, NULL, from_us + lasts_us, on_disturb, wrk, 0);
    }
}

static void
plan_series (struct model *mdl)
{
  const struct fault_step *steps = series[model_pick (mdl, SERIES_COUNT)];
  int64_t from_us = FAULTS_FROM_US + model_pick (mdl, FAULTS_SPAN_US);
  uint32_t all = (1U << MODEL_WORKERS) - 1;
  uint32_t group = (uint32_t)model_pick (mdl, all) & all;
  for (size_t n = 0; n < SERIES_STEPS_MAX && steps[n].kind; n++)
    {
      struct fault *flt = talloc_zero (mdl, struct fault);
      flt->step = steps[n];
      flt->group = group;
      flt->calls_only = model_chance (mdl, 30);
      model_after (
          mdl, NULL,
          from_us
              + (steps[n].from_ms + model_pick (mdl, steps[n].spread_ms)) * MS,
          on_fault, flt, 0);
    }
}

static void
on_calm (struct model *mdl, void *arg, int64_t num)
{
  model_trace (mdl, "calm");
  mdl->net = (struct model_network){ 0 };
  for (uint32_t n = 0; n < MODEL_WORKERS; n++)
    {
      struct model_worker *wrk = &mdl->workers[n];
      wrk->cut_calls = wrk->cut_answers = wrk->cut_store = false;
    }
  for (uint32_t n = 0; n < MODEL_OWNERS; n++)
    {
      struct owner *own = &mdl->owners[n];
      own->cut_log = false;
      if (!own->up)
        owner_boot (mdl, n);
    }
}

static void
append_job_record (struct model *mdl, char kind, uint64_t id, uint8_t *data,
                   size_t len)
{
  struct model_record *rec = &mdl->log[mdl->log_count++];
  *rec = (struct model_record){
    .kind = RECORD_JOB, .key_len = JOB_KEY_BYTES, .data = data, .len = len
  };
  job_key_format (kind, id, rec->key);
}

static void
on_cancel (struct model *mdl, void *arg, int64_t num)
{
  static uint8_t mark[] = { 1 };
  uint64_t id = (uint64_t)num;
  append_job_record (mdl, JOB_KEY_CANCEL, id, mark, sizeof mark);
  for (uint32_t n = 0; n < mdl->task_count; n++)
    if (mdl->tasks[n].ref.job == id)
      {
        mdl->tasks[n].cancelled_us = mdl->now_us;
        model_trace (mdl, "task=%u cancelled", n);
      }
}

/* Offers a job of COUNT tasks.  */
static void
offer_job (struct model *mdl, uint32_t count, bool perpetual)
{
  char json[256];
  struct job_spec spec;
  const char *fault;
  uint8_t *data;
  size_t len;
  uint64_t id = 0x100 + mdl->job_count++;
  snprintf (json, sizeof json,
            "{\"steps\":[{\"count\":%u,\"cpu\":1000,\"mem-mb\":64,%s}]}",
            count, perpetual ? "\"perpetual\":true" : "\"estimate-ms\":4000");
  if (wire_decode_job (mdl, (const uint8_t *)json, strlen (json), &spec,
                       &fault)
      || job_encode_spec (
          mdl,
          &(struct job_acceptance){ .queue = "q",
                                    .pool = MODEL_POOL,
                                    .accepted_ms = mdl->now_us / MS },
          &spec, &data, &len))
    return;
  append_job_record (mdl, JOB_KEY_SPEC, id, data, len);
  for (uint32_t n = 0; n < count; n++)
    {
      int64_t longest_us = model_chance (mdl, 50) ? 15 * SECOND : 4 * SECOND;
      model_trace (mdl, "task=%u offered as %016" PRIx64 ".0.0.%u%s",
                   mdl->task_count, id, n, perpetual ? " perpetual" : "");
      mdl->tasks[mdl->task_count++] = (struct model_task){
        .ref = { .job = id, .index = n },
        .perpetual = perpetual,
        .work_us = SECOND + model_pick (mdl, longest_us - SECOND),
        .offered_us = mdl->now_us,
      };
    }
  if (!perpetual && model_chance (mdl, 20))
    model_after (mdl, NULL, SECOND + model_pick (mdl, 9 * SECOND), on_cancel,
                 NULL, (int64_t)id);
}

static void
on_job_due (struct model *mdl, void *arg, int64_t perpetual)
{
  if (mdl->task_count + 5 < MODEL_TASKS_MAX)
    offer_job (mdl, 1 + (uint32_t)model_pick (mdl, 5), perpetual);
}

static void
on_watch (struct model *mdl, void *arg, int64_t num)
{
  model_note_alive (mdl);
  model_after (mdl, NULL, 250 * MS, on_watch, NULL, 0);
}

void
model_plan (struct model *mdl)
{
  model_after (mdl, NULL, SECOND, on_job_due, NULL, true);
  for (int64_t at_us = 2 * SECOND; at_us < JOBS_UNTIL_US;
       at_us += JOB_INTERVAL_US)
    model_after (mdl, NULL, at_us, on_job_due, NULL, false);
  for (int64_t n = 1 + model_pick (mdl, 3); n > 0; n--)
    plan_series (mdl);
  if (mdl->opt.disturbed)
    plan_disturbed (mdl);
  model_after (mdl, NULL, CALM_US, on_calm, NULL, 0);
  on_watch (mdl, NULL, 0);
}

/* Whether the log has the task as done, as the first process knows it.  */
static bool
done_in_log (struct model *mdl, const struct task_ref *ref)
{
  struct job *job = job_table_find (&mdl->owners[0].jobs, ref->job);
  const struct task *tsk = job ? job_task (job, ref) : NULL;
  return tsk && tsk->logged.done;
}

void
model_check_lost (struct model *mdl)
{
  for (uint32_t n = 0; n < mdl->task_count; n++)
    {
      const struct model_task *tsk = &mdl->tasks[n];
      if (!tsk->cancelled_us && !done_in_log (mdl, &tsk->ref)
          && mdl->now_us - tsk->alive_us > LOST_AFTER_US)
        model_fault (mdl, n, "LOST: without a run for %d ms",
                     (int)((mdl->now_us - tsk->alive_us) / MS));
    }
}
