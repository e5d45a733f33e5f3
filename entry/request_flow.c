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

/* Refusals by targets' guards after which a request ends as refused.  */
#define GUARD_WAITS_MAX 16
/* Time for the release of a claim to be recorded before the caller hears of
   "not run"; beyond, the reply says that the key is still held.  */
#define RELEASE_TIMEOUT_US 2000000
/* Left for the answer's way back to the caller within its deadline.  */
#define REPLY_MARGIN_US 2000
/* A thread that did not run for this long was paused; it runs every 20 ms. */
#define PAUSE_US 300000
/* Time in which the requests that waited in sockets are read afterwards.  */
#define PAUSE_BACKLOG_US 500000
/* Told to a caller when nothing is known about when capacity comes back.  */
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
  return req->start_us != 0;
}

static void
reply_now (struct traffic *trf, struct request *req)
{
  count_outcome (trf, req);
  note_end (trf, req);
  log_event (trf->lg, EV_REQUEST_DONE, LOG_S ("request", req->id),
             LOG_S ("caller", req->caller), LOG_S ("kind", req->kind_name),
             LOG_S ("outcome", outcome_name (req->outcome)),
             LOG_S ("reason", reason_name (req->reason)),
             LOG_I ("status", req->status), LOG_I ("attempts", req->attempts),
             LOG_S ("target", req->target_name),
             LOG_I ("total_us", now_us (trf) - req->arrival_us));
  waiters_remove (trf, req);
  DL_DELETE (trf->open, req);
  trf->open_count--;
  listener_reply (trf->lis, req);
}

/* Gives the slot back and lets the next one start.  */
void
flow_leave_slot (struct traffic *trf, struct request *req)
{
  if (!holds_slot (req))
    return;
  int64_t now = now_us (trf);
  admit_end (&trf->adm, &req->item, now, now - req->start_us);
  req->start_us = 0;
  waiters_serve (trf, req->pool);
  flow_pump (trf, req->pool);
}

static bool
post_release (struct traffic *trf, struct request *req)
{
  struct mail_release *mail = mail_new (MAIL_RELEASE, sizeof *mail);
  if (!mail)
    return false;
  mail->req = req;
  mail->key = req->claim_key;
  mail->claim_id = req->claim_id;
  mail->deadline_us = now_us (trf) + RELEASE_TIMEOUT_US;
  if (mailbox_post (trf->control, &mail->mail))
    return true;
  free (mail);
  return false;
}

static void
post_done (struct traffic *trf, struct request *req)
{
  bool answered = req->outcome == OUTCOME_ANSWERED;
  size_t len = answered ? req->answer_len : 0;
  struct mail_done *mail = mail_new (MAIL_DONE, sizeof *mail + len);
  if (!mail)
    return;
  mail->key = req->claim_key;
  mail->claim_id = req->claim_id;
  mail->answered = answered;
  mail->status = req->status;
  mail->body_len = len;
  if (len > 0)
    memcpy (mail->body, req->answer, len);
  if (!mailbox_post (trf->control, &mail->mail))
    free (mail);
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
      /* The caller hears "not run" only once the key can be used again.  */
      req->state = REQUEST_RELEASING;
      note_step (trf, req, STORY_RELEASE_ASKED, 0, 0);
      if (post_release (trf, req))
        {
          flow_leave_slot (trf, req);
          return;
        }
      req->key_held = true;
    }
  else if (req->claimed)
    post_done (trf, req);
  flow_leave_slot (trf, req);
  reply_now (trf, req);
}

void
flow_released (struct traffic *trf, const struct mail_released *mail)
{
  mail->req->key_held = !mail->recorded;
  note_step (trf, mail->req, STORY_RELEASED, mail->recorded, 0);
  reply_now (trf, mail->req);
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

/* What is true of a request that ends now without an answer.  */
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
      const struct target_info *info = route_target (&trf->rt, cand->target);
      len += snprintf (text + len, sizeof text - len, "%s%s:%u/%u",
                       n ? "," : "", info ? info->host : "?", cand->in_flight,
                       cand->slots);
      if (len >= sizeof text)
        break;
    }
  const struct target_info *info = route_target (&trf->rt, choice->target);
  log_event (trf->lg, EV_REQUEST_ROUTED, LOG_S ("request", req->id),
             LOG_S ("kind", req->kind_name), LOG_I ("attempt", req->attempts),
             LOG_S ("target", info ? info->host : "?"),
             LOG_S ("candidates", text));
}

static void
note_attempt (struct traffic *trf, struct request *req,
              const struct attempt_reply *reply)
{
  int64_t now = now_us (trf);
  route_end (&trf->rt, req->target, reply->result, reply->latency_us,
             reply->slots_in_use, now);
  if (reply->leaving)
    route_mark_leaving (&trf->rt, req->target, now);
  if (reply->result == ATTEMPT_GUARD_REFUSED)
    counter_add (trf->ctr, CTR_GUARD_REFUSALS, 1);
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

/* A guard refusal says that the slots are taken, not that the target fails:
   the request waits for a slot as it would have in the queue.  A target that
   refused counts as full for a while, so this sends no storm of attempts.
   Returns false when it has waited often enough.  */
static bool
wait_after_refusal (struct traffic *trf, struct request *req)
{
  if (req->guard_refusals++ >= GUARD_WAITS_MAX)
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
  note_attempt (trf, req, reply);
  note_result (trf, req, STORY_RESULT, reply);
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
  enum retry_verdict verdict = retry_allow (&trf->bud, &query, now_us (trf));
  note_step (trf, req, STORY_RETRY, verdict, 0);
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
  else if (reply->result == ATTEMPT_GUARD_REFUSED
           && wait_after_refusal (trf, req))
    return;
  else
    finish_unanswered (
        trf, req,
        reply->result == ATTEMPT_GUARD_REFUSED ? REASON_REFUSED
                                               : REASON_NO_TARGET,
        reply->bad_answer ? REASON_BAD_ANSWER : REASON_NO_ANSWER);
}

static void
dispatch_to (struct traffic *trf, struct request *req,
             const struct route_choice *choice, int64_t left_us)
{
  char path[REQUEST_NAME_MAX + 8];
  const struct target_info *info = route_target (&trf->rt, choice->target);
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
    retry_budget_first_attempt (&trf->bud);
  counter_add (trf->ctr, CTR_ATTEMPTS, 1);
  route_begin (&trf->rt, choice->target, now_us (trf));
  req->state = REQUEST_SENT;
  log_routed (trf, req, choice);
  note_sent (trf, req, choice);
}

void
flow_send_attempt (struct traffic *trf, struct request *req)
{
  struct route_choice choice;
  int64_t now = now_us (trf);
  int64_t left_us = req->item.deadline_us - now;

  /* Also reached by a process that was paused: what is past its deadline is
     never sent.  */
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
      flow_leave_slot (trf, req);
    }
  else
    dispatch_to (trf, req, &choice, left_us);
}

static void
post_claim (struct traffic *trf, struct request *req)
{
  struct mail_claim *mail = mail_new (MAIL_CLAIM, sizeof *mail);
  if (!mail)
    {
      flow_finish (trf, req, OUTCOME_NOT_RUN, REASON_INTERNAL);
      return;
    }
  req->claim_key = claim_key_make (req->caller, req->kind_name, req->key);
  mail->req = req;
  mail->key = req->claim_key;
  mail->body_digest = claim_body_digest (req->body, req->body_len);
  mail->deadline_us = req->item.deadline_us - REPLY_MARGIN_US;
  req->state = REQUEST_CLAIMING;
  note_step (trf, req, STORY_CLAIM_ASKED, 0, 0);
  if (!mailbox_post (trf->control, &mail->mail))
    {
      free (mail);
      flow_finish (trf, req, OUTCOME_NOT_RUN, REASON_DRAINING);
    }
}

static void
start_request (struct traffic *trf, struct request *req)
{
  req->start_us = now_us (trf);
  note_step (trf, req, STORY_ADMITTED, 0, 0);
  if (req->idempotent)
    flow_send_attempt (trf, req);
  else
    post_claim (trf, req);
}

/* A repeated key is answered with what is known of its first request.  */
static void
finish_duplicate (struct traffic *trf, struct request *req,
                  const struct mail_verdict *mail)
{
  if (mail->known == CLAIM_KNOWN_ANSWERED && mail->has_body)
    {
      req->answer = malloc (mail->body_len + 1);
      if (req->answer)
        {
          memcpy (req->answer, mail->body, mail->body_len);
          req->answer_len = mail->body_len;
          req->status = mail->status;
          flow_finish (trf, req, OUTCOME_ANSWERED, REASON_DUPLICATE);
          return;
        }
    }
  req->retry_after_us = RETRY_AFTER_DEFAULT_US;
  flow_finish (trf, req, OUTCOME_UNKNOWN,
               mail->known == CLAIM_KNOWN_NOTHING ? REASON_DUPLICATE_RUNNING
                                                  : REASON_DUPLICATE);
}

void
flow_verdict (struct traffic *trf, const struct mail_verdict *mail)
{
  struct request *req = mail->req;

  note_step (trf, req, STORY_CLAIM_VERDICT, mail->verdict, mail->known);
  log_event (trf->lg, EV_CLAIM_VERDICT, LOG_S ("request", req->id),
             LOG_I ("verdict", mail->verdict), LOG_I ("known", mail->known));
  switch (mail->verdict)
    {
    case CLAIM_GRANTED:
      req->claimed = true;
      req->claim_id = mail->claim_id;
      flow_send_attempt (trf, req);
      break;
    case CLAIM_DUPLICATE:
      finish_duplicate (trf, req, mail);
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
check_request (struct traffic *trf, struct request *req)
{
  if (req->early_reason != REASON_NONE)
    return req->early_reason;
  if (trf->refusing)
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

void
flow_note_alive (struct traffic *trf)
{
  int64_t now = now_us (trf);
  if (now - trf->alive_us > PAUSE_US)
    {
      trf->pause_start_us = trf->alive_us;
      trf->pause_end_us = now;
      log_event (trf->lg, EV_TRAFFIC_PAUSED,
                 LOG_I ("pause_us", now - trf->alive_us));
    }
  trf->alive_us = now;
}

/* Requests read right after a pause may have waited in the socket since it
   began, and their callers may have given up.  */
static int64_t
arrival_time (struct traffic *trf)
{
  flow_note_alive (trf);
  if (trf->pause_end_us != 0
      && trf->alive_us - trf->pause_end_us < PAUSE_BACKLOG_US)
    return trf->pause_start_us;
  return trf->alive_us;
}

void
flow_submit (struct traffic *trf, struct request *req)
{
  struct admit_refusal ref = { 0 };

  req->traffic = trf;
  req->arrival_us = arrival_time (trf);
  note_begin (trf, req);
  DL_APPEND (trf->open, req);
  trf->open_count++;
  counter_add (trf->ctr, CTR_REQUESTS, 1);
  enum request_reason reason = check_request (trf, req);
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
      note_step (trf, req, STORY_QUEUED, 0, 0);
      log_event (trf->lg, EV_REQUEST_QUEUED, LOG_S ("request", req->id),
                 LOG_S ("kind", req->kind_name));
      flow_expire (trf);
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
pump_pool (struct traffic *trf, uint32_t pool)
{
  struct admit_item *item;
  while ((item = admit_next (&trf->adm, pool, now_us (trf))))
    start_request (trf, (struct request *)item);
}

/* A request that ends at once gives its slot back from inside this loop.
   The flag keeps that from nesting as deep as the queue is long.  */
void
flow_pump (struct traffic *trf, uint32_t pool)
{
  if (trf->pumping)
    {
      trf->pump_again = true;
      return;
    }
  trf->pumping = true;
  pump_pool (trf, pool);
  while (trf->pump_again)
    {
      trf->pump_again = false;
      for (uint32_t n = 0; n < trf->view->pool_count; n++)
        pump_pool (trf, n);
    }
  trf->pumping = false;
}

void
flow_pump_all (struct traffic *trf)
{
  for (uint32_t pool = 0; trf->view && pool < trf->view->pool_count; pool++)
    flow_pump (trf, pool);
}

static void
on_expiry (struct tevent_context *ev, struct tevent_timer *te,
           struct timeval tv, void *arg)
{
  struct traffic *trf = arg;
  trf->expiry_timer = NULL;
  flow_expire (trf);
}

void
flow_expire (struct traffic *trf)
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

  DL_FOREACH_SAFE (trf->open, req, tmp)
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
          reply_now (trf, req);
          continue;
        }
      if (req->state == REQUEST_QUEUED)
        admit_cancel (&trf->adm, &req->item);
      req->start_us = 0;
      req->outcome = req->may_have_run ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN;
      req->reason = req->may_have_run ? REASON_STOPPED : REASON_DRAINING;
      req->status = reason_status (req->reason);
      req->key_held = req->claimed || req->state == REQUEST_CLAIMING;
      reply_now (trf, req);
    }
}
