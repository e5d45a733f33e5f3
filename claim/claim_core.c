#include "claim/claim_core.h"

#include <string.h>
#include <talloc.h>
#include <xxhash.h>

#include "base/err.h"
#include "claim/claim_core_priv.h"

/* Results wait this many times longer than claims for others to share their
   record, because no request waits for them.  */
#define DONE_WAIT_FACTOR 10
/* Claims and releases leave 1/DONE_SHARE_DIVISOR of a record to done items. */
#define DONE_SHARE_DIVISOR 4
/* Requests are refused when at most 1/KEYS_RESERVE_DIVISOR of the keys is
   free, so that claims which other processes are appending still fit into the
   fold.  */
#define KEYS_RESERVE_DIVISOR 16

void
claim_core_remove (struct priv *p, struct item *item)
{
  DL_DELETE (p->lists[item->list], item);
  HASH_DEL (p->by_id, item);
  p->counts[item->wire.op.type]--;
  talloc_free (item);
}

static void
move_item (struct priv *p, struct item *item, enum item_list list)
{
  DL_DELETE (p->lists[item->list], item);
  item->list = list;
  DL_APPEND (p->lists[list], item);
}

static enum item_list
list_for (const struct item *item)
{
  switch (item->wire.op.type)
    {
    case CLAIM_OP_RELEASE:
      return LIST_RELEASE;
    case CLAIM_OP_DONE:
      return LIST_DONE;
    default:
      return LIST_CLAIM;
    }
}

static struct item_id
item_id_of (const struct claim_op *op)
{
  return (struct item_id){ op->claim_id, 2 * op->type + op->answered };
}

struct item *
claim_core_find (struct priv *p, const struct claim_op *op)
{
  struct item_id id = item_id_of (op);
  struct item *item = NULL;
  HASH_FIND (hh, p->by_id, &id, sizeof id, item);
  return item;
}

static void
index_item (struct priv *p, struct item *item)
{
  HASH_ADD (hh, p->by_id, id, sizeof item->id, item);
}

static struct item *
add_item (struct priv *p, int64_t now_us, const struct claim_op *op,
          int64_t deadline_us)
{
  struct item *item = talloc_zero (p, struct item);
  if (!item)
    return NULL;
  item->wire.op = *op;
  item->id = item_id_of (op);
  item->queued_us = now_us;
  item->deadline_us = deadline_us;
  index_item (p, item);
  if (!item->hh.tbl) /* uthash had no memory to add the item */
    {
      talloc_free (item);
      return NULL;
    }
  item->list = list_for (item);
  DL_APPEND (p->lists[item->list], item);
  p->counts[op->type]++;
  return item;
}

static struct pending_event *
new_event (struct priv *p, enum claim_event_type type, void *arg)
{
  struct pending_event *pev = talloc_zero (p, struct pending_event);
  if (!pev)
    return NULL;
  pev->event.type = type;
  pev->event.arg = arg;
  p->event_count++;
  return pev;
}

static void
queue_event (struct priv *p, struct pending_event *pev)
{
  DL_APPEND (p->events, pev);
}

void
claim_core_retire (struct priv *p, struct item *item)
{
  if (item->seq > p->max_folded_seq)
    move_item (p, item, LIST_ABANDONED);
  else
    claim_core_remove (p, item);
}

void
claim_core_queue_verdict (struct priv *p, struct item *item,
                          enum claim_verdict verdict)
{
  struct pending_event *pev = item->pending;
  item->pending = NULL;
  if (!pev)
    return;
  pev->event.outcome.verdict = verdict;
  queue_event (p, pev);
}

void
claim_core_queue_release_result (struct priv *p, struct item *item,
                                 bool recorded)
{
  struct pending_event *pev = item->pending;
  item->pending = NULL;
  if (!pev)
    return;
  pev->event.recorded = recorded;
  queue_event (p, pev);
}

void
claim_core_queue_holder_verdict (struct priv *p, struct pending_event *pev,
                                 const struct claim_key_state *held,
                                 uint64_t body_digest)
{
  struct claim_outcome *res = &pev->event.outcome;
  res->verdict = CLAIM_KEY_REUSED;
  if (held->body_digest == (uint32_t)body_digest)
    {
      res->verdict = CLAIM_DUPLICATE;
      res->result = held->result;
      res->status = held->status;
      res->recorded_ms = held->recorded_ms;
      pev->event.read_answer = held->result == CLAIM_RESULT_ANSWERED;
      pev->event.answer_offset = held->done_offset;
      pev->event.answer_id = held->claim_id;
    }
  queue_event (p, pev);
}

void
claim_core_release_unused (struct priv *p, int64_t now_us,
                           struct claim_key key, uint64_t claim_id)
{
  struct claim_op op
      = { .type = CLAIM_OP_RELEASE, .key = key, .claim_id = claim_id };
  if (!claim_core_find (p, &op))
    add_item (p, now_us, &op, INT64_MAX);
}

static uint64_t
new_claim_id (struct priv *p)
{
  uint64_t nums[] = { p->set.incarnation, p->nonce, ++p->claim_id_counter };
  uint64_t seed = XXH3_64bits (p->set.writer, strlen (p->set.writer));
  return XXH3_64bits_withSeed (nums, sizeof nums, seed);
}

int
claim_core_request (struct claim_core *core, int64_t now_us,
                    struct claim_key key, uint64_t body_digest,
                    int64_t deadline_us, claim_fn *fn, void *arg)
{
  struct priv *p = core->priv;
  struct claim_key_state held;
  struct item *item;
  if (p->event_count >= 2 * p->set.max_waiting)
    return ERR_FULL;
  struct pending_event *pev = new_event (p, CLAIM_EVENT_VERDICT, arg);
  if (!pev)
    return ERR_NOMEM;
  /* A grant must be used well before the key can expire in the fold of another
     process.  */
  int64_t latest_us = now_us + p->set.key_lifetime_ms * 1000 / 2;
  if (deadline_us > latest_us)
    deadline_us = latest_us;
  pev->event.fn = fn;
  pev->key = key;
  pev->event.deadline_us = deadline_us;
  if (claim_fold_find (&p->fold, key, &held))
    {
      claim_core_queue_holder_verdict (p, pev, &held, body_digest);
      return 0;
    }
  uint32_t keys = p->set.max_keys - p->set.max_keys / KEYS_RESERVE_DIVISOR;
  if (!claim_core_ready (core, now_us))
    pev->event.outcome.verdict = CLAIM_UNAVAILABLE;
  else if (deadline_us <= now_us)
    pev->event.outcome.verdict = CLAIM_TIMEOUT;
  else if (p->counts[CLAIM_OP_CLAIM] >= p->set.max_waiting
           || claim_fold_key_count (&p->fold) >= keys)
    pev->event.outcome.verdict = CLAIM_OVERLOADED;
  else
    {
      struct claim_op op = { .type = CLAIM_OP_CLAIM,
                             .key = key,
                             .claim_id = new_claim_id (p),
                             .body_digest = body_digest };
      item = add_item (p, now_us, &op, deadline_us);
      if (item)
        {
          item->pending = pev;
          return 0;
        }
      p->event_count--;
      talloc_free (pev);
      return ERR_NOMEM;
    }
  queue_event (p, pev);
  return 0;
}

int
claim_core_done (struct claim_core *core, int64_t now_us, struct claim_key key,
                 uint64_t claim_id, bool answered, uint32_t status,
                 const uint8_t *body, size_t len)
{
  struct priv *p = core->priv;
  struct claim_op op = { .type = CLAIM_OP_DONE,
                         .key = key,
                         .claim_id = claim_id,
                         .answered = answered,
                         .status = status };
  if (claim_core_find (p, &op))
    return ERR_EXISTS;
  if (p->counts[CLAIM_OP_DONE] >= p->set.max_waiting)
    return ERR_FULL;
  struct item *item = add_item (p, now_us, &op, INT64_MAX);
  if (!item)
    return ERR_NOMEM;
  if (answered && len <= p->set.max_answer_bytes)
    {
      uint8_t *copy = talloc_size (item, len + 1);
      if (copy && len)
        memcpy (copy, body, len);
      item->wire.answer = copy;
      item->wire.answer_len = copy ? len : 0;
    }
  return 0;
}

int
claim_core_release (struct claim_core *core, int64_t now_us,
                    struct claim_key key, uint64_t claim_id,
                    int64_t deadline_us, claim_release_fn *fn, void *arg)
{
  struct priv *p = core->priv;
  struct claim_op op
      = { .type = CLAIM_OP_RELEASE, .key = key, .claim_id = claim_id };
  if (claim_core_find (p, &op))
    return ERR_EXISTS;
  if (p->counts[CLAIM_OP_RELEASE] >= 2 * p->set.max_waiting
      || p->event_count >= 2 * p->set.max_waiting)
    return ERR_FULL;
  struct pending_event *pev = new_event (p, CLAIM_EVENT_RELEASED, arg);
  struct item *item = pev ? add_item (p, now_us, &op, deadline_us) : NULL;
  if (!item)
    {
      p->event_count -= pev != NULL;
      talloc_free (pev);
      return ERR_NOMEM;
    }
  pev->event.release_fn = fn;
  item->pending = pev;
  return 0;
}

bool
claim_core_next_event (struct claim_core *core, int64_t now_us,
                       struct claim_event *event)
{
  struct priv *p = core->priv;
  struct pending_event *pev = p->events;
  if (!pev)
    return false;
  DL_DELETE (p->events, pev);
  p->event_count--;
  /* The process may have been suspended since the claim was folded.  */
  struct claim_outcome *res = &pev->event.outcome;
  if (pev->event.type == CLAIM_EVENT_VERDICT && res->verdict == CLAIM_GRANTED
      && now_us >= pev->event.deadline_us)
    {
      claim_core_release_unused (p, now_us, pev->key, res->claim_id);
      *res = (struct claim_outcome){ .verdict = CLAIM_TIMEOUT };
    }
  *event = pev->event;
  talloc_free (pev);
  return true;
}

bool
claim_core_has_event (const struct claim_core *core)
{
  return core->priv->events != NULL;
}

static void
requeue_item (struct priv *p, struct item *item)
{
  DL_DELETE (p->lists[LIST_IN_FLIGHT], item);
  item->list = list_for (item);
  DL_PREPEND (p->lists[item->list], item);
  item->appended = false;
}

/* From tail to head, because requeue_item prepends: this keeps the order.  */
void
claim_core_requeue (struct priv *p, uint64_t seq, uint64_t next)
{
  struct item *head = p->lists[LIST_IN_FLIGHT];
  struct item *item = head ? head->prev : NULL;
  while (item)
    {
      struct item *before
          = item == p->lists[LIST_IN_FLIGHT] ? NULL : item->prev;
      if (item->seq >= seq || (item->appended && item->offset < next))
        requeue_item (p, item);
      item = before;
    }
}

int64_t
claim_core_append_due (const struct claim_core *core, bool *urgent)
{
  const struct priv *p = core->priv;
  int64_t due = INT64_MAX;
  *urgent = p->lists[LIST_RELEASE] || p->lists[LIST_CLAIM];
  if (p->append_open)
    return INT64_MAX;
  for (int n = LIST_RELEASE; n <= LIST_CLAIM; n++)
    if (p->lists[n] && p->lists[n]->queued_us + p->set.group_commit_us < due)
      due = p->lists[n]->queued_us + p->set.group_commit_us;
  const struct item *item = p->lists[LIST_DONE];
  if (item
      && item->queued_us + DONE_WAIT_FACTOR * p->set.group_commit_us < due)
    due = item->queued_us + DONE_WAIT_FACTOR * p->set.group_commit_us;
  if (p->time_probe_wanted && p->time_probe_since_us < due)
    due = p->time_probe_since_us;
  return due;
}

void
claim_core_probe_log_time (struct claim_core *core, int64_t now_us)
{
  struct priv *p = core->priv;
  if (!p->time_probe_wanted)
    p->time_probe_since_us = now_us;
  p->time_probe_wanted = true;
}

/* Chooses the items of the next record: releases, then claims, then done
   items, as many as fit.  Stores them in ITEMS unless that is NULL.  Returns
   their number.  */
static size_t
choose_items (const struct priv *p, struct item **items)
{
  size_t room = LOG_RECORD_MAX_BYTES - CLAIM_ENVELOPE_MAX_BYTES;
  size_t reserve = p->lists[LIST_DONE] ? room / DONE_SHARE_DIVISOR : 0;
  size_t count = 0;
  for (int n = LIST_RELEASE; n <= LIST_DONE; n++)
    {
      struct item *item;
      if (n == LIST_DONE)
        reserve = 0;
      DL_FOREACH (p->lists[n], item)
        {
          size_t size = CLAIM_ITEM_MAX_BYTES + item->wire.answer_len;
          if (size + reserve > room)
            break;
          room -= size;
          if (items)
            items[count] = item;
          count++;
        }
    }
  return count;
}

int
claim_core_build_record (struct claim_core *core, void *parent, uint8_t **data,
                         size_t *len)
{
  struct priv *p = core->priv;
  struct record rec = { .writer = p->set.writer,
                        .incarnation = p->set.incarnation,
                        .sequence = p->sequence + 1 };
  size_t count = choose_items (p, NULL);
  if (p->append_open || (count == 0 && !p->time_probe_wanted))
    return ERR_NOT_FOUND;
  int err = ERR_NOMEM;
  struct item **items = talloc_array (p, struct item *, count + 1);
  struct claim_item *wire = talloc_array (items, struct claim_item, count + 1);
  if (!items || !wire)
    goto done;
  choose_items (p, items);
  for (size_t n = 0; n < count; n++)
    wire[n] = items[n]->wire;
  err = claim_batch_encode (parent, &rec, wire, count, data, len);
  if (err)
    goto done;
  p->sequence++;
  p->append_open = true;
  p->time_probe_wanted = false;
  for (size_t n = 0; n < count; n++)
    {
      items[n]->prev_seq = items[n]->seq;
      items[n]->seq = p->sequence;
      move_item (p, items[n], LIST_IN_FLIGHT);
    }
done:
  talloc_free (items);
  return err;
}

void
claim_core_append_result (struct claim_core *core,
                          const struct append_result *res)
{
  struct priv *p = core->priv;
  struct item *item;
  struct item *tmp;
  if (!p->append_open || res->status == APPEND_UNKNOWN)
    return;
  p->append_open = false;
  if (res->status == APPEND_DONE)
    {
      DL_FOREACH (p->lists[LIST_IN_FLIGHT], item)
        if (item->seq == p->sequence)
          {
            item->appended = true;
            item->offset = res->offset;
          }
      return;
    }
  claim_core_requeue (p, p->sequence, 0);
  for (int n = 0; n < LIST_COUNT; n++)
    DL_FOREACH_SAFE (p->lists[n], item, tmp)
      if (item->seq == p->sequence)
        {
          item->seq = item->prev_seq;
          if (n == LIST_ABANDONED)
            claim_core_retire (p, item);
        }
}

bool
claim_core_append_is_open (const struct claim_core *core)
{
  return core->priv->append_open;
}

void
claim_core_resend (struct claim_core *core)
{
  struct priv *p = core->priv;
  if (!p->append_open)
    return;
  p->append_open = false;
  claim_core_requeue (p, p->sequence, 0);
}

int
claim_core_init (struct claim_core *core, void *parent,
                 const struct claim_core_settings *set)
{
  struct claim_fold_settings fold
      = { .key_lifetime_ms = set->settings->key_lifetime_ms,
          .max_keys = set->settings->max_keys };
  core->priv = NULL;
  size_t answer_max
      = LOG_RECORD_MAX_BYTES - CLAIM_ENVELOPE_MAX_BYTES - CLAIM_ITEM_MAX_BYTES;
  size_t writer_len = strlen (set->settings->writer);
  if (writer_len == 0 || writer_len > RECORD_WRITER_MAX_BYTES
      || set->settings->max_waiting == 0
      || set->settings->max_waiting > UINT32_MAX / 4
      || set->settings->max_answer_bytes > answer_max
      || set->settings->group_commit_us < 0)
    return ERR_INVALID;
  struct priv *p = talloc_zero (parent, struct priv);
  if (!p)
    return ERR_NOMEM;
  p->set = *set->settings;
  p->nonce = set->nonce;
  p->max_read_age_us = set->max_read_age_us;
  p->set.writer = talloc_strdup (p, set->settings->writer);
  int err = p->set.writer ? claim_fold_init (&p->fold, p, &fold) : ERR_NOMEM;
  if (err)
    {
      talloc_free (p);
      return err;
    }
  core->priv = p;
  return 0;
}

void
claim_core_fini (struct claim_core *core)
{
  struct priv *p = core->priv;
  if (!p)
    return;
  HASH_CLEAR (hh, p->by_id);
  talloc_free (p);
  core->priv = NULL;
}
