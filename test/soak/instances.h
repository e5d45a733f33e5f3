#pragma once

/* Workers that start again under their ids while calls are on their way, each
   time with another clock and no knowledge of what was before.  Some of these
   are cut off soon after, run on, and the process that gave orders there is
   killed.  Times depend on the seed alone.  */

#include "test/soak/soak.h"

struct instances
{
  bool restart, cut_kill;
  /* Calls to an instance are carried out by the next one: */
  bool late;       /* orders, 1 to 4 s late */
  bool late_holds; /* holds, as late as the orders */
  bool later;      /* orders and holds, 2 to 12 s late */
  bool kept;       /* those that a proxy keeps until it is there */
};

void instances_start (const struct instances *ins, uint64_t seed,
                      int64_t start_ms);
void instances_stop (void);
