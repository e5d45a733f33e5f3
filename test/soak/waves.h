#pragma once

/* Waves of maintenance beside bursts of long jobs, in pools whose perpetual
   jobs need all machines, or all but one.  */

#include <stdbool.h>
#include <stdint.h>

/* Machines of the spare pool, whose number is that of the working pools.  */
#define SPARE_MACHINES 2
/* How many there are in the run of this seed: SPARE_MACHINES or none.  */
int waves_spare (uint64_t seed);

/* Each working pool has WORKERS machines, rounded down.  */
void waves_start (int pools, int workers, uint64_t seed, int64_t start_ms);
void waves_stop (void);
/* Checks that need the whole run.  */
void waves_finish (void);
