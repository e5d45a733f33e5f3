#pragma once

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <tevent.h>

#include "base/curl_loop.h"

/* State of the scenario that is being run: its event loop, child processes
   and loads.  All of it is used by the runner's only thread.
   docs/scenarios.md describes the scenario language.  Fields and variables
   that end in _us hold wall-clock microseconds, as the journals do.  */

#define SCENARIO_WAIT_TIMEOUT_MS 20000 /* default time limit of a wait */

/* An executed step, for the failure report.  */
struct executed_step
{
  int64_t at_us;
  const char *text;
};

struct scenario
{
  const char *name;
  const char *out_dir;    /* holds the journals and logs of this run */
  const char *script_dir; /* directory of the scenario file */
  uint32_t seed;
  unsigned short rand48_state[3];
  struct tevent_context *ev;
  struct curl_loop loop;
  int64_t start_us;
  int64_t wait_start_us; /* of the event loop */
  int long_waits;        /* of the event loop, in a row */
  int64_t idle_us;       /* when the event loop last had nothing to do */
  char *failure;         /* message of the first failure, or NULL */

  struct process *processes;
  struct fleet *fleet;
  struct load *loads;
  struct edit *edits;
  struct executed_step *steps;
  int step_count;
  json_t *json_refs; /* array that owns the JSON values whose strings other
                        structures point to */
};

int64_t wall_us (void);

/* Marks the scenario as failed.  Keeps the message of the first call only.  */
void scenario_fail (struct scenario *sc, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/* A condition to wait for.  May be called again after it returned true.  */
typedef bool scenario_cond (struct scenario *sc, void *arg);

/* Runs the event loop until COND returns true.  Returns false after TIMEOUT_MS
   or when the scenario has failed.  */
bool scenario_run_until (struct scenario *sc, scenario_cond *cond, void *arg,
                         int64_t timeout_ms);
void scenario_pause (struct scenario *sc, int64_t ms);
