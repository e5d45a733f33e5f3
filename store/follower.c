#include "store/follower.h"

#include <string.h>
#include <talloc.h>
#include <tevent.h>
#include <xxhash.h>

#include "base/clock.h"
#include "base/err.h"
#include "base/log.h"
#include "base/timer.h"
#include "store/read_pace.h"

/* Delay before the next read of a topic that does not exist yet, or when no
   call could be started.  */
#define RETRY_MS 200
/* Successive failed reads that count as an outage.  */
#define OUTAGE_FAILURES 2

/* Least time between two confirmations, and how often it is doubled while they
   fail.  */
#define CONFIRM_INTERVAL_US 100000
#define CONFIRM_DOUBLINGS_MAX 4

struct priv
{
  struct topic_store *st;
  struct tevent_context *ev;
  const struct clock *clk;
  struct follower_settings set;
  follower_record_fn *record_fn;
  follower_batch_fn *batch_fn;
  void *arg;
  struct read_pace pace;
  struct timer *timer;
  uint64_t next_offset;
  bool first_read;        /* the first page has been read */
  bool began_empty;       /* it told of no records before */
  uint64_t newest_end;    /* of the partition, when the read of the newest
                             records began */
  uint64_t delivered_end; /* the pages of newest records show none at or after
                             it */
  int64_t retry_us;       /* when the read after a failed one begins */
  int64_t read_started_us;
  int64_t read_wait_ms; /* of the call in progress */
  int64_t caught_up_us;
  bool in_call;
  bool in_confirm; /* a read of follower_confirm is in progress */
  int64_t confirm_sent_us;
  int64_t next_confirm_us;   /* no such read before this time */
  uint32_t confirm_failures; /* since the last one that had an answer */
  uint64_t confirm_offset;
  bool finished; /* follower_fini ran; freed when the calls in progress end */
  bool in_order;
  bool at_end;          /* no call has failed since the end was reached */
  bool restart_pending; /* the next call reads the newest records again */
  bool first_page;
  char *last_key; /* last key of the previous page; NULL: no page read yet */
  size_t last_key_len;
};

static void start_call (struct priv *p);

static void
on_timer (void *arg)
{
  struct priv *p = arg;
  p->timer = NULL;
  start_call (p);
}

static void
schedule (struct priv *p, int64_t ms)
{
  talloc_free (p->timer);
  p->timer = timer_add (p->ev, p, ms * 1000, on_timer, p);
}

static void
begin_newest_read (struct priv *p)
{
  p->in_order = false;
  p->at_end = false;
  p->first_page = true;
  TALLOC_FREE (p->last_key);
  p->last_key_len = 0;
}

static void
deliver (struct priv *p, const struct topic_read_result *res)
{
  for (size_t n = 0; n < res->count; n++)
    p->record_fn (p->arg, &res->records[n]);
}

static const char *const outcome_names[TOPIC_CALL_OUTCOMES]
    = { "invalid", "not_connected", "no_response", "partly_received",
        "rejected" };

static void
log_read (const struct priv *p, enum log_event_id id,
          const struct topic_read_result *res)
{
  const struct topic_call *call = &res->call;
  int64_t now_us = clock_now_us (p->clk);
  log_event (
      p->set.lg, id, LOG_S ("topic", p->set.topic),
      LOG_I ("part", p->set.part),
      LOG_S ("kind", p->in_order ? "order" : "newest"),
      LOG_S ("outcome", res->err ? outcome_names[call->outcome] : "answered"),
      LOG_I ("failures", p->pace.failures), LOG_I ("reused", call->reused),
      LOG_I ("connect_ms", call->connect_us / 1000),
      LOG_I ("waited_ms", call->waited_us / 1000),
      LOG_I ("age_ms",
             p->caught_up_us ? (now_us - p->caught_up_us) / 1000 : -1));
}

static void
read_failed (struct priv *p, const struct topic_read_result *res)
{
  bool responded = res->call.outcome == TOPIC_CALL_REJECTED
                   || res->call.outcome == TOPIC_CALL_ANSWERED;
  bool silenced
      = res->call.outcome == TOPIC_CALL_NO_RESPONSE && res->call.reused;
  int64_t delay_ms = responded ? read_pace_failed (&p->pace)
                               : read_pace_unanswered (&p->pace, silenced);
  p->at_end = false;
  if (p->pace.failures == 1)
    log_read (p, EV_READ_FAILED, res);
  p->retry_us = clock_now_us (p->clk) + delay_ms * 1000;
  schedule (p, delay_ms);
}

static void
read_succeeded (struct priv *p, const struct topic_read_result *res, bool full)
{
  if (p->pace.failures > 0)
    log_read (p, EV_READ_RECOVERED, res);
  /* A read that a record has ended early does not tell how long a response
     takes.  */
  int64_t took_ms = res->call.waited_us / 1000 - p->read_wait_ms;
  if (took_ms >= 0)
    read_pace_responded (&p->pace, took_ms);
  read_pace_succeeded (&p->pace, full);
}

/* Returns whether follower_fini ran during the call; P is freed then.  */
static bool
call_ended (struct priv *p)
{
  bool finished = p->finished;
  p->in_call = false;
  if (finished && !p->in_confirm)
    talloc_free (p);
  return finished;
}

/* The next confirmation waits longer after each failure, and by a part that
   differs between processes.  */
static void
delay_confirm (struct priv *p, bool failed)
{
  p->confirm_failures = failed ? p->confirm_failures + 1 : 0;
  uint32_t doublings = p->confirm_failures < CONFIRM_DOUBLINGS_MAX
                           ? p->confirm_failures
                           : CONFIRM_DOUBLINGS_MAX;
  uint64_t delay_us = (uint64_t)CONFIRM_INTERVAL_US << doublings;
  if (failed)
    delay_us += XXH64 (&p->confirm_sent_us, sizeof p->confirm_sent_us,
                       p->set.seed + p->set.part)
                % delay_us;
  p->next_confirm_us = p->confirm_sent_us + (int64_t)delay_us;
}

static void
on_confirm (void *arg, const struct topic_read_result *res)
{
  struct priv *p = arg;
  p->in_confirm = false;
  if (p->finished)
    {
      if (!p->in_call)
        talloc_free (p);
      return;
    }
  delay_confirm (p, res->err != 0);
  /* Records that this read found are delivered by the other one.  */
  if (!p->in_order || !p->at_end || res->err || res->count > 0
      || res->end_offset > p->confirm_offset
      || p->caught_up_us >= p->confirm_sent_us)
    return;
  p->caught_up_us = p->confirm_sent_us;
  p->batch_fn (p->arg);
}

/* Moves to the last key of the page RES.  An item that cannot be read has an
   empty key, which comes before all others; the next page then begins with
   that item.  Returns false when the next page would be one that was read
   before.  The records behind it are then read in order, as their writers
   repeat them.  */
static bool
advance (struct priv *p, const struct topic_read_result *res)
{
  const struct topic_entry *last = NULL;
  for (size_t n = 0; n < res->count; n++)
    if (!last || res->records[n].entry.key_len > 0)
      last = &res->records[n].entry;
  if (!last
      || (p->last_key
          && (last->key_len == 0
              || (p->last_key_len == last->key_len
                  && memcmp (p->last_key, last->key, last->key_len) == 0))))
    return false;
  char *key = talloc_size (p, last->key_len + 1);
  if (!key)
    return true; /* the same page is read again */
  memcpy (key, last->key, last->key_len);
  talloc_free (p->last_key);
  p->last_key = key;
  p->last_key_len = last->key_len;
  return true;
}

static void
on_newest (void *arg, const struct topic_read_result *res)
{
  struct priv *p = arg;
  if (call_ended (p))
    return;
  if (res->err && res->err != ERR_NOT_FOUND)
    {
      read_failed (p, res);
      return;
    }
  if (p->first_page)
    p->newest_end = res->end_offset;
  if (!p->first_read)
    p->began_empty = res->end_offset == 0;
  p->first_read = true;
  p->first_page = false;
  /* A page also shows what was deleted up to the end that it names, by the
     absence of keys.  */
  if (res->end_offset > p->delivered_end)
    p->delivered_end = res->end_offset;
  for (size_t n = 0; n < res->count; n++)
    if (res->records[n].offset >= p->delivered_end)
      p->delivered_end = res->records[n].offset + 1;
  deliver (p, res);
  read_succeeded (p, res, false);
  p->in_order = !res->more || !advance (p, res);
  if (p->in_order)
    p->next_offset = p->newest_end;
  p->batch_fn (p->arg);
  schedule (p, res->err ? RETRY_MS : 0);
}

static void
on_read (void *arg, const struct topic_read_result *res)
{
  struct priv *p = arg;
  if (call_ended (p))
    return;
  if (res->err == ERR_EXPIRED)
    {
      begin_newest_read (p);
      schedule (p, 0);
      return;
    }
  if (res->err && res->err != ERR_NOT_FOUND)
    {
      read_failed (p, res);
      return;
    }
  deliver (p, res);
  if (res->count > 0)
    p->next_offset = res->records[res->count - 1].offset + 1;
  bool behind = p->next_offset < res->end_offset;
  read_succeeded (p, res, behind);
  p->at_end = p->next_offset >= res->end_offset;
  if (p->at_end)
    p->caught_up_us = p->read_started_us;
  else if (p->set.newest_only)
    begin_newest_read (p);
  p->batch_fn (p->arg);
  /* Without a record although some are left, the page was too small.  */
  bool page_too_small = behind && res->count == 0;
  if (res->err || page_too_small)
    schedule (p, RETRY_MS);
  else
    schedule (p, res->count > 0 && !behind ? p->set.batch_delay_ms : 0);
}

static void
start_call (struct priv *p)
{
  int err;
  if (p->restart_pending
      || (p->set.newest_only && p->in_order
          && p->pace.failures >= OUTAGE_FAILURES))
    begin_newest_read (p);
  p->restart_pending = false;
  /* Does not wait before the end of the partition is reached, and after a
     failure, so that the store reports at once whether any records are left to
     read.  */
  p->read_wait_ms = p->in_order && p->at_end ? p->set.wait_ms : 0;
  p->read_started_us = clock_now_us (p->clk);
  if (p->in_order)
    err = topic_read (p->st, p->set.topic, p->set.part, p->next_offset,
                      p->pace.page_kb, p->read_wait_ms, p->pace.timeout_ms,
                      on_read, p);
  else
    {
      const struct topic_key after = { p->last_key, p->last_key_len };
      /* A page of the newest records is larger than most pages read in order,
         so it gets the store's longer default when that time is not enough. */
      bool is_short = p->set.newest_only
                      && p->pace.timeout_ms < READ_PACE_TIMEOUT_MAX_MS;
      err = topic_read_newest (
          p->st, p->set.topic, p->set.part, p->last_key ? &after : NULL,
          is_short ? p->pace.timeout_ms : 0, on_newest, p);
    }
  p->in_call = err == 0;
  if (err)
    schedule (p, RETRY_MS);
}

int
follower_init (struct follower *fol, void *parent, struct topic_store *st,
               struct tevent_context *ev, const struct clock *clk,
               const struct follower_settings *set,
               follower_record_fn *record_fn, follower_batch_fn *batch_fn,
               void *arg)
{
  struct priv *p = talloc_zero (parent, struct priv);
  if (!p)
    return ERR_NOMEM;
  p->st = st;
  p->ev = ev;
  p->clk = clk;
  p->set = *set;
  p->set.topic = talloc_strdup (p, set->topic);
  p->record_fn = record_fn;
  p->batch_fn = batch_fn;
  p->arg = arg;
  read_pace_init (&p->pace, set->retry_max_ms, set->seed + set->part);
  read_pace_set_timeout (&p->pace, set->timeout_ms);
  begin_newest_read (p);
  fol->priv = p;
  schedule (p, 0);
  return 0;
}

void
follower_fini (struct follower *fol)
{
  struct priv *p = fol->priv;
  fol->priv = NULL;
  if (!p)
    return;
  TALLOC_FREE (p->timer);
  p->finished = true;
  if (!p->in_call && !p->in_confirm)
    talloc_free (p);
}

void
follower_restart (struct follower *fol)
{
  /* A read in progress is completed and its records are delivered first.  */
  fol->priv->restart_pending = true;
}

bool
follower_read_now (struct follower *fol, int64_t answer_ms)
{
  struct priv *p = fol->priv;
  int64_t recent_us = clock_now_us (p->clk) - answer_ms * 1000;
  if (!p->at_end || p->pace.failures > 0)
    return false;
  if (!p->in_call && p->read_started_us <= recent_us)
    {
      TALLOC_FREE (p->timer);
      start_call (p);
    }
  return p->in_call && p->read_started_us > recent_us;
}

void
follower_confirm (struct follower *fol)
{
  struct priv *p = fol->priv;
  int64_t now_us = clock_now_us (p->clk);
  if (!p->at_end || p->in_confirm || now_us < p->next_confirm_us)
    return;
  p->confirm_sent_us = now_us;
  p->confirm_offset = p->next_offset;
  p->in_confirm
      = topic_read (p->st, p->set.topic, p->set.part, p->next_offset,
                    p->pace.page_kb, 0, p->pace.timeout_ms, on_confirm, p)
        == 0;
}

void
follower_retry_within (struct follower *fol, int64_t ms)
{
  struct priv *p = fol->priv;
  int64_t now_us = clock_now_us (p->clk);
  if (p->in_call || p->pace.failures == 0 || p->retry_us <= now_us + ms * 1000)
    return;
  /* The delays differ between readers, as after a failure.  */
  uint64_t delay_us = XXH64 (&now_us, sizeof now_us, p->set.seed + p->set.part)
                      % ((uint64_t)ms * 1000 + 1);
  p->retry_us = now_us + (int64_t)delay_us;
  schedule (p, (int64_t)delay_us / 1000);
}

bool
follower_restarted (const struct follower *fol)
{
  return !fol->priv->restart_pending && fol->priv->in_order;
}

void
follower_set_batch_delay (struct follower *fol, int64_t batch_delay_ms)
{
  fol->priv->set.batch_delay_ms = batch_delay_ms;
}

void
follower_set_wait (struct follower *fol, int64_t wait_ms)
{
  fol->priv->set.wait_ms = wait_ms;
}

void
follower_set_retry_max (struct follower *fol, int64_t retry_max_ms)
{
  read_pace_set_delay_max (&fol->priv->pace, retry_max_ms);
}

bool
follower_caught_up (const struct follower *fol)
{
  return fol->priv->caught_up_us != 0;
}

bool
follower_began_empty (const struct follower *fol)
{
  return fol->priv->began_empty;
}

bool
follower_in_order (const struct follower *fol)
{
  return fol->priv->in_order;
}

bool
follower_consistent (const struct follower *fol)
{
  const struct priv *p = fol->priv;
  return p->in_order && p->next_offset >= p->delivered_end;
}

uint64_t
follower_next_offset (const struct follower *fol)
{
  return fol->priv->next_offset;
}

int64_t
follower_caught_up_us (const struct follower *fol)
{
  return fol->priv->caught_up_us;
}
