#pragma once

/* Cuts between processes and the store or workers, and connections that fall
   silent, at times that depend on the seed alone.

   A cut hits one process and the store, or one worker: connects hang until it
   ends, and each open connection either is silent for good, or carries
   requests but no answers for good, or what it carries is held up.  */

#include "test/soak/soak.h"

struct cuts
{
  bool store, worker;
  /* Open connections fall silent for good without a cut.  */
  bool store_silence, worker_silence;
  bool config; /* new versions during a cut and right after it */
};

void cuts_start (const struct cuts *cuts, uint64_t seed, int64_t start_ms);
void cuts_stop (void);
