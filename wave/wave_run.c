#include "wave/wave_run.h"

#include <string.h>
#include <talloc.h>
#include <tevent.h>
#include <utlist.h>

#include "base/clock.h"
#include "base/err.h"
#include "store/log_store.h"

#define READ_MAX_BYTES (1U << 20)
#define READ_WAIT_MS 1000
#define READ_RETRY_US 100000  /* delay before a failed read is repeated */
#define DECODE_ATTEMPTS_MAX 3 /* reads of a record that cannot be decoded */
/* A read folds at most this many records and the rest is read again, so that
   other events are not delayed.  */
#define RECORDS_PER_READ 256
#define STREAM_MAX_BYTES 64
#define US_PER_S 1000000
#define WAKE_MIN_US 1000

/* A store call in flight.  It belongs to the parent of the run, because the
   callback may come after wave_run_fini.  */
struct store_call
{
  struct store_call *prev;
  struct store_call *next;
  struct priv *run; /* NULL: wave_run_fini was called meanwhile */
  uint64_t token;
};

struct priv
{
  void *parent;
  char stream[STREAM_MAX_BYTES + 1];
  struct log_store *st;
  struct host_api *hosts;
  struct tevent_context *ev;
  const struct clock *clk;
  struct wave_core core;
  struct store_call *calls;
  struct tevent_immediate *work_im;
  struct tevent_timer *wake_timer;
  struct tevent_timer *retry_timer;
  bool last_read_ok;
  bool reading;
  uint64_t undecodable_offset;
  uint32_t decode_attempts;
};

static void start_read (struct priv *p);
static void schedule_work (struct priv *p);
static void on_wake_timer (struct tevent_context *ev, struct tevent_timer *te,
                           struct timeval now, void *arg);

static struct timeval
time_after_us (int64_t delay)
{
  return tevent_timeval_current_ofs ((uint32_t)(delay / US_PER_S),
                                     (uint32_t)(delay % US_PER_S));
}

void
wave_run_settings_init (struct wave_run_settings *set)
{
  memset (set, 0, sizeof *set);
  set->stream = "waves";
  set->core = wave_core_settings_default;
  set->core.plan = wave_plan_settings_default;
}

static struct store_call *
begin_call (struct priv *p, uint64_t token)
{
  struct store_call *call = talloc_zero (p->parent, struct store_call);
  if (!call)
    return NULL;
  call->run = p;
  call->token = token;
  DL_APPEND (p->calls, call);
  return call;
}

/* Frees CALL.  Returns NULL if wave_run_fini was called meanwhile.  */
static struct priv *
end_call (struct store_call *call)
{
  struct priv *p = call->run;
  if (p)
    DL_DELETE (p->calls, call);
  talloc_free (call);
  return p;
}

/* Log reads.  */

static void
on_retry_timer (struct tevent_context *ev, struct tevent_timer *te,
                struct timeval now, void *arg)
{
  struct priv *p = arg;
  p->retry_timer = NULL;
  start_read (p);
}

static void
retry_read (struct priv *p)
{
  if (!p->retry_timer)
    p->retry_timer = tevent_add_timer (p->ev, p, time_after_us (READ_RETRY_US),
                                       on_retry_timer, p);
}

/* Folds the records of a read.  Returns false when one cannot be decoded.  It
   is then read again: corruption in transit is gone on the next read, while
   corruption in the log stays, and every process skips the record.  */
static bool
fold_records (struct priv *p, const struct read_result *res)
{
  int64_t now = clock_now_us (p->clk);
  for (size_t n = 0; n < res->count && n < RECORDS_PER_READ; n++)
    {
      const struct log_record_view *rec = &res->records[n];
      if (rec->offset != wave_core_next_offset (&p->core))
        continue;
      int err = wave_core_fold (&p->core, now, rec);
      if (err == 0)
        continue;
      if (p->undecodable_offset != rec->offset)
        p->decode_attempts = 0;
      p->undecodable_offset = rec->offset;
      if (err == ERR_NOMEM || ++p->decode_attempts < DECODE_ATTEMPTS_MAX)
        return false;
      wave_core_skip (&p->core, now, rec);
    }
  return true;
}

static void
on_read (void *arg, const struct read_result *res)
{
  struct priv *p = end_call (arg);
  if (!p)
    return;
  bool again = true;
  p->reading = false;
  p->last_read_ok = res->err == 0;
  if (res->err == ERR_EXPIRED)
    wave_core_handle_gap (&p->core, res->first_offset);
  else if (res->err)
    again = false;
  /* A log that ends before the fold's offset has lost records.  */
  else if (res->next_offset < wave_core_next_offset (&p->core))
    wave_core_handle_gap (&p->core, res->first_offset);
  else
    {
      again = fold_records (p, res);
      wave_core_read_done (&p->core, clock_now_us (p->clk), res->next_offset);
    }
  if (again)
    start_read (p);
  else
    retry_read (p);
  schedule_work (p);
}

static void
start_read (struct priv *p)
{
  struct store_call *call = begin_call (p, 0);
  /* The first read after a start or an outage does not wait for records; it
     only finds the end of the log.  */
  int64_t wait_ms = p->last_read_ok ? READ_WAIT_MS : 0;
  if (call
      && log_store_read (p->st, p->stream, wave_core_next_offset (&p->core),
                         READ_MAX_BYTES, wait_ms, on_read, call)
             == 0)
    {
      p->reading = true;
      return;
    }
  if (call)
    end_call (call);
  retry_read (p);
}

/* Appends and host calls.  */

static void
on_append_result (void *arg, const struct append_result *res)
{
  struct priv *p = end_call (arg);
  if (!p)
    return;
  wave_core_append_result (&p->core, clock_now_us (p->clk), res);
  schedule_work (p);
}

static void
start_append (struct priv *p)
{
  const struct append_result failed = { .status = APPEND_NOT_DONE };
  int64_t now = clock_now_us (p->clk);
  uint8_t *data;
  size_t len;
  if (wave_core_begin_append (&p->core, now, p, &data, &len) != 0)
    return;
  struct store_call *call = begin_call (p, 0);
  int err = call ? log_store_append (p->st, p->stream, data, len,
                                     on_append_result, call)
                 : ERR_NOMEM;
  talloc_free (data);
  if (!err)
    return;
  if (call)
    end_call (call);
  wave_core_append_result (&p->core, now, &failed);
}

static void
on_host_result (void *arg, const struct host_result *res)
{
  uint64_t token = ((struct store_call *)arg)->token;
  struct priv *p = end_call (arg);
  if (!p)
    return;
  wave_core_call_result (&p->core, clock_now_us (p->clk), token, res);
  schedule_work (p);
}

static void
start_calls (struct priv *p)
{
  const struct host_result failed
      = { .status = HOST_CALL_NOT_DONE, .slots_in_use = -1 };
  struct host_call hc;
  uint64_t token;
  while (
      p->hosts
      && wave_core_begin_call (&p->core, clock_now_us (p->clk), &hc, &token))
    {
      struct store_call *call = begin_call (p, token);
      if (call && host_api_call (p->hosts, &hc, on_host_result, call) == 0)
        continue;
      if (call)
        end_call (call);
      wave_core_call_result (&p->core, clock_now_us (p->clk), token, &failed);
    }
}

/* Starts the append and the host calls that are due, and sets the timer for
   the next time.  */
static void
on_work (struct tevent_context *ev, struct tevent_immediate *im, void *arg)
{
  struct priv *p = arg;
  start_append (p);
  start_calls (p);
  int64_t now = clock_now_us (p->clk);
  int64_t delay = wave_core_next_wake_us (&p->core, now) - now;
  TALLOC_FREE (p->wake_timer);
  p->wake_timer = tevent_add_timer (
      p->ev, p, time_after_us (delay > WAKE_MIN_US ? delay : WAKE_MIN_US),
      on_wake_timer, p);
  /* Last, because a callback may call wave_run_fini.  */
  wave_core_run_callbacks (&p->core, now);
}

static void
on_wake_timer (struct tevent_context *ev, struct tevent_timer *te,
               struct timeval now, void *arg)
{
  struct priv *p = arg;
  p->wake_timer = NULL;
  schedule_work (p);
}

static void
schedule_work (struct priv *p)
{
  tevent_schedule_immediate (p->work_im, p->ev, on_work, p);
}

int
wave_run_init (struct wave_run *run, void *parent,
               const struct wave_run_settings *set, struct log_store *st,
               struct host_api *hosts, struct tevent_context *ev,
               const struct clock *clk, struct logger *lg)
{
  run->priv = NULL;
  if (!set->stream || strlen (set->stream) > STREAM_MAX_BYTES
      || (set->core.data_centre && !hosts))
    return ERR_INVALID;
  struct priv *p = talloc_zero (parent, struct priv);
  if (!p)
    return ERR_NOMEM;
  p->parent = parent;
  p->st = st;
  p->hosts = hosts;
  p->ev = ev;
  p->clk = clk;
  p->undecodable_offset = UINT64_MAX;
  memcpy (p->stream, set->stream, strlen (set->stream) + 1);
  p->work_im = tevent_create_immediate (p);
  int err
      = p->work_im ? wave_core_init (&p->core, p, &set->core, lg) : ERR_NOMEM;
  if (err)
    {
      talloc_free (p);
      return err;
    }
  run->priv = p;
  start_read (p);
  schedule_work (p);
  return 0;
}

void
wave_run_fini (struct wave_run *run)
{
  struct priv *p = run->priv;
  struct store_call *call;
  struct store_call *tmp;
  if (!p)
    return;
  run->priv = NULL;
  DL_FOREACH_SAFE (p->calls, call, tmp)
    {
      DL_DELETE (p->calls, call);
      call->run = NULL;
    }
  wave_core_fini (&p->core);
  talloc_free (p);
}

int
wave_run_set_fleet (struct wave_run *run, const struct host_list *hosts,
                    const struct table *tab, fleet_pool_fn *pool_of, void *arg)
{
  struct priv *p = run->priv;
  struct wave_fleet *fleet;
  int err = wave_fleet_build (p, hosts, tab, pool_of, arg, &fleet);
  if (err)
    return err;
  wave_core_set_fleet (&p->core, clock_now_us (p->clk), fleet);
  schedule_work (p);
  return 0;
}

void
wave_run_touch_fleet (struct wave_run *run)
{
  wave_core_touch_fleet (&run->priv->core, clock_now_us (run->priv->clk));
}

bool
wave_run_ready (const struct wave_run *run)
{
  return wave_core_caught_up (&run->priv->core);
}

const struct wave_fold *
wave_run_state (const struct wave_run *run)
{
  return wave_core_state (&run->priv->core);
}

static int
submit_edit (struct wave_run *run, const struct wave_record *rec,
             int64_t deadline_us, wave_edit_fn *fn, void *arg)
{
  struct priv *p = run->priv;
  int err = wave_core_edit (&p->core, clock_now_us (p->clk), rec, deadline_us,
                            fn, arg);
  if (err == 0)
    schedule_work (p);
  return err;
}

int
wave_run_create (struct wave_run *run, const struct wave_create_request *req,
                 int64_t deadline_us, wave_edit_fn *fn, void *arg)
{
  const struct wave_record rec = {
    .type = WAVE_RECORD_CREATE,
    .id = req->id,
    .editor = req->editor,
    .deadline_ms = req->deadline_ms,
    .most_out = req->most_out,
    .hosts = req->hosts,
    .host_count = req->host_count,
  };
  return submit_edit (run, &rec, deadline_us, fn, arg);
}

static int
submit_change (struct wave_run *run, enum wave_record_type type,
               const char *id, const char *editor, bool retry,
               int64_t deadline_us, wave_edit_fn *fn, void *arg)
{
  const struct wave *wv = wave_find (wave_run_state (run), id);
  if (!wave_run_ready (run))
    return ERR_UNAVAILABLE;
  if (!wv)
    return ERR_NOT_FOUND;
  const struct wave_record rec = { .type = type,
                                   .id = id,
                                   .editor = editor,
                                   .generation = wv->generation,
                                   .retry = retry };
  return submit_edit (run, &rec, deadline_us, fn, arg);
}

int
wave_run_pause (struct wave_run *run, const char *id, const char *editor,
                int64_t deadline_us, wave_edit_fn *fn, void *arg)
{
  return submit_change (run, WAVE_RECORD_PAUSE, id, editor, false, deadline_us,
                        fn, arg);
}

int
wave_run_resume (struct wave_run *run, const char *id, const char *editor,
                 bool retry, int64_t deadline_us, wave_edit_fn *fn, void *arg)
{
  return submit_change (run, WAVE_RECORD_RESUME, id, editor, retry,
                        deadline_us, fn, arg);
}

int
wave_run_cancel (struct wave_run *run, const char *id, const char *editor,
                 int64_t deadline_us, wave_edit_fn *fn, void *arg)
{
  return submit_change (run, WAVE_RECORD_CANCEL, id, editor, false,
                        deadline_us, fn, arg);
}
