#include "test/soak/judge.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "test/soak/store.h"
#include "test/soak/worker.h"

#define STILL_MS 3000
#define CALM_MS 7000          /* the 3 s and the 4 s before them */
#define PERPETUAL_GAP_MS 6000 /* since the item's last run */
/* The longest time that an item of a standing job may be without a run while
   there are places for it: after calm moments, and in all.  The second leaves
   time for owners that are paused or killed one after the other.  */
#define BARE_CALM_MAX_MS 4000
#define BARE_MAX_MS 12000
#define BARE_LOOK_MAX_MS 500 /* a longer pause is a gap of the loop */
#define RULES_MAX 16
/* A run of a standing job fails after this time.  */
#define STANDING_MIN_MS 3000
#define STANDING_MAX_MS 40000

struct impairment
{
  enum impaired what;
  int index;
  int64_t from, until; /* 0: lasts */
};

struct rule_count
{
  const char *rule;
  size_t count;
};

/* Rules that are told once for a job.  */
enum told
{
  TOLD_GONE,
  TOLD_STATE,
  TOLD_STILL,
  TOLD_MIXED,
  TOLD_FINAL,
  TOLD_LATE_START,
  TOLD_RUNS_ON,
  TOLD_BARE,
};

struct job *jobs;

/* A version of the config, the oldest first.  */
struct version
{
  int number;
  unsigned routes;
  int64_t confirmed;
};

static struct version *versions;
static size_t version_count, version_size;
static struct impairment *spans;
static size_t span_count, span_size;
static struct rule_count rules[RULES_MAX];
static size_t rule_count, broken_count, start_count;
static int last_starter = -1;

void
judge_broken (const char *rule, const char *format, ...)
{
  char text[700];
  va_list args;
  va_start (args, format);
  vsnprintf (text, sizeof text, format, args);
  va_end (args);
  soak_log ("BROKEN %s: %s", rule, text);
  broken_count++;
  size_t n = 0;
  while (n < rule_count && strcmp (rules[n].rule, rule) != 0)
    n++;
  if (n == RULES_MAX)
    return;
  if (n == rule_count)
    rules[rule_count++].rule = rule;
  rules[n].count++;
}

/* Impairments  */

size_t
impair_begin (enum impaired what, int index)
{
  if (span_count == span_size)
    {
      span_size = span_size ? span_size * 2 : 64;
      spans = realloc (spans, span_size * sizeof *spans);
    }
  spans[span_count] = (struct impairment){ .what = what,
                                           .index = index,
                                           .from = soak_ms () };
  return span_count++;
}

void
impair_end (size_t number)
{
  spans[number].until = soak_ms ();
}

void
impair_span (enum impaired what, int index, int64_t from, int64_t until)
{
  size_t number = impair_begin (what, index);
  spans[number].from = from;
  spans[number].until = until;
}

static bool
overlaps (const struct impairment *span, int64_t from, int64_t until)
{
  return span->from <= until && (!span->until || span->until >= from);
}

static bool
concerns (const struct impairment *span, int process)
{
  switch (span->what)
    {
    case IMPAIRED_STORE:
    case IMPAIRED_ALL:
      return true;
    case IMPAIRED_PROCESS:
    case IMPAIRED_STOP:
      return span->index == process;
    default:
      return false;
    }
}

bool
in_touch (int process, int64_t from, int64_t until)
{
  for (size_t n = 0; n < span_count; n++)
    if (concerns (&spans[n], process)
        && overlaps (&spans[n], from - CONTACT_MS, until))
      return false;
  return true;
}

bool
calm (int64_t from, int64_t until)
{
  for (size_t n = 0; n < span_count; n++)
    if (overlaps (&spans[n], from, until))
      return false;
  return true;
}

/* Work items  */

struct job *
job_find (const char *task)
{
  char id[17];
  struct job *job;
  snprintf (id, sizeof id, "%.16s", task);
  HASH_FIND_STR (jobs, id, job);
  return job;
}

/* Returns the work item that TASK names, or NULL.  */
static struct task_fact *
find_task (struct job *job, const char *task, int *step)
{
  int item = -1, occurrence = -1;
  if (strlen (task) < 17
      || sscanf (task + 16, ".%d.%d.%d", &occurrence, step, &item) != 3
      || occurrence != 0 || *step < 0 || *step >= job->step_count || item < 0
      || item >= job->steps[*step].count)
    return NULL;
  return &job->tasks[*step][item];
}

/* Whether a run ended done.  NOTED: only if the end was taken note of.  */
static bool
has_done (const struct task_fact *task, bool noted)
{
  for (const struct run_fact *run = task->runs; run; run = run->next)
    if (run->ended && strcmp (run->how, "done") == 0
        && (!noted || run->noted || run->listed))
      return true;
  return false;
}

static bool
runs_now (const struct task_fact *task)
{
  for (const struct run_fact *run = task->runs; run; run = run->next)
    if (!run->ended)
      return true;
  return false;
}

static bool
runs_on (const struct task_fact *task, const char *worker)
{
  for (const struct run_fact *run = task->runs; run; run = run->next)
    if (!run->ended && strcmp (run->worker, worker) == 0)
      return true;
  return false;
}

static const char *
name_of (int process)
{
  static char names[4][24];
  static unsigned turn;
  char *name = names[turn++ % 4];
  if (process < 0)
    snprintf (name, sizeof names[0], "(unknown)");
  else
    snprintf (name, sizeof names[0], "p-%02d", process);
  return name;
}

/* Whether all work items of the step have ended done.  */
static bool
step_done (const struct job *job, int step, bool noted)
{
  for (int n = 0; n < job->steps[step].count; n++)
    if (!has_done (&job->tasks[step][n], noted))
      return false;
  return true;
}

/* The checks of a start that a job of a client explains.  */
static void
check_start (struct job *job, const struct task_fact *task, int step,
             const struct start *start, int starter)
{
  int64_t now = soak_ms ();
  const char *who = name_of (starter);
  if (!start->spec || strcmp (start->spec, job->spec) != 0)
    judge_broken ("UNASKED",
                  "%s run %ld starts on %s by %s with the spec \"%.40s\", not "
                  "\"%s\"",
                  start->task, (long)start->number, start->worker, who,
                  start->spec ? start->spec : "", job->spec);
  if (start->saved && *start->saved)
    judge_broken ("UNASKED", "%s starts on %s by %s with saved \"%.40s\"",
                  start->task, start->worker, who, start->saved);
  if (start->pool != job->pool)
    judge_broken ("ROUTE", "%s of %s starts on %s by %s", start->task,
                  pool_name (job->pool), start->worker, who);
  for (int n = 0; n < step; n++)
    if (!step_done (job, n, false))
      judge_broken ("ORDER", "%s starts on %s by %s before step %d has ended",
                    start->task, start->worker, who, n);
  for (const struct run_fact *run = task->runs; run; run = run->next)
    if (!run->ended)
      judge_broken (
          "TWICE",
          "%s run %ld starts on %s by %s (token %ld%s) while run %ld "
          "is under way on %s since %.3f, started by %s (token %ld%s)",
          start->task, (long)start->number, start->worker, who,
          (long)start->token, start->late ? ", late" : "", (long)run->number,
          run->worker, (double)run->started / 1000, name_of (run->starter),
          (long)run->token, run->late ? ", late" : "");
  int beside = 0;
  for (int n = 0; n < job->steps[step].count; n++)
    beside += runs_on (&job->tasks[step][n], start->worker);
  if (job->steps[step].bound && beside >= job->steps[step].bound)
    judge_broken ("LIMIT", "%s starts on %s by %s beside %d of its step",
                  start->task, start->worker, who, beside);
  if (job->cancelled && now > job->cancelled + CANCEL_MS && !start->late
      && starter >= 0 && in_touch (starter, now, now)
      && !job->told[TOLD_LATE_START])
    {
      job->told[TOLD_LATE_START] = true;
      judge_broken ("UNASKED",
                    "%s starts on %s by %s, %ld ms after its cancel was "
                    "acknowledged",
                    start->task, start->worker, who,
                    (long)(now - job->cancelled));
    }
}

struct run_fact *
judge_start (const struct start *start)
{
  struct job *job = job_find (start->task);
  int step = 0, starter = store_claimant (start->token);
  struct task_fact *task = job ? find_task (job, start->task, &step) : NULL;
  start_count++;
  last_starter = starter;
  if (!task)
    {
      judge_broken ("UNASKED", "%.60s starts on %s by %s; no client sent it",
                    start->task, start->worker, name_of (starter));
      return NULL;
    }
  check_start (job, task, step, start, starter);
  struct run_fact *run = calloc (1, sizeof *run);
  *run = (struct run_fact){ .next = task->runs,
                            .number = start->number,
                            .started = soak_ms (),
                            .token = start->token,
                            .starter = starter,
                            .late = start->late };
  snprintf (run->worker, sizeof run->worker, "%s", start->worker);
  task->runs = run;
  return run;
}

int
judge_last_starter (void)
{
  return last_starter;
}

void
judge_end (struct run_fact *run, const char *how)
{
  if (!run)
    return;
  run->ended = soak_ms ();
  run->how = how;
}

int64_t
judge_work_ms (const char *name, int64_t number, bool *fails)
{
  struct job *job = job_find (name);
  int step = 0;
  struct task_fact *task = job ? find_task (job, name, &step) : NULL;
  *fails = false;
  if (!task)
    return 1000;
  int64_t work = job->steps[step].work_ms;
  if (job->standing)
    {
      struct rng rng = rng_make ((uint64_t)number, name);
      *fails = true;
      return soak_between (&rng, STANDING_MIN_MS, STANDING_MAX_MS);
    }
  /* Only the first run of a work item fails, so that no job has a cause to be
     shown as failed.  */
  if (task->runs && task->runs->next)
    return work;
  unsigned mark = 0;
  for (const char *pos = name; *pos; pos++)
    mark = mark * 31 + (unsigned char)*pos;
  *fails = mark % 100 < (work < 0 ? 30 : 4);
  return *fails && work < 0 ? 1000 + mark % 5000 : work;
}

/* States  */

static void
check_state (struct job *job, const struct reading *read)
{
  const char *who = name_of (read->process);
  if (!*read->state)
    judge_broken ("MIXED", "job %s: %s shows a state that can't be read",
                  job->id, who);
  if (strcmp (read->state, "completed") == 0 && !job->told[TOLD_MIXED])
    for (int n = 0; n < job->step_count; n++)
      if (!step_done (job, n, false))
        {
          job->told[TOLD_MIXED] = true;
          judge_broken ("MIXED",
                        "job %s: %s shows completed, step %d has not ended",
                        job->id, who, n);
          break;
        }
  bool no_cause
      = strcmp (read->state, "failed") == 0
        || (strcmp (read->state, "cancelled") == 0 && !job->cancel_sent);
  if (no_cause && job->accepted && !job->told[TOLD_STATE])
    {
      job->told[TOLD_STATE] = true;
      judge_broken ("LOST", "job %s, accepted at %.3f by %s: %s shows %s",
                    job->id, (double)job->accepted / 1000,
                    name_of (job->accepted_by), who, read->state);
    }
}

/* Whether a process may have forgotten the job.  */
static bool
may_be_forgotten (const struct job *job)
{
  return job->completed
         && soak_ms () > job->completed + STATUS_MS - CONTACT_MS;
}

void
judge_reading (struct job *job, const struct reading *read)
{
  if (read->status == 200)
    check_state (job, read);
  if (read->status != 410 || !job->accepted || job->cancel_sent || job->route
      || job->told[TOLD_GONE] || may_be_forgotten (job)
      || read->sent <= job->accepted + VISIBLE_MS
      || !in_touch (read->process, read->sent, soak_ms ()))
    return;
  job->told[TOLD_GONE] = true;
  judge_broken ("LOST", "gone: job %s, accepted at %.3f by %s: %s answers 410",
                job->id, (double)job->accepted / 1000,
                name_of (job->accepted_by), name_of (read->process));
}

void
judge_unknown (const char *id, const struct reading *read)
{
  if (read->status == 200)
    judge_broken ("MIXED", "%s shows job %s as \"%s\"; nobody sent it",
                  name_of (read->process), id, read->state);
}

/* Versions of the config  */

void
judge_config (int version, unsigned routes)
{
  if (version_count == version_size)
    {
      version_size = version_size ? version_size * 2 : 64;
      versions = realloc (versions, version_size * sizeof *versions);
    }
  versions[version_count++] = (struct version){ .number = version,
                                                .routes = routes,
                                                .confirmed = soak_ms () };
}

static bool
version_has (const struct version *ver, int route)
{
  return route == 0 || (route != ROUTE_NEVER && ver->routes & 1U << route);
}

/* An answer has to be that of the newest version that was confirmed over
   config-apply-ms before the request, or of a later one.  */
void
judge_route (const struct route_answer *ans)
{
  bool has = ans->status / 100 == 2;
  size_t first = version_count;
  if (!has && ans->status != 404)
    return;
  while (first > 0)
    {
      const struct version *ver = &versions[--first];
      if (version_has (ver, ans->route) == has)
        return;
      if (ver->confirmed + CONFIG_APPLY_MS < ans->sent)
        break;
    }
  if (!in_touch (ans->process, ans->sent, soak_ms ()))
    return;
  judge_broken ("CONFIG",
                "%s, sent at %.3f: %s answers %d, as only a version before %d "
                "allows, confirmed at %.3f, %ld ms before",
                ans->what, (double)ans->sent / 1000, name_of (ans->process),
                ans->status, versions[first].number,
                (double)versions[first].confirmed / 1000,
                (long)(ans->sent - versions[first].confirmed));
}

void
judge_no_answer (const struct route_answer *ans, bool broken)
{
  int64_t now = soak_ms ();
  bool stopping = false;
  if (!broken || now <= ans->sent + LOSS_SLACK_MS)
    return;
  for (size_t n = 0; n < span_count; n++)
    if (!concerns (&spans[n], ans->process))
      continue;
    else if (spans[n].what != IMPAIRED_STOP)
      {
        if (overlaps (&spans[n], ans->sent - CONTACT_MS, now))
          return;
      }
    else if (overlaps (&spans[n], now, now))
      stopping = true;
  if (stopping)
    judge_broken ("LOST",
                  "%s, sent at %.3f: %s, which was told to stop, ends the "
                  "connection without an answer",
                  ans->what, (double)ans->sent / 1000, name_of (ans->process));
}

/* Jobs that wait  */

static bool
is_owed (struct job *job)
{
  return job->accepted && !job->cancel_sent && !job->route;
}

/* Whether there is room for the work item twice over and under half of the
   pool is in use.  */
static bool
has_room (const struct job *job, int step)
{
  int64_t all, used;
  int64_t most = worker_room (job->pool, &all, &used);
  return most >= 2 * job->steps[step].cpu && used * 2 < all;
}

/* The step with a work item whose turn has come, or -1.  An end that a worker
   has listed may be known.  */
static int
due_step (const struct job *job)
{
  for (int n = 0; n < job->step_count; n++)
    if (!step_done (job, n, true))
      return n;
  return -1;
}

static bool
job_runs (const struct job *job)
{
  for (int n = 0; n < job->step_count; n++)
    for (int m = 0; m < job->steps[n].count; m++)
      if (runs_now (&job->tasks[n][m]))
        return true;
  return false;
}

static void
tell_still (struct job *job, int step, int64_t since)
{
  if (job->told[TOLD_STILL])
    return;
  job->told[TOLD_STILL] = true;
  judge_broken ("LOST",
                "still: job %s, accepted at %.3f by %s: nothing of step %d "
                "runs since %.3f",
                job->id, (double)job->accepted / 1000,
                name_of (job->accepted_by), step, (double)since / 1000);
}

static void
check_still (struct job *job, int64_t now)
{
  int step = due_step (job);
  if (step < 0 || job_runs (job) || !has_room (job, step))
    job->still_since = 0;
  else if (!job->still_since)
    job->still_since = now;
  else if (now - job->still_since > STILL_MS && calm (now - CALM_MS, now))
    tell_still (job, step, job->still_since);
}

/* Each work item that lasts, at any time.  */
static void
check_perpetual (struct job *job, int64_t now)
{
  for (int n = 0; n < job->steps[0].count; n++)
    {
      const struct task_fact *task = &job->tasks[0][n];
      const struct run_fact *last = task->runs;
      int64_t idle = job->accepted;
      if (last && last->ended > idle)
        idle = last->ended;
      if (runs_now (task) || !has_room (job, 0)
          || (last && now - idle < PERPETUAL_GAP_MS))
        job->still_item[n] = 0;
      else if (!job->still_item[n])
        job->still_item[n] = now;
      else if (now - job->still_item[n] > STILL_MS
               && calm (now - CALM_MS, now))
        tell_still (job, 0, idle);
    }
}

/* Each work item of a standing job.  With as many places as items, an item
   that does not run finds a worker with fewer siblings than its bound.  */
static void
check_standing (struct job *job, int64_t now)
{
  const struct step *step = &job->steps[0];
  bool places = worker_places (job->pool) * step->bound >= step->count;
  /* Machines that the system itself has moved away are no excuse.  */
  bool moved = worker_machines (job->pool) * step->bound < step->count;
  int64_t ms = now - job->bare_look;
  job->bare_look = now;
  if (ms > BARE_LOOK_MAX_MS)
    return;
  for (int n = 0; n < step->count; n++)
    {
      if (runs_now (&job->tasks[0][n]))
        job->bare_ms[n] = job->bare_calm_ms[n] = 0;
      else if (places || moved)
        {
          job->bare_ms[n] += ms;
          if (places && calm (now - CONTACT_MS, now))
            job->bare_calm_ms[n] += ms;
        }
      if (job->bare_ms[n] > job->bare_most_ms)
        job->bare_most_ms = job->bare_ms[n];
      if (job->bare_calm_ms[n] > job->bare_calm_most_ms)
        job->bare_calm_most_ms = job->bare_calm_ms[n];
      if (job->told[TOLD_BARE] || job->completed
          || (job->bare_ms[n] <= BARE_MAX_MS
              && job->bare_calm_ms[n] <= BARE_CALM_MAX_MS))
        continue;
      job->told[TOLD_BARE] = true;
      judge_broken (
          "LOST",
          "bare: %s.0.0.%d is to last, does not run for %ld ms "
          "(%ld ms calm), and %s has places for %d and machines for %d",
          job->id, n, (long)job->bare_ms[n], (long)job->bare_calm_ms[n],
          pool_name (job->pool), worker_places (job->pool) * step->bound,
          worker_machines (job->pool) * step->bound);
    }
}

/* A work item of a cancelled job has to be gone after any stretch of
   cancel_ms + stop-ms with no impairment near.  */
static void
check_cancelled (struct job *job, int64_t now)
{
  int64_t limit = job->cancelled + CANCEL_MS + STOP_MS;
  if (now <= limit || job->told[TOLD_RUNS_ON] || !job_runs (job)
      || !calm (now - CANCEL_MS - STOP_MS - CONTACT_MS, now))
    return;
  for (int n = 0; n < job->step_count; n++)
    for (int m = 0; m < job->steps[n].count; m++)
      for (const struct run_fact *run = job->tasks[n][m].runs; run;
           run = run->next)
        if (!run->ended && !job->told[TOLD_RUNS_ON]
            && (!run->late || now > run->started + CONTACT_MS))
          {
            job->told[TOLD_RUNS_ON] = true;
            judge_broken ("UNASKED",
                          "%s.0.%d.%d run %ld runs on at %s, cancelled at "
                          "%.3f",
                          job->id, n, m, (long)run->number, run->worker,
                          (double)job->cancelled / 1000);
          }
}

void
judge_tick (bool finishing)
{
  int64_t now = soak_ms ();
  for (struct job *job = jobs; job; job = job->hh.next)
    {
      if (job->cancelled)
        check_cancelled (job, now);
      if (!job->completed && due_step (job) < 0)
        job->completed = now;
      if (!is_owed (job) || job->completed)
        continue;
      if (job->standing)
        check_standing (job, now);
      if (job->perpetual)
        check_perpetual (job, now);
      if (finishing)
        check_still (job, now);
    }
}

/* The whole run  */

static void
check_task (const struct job *job, int step, int item)
{
  const char *id = job->id;
  const struct task_fact *task = &job->tasks[step][item];
  for (const struct run_fact *run = task->runs; run; run = run->next)
    {
      int failed = 0;
      for (const struct run_fact *old = run->next; old; old = old->next)
        {
          if (!old->ended || !old->noted || run->started <= old->ended)
            continue;
          failed += strcmp (old->how, "failed") == 0;
          if (strcmp (old->how, "done") == 0)
            judge_broken ("TWICE",
                          "%s.0.%d.%d run %ld started at %.3f on %s by %s%s; "
                          "run %ld%s ended done at %.3f on %s, noted at %.3f",
                          id, step, item, (long)run->number,
                          (double)run->started / 1000, run->worker,
                          name_of (run->starter), run->late ? ", late" : "",
                          (long)old->number, old->late ? ", late," : "",
                          (double)old->ended / 1000, old->worker,
                          (double)old->noted / 1000);
        }
      /* Perpetual tasks are started again however they end.  */
      if (failed >= ATTEMPTS && !job->perpetual)
        judge_broken ("BUDGET", "%s.0.%d.%d starts after %d failed runs", id,
                      step, item, failed);
    }
}

static void
check_refused (const struct job *job)
{
  const struct run_fact *first = NULL;
  if (!job->tries || job->rejected != job->tries)
    return;
  for (int n = 0; n < job->step_count && !first; n++)
    for (int m = 0; m < job->steps[n].count && !first; m++)
      first = job->tasks[n][m].runs;
  if (first)
    judge_broken ("REFUSED",
                  "job %s: all %d tries were turned away, and it was started "
                  "at %.3f on %s by %s",
                  job->id, job->tries, (double)first->started / 1000,
                  first->worker, name_of (first->starter));
}

static void
check_known (struct job *job)
{
  if (!is_owed (job) || may_be_forgotten (job) || job->final_known
      || job->told[TOLD_GONE])
    return;
  judge_broken ("LOST",
                "asked at the end: job %s, accepted at %.3f by %s, is not "
                "known or gets no answer",
                job->id, (double)job->accepted / 1000,
                name_of (job->accepted_by));
}

/* After a calm stretch, not more than a fifth of the ends that workers list
   may be left.  */
static void
check_acks (void)
{
  size_t listed = 0, left = 0;
  for (size_t n = 0; n < worker_count; n++)
    if (workers[n].up)
      {
        listed += (size_t)workers[n].last_end;
        left += workers[n].end_count;
      }
  if (left * 5 > listed)
    judge_broken ("ACKS", "%zu of %zu ends were not taken note of", left,
                  listed);
}

size_t
judge_finish (void)
{
  size_t sent = 0, accepted = 0, rejected = 0, completed = 0, cancelled = 0;
  for (struct job *job = jobs; job; job = job->hh.next)
    {
      sent++;
      accepted += job->accepted != 0;
      rejected += job->tries && job->rejected == job->tries;
      completed += job->completed != 0;
      cancelled += job->cancelled != 0;
      check_refused (job);
      check_known (job);
      for (int n = 0; n < job->step_count; n++)
        for (int m = 0; m < job->steps[n].count; m++)
          check_task (job, n, m);
      if (job->standing)
        soak_log ("standing job %s: an item was without a run for %ld ms at "
                  "most, %ld ms calm",
                  job->id, (long)job->bare_most_ms,
                  (long)job->bare_calm_most_ms);
    }
  check_acks ();
  soak_log ("jobs: %zu sent, %zu accepted, %zu turned away by all tries, %zu "
            "completed, %zu cancelled; %zu starts",
            sent, accepted, rejected, completed, cancelled, start_count);
  for (size_t n = 0; n < rule_count; n++)
    soak_log ("broken: %s %zu", rules[n].rule, rules[n].count);
  return broken_count;
}
