#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "state/fold.h"

/* The folded state of one process: reads the config stream by long poll,
   folds it, and appends edits and snapshots.  Belongs to the control thread's
   tevent context.  It never skips a record and never goes back to an older
   state.  */

struct log_store;
struct logger;
struct counters;
struct clock;
struct tevent_context;

struct state_settings
{
  const char *writer;   /* name of this process */
  uint64_t incarnation; /* differs at each start */
  const char *stream;   /* "config" */
  size_t max_read_bytes;
  int64_t wait_ms; /* of a long poll */
  int64_t backoff_min_ms;
  int64_t backoff_max_ms;
  uint32_t max_edits;        /* in progress; more: ERR_FULL */
  struct logger *logger;     /* may be NULL */
  struct counters *counters; /* may be NULL */
};

/* All but writer and incarnation.  */
extern const struct state_settings state_settings_default;

enum state_edit_outcome
{
  STATE_EDIT_ACCEPTED,     /* took effect at the offset */
  STATE_EDIT_CONFLICT,     /* void; both values in the result */
  STATE_EDIT_INVALID,      /* void; the resulting state would have faults */
  STATE_EDIT_NOT_ACCEPTED, /* certainly has no effect, now or later */
  STATE_EDIT_UNKNOWN,      /* not settled in time; may have or take effect */
};

/* Pointers are valid during the callback only.  */
struct state_edit_result
{
  enum state_edit_outcome outcome;
  uint64_t offset; /* of the record; UINT64_MAX: not known */
  const struct fold_conflict *conflicts; /* NULL when the verdict was learnt
                                            from a snapshot */
  size_t conflict_count;
  const struct table_faults *faults; /* for STATE_EDIT_INVALID; may be NULL */
};

/* Callbacks must not call state_fini.  */
typedef void state_edit_fn (void *arg, const struct state_edit_result *res);
typedef void state_change_fn (void *arg, const struct fold *fd);
typedef void state_snapshot_fn (void *arg, int err);

struct state
{
  struct priv *priv;
};

/* Starts reading from the start of the stream.  Returns 0, ERR_INVALID (a
   setting out of range) or ERR_NOMEM.  */
int state_init (struct state *st, void *parent,
                const struct state_settings *set, struct log_store *store,
                struct tevent_context *ev, const struct clock *clk);

/* After the store was finished, because calls in progress still name this
   memory.  Callbacks of edits in progress do not run.  */
void state_fini (struct state *st);

/* FN runs when the stream's end is first reached, and from then on after each
   read that changed rows or assignments.  */
void state_on_change (struct state *st, state_change_fn *fn, void *arg);

const struct fold *state_fold (const struct state *st);

/* Whether the stream's end was reached and no gap, unknown format or
   backward step keeps the state from being folded on.  */
bool state_ready (const struct state *st);

/* Time since the log last answered; INT64_MAX: never.  */
int64_t state_age_ms (const struct state *st);

/* Records folded since the last piece of a snapshot was seen, for whoever
   decides when to write one.  */
uint64_t state_records_since_snapshot (const struct state *st);

/* Appends the edit and reports what the fold made of it, at the latest after
   TIMEOUT_MS.  A lost reply is settled by reading; the record is appended
   again under the same id until one copy certainly stands.  Returns 0,
   ERR_INVALID (editor or no change), ERR_UNAVAILABLE (not ready, so nothing
   was appended), ERR_FULL, ERR_TOO_LARGE or ERR_NOMEM; FN runs only after
   0.  An edit is refused as well while reads of the log fail.  */
int state_edit (struct state *st, const struct fold_edit *edit,
                int64_t timeout_ms, state_edit_fn *fn, void *arg);

/* Appends a snapshot piece by piece; FN learns 0 when all pieces certainly
   stand, or ERR_TIMEOUT.  Returns 0, ERR_UNAVAILABLE (not ready), ERR_EXISTS
   (one is being written), ERR_TOO_LARGE or ERR_NOMEM.  */
int state_snapshot (struct state *st, int64_t timeout_ms,
                    state_snapshot_fn *fn, void *arg);

const char *state_edit_outcome_name (enum state_edit_outcome outcome);
