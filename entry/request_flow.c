#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/time.h>
#include <talloc.h>
#include <tevent.h>
#include <utlist.h>

#include "base/clock.h"
#include "base/counter.h"
#include "base/err.h"
#include "base/log.h"
#include "entry/traffic_priv.h"

/* How often a request waits after a target refused it; the next refusal ends
   it.  */
#define REFUSAL_WAITS_MAX 16
/* Longest wait for the release of a claim to be recorded before "not run" is
   replied; after it, the reply says that the key is still held.  */
#define RELEASE_TIMEOUT_US 2000000
/* Part of the time before the deadline that is reserved for returning the
   answer to the caller.  */
#define REPLY_MARGIN_US 2000
/* The thread runs at least every 20 ms; a gap above this limit counts as a
   pause.  */
#define PAUSE_MIN_US 300000
/* Time after a pause in which the requests that waited in sockets are read. */
#define PAUSE_BACKLOG_US 500000
/* Retry hint for a caller when it is not known when capacity will be
   available.  */
#define RETRY_AFTER_DEFAULT_US 1000000

static int64_t
now_us (const struct traffic *trf)
{
  return clock_now_us (trf->clk);
}

static void
count_outcome (struct traffic *trf, const struct request *req)
{
  static const enum counter_id ids[] = {
    [OUTCOME_ANSWERED] = CTR_ANSWERED,
    [OUTCOME_NOT_RUN] = CTR_NOT_RUN,
    [OUTCOME_UNKNOWN] = CTR_UNKNOWN,
  };
  counter_add (trf->ctr, ids[req->outcome], 1);
}

static bool
holds_slot (const struct request *req)
{
  return req->admitted_us != 0;
}

static void
send_reply (struct traffic *trf, struct request *req)
{
  count_outcome (trf, req);
  request_trace_record_end (trf, req);
  log_event (trf->lg, EV_REQUEST_DONE, LOG_S ("request", req->id),
             LOG_S ("caller", req->caller), LOG_S ("kind", req->kind_name),
             LOG_S ("outcome", outcome_name (req->outcome)),
             LOG_S ("reason", reason_name (req->reason)),
             LOG_I ("status", req->status), LOG_I ("attempts", req->attempts),
             LOG_S ("target", req->target_name),
             LOG_I ("total_us", now_us (trf) - req->arrival_us));
  waiters_remove (trf, req);
  DL_DELETE (trf->open_requests, req);
  trf->open_count--;
  listener_reply (trf->lis, req);
}

void
flow_release_slot (struct traffic *trf, struct request *req)
{
  if (!holds_slot (req))
    return;
  int64_t now = now_us (trf);
  admit_end (&trf->adm, &req->item, now, now - req->admitted_us);
  req->admitted_us = 0;
  waiters_serve (trf, req->pool);
  flow_start_queued (trf, req->pool);
}

static bool
post_release (struct traffic *trf, struct request *req)
{
  struct message_claim_release *msg
      = message_new (MSG_CLAIM_RELEASE, sizeof *msg);
  if (!msg)
    return false;
  msg->req = req;
  msg->key = req->claim_key;
  msg->claim_id = req->claim_id;
  msg->deadline_us = now_us (trf) + RELEASE_TIMEOUT_US;
  if (mailbox_post (trf->control, &msg->base))
    return true;
  free (msg);
  return false;
}

static void
post_result (struct traffic *trf, struct request *req)
{
  bool answered = req->outcome == OUTCOME_ANSWERED;
  size_t len = answered ? req->answer_len : 0;
  struct message_claim_result *msg
      = message_new (MSG_CLAIM_RESULT, sizeof *msg + len);
  if (!msg)
    return;
  msg->key = req->claim_key;
  msg->claim_id = req->claim_id;
  msg->answered = answered;
  msg->status = req->status;
  msg->body_len = len;
  if (len > 0)
    memcpy (msg->body, req->answer, len);
  if (!mailbox_post (trf->control, &msg->base))
    free (msg);
}

void
flow_finish (struct traffic *trf, struct request *req,
             enum request_outcome outcome, enum request_reason reason)
{
  req->outcome = outcome;
  req->reason = reason;
  if (outcome != OUTCOME_ANSWERED)
    req->status = reason_status (reason);
  if (outcome == OUTCOME_NOT_RUN && req->retry_after_us == 0
      && req->status >= 429)
    req->retry_after_us = RETRY_AFTER_DEFAULT_US;
  waiters_remove (trf, req);

  if (req->claimed && outcome == OUTCOME_NOT_RUN)
    {
      /* "Not run" is replied only once the key can be used again.  */
      req->state = REQUEST_RELEASING;
      request_trace_record_step (trf, req, TRACE_RELEASE_REQUESTED, 0, 0);
      if (post_release (trf, req))
        {
          flow_release_slot (trf, req);
          return;
        }
      req->key_held = true;
    }
  else if (req->claimed)
    post_result (trf, req);
  flow_release_slot (trf, req);
  send_reply (trf, req);
}

void
flow_claim_released (struct traffic *trf,
                     const struct message_claim_released *msg)
{
  msg->req->key_held = !msg->recorded;
  request_trace_record_step (trf, msg->req, TRACE_RELEASED, msg->recorded, 0);
  send_reply (trf, msg->req);
}

static enum request_reason
refusal_reason (enum admit_reason reason)
{
  switch (reason)
    {
    case ADMIT_REASON_QUEUE_FULL:
      return REASON_QUEUE_FULL;
    case ADMIT_REASON_QUEUE_DEADLINE:
      return REASON_QUEUE_DEADLINE;
    case ADMIT_REASON_DEADLINE:
      return REASON_DEADLINE;
    case ADMIT_REASON_NO_CAPACITY:
      return REASON_NO_CAPACITY;
    case ADMIT_REASON_UNKNOWN_KIND:
      return REASON_UNKNOWN_KIND;
    case ADMIT_REASON_NONE:
      break;
    }
  return REASON_INTERNAL;
}

/* Ends a request that has no answer: as unknown if it may have run, and
   otherwise as not run.  */
static void
finish_unanswered (struct traffic *trf, struct request *req,
                   enum request_reason not_run, enum request_reason unknown)
{
  if (req->may_have_run)
    flow_finish (trf, req, OUTCOME_UNKNOWN, unknown);
  else
    flow_finish (trf, req, OUTCOME_NOT_RUN, not_run);
}

static void
log_routed (struct traffic *trf, const struct request *req,
            const struct route_choice *choice)
{
  char text[256] = "";
  size_t len = 0;
  for (uint32_t n = 0; n < choice->candidate_count; n++)
    {
      const struct route_candidate *cand = &choice->candidates[n];
      const struct target_info *info
          = route_target_info (&trf->rt, cand->target);
      len += snprintf (text + len, sizeof text - len, "%s%s:%u/%u",
                       n ? "," : "", info ? info->host : "?", cand->in_flight,
                       cand->slots);
      if (len >= sizeof text)
        break;
    }
  const struct target_info *info
      = route_target_info (&trf->rt, choice->target);
  log_event (trf->lg, EV_REQUEST_ROUTED, LOG_S ("request", req->id),
             LOG_S ("kind", req->kind_name), LOG_I ("attempt", req->attempts),
             LOG_S ("target", info ? info->host : "?"),
             LOG_S ("candidates", text));
}

static void
account_attempt (struct traffic *trf, struct request *req,
                 const struct attempt_reply *reply)
{
  int64_t now = now_us (trf);
  route_attempt_end (&trf->rt, req->target, reply->result, reply->latency_us,
                     reply->slots_in_use, now);
  if (reply->leaving)
    route_mark_leaving (&trf->rt, req->target, now);
  if (reply->result == ATTEMPT_TARGET_REFUSED)
    counter_add (trf->ctr, CTR_TARGET_REFUSALS, 1);
  if (!attempt_certainly_not_run (reply->result))
    req->may_have_run = true;
  if (reply->result != ATTEMPT_ANSWERED)
    log_event (trf->lg, EV_ATTEMPT_FAILED, LOG_S ("request", req->id),
               LOG_S ("target", req->target_name),
               LOG_S ("result", attempt_result_name (reply->result)),
               LOG_I ("status", reply->status),
               LOG_I ("latency_us", reply->latency_us));
}

static void
finish_answered (struct traffic *trf, struct request *req,
                 struct attempt_reply *reply)
{
  req->answer = reply->body;
  req->answer_len = reply->body_len;
  reply->body = NULL;
  req->status = reply->status;
  snprintf (req->content_type, sizeof req->content_type, "%s",
            reply->content_type);
  flow_finish (trf, req, OUTCOME_ANSWERED, REASON_NONE);
}

/* A refusal means that the target's slots are in use, not that the target
   fails, so the request waits for a slot as it would in the queue.  A target
   that refused counts as full for a while, so waiting requests do not flood it
   with attempts.  Returns false once the request has waited REFUSAL_WAITS_MAX
   times.  */
static bool
wait_after_refusal (struct traffic *trf, struct request *req)
{
  if (req->target_refusals++ >= REFUSAL_WAITS_MAX)
    return false;
  req->query.avoid_count = 0;
  waiters_add (trf, req);
  return true;
}

static void
on_attempt (void *arg, struct attempt_reply *reply)
{
  struct request *req = arg;
  struct traffic *trf = req->traffic;

  req->attempt = NULL;
  account_attempt (trf, req, reply);
  request_trace_record_result (trf, req, TRACE_RESULT, reply);
  if (reply->result == ATTEMPT_ANSWERED)
    {
      finish_answered (trf, req, reply);
      return;
    }

  const struct retry_query query = {
    .idempotent = req->idempotent,
    .result = reply->result,
    .attempts = req->attempts,
    .max_attempts = req->max_attempts,
    .deadline_us = req->item.deadline_us,
    .expected_us = REPLY_MARGIN_US,
  };
  enum retry_verdict verdict
      = retry_allow (&trf->retry_budget, &query, now_us (trf));
  request_trace_record_step (trf, req, TRACE_RETRY, verdict, 0);
  if (verdict == RETRY_YES)
    {
      counter_add (trf->ctr, CTR_RETRIES, 1);
      if (req->query.avoid_count < ROUTE_AVOID_MAX)
        req->query.avoid[req->query.avoid_count++] = req->target;
      flow_send_attempt (trf, req);
      return;
    }
  log_event (trf->lg, EV_RETRY_REFUSED, LOG_S ("request", req->id),
             LOG_S ("verdict", retry_verdict_name (verdict)));
  if (reply->result == ATTEMPT_SERVER_ERROR)
    finish_answered (trf, req, reply);
  else if (reply->result == ATTEMPT_TARGET_REFUSED
           && wait_after_refusal (trf, req))
    return;
  else
    finish_unanswered (
        trf, req,
        reply->result == ATTEMPT_TARGET_REFUSED ? REASON_REFUSED
                                                : REASON_NO_TARGET,
        reply->bad_answer ? REASON_BAD_ANSWER : REASON_NO_ANSWER);
}

static void
send_to_target (struct traffic *trf, struct request *req,
                const struct route_choice *choice, int64_t left_us)
{
  char path[REQUEST_NAME_MAX + 8];
  const struct target_info *info
      = route_target_info (&trf->rt, choice->target);
  waiters_remove (trf, req);
  snprintf (path, sizeof path, "/run/%s", req->kind_name);
  snprintf (req->target_name, sizeof req->target_name, "%s", info->host);
  const struct attempt_call call = {
    .address = info->address,
    .path = path,
    .request_id = req->id,
    .key = req->has_key ? req->key : NULL,
    .caller = req->caller,
    .number = req->attempts + 1,
    .body = req->body,
    .body_len = req->body_len,
    .timeout_ms = (left_us - REPLY_MARGIN_US) / 1000,
    .may_repeat = req->idempotent,
  };
  req->target = choice->target;
  int err = dispatch_send (trf->dsp, &call, on_attempt, req, &req->attempt);
  if (err)
    {
      finish_unanswered (trf, req, REASON_OVERLOADED, REASON_NO_ANSWER);
      return;
    }
  if (req->attempts++ == 0)
    retry_budget_first_attempt (&trf->retry_budget);
  counter_add (trf->ctr, CTR_ATTEMPTS, 1);
  route_attempt_begin (&trf->rt, choice->target, now_us (trf));
  req->state = REQUEST_SENT;
  log_routed (trf, req, choice);
  request_trace_record_sent (trf, req, choice);
}

void
flow_send_attempt (struct traffic *trf, struct request *req)
{
  struct route_choice choice;
  int64_t now = now_us (trf);
  int64_t left_us = req->item.deadline_us - now;

  /* The process may have been paused; a request past its deadline is never
     sent.  */
  if (left_us < REPLY_MARGIN_US + 1000)
    {
      finish_unanswered (trf, req, REASON_DEADLINE, REASON_NO_ANSWER);
      return;
    }
  if (!req->waits_for_target && waiters_any (trf, req->pool))
    {
      waiters_add (trf, req);
      return;
    }
  int err = route_pick (&trf->rt, &req->query, now, &choice);
  if (err == ERR_FULL)
    waiters_add (trf, req);
  else if (err && !flow_forward (trf, req))
    finish_unanswered (trf, req, REASON_NO_TARGET, REASON_NO_ANSWER);
  else if (err)
    {
      waiters_remove (trf, req);
      flow_release_slot (trf, req);
    }
  else
    send_to_target (trf, req, &choice, left_us);
}

static void
post_claim (struct traffic *trf, struct request *req)
{
  struct message_claim *msg = message_new (MSG_CLAIM, sizeof *msg);
  if (!msg)
    {
      flow_finish (trf, req, OUTCOME_NOT_RUN, REASON_INTERNAL);
      return;
    }
  req->claim_key = claim_key_make (req->caller, req->kind_name, req->key);
  msg->req = req;
  msg->key = req->claim_key;
  msg->body_digest = claim_body_digest (req->body, req->body_len);
  msg->deadline_us = req->item.deadline_us - REPLY_MARGIN_US;
  req->state = REQUEST_CLAIMING;
  request_trace_record_step (trf, req, TRACE_CLAIM_REQUESTED, 0, 0);
  if (!mailbox_post (trf->control, &msg->base))
    {
      free (msg);
      flow_finish (trf, req, OUTCOME_NOT_RUN, REASON_DRAINING);
    }
}

static void
start_request (struct traffic *trf, struct request *req)
{
  req->admitted_us = now_us (trf);
  request_trace_record_step (trf, req, TRACE_ADMITTED, 0, 0);
  if (req->idempotent)
    flow_send_attempt (trf, req);
  else
    post_claim (trf, req);
}

/* Ends a request whose key was claimed before, with what is known of the
   request that claimed it.  */
static void
finish_duplicate (struct traffic *trf, struct request *req,
                  const struct message_claim_verdict *msg)
{
  if (msg->result == CLAIM_RESULT_ANSWERED && msg->has_body)
    {
      req->answer = malloc (msg->body_len + 1);
      if (req->answer)
        {
          memcpy (req->answer, msg->body, msg->body_len);
          req->answer_len = msg->body_len;
          req->status = msg->status;
          flow_finish (trf, req, OUTCOME_ANSWERED, REASON_DUPLICATE);
          return;
        }
    }
  req->retry_after_us = RETRY_AFTER_DEFAULT_US;
  flow_finish (trf, req, OUTCOME_UNKNOWN,
               msg->result == CLAIM_RESULT_NONE ? REASON_DUPLICATE_NO_RESULT
                                                : REASON_DUPLICATE);
}

void
flow_claim_settled (struct traffic *trf,
                    const struct message_claim_verdict *msg)
{
  struct request *req = msg->req;

  request_trace_record_step (trf, req, TRACE_CLAIM_VERDICT, msg->verdict,
                             msg->result);
  log_event (trf->lg, EV_CLAIM_VERDICT, LOG_S ("request", req->id),
             LOG_I ("verdict", msg->verdict), LOG_I ("known", msg->result));
  switch (msg->verdict)
    {
    case CLAIM_GRANTED:
      req->claimed = true;
      req->claim_id = msg->claim_id;
      flow_send_attempt (trf, req);
      break;
    case CLAIM_DUPLICATE:
      finish_duplicate (trf, req, msg);
      break;
    case CLAIM_KEY_REUSED:
      flow_finish (trf, req, OUTCOME_NOT_RUN, REASON_KEY_REUSED);
      break;
    case CLAIM_UNAVAILABLE:
      flow_finish (trf, req, OUTCOME_NOT_RUN, REASON_CLAIM_UNAVAILABLE);
      break;
    case CLAIM_TIMEOUT:
      flow_finish (trf, req, OUTCOME_NOT_RUN, REASON_CLAIM_TIMEOUT);
      break;
    case CLAIM_OVERLOADED:
      flow_finish (trf, req, OUTCOME_NOT_RUN, REASON_OVERLOADED);
      break;
    }
}

static enum request_reason
validate_request (struct traffic *trf, struct request *req)
{
  if (req->reject_reason != REASON_NONE)
    return req->reject_reason;
  if (trf->rejecting)
    return REASON_DRAINING;
  if (trf->open_count > trf->set.max_open)
    return REASON_OVERLOADED;
  if (!trf->view)
    return REASON_STARTING;
  int kind = view_find_kind (trf->view, req->kind_name);
  if (kind < 0 || trf->view->kinds[kind].removed)
    return REASON_UNKNOWN_KIND;
  const struct view_kind *vk = &trf->view->kinds[kind];
  req->item.kind = (uint32_t)kind;
  req->idempotent = vk->idempotent;
  req->pool = vk->limits.pool;
  req->max_attempts
      = trf->policy_attempts ? trf->policy_attempts : vk->max_attempts;
  if (!req->idempotent && !req->has_key)
    return REASON_MISSING_KEY;
  return REASON_NONE;
}

bool
flow_backlog_unread (const struct traffic *trf)
{
  return trf->pause_end_us != 0
         && trf->last_run_us - trf->pause_end_us < PAUSE_BACKLOG_US;
}

void
flow_backlog_read (struct traffic *trf)
{
  trf->pause_end_us = 0;
}

void
flow_detect_pause (struct traffic *trf)
{
  int64_t now = now_us (trf);
  if (now - trf->last_run_us > PAUSE_MIN_US)
    {
      /* Requests that waited in an earlier pause may still be unread.  */
      if (!flow_backlog_unread (trf))
        trf->pause_start_us = trf->last_run_us;
      trf->pause_end_us = now;
      log_event (trf->lg, EV_TRAFFIC_PAUSED,
                 LOG_I ("pause_us", now - trf->last_run_us));
    }
  trf->last_run_us = now;
}

/* A request read right after a pause counts as having arrived when the pause
   began: it may have waited in the socket since then, and its caller may have
   given up.  */
static int64_t
arrival_time (struct traffic *trf)
{
  flow_detect_pause (trf);
  return flow_backlog_unread (trf) ? trf->pause_start_us : trf->last_run_us;
}

void
flow_submit (struct traffic *trf, struct request *req)
{
  struct admit_refusal ref = { 0 };

  req->traffic = trf;
  req->arrival_us = arrival_time (trf);
  request_trace_record_begin (trf, req);
  DL_APPEND (trf->open_requests, req);
  trf->open_count++;
  counter_add (trf->ctr, CTR_REQUESTS, 1);
  enum request_reason reason = validate_request (trf, req);
  if (reason != REASON_NONE)
    {
      if (reason_status (reason) < 429)
        counter_add (trf->ctr, CTR_BAD_INPUT, 1);
      flow_finish (trf, req, OUTCOME_NOT_RUN, reason);
      return;
    }
  int64_t deadline_ms
      = req->deadline_ms ? req->deadline_ms : trf->set.default_deadline_ms;
  req->item.deadline_us = req->arrival_us + deadline_ms * 1000;
  req->query.pool = req->pool;
  req->query.data_centre = trf->set.data_centre;

  switch (admit_offer (&trf->adm, &req->item, now_us (trf), &ref))
    {
    case ADMIT_START:
      start_request (trf, req);
      break;
    case ADMIT_QUEUED:
      req->state = REQUEST_QUEUED;
      request_trace_record_step (trf, req, TRACE_QUEUED, 0, 0);
      log_event (trf->lg, EV_REQUEST_QUEUED, LOG_S ("request", req->id),
                 LOG_S ("kind", req->kind_name));
      flow_expire_queued (trf);
      break;
    case ADMIT_REFUSED:
      if (ref.reason == ADMIT_REASON_NO_CAPACITY && flow_forward (trf, req))
        break;
      req->retry_after_us = ref.retry_after_us;
      flow_finish (trf, req, OUTCOME_NOT_RUN, refusal_reason (ref.reason));
      break;
    }
}

static void
start_queued_in_pool (struct traffic *trf, uint32_t pool)
{
  struct admit_item *item;
  while ((item = admit_next (&trf->adm, pool, now_us (trf))))
    start_request (trf, (struct request *)item);
}

/* A request that ends at once releases its slot from inside this loop.  The
   flag prevents a recursion as deep as the queue is long.  */
void
flow_start_queued (struct traffic *trf, uint32_t pool)
{
  if (trf->starting_queued)
    {
      trf->start_again = true;
      return;
    }
  trf->starting_queued = true;
  start_queued_in_pool (trf, pool);
  while (trf->start_again)
    {
      trf->start_again = false;
      for (uint32_t n = 0; n < trf->view->pool_count; n++)
        start_queued_in_pool (trf, n);
    }
  trf->starting_queued = false;
}

void
flow_start_all_queued (struct traffic *trf)
{
  for (uint32_t pool = 0; trf->view && pool < trf->view->pool_count; pool++)
    flow_start_queued (trf, pool);
}

static void
on_expiry (struct tevent_context *ev, struct tevent_timer *te,
           struct timeval tv, void *arg)
{
  struct traffic *trf = arg;
  trf->expiry_timer = NULL;
  flow_expire_queued (trf);
}

void
flow_expire_queued (struct traffic *trf)
{
  struct admit_refusal ref;
  struct admit_item *item;
  int64_t now = now_us (trf);

  while ((item = admit_expire (&trf->adm, now, &ref)))
    {
      struct request *req = (struct request *)item;
      req->retry_after_us = ref.retry_after_us;
      flow_finish (trf, req, OUTCOME_NOT_RUN, refusal_reason (ref.reason));
    }
  TALLOC_FREE (trf->expiry_timer);
  int64_t next = admit_next_expiry_us (&trf->adm);
  if (next == INT64_MAX)
    return;
  int64_t wait = next > now ? next - now : 0;
  trf->expiry_timer = tevent_add_timer (
      trf->ev, trf->ev,
      tevent_timeval_current_ofs (wait / 1000000, wait % 1000000 + 100),
      on_expiry, trf);
}

void
flow_abort_all (struct traffic *trf)
{
  struct request *req;
  struct request *tmp;

  DL_FOREACH_SAFE (trf->open_requests, req, tmp)
    {
      if (req->attempt)
        {
          dispatch_cancel (req->attempt);
          req->attempt = NULL;
          req->may_have_run = true;
        }
      if (req->state == REQUEST_RELEASING)
        {
          req->key_held = true;
          send_reply (trf, req);
          continue;
        }
      if (req->state == REQUEST_QUEUED)
        admit_cancel (&trf->adm, &req->item);
      req->admitted_us = 0;
      req->outcome = req->may_have_run ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN;
      req->reason = req->may_have_run ? REASON_STOPPED : REASON_DRAINING;
      req->status = reason_status (req->reason);
      req->key_held = req->claimed || req->state == REQUEST_CLAIMING;
      send_reply (trf, req);
    }
}
