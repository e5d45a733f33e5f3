#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base/clock.h"
#include "base/counter.h"
#include "base/err.h"
#include "base/log.h"
#include "base/option.h"
#include "entry/traffic_priv.h"

#define REMOTES_MAX 64
/* Part of the remaining time that is reserved for returning the answer.  */
#define FORWARD_MARGIN_US 5000

static bool send_forward (struct traffic *trf, struct request *req);

int
forward_init (struct traffic *trf, const char *addresses)
{
  char *list = talloc_strdup (trf, addresses);
  char *save = NULL;
  int err = list ? 0 : ERR_NOMEM;

  trf->remotes = talloc_zero_size (trf, REMOTES_MAX * sizeof *trf->remotes);
  if (!trf->remotes)
    err = ERR_NOMEM;
  for (char *adr = err ? NULL : strtok_r (list, ",", &save); adr;
       adr = strtok_r (NULL, ",", &save))
    {
      char host[64];
      uint16_t port;
      if (trf->remote_count == REMOTES_MAX
          || strlen (adr) >= REMOTE_ADDRESS_SIZE
          || address_parse (adr, host, &port) != 0 || port == 0)
        {
          err = ERR_INVALID;
          break;
        }
      snprintf (trf->remotes[trf->remote_count++], REMOTE_ADDRESS_SIZE, "%s",
                adr);
    }
  talloc_free (list);
  return err;
}

/* Adopts the outcome that the other entry process reported.  Without a report,
   the request was sent and whether it ran is unknown.  */
static void
finish_forwarded (struct traffic *trf, struct request *req,
                  struct attempt_reply *reply)
{
  bool complete = reply->result == ATTEMPT_ANSWERED
                  || reply->result == ATTEMPT_SERVER_ERROR;
  snprintf (req->target_name, sizeof req->target_name, "%s", reply->target);
  req->retry_after_us = reply->retry_after_ms * 1000;
  if (complete && strcmp (reply->outcome, "answered") == 0)
    {
      req->answer = reply->body;
      req->answer_len = reply->body_len;
      reply->body = NULL;
      req->status = reply->status;
      snprintf (req->content_type, sizeof req->content_type, "%s",
                reply->content_type);
      flow_finish (trf, req, OUTCOME_ANSWERED, REASON_NONE);
    }
  else if (complete && strcmp (reply->outcome, "not_run") == 0)
    flow_finish (trf, req, OUTCOME_NOT_RUN, reason_find (reply->reason));
  else if (complete && strcmp (reply->outcome, "unknown") == 0)
    flow_finish (trf, req, OUTCOME_UNKNOWN, reason_find (reply->reason));
  else
    flow_finish (trf, req, OUTCOME_UNKNOWN,
                 reply->bad_answer ? REASON_BAD_ANSWER : REASON_NO_ANSWER);
}

static void
on_forwarded (void *arg, struct attempt_reply *reply)
{
  struct request *req = arg;
  struct traffic *trf = req->traffic;

  req->attempt = NULL;
  request_trace_record_result (trf, req, TRACE_FORWARD_RESULT, reply);
  if (!attempt_certainly_not_run (reply->result))
    finish_forwarded (trf, req, reply);
  else if (!send_forward (trf, req))
    flow_finish (trf, req, OUTCOME_NOT_RUN, REASON_NO_TARGET);
}

/* Sends to the next address in round-robin order.  An address that could not
   be reached has received nothing, so another may be tried after it.  */
static bool
send_forward (struct traffic *trf, struct request *req)
{
  char path[REQUEST_NAME_MAX + 16];
  int64_t left_us = req->item.deadline_us - clock_now_us (trf->clk);
  if (req->forwards >= trf->remote_count || left_us < 2 * FORWARD_MARGIN_US)
    return false;
  req->forwards++;
  const char *address = trf->remotes[trf->remote_next++ % trf->remote_count];
  snprintf (path, sizeof path, "/v1/work/%s", req->kind_name);
  const struct attempt_call call = {
    .address = address,
    .path = path,
    .request_id = req->id,
    .key = req->has_key ? req->key : NULL,
    .caller = req->caller,
    .number = 1,
    .hops = 1,
    .body = req->body,
    .body_len = req->body_len,
    .timeout_ms = (left_us - FORWARD_MARGIN_US) / 1000,
    .may_repeat = req->idempotent,
  };
  if (dispatch_send (trf->dsp, &call, on_forwarded, req, &req->attempt) != 0)
    return false;
  req->state = REQUEST_FORWARDED;
  counter_add (trf->ctr, CTR_FORWARDS, 1);
  request_trace_record_forward (trf, req, address);
  log_event (trf->lg, EV_REQUEST_FORWARDED, LOG_S ("request", req->id),
             LOG_S ("kind", req->kind_name), LOG_S ("entry", address));
  return true;
}

bool
flow_forward (struct traffic *trf, struct request *req)
{
  if (req->hops > 0 || req->claimed || req->may_have_run)
    return false;
  return send_forward (trf, req);
}
