#include <string.h>
#include <talloc.h>

#include "base/err.h"
#include "job/job_codec.h"
#include "node/node_priv.h"
#include "platform/wire_decode.h"

/* A client that does not say how long it waits is answered within this time.
 */
#define DEADLINE_DEFAULT_MS 3000
/* Left of the client's wait for the answer's way back.  */
#define DEADLINE_MARGIN_MS 300
/* A client that finds the store away is asked back after as long as the store
   has been away, within these bounds, and a part of a second of its own, so
   that clients do not return together: outages seen last 4 to 10 s.  */
#define AWAY_RETRY_MIN_MS 1000
#define AWAY_RETRY_MAX_MS 6000
#define AWAY_SPREAD_MS 1000

struct pending
{
  struct node *nod;
  struct front_request *req; /* NULL: answered */
  struct tevent_timer *timer;
  uint64_t id;
  bool cancel;
  char queue[NAME_BYTES];
};

static void
reply (struct node *nod, struct front_request *req, enum front_status status,
       const char *reason, int64_t retry_after_ms)
{
  const struct front_answer ans = { .status = status,
                                    .reason = reason,
                                    .retry_after_ms = retry_after_ms };
  front_reply (req, &ans);
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

/* When a client is likely to find the store back.  */
static int64_t
away_retry_ms (const struct node *nod, uint64_t id)
{
  int64_t away_ms
      = (clock_now_us (nod->clk) - follower_current_us (&nod->operator_fol))
        / 1000;
  if (away_ms < AWAY_RETRY_MIN_MS)
    away_ms = AWAY_RETRY_MIN_MS;
  if (away_ms > AWAY_RETRY_MAX_MS)
    away_ms = AWAY_RETRY_MAX_MS;
  return away_ms + (int64_t)(id % AWAY_SPREAD_MS);
}

static void
reject (struct node *nod, struct front_request *req, uint64_t id,
        const char *queue, const char *reason)
{
  log_request (nod, EV_JOB_REJECTED, id, queue, reason);
  counter_add (&nod->ctr, CTR_JOBS_REJECTED, 1);
  reply (nod, req, FRONT_REJECTED, reason, away_retry_ms (nod, id));
}

static void
on_deadline (struct tevent_context *ev, struct tevent_timer *te,
             struct timeval tv, void *arg)
{
  struct pending *pen = arg;
  pen->timer = NULL;
  log_request (pen->nod, EV_JOB_UNSETTLED, pen->id, pen->queue, "no_answer");
  reply (pen->nod, pen->req, FRONT_UNSETTLED, NULL, 0);
  pen->req = NULL;
}

static void
on_appended (void *arg, enum appender_outcome out, uint64_t offset)
{
  struct pending *pen = arg;
  struct node *nod = pen->nod;
  TALLOC_FREE (pen->timer);
  if (out == APPENDER_DONE && !pen->cancel)
    {
      log_request (nod, EV_JOB_ACCEPTED, pen->id, pen->queue, "stored");
      counter_add (&nod->ctr, CTR_JOBS_ACCEPTED, 1);
    }
  if (pen->req && out == APPENDER_DONE)
    reply (nod, pen->req, FRONT_OK, NULL, 0);
  else if (pen->req)
    reject (nod, pen->req, pen->id, pen->queue, "store_away");
  talloc_free (pen);
}

static void
append_record (struct node *nod, struct front_request *req, struct stream *stm,
               uint64_t id, const char *queue, bool cancel,
               const uint8_t *data, size_t len)
{
  char key[JOB_KEY_BYTES + 1];
  int64_t wait_ms
      = req->deadline_ms > 0 ? req->deadline_ms : DEADLINE_DEFAULT_MS;
  struct pending *pen = talloc_zero (nod, struct pending);
  if (!pen)
    {
      reject (nod, req, id, queue, "no_memory");
      return;
    }
  wait_ms = wait_ms > 2 * DEADLINE_MARGIN_MS ? wait_ms - DEADLINE_MARGIN_MS
                                             : wait_ms / 2;
  pen->nod = nod;
  pen->req = req;
  pen->id = id;
  pen->cancel = cancel;
  name_copy (pen->queue, queue);
  pen->timer = tevent_add_timer (
      nod->ev, pen,
      tevent_timeval_current_ofs (wait_ms / 1000, wait_ms % 1000 * 1000),
      on_deadline, pen);
  job_key_format (cancel ? JOB_KEY_CANCEL : JOB_KEY_SPEC, id, key);
  const struct topic_entry ent = {
    .key = key, .key_len = JOB_KEY_BYTES, .value = data, .value_len = len
  };
  int err = appender_add (&stm->app, &ent, cancel, on_appended, pen);
  if (err)
    {
      talloc_free (pen);
      reject (nod, req, id, queue, err_name (err));
    }
}

static void
submit (struct node *nod, struct front_request *req, const struct queue *que,
        uint64_t id)
{
  struct job_spec spec;
  const char *fault;
  uint8_t *data;
  size_t len;
  struct stream *stm = node_stream (nod, que->pool);
  struct job *job = job_table_find (&nod->jobs, id);
  if (job)
    {
      log_request (nod, EV_JOB_ACCEPTED, id, que->name, "known");
      reply (nod, req, FRONT_OK, NULL, 0);
      return;
    }
  void *ctx = talloc_new (nod);
  int err = wire_decode_job (ctx, req->body, req->body_len, &spec, &fault);
  if (!err)
    err = job_encode_spec (ctx, que->name, que->pool, clock_wall_ms (nod->clk),
                           &spec, &data, &len);
  if (err == ERR_INVALID)
    {
      log_request (nod, EV_JOB_INVALID, id, que->name, fault);
      counter_add (&nod->ctr, CTR_JOBS_INVALID, 1);
      reply (nod, req, FRONT_INVALID, fault, 0);
    }
  else if (err || !stm)
    reject (nod, req, id, que->name, "no_memory");
  else if (!node_stream_writable (stm))
    reject (nod, req, id, que->name, "store_away");
  else
    append_record (nod, req, stm, id, que->name, false, data, len);
  talloc_free (ctx);
}

static void
cancel (struct node *nod, struct front_request *req, const struct queue *que,
        uint64_t id)
{
  static const uint8_t mark[1] = { 1 };
  struct job *job = job_table_find (&nod->jobs, id);
  struct stream *stm = node_stream (nod, que->pool);
  if (job && job_ended (job))
    reply (nod, req, FRONT_OK, NULL, 0);
  else if (!stm || !node_stream_writable (stm))
    reject (nod, req, id, que->name, "store_away");
  else
    /* A job that is not known here may have been accepted elsewhere just
       now.  */
    append_record (nod, req, stm, id, que->name, true, mark, sizeof mark);
}

static void
tell_state (struct node *nod, struct front_request *req, uint64_t id)
{
  struct job *job = job_table_find (&nod->jobs, id);
  const struct front_answer ans
      = { .status = FRONT_JOB_STATE,
          .state = job ? job->logged_state : JOB_QUEUED };
  if (job)
    front_reply (req, &ans);
  else if (node_view_current (nod))
    reply (nod, req, FRONT_NO_JOB, NULL, 0);
  else
    reply (nod, req, FRONT_REJECTED, "view_too_old", away_retry_ms (nod, id));
}

void
node_request (void *arg, struct front_request *req)
{
  struct node *nod = arg;
  uint64_t id = 0;
  if (!nod->cat)
    {
      reply (nod, req, FRONT_REJECTED, "no_configuration",
             away_retry_ms (nod, id));
      return;
    }
  const struct queue *que = catalog_route (nod->cat, req->host, req->path);
  if (!que)
    {
      reply (nod, req, FRONT_NO_QUEUE, NULL, 0);
      return;
    }
  const char *rest = req->path + strlen (que->path_prefix);
  if (!*rest && req->op == FRONT_STATE)
    {
      const struct front_answer ans
          = { .status = FRONT_QUEUE_WAITING,
              .waiting = job_table_waiting (&nod->jobs, que->name) };
      front_reply (req, &ans);
    }
  else if (!job_id_parse (rest, strlen (rest), &id))
    reply (nod, req, FRONT_INVALID, "job_id", 0);
  else if (req->op == FRONT_SUBMIT)
    submit (nod, req, que, id);
  else if (req->op == FRONT_CANCEL)
    cancel (nod, req, que, id);
  else
    tell_state (nod, req, id);
}
