#pragma once

#include <stddef.h>
#include <stdint.h>

#include "store/log_store.h"
#include "wave/wave_plan.h"

/* Planner of one data centre, without I/O: it decides which record is appended
   next to the waves stream and which host operation is called next, and
   handles their results. wave_run.c connects it to the log, the host store and
   a tevent context on the control thread; tests and wave_bench drive it with a
   manual clock.

   All durable state is in the log, so that a restarted planner continues from
   the fold alone.  A step is recorded, and its record folded, before the
   step's operation is called.  The operation is repeated under the same id
   until its result is certain.  */

struct logger;

#define WAVE_EDIT_MAX 8 /* operator edits pending at a time */

struct wave_core_settings
{
  const char *name;        /* name of this process */
  uint64_t incarnation;    /* differs at each start of the process */
  const char *data_centre; /* NULL: no planner, operator edits only */
  int64_t lease_ms;
  /* Time from sending a lease request until the next renewal.  */
  int64_t renew_interval_ms;
  /* Maximum age of the host list; no host is started with an older one.  */
  int64_t fleet_max_age_ms;
  int64_t poll_interval_ms;     /* delay between calls about one host */
  int64_t plan_interval_ms;     /* maximum time between plans */
  int64_t plan_min_interval_ms; /* minimum time between plans */
  /* Delay after a drain until the host gets no new work.  A count of 0 slots
     in use is trusted only after it.  */
  int64_t drain_settle_ms;
  int64_t append_min_interval_ms; /* minimum time between two appends */
  int64_t resend_delay_ms;        /* delay after an append without a result */
  uint32_t calls_max;             /* maximum number of host calls in flight */
  struct wave_plan_settings plan;
};

extern const struct wave_core_settings wave_core_settings_default;

struct wave_core
{
  struct priv *priv;
};

/* Strings in SET are copied.  Returns 0, ERR_INVALID or ERR_NOMEM.  LG may be
   NULL.  */
int wave_core_init (struct wave_core *core, void *parent,
                    const struct wave_core_settings *set, struct logger *lg);
void wave_core_fini (struct wave_core *core);

/* Replaces the fleet.  FLEET becomes a talloc child of the core.  */
void wave_core_set_fleet (struct wave_core *core, int64_t now_us,
                          struct wave_fleet *fleet);

/* Marks the fleet as up to date: the host list was read again and is
   unchanged.  */
void wave_core_touch_fleet (struct wave_core *core, int64_t now_us);

/* Folds the record at wave_core_next_offset.  Returns 0, or without any effect
   ERR_PROTOCOL, ERR_CONFLICT, ERR_CHECKSUM, ERR_NOMEM or ERR_INVALID (another
   offset).  */
int wave_core_fold (struct wave_core *core, int64_t now_us,
                    const struct log_record_view *rec);

/* Skips a record that cannot be decoded.  All processes skip the same records,
   so that their folds stay equal.  */
void wave_core_skip (struct wave_core *core, int64_t now_us,
                     const struct log_record_view *rec);

/* Restarts the fold at FIRST_OFFSET because the records before it expired
   before they were read.  The fold is then incomplete, and no lease is
   requested.  */
void wave_core_handle_gap (struct wave_core *core, uint64_t first_offset);

/* Ends a read whose records were folded.  NEXT_OFFSET is the offset after the
   log's last record.  */
void wave_core_read_done (struct wave_core *core, int64_t now_us,
                          uint64_t next_offset);

uint64_t wave_core_next_offset (const struct wave_core *core);
const struct wave_fold *wave_core_state (const struct wave_core *core);
bool wave_core_caught_up (const struct wave_core *core);

/* Whether this process holds the lease of its data centre by its own clock,
   with a margin for clock drift.  */
bool wave_core_holds_lease (const struct wave_core *core, int64_t now_us);
enum wave_wait wave_core_wait_reason (const struct wave_core *core);

/* Encodes the next record into *DATA, owned by PARENT, and marks an append as
   in flight.  Returns 0, ERR_NOT_FOUND (nothing to append now) or
   ERR_NOMEM.  */
int wave_core_begin_append (struct wave_core *core, int64_t now_us,
                            void *parent, uint8_t **data, size_t *len);
void wave_core_append_result (struct wave_core *core, int64_t now_us,
                              const struct append_result *res);

/* Selects the next host call and marks it as in flight.  Returns false when
   there is none.  The strings in CALL are valid until the next call of any
   function here.  TOKEN identifies the call in wave_core_call_result.  */
bool wave_core_begin_call (struct wave_core *core, int64_t now_us,
                           struct host_call *call, uint64_t *token);
void wave_core_call_result (struct wave_core *core, int64_t now_us,
                            uint64_t token, const struct host_result *res);

/* Result of an edit.  With ERR 0, EFFECT is the effect of its record.
   Otherwise ERR is ERR_UNAVAILABLE (certainly not appended) or
   ERR_UNKNOWN_EFFECT.  */
typedef void wave_edit_fn (void *arg, int err, enum wave_effect effect);

/* Queues an operator's edit for the log.  REC is of type create, pause, resume
   or cancel; writer, incarnation, sequence and base offset are filled in.
   Returns 0, ERR_INVALID, ERR_UNAVAILABLE (the log has not been read to its
   end, or DEADLINE_US has passed), ERR_FULL, ERR_TOO_LARGE or ERR_NOMEM.
   After 0, FN is called once from wave_core_run_callbacks, at DEADLINE_US at
   the latest.  */
int wave_core_edit (struct wave_core *core, int64_t now_us,
                    const struct wave_record *rec, int64_t deadline_us,
                    wave_edit_fn *fn, void *arg);

/* Runs the callbacks of edits that have ended.  A callback may call
   wave_core_fini; the remaining callbacks still run.  */
void wave_core_run_callbacks (struct wave_core *core, int64_t now_us);

/* Latest time at which the caller should act again even without an event.  */
int64_t wave_core_next_wake_us (const struct wave_core *core, int64_t now_us);
