#include <string.h>
#include <talloc.h>
#include <xxhash.h>

#include "base/err.h"
#include "node/node_priv.h"
#include "platform/wire_decode.h"

/* Records of the operators and the workers: the configuration, maintenance
   waves and the directory of workers.  */

/* A worker that drains gets no starts 2 s after its report: a read on a
   silenced connection and the next one have to fit.  */
#define WORKERS_READ_WAIT_MS 500
/* The same for the operators' records.  The view is as old as the start of the
   last completed read: with this wait it stays younger than config_age_max_ms
   also when one read after another finds nothing new in a slow store.  */
#define OPERATOR_READ_WAIT_MS 500

/* Whether the configuration names the pool of REP.  Before it is read, each
   one counts as named.  */
static bool
pool_is_named (const struct node *nod, const struct worker_report *rep)
{
  return !nod->cat || catalog_pool (nod->cat, rep->pool);
}

void
node_tell_placer (struct held_duty *hld, const char *id,
                  const struct worker_report *rep)
{
  /* A worker of an unknown pool says nothing about other workers of its host.
     The placer's own pool counts as named if a later version leaves it out. */
  bool named = rep
               && (pool_is_named (hld->nod, rep)
                   || strcmp (rep->pool, hld->pool) == 0);
  placer_update_worker (hld->plc, id, named ? rep : NULL);
}

static void
notify_placers (struct node *nod, const char *id,
                const struct worker_report *rep)
{
  for (struct held_duty *hld = nod->held_duties; hld; hld = hld->next)
    if (hld->plc)
      {
        node_tell_placer (hld, id, rep);
        node_schedule_placer (hld, 0);
      }
}

static struct worker_entry *
find_entry (struct node *nod, const char *id)
{
  struct worker_entry *row;
  HASH_FIND_STR (nod->directory, id, row);
  return row;
}

static void
remove_entry (struct node *nod, struct worker_entry *row, const char *state)
{
  if (node_held_duty (nod, row->rep.pool))
    log_event (nod->lg, EV_WORKER_CHANGED, LOG_S ("worker", row->rep.id),
               LOG_S ("state", state), LOG_S ("pool", row->rep.pool));
  HASH_DEL (nod->directory, row);
  talloc_free (row);
}

/* A function of its own because clang-tidy counts the expanded uthash macro
   towards the size of the function that contains it.  */
static void
link_entry (struct node *nod, struct worker_entry *row)
{
  HASH_ADD_KEYPTR (hh, nod->directory, row->rep.id, strlen (row->rep.id), row);
}

static struct worker_entry *
add_entry (struct node *nod, const struct worker_report *rep)
{
  struct worker_entry *row = talloc_zero (nod, struct worker_entry);
  if (!row)
    return NULL;
  row->rep = *rep;
  link_entry (nod, row);
  if (node_held_duty (nod, rep->pool))
    log_event (nod->lg, EV_WORKER_CHANGED, LOG_S ("worker", rep->id),
               LOG_S ("state", "added"), LOG_S ("pool", rep->pool),
               LOG_S ("host", rep->host), LOG_S ("address", rep->address));
  return row;
}

/* Logs that the entry with the key ID names no worker.  */
static void
log_odd_entry (struct node *nod, const char *id, uint64_t offset,
               const char *fault)
{
  if (nod->odd_entry_count == ODD_ENTRIES_MAX)
    return;
  for (size_t n = 0; n < nod->odd_entry_count; n++)
    if (strcmp (nod->odd_entries[n], id) == 0)
      return;
  name_copy (nod->odd_entries[nod->odd_entry_count++], id);
  log_event (nod->lg, EV_RECORD_INVALID, LOG_S ("topic", WIRE_TOPIC_WORKERS),
             LOG_S ("key", id), LOG_I ("offset", offset),
             LOG_S ("error", fault));
}

static void
on_worker_record (void *arg, const struct topic_record *rec)
{
  struct node *nod = arg;
  const struct topic_entry *ent = &rec->entry;
  struct worker_report rep;
  const char *fault;
  char id[NAME_BYTES];
  name_copy_len (id, ent->key, ent->key_len);
  /* A key that is too long or has a NUL is not that of the worker whose id it
     becomes.  */
  struct worker_entry *row
      = strlen (id) == ent->key_len ? find_entry (nod, id) : NULL;
  int64_t clock_ms = 0;
  uint64_t fingerprint
      = wire_worker_fingerprint (ent->value, ent->value_len, &clock_ms);
  /* Most reports say nothing new, and there are some hundred a second.  */
  if (row && ent->value_len > 0 && row->fingerprint == fingerprint)
    {
      row->rep.clock_ms = clock_ms;
      notify_placers (nod, id, &row->rep);
      return;
    }
  bool valid = ent->value_len > 0
               && wire_decode_worker (ent->key, ent->key_len, ent->value,
                                      ent->value_len, &rep, &fault)
                      == 0;
  if (!valid)
    {
      if (ent->value_len > 0)
        log_odd_entry (nod, id, rec->offset, fault);
      if (!row)
        return;
      remove_entry (nod, row, ent->value_len ? "unreadable" : "removed");
      notify_placers (nod, id, NULL);
      return;
    }
  if (!pool_is_named (nod, &rep))
    log_odd_entry (nod, id, rec->offset, "service");
  bool same = row && row->rep.born_ms == rep.born_ms;
  rep.known_us = same ? row->rep.known_us : clock_now_us (nod->clk);
  if (!row)
    row = add_entry (nod, &rep);
  if (!row)
    return;
  if (row->rep.draining != rep.draining && node_held_duty (nod, rep.pool))
    log_event (nod->lg, EV_WORKER_CHANGED, LOG_S ("worker", id),
               LOG_S ("state", rep.draining ? "draining" : "ready"),
               LOG_S ("pool", rep.pool));
  row->rep = rep;
  row->fingerprint = fingerprint;
  notify_placers (nod, id, &rep);
}

static void
on_workers_batch (void *arg)
{
}

static bool
has_name (const char *const *names, size_t count, const char *name)
{
  for (size_t n = 0; n < count; n++)
    if (strcmp (names[n], name) == 0)
      return true;
  return false;
}

const char *const *
node_queue_pools (struct node *nod, size_t *count)
{
  const struct catalog *cat = nod->cat;
  bool known = cat && cat == nod->pools_cat
               && cat->version == nod->pools_version
               && cat->queue_count == nod->pools_queues;
  if (cat && !known)
    {
      const char **names = talloc_realloc (nod, nod->queue_pools, const char *,
                                           cat->queue_count + 1);
      nod->queue_pool_count = 0;
      nod->pools_cat = names ? cat : NULL;
      nod->pools_version = cat->version;
      nod->pools_queues = cat->queue_count;
      if (names)
        nod->queue_pools = names;
      for (size_t n = 0; names && n < cat->queue_count; n++)
        if (!has_name (names, nod->queue_pool_count, cat->queues[n].pool))
          names[nod->queue_pool_count++] = cat->queues[n].pool;
    }
  *count = cat ? nod->queue_pool_count : 0;
  return nod->queue_pools;
}

static void
on_operator_record (void *arg, const struct topic_record *rec)
{
  struct node *nod = arg;
  const struct topic_entry *ent = &rec->entry;
  if (ent->key_len > strlen (WIRE_KEY_WAVE)
      && memcmp (ent->key, WIRE_KEY_WAVE, strlen (WIRE_KEY_WAVE)) == 0)
    {
      if (ent->value_len > 0
          && !node_fleet_add_wave (nod, ent->value, ent->value_len))
        log_event (nod->lg, EV_RECORD_INVALID,
                   LOG_S ("topic", WIRE_TOPIC_OPERATOR),
                   LOG_I ("offset", rec->offset), LOG_S ("error", "wave"));
      return;
    }
  if (ent->key_len != strlen (WIRE_KEY_CATALOG)
      || memcmp (ent->key, WIRE_KEY_CATALOG, ent->key_len) != 0)
    return;
  struct catalog *cat = wire_decode_catalog (nod, ent->value, ent->value_len);
  if (!cat)
    {
      log_event (nod->lg, EV_CATALOG_REJECTED, LOG_I ("offset", rec->offset));
      return;
    }
  /* The follower may deliver older versions again after a restart.  */
  if (nod->cat && cat->version <= nod->cat->version)
    {
      talloc_free (cat);
      return;
    }
  size_t moved = catalog_note_pools (cat, nod->cat, clock_now_us (nod->clk));
  if (!nod->cat)
    nod->first_config_us = clock_now_us (nod->clk);
  talloc_free (nod->cat);
  nod->cat = cat;
  log_event (nod->lg, EV_CATALOG_IN_FORCE, LOG_I ("version", cat->version),
             LOG_I ("queues", cat->queue_count),
             LOG_I ("pools", cat->pool_count), LOG_I ("moved", moved));
  wire_front_set_body_max (nod->frt, cat->body_max_bytes);
  if (node_open_job_partitions (nod))
    log_event (nod->lg, EV_NODE_FAILED, LOG_S ("error", "no_memory"));
}

static void
on_operator_batch (void *arg)
{
  node_check_duties (arg);
}

int
node_open_directory (struct node *nod)
{
  const char *name = nod->set->name;
  const struct follower_settings set
      = { .topic = WIRE_TOPIC_OPERATOR,
          .wait_ms = OPERATOR_READ_WAIT_MS,
          .timeout_ms = URGENT_TIMEOUT_MS,
          .newest_only = true,
          .retry_max_ms = URGENT_RETRY_MAX_MS,
          .seed = XXH64 (name, strlen (name), 0),
          .lg = nod->lg };
  return follower_init (&nod->operator_fol, nod, &nod->store.st, nod->ev,
                        nod->clk, &set, on_operator_record, on_operator_batch,
                        nod);
}

void
node_follow_workers (struct node *nod)
{
  const char *name = nod->set->name;
  const struct follower_settings set
      = { .topic = WIRE_TOPIC_WORKERS,
          .batch_delay_ms = DIRECTORY_BATCH_DELAY_MS,
          .wait_ms = WORKERS_READ_WAIT_MS,
          .timeout_ms = URGENT_TIMEOUT_MS,
          .seed = XXH64 (name, strlen (name), 0),
          .lg = nod->lg };
  if (!follower_is_open (&nod->directory_fol))
    follower_init (&nod->directory_fol, nod, &nod->store.st, nod->ev, nod->clk,
                   &set, on_worker_record, on_workers_batch, nod);
}

/* Workers that leave in the meantime have no record when the newest ones are
   read again, so all entries go.  */
void
node_unfollow_workers (struct node *nod)
{
  struct worker_entry *row, *next;
  if (!follower_is_open (&nod->directory_fol))
    return;
  follower_fini (&nod->directory_fol);
  HASH_ITER (hh, nod->directory, row, next)
    {
      HASH_DEL (nod->directory, row);
      talloc_free (row);
    }
}
