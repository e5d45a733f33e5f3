#pragma once

#include "sched/placer.h"
#include "sched/pool.h"

/* Workers' clocks run up to 2 % slow.  */
#define CLOCK_SLOW_PERCENT 2

#define NO_ROOM_MAX 8

struct earlier_worker
{
  char id[NAME_BYTES];
  char host[NAME_BYTES];
  int64_t born_ms;
};

struct placer
{
  struct placer_settings set;
  struct placer_env env;
  struct pool pool;
  int64_t claimed_us;
  int64_t confirmed_us;
  bool fenced;  /* a worker or the log has seen a later owner */
  bool cleared; /* what earlier owners started is known or has lapsed */

  /* Jobs that have not ended, or of which something still runs.  */
  struct job **jobs;
  size_t job_count;

  /* Jobs with progress that is not in the log.  */
  struct job **dirty;
  size_t dirty_count;
  bool flushing;
  int64_t next_flush_us;

  /* Workers of earlier owners that have neither answered nor surely
     ended.  */
  struct earlier_worker *earlier;
  size_t earlier_count;
  bool enrolling;
  bool enrol_stale; /* the log names workers that are gone */
  int64_t lapse_us; /* what earlier owners started has lapsed by then */

  /* Tasks whose turn has come and that have no room, as of the last turn.  */
  uint32_t waiting_tasks;
  int64_t waiting_cpu_milli;
  int64_t waiting_memory_mb;
  /* Needs without special wishes that found no room in this turn; a task that
     needs as much finds none either.  */
  struct resources no_room[NO_ROOM_MAX];
  size_t no_room_count;
  /* Starts that were sent a short time ago and have no answer, oldest
     first.  */
  struct order_ctx *open_first, *open_last;
  uint32_t starts_open;
  bool starts_full; /* in the last turn tasks waited for starts to be sent */
  int calls;        /* orders and appends in progress */
  bool closing;
};

/* placer_start.c */
/* Whether as many starts are on their way as this process can send in time. */
bool placer_starts_full (struct placer *plc, int64_t now_us);
/* Where orders to WRK go; on a new connection after one was not answered.  */
struct order_target placer_order_target (const struct worker *wrk);
void placer_start_task (struct placer *plc, struct job *job,
                        const struct task_ref *ref, struct worker *wrk);
void placer_stop_run (struct placer *plc, struct run *run);
void placer_send_stops (struct placer *plc, struct worker *wrk);
struct run *placer_adopt (struct placer *plc, struct worker *wrk,
                          struct job *job, const struct task_ref *ref,
                          uint32_t number);
/* Takes RUN off its worker and its task.  */
void placer_forget_run (struct placer *plc, struct run *run);
/* Tells a worker to stop a run that this owner does not know.  */
void placer_stop_unknown (struct placer *plc, struct worker *wrk,
                          const struct task_ref *ref, uint32_t number);

/* placer_hold.c */
void placer_hold (struct placer *plc, struct worker *wrk, int64_t now_us);
int64_t placer_lease_end (const struct placer *plc, const struct worker *wrk,
                          int64_t now_us);
void placer_note_answer (struct placer *plc, struct worker *wrk,
                         const struct order_result *res);
/* Notes that an order with a lease up to LEASE_END_MS is on its way.  */
void placer_note_lease (struct placer *plc, struct worker *wrk,
                        int64_t now_us);

/* placer_flush.c */
void placer_mark_dirty (struct placer *plc, struct job *job);
void placer_flush (struct placer *plc, int64_t now_us);

/* placer_enrol.c */
void placer_enrol (struct placer *plc);
/* Notes that the worker's life ID is known or over.  */
void placer_earlier_known (struct placer *plc, const char *id);
/* Notes that the host lives on as another worker, born later.  */

void placer_earlier_host (struct placer *plc, const struct worker_report *rep);

/* placer_room.c */
/* Keeps room on WRK for a task.  */
void placer_reserve (struct task *tsk, const struct step *stp,
                     struct worker *wrk, int64_t now_us);
void placer_unreserve (struct placer *plc, struct task *tsk,
                       const struct step *stp);
/* The worker with the room that was kept, once it is free; else NULL.  */
struct worker *placer_reserved (struct placer *plc,
                                const struct place_request *req);
/* Stops short tasks where that takes the fewest, and keeps the room.  */
void placer_make_room (struct placer *plc, struct job *job,
                       const struct task_ref *ref, int64_t now_us);

/* placer_gang.c */
/* Starts the tasks of a gang together, or stops what is left of a run.  */
void placer_place_gang (struct placer *plc, struct job *job,
                        const struct task_ref *ref, int64_t now_us);
/* One member's end as done stands for all.  */
void placer_gang_done (struct placer *plc, struct job *job,
                       const struct task_ref *ref);

/* placer_vacate.c */
/* Moves lasting tasks off workers that leave or are to be emptied.  */
void placer_move_off (struct placer *plc, struct worker *wrk, int64_t now_us);

/* placer.c */
struct worker *placer_find_worker (const struct placer *plc, uint32_t handle);
void placer_task_ended (struct placer *plc, struct job *job,
                        const struct task_ref *ref);
bool placer_may_order (const struct placer *plc, int64_t now_us);
void placer_release_call (struct placer *plc);
/* Whether a task may still run at a worker that has not answered since an
   earlier owner started it there.  */
bool placer_in_limbo (const struct placer *plc, const struct job *job,
                      const struct task *tsk);
/* Notes that COUNT tasks of a step find no room.  */
void placer_note_waiting (struct placer *plc, const struct step *stp,
                          uint32_t count);
uint32_t placer_attempts (const struct placer *plc, const struct job *job);
