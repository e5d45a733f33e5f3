#include "instance_model.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "base/log.h"

/* Virtual time, the network between owners and workers, and the trace.  */

/* A command without an answer fails after this time; the answer to a hold may
   come later by the time for which the worker waits.  */
#define COMMAND_TIMEOUT_US (900 * MS)
#define LATE_MIN_US (2 * SECOND)
#define LATE_SPAN_US (10 * SECOND)

struct model_event
{
  int64_t at_us;
  uint64_t seq;
  struct owner *own; /* NULL: none */
  uint64_t life;
  model_fn *fn;
  void *arg;
  int64_t num;
};

int64_t
model_pick (struct model *mdl, int64_t below)
{
  uint64_t num = mdl->rng += UINT64_C (0x9e3779b97f4a7c15);
  num = (num ^ (num >> 30)) * UINT64_C (0xbf58476d1ce4e5b9);
  num = (num ^ (num >> 27)) * UINT64_C (0x94d049bb133111eb);
  num ^= num >> 31;
  return below > 0 ? (int64_t)(num % (uint64_t)below) : 0;
}

bool
model_chance (struct model *mdl, int percent)
{
  return model_pick (mdl, 100) < percent;
}

void
model_trace (struct model *mdl, const char *fmt, ...)
{
  va_list args;
  if (!mdl->opt.trace)
    return;
  va_start (args, fmt);
  printf ("%7.3f ", (double)(mdl->now_us - MODEL_START_US) / SECOND);
  vprintf (fmt, args);
  putchar ('\n');
  va_end (args);
}

/* The product's log events go to the trace.  The logger of a process is the
   process itself.  */
void __wrap_log_fields (struct logger *lg, enum log_event_id ev,
                        const struct log_field *fields);
void
__wrap_log_fields (struct logger *lg, enum log_event_id ev,
                   const struct log_field *fields)
{
  const struct owner *own = (const struct owner *)lg;
  char line[512];
  size_t len = 0;
  if (!own || !own->mdl->opt.trace)
    return;
  for (; fields->type != LOG_FIELD_END && len < sizeof line; fields++)
    if (fields->type == LOG_FIELD_STR)
      len += (size_t)snprintf (line + len, sizeof line - len, " %s=%s",
                               fields->key, fields->str);
    else
      len += (size_t)snprintf (line + len, sizeof line - len, " %s=%" PRId64,
                               fields->key, fields->num);
  model_trace (own->mdl, "owner=%s event=%d%s", own->name, ev, line);
}

void
model_fault (struct model *mdl, uint32_t task, const char *fmt, ...)
{
  va_list args;
  if (*mdl->fault)
    return;
  va_start (args, fmt);
  vsnprintf (mdl->fault, sizeof mdl->fault, fmt, args);
  va_end (args);
  mdl->fault_task = task;
  mdl->fault_us = mdl->now_us;
  model_trace (mdl, "task=%u fault: %s", task, mdl->fault);
}

uint32_t
model_task_number (const struct model *mdl, const struct task_ref *ref)
{
  for (uint32_t n = 0; n < mdl->task_count; n++)
    if (mdl->tasks[n].ref.job == ref->job
        && mdl->tasks[n].ref.index == ref->index)
      return n;
  return 0;
}

static bool
comes_before (const struct model_event *a, const struct model_event *b)
{
  return a->at_us < b->at_us || (a->at_us == b->at_us && a->seq < b->seq);
}

static void
push_event (struct model *mdl, const struct model_event *evt)
{
  size_t pos = mdl->event_count++;
  if (mdl->event_count > mdl->event_max)
    {
      mdl->event_max = 2 * mdl->event_count;
      mdl->events = talloc_realloc (mdl, mdl->events, struct model_event,
                                    mdl->event_max);
    }
  for (; pos > 0 && comes_before (evt, &mdl->events[(pos - 1) / 2]);
       pos = (pos - 1) / 2)
    mdl->events[pos] = mdl->events[(pos - 1) / 2];
  mdl->events[pos] = *evt;
}

static struct model_event
pop_event (struct model *mdl)
{
  struct model_event first = mdl->events[0];
  struct model_event last = mdl->events[--mdl->event_count];
  size_t pos = 0, child;
  for (; (child = 2 * pos + 1) < mdl->event_count; pos = child)
    {
      child += child + 1 < mdl->event_count
               && comes_before (&mdl->events[child + 1], &mdl->events[child]);
      if (!comes_before (&mdl->events[child], &last))
        break;
      mdl->events[pos] = mdl->events[child];
    }
  mdl->events[pos] = last;
  return first;
}

void
model_after (struct model *mdl, struct owner *own, int64_t delay_us,
             model_fn *fn, void *arg, int64_t num)
{
  const struct model_event evt = { .at_us = mdl->now_us + delay_us,
                                   .seq = mdl->event_seq++,
                                   .own = own,
                                   .life = own ? own->life : 0,
                                   .fn = fn,
                                   .arg = arg,
                                   .num = num };
  push_event (mdl, &evt);
}

static void
set_time (struct model *mdl, int64_t now_us)
{
  mdl->now_us = now_us;
  for (uint32_t n = 0; n < MODEL_OWNERS; n++)
    mdl->owners[n].clk.now_us = now_us + mdl->owners[n].ahead_us;
}

void
model_run_until (struct model *mdl, int64_t end_us)
{
  while (mdl->event_count > 0 && mdl->events[0].at_us <= end_us)
    {
      struct model_event evt = pop_event (mdl);
      const struct owner *own = evt.own;
      set_time (mdl, evt.at_us);
      if (own && evt.life != own->life)
        continue;
      if (own && own->paused_until_us > mdl->now_us)
        {
          evt.at_us = own->paused_until_us;
          push_event (mdl, &evt);
        }
      else
        evt.fn (mdl, evt.arg, evt.num);
    }
  set_time (mdl, end_us);
}

void
model_finish_call (struct model_call *call)
{
  if (call->finished)
    return;
  call->finished = true;
  if (call->hold_fn)
    call->hold_fn (call->arg, &call->res);
  else
    call->fn (call->arg, &call->res.command);
}

static void
on_answer (struct model *mdl, void *arg, int64_t num)
{
  model_finish_call (arg);
}

static void
on_timeout (struct model *mdl, void *arg, int64_t num)
{
  struct model_call *call = arg;
  if (call->finished)
    return;
  call->res = (struct hold_result){ .command.status = COMMAND_NO_ANSWER };
  model_finish_call (call);
}

void
model_answer (struct model *mdl, struct model_call *call)
{
  if (call->answer_lost || mdl->workers[call->worker].cut_answers)
    return;
  if (call->life == call->own->life)
    model_after (mdl, call->own, call->answer_us, on_answer, call, 0);
}

static void
on_arrival (struct model *mdl, void *arg, int64_t num)
{
  struct model_call *call = arg;
  const struct model_worker *wrk = &mdl->workers[call->worker];
  if (!wrk->up || (wrk->cut_calls && !call->late)
      || (call->late && mdl->opt.late != LATE_NEXT_INSTANCE
          && wrk->instance != call->instance))
    return;
  model_worker_call (mdl, call);
}

/* Whether CALL may be carried out late by WRK.  */
static bool
may_be_late (const struct model *mdl, const struct model_worker *wrk,
             const struct model_call *call)
{
  return mdl->opt.late != LATE_OWN_CLOCK
         || call->lease_end_ms <= model_worker_clock_ms (mdl, wrk)
                                      + MODEL_LEASE_MS + CLOCK_ERROR_MS;
}

static void
on_departure (struct model *mdl, void *arg, int64_t num)
{
  struct model_call *call = arg;
  struct model_worker *wrk = &mdl->workers[call->worker];
  const struct model_network *net = &mdl->net;
  if (call->finished)
    return;
  if ((call->may_send && !call->may_send (call->arg)) || !wrk->up)
    {
      call->res.command.status = COMMAND_NOT_SENT;
      model_after (mdl, call->own, MS, on_answer, call, 0);
      return;
    }
  bool slow = model_chance (mdl, net->slow);
  int64_t delay_us = MS + model_pick (mdl, slow ? 400 * MS : 5 * MS);
  call->instance = wrk->instance;
  call->answer_us = MS + model_pick (mdl, slow ? 400 * MS : 5 * MS);
  call->answer_lost = model_chance (mdl, net->lost_answers);
  model_after (mdl, call->own, COMMAND_TIMEOUT_US + call->wait_ms * MS,
               on_timeout, call, 0);
  if (model_chance (mdl, net->lost_calls))
    return;
  call->late = model_chance (mdl, net->late_calls);
  call->answer_lost = call->answer_lost || call->late;
  if (call->late && !may_be_late (mdl, wrk, call))
    return;
  if (call->late)
    delay_us = LATE_MIN_US + model_pick (mdl, LATE_SPAN_US);
  model_after (mdl, NULL, delay_us, on_arrival, call, 0);
}

void
model_send (struct model *mdl, struct model_call *call)
{
  mdl->calls = talloc_realloc (mdl, mdl->calls, struct model_call *,
                               mdl->call_count + 1);
  mdl->calls[mdl->call_count++] = call;
  bool waits = model_chance (mdl, mdl->net.slow / 4);
  model_after (mdl, call->own, waits ? model_pick (mdl, 300 * MS) : 0,
               on_departure, call, 0);
}

struct model *
model_create (const struct model_options *opt)
{
  static struct queue queues[] = { { .name = "q",
                                     .host = "h",
                                     .path_prefix = "/q/",
                                     .pool = MODEL_POOL,
                                     .attempts = 3,
                                     .stretch = 2,
                                     .goal_extra_ms = 600 } };
  static struct pool_config pools[]
      = { { .name = MODEL_POOL, .enforces_capacity = true } };
  struct model *mdl = talloc_zero (NULL, struct model);
  mdl->opt = *opt;
  mdl->rng = opt->seed;
  mdl->now_us = MODEL_START_US;
  mdl->cat = (struct catalog){
    .queues = queues, .queue_count = 1, .pools = pools, .pool_count = 1
  };
  mdl->cat_ptr = &mdl->cat;
  mdl->log = talloc_array (mdl, struct model_record, MODEL_RECORDS_MAX);
  mdl->duty_log = talloc_array (mdl, struct duty_record, MODEL_RECORDS_MAX);
  mdl->member_log
      = talloc_array (mdl, struct member_record, MODEL_RECORDS_MAX);
  /* An offset of 0 means that it is not known.  */
  mdl->log[mdl->log_count++]
      = (struct model_record){ .kind = RECORD_FENCE, .token = 0 };
  for (uint32_t n = 0; n < MODEL_OWNERS; n++)
    {
      struct owner *own = &mdl->owners[n];
      own->mdl = mdl;
      own->index = n;
      own->ahead_us = (1000 + model_pick (mdl, 1000)) * SECOND;
      snprintf (own->name, NAME_BYTES, "%c", 'a' + (int)n);
      clock_manual_init (&own->clk, mdl->now_us + own->ahead_us);
      own->clk.wall_ahead_us = -own->ahead_us;
      owner_boot (mdl, n);
    }
  for (uint32_t n = 0; n < MODEL_WORKERS; n++)
    {
      snprintf (mdl->workers[n].id, NAME_BYTES, "w%u", n);
      model_worker_boot (mdl, n);
    }
  model_plan (mdl);
  return mdl;
}

void
model_destroy (struct model *mdl)
{
  for (uint32_t n = 0; n < MODEL_OWNERS; n++)
    owner_kill (&mdl->owners[n]);
  talloc_free (mdl);
}
