#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <xxhash.h>

#include "base/err.h"
#include "job/job_codec.h"
#include "node/node_priv.h"

/* Jobs' records come in groups this far apart, in the pools' owners and in
   other processes.  Every read is a call to the store, which 30 processes
   share.  */
#define GAP_MS 250
#define OWNER_GAP_MS 20
/* The same for workers' reports and requests to empty hosts, which a process
   without a duty only keeps at hand for the duty that it may take.  */
#define STANDBY_GAP_MS 500
/* Longest wait of a read; a connection that is silent for good is noticed
   after it.  */
#define WAIT_MS 1000
/* Age beyond which the view of the jobs is not current: an idle read takes
   1 s, and what it shows counts from when it was sent.  */
#define VIEW_AGE_MAX_US 3000000
/* An append without an answer for so long: the store takes no appends.  */
#define STALL_US 700000

static struct pool_workers *
find_pool_workers (struct node *nod, const char *name)
{
  struct pool_workers *row;
  HASH_FIND_STR (nod->pool_workers, name, row);
  return row;
}

/* The function size that the linter counts includes uthash's macros.  */
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
keep_pool_workers (struct node *nod, const struct topic_entry *ent)
{
  char name[NAME_BYTES];
  name_copy_len (name, ent->key + strlen (PLACER_WORKERS_PREFIX),
                 ent->key_len - strlen (PLACER_WORKERS_PREFIX));
  struct pool_workers *row = find_pool_workers (nod, name);
  if (!row)
    row = add_pool_workers (nod, name);
  if (!row)
    return;
  talloc_free (row->data);
  row->data = talloc_memdup (row, ent->value, ent->value_len);
  row->len = row->data ? ent->value_len : 0;
}

/* What stands after a later owner's fence may have been started by it; an
   owner that was cut off reads the fence first, and the claim of the duty
   perhaps later.  */
static void
read_fence (struct node *nod, const struct topic_entry *ent)
{
  char pool[NAME_BYTES];
  char token[TOKEN_TEXT_BYTES] = "";
  if (ent->value_len >= sizeof token)
    return;
  name_copy_len (pool, ent->key + strlen (FENCE_PREFIX),
                 ent->key_len - strlen (FENCE_PREFIX));
  memcpy (token, ent->value, ent->value_len);
  struct holding *hld = node_holding (nod, pool);
  if (hld && hld->plc)
    placer_fence (hld->plc, strtoull (token, NULL, 10));
}

static void
log_change (struct node *nod, const struct job_fold_result *res)
{
  char id[JOB_ID_CHARS + 1];
  if (res->change != JOB_CHANGE_CANCELLED)
    return;
  job_id_format (res->job->id, id);
  log_event (nod->lg, EV_JOB_CANCELLED, LOG_S ("job", id),
             LOG_S ("queue", res->job->queue));
}

static void
on_record (void *arg, const struct topic_record *rec)
{
  struct stream *stm = arg;
  struct node *nod = stm->nod;
  const struct topic_entry *ent = &rec->entry;
  struct job_fold_result res;
  if (ent->key_len > 2 && ent->key[1] == '/')
    {
      if (strncmp (ent->key, PLACER_WORKERS_PREFIX,
                   strlen (PLACER_WORKERS_PREFIX))
          == 0)
        keep_pool_workers (nod, ent);
      else if (strncmp (ent->key, FENCE_PREFIX, strlen (FENCE_PREFIX)) == 0)
        read_fence (nod, ent);
      return;
    }
  /* The newest record of a key need not be its first one; offset 0 claims
     nothing about when the job came.  */
  uint64_t offset = follower_in_order (&stm->fol) ? rec->offset : 0;
  int64_t wall_ms = clock_wall_ms (nod->clk);
  int err = job_table_fold (&nod->jobs, nod, offset, ent->key, ent->key_len,
                            ent->value, ent->value_len,
                            clock_now_us (nod->clk), wall_ms, &res);
  if (err)
    {
      log_event (nod->lg, EV_RECORD_INVALID, LOG_S ("topic", TOPIC_JOBS),
                 LOG_I ("part", stm->part), LOG_I ("offset", rec->offset),
                 LOG_S ("error", err_name (err)));
      return;
    }
  if (!res.job)
    return;
  const struct queue *que = catalog_queue (nod->cat, res.job->queue);
  job_refresh (res.job, que ? que->attempts : 0, wall_ms);
  job_note_logged (res.job, &res);
  log_change (nod, &res);
  struct holding *hld = node_holding (nod, res.job->pool);
  if (!hld || !hld->plc || res.change == JOB_CHANGE_NONE
      || (res.change == JOB_CHANGE_BEHIND && res.token == hld->token))
    return;
  placer_job (hld->plc, res.job, res.change);
  node_wake_holding (hld, 0);
}

static void
on_batch (void *arg)
{
  struct stream *stm = arg;
  node_check_duties (stm->nod);
}

static struct stream *
open_stream (struct node *nod, uint32_t part)
{
  char producer[PRODUCER_BYTES];
  struct stream *stm = talloc_zero (nod, struct stream);
  if (!stm)
    return NULL;
  stm->nod = nod;
  stm->part = part;
  snprintf (producer, sizeof producer, "%s.%" PRIu64, nod->set->name,
            nod->boot);
  const struct follower_settings fol_set = {
    .topic = TOPIC_JOBS, .part = part, .gap_ms = GAP_MS, .wait_ms = WAIT_MS
  };
  const struct appender_settings app_set = {
    .topic = TOPIC_JOBS, .part = part, .producer = producer, .epoch = 1
  };
  if (appender_init (&stm->app, stm, &nod->store.st, nod->ev, nod->clk,
                     &app_set)
      || follower_init (&stm->fol, stm, &nod->store.st, nod->ev, nod->clk,
                        &fol_set, on_record, on_batch, stm))
    TALLOC_FREE (stm);
  return stm;
}

struct stream *
node_stream (struct node *nod, const char *pool)
{
  uint32_t part
      = (uint32_t)(XXH64 (pool, strlen (pool), 0) % nod->set->partitions);
  if (!nod->streams[part])
    nod->streams[part] = open_stream (nod, part);
  return nod->streams[part];
}

static void
pace_standby (struct node *nod)
{
  bool standby = !nod->holdings && node_fleet_token (nod) == 0;
  follower_set_gap (&nod->directory_fol,
                    standby ? STANDBY_GAP_MS : DIRECTORY_GAP_MS);
  node_fleet_set_gap (nod, standby ? STANDBY_GAP_MS : FLEET_GAP_MS);
}

int
node_open_streams (struct node *nod)
{
  pace_standby (nod);
  for (size_t n = 0; nod->cat && n < nod->cat->queue_count; n++)
    {
      struct stream *stm = node_stream (nod, nod->cat->queues[n].pool);
      if (!stm)
        return ERR_NOMEM;
      bool owner = node_holding (nod, nod->cat->queues[n].pool) != NULL;
      follower_set_gap (&stm->fol, owner ? OWNER_GAP_MS : GAP_MS);
    }
  return 0;
}

bool
node_view_current (const struct node *nod)
{
  int64_t oldest_us = clock_now_us (nod->clk) - VIEW_AGE_MAX_US;
  if (!nod->cat || follower_current_us (&nod->operator_fol) < oldest_us)
    return false;
  for (int64_t n = 0; n < nod->set->partitions; n++)
    if (nod->streams[n]
        && (!follower_caught_up (&nod->streams[n]->fol)
            || follower_current_us (&nod->streams[n]->fol) < oldest_us))
      return false;
  return true;
}

bool
node_stream_writable (const struct stream *stm)
{
  return appender_stalled_us (&stm->app) < STALL_US;
}

void
node_note_store (struct node *nod)
{
  bool away = nod->cat && !node_view_current (nod);
  if (away == nod->store_away)
    return;
  nod->store_away = away;
  log_event (nod->lg, EV_STORE_STATE, LOG_S ("state", away ? "lost" : "back"),
             LOG_I ("age_ms", (clock_now_us (nod->clk)
                               - follower_current_us (&nod->operator_fol))
                                  / 1000));
}
