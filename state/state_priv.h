#pragma once

#include <tevent.h>

#include "base/clock.h"
#include "base/counter.h"
#include "base/err.h"
#include "base/log.h"
#include "state/fold_snapshot.h"
#include "state/state.h"
#include "store/log_store.h"

/* What state.c (reading and recovery) and state_edit.c (appending) share.  */

struct edit
{
  struct priv *p;
  struct edit *next;
  struct edit *prev;
  struct fold_id id;
  uint8_t *data;
  size_t len;
  state_edit_fn *fn; /* NULL: settled, kept for the append in progress */
  void *arg;
  struct tevent_timer *deadline;
  struct tevent_timer *retry;
  int64_t backoff_ms;
  uint64_t offset;     /* where a copy certainly stands, else UINT64_MAX */
  bool appending;      /* an append has not reported yet */
  bool maybe_appended; /* an append ended as unknown */
};

struct snapshot_write
{
  struct priv *p;
  struct snapshot snap;
  uint32_t index;
  uint8_t *data; /* record of the piece at index */
  size_t len;
  state_snapshot_fn *fn; /* NULL: over, kept for the append in progress */
  void *arg;
  struct tevent_timer *deadline;
  struct tevent_timer *retry;
  int64_t backoff_ms;
  bool appending;
};

struct priv
{
  struct state_settings set;
  struct log_store *store;
  struct tevent_context *ev;
  const struct clock *clk;
  state_change_fn *change_fn;
  void *change_arg;

  /* Reading.  */
  struct fold fold;
  struct tevent_timer *read_timer;
  int64_t backoff_ms;
  int64_t read_start_us;
  int64_t answered_us; /* monotonic; -1: never */
  uint64_t since_snapshot;
  bool failing;
  bool blocked;  /* a record of an unknown format version is next */
  bool backward; /* the stream ends before the fold */
  bool caught_up;
  bool changed;

  /* Recovery from a gap.  */
  bool recovering;
  bool reported_no_snapshot;
  uint64_t scan_offset;
  struct snapshot_reader reader;

  /* Appending.  */
  uint64_t sequence;
  struct edit *edits;
  uint32_t edit_count;
  struct snapshot_write *snapshot;
};

/* Settles the edit with RES's id, if there is one.  */
void edits_settle (struct priv *p, uint64_t offset,
                   const struct fold_result *res);

/* Settles edits whose records a snapshot has already counted.  */
void edits_settle_from_snapshot (struct priv *p);

/* Doubles *BACKOFF up to the longest and returns the former value.  */
int64_t backoff_step (const struct priv *p, int64_t *backoff_ms);

struct timeval time_in (int64_t ms);
