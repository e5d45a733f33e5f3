#include "test/scenario/explained.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "cli/operators.h"
#include "test/scenario/fleet.h"
#include "test/scenario/load.h"

#define ANSWER_MS 30000 /* generous: the machine may be busy */

/* The last step of the newest story that came from a caller.  */
static const json_t *
last_step (const json_t *root)
{
  const json_t *story;
  const json_t *found = NULL;
  size_t idx;
  json_array_foreach (
      json_object_get (root, "stories"), idx,
      story) if (json_integer_value (json_object_get (story, "hops")) == 0)
      found
      = json_object_get (story, "steps");
  size_t count = json_array_size (found);
  return count ? json_array_get (found, count - 1) : NULL;
}

static bool
text_is (const json_t *step, const char *key, const char *want)
{
  const char *val = json_string_value (json_object_get (step, key));
  return val && strcmp (val, want) == 0;
}

bool
explained_same (struct scenario *sc, const struct entry *en,
                const struct call *cl)
{
  struct operators ops;
  struct operator_reply reply;
  char path[128];
  bool same = false;

  if (operators_init (&ops, en->operators,
                      talloc_asprintf (sc, "%s/token", sc->dir), stderr)
      != 0)
    return false;
  snprintf (path, sizeof path, "/v1/explain/%s", cl->id);
  if (operators_get (&ops, path, ANSWER_MS, &reply) == 1)
    {
      const json_t *end = last_step (reply.root);
      bool answered = cl->result == CALL_ANSWERED;
      same = text_is (end, "step", "end")
             && text_is (end, "outcome", call_result_name (cl->result))
             && (answered || text_is (end, "reason", cl->reason))
             && json_integer_value (json_object_get (end, "status"))
                    == cl->status;
    }
  operators_free (&ops, &reply);
  return same;
}
