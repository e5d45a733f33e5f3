#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base/err.h"
#include "base/log.h"
#include "entry/control_priv.h"

struct claim_call
{
  struct control *ctl;
  struct request *req;
};

static void
post_verdict (struct control *ctl, struct request *req,
              const struct claim_outcome *out)
{
  size_t len = out->body ? out->body_len : 0;
  struct message_claim_verdict *msg
      = message_new (MSG_CLAIM_VERDICT, sizeof *msg + len);
  if (!msg)
    abort ();
  msg->req = req;
  msg->verdict = out->verdict;
  msg->result = out->result;
  msg->status = out->status;
  msg->claim_id = out->claim_id;
  msg->has_body = out->body != NULL;
  msg->body_len = len;
  if (len > 0)
    memcpy (msg->body, out->body, len);
  control_post (ctl, &msg->base);
}

static void
on_claim (void *arg, const struct claim_outcome *out)
{
  struct claim_call *call = arg;
  post_verdict (call->ctl, call->req, out);
  talloc_free (call);
}

static struct claim_call *
call_create (struct control *ctl, struct request *req)
{
  struct claim_call *call = talloc_zero (ctl, struct claim_call);
  if (!call)
    return NULL;
  call->ctl = ctl;
  call->req = req;
  return call;
}

void
control_claim_key (struct control *ctl, const struct message_claim *msg)
{
  struct claim_call *call = call_create (ctl, msg->req);
  int err = call ? claim_request (&ctl->claims, msg->key, msg->body_digest,
                                  msg->deadline_us, on_claim, call)
                 : ERR_NOMEM;
  if (!err)
    return;
  talloc_free (call);
  const struct claim_outcome out = { .verdict = CLAIM_OVERLOADED };
  post_verdict (ctl, msg->req, &out);
}

static void
post_released (struct control *ctl, struct request *req, bool recorded)
{
  struct message_claim_released *msg
      = message_new (MSG_CLAIM_RELEASED, sizeof *msg);
  if (!msg)
    abort ();
  msg->req = req;
  msg->recorded = recorded;
  control_post (ctl, &msg->base);
}

static void
on_released (void *arg, bool recorded)
{
  struct claim_call *call = arg;
  post_released (call->ctl, call->req, recorded);
  talloc_free (call);
}

void
control_release_claim (struct control *ctl,
                       const struct message_claim_release *msg)
{
  struct claim_call *call = call_create (ctl, msg->req);
  int err = call ? claim_release (&ctl->claims, msg->key, msg->claim_id,
                                  msg->deadline_us, on_released, call)
                 : ERR_NOMEM;
  if (!err)
    return;
  talloc_free (call);
  post_released (ctl, msg->req, false);
}

void
control_record_result (struct control *ctl,
                       const struct message_claim_result *msg)
{
  int err = claim_done (&ctl->claims, msg->key, msg->claim_id, msg->answered,
                        msg->status, msg->body, msg->body_len);
  if (err)
    log_event (ctl->lg, EV_RESULT_NOT_RECORDED,
               LOG_S ("error", err_name (err)));
}
