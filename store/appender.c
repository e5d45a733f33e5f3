#include "store/appender.h"

#include <string.h>
#include <talloc.h>
#include <tevent.h>

#include "base/clock.h"
#include "base/counter.h"
#include "base/err.h"
#include "base/log.h"
#include "base/timer.h"

#define RETRY_MS 100
/* An attempt counts as unanswered after this number of response times, of the
   longer of the last two, within the limits.  A repeat is safe, as the
   sequence number stays.  */
#define TIMEOUT_RESPONSES 4
#define TIMEOUT_MIN_MS 300
#define TIMEOUT_MAX_MS 2000
/* The time doubles with each attempt in a row, up to this.  The attempt that
   an outage of the store ends with is repeated before other processes take
   this one, whose report it may be, for dead.  */
#define TIMEOUT_DOUBLED_MAX_MS 1000
/* One attempt in this many in a row has the longest time: a store that has
   turned slow may answer none of the others in time.  */
#define LONG_ATTEMPT_INTERVAL 4
/* With jobs of a few kilobytes each, a batch stays far below the store's limit
   of 2 MB per call.  */
#define BATCH_ENTRIES_MAX 200
/* Entries beyond this limit are refused at once with ERR_FULL.  */
#define WAITING_ENTRIES_MAX 5000
#define BATCH_MAX_BYTES (1024 * 1024)

struct pending_entry
{
  struct pending_entry *next;
  struct topic_entry entry;
  bool durable;
  appender_fill_fn *fill; /* NULL: the value is in the entry */
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
  struct pending_entry *first, **last;
  size_t waiting;
  struct pending_entry *batch[BATCH_ENTRIES_MAX];
  size_t batch_count;
  bool outcome_unknown;  /* an attempt got no response and may have been
                            applied */
  bool number_unsettled; /* an attempt under the present epoch and sequence
                            number got no response */
  bool refused;          /* nothing can be appended any more */
  /* Attempts to append the batch, for the log.  */
  uint32_t attempts;
  uint32_t unanswered;
  uint32_t rejected;
  bool in_call;
  int64_t sent_us; /* of the attempt in progress */
  /* Response times of the last two attempts that were answered; 0: none.  */
  int64_t response_us[2];
  bool finished; /* appender_fini ran; freed when the call in progress ends */
  int64_t batch_started_us;
  int64_t round_trip_us;
  int64_t last_duration_us;
  struct timer *timer;
};

static void send_batch (struct priv *p);

static void
on_timer (void *arg)
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
  p->timer = timer_add (p->ev, p, ms * 1000, on_timer, p);
}

static void
add_count (struct priv *p, enum counter_id id)
{
  if (p->set.ctr)
    counter_add (p->set.ctr, id, 1);
}

static void
log_batch (struct priv *p, enum log_event_id ev, const char *outcome)
{
  int64_t age_us = clock_now_us (p->clk) - p->batch_started_us;
  log_event (p->set.lg, ev, LOG_S ("topic", p->set.topic),
             LOG_I ("part", p->set.part), LOG_S ("producer", p->set.producer),
             LOG_I ("epoch", p->set.epoch), LOG_I ("sequence", p->sequence),
             LOG_I ("entries", p->batch_count), LOG_S ("outcome", outcome),
             LOG_I ("attempts", p->attempts),
             LOG_I ("unanswered", p->unanswered),
             LOG_I ("rejected", p->rejected), LOG_I ("age_ms", age_us / 1000));
}

/* Notes that the outcome of an attempt is not known.  */
static void
note_unanswered (struct priv *p)
{
  p->unanswered++;
  p->number_unsettled = true;
  if (p->outcome_unknown)
    return;
  p->outcome_unknown = true;
  add_count (p, CTR_APPENDS_UNANSWERED);
  log_batch (p, EV_APPEND_UNANSWERED, "open");
}

static void
note_settled (struct priv *p, const char *outcome)
{
  if (!p->outcome_unknown)
    return;
  add_count (p, CTR_APPENDS_SETTLED);
  log_batch (p, EV_APPEND_SETTLED, outcome);
}

static void
note_mismatch (struct priv *p, uint64_t expected)
{
  add_count (p, CTR_APPENDS_MISMATCHED);
  log_event (p->set.lg, EV_APPEND_MISMATCH, LOG_S ("topic", p->set.topic),
             LOG_I ("part", p->set.part), LOG_S ("producer", p->set.producer),
             LOG_I ("epoch", p->set.epoch), LOG_I ("sequence", p->sequence),
             LOG_I ("expected", expected), LOG_I ("attempts", p->attempts),
             LOG_I ("unanswered", p->unanswered),
             LOG_I ("rejected", p->rejected));
}

static void
reset_attempts (struct priv *p)
{
  p->outcome_unknown = p->number_unsettled = false;
  p->attempts = p->unanswered = p->rejected = 0;
}

static void
complete_batch (struct priv *p, enum appender_outcome out, uint64_t offset)
{
  struct pending_entry *done[BATCH_ENTRIES_MAX];
  size_t count = p->batch_count;
  for (size_t n = 0; n < count; n++)
    done[n] = p->batch[n];
  p->batch_count = 0;
  reset_attempts (p);
  /* Keeps the longer of the last two, because a single fast append is not
     representative.  */
  int64_t took_us = clock_now_us (p->clk) - p->batch_started_us;
  p->round_trip_us
      = took_us > p->last_duration_us ? took_us : p->last_duration_us;
  p->last_duration_us = took_us;
  p->batch_started_us = 0;
  for (size_t n = 0; n < count; n++)
    {
      if (done[n]->fn)
        done[n]->fn (done[n]->arg, out,
                     offset == APPENDER_OFFSET_UNKNOWN ? offset : offset + n);
      talloc_free (done[n]);
    }
  if (p->first)
    schedule (p, 0);
}

/* Goes on under a new epoch, whose first append fences earlier attempts.  The
   number differs from earlier ones too, as the store may tell repeats by the
   number alone.  */
static void
raise_epoch (struct priv *p)
{
  p->set.epoch++;
  p->sequence++;
  p->number_unsettled = false;
}

/* After a rejection, fails the entries that are not durable and keeps the
   others as the batch to be retried.  The next append may carry other entries,
   so it gets another epoch: if the rejected one was carried out all the same,
   the store would answer a used number with the response to that one.  With a
   shared name all entries are kept and sent alone again.  */
static void
handle_rejection (struct priv *p)
{
  if (p->set.shared_name)
    {
      schedule (p, RETRY_MS);
      return;
    }
  raise_epoch (p);
  size_t durable_count = 0;
  struct pending_entry *failed[BATCH_ENTRIES_MAX];
  size_t count = 0;
  for (size_t n = 0; n < p->batch_count; n++)
    if (p->batch[n]->durable)
      p->batch[durable_count++] = p->batch[n];
    else
      failed[count++] = p->batch[n];
  p->batch_count = durable_count;
  if (durable_count == 0)
    {
      p->batch_started_us = 0;
      reset_attempts (p);
    }
  for (size_t n = 0; n < count; n++)
    {
      if (failed[n]->fn)
        failed[n]->fn (failed[n]->arg, APPENDER_NOT_DONE, 0);
      talloc_free (failed[n]);
    }
  if (p->batch_count > 0 || p->first)
    schedule (p, RETRY_MS);
}

/* Ends the batch and all later entries: the store takes no appends under this
   epoch.  */
static void
refuse (struct priv *p, const char *outcome)
{
  note_settled (p, outcome);
  p->refused = true;
  complete_batch (p, p->outcome_unknown ? APPENDER_UNKNOWN : APPENDER_FENCED,
                  0);
}

/* Handles a sequence number that is not the producer's next one.  An epoch and
   number under which an attempt was sent are never used for other entries: the
   store would answer these as a repeat of the first ones.  So the appender
   does not adopt a number from the store; it goes on under another epoch, or
   ends.  */
static void
handle_mismatch (struct priv *p, uint64_t expected)
{
  note_mismatch (p, expected);
  /* The store expects the next number, so an attempt without a response has
     been applied; the store no longer holds the response to it.  */
  if (p->number_unsettled && expected == p->sequence + 1)
    {
      note_settled (p, "stored_by_sequence");
      p->sequence++;
      complete_batch (p, APPENDER_DONE, APPENDER_OFFSET_UNKNOWN);
      return;
    }
  if (p->set.shared_name)
    {
      refuse (p, "unknown");
      return;
    }
  /* Earlier attempts are fenced by the first append under the new epoch.  */
  raise_epoch (p);
  schedule (p, RETRY_MS);
}

/* Time after which the next attempt counts as unanswered.  */
static int64_t
timeout_ms (const struct priv *p)
{
  int64_t longest_us = p->response_us[0] > p->response_us[1]
                           ? p->response_us[0]
                           : p->response_us[1];
  int64_t ms = longest_us * TIMEOUT_RESPONSES / 1000;
  if (ms < TIMEOUT_MIN_MS)
    ms = TIMEOUT_MIN_MS;
  if (ms >= TIMEOUT_DOUBLED_MAX_MS)
    return ms < TIMEOUT_MAX_MS ? ms : TIMEOUT_MAX_MS;
  if (p->unanswered % LONG_ATTEMPT_INTERVAL == LONG_ATTEMPT_INTERVAL - 1)
    return TIMEOUT_MAX_MS;
  for (uint32_t n = 0; n < p->unanswered && ms < TIMEOUT_DOUBLED_MAX_MS; n++)
    ms *= 2;
  return ms < TIMEOUT_DOUBLED_MAX_MS ? ms : TIMEOUT_DOUBLED_MAX_MS;
}

static void
note_response_time (struct priv *p)
{
  p->response_us[1] = p->response_us[0];
  p->response_us[0] = clock_now_us (p->clk) - p->sent_us;
}

static void
on_append (void *arg, const struct topic_append_result *res)
{
  struct priv *p = arg;
  p->in_call = false;
  if (!p->finished && res->status != TOPIC_UNKNOWN)
    note_response_time (p);
  if (p->finished)
    {
      talloc_free (p);
      return;
    }
  switch (res->status)
    {
    case TOPIC_APPENDED:
      note_settled (p, "stored");
      p->sequence++;
      complete_batch (p, APPENDER_DONE, res->offset);
      return;
    case TOPIC_FENCED:
      refuse (p, "fenced");
      return;
    case TOPIC_SEQUENCE_MISMATCH:
      handle_mismatch (p, res->expected_sequence);
      return;
    case TOPIC_UNKNOWN:
    case TOPIC_END_MISMATCH:
      note_unanswered (p);
      schedule (p, RETRY_MS);
      return;
    case TOPIC_REJECTED:
    case TOPIC_FULL:
      p->rejected++;
      if (p->outcome_unknown)
        schedule (p, RETRY_MS);
      else
        handle_rejection (p);
      return;
    }
}

/* Gets the value of IT, which is about to be sent.  Returns false after it has
   completed without one.  */
static bool
fill_entry (struct pending_entry *it)
{
  const uint8_t *value;
  size_t len;
  if (!it->fill)
    return true;
  if (it->fill (it->arg, &value, &len) == 0)
    {
      it->entry.value = talloc_memdup (it, value, len);
      it->entry.value_len = len;
      if (it->entry.value)
        return true;
    }
  it->fn (it->arg, APPENDER_NOT_DONE, 0);
  talloc_free (it);
  return false;
}

static void
fill_batch (struct priv *p)
{
  size_t bytes = 0;
  for (size_t n = 0; n < p->batch_count; n++)
    bytes += p->batch[n]->entry.value_len;
  while (p->first && p->batch_count < BATCH_ENTRIES_MAX
         && bytes < BATCH_MAX_BYTES)
    {
      struct pending_entry *it = p->first;
      p->first = it->next;
      if (!p->first)
        p->last = &p->first;
      p->waiting--;
      if (!fill_entry (it))
        continue;
      bytes += it->entry.value_len;
      p->batch[p->batch_count++] = it;
    }
}

static void
send_batch (struct priv *p)
{
  struct topic_entry entries[BATCH_ENTRIES_MAX];
  if (p->in_call)
    return;
  /* A repeated append has to carry the same entries.  */
  if (!p->outcome_unknown && !(p->set.shared_name && p->attempts > 0))
    fill_batch (p);
  if (p->batch_count == 0)
    return;
  if (p->refused)
    {
      complete_batch (p, APPENDER_FENCED, 0);
      return;
    }
  for (size_t n = 0; n < p->batch_count; n++)
    entries[n] = p->batch[n]->entry;
  if (!p->batch_started_us)
    p->batch_started_us = clock_now_us (p->clk);
  struct topic_append app = {
    .topic = p->set.topic,
    .part = p->set.part,
    .producer = p->set.producer,
    .epoch = p->set.epoch,
    .sequence = p->sequence,
    .entries = entries,
    .count = p->batch_count,
    .timeout_ms = timeout_ms (p),
  };
  p->sent_us = clock_now_us (p->clk);
  if (topic_append (p->st, &app, on_append, p))
    schedule (p, RETRY_MS);
  else
    {
      p->in_call = true;
      p->attempts++;
    }
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

static struct pending_entry *
make_entry (struct priv *p, const struct topic_entry *entry, bool durable,
            appender_fn *fn, void *arg)
{
  struct pending_entry *it = talloc_zero (p, struct pending_entry);
  if (!it)
    return NULL;
  it->entry = *entry;
  it->entry.key = talloc_memdup (it, entry->key, entry->key_len);
  if (entry->value)
    it->entry.value = talloc_memdup (it, entry->value, entry->value_len);
  it->durable = durable;
  it->fn = fn;
  it->arg = arg;
  p->waiting++;
  if (p->batch_count == 0)
    schedule (p, 0);
  return it;
}

int
appender_add (struct appender *app, const struct topic_entry *entry,
              bool durable, appender_fn *fn, void *arg)
{
  struct priv *p = app->priv;
  if (p->waiting >= WAITING_ENTRIES_MAX)
    return ERR_FULL;
  struct pending_entry *it = make_entry (p, entry, durable, fn, arg);
  if (!it)
    return ERR_NOMEM;
  *p->last = it;
  p->last = &it->next;
  return 0;
}

int
appender_add_first (struct appender *app, const char *key,
                    appender_fill_fn *fill, appender_fn *fn, void *arg)
{
  struct priv *p = app->priv;
  const struct topic_entry entry = { .key = key, .key_len = strlen (key) };
  struct pending_entry *it = make_entry (p, &entry, true, fn, arg);
  if (!it)
    return ERR_NOMEM;
  it->fill = fill;
  it->next = p->first;
  p->first = it;
  if (!it->next)
    p->last = &it->next;
  return 0;
}

int64_t
appender_pending_us (const struct appender *app)
{
  const struct priv *p = app->priv;
  return p->batch_started_us ? clock_now_us (p->clk) - p->batch_started_us : 0;
}

int64_t
appender_round_trip_us (const struct appender *app)
{
  return app->priv->round_trip_us;
}
