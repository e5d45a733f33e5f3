#pragma once

#include "job/job.h"
#include "sched/worker_link.h"

/* The workers of one pool and what runs on them, as the pool's owner knows
   it.  */

enum run_state
{
  RUN_STARTING, /* the start has no answer yet */
  RUN_ACTIVE,
  RUN_STOPPING, /* a stop was sent; the room is taken until the end is seen */
};

struct run
{
  struct run *next, *prev; /* of its worker */
  struct worker *wrk;
  struct job *job;
  struct task *tsk;
  struct task_ref ref;
  uint32_t number;
  enum run_state state;
  uint32_t percent;
  int64_t begun_us;     /* when the start was first sent */
  int64_t confirmed_us; /* when the worker first told of it; 0: not yet */
  int start_tries;
  bool stop_wanted;
  bool stop_sent;
  int64_t stopped_us; /* when the stop was answered; 0: not yet */
  bool yields;        /* its room is wanted for a task that lasts */
  /* Orders in progress; the run is freed after the last of them.  */
  int calls;
  bool gone;
  int64_t listed_us; /* when the last hold that listed it was sent */
};

struct worker
{
  struct worker_report rep;
  uint32_t handle;
  struct run *runs;
  struct resources used;
  struct resources foreign; /* of runs that it lists and that are not wanted */

  /* Contact.  */
  bool listed;
  bool over; /* this life of its host has ended */
  /* When its life was learnt to have ended, while its runs are kept until the
     duty was confirmed after that; 0: it lives.  */
  int64_t ended_us;
  int64_t added_us;
  bool reached;  /* has answered this owner */
  bool enrolled; /* the log tells that tasks may run there */
  bool struck;   /* the log tells that none do, while it is to be emptied */
  int failures;  /* calls in a row without an answer */
  bool silent;   /* as last logged */
  int64_t clock_ms;
  int64_t clock_us; /* monotonic time of that clock */
  int64_t lease_us; /* all that runs there has lapsed by then, unless it is
                       extended */
  int64_t heard_us; /* when a hold was last answered */
  bool hold_open;
  int64_t next_hold_us;
  int64_t gap_until_us; /* no hold before, so that ends come in groups */
  int64_t unlisted_us;

  /* Ends.  */
  uint64_t applied_end; /* highest that this owner has worked in */
  uint64_t flushing_end;
  uint64_t durable_end; /* all of its effects are in the log */
  uint64_t seen_end;    /* highest that the worker was told to forget */

  /* Health.  */
  int fail_streak;
  int64_t avoid_until_us;
  int64_t avoid_span_us;
  bool vacate;
  int64_t vacate_until_us; /* tasks still there are stopped then */
  bool
      offered; /* the pool can spare it: no new tasks while others have room */
};

/* Whether RUN is known to be at work.  */
bool run_at_work (const struct run *run, int64_t now_us);

struct pool
{
  struct worker **workers;
  size_t count;
  uint32_t next_handle;
};

struct place_request
{
  const struct job *job;
  const struct step *step;
  const struct task_ref *ref;
  const char *rack; /* only workers there; NULL: any */
  uint32_t avoid;   /* handle of a worker to use last; 0: none */
  int64_t now_us;
};

/* Whether a task of STEP fits on WRK at present, by its room alone.  */
bool place_fits (const struct worker *wrk, const struct step *step);

/* Whether WRK takes new tasks.  */
bool place_open (const struct worker *wrk, int64_t now_us);

/* Whether WRK may run the task, but for its room.  */
bool place_allowed (const struct worker *wrk, const struct place_request *req);

/* Picks a worker for a task, or NULL when none can take it now.  */
struct worker *place_pick (const struct pool *pool,
                           const struct place_request *req);

bool worker_has_label (const struct worker *wrk, const char *label);

/* The rack of a worker, or "".  */
const char *worker_rack (const struct worker *wrk);

void resources_add (struct resources *sum, const struct step *step, int sign);
