#include "sched/order.h"

enum order_rank
{
  RANK_LASTING,
  RANK_IN_TIME,
  RANK_LATE,
};

static int64_t
chain_ms (const struct job *job, uint32_t occurrence, bool only_left,
          int64_t scale)
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
      bool left = !only_left || occ->step_done[n] < stp->count;
      ends[n] = begin + (left ? stp->estimate_ms * scale / 1000 : 0);
      if (ends[n] > longest)
        longest = ends[n];
    }
  return longest;
}

int64_t
order_chain_ms (const struct job *job, uint32_t occurrence, int64_t scale)
{
  return chain_ms (job, occurrence, true, scale);
}

int64_t
order_goal_ms (const struct job *job, double stretch, int64_t extra_ms,
               int64_t scale)
{
  int64_t chain = chain_ms (job, 0, false, scale);
  return job->accepted_ms + (int64_t)(stretch * (double)chain) + extra_ms;
}

struct order_key
order_key_make (const struct job *job, uint32_t priority, int64_t scale,
                int64_t wall_ms)
{
  struct order_key key = { .rank = RANK_IN_TIME, .priority = priority };
  bool lasting = false;
  for (size_t n = 0; n < job->spec.step_count; n++)
    lasting = lasting
              || (job->spec.steps[n].perpetual && !job->spec.steps[n].fills);
  key.slack_ms = job->goal_ms - wall_ms - order_chain_ms (job, 0, scale);
  if (lasting)
    key.rank = RANK_LASTING;
  else if (key.slack_ms < 0)
    key.rank = RANK_LATE;
  return key;
}

int
order_key_compare (const struct order_key *a, const struct order_key *b)
{
  if (a->rank != b->rank)
    return a->rank < b->rank ? -1 : 1;
  if (a->priority != b->priority)
    return a->priority < b->priority ? -1 : 1;
  if (a->slack_ms != b->slack_ms)
    return a->slack_ms < b->slack_ms ? -1 : 1;
  return 0;
}
