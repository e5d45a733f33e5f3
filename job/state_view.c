#include "job/state_view.h"

#include <string.h>
#include <talloc.h>

#include "base/err.h"
#include "proto/job.pb-c.h"

void
state_view_fini (struct state_view *view)
{
  struct published_job *job, *next_job;
  struct published_pool *pool, *next_pool;
  HASH_ITER (hh, view->jobs, job, next_job)
    {
      HASH_DEL (view->jobs, job);
      talloc_free (job);
    }
  HASH_ITER (hh, view->pools, pool, next_pool)
    {
      HASH_DEL (view->pools, pool);
      talloc_free (pool);
    }
}

static struct published_job *
find_job (const struct state_view *view, uint64_t id)
{
  struct published_job *job;
  HASH_FIND (hh, view->jobs, &id, sizeof id, job);
  return job;
}

/* A function of its own because clang-tidy counts the expanded uthash macro
   towards the size of the function that contains it.  */
static void
link_job (struct state_view *view, struct published_job *job)
{
  HASH_ADD (hh, view->jobs, id, sizeof job->id, job);
}

static struct published_job *
add_job (struct state_view *view, void *parent, uint64_t id, int64_t now_us)
{
  struct published_job *job = find_job (view, id);
  if (job)
    return job;
  job = talloc_zero (parent, struct published_job);
  if (!job)
    return NULL;
  job->id = id;
  job->noted_us = now_us;
  link_job (view, job);
  return job;
}

static int
fold_job (struct state_view *view, void *parent, uint64_t id,
          const uint8_t *value, size_t len, int64_t now_us)
{
  if (len == 0)
    {
      struct published_job *job = find_job (view, id);
      if (job)
        HASH_DEL (view->jobs, job);
      talloc_free (job);
      return 0;
    }
  Kingcuphollow__PublishedJob *msg
      = kingcuphollow__published_job__unpack (NULL, len, value);
  uint32_t state = msg ? msg->state_plus_one - 1 : UINT32_MAX;
  if (msg)
    kingcuphollow__published_job__free_unpacked (msg, NULL);
  if (state > JOB_CANCELLED)
    return ERR_PROTOCOL;
  struct published_job *job = add_job (view, parent, id, now_us);
  if (!job)
    return ERR_NOMEM;
  job->published = true;
  /* A job that has ended stays so, whatever an earlier owner publishes
     late.  */
  if (job->state >= JOB_COMPLETED || job->state == (enum job_state)state)
    return 0;
  job->state = (enum job_state)state;
  job->noted_us = now_us;
  return 0;
}

static struct published_pool *
find_pool (const struct state_view *view, const char *name)
{
  struct published_pool *pool;
  HASH_FIND_STR (view->pools, name, pool);
  return pool;
}

static void
link_pool (struct state_view *view, struct published_pool *pool)
{
  HASH_ADD_KEYPTR (hh, view->pools, pool->name, strlen (pool->name), pool);
}

static int
copy_queues (struct published_pool *pool,
             const Kingcuphollow__PublishedPool *msg)
{
  struct published_queue *queues
      = talloc_zero_array (pool, struct published_queue, msg->n_queues + 1);
  if (!queues)
    return ERR_NOMEM;
  for (size_t n = 0; n < msg->n_queues; n++)
    {
      name_copy (queues[n].name, msg->queues[n]->name);
      queues[n].waiting = msg->queues[n]->waiting;
    }
  talloc_free (pool->queues);
  pool->queues = queues;
  pool->queue_count = msg->n_queues;
  return 0;
}

/* A summary may be appended long after it was composed, as by an owner that is
   overloaded.  Its knowledge counts only when the next one tells how long that
   took.  */
static void
update_as_of (struct published_pool *pool,
              const Kingcuphollow__PublishedPool *msg, int64_t known_us)
{
  int64_t as_of_us
      = pool->unconfirmed_as_of_us - (int64_t)msg->previous_delay_ms * 1000;
  if (pool->unconfirmed_as_of_us > 0 && msg->token == pool->token
      && msg->number == pool->number + 1 && as_of_us > pool->as_of_us)
    pool->as_of_us = as_of_us;
  pool->unconfirmed_as_of_us
      = known_us > 0 ? known_us - (int64_t)msg->age_ms * 1000 : 0;
  pool->token = msg->token;
  pool->number = msg->number;
}

static int
fold_pool (struct state_view *view, void *parent, const char *name,
           const uint8_t *value, size_t len, int64_t known_us)
{
  Kingcuphollow__PublishedPool *msg
      = kingcuphollow__published_pool__unpack (NULL, len, value);
  if (!msg)
    return ERR_PROTOCOL;
  int err = 0;
  struct published_pool *pool = find_pool (view, name);
  if (!pool)
    {
      pool = talloc_zero (parent, struct published_pool);
      if (pool)
        {
          name_copy (pool->name, name);
          link_pool (view, pool);
        }
      else
        err = ERR_NOMEM;
    }
  /* The summary of an earlier owner may be appended late.  */
  if (!err && msg->token >= pool->token)
    {
      err = copy_queues (pool, msg);
      update_as_of (pool, msg, known_us);
    }
  kingcuphollow__published_pool__free_unpacked (msg, NULL);
  return err;
}

int
state_view_fold (struct state_view *view, void *parent, const char *key,
                 size_t key_len, const uint8_t *value, size_t value_len,
                 int64_t known_us, int64_t now_us)
{
  uint64_t id;
  char name[NAME_BYTES];
  if (key_len > 1 && key[0] == STATE_VIEW_POOL_KEY && key_len <= NAME_BYTES)
    {
      name_copy_len (name, key + 1, key_len - 1);
      return value_len > 0
                 ? fold_pool (view, parent, name, value, value_len, known_us)
                 : 0;
    }
  if (!job_id_parse (key, key_len, &id))
    return ERR_PROTOCOL;
  return fold_job (view, parent, id, value, value_len, now_us);
}

void
state_view_note_stored (struct state_view *view, void *parent, uint64_t id,
                        int64_t now_us)
{
  add_job (view, parent, id, now_us);
}

const struct published_job *
state_view_find (const struct state_view *view, uint64_t id)
{
  return find_job (view, id);
}

const struct published_pool *
state_view_pool (const struct state_view *view, const char *name)
{
  return find_pool (view, name);
}

uint32_t
state_view_waiting (const struct published_pool *pool, const char *queue)
{
  for (size_t n = 0; n < pool->queue_count; n++)
    if (strcmp (pool->queues[n].name, queue) == 0)
      return pool->queues[n].waiting;
  return 0;
}

void
state_view_expire (struct state_view *view, int64_t before_us)
{
  struct published_job *job, *next;
  HASH_ITER (hh, view->jobs, job, next)
    if ((job->state >= JOB_COMPLETED || !job->published)
        && job->noted_us < before_us)
      {
        HASH_DEL (view->jobs, job);
        talloc_free (job);
      }
}

size_t
state_view_encode_job (enum job_state state,
                       uint8_t value[STATE_VIEW_JOB_VALUE_BYTES])
{
  Kingcuphollow__PublishedJob msg = KINGCUPHOLLOW__PUBLISHED_JOB__INIT;
  msg.state_plus_one = (uint32_t)state + 1;
  return kingcuphollow__published_job__pack (&msg, value);
}

uint8_t *
state_view_encode_pool (void *parent, const struct published_pool *pool,
                        int64_t age_us, int64_t previous_delay_us, size_t *len)
{
  Kingcuphollow__PublishedPool msg = KINGCUPHOLLOW__PUBLISHED_POOL__INIT;
  void *ctx = talloc_new (parent);
  Kingcuphollow__PublishedPool__Queue *rows = talloc_array (
      ctx, Kingcuphollow__PublishedPool__Queue, pool->queue_count + 1);
  uint8_t *data = NULL;
  msg.queues = talloc_array (ctx, Kingcuphollow__PublishedPool__Queue *,
                             pool->queue_count + 1);
  if (!rows || !msg.queues)
    goto done;
  for (size_t n = 0; n < pool->queue_count; n++)
    {
      kingcuphollow__published_pool__queue__init (&rows[n]);
      rows[n].name = (char *)pool->queues[n].name;
      rows[n].waiting = pool->queues[n].waiting;
      msg.queues[msg.n_queues++] = &rows[n];
    }
  msg.token = pool->token;
  msg.number = pool->number;
  /* Rounds up, as the summary must not claim to know more than it does.  */
  msg.age_ms = (uint32_t)((age_us + 999) / 1000);
  msg.previous_delay_ms = (uint32_t)((previous_delay_us + 999) / 1000);
  *len = kingcuphollow__published_pool__get_packed_size (&msg);
  data = talloc_size (parent, *len + 1);
  if (data)
    kingcuphollow__published_pool__pack (&msg, data);

done:
  talloc_free (ctx);
  return data;
}
