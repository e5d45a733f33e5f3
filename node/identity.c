#include <sys/random.h>

#include "base/err.h"
#include "node/node_priv.h"

/* Bits of the boot below the time of day.  Processes often start at full
   seconds, and the time of day may be set back, so two runs of a process may
   start at the same time of day.  */
#define BOOT_RANDOM_BITS 20

int
node_set_identity (struct node *nod, int64_t wall_ms)
{
  uint64_t random[2];
  if (getrandom (random, sizeof random, 0) != (ssize_t)sizeof random)
    return ERR_SYSTEM;
  nod->boot = (uint64_t)wall_ms << BOOT_RANDOM_BITS
              | random[0] >> (64 - BOOT_RANDOM_BITS);
  nod->run_id = random[1];
  return 0;
}
