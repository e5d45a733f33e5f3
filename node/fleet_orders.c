#include <string.h>
#include <talloc.h>

#include "node/fleet_priv.h"

/* Orders of the holder of the fleet duty to the platform.  */

/* No order is carried out later than this after the duty of its sender was
   last confirmed: the call is given up by then.  */
#define ORDERS_END_US 2000000
/* Longest time for which the sender waits for the answer to an order; answers
   take some milliseconds, and 50 times as long when the API is slow.  */
#define ORDER_TIMEOUT_MAX_US 2000000
/* Bound on the transit time of an order, and on the delay of a timer.  */
#define ORDER_TRANSIT_US 100000

/* A host order in progress.  */
struct order_ctx
{
  struct node *nod;
  uint64_t token;
  char host[NAME_BYTES];
  char pool[NAME_BYTES]; /* of the host when the order was sent */
  char dest[NAME_BYTES]; /* of a move, or "upkeep" */
};

static void
on_order (void *arg, enum host_order_status status)
{
  static const char *const names[] = {
    [HOST_ORDER_DONE] = "done",
    [HOST_ORDER_FENCED] = "fenced",
    [HOST_ORDER_BUSY] = "busy",
    [HOST_ORDER_NOT_IN_WAVE] = "not_in_wave",
    [HOST_ORDER_INVALID] = "invalid",
    [HOST_ORDER_REJECTED] = "rejected",
    [HOST_ORDER_UNKNOWN] = "no_answer",
  };
  struct order_ctx *ctx = arg;
  struct fleet_duty *flt = ctx->nod->flt;
  struct mgr_host *host = flt->active && flt->token == ctx->token
                              ? host_mgr_find (&flt->mgr, ctx->host)
                              : NULL;
  log_event (ctx->nod->lg, EV_HOST_ORDER, LOG_S ("host", ctx->host),
             LOG_S ("pool", ctx->pool), LOG_S ("for", ctx->dest),
             LOG_S ("outcome", names[status]), LOG_I ("token", ctx->token));
  if (host)
    host_mgr_order_answered (&flt->mgr, host, status,
                             clock_now_us (ctx->nod->clk));
  talloc_free (ctx);
}

/* Time for which this holder may wait for an order that is sent now; 0: it may
   send none.  */
static int64_t
order_time_us (const struct fleet_duty *flt, int64_t now_us)
{
  int64_t left_us = flt->nod->confirmed_us + ORDERS_END_US - now_us;
  if (now_us < flt->orders_from_us
      || left_us < ORDERS_END_US - CONFIRM_AGE_MAX_US)
    return 0;
  return left_us < ORDER_TIMEOUT_MAX_US ? left_us : ORDER_TIMEOUT_MAX_US;
}

/* Whether the order may still be sent: a process that was paused may have lost
   the duty since it decided.  */
static bool
may_send_order (void *arg)
{
  const struct order_ctx *ctx = arg;
  const struct fleet_duty *flt = ctx->nod->flt;
  return flt->active && flt->token == ctx->token
         && clock_now_us (ctx->nod->clk)
                < ctx->nod->confirmed_us + ORDERS_END_US;
}

int64_t
node_fleet_orders_begin_us (const struct node *nod)
{
  const struct duty *dty = duty_find (&nod->duties, DUTY_FLEET);
  if (strcmp (nod->set->orders_fenced, "true") == 0 || !dty
      || dty->earlier.count == 0)
    return 0;
  return dty->since_us + ORDERS_END_US + ORDER_TRANSIT_US;
}

void
node_fleet_order_host (void *arg, struct mgr_host *host)
{
  struct fleet_duty *flt = arg;
  int64_t time_us = order_time_us (flt, clock_now_us (flt->nod->clk));
  struct order_ctx *ctx
      = time_us > 0 ? talloc_zero (flt, struct order_ctx) : NULL;
  if (!ctx)
    {
      host_mgr_order_answered (&flt->mgr, host, HOST_ORDER_REJECTED,
                               clock_now_us (flt->nod->clk));
      return;
    }
  ctx->nod = flt->nod;
  ctx->token = flt->token;
  name_copy (ctx->host, host->rep.name);
  name_copy (ctx->pool, host->rep.pool);
  name_copy (ctx->dest,
             host->current_op == OP_MOVE ? host->dest_pool : "upkeep");
  const struct host_order ord = {
    .host = ctx->host,
    .pool = host->current_op == OP_MOVE ? host->dest_pool : NULL,
    .wave = host->wave,
    .holder = flt->nod->set->name,
    .token = flt->token,
    .may_send = may_send_order,
    .timeout_ms = time_us / 1000,
  };
  if (flt->nod->fleet_link.lnk.drv->order (&flt->nod->fleet_link.lnk, &ord,
                                           on_order, ctx))
    {
      talloc_free (ctx);
      host_mgr_order_answered (&flt->mgr, host, HOST_ORDER_REJECTED,
                               clock_now_us (flt->nod->clk));
    }
}
