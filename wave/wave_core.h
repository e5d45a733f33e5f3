#pragma once

#include <stddef.h>
#include <stdint.h>

#include "store/log_store.h"
#include "wave/wave_plan.h"

/* A planner of one data centre without I/O: what goes into the next record of
   the waves stream, which host operation is called next, and what their
   results mean.  wave_run.c drives it from the log, the host store and a
   tevent context; tests and wave_bench drive it with a manual clock.

   Everything agreed stands in the log, so that a planner that starts anew goes
   on from the fold alone.  A step is recorded, and its record folded, before
   the step's operation is called; the operation is repeated under the same id
   until its result is certain.  */

struct logger;

#define WAVE_EDIT_MAX 8 /* changes of operators in progress */

struct wave_core_settings
{
  const char *name;        /* of this process */
  uint64_t incarnation;    /* differs at each start */
  const char *data_centre; /* NULL: no planner, only changes of operators */
  int64_t lease_ms;
  int64_t renew_ms;      /* of the lease, after the last time */
  int64_t fleet_age_ms;  /* with an older host list nothing is started */
  int64_t poll_ms;       /* between questions about one host */
  int64_t plan_ms;       /* between plans when nothing changed */
  int64_t plan_gap_ms;   /* between plans when the log changed */
  int64_t settle_ms;     /* after a drain until the host gets no new work:
                            a count of 0 in use is believed from then on */
  int64_t append_gap_ms; /* least time between two appends */
  int64_t resend_ms;     /* until an append without result is repeated */
  uint32_t max_calls;    /* host operations in progress */
  struct wave_plan_settings plan;
};

extern const struct wave_core_settings wave_core_settings_default;

struct wave_core
{
  struct priv *priv;
};

/* Returns 0, ERR_INVALID or ERR_NOMEM.  LG may be NULL.  */
int wave_core_init (struct wave_core *core, void *parent,
                    const struct wave_core_settings *set, struct logger *lg);
void wave_core_fini (struct wave_core *core);

/* Takes FLEET over as a talloc child.  */
void wave_core_set_fleet (struct wave_core *core, int64_t now_us,
                          struct wave_fleet *fleet);

/* The list was read again and is the same.  */
void wave_core_touch_fleet (struct wave_core *core, int64_t now_us);

/* Folds the record at wave_core_offset.  Returns 0, or without an effect
   ERR_PROTOCOL, ERR_CONFLICT, ERR_CHECKSUM, ERR_NOMEM or ERR_INVALID (another
   offset).  */
int wave_core_fold (struct wave_core *core, int64_t now_us,
                    const struct log_record_view *rec);

/* Passes over a record that stays unreadable, as every process will.  */
void wave_core_skip (struct wave_core *core, int64_t now_us,
                     const struct log_record_view *rec);

/* Records before FIRST_OFFSET were not read and are gone.  */
void wave_core_gap (struct wave_core *core, uint64_t first_offset);

/* A read ended; NEXT_OFFSET is the log's.  */
void wave_core_read_done (struct wave_core *core, int64_t now_us,
                          uint64_t next_offset);

uint64_t wave_core_offset (const struct wave_core *core);
const struct wave_fold *wave_core_state (const struct wave_core *core);
bool wave_core_caught_up (const struct wave_core *core);

/* Whether this process holds the lease of its data centre by its own clock,
   with a margin for the drift of clocks.  */
bool wave_core_holds (const struct wave_core *core, int64_t now_us);
enum wave_wait wave_core_wait (const struct wave_core *core);

/* Makes the next record, owned by PARENT, and opens an append.  Returns 0,
   ERR_NOT_FOUND (nothing to append now) or ERR_NOMEM.  */
int wave_core_append (struct wave_core *core, int64_t now_us, void *parent,
                      uint8_t **data, size_t *len);
void wave_core_append_result (struct wave_core *core, int64_t now_us,
                              const struct append_result *res);

/* Takes the next host operation; its strings are valid until the next call of
   any function.  TOKEN names it in wave_core_call_result.  */
bool wave_core_call (struct wave_core *core, int64_t now_us,
                     struct host_call *call, uint64_t *token);
void wave_core_call_result (struct wave_core *core, int64_t now_us,
                            uint64_t token, const struct host_result *res);

/* EFFECT tells what the record did, with ERR 0.  Otherwise ERR is
   ERR_UNAVAILABLE (certainly not appended) or ERR_UNKNOWN_EFFECT.  */
typedef void wave_edit_fn (void *arg, int err, enum wave_effect effect);

/* Records a change of an operator: REC of the types create, pause, resume or
   cancel; writer, incarnation, sequence and base are filled in.  Returns 0,
   ERR_INVALID, ERR_UNAVAILABLE (the log was not read to its end yet),
   ERR_FULL, ERR_TOO_LARGE or ERR_NOMEM; FN runs once after 0, from
   wave_core_tell and at the latest at DEADLINE_US.  */
int wave_core_edit (struct wave_core *core, int64_t now_us,
                    const struct wave_record *rec, int64_t deadline_us,
                    wave_edit_fn *fn, void *arg);

/* Runs the callbacks that are due.  One of them may finish the core; those due
   with it still run.  */
void wave_core_tell (struct wave_core *core, int64_t now_us);

/* When to look again without any event, at the latest.  */
int64_t wave_core_next_us (const struct wave_core *core, int64_t now_us);
