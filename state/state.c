#include "state/state.h"

#include <string.h>
#include <talloc.h>

#include "state/state_priv.h"

const struct state_settings state_settings_default = {
  .stream = "config",
  .max_read_bytes = 262144,
  .wait_ms = 2000,
  .backoff_min_ms = 50,
  .backoff_max_ms = 2000,
  .max_edits = 64,
};

static void start_read (struct priv *p);

struct timeval
timeval_after_ms (int64_t ms)
{
  return tevent_timeval_current_ofs ((uint32_t)(ms / 1000),
                                     (uint32_t)(ms % 1000 * 1000));
}

int64_t
backoff_advance (const struct priv *p, int64_t *backoff_ms)
{
  int64_t now = *backoff_ms;
  *backoff_ms
      = now * 2 < p->set.backoff_max_ms ? now * 2 : p->set.backoff_max_ms;
  return now;
}

static void
on_read_timer (struct tevent_context *ev, struct tevent_timer *te,
               struct timeval now, void *arg)
{
  struct priv *p = arg;
  TALLOC_FREE (p->read_timer);
  start_read (p);
}

static void
schedule_read (struct priv *p, int64_t ms)
{
  TALLOC_FREE (p->read_timer);
  p->read_timer
      = tevent_add_timer (p->ev, p, timeval_after_ms (ms), on_read_timer, p);
}

static void
add_to_counter (struct priv *p, enum counter_id id, uint64_t n)
{
  if (p->set.counters)
    counter_add (p->set.counters, id, n);
}

static void
read_failed (struct priv *p, int err)
{
  add_to_counter (p, CTR_STATE_READ_ERRORS, 1);
  if (!p->reads_failing)
    log_event (p->set.logger, EV_STATE_LOG_FAILED,
               LOG_S ("error", err_name (err)),
               LOG_I ("next_offset", p->fold.next_offset));
  p->reads_failing = true;
  schedule_read (p, backoff_advance (p, &p->backoff_ms));
}

static void
read_succeeded (struct priv *p)
{
  p->last_answer_us = clock_now_us (p->clk);
  if (p->reads_failing)
    log_event (p->set.logger, EV_STATE_LOG_RESTORED,
               LOG_I ("next_offset", p->fold.next_offset));
  p->reads_failing = false;
}

static int
recovery_start (struct priv *p, uint64_t first_offset)
{
  if (p->recovering)
    snapshot_reader_fini (&p->reader);
  else
    {
      add_to_counter (p, CTR_STATE_GAPS, 1);
      log_event (p->set.logger, EV_STATE_GAP,
                 LOG_I ("next_offset", p->fold.next_offset),
                 LOG_I ("first_offset", first_offset));
    }
  p->recovering = snapshot_reader_init (&p->reader, p) == 0;
  p->scan_offset = first_offset;
  return p->recovering ? 0 : ERR_NOMEM;
}

/* Called at the end of the stream.  Replaces the state by the latest snapshot
   found; without one the scan continues with the records to come.  */
static void
recovery_finish (struct priv *p)
{
  struct fold fd;
  if (snapshot_reader_take (&p->reader, p, &fd) != 0)
    {
      if (!p->reported_no_snapshot)
        log_event (p->set.logger, EV_STATE_NO_SNAPSHOT,
                   LOG_I ("next_offset", p->fold.next_offset),
                   LOG_I ("bad", snapshot_reader_invalid_count (&p->reader)));
      p->reported_no_snapshot = true;
      return;
    }
  log_event (p->set.logger, EV_STATE_RECOVERED,
             LOG_I ("from_offset", p->fold.next_offset),
             LOG_I ("next_offset", fd.next_offset),
             LOG_I ("bad", snapshot_reader_invalid_count (&p->reader)));
  snapshot_reader_fini (&p->reader);
  p->recovering = false;
  p->reported_no_snapshot = false;
  fold_fini (&p->fold);
  p->fold = fd;
  p->changed = true;
  edits_complete_from_snapshot (p);
}

/* Searches the records for snapshot pieces.  Returns 0, or an error that makes
   the read count as failed.  */
static int
scan_records (struct priv *p, const struct read_result *res)
{
  for (size_t n = 0; n < res->count; n++)
    {
      const struct log_record_view *rec = &res->records[n];
      if (rec->offset != p->scan_offset)
        return ERR_PROTOCOL;
      int err = snapshot_reader_add (&p->reader, rec->data, rec->len,
                                     res->first_offset);
      if (err)
        return err;
      p->scan_offset++;
    }
  if (p->scan_offset >= res->next_offset)
    recovery_finish (p);
  return 0;
}

static void
record_folded (struct priv *p, uint64_t offset, const struct fold_result *res)
{
  add_to_counter (p, CTR_STATE_RECORDS, 1);
  p->records_since_snapshot++;
  switch (res->outcome)
    {
    case FOLD_APPLIED:
      p->changed = true;
      log_event (p->set.logger, EV_STATE_CHANGED, LOG_I ("offset", offset),
                 LOG_I ("rows", p->fold.table->count),
                 LOG_I ("hosts", p->fold.host_count));
      break;
    case FOLD_SNAPSHOT_PIECE:
      if (res->is_last_piece)
        p->records_since_snapshot = 0;
      break;
    default:
      add_to_counter (p, CTR_STATE_VOID, 1);
      log_event (p->set.logger, EV_STATE_RECORD_VOID, LOG_I ("offset", offset),
                 LOG_S ("reason", fold_outcome_name (res->outcome)));
      break;
    }
  edits_complete (p, offset, res);
}

/* Folds the records.  Returns 0, or an error that makes the read count as
   failed.  */
static int
fold_records (struct priv *p, const struct read_result *res)
{
  for (size_t n = 0; n < res->count; n++)
    {
      const struct log_record_view *rec = &res->records[n];
      struct fold_result folded;
      if (rec->offset != p->fold.next_offset)
        return ERR_PROTOCOL;
      int err = fold_record (&p->fold, rec->offset, rec->time_ms, rec->data,
                             rec->len, &folded);
      if (err == ERR_CONFLICT && !p->blocked)
        log_event (p->set.logger, EV_STATE_BLOCKED,
                   LOG_I ("offset", rec->offset));
      p->blocked = err == ERR_CONFLICT;
      if (err)
        return err;
      record_folded (p, rec->offset, &folded);
    }
  bool log_behind = res->next_offset < p->fold.next_offset;
  if (log_behind && !p->log_behind)
    log_event (p->set.logger, EV_STATE_LOG_BEHIND,
               LOG_I ("next_offset", p->fold.next_offset),
               LOG_I ("log_next_offset", res->next_offset));
  p->log_behind = log_behind;
  return log_behind ? ERR_PROTOCOL : 0;
}

/* Calls change_fn, but not before the end of the stream was reached once:
   while a starting process catches up, its states are long outdated.  */
static void
report_change (struct priv *p, const struct read_result *res)
{
  bool first_time = !p->caught_up && !p->recovering
                    && p->fold.next_offset >= res->next_offset;
  p->caught_up |= first_time;
  if (!p->caught_up || (!p->changed && !first_time))
    return;
  p->changed = false;
  if (p->change_fn)
    p->change_fn (p->change_arg, &p->fold);
}

static void
on_read (void *arg, const struct read_result *res)
{
  struct priv *p = arg;
  uint64_t from = p->recovering ? p->scan_offset : p->fold.next_offset;

  if (res->err == ERR_EXPIRED && res->first_offset > from)
    {
      read_succeeded (p);
      int err = recovery_start (p, res->first_offset);
      if (err)
        read_failed (p, err);
      else
        schedule_read (p, p->reported_no_snapshot ? p->set.backoff_max_ms : 0);
      return;
    }
  if (res->err)
    {
      read_failed (p, res->err == ERR_EXPIRED ? ERR_PROTOCOL : res->err);
      return;
    }
  p->last_answer_us = clock_now_us (p->clk);
  int err = p->recovering ? scan_records (p, res) : fold_records (p, res);
  report_change (p, res);
  if (err)
    {
      read_failed (p, err);
      return;
    }
  read_succeeded (p);
  p->backoff_ms = p->set.backoff_min_ms;
  /* Prevents a busy loop when the log service answers a long poll at once.  */
  bool returned_early
      = res->count == 0
        && p->last_answer_us - p->read_start_us < p->set.wait_ms * 500;
  schedule_read (p, returned_early ? p->set.backoff_min_ms : 0);
}

static void
start_read (struct priv *p)
{
  uint64_t from = p->recovering ? p->scan_offset : p->fold.next_offset;
  /* Until the end of the stream is reached, reads do not wait for new records,
     so that the process becomes ready at once even if the stream is empty.  */
  bool wait = p->recovering ? p->reported_no_snapshot : p->caught_up;
  p->read_start_us = clock_now_us (p->clk);
  int err
      = log_store_read (p->store, p->set.stream, from, p->set.max_read_bytes,
                        wait ? p->set.wait_ms : 0, on_read, p);
  if (err)
    read_failed (p, err);
}

int
state_init (struct state *st, void *parent, const struct state_settings *set,
            struct log_store *store, struct tevent_context *ev,
            const struct clock *clk)
{
  st->priv = NULL;
  if (!set->writer || !set->stream || set->wait_ms < 0
      || set->backoff_min_ms < 1 || set->backoff_max_ms < set->backoff_min_ms
      || set->max_read_bytes == 0 || set->max_edits == 0)
    return ERR_INVALID;
  struct priv *p = talloc_zero (parent, struct priv);
  if (!p)
    return ERR_NOMEM;
  p->set = *set;
  p->set.writer = talloc_strdup (p, set->writer);
  p->set.stream = talloc_strdup (p, set->stream);
  p->store = store;
  p->ev = ev;
  p->clk = clk;
  p->backoff_ms = set->backoff_min_ms;
  p->last_answer_us = -1;
  if (!p->set.writer || !p->set.stream || fold_init (&p->fold, p) != 0)
    {
      talloc_free (p);
      return ERR_NOMEM;
    }
  st->priv = p;
  schedule_read (p, 0);
  return 0;
}

void
state_fini (struct state *st)
{
  struct priv *p = st->priv;
  if (!p)
    return;
  if (p->recovering)
    snapshot_reader_fini (&p->reader);
  fold_fini (&p->fold);
  talloc_free (p);
  st->priv = NULL;
}

void
state_on_change (struct state *st, state_change_fn *fn, void *arg)
{
  st->priv->change_fn = fn;
  st->priv->change_arg = arg;
}

const struct fold *
state_fold (const struct state *st)
{
  return &st->priv->fold;
}

bool
state_ready (const struct state *st)
{
  const struct priv *p = st->priv;
  return p->caught_up && !p->recovering && !p->blocked && !p->log_behind;
}

int64_t
state_age_ms (const struct state *st)
{
  const struct priv *p = st->priv;
  return p->last_answer_us < 0
             ? INT64_MAX
             : (clock_now_us (p->clk) - p->last_answer_us) / 1000;
}

uint64_t
state_records_since_snapshot (const struct state *st)
{
  return st->priv->records_since_snapshot;
}
