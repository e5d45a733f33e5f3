#pragma once

/* Clients that hand in jobs, read their states and cancel some, and the
   operator's config.  */

#include "test/soak/soak.h"

struct traffic
{
  uint64_t seed;
  int pools;
  int rate;       /* jobs a second */
  bool long_jobs; /* a part of them outlives a lease */
};

/* Writes the first config; must precede the processes.  SPARE: with a spare
   pool after the others.  */
void operator_start (int pools, bool spare, uint64_t seed);
/* Writes the next version, in which extra routes come or go and the time-out
   of some routes is another.  */
void operator_change (void);

void clients_start (const struct traffic *traffic);
/* Hands in long jobs that ask for CPU thousandths of a processor in all.  */
void clients_burst (int pool, int64_t cpu);
/* Hands in a perpetual job of COUNT items, at most BOUND on a worker, that is
   never cancelled.  FILLS: it uses what others leave.  */
void clients_standing (int pool, int count, int bound, bool fills);
/* No jobs are handed in any more; reads go on.  */
void clients_stop (void);
/* Asks for each job that is owed, with up to 4 tries.  */
void clients_ask_all (void);
bool clients_are_asking (void);
