#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "state/fold.h"

/* Replica of the configuration in one process.  Reads the config stream by
   long poll, folds its records into the state, and appends edits and
   snapshots to the stream.  Used only from the control thread, in whose tevent
   context all callbacks run.  It never skips a record and never returns to an
   older state.  */

struct log_store;
struct logger;
struct counters;
struct clock;
struct tevent_context;

struct state_settings
{
  const char *writer;   /* name of this process */
  uint64_t incarnation; /* different at each start of the process */
  const char *stream;   /* name of the log stream: "config" */
  size_t max_read_bytes;
  int64_t wait_ms; /* longest wait of a long poll */
  int64_t backoff_min_ms;
  int64_t backoff_max_ms;
  uint32_t max_edits;        /* edits in progress; beyond it ERR_FULL */
  struct logger *logger;     /* may be NULL */
  struct counters *counters; /* may be NULL */
};

/* Defaults of all settings but writer and incarnation.  */
extern const struct state_settings state_settings_default;

enum state_edit_outcome
{
  STATE_EDIT_ACCEPTED,     /* applied at the result's offset */
  STATE_EDIT_CONFLICT,     /* void: a changed version; see conflicts */
  STATE_EDIT_INVALID,      /* void: the resulting state would have faults */
  STATE_EDIT_NOT_ACCEPTED, /* has no effect, and never will */
  STATE_EDIT_UNKNOWN,      /* timed out: may have been applied, or may still
                              be applied later */
};

/* Outcome of an edit.  Pointers are valid during the callback only.  */
struct state_edit_result
{
  enum state_edit_outcome outcome;
  uint64_t offset; /* of the edit's record; UINT64_MAX: not known */
  const struct fold_conflict *conflicts; /* NULL when the outcome was read
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

/* Starts reading the stream at offset 0.  STORE, EV and CLK stay owned by the
   caller.  Returns 0, ERR_INVALID (a setting out of range) or ERR_NOMEM.  */
int state_init (struct state *st, void *parent,
                const struct state_settings *set, struct log_store *store,
                struct tevent_context *ev, const struct clock *clk);

/* Frees the state.  Call log_store_fini first, because calls in progress hold
   pointers to this memory.  Callbacks of edits in progress do not run.  */
void state_fini (struct state *st);

/* Sets the change callback.  FN runs when the end of the stream is first
   reached, and from then on after each read that changed table rows or host
   assignments.  */
void state_on_change (struct state *st, state_change_fn *fn, void *arg);

const struct fold *state_fold (const struct state *st);

/* Whether the end of the stream was reached and folding can continue: no
   records expired unread, none has an unknown format version, and the stream
   does not end before what was already read.  */
bool state_ready (const struct state *st);

/* Time since the log last answered a read; INT64_MAX: it never did.  */
int64_t state_age_ms (const struct state *st);

/* Records folded since the final piece of a snapshot was read; the caller uses
   it to decide when to write the next snapshot.  */
uint64_t state_records_since_snapshot (const struct state *st);

/* Appends the edit to the stream and calls FN with the outcome of folding it,
   at the latest after TIMEOUT_MS.  The record is appended again under the same
   id until an append is confirmed; after a lost reply the outcome comes from
   reading the record back.  Returns 0, ERR_INVALID (no editor or no change),
   ERR_UNAVAILABLE (state not ready, or reads of the log fail), ERR_FULL,
   ERR_TOO_LARGE or ERR_NOMEM.  On an error nothing was appended and FN does
   not run.  */
int state_edit (struct state *st, const struct fold_edit *edit,
                int64_t timeout_ms, state_edit_fn *fn, void *arg);

/* Appends a snapshot of the state to the stream, piece by piece.  FN runs with
   0 when all pieces are confirmed, or with ERR_TIMEOUT.  Returns 0,
   ERR_UNAVAILABLE (state not ready, or reads of the log fail), ERR_EXISTS (a
   snapshot is being written), ERR_TOO_LARGE or ERR_NOMEM; FN runs only after
   0.  */
int state_write_snapshot (struct state *st, int64_t timeout_ms,
                          state_snapshot_fn *fn, void *arg);

const char *state_edit_outcome_name (enum state_edit_outcome outcome);
