#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "store/topic_store.h"

/* Reads one partition of a keyed topic: first the newest record of each key,
   then every further record in offset order.  When records expire before they
   are read, the newest record of each key is read again, so the consumer of
   the records has to tolerate duplicates.  Belongs to the thread that runs the
   tevent context.  */

struct clock;
struct logger;
struct tevent_context;

struct follower_settings
{
  const char *topic;
  uint32_t part;
  int64_t batch_delay_ms; /* delay between a response with records and the next
                             read, so that records arrive in batches */
  int64_t wait_ms; /* longest time that the store may hold a read open while
                      there are no records (long poll) */
  int64_t retry_max_ms; /* longest delay after a failed read; 0: the default of
                           read_pace */
  int64_t timeout_ms;   /* time after which the response to a read that does
                           not wait is taken to be lost, as long as the store
                           responds; 0: the default of read_pace */
  bool newest_only;     /* earlier records of a key are not needed: a reader
                           that has fallen behind skips them */
  uint64_t seed;        /* makes the delays differ between processes */
  struct logger *lg;    /* NULL: none */
};

struct follower
{
  struct priv *priv;
};

typedef void follower_record_fn (void *arg, const struct topic_record *rec);
/* Runs after each successful response of the store, also one without
   records.  */
typedef void follower_batch_fn (void *arg);

int follower_init (struct follower *fol, void *parent, struct topic_store *st,
                   struct tevent_context *ev, const struct clock *clk,
                   const struct follower_settings *set,
                   follower_record_fn *record_fn, follower_batch_fn *batch_fn,
                   void *arg);
void follower_fini (struct follower *fol);

/* Reads the newest record of each key again, after the read in progress has
   ended.  */
void follower_restart (struct follower *fol);

/* Begins the next read now if records are waited for to arrive in a batch.
   Returns whether a read is in progress that began less than ANSWER_MS ago;
   if not, the records known are that recent or cannot be read at present.  */
bool follower_read_now (struct follower *fol, int64_t answer_ms);

/* Asks the store, beside a read that waits for records, whether the partition
   ends where FOL has read to; if so, all records up to now are known.  Does
   nothing while the newest records are read or the last answer is awaited, nor
   a short time after the last one; that time grows while they fail.  */
void follower_confirm (struct follower *fol);

/* Whether the newest record of each key has been read since the last call of
   follower_restart.  */
bool follower_restarted (const struct follower *fol);

void follower_set_batch_delay (struct follower *fol, int64_t batch_delay_ms);
void follower_set_wait (struct follower *fol, int64_t wait_ms);
/* As RETRY_MAX_MS in the settings.  */
void follower_set_retry_max (struct follower *fol, int64_t retry_max_ms);

/* Begins the next read within MS if FOL waits for longer after a failed one:
   another reader has found that the store answers again.  */
void follower_retry_within (struct follower *fol, int64_t ms);

/* Whether FOL was initialised and not finished since.  All other functions but
   follower_init and follower_fini require it.  */
static inline bool
follower_is_open (const struct follower *fol)
{
  return fol->priv != NULL;
}

/* Whether the end of the partition has been reached at least once.  */
bool follower_caught_up (const struct follower *fol);

/* Whether the partition had no records when it was first read.  */
bool follower_began_empty (const struct follower *fol);

/* Whether records are currently read in offset order, and not as the newest
   record of each key.  */
bool follower_in_order (const struct follower *fol);

/* Whether the delivered records show the partition as it was at one point in
   its history.  While the newest record of each key is read, a record may be
   delivered before an earlier one of another key.  */
bool follower_consistent (const struct follower *fol);

/* Offset of the next record to be delivered in offset order.  The newest
   records of all keys before it have been delivered.  */
uint64_t follower_next_offset (const struct follower *fol);

/* Monotonic time in microseconds as of which every record in the partition has
   been delivered; 0 until the end of the partition is first reached.  */
int64_t follower_caught_up_us (const struct follower *fol);
