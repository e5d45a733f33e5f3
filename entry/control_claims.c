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
  struct mail_verdict *mail = mail_new (MAIL_VERDICT, sizeof *mail + len);
  if (!mail)
    abort ();
  mail->req = req;
  mail->verdict = out->verdict;
  mail->known = out->known;
  mail->status = out->status;
  mail->claim_id = out->claim_id;
  mail->has_body = out->body != NULL;
  mail->body_len = len;
  if (len > 0)
    memcpy (mail->body, out->body, len);
  control_post (ctl, &mail->mail);
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
control_claim (struct control *ctl, const struct mail_claim *mail)
{
  struct claim_call *call = call_create (ctl, mail->req);
  int err = call ? claim_request (&ctl->claims, mail->key, mail->body_digest,
                                  mail->deadline_us, on_claim, call)
                 : ERR_NOMEM;
  if (!err)
    return;
  talloc_free (call);
  const struct claim_outcome out = { .verdict = CLAIM_OVERLOADED };
  post_verdict (ctl, mail->req, &out);
}

static void
post_released (struct control *ctl, struct request *req, bool recorded)
{
  struct mail_released *mail = mail_new (MAIL_RELEASED, sizeof *mail);
  if (!mail)
    abort ();
  mail->req = req;
  mail->recorded = recorded;
  control_post (ctl, &mail->mail);
}

static void
on_released (void *arg, bool recorded)
{
  struct claim_call *call = arg;
  post_released (call->ctl, call->req, recorded);
  talloc_free (call);
}

void
control_release (struct control *ctl, const struct mail_release *mail)
{
  struct claim_call *call = call_create (ctl, mail->req);
  int err = call ? claim_release (&ctl->claims, mail->key, mail->claim_id,
                                  mail->deadline_us, on_released, call)
                 : ERR_NOMEM;
  if (!err)
    return;
  talloc_free (call);
  post_released (ctl, mail->req, false);
}

void
control_done (struct control *ctl, const struct mail_done *mail)
{
  int err
      = claim_done (&ctl->claims, mail->key, mail->claim_id, mail->answered,
                    mail->status, mail->body, mail->body_len);
  if (err)
    log_event (ctl->lg, EV_RESULT_NOT_RECORDED,
               LOG_S ("error", err_name (err)));
}
