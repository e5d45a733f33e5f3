#include <string.h>
#include <talloc.h>

#include "node/node_priv.h"
#include "proto/job.pb-c.h"

/* Reports of a pool's owner about the hosts that the pool needs.  */

/* Longest time between two demand reports of a pool's owner, and the shortest
   for a changed demand.  */
#define DEMAND_INTERVAL_MAX_US 1500000
#define DEMAND_INTERVAL_MIN_US 60000
/* Shortest time between two computations of the demand, in multiples of the
   duration of the last one.  */
#define DEMAND_PAUSE_FACTOR 20

/* Whether the owner's first report waits until the demand is known, for
   DEMAND_INTERVAL_MAX_US at most.  Until then that of its predecessor stands:
   the hosts that it needed are still asked for.  */
static bool
is_withheld (struct held_duty *hld, const struct placer_demand *dem,
             int64_t now_us)
{
  if (!hld->withheld_us)
    hld->withheld_us = now_us;
  return dem->withheld && !hld->demand_sent_us
         && now_us < hld->withheld_us + DEMAND_INTERVAL_MAX_US;
}

static bool
demand_changed (const struct held_duty *hld, const struct placer_demand *dem)
{
  return hld->sent_short_hosts != dem->short_hosts
         || hld->sent_urgent_hosts != dem->urgent_hosts
         || hld->sent_needed_hosts != dem->needed_hosts
         || hld->sent_placeless_hosts != dem->placeless_hosts
         || strcmp (hld->sent_needed_label, dem->needed_label) != 0
         || hld->sent_idle_count != dem->idle_count;
}

void
node_fleet_report_demand (struct held_duty *hld)
{
  struct node *nod = hld->nod;
  int64_t now_us = clock_now_us (nod->clk);
  struct placer_demand dem;
  if (now_us < hld->demand_sent_us + DEMAND_INTERVAL_MIN_US
      || now_us < hld->next_demand_us)
    return;
  placer_demand (hld->plc, &dem);
  int64_t ended_us = clock_now_us (nod->clk);
  hld->next_demand_us = ended_us + (ended_us - now_us) * DEMAND_PAUSE_FACTOR;
  if (is_withheld (hld, &dem, now_us))
    return;
  if (!demand_changed (hld, &dem)
      && now_us < hld->demand_sent_us + DEMAND_INTERVAL_MAX_US)
    return;
  Kingcuphollow__PoolDemand msg = KINGCUPHOLLOW__POOL_DEMAND__INIT;
  msg.short_hosts = dem.short_hosts;
  msg.urgent_hosts = dem.urgent_hosts;
  msg.needed_hosts = dem.needed_hosts;
  msg.placeless_hosts = dem.placeless_hosts;
  msg.needed_label = (char *)dem.needed_label;
  msg.idle_hosts = (char **)dem.idle;
  msg.n_idle_hosts = dem.idle_count;
  msg.busy_milli = dem.busy_milli;
  msg.token = hld->token;
  size_t len = kingcuphollow__pool_demand__get_packed_size (&msg);
  uint8_t *data = talloc_size (nod, len + 1);
  if (!data)
    return;
  kingcuphollow__pool_demand__pack (&msg, data);
  if (node_fleet_append (&hld->report_app, FLEET_DEMAND_KEY, hld->pool, data,
                         len)
      == 0)
    {
      hld->demand_sent_us = now_us;
      hld->sent_short_hosts = dem.short_hosts;
      hld->sent_urgent_hosts = dem.urgent_hosts;
      hld->sent_needed_hosts = dem.needed_hosts;
      hld->sent_placeless_hosts = dem.placeless_hosts;
      name_copy (hld->sent_needed_label, dem.needed_label);
      hld->sent_idle_count = dem.idle_count;
      log_event (nod->lg, EV_POOL_DEMAND, LOG_S ("pool", hld->pool),
                 LOG_I ("short_hosts", dem.short_hosts),
                 LOG_I ("urgent_hosts", dem.urgent_hosts),
                 LOG_I ("needed_hosts", dem.needed_hosts),
                 LOG_I ("placeless_hosts", dem.placeless_hosts),
                 LOG_S ("label", dem.needed_label),
                 LOG_I ("idle_hosts", dem.idle_count),
                 LOG_I ("schedulable_hosts", dem.schedulable_hosts),
                 LOG_I ("awaited_hosts", dem.awaited_hosts),
                 LOG_I ("withheld", dem.withheld),
                 LOG_I ("busy_milli", dem.busy_milli));
    }
  talloc_free (data);
}
