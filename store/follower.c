#include "store/follower.h"

#include <talloc.h>
#include <tevent.h>

#include "base/clock.h"
#include "base/err.h"

/* Pause after a failed read; short against the time in which a change of the
   configuration has to be in force.  */
#define RETRY_MS 200
#define KEY_MAX 255

struct priv
{
  struct topic_store *st;
  struct tevent_context *ev;
  const struct clock *clk;
  struct follower_settings set;
  follower_record_fn *record_fn;
  follower_batch_fn *batch_fn;
  void *arg;
  struct tevent_timer *timer;
  uint64_t next;
  int64_t sent_us;
  int64_t current_us;
  bool in_call;
  bool finished; /* freed when the call in progress ends */
  bool booted;
  bool restart; /* read the newest records again with the next call */
  bool first_page;
  char after[KEY_MAX + 1];
};

static void start_call (struct priv *p);

static void
on_timer (struct tevent_context *ev, struct tevent_timer *te,
          struct timeval tv, void *arg)
{
  struct priv *p = arg;
  p->timer = NULL;
  start_call (p);
}

static void
schedule (struct priv *p, int64_t ms)
{
  talloc_free (p->timer);
  p->timer = tevent_add_timer (
      p->ev, p, tevent_timeval_current_ofs (ms / 1000, ms % 1000 * 1000),
      on_timer, p);
}

static void
restart (struct priv *p)
{
  p->booted = false;
  p->first_page = true;
  p->after[0] = '\0';
}

static void
deliver (struct priv *p, const struct topic_read_result *res)
{
  for (size_t n = 0; n < res->count; n++)
    p->record_fn (p->arg, &res->records[n]);
}

/* Returns whether the follower was finished during the call.  */
static bool
call_over (struct priv *p)
{
  bool finished = p->finished;
  p->in_call = false;
  if (finished)
    talloc_free (p);
  return finished;
}

static void
on_newest (void *arg, const struct topic_read_result *res)
{
  struct priv *p = arg;
  if (call_over (p))
    return;
  if (res->err && res->err != ERR_NOT_FOUND)
    {
      schedule (p, RETRY_MS);
      return;
    }
  if (p->first_page)
    p->next = res->end;
  p->first_page = false;
  deliver (p, res);
  if (res->more && res->count > 0)
    {
      const struct topic_entry *last = &res->records[res->count - 1].entry;
      for (size_t n = 0; n < last->key_len && n < KEY_MAX; n++)
        p->after[n] = last->key[n];
      p->after[last->key_len < KEY_MAX ? last->key_len : KEY_MAX] = '\0';
    }
  else
    p->booted = true;
  p->batch_fn (p->arg);
  schedule (p, res->err ? RETRY_MS : 0);
}

static void
on_read (void *arg, const struct topic_read_result *res)
{
  struct priv *p = arg;
  if (call_over (p))
    return;
  if (res->err == ERR_EXPIRED)
    {
      restart (p);
      schedule (p, 0);
      return;
    }
  if (res->err && res->err != ERR_NOT_FOUND)
    {
      schedule (p, RETRY_MS);
      return;
    }
  deliver (p, res);
  if (res->count > 0)
    p->next = res->records[res->count - 1].offset + 1;
  if (p->next >= res->end)
    p->current_us = p->sent_us;
  p->batch_fn (p->arg);
  schedule (p, res->err ? RETRY_MS : res->count > 0 ? p->set.gap_ms : 0);
}

static void
start_call (struct priv *p)
{
  int err;
  if (p->restart)
    restart (p);
  p->restart = false;
  p->sent_us = clock_now_us (p->clk);
  if (p->booted)
    /* The first read tells at once whether anything is left to read.  */
    err = topic_read (p->st, p->set.topic, p->set.part, p->next,
                      p->current_us ? p->set.wait_ms : 0, on_read, p);
  else
    err = topic_newest (p->st, p->set.topic, p->set.part,
                        *p->after ? p->after : NULL, on_newest, p);
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
  restart (p);
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
  if (!p->in_call)
    talloc_free (p);
}

void
follower_restart (struct follower *fol)
{
  /* A read in progress goes on; its answer is used before.  */
  fol->priv->restart = true;
}

void
follower_set_gap (struct follower *fol, int64_t gap_ms)
{
  fol->priv->set.gap_ms = gap_ms;
}

bool
follower_caught_up (const struct follower *fol)
{
  return fol->priv->current_us != 0;
}

bool
follower_in_order (const struct follower *fol)
{
  return fol->priv->booted;
}

uint64_t
follower_next (const struct follower *fol)
{
  return fol->priv->next;
}

int64_t
follower_current_us (const struct follower *fol)
{
  return fol->priv->current_us;
}
