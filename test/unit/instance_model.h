#pragma once

#include "base/clock.h"
#include "base/counter.h"
#include "job/job_table.h"
#include "member/duty.h"
#include "sched/placer.h"

/* A model of processes that own one pool in turn and of its workers, in
   virtual time.  The processes run the product's job table, duty table and
   placer.  The log, the network and the workers are stand-ins.  */

#define MS INT64_C (1000)
#define SECOND (1000 * MS)
#define MODEL_OWNERS 3
#define MODEL_WORKERS 6
#define MODEL_JOBS_MAX 24
#define MODEL_TASKS_MAX 96
#define MODEL_RECORDS_MAX 8192
#define MODEL_LEASE_MS 5000
#define MODEL_LEASE_MAX_MS 10000
/* Fencing tokens of one ownership.  */
#define MODEL_TOKENS 64
#define MODEL_CONFIRM_MS 6000
#define MODEL_START_CONFIRM_MS 3000
#define MODEL_POOL "p"
/* Error of an owner's estimate of a worker's clock.  */
#define CLOCK_ERROR_MS 200
/* Virtual time at which a model begins.  A start time of 0 means that it is
   not known.  */
#define MODEL_START_US (1000 * SECOND)

/* How a worker that answers calls may be at fault, a bit each.  */
#define DISTURBED_ROWS 1U  /* some of the runs that it lists cannot be read */
#define DISTURBED_HOLDS 2U /* it refuses holds */
#define DISTURBED_STOPS 4U /* it refuses stops */
#define DISTURBED_KINDS 8

struct model;
struct owner;
typedef void model_fn (struct model *mdl, void *arg, int64_t num);

/* A task as the workers' side knows it.  */
struct model_task
{
  struct task_ref ref;
  bool perpetual;
  int64_t work_us;
  int64_t offered_us;   /* the job is in the log from then on */
  int64_t cancelled_us; /* the cancellation is in the log; 0: it is not */
  /* An end as done was acknowledged, and the lease of its worker had not
     lapsed in between.  */
  bool done_noted;
  int64_t started_us; /* when a run last started */
  int64_t alive_us;   /* when it last ran, or had an unacknowledged end */
};

/* A run on a worker, or an end that was not acknowledged.  */
struct model_run
{
  uint32_t task;
  uint32_t number;
  int64_t started_us;
  int64_t end_us; /* when its work or its stop ends */
  enum run_end how;
  uint64_t end_number; /* 0: it runs */
  int64_t ended_us;
  bool late; /* started by a late call */
};

#define WORKER_RUNS_MAX 64
#define WORKER_HOLDS_MAX 16
struct model_worker
{
  char id[NAME_BYTES];
  uint32_t instance;
  bool up;
  bool cut_calls, cut_answers, cut_store;
  int64_t born_us;
  int64_t clock_base_ms;
  int64_t clock_permille;
  uint64_t token;
  int64_t due_ms;
  int64_t lapsed_us; /* when its lease last lapsed */
  uint64_t ends;
  struct model_run runs[WORKER_RUNS_MAX];
  size_t run_count;
  uint32_t refused[MODEL_TASKS_MAX];         /* highest run stopped or ended */
  struct model_call *held[WORKER_HOLDS_MAX]; /* holds that wait for an end */
  size_t held_count;
  /* Its report in the store.  */
  struct worker_report rep;
  bool reported;
  uint32_t report_version;
  uint32_t disturbed; /* DISTURBED_ROWS and so on */
  bool draining;      /* it ends soon, and says so in its report */
};

enum model_call_kind
{
  MODEL_START,
  MODEL_STOP,
  MODEL_HOLD,
  MODEL_PACE,
};

/* A command on its way, and its answer.  */
struct model_call
{
  struct owner *own;
  uint64_t life; /* of the sender */
  enum model_call_kind kind;
  uint32_t worker;
  uint32_t instance; /* of the worker when the call was sent */
  struct task_ref ref;
  uint32_t run;
  uint64_t token;
  int64_t lease_end_ms;
  uint64_t last_seen;
  int64_t wait_ms;
  command_fn *fn;
  hold_fn *hold_fn;
  void *arg;
  bool (*may_send) (void *arg);
  bool finished;
  bool late; /* carried out seconds after it was sent */
  bool answer_lost;
  int64_t answer_us; /* time that the answer takes */
  struct hold_result res;
};

enum model_record_kind
{
  RECORD_JOB,
  RECORD_FENCE,
  RECORD_WORKERS,
};

/* A record of the pool's log.  */
struct model_record
{
  enum model_record_kind kind;
  char key[NAME_BYTES];
  size_t key_len;
  uint8_t *data;
  size_t len;
  uint64_t token;
};

struct duty_record
{
  struct duty_claim claim;
  struct earlier_holders earlier;
};

struct member_record
{
  struct member_report rep;
};

/* How the network treats the calls of a time span.  */
struct model_network
{
  int lost_calls;   /* percent that are not carried out */
  int lost_answers; /* percent whose answers are lost */
  int late_calls;   /* percent that are carried out seconds later */
  int slow;         /* percent that take up to 400 ms */
};

/* Which calls may be carried out seconds after they were sent.  */
enum model_late
{
  LATE_OWN_CLOCK,     /* those with a lease by the clock of the instance that
                         carries them out */
  LATE_ANY_CLOCK,     /* also those with a lease by an earlier clock */
  LATE_NEXT_INSTANCE, /* also by the next instance under the id */
};

struct model_options
{
  uint64_t seed;
  enum model_late late;
  bool disturbed; /* workers that answer calls are at fault, some for good */
  bool drains;    /* workers that start again under their ids have reported
                     that they drain */
  bool trace;
};

struct owner
{
  struct worker_link lnk;
  struct model *mdl;
  uint32_t index;
  char name[NAME_BYTES];
  struct clock_manual clk;
  int64_t ahead_us; /* of its monotonic clock */
  uint64_t life;    /* counts its starts */
  uint64_t boot;
  bool up;
  bool stopping;
  bool cut_log;
  int64_t paused_until_us;
  struct duty_table *duties;
  struct job_table jobs;
  struct counters *ctr;
  void *ctx; /* memory of this life */
  /* Records read, and the time as of which all have been read; by its
     clock.  */
  size_t duty_next, pool_next, member_next;
  int64_t duty_us, pool_us, member_us, resumed_us;
  int64_t started_us;
  int64_t confirmed_us;
  size_t claim_end;
  bool claiming;
  uint64_t refused_token;
  uint32_t report_seen[MODEL_WORKERS];
  struct worker_report rep[MODEL_WORKERS];
  bool reported[MODEL_WORKERS];
  const struct model_record *workers; /* newest worker record */
  int64_t workers_us;
  /* The held duty.  */
  uint64_t token; /* 0: none is held */
  bool fence_known;
  uint64_t fence_offset;
  bool refused;
  struct placer *plc;
  int64_t tick_us;
  struct model_append *first_append, *last_append;
};

struct model
{
  struct model_options opt;
  uint64_t rng;
  int64_t now_us;
  struct model_event *events; /* a heap */
  size_t event_count, event_max;
  uint64_t event_seq;
  struct model_network net;
  struct owner owners[MODEL_OWNERS];
  struct model_worker workers[MODEL_WORKERS];
  struct model_task tasks[MODEL_TASKS_MAX];
  uint32_t task_count;
  uint32_t job_count;
  struct model_call **calls;
  size_t call_count;
  struct model_record *log;
  size_t log_count;
  uint64_t log_epoch;
  struct duty_record *duty_log;
  size_t duty_count;
  struct member_record *member_log;
  size_t member_count;
  struct catalog cat;
  const struct catalog *cat_ptr;
  char fault[256]; /* the first rule that was broken; "": none */
  uint32_t fault_task;
  int64_t fault_us;
};

/* instance_model.c */
struct model *model_create (const struct model_options *opt);
void model_destroy (struct model *mdl);
/* Runs the events up to END_US.  */
void model_run_until (struct model *mdl, int64_t end_us);
/* Calls FN in DELAY_US.  Of an event of OWN, which may be NULL, the call is
   left out if OWN was killed, and waits while OWN is paused.  */
void model_after (struct model *mdl, struct owner *own, int64_t delay_us,
                  model_fn *fn, void *arg, int64_t num);
/* A pseudo-random number below BELOW.  */
int64_t model_pick (struct model *mdl, int64_t below);
bool model_chance (struct model *mdl, int percent);
void model_trace (struct model *mdl, const char *fmt, ...)
    __attribute__ ((format (printf, 2, 3)));
/* Notes that a rule was broken for the task with the number TASK.  */
void model_fault (struct model *mdl, uint32_t task, const char *fmt, ...)
    __attribute__ ((format (printf, 3, 4)));
/* The number of the task REF, which must exist.  */
uint32_t model_task_number (const struct model *mdl,
                            const struct task_ref *ref);
/* Sends CALL over the network.  */
void model_send (struct model *mdl, struct model_call *call);
/* Answers CALL, once.  */
void model_finish_call (struct model_call *call);
/* The worker answers CALL.  */
void model_answer (struct model *mdl, struct model_call *call);

/* instance_worker.c */
void model_worker_boot (struct model *mdl, uint32_t worker);
void model_worker_end (struct model *mdl, uint32_t worker);
int64_t model_worker_clock_ms (const struct model *mdl,
                               const struct model_worker *wrk);
/* Carries out CALL.  */
void model_worker_call (struct model *mdl, struct model_call *call);
/* Writes the worker's report to the store.  */
void model_worker_report (struct model *mdl, uint32_t worker);
/* Notes which tasks run now.  */
void model_note_alive (struct model *mdl);

/* instance_owner.c */
void owner_boot (struct model *mdl, uint32_t owner);
/* The process ends at once.  */
void owner_kill (struct owner *own);
/* The process releases its duty.  */
void owner_stop (struct owner *own);

/* instance_faults.c */
void model_plan (struct model *mdl);
/* Checks that every task of a job that was not cancelled is done or runs.  */
void model_check_lost (struct model *mdl);
