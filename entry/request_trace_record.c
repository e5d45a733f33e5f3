#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "entry/traffic_priv.h"

/* Records the steps of a request in its trace.  */

static struct trace_step *
add_step (struct traffic *trf, struct request *req, enum trace_step_type type)
{
  struct request_trace *trc = trace_ring_get (&trf->traces, req->trace);
  return trc ? request_trace_add_step (trc, type, clock_now_us (trf->clk))
             : NULL;
}

void
request_trace_record_begin (struct traffic *trf, struct request *req)
{
  struct request_trace start = {
    .has_key = req->has_key,
    .hops = (uint8_t)req->hops,
    .arrival_ms = clock_wall_ms (trf->clk),
    .arrival_us = req->arrival_us,
  };
  if (trf->traces.max == 0)
    return;
  snprintf (start.id, sizeof start.id, "%s", req->id);
  snprintf (start.caller, sizeof start.caller, "%s", req->caller);
  snprintf (start.kind, sizeof start.kind, "%s", req->kind_name);
  if (req->has_key)
    {
      struct claim_key key
          = claim_key_make (req->caller, req->kind_name, req->key);
      start.key_digest[0] = key.hi;
      start.key_digest[1] = key.lo;
    }
  req->trace = trace_ring_begin (&trf->traces, &start);
}

void
request_trace_record_step (struct traffic *trf, struct request *req,
                           enum trace_step_type type, int detail, int extra)
{
  struct trace_step *step = add_step (trf, req, type);
  if (!step)
    return;
  step->detail = (uint8_t)detail;
  step->extra = (uint8_t)extra;
}

static uint16_t
clip (uint32_t num)
{
  return num > UINT16_MAX ? UINT16_MAX : (uint16_t)num;
}

void
request_trace_record_sent (struct traffic *trf, struct request *req,
                           const struct route_choice *choice)
{
  struct trace_step *step = add_step (trf, req, TRACE_SENT);
  if (!step)
    return;
  struct request_trace *trc = trace_ring_get (&trf->traces, req->trace);
  step->number = clip (req->attempts);
  step->name = request_trace_add_name (trc, req->target_name);
  for (uint32_t n = 0; n < choice->candidate_count && n < ROUTE_CANDIDATES;
       n++)
    {
      const struct route_candidate *cand = &choice->candidates[n];
      const struct target_info *info
          = route_target_info (&trf->rt, cand->target);
      step->candidates[step->candidate_count++] = (struct trace_candidate){
        .name
        = info ? request_trace_add_name (trc, info->host) : TRACE_NAME_NONE,
        .in_flight = clip (cand->in_flight),
        .slots = clip (cand->slots),
      };
    }
}

void
request_trace_record_result (struct traffic *trf, struct request *req,
                             enum trace_step_type type,
                             const struct attempt_reply *reply)
{
  struct trace_step *step = add_step (trf, req, type);
  if (!step)
    return;
  step->detail = (uint8_t)reply->result;
  step->extra = reply->bad_answer;
  step->number = clip (reply->status);
  if (type == TRACE_RESULT)
    step->name = request_trace_add_name (
        trace_ring_get (&trf->traces, req->trace), req->target_name);
}

void
request_trace_record_forward (struct traffic *trf, struct request *req,
                              const char *address)
{
  struct trace_step *step = add_step (trf, req, TRACE_FORWARDED);
  if (step)
    step->name = request_trace_add_name (
        trace_ring_get (&trf->traces, req->trace), address);
}

void
request_trace_record_end (struct traffic *trf, struct request *req)
{
  struct request_trace *trc = trace_ring_get (&trf->traces, req->trace);
  if (!trc)
    return;
  trc->ended = true;
  trc->key_held = req->key_held;
  struct trace_step *step
      = request_trace_add_step (trc, TRACE_END, clock_now_us (trf->clk));
  if (!step)
    return;
  step->detail = (uint8_t)req->outcome;
  step->extra = (uint8_t)req->reason;
  step->number = clip (req->status);
}
