#pragma once

#include <stdbool.h>
#include <stdint.h>

/* Size of a reader's pages and its delay after a failed read.

   Load pattern: hundreds of readers share the bandwidth of the store.  After
   an outage, or when they have fallen behind for another reason, each of them
   reads large pages at the same time.  A page that takes longer than its
   time-out is thrown away and read again, so that the store stays fully used
   without any reader making progress, also when the cause has gone.

   So a reader whose read failed asks for half as much next, and waits for a
   random part of a time that doubles with each further failure.  A page that
   arrives in time lets it ask for more.

   A connection that a cut has silenced costs its reader one time-out, so that
   readers whose records are urgent begin with a short one.  It grows while
   successive reads get no response, and shrinks again when responses come
   quickly, so that a slow store is not asked again and again for pages that it
   could deliver.  */

#define READ_PACE_PAGE_MIN_KB 16
#define READ_PACE_PAGE_MAX_KB 1024

struct read_pace
{
  uint32_t page_kb;     /* largest page to ask for */
  uint32_t failures;    /* successive failed reads */
  int64_t delay_max_ms; /* longest delay after a failure */
  int64_t timeout_min_ms;
  int64_t timeout_ms;    /* time after which a response is taken to be lost */
  uint64_t random_state; /* of the generator for the delays */
};

/* DELAY_MAX_MS 0: READ_PACE_DELAY_MAX_MS.  SEED makes the delays of this
   reader differ from those of others.  */
#define READ_PACE_DELAY_MAX_MS 2000
void read_pace_init (struct read_pace *pace, int64_t delay_max_ms,
                     uint64_t seed);

/* Sets the longest delay, as in read_pace_init.  */
void read_pace_set_delay_max (struct read_pace *pace, int64_t delay_max_ms);

/* Sets the shortest time-out of a read.  0: READ_PACE_TIMEOUT_MAX_MS.  */
#define READ_PACE_TIMEOUT_MAX_MS 1000
void read_pace_set_timeout (struct read_pace *pace, int64_t timeout_min_ms);

/* A response came TOOK_MS after it was due.  */
void read_pace_responded (struct read_pace *pace, int64_t took_ms);

/* A read succeeded; FULL: its page left records unread.  */
void read_pace_succeeded (struct read_pace *pace, bool full);

/* A read failed.  Returns the delay in ms before the next one.  */
int64_t read_pace_failed (struct read_pace *pace);

/* A read got no complete response; SILENCED: nothing of it, on a connection
   that had worked.  A new connection is likely to work, so that the first read
   after such a failure is not delayed.  As read_pace_failed otherwise.  */
int64_t read_pace_unanswered (struct read_pace *pace, bool silenced);
