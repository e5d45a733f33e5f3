#pragma once

/* What the parts of the soak share: output, random numbers, time, and the
   figures of the platform's rules.  */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Figures that the platform gives its processes; see the rules.  */
#define CONTACT_MS 3000
#define CONFIG_APPLY_MS 2000
#define CANCEL_MS 3000
#define VISIBLE_MS 3000
#define LOSS_SLACK_MS 200
#define FINISH_MS 14000
#define STATUS_MS 120000
#define STOP_MS 200
#define GRACE_MS 6000
#define HOLD_MAX_MS 10000
#define ATTEMPTS 4
#define SOAK_HOST "q.example"

/* Each purpose has a sequence of its own, so that the plan of the faults
   depends on the seed alone and not on the number of calls.  */
struct rng
{
  uint64_t state;
};
struct rng rng_make (uint64_t seed, const char *purpose);
double soak_draw (struct rng *rng); /* 0 to below 1 */
int64_t soak_between (struct rng *rng, int64_t least, int64_t most);
/* For decisions on single calls.  */
extern struct rng soak_call_rng;

/* Milliseconds since the start.  */
int64_t soak_ms (void);
/* Writes a line with the time to the standard output.  */
__attribute__ ((format (printf, 1, 2))) void soak_log (const char *format,
                                                       ...);
/* Ends everything; the run could not be made.  */
__attribute__ ((format (printf, 1, 2), noreturn)) void
soak_fail (const char *format, ...);
