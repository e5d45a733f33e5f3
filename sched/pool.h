#pragma once

#include "job/job.h"
#include "sched/worker_link.h"

/* The workers of one pool and the runs on them, as known to the pool's owner
   (see placer.h), and the choice of a worker for a task.  Used by the placer's
   thread only.  */

enum run_state
{
  RUN_STARTING, /* the start command has not been answered */
  RUN_ACTIVE,
  RUN_STOPPING, /* a stop is wanted; the run's resources stay in use until its
                   end is known */
};

/* One execution of a task on a worker.  */
struct run
{
  struct run *next, *prev; /* in the worker's list */
  struct worker *wrk;
  struct job *job;
  struct task *tsk;
  struct task_ref ref;
  uint32_t number; /* increases with each run of the task */
  enum run_state state;
  uint32_t percent;     /* as last listed by the worker; see running_row */
  int64_t created_us;   /* when its start was decided, or it was adopted */
  int64_t confirmed_us; /* when the worker first confirmed the run; 0: not
                           yet */
  /* When its start was sent; 0: by an earlier owner.  A start is sent once, so
     that no second one is left to be carried out later.  */
  int64_t start_sent_us;
  /* Its start was answered or not sent, or the worker has listed the run or
     its end: it will not be carried out any more.  */
  bool start_settled;
  bool start_unanswered; /* its start was given up without an answer */
  bool unsent;           /* its start waits until the worker record names it */
  uint64_t record;       /* number of the first worker record that names it; 0:
                            none */
  bool stop_wanted;
  int64_t stop_wanted_us; /* when it was first wanted */
  bool stop_sent;         /* it is in flight */
  int64_t stop_sent_us;   /* when it was last sent; 0: not yet */
  int64_t next_stop_us;   /* it is not sent before, as it was refused */
  int64_t stopped_us;     /* when the stop was acknowledged; 0: not yet */
  /* The stop is wanted only since the worker had not listed the run, whose
     start had no answer.  */
  bool stop_unlisted;
  bool preempted; /* selected to be stopped for a perpetual task */
  bool unwanted;  /* not the current run of its task; it is being stopped */
  /* Commands in flight; a removed run is freed after the last of them.  */
  int calls_in_flight;
  bool removed;             /* no longer in its worker's list */
  int64_t listed_us;        /* when the last hold that listed it was sent */
  int64_t seen_us;          /* when that hold was answered */
  int64_t wait_reported_us; /* when it was last reported to wait */
  bool moving; /* capacity was reserved elsewhere to empty its host */
};

struct worker
{
  struct worker_report rep;
  uint32_t handle; /* unique within the pool, never reused */
  struct run *runs;
  struct resources used; /* by the runs and by reservations */
  /* Used by runs that the worker lists and whose jobs are not known; the owner
     is stopping them.  */
  struct resources unknown;
  int64_t unknown_since_us; /* when it was first listed */

  /* Contact.  */
  bool registered; /* the store has a current report of the worker */
  /* Start of the instance in the last report; rep.born_ms is that of the
     instance which the runs belong to.  */
  int64_t reported_born_ms;
  /* Start of the instance before the one that the runs belong to; 0: not
     known.  It may be the later time, as the time of day may be set back.  */
  int64_t earlier_born_ms;
  bool reported_ended; /* a source other than the worker reported the end of
                          this instance */
  /* With reported_ended: lists of hosts show that the host is gone, has
     another worker or is in another pool, so that no instance begins under
     this id.  */
  bool gone;
  /* Another worker has answered at its address, to a call that was sent after
     all runs here were started, and this one has answered nothing since.  */
  bool address_taken;
  /* When the list of hosts was requested that shows the end of this instance,
     if the worker may start again under its id; 0: none did.  */
  int64_t ended_list_us;
  /* When the end of the worker's instance was learnt; 0: it is running.  Its
     runs are kept until ownership has been confirmed after that time.  */
  int64_t ended_us;
  /* Monotonic time by which the worker's instance had certainly started.  */
  int64_t known_us;
  bool reached; /* has answered this owner, in this instance or before */
  /* Has answered a hold that was sent after the last start of an earlier
     owner, so that every run which such an owner started there is known.  */
  bool settled;
  bool enrolled;   /* the pool's worker record in the log names it, so that
                      it may get tasks */
  bool unenrolled; /* the worker record in the log leaves it out, as it is
                      vacated and empty */
  bool unlisted;   /* it has not listed its runs since a call had no
                      answer, or since its clock was another one */
  int unanswered_calls;     /* consecutive calls without an answer of this
                               instance, or with a refused hold */
  uint32_t absent_lists;    /* consecutive lists of hosts without its host */
  bool hold_failure_logged; /* the last hold failed or was refused; only the
                               first failure in a row is logged */
  bool long_lease_logged;   /* the last known lease is longer than usual; only
                               the first such one in a row is logged */
  bool hold_incomplete;     /* the last answer to a hold had unreadable rows */
  bool leases_withheld;     /* no call extends leases, so that a run ends */
  int64_t withheld_report_us; /* when that was last logged; 0: not yet */
  int64_t clock_ms;           /* the worker's clock in its last answer; 0: not
                                 known */
  int64_t clock_read_us; /* monotonic time at which clock_ms was received */
  int64_t clock_sent_us; /* when the call that it answered was sent */
  /* Counts the clocks of the worker: each instance has another one.  */
  uint32_t clock_number;
  /* Calls without an answer that extend leases, to whichever instance, may be
     carried out until then; 0: there were none.  */
  int64_t late_leases_us;
  /* The same of calls whose leases end by the clock of an earlier instance.
     The present one gives them the longest lease, unless it refuses them.  */
  int64_t earlier_late_leases_us;
  /* It may carry out a start that was given up until then; 0: there was
     none.  */
  int64_t late_starts_us;
  /* Added to the token of commands.  It is raised with each instance, so that
     this one refuses what was sent before, once it has answered.  */
  uint32_t generation;
  bool generation_used;   /* by a command */
  bool generations_spent; /* the last one could not be raised */
  /* A hold without an answer that acknowledges ends may be carried out until
     then, with a token of that generation; 0: there was none.  */
  int64_t late_acks_us;
  uint32_t late_acks_generation;
  /* When the hold in flight that acknowledges ends was sent; 0: there is
     none.  */
  int64_t acks_in_flight_us;
  uint32_t acks_generation;       /* of that hold */
  int64_t generation_answered_us; /* first answer to one; 0: none yet */
  /* The leases that this owner gave there have expired by then, unless they
     are extended; for all leases see placer_leases_end_us.  */
  int64_t own_leases_end_us;
  /* When this instance first carried out a command of this owner: it refuses
     those of earlier owners since; 0: not yet.  */
  int64_t first_answer_us;
  int64_t hold_answered_us; /* when a hold was last answered, at the latest */
  bool hold_in_flight;
  int64_t next_hold_us;
  /* Earliest time of the next hold, so that one answer lists several ends.  A
     stop that was acknowledged, or a start that was refused for lack of room
     or an expired lease, makes a hold due at once.  */
  int64_t hold_not_before_us;
  int64_t unregistered_us; /* when the worker's report was removed */

  /* Numbers of ended runs, assigned by the worker in ascending order.  */
  uint64_t applied_end; /* highest that was applied to the jobs */
  /* Value of applied_end at some time; becomes durable_end once the progress
     of the jobs that were dirty at that time is in the log.  */
  uint64_t flushing_end;
  uint64_t durable_end; /* the effects of all ends up to it are in the log */
  uint64_t acked_end;   /* highest that was acknowledged to the worker */
  /* The last hold was answered by the instance that these numbers belong to.
     Not so after a call without an answer, or while no holds are needed: the
     worker may have been started again meanwhile.  */
  bool instance_seen;

  /* Health.  */
  int fail_streak;          /* consecutive failed runs */
  int64_t failing_until_us; /* back-off after failed runs */
  int64_t avoid_span_us;    /* its length; doubles with each failure */
  int64_t avoid_until_us;   /* pause of a worker that is busy or lacks room */
  bool vacate;              /* its host is to be emptied */
  /* The request for its host, also if it was refused; NULL: none.  */
  struct vacated_host *vac;
  uint32_t vacate_runs; /* runs that were left at the last tick */
  uint32_t plan_pos;    /* index in the plan of places */
  uint32_t spares; /* tasks that the last worker record names it for as a spare
                      place */
  bool moves_reserved; /* a task that runs here may have a reservation on
                          another worker */
  bool stops_wanted;   /* a run may have a stop that is not
                          acknowledged */
  /* Since when the demand has found that it takes no tasks for the moment; 0:
     it takes tasks.  */
  int64_t absent_us;
  bool reported_idle; /* the pool reports the host as surplus: it gets no new
                         tasks while others have room */
};

/* Whether RUN, of a perpetual task, is known to be active and at its full
   capacity.  */
bool run_is_available (const struct run *run, int64_t now_us);

/* What a worker is looked up by, apart from the large struct worker.  */
struct worker_key
{
  uint32_t handle;
  uint32_t id_hash;
  uint32_t host_hash;
};

/* What a worker that takes new tasks had free when the slots were made, and
   what counts against it.  */
struct place_slot
{
  uint32_t index;
  int32_t penalty;
  struct resources free;
};

struct pool
{
  struct worker **workers;
  struct worker_key *keys; /* of the worker with the same index */
  size_t count;
  uint32_t last_handle;
  /* The slots of the workers that take new tasks.  What is free only shrinks
     while they are valid.  */
  struct place_slot *slots;
  size_t slot_count;
  bool slots_valid;
};

/* Adds a worker; PARENT is the talloc parent of the pool's memory.  Returns
   NULL when out of memory.  */
struct worker *pool_add (struct pool *pool, void *parent,
                         const struct worker_report *rep);
/* Removes and frees the worker with INDEX; the last one takes its place.  */
void pool_remove (struct pool *pool, size_t index);
/* Replaces the report of WRK.  */
void pool_set_report (struct pool *pool, struct worker *wrk,
                      const struct worker_report *rep);
/* Makes place_pick look at the workers anew, as they may have changed.  */
void pool_drop_slots (struct pool *pool);
struct worker *pool_find (const struct pool *pool, uint32_t handle);
struct worker *pool_find_id (const struct pool *pool, const char *id);
/* Returns the next worker on HOST from the index *POS on and sets *POS behind
   it, or returns NULL.  */
struct worker *pool_next_on_host (const struct pool *pool, const char *host,
                                  size_t *pos);

/* A hold that acknowledges ends is answered at once.  Until then its worker is
   not picked for a task, for this time at most.  */
#define ACKS_ANSWER_MAX_US 50000

struct place_request
{
  const struct job *job;
  const struct step *step;
  const struct task_ref *ref;
  const char *rack; /* only workers in this rack; NULL: any */
  uint32_t avoid;   /* handle of a worker to use only as a last resort; 0:
                       none */
  uint32_t only;    /* handle of the one worker allowed; 0: any */
  bool in_turn;     /* the worker after AVOID, whichever is the best */
  bool unenrolled;  /* the start waits for a record, which names the worker
                       too */
  int64_t now_us;
};

/* Whether the resources that a task of STEP needs are free on WRK.  Checks no
   other constraint.  */
bool place_fits (const struct worker *wrk, const struct step *step);

/* Whether the last answer of WRK lists runs whose jobs are not known.  */
bool worker_has_unknown_runs (const struct worker *wrk);

/* Whether WRK does not answer or has ended, so that its runs may have to be
   started elsewhere.  */
bool worker_silent (const struct worker *wrk);

/* Whether WRK takes new tasks once it is enrolled, unless its host is vacated
   or it leaves by its own notice.  */
bool worker_usable (const struct worker *wrk, int64_t now_us);

/* Whether WRK takes new tasks once the pool's worker record in the log names
   it.  */
bool worker_takes_tasks (const struct worker *wrk, int64_t now_us);

/* Whether WRK takes new tasks.  */
bool worker_schedulable (const struct worker *wrk, int64_t now_us);

/* Number of other tasks of the step and occurrence that run on WRK, have a
   reservation there, or may start only there.  */
uint32_t place_siblings (const struct worker *wrk,
                         const struct place_request *req);

/* Whether an answer to the ends acknowledged to WRK is due any moment.  */
bool worker_awaits_acks (const struct worker *wrk, int64_t now_us);

/* Whether WRK may run the task.  Does not check its free resources.  */
bool place_allowed (const struct worker *wrk, const struct place_request *req);

/* Picks a worker for a task.  Returns NULL when none can take it now.  */
struct worker *place_pick (struct pool *pool, const struct place_request *req);

/* Picks one of the workers that are not enrolled; REQ allows them.  */
struct worker *place_pick_unenrolled (struct pool *pool,
                                      const struct place_request *req);

bool worker_has_label (const struct worker *wrk, const char *label);

/* The rack of a worker, or "".  */
const char *worker_rack (const struct worker *wrk);

/* Adds SIGN (1 or -1) times what a task of STEP needs to SUM.  */
void resources_add (struct resources *sum, const struct step *step, int sign);
