#include "entry/request_trace_json.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "claim/claim.h"
#include "entry/request.h"
#include "route/retry.h"

static const char *
claim_verdict_name (enum claim_verdict verdict)
{
  static const char *const names[] = {
    [CLAIM_GRANTED] = "granted",       [CLAIM_DUPLICATE] = "duplicate",
    [CLAIM_KEY_REUSED] = "key_reused", [CLAIM_UNAVAILABLE] = "unavailable",
    [CLAIM_TIMEOUT] = "timeout",       [CLAIM_OVERLOADED] = "overloaded",
  };
  return names[verdict];
}

static const char *
claim_result_name (enum claim_result result)
{
  static const char *const names[] = {
    [CLAIM_RESULT_NONE] = "nothing",
    [CLAIM_RESULT_ANSWERED] = "answered",
    [CLAIM_RESULT_UNKNOWN] = "unknown",
  };
  return names[result];
}

static json_t *
name_json (const struct request_trace *trc, uint16_t name)
{
  return name == TRACE_NAME_NONE ? json_null ()
                                 : json_string (trc->names + name);
}

static json_t *
candidates_json (const struct request_trace *trc,
                 const struct trace_step *step)
{
  json_t *list = json_array ();
  for (int n = 0; n < step->candidate_count; n++)
    {
      const struct trace_candidate *cand = &step->candidates[n];
      json_array_append_new (list, json_pack ("{s:o, s:i, s:i}", "host",
                                              name_json (trc, cand->name),
                                              "in_flight", cand->in_flight,
                                              "slots", cand->slots));
    }
  return list;
}

static void
set (json_t *obj, const char *key, json_t *val)
{
  json_object_set_new (obj, key, val);
}

static json_t *
step_json (const struct request_trace *trc, const struct trace_step *step)
{
  json_t *obj = json_pack ("{s:I, s:s}", "at_us", (json_int_t)step->at_us,
                           "step", trace_step_type_name (step->type));
  switch ((enum trace_step_type)step->type)
    {
    case TRACE_CLAIM_VERDICT:
      set (obj, "verdict", json_string (claim_verdict_name (step->detail)));
      set (obj, "known", json_string (claim_result_name (step->extra)));
      break;
    case TRACE_WAIT_TARGET:
      set (obj, "times", json_integer (step->times));
      break;
    case TRACE_SENT:
      set (obj, "attempt", json_integer (step->number));
      set (obj, "target", name_json (trc, step->name));
      set (obj, "candidates", candidates_json (trc, step));
      break;
    case TRACE_RESULT:
    case TRACE_FORWARD_RESULT:
      set (obj, "target", name_json (trc, step->name));
      set (obj, "result", json_string (attempt_result_name (step->detail)));
      set (obj, "bad_answer", json_boolean (step->extra));
      set (obj, "status", json_integer (step->number));
      break;
    case TRACE_RETRY:
      set (obj, "verdict", json_string (retry_verdict_name (step->detail)));
      break;
    case TRACE_FORWARDED:
      set (obj, "entry", name_json (trc, step->name));
      break;
    case TRACE_RELEASED:
      set (obj, "recorded", json_boolean (step->detail));
      break;
    case TRACE_END:
      set (obj, "outcome", json_string (outcome_name (step->detail)));
      set (obj, "reason", json_string (reason_name (step->extra)));
      set (obj, "status", json_integer (step->number));
      set (obj, "key_held", json_boolean (trc->key_held));
      break;
    case TRACE_QUEUED:
    case TRACE_ADMITTED:
    case TRACE_CLAIM_REQUESTED:
    case TRACE_RELEASE_REQUESTED:
      break;
    }
  return obj;
}

json_t *
request_trace_json (const struct request_trace *trc)
{
  char digest[33] = "";
  if (trc->has_key)
    snprintf (digest, sizeof digest, "%016" PRIx64 "%016" PRIx64,
              trc->key_digest[0], trc->key_digest[1]);
  json_t *steps = json_array ();
  for (int n = 0; n < trc->step_count; n++)
    json_array_append_new (steps, step_json (trc, &trc->steps[n]));
  return json_pack (
      "{s:s, s:s, s:s, s:o, s:I, s:i, s:b, s:b, s:o}", "request_id", trc->id,
      "caller", trc->caller, "kind", trc->kind, "key_digest",
      trc->has_key ? json_string (digest) : json_null (), "arrival_ms",
      (json_int_t)trc->arrival_ms, "hops", trc->hops, "ended", trc->ended,
      "steps_lost", trc->steps_dropped, "steps", steps);
}
