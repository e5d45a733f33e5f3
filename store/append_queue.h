#pragma once

#include <stddef.h>
#include <stdint.h>

#include "store/log_store.h"

/* One process's share of the appends that the log accepts: a token bucket,
   two priorities, and one append in progress per stream.  The order of a
   stream's appends is the order of their priority and then of their
   arrival.  */

struct clock;
struct tevent_context;

enum append_priority
{
  APPEND_URGENT,      /* claims, host moves: work waits for them */
  APPEND_BOOKKEEPING, /* done records, reports */
  APPEND_PRIORITIES,
};

struct append_queue_settings
{
  uint32_t appends_per_s; /* sustained */
  uint32_t burst;         /* appends at once after a quiet time */
  uint32_t max_waiting;   /* more: ERR_FULL */
  int64_t pause_ms;       /* after an append that was certainly not done and
                             named no time to wait */
};

extern const struct append_queue_settings append_queue_settings_default;

struct append_queue
{
  struct priv *priv;
};

/* Gives the bytes of an append whose turn has come; they are copied.  Returns
   0, or an error when there is nothing to append any more: the append then
   ends as APPEND_NOT_DONE without a call to the log.  */
typedef int append_fill_fn (void *arg, const uint8_t **data, size_t *len);

/* Returns 0, ERR_INVALID or ERR_NOMEM.  PARENT is a talloc context that lives
   until the store is finished, because appends in progress refer to it.  */
int append_queue_init (struct append_queue *aq, void *parent,
                       const struct append_queue_settings *set,
                       struct log_store *st, struct tevent_context *ev,
                       const struct clock *clk);

/* Drops what waits, without running callbacks.  Results of appends in
   progress are ignored.  */
void append_queue_fini (struct append_queue *aq);

/* Appends a copy of DATA.  Returns 0, ERR_FULL, ERR_TOO_LARGE, ERR_INVALID or
   ERR_NOMEM; FN runs exactly once after 0, never from inside this call.  */
int append_queue_add (struct append_queue *aq, enum append_priority prio,
                      const char *stream, const uint8_t *data, size_t len,
                      append_fn *fn, void *arg);

/* The same for bytes that are only made when the turn has come, so that a
   batch grows while it waits.  */
int append_queue_add_late (struct append_queue *aq, enum append_priority prio,
                           const char *stream, append_fill_fn *fill,
                           append_fn *fn, void *arg);

/* Appends that wait, without those in progress.  */
uint32_t append_queue_waiting (const struct append_queue *aq);
