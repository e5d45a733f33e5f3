#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "fleet/host_link.h"
#include "sched/placer_priv.h"

/* What the platform's list of hosts tells about workers that do not answer. */

/* Whether a list of hosts requested at ASKED_US is certainly newer than the
   start of a worker that was known at KNOWN_US.  An older list may show the
   host as it was before that worker.  The worker's own start time does not
   tell, as it is a time of day, which processes do not agree on.  */
static bool
list_covers_instance (int64_t known_us, int64_t asked_us)
{
  return asked_us > known_us + HOST_LIST_LAG_US;
}

bool
placer_list_covers_earlier_starts (const struct placer *plc, int64_t asked_us)
{
  return list_covers_instance (placer_earlier_starts_end_us (plc), asked_us);
}

void
placer_update_host (struct placer *plc, const struct host_report *rep,
                    int64_t asked_us)
{
  bool not_up = rep->state != HOST_UP;
  bool other_pool = *rep->pool && strcmp (rep->pool, plc->set.pool) != 0;
  if (rep->state == HOST_UNKNOWN)
    return;
  placer_end_late_starts_on_host (plc, rep, asked_us);
  size_t pos = 0;
  struct worker *wrk;
  while ((wrk = pool_next_on_host (&plc->pool, rep->name, &pos)))
    {
      bool same = strcmp (wrk->rep.id, rep->worker) == 0;
      if (wrk->hold_answered_us >= asked_us
          || !list_covers_instance (wrk->known_us, asked_us)
          || wrk->unanswered_calls == 0 || (same && !not_up))
        continue;
      if (!wrk->ended_us)
        log_event (plc->env.lg, EV_WORKER_CHANGED,
                   LOG_S ("worker", wrk->rep.id), LOG_S ("state", "ended"),
                   LOG_S ("host", rep->name), LOG_S ("next", rep->worker),
                   LOG_I ("known_ms", (asked_us - wrk->known_us) / 1000),
                   LOG_I ("list_age_ms",
                          (clock_now_us (plc->env.clk) - asked_us) / 1000));
      placer_end_instance (plc, wrk);
      /* A host that comes back from another pool has a worker with another
         id.  */
      wrk->gone = !same && (*rep->worker || other_pool);
      wrk->ended_list_us = wrk->gone ? 0 : asked_us;
    }
  for (size_t n = plc->earlier_count; n-- > 0;)
    {
      struct earlier_worker *row = &plc->earlier[n];
      bool same = strcmp (row->id, rep->worker) == 0;
      if (strcmp (row->host, rep->name) != 0 || asked_us <= plc->claimed_us
          || !list_covers_instance (row->known_us, asked_us))
        continue;
      row->ended = !same || not_up;
      if (!row->ended)
        continue;
      /* The worker may have started again under its id since.  */
      if ((same || !*rep->worker)
          && !placer_list_covers_earlier_starts (plc, asked_us))
        continue;
      placer_drop_earlier_worker (plc, row->id);
    }
}

static bool
is_listed (const void *arg, const char *host)
{
  const struct host_list *list = arg;
  for (size_t n = 0; n < list->count; n++)
    if (strcmp (list->hosts[n].name, host) == 0)
      return true;
  return false;
}

/* Counts the lists without the host in *ABSENT, and returns whether it is
   gone.  */
static bool
host_gone (const struct host_list *list, const char *host, uint32_t *absent)
{
  *absent = !*host || is_listed (list, host) ? 0 : *absent + 1;
  return *absent >= ABSENT_LISTS_MIN;
}

static void
end_worker (struct placer *plc, const char *id, const char *host,
            int64_t born_ms)
{
  log_event (plc->env.lg, EV_WORKER_CHANGED, LOG_S ("worker", id),
             LOG_S ("state", "ended"), LOG_S ("host", host),
             LOG_S ("next", ""), LOG_I ("born_ms", born_ms));
  placer_worker_ended (plc, id);
  struct worker *wrk = pool_find_id (&plc->pool, id);
  if (wrk)
    wrk->gone = true;
}

static void
end_workers_without_host (struct placer *plc, const struct host_list *list,
                          int64_t asked_us)
{
  for (size_t n = 0; n < plc->pool.count; n++)
    {
      struct worker *wrk = plc->pool.workers[n];
      if (wrk->unanswered_calls == 0 || wrk->hold_answered_us >= asked_us
          || (wrk->ended_us
              && !(wrk->reported_ended && wrk->ended_list_us > 0))
          || !list_covers_instance (wrk->known_us, asked_us))
        wrk->absent_lists = 0;
      else if (host_gone (list, wrk->rep.host, &wrk->absent_lists))
        end_worker (plc, wrk->rep.id, wrk->rep.host, wrk->rep.born_ms);
    }
  for (size_t n = plc->earlier_count; n-- > 0;)
    {
      struct earlier_worker *row = &plc->earlier[n];
      if (list_covers_instance (row->known_us, asked_us)
          && asked_us > plc->claimed_us
          && host_gone (list, row->host, &row->absent_lists))
        {
          const struct earlier_worker gone = *row;
          end_worker (plc, gone.id, gone.host, gone.born_ms);
        }
    }
  placer_end_late_starts_without_host (plc, is_listed, list, asked_us);
}

void
placer_update_hosts (struct placer *plc, const struct host_list *list,
                     int64_t asked_us)
{
  if (list->err)
    return;
  for (size_t n = 0; n < list->count; n++)
    placer_update_host (plc, &list->hosts[n], asked_us);
  if (!list->incomplete && list->count > 0)
    end_workers_without_host (plc, list, asked_us);
}
