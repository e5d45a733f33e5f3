#include "store/append_queue.h"

#include <stdbool.h>
#include <string.h>
#include <talloc.h>
#include <tevent.h>
#include <utlist.h>

#include "base/clock.h"
#include "base/err.h"
#include "base/timer.h"

const struct append_queue_settings append_queue_settings_default = {
  .appends_per_s = 20,
  .burst = 5,
  .max_waiting = 256,
  .backoff_ms = 50,
};

#define US_PER_S 1000000

struct append_request
{
  struct append_request *prev;
  struct append_request *next;
  struct priv *priv;
  char *stream;
  uint8_t *data; /* NULL: supplied by fill */
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
  struct timer *timer;
  struct append_request *waiting[APPEND_PRIORITY_COUNT];
  struct append_request *in_progress;
  uint32_t waiting_count;
  /* State of the token bucket, as in the generic cell rate algorithm: the time
     at which the next append is due at the sustained rate.  An append may
     start up to burst - 1 intervals before it.  */
  int64_t next_append_us;
  int64_t not_before_us; /* end of the pause after a failed append */
};

static void schedule (struct priv *p, int64_t delay_us);

static int64_t
interval_us (const struct priv *p)
{
  return US_PER_S / p->set.appends_per_s;
}

/* Returns the time in microseconds until the next append may start, 0 for
   now.  */
static int64_t
delay_us (const struct priv *p, int64_t now)
{
  int64_t slack = interval_us (p) * (p->set.burst - 1);
  int64_t delay = p->next_append_us - slack - now;
  if (p->not_before_us - now > delay)
    delay = p->not_before_us - now;
  return delay > 0 ? delay : 0;
}

static void
take_token (struct priv *p, int64_t now)
{
  if (p->next_append_us < now)
    p->next_append_us = now;
  p->next_append_us += interval_us (p);
}

static void
finish_request (struct append_request *req, const struct append_result *res)
{
  append_fn *fn = req->fn;
  void *arg = req->arg;
  talloc_free (req);
  fn (arg, res);
}

static void
on_append (void *arg, const struct append_result *res)
{
  struct append_request *req = arg;
  struct priv *p = req->priv;
  if (!p) /* append_queue_fini ran during the append */
    {
      talloc_free (req);
      return;
    }
  DL_DELETE (p->in_progress, req);
  if (res->status == APPEND_NOT_DONE)
    {
      int64_t wait
          = res->retry_after_ms ? res->retry_after_ms : p->set.backoff_ms;
      int64_t until = clock_now_us (p->clk) + wait * 1000;
      if (until > p->not_before_us)
        p->not_before_us = until;
    }
  schedule (p, 0);
  finish_request (req, res);
}

static bool
stream_busy (const struct priv *p, const char *stream)
{
  const struct append_request *req;
  DL_FOREACH (p->in_progress, req)
    if (strcmp (req->stream, stream) == 0)
      return true;
  return false;
}

static struct append_request *
next_request (struct priv *p)
{
  struct append_request *req;
  for (int prio = 0; prio < APPEND_PRIORITY_COUNT; prio++)
    DL_FOREACH (p->waiting[prio], req)
      if (!stream_busy (p, req->stream))
        {
          DL_DELETE (p->waiting[prio], req);
          p->waiting_count--;
          return req;
        }
  return NULL;
}

/* Sends REQ to the log, or completes it as not done.  Returns whether it was
   sent, and so consumes a token.  */
static bool
start_request (struct priv *p, struct append_request *req)
{
  const uint8_t *data = req->data;
  size_t len = req->len;
  int err = data ? 0 : req->fill (req->arg, &data, &len);
  if (err == 0)
    err = log_store_append (p->st, req->stream, data, len, on_append, req);
  if (err == 0)
    {
      DL_APPEND (p->in_progress, req);
      return true;
    }
  finish_request (req, &(struct append_result){ .status = APPEND_NOT_DONE });
  return false;
}

static void
on_timer (void *arg)
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
  struct append_request *req = next_request (p);
  if (!req)
    return;
  schedule (p, 0);
  /* The callback of a request that completed without a call to the log may
     have run append_queue_fini, so P is not used after a false result.  */
  if (start_request (p, req))
    take_token (p, now);
}

/* Runs the queue after DELAY microseconds.  A delay of 0 replaces a timer that
   is already set; a longer one keeps it.  */
static void
schedule (struct priv *p, int64_t delay)
{
  if (p->timer && delay > 0)
    return;
  TALLOC_FREE (p->timer);
  p->timer = timer_add (p->ev, p, delay, on_timer, p);
}

int
append_queue_init (struct append_queue *aq, void *parent,
                   const struct append_queue_settings *set,
                   struct log_store *st, struct tevent_context *ev,
                   const struct clock *clk)
{
  aq->priv = NULL;
  if (set->appends_per_s == 0 || set->appends_per_s > US_PER_S
      || set->burst == 0 || set->max_waiting == 0 || set->backoff_ms < 0)
    return ERR_INVALID;
  struct priv *p = talloc_zero (parent, struct priv);
  if (!p)
    return ERR_NOMEM;
  p->parent = parent;
  p->set = *set;
  p->st = st;
  p->ev = ev;
  p->clk = clk;
  p->next_append_us = clock_now_us (clk);
  aq->priv = p;
  return 0;
}

void
append_queue_fini (struct append_queue *aq)
{
  struct priv *p = aq->priv;
  struct append_request *req;
  struct append_request *tmp;
  if (!p)
    return;
  aq->priv = NULL;
  DL_FOREACH_SAFE (p->in_progress, req, tmp)
    {
      req->priv = NULL;
      talloc_steal (p->parent, req);
    }
  talloc_free (p);
}

static int
enqueue (struct append_queue *aq, enum append_priority prio,
         const char *stream, const struct append_request *tmpl)
{
  struct priv *p = aq->priv;
  if (p->waiting_count >= p->set.max_waiting)
    return ERR_FULL;
  struct append_request *req = talloc (p, struct append_request);
  if (!req)
    return ERR_NOMEM;
  *req = *tmpl;
  req->priv = p;
  req->stream = talloc_strdup (req, stream);
  if (tmpl->data)
    req->data = talloc_memdup (req, tmpl->data, tmpl->len);
  if (!req->stream || (tmpl->data && !req->data))
    {
      talloc_free (req);
      return ERR_NOMEM;
    }
  DL_APPEND (p->waiting[prio], req);
  p->waiting_count++;
  schedule (p, 0);
  return 0;
}

int
append_queue_add (struct append_queue *aq, enum append_priority prio,
                  const char *stream, const uint8_t *data, size_t len,
                  append_fn *fn, void *arg)
{
  struct append_request tmpl
      = { .data = (uint8_t *)data, .len = len, .fn = fn, .arg = arg };
  if (len == 0)
    return ERR_INVALID;
  if (len > LOG_RECORD_MAX_BYTES)
    return ERR_TOO_LARGE;
  return enqueue (aq, prio, stream, &tmpl);
}

int
append_queue_add_deferred (struct append_queue *aq, enum append_priority prio,
                           const char *stream, append_fill_fn *fill,
                           append_fn *fn, void *arg)
{
  struct append_request tmpl = { .fill = fill, .fn = fn, .arg = arg };
  return enqueue (aq, prio, stream, &tmpl);
}

uint32_t
append_queue_waiting (const struct append_queue *aq)
{
  return aq->priv->waiting_count;
}
