#include <string.h>
#include <talloc.h>

#include "base/err.h"
#include "node/node_priv.h"
#include "platform/wire_decode.h"

/* Records of the operators and the workers: the configuration, maintenance
   waves and the directory of workers.  */

#define READ_WAIT_MS 1000

static void
notify_placers (struct node *nod, const char *id,
                const struct worker_report *rep)
{
  for (struct held_duty *hld = nod->held_duties; hld; hld = hld->next)
    if (hld->plc)
      {
        placer_update_worker (hld->plc, id, rep);
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
  log_event (nod->lg, EV_WORKER_CHANGED, LOG_S ("worker", rep->id),
             LOG_S ("state", "added"), LOG_S ("pool", rep->pool),
             LOG_S ("host", rep->host), LOG_S ("address", rep->address));
  return row;
}

static void
on_worker_record (void *arg, const struct topic_record *rec)
{
  struct node *nod = arg;
  const struct topic_entry *ent = &rec->entry;
  struct worker_report rep;
  char id[NAME_BYTES];
  if (ent->key_len >= NAME_BYTES)
    return;
  name_copy_len (id, ent->key, ent->key_len);
  struct worker_entry *row = find_entry (nod, id);
  bool valid = ent->value_len > 0
               && wire_decode_worker (ent->key, ent->key_len, ent->value,
                                      ent->value_len, &rep)
                      == 0;
  if (!valid)
    {
      if (!row)
        return;
      remove_entry (nod, row, ent->value_len ? "unreadable" : "removed");
      notify_placers (nod, id, NULL);
      return;
    }
  bool same = row && row->rep.born_ms == rep.born_ms;
  rep.known_us = same ? row->rep.known_us : clock_now_us (nod->clk);
  if (!row)
    row = add_entry (nod, &rep);
  if (!row)
    return;
  if (row->rep.draining != rep.draining)
    log_event (nod->lg, EV_WORKER_CHANGED, LOG_S ("worker", id),
               LOG_S ("state", rep.draining ? "draining" : "ready"),
               LOG_S ("pool", rep.pool));
  row->rep = rep;
  notify_placers (nod, id, &rep);
}

static void
on_workers_batch (void *arg)
{
}

static void
on_operator_record (void *arg, const struct topic_record *rec)
{
  struct node *nod = arg;
  const struct topic_entry *ent = &rec->entry;
  if (ent->key_len > strlen (WIRE_KEY_WAVE)
      && memcmp (ent->key, WIRE_KEY_WAVE, strlen (WIRE_KEY_WAVE)) == 0)
    {
      node_fleet_add_wave (nod, ent->value, ent->value_len);
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
  talloc_free (nod->cat);
  nod->cat = cat;
  log_event (nod->lg, EV_CATALOG_IN_FORCE, LOG_I ("version", cat->version),
             LOG_I ("queues", cat->queue_count),
             LOG_I ("pools", cat->pool_count));
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
  const struct follower_settings operator_set
      = { .topic = WIRE_TOPIC_OPERATOR, .wait_ms = READ_WAIT_MS };
  const struct follower_settings worker_set
      = { .topic = WIRE_TOPIC_WORKERS,
          .batch_delay_ms = DIRECTORY_BATCH_DELAY_MS,
          .wait_ms = READ_WAIT_MS };
  int err = follower_init (&nod->operator_fol, nod, &nod->store.st, nod->ev,
                           nod->clk, &operator_set, on_operator_record,
                           on_operator_batch, nod);
  if (err)
    return err;
  return follower_init (&nod->directory_fol, nod, &nod->store.st, nod->ev,
                        nod->clk, &worker_set, on_worker_record,
                        on_workers_batch, nod);
}
