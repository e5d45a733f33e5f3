#pragma once

/* Injects faults at random times that depend on the seed alone.  */

#include "test/soak/soak.h"

enum fault
{
  /* of the store, for all or for some processes */
  FAULT_LOSE,    /* done, and the answer is lost */
  FAULT_REJECT,  /* 503 or 429 */
  FAULT_RESET,   /* open connections are reset */
  FAULT_SLOW,    /* 50 times as slow */
  FAULT_DOWN,    /* refused or silent */
  FAULT_LATE,    /* done 1 to 6 s later, without an answer */
  FAULT_ONE_WAY, /* requests arrive and answers do not, or the reverse */
  /* of processes */
  FAULT_KILL,
  FAULT_PAUSE,
  FAULT_STOP,
  /* of workers */
  FAULT_WORKER_CRASH,   /* restart under the same id, with a late entry */
  FAULT_WORKER_NEW,     /* restart under a new id */
  FAULT_WORKER_CUT,     /* cut off and running on */
  FAULT_WORKER_ONE_WAY, /* answers do not arrive */
  FAULT_WORKER_LOSE,
  FAULT_WORKER_BUSY,
  FAULT_WORKER_LATE,
  /* of the operator */
  FAULT_CONFIG, /* new versions; not an impairment */
  FAULT_OLD_COUNT,
  /* see cuts.h */
  FAULT_CUT = FAULT_OLD_COUNT,
  FAULT_SILENCE,
  FAULT_WORKER_HANG,
  FAULT_WORKER_SILENCE,
  FAULT_HUP, /* SIGHUP; not an impairment */
  /* see instances.h */
  FAULT_RESTART,
  FAULT_RESTART_CUT_KILL,
  FAULT_WAVES, /* see waves.h; not an impairment */
  /* see instances.h */
  FAULT_RESTART_LATE,
  FAULT_RESTART_LATE_HOLD,
  FAULT_RESTART_LATER,
  FAULT_RESTART_KEPT,
  FAULT_COUNT,
};

/* Reads names of faults and of scenarios, separated by commas, into a set of
   bits.  Returns 0, or -1 with the name that is not known in BAD.  */
int faults_parse (const char *list, unsigned *set, char bad[32]);
/* Writes the names that faults_parse knows.  */
void faults_names (char *buf, size_t size);

/* Begins after START_MS; ends what lasts when faults_stop is called.  */
void faults_start (unsigned set, uint64_t seed, int64_t start_ms);
void faults_stop (void);
