#include <string.h>
#include <talloc.h>

#include "job/job_codec.h"
#include "node/node_priv.h"

/* Jobs that are stored for several pools (job/job_table.h): what an owner must
   have read before it starts a job that may be one, and the withdrawal by the
   owners of the pools that do not keep it.  */

/* A client repeats a request for less than this time.  A job that is accepted
   later than this after its queue was sent to another pool is not stored for
   the earlier pool.  */
#define QUEUE_SETTLED_US 30000000
/* Time between two checks of the jobs that are stored twice.  Each goes
   through all jobs.  */
#define RIVALS_INTERVAL_US 100000

/* Whether no job had been stored when this process read the log first, as at
   the first start of the system.  */
static bool
log_began_empty (const struct node *nod)
{
  if (!nod->follows_jobs)
    return follower_is_open (&nod->states_fol)
           && follower_began_empty (&nod->states_fol);
  for (int64_t n = 0; n < nod->set->partitions; n++)
    {
      const struct job_partition *prt = nod->job_partitions[n];
      if (prt
          && !(follower_is_open (&prt->fol)
               && follower_began_empty (&prt->fol)))
        return false;
    }
  return true;
}

bool
node_pool_uncertain (const struct node *nod, const struct queue *que)
{
  if (que->pool_since_us == 0
      || clock_now_us (nod->clk) >= que->pool_since_us + QUEUE_SETTLED_US)
    return false;
  return que->pool_since_us > nod->first_config_us || !log_began_empty (nod);
}

int64_t
node_others_read_us (const struct held_duty *hld)
{
  const struct node *nod = hld->nod;
  int64_t read_us = INT64_MAX;
  for (int64_t n = 0; n < nod->set->partitions; n++)
    {
      const struct job_partition *prt = nod->job_partitions[n];
      if (!prt || prt == hld->prt)
        continue;
      int64_t part_us = follower_is_open (&prt->fol)
                            ? follower_caught_up_us (&prt->fol)
                            : 0;
      if (part_us < read_us)
        read_us = part_us;
    }
  return read_us;
}

int64_t
node_pool_read_us (void *arg, const char *pool)
{
  const struct held_duty *hld = arg;
  const struct job_partition *prt = node_job_partition (hld->nod, pool);
  return prt && follower_is_open (&prt->fol)
             ? follower_caught_up_us (&prt->fol)
             : 0;
}

void
node_confirm_others (struct held_duty *hld)
{
  struct node *nod = hld->nod;
  for (int64_t n = 0; n < nod->set->partitions; n++)
    {
      struct job_partition *prt = nod->job_partitions[n];
      if (prt && prt != hld->prt && follower_is_open (&prt->fol))
        follower_confirm (&prt->fol);
    }
}

static void
log_rival (struct node *nod, enum log_event_id ev, const struct job *job)
{
  char id[JOB_ID_CHARS + 1];
  const struct job *head = job_table_find (&nod->jobs, job->id);
  job_id_format (job->id, id);
  log_event (nod->lg, ev, LOG_S ("job", id), LOG_S ("queue", job->queue),
             LOG_S ("pool", job->pool), LOG_I ("version", job->config_version),
             LOG_I ("recorded", job->recorded),
             LOG_S ("holds", head ? head->pool : ""),
             LOG_I ("holds_version", head ? head->config_version : 0),
             LOG_I ("holds_recorded", head && head->recorded));
}

void
node_note_rival (struct node *nod, const struct job *job)
{
  log_rival (nod, EV_JOB_STORED_TWICE, job);
  for (struct held_duty *hld = nod->held_duties; hld; hld = hld->next)
    if (hld->plc)
      node_schedule_placer (hld, 0);
}

bool
node_drop_withdrawn (void *arg, struct job *job)
{
  struct node *nod = arg;
  log_rival (nod, EV_JOB_WITHDRAWN, job);
  struct held_duty *hld = node_held_duty (nod, job->pool);
  struct job *head = job_table_find (&nod->jobs, job->id);
  struct held_duty *holder = head ? node_held_duty (nod, head->pool) : NULL;
  if (holder && holder->plc)
    {
      node_note_job_state (holder, head);
      node_schedule_placer (holder, 0);
    }
  if (!hld || !hld->plc || placer_drop_job (hld->plc, job))
    return true;
  /* The placer drops it when its runs have ended.  */
  job->state = JOB_CANCELLED;
  return false;
}

/* Another row of the id of JOB whose records have the same keys, or NULL.  */
static const struct job *
same_key_row (const struct job *head, const struct job *job)
{
  while (head && (head == job || head->part != job->part))
    head = head->next_rival;
  return head;
}

/* Appends the withdrawal of JOB: the deletion of its specification or, where
   another one has the same key, that one again.  */
static bool
append_withdrawal (struct held_duty *hld, const struct job *head,
                   const struct job *job)
{
  char key[JOB_KEY_BYTES + 1];
  const struct job *other = same_key_row (head, job);
  struct topic_entry ent = { .key = key, .key_len = JOB_KEY_BYTES };
  uint8_t *data = NULL;
  void *ctx = talloc_new (hld);
  job_key_format (JOB_KEY_SPEC, job->id, key);
  if (other)
    {
      const struct job_acceptance acc
          = { .queue = other->queue,
              .pool = other->pool,
              .accepted_ms = other->accepted_ms,
              .config_version = other->config_version,
              .pool_uncertain = other->pool_uncertain,
              .attempts = other->attempts,
              .withdrawn_pool = job->pool };
      if (job_encode_spec (ctx, &acc, &other->spec, &data, &ent.value_len))
        ent.value_len = 0;
      ent.value = data;
    }
  bool added = (!other || data)
               && appender_add (&hld->app, &ent, true, NULL, NULL) == 0;
  talloc_free (ctx);
  return added;
}

void
node_withdraw_rivals (struct held_duty *hld)
{
  struct node *nod = hld->nod;
  int64_t now_us = clock_now_us (nod->clk);
  if (nod->jobs.contested == 0 || !hld->plc || now_us < hld->next_rivals_us
      || !follower_consistent (&hld->prt->fol))
    return;
  hld->next_rivals_us = now_us + RIVALS_INTERVAL_US;
  for (struct job *head = nod->jobs.by_id; head; head = head->hh.next)
    {
      struct job *job
          = head->contested
                ? job_table_find_in (&nod->jobs, head->id, hld->pool)
                : NULL;
      if (job && job != head && !job->withdrawing
          && placer_may_withdraw (hld->plc, job, head->recorded))
        job->withdrawing = append_withdrawal (hld, head, job);
    }
}
