#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "store/topic_store.h"

/* Follows one partition of a keyed topic: first the newest record of each key,
   then every record in the order of offsets.  When records expired unread, the
   newest ones are read again; a fold of the records therefore has to accept a
   record twice.  */

struct clock;
struct tevent_context;

struct follower_settings
{
  const char *topic;
  uint32_t part;
  int64_t gap_ms;  /* shortest time between an answer with records and the next
                      read, so that records come in groups */
  int64_t wait_ms; /* longest time that the store holds a read open */
};

struct follower
{
  struct priv *priv;
};

typedef void follower_record_fn (void *arg, const struct topic_record *rec);
/* Runs after each answer of the store, also one without records.  */
typedef void follower_batch_fn (void *arg);

int follower_init (struct follower *fol, void *parent, struct topic_store *st,
                   struct tevent_context *ev, const struct clock *clk,
                   const struct follower_settings *set,
                   follower_record_fn *record_fn, follower_batch_fn *batch_fn,
                   void *arg);
void follower_fini (struct follower *fol);

/* Reads the newest records again.  */
void follower_restart (struct follower *fol);

void follower_set_gap (struct follower *fol, int64_t gap_ms);

/* Whether every record that stood in the partition at some moment has been
   delivered.  */
bool follower_caught_up (const struct follower *fol);

/* Whether records come one by one in the order of offsets at present, and not
   as the newest of each key.  */
bool follower_in_order (const struct follower *fol);

/* Offset of the next record to be delivered.  */
uint64_t follower_next (const struct follower *fol);

/* Every record that stood in the partition at this monotonic time has been
   delivered; 0: not yet known of any time.  */
int64_t follower_current_us (const struct follower *fol);
