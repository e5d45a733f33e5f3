#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "route/route.h"

/* Retry budget in proportion to traffic: a token bucket that each first
   attempt fills by a fraction and each retry empties by one, so that a
   failing pool sees at most that fraction of extra attempts.  A first attempt
   that fails takes its fraction back: retries live on traffic that is
   answered.  */

struct retry_settings
{
  uint32_t max_attempts; /* of one request, the first included */
  uint32_t budget_pct;   /* retries for each 100 first attempts */
  uint32_t burst;        /* most retries saved up */
};

extern const struct retry_settings retry_settings_default;

struct retry_budget
{
  struct retry_settings set;
  int64_t centi_tokens;
};

enum retry_verdict
{
  RETRY_YES,
  RETRY_NO_UNSAFE, /* may have run and must not run twice */
  RETRY_NO_ATTEMPTS,
  RETRY_NO_DEADLINE,
  RETRY_NO_BUDGET,
  RETRY_NO_POINT, /* the attempt ended the request */
};

struct retry_query
{
  bool idempotent;
  enum attempt_result result; /* of the attempt that ended */
  uint32_t attempts;          /* made so far */
  uint32_t max_attempts;      /* of this request; 0: as the settings say */
  int64_t deadline_us;        /* of the caller, monotonic */
  int64_t expected_us;        /* expected time of another attempt */
};

void retry_budget_init (struct retry_budget *bud,
                        const struct retry_settings *set);
void retry_budget_first_attempt (struct retry_budget *bud);

/* Decides about one more attempt and takes a token when it says yes.  Call it
   after each attempt that failed, also where no retry is intended.  */
enum retry_verdict retry_allow (struct retry_budget *bud,
                                const struct retry_query *query,
                                int64_t now_us);

/* Whether an attempt with this result certainly did not run.  */
bool attempt_certainly_not_run (enum attempt_result result);

const char *retry_verdict_name (enum retry_verdict verdict);
