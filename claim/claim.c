/* Connects claim_core to the log and the event loop: reads the claims stream,
   appends batches, sets timers and runs callbacks.  Control thread only.  */

#include "claim/claim.h"

#include <string.h>
#include <sys/random.h>
#include <talloc.h>
#include <tevent.h>
#include <utlist.h>
/* Needed to allocate an XXH3 state on the stack.  */
#define XXH_STATIC_LINKING_ONLY
#include <xxhash.h>

#include "base/clock.h"
#include "base/err.h"
#include "claim/claim_codec.h"
#include "claim/claim_core.h"
#include "store/append_queue.h"
#include "store/log_store.h"

#define READ_MAX_BYTES (1U << 20)
#define READ_WAIT_MS 1000
/* Requests wait for a slow log until their own deadlines.  The log counts as
   unreachable when its end was last read longer ago than MAX_READ_AGE_US, or
   after READ_FAILURES_MAX failed reads in a row.  */
#define MAX_READ_AGE_US 10000000
#define READ_FAILURES_MAX 3
#define READ_RETRY_US 100000 /* delay before a failed read is repeated */
/* Delay after an append with unknown result until its items are appended
   again.  */
#define RESEND_US 200000
/* Most reads of recorded answers in progress at a time.  */
#define ANSWER_READS_MAX 16
#define DECODE_ATTEMPTS_MAX 3 /* reads of a record that cannot be decoded */
#define WAKE_MIN_US 1000
#define WAKE_MAX_US 500000
#define LOG_TIME_PROBE_INTERVAL_US 10000000
#define KEY_LIFETIME_MIN_MS 1000
#define STREAM_MAX_BYTES 64
#define US_PER_S 1000000

const struct claim_settings claim_settings_default = {
  .stream = "claims",
  .key_lifetime_ms = 24 * 3600 * 1000,
  .group_commit_us = 2000,
  .appends_per_s = 20,
  .max_waiting = 4096,
  .max_keys = 1U << 20,
  .max_answer_bytes = 4096,
};

/* A read in progress of the stream.  Allocated under the parent of the claims,
   because the store may run the callback after claims_fini.  */
struct log_read
{
  struct priv *priv; /* NULL after claims_fini */
};

/* A read of the recorded answer of a duplicate request, whose callback waits
   for it.  At most ANSWER_READS_MAX are in progress; the others wait in order.
 */
struct answer_read
{
  struct answer_read *prev;
  struct answer_read *next;
  struct priv *priv; /* NULL: the callback has run or must not run */
  bool in_progress;
  struct claim_event event;
};

struct priv
{
  void *parent;
  char stream[STREAM_MAX_BYTES + 1];
  struct log_store *st;
  struct tevent_context *ev;
  const struct clock *clk;
  struct claim_core core;
  struct append_queue aq;

  struct tevent_immediate *dispatch; /* runs the callbacks that are due */
  struct tevent_timer *wake_timer;   /* calls update at wake_us */
  int64_t wake_us;
  struct tevent_timer *retry_timer;  /* of a failed read */
  struct tevent_timer *resend_timer; /* of an append with unknown result */

  struct log_read *read_in_progress;
  struct answer_read *answer_reads;
  uint32_t answer_reads_in_progress;
  bool last_read_ok;
  uint32_t read_failures;      /* in a row */
  uint64_t undecodable_offset; /* of the last record that failed to decode */
  uint32_t decode_attempts;    /* of that record */

  bool append_queued;    /* in append_queue, waiting or in progress */
  uint8_t *batch;        /* record of the last append */
  int64_t last_probe_us; /* see probe_log_time */

  bool *finished; /* non-NULL while callbacks run; claims_fini sets it true */
};

static void update (struct priv *p);
static void start_read (struct priv *p);

struct claim_key
claim_key_make (const char *caller, const char *kind, const char *key)
{
  const char *parts[] = { caller, kind, key };
  XXH3_state_t state;
  XXH3_128bits_reset (&state);
  /* The length before each part keeps ("ab", "c") and ("a", "bc") apart.  */
  for (size_t n = 0; n < sizeof parts / sizeof *parts; n++)
    {
      uint64_t len = strlen (parts[n]);
      XXH3_128bits_update (&state, &len, sizeof len);
      XXH3_128bits_update (&state, parts[n], len);
    }
  XXH128_hash_t hash = XXH3_128bits_digest (&state);
  return (struct claim_key){ hash.high64, hash.low64 };
}

uint64_t
claim_body_digest (const void *body, size_t len)
{
  return len ? XXH3_64bits (body, len) : XXH3_64bits ("", 0);
}

static struct timeval
time_after_us (int64_t delay)
{
  return tevent_timeval_current_ofs ((uint32_t)(delay / US_PER_S),
                                     (uint32_t)(delay % US_PER_S));
}

/* Callbacks, and reads of the answers that they report.  */

static void
run_callback (struct priv *p, const struct claim_event *event)
{
  if (event->type == CLAIM_EVENT_VERDICT)
    event->fn (event->arg, &event->outcome);
  else if (event->release_fn)
    event->release_fn (event->arg, event->recorded);
}

static void on_answer (void *arg, const struct read_result *res);

/* Starts waiting reads of answers as far as the limit allows.  One that cannot
   be started waits on, at most until its deadline.  */
static void
start_answer_reads (struct priv *p)
{
  struct answer_read *call;
  DL_FOREACH (p->answer_reads, call)
    {
      if (p->answer_reads_in_progress >= ANSWER_READS_MAX)
        return;
      if (call->in_progress)
        continue;
      if (log_store_read (p->st, p->stream, call->event.answer_offset, 1, 0,
                          on_answer, call)
          != 0)
        return;
      call->in_progress = true;
      p->answer_reads_in_progress++;
    }
}

static void
on_answer (void *arg, const struct read_result *res)
{
  struct answer_read *call = arg;
  struct priv *p = call->priv;
  struct claim_batch *batch = NULL;
  const struct claim_item *item = NULL;
  if (!p)
    {
      talloc_free (call);
      return;
    }
  DL_DELETE (p->answer_reads, call);
  p->answer_reads_in_progress--;
  start_answer_reads (p);
  /* When the record cannot be read, the outcome is reported without body.  */
  if (res->err == 0 && res->count > 0
      && res->records[0].offset == call->event.answer_offset
      && claim_batch_decode (call, res->records[0].data, res->records[0].len,
                             &batch)
             == 0)
    item = claim_batch_find_answer (batch, call->event.answer_id);
  if (item)
    {
      call->event.outcome.body = item->answer;
      call->event.outcome.body_len = item->answer_len;
    }
  run_callback (p, &call->event);
  talloc_free (call);
}

/* Reads the recorded answer that EVENT refers to.  Returns false when out of
   memory.  */
static bool
read_answer (struct priv *p, const struct claim_event *event)
{
  struct answer_read *call = talloc_zero (p->parent, struct answer_read);
  if (!call)
    return false;
  call->priv = p;
  call->event = *event;
  DL_APPEND (p->answer_reads, call);
  start_answer_reads (p);
  return true;
}

/* Removes CALL from the list; a reply to it will be ignored.  */
static void
detach_answer (struct priv *p, struct answer_read *call)
{
  DL_DELETE (p->answer_reads, call);
  if (!call->in_progress)
    {
      talloc_free (call);
      return;
    }
  p->answer_reads_in_progress--;
  call->priv = NULL;
}

/* Takes the next event whose callback can run now: first those whose deadline
   passed while their answer was being read, then those of the core.  Returns
   false when there is none.  */
static bool
take_event (struct priv *p, struct claim_event *event)
{
  int64_t now = clock_now_us (p->clk);
  struct answer_read *call;
  DL_FOREACH (p->answer_reads, call)
    if (call->event.deadline_us <= now)
      {
        *event = call->event;
        detach_answer (p, call);
        return true;
      }
  while (claim_core_next_event (&p->core, now, event))
    if (!event->read_answer || !read_answer (p, event))
      return true;
  return false;
}

static void
on_dispatch (struct tevent_context *ev, struct tevent_immediate *im, void *arg)
{
  struct priv *p = arg;
  struct claim_event event;
  /* A callback may call claims_fini, which frees P.  */
  bool *finished = talloc_zero (NULL, bool);
  if (!finished)
    {
      update (p);
      return;
    }
  p->finished = finished;
  while (!*finished && take_event (p, &event))
    run_callback (p, &event);
  if (!*finished)
    {
      p->finished = NULL;
      update (p);
    }
  talloc_free (finished);
}

/* Reading the log.  */

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

/* Folds the records of a read.  Returns false when one must be read again.  A
   record that cannot be decoded is read DECODE_ATTEMPTS_MAX times: data
   damaged in transit arrives intact on a later read, while a record damaged in
   the log stays unreadable, and then every process skips it.  */
static bool
fold_records (struct priv *p, const struct read_result *res)
{
  for (size_t n = 0; n < res->count; n++)
    {
      const struct log_record_view *rec = &res->records[n];
      if (rec->offset != claim_core_next_offset (&p->core))
        continue;
      int err = claim_core_fold (&p->core, clock_now_us (p->clk), rec);
      if (err == 0)
        continue;
      if (p->undecodable_offset != rec->offset)
        p->decode_attempts = 0;
      p->undecodable_offset = rec->offset;
      if (err == ERR_NOMEM || ++p->decode_attempts < DECODE_ATTEMPTS_MAX)
        return false;
      claim_core_skip (&p->core, rec);
    }
  return true;
}

static void
on_read (void *arg, const struct read_result *res)
{
  struct log_read *call = arg;
  struct priv *p = call->priv;
  talloc_free (call);
  if (!p)
    return;
  p->read_in_progress = NULL;
  p->last_read_ok = res->err == 0;
  p->read_failures = p->last_read_ok ? 0 : p->read_failures + 1;
  if (p->read_failures >= READ_FAILURES_MAX)
    claim_core_set_log_unreachable (&p->core);
  bool again = true;
  if (res->err == ERR_EXPIRED)
    claim_core_handle_gap (&p->core, res->first_offset);
  else if (res->err)
    again = false;
  /* The log ends before the last folded record: it has lost records.  */
  else if (res->next_offset < claim_core_next_offset (&p->core))
    claim_core_handle_gap (&p->core, res->first_offset);
  else
    {
      again = fold_records (p, res);
      claim_core_read_done (&p->core, clock_now_us (p->clk), res->next_offset);
    }
  if (again)
    start_read (p);
  else
    retry_read (p);
  update (p);
}

static void
start_read (struct priv *p)
{
  struct log_read *call = talloc_zero (p->parent, struct log_read);
  if (call)
    {
      /* The first read after a start or a failed read does not wait for new
         records: its reply shows at once where the log ends.  */
      int64_t wait_ms = p->last_read_ok ? READ_WAIT_MS : 0;
      call->priv = p;
      if (log_store_read (p->st, p->stream, claim_core_next_offset (&p->core),
                          READ_MAX_BYTES, wait_ms, on_read, call)
          == 0)
        {
          p->read_in_progress = call;
          return;
        }
      talloc_free (call);
    }
  retry_read (p);
}

/* Appending.  */

static int
fill_batch (void *arg, const uint8_t **data, size_t *len)
{
  struct priv *p = arg;
  uint8_t *buf;
  TALLOC_FREE (p->batch);
  claim_core_expire (&p->core, clock_now_us (p->clk));
  int err = claim_core_build_record (&p->core, p, &buf, len);
  if (err)
    return err;
  p->batch = buf;
  *data = buf;
  return 0;
}

static void
on_resend_timer (struct tevent_context *ev, struct tevent_timer *te,
                 struct timeval now, void *arg)
{
  struct priv *p = arg;
  p->resend_timer = NULL;
  claim_core_resend (&p->core);
  update (p);
}

static void
on_append (void *arg, const struct append_result *res)
{
  struct priv *p = arg;
  p->append_queued = false;
  claim_core_append_result (&p->core, res);
  /* Until the timer ends, a read may still find the record in the log.  */
  if (claim_core_append_is_open (&p->core) && !p->resend_timer)
    p->resend_timer = tevent_add_timer (p->ev, p, time_after_us (RESEND_US),
                                        on_resend_timer, p);
  update (p);
}

static void
on_wake_timer (struct tevent_context *ev, struct tevent_timer *te,
               struct timeval now, void *arg)
{
  struct priv *p = arg;
  p->wake_timer = NULL;
  update (p);
}

/* An incomplete fold becomes complete when enough log time has passed, and the
   log's time is known only from records.  Has a record appended every
   LOG_TIME_PROBE_INTERVAL_US while the fold is incomplete, in case no other
   process appends.  */
static void
probe_log_time (struct priv *p, int64_t now)
{
  if (claim_core_fold_complete (&p->core)
      || now - p->last_probe_us < LOG_TIME_PROBE_INTERVAL_US)
    return;
  p->last_probe_us = now;
  claim_core_probe_log_time (&p->core, now);
}

/* Queues an append when one is due by NOW, schedules the callbacks that are
   due, and sets the timer for the next update: at NEXT or when an append
   becomes due, whichever is sooner.  */
static void
schedule (struct priv *p, int64_t now, int64_t next)
{
  bool urgent;
  int64_t due = claim_core_append_due (&p->core, &urgent);
  if (!p->append_queued && due <= now)
    p->append_queued = append_queue_add_deferred (
                           &p->aq, urgent ? APPEND_URGENT : APPEND_BOOKKEEPING,
                           p->stream, fill_batch, on_append, p)
                       == 0;
  if (!p->append_queued && due < next)
    next = due;
  if (claim_core_has_event (&p->core) || next <= now)
    {
      tevent_schedule_immediate (p->dispatch, p->ev, on_dispatch, p);
    }
  int64_t delay = next - now;
  if (delay < WAKE_MIN_US)
    delay = WAKE_MIN_US;
  if (delay > WAKE_MAX_US)
    delay = WAKE_MAX_US;
  if (p->wake_timer && p->wake_us <= now + delay)
    return;
  TALLOC_FREE (p->wake_timer);
  p->wake_timer
      = tevent_add_timer (p->ev, p, time_after_us (delay), on_wake_timer, p);
  p->wake_us = now + delay;
}

/* Handles deadlines that have passed and schedules what is due.  The cost
   grows with the number of waiting items, so this runs after each read, append
   and timer, but not for each request.  */
static void
update (struct priv *p)
{
  int64_t now = clock_now_us (p->clk);
  struct answer_read *call;
  claim_core_expire (&p->core, now);
  probe_log_time (p, now);
  int64_t next = claim_core_next_deadline (&p->core);
  DL_FOREACH (p->answer_reads, call)
    if (call->event.deadline_us < next)
      next = call->event.deadline_us;
  TALLOC_FREE (p->wake_timer);
  schedule (p, now, next);
}

int
claims_init (struct claims *cls, void *parent,
             const struct claim_settings *set, struct log_store *st,
             struct tevent_context *ev, const struct clock *clk)
{
  struct append_queue_settings queue = append_queue_settings_default;
  struct claim_core_settings core = { set, 0, MAX_READ_AGE_US };
  cls->priv = NULL;
  if (strlen (set->stream) > STREAM_MAX_BYTES
      || set->key_lifetime_ms < KEY_LIFETIME_MIN_MS || set->appends_per_s == 0)
    return ERR_INVALID;
  if (getrandom (&core.nonce, sizeof core.nonce, GRND_NONBLOCK)
      != sizeof core.nonce)
    core.nonce = (uint64_t)clock_now_us (clk);
  struct priv *p = talloc_zero (parent, struct priv);
  if (!p)
    return ERR_NOMEM;
  p->parent = parent;
  p->st = st;
  p->ev = ev;
  p->clk = clk;
  p->last_probe_us = clock_now_us (clk) - LOG_TIME_PROBE_INTERVAL_US;
  p->undecodable_offset = UINT64_MAX;
  memcpy (p->stream, set->stream, strlen (set->stream));
  queue.appends_per_s = set->appends_per_s;
  p->dispatch = tevent_create_immediate (p);
  int err = p->dispatch ? claim_core_init (&p->core, p, &core) : ERR_NOMEM;
  if (err == 0)
    err = append_queue_init (&p->aq, parent, &queue, st, ev, clk);
  if (err)
    {
      claim_core_fini (&p->core);
      talloc_free (p);
      return err;
    }
  cls->priv = p;
  start_read (p);
  update (p);
  return 0;
}

void
claims_fini (struct claims *cls)
{
  struct priv *p = cls->priv;
  if (!p)
    return;
  cls->priv = NULL;
  if (p->finished)
    *p->finished = true;
  if (p->read_in_progress)
    p->read_in_progress->priv = NULL;
  while (p->answer_reads)
    detach_answer (p, p->answer_reads);
  append_queue_fini (&p->aq);
  claim_core_fini (&p->core);
  talloc_free (p);
}

bool
claims_ready (const struct claims *cls)
{
  return claim_core_ready (&cls->priv->core, clock_now_us (cls->priv->clk));
}

bool
claims_idle (const struct claims *cls)
{
  return claim_core_idle (&cls->priv->core);
}

int
claim_request (struct claims *cls, struct claim_key key, uint64_t body_digest,
               int64_t deadline_us, claim_fn *fn, void *arg)
{
  struct priv *p = cls->priv;
  int64_t now = clock_now_us (p->clk);
  int err = claim_core_request (&p->core, now, key, body_digest, deadline_us,
                                fn, arg);
  if (err == 0)
    schedule (p, now, deadline_us);
  return err;
}

int
claim_done (struct claims *cls, struct claim_key key, uint64_t claim_id,
            bool answered, uint32_t status, const uint8_t *body, size_t len)
{
  struct priv *p = cls->priv;
  int64_t now = clock_now_us (p->clk);
  int err = claim_core_done (&p->core, now, key, claim_id, answered, status,
                             body, len);
  if (err == 0)
    schedule (p, now, INT64_MAX);
  return err;
}

int
claim_release (struct claims *cls, struct claim_key key, uint64_t claim_id,
               int64_t deadline_us, claim_release_fn *fn, void *arg)
{
  struct priv *p = cls->priv;
  int64_t now = clock_now_us (p->clk);
  int err = claim_core_release (&p->core, now, key, claim_id, deadline_us, fn,
                                arg);
  if (err == 0)
    schedule (p, now, deadline_us);
  return err;
}
