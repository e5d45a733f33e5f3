#pragma once

#include "sched/placer_priv.h"

/* The places of a pool's perpetual tasks.  A place is a worker that takes
   tasks and stays, that the step's label and bound per worker allow, and that
   has room once all batch work there is gone.  */

/* Why a worker is no place for a task: the first reason that applies.  */
enum place_reason
{
  PLACE_ALLOWED,
  PLACE_VACATED,     /* its host is to be emptied */
  PLACE_DRAINING,    /* it leaves by its own notice */
  PLACE_UNAVAILABLE, /* silent, avoided, not enrolled, or ended */
  PLACE_LABEL,
  PLACE_BOUND,   /* it has as many tasks of the step as the job allows */
  PLACE_NO_ROOM, /* even without batch work */
  PLACE_REASONS  /* number of these */
};

/* Whether WRK is no place now for the task of REQ, and why.  */
enum place_reason places_reason (const struct worker *wrk,
                                 const struct place_request *req);

/* What perpetual runs, reservations and unknown runs leave of the capacity of
   WRK; runs that are being stopped are on their way out.  */
struct resources places_room (const struct worker *wrk);

/* Whether a task of STP has room on WRK once all batch work there is gone.  */
bool places_has_room (const struct worker *wrk, const struct step *stp);

/* Called for a perpetual task.  Returns false to end the iteration.  */
typedef bool places_task_fn (void *arg, struct job *job,
                             const struct task_ref *ref);

/* Calls FN for each perpetual task of the pool that is due.  */
void places_each_task (struct placer *plc, places_task_fn *fn, void *arg);

/* Whether the perpetual task may be started now and has no run.  */
bool places_task_waits (const struct placer *plc, struct job *job,
                        const struct task_ref *ref, int64_t now_us);

/* A plan gives the tasks that have to start elsewhere, one after the other, a
   place that those before them leave.  It is greedy: each gets the place with
   the least room left.  A task may thus find no place although another order
   would leave one; a place that it finds is there.

   With T perpetual tasks, N of them in need of a place, W workers and R runs
   on them, a plan takes time in proportion to T + R + N * (W + S), S being the
   tasks of one step.  */

/* Most hosts that a pool is counted as lacking.  */
#define PLACES_LACKING_MAX 64

/* Why a task needs a place.  Needs are met in this order.  */
enum need_kind
{
  NEED_WAITING,  /* it has no run, or is being stopped */
  NEED_DRAINING, /* its worker leaves by its own notice */
  NEED_SILENT,  /* its worker does not answer or has ended: the task is started
                   elsewhere once its run has certainly ended */
  NEED_GRANTED, /* its host is being emptied */
  NEED_ASKED,   /* its host is asked for */
  NEED_KEPT,    /* its host was kept a short time ago; nothing is to move */
};

struct place_need
{
  enum need_kind kind;
  struct vacated_host *vac; /* the host that it leaves; NULL: none */
  struct job *job;
  struct task_ref ref;
  const struct step *stp;
  struct task *tsk;
  uint32_t only;       /* handle of the one worker allowed; 0: any */
  struct place *place; /* the planned one; NULL: none */
};

/* A worker, or a host that the pool lacks.  */
struct place
{
  struct worker *wrk; /* NULL: a host that the pool lacks */
  bool usable;        /* takes tasks, but for its host being vacated */
  bool stays;
  const char *label;     /* of a host that the pool lacks */
  struct resources room; /* less what is planned */
  uint32_t siblings;     /* tasks of the step in SIBLINGS_OF */
};

struct place_plan
{
  struct placer *plc;
  int64_t now_us;
  struct place *places; /* first the pool's workers */
  size_t worker_count;
  size_t place_count;
  struct place_need *needs; /* ordered by kind and request */
  size_t need_count;
  /* The needs that have a place, in the order in which they got it.  */
  struct place_need **planned;
  size_t planned_count;
  const struct place_need *siblings_of; /* NULL: of none */
  struct resources largest;             /* capacity of a worker */
  bool out_of_memory;
};

/* Makes a plan without places given yet.  Returns NULL when out of memory.  */
struct place_plan *places_plan (struct placer *plc, int64_t now_us);

/* Gives NEED a place on a worker that stays.  Returns whether there is one. */
bool places_give (struct place_plan *plan, struct place_need *need);

/* The host that was asked for last, of those that may be given back and would
   then have a place for NEED, or NULL.  */
struct vacated_host *places_on_vacated (struct place_plan *plan,
                                        struct place_need *need);

/* Drops the reservation of a task of the step that runs and is to move, if its
   place does for NEED: that task may not be stopped while one of its step is
   missing.  Returns whether there is one; NEED has the place then.  */
bool places_release_sibling (struct place_plan *plan, struct place_need *need);

/* Takes back the places of all but the first COUNT planned needs.  */
void places_undo (struct place_plan *plan, size_t count);

/* Sets whether the workers of the host stay.  */
void places_set_host (struct place_plan *plan, const struct vacated_host *vac,
                      bool stays);

/* Gives NEED a place on a host that the pool lacks, unless no host would do.
 */
void places_give_lacking (struct place_plan *plan, struct place_need *need);
