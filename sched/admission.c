#include "sched/admission.h"

#include <string.h>

/* Time between two computations of the share.  Members report every 0.6 s, so
   that the effect of a share is seen in the next one at the earliest.  */
#define UPDATE_INTERVAL_US 600000
/* Hosts may arrive for this time after the pool became short of hosts: an
   order takes up to a second, a move 1.5 s and the new worker's report another
   one. After an arrival others may follow for the same time.  */
#define HOSTS_WAIT_US 4000000
/* Part of the accepted jobs, in percent, that became past use, above which not
   all jobs are accepted.  */
#define PAST_USE_PERCENT 5
/* Factor and summand, in thousandths, by which the share grows while no useful
   task waits.  */
#define GROW_FACTOR 1250
#define GROW_SUMMAND 50
/* Smallest share while jobs are rejected, so that the owner goes on to see
   that callers come.  */
#define ACCEPT_MIN 50
/* Least time after which rejected callers may return.  */
#define RETRY_AFTER_MIN_MS 1000
#define RETRY_AFTER_MAX_MS 10000

void
admission_init (struct admission *adm, int64_t now_us)
{
  *adm = (struct admission){ .accept_permille = ADMISSION_ALL,
                             .seen_permille = ADMISSION_ALL,
                             .retry_after_ms = RETRY_AFTER_MIN_MS,
                             .updated_us = now_us };
}

static int64_t
clamp (int64_t val, int64_t least, int64_t most)
{
  return val < least ? least : val > most ? most : val;
}

/* Whether the pool may soon have more hosts.  */
static bool
hosts_expected (struct admission *adm, const struct admission_load *load,
                int64_t now_us)
{
  bool is_short = load->hosts_short > 0;
  if (load->hosts > adm->hosts || (is_short && !adm->was_short))
    adm->expected_until_us = now_us + HOSTS_WAIT_US;
  adm->hosts = load->hosts;
  adm->was_short = is_short;
  return is_short && now_us < adm->expected_until_us;
}

/* Jobs, in thousandths, that were refused in SPAN_US: what the jobs accepted
   under the last share but one tell of all that were offered.  */
static int64_t
estimate_refused (const struct admission *adm,
                  const struct admission_load *load, int64_t span_us)
{
  if (adm->seen_permille == ADMISSION_ALL || load->job_core_us <= 0
      || load->accepted_ms <= 0)
    return 0;
  int64_t accepted_milli = load->accepted_core_us / load->job_core_us * span_us
                           / load->accepted_ms;
  return accepted_milli * (ADMISSION_ALL - adm->seen_permille)
         / adm->seen_permille;
}

/* Clears the seconds since the last call and returns the entry of the present
   one.  */
static int64_t *
refused_now (struct admission *adm, int64_t now_us)
{
  int64_t second = now_us / 1000000;
  if (second - adm->refused_second >= ADMISSION_REFUSED_SECONDS)
    memset (adm->refused_milli, 0, sizeof adm->refused_milli);
  else
    while (adm->refused_second < second)
      adm->refused_milli[++adm->refused_second % ADMISSION_REFUSED_SECONDS]
          = 0;
  adm->refused_second = second;
  return &adm->refused_milli[second % ADMISSION_REFUSED_SECONDS];
}

/* Takes back what is remembered of the refused jobs that could still be of
   use. Returns their number.  */
static uint32_t
take_refused (struct admission *adm, int64_t wait_max_ms)
{
  int64_t sum = 0;
  int64_t seconds
      = clamp (wait_max_ms / 1000 + 1, 1, ADMISSION_REFUSED_SECONDS);
  for (int64_t n = 0; n < seconds; n++)
    {
      int64_t *slot = &adm->refused_milli[(adm->refused_second
                                           + ADMISSION_REFUSED_SECONDS - n)
                                          % ADMISSION_REFUSED_SECONDS];
      sum += *slot;
      *slot = 0;
    }
  return (uint32_t)(sum / 1000);
}

bool
admission_due (const struct admission *adm, int64_t now_us)
{
  return now_us - adm->updated_us >= UPDATE_INTERVAL_US;
}

/* Whether more work comes than the pool does: all of it could not be done
   before it is past use, or part of it is past use already.  */
static bool
is_overloaded (const struct admission *adm, const struct admission_load *load)
{
  return load->tasks_wait
         && (adm->wait_ms > load->wait_max_ms
             || load->past_use_jobs * 100
                    > load->accepted_jobs * PAST_USE_PERCENT);
}

/* The share of the offered work that the pool does.  */
static int64_t
done_share (const struct admission *adm, const struct admission_load *load)
{
  int64_t offered_milli = load->accepted_core_us * ADMISSION_ALL
                          / adm->seen_permille / load->accepted_ms;
  return offered_milli > 0 ? load->rate_milli * ADMISSION_ALL / offered_milli
                           : ADMISSION_ALL;
}

/* The share that follows the present one.  */
static uint32_t
next_share (const struct admission *adm, const struct admission_load *load)
{
  int64_t share = adm->accept_permille;
  if (!load->tasks_wait || load->accepted_ms <= 0)
    share = share * GROW_FACTOR / 1000 + GROW_SUMMAND;
  else if (share < ADMISSION_ALL || is_overloaded (adm, load))
    share = (share + done_share (adm, load)) / 2;
  return (uint32_t)clamp (share, ACCEPT_MIN, ADMISSION_ALL);
}

uint32_t
admission_update (struct admission *adm, const struct admission_load *load,
                  int64_t now_us)
{
  int64_t span_us = now_us - adm->updated_us;
  int64_t rate = load->rate_milli > 0 ? load->rate_milli : 1;
  adm->updated_us = now_us;
  *refused_now (adm, now_us) += estimate_refused (adm, load, span_us);
  adm->seen_permille = adm->accept_permille;
  adm->wait_ms = load->useful_core_us / rate;
  if (hosts_expected (adm, load, now_us) || load->wait_max_ms <= 0)
    adm->accept_permille = ADMISSION_ALL;
  else
    adm->accept_permille = next_share (adm, load);
  adm->retry_after_ms = clamp (adm->wait_ms - load->wait_max_ms / 2,
                               RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS);
  return load->tasks_wait ? 0 : take_refused (adm, load->wait_max_ms);
}

bool
admission_accepts (uint32_t accept_permille, uint64_t draw)
{
  return draw % ADMISSION_ALL < accept_permille;
}

int64_t
admission_retry_after_ms (int64_t retry_after_ms, uint64_t draw)
{
  int64_t spread_ms
      = clamp (retry_after_ms, RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS);
  return spread_ms + (int64_t)(draw / ADMISSION_ALL % (uint64_t)spread_ms);
}
