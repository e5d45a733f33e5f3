/* The part of claim_core that handles records read from the log, and
   deadlines.  */

#include <string.h>
#include <talloc.h>

#include "base/err.h"
#include "claim/claim_core_priv.h"

/* Decides the request of a claim of this process that was folded with
   EFFECT.  */
static void
fold_own_claim (struct priv *p, int64_t now_us, struct item *item,
                enum claim_effect effect)
{
  struct claim_key key = item->wire.op.key;
  uint64_t claim_id = item->wire.op.claim_id;
  struct claim_key_state held;

  /* When the fold is incomplete, an earlier claim that it misses may hold the
     key.  */
  if (effect == CLAIM_EFFECT_HOLDER && !claim_fold_complete (&p->fold))
    {
      claim_core_queue_verdict (p, item, CLAIM_UNAVAILABLE);
      claim_core_retire (p, item);
      return;
    }
  if (effect == CLAIM_EFFECT_HOLDER)
    {
      /* claim_core_next_event checks the deadline.  */
      if (item->pending)
        {
          item->pending->event.outcome.claim_id = claim_id;
          item->pending->event.outcome.granted_us = now_us;
          claim_core_queue_verdict (p, item, CLAIM_GRANTED);
        }
      else
        claim_core_release_unused (p, now_us, key, claim_id);
      claim_core_remove (p, item);
      return;
    }
  if (effect == CLAIM_EFFECT_NO_ROOM)
    claim_core_queue_verdict (p, item, CLAIM_OVERLOADED);
  else if (item->pending && claim_fold_find (&p->fold, key, &held))
    {
      claim_core_queue_holder_verdict (p, item->pending, &held,
                                       item->wire.op.body_digest);
      item->pending = NULL;
    }
  claim_core_retire (p, item);
}

static void
fold_own_item (struct priv *p, int64_t now_us, const struct claim_op *op,
               enum claim_effect effect)
{
  struct item *item = claim_core_find (p, op);
  if (!item)
    return;
  switch (op->type)
    {
    case CLAIM_OP_CLAIM:
      fold_own_claim (p, now_us, item, effect);
      break;
    case CLAIM_OP_RELEASE:
      claim_core_queue_release_result (p, item,
                                       effect == CLAIM_EFFECT_RELEASED);
      claim_core_remove (p, item);
      break;
    case CLAIM_OP_DONE:
      claim_core_remove (p, item);
      break;
    }
}

/* Called after a record of this process with the sequence SEQ took effect: no
   record with a lower sequence will, so abandoned claims in such records can
   be removed.  */
static void
advance_folded_sequence (struct priv *p, uint64_t seq)
{
  struct item *item;
  struct item *tmp;
  if (seq > p->max_folded_seq)
    p->max_folded_seq = seq;
  if (p->append_open && p->sequence <= seq)
    p->append_open = false;
  DL_FOREACH_SAFE (p->lists[LIST_ABANDONED], item, tmp)
    if (item->seq <= p->max_folded_seq)
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
  bool takes_effect
      = claim_fold_begin_record (&p->fold, rec->offset, rec->time_ms,
                                 env->writer, env->incarnation, env->sequence);
  for (size_t n = 0; n < batch->count && takes_effect; n++)
    {
      const struct claim_op *op = &batch->items[n].op;
      enum claim_effect effect = claim_fold_item (&p->fold, op);
      if (own)
        fold_own_item (p, now_us, op, effect);
    }
  if (own && takes_effect)
    advance_folded_sequence (p, env->sequence);
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
  uint64_t next = claim_fold_next_offset (&p->fold);
  claim_core_requeue (p, UINT64_MAX, next);
  if (next != next_offset)
    return;
  p->caught_up = true;
  p->caught_up_us = now_us;
}

void
claim_core_set_log_unreachable (struct claim_core *core)
{
  core->priv->caught_up = false;
}

void
claim_core_handle_gap (struct claim_core *core, uint64_t first_offset)
{
  struct priv *p = core->priv;
  claim_fold_reset (&p->fold, first_offset, true);
  /* Records that were removed from the log may have held items in flight, so
     these are appended again.  A done or release that was in the log already
     has no effect the second time, and the next claim_core_expire ends the
     requests of the claims, because the core is not ready.  */
  p->append_open = false;
  claim_core_requeue (p, 0, 0);
}

static void
expire_list (struct priv *p, enum item_list list, int64_t now_us, bool ready)
{
  struct item *item;
  struct item *tmp;
  DL_FOREACH_SAFE (p->lists[list], item, tmp)
    {
      bool late = item->deadline_us <= now_us;
      if (item->wire.op.type == CLAIM_OP_CLAIM && (late || !ready))
        {
          claim_core_queue_verdict (p, item,
                                    late ? CLAIM_TIMEOUT : CLAIM_UNAVAILABLE);
          claim_core_retire (p, item);
        }
      /* The release is still appended; only its callback runs now.  */
      else if (item->wire.op.type == CLAIM_OP_RELEASE && late)
        claim_core_queue_release_result (p, item, false);
    }
}

void
claim_core_expire (struct claim_core *core, int64_t now_us)
{
  bool ready = claim_core_ready (core, now_us);
  expire_list (core->priv, LIST_RELEASE, now_us, ready);
  expire_list (core->priv, LIST_CLAIM, now_us, ready);
  expire_list (core->priv, LIST_IN_FLIGHT, now_us, ready);
}

int64_t
claim_core_next_deadline (const struct claim_core *core)
{
  const struct priv *p = core->priv;
  const enum item_list lists[] = { LIST_RELEASE, LIST_CLAIM, LIST_IN_FLIGHT };
  int64_t next = INT64_MAX;
  for (size_t n = 0; n < sizeof lists / sizeof *lists; n++)
    {
      const struct item *item;
      DL_FOREACH (p->lists[lists[n]], item)
        if (item->pending && item->deadline_us < next)
          next = item->deadline_us;
    }
  return next;
}

bool
claim_core_idle (const struct claim_core *core)
{
  const struct priv *p = core->priv;
  for (int n = 0; n < LIST_COUNT; n++)
    if (p->lists[n] && n != LIST_ABANDONED)
      return false;
  return p->events == NULL;
}

bool
claim_core_fold_complete (const struct claim_core *core)
{
  return claim_fold_complete (&core->priv->fold);
}

bool
claim_core_ready (const struct claim_core *core, int64_t now_us)
{
  const struct priv *p = core->priv;
  return p->caught_up && claim_fold_complete (&p->fold)
         && now_us - p->caught_up_us <= p->max_read_age_us;
}

uint64_t
claim_core_next_offset (const struct claim_core *core)
{
  return claim_fold_next_offset (&core->priv->fold);
}
