#include "claim/claim.h"

#include <string.h>
#include <sys/random.h>
#include <talloc.h>
#include <tevent.h>
#include <utlist.h>
/* For a hash state on the stack.  */
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
/* A log that is slow and answers is waited for up to the caller's deadline;
   one that fails several reads, or hangs for long, is away.  */
#define CONTACT_US 10000000
#define READ_FAILURES_MAX 3
#define RETRY_US 100000  /* between reads that fail */
#define RESEND_US 200000 /* until an unsettled record is replaced */
#define ANSWER_READS_MAX 16
#define READ_ATTEMPTS 3 /* of a record that cannot be decoded */
#define WAKE_MIN_US 1000
#define WAKE_MAX_US 500000
#define TIME_INTERVAL_US 10000000 /* between records that ask for log time */
#define LIFETIME_MIN_MS 1000
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

/* A read in progress.  It belongs to the parent of the claims, because the
   store's callback may come after claims_fini.  */
struct read_call
{
  struct priv *priv; /* NULL: finished meanwhile */
};

struct answer_call
{
  struct answer_call *prev;
  struct answer_call *next;
  struct priv *priv;
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

  struct tevent_immediate *drain;
  struct tevent_timer *wake;
  int64_t wake_us;
  struct tevent_timer *retry;
  struct tevent_timer *resend;

  struct read_call *reading;
  struct answer_call *answers;
  uint32_t answer_count;
  bool contact; /* the last read succeeded */
  uint32_t read_failures;
  uint64_t bad_offset;
  uint32_t bad_attempts;

  bool append_queued; /* asked for, or in progress */
  uint8_t *batch;
  int64_t asked_time_us;

  bool *finished; /* set while callbacks run */
};

static void update (struct priv *p);
static void start_read (struct priv *p);

struct claim_key
claim_key_make (const char *caller, const char *kind, const char *key)
{
  const char *parts[] = { caller, kind, key };
  XXH3_state_t state;
  XXH3_128bits_reset (&state);
  /* Each part with its length, so that no two triples run together.  */
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
in_us (int64_t delay)
{
  return tevent_timeval_current_ofs ((uint32_t)(delay / US_PER_S),
                                     (uint32_t)(delay % US_PER_S));
}

/* Answers of repeated keys.  */

static void
tell (struct priv *p, const struct claim_event *event)
{
  if (event->type == CLAIM_EVENT_VERDICT)
    event->fn (event->arg, &event->out);
  else if (event->release_fn)
    event->release_fn (event->arg, event->recorded);
}

static void
on_answer (void *arg, const struct read_result *res)
{
  struct answer_call *call = arg;
  struct priv *p = call->priv;
  struct claim_batch *batch = NULL;
  const struct claim_item *item = NULL;
  if (!p)
    {
      talloc_free (call);
      return;
    }
  DL_DELETE (p->answers, call);
  p->answer_count--;
  /* Without the record the outcome goes out without the body.  */
  if (res->err == 0 && res->count > 0
      && res->records[0].offset == call->event.answer_offset
      && claim_batch_decode (call, res->records[0].data, res->records[0].len,
                             &batch)
             == 0)
    item = claim_batch_answer (batch, call->event.answer_id);
  if (item)
    {
      call->event.out.body = item->answer;
      call->event.out.body_len = item->answer_len;
    }
  tell (p, &call->event);
  talloc_free (call);
}

/* Starts to read the answer that EVENT names.  Returns false when that cannot
   be done.  */
static bool
read_answer (struct priv *p, const struct claim_event *event)
{
  if (p->answer_count >= ANSWER_READS_MAX)
    return false;
  struct answer_call *call = talloc_zero (p->parent, struct answer_call);
  if (!call)
    return false;
  call->priv = p;
  call->event = *event;
  if (log_store_read (p->st, p->stream, event->answer_offset, 1, 0, on_answer,
                      call)
      != 0)
    {
      talloc_free (call);
      return false;
    }
  DL_APPEND (p->answers, call);
  p->answer_count++;
  return true;
}

/* Takes CALL out; its reply will be ignored.  */
static void
detach_answer (struct priv *p, struct answer_call *call)
{
  DL_DELETE (p->answers, call);
  p->answer_count--;
  call->priv = NULL;
}

/* Takes the next event that can be told now: answers whose deadline came
   before they were read, and what the core has concluded.  */
static bool
next_event (struct priv *p, struct claim_event *event)
{
  int64_t now = clock_now_us (p->clk);
  struct answer_call *call;
  DL_FOREACH (p->answers, call)
    if (call->event.deadline_us <= now)
      {
        *event = call->event;
        detach_answer (p, call);
        return true;
      }
  while (claim_core_next (&p->core, now, event))
    if (!event->read_answer || !read_answer (p, event))
      return true;
  return false;
}

static void
on_drain (struct tevent_context *ev, struct tevent_immediate *im, void *arg)
{
  struct priv *p = arg;
  struct claim_event event;
  /* A callback may finish the claims, and P with them.  */
  bool *finished = talloc_zero (NULL, bool);
  if (!finished)
    {
      update (p);
      return;
    }
  p->finished = finished;
  while (!*finished && next_event (p, &event))
    tell (p, &event);
  if (!*finished)
    {
      p->finished = NULL;
      update (p);
    }
  talloc_free (finished);
}

/* Reading the log.  */

static void
on_retry (struct tevent_context *ev, struct tevent_timer *te,
          struct timeval now, void *arg)
{
  struct priv *p = arg;
  p->retry = NULL;
  start_read (p);
}

static void
retry_read (struct priv *p)
{
  if (!p->retry)
    p->retry = tevent_add_timer (p->ev, p, in_us (RETRY_US), on_retry, p);
}

/* Folds the records of a read.  Returns false when one cannot be decoded: it
   is then read again, because damage on the way passes while damage in the
   log stays and makes the record void for every process.  */
static bool
fold_records (struct priv *p, const struct read_result *res)
{
  for (size_t n = 0; n < res->count; n++)
    {
      const struct log_record_view *rec = &res->records[n];
      if (rec->offset != claim_core_offset (&p->core))
        continue;
      int err = claim_core_fold (&p->core, clock_now_us (p->clk), rec);
      if (err == 0)
        continue;
      if (p->bad_offset != rec->offset)
        p->bad_attempts = 0;
      p->bad_offset = rec->offset;
      if (err == ERR_NOMEM || ++p->bad_attempts < READ_ATTEMPTS)
        return false;
      claim_core_skip (&p->core, rec);
    }
  return true;
}

static void
on_read (void *arg, const struct read_result *res)
{
  struct read_call *call = arg;
  struct priv *p = call->priv;
  talloc_free (call);
  if (!p)
    return;
  p->reading = NULL;
  p->contact = res->err == 0;
  p->read_failures = p->contact ? 0 : p->read_failures + 1;
  if (p->read_failures >= READ_FAILURES_MAX)
    claim_core_no_contact (&p->core);
  bool again = true;
  if (res->err == ERR_EXPIRED)
    claim_core_gap (&p->core, res->first_offset);
  else if (res->err)
    again = false;
  /* A log that is shorter than what was folded has lost records.  */
  else if (res->next_offset < claim_core_offset (&p->core))
    claim_core_gap (&p->core, res->first_offset);
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
  struct read_call *call = talloc_zero (p->parent, struct read_call);
  if (call)
    {
      /* The first read after a start or an outage only tells how far the log
         goes.  */
      int64_t wait_ms = p->contact ? READ_WAIT_MS : 0;
      call->priv = p;
      if (log_store_read (p->st, p->stream, claim_core_offset (&p->core),
                          READ_MAX_BYTES, wait_ms, on_read, call)
          == 0)
        {
          p->reading = call;
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
  int err = claim_core_build (&p->core, p, &buf, len);
  if (err)
    return err;
  p->batch = buf;
  *data = buf;
  return 0;
}

static void
on_resend (struct tevent_context *ev, struct tevent_timer *te,
           struct timeval now, void *arg)
{
  struct priv *p = arg;
  p->resend = NULL;
  claim_core_resend (&p->core);
  update (p);
}

static void
on_append (void *arg, const struct append_result *res)
{
  struct priv *p = arg;
  p->append_queued = false;
  claim_core_append_result (&p->core, res);
  /* The reader may find the record in the meantime.  */
  if (claim_core_is_open (&p->core) && !p->resend)
    p->resend = tevent_add_timer (p->ev, p, in_us (RESEND_US), on_resend, p);
  update (p);
}

static void
on_wake (struct tevent_context *ev, struct tevent_timer *te,
         struct timeval now, void *arg)
{
  struct priv *p = arg;
  p->wake = NULL;
  update (p);
}

/* An incomplete fold becomes complete by the log's time, which only records
   tell; when nobody appends, this process does.  */
static void
ask_time (struct priv *p, int64_t now)
{
  if (claim_core_complete (&p->core)
      || now - p->asked_time_us < TIME_INTERVAL_US)
    return;
  p->asked_time_us = now;
  claim_core_want_time (&p->core, now);
}

/* Asks for an append when one is due by NOW, has the events told, and looks
   again at NEXT or when an append becomes due.  */
static void
plan (struct priv *p, int64_t now, int64_t next)
{
  bool urgent;
  int64_t due = claim_core_append_due (&p->core, &urgent);
  if (!p->append_queued && due <= now)
    p->append_queued = append_queue_add_late (
                           &p->aq, urgent ? APPEND_URGENT : APPEND_BOOKKEEPING,
                           p->stream, fill_batch, on_append, p)
                       == 0;
  if (!p->append_queued && due < next)
    next = due;
  if (claim_core_has_event (&p->core) || next <= now)
    {
      tevent_schedule_immediate (p->drain, p->ev, on_drain, p);
    }
  int64_t delay = next - now;
  if (delay < WAKE_MIN_US)
    delay = WAKE_MIN_US;
  if (delay > WAKE_MAX_US)
    delay = WAKE_MAX_US;
  if (p->wake && p->wake_us <= now + delay)
    return;
  TALLOC_FREE (p->wake);
  p->wake = tevent_add_timer (p->ev, p, in_us (delay), on_wake, p);
  p->wake_us = now + delay;
}

/* Does what the state of the core asks for by now.  Goes through all that
   waits, so that it runs for each read, append and timer and not for each
   request.  */
static void
update (struct priv *p)
{
  int64_t now = clock_now_us (p->clk);
  struct answer_call *call;
  claim_core_expire (&p->core, now);
  ask_time (p, now);
  int64_t next = claim_core_next_deadline (&p->core);
  DL_FOREACH (p->answers, call)
    if (call->event.deadline_us < next)
      next = call->event.deadline_us;
  TALLOC_FREE (p->wake);
  plan (p, now, next);
}

int
claims_init (struct claims *cls, void *parent,
             const struct claim_settings *set, struct log_store *st,
             struct tevent_context *ev, const struct clock *clk)
{
  struct append_queue_settings queue = append_queue_settings_default;
  struct claim_core_settings core = { set, 0, CONTACT_US };
  cls->priv = NULL;
  if (strlen (set->stream) > STREAM_MAX_BYTES
      || set->key_lifetime_ms < LIFETIME_MIN_MS || set->appends_per_s == 0)
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
  p->asked_time_us = clock_now_us (clk) - TIME_INTERVAL_US;
  p->bad_offset = UINT64_MAX;
  memcpy (p->stream, set->stream, strlen (set->stream));
  queue.appends_per_s = set->appends_per_s;
  p->drain = tevent_create_immediate (p);
  int err = p->drain ? claim_core_init (&p->core, p, &core) : ERR_NOMEM;
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
  if (p->reading)
    p->reading->priv = NULL;
  while (p->answers)
    detach_answer (p, p->answers);
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
    plan (p, now, deadline_us);
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
    plan (p, now, INT64_MAX);
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
    plan (p, now, deadline_us);
  return err;
}
