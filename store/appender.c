#include "store/appender.h"

#include <string.h>
#include <talloc.h>
#include <tevent.h>

#include "base/clock.h"
#include "base/err.h"

/* Pause before an append is repeated.  */
#define RETRY_MS 100
/* Entries of one append; with jobs of some kilobytes far below the store's
   bound of 2 MB a call.  */
#define BATCH_MAX 200
/* Entries that wait; beyond it callers are told at once.  */
#define WAITING_MAX 5000
#define BATCH_MAX_BYTES (1024 * 1024)

struct item
{
  struct item *next;
  struct topic_entry entry;
  bool durable;
  appender_fn *fn;
  void *arg;
};

struct priv
{
  struct topic_store *st;
  struct tevent_context *ev;
  const struct clock *clk;
  struct appender_settings set;
  uint64_t sequence;
  struct item *first, **last;
  size_t waiting;
  struct item *batch[BATCH_MAX];
  size_t batch_count;
  bool unknown; /* some try of the batch had no answer */
  bool in_call;
  bool finished; /* freed when the call in progress ends */
  int64_t since_us;
  int64_t round_trip_us;
  int64_t last_took_us;
  struct tevent_timer *timer;
};

static void send_batch (struct priv *p);

static void
on_timer (struct tevent_context *ev, struct tevent_timer *te,
          struct timeval tv, void *arg)
{
  struct priv *p = arg;
  p->timer = NULL;
  send_batch (p);
}

static void
schedule (struct priv *p, int64_t ms)
{
  if (p->timer)
    return;
  p->timer = tevent_add_timer (
      p->ev, p, tevent_timeval_current_ofs (ms / 1000, ms % 1000 * 1000),
      on_timer, p);
}

static void
settle (struct priv *p, enum appender_outcome out, uint64_t offset)
{
  struct item *done[BATCH_MAX];
  size_t count = p->batch_count;
  for (size_t n = 0; n < count; n++)
    done[n] = p->batch[n];
  p->batch_count = 0;
  p->unknown = false;
  /* The longer of the last two, as one quick append says little.  */
  int64_t took_us = clock_now_us (p->clk) - p->since_us;
  p->round_trip_us = took_us > p->last_took_us ? took_us : p->last_took_us;
  p->last_took_us = took_us;
  p->since_us = 0;
  for (size_t n = 0; n < count; n++)
    {
      if (done[n]->fn)
        done[n]->fn (done[n]->arg, out, offset + n);
      talloc_free (done[n]);
    }
  if (p->first)
    schedule (p, 0);
}

/* After a rejection the entries that may be told are told; the others stay the
   batch.  */
static void
settle_rejected (struct priv *p)
{
  size_t kept = 0;
  struct item *told[BATCH_MAX];
  size_t count = 0;
  for (size_t n = 0; n < p->batch_count; n++)
    if (p->batch[n]->durable)
      p->batch[kept++] = p->batch[n];
    else
      told[count++] = p->batch[n];
  p->batch_count = kept;
  if (kept == 0)
    p->since_us = 0;
  for (size_t n = 0; n < count; n++)
    {
      if (told[n]->fn)
        told[n]->fn (told[n]->arg, APPENDER_NOT_DONE, 0);
      talloc_free (told[n]);
    }
  if (p->batch_count > 0 || p->first)
    schedule (p, RETRY_MS);
}

static void
on_append (void *arg, const struct topic_append_result *res)
{
  struct priv *p = arg;
  p->in_call = false;
  if (p->finished)
    {
      talloc_free (p);
      return;
    }
  switch (res->status)
    {
    case TOPIC_APPENDED:
      p->sequence++;
      settle (p, APPENDER_DONE, res->offset);
      return;
    case TOPIC_FENCED:
      settle (p, APPENDER_FENCED, 0);
      return;
    case TOPIC_SEQUENCE:
      /* A try without an answer was applied, and the store has forgotten its
         answer.  */
      if (p->unknown && res->expected_sequence == p->sequence + 1)
        {
          p->sequence++;
          settle (p, APPENDER_DONE, 0);
          return;
        }
      p->sequence = res->expected_sequence;
      schedule (p, RETRY_MS);
      return;
    case TOPIC_UNKNOWN:
    case TOPIC_MOVED:
      p->unknown = true;
      schedule (p, RETRY_MS);
      return;
    case TOPIC_REJECTED:
    case TOPIC_FULL:
      if (p->unknown)
        schedule (p, RETRY_MS);
      else
        settle_rejected (p);
      return;
    }
}

static void
fill_batch (struct priv *p)
{
  size_t bytes = 0;
  for (size_t n = 0; n < p->batch_count; n++)
    bytes += p->batch[n]->entry.value_len;
  while (p->first && p->batch_count < BATCH_MAX && bytes < BATCH_MAX_BYTES)
    {
      struct item *it = p->first;
      p->first = it->next;
      if (!p->first)
        p->last = &p->first;
      p->waiting--;
      bytes += it->entry.value_len;
      p->batch[p->batch_count++] = it;
    }
}

static void
send_batch (struct priv *p)
{
  struct topic_entry entries[BATCH_MAX];
  if (p->in_call)
    return;
  /* A repeat has to carry the same entries.  */
  if (!p->unknown)
    fill_batch (p);
  if (p->batch_count == 0)
    return;
  for (size_t n = 0; n < p->batch_count; n++)
    entries[n] = p->batch[n]->entry;
  if (!p->since_us)
    p->since_us = clock_now_us (p->clk);
  struct topic_append app = {
    .topic = p->set.topic,
    .part = p->set.part,
    .producer = p->set.producer,
    .epoch = p->set.epoch,
    .sequence = p->sequence,
    .entries = entries,
    .count = p->batch_count,
  };
  if (topic_append (p->st, &app, on_append, p))
    schedule (p, RETRY_MS);
  else
    p->in_call = true;
}

int
appender_init (struct appender *app, void *parent, struct topic_store *st,
               struct tevent_context *ev, const struct clock *clk,
               const struct appender_settings *set)
{
  struct priv *p = talloc_zero (parent, struct priv);
  if (!p)
    return ERR_NOMEM;
  p->st = st;
  p->ev = ev;
  p->clk = clk;
  p->set = *set;
  p->set.topic = talloc_strdup (p, set->topic);
  p->set.producer = talloc_strdup (p, set->producer);
  p->last = &p->first;
  app->priv = p;
  return 0;
}

void
appender_fini (struct appender *app)
{
  struct priv *p = app->priv;
  app->priv = NULL;
  if (!p)
    return;
  TALLOC_FREE (p->timer);
  p->finished = true;
  if (!p->in_call)
    talloc_free (p);
}

int
appender_add (struct appender *app, const struct topic_entry *entry,
              bool durable, appender_fn *fn, void *arg)
{
  struct priv *p = app->priv;
  if (p->waiting >= WAITING_MAX)
    return ERR_FULL;
  struct item *it = talloc_zero (p, struct item);
  if (!it)
    return ERR_NOMEM;
  it->entry = *entry;
  it->entry.key = talloc_memdup (it, entry->key, entry->key_len);
  it->entry.value = talloc_memdup (it, entry->value, entry->value_len);
  it->durable = durable;
  it->fn = fn;
  it->arg = arg;
  *p->last = it;
  p->last = &it->next;
  p->waiting++;
  if (p->batch_count == 0)
    schedule (p, 0);
  return 0;
}

int64_t
appender_stalled_us (const struct appender *app)
{
  const struct priv *p = app->priv;
  return p->since_us ? clock_now_us (p->clk) - p->since_us : 0;
}

int64_t
appender_round_trip_us (const struct appender *app)
{
  return app->priv->round_trip_us;
}
