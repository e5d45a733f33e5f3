#include "job/job_codec.h"

#include <string.h>
#include <talloc.h>

#include "base/err.h"
#include "proto/job.pb-c.h"

void
job_key_format (char kind, uint64_t id, char key[JOB_KEY_BYTES + 1])
{
  job_id_format (id, key);
  key[JOB_ID_CHARS] = kind;
  key[JOB_KEY_BYTES] = '\0';
}

bool
job_key_parse (const char *key, size_t len, char *kind, uint64_t *id)
{
  if (len != JOB_KEY_BYTES)
    return false;
  *kind = key[JOB_ID_CHARS];
  return job_id_parse (key, JOB_ID_CHARS, id);
}

static void
step_to_message (const struct step *stp, Kingcuphollow__JobStep *msg)
{
  kingcuphollow__job_step__init (msg);
  msg->count = stp->count;
  msg->cpu_milli = (uint32_t)stp->need.cpu_milli;
  msg->memory_mb = (uint32_t)stp->need.memory_mb;
  msg->accelerators = (uint32_t)stp->need.accelerators;
  msg->estimate_ms = (uint32_t)stp->estimate_ms;
  msg->n_after = stp->after_count;
  msg->after = stp->after;
  msg->checkpoints = stp->checkpoints;
  msg->gang = stp->gang;
  msg->rack_sensitive = stp->rack_sensitive;
  msg->required_label = (char *)stp->required_label;
  msg->data_rack = (char *)stp->data_rack;
  msg->most_per_worker = stp->max_per_worker;
  msg->allow_duplicates = stp->allow_duplicates;
  msg->perpetual = stp->perpetual;
  msg->may_miss = stp->max_unavailable;
  msg->image = (char *)stp->image;
  msg->target_ms = (uint32_t)stp->target_ms;
  msg->fills = stp->best_effort;
}

int
job_encode_spec (void *parent, const struct job_acceptance *acc,
                 const struct job_spec *spec, uint8_t **data, size_t *len)
{
  int err = ERR_NOMEM;
  Kingcuphollow__JobSpec msg = KINGCUPHOLLOW__JOB_SPEC__INIT;
  Kingcuphollow__JobStep *steps
      = talloc_array (parent, Kingcuphollow__JobStep, spec->step_count);
  msg.steps
      = talloc_array (parent, Kingcuphollow__JobStep *, spec->step_count);
  if (!steps || !msg.steps)
    goto done;
  for (size_t n = 0; n < spec->step_count; n++)
    {
      step_to_message (&spec->steps[n], &steps[n]);
      msg.steps[n] = &steps[n];
    }
  msg.n_steps = spec->step_count;
  msg.queue = (char *)acc->queue;
  msg.pool = (char *)acc->pool;
  msg.spec = (char *)spec->spec;
  msg.accepted_ms = (uint64_t)acc->accepted_ms;
  msg.config_version = acc->config_version;
  msg.pool_uncertain = acc->pool_uncertain;
  msg.attempts = acc->attempts;
  if (acc->withdrawn_pool)
    msg.withdrawn_pool = (char *)acc->withdrawn_pool;
  msg.occurrences = spec->occurrences;
  msg.first_due_ms = (uint64_t)spec->first_due_ms;
  msg.interval_ms = (uint64_t)spec->interval_ms;
  *len = kingcuphollow__job_spec__get_packed_size (&msg);
  *data = talloc_size (parent, *len);
  if (!*data)
    goto done;
  kingcuphollow__job_spec__pack (&msg, *data);
  err = 0;

done:
  talloc_free (steps);
  talloc_free (msg.steps);
  return err;
}

static int
failures_to_message (void *ctx, const struct job *job, uint32_t occurrence,
                     Kingcuphollow__OccurrenceProgress *msg)
{
  size_t most = job->failed_run_count;
  if (most == 0)
    return 0;
  Kingcuphollow__FailedRun *rows
      = talloc_array (ctx, Kingcuphollow__FailedRun, most);
  msg->failures = talloc_array (ctx, Kingcuphollow__FailedRun *, most);
  if (!rows || !msg->failures)
    return ERR_NOMEM;
  for (size_t n = 0; n < most; n++)
    {
      if (job->failed_runs[n].occurrence != occurrence)
        continue;
      Kingcuphollow__FailedRun *row = &rows[msg->n_failures];
      kingcuphollow__failed_run__init (row);
      row->task = job->failed_runs[n].task;
      row->key = job->failed_runs[n].key;
      msg->failures[msg->n_failures++] = row;
    }
  return 0;
}

static int
occurrence_to_message (void *ctx, const struct job *job, uint32_t number,
                       Kingcuphollow__OccurrenceProgress *msg)
{
  const struct occurrence *occ = &job->occurrences[number];
  kingcuphollow__occurrence_progress__init (msg);
  msg->number = number;
  msg->done.len = (job->task_count + 7) / 8;
  msg->done.data = talloc_zero_size (ctx, msg->done.len);
  msg->runs = talloc_array (ctx, uint32_t, job->task_count);
  if (!msg->done.data || !msg->runs)
    return ERR_NOMEM;
  /* A done task is not started again, so its run number is of no use.  */
  msg->n_runs = occ->done < job->task_count ? job->task_count : 0;
  for (uint32_t n = 0; n < job->task_count; n++)
    {
      const struct task *tsk = &occ->tasks[n];
      if (tsk->prg.done)
        msg->done.data[n / 8] |= (uint8_t)(1u << n % 8);
      msg->runs[n] = tsk->prg.last_run;
    }
  return failures_to_message (ctx, job, number, msg);
}

/* Whether anything of the occurrence has to be recorded.  */
static bool
has_progress (const struct job *job, uint32_t number)
{
  for (uint32_t n = 0; n < job->task_count; n++)
    {
      const struct task *tsk = &job->occurrences[number].tasks[n];
      if (tsk->prg.done || tsk->prg.last_run > 0 || tsk->failures > 0)
        return true;
    }
  return false;
}

static uint32_t
outcome_of (const struct job *job)
{
  switch (job->state)
    {
    case JOB_COMPLETED:
      return JOB_OUTCOME_COMPLETED;
    case JOB_FAILED:
      return JOB_OUTCOME_FAILED;
    case JOB_CANCELLED:
      return JOB_OUTCOME_CANCELLED;
    case JOB_QUEUED:
    case JOB_RUNNING:
      break;
    }
  return JOB_OUTCOME_OPEN;
}

int
job_encode_progress (void *parent, const struct job *job, uint64_t token,
                     uint8_t **data, size_t *len)
{
  int err = ERR_NOMEM;
  Kingcuphollow__JobProgress msg = KINGCUPHOLLOW__JOB_PROGRESS__INIT;
  void *ctx = talloc_new (parent);
  Kingcuphollow__OccurrenceProgress *occs = talloc_array (
      ctx, Kingcuphollow__OccurrenceProgress, job->occurrence_count);
  msg.occurrences = talloc_array (ctx, Kingcuphollow__OccurrenceProgress *,
                                  job->occurrence_count);
  if (!occs || !msg.occurrences)
    goto done;
  for (uint32_t n = 0; n < job->occurrence_count; n++)
    {
      if (!has_progress (job, n))
        continue;
      err = occurrence_to_message (ctx, job, n, &occs[n]);
      if (err)
        goto done;
      msg.occurrences[msg.n_occurrences++] = &occs[n];
    }
  msg.token = token;
  msg.outcome = outcome_of (job);
  if (job->contested)
    msg.pool = (char *)job->pool;
  *len = kingcuphollow__job_progress__get_packed_size (&msg);
  *data = talloc_size (parent, *len);
  err = *data ? 0 : ERR_NOMEM;
  if (!err)
    kingcuphollow__job_progress__pack (&msg, *data);

done:
  talloc_free (ctx);
  return err;
}

static void
step_from_message (struct job *job, const Kingcuphollow__JobStep *msg,
                   struct step *stp)
{
  stp->count = msg->count;
  stp->need.cpu_milli = msg->cpu_milli;
  stp->need.memory_mb = msg->memory_mb;
  stp->need.accelerators = msg->accelerators;
  stp->estimate_ms = msg->estimate_ms;
  stp->after_count = msg->n_after;
  stp->after
      = talloc_memdup (job, msg->after, msg->n_after * sizeof *msg->after);
  stp->checkpoints = msg->checkpoints;
  stp->gang = msg->gang;
  stp->rack_sensitive = msg->rack_sensitive;
  stp->required_label = talloc_strdup (job, msg->required_label);
  stp->data_rack = talloc_strdup (job, msg->data_rack);
  stp->max_per_worker = msg->most_per_worker;
  stp->allow_duplicates = msg->allow_duplicates;
  stp->perpetual = msg->perpetual;
  stp->max_unavailable = msg->may_miss;
  stp->image = talloc_strdup (job, msg->image);
  stp->target_ms = msg->target_ms;
  stp->best_effort = msg->fills;
  stp->first_task = job->task_count;
  job->task_count += stp->count;
}

static bool
spec_within_limits (const Kingcuphollow__JobSpec *msg)
{
  uint64_t tasks = 0;
  if (!msg->queue || strlen (msg->queue) >= NAME_BYTES || !msg->pool
      || strlen (msg->pool) >= NAME_BYTES
      || strlen (msg->withdrawn_pool) >= NAME_BYTES
      || msg->n_steps > JOB_STEPS_MAX
      || msg->occurrences > JOB_OCCURRENCES_MAX)
    return false;
  for (size_t n = 0; n < msg->n_steps; n++)
    {
      tasks += msg->steps[n]->count;
      for (size_t m = 0; m < msg->steps[n]->n_after; m++)
        if (msg->steps[n]->after[m] >= n)
          return false;
    }
  return tasks <= JOB_TASKS_MAX;
}

static int
make_occurrences (struct job *job)
{
  job->occurrence_count = job->spec.occurrences ? job->spec.occurrences : 1;
  job->occurrences
      = talloc_zero_array (job, struct occurrence, job->occurrence_count);
  if (!job->occurrences)
    return ERR_NOMEM;
  for (uint32_t n = 0; n < job->occurrence_count; n++)
    {
      struct occurrence *occ = &job->occurrences[n];
      occ->tasks
          = talloc_zero_array (job->occurrences, struct task, job->task_count);
      occ->step_done = talloc_zero_array (job->occurrences, uint32_t,
                                          job->spec.step_count);
      if (!occ->tasks || !occ->step_done)
        return ERR_NOMEM;
      if (job->spec.occurrences)
        occ->due_ms = job->spec.first_due_ms + n * job->spec.interval_ms;
    }
  return 0;
}

int
job_decode_spec (struct job *job, const uint8_t *data, size_t len,
                 char withdrawn_pool[NAME_BYTES])
{
  Kingcuphollow__JobSpec *msg
      = kingcuphollow__job_spec__unpack (NULL, len, data);
  int err = ERR_PROTOCOL;
  if (!msg || !spec_within_limits (msg))
    goto done;
  err = ERR_NOMEM;
  name_copy (job->queue, msg->queue);
  name_copy (job->pool, msg->pool);
  name_copy (withdrawn_pool, msg->withdrawn_pool);
  job->config_version = msg->config_version;
  job->pool_uncertain = msg->pool_uncertain;
  job->attempts = msg->attempts;
  job->accepted_ms = (int64_t)msg->accepted_ms;
  job->spec.spec = talloc_strdup (job, msg->spec);
  job->spec.occurrences = msg->occurrences;
  job->spec.first_due_ms = (int64_t)msg->first_due_ms;
  job->spec.interval_ms = (int64_t)msg->interval_ms;
  job->spec.step_count = msg->n_steps;
  job->spec.steps = talloc_zero_array (job, struct step, msg->n_steps);
  if (!job->spec.spec || !job->spec.steps)
    goto done;
  for (size_t n = 0; n < msg->n_steps; n++)
    step_from_message (job, msg->steps[n], &job->spec.steps[n]);
  err = make_occurrences (job);

done:
  if (msg)
    kingcuphollow__job_spec__free_unpacked (msg, NULL);
  return err;
}

int
job_decode_spec_pools (const uint8_t *data, size_t len, char pool[NAME_BYTES],
                       char withdrawn_pool[NAME_BYTES])
{
  Kingcuphollow__JobSpec *msg
      = kingcuphollow__job_spec__unpack (NULL, len, data);
  if (!msg)
    return ERR_PROTOCOL;
  bool fits = spec_within_limits (msg);
  name_copy (pool, fits ? msg->pool : "");
  name_copy (withdrawn_pool, fits ? msg->withdrawn_pool : "");
  kingcuphollow__job_spec__free_unpacked (msg, NULL);
  return fits ? 0 : ERR_PROTOCOL;
}

int
job_decode_progress_pool (const uint8_t *data, size_t len,
                          char pool[NAME_BYTES])
{
  Kingcuphollow__JobProgress *msg
      = kingcuphollow__job_progress__unpack (NULL, len, data);
  if (!msg)
    return ERR_PROTOCOL;
  bool fits = strlen (msg->pool) < NAME_BYTES;
  name_copy (pool, fits ? msg->pool : "");
  kingcuphollow__job_progress__free_unpacked (msg, NULL);
  return fits ? 0 : ERR_PROTOCOL;
}

static void
merge_task (struct job *job, struct occurrence *occ, uint32_t index,
            const Kingcuphollow__OccurrenceProgress *part, bool *changed,
            bool *stale)
{
  struct task *tsk = &occ->tasks[index];
  bool done = index / 8 < part->done.len
              && (part->done.data[index / 8] >> index % 8 & 1);
  uint32_t runs = index < part->n_runs ? part->runs[index] : 0;
  if (done && !tsk->prg.done)
    {
      uint32_t step = 0;
      while (step + 1 < job->spec.step_count
             && job->spec.steps[step + 1].first_task <= index)
        step++;
      tsk->prg.done = true;
      occ->done++;
      occ->step_done[step]++;
      *changed = true;
    }
  *stale = *stale || (tsk->prg.done && !done);
  if (runs > tsk->prg.last_run)
    {
      tsk->prg.last_run = runs;
      *changed = true;
    }
  if (runs > 0 || done)
    job->started = true;
  tsk->logged.done = tsk->logged.done || done;
  if (runs > tsk->logged.last_run)
    tsk->logged.last_run = runs;
}

/* Merges the failed runs of PART, and finds out whether it lacks any.  */
static void
merge_failures (struct job *job, uint32_t occurrence,
                const Kingcuphollow__OccurrenceProgress *part, bool *changed,
                bool *stale)
{
  size_t known = 0;
  size_t recorded = 0;
  for (size_t n = 0; n < job->failed_run_count; n++)
    known += job->failed_runs[n].occurrence == occurrence;
  for (size_t n = 0; n < part->n_failures; n++)
    {
      const Kingcuphollow__FailedRun *row = part->failures[n];
      if (row->task >= job->task_count)
        continue;
      if (job_add_failure (job, occurrence, row->task, row->key, true))
        *changed = true;
      else
        recorded++;
    }
  *stale = *stale || recorded < known;
}

/* Whether progress is known in an occurrence that SEEN does not mark.  */
static bool
knows_unseen (const struct job *job, const bool *seen)
{
  for (size_t n = 0; n < job->failed_run_count; n++)
    if (!seen[job->failed_runs[n].occurrence])
      return true;
  for (uint32_t n = 0; n < job->occurrence_count; n++)
    for (size_t m = 0; !seen[n] && m < job->spec.step_count; m++)
      if (job->occurrences[n].step_done[m] > 0)
        return true;
  return false;
}

int
job_merge_progress (struct job *job, const uint8_t *data, size_t len,
                    bool *changed, bool *stale, uint64_t *token,
                    enum job_outcome *outcome)
{
  Kingcuphollow__JobProgress *msg
      = kingcuphollow__job_progress__unpack (NULL, len, data);
  *changed = *stale = false;
  if (!msg)
    return ERR_PROTOCOL;
  bool *seen = talloc_zero_array (job, bool, job->occurrence_count);
  if (!seen)
    {
      kingcuphollow__job_progress__free_unpacked (msg, NULL);
      return ERR_NOMEM;
    }
  for (size_t n = 0; n < msg->n_occurrences; n++)
    {
      const Kingcuphollow__OccurrenceProgress *part = msg->occurrences[n];
      if (part->number >= job->occurrence_count)
        continue;
      struct occurrence *occ = &job->occurrences[part->number];
      seen[part->number] = true;
      for (uint32_t m = 0; m < job->task_count; m++)
        merge_task (job, occ, m, part, changed, stale);
      merge_failures (job, part->number, part, changed, stale);
    }
  *stale = *stale || knows_unseen (job, seen);
  talloc_free (seen);
  *token = msg->token;
  /* An outcome of a later version is not known here.  */
  *outcome = msg->outcome <= JOB_OUTCOME_CANCELLED
                 ? (enum job_outcome)msg->outcome
                 : JOB_OUTCOME_OPEN;
  kingcuphollow__job_progress__free_unpacked (msg, NULL);
  return 0;
}
