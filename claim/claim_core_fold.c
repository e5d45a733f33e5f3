#include <string.h>
#include <talloc.h>

#include "base/err.h"
#include "claim/claim_core_priv.h"

/* What an own claim that was folded means to its request.  */
static void
own_claim (struct priv *p, int64_t now_us, struct item *item,
           enum claim_effect effect)
{
  struct claim_key key = item->wire.op.key;
  uint64_t claim_id = item->wire.op.claim_id;
  struct claim_held held;

  /* An incomplete fold does not prove that the claim holds the key.  */
  if (effect == CLAIM_EFFECT_HOLDS && !claim_fold_complete (&p->fold))
    {
      claim_core_conclude (p, item, CLAIM_UNAVAILABLE);
      claim_core_retire (p, item);
      return;
    }
  if (effect == CLAIM_EFFECT_HOLDS)
    {
      /* Whether the deadline has passed is seen by claim_core_next.  */
      if (item->out)
        {
          item->out->event.out.claim_id = claim_id;
          item->out->event.out.granted_us = now_us;
          claim_core_conclude (p, item, CLAIM_GRANTED);
        }
      else
        claim_core_release_unused (p, now_us, key, claim_id);
      claim_core_remove (p, item);
      return;
    }
  if (effect == CLAIM_EFFECT_NO_ROOM)
    claim_core_conclude (p, item, CLAIM_OVERLOADED);
  else if (item->out && claim_fold_find (&p->fold, key, &held))
    {
      claim_core_conclude_held (p, item->out, &held,
                                item->wire.op.body_digest);
      item->out = NULL;
    }
  claim_core_retire (p, item);
}

static void
own_item (struct priv *p, int64_t now_us, const struct claim_op *op,
          enum claim_effect effect)
{
  struct item *item = claim_core_find (p, op);
  if (!item)
    return;
  switch (op->type)
    {
    case CLAIM_OP_CLAIM:
      own_claim (p, now_us, item, effect);
      break;
    case CLAIM_OP_RELEASE:
      claim_core_conclude_release (p, item, effect == CLAIM_EFFECT_RELEASED);
      claim_core_remove (p, item);
      break;
    case CLAIM_OP_DONE:
      claim_core_remove (p, item);
      break;
    }
}

/* An own record with the sequence SEQ counts, so that none with a lower one
   ever will.  */
static void
settle (struct priv *p, uint64_t seq)
{
  struct item *item;
  struct item *tmp;
  if (seq > p->folded_seq)
    p->folded_seq = seq;
  if (p->open && p->sequence <= seq)
    p->open = false;
  DL_FOREACH_SAFE (p->lists[LIST_DEAD], item, tmp)
    if (item->seq <= p->folded_seq)
      claim_core_remove (p, item);
}

int
claim_core_fold (struct claim_core *core, int64_t now_us,
                 const struct log_record_view *rec)
{
  struct priv *p = core->priv;
  struct claim_batch *batch;
  int err = claim_batch_decode (p, rec->data, rec->len, &batch);
  if (err == ERR_CONFLICT)
    {
      claim_fold_skip (&p->fold, rec->offset, rec->time_ms, true);
      return 0;
    }
  if (err)
    return err;
  const struct record *env = &batch->rec;
  bool own = env->incarnation == p->set.incarnation
             && strcmp (env->writer, p->set.writer) == 0;
  bool counts
      = claim_fold_record (&p->fold, rec->offset, rec->time_ms, env->writer,
                           env->incarnation, env->sequence);
  for (size_t n = 0; n < batch->count && counts; n++)
    {
      const struct claim_op *op = &batch->items[n].op;
      enum claim_effect effect = claim_fold_item (&p->fold, op);
      if (own)
        own_item (p, now_us, op, effect);
    }
  if (own && counts)
    settle (p, env->sequence);
  talloc_free (batch);
  return 0;
}

void
claim_core_skip (struct claim_core *core, const struct log_record_view *rec)
{
  claim_fold_skip (&core->priv->fold, rec->offset, rec->time_ms, false);
}

void
claim_core_read_done (struct claim_core *core, int64_t now_us,
                      uint64_t next_offset)
{
  struct priv *p = core->priv;
  uint64_t next = claim_fold_next (&p->fold);
  claim_core_requeue (p, UINT64_MAX, next);
  if (next != next_offset)
    return;
  p->contact = true;
  p->contact_at_us = now_us;
}

void
claim_core_no_contact (struct claim_core *core)
{
  core->priv->contact = false;
}

void
claim_core_gap (struct claim_core *core, uint64_t first_offset)
{
  struct priv *p = core->priv;
  claim_fold_reset (&p->fold, first_offset, true);
  /* What was in records that nobody reads any more is appended again: done
     and release items count once, and the claims among it are concluded by
     the next claim_core_expire.  */
  p->open = false;
  claim_core_requeue (p, 0, 0);
}

static void
expire_list (struct priv *p, enum list list, int64_t now_us, bool ready)
{
  struct item *item;
  struct item *tmp;
  DL_FOREACH_SAFE (p->lists[list], item, tmp)
    {
      bool late = item->deadline_us <= now_us;
      if (item->wire.op.type == CLAIM_OP_CLAIM && (late || !ready))
        {
          claim_core_conclude (p, item,
                               late ? CLAIM_TIMEOUT : CLAIM_UNAVAILABLE);
          claim_core_retire (p, item);
        }
      /* The release itself goes on; only the wait for it ends.  */
      else if (item->wire.op.type == CLAIM_OP_RELEASE && late)
        claim_core_conclude_release (p, item, false);
    }
}

void
claim_core_expire (struct claim_core *core, int64_t now_us)
{
  bool ready = claim_core_ready (core, now_us);
  expire_list (core->priv, LIST_RELEASE, now_us, ready);
  expire_list (core->priv, LIST_CLAIM, now_us, ready);
  expire_list (core->priv, LIST_FLIGHT, now_us, ready);
}

int64_t
claim_core_next_deadline (const struct claim_core *core)
{
  const struct priv *p = core->priv;
  const enum list lists[] = { LIST_RELEASE, LIST_CLAIM, LIST_FLIGHT };
  int64_t next = INT64_MAX;
  for (size_t n = 0; n < sizeof lists / sizeof *lists; n++)
    {
      const struct item *item;
      DL_FOREACH (p->lists[lists[n]], item)
        if (item->out && item->deadline_us < next)
          next = item->deadline_us;
    }
  return next;
}

bool
claim_core_idle (const struct claim_core *core)
{
  const struct priv *p = core->priv;
  for (int n = 0; n < LISTS; n++)
    if (p->lists[n] && n != LIST_DEAD)
      return false;
  return p->outs == NULL;
}

bool
claim_core_complete (const struct claim_core *core)
{
  return claim_fold_complete (&core->priv->fold);
}

bool
claim_core_ready (const struct claim_core *core, int64_t now_us)
{
  const struct priv *p = core->priv;
  return p->contact && claim_fold_complete (&p->fold)
         && now_us - p->contact_at_us <= p->contact_limit_us;
}

uint64_t
claim_core_offset (const struct claim_core *core)
{
  return claim_fold_next (&core->priv->fold);
}
