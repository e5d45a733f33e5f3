#pragma once

#include "sched/placer.h"
#include "sched/placer_unplaced.h"
#include "sched/pool.h"

/* Internal interface between the placer's source files.  All of it belongs to
   the placer's thread.  */

/* A worker's clock may run slower than this process's by up to this share.  */
#define CLOCK_SLOW_MAX_PERCENT 2

/* Longest time for which a worker gets no tasks after failed runs, if most
   workers have failed some, or if a perpetual task has no other place: the
   jobs are probably at fault, or have to be tried all the same.  */
#define FAILING_PAUSE_SHORT_US 1000000

/* A list of hosts that was requested at least this long after a worker was
   known certainly is newer than the worker's start: the list shows the hosts
   as they were up to one second before, and a worker may report before the
   platform lists it.  */
#define HOST_LIST_LAG_US 2000000

/* A host is gone when this number of consecutive lists do not contain it.  A
   list is read in pages, and a host may be missing in one if another host
   leaves between two pages.  */
#define ABSENT_LISTS_MIN 2

/* Most entries of no_room in struct placer.  */
#define NO_ROOM_MAX 32
/* Most searches for a worker in one tick that find none, for tasks without
   placement constraints, and most jobs whose tasks are placed in one tick.
   With thousands of waiting jobs in a pool that is full, a tick would take so
   long that no time is left for commands.  */
#define FAILED_SEARCHES_MAX 64
#define JOBS_PER_TICK_MAX 512
/* Further jobs that are tried in a tick, of those after the first ones.  */
#define OTHER_JOBS_PER_TICK 64

/* A start without an answer, of a run that has been given up.  The instance
   that it was meant for has refused it or has ended; the next one would carry
   it out.  */
struct late_start
{
  char worker[NAME_BYTES]; /* its id */
  char host[NAME_BYTES];
  struct task_ref ref;
  uint32_t number;
  int64_t sent_us;
  bool host_down; /* when the worker was removed from the pool */
  /* Sent by an earlier owner.  An instance that has answered this owner
     refuses it.  */
  bool earlier;
  uint32_t absent_lists; /* consecutive lists of hosts without its host */
};

/* The places of tasks that a worker record names, in the order of the tasks;
   see placer_record.h.  */
struct named_place;
struct named_places
{
  struct named_place *rows;
  size_t count;
};

/* The gang that has waited longest for room.  */
struct waiting_gang
{
  struct task_ref ref;
  int64_t since_us;
  int64_t seen_us; /* when it was last tried; 0: there is none */
  bool claimed;    /* room is reserved for its members */
};

/* A worker on which an earlier owner may have started tasks.  */
struct earlier_worker
{
  char id[NAME_BYTES];
  char host[NAME_BYTES];
  int64_t born_ms;
  int64_t known_us;      /* the worker had certainly started by then */
  uint32_t absent_lists; /* consecutive lists of hosts without its host */
  bool ended; /* the last list shows the end of this instance; it may have
                 been started again under its id */
};

/* State of a request to empty a host.  */
enum vacate_state
{
  VACATE_ASKED, /* not decided yet; the host is emptied all the same */
  VACATE_GRANTED,
  VACATE_KEPT,      /* refused: the host takes tasks */
  VACATE_WITHDRAWN, /* was refused for want of a place a short time ago */
};

/* A host that the pool is asked to give up.  */
struct vacated_host
{
  struct vacated_host *next; /* asked for later */
  char host[NAME_BYTES];
  uint64_t seq; /* order of the requests */
  enum vacate_state state;
  int64_t begun_us; /* when this owner was first asked */
  int64_t until_us; /* batch tasks still there then are stopped */
  /* When a run last left the host or got a place elsewhere, or another task of
     its step was stopped for a move.  */
  int64_t progress_us;
  int64_t cleared_us; /* when nothing ran there any more; 0: not yet */
  uint32_t stops;     /* runs stopped to empty it */
  bool present;       /* a worker of this pool was found on it */
  /* An earlier owner may have been asked, and has not reported the host as
     empty only if runs were found there.  */
  bool inherited;
  bool had_runs;
  bool told;    /* reported as empty */
  bool move;    /* the host is to go to another pool */
  bool arrived; /* its worker came after the request, which another pool was
                   asked: the host has moved here */
  struct placer_kept kept;
  int64_t kept_us;
};

/* A host that was kept for want of a place counts as one that the pool lacks
   for this time, unless a place turns up: a spare host takes some seconds to
   arrive.  */
#define KEPT_LACKING_US 10000000

/* Of the hosts that a pool has refused to vacate, one in this many counts as
   lacking, and one in a pool of any size: no more of them are asked for at a
   time.  */
#define KEPT_LACKING_DIVISOR 3

/* Kinds of waits of runs that are reported; each has a limit of its own.  */
enum wait_kind
{
  WAIT_OTHER,
  WAIT_LEASE, /* ends with the run's lease */
  WAIT_KINDS  /* number of these */
};

/* Bound on the transit time of a command.  */
#define COMMAND_TRANSIT_US 500000
/* A task of a cancelled job may start for this time after the cancellation was
   acknowledged.  */
#define CANCEL_EFFECT_US 3000000
/* An owner that read the jobs longer ago starts nothing: a cancellation that
   it does not know may have been acknowledged since.  */
#define LOG_AGE_MAX_US (CANCEL_EFFECT_US - COMMAND_TRANSIT_US)

struct placer
{
  struct placer_settings set;
  struct placer_env env;
  struct pool pool;
  uint64_t worker_changes; /* see placer_worker_changes */
  bool awaits_others;      /* see placer_awaits_others; of the last tick */
  int64_t claimed_us;      /* when this owner's placer was created */
  int64_t confirmed_us;    /* latest time for which ownership is confirmed */
  bool fenced;             /* a worker or the log has seen a later owner */
  /* Every run that earlier owners started is known or has lost its lease, and
     they start nothing any more.  */
  bool takeover_done;

  /* Jobs that have not ended, have a run, or have progress to flush.  */
  struct job **jobs;
  size_t job_count;
  /* Those of them with a perpetual step.  */
  struct job **perpetual_jobs;
  size_t perpetual_job_count;

  /* Jobs whose progress is not in the log yet, in the order in which it
     changed first.  */
  struct job *first_dirty, *last_dirty;
  size_t dirty_count;
  bool flushing; /* an append of progress is in flight */
  /* The ends up to the workers' flushing_end are in the log once the progress
     of this many jobs, the first dirty ones, and the append in flight are.  */
  size_t covered_jobs;
  int64_t next_flush_us;

  /* Workers of earlier owners that have not answered and that may still be
     running.  */
  struct earlier_worker *earlier;
  size_t earlier_count;
  bool enrol_pending; /* an append of the worker record waits or is in
                         flight */
  bool enrolling;     /* it is in flight */
  bool enrol_stale; /* the logged worker record names removed workers, or does
                       not tell that it names all runs */
  /* Runs of perpetual tasks; see placer_record.h.  */
  bool earlier_runs_known; /* the record of the earlier owners names all */
  struct earlier_run *earlier_runs;
  size_t earlier_run_count;
  bool runs_changed;          /* the logged worker record lacks a run */
  struct named_places named;  /* in the last record that is in the log */
  struct named_places naming; /* in the record in flight */
  int64_t enrol_sent_us;      /* when the pending one was passed on */
  int64_t next_useless_check_us;
  int64_t next_spares_check_us;
  size_t spares_check_pos; /* index of the worker that was checked last */
  uint64_t last_record;    /* number of worker records appended so far */
  uint64_t durable_record; /* of those that are in the log */
  size_t unsent_runs;      /* those that wait for the record */
  int64_t earlier_leases_end_us; /* the leases that earlier owners gave have
                                    expired by then */

  /* Ready tasks that were not started in the last tick, and those of them
     whose jobs are not past use, with what these need.  */
  uint32_t waiting_tasks;
  uint32_t useful_waiting_tasks;
  int64_t waiting_cpu_milli;
  bool placing_past_use; /* the job that is being placed is past use */
  /* New jobs, and those that became past use, since the last
     placer_admission_load.  */
  int64_t new_jobs;
  int64_t past_use_jobs;
  int64_t wait_max_ms; /* mean of job_order_wait_max_ms of the last new jobs */
  /* Needs that no worker had room for in this tick, of tasks without placement
     constraints.  A task that needs at least as much does not fit either.  */
  struct resources no_room[NO_ROOM_MAX];
  size_t no_room_count;
  uint32_t failed_searches; /* in this tick */
  /* The worker picked for the last task in this tick, and that task's job and
     step; NULL: none, or the step has constraints.  */
  struct worker *last_pick;
  const struct job *last_pick_job;
  const struct step *last_pick_step;
  uint64_t tick_number; /* of those with more jobs than one tick places */
  /* Recently sent starts without an answer, oldest first.  */
  struct command_ctx *first_start_in_flight, *last_start_in_flight;
  uint32_t starts_in_flight;
  /* In the last tick, a task was not started because too many starts were in
     flight.  */
  bool start_limit_reached;
  uint32_t starts_sent;    /* in this tick */
  uint32_t starts_checked; /* STARTS_SENT when the time was last looked at */
  bool tick_too_long;
  /* Part of the time, in thousandths, in which ticks have reached the limit: a
     mean in which a second counts for about two thirds.  */
  int64_t start_limit_permille;
  int64_t start_limit_us; /* when it was computed */
  /* Report on tasks that wait although workers are free.  */
  int64_t last_start_us; /* when a start was last sent */
  int64_t stalled_us;    /* when they were first found; 0: there are none */
  int64_t next_stall_check_us;
  int64_t next_stall_report_us;
  /* The requests to empty hosts, in their order.  */
  struct vacated_host *vacated;
  uint64_t last_vacate_seq;
  int64_t next_plan_us;
  /* Hosts that the last plan of places lacked: for perpetual tasks without a
     place, and one for each host that was kept for want of a place a short
     time ago.  The label is one that they need, or "".  */
  uint32_t lacking_hosts;
  uint32_t placeless_hosts; /* those of them for tasks without a run */
  char lacking_label[NAME_BYTES];
  /* Report on perpetual tasks without a run.  */
  struct unplaced_task unplaced[UNPLACED_TASKS_MAX];
  size_t unplaced_count;
  int64_t last_unplaced_check_us; /* 0: there was none */
  int64_t unplaced_reports_us; /* start of the time that has a limit of them */
  uint32_t unplaced_reports;   /* since then */
  uint32_t unplaced_late_reports; /* the same of tasks with a late start */
  struct waiting_gang gang;
  struct late_start *late_starts;
  size_t late_start_count;
  /* A start has had no answer for some time and is not in the worker record
     in the log, or is there and is over.  */
  bool late_starts_changed;
  int64_t next_announce_us;
  /* Workers that were removed may have granted leases until then.  A worker
     that is added may be the next instance of one of them.  */
  int64_t removed_leases_end_us;
  /* Highest generation of a worker that was removed; it may return.  */
  uint32_t removed_generation;
  /* Report on runs that wait.  */
  int64_t next_waits_check_us;
  int64_t wait_reports_us; /* start of the time that has a limit of them */
  uint32_t wait_reports[WAIT_KINDS]; /* since then */
  int calls_in_flight;               /* commands and appends */
  bool closing; /* destroyed; freed when no call is in flight */
};

/* What the answer to a call is compared with, or its lack.  */
struct timed_call
{
  int64_t sent_us;
  uint32_t generation;   /* that of the worker then */
  uint32_t clock_number; /* that of the worker then */
  int64_t lease_end_ms;  /* by that clock; 0: extends no leases */
};

/* placer_pick.c */
/* Picks a worker that takes the task now, or NULL.  Skips the search for a
   batch task that is known not to fit, or if too many starts are in flight. */
struct worker *placer_pick_worker (struct placer *plc,
                                   const struct place_request *req);

/* placer_start.c */
/* Whether the tick that began at NOW_US is to send no further starts: as many
   are in flight as this process can handle in time, or it has lasted too
   long.  */
bool placer_start_limit_reached (struct placer *plc, int64_t now_us);
/* The target of a command to WRK that is sent if MAY_SEND allows it.  Uses a
   new connection if the last call was not answered.  */
struct command_target placer_command_target (const struct worker *wrk,
                                             bool (*may_send) (void *arg));
/* Adds a run that WRK may still begin, by the start LATE, and stops it.  Until
   its end is known, its task is not started.  Returns NULL when out of
   memory.  */
struct run *placer_stop_late_start (struct placer *plc, struct worker *wrk,
                                    struct job *job,
                                    const struct late_start *late);
/* Stops the runs whose start got no answer and that WRK, which was asked for
   its runs since, has not listed.  */
void placer_stop_unlisted_starts (struct placer *plc, struct worker *wrk);
/* RUN is listed.  It goes on if it is to be stopped only since its start had
   no answer and it was not listed, and no stop was acknowledged: the start was
   carried out late, and the stop would end a run that is wanted.  */
void placer_keep_listed_start (struct run *run);
/* WRK has seen the token of a later owner.  */
void placer_fenced_by_worker (struct placer *plc, const struct worker *wrk);
/* Starts the next run of a task on WRK.  */
void placer_start_task (struct placer *plc, struct job *job,
                        const struct task_ref *ref, struct worker *wrk);
/* Sends the start of RUN.  */
void placer_send_start (struct placer *plc, struct run *run);
/* Notes starts in flight that have had no answer for some time.  */
void placer_age_starts (struct placer *plc, int64_t now_us);
/* Marks RUN to be stopped and sends the stop; placer_send_stops repeats it
   until the worker has acknowledged it.  */
void placer_stop_run (struct placer *plc, struct run *run);
/* Marks RUN to be stopped.  Its stop is due at the worker's present instance,
   whatever earlier instances have acknowledged.  */
void placer_make_stop_due (struct placer *plc, struct run *run);
/* Sends the wanted stops that have not been acknowledged.  */
void placer_send_stops (struct placer *plc, struct worker *wrk);
/* A run of JOB is known to have begun.  A job of which only starts without an
   answer are known counts as waiting.  */
void placer_note_started (struct placer *plc, struct job *job);
/* Takes over a run that the worker lists and that is not known here, such as
   one that an earlier owner started.  Returns NULL when out of memory.  */
struct run *placer_adopt (struct placer *plc, struct worker *wrk,
                          struct job *job, const struct task_ref *ref,
                          uint32_t number);
/* Stops a run that the worker lists and that is not wanted.  Until it is gone,
   its task is not started.  Returns NULL when out of memory.  */
struct run *placer_stop_unwanted (struct placer *plc, struct worker *wrk,
                                  struct job *job, const struct task_ref *ref,
                                  uint32_t number);
/* Removes RUN from its worker and its task, and frees it once no command for
   it is in flight.  */
void placer_remove_run (struct placer *plc, struct run *run);
/* Tells a worker to stop a run that it lists and whose job is not known.  */
void placer_stop_unknown (struct placer *plc, struct worker *wrk,
                          const struct task_ref *ref, uint32_t number);
/* The run of task REF with NUMBER on WRK, or NULL.  */
struct run *placer_find_run (const struct worker *wrk,
                             const struct task_ref *ref, uint32_t number);
/* Whether any run of the task is known, wanted or not.  */
bool placer_has_runs (const struct task *tsk);

/* placer_hold.c */
/* Gives up runs on WRK that have certainly ended, and sends a hold if one is
   due.  */
void placer_hold (struct placer *plc, struct worker *wrk, int64_t now_us);
/* Updates the worker's contact state from the result of CALL.  */
void placer_note_answer (struct placer *plc, struct worker *wrk,
                         const struct timed_call *call,
                         const struct command_result *res);
/* placer_late.c */
/* The fencing token of a command to WRK that is sent now.  */
uint64_t placer_command_token (const struct placer *plc, struct worker *wrk);
/* Makes the present instance of WRK refuse all that was sent before, once it
   has answered a command.  */
void placer_raise_generation (const struct placer *plc, struct worker *wrk);
/* Records that CALL, a hold that acknowledges ends, got no answer.  */
void placer_note_late_acks (struct worker *wrk, const struct timed_call *call);
/* Before a start: an instance of WRK that carries the start out refuses the
   earlier holds that acknowledge ends.  They would make it forget the end of
   this run before anybody has read it.  */
void placer_outdate_late_acks (const struct placer *plc, struct worker *wrk);
/* Takes an answer to CALL: the command has been carried out, or refused as the
   worker has seen a later token.  */
void placer_note_generation (struct placer *plc, struct worker *wrk,
                             const struct timed_call *call,
                             enum command_status status);
/* Whether the worker refused CALL because of a later command of this owner.
   Otherwise a later owner has sent one.  */
bool placer_fenced_by_own (const struct worker *wrk,
                           const struct timed_call *call);
/* The start of RUN, which has no answer.  */
struct late_start placer_late_start_of (const struct run *run);
/* Records that the start of RUN, which is given up, may still be carried
   out.  */
void placer_add_late_start (struct placer *plc, const struct run *run);
/* Forgets the start of a run by WRK, which has answered it or has listed the
   run or its end.  */
void placer_drop_late_start (struct placer *plc, const struct worker *wrk,
                             const struct task_ref *ref, uint32_t number);
/* Keeps the late starts of WRK, which is to be removed from the pool.  */
void placer_keep_late_starts (struct placer *plc, const struct worker *wrk);
/* Forgets the starts that WRK could no longer carry out when it was asked for
   its runs at ASKED_US: it lists the runs.  */
void placer_end_late_starts (struct placer *plc, const struct worker *wrk,
                             int64_t asked_us);
/* Stops the late starts at WRK, where an instance has begun that does not
   know of earlier stops.  */
void placer_stop_late_starts (struct placer *plc, struct worker *wrk);

/* Whether an earlier start of the task may still be carried out, or a run that
   it has begun unseen may still exist.  */
bool placer_may_run_late (const struct placer *plc, const struct task *tsk,
                          const struct task_ref *ref);

/* Whether a run that LATE has begun unseen may exist.  */
bool placer_late_start_may_run (const struct placer *plc,
                                const struct late_start *late, int64_t now_us);

/* Where a perpetual task may start beside an earlier start without an
   answer.  */
enum late_place
{
  LATE_PLACE_ANY,
  LATE_PLACE_SAME, /* on the worker of that start alone, which refuses it: if
                      the next instance there carries it out, this run has
                      ended */
  LATE_PLACE_NONE,
};

/* What a perpetual task with such a start is tied to.  */
struct late_tie
{
  enum late_place place;
  uint32_t worker; /* for LATE_PLACE_SAME */
  const char *id;  /* of the worker that is waited for, or "" */
  /* Why that one may run the task unseen; for LATE_PLACE_NONE.  */
  const char *obstacle;
  int64_t until_us; /* it ends by then, whatever is learnt */
};

struct late_tie placer_late_tie (const struct placer *plc,
                                 const struct task *tsk,
                                 const struct task_ref *ref);
/* Stores the handle of the worker in *WORKER, or 0.  A host that is shown as
   down is not waited for.  */
enum late_place placer_late_place (const struct placer *plc,
                                   const struct task *tsk,
                                   const struct task_ref *ref,
                                   uint32_t *worker);
/* Has WRK, which was added to the pool, asked for its runs until its late
   starts are over.  */
void placer_expect_late_starts (const struct placer *plc, struct worker *wrk);
/* Adds a start of an earlier owner.  */
void placer_add_earlier_start (struct placer *plc,
                               const struct late_start *late);
/* Whether a late start may end with a list of hosts.  */
bool placer_awaits_down_hosts (const struct placer *plc);
/* Forgets the starts whose worker certainly had no further instance when the
   list of hosts in REP was requested at ASKED_US.  */
void placer_end_late_starts_on_host (struct placer *plc,
                                     const struct host_report *rep,
                                     int64_t asked_us);
/* The same for hosts that are gone; LISTED tells whether HOST is in the list
   that was requested at ASKED_US.  */
void placer_end_late_starts_without_host (struct placer *plc,
                                          bool (*listed) (const void *list,
                                                          const char *host),
                                          const void *list, int64_t asked_us);

/* placer_lease.c */
/* A call that was sent to WRK at NOW_US, with leases until LEASE_END_MS by its
   clock; 0: it extends none.  */
struct timed_call placer_timed_call (const struct worker *wrk, int64_t now_us,
                                     int64_t lease_end_ms);
/* Takes the worker's clock in the answer to CALL.  A clock that cannot be the
   known one shows that the worker has restarted.  Returns false if an earlier
   instance may have answered.  */
bool placer_note_clock (struct placer *plc, struct worker *wrk,
                        const struct timed_call *call, int64_t clock_ms);
/* The worker's clock is not known any more, as it has restarted.  */
void placer_forget_clock (struct placer *plc, struct worker *wrk);
/* Records that CALL, which may have been carried out, got no answer.  */
void placer_note_unanswered (struct placer *plc, struct worker *wrk,
                             const struct timed_call *call);
/* Calls by the clock of an earlier instance are refused since AT_US.  */
void placer_end_earlier_leases (struct placer *plc, struct worker *wrk,
                                int64_t at_us);
/* Bound on the transit time of an answer.  */
#define ANSWER_TRANSIT_US 100000
/* Upper bound on the time that SPAN_US by the worker's clock takes, including
   the transit time of an answer.  */
int64_t placer_add_lease_slack (int64_t span_us);
/* End of a lease that begins at NOW_US, or when the last confirmation of
   ownership becomes too old if that is earlier, in milliseconds of the
   worker's estimated clock.  */
int64_t placer_lease_end_ms (const struct placer *plc,
                             const struct worker *wrk, int64_t now_us);
/* Monotonic time by which all leases on WRK have expired, unless they are
   extended; also those that earlier owners gave, to runs that were adopted. */
int64_t placer_leases_end_us (const struct placer *plc,
                              const struct worker *wrk);
/* Records the lease that a worker may have granted: RES is its answer to a
   command with a lease until LEASE_END_MS by its clock; 0: with none.  */
void placer_note_grant (struct placer *plc, struct worker *wrk,
                        int64_t lease_end_ms, const struct command_result *res,
                        int64_t now_us);
/* Records that a command with a lease from NOW_US on was sent.  */
void placer_note_lease (struct placer *plc, struct worker *wrk,
                        int64_t now_us);

/* Records the generation of WRK, which is to be removed, and what it may still
   grant by calls that have no answer.  */
void placer_keep_removed (struct placer *plc, const struct worker *wrk);

/* placer_instance.c */
/* Gives up the runs of a silent WRK, whose leases have expired.  */
void placer_drop_expired_runs (struct placer *plc, struct worker *wrk);
/* Gives up the runs of a worker instance that has ended, once it is certain
   that no later owner had claimed the pool by then; such an owner could
   already have recorded the ends.  BORN_MS is the start of the instance that
   answers or reports under the same id.  Returns false while the end is not
   certain.  */
bool placer_settle_instance (struct placer *plc, struct worker *wrk,
                             int64_t born_ms);
/* The same for an end that was learnt otherwise than from an answer to a
   hold.  */
void placer_settle_reported_end (struct placer *plc, struct worker *wrk);

/* placer_flush.c */
/* Queues the job's progress for the next append.  */
void placer_mark_dirty (struct placer *plc, struct job *job);
/* Appends the queued progress to the log if an append is due.  */
void placer_flush (struct placer *plc, int64_t now_us);

/* placer_hosts.c */
/* Whether a list of hosts requested at ASKED_US is newer than the last starts
   of earlier owners, on whichever instance of a worker.  */
bool placer_list_covers_earlier_starts (const struct placer *plc,
                                        int64_t asked_us);
/* placer_takeover.c */
/* Whether ownership is confirmed recently enough to send commands.  */
bool placer_may_command (const struct placer *plc, int64_t now_us);
/* Whether the pool's jobs are known as they were recently enough to start
   their tasks.  */
bool placer_log_current (const struct placer *plc, int64_t now_us);
/* Whether ownership and the jobs are confirmed recently enough to start
   tasks.  */
bool placer_may_start (const struct placer *plc, int64_t now_us);
/* Earlier owners start nothing after this time.  */
int64_t placer_earlier_starts_end_us (const struct placer *plc);
/* The id of a worker that has not told this owner of the runs that earlier
   owners may have started there, or NULL.  */
const char *placer_unreached (const struct placer *plc);
/* Whether WRK may run tasks of earlier owners that it has not listed.  */
bool placer_worker_unreached (const struct placer *plc,
                              const struct worker *wrk);
/* Completes the takeover once every run that an earlier owner may have started
   is known or has lost its lease.  */
void placer_check_takeover (struct placer *plc, int64_t now_us);
/* Whether a run of the task by an earlier owner may still exist on a worker
   that has not answered this owner, or such an owner may still start one.  */
bool placer_may_still_run (const struct placer *plc, struct job *job,
                           const struct task_ref *ref);
/* The id of a worker that the task awaits for that, or NULL.  */
const char *placer_task_awaits (const struct placer *plc, struct job *job,
                                const struct task_ref *ref);

/* placer_rival.c */
/* Whether tasks of JOB may be started here, as the job is stored for no other
   pool.  QUE is its queue; NULL: removed.  */
bool placer_pool_certain (struct placer *plc, const struct job *job,
                          const struct queue *que, int64_t now_us);

/* placer_job_end.c */
/* Updates the job's state after a run of its task has ended, and stops the
   job's other runs if the job has ended with it.  */
void placer_task_ended (struct placer *plc, struct job *job,
                        const struct task_ref *ref);
/* Ends JOB if its tasks are done, or one has failed as often as it may.  */
void placer_end_job_if_due (struct placer *plc, struct job *job,
                            int64_t now_us);
/* Stops the runs of JOB, and drops its reservations.  */
void placer_stop_job (struct placer *plc, struct job *job);
/* Failed runs of a task after which the job fails.  */
uint32_t placer_attempts (const struct placer *plc, const struct job *job);

/* placer_enrol.c */
/* Appends the pool's worker record to the log if it has changed.  */
void placer_enrol (struct placer *plc);
/* Drops an earlier owner's worker that has answered or has ended.  */
void placer_drop_earlier_worker (struct placer *plc, const char *id);
/* Drops the earlier owners' workers on the host of REP that were started
   before the worker of REP, as they have ended.  */
void placer_drop_earlier_on_host (struct placer *plc,
                                  const struct worker_report *rep);

/* placer_stall.c */
/* Logs why nothing was started for some time although tasks wait and workers
   are free.  */
void placer_check_stall (struct placer *plc, int64_t now_us);

/* The first condition on starts that this owner does not meet, or NULL.  */
const char *placer_start_obstacle (const struct placer *plc, int64_t now_us);

/* placer_unplaced.c */
/* Logs which perpetual tasks have had no run for some time, and why the
   workers are no place for them.  */
void placer_check_unplaced (struct placer *plc, int64_t now_us);
/* Logs the waits of perpetual tasks that a later owner goes on with.  */
void placer_hand_over_unplaced (struct placer *plc);

/* placer_overdue.c */
/* Decides, after an answer of WRK, whether its leases are withheld.  */
void placer_check_overdue (struct placer *plc, struct worker *wrk);

/* placer_waits.c */
/* Since when RUN waits: for the answer to its start, to be listed, or for its
   end after a stop.  */
int64_t placer_run_waits_since_us (const struct run *run);
/* Logs which runs have waited for some time, and for what.  */
void placer_check_waits (struct placer *plc, int64_t now_us);

/* placer_preempt.c */
/* Reserves the resources for a task on WRK.  */
void placer_reserve (struct task *tsk, const struct step *stp,
                     struct worker *wrk, int64_t now_us);
void placer_unreserve (struct placer *plc, struct task *tsk,
                       const struct step *stp);
/* Ends the task's reservation without a start, and logs the reason.  */
void placer_drop_reservation (struct placer *plc,
                              const struct place_request *req,
                              const char *reason);
/* Returns the worker with the task's reservation if it takes the task now and
   the reserved resources are free.  Otherwise returns NULL; a reservation that
   is no longer allowed, or whose resources are not free after a time, is
   dropped.  */
struct worker *placer_reserved_room (struct placer *plc,
                                     const struct place_request *req);
/* The same, and ends the reservation.  */
struct worker *placer_take_reserved (struct placer *plc,
                                     const struct place_request *req);
/* Stops batch tasks on the worker where the fewest have to be stopped for the
   task to fit, and reserves the resources.  */
void placer_preempt (struct placer *plc, const struct place_request *req);

/* placer_gang.c */
/* Starts the tasks of a gang together, or, if only some of them have a run,
   stops these.  */
void placer_place_gang (struct placer *plc, struct job *job,
                        const struct task_ref *ref, int64_t now_us);
/* Marks all tasks of a gang as done; called when one member has ended as
   done.  */
void placer_mark_gang_done (struct placer *plc, struct job *job,
                            const struct task_ref *ref);

/* placer_vacate.c */
/* Whether a perpetual task may use the host after all: the request is not
   refused and the host was not reported as empty, as an order for it may be on
   its way.  */
bool vacate_may_keep (const struct vacated_host *vac);
/* Whether the host was kept for want of a place a short time ago.  */
bool vacate_lacked (const struct vacated_host *vac, int64_t now_us);
/* Most hosts that the pool counts as lacking in order to give up others.  */
uint32_t placer_kept_lacking_max (const struct placer *plc);
/* Decides which hosts are given up, by a plan of the places of the perpetual
   tasks.  */
void placer_decide_vacating (struct placer *plc, int64_t now_us);
/* Moves perpetual tasks off a worker that drains or is being vacated, and
   stops the rest when the time to vacate it is over.  */
void placer_evacuate (struct placer *plc, struct worker *wrk, int64_t now_us);

/* placer.c */
/* Returns the job ID as it is stored for this pool, or NULL.  */
struct job *placer_find_job (const struct placer *plc, uint64_t id);
bool placer_job_has_runs (const struct job *job);
/* Notes that a source other than the worker reports its instance as ended. The
   runs are kept until ownership is confirmed after this time, because a later
   owner may already have recorded their ends, and as long as the instance
   answers, because the report may be wrong.  */
void placer_end_instance (struct placer *plc, struct worker *wrk);
struct worker *placer_find_worker (const struct placer *plc, uint32_t handle);
/* Ends a call in flight; frees a closing placer after the last one.  */
void placer_release_call (struct placer *plc);
/* Whether all steps that STP comes after are done.  */
bool placer_step_ready (const struct job *job, const struct occurrence *occ,
                        const struct step *stp);
/* Counts COUNT tasks of a step of the job that is being placed which are not
   started in this tick.  */
void placer_note_waiting (struct placer *plc, const struct step *stp,
                          uint32_t count);
