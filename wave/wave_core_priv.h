#pragma once

#include <uthash.h>

#include "wave/wave_core.h"

/* Internal state of the planner, shared by wave_core.c, wave_core_host.c and
   wave_core_edit.c.  */

#define WAVE_STEPS_PER_RECORD 256

/* A host of this data centre in maintenance: draining, rebooting or being
   checked.  */
struct wave_maint_host
{
  UT_hash_handle hh;
  char host[WAVE_NAME_SIZE];
  char wave[WAVE_NAME_SIZE];
  uint32_t generation;
  uint64_t token;            /* identifies the current step in call results */
  bool call_in_flight;       /* of an operation or a query */
  bool in_maintenance;       /* in maintenance according to the fold */
  enum wave_action action;   /* of the last call */
  uint32_t fenced_in_row;    /* consecutive HOST_CALL_FENCED results */
  int64_t next_call_us;      /* earliest time of the next call */
  int64_t operation_done_us; /* when the step's operation was acknowledged */
  struct wave_observation obs;
};

struct wave_edit
{
  bool in_use;
  bool ended;
  bool uncertain; /* an append of it had no certain result */
  bool appended;  /* an append of it was acknowledged */
  uint64_t sequence;
  uint8_t *data;
  size_t len;
  int64_t deadline_us;
  wave_edit_fn *fn;
  void *arg;
  int err;
  enum wave_effect effect;
};

struct priv
{
  struct wave_core_settings set;
  struct logger *lg;
  struct wave_fold fold;
  struct wave_fleet *fleet;
  int64_t fleet_read_us;

  uint64_t next_sequence;
  bool caught_up;
  /* When the fold's log time last advanced, and the log time then.  */
  int64_t log_time_us;
  int64_t log_time_ms;

  /* Append in flight.  */
  bool append_in_flight;
  uint64_t append_sequence;
  int64_t next_append_us;   /* earliest time of the next append */
  bool awaiting_own_record; /* until own_record_offset is folded */
  uint64_t own_record_offset;

  /* Lease of the data centre.  */
  bool lease_wanted;
  uint64_t lease_sequence;
  int64_t lease_sent_us;
  int64_t lease_valid_until_us; /* 0: not held */
  uint64_t lease_fence;
  int64_t lease_jitter_ms;

  struct wave_plan *plan;
  uint64_t plan_change_count; /* change_count of the fold used for the plan */
  int64_t plan_made_us;
  bool plan_recorded; /* a record with its steps was made */
  enum wave_wait wait_reason;

  struct wave_maint_host *maint_hosts;
  uint64_t maint_change_count; /* change_count of the fold last synced */
  uint64_t next_token;
  uint32_t calls_in_flight;
  char operation_id[HOST_OPERATION_ID_MAX_BYTES + 1];

  struct wave_edit edits[WAVE_EDIT_MAX];
};

/* Current log time, estimated from the last folded record.  */
int64_t wave_core_log_ms (const struct priv *p, int64_t now_us);
struct wave_plan_input wave_core_plan_input (const struct priv *p,
                                             int64_t now_us);

/* Makes a new plan when plan_interval_ms has passed, or plan_min_interval_ms
   and the fold changed.  Returns false when there is no plan.  */
bool wave_core_replan (struct priv *p, int64_t now_us);

/* Updates the set of hosts in maintenance to that of the fold.  */
void wave_core_sync_maint_hosts (struct priv *p);
void wave_core_free_maint_hosts (struct priv *p);

/* Adds the steps that hosts in maintenance have reached to STEPS, which holds
   COUNT of at most MAX items.  Returns the new count.  */
size_t wave_core_maint_steps (struct priv *p, int64_t now_us,
                              struct wave_step_item *steps, size_t count,
                              size_t max);

/* The next edit to append, or NULL.  */
struct wave_edit *wave_core_edit_next (struct priv *p, int64_t now_us);
struct wave_edit *wave_core_edit_find (struct priv *p, uint64_t sequence);
