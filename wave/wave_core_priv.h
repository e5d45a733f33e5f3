#pragma once

#include <uthash.h>

#include "wave/wave_core.h"

/* Private to wave_core.c, wave_core_host.c and wave_core_edit.c.  */

#define WAVE_STEPS_PER_RECORD 256

/* A host under way in this data centre.  */
struct wave_task
{
  UT_hash_handle hh;
  char host[WAVE_NAME_SIZE];
  char wave[WAVE_NAME_SIZE];
  uint32_t generation;
  uint64_t token; /* of the present step */
  bool open;      /* a call is in progress */
  bool listed;    /* still under way by the fold */
  enum wave_next asked;
  uint32_t fenced; /* refusals by the fence in a row */
  int64_t next_us; /* of the next call */
  int64_t done_us; /* when the step's operation was acknowledged */
  struct wave_seen seen;
};

struct wave_edit
{
  bool used;
  bool ended;
  bool uncertain; /* an append of it has no certain result */
  bool appended;  /* stands in the log */
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
  int64_t fleet_us;

  uint64_t next_sequence;
  bool caught_up;
  int64_t folded_us; /* when the fold's log time rose last */
  int64_t folded_ms; /* that log time */

  /* The append in progress.  */
  bool append_open;
  uint64_t append_sequence;
  int64_t append_after_us; /* none before */
  bool awaiting;           /* own record at this offset is not folded yet */
  uint64_t await_offset;

  /* The lease.  */
  bool wanted;
  uint64_t lease_sequence;
  int64_t lease_sent_us;
  int64_t valid_until_us; /* 0: not held */
  uint64_t fence;
  int64_t jitter_ms;

  struct wave_plan *plan;
  uint64_t plan_changes;
  int64_t plan_us;
  bool plan_used;
  enum wave_wait wait;

  struct wave_task *tasks;
  uint64_t tasks_changes;
  uint64_t next_token;
  uint32_t calls;
  char operation_id[HOST_OPERATION_ID_MAX + 1];

  struct wave_edit edits[WAVE_EDIT_MAX];
};

/* Log time, as far as known.  */
int64_t wave_core_log_ms (const struct priv *p, int64_t now_us);
struct wave_plan_input wave_core_input (const struct priv *p, int64_t now_us);

/* Makes the plan anew when something changed.  Returns false when there is
   none.  */
bool wave_core_replan (struct priv *p, int64_t now_us);

/* Makes the tasks those of the hosts that the fold has under way.  */
void wave_core_list_tasks (struct priv *p);
void wave_core_drop_tasks (struct priv *p);

/* Adds the steps that tasks have come to.  Returns the new count.  */
size_t wave_core_task_steps (struct priv *p, int64_t now_us,
                             struct wave_step_item *steps, size_t count,
                             size_t max);

/* The next edit to append, or NULL.  */
struct wave_edit *wave_core_edit_next (struct priv *p);
struct wave_edit *wave_core_edit_find (struct priv *p, uint64_t sequence);
