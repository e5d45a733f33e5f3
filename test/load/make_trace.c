/* Generates the traces of the two deployments in test/traces/: a day
   compressed to 25 s, in which five groups of request kinds surge one after
   the other.  Writes the trace to the standard output.

   usage: make_trace comptoir|colheitas SEED  */

#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "test/load/trace.h"

#define TRACE_LENGTH_S 25
#define TURN_MS 5000
#define TURN_COUNT 5
#define SURGE_FACTOR 5.0

/* Ordered by surge turn: counter stock, restocking, lots, allocations,
   monitors.  */
static const struct trace_kind comptoir[] = {
  { "stock_query", "volunteer", 40, 0, 50, 400000, 2000, 200, false },
  { "stock_history", "volunteer", 40, 0, 10, 300000, 3000, 400, false },
  { "restock_plan", "warehouse", 6, 1, 20, 900000, 8000, 3000, false },
  { "restock_forecast", "warehouse", 6, 1, 3, 1500000, 8000, 1500, false },
  { "lot_notice", "brand", 25, 2, 40, 520000, 6000, 1200, false },
  { "lot_search", "shelter", 30, 2, 10, 300000, 3000, 500, false },
  { "pallet_allocation", "shelter", 30, 3, 18, 700000, 6000, 800, true },
  { "pallet_status", "warehouse", 6, 3, 20, 300000, 3000, 600, false },
  { "shelf_alert", "pharmacy", 20, 4, 35, 600000, 8000, 400, false },
  { "shelf_monitor", "pharmacy", 20, -1, 1, 2500000, 15000, 300, false },
};

/* Ordered by surge turn: routes, clearance, manifests, machines, water
   levels.  */
static const struct trace_kind colheitas[] = {
  { "route_query", "skipper", 18, 0, 25, 1000000, 5000, 2500, false },
  { "route_replan", "skipper", 18, 0, 15, 600000, 4000, 900, false },
  { "clearance_report", "authority", 4, 1, 25, 900000, 10000, 6000, false },
  { "clearance_archive", "authority", 4, 1, 5, 800000, 10000, 4000, false },
  { "load_manifest", "buyer", 35, 2, 22, 700000, 6000, 1500, true },
  { "manifest_status", "buyer", 35, 2, 30, 400000, 3000, 200, false },
  { "harvest_plan", "foreman", 9, 3, 20, 900000, 8000, 1000, false },
  { "season_simulation", "foreman", 9, 3, 2, 2000000, 20000, 1000, false },
  { "weed_alert", "planner", 7, 4, 40, 550000, 8000, 3000, false },
  { "weed_monitor", "authority", 4, -1, 1, 2500000, 15000, 300, false },
};

int
main (int argc, char **argv)
{
  struct trace tr;
  void *ctx = talloc_new (NULL);
  bool is_comptoir = argc == 3 && strcmp (argv[1], "comptoir") == 0;
  if (argc != 3 || (!is_comptoir && strcmp (argv[1], "colheitas") != 0))
    {
      fputs ("usage: make_trace comptoir|colheitas SEED\n", stderr);
      return 2;
    }
  trace_generate (ctx, is_comptoir ? comptoir : colheitas,
                  is_comptoir ? sizeof comptoir / sizeof *comptoir
                              : sizeof colheitas / sizeof *colheitas,
                  TURN_COUNT, TRACE_LENGTH_S, TURN_MS, SURGE_FACTOR,
                  (unsigned)strtoul (argv[2], NULL, 10), &tr);
  printf ("# make_trace %s %s\n"
          "# time_ms kind caller service_us deadline_ms body_bytes repeat\n",
          argv[1], argv[2]);
  trace_write (&tr, stdout);
  talloc_free (ctx);
  return 0;
}
