#pragma once

#include <tevent.h>

#include "base/clock.h"
#include "base/counter.h"
#include "base/err.h"
#include "base/log.h"
#include "state/fold_snapshot.h"
#include "state/state.h"
#include "store/log_store.h"

/* Internal structures shared by state.c, which reads the stream and recovers
   from gaps, and state_edit.c, which appends edits and snapshots.  */

/* An edit whose outcome has not been reported yet.  */
struct pending_edit
{
  struct priv *p;
  struct pending_edit *next;
  struct pending_edit *prev;
  struct fold_record_id id;
  uint8_t *data;
  size_t len;
  state_edit_fn *fn; /* NULL: reported; freed when the append ends */
  void *arg;
  struct tevent_timer *deadline;
  struct tevent_timer *retry;
  int64_t backoff_ms;
  uint64_t offset;      /* of a confirmed copy; UINT64_MAX: none */
  bool appending;       /* an append is in progress */
  bool may_be_appended; /* an append ended with an unknown result */
};

/* The snapshot that is being appended.  */
struct snapshot_write
{
  struct priv *p;
  struct snapshot snap;
  uint32_t index; /* of the piece being appended */
  uint8_t *data;  /* encoded record of this piece; NULL: not encoded yet */
  size_t len;
  state_snapshot_fn *fn; /* NULL: reported; freed when the append ends */
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
  int64_t last_answer_us; /* monotonic time of the last answer of the log;
                             -1: none yet */
  uint64_t records_since_snapshot;
  bool reads_failing; /* the last read failed */
  bool blocked;       /* the next record has an unknown format version */
  bool log_behind;    /* the log ends before fold.next_offset */
  bool caught_up;     /* the end of the stream was reached once */
  bool changed;       /* a change waits for change_fn */

  /* Recovery after records expired unread.  */
  bool recovering;
  bool reported_no_snapshot; /* a scan to the end found no usable snapshot */
  uint64_t scan_offset;      /* next record to search for a snapshot piece */
  struct snapshot_reader reader;

  /* Appending.  */
  uint64_t sequence;
  struct pending_edit *edits;
  uint32_t edit_count;
  struct snapshot_write *snapshot;
};

/* Reports the outcome RES of the record at OFFSET to the pending edit with the
   same record id, if there is one.  */
void edits_complete (struct priv *p, uint64_t offset,
                     const struct fold_result *res);

/* Reports the outcome of the pending edits whose records are included in the
   snapshot that was just loaded.  */
void edits_complete_from_snapshot (struct priv *p);

/* Doubles *BACKOFF_MS, up to backoff_max_ms, and returns its former value.  */
int64_t backoff_advance (const struct priv *p, int64_t *backoff_ms);

/* The time MS from now, for tevent_add_timer.  */
struct timeval timeval_after_ms (int64_t ms);
