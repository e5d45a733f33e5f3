#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "wave/wave_core.h"

/* The maintenance waves of one process, on the control thread: reads and folds
   the stream, holds the planner's lease of its data centre when none does, and
   carries waves out.  docs/design/waves.md.  */

struct log_store;
struct clock;
struct tevent_context;
struct host_list;
struct table;

struct wave_run_settings
{
  const char *stream; /* "waves" */
  struct wave_core_settings core;
};

/* A name, an incarnation and, unless only changes of operators are made, a
   data centre have to be set.  */
void wave_run_settings_init (struct wave_run_settings *set);

struct wave_run
{
  struct priv *priv;
};

/* Returns 0, ERR_INVALID or ERR_NOMEM.  HOSTS may be NULL without a data
   centre, LG may be NULL.  PARENT is a talloc context that lives until the
   stores are finished, because calls in progress refer to it.  */
int wave_run_init (struct wave_run *run, void *parent,
                   const struct wave_run_settings *set, struct log_store *st,
                   struct host_store *hosts, struct tevent_context *ev,
                   const struct clock *clk, struct logger *lg);
void wave_run_fini (struct wave_run *run);

/* Gives the host list and the table as known now, which are copied; called
   after each read of the list, also when nothing changed, because an old list
   lets no host be started.  POOL_OF may be NULL.  Returns 0, ERR_INVALID or
   ERR_NOMEM; the last view then stays.  */
int wave_run_set_view (struct wave_run *run, const struct host_list *hosts,
                       const struct table *tab, fleet_pool_fn *pool_of,
                       void *arg);

/* The list was read again, and list, table and assignments are the same.  */
void wave_run_touch_view (struct wave_run *run);

/* Whether the stream was read to its end.  */
bool wave_run_ready (const struct wave_run *run);
const struct wave_fold *wave_run_state (const struct wave_run *run);

/* Changes of operators, through the log.  DEADLINE_US is monotonic; FN runs
   once after 0, never from inside the call, with what the record did.  Return
   0, ERR_INVALID, ERR_NOT_FOUND (no such wave), ERR_UNAVAILABLE (not ready),
   ERR_FULL, ERR_TOO_LARGE or ERR_NOMEM.  A change is void when the wave was
   changed by another operator or halted since it was folded.  */
struct wave_request
{
  const char *id;
  const char *editor; /* printable ASCII */
  const struct wave_new_host *hosts;
  size_t host_count;
  int64_t deadline_ms; /* wall clock; 0: none */
  uint32_t most_out;   /* in each pool; 0: no limit */
};

int wave_run_create (struct wave_run *run, const struct wave_request *req,
                     int64_t deadline_us, wave_edit_fn *fn, void *arg);
int wave_run_pause (struct wave_run *run, const char *id, const char *editor,
                    int64_t deadline_us, wave_edit_fn *fn, void *arg);

/* RETRY: hosts that failed are tried again, without a second reboot.  */
int wave_run_resume (struct wave_run *run, const char *id, const char *editor,
                     bool retry, int64_t deadline_us, wave_edit_fn *fn,
                     void *arg);
int wave_run_cancel (struct wave_run *run, const char *id, const char *editor,
                     int64_t deadline_us, wave_edit_fn *fn, void *arg);
