#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "store/topic_store.h"

/* Group commit to one partition of a keyed topic, one append in progress at a
   time.  Sequence numbers of a producer make an append whose answer was lost
   safe to repeat, so it is repeated until the store settles it.  */

struct clock;
struct tevent_context;

struct appender_settings
{
  const char *topic;
  uint32_t part;
  const char *producer;
  uint64_t epoch;
};

struct appender
{
  struct priv *priv;
};

enum appender_outcome
{
  APPENDER_DONE,
  APPENDER_NOT_DONE, /* certainly not appended */
  APPENDER_FENCED,   /* not appended: another producer has a higher epoch */
};

/* OFFSET is the entry's, or for an entry whose append was settled as a repeat,
   a bound below it.  */
typedef void appender_fn (void *arg, enum appender_outcome out,
                          uint64_t offset);

int appender_init (struct appender *app, void *parent, struct topic_store *st,
                   struct tevent_context *ev, const struct clock *clk,
                   const struct appender_settings *set);

/* Drops what waits without running callbacks.  */
void appender_fini (struct appender *app);

/* Appends a copy of ENTRY.  DURABLE entries are tried again after a rejection,
   others are told.  Returns 0, ERR_FULL or ERR_NOMEM; FN, which may be NULL,
   runs once after 0 and never from inside this call.  */
int appender_add (struct appender *app, const struct topic_entry *entry,
                  bool durable, appender_fn *fn, void *arg);

/* How long the append in progress has been without a settled answer, in
   microseconds; 0: none is in progress.  */
int64_t appender_stalled_us (const struct appender *app);

/* Microseconds that the longer of the last two settled appends took.  */
int64_t appender_round_trip_us (const struct appender *app);
