#include <string.h>
#include <talloc.h>
#include <xxhash.h>

#include "node/node_priv.h"

/* The share of new jobs that pools accept: their owners decide it and state it
   in their reports to the members, and each process applies it to its
   clients.  */

/* A report is out of date when its owner has not sent another one for this
   time: it reports every 0.6 s.  */
#define ADMISSION_AGE_MAX_US 3000000

void
node_update_admission (struct held_duty *hld)
{
  struct node *nod = hld->nod;
  int64_t now_us = clock_now_us (nod->clk);
  struct admission_load load;
  if (!admission_due (&hld->adm, now_us))
    return;
  placer_admission_load (hld->plc, &load);
  load.hosts_short = hld->sent_short_hosts;
  uint32_t needless = admission_update (&hld->adm, &load, now_us);
  counter_add (&nod->ctr, CTR_JOBS_REFUSED_NEEDLESSLY, needless);
  if (hld->adm.accept_permille == hld->logged_permille)
    return;
  /* The members learn at once that the pool begins to reject jobs, or ends. */
  if (hld->adm.accept_permille == ADMISSION_ALL
      || hld->logged_permille == ADMISSION_ALL)
    nod->next_report_us = 0;
  hld->logged_permille = hld->adm.accept_permille;
  log_event (nod->lg, EV_POOL_ADMISSION, LOG_S ("pool", hld->pool),
             LOG_I ("accept_permille", hld->adm.accept_permille),
             LOG_I ("wait_ms", hld->adm.wait_ms),
             LOG_I ("wait_max_ms", load.wait_max_ms),
             LOG_I ("rate_milli", load.rate_milli),
             LOG_I ("hosts", load.hosts), LOG_I ("needless", needless));
}

void
node_report_admissions (struct node *nod, void *ctx,
                        Kingcuphollow__MemberBeat *msg)
{
  size_t most = 0;
  for (struct held_duty *hld = nod->held_duties; hld; hld = hld->next)
    most++;
  Kingcuphollow__PoolAdmission *rows
      = talloc_array (ctx, Kingcuphollow__PoolAdmission, most + 1);
  msg->admissions
      = talloc_array (ctx, Kingcuphollow__PoolAdmission *, most + 1);
  if (!rows || !msg->admissions)
    return;
  for (struct held_duty *hld = nod->held_duties; hld; hld = hld->next)
    {
      if (!hld->plc || hld->adm.accept_permille == ADMISSION_ALL)
        continue;
      Kingcuphollow__PoolAdmission *row = &rows[msg->n_admissions];
      kingcuphollow__pool_admission__init (row);
      row->pool = hld->pool;
      row->accept_permille = hld->adm.accept_permille;
      row->retry_after_ms = (uint32_t)hld->adm.retry_after_ms;
      msg->admissions[msg->n_admissions++] = row;
    }
}

static struct pool_admission *
find_admission (const struct node *nod, const char *pool)
{
  struct pool_admission *row;
  HASH_FIND_STR (nod->admissions, pool, row);
  return row;
}

/* Ends the shares that OWNER has stated before.  */
static void
drop_admissions (struct node *nod, const char *owner)
{
  struct pool_admission *row, *next;
  HASH_ITER (hh, nod->admissions, row, next)
    if (strcmp (row->owner, owner) == 0)
      {
        HASH_DEL (nod->admissions, row);
        talloc_free (row);
      }
}

/* A function of its own because clang-tidy counts the expanded uthash macro
   towards the size of the function that contains it.  */
static void
link_admission (struct node *nod, struct pool_admission *row)
{
  HASH_ADD_KEYPTR (hh, nod->admissions, row->pool, strlen (row->pool), row);
}

static struct pool_admission *
add_admission (struct node *nod, const char *pool)
{
  struct pool_admission *row = talloc_zero (nod, struct pool_admission);
  if (!row)
    return NULL;
  name_copy (row->pool, pool);
  link_admission (nod, row);
  return row;
}

void
node_note_admissions (struct node *nod, const char *owner,
                      const Kingcuphollow__MemberBeat *msg)
{
  drop_admissions (nod, owner);
  for (size_t n = 0; n < msg->n_admissions; n++)
    {
      const Kingcuphollow__PoolAdmission *src = msg->admissions[n];
      if (strlen (src->pool) >= NAME_BYTES)
        continue;
      struct pool_admission *row = find_admission (nod, src->pool);
      if (!row)
        row = add_admission (nod, src->pool);
      if (!row)
        return;
      name_copy (row->owner, owner);
      row->accept_permille = src->accept_permille;
      row->retry_after_ms = src->retry_after_ms;
      row->read_us = clock_now_us (nod->clk);
    }
}

bool
node_pool_accepts (const struct node *nod, const char *pool, uint64_t id,
                   int64_t *retry_after_ms)
{
  int64_t now_us = clock_now_us (nod->clk);
  const struct held_duty *hld = node_held_duty (nod, pool);
  const struct pool_admission *row = find_admission (nod, pool);
  /* A caller that returns draws again.  */
  uint64_t draw = XXH64 (&id, sizeof id, (uint64_t)now_us);
  uint32_t permille = ADMISSION_ALL;
  int64_t ms = 0;
  if (hld && hld->plc)
    {
      permille = hld->adm.accept_permille;
      ms = hld->adm.retry_after_ms;
    }
  else if (row && now_us - row->read_us < ADMISSION_AGE_MAX_US)
    {
      permille = row->accept_permille;
      ms = row->retry_after_ms;
    }
  if (admission_accepts (permille, draw))
    return true;
  *retry_after_ms = admission_retry_after_ms (ms, draw);
  return false;
}
