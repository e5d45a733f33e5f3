#pragma once

#include "job/job.h"

/* The jobs of all pools, built by folding the records of the job topic, that
   is, by applying them one after the other.  Folding a record a second time
   changes nothing.  All calls on a table belong to one thread.  */

/* A cancellation that was read before the job's first record.  The store may
   still take that record, as its append is repeated until it has a result.  */
struct early_cancellation
{
  UT_hash_handle hh;
  uint64_t id;
  int64_t read_us; /* monotonic time */
};

/* A request that is repeated under another configuration may be stored for
   several pools: the table then has a row for each.  The rows that are known
   decide which of them holds, whatever the order in which they were read: one
   with recorded progress comes before the others, then the one with the
   highest version of the configuration, then the last pool by name.  No task
   is started while there is more than one; the owners of the other pools
   withdraw theirs.  docs/design/jobs.md has the reasons.  */

/* Tells that JOB was withdrawn.  Returns whether nothing refers to it, so that
   it can be freed.  */
typedef bool job_withdrawn_fn (void *arg, struct job *job);

struct job_table
{
  struct job *by_id; /* the row of each id that holds */
  size_t count;
  size_t contested;                 /* ids with more than one row */
  struct early_cancellation *early; /* by id */
  job_withdrawn_fn *withdrawn;      /* NULL: none */
  void *arg;                        /* of WITHDRAWN */
};

/* The effect of a folded record on its job.  */
enum job_change
{
  JOB_CHANGE_NONE,
  JOB_CHANGE_NEW,
  JOB_CHANGE_REPEATED, /* another specification of a known job; it has no
                          effect and says nothing about the job's state */
  JOB_CHANGE_CANCELLED,
  JOB_CHANGE_PROGRESS,
  JOB_CHANGE_STALE, /* a progress record with less progress than was folded
                        before.  Unless the pool's owner records the progress
                        again, a process that reads only the newest record of
                        each key misses part of it.  */
};

struct job_fold_result
{
  enum job_change change;
  struct job *job; /* NULL: the record belongs to no known job, or deletes what
                      is of no use any more */
  uint64_t token;  /* claim token of the owner that wrote a progress record */
  enum job_outcome outcome; /* of a progress record */
  bool outcome_differs;     /* the log shows another end of the job */
  bool deleted; /* with JOB_CHANGE_CANCELLED: the job ended long ago, and its
                   records were deleted */
};

void job_table_init (struct job_table *tab);
void job_table_fini (struct job_table *tab);

/* Folds the record at OFFSET of the partition PART; an OFFSET of 0 means that
   the offset of the job's first record is not known.  PARENT becomes the
   talloc parent of a new job.  Returns 0, ERR_PROTOCOL for a malformed record,
   or ERR_NOMEM.  */
int job_table_fold (struct job_table *tab, void *parent, uint32_t part,
                    uint64_t offset, const char *key, size_t key_len,
                    const uint8_t *value, size_t value_len, int64_t now_us,
                    struct job_fold_result *res);

/* Updates the state of JOB after a record with the result RES was folded.  How
   the job has ended is what the pool's owner has recorded, whatever the
   configuration is now.  ATTEMPTS, as for job_update_state, is used for
   records of earlier versions, which do not state that.  */
void job_note_record (struct job *job, const struct job_fold_result *res,
                      uint32_t attempts, int64_t now_us);

/* Returns the row of the job ID that holds, or NULL.  */
struct job *job_table_find (const struct job_table *tab, uint64_t id);
/* Returns the row of the job ID for POOL, or NULL.  */
struct job *job_table_find_in (const struct job_table *tab, uint64_t id,
                               const char *pool);

/* Recomputes the state of JOB from its tasks.  The job fails when a task that
   is not perpetual has failed ATTEMPTS times; 0: no limit.  A state in which
   the job has ended is final.  Returns whether the state changed.  */
bool job_update_state (struct job *job, uint32_t attempts, int64_t now_us);

/* Marks the task REF as done.  */
void job_mark_task_done (struct job *job, const struct task_ref *ref);

/* Drops the progress of JOB that is not in the log, and the state of its
   scheduling.  For a process that no longer owns the job's pool: a later owner
   has not read that progress, and continues from the log.  */
void job_revert_to_log (struct job *job);

/* Whether a job that has ended may be freed.  */
typedef bool job_expired_fn (void *arg, const struct job *job);

/* Frees the jobs that ended, and the cancellations of unknown jobs that were
   read, before the monotonic time BEFORE_US.  A job that the owner of its pool
   still works on is kept, and one for which FN returns false; FN may be
   NULL.  */
void job_table_expire (struct job_table *tab, int64_t before_us,
                       job_expired_fn *fn, void *arg);

/* Frees the jobs that no owner works on, and all cancellations of unknown
   jobs.  */
void job_table_clear (struct job_table *tab);

/* Counts the jobs of QUEUE of which no task has started, without those that
   have a schedule.  */
uint32_t job_table_count_waiting (const struct job_table *tab,
                                  const char *queue);
