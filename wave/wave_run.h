#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "wave/wave_core.h"

/* Runs the maintenance waves of one process on the control thread: reads and
   folds the waves stream, holds the planner's lease of its data centre while
   no other process does, and carries out waves.  See docs/design/waves.md.  */

struct log_store;
struct clock;
struct tevent_context;
struct host_list;
struct table;

struct wave_run_settings
{
  const char *stream; /* name of the log's stream */
  struct wave_core_settings core;
};

/* Sets defaults.  The caller has to set a name, an incarnation and, unless
   only operator edits are made, a data centre.  */
void wave_run_settings_init (struct wave_run_settings *set);

struct wave_run
{
  struct priv *priv;
};

/* Starts reading the stream.  Returns 0, ERR_INVALID or ERR_NOMEM.  HOSTS may
   be NULL without a data centre, LG may be NULL.  PARENT is a talloc context
   that has to outlive the stores, because calls in flight refer to it.  */
int wave_run_init (struct wave_run *run, void *parent,
                   const struct wave_run_settings *set, struct log_store *st,
                   struct host_api *hosts, struct tevent_context *ev,
                   const struct clock *clk, struct logger *lg);
void wave_run_fini (struct wave_run *run);

/* Sets the current host list and table, which are copied.  Call it after each
   read of the host list that found a change, and wave_run_touch_fleet after
   each other read: no host is started while the list is older than
   fleet_max_age_ms.  POOL_OF may be NULL.  Returns 0, ERR_INVALID or
   ERR_NOMEM; on an error the last fleet stays in use.  */
int wave_run_set_fleet (struct wave_run *run, const struct host_list *hosts,
                        const struct table *tab, fleet_pool_fn *pool_of,
                        void *arg);

/* Marks the fleet as up to date: the host list was read again, and list, table
   and assignments are unchanged.  */
void wave_run_touch_fleet (struct wave_run *run);

/* Whether the stream has been read to its end.  */
bool wave_run_ready (const struct wave_run *run);
const struct wave_fold *wave_run_state (const struct wave_run *run);

/* A wave to create.  */
struct wave_create_request
{
  const char *id;
  const char *editor; /* printable ASCII */
  const struct wave_new_host *hosts;
  size_t host_count;
  int64_t deadline_ms; /* wall clock; 0: none */
  uint32_t most_out;   /* hosts out of service per pool; 0: no limit */
};

/* Edits by operators, appended to the log.  DEADLINE_US is monotonic time.
   Return 0, ERR_INVALID, ERR_NOT_FOUND (no such wave), ERR_UNAVAILABLE (the
   stream has not been read to its end, or DEADLINE_US has passed), ERR_FULL,
   ERR_TOO_LARGE or ERR_NOMEM.  After 0, FN is called once with the effect of
   the edit, never from inside the call.  An edit is void when another operator
   changed the wave, or it halted, after this process last folded it.  */
int wave_run_create (struct wave_run *run,
                     const struct wave_create_request *req,
                     int64_t deadline_us, wave_edit_fn *fn, void *arg);
int wave_run_pause (struct wave_run *run, const char *id, const char *editor,
                    int64_t deadline_us, wave_edit_fn *fn, void *arg);

/* RETRY: hosts that failed are tried again, without a second reboot.  */
int wave_run_resume (struct wave_run *run, const char *id, const char *editor,
                     bool retry, int64_t deadline_us, wave_edit_fn *fn,
                     void *arg);
int wave_run_cancel (struct wave_run *run, const char *id, const char *editor,
                     int64_t deadline_us, wave_edit_fn *fn, void *arg);
