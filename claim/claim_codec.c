#include "claim/claim_codec.h"

#include <talloc.h>

#include "base/err.h"
#include "proto/record.pb-c.h"

static const Kingcuphollow__ClaimItem__Type wire_types[] = {
  [CLAIM_OP_CLAIM] = KINGCUPHOLLOW__CLAIM_ITEM__TYPE__CLAIM,
  [CLAIM_OP_DONE] = KINGCUPHOLLOW__CLAIM_ITEM__TYPE__DONE,
  [CLAIM_OP_RELEASE] = KINGCUPHOLLOW__CLAIM_ITEM__TYPE__RELEASE,
};

static void
to_message (const struct claim_item *item, Kingcuphollow__ClaimItem *msg)
{
  kingcuphollow__claim_item__init (msg);
  msg->type = wire_types[item->op.type];
  msg->key_hi = item->op.key.hi;
  msg->key_lo = item->op.key.lo;
  msg->claim_id = item->op.claim_id;
  msg->body_digest = item->op.body_digest;
  msg->answered = item->op.answered;
  msg->status = item->op.status;
  msg->has_answer = item->answer != NULL;
  msg->answer.data = (uint8_t *)item->answer;
  msg->answer.len = item->answer ? item->answer_len : 0;
}

int
claim_batch_encode (void *parent, const struct record *rec,
                    const struct claim_item *items, size_t count,
                    uint8_t **data, size_t *len)
{
  int err = ERR_NOMEM;
  struct record full = *rec;
  Kingcuphollow__ClaimBatch batch = KINGCUPHOLLOW__CLAIM_BATCH__INIT;
  void *tmp = talloc_new (parent);
  Kingcuphollow__ClaimItem *msgs
      = talloc_array (tmp, Kingcuphollow__ClaimItem, count + 1);
  Kingcuphollow__ClaimItem **ptrs
      = talloc_array (tmp, Kingcuphollow__ClaimItem *, count + 1);
  if (!msgs || !ptrs)
    goto done;
  for (size_t n = 0; n < count; n++)
    {
      to_message (&items[n], &msgs[n]);
      ptrs[n] = &msgs[n];
    }
  batch.items = ptrs;
  batch.n_items = count;
  full.body_len = kingcuphollow__claim_batch__get_packed_size (&batch);
  uint8_t *body = talloc_size (tmp, full.body_len + 1);
  if (!body)
    goto done;
  kingcuphollow__claim_batch__pack (&batch, body);
  full.body = body;
  err = record_encode (parent, &full, data, len);
done:
  talloc_free (tmp);
  return err;
}

static int
from_message (const Kingcuphollow__ClaimItem *msg, struct claim_item *item)
{
  switch (msg->type)
    {
    case KINGCUPHOLLOW__CLAIM_ITEM__TYPE__CLAIM:
      item->op.type = CLAIM_OP_CLAIM;
      break;
    case KINGCUPHOLLOW__CLAIM_ITEM__TYPE__DONE:
      item->op.type = CLAIM_OP_DONE;
      break;
    case KINGCUPHOLLOW__CLAIM_ITEM__TYPE__RELEASE:
      item->op.type = CLAIM_OP_RELEASE;
      break;
    default:
      return ERR_CONFLICT;
    }
  item->op.key.hi = msg->key_hi;
  item->op.key.lo = msg->key_lo;
  item->op.claim_id = msg->claim_id;
  item->op.body_digest = msg->body_digest;
  item->op.answered = msg->answered;
  item->op.status = msg->status;
  item->answer = msg->has_answer ? msg->answer.data : NULL;
  item->answer_len = msg->answer.len;
  /* An empty answer must differ from a missing one, which is NULL.  */
  if (msg->has_answer && !item->answer)
    item->answer = (const uint8_t *)"";
  return 0;
}

static int
free_message (Kingcuphollow__ClaimBatch **msg)
{
  kingcuphollow__claim_batch__free_unpacked (*msg, NULL);
  return 0;
}

int
claim_batch_decode (void *parent, const uint8_t *data, size_t len,
                    struct claim_batch **batch)
{
  void *holder;
  struct claim_batch *bt = talloc_zero (parent, struct claim_batch);
  Kingcuphollow__ClaimBatch **unpacked
      = talloc_zero (bt, Kingcuphollow__ClaimBatch *);
  int err = unpacked ? record_decode (bt, data, len, &bt->rec, &holder)
                     : ERR_NOMEM;
  if (err)
    goto done;
  *unpacked = kingcuphollow__claim_batch__unpack (NULL, bt->rec.body_len,
                                                  bt->rec.body);
  err = ERR_PROTOCOL;
  if (!*unpacked)
    goto done;
  talloc_set_destructor (unpacked, free_message);
  struct claim_item *items
      = talloc_zero_array (bt, struct claim_item, (*unpacked)->n_items);
  err = items ? 0 : ERR_NOMEM;
  for (size_t n = 0; n < (*unpacked)->n_items && err == 0; n++)
    err = from_message ((*unpacked)->items[n], &items[n]);
  bt->items = items;
  bt->count = (*unpacked)->n_items;
done:
  if (err)
    TALLOC_FREE (bt);
  *batch = bt;
  return err;
}

const struct claim_item *
claim_batch_find_answer (const struct claim_batch *batch, uint64_t claim_id)
{
  for (size_t n = 0; n < batch->count; n++)
    {
      const struct claim_item *item = &batch->items[n];
      if (item->op.type == CLAIM_OP_DONE && item->op.claim_id == claim_id
          && item->op.answered && item->answer)
        return item;
    }
  return NULL;
}
