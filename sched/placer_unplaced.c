#include "base/clock.h"
#include "base/counter.h"
#include "base/log.h"
#include "sched/placer_places.h"

/* Reports perpetual tasks that do not run, why no worker is a place for them,
   and at the end of their wait what it consisted of.  */

/* Tasks that wait for less are not reported.  */
#define UNPLACED_REPORT_US 1000000
/* The same for a task with a reservation: batch runs end within about 1 s of
   their stop.  */
#define UNPLACED_RESERVED_US 2000000
#define UNPLACED_CHECK_INTERVAL_US 200000
/* Least time between two reports of one task, and time in which a pool has at
   most UNPLACED_REPORTS_MAX of them, and as many of tasks with a late start:
   the first tell the cause.  */
#define UNPLACED_REPORT_INTERVAL_US 5000000
#define UNPLACED_REPORTS_MAX 4

/* A perpetual task is to run again within this time, by the platform's rule:
   while there is room, none is without a run for the second span, beginning
   the first one after its last run.  */
#define RESTART_SPAN_US 6000000
#define RESTART_GRACE_US 3000000
#define RESTART_MAX_US (RESTART_SPAN_US + RESTART_GRACE_US)

struct check
{
  struct placer *plc;
  int64_t now_us;
  int64_t last_us; /* of the check before; 0: there was none */
  uint32_t tasks;  /* that wait, watched or not */
  /* The last step for which a place was looked for, and whether there is
     one.  */
  const struct step *place_step;
  uint32_t place_occurrence;
  bool place_found;
};

/* What a task has to wait for before any place counts.  */
enum place_wait
{
  PLACE_WAIT_NONE,
  PLACE_WAIT_WITHDRAWAL,
  PLACE_WAIT_OTHER_PARTITIONS,
  PLACE_WAIT_EARLIER_OWNER,
  PLACE_WAIT_LATE_START,
  PLACE_WAIT_PLACE_OF_LATE_START,
};

static const char *const place_wait_names[] = {
  [PLACE_WAIT_NONE] = "none",
  [PLACE_WAIT_WITHDRAWAL] = "withdrawal",
  [PLACE_WAIT_OTHER_PARTITIONS] = "other_partitions",
  [PLACE_WAIT_EARLIER_OWNER] = "earlier_owner",
  [PLACE_WAIT_LATE_START] = "late_start",
  [PLACE_WAIT_PLACE_OF_LATE_START] = "place_of_late_start",
};

static const char *const part_names[UNPLACED_PARTS] = {
  [UNPLACED_EARLIER_OWNER] = "earlier_owner",
  [UNPLACED_LATE_START] = "late_start",
  [UNPLACED_NO_PLACE] = "no_place",
  [UNPLACED_ROOM] = "room",
  [UNPLACED_OWNER] = "owner",
  [UNPLACED_START] = "start",
  [UNPLACED_OTHER] = "other",
};

static struct unplaced_task *
find_unplaced (struct placer *plc, const struct task_ref *ref)
{
  for (size_t n = 0; n < plc->unplaced_count; n++)
    {
      struct unplaced_task *row = &plc->unplaced[n];
      if (row->ref.job == ref->job && row->ref.occurrence == ref->occurrence
          && row->ref.step == ref->step && row->ref.index == ref->index)
        return row;
    }
  return NULL;
}

/* What the task has to wait for before it may be placed, and in *AWAITED whose
   act or answer that is.  */
static enum place_wait
find_wait (struct placer *plc, struct job *job, const struct task_ref *ref,
           int64_t now_us, const char **awaited)
{
  const struct task *tsk = job_task (job, ref);
  const struct queue *que = catalog_queue (*plc->env.cat, job->queue);
  *awaited = "";
  if (job->contested)
    {
      const struct job *row = job_table_find (plc->env.jobs, job->id);
      *awaited = row == job ? row->next_rival->pool : row->pool;
      return PLACE_WAIT_WITHDRAWAL;
    }
  if (!placer_pool_certain (plc, job, que, now_us))
    return PLACE_WAIT_OTHER_PARTITIONS;
  if (placer_may_still_run (plc, job, tsk))
    {
      *awaited = placer_unreached (plc);
      *awaited = *awaited ? *awaited : "";
      return PLACE_WAIT_EARLIER_OWNER;
    }
  const struct late_tie tie = placer_late_tie (plc, tsk, ref);
  *awaited = tie.id;
  if (tie.place == LATE_PLACE_ANY)
    return PLACE_WAIT_NONE;
  return tie.place == LATE_PLACE_NONE ? PLACE_WAIT_LATE_START
                                      : PLACE_WAIT_PLACE_OF_LATE_START;
}

/* Why a task with TIE may not start on the worker that it is tied to.  */
static const char *
tie_obstacle (const struct placer *plc, const struct late_tie *tie,
              const struct place_request *req)
{
  static const char *const names[PLACE_REASONS] = {
    [PLACE_ALLOWED] = "allowed",   [PLACE_VACATED] = "vacated",
    [PLACE_DRAINING] = "draining", [PLACE_UNAVAILABLE] = "unavailable",
    [PLACE_LABEL] = "label",       [PLACE_BOUND] = "bound",
    [PLACE_NO_ROOM] = "no_room",
  };
  const struct worker *wrk = placer_find_worker (plc, tie->worker);
  if (tie->place == LATE_PLACE_NONE)
    return tie->obstacle;
  return wrk ? names[places_reason (wrk, req)] : "";
}

/* Whether any worker is a place for the task.  Those of one step that have no
   run have the same places.  */
static bool
has_place (struct check *chk, const struct job *job,
           const struct task_ref *ref)
{
  const struct placer *plc = chk->plc;
  const struct place_request req = { .job = job,
                                     .step = &job->spec.steps[ref->step],
                                     .ref = ref,
                                     .now_us = chk->now_us };
  if (chk->place_step == req.step && chk->place_occurrence == ref->occurrence)
    return chk->place_found;
  chk->place_step = req.step;
  chk->place_occurrence = ref->occurrence;
  chk->place_found = false;
  for (size_t n = 0; n < plc->pool.count && !chk->place_found; n++)
    chk->place_found
        = places_reason (plc->pool.workers[n], &req) == PLACE_ALLOWED;
  return chk->place_found;
}

/* What the task, which has no run that a worker has confirmed, waits for now:
   the first condition that it lacks.  */
static enum unplaced_part
find_part (struct check *chk, struct job *job, const struct task_ref *ref,
           const char **awaited)
{
  struct placer *plc = chk->plc;
  const struct task *tsk = job_task (job, ref);
  *awaited = "";
  if (tsk->run)
    {
      *awaited = tsk->run->wrk->rep.id;
      return UNPLACED_START;
    }
  if (tsk->unwanted_runs > 0)
    return UNPLACED_OTHER;
  if (placer_start_obstacle (plc, chk->now_us))
    return UNPLACED_OWNER;
  switch (find_wait (plc, job, ref, chk->now_us, awaited))
    {
    case PLACE_WAIT_WITHDRAWAL:
    case PLACE_WAIT_OTHER_PARTITIONS:
      return UNPLACED_OTHER;
    case PLACE_WAIT_EARLIER_OWNER:
      return UNPLACED_EARLIER_OWNER;
    case PLACE_WAIT_LATE_START:
    case PLACE_WAIT_PLACE_OF_LATE_START:
      return UNPLACED_LATE_START;
    case PLACE_WAIT_NONE:
      break;
    }
  const struct worker *wrk;
  if (chk->now_us < tsk->not_before_us)
    {
      if (tsk->refusals == 0)
        return UNPLACED_OTHER;
      wrk = placer_find_worker (plc, tsk->avoid_worker);
      *awaited = wrk ? wrk->rep.id : "";
      return UNPLACED_START;
    }
  wrk = placer_find_worker (plc, tsk->reserved_worker);
  if (wrk)
    {
      *awaited = wrk->rep.id;
      return UNPLACED_ROOM;
    }
  return has_place (chk, job, ref) ? UNPLACED_OTHER : UNPLACED_NO_PLACE;
}

static void
add_part (struct unplaced_task *row, enum unplaced_part part, int64_t until_us)
{
  if (until_us <= row->counted_us)
    return;
  row->parts_us[part] += until_us - row->counted_us;
  row->counted_us = until_us;
}

/* Counts the time since the last check.  RUN is the task's run, or NULL.  */
static void
count_wait (struct unplaced_task *row, const struct run *run,
            enum unplaced_part part, int64_t now_us)
{
  if (run && run->start_sent_us)
    add_part (row, row->part, run->start_sent_us);
  add_part (row, part, now_us);
  row->part = part;
}

/* Begins to watch the wait of a task.  A wait that this owner has not seen
   begin counts from its claim.  */
static void
begin_wait (const struct check *chk, const struct task *tsk,
            const struct task_ref *ref, struct unplaced_task *row)
{
  *row = (struct unplaced_task){ .ref = *ref, .since_us = chk->now_us };
  int64_t before_us = chk->last_us;
  if (chk->last_us == 0)
    row->since_us = chk->plc->claimed_us;
  if (tsk->run)
    {
      row->since_us = tsk->run->start_sent_us;
      before_us = row->since_us - UNPLACED_CHECK_INTERVAL_US;
    }
  if (tsk->ended_us > before_us)
    {
      row->since_us = tsk->ended_us;
      if (tsk->heard_us > 0)
        row->unheard_us = tsk->ended_us - tsk->heard_us;
    }
  row->counted_us = row->since_us;
  row->told = chk->plc->fenced;
}

/* Whether a wait that is not watched yet is to be.  Most starts are confirmed
   before the next check.  */
static bool
is_to_watch (const struct check *chk, const struct task *tsk)
{
  return chk->plc->unplaced_count < UNPLACED_TASKS_MAX
         && tsk->unwanted_runs == 0
         && (!tsk->run
             || (tsk->run->start_sent_us
                 && chk->now_us - tsk->run->start_sent_us
                        >= UNPLACED_CHECK_INTERVAL_US));
}

static bool
note_task (void *arg, struct job *job, const struct task_ref *ref)
{
  struct check *chk = arg;
  struct placer *plc = chk->plc;
  const struct task *tsk = job_task (job, ref);
  const char *awaited;
  if (tsk->run && tsk->run->confirmed_us)
    return true;
  bool waits = !placer_has_runs (tsk) && chk->now_us >= tsk->not_before_us;
  chk->tasks += waits;
  struct unplaced_task *row = find_unplaced (plc, ref);
  if (!row && is_to_watch (chk, tsk))
    {
      row = &plc->unplaced[plc->unplaced_count++];
      begin_wait (chk, tsk, ref, row);
      row->part = find_part (chk, job, ref, &awaited);
    }
  if (!row)
    return true;
  row->found = true;
  row->waits = waits;
  count_wait (row, tsk->run, find_part (chk, job, ref, &awaited), chk->now_us);
  if (*awaited)
    name_copy (row->awaited, awaited);
  if (row->part == UNPLACED_EARLIER_OWNER)
    row->takeover_us = chk->now_us;
  return true;
}

static void
log_unplaced (const struct check *chk, const struct unplaced_task *row,
              struct job *job)
{
  struct placer *plc = chk->plc;
  uint32_t counts[PLACE_REASONS] = { 0 };
  const struct place_request req = { .job = job,
                                     .step = &job->spec.steps[row->ref.step],
                                     .ref = &row->ref,
                                     .now_us = chk->now_us };
  const struct worker *reserved
      = placer_find_worker (plc, job_task (job, &row->ref)->reserved_worker);
  const char *obstacle = placer_start_obstacle (plc, chk->now_us);
  const char *awaited;
  enum place_wait wait
      = find_wait (plc, job, &row->ref, chk->now_us, &awaited);
  const struct late_tie tie
      = placer_late_tie (plc, job_task (job, &row->ref), &row->ref);
  int64_t left_us = tie.until_us > 0 ? tie.until_us - chk->now_us : 0;
  char name[TASK_NAME_MAX];
  for (size_t n = 0; n < plc->pool.count; n++)
    counts[places_reason (plc->pool.workers[n], &req)]++;
  task_ref_format (&row->ref, name);
  log_event (plc->env.lg, EV_TASK_UNPLACED, LOG_S ("pool", plc->set.pool),
             LOG_S ("task", name),
             LOG_I ("for_ms", (chk->now_us - row->since_us) / 1000),
             LOG_I ("tasks", chk->tasks), LOG_I ("workers", plc->pool.count),
             LOG_I ("vacated", counts[PLACE_VACATED]),
             LOG_I ("draining", counts[PLACE_DRAINING]),
             LOG_I ("unavailable", counts[PLACE_UNAVAILABLE]),
             LOG_I ("label", counts[PLACE_LABEL]),
             LOG_I ("bound", counts[PLACE_BOUND]),
             LOG_I ("no_room", counts[PLACE_NO_ROOM]),
             LOG_I ("allowed", counts[PLACE_ALLOWED]),
             LOG_S ("required_label", req.step->required_label),
             LOG_S ("reserved", reserved ? reserved->rep.id : ""),
             LOG_S ("waits_for", place_wait_names[wait]),
             LOG_S ("awaited", awaited),
             LOG_S ("place", tie_obstacle (plc, &tie, &req)),
             LOG_I ("tie_left_ms", left_us / 1000),
             LOG_S ("owner", obstacle ? obstacle : "ready"));
}

static bool
report_due (const struct placer *plc, const struct unplaced_task *row,
            const struct job *job, int64_t now_us)
{
  const struct task *tsk = job_task ((struct job *)job, &row->ref);
  int64_t least_us
      = tsk->reserved_worker ? UNPLACED_RESERVED_US : UNPLACED_REPORT_US;
  return row->waits && now_us - row->since_us >= least_us
         && (row->reported_us == 0
             || now_us - row->reported_us >= UNPLACED_REPORT_INTERVAL_US);
}

/* Reports the tasks that are due, of those that were reported before or of the
   others.  */
static void
report_tasks (const struct check *chk, bool reported)
{
  struct placer *plc = chk->plc;
  for (size_t n = 0; n < plc->unplaced_count; n++)
    {
      struct unplaced_task *row = &plc->unplaced[n];
      struct job *job = placer_find_job (plc, row->ref.job);
      if ((row->reported_us > 0) != reported || !job
          || !report_due (plc, row, job, chk->now_us))
        continue;
      uint32_t *reports = job_task (job, &row->ref)->late_starts > 0
                              ? &plc->unplaced_late_reports
                              : &plc->unplaced_reports;
      if (*reports >= UNPLACED_REPORTS_MAX)
        continue;
      if (plc->unplaced_reports + plc->unplaced_late_reports == 0)
        plc->unplaced_reports_us = chk->now_us;
      ++*reports;
      row->reported_us = chk->now_us;
      log_unplaced (chk, row, job);
    }
}

static void
count_part (struct placer *plc, const struct unplaced_task *row,
            enum unplaced_part part, enum histogram_id id)
{
  if (row->parts_us[part] > 0)
    counter_add_time (plc->env.ctr, id, row->parts_us[part]);
}

/* Logs the end of a wait, and counts it if it has ended with a start.  LATE:
   it counts against the platform's rule.  */
static void
tell_end (struct placer *plc, struct unplaced_task *row, const char *outcome,
          bool started, bool late)
{
  int64_t parts_ms[UNPLACED_PARTS];
  int64_t total_us = 0, total_ms = 0;
  enum unplaced_part longest = UNPLACED_EARLIER_OWNER;
  char name[TASK_NAME_MAX];
  if (row->told)
    return;
  row->told = true;
  for (enum unplaced_part n = 0; n < UNPLACED_PARTS; n++)
    {
      parts_ms[n] = row->parts_us[n] / 1000;
      total_ms += parts_ms[n];
      total_us += row->parts_us[n];
      if (row->parts_us[n] > row->parts_us[longest])
        longest = n;
    }
  if (started)
    {
      counter_add_time (plc->env.ctr, HST_TASK_UNPLACED, total_us);
      count_part (plc, row, UNPLACED_EARLIER_OWNER,
                  HST_UNPLACED_EARLIER_OWNER);
      count_part (plc, row, UNPLACED_NO_PLACE, HST_UNPLACED_NO_PLACE);
      count_part (plc, row, UNPLACED_START, HST_UNPLACED_START);
    }
  if (total_us < UNPLACED_REPORT_US)
    return;
  task_ref_format (&row->ref, name);
  log_event (
      plc->env.lg,
      late && total_us > RESTART_MAX_US ? EV_TASK_PLACED_LATE : EV_TASK_PLACED,
      LOG_S ("pool", plc->set.pool), LOG_S ("task", name),
      LOG_S ("outcome", outcome), LOG_I ("for_ms", total_ms),
      LOG_S ("longest", part_names[longest]),
      LOG_I ("earlier_owner_ms", parts_ms[UNPLACED_EARLIER_OWNER]),
      LOG_I ("late_start_ms", parts_ms[UNPLACED_LATE_START]),
      LOG_I ("no_place_ms", parts_ms[UNPLACED_NO_PLACE]),
      LOG_I ("room_ms", parts_ms[UNPLACED_ROOM]),
      LOG_I ("owner_ms", parts_ms[UNPLACED_OWNER]),
      LOG_I ("start_ms", parts_ms[UNPLACED_START]),
      LOG_I ("other_ms", parts_ms[UNPLACED_OTHER]),
      LOG_S ("awaited", row->awaited),
      LOG_I ("unheard_ms", row->unheard_us / 1000),
      LOG_I ("takeover_ms", row->takeover_us
                                ? (row->takeover_us - plc->claimed_us) / 1000
                                : 0),
      LOG_I ("owned_ms",
             (clock_now_us (plc->env.clk) - plc->claimed_us) / 1000));
}

/* Ends a wait; OUTCOME is that of one without a run.  */
static void
end_wait (struct placer *plc, struct unplaced_task *row, const char *outcome,
          int64_t now_us)
{
  struct job *job = placer_find_job (plc, row->ref.job);
  const struct task *tsk = job ? job_task (job, &row->ref) : NULL;
  const struct run *run = tsk && !job_ended (job) ? tsk->run : NULL;
  if (!run || !run->confirmed_us)
    {
      add_part (row, row->part, now_us);
      tell_end (plc, row, outcome, false, true);
      return;
    }
  /* A run of an earlier owner has no start here.  */
  bool started = run->start_sent_us > 0;
  count_wait (row, run, started ? UNPLACED_START : row->part,
              run->confirmed_us);
  tell_end (plc, row, started ? "started" : "found", started, started);
}

void
placer_hand_over_unplaced (struct placer *plc)
{
  int64_t now_us = clock_now_us (plc->env.clk);
  for (size_t n = 0; n < plc->unplaced_count; n++)
    end_wait (plc, &plc->unplaced[n], "handed_over", now_us);
}

void
placer_check_unplaced (struct placer *plc, int64_t now_us)
{
  struct check chk = { .plc = plc,
                       .now_us = now_us,
                       .last_us = plc->last_unplaced_check_us };
  size_t kept = 0;
  if (now_us < plc->last_unplaced_check_us + UNPLACED_CHECK_INTERVAL_US)
    return;
  plc->last_unplaced_check_us = now_us;
  for (size_t n = 0; n < plc->unplaced_count; n++)
    plc->unplaced[n].found = false;
  places_each_task (plc, note_task, &chk);
  for (size_t n = 0; n < plc->unplaced_count; n++)
    if (plc->unplaced[n].found)
      plc->unplaced[kept++] = plc->unplaced[n];
    else
      end_wait (plc, &plc->unplaced[n], "ended", now_us);
  plc->unplaced_count = kept;
  if (plc->fenced)
    placer_hand_over_unplaced (plc);
  if (now_us - plc->unplaced_reports_us >= UNPLACED_REPORT_INTERVAL_US)
    plc->unplaced_reports = plc->unplaced_late_reports = 0;
  report_tasks (&chk, false);
  report_tasks (&chk, true);
}
