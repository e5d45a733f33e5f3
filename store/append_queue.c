#include "store/append_queue.h"

#include <stdbool.h>
#include <string.h>
#include <talloc.h>
#include <tevent.h>
#include <utlist.h>

#include "base/clock.h"
#include "base/err.h"

const struct append_queue_settings append_queue_settings_default = {
  .appends_per_s = 20,
  .burst = 5,
  .max_waiting = 256,
  .pause_ms = 50,
};

#define US_PER_S 1000000

struct job
{
  struct job *prev;
  struct job *next;
  struct priv *priv;
  char *stream;
  uint8_t *data; /* NULL: made by fill */
  size_t len;
  append_fill_fn *fill;
  append_fn *fn;
  void *arg;
};

struct priv
{
  void *parent;
  struct append_queue_settings set;
  struct log_store *st;
  struct tevent_context *ev;
  const struct clock *clk;
  struct tevent_timer *timer;
  struct job *waiting[APPEND_PRIORITIES];
  struct job *running;
  uint32_t count;
  /* Token bucket as a theoretical time of the next append, which may lie up
     to burst - 1 intervals ahead of the clock.  */
  int64_t next_us;
  int64_t not_before_us; /* the log asked to wait */
};

static void schedule (struct priv *p, int64_t delay_us);

static int64_t
interval_us (const struct priv *p)
{
  return US_PER_S / p->set.appends_per_s;
}

/* Time until the next append may start; 0: now.  */
static int64_t
delay_us (const struct priv *p, int64_t now)
{
  int64_t slack = interval_us (p) * (p->set.burst - 1);
  int64_t delay = p->next_us - slack - now;
  if (p->not_before_us - now > delay)
    delay = p->not_before_us - now;
  return delay > 0 ? delay : 0;
}

static void
take_token (struct priv *p, int64_t now)
{
  if (p->next_us < now)
    p->next_us = now;
  p->next_us += interval_us (p);
}

static void
finish (struct job *job, const struct append_result *res)
{
  append_fn *fn = job->fn;
  void *arg = job->arg;
  talloc_free (job);
  fn (arg, res);
}

static void
on_append (void *arg, const struct append_result *res)
{
  struct job *job = arg;
  struct priv *p = job->priv;
  if (!p) /* finished meanwhile */
    {
      talloc_free (job);
      return;
    }
  DL_DELETE (p->running, job);
  if (res->status == APPEND_NOT_DONE)
    {
      int64_t wait
          = res->retry_after_ms ? res->retry_after_ms : p->set.pause_ms;
      int64_t until = clock_now_us (p->clk) + wait * 1000;
      if (until > p->not_before_us)
        p->not_before_us = until;
    }
  schedule (p, 0);
  finish (job, res);
}

static bool
stream_busy (const struct priv *p, const char *stream)
{
  const struct job *job;
  DL_FOREACH (p->running, job)
    if (strcmp (job->stream, stream) == 0)
      return true;
  return false;
}

static struct job *
next_job (struct priv *p)
{
  struct job *job;
  for (int prio = 0; prio < APPEND_PRIORITIES; prio++)
    DL_FOREACH (p->waiting[prio], job)
      if (!stream_busy (p, job->stream))
        {
          DL_DELETE (p->waiting[prio], job);
          p->count--;
          return job;
        }
  return NULL;
}

/* Starts JOB, or ends it as not done.  Returns whether it took a token.  */
static bool
start (struct priv *p, struct job *job)
{
  const uint8_t *data = job->data;
  size_t len = job->len;
  int err = data ? 0 : job->fill (job->arg, &data, &len);
  if (err == 0)
    err = log_store_append (p->st, job->stream, data, len, on_append, job);
  if (err == 0)
    {
      DL_APPEND (p->running, job);
      return true;
    }
  finish (job, &(struct append_result){ .status = APPEND_NOT_DONE });
  return false;
}

static void
on_timer (struct tevent_context *ev, struct tevent_timer *te,
          struct timeval tv, void *arg)
{
  struct priv *p = arg;
  int64_t now = clock_now_us (p->clk);
  p->timer = NULL;
  int64_t delay = delay_us (p, now);
  if (delay > 0)
    {
      schedule (p, delay);
      return;
    }
  struct job *job = next_job (p);
  if (!job)
    return;
  schedule (p, 0);
  /* A job that ended without a call may have finished the queue.  */
  if (start (p, job))
    take_token (p, now);
}

/* Looks for work after DELAY, unless that is planned sooner already.  */
static void
schedule (struct priv *p, int64_t delay)
{
  if (p->timer && delay > 0)
    return;
  TALLOC_FREE (p->timer);
  struct timeval at = tevent_timeval_current_ofs (
      (uint32_t)(delay / US_PER_S), (uint32_t)(delay % US_PER_S));
  p->timer = tevent_add_timer (p->ev, p, at, on_timer, p);
}

int
append_queue_init (struct append_queue *aq, void *parent,
                   const struct append_queue_settings *set,
                   struct log_store *st, struct tevent_context *ev,
                   const struct clock *clk)
{
  aq->priv = NULL;
  if (set->appends_per_s == 0 || set->appends_per_s > US_PER_S
      || set->burst == 0 || set->max_waiting == 0 || set->pause_ms < 0)
    return ERR_INVALID;
  struct priv *p = talloc_zero (parent, struct priv);
  if (!p)
    return ERR_NOMEM;
  p->parent = parent;
  p->set = *set;
  p->st = st;
  p->ev = ev;
  p->clk = clk;
  p->next_us = clock_now_us (clk);
  aq->priv = p;
  return 0;
}

void
append_queue_fini (struct append_queue *aq)
{
  struct priv *p = aq->priv;
  struct job *job;
  struct job *tmp;
  if (!p)
    return;
  aq->priv = NULL;
  DL_FOREACH_SAFE (p->running, job, tmp)
    {
      job->priv = NULL;
      talloc_steal (p->parent, job);
    }
  talloc_free (p);
}

static int
enqueue (struct append_queue *aq, enum append_priority prio,
         const char *stream, const struct job *tmpl)
{
  struct priv *p = aq->priv;
  if (p->count >= p->set.max_waiting)
    return ERR_FULL;
  struct job *job = talloc (p, struct job);
  if (!job)
    return ERR_NOMEM;
  *job = *tmpl;
  job->priv = p;
  job->stream = talloc_strdup (job, stream);
  if (tmpl->data)
    job->data = talloc_memdup (job, tmpl->data, tmpl->len);
  if (!job->stream || (tmpl->data && !job->data))
    {
      talloc_free (job);
      return ERR_NOMEM;
    }
  DL_APPEND (p->waiting[prio], job);
  p->count++;
  schedule (p, 0);
  return 0;
}

int
append_queue_add (struct append_queue *aq, enum append_priority prio,
                  const char *stream, const uint8_t *data, size_t len,
                  append_fn *fn, void *arg)
{
  struct job tmpl
      = { .data = (uint8_t *)data, .len = len, .fn = fn, .arg = arg };
  if (len == 0)
    return ERR_INVALID;
  if (len > LOG_RECORD_MAX_BYTES)
    return ERR_TOO_LARGE;
  return enqueue (aq, prio, stream, &tmpl);
}

int
append_queue_add_late (struct append_queue *aq, enum append_priority prio,
                       const char *stream, append_fill_fn *fill, append_fn *fn,
                       void *arg)
{
  struct job tmpl = { .fill = fill, .fn = fn, .arg = arg };
  return enqueue (aq, prio, stream, &tmpl);
}

uint32_t
append_queue_waiting (const struct append_queue *aq)
{
  return aq->priv->count;
}
