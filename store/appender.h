#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "store/topic_store.h"

/* Group commit to one partition of a keyed topic, with one append in progress
   at a time.  The producer's sequence numbers make appends idempotent, so an
   append whose response was lost is repeated until its outcome is known.
   Belongs to the thread that runs the tevent context.  */

struct clock;
struct counters;
struct logger;
struct tevent_context;

struct appender_settings
{
  const char *topic;
  uint32_t part;
  const char *producer;
  uint64_t epoch; /* of the producer; a higher one fences this one */
  /* Other writers use the producer's name too, with epochs of their own that
     fence each other.  Otherwise the appender raises its epoch when it needs
     another one.  */
  bool shared_name;
  struct logger *lg;    /* may be NULL */
  struct counters *ctr; /* may be NULL */
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
  APPENDER_UNKNOWN,  /* the same, but an earlier attempt without a response may
                        have been appended */
};

/* Stands for the offset of an entry of which only the store's next sequence
   number shows that it was appended.  */
#define APPENDER_OFFSET_UNKNOWN UINT64_MAX

/* Supplies the value of an entry just before an append with it is sent; the
   value is copied.  Returns 0, or an error: the entry then completes as
   APPENDER_NOT_DONE.  */
typedef int appender_fill_fn (void *arg, const uint8_t **value, size_t *len);

/* OFFSET is that of the entry, with APPENDER_DONE only.  */
typedef void appender_fn (void *arg, enum appender_outcome out,
                          uint64_t offset);

int appender_init (struct appender *app, void *parent, struct topic_store *st,
                   struct tevent_context *ev, const struct clock *clk,
                   const struct appender_settings *set);

/* Discards waiting entries and the batch in progress without running their
   callbacks.  */
void appender_fini (struct appender *app);

/* Queues an append of a copy of ENTRY.  After a rejection a DURABLE entry is
   retried, and any other fails with APPENDER_NOT_DONE; with a shared name all
   are durable.  Returns 0, ERR_FULL or
   ERR_NOMEM; after 0, FN, which may be NULL, runs once, never from inside this
   call.  */
int appender_add (struct appender *app, const struct topic_entry *entry,
                  bool durable, appender_fn *fn, void *arg);
/* The same for a durable entry that goes ahead of those that wait, and whose
   value FILL supplies: it need not be out of date by the time for which it has
   waited.  */
int appender_add_first (struct appender *app, const char *key,
                        appender_fill_fn *fill, appender_fn *fn, void *arg);

/* Time in microseconds since the batch in progress was first sent; 0 when none
   is in progress.  */
int64_t appender_pending_us (const struct appender *app);

/* The longer of the last two batches' append times in microseconds, retries
   included.  */
int64_t appender_round_trip_us (const struct appender *app);
