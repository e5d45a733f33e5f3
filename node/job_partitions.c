#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <xxhash.h>

#include "base/err.h"
#include "job/job_codec.h"
#include "node/node_priv.h"

/* Partitions of the job topic.  Each controller follows those of all
   configured pools, so that it can report the state of any job and take over
   any pool. */

/* Shortest time between reads of a partition, in processes that do not own its
   pool and in those that do.  Records are read in batches because every read
   is a call to the store, which 30 processes share.  */
#define JOBS_BATCH_DELAY_MS 250
#define OWNER_BATCH_DELAY_MS 20
/* The same for workers' reports and vacate requests in a process without a
   duty, which needs them only when it takes over a duty.  */
#define STANDBY_BATCH_DELAY_MS 500
/* Longest time that the store holds a read open; a dead connection is detected
   only after it.  */
#define READ_WAIT_MS 1000
/* The same for an owner, which starts tasks only while its last read began a
   short time ago.  */
#define OWNER_READ_WAIT_MS 500
/* The store is taken to accept no appends when one has had no result for this
   time.  */
#define APPEND_STALL_US 700000

/* A partition that has not been read to its end after this time does not delay
   others: the store may serve some partitions only.  */
#define FOLLOW_NEXT_US 2000000

static struct pool_workers *
find_pool_workers (struct node *nod, const char *name)
{
  struct pool_workers *row;
  HASH_FIND_STR (nod->pool_workers, name, row);
  return row;
}

/* A function of its own because clang-tidy counts the expanded uthash macro
   towards the size of the function that contains it.  */
static void
link_pool_workers (struct node *nod, struct pool_workers *row)
{
  HASH_ADD_KEYPTR (hh, nod->pool_workers, row->pool, strlen (row->pool), row);
}

static struct pool_workers *
add_pool_workers (struct node *nod, const char *name)
{
  struct pool_workers *row = talloc_zero (nod, struct pool_workers);
  if (!row)
    return NULL;
  name_copy (row->pool, name);
  link_pool_workers (nod, row);
  return row;
}

static void
store_pool_workers (struct node *nod, const struct topic_entry *ent)
{
  char name[NAME_BYTES];
  name_copy_len (name, ent->key + strlen (PLACER_WORKERS_KEY_PREFIX),
                 ent->key_len - strlen (PLACER_WORKERS_KEY_PREFIX));
  struct pool_workers *row = find_pool_workers (nod, name);
  if (!row)
    row = add_pool_workers (nod, name);
  if (!row)
    return;
  talloc_free (row->data);
  row->data = talloc_memdup (row, ent->value, ent->value_len);
  row->len = row->data ? ent->value_len : 0;
  row->read_us = clock_now_us (nod->clk);
}

/* A later owner may have started the tasks of any job whose record follows its
   fence.  An owner that was cut off from the store may read the fence before
   the claim by which it lost the duty, so it sends no commands from the fence
   on.  */
static void
apply_fence (struct node *nod, uint64_t offset, const struct topic_entry *ent)
{
  char pool[NAME_BYTES];
  char token[TOKEN_TEXT_BYTES] = "";
  if (ent->value_len >= sizeof token)
    return;
  name_copy_len (pool, ent->key + strlen (FENCE_PREFIX),
                 ent->key_len - strlen (FENCE_PREFIX));
  memcpy (token, ent->value, ent->value_len);
  uint64_t num = strtoull (token, NULL, 10);
  struct held_duty *hld = node_held_duty (nod, pool);
  if (hld && num == hld->token && !hld->plc)
    {
      hld->fence_read = true;
      hld->fence_offset = offset;
    }
  if (hld && hld->plc)
    placer_note_fence (hld->plc, num);
}

static void
log_cancellation (struct node *nod, const struct job_fold_result *res)
{
  char id[JOB_ID_CHARS + 1];
  if (res->change != JOB_CHANGE_CANCELLED || res->deleted)
    return;
  job_id_format (res->job->id, id);
  log_event (nod->lg, EV_JOB_CANCELLED, LOG_S ("job", id),
             LOG_S ("queue", res->job->queue));
}

static void
on_record (void *arg, const struct topic_record *rec)
{
  struct job_partition *prt = arg;
  struct node *nod = prt->nod;
  const struct topic_entry *ent = &rec->entry;
  struct job_fold_result res;
  if (ent->key_len > 2 && ent->key[1] == '/')
    {
      if (strncmp (ent->key, PLACER_WORKERS_KEY_PREFIX,
                   strlen (PLACER_WORKERS_KEY_PREFIX))
          == 0)
        store_pool_workers (nod, ent);
      else if (strncmp (ent->key, FENCE_PREFIX, strlen (FENCE_PREFIX)) == 0)
        apply_fence (nod, rec->offset, ent);
      return;
    }
  /* A record that was read as the newest of its key need not be the key's
     first one, so its offset does not show when the job was accepted.  With
     offset 0 the job counts as older than any fence.  */
  uint64_t offset = follower_in_order (&prt->fol) ? rec->offset : 0;
  int64_t now_us = clock_now_us (nod->clk);
  int err = job_table_fold (&nod->jobs, nod, prt->part, offset, ent->key,
                            ent->key_len, ent->value, ent->value_len, now_us,
                            &res);
  if (err)
    {
      log_event (nod->lg, EV_RECORD_INVALID, LOG_S ("topic", TOPIC_JOBS),
                 LOG_I ("part", prt->part), LOG_I ("offset", rec->offset),
                 LOG_S ("error", err_name (err)));
      return;
    }
  if (!res.job || res.change == JOB_CHANGE_REPEATED)
    return;
  const struct queue *que = catalog_queue (nod->cat, res.job->queue);
  job_note_record (res.job, &res, que ? que->attempts : res.job->attempts,
                   now_us);
  log_cancellation (nod, &res);
  if (res.job->contested && res.change == JOB_CHANGE_NEW)
    node_note_rival (nod, res.job);
  struct held_duty *hld = node_held_duty (nod, res.job->pool);
  if (hld && hld->plc)
    node_note_job_state (hld, res.job);
  if (!hld || !hld->plc || res.change == JOB_CHANGE_NONE
      || (res.change == JOB_CHANGE_STALE && res.token == hld->token
          && !res.outcome_differs))
    return;
  placer_update_job (hld->plc, res.job, res.change);
  node_schedule_placer (hld, 0);
}

static void
on_batch (void *arg)
{
  struct job_partition *prt = arg;
  struct node *nod = prt->nod;
  node_answer_queries (nod, &prt->fol);
  if (!prt->read_logged && follower_caught_up (&prt->fol))
    {
      prt->read_logged = true;
      log_event (
          nod->lg, EV_JOBS_READ, LOG_I ("part", prt->part),
          LOG_I ("jobs", nod->jobs.count),
          LOG_I ("ms", (clock_now_us (nod->clk) - prt->followed_us) / 1000));
      node_open_job_partitions (nod);
    }
  /* An owner may have waited for what is known of this partition.  */
  for (struct held_duty *hld = nod->held_duties; hld; hld = hld->next)
    if (hld->plc && placer_awaits_others (hld->plc))
      node_schedule_placer (hld, 0);
  node_check_duties (nod);
}

/* Whether PRT is to be opened later, as another partition is being read.
   After the loss of all processes each controller has thousands of records to
   read; one partition after the other, in different orders, lets each pool
   have an owner soon.  */
static bool
follow_later (const struct node *nod, const struct job_partition *prt)
{
  int64_t now_us = clock_now_us (nod->clk);
  for (int64_t n = 0; n < nod->set->partitions; n++)
    {
      const struct job_partition *other = nod->job_partitions[n];
      if (other && other != prt && follower_is_open (&other->fol)
          && !follower_caught_up (&other->fol)
          && now_us - other->followed_us < FOLLOW_NEXT_US)
        return true;
    }
  return false;
}

static void
follow_partition (struct job_partition *prt)
{
  struct node *nod = prt->nod;
  const char *name = nod->set->name;
  const struct follower_settings set
      = { .topic = TOPIC_JOBS,
          .part = prt->part,
          .batch_delay_ms = JOBS_BATCH_DELAY_MS,
          .wait_ms = READ_WAIT_MS,
          .timeout_ms = URGENT_TIMEOUT_MS,
          .seed = XXH64 (name, strlen (name), 0),
          .lg = nod->lg };
  if (!nod->follows_jobs || follower_is_open (&prt->fol)
      || follow_later (nod, prt))
    return;
  prt->followed_us = clock_now_us (nod->clk);
  prt->read_logged = false;
  follower_init (&prt->fol, prt, &nod->store.st, nod->ev, nod->clk, &set,
                 on_record, on_batch, prt);
}

static struct job_partition *
open_job_partition (struct node *nod, uint32_t part)
{
  char producer[PRODUCER_BYTES];
  struct job_partition *prt = talloc_zero (nod, struct job_partition);
  if (!prt)
    return NULL;
  prt->nod = nod;
  prt->part = part;
  snprintf (producer, sizeof producer, "%s.%016" PRIx64, nod->set->name,
            nod->run_id);
  const struct appender_settings app_set = {
    .topic = TOPIC_JOBS,
    .part = part,
    .producer = producer,
    .epoch = 1,
    .lg = nod->lg,
    .ctr = &nod->ctr,
  };
  if (appender_init (&prt->app, prt, &nod->store.st, nod->ev, nod->clk,
                     &app_set))
    TALLOC_FREE (prt);
  return prt;
}

struct job_partition *
node_job_partition (struct node *nod, const char *pool)
{
  uint32_t part
      = (uint32_t)(XXH64 (pool, strlen (pool), 0) % nod->set->partitions);
  if (!nod->job_partitions[part])
    nod->job_partitions[part] = open_job_partition (nod, part);
  if (nod->job_partitions[part])
    follow_partition (nod->job_partitions[part]);
  return nod->job_partitions[part];
}

static void
set_batch_delays (struct node *nod)
{
  bool standby = !nod->held_duties && node_fleet_token (nod) == 0;
  if (follower_is_open (&nod->directory_fol))
    {
      follower_set_batch_delay (&nod->directory_fol,
                                standby ? STANDBY_BATCH_DELAY_MS
                                        : DIRECTORY_BATCH_DELAY_MS);
      /* Workers whose reports have expired get no tasks.  */
      follower_set_retry_max (&nod->directory_fol,
                              standby ? 0 : URGENT_RETRY_MAX_MS);
    }
  node_fleet_set_batch_delay (nod, standby ? STANDBY_BATCH_DELAY_MS
                                           : FLEET_BATCH_DELAY_MS);
}

/* Whether this process owns a pool whose records are in PRT, which may hold
   those of several pools.  */
static bool
is_owner (const struct job_partition *prt)
{
  const struct held_duty *hld = prt->nod->held_duties;
  while (hld && (hld->prt != prt || hld->refused))
    hld = hld->next;
  return hld != NULL;
}

int
node_open_job_partitions (struct node *nod)
{
  set_batch_delays (nod);
  size_t count;
  const char *const *pools = node_queue_pools (nod, &count);
  const char *name = nod->set->name;
  size_t first = count > 0 ? XXH64 (name, strlen (name), 1) % count : 0;
  for (size_t n = 0; n < count; n++)
    if (!node_job_partition (nod, pools[(first + n) % count]))
      return ERR_NOMEM;
  for (int64_t n = 0; n < nod->set->partitions; n++)
    {
      struct job_partition *prt = nod->job_partitions[n];
      if (!prt || !follower_is_open (&prt->fol))
        continue;
      bool owner = is_owner (prt);
      follower_set_batch_delay (&prt->fol, owner ? OWNER_BATCH_DELAY_MS
                                                 : JOBS_BATCH_DELAY_MS);
      follower_set_wait (&prt->fol, owner ? OWNER_READ_WAIT_MS : READ_WAIT_MS);
      /* An owner starts nothing while it cannot read.  */
      follower_set_retry_max (&prt->fol, owner ? URGENT_RETRY_MAX_MS : 0);
    }
  return 0;
}

void
node_retry_reads (struct node *nod)
{
  if (nod->roster.role == ROSTER_ENTRY)
    return;
  follower_retry_within (&nod->member_fol, URGENT_RETRY_MAX_MS);
  if (follower_is_open (&nod->directory_fol))
    follower_retry_within (&nod->directory_fol, URGENT_RETRY_MAX_MS);
  node_fleet_retry_within (nod, URGENT_RETRY_MAX_MS);
  for (int64_t n = 0; n < nod->set->partitions; n++)
    {
      struct job_partition *prt = nod->job_partitions[n];
      if (prt && follower_is_open (&prt->fol))
        follower_retry_within (&prt->fol, URGENT_RETRY_MAX_MS);
    }
}

void
node_follow_jobs (struct node *nod)
{
  if (nod->follows_jobs)
    return;
  nod->follows_jobs = true;
  node_open_job_partitions (nod);
  for (int64_t n = 0; n < nod->set->partitions; n++)
    if (nod->job_partitions[n])
      follow_partition (nod->job_partitions[n]);
}

void
node_unfollow_jobs (struct node *nod)
{
  if (!nod->follows_jobs)
    return;
  nod->follows_jobs = false;
  for (int64_t n = 0; n < nod->set->partitions; n++)
    if (nod->job_partitions[n])
      follower_fini (&nod->job_partitions[n]->fol);
  job_table_clear (&nod->jobs);
}

bool
node_pool_followed (struct node *nod, const char *pool)
{
  const struct job_partition *prt = node_job_partition (nod, pool);
  return prt && follower_is_open (&prt->fol) && follower_caught_up (&prt->fol);
}

bool
node_pool_current (struct node *nod, const char *pool)
{
  const struct job_partition *prt = node_job_partition (nod, pool);
  return prt && follower_is_open (&prt->fol)
         && clock_now_us (nod->clk) - follower_caught_up_us (&prt->fol)
                < VIEW_AGE_MAX_US;
}

int64_t
node_jobs_known_us (const struct node *nod)
{
  int64_t known_us = INT64_MAX;
  if (!nod->follows_jobs)
    return follower_is_open (&nod->states_fol)
               ? follower_caught_up_us (&nod->states_fol)
               : 0;
  for (int64_t n = 0; n < nod->set->partitions; n++)
    {
      const struct job_partition *prt = nod->job_partitions[n];
      int64_t part_us = prt && follower_is_open (&prt->fol)
                            ? follower_caught_up_us (&prt->fol)
                            : 0;
      if (prt && part_us < known_us)
        known_us = part_us;
    }
  return known_us;
}

bool
node_jobs_followed (const struct node *nod)
{
  return nod->follows_jobs && node_jobs_known_us (nod) > 0;
}

bool
node_jobs_current (const struct node *nod)
{
  int64_t known_us = nod->follows_jobs ? node_jobs_known_us (nod) : 0;
  return known_us > 0 && known_us >= clock_now_us (nod->clk) - VIEW_AGE_MAX_US;
}

bool
node_view_current (const struct node *nod)
{
  int64_t oldest_us = clock_now_us (nod->clk) - VIEW_AGE_MAX_US;
  return nod->cat && follower_caught_up_us (&nod->operator_fol) >= oldest_us
         && (node_jobs_current (nod) || node_states_current (nod));
}

static bool
config_known_within (const struct node *nod, int64_t age_max_us)
{
  return nod->cat
         && follower_caught_up_us (&nod->operator_fol)
                >= clock_now_us (nod->clk) - age_max_us;
}

bool
node_config_current (const struct node *nod)
{
  return config_known_within (nod, nod->set->config_age_max_ms * 1000);
}

bool
node_config_usable (const struct node *nod)
{
  return config_known_within (nod, nod->set->config_age_max_ms * 1000
                                       + VIEW_AGE_MAX_US);
}

static bool
append_tombstone (struct appender *app, const char *key, size_t key_len)
{
  const struct topic_entry ent = { .key = key, .key_len = key_len };
  return appender_add (app, &ent, true, NULL, NULL) == 0;
}

bool
node_forget_job (void *arg, const struct job *job)
{
  static const char kinds[]
      = { JOB_KEY_PROGRESS, JOB_KEY_CANCEL, JOB_KEY_SPEC };
  struct node *nod = arg;
  char key[JOB_KEY_BYTES + 1];
  struct held_duty *hld = node_held_duty (nod, job->pool);
  /* The owner at the end of the job's retention removes them.  */
  if (!hld || !hld->plc || job->logged_state < JOB_COMPLETED)
    return true;
  /* The specification goes last: without it, no one would remove the
     others.  */
  for (size_t n = 0; n < sizeof kinds; n++)
    {
      job_key_format (kinds[n], job->id, key);
      if ((kinds[n] != JOB_KEY_CANCEL || job->logged_state == JOB_CANCELLED)
          && !append_tombstone (&hld->app, key, JOB_KEY_BYTES))
        return false;
    }
  return job->published == 0
         || append_tombstone (&hld->states_app, key, JOB_ID_CHARS);
}

bool
node_partition_writable (const struct job_partition *prt)
{
  return appender_pending_us (&prt->app) < APPEND_STALL_US;
}

void
node_log_store_state (struct node *nod)
{
  bool unavailable = nod->cat && !node_view_current (nod);
  if (unavailable == nod->store_unavailable)
    return;
  nod->store_unavailable = unavailable;
  log_event (nod->lg, EV_STORE_STATE,
             LOG_S ("state", unavailable ? "unreachable" : "reachable"),
             LOG_I ("age_ms", (clock_now_us (nod->clk)
                               - follower_caught_up_us (&nod->operator_fol))
                                  / 1000));
}
