#pragma once

#include "job/job.h"

/* The jobs of all pools as the fold of the job topics' records.  A fold of a
   record that was folded before changes nothing.  */

struct job_table
{
  struct job *by_id;
  size_t count;
};

/* Tells the pool's owner what a record changed.  JOB may be NULL: the record
   is of no known job, or of another kind.  */
enum job_change
{
  JOB_CHANGE_NONE,
  JOB_CHANGE_NEW,
  JOB_CHANGE_CANCELLED,
  JOB_CHANGE_PROGRESS,
  JOB_CHANGE_BEHIND, /* the record holds less than the fold: newest records
                        alone would forget the rest */
};

struct job_fold_result
{
  enum job_change change;
  struct job *job;
  uint64_t token; /* of the owner that wrote a progress record */
};

void job_table_init (struct job_table *tab);
void job_table_fini (struct job_table *tab);

/* Folds a record of the topic's partition.  Returns 0, ERR_PROTOCOL for a
   record that cannot be read, or ERR_NOMEM.  */
int job_table_fold (struct job_table *tab, void *parent, uint64_t offset,
                    const char *key, size_t key_len, const uint8_t *value,
                    size_t value_len, int64_t now_us, int64_t wall_ms,
                    struct job_fold_result *res);

/* Notes that the fold of JOB's records has reached its present state.  */
void job_note_logged (struct job *job, const struct job_fold_result *res);

struct job *job_table_find (const struct job_table *tab, uint64_t id);

/* Recomputes the state of JOB from its tasks; ATTEMPTS is the queue's bound.
   Returns whether it changed.  */
bool job_refresh (struct job *job, uint32_t attempts, int64_t wall_ms);

/* Records a task's end as done.  */
void job_mark_done (struct job *job, const struct task_ref *ref);

/* Drops jobs that ended before the wall-clock time BEFORE_MS.  */
void job_table_expire (struct job_table *tab, int64_t before_ms);

/* Accepted jobs of QUEUE without occurrences of which no task has started.  */
uint32_t job_table_waiting (const struct job_table *tab, const char *queue);
