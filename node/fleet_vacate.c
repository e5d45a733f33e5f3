#include <talloc.h>

#include "node/fleet_priv.h"
#include "proto/job.pb-c.h"

/* Answers of a pool's owner to requests to vacate hosts.  */

/* Longest time until a change of a worker that is not counted by
   placer_worker_changes, such as its host, is noticed.  */
#define VACATING_AGE_MAX_US 200000

/* By enum placer_keep_reason.  */
static const char *const keep_reasons[] = {
  [PLACER_KEEP_NONE] = "",
  [PLACER_KEEP_NO_PLACE] = "no_place",
  [PLACER_KEEP_TASK_WAITS] = "task_waits",
  [PLACER_KEEP_NO_PROGRESS] = "no_progress",
};

/* Whether this owner has answered REQ.  Its first answer is final.  */
static bool
is_answered (const struct held_duty *hld, const struct vacate_request *req)
{
  return req->reported_offset == req->offset
         && req->reported_token == hld->token;
}

/* Tells the placer which hosts are to be emptied, and notes the requests for
   those of its pool, if these may have changed since the last time.  */
static void
update_vacating (struct held_duty *hld, int64_t now_us)
{
  struct node *nod = hld->nod;
  struct fleet_duty *flt = nod->flt;
  int64_t wall_ms = clock_wall_ms (nod->clk);
  struct vacate_request *req, *next;
  if (hld->vacating && hld->vacating_request_changes == flt->request_changes
      && hld->vacating_worker_changes == placer_worker_changes (hld->plc)
      && now_us - hld->vacating_us < VACATING_AGE_MAX_US)
    return;
  struct vacate_request **rows
      = talloc_realloc (hld, hld->vacating, struct vacate_request *,
                        HASH_COUNT (flt->requests) + 1);
  hld->vacating_count = 0;
  if (!rows)
    return;
  hld->vacating = rows;
  HASH_ITER (hh, flt->requests, req, next)
    {
      int64_t left_us = (req->until_ms - wall_ms) * 1000;
      int64_t until_us = now_us + (left_us > 0 ? left_us : 0);
      if (is_answered (hld, req) && req->refused)
        continue; /* the pool uses the host */
      bool found = placer_vacate (hld->plc, req->host, until_us);
      if (req->move)
        placer_vacate_is_move (hld->plc, req->host);
      if (found)
        rows[hld->vacating_count++] = req;
    }
  hld->vacating_request_changes = flt->request_changes;
  hld->vacating_worker_changes = placer_worker_changes (hld->plc);
  hld->vacating_us = now_us;
}

/* Appends this owner's answer to REQ.  Returns whether it is on its way.  */
static bool
append_answer (struct held_duty *hld, struct vacate_request *req,
               const struct placer_kept *kept)
{
  uint8_t data[128];
  Kingcuphollow__VacateReport msg = KINGCUPHOLLOW__VACATE_REPORT__INIT;
  msg.request_offset = req->offset;
  msg.token = hld->token;
  msg.refused = kept != NULL;
  msg.reason = (char *)(kept ? keep_reasons[kept->reason] : "");
  if (node_fleet_append (&hld->report_app, VACATE_REPORT_KEY, req->host, data,
                         kingcuphollow__vacate_report__pack (&msg, data))
      != 0)
    return false;
  req->reported_offset = req->offset;
  req->reported_token = hld->token;
  req->refused = kept != NULL;
  return true;
}

static void
report_kept (struct held_duty *hld, struct vacate_request *req,
             const struct placer_kept *kept)
{
  /* If the append fails, the placer keeps the host, and the answer is appended
     later.  */
  if (!append_answer (hld, req, kept))
    return;
  placer_vacate (hld->plc, req->host, 0);
  log_event (
      hld->nod->lg, EV_HOST_KEPT, LOG_S ("host", req->host),
      LOG_S ("pool", hld->pool), LOG_S ("reason", keep_reasons[kept->reason]),
      LOG_S ("task", kept->task), LOG_I ("took_ms", kept->took_us / 1000));
}

static void
report_empty (struct held_duty *hld, struct vacate_request *req,
              const struct placer_vacated *vac)
{
  if (!append_answer (hld, req, NULL))
    return;
  log_event (hld->nod->lg, EV_HOST_EMPTIED, LOG_S ("host", req->host),
             LOG_S ("pool", hld->pool), LOG_I ("took_ms", vac->took_us / 1000),
             LOG_I ("cleared_ms", vac->cleared_us / 1000),
             LOG_I ("stopped", vac->stopped));
}

void
node_fleet_answer_requests (struct held_duty *hld)
{
  update_vacating (hld, clock_now_us (hld->nod->clk));
  for (size_t n = 0; n < hld->vacating_count; n++)
    {
      struct vacate_request *req = hld->vacating[n];
      struct placer_vacated vac;
      struct placer_kept kept;
      if (is_answered (hld, req))
        continue;
      if (placer_host_kept (hld->plc, req->host, &kept))
        report_kept (hld, req, &kept);
      else if (placer_host_empty (hld->plc, req->host, &vac))
        report_empty (hld, req, &vac);
    }
}
