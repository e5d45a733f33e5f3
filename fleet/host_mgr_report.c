#include <string.h>

#include "fleet/host_mgr_priv.h"

/* Reports of the pools' owners that a host is empty, or that they refuse to
   vacate it.  */

/* Pause before a host is asked for again: after the first refusal, and the
   longest one.  Each further refusal doubles it.  Most tasks take a second or
   two, and a wave of 8 s still comes back to the host.  As a pool that gets a
   host may give up another one, the pauses there end then and begin with the
   shortest one again.  */
#define REFUSED_PAUSE_US 1000000
#define REFUSED_PAUSE_MAX_US 8000000

void
host_mgr_not_vacated (struct host_mgr *mgr, struct mgr_host *host,
                      const char *reason, const char *kept_for, int64_t now_us)
{
  int64_t pause_us = 2 * host->refused_pause_us;
  if (pause_us == 0)
    pause_us = REFUSED_PAUSE_US;
  if (pause_us > REFUSED_PAUSE_MAX_US)
    pause_us = REFUSED_PAUSE_MAX_US;
  host->refusals++;
  host->refused_pause_us = pause_us;
  host->refused_until_us = now_us + pause_us;
  host->refused_remained = mgr->rows[host->pool_row].remain;
  host_mgr_give_up (mgr, host, reason, kept_for, now_us);
}

static void
end_pause (struct mgr_host *host)
{
  host->refused_pause_us = 0;
  host->refused_until_us = 0;
}

void
host_mgr_end_pauses (struct host_mgr *mgr)
{
  for (size_t n = 0; n < mgr->host_count; n++)
    {
      struct mgr_host *host = &mgr->hosts[n];
      if (host->refused_pause_us
          && mgr->rows[host->pool_row].remain > host->refused_remained)
        end_pause (host);
    }
}

void
host_mgr_host_returned (struct host_mgr *mgr, const struct mgr_host *host)
{
  for (size_t n = 0; n < mgr->host_count; n++)
    if (strcmp (mgr->hosts[n].rep.pool, host->rep.pool) == 0)
      end_pause (&mgr->hosts[n]);
}

/* Notes a report that was read before its request; the first one about a
   request counts.  */
static void
note_early_report (struct mgr_host *host, uint64_t offset, bool refused,
                   const char *reason)
{
  if (host->early_report_offset >= offset)
    return;
  host->early_report_offset = offset;
  host->early_refused = refused;
  name_copy (host->early_reason, reason);
}

void
host_mgr_host_refused (struct host_mgr *mgr, const char *name, uint64_t offset,
                       const char *reason, int64_t now_us)
{
  struct mgr_host *host = host_mgr_find (mgr, name);
  if (!host || host->phase != PHASE_VACATING)
    return;
  if (!host->request_offset)
    note_early_report (host, offset, true, reason);
  else if (host->request_offset == offset)
    host_mgr_not_vacated (mgr, host, "refused", reason, now_us);
}

void
host_mgr_host_emptied (struct host_mgr *mgr, const char *name, uint64_t offset,
                       int64_t now_us)
{
  struct mgr_host *host = host_mgr_find (mgr, name);
  if (!host || host->phase != PHASE_VACATING)
    return;
  /* Requests and reports are read from different partitions.  */
  if (!host->request_offset)
    note_early_report (host, offset, false, "");
  else if (host->request_offset == offset)
    {
      host->refusals = 0;
      end_pause (host);
      host->phase = PHASE_EMPTY;
      host->phase_began_us = now_us;
    }
}

void
host_mgr_request_read (struct host_mgr *mgr, struct mgr_host *host,
                       uint64_t offset, int64_t now_us)
{
  if (host->phase != PHASE_VACATING)
    return;
  host->request_offset = offset;
  if (host->early_report_offset != offset)
    return;
  if (host->early_refused)
    host_mgr_host_refused (mgr, host->rep.name, offset, host->early_reason,
                           now_us);
  else
    host_mgr_host_emptied (mgr, host->rep.name, offset, now_us);
}

void
host_mgr_owner_changed (struct host_mgr *mgr, const char *pool, int64_t now_us)
{
  for (size_t n = 0; n < mgr->host_count; n++)
    {
      struct mgr_host *host = &mgr->hosts[n];
      if (strcmp (host->rep.pool, pool) != 0)
        continue;
      host->early_report_offset = 0;
      if (host->phase == PHASE_EMPTY && host->request_offset)
        {
          host->phase = PHASE_VACATING;
          host->phase_began_us = now_us;
        }
    }
}
