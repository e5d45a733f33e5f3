#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uthash.h>

#include "fleet/catalog.h"

/* Jobs: steps of tasks that run on the workers of one pool.  */

#define JOB_ID_CHARS 16
#define JOB_SPEC_MAX_BYTES 4000
/* Bounds of one job, far above what the queues' jobs need.  */
#define JOB_STEPS_MAX 64
#define JOB_TASKS_MAX 10000
#define JOB_OCCURRENCES_MAX 1000

struct run;

struct step
{
  uint32_t count;
  struct resources need;
  int64_t estimate_ms;
  uint32_t *after;
  size_t after_count;
  bool checkpoints;
  bool gang;
  bool rack_sensitive;
  const char *required_label; /* "": any worker */
  const char *data_rack;      /* "": any rack */
  uint32_t most_per_worker;   /* 0: no limit */
  bool allow_duplicates;
  bool perpetual;
  uint32_t may_miss;
  const char *image;
  int64_t target_ms;
  bool fills;
  uint32_t first_task; /* index of its first task in an occurrence */
};

/* What a client submits.  */
struct job_spec
{
  const char *spec;
  struct step *steps;
  size_t step_count;
  uint32_t occurrences; /* 0: the steps run once, at once */
  int64_t first_due_ms; /* wall clock */
  int64_t interval_ms;
};

struct task
{
  /* From the log, and ahead of it in the pool's owner.  */
  uint32_t last_run;
  uint64_t failed_runs; /* one bit a run, so that none counts twice */
  bool done;

  /* Of the pool's owner.  */
  struct run *run;
  char *saved;           /* newest checkpoint; NULL: none */
  uint32_t avoid_worker; /* handle of the worker where it failed last */
  int64_t not_before_us;
  int64_t ended_us;  /* when its last run ended; 0: none did */
  uint32_t reserved; /* handle of the worker with room kept for it; 0: none */
  int64_t reserved_us;
  uint64_t located; /* token of the owner that has had it running, as a start
                       of its own or in a worker's list */
};

struct occurrence
{
  struct task *tasks;
  uint32_t *step_done; /* done tasks of each step */
  uint32_t done;
  int64_t due_ms;
};

enum job_state
{
  JOB_QUEUED,
  JOB_RUNNING,
  JOB_COMPLETED,
  JOB_FAILED,
  JOB_CANCELLED,
};

struct job
{
  UT_hash_handle hh;
  uint64_t id;
  uint64_t offset; /* of its first record in the pool's partition */
  char queue[NAME_BYTES];
  char pool[NAME_BYTES];
  int64_t accepted_ms; /* wall clock */
  struct job_spec spec;
  uint32_t task_count; /* of one occurrence */
  struct occurrence *occurrences;
  uint32_t occurrence_count;
  bool started;
  enum job_state state;        /* in the pool's owner ahead of the log */
  enum job_state logged_state; /* what the log tells: the one to show */
  int64_t ended_ms;            /* wall clock at which the end was learnt */

  /* Of the pool's owner.  */
  bool dirty;        /* has progress that is not in the log */
  int64_t seen_us;   /* monotonic time at which the record was folded */
  int64_t goal_ms;   /* wall clock of the response-time goal */
  uint32_t attempts; /* of its queue */
};

static inline bool
job_ended (const struct job *job)
{
  return job->state >= JOB_COMPLETED;
}

/* Parses an id of 16 hexadecimal digits.  */
bool job_id_parse (const char *text, size_t len, uint64_t *id);
void job_id_format (uint64_t id, char text[JOB_ID_CHARS + 1]);

/* The name of a task: "ID.OCCURRENCE.STEP.INDEX".  */
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

/* Number of failed runs.  */
uint32_t task_failures (const struct task *tsk);
/* Returns false when the failure of RUN is known already.  */
bool task_add_failure (struct task *tsk, uint32_t run);

/* Returns NULL when there is no such task.  */
struct task *job_task (struct job *job, const struct task_ref *ref);
