#pragma once

#include "state/state.h"
#include "store/log_http.h"

/* Connection of the `table` and `wave` commands to the platform: reads and
   folds the config stream in the command's own process and appends edits.
   Calls run the session's event loop until they are done.  */

struct table_options
{
  char *platform;
  char *editor;
  char *seen_version;
  int64_t timeout_ms;
  int64_t json;
  int64_t delete_row;
  int64_t delete_missing;
  char *wait_operators;
  char *token_file;
  int64_t wait_ms;
};

struct table_session
{
  void *ctx;
  const struct table_options *opt;
  struct tevent_context *ev;
  struct log_http http;
  struct state st;
  bool timed_out;
  uint64_t accepted_next; /* offset after the last accepted edit; 0: none */
};

/* Outcome of an edit.  Its memory is owned by the session's context.  */
struct table_edit_result
{
  bool done;
  enum state_edit_outcome outcome;
  uint64_t offset; /* of the record; UINT64_MAX: not known */
  struct fold_conflict *conflicts;
  size_t conflict_count;
  struct table_faults faults;
};

/* Connects and reads the stream up to its end.  OPT must outlive the session.
   Returns 0, ERR_TIMEOUT, ERR_SYSTEM, ERR_NOMEM or what log_http_init and
   state_init return.  The session must be closed also after an error.  */
int table_session_open (struct table_session *ses, void *ctx,
                        const struct table_options *opt);
void table_session_close (struct table_session *ses);

/* Appends EDIT and waits for its outcome.  Returns 0 with *OUT set, or the
   error of state_edit; nothing was appended then.  */
int table_session_edit (struct table_session *ses,
                        const struct fold_edit *edit,
                        struct table_edit_result *out);

/* Sizes of the pools by the platform's host list and the assignments.  *SIZES
   is owned by the session's context.  Returns 0, ERR_SYSTEM, ERR_NOMEM or the
   error of reading the host list.  */
int table_session_pool_sizes (struct table_session *ses,
                              struct table_pool_size **sizes, size_t *count);
