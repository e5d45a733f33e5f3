#include <string.h>
#include <talloc.h>

#include "base/err.h"
#include "node/node_priv.h"
#include "proto/job.pb-c.h"

/* Records of duty claims and releases.  */

/* Rounds up, as a time that is too short could end a wait too early.  */
static uint32_t
to_ms (int64_t span_us)
{
  return (uint32_t)((span_us + 999) / 1000);
}

/* Returns memory that belongs to PARENT, or NULL without memory.  */
static uint8_t *
encode (void *parent, const struct duty_claim *claim, size_t *len)
{
  Kingcuphollow__DutyClaim msg = KINGCUPHOLLOW__DUTY_CLAIM__INIT;
  Kingcuphollow__EarlierHolders ear = KINGCUPHOLLOW__EARLIER_HOLDERS__INIT;
  Kingcuphollow__EarlierHolders__Holder rows[EARLIER_HOLDERS_MAX];
  Kingcuphollow__EarlierHolders__Holder *row_ptrs[EARLIER_HOLDERS_MAX];
  msg.holder = (char *)claim->holder;
  msg.boot = claim->boot;
  msg.released = claim->released;
  msg.cleared = claim->cleared;
  msg.released_token = claim->released_token;
  msg.token_count = claim->token_count;
  if (claim->earlier)
    {
      msg.earlier = &ear;
      ear.holders = row_ptrs;
      ear.n_holders = claim->earlier->count;
      ear.leases_ms = to_ms (claim->earlier->leases_end_us);
      ear.lease_span_ms = (uint32_t)(claim->earlier->lease_us / 1000);
    }
  for (size_t n = 0; n < ear.n_holders; n++)
    {
      const struct earlier_holder *row = &claim->earlier->rows[n];
      row_ptrs[n] = &rows[n];
      kingcuphollow__earlier_holders__holder__init (&rows[n]);
      rows[n].name = (char *)row->name;
      rows[n].boot = row->boot;
      rows[n].commands_ms = to_ms (row->commands_end_us);
    }
  uint8_t *data = talloc_size (
      parent, kingcuphollow__duty_claim__get_packed_size (&msg));
  *len = data ? kingcuphollow__duty_claim__pack (&msg, data) : 0;
  return data;
}

/* Number of records after COUNT claims or releases that reserve the tokens of
   each claim.  Ranges of claims in one append overlap: a worker belongs to one
   pool, and compares the tokens of that pool's claims only.  */
static size_t
count_reserving (const struct duty_claim *claims, size_t count)
{
  size_t reserving = 0;
  for (size_t n = 0; n < count; n++)
    if (claims[n].token_count > reserving + 1)
      reserving = claims[n].token_count - 1;
  return reserving;
}

int
duty_record_append (struct node *nod, const struct duty_claim *claims,
                    size_t count, topic_append_fn *fn)
{
  void *ctx = talloc_new (nod);
  size_t total = count + count_reserving (claims, count);
  struct topic_entry *entries = talloc_array (ctx, struct topic_entry, total);
  int err = entries ? 0 : ERR_NOMEM;
  for (size_t n = 0; !err && n < count; n++)
    {
      struct topic_entry *ent = &entries[n];
      ent->key = talloc_asprintf (ctx, "%c/%s",
                                  claims[n].released ? RELEASE_KEY : CLAIM_KEY,
                                  claims[n].name);
      ent->value = encode (ctx, &claims[n], &ent->value_len);
      if (!ent->key || !ent->value)
        err = ERR_NOMEM;
      else
        ent->key_len = strlen (ent->key);
    }
  for (size_t n = count; !err && n < total; n++)
    entries[n] = (struct topic_entry){ .key = TOKEN_KEY,
                                       .key_len = strlen (TOKEN_KEY) };
  const struct topic_append app = {
    .topic = TOPIC_DUTIES,
    .conditional = count > 0 && !claims[0].released,
    .expected_end = follower_next_offset (&nod->duty_fol),
    .entries = entries,
    .count = total,
  };
  if (!err)
    err = topic_append (&nod->store.st, &app, fn, nod);
  talloc_free (ctx);
  return err;
}

/* Returns false if MSG has more rows than the table keeps apart.  */
static bool
decode_earlier (const Kingcuphollow__EarlierHolders *msg,
                struct earlier_holders *ear)
{
  *ear = (struct earlier_holders){ 0 };
  if (msg->n_holders > EARLIER_HOLDERS_MAX)
    return false;
  ear->leases_end_us = (int64_t)msg->leases_ms * 1000;
  ear->lease_us = (int64_t)msg->lease_span_ms * 1000;
  for (size_t n = 0; n < msg->n_holders; n++)
    {
      struct earlier_holder *row = &ear->rows[ear->count++];
      name_copy (row->name, msg->holders[n]->name);
      row->boot = msg->holders[n]->boot;
      row->commands_end_us = (int64_t)msg->holders[n]->commands_ms * 1000;
    }
  return true;
}

int
duty_record_fold (struct duty_table *tab, const char *name,
                  const struct topic_record *rec, int64_t now_us)
{
  struct earlier_holders ear;
  Kingcuphollow__DutyClaim *msg = kingcuphollow__duty_claim__unpack (
      NULL, rec->entry.value_len, rec->entry.value);
  if (!msg)
    return ERR_PROTOCOL;
  const struct duty_claim claim = {
    .name = name,
    .holder = msg->holder,
    .boot = msg->boot,
    .released = msg->released,
    .cleared = msg->cleared,
    .token = rec->offset + 1,
    .token_count = msg->token_count,
    .released_token = msg->released_token,
    .earlier
    = msg->earlier && decode_earlier (msg->earlier, &ear) ? &ear : NULL,
  };
  int err = duty_fold_claim (tab, &claim, now_us);
  kingcuphollow__duty_claim__free_unpacked (msg, NULL);
  return err;
}
