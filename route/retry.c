#include "route/retry.h"

#define CENTI_PER_TOKEN 100

const struct retry_settings retry_settings_default = {
  .max_attempts = 3,
  .budget_pct = 10,
  .burst = 50,
};

/* The bucket starts empty, so that retries do not exceed the fraction of first
   attempts right after the start either.  */
void
retry_budget_init (struct retry_budget *bud, const struct retry_settings *set)
{
  bud->settings = *set;
  bud->centi_tokens = 0;
}

static int64_t
max_centi_tokens (const struct retry_budget *bud)
{
  return (int64_t)bud->settings.burst * CENTI_PER_TOKEN;
}

void
retry_budget_first_attempt (struct retry_budget *bud)
{
  bud->centi_tokens += bud->settings.budget_pct;
  if (bud->centi_tokens > max_centi_tokens (bud))
    bud->centi_tokens = max_centi_tokens (bud);
}

bool
attempt_certainly_not_run (enum attempt_result result)
{
  return result == ATTEMPT_TARGET_REFUSED || result == ATTEMPT_CONNECT_FAILED;
}

static enum retry_verdict
check_retry (const struct retry_budget *bud, const struct retry_query *query,
             int64_t now_us)
{
  if (!query->idempotent && !attempt_certainly_not_run (query->result))
    return RETRY_NO_UNSAFE;
  if (query->attempts >= bud->settings.max_attempts
      || (query->max_attempts && query->attempts >= query->max_attempts))
    return RETRY_NO_ATTEMPTS;
  int64_t expected = query->expected_us > 0 ? query->expected_us : 0;
  if (now_us >= query->deadline_us || query->deadline_us - now_us < expected)
    return RETRY_NO_DEADLINE;
  if (bud->centi_tokens < CENTI_PER_TOKEN)
    return RETRY_NO_BUDGET;
  return RETRY_YES;
}

enum retry_verdict
retry_allow (struct retry_budget *bud, const struct retry_query *query,
             int64_t now_us)
{
  if (query->result == ATTEMPT_ANSWERED || query->result == ATTEMPT_CANCELLED)
    return RETRY_NO_ENDED;
  enum retry_verdict verdict = check_retry (bud, query, now_us);
  if (verdict == RETRY_YES)
    bud->centi_tokens -= CENTI_PER_TOKEN;
  /* A first attempt that failed removes what it added.  When a whole pool
     fails, retries cannot help, and they stop once the saved tokens are spent.
     The tokens of attempts still in flight may be spent already, so the
     balance may become negative, within a bound.  */
  if (query->attempts == 1)
    bud->centi_tokens -= bud->settings.budget_pct;
  if (bud->centi_tokens < -max_centi_tokens (bud))
    bud->centi_tokens = -max_centi_tokens (bud);
  return verdict;
}

const char *
retry_verdict_name (enum retry_verdict verdict)
{
  static const char *const names[] = {
    [RETRY_YES] = "yes",
    [RETRY_NO_UNSAFE] = "unsafe",
    [RETRY_NO_ATTEMPTS] = "attempts",
    [RETRY_NO_DEADLINE] = "deadline",
    [RETRY_NO_BUDGET] = "budget",
    [RETRY_NO_ENDED] = "ended",
  };
  return names[verdict];
}
