#pragma once

#include "cli/table_session.h"
#include "state/hosts.h"
#include "wave/wave_run.h"

/* A wave command's connection to the platform: the config stream, the waves
   stream and the host list.  */

/* Exit codes, in addition to 0 (done).  */
enum wave_exit
{
  WAVE_EXIT_FAILED = 1,   /* platform not reached or file not read */
  WAVE_EXIT_INVALID = 2,  /* usage, settings or values */
  WAVE_EXIT_CONFLICT = 3, /* changed by another meanwhile, or taken */
  WAVE_EXIT_NOT_ACCEPTED = 4,
  WAVE_EXIT_UNKNOWN = 5,
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
  int hosts_err;
};

/* Connects, and reads both streams up to their ends and the host list.
   Returns 0, ERR_TIMEOUT or another error; close it in any case.  A host list
   that cannot be read is no error here: see hosts_err.  */
int wave_session_open (struct wave_session *ses, void *ctx,
                       const struct wave_options *opt);
void wave_session_close (struct wave_session *ses);

/* How an edit ended.  */
struct wave_edit_end
{
  bool done;
  int err;
  enum wave_effect effect;
};

/* A wave_edit_fn with a struct wave_edit_end as argument, and the wait for
   it.  */
void wave_session_ended (void *arg, int err, enum wave_effect effect);
int wave_session_wait (struct wave_session *ses,
                       const struct wave_edit_end *end);

/* Monotonic time at which an edit is given up.  */
int64_t wave_session_deadline_us (const struct wave_session *ses);

/* The pool of the host by the assignments, or else by the host list.  */
const char *wave_session_pool (void *ses, const char *host);
