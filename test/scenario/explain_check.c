#include "test/scenario/explain_check.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "cli/operators.h"
#include "test/scenario/fleet.h"
#include "test/scenario/load.h"

#define EXPLAIN_TIMEOUT_MS 30000 /* long enough for a busy machine */

/* Returns the last step of the newest trace of a request that came directly
   from a caller (0 hops), or NULL.  */
static const json_t *
last_trace_step (const json_t *root)
{
  const json_t *trace;
  const json_t *found = NULL;
  size_t idx;
  json_array_foreach (
      json_object_get (root, "stories"), idx,
      trace) if (json_integer_value (json_object_get (trace, "hops")) == 0)
      found
      = json_object_get (trace, "steps");
  size_t count = json_array_size (found);
  return count ? json_array_get (found, count - 1) : NULL;
}

static bool
json_field_equals (const json_t *step, const char *key, const char *want)
{
  const char *val = json_string_value (json_object_get (step, key));
  return val && strcmp (val, want) == 0;
}

bool
explain_check_call (struct scenario *sc, const struct entry *en,
                    const struct call *cl)
{
  struct operators ops;
  struct operator_reply reply;
  char path[128];
  bool matches = false;

  if (operators_init (&ops, en->operator_address,
                      talloc_asprintf (sc, "%s/token", sc->out_dir), stderr)
      != 0)
    return false;
  snprintf (path, sizeof path, "/v1/explain/%s", cl->id);
  if (operators_get (&ops, path, EXPLAIN_TIMEOUT_MS, &reply) == 1)
    {
      const json_t *last_step = last_trace_step (reply.root);
      bool answered = cl->result == CALL_ANSWERED;
      matches = json_field_equals (last_step, "step", "end")
                && json_field_equals (last_step, "outcome",
                                      call_result_name (cl->result))
                && (answered
                    || json_field_equals (last_step, "reason", cl->reason))
                && json_integer_value (json_object_get (last_step, "status"))
                       == cl->status;
    }
  operators_free (&ops, &reply);
  return matches;
}
