#pragma once

#include "cli/table_session.h"
#include "state/host_list.h"
#include "wave/wave_run.h"

/* Connection of the `wave` command to the platform: the config stream, the
   waves stream and the host list.  Calls run the session's event loop until
   they are done.  */

/* Exit codes, in addition to 0 (done).  */
enum wave_exit
{
  WAVE_EXIT_FAILED = 1,       /* platform not reached, or file not read */
  WAVE_EXIT_INVALID = 2,      /* usage, settings or values */
  WAVE_EXIT_CONFLICT = 3,     /* wave changed, or id or host already in use */
  WAVE_EXIT_NOT_ACCEPTED = 4, /* without effect */
  WAVE_EXIT_UNKNOWN = 5,      /* may or may not take effect */
};

struct wave_options
{
  char *platform;
  char *editor;
  char *pools;
  char *hosts_file;
  int64_t all;
  int64_t deadline_min;
  int64_t most_out;
  int64_t retry;
  int64_t timeout_ms;
  int64_t json;
};

struct wave_session
{
  void *ctx;
  const struct wave_options *opt;
  struct table_options table_opt;
  struct table_session table;
  struct wave_run run;
  struct host_list *hosts;  /* NULL: not read */
  struct wave_fleet *fleet; /* NULL: not read */
  int hosts_err;            /* error of reading the host list; 0: none */
};

/* Connects, reads both streams up to their ends, and reads the host list.  OPT
   must outlive the session.  Returns 0, ERR_TIMEOUT or another error.  A host
   list that cannot be read is not an error here; see hosts_err.  The session
   must be closed also after an error.  */
int wave_session_open (struct wave_session *ses, void *ctx,
                       const struct wave_options *opt);
void wave_session_close (struct wave_session *ses);

/* Result of an edit.  */
struct wave_edit_result
{
  bool done;
  int err;
  enum wave_effect effect;
};

/* A wave_edit_fn that stores the result in ARG, a struct wave_edit_result.  */
void wave_session_edit_done (void *arg, int err, enum wave_effect effect);

/* Waits until *RES is done.  Returns 0 or ERR_SYSTEM.  */
int wave_session_wait (struct wave_session *ses,
                       const struct wave_edit_result *res);

/* Monotonic time in microseconds at which an edit that starts now times
   out.  */
int64_t wave_session_deadline_us (const struct wave_session *ses);

/* A fleet_pool_fn: the pool that HOST is assigned to, or NULL for its initial
   pool in the host list.  */
const char *wave_session_assigned_pool (void *ses, const char *host);
