#include <string.h>
#include <talloc.h>
#include <utlist.h>

#include "state/config_record.h"
#include "state/state_priv.h"
#include "store/record.h"

static const char *const outcome_names[]
    = { "accepted", "conflict", "invalid", "not_accepted", "unknown" };

const char *
state_edit_outcome_name (enum state_edit_outcome outcome)
{
  return outcome <= STATE_EDIT_UNKNOWN ? outcome_names[outcome] : "unknown";
}

static void edit_append (struct pending_edit *ed);

/* Removes the edit and reports its outcome.  The callback runs last, because
   it may start another edit.  */
static void
edit_complete (struct pending_edit *ed, const struct state_edit_result *res)
{
  state_edit_fn *fn = ed->fn;
  void *arg = ed->arg;

  ed->fn = NULL;
  TALLOC_FREE (ed->deadline);
  TALLOC_FREE (ed->retry);
  DL_DELETE (ed->p->edits, ed);
  ed->p->edit_count--;
  if (!ed->appending)
    talloc_free (ed);
  fn (arg, res);
}

static enum state_edit_outcome
edit_outcome (enum fold_outcome outcome)
{
  switch (outcome)
    {
    case FOLD_APPLIED:
      return STATE_EDIT_ACCEPTED;
    case FOLD_CONFLICT:
      return STATE_EDIT_CONFLICT;
    case FOLD_INVALID:
      return STATE_EDIT_INVALID;
    default:
      return STATE_EDIT_NOT_ACCEPTED;
    }
}

void
edits_complete (struct priv *p, uint64_t offset, const struct fold_result *res)
{
  struct pending_edit *ed;
  /* The outcome of a duplicate was reported with its first copy.  */
  if (res->outcome == FOLD_CORRUPT || res->outcome == FOLD_DUPLICATE)
    return;
  DL_FOREACH (p->edits, ed)
    {
      if (memcmp (&ed->id, &res->id, sizeof ed->id) != 0)
        continue;
      const struct state_edit_result out = {
        .outcome = edit_outcome (res->outcome),
        .offset = offset,
        .conflicts = res->conflicts,
        .conflict_count = res->conflict_count,
        .faults = res->outcome == FOLD_INVALID ? &res->faults : NULL,
      };
      edit_complete (ed, &out);
      return;
    }
}

void
edits_complete_from_snapshot (struct priv *p)
{
  struct pending_edit *ed;
  struct pending_edit *next;
  DL_FOREACH_SAFE (p->edits, ed, next)
    {
      enum fold_outcome outcome;
      struct state_edit_result out = { 0 };
      if (!fold_id_find (&p->fold, &ed->id, &outcome, &out.offset))
        continue;
      out.outcome = edit_outcome (outcome);
      edit_complete (ed, &out);
    }
}

static void
on_edit_deadline (struct tevent_context *ev, struct tevent_timer *te,
                  struct timeval now, void *arg)
{
  struct pending_edit *ed = arg;
  bool never_appended
      = !ed->appending && !ed->may_be_appended && ed->offset == UINT64_MAX;
  const struct state_edit_result out = {
    .outcome = never_appended ? STATE_EDIT_NOT_ACCEPTED : STATE_EDIT_UNKNOWN,
    .offset = ed->offset,
  };
  edit_complete (ed, &out);
}

static void
on_edit_retry (struct tevent_context *ev, struct tevent_timer *te,
               struct timeval now, void *arg)
{
  struct pending_edit *ed = arg;
  TALLOC_FREE (ed->retry);
  edit_append (ed);
}

static void
edit_schedule_retry (struct pending_edit *ed, int64_t at_least_ms)
{
  int64_t ms = backoff_advance (ed->p, &ed->backoff_ms);
  ed->retry = tevent_add_timer (
      ed->p->ev, ed, timeval_after_ms (ms > at_least_ms ? ms : at_least_ms),
      on_edit_retry, ed);
}

static void
on_edit_appended (void *arg, const struct append_result *res)
{
  struct pending_edit *ed = arg;
  ed->appending = false;
  if (!ed->fn)
    {
      talloc_free (ed);
      return;
    }
  if (res->status == APPEND_DONE)
    ed->offset = res->offset;
  else
    {
      ed->may_be_appended |= res->status == APPEND_UNKNOWN;
      edit_schedule_retry (ed, res->retry_after_ms);
    }
}

static void
edit_append (struct pending_edit *ed)
{
  struct priv *p = ed->p;
  int err = log_store_append (p->store, p->set.stream, ed->data, ed->len,
                              on_edit_appended, ed);
  ed->appending = err == 0;
  if (err)
    edit_schedule_retry (ed, 0);
}

/* Encodes a record with the given body and the next sequence number.  Its
   expected generation is the offset up to which this process has folded the
   stream.  */
static int
make_record (struct priv *p, void *parent, const uint8_t *body,
             size_t body_len, uint8_t **data, size_t *len)
{
  const struct record rec = {
    .writer = p->set.writer,
    .incarnation = p->set.incarnation,
    .sequence = ++p->sequence,
    .expected_generation = p->fold.next_offset,
    .body = body,
    .body_len = body_len,
  };
  return record_encode (parent, &rec, data, len);
}

int
state_edit (struct state *st, const struct fold_edit *edit, int64_t timeout_ms,
            state_edit_fn *fn, void *arg)
{
  struct priv *p = st->priv;
  uint8_t *body;
  size_t len;

  if (!edit->editor || edit->row_count + edit->host_count == 0)
    return ERR_INVALID;
  if (!state_ready (st) || p->reads_failing)
    return ERR_UNAVAILABLE;
  if (p->edit_count >= p->set.max_edits)
    return ERR_FULL;
  struct pending_edit *ed = talloc_zero (p, struct pending_edit);
  if (!ed)
    return ERR_NOMEM;
  int err = config_edit_encode (ed, edit, &body, &len);
  if (err == 0)
    err = make_record (p, ed, body, len, &ed->data, &ed->len);
  if (err)
    goto fail;
  talloc_free (body);
  ed->p = p;
  ed->id
      = fold_record_id_make (p->set.writer, p->set.incarnation, p->sequence);
  ed->fn = fn;
  ed->arg = arg;
  ed->offset = UINT64_MAX;
  ed->backoff_ms = p->set.backoff_min_ms;
  ed->deadline = tevent_add_timer (p->ev, ed, timeval_after_ms (timeout_ms),
                                   on_edit_deadline, ed);
  if (!ed->deadline)
    {
      err = ERR_NOMEM;
      goto fail;
    }
  DL_APPEND (p->edits, ed);
  p->edit_count++;
  edit_append (ed);
  return 0;

fail:
  talloc_free (ed);
  return err;
}

static void piece_append (struct snapshot_write *sw);

static void
snapshot_write_end (struct snapshot_write *sw, int err)
{
  struct priv *p = sw->p;
  state_snapshot_fn *fn = sw->fn;
  void *arg = sw->arg;

  log_event (p->set.logger, EV_STATE_SNAPSHOT,
             LOG_I ("next_offset", sw->snap.next_offset),
             LOG_I ("pieces", sw->snap.total), LOG_I ("bytes", sw->snap.len),
             LOG_S ("error", err_name (err)));
  sw->fn = NULL;
  TALLOC_FREE (sw->deadline);
  TALLOC_FREE (sw->retry);
  p->snapshot = NULL;
  if (!sw->appending)
    talloc_free (sw);
  fn (arg, err);
}

static void
on_snapshot_deadline (struct tevent_context *ev, struct tevent_timer *te,
                      struct timeval now, void *arg)
{
  snapshot_write_end (arg, ERR_TIMEOUT);
}

static void
on_piece_retry (struct tevent_context *ev, struct tevent_timer *te,
                struct timeval now, void *arg)
{
  struct snapshot_write *sw = arg;
  TALLOC_FREE (sw->retry);
  piece_append (sw);
}

static void
piece_schedule_retry (struct snapshot_write *sw, int64_t at_least_ms)
{
  int64_t ms = backoff_advance (sw->p, &sw->backoff_ms);
  sw->retry = tevent_add_timer (
      sw->p->ev, sw, timeval_after_ms (ms > at_least_ms ? ms : at_least_ms),
      on_piece_retry, sw);
}

/* Readers ignore duplicate pieces, so a piece whose append has an unknown
   result is simply appended again.  */
static void
on_piece_appended (void *arg, const struct append_result *res)
{
  struct snapshot_write *sw = arg;
  sw->appending = false;
  if (!sw->fn)
    {
      talloc_free (sw);
      return;
    }
  if (res->status != APPEND_DONE)
    {
      piece_schedule_retry (sw, res->retry_after_ms);
      return;
    }
  TALLOC_FREE (sw->data);
  sw->index++;
  sw->backoff_ms = sw->p->set.backoff_min_ms;
  if (sw->index == sw->snap.total)
    snapshot_write_end (sw, 0);
  else
    piece_append (sw);
}

static void
piece_append (struct snapshot_write *sw)
{
  struct priv *p = sw->p;
  uint8_t *body;
  size_t len;
  int err = 0;

  if (!sw->data)
    {
      err = snapshot_encode_piece (sw, &sw->snap, sw->index, &body, &len);
      if (err == 0)
        {
          err = make_record (p, sw, body, len, &sw->data, &sw->len);
          talloc_free (body);
        }
    }
  if (err == 0)
    err = log_store_append (p->store, p->set.stream, sw->data, sw->len,
                            on_piece_appended, sw);
  sw->appending = err == 0;
  if (err)
    piece_schedule_retry (sw, 0);
}

int
state_write_snapshot (struct state *st, int64_t timeout_ms,
                      state_snapshot_fn *fn, void *arg)
{
  struct priv *p = st->priv;
  if (!state_ready (st) || p->reads_failing)
    return ERR_UNAVAILABLE;
  if (p->snapshot)
    return ERR_EXISTS;
  struct snapshot_write *sw = talloc_zero (p, struct snapshot_write);
  if (!sw)
    return ERR_NOMEM;
  int err = snapshot_make (sw, &p->fold, &sw->snap);
  if (err)
    goto fail;
  sw->p = p;
  sw->fn = fn;
  sw->arg = arg;
  sw->backoff_ms = p->set.backoff_min_ms;
  sw->deadline = tevent_add_timer (p->ev, sw, timeval_after_ms (timeout_ms),
                                   on_snapshot_deadline, sw);
  if (!sw->deadline)
    {
      err = ERR_NOMEM;
      goto fail;
    }
  p->snapshot = sw;
  piece_append (sw);
  return 0;

fail:
  talloc_free (sw);
  return err;
}
