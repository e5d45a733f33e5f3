#include "job/job_table.h"

#include <string.h>
#include <talloc.h>

#include "base/err.h"
#include "job/job_codec.h"

void
job_table_init (struct job_table *tab)
{
  *tab = (struct job_table){ 0 };
}

static void
drop_early (struct job_table *tab, int64_t before_us)
{
  struct early_cancellation *row, *next;
  HASH_ITER (hh, tab->early, row, next)
    if (row->read_us < before_us)
      {
        HASH_DEL (tab->early, row);
        talloc_free (row);
      }
}

/* Functions of their own because clang-tidy counts the expanded uthash macro
   towards the size of the function that contains it.  */
static void
link_job (struct job_table *tab, struct job *job)
{
  HASH_ADD (hh, tab->by_id, id, sizeof job->id, job);
}

static void
unlink_job (struct job_table *tab, struct job *job)
{
  HASH_DEL (tab->by_id, job);
}

/* Frees all rows of the id of HEAD.  */
static void
remove_job (struct job_table *tab, struct job *head)
{
  unlink_job (tab, head);
  tab->count--;
  tab->contested -= head->contested;
  while (head)
    {
      struct job *next = head->next_rival;
      talloc_free (head);
      head = next;
    }
}

void
job_table_fini (struct job_table *tab)
{
  struct job *job, *next;
  HASH_ITER (hh, tab->by_id, job, next)
    remove_job (tab, job);
  drop_early (tab, INT64_MAX);
}

struct job *
job_table_find (const struct job_table *tab, uint64_t id)
{
  struct job *job;
  HASH_FIND (hh, tab->by_id, &id, sizeof id, job);
  return job;
}

static struct job *
find_row (struct job *head, const char *pool)
{
  while (head && strcmp (head->pool, pool) != 0)
    head = head->next_rival;
  return head;
}

struct job *
job_table_find_in (const struct job_table *tab, uint64_t id, const char *pool)
{
  return find_row (job_table_find (tab, id), pool);
}

static void
add_job (struct job_table *tab, struct job *job)
{
  link_job (tab, job);
  tab->count++;
}

static bool
outranks (const struct job *a, const struct job *b)
{
  if (a->recorded != b->recorded)
    return a->recorded;
  if (a->config_version != b->config_version)
    return a->config_version > b->config_version;
  return strcmp (a->pool, b->pool) > 0;
}

/* Makes the row that holds the first one of those behind HEAD.  */
static void
choose_row (struct job_table *tab, struct job *head)
{
  struct job *best = head;
  struct job *before = NULL;
  for (struct job *job = head; job->next_rival; job = job->next_rival)
    if (outranks (job->next_rival, best))
      {
        before = job;
        best = job->next_rival;
      }
  if (!before)
    return;
  before->next_rival = best->next_rival;
  best->next_rival = head;
  unlink_job (tab, head);
  link_job (tab, best);
}

static void
add_rival (struct job_table *tab, struct job *head, struct job *job)
{
  tab->contested += !head->contested;
  head->contested = job->contested = true;
  job->next_rival = head->next_rival;
  head->next_rival = job;
  if (head->logged_state == JOB_CANCELLED && !head->deleted)
    {
      job->state = job->logged_state = JOB_CANCELLED;
      job->ended_us = head->ended_us;
    }
  choose_row (tab, head);
}

/* Takes JOB, which is one of several rows behind HEAD, out of the table.  */
static void
withdraw_row (struct job_table *tab, struct job *head, struct job *job)
{
  struct job *first = head == job ? head->next_rival : head;
  if (head == job)
    {
      unlink_job (tab, head);
      link_job (tab, first);
    }
  else
    {
      struct job *before = head;
      while (before->next_rival != job)
        before = before->next_rival;
      before->next_rival = job->next_rival;
    }
  job->next_rival = NULL;
  if (!first->next_rival)
    {
      first->contested = false;
      tab->contested--;
    }
  choose_row (tab, first);
  if (!tab->withdrawn || tab->withdrawn (tab->arg, job))
    talloc_free (job);
}

static struct early_cancellation *
find_early (const struct job_table *tab, uint64_t id)
{
  struct early_cancellation *row;
  HASH_FIND (hh, tab->early, &id, sizeof id, row);
  return row;
}

/* A function of its own because clang-tidy counts the expanded uthash macro
   towards the size of the function that contains it.  */
static void
link_early (struct job_table *tab, struct early_cancellation *row)
{
  HASH_ADD (hh, tab->early, id, sizeof row->id, row);
}

static int
add_early (struct job_table *tab, void *parent, uint64_t id, int64_t now_us)
{
  if (find_early (tab, id))
    return 0;
  struct early_cancellation *row
      = talloc_zero (parent, struct early_cancellation);
  if (!row)
    return ERR_NOMEM;
  row->id = id;
  row->read_us = now_us;
  link_early (tab, row);
  return 0;
}

static void
cancel_job (struct job *job, struct job_fold_result *res, int64_t now_us)
{
  job->state = job->logged_state = JOB_CANCELLED;
  job->ended_us = now_us;
  res->change = JOB_CHANGE_CANCELLED;
}

/* Adds the row JOB, which is not in the table.  */
static void
add_spec (struct job_table *tab, struct job *job, int64_t now_us,
          struct job_fold_result *res)
{
  struct job *head = job_table_find (tab, job->id);
  res->job = job;
  res->change = JOB_CHANGE_NEW;
  if (head)
    {
      bool deleted = head->deleted;
      add_rival (tab, head, job);
      if (deleted)
        withdraw_row (tab, job_table_find (tab, job->id), head);
    }
  else
    add_job (tab, job);
  if (find_early (tab, job->id))
    cancel_job (job, res, now_us);
}

/* Takes the row of JOB's id for the pool WITHDRAWN out of the table, if a
   record in PART has withdrawn one.  */
static void
drop_withdrawn (struct job_table *tab, uint32_t part, const char *withdrawn,
                const struct job *job)
{
  struct job *row
      = *withdrawn ? job_table_find_in (tab, job->id, withdrawn) : NULL;
  if (row && row != job && row->part == part)
    withdraw_row (tab, job_table_find (tab, job->id), row);
}

static int
fold_spec (struct job_table *tab, void *parent, uint32_t part, uint64_t offset,
           uint64_t id, const uint8_t *value, size_t len, int64_t now_us,
           struct job_fold_result *res)
{
  char pool[NAME_BYTES];
  char withdrawn[NAME_BYTES] = "";
  struct job *head = job_table_find (tab, id);
  /* Most records of a known job repeat a known row; after the loss of the
     store's history all are read again.  */
  if (head && job_decode_spec_pools (value, len, pool, withdrawn))
    return ERR_PROTOCOL;
  res->job = find_row (head, head ? pool : "");
  if (res->job)
    {
      res->change = JOB_CHANGE_REPEATED;
      drop_withdrawn (tab, part, withdrawn, res->job);
      return 0;
    }
  struct job *job = talloc_zero (parent, struct job);
  if (!job)
    return ERR_NOMEM;
  job->id = id;
  job->part = part;
  job->offset = offset;
  job->seen_us = now_us;
  int err = job_decode_spec (job, value, len, withdrawn);
  if (err)
    {
      talloc_free (job);
      return err;
    }
  add_spec (tab, job, now_us, res);
  drop_withdrawn (tab, part, withdrawn, job);
  return 0;
}

static struct job *
row_in_part (struct job *head, uint32_t part)
{
  while (head && head->part != part)
    head = head->next_rival;
  return head;
}

/* Handles the deletion of a job's specification.  If the job is known for
   another pool, whose records are in another partition, the owner has
   withdrawn it.  Otherwise the owner appends the deletion after those of the
   job's other records when the job has ended and was kept long enough.  A
   process that read the specification by key may have missed the others: it
   takes the job for one that has not ended.  */
static void
fold_deletion (struct job_table *tab, uint32_t part, const char *key,
               size_t key_len, struct job_fold_result *res)
{
  char kind;
  uint64_t id;
  if (!job_key_parse (key, key_len, &kind, &id) || kind != JOB_KEY_SPEC)
    return;
  struct job *job = job_table_find (tab, id);
  struct job *row;
  while (job && job->contested && (row = row_in_part (job, part)))
    {
      withdraw_row (tab, job, row);
      job = job_table_find (tab, id);
    }
  if (!job || job->part != part || job->logged_state >= JOB_COMPLETED)
    return;
  res->job = job;
  res->deleted = job->deleted = true;
  /* The time in the past lets the job expire at once, and nothing is published
     of it.  */
  cancel_job (job, res, INT64_MIN);
  job->published = JOB_CANCELLED + 1;
}

/* The row behind HEAD that a progress record in PART belongs to.  A record
   without the name of a pool is from an owner that knew of one row only.  */
static struct job *
progress_row (struct job *head, uint32_t part, const uint8_t *value,
              size_t len)
{
  char pool[NAME_BYTES];
  struct job *first = NULL;
  if (!head->contested)
    return head->part == part ? head : NULL;
  if (job_decode_progress_pool (value, len, pool))
    return NULL;
  for (struct job *row = head; row; row = row->next_rival)
    if (row->part == part
        && (*pool ? strcmp (row->pool, pool) == 0
                  : !first || row->offset < first->offset))
      first = row;
  return first;
}

/* An end that only this process knows is not in the log before the
   cancellation.  */
static void
fold_cancellation (struct job *head, int64_t now_us,
                   struct job_fold_result *res)
{
  struct job_fold_result ignored;
  res->job = head;
  for (struct job *row = head; row; row = row->next_rival)
    if (row->logged_state < JOB_COMPLETED)
      cancel_job (row, row == head ? res : &ignored, now_us);
}

static enum job_outcome
outcome_of_state (enum job_state state)
{
  return (enum job_outcome) (JOB_OUTCOME_COMPLETED + (state - JOB_COMPLETED));
}

int
job_table_fold (struct job_table *tab, void *parent, uint32_t part,
                uint64_t offset, const char *key, size_t key_len,
                const uint8_t *value, size_t value_len, int64_t now_us,
                struct job_fold_result *res)
{
  char kind;
  uint64_t id;
  bool changed, stale;
  *res = (struct job_fold_result){ 0 };
  if (value_len == 0)
    {
      fold_deletion (tab, part, key, key_len, res);
      return 0;
    }
  if (!job_key_parse (key, key_len, &kind, &id))
    return ERR_PROTOCOL;
  if (kind == JOB_KEY_SPEC)
    return fold_spec (tab, parent, part, offset, id, value, value_len, now_us,
                      res);
  struct job *head = job_table_find (tab, id);
  if (!head || (head->deleted && kind == JOB_KEY_CANCEL))
    return kind == JOB_KEY_CANCEL ? add_early (tab, parent, id, now_us) : 0;
  if (kind == JOB_KEY_CANCEL)
    {
      fold_cancellation (head, now_us, res);
      return 0;
    }
  if (kind != JOB_KEY_PROGRESS)
    return ERR_PROTOCOL;
  res->job = progress_row (head, part, value, value_len);
  if (!res->job)
    return 0;
  int err = job_merge_progress (res->job, value, value_len, &changed, &stale,
                                &res->token, &res->outcome);
  if (err)
    return err;
  /* The record is of an owner that did not know how the job had ended.  */
  res->outcome_differs
      = res->job->logged_state >= JOB_COMPLETED
        && res->outcome != JOB_OUTCOME_UNSTATED
        && res->outcome != outcome_of_state (res->job->logged_state);
  stale = stale || res->outcome_differs;
  res->change = stale     ? JOB_CHANGE_STALE
                : changed ? JOB_CHANGE_PROGRESS
                          : JOB_CHANGE_NONE;
  res->job->recorded = true;
  choose_row (tab, head);
  return 0;
}

void
job_mark_task_done (struct job *job, const struct task_ref *ref)
{
  struct task *tsk = job_task (job, ref);
  if (!tsk || tsk->prg.done)
    return;
  tsk->prg.done = true;
  job->occurrences[ref->occurrence].done++;
  job->occurrences[ref->occurrence].step_done[ref->step]++;
}

/* Failures of perpetual tasks do not count: such a task is restarted however
   often it fails.  */
static bool
occurrence_failed (const struct job *job, const struct occurrence *occ,
                   uint32_t attempts)
{
  for (size_t n = 0; n < job->spec.step_count; n++)
    {
      const struct step *stp = &job->spec.steps[n];
      for (uint32_t m = 0; !stp->perpetual && m < stp->count; m++)
        {
          const struct task *tsk = &occ->tasks[stp->first_task + m];
          if (!tsk->prg.done && tsk->failures >= attempts)
            return true;
        }
    }
  return false;
}

bool
job_update_state (struct job *job, uint32_t attempts, int64_t now_us)
{
  uint32_t done = 0;
  enum job_state state = job->started ? JOB_RUNNING : JOB_QUEUED;
  if (job_ended (job))
    return false;
  for (uint32_t n = 0; n < job->occurrence_count; n++)
    {
      struct occurrence *occ = &job->occurrences[n];
      done += occ->done == job->task_count;
      if (attempts > 0 && occurrence_failed (job, occ, attempts))
        state = JOB_FAILED;
    }
  if (done == job->occurrence_count)
    state = JOB_COMPLETED;
  bool changed = state != job->state;
  job->state = state;
  if (job_ended (job))
    job->ended_us = now_us;
  return changed;
}

/* The state of JOB that the log shows while it does not show its end.  */
static void
note_open (struct job *job)
{
  if (job->started && job->logged_state == JOB_QUEUED)
    job->logged_state = JOB_RUNNING;
}

static void
note_outcome (struct job *job, enum job_outcome outcome, int64_t now_us)
{
  static const enum job_state states[]
      = { [JOB_OUTCOME_COMPLETED] = JOB_COMPLETED,
          [JOB_OUTCOME_FAILED] = JOB_FAILED,
          [JOB_OUTCOME_CANCELLED] = JOB_CANCELLED };
  if (job->logged_state >= JOB_COMPLETED)
    return;
  if (!job_ended (job))
    job->ended_us = now_us;
  job->state = job->logged_state = states[outcome];
}

void
job_note_record (struct job *job, const struct job_fold_result *res,
                 uint32_t attempts, int64_t now_us)
{
  if (res->change == JOB_CHANGE_REPEATED)
    return;
  if (res->outcome >= JOB_OUTCOME_COMPLETED)
    {
      job->outcome_stated = true;
      note_outcome (job, res->outcome, now_us);
      return;
    }
  if (res->outcome == JOB_OUTCOME_OPEN)
    {
      job_update_state (job, 0, now_us);
      note_open (job);
      return;
    }
  job_update_state (job, attempts, now_us);
  if (res->change != JOB_CHANGE_STALE)
    job->logged_state = job->state;
  else
    note_open (job);
}

void
job_revert_to_log (struct job *job)
{
  job->started = false;
  for (uint32_t n = 0; n < job->occurrence_count; n++)
    {
      struct occurrence *occ = &job->occurrences[n];
      occ->done = 0;
      for (size_t m = 0; m < job->spec.step_count; m++)
        {
          const struct step *stp = &job->spec.steps[m];
          struct task *tasks = &occ->tasks[stp->first_task];
          occ->step_done[m] = 0;
          for (uint32_t k = 0; k < stp->count; k++)
            {
              const struct task_progress logged = tasks[k].logged;
              talloc_free (tasks[k].checkpoint);
              tasks[k] = (struct task){ .prg = logged, .logged = logged };
              occ->step_done[m] += logged.done;
              job->started
                  = job->started || logged.last_run > 0 || logged.done;
            }
          occ->done += occ->step_done[m];
        }
    }
  size_t kept = 0;
  for (size_t n = 0; n < job->failed_run_count; n++)
    {
      const struct failed_run row = job->failed_runs[n];
      if (!row.logged)
        continue;
      job->failed_runs[kept++] = row;
      job->occurrences[row.occurrence].tasks[row.task].failures++;
    }
  job->failed_run_count = kept;
  job->attempts_applied = 0;
  job->scheduled = job->dirty = job->withdrawing = false;
  if (job->logged_state >= JOB_COMPLETED)
    return;
  job->state = job->started ? JOB_RUNNING : JOB_QUEUED;
  job->ended_us = 0;
}

/* Whether the pool's owner refers to JOB: it has a run that is being stopped
   or progress to be recorded, however long that takes.  */
static bool
is_in_use (const struct job *job)
{
  if (job->scheduled || job->dirty)
    return true;
  for (uint32_t n = 0; n < job->occurrence_count; n++)
    for (uint32_t m = 0; m < job->task_count; m++)
      {
        const struct task *tsk = &job->occurrences[n].tasks[m];
        if (tsk->run || tsk->unwanted_runs > 0)
          return true;
      }
  return false;
}

static bool
any_in_use (const struct job *head)
{
  while (head && !is_in_use (head))
    head = head->next_rival;
  return head != NULL;
}

void
job_table_expire (struct job_table *tab, int64_t before_us, job_expired_fn *fn,
                  void *arg)
{
  struct job *job, *next;
  HASH_ITER (hh, tab->by_id, job, next)
    if (job_ended (job) && !job->contested && job->ended_us < before_us
        && !is_in_use (job) && (!fn || fn (arg, job)))
      remove_job (tab, job);
  drop_early (tab, before_us);
}

void
job_table_clear (struct job_table *tab)
{
  struct job *job, *next;
  HASH_ITER (hh, tab->by_id, job, next)
    if (!any_in_use (job))
      remove_job (tab, job);
  drop_early (tab, INT64_MAX);
}

uint32_t
job_table_count_waiting (const struct job_table *tab, const char *queue)
{
  uint32_t count = 0;
  for (struct job *job = tab->by_id; job; job = job->hh.next)
    count += job->state == JOB_QUEUED && job->spec.occurrences == 0
             && strcmp (job->queue, queue) == 0;
  return count;
}
