#pragma once

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <tevent.h>

#include "base/curl_loop.h"

/* One scenario while it runs: its event loop, its processes and its loads.
   docs/scenarios.md describes the language.  Times named _us are wall-clock
   microseconds, as in the journals.  */

#define SCENARIO_WAIT_MS 20000 /* bound of a wait that names none */

/* A step that was carried out, for the decision trace.  */
struct done_step
{
  int64_t at_us;
  const char *text;
};

struct scenario
{
  const char *name;
  const char *dir;    /* journals and logs of this run */
  const char *source; /* folder of the scenario files */
  uint32_t seed;
  unsigned short random[3];
  struct tevent_context *ev;
  struct curl_loop loop;
  int64_t start_us;
  char *failure; /* what went wrong first, or NULL */

  struct process *processes;
  struct fleet *fleet;
  struct load *loads;
  struct edit *edits;
  struct done_step *steps;
  int step_count;
  json_t *keep; /* array of values that others point into */
};

int64_t wall_us (void);

/* Notes what went wrong; the first one counts.  */
void scenario_fail (struct scenario *sc, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/* Conditions may be asked again after they held.  */
typedef bool scenario_cond (struct scenario *sc, void *arg);

/* Runs the event loop until COND holds.  Returns false when BOUND_MS are over
   or the scenario has failed.  */
bool scenario_run_until (struct scenario *sc, scenario_cond *cond, void *arg,
                         int64_t bound_ms);
void scenario_pause (struct scenario *sc, int64_t ms);
