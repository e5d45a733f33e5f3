#include <string.h>

#include "fleet/host_mgr.h"

/* Reports of the pools' owners that a host is empty.  */

void
host_mgr_host_emptied (struct host_mgr *mgr, const char *name, uint64_t offset,
                       int64_t now_us)
{
  struct mgr_host *host = host_mgr_find (mgr, name);
  if (!host || host->phase != PHASE_VACATING)
    return;
  /* Requests and reports are read from different partitions.  */
  if (!host->request_offset)
    host->early_report_offset = offset;
  else if (host->request_offset == offset)
    {
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
  if (host->early_report_offset == offset)
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
