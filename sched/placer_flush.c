#include <talloc.h>

#include "base/clock.h"
#include "base/counter.h"
#include "base/log.h"
#include "job/job_codec.h"
#include "sched/placer_priv.h"

/* Appends the progress of jobs to the log.  A worker is told to forget the end
   of a run only when the effects of that end are in the log.  */

/* Least time between appends, so that one append holds several ends.  */
#define FLUSH_INTERVAL_MIN_US 30000
/* Most progress records in one append.  */
#define FLUSH_JOBS_MAX 100

void
placer_mark_dirty (struct placer *plc, struct job *job)
{
  if (job->dirty)
    return;
  job->dirty = true;
  job->next_dirty = NULL;
  if (plc->last_dirty)
    plc->last_dirty->next_dirty = job;
  else
    plc->first_dirty = job;
  plc->last_dirty = job;
  plc->dirty_count++;
}

/* An end is durable once the progress of all jobs that it changed is in the
   log.  As more jobs may be dirty than one append takes, and others become
   dirty meanwhile, the ends known now are durable once the jobs that are dirty
   now have been appended, which come first in the list.  */
static void
cover_ends (struct placer *plc)
{
  for (size_t n = 0; n < plc->pool.count; n++)
    plc->pool.workers[n]->flushing_end = plc->pool.workers[n]->applied_end;
  plc->covered_jobs = plc->dirty_count;
}

/* Records that the ends up to flushing_end are in the log, if they are.  */
static void
mark_ends_durable (struct placer *plc)
{
  if (plc->covered_jobs > 0)
    return;
  for (size_t n = 0; n < plc->pool.count; n++)
    {
      struct worker *wrk = plc->pool.workers[n];
      if (wrk->flushing_end > wrk->durable_end)
        {
          wrk->durable_end = wrk->flushing_end;
          wrk->next_hold_us = wrk->hold_not_before_us;
        }
    }
}

static void
on_persisted (void *arg, enum persist_outcome out)
{
  struct placer *plc = arg;
  plc->flushing = false;
  if (!plc->closing && out == PERSIST_FENCED)
    {
      plc->fenced = true;
      log_event (plc->env.lg, EV_PLACER_FENCED, LOG_S ("pool", plc->set.pool),
                 LOG_S ("by", "log"), LOG_I ("token", plc->set.token));
    }
  else if (!plc->closing)
    {
      mark_ends_durable (plc);
      plc->env.wake (plc->env.arg);
    }
  placer_release_call (plc);
}

/* Encodes the progress of the first dirty jobs into ENTRIES, with memory of
   CTX, and takes these jobs off the list.  Returns their number; the rest
   stays dirty.  */
static size_t
encode_dirty_jobs (struct placer *plc, void *ctx, struct topic_entry *entries,
                   char (*keys)[JOB_KEY_BYTES + 1])
{
  size_t count = 0;
  while (plc->first_dirty && count < FLUSH_JOBS_MAX)
    {
      struct job *job = plc->first_dirty;
      uint8_t *data;
      size_t len;
      if (job_encode_progress (ctx, job, plc->set.token, &data, &len))
        break;
      job_key_format (JOB_KEY_PROGRESS, job->id, keys[count]);
      entries[count] = (struct topic_entry){ .key = keys[count],
                                             .key_len = JOB_KEY_BYTES,
                                             .value = data,
                                             .value_len = len };
      count++;
      job->dirty = false;
      plc->first_dirty = job->next_dirty;
      if (!plc->first_dirty)
        plc->last_dirty = NULL;
      plc->dirty_count--;
    }
  return count;
}

void
placer_flush (struct placer *plc, int64_t now_us)
{
  struct topic_entry entries[FLUSH_JOBS_MAX];
  char keys[FLUSH_JOBS_MAX][JOB_KEY_BYTES + 1];
  if (plc->flushing || plc->fenced || now_us < plc->next_flush_us)
    return;
  if (plc->covered_jobs == 0)
    cover_ends (plc);
  if (plc->dirty_count == 0)
    {
      mark_ends_durable (plc);
      return;
    }
  void *ctx = talloc_new (plc);
  size_t count = encode_dirty_jobs (plc, ctx, entries, keys);
  plc->next_flush_us = now_us + FLUSH_INTERVAL_MIN_US;
  plc->flushing = true;
  plc->calls_in_flight++;
  if (count == 0
      || plc->env.persist (plc->env.arg, entries, count, on_persisted, plc))
    {
      plc->flushing = false;
      plc->calls_in_flight--;
      /* These jobs are now the last in the list.  */
      plc->covered_jobs = 0;
      for (size_t n = 0; n < count; n++)
        {
          char kind;
          uint64_t id;
          job_key_parse (entries[n].key, JOB_KEY_BYTES, &kind, &id);
          struct job *job = placer_find_job (plc, id);
          if (job)
            placer_mark_dirty (plc, job);
        }
    }
  else
    {
      plc->covered_jobs
          -= count < plc->covered_jobs ? count : plc->covered_jobs;
      counter_add (plc->env.ctr, CTR_PROGRESS_RECORDS, count);
    }
  talloc_free (ctx);
}
