#include <string.h>
#include <talloc.h>

#include "base/err.h"
#include "job/job_codec.h"
#include "node/node_priv.h"
#include "platform/wire_decode.h"

/* Requests of clients: submission, state and cancellation of jobs.  */

/* Deadline of a request that names none.  */
#define DEADLINE_DEFAULT_MS 3000
/* Part of the deadline that is left for sending the response.  */
#define DEADLINE_MARGIN_MS 300
/* Retry-After of a rejected request: the time for which the store has been
   unavailable, within these bounds, plus a jitter, so that clients do not all
   retry at once.  Observed outages last 4 to 10 s.  */
#define RETRY_AFTER_MIN_MS 1000
#define RETRY_AFTER_MAX_MS 6000
#define RETRY_AFTER_JITTER_MS 1000

/* What is answered with an old view.  "There is no such route", "there is no
   such job" and the number of waiting jobs are statements about the newest
   records; a process whose view is too old for them rejects the request.  A
   job is accepted under a configuration that is somewhat older: the store may
   take jobs while only the operators' records cannot be read.  That a job was
   stored and the state that it had reached stay true, so they are answered at
   any age.  */

/* An append to the store on behalf of a client's request.  */
struct pending_append
{
  struct pending_append *next, *prev; /* all of the process */
  struct node *nod;
  struct front_request *req; /* NULL: already answered at its deadline */
  struct timer *timer;
  uint64_t id;
  int64_t begun_us;
  bool cancel;
  char queue[NAME_BYTES];
};

static int
unlink_pending (struct pending_append *pen)
{
  if (pen->prev)
    pen->prev->next = pen->next;
  else
    pen->nod->pending_appends = pen->next;
  if (pen->next)
    pen->next->prev = pen->prev;
  return 0;
}

static void
reply (struct node *nod, struct front_request *req, enum front_status status,
       const char *reason, int64_t retry_after_ms)
{
  const struct front_response rsp = { .status = status,
                                      .reason = reason,
                                      .retry_after_ms = retry_after_ms };
  front_reply (req, &rsp);
}

static void
log_request (struct node *nod, enum log_event_id ev, uint64_t id,
             const char *queue, const char *reason)
{
  char text[JOB_ID_CHARS + 1];
  job_id_format (id, text);
  log_event (nod->lg, ev, LOG_S ("job", text), LOG_S ("queue", queue),
             LOG_S ("reason", reason),
             LOG_I ("version", nod->cat ? nod->cat->version : 0));
}

/* Time in ms after which a rejected client should retry.  ID selects the
   jitter.  */
static int64_t
store_retry_after_ms (const struct node *nod, uint64_t id)
{
  int64_t outage_ms
      = (clock_now_us (nod->clk) - follower_caught_up_us (&nod->operator_fol))
        / 1000;
  if (outage_ms < RETRY_AFTER_MIN_MS)
    outage_ms = RETRY_AFTER_MIN_MS;
  if (outage_ms > RETRY_AFTER_MAX_MS)
    outage_ms = RETRY_AFTER_MAX_MS;
  return outage_ms + (int64_t)(id % RETRY_AFTER_JITTER_MS);
}

static void
reject (struct node *nod, struct front_request *req, uint64_t id,
        const char *queue, const char *reason)
{
  log_request (nod, EV_JOB_REJECTED, id, queue, reason);
  counter_add (&nod->ctr, CTR_JOBS_REJECTED, 1);
  reply (nod, req, FRONT_REJECTED, reason, store_retry_after_ms (nod, id));
}

/* Rejects a request whose answer needs a newer view of WHAT, which was last
   known as of the monotonic time KNOWN_US.  */
static void
reject_old_view (struct node *nod, struct front_request *req, uint64_t id,
                 const char *what, int64_t known_us)
{
  int64_t age_us = clock_now_us (nod->clk) - known_us;
  log_event (nod->lg, EV_VIEW_TOO_OLD, LOG_S ("path", req->path),
             LOG_S ("view", what),
             LOG_I ("age_ms", known_us > 0 ? age_us / 1000 : -1),
             LOG_I ("version", nod->cat->version));
  counter_add (&nod->ctr, CTR_VIEWS_TOO_OLD, 1);
  reply (nod, req, FRONT_REJECTED, "view_too_old",
         store_retry_after_ms (nod, id));
}

static void
reject_old_config (struct node *nod, struct front_request *req, uint64_t id)
{
  reject_old_view (nod, req, id, "configuration",
                   follower_caught_up_us (&nod->operator_fol));
}

/* Rejects a job that its pool cannot do in time.  */
static void
reject_full (struct node *nod, struct front_request *req, uint64_t id,
             const char *queue, int64_t retry_after_ms)
{
  log_request (nod, EV_JOB_REJECTED, id, queue, "pool_full");
  counter_add (&nod->ctr, CTR_JOBS_REJECTED, 1);
  counter_add (&nod->ctr, CTR_JOBS_REJECTED_FULL, 1);
  reply (nod, req, FRONT_REJECTED, "pool_full", retry_after_ms);
}

static void
answer_unknown (struct pending_append *pen, const char *reason)
{
  log_request (pen->nod, EV_JOB_NOT_CONFIRMED, pen->id, pen->queue, reason);
  reply (pen->nod, pen->req, FRONT_OUTCOME_UNKNOWN, NULL, 0);
  pen->req = NULL;
}

static void
on_deadline (void *arg)
{
  struct pending_append *pen = arg;
  pen->timer = NULL;
  answer_unknown (pen, "no_answer");
}

bool
node_answer_pending (struct node *nod)
{
  bool any = false;
  for (struct pending_append *pen = nod->pending_appends; pen; pen = pen->next)
    if (pen->req)
      {
        any = true;
        TALLOC_FREE (pen->timer);
        answer_unknown (pen, "stopping");
      }
  return any;
}

static void
on_appended (void *arg, enum appender_outcome out, uint64_t offset)
{
  struct pending_append *pen = arg;
  struct node *nod = pen->nod;
  TALLOC_FREE (pen->timer);
  if (out == APPENDER_DONE && !pen->cancel)
    {
      log_request (nod, EV_JOB_ACCEPTED, pen->id, pen->queue, "stored");
      counter_add (&nod->ctr, CTR_JOBS_ACCEPTED, 1);
      if (follower_is_open (&nod->states_fol))
        state_view_note_stored (&nod->states, nod, pen->id,
                                clock_now_us (nod->clk));
      counter_add_time (&nod->ctr, HST_JOB_STORE,
                        clock_now_us (nod->clk) - pen->begun_us);
    }
  if (pen->req && out == APPENDER_DONE)
    reply (nod, pen->req, FRONT_OK, NULL, 0);
  else if (pen->req && out == APPENDER_UNKNOWN)
    {
      log_request (nod, EV_JOB_NOT_CONFIRMED, pen->id, pen->queue, "fenced");
      reply (nod, pen->req, FRONT_OUTCOME_UNKNOWN, NULL, 0);
    }
  else if (pen->req)
    reject (nod, pen->req, pen->id, pen->queue, "store_away");
  talloc_free (pen);
}

static void
append_record (struct node *nod, struct front_request *req,
               struct job_partition *prt, uint64_t id, const char *queue,
               bool cancel, const uint8_t *data, size_t len)
{
  char key[JOB_KEY_BYTES + 1];
  int64_t wait_ms
      = req->deadline_ms > 0 ? req->deadline_ms : DEADLINE_DEFAULT_MS;
  if (nod->rejects_jobs)
    {
      reject (nod, req, id, queue, "stopping");
      return;
    }
  struct pending_append *pen = talloc_zero (nod, struct pending_append);
  if (!pen)
    {
      reject (nod, req, id, queue, "no_memory");
      return;
    }
  wait_ms = wait_ms > 2 * DEADLINE_MARGIN_MS ? wait_ms - DEADLINE_MARGIN_MS
                                             : wait_ms / 2;
  pen->nod = nod;
  pen->next = nod->pending_appends;
  if (pen->next)
    pen->next->prev = pen;
  nod->pending_appends = pen;
  talloc_set_destructor (pen, unlink_pending);
  pen->req = req;
  pen->id = id;
  pen->begun_us = clock_now_us (nod->clk);
  pen->cancel = cancel;
  name_copy (pen->queue, queue);
  pen->timer = timer_add (nod->ev, pen, wait_ms * 1000, on_deadline, pen);
  job_key_format (cancel ? JOB_KEY_CANCEL : JOB_KEY_SPEC, id, key);
  const struct topic_entry ent = {
    .key = key, .key_len = JOB_KEY_BYTES, .value = data, .value_len = len
  };
  int err = appender_add (&prt->app, &ent, cancel, on_appended, pen);
  if (err)
    {
      talloc_free (pen);
      reject (nod, req, id, queue, err_name (err));
    }
}

/* Whether an earlier submission of the job ID waits for the store.  */
static bool
is_being_stored (const struct node *nod, uint64_t id)
{
  for (const struct pending_append *pen = nod->pending_appends; pen;
       pen = pen->next)
    if (pen->id == id && !pen->cancel)
      return true;
  return false;
}

/* Whether this process knows that no earlier request has stored the job ID,
   which it does not know, so that it may say that the job never runs.  */
static bool
certainly_not_stored (struct node *nod, const struct queue *que, uint64_t id)
{
  if (is_being_stored (nod, id))
    return false;
  /* It may be stored for the pool that the queue led to before.  */
  if (node_pool_uncertain (nod, que))
    return node_jobs_current (nod) || node_pools_published (nod);
  return (node_pool_followed (nod, que->pool)
          && node_pool_current (nod, que->pool))
         || node_published_pool (nod, que->pool);
}

/* Whether to reject the job ID because its pool cannot do it in time; then
   *RETRY_AFTER_MS is set.  Serving tasks come before all others, and jobs with
   a schedule are due later, so that these are always accepted.  */
static bool
pool_is_full (struct node *nod, const struct queue *que, uint64_t id,
              const struct job_spec *spec, int64_t *retry_after_ms)
{
  for (size_t n = 0; n < spec->step_count; n++)
    if (spec->steps[n].perpetual)
      return false;
  return spec->occurrences == 0 && certainly_not_stored (nod, que, id)
         && !node_pool_accepts (nod, que->pool, id, retry_after_ms);
}

static void
submit (struct node *nod, struct front_request *req, const struct queue *que,
        uint64_t id)
{
  int64_t retry_after_ms;
  struct job_spec spec;
  const char *fault;
  uint8_t *data;
  size_t len;
  struct job_partition *prt = node_job_partition (nod, que->pool);
  if (job_table_find (&nod->jobs, id) || state_view_find (&nod->states, id))
    {
      log_request (nod, EV_JOB_ACCEPTED, id, que->name, "known");
      reply (nod, req, FRONT_OK, NULL, 0);
      return;
    }
  bool usable = node_config_usable (nod);
  if (is_being_stored (nod, id)
      && (!usable || !prt || !node_partition_writable (prt)
          || nod->rejects_jobs))
    {
      log_request (nod, EV_JOB_NOT_CONFIRMED, id, que->name, "earlier_try");
      reply (nod, req, FRONT_OUTCOME_UNKNOWN, NULL, 0);
      return;
    }
  if (!usable)
    {
      reject_old_config (nod, req, id);
      return;
    }
  void *ctx = talloc_new (nod);
  int err = wire_decode_job (ctx, req->body, req->body_len, &spec, &fault);
  const struct job_acceptance acc
      = { .queue = que->name,
          .pool = que->pool,
          .accepted_ms = clock_wall_ms (nod->clk),
          .config_version = nod->cat->version,
          .pool_uncertain = node_pool_uncertain (nod, que),
          .attempts = que->attempts };
  if (!err)
    err = job_encode_spec (ctx, &acc, &spec, &data, &len);
  if (err == ERR_INVALID)
    {
      log_request (nod, EV_JOB_INVALID, id, que->name, fault);
      counter_add (&nod->ctr, CTR_JOBS_INVALID, 1);
      reply (nod, req, FRONT_INVALID, fault, 0);
    }
  else if (err || !prt)
    reject (nod, req, id, que->name, "no_memory");
  else if (!node_partition_writable (prt))
    reject (nod, req, id, que->name, "store_away");
  else if (pool_is_full (nod, que, id, &spec, &retry_after_ms))
    reject_full (nod, req, id, que->name, retry_after_ms);
  else
    append_record (nod, req, prt, id, que->name, false, data, len);
  talloc_free (ctx);
}

static void
cancel (struct node *nod, struct front_request *req, const struct queue *que,
        uint64_t id)
{
  static const uint8_t cancel_value[1] = { 1 };
  const struct job *row = job_table_find (&nod->jobs, id);
  /* A row that was deleted may have been withdrawn in favour of another one.
   */
  const struct job *job = row && !row->deleted ? row : NULL;
  const struct published_job *pub = state_view_find (&nod->states, id);
  /* The queue may have been sent to another pool since the job was stored.  */
  struct job_partition *prt
      = node_job_partition (nod, job ? job->pool : que->pool);
  /* An end that is not in the log is forgotten when this process loses the
     pool, and the job then runs again.  */
  if ((job && job->logged_state >= JOB_COMPLETED)
      || (pub && pub->state >= JOB_COMPLETED))
    reply (nod, req, FRONT_OK, NULL, 0);
  else if (!job && !pub && !node_config_usable (nod))
    reject_old_config (nod, req, id);
  else if (!prt || !node_partition_writable (prt))
    reject (nod, req, id, que->name, "store_away");
  else
    /* The cancellation of an unknown job is stored as well: another process
       may have accepted the job a moment ago.  */
    append_record (nod, req, prt, id, que->name, true, cancel_value,
                   sizeof cancel_value);
}

/* The job ID with the progress that the log holds, or NULL.  While the newest
   records are read for the first time, a job may be known without it, or
   without a record in another partition that holds instead.  */
static const struct job *
known_job (struct node *nod, uint64_t id)
{
  const struct job *job = job_table_find (&nod->jobs, id);
  if (!job || job->deleted || !node_pool_followed (nod, job->pool))
    return NULL;
  const struct queue *que = catalog_queue (nod->cat, job->queue);
  bool certain = que && strcmp (que->pool, job->pool) == 0
                 && !job->pool_uncertain && !job->contested;
  return certain || job->logged_state >= JOB_COMPLETED
                 || node_jobs_followed (nod)
             ? job
             : NULL;
}

void
node_reply_known_state (struct node *nod, struct front_request *req,
                        uint64_t id)
{
  const struct job *job = known_job (nod, id);
  const struct published_job *pub = state_view_find (&nod->states, id);
  const struct front_response rsp = { .status = FRONT_JOB_STATE,
                                      .state = job   ? job->logged_state
                                               : pub ? pub->state
                                                     : JOB_QUEUED };
  if (job || pub)
    front_reply (req, &rsp);
  else
    /* This process has changed its role since.  */
    reject_old_view (nod, req, id, "jobs", node_jobs_known_us (nod));
}

/* The follower whose next records may tell that the job has ended, or NULL if
   there is none: the job has ended, or this process owns its pool.  */
static struct follower *
state_follower (struct node *nod, const struct job *job,
                const struct published_job *pub)
{
  if (!job)
    return pub && pub->state < JOB_COMPLETED ? &nod->states_fol : NULL;
  struct job_partition *prt = node_job_partition (nod, job->pool);
  return job->logged_state < JOB_COMPLETED && prt
                 && !node_held_duty (nod, job->pool)
             ? &prt->fol
             : NULL;
}

static void
reply_job_state (struct node *nod, struct front_request *req,
                 const struct queue *que, uint64_t id)
{
  bool followed = node_pool_followed (nod, que->pool);
  const struct job *job = known_job (nod, id);
  const struct published_job *pub = state_view_find (&nod->states, id);
  struct follower *fol = state_follower (nod, job, pub);
  if (fol && follower_is_open (fol) && node_query_state (nod, req, fol, id))
    return;
  const struct job *row = job_table_find (&nod->jobs, id);
  if (job || pub)
    node_reply_known_state (nod, req, id);
  else if (row && row->deleted)
    /* It may have been withdrawn in favour of a record that is not read
       yet.  */
    reject_old_view (nod, req, id, "jobs", node_jobs_known_us (nod));
  else if (!node_config_current (nod))
    reject_old_config (nod, req, id);
  else if ((followed && node_jobs_current (nod)) || node_pools_published (nod))
    /* The queue may have been sent to another pool since the job was
       stored.  */
    reply (nod, req, FRONT_NO_JOB, NULL, 0);
  else
    reject_old_view (nod, req, id, "jobs", node_jobs_known_us (nod));
}

static void
reply_waiting (struct node *nod, struct front_request *req,
               const struct queue *que)
{
  struct front_response rsp = { .status = FRONT_QUEUE_WAITING };
  const struct published_pool *pool = node_published_pool (nod, que->pool);
  bool followed
      = node_pool_followed (nod, que->pool) && node_jobs_current (nod);
  if (!node_config_current (nod))
    reject_old_config (nod, req, 0);
  else if (!followed && !pool)
    reject_old_view (nod, req, 0, "jobs", node_jobs_known_us (nod));
  else
    {
      rsp.waiting = followed ? job_table_count_waiting (&nod->jobs, que->name)
                             : state_view_waiting (pool, que->name);
      front_reply (req, &rsp);
    }
}

void
node_handle_request (void *arg, struct front_request *req)
{
  struct node *nod = arg;
  uint64_t id = 0;
  if (!nod->cat)
    {
      reply (nod, req, FRONT_REJECTED, "no_configuration",
             store_retry_after_ms (nod, id));
      return;
    }
  const struct queue *que = catalog_route (nod->cat, req->host, req->path);
  if (!que && !node_config_current (nod))
    {
      reject_old_config (nod, req, id);
      return;
    }
  if (!que)
    {
      reply (nod, req, FRONT_NO_QUEUE, NULL, 0);
      return;
    }
  const char *rest = req->path + strlen (que->path_prefix);
  if (!*rest && req->op == FRONT_STATE)
    reply_waiting (nod, req, que);
  else if (!job_id_parse (rest, strlen (rest), &id)
           && !node_config_current (nod))
    /* A route with a longer prefix may have been added.  */
    reject_old_config (nod, req, 0);
  else if (!job_id_parse (rest, strlen (rest), &id))
    reply (nod, req, FRONT_INVALID, "job_id", 0);
  else if (req->op == FRONT_SUBMIT)
    submit (nod, req, que, id);
  else if (req->op == FRONT_CANCEL)
    cancel (nod, req, que, id);
  else
    reply_job_state (nod, req, que, id);
}
