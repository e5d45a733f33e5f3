#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uthash.h>

#include "fleet/catalog.h"

/* Data model of jobs.  A job runs on the workers of one pool and consists of
   steps; a step is a number of identical tasks.  A job with a schedule runs
   all of its steps once per occurrence; any other job has one occurrence.
   Each execution of a task on a worker is a run; the runs of a task are
   numbered from 1.

   Every process keeps the jobs that it has read from the log.  The process
   that owns a pool also keeps scheduling state in them.  */

#define JOB_ID_CHARS 16
#define JOB_SPEC_MAX_BYTES 4000
/* Limits on one job, far above what the queues' jobs need.  */
#define JOB_STEPS_MAX 64
#define JOB_TASKS_MAX 10000
#define JOB_OCCURRENCES_MAX 1000

struct run;

struct step
{
  uint32_t count;
  struct resources need; /* of one task */
  int64_t estimate_ms;   /* expected duration of one task */
  uint32_t *after;       /* indexes of the steps that must be done first */
  size_t after_count;
  bool checkpoints;    /* a new run resumes from the newest checkpoint */
  bool gang;           /* the tasks start together */
  bool rack_sensitive; /* one rack is preferred for all tasks of a gang */
  const char *required_label; /* "": any worker */
  const char *data_rack;      /* preferred rack; "": any rack */
  uint32_t max_per_worker;    /* tasks of the step; 0: no limit */
  bool allow_duplicates;      /* stored, but not used by the scheduler */
  bool perpetual; /* tasks run until stopped, and are restarted when a run
                     ends */
  uint32_t max_unavailable; /* perpetual tasks that the scheduler may take down
                               at the same time; 0: one */
  const char *image;        /* stored, but not used by the scheduler */
  int64_t target_ms;        /* stored, but not used by the scheduler */
  bool best_effort;    /* uses only the processor time that other tasks leave;
                          no processor capacity is reserved for it */
  uint32_t first_task; /* index of the step's first task in an occurrence */
};

/* A job as submitted by a client.  */
struct job_spec
{
  const char *spec; /* opaque text of the client */
  struct step *steps;
  size_t step_count;
  uint32_t occurrences; /* 0: no schedule, the steps run once, immediately */
  int64_t first_due_ms; /* wall-clock time of the first occurrence */
  int64_t interval_ms;  /* between the due times of occurrences */
};

/* The recorded progress of a task.  */
struct task_progress
{
  uint32_t last_run; /* highest run number used */
  bool done;
};

/* A failed run.  Kept one by one, so that a failure that is reported twice
   counts once.  */
struct failed_run
{
  uint32_t occurrence;
  uint32_t task; /* index in the occurrence */
  uint64_t key;  /* see job_failure_key */
  bool logged;   /* in the log */
};

struct task
{
  /* PRG may be newer than LOGGED, the progress in the log, only in the process
     that owns the pool.  */
  struct task_progress prg;
  struct task_progress logged;
  uint32_t failures; /* its entries in the job's failed runs */

  /* Maintained only by the process that owns the pool.  */
  struct run *run;        /* the current run; NULL: none */
  uint32_t unwanted_runs; /* other runs, which are being stopped; the task is
                             not started while there are any */
  char *checkpoint;       /* newest checkpoint; NULL: none */
  uint32_t avoid_worker;  /* handle of the worker of the last run that failed,
                             or whose start was refused; 0: none */
  uint32_t refusals;      /* starts that were refused in a row */
  uint32_t late_starts;   /* those without an answer that may still be carried
                             out, of runs that were given up */
  uint32_t late_worker;   /* handle of the worker of the last of them; 0:
                             none */
  int64_t not_before_us;  /* monotonic time before which no run starts */
  int64_t ended_us;       /* monotonic time at which the last run ended; 0: no
                             run has ended */
  int64_t heard_us;       /* monotonic time at which the last run that has
                             ended was last confirmed or listed; 0: never */
  uint32_t appended_run;  /* number of the last run for which an append of the
                             progress was asked for once more */
  uint32_t reserved_worker; /* handle of the worker on which capacity is
                               reserved for the task; 0: none */
  int64_t reserved_us;      /* monotonic time of the reservation */
  uint64_t located_token;   /* claim token of the last owner that started the
                               task or found it in a worker's list of runs */
};

struct occurrence
{
  struct task *tasks;
  uint32_t *step_done; /* number of done tasks, by step */
  uint32_t done;       /* number of done tasks */
  int64_t due_ms;      /* wall-clock time before which no task starts */
};

enum job_state
{
  JOB_QUEUED,
  JOB_RUNNING,
  JOB_COMPLETED,
  JOB_FAILED,
  JOB_CANCELLED,
};

/* What a progress record says of the end of its job.  */
enum job_outcome
{
  JOB_OUTCOME_UNSTATED, /* a record of an earlier version: each reader finds
                           the end from the failed runs */
  JOB_OUTCOME_OPEN,
  JOB_OUTCOME_COMPLETED,
  JOB_OUTCOME_FAILED,
  JOB_OUTCOME_CANCELLED,
};

struct job
{
  UT_hash_handle hh;
  uint64_t id;
  uint32_t part;   /* partition of the log with the pool's records */
  uint64_t offset; /* of the job's first record in the pool's partition; 0: not
                      known */
  char queue[NAME_BYTES];
  char pool[NAME_BYTES];
  int64_t accepted_ms; /* wall-clock time at which an entry process accepted
                          the job */
  uint32_t attempts;   /* failed runs of a task after which the job fails, as
                          configured for its queue when it was accepted; 0: no
                          limit, or not known */
  uint64_t config_version; /* under which it was accepted; 0: not stated */
  bool pool_uncertain; /* the job may also be stored for another pool that its
                          queue led to before */
  /* A job that was stored for several pools has a row for each; see
     job_table.h.  */
  struct job *next_rival; /* of the same id; NULL: none */
  bool contested;         /* there is more than one row of this id */
  bool outcome_stated;    /* the log states how the job has ended */
  bool recorded;          /* the log holds progress of the pool's owner */
  bool deleted; /* the record of this row was deleted before the job was known
                   to have ended; the row expires at once */
  bool withdrawing; /* this owner of the pool has appended the withdrawal */
  struct job_spec spec;
  uint32_t task_count; /* of one occurrence */
  struct occurrence *occurrences;
  uint32_t occurrence_count;
  struct failed_run *failed_runs;
  size_t failed_run_count;
  bool started;                /* at least one task has had a run */
  enum job_state state;        /* in the pool's owner possibly newer than the
                                  log */
  enum job_state logged_state; /* state according to the log; the one that is
                                  reported to clients */
  int64_t ended_us; /* monotonic time at which this process saw the job end */

  /* Used only by the process that owns the pool.  */
  bool scheduled;         /* in the list of jobs that the owner works on */
  bool dirty;             /* has progress that is not in the log */
  struct job *next_dirty; /* in the owner's list of such jobs */
  bool start_timed;       /* the time to its first start has been counted */
  bool past_use_counted;  /* that it is past use has been counted */
  uint8_t published; /* 1 more than the state published to entry processes; 0:
                        none */
  int64_t seen_us;   /* monotonic time at which the first record was folded */
  uint32_t attempts_applied; /* limit by which the failed runs were last looked
                                at; 0: they were not */
  int64_t goal_ms; /* wall-clock deadline of the response-time goal */
};

static inline bool
job_ended (const struct job *job)
{
  return job->state >= JOB_COMPLETED;
}

/* Parses an id of 16 hexadecimal digits.  */
bool job_id_parse (const char *text, size_t len, uint64_t *id);
void job_id_format (uint64_t id, char text[JOB_ID_CHARS + 1]);

/* A task reference in text form is "ID.OCCURRENCE.STEP.INDEX"; the id is
   hexadecimal, the other numbers are decimal.  */
#define TASK_NAME_MAX 64
struct task_ref
{
  uint64_t job;
  uint32_t occurrence;
  uint32_t step;
  uint32_t index;
};
bool task_ref_parse (const char *text, struct task_ref *ref);
void task_ref_format (const struct task_ref *ref, char text[TASK_NAME_MAX]);

/* Identifies the run RUN on the instance of WORKER that was started at BORN_MS
   among the runs of its task.  The number alone does not: owners that follow
   each other may use it for different runs.  */
uint64_t job_failure_key (const char *worker, int64_t born_ms, uint32_t run);
/* Records a failed run of the task with index TASK in OCCURRENCE.  Returns
   false when it is recorded already, or when out of memory.  LOGGED: the log
   has it.
 */
bool job_add_failure (struct job *job, uint32_t occurrence, uint32_t task,
                      uint64_t key, bool logged);

/* Returns NULL when there is no such task.  */
struct task *job_task (struct job *job, const struct task_ref *ref);
