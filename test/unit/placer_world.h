#pragma once

#include "base/clock.h"
#include "base/counter.h"
#include "job/job_table.h"
#include "sched/placer.h"

/* Test environment of one placer.  The test sets the clock, answers commands
   in place of the workers and completes appends in place of the log.  */

#define WORLD_CALLS_MAX 1024
#define WORLD_LEASE_MS 5000
#define WORLD_LEASE_MAX_MS 10000
#define WORLD_CONFIRM_MS 6000
#define WORLD_START_CONFIRM_MS 3000
#define WORLD_TOKENS 64
/* A task of a silent worker starts again within this time: the longest lease
   with its slack, from when the last call may have been carried out.  */
#define WORLD_WAIT_MAX_US                                                     \
  (LATE_CALL_MAX_US + (WORLD_LEASE_MAX_MS + 1000) * 1000)
/* Offset of the owner's fence record.  */
#define WORLD_FENCE_OFFSET 100

/* Kinds of commands to workers.  */
enum world_call_kind
{
  WORLD_START,
  WORLD_STOP,
  WORLD_PACE,
  WORLD_HOLD,
};

/* A command that the placer has sent.  */
struct world_call
{
  enum world_call_kind kind;
  bool answered;
  char worker[NAME_BYTES];
  struct task_ref task;
  uint32_t run;
  int64_t lease_end_ms;
  uint64_t last_seen;
  int64_t wait_ms;
  uint64_t token;
  command_fn *fn;
  hold_fn *hold_fn;
  bool (*may_send) (void *arg);
  void *arg;
};

struct world
{
  void *ctx;
  struct clock_manual clk;
  struct counters ctr;
  struct job_table jobs;
  struct catalog cat;
  const struct catalog *cat_ptr;
  struct worker_link lnk;
  struct world_call calls[WORLD_CALLS_MAX];
  size_t call_count;
  persist_fn *enrol_fn; /* of an append of the worker record */
  void *enrol_arg;
  bool append_busy;            /* the worker record waits for another append */
  persist_fill_fn *enrol_fill; /* of the record that waits, or NULL */
  size_t recorded_workers;     /* in the last worker record */
  uint8_t *record;             /* that record */
  size_t record_len;
  persist_fn *persist_fn; /* of an append of job progress */
  void *persist_arg;
  size_t append_count;      /* appends requested so far */
  bool persist_fails;       /* appends are refused at once */
  int64_t confirmed_age_ms; /* of the confirmation with which a placer is
                               created */
  bool log_inconsistent;    /* the log is being read by key */
  int64_t log_age_ms;       /* of the read that shows the log as it is known */
  int64_t hold_born_ms;  /* start of the worker in answers to holds; 0: none */
  int64_t start_cost_us; /* time that the sending of a start takes */
  struct placer *plc;
};

/* Creates an environment whose placer owns the pool "p".  */
struct world *world_create (void);
void world_destroy (struct world *wld);

/* Replaces the placer by that of a later ownership of the same process, whose
   fence record is at FENCE_OFFSET.  Commands in flight get no answer, and an
   append in progress fails because it is fenced.  */
void world_take_over (struct world *wld, uint64_t token,
                      uint64_t fence_offset);

/* Registers a worker with 4 processors and 8 GB on the host "m-ID", or one
   that was started again under its id.  */
void world_add_worker (struct world *wld, const char *id, int64_t born_ms);

/* Applies a job's record to the job table and tells the placer.  OFFSET is
   that of the record.  */
struct job *world_add_job (struct world *wld, uint64_t id, const char *json,
                           uint64_t offset);

/* Advances the clock by MS, completes an append of the worker record if one is
   in progress, and calls placer_tick.  */
void world_tick (struct world *wld, int64_t ms);

/* Sends the worker record that waits, if any: the append before it is
   complete.  */
void world_send_record (struct world *wld);

/* Completes an append of the worker record, if one is in progress, so that the
   starts which wait for it are sent.  */
void world_record_runs (struct world *wld);

/* The earlier owners have released the pool: they send no more commands.  */
void world_release_earlier (struct world *wld);

/* Confirms ownership of the pool as of now.  */
void world_confirm_ownership (struct world *wld);

/* Completes the append of job progress that is in progress, if any.  */
void world_complete_append (struct world *wld);

/* The oldest unanswered call of KIND to WORKER, or NULL.  */
struct world_call *world_call (struct world *wld, enum world_call_kind kind,
                               const char *worker);
void world_answer (struct world *wld, struct world_call *call,
                   enum command_status status);

/* A run in an answer to a hold.  */
struct world_row
{
  uint64_t job;
  uint32_t index;
  uint32_t run;
  enum run_end end;
  uint64_t number; /* of the end; unused for a running task */
};

/* Answers the oldest unanswered hold to WORKER.  */
void world_answer_hold (struct world *wld, const char *worker,
                        const struct world_row *running, size_t running_count,
                        const struct world_row *ended, size_t ended_count);

/* Answers the first hold to WORKER as one that runs nothing, and lets the
   placer enrol the worker.  */
void world_enrol_worker (struct world *wld, const char *worker);

/* Number of starts sent for the task, answered or not, over all workers.  */
size_t world_starts (const struct world *wld, uint64_t job, uint32_t index);
