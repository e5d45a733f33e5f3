#pragma once

#include <stddef.h>
#include <stdint.h>

#include "store/log_store.h"

/* Queue of appends to the log service.  A token bucket limits the rate to
   this process's share of what the log accepts, and each stream has at most
   one append in progress.  Appends to a stream are sent in the order of
   priority, and within a priority in the order of their arrival.  Belongs to
   the thread that runs the tevent context.  */

struct clock;
struct tevent_context;

enum append_priority
{
  APPEND_URGENT,      /* claims, host moves: other work is blocked until they
                         are stored */
  APPEND_BOOKKEEPING, /* completion records, reports */
  APPEND_PRIORITY_COUNT,
};

struct append_queue_settings
{
  uint32_t appends_per_s; /* sustained rate */
  uint32_t burst;         /* appends in one burst after an idle period */
  uint32_t max_waiting;   /* queue length; appends beyond it get ERR_FULL */
  int64_t backoff_ms;     /* pause after an append that certainly failed,
                             unless the log requested another one */
};

extern const struct append_queue_settings append_queue_settings_default;

struct append_queue
{
  struct priv *priv;
};

/* Supplies the bytes of an append just before it is sent; the bytes are
   copied.  Returns 0, or an error when there is nothing left to append: the
   append then completes as APPEND_NOT_DONE without a call to the log.  */
typedef int append_fill_fn (void *arg, const uint8_t **data, size_t *len);

/* Returns 0, ERR_INVALID or ERR_NOMEM.  PARENT is a talloc context that must
   live until log_store_fini: appends still in progress at append_queue_fini
   are moved to it.  */
int append_queue_init (struct append_queue *aq, void *parent,
                       const struct append_queue_settings *set,
                       struct log_store *st, struct tevent_context *ev,
                       const struct clock *clk);

/* Discards waiting appends without running their callbacks and ignores the
   results of appends in progress.  */
void append_queue_fini (struct append_queue *aq);

/* Queues an append of a copy of DATA.  Returns 0, ERR_FULL, ERR_TOO_LARGE,
   ERR_INVALID or ERR_NOMEM; after 0, FN runs exactly once, never from inside
   this call.  */
int append_queue_add (struct append_queue *aq, enum append_priority prio,
                      const char *stream, const uint8_t *data, size_t len,
                      append_fn *fn, void *arg);

/* Like append_queue_add, but FILL supplies the bytes when the append is about
   to be sent, so that a batch can grow while it waits.  */
int append_queue_add_deferred (struct append_queue *aq,
                               enum append_priority prio, const char *stream,
                               append_fill_fn *fill, append_fn *fn, void *arg);

/* Number of waiting appends, without those in progress.  */
uint32_t append_queue_waiting (const struct append_queue *aq);
