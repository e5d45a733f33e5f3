#include "node/node_priv.h"

/* Use of the platform's store by this process, as a line of the log and as
   samples of the histograms.  */

/* Time between two lines.  Lines by call would be too many: a process makes up
   to some hundred calls a second.  */
#define USAGE_INTERVAL_US 5000000

static const enum counter_id usage_counters[NODE_USAGE_COUNTERS]
    = { CTR_STORE_APPENDS,       CTR_STORE_READS,
        CTR_STORE_NEWEST,        CTR_STORE_REJECTED,
        CTR_STORE_FAILED,        CTR_STORE_BYTES_READ,
        CTR_STORE_BYTES_WRITTEN, CTR_STORE_CALLS_NOT_REPEATED,
        CTR_APPENDS_UNANSWERED,  CTR_APPENDS_SETTLED,
        CTR_APPENDS_MISMATCHED,  CTR_STORE_UNANSWERED_REUSED,
        CTR_STORE_CONNECTIONS };

static int64_t
age_us (const struct follower *fol, int64_t now_us)
{
  int64_t read_us = follower_is_open (fol) ? follower_caught_up_us (fol) : 0;
  return read_us > 0 ? now_us - read_us : 0;
}

void
node_log_usage (struct node *nod)
{
  uint64_t since[NODE_USAGE_COUNTERS];
  int64_t now_us = clock_now_us (nod->clk);
  int64_t config_us = age_us (&nod->operator_fol, now_us);
  int64_t jobs_us = 0;
  for (int64_t n = 0; n < nod->set->partitions; n++)
    if (nod->job_partitions[n])
      {
        int64_t us = age_us (&nod->job_partitions[n]->fol, now_us);
        jobs_us = us > jobs_us ? us : jobs_us;
      }
  counter_add_time (&nod->ctr, HST_CONFIG_AGE, config_us);
  counter_add_time (&nod->ctr, HST_VIEW_AGE, jobs_us);
  if (now_us < nod->usage_logged_us + USAGE_INTERVAL_US)
    return;
  nod->usage_logged_us = now_us;
  for (size_t n = 0; n < NODE_USAGE_COUNTERS; n++)
    {
      uint64_t value = counter_get (&nod->ctr, usage_counters[n]);
      since[n] = value - nod->usage_logged[n];
      nod->usage_logged[n] = value;
    }
  log_event (
      nod->lg, EV_STORE_USAGE, LOG_I ("appends", since[0]),
      LOG_I ("reads", since[1]), LOG_I ("newest", since[2]),
      LOG_I ("rejected", since[3]), LOG_I ("failed", since[4]),
      LOG_I ("bytes_read", since[5]), LOG_I ("bytes_written", since[6]),
      LOG_I ("not_repeated", since[7]), LOG_I ("unanswered", since[8]),
      LOG_I ("settled", since[9]), LOG_I ("mismatched", since[10]),
      LOG_I ("unanswered_reused", since[11]), LOG_I ("connections", since[12]),
      LOG_I ("config_age_ms", config_us / 1000),
      LOG_I ("jobs_age_ms", jobs_us / 1000),
      LOG_I ("members_age_ms", age_us (&nod->member_fol, now_us) / 1000));
}
