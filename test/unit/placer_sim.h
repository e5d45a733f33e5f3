#pragma once

#include "placer_world.h"

/* Workers of a placer_world that run what they are told to and answer each
   command at once, and holds when an end is to be told or after some ticks. */

#define SIM_TICK_MS 40
/* Time after which the workers are enrolled and the takeover is done.  */
#define SIM_SETTLE_MS 1000
#define SIM_GRACE_MS 5000

/* A run on a worker, or an end that was not acknowledged.  */
struct sim_run
{
  char worker[NAME_BYTES];
  struct world_row row;
  bool ended;
};

/* The world of the present test, between sim_setup and sim_teardown.  */
extern struct world *wld;
/* Stops get no answer and have no effect.  */
extern bool sim_ignores_stops;

void sim_setup (void);
void sim_teardown (void);
/* Adds a worker on the host "m-ID".  LABELS are separated by a space; NULL:
   none.  */
void sim_add_worker (const char *id, int64_t cpu_milli, int64_t memory_mb,
                     const char *labels);
/* Adds COUNT workers "w0" and so on.  */
void sim_add_workers (int count);
/* The worker ID, which must be known to the placer.  */
struct worker *sim_find_worker (const char *id);
/* The run of a task that has not ended, or NULL.  */
struct sim_run *sim_find_run (uint64_t job, uint32_t index);
/* Ends RUN; the worker lists the end in its next answers.  */
void sim_end_run (struct sim_run *run, enum run_end end);
/* Number of runs on WORKER.  */
size_t sim_count_runs (const char *worker);
/* Lets MS pass; the workers answer what they are sent.  */
void sim_play (int64_t ms);
/* Asks for HOST with the usual grace; a worker must be registered there.  */
void sim_vacate (const char *host);
