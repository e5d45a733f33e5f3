#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <xxhash.h>

#include "base/err.h"
#include "node/node_priv.h"

/* States of jobs for processes that do not read the jobs: an owner publishes
   what the log holds of its pool's jobs, and entry processes answer clients
   from it.  */

#define STATES_PART 0
#define READ_WAIT_MS 1000
/* Shortest time between reads of the states in an entry process.  A client may
   ask for a job 3 s after it was stored.  */
#define STATES_BATCH_DELAY_MS 400
/* Shortest time between appends of changed states by one owner, and longest
   time between two summaries.  */
#define PUBLISH_INTERVAL_US 50000
#define SUMMARY_INTERVAL_US 500000

static void
on_state_record (void *arg, const struct topic_record *rec)
{
  struct node *nod = arg;
  /* A record that was read by key may have been appended long ago.  */
  int64_t known_us = follower_in_order (&nod->states_fol)
                         ? follower_caught_up_us (&nod->states_fol)
                         : 0;
  int err = state_view_fold (
      &nod->states, nod, rec->entry.key, rec->entry.key_len, rec->entry.value,
      rec->entry.value_len, known_us, clock_now_us (nod->clk));
  if (err)
    log_event (nod->lg, EV_RECORD_INVALID, LOG_S ("topic", TOPIC_STATES),
               LOG_I ("offset", rec->offset), LOG_S ("error", err_name (err)));
}

static void
on_states_batch (void *arg)
{
  struct node *nod = arg;
  node_answer_queries (nod, &nod->states_fol);
}

void
node_follow_states (struct node *nod)
{
  const char *name = nod->set->name;
  const struct follower_settings set
      = { .topic = TOPIC_STATES,
          .part = STATES_PART,
          .batch_delay_ms = STATES_BATCH_DELAY_MS,
          .wait_ms = READ_WAIT_MS,
          .timeout_ms = URGENT_TIMEOUT_MS,
          .seed = XXH64 (name, strlen (name), 0),
          .lg = nod->lg };
  if (!follower_is_open (&nod->states_fol))
    follower_init (&nod->states_fol, nod, &nod->store.st, nod->ev, nod->clk,
                   &set, on_state_record, on_states_batch, nod);
}

void
node_unfollow_states (struct node *nod)
{
  if (!follower_is_open (&nod->states_fol))
    return;
  follower_fini (&nod->states_fol);
  state_view_fini (&nod->states);
}

bool
node_states_current (const struct node *nod)
{
  return follower_is_open (&nod->states_fol)
         && follower_caught_up (&nod->states_fol)
         && follower_caught_up_us (&nod->states_fol)
                >= clock_now_us (nod->clk) - VIEW_AGE_MAX_US;
}

const struct published_pool *
node_published_pool (const struct node *nod, const char *name)
{
  const struct published_pool *pool = state_view_pool (&nod->states, name);
  return pool && pool->as_of_us >= clock_now_us (nod->clk) - VIEW_AGE_MAX_US
             ? pool
             : NULL;
}

bool
node_pools_published (struct node *nod)
{
  size_t count;
  const char *const *pools = node_queue_pools (nod, &count);
  for (size_t n = 0; n < count; n++)
    if (!node_published_pool (nod, pools[n]))
      return false;
  return count > 0;
}

int
node_open_states (struct held_duty *hld)
{
  struct node *nod = hld->nod;
  char producer[PRODUCER_BYTES];
  snprintf (producer, sizeof producer, "states.%s", hld->pool);
  const struct appender_settings set = { .topic = TOPIC_STATES,
                                         .part = STATES_PART,
                                         .producer = producer,
                                         .epoch = hld->token,
                                         .shared_name = true,
                                         .lg = nod->lg,
                                         .ctr = &nod->ctr };
  return appender_init (&hld->states_app, nod, &nod->store.st, nod->ev,
                        nod->clk, &set);
}

void
node_note_job_state (struct held_duty *hld, struct job *job)
{
  if (!hld->nod->publishes_states
      || job->published == (uint8_t)(job->logged_state + 1))
    return;
  uint64_t *ids = talloc_realloc (hld, hld->changed_jobs, uint64_t,
                                  hld->changed_count + 1);
  if (!ids)
    {
      hld->note_missing = true;
      return;
    }
  hld->changed_jobs = ids;
  ids[hld->changed_count++] = job->id;
}

static void
note_all (struct held_duty *hld)
{
  hld->note_missing = false;
  for (struct job *job = hld->nod->jobs.by_id; job; job = job->hh.next)
    if (strcmp (job->pool, hld->pool) == 0)
      node_note_job_state (hld, job);
}

void
node_publish_all (struct held_duty *hld)
{
  for (struct job *job = hld->nod->jobs.by_id; job; job = job->hh.next)
    if (strcmp (job->pool, hld->pool) == 0)
      job->published = 0;
  note_all (hld);
}

/* Appends the changed states.  Returns false when some could not be added; the
   rest stays noted.  */
static bool
publish_jobs (struct held_duty *hld)
{
  size_t done = 0;
  if (hld->note_missing)
    note_all (hld);
  for (; done < hld->changed_count; done++)
    {
      char key[JOB_ID_CHARS + 1];
      uint8_t value[STATE_VIEW_JOB_VALUE_BYTES];
      struct job *job
          = job_table_find (&hld->nod->jobs, hld->changed_jobs[done]);
      if (!job || strcmp (job->pool, hld->pool) != 0
          || job->published == (uint8_t)(job->logged_state + 1))
        continue;
      job_id_format (job->id, key);
      const struct topic_entry ent
          = { .key = key,
              .key_len = JOB_ID_CHARS,
              .value = value,
              .value_len = state_view_encode_job (job->logged_state, value) };
      if (appender_add (&hld->states_app, &ent, true, NULL, NULL))
        break;
      job->published = (uint8_t)(job->logged_state + 1);
    }
  if (done > 0)
    memmove (hld->changed_jobs, hld->changed_jobs + done,
             (hld->changed_count - done) * sizeof *hld->changed_jobs);
  hld->changed_count -= done;
  return hld->changed_count == 0 && !hld->note_missing;
}

static void
on_summary_appended (void *arg, enum appender_outcome out, uint64_t offset)
{
  struct held_duty *hld = arg;
  hld->summary_in_flight = false;
  hld->refused = hld->refused || out != APPENDER_DONE;
  hld->summary_delay_us = clock_now_us (hld->nod->clk) - hld->summary_sent_us;
}

static int
compare_names (const void *a, const void *b)
{
  return strcmp (*(const char *const *)a, *(const char *const *)b);
}

/* Counts the waiting jobs of each of the pool's queues that has some; a job
   that was stored before its queue moved to the pool counts as well.  There
   are hundreds of queues and thousands of jobs.  Returns false when out of
   memory.  */
static bool
count_waiting (const struct held_duty *hld, void *ctx,
               struct published_pool *pool)
{
  const struct node *nod = hld->nod;
  const char **names = talloc_array (ctx, const char *, nod->jobs.count + 1);
  size_t count = 0;
  pool->queues = talloc_zero_array (ctx, struct published_queue,
                                    nod->cat ? nod->cat->queue_count + 1 : 1);
  if (!names || !pool->queues)
    return false;
  for (const struct job *job = nod->jobs.by_id; job; job = job->hh.next)
    if (job->state == JOB_QUEUED && job->spec.occurrences == 0)
      names[count++] = job->queue;
  if (count > 1)
    qsort (names, count, sizeof *names, compare_names);
  for (size_t n = 0, next; n < count; n = next)
    {
      const struct queue *que = catalog_queue (nod->cat, names[n]);
      for (next = n + 1; next < count; next++)
        if (strcmp (names[next], names[n]) != 0)
          break;
      if (!que || strcmp (que->pool, hld->pool) != 0)
        continue;
      struct published_queue *row = &pool->queues[pool->queue_count++];
      name_copy (row->name, que->name);
      row->waiting = (uint32_t)(next - n);
    }
  return true;
}

static void
publish_summary (struct held_duty *hld, int64_t now_us)
{
  struct node *nod = hld->nod;
  char key[STATE_VIEW_KEY_BYTES];
  struct published_pool pool
      = { .token = hld->token, .number = hld->summary_number + 1 };
  size_t len;
  int64_t known_us = follower_consistent (&hld->prt->fol)
                         ? follower_caught_up_us (&hld->prt->fol)
                         : 0;
  void *ctx = talloc_new (nod);
  if (known_us < now_us - VIEW_AGE_MAX_US || !count_waiting (hld, ctx, &pool))
    goto done;
  uint8_t *data = state_view_encode_pool (ctx, &pool, now_us - known_us,
                                          hld->summary_delay_us, &len);
  snprintf (key, sizeof key, "%c%s", STATE_VIEW_POOL_KEY, hld->pool);
  const struct topic_entry ent = {
    .key = key, .key_len = strlen (key), .value = data, .value_len = len
  };
  if (!data
      || appender_add (&hld->states_app, &ent, true, on_summary_appended, hld))
    goto done;
  hld->summary_in_flight = true;
  hld->summary_number++;
  hld->summary_sent_us = now_us;

done:
  talloc_free (ctx);
}

void
node_publish_states (struct held_duty *hld)
{
  int64_t now_us = clock_now_us (hld->nod->clk);
  bool due = now_us >= hld->summary_sent_us + SUMMARY_INTERVAL_US;
  /* What is in flight is what the store can take at present.  */
  if (!hld->nod->publishes_states || hld->summary_in_flight
      || now_us < hld->states_sent_us + PUBLISH_INTERVAL_US
      || (hld->changed_count == 0 && !hld->note_missing && !due))
    return;
  hld->states_sent_us = now_us;
  if (publish_jobs (hld) && due)
    publish_summary (hld, now_us);
}
