#include "sched/job_order.h"

/* Lower ranks are served first.  */
enum job_rank
{
  RANK_PERPETUAL, /* has perpetual tasks that do not just fill idle CPU */
  RANK_IN_TIME,   /* can still meet its goal */
  RANK_WAITED,    /* perhaps not, as it has waited for long */
  RANK_LATE,
  RANK_TOO_LATE, /* cannot end before a late result loses its value */
};

/* A late result has lost its value after this multiple of the time that the
   goal leaves.  */
#define LATE_VALUE_FACTOR 3
/* Part of its slack, in thousandths, that a job has to have left when it is
   started.  */
#define START_SLACK_PERMILLE 700

static int64_t
critical_path_ms (const struct job *job, uint32_t occurrence,
                  bool unfinished_only, int64_t scale)
{
  const struct occurrence *occ = &job->occurrences[occurrence];
  int64_t ends[JOB_STEPS_MAX];
  int64_t longest = 0;
  for (size_t n = 0; n < job->spec.step_count; n++)
    {
      const struct step *stp = &job->spec.steps[n];
      int64_t begin = 0;
      for (size_t m = 0; m < stp->after_count; m++)
        if (ends[stp->after[m]] > begin)
          begin = ends[stp->after[m]];
      bool left = !unfinished_only || occ->step_done[n] < stp->count;
      ends[n] = begin + (left ? stp->estimate_ms * scale / 1000 : 0);
      if (ends[n] > longest)
        longest = ends[n];
    }
  return longest;
}

int64_t
job_order_critical_path_ms (const struct job *job, uint32_t occurrence,
                            int64_t scale)
{
  return critical_path_ms (job, occurrence, true, scale);
}

int64_t
job_order_goal_ms (const struct job *job, double stretch, int64_t extra_ms,
                   int64_t scale)
{
  int64_t chain = critical_path_ms (job, 0, false, scale);
  return job->accepted_ms + (int64_t)(stretch * (double)chain) + extra_ms;
}

static bool
has_serving_step (const struct job *job)
{
  for (size_t n = 0; n < job->spec.step_count; n++)
    if (job->spec.steps[n].perpetual && !job->spec.steps[n].best_effort)
      return true;
  return false;
}

static bool
is_past_use (const struct job *job, int64_t path_ms, int64_t wall_ms)
{
  int64_t span_ms = job->goal_ms - job->accepted_ms;
  return wall_ms + path_ms > job->accepted_ms + LATE_VALUE_FACTOR * span_ms;
}

bool
job_order_is_past_use (const struct job *job, int64_t scale, int64_t wall_ms)
{
  return !has_serving_step (job)
         && is_past_use (job, job_order_critical_path_ms (job, 0, scale),
                         wall_ms);
}

int64_t
job_order_wait_max_ms (const struct job *job, int64_t scale)
{
  return LATE_VALUE_FACTOR * (job->goal_ms - job->accepted_ms)
         - critical_path_ms (job, 0, false, scale);
}

struct job_order_key
job_order_key_make (const struct job *job, uint32_t priority, int64_t scale,
                    int64_t wall_ms)
{
  struct job_order_key key = { .rank = RANK_IN_TIME, .priority = priority };
  int64_t path_ms = job_order_critical_path_ms (job, 0, scale);
  int64_t span_ms = job->goal_ms - job->accepted_ms;
  int64_t slack_ms = job->goal_ms - wall_ms - path_ms;
  int64_t part = span_ms > path_ms ? slack_ms * 1000 / (span_ms - path_ms) : 0;
  key.unstarted = !job->started;
  key.slack = job->started ? slack_ms : part;
  if (has_serving_step (job))
    key.rank = RANK_PERPETUAL;
  else if (is_past_use (job, path_ms, wall_ms))
    {
      key.rank = RANK_TOO_LATE;
      key.past_use = true;
    }
  else if (slack_ms < 0)
    key.rank = RANK_LATE;
  else if (!job->started && part < START_SLACK_PERMILLE)
    {
      key.rank = RANK_WAITED;
      key.slack = 1000 - part;
    }
  return key;
}

int
job_order_key_compare (const struct job_order_key *a,
                       const struct job_order_key *b)
{
  if (a->rank != b->rank)
    return a->rank < b->rank ? -1 : 1;
  if (a->priority != b->priority)
    return a->priority < b->priority ? -1 : 1;
  if (a->unstarted != b->unstarted)
    return a->unstarted ? 1 : -1;
  if (a->slack != b->slack)
    return a->slack < b->slack ? -1 : 1;
  return 0;
}
