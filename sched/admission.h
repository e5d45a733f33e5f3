#pragma once

#include <stdbool.h>
#include <stdint.h>

/* The share of new jobs that a pool accepts.

   Load pattern: a queue asks for more than its pool can do, for longer than a
   late result is of use.  All jobs would be accepted, and each one beyond what
   the pool can do would wait until its result has lost its value; its client
   would learn that last of all.

   Jobs are accepted as long as the pool could do all of them before they are
   past use if no more came, so that a short surge is served, in part late.
   When it could not, or jobs are past use already, only the share of the new
   jobs is accepted that the pool does: the owner starts new jobs first, and
   these are served in time.  No job is rejected while the pool may soon have
   more hosts.

   Amounts of work are CPU time in core-microseconds, that is, thousandths of a
   core times milliseconds.  */

/* All jobs are accepted.  */
#define ADMISSION_ALL 1000

struct admission_load
{
  int64_t useful_core_us; /* remaining work of accepted jobs that are not past
                             use */
  int64_t rate_milli;     /* processors, in thousandths of a core, that work on
                             batch tasks */
  /* Time that new jobs can wait before their first start and still be of use,
     on average.  */
  int64_t wait_max_ms;
  int64_t accepted_core_us; /* work of the jobs accepted in the last
                               ACCEPTED_MS */
  int64_t accepted_ms;
  int64_t job_core_us;   /* mean work of those jobs; 0: not known */
  int64_t accepted_jobs; /* in the time from one call to the next */
  int64_t past_use_jobs; /* that became past use in the same time */
  uint32_t hosts;        /* that take tasks */
  uint32_t hosts_short;  /* that the pool lacks */
  bool tasks_wait;       /* tasks of jobs that are not past use wait */
};

/* Whole seconds for which refused work is remembered.  */
#define ADMISSION_REFUSED_SECONDS 16

struct admission
{
  uint32_t accept_permille; /* ADMISSION_ALL: all */
  uint32_t seen_permille;   /* the share before, under which the jobs came that
                               the last load counts */
  int64_t wait_ms;          /* time that the useful work takes */
  int64_t retry_after_ms;   /* when rejected callers may return */
  int64_t updated_us;
  uint32_t hosts;
  bool was_short;
  int64_t expected_until_us; /* more hosts may arrive until then */
  /* Estimate of the jobs refused, in thousandths, by second.  */
  int64_t refused_milli[ADMISSION_REFUSED_SECONDS];
  int64_t refused_second;
};

void admission_init (struct admission *adm, int64_t now_us);

/* Whether the share is to be computed anew.  */
bool admission_due (const struct admission *adm, int64_t now_us);

/* Computes the share anew from LOAD.  Returns an estimate of the jobs that
   were refused although the pool could have done them in time: it has nothing
   left to do while they would still be of use.  */
uint32_t admission_update (struct admission *adm,
                           const struct admission_load *load, int64_t now_us);

/* Whether to accept a job by the share ACCEPT_PERMILLE.  DRAW is a random
   number; a caller that returns draws again.  */
bool admission_accepts (uint32_t accept_permille, uint64_t draw);

/* Time in ms after which a rejected caller may return: RETRY_AFTER_MS and a
   part of the same time again, chosen by DRAW, so that the callers return
   spread over time.  */
int64_t admission_retry_after_ms (int64_t retry_after_ms, uint64_t draw);
