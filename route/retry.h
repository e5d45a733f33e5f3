#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "route/route.h"

/* Retry budget in proportion to traffic: a token bucket to which each first
   attempt adds a fraction of a token and from which each retry takes one, so
   that a failing pool gets at most that fraction of extra attempts.  A first
   attempt that fails removes the fraction again, so that only answered
   requests add to the budget.  A budget belongs to one traffic thread; nothing
   here does I/O or reads a clock.  */

struct retry_settings
{
  uint32_t max_attempts; /* of one request, the first included */
  uint32_t budget_pct;   /* retries per 100 first attempts */
  uint32_t burst;        /* capacity of the bucket, in retries */
};

extern const struct retry_settings retry_settings_default;

struct retry_budget
{
  struct retry_settings settings;
  int64_t centi_tokens; /* hundredths of a retry; negative: debt */
};

enum retry_verdict
{
  RETRY_YES,
  RETRY_NO_UNSAFE,   /* not idempotent, and the attempt may have run */
  RETRY_NO_ATTEMPTS, /* the maximum number of attempts is reached */
  RETRY_NO_DEADLINE, /* another attempt would not end in time */
  RETRY_NO_BUDGET,
  RETRY_NO_ENDED, /* the request was answered or cancelled */
};

struct retry_query
{
  bool idempotent;
  enum attempt_result result; /* of the attempt that ended */
  uint32_t attempts;          /* made so far */
  uint32_t max_attempts;      /* additional limit of this request; 0: none */
  int64_t deadline_us;        /* caller's deadline, monotonic */
  int64_t expected_us;        /* expected duration of another attempt */
};

void retry_budget_init (struct retry_budget *bud,
                        const struct retry_settings *set);

/* Adds the fraction of a token for the first attempt of a request.  */
void retry_budget_first_attempt (struct retry_budget *bud);

/* Decides whether a request may be retried, and takes a token if so.  Call it
   after each attempt that failed, even when no retry is intended, because it
   also removes what a failed first attempt added.  */
enum retry_verdict retry_allow (struct retry_budget *bud,
                                const struct retry_query *query,
                                int64_t now_us);

/* Whether the result proves that the target did not execute the attempt.  */
bool attempt_certainly_not_run (enum attempt_result result);

const char *retry_verdict_name (enum retry_verdict verdict);
