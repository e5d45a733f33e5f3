#pragma once

#include "state/state.h"
#include "store/log_http.h"

/* A command's connection to the platform: reads and folds the config stream
   itself and appends edits.  */

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

/* Outcome of an edit, owned by the session's context.  */
struct table_edit
{
  bool done;
  enum state_edit_outcome outcome;
  uint64_t offset;
  struct fold_conflict *conflicts;
  size_t conflict_count;
  struct table_faults faults;
};

/* Connects and reads the stream up to its end.  Returns 0, ERR_TIMEOUT or
   what log_http_init and state_init return; close it in any case.  */
int session_open (struct table_session *ses, void *ctx,
                  const struct table_options *opt);
void session_close (struct table_session *ses);

/* Returns 0 with *OUT set, or the error of state_edit: then nothing was
   appended.  */
int session_edit (struct table_session *ses, const struct fold_edit *edit,
                  struct table_edit *out);

/* Sizes of the pools by the platform's host list and the assignments.
   Returns 0 or the error of the host list.  */
int session_sizes (struct table_session *ses, struct table_pool_size **sizes,
                   size_t *count);
