/* Judges a run by the journals of its callers and of its targets, never by the
   product's own log.  Exits 0 when every outcome told was true, 1 on a
   violation, 2 when a journal cannot be read.  */

#include <inttypes.h>
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base/err.h"
#include "base/option.h"

#define MAX_STOPS 64
#define MAX_PRINTED 20 /* violations printed in full */

struct settings
{
  char *callers;
  char *targets;
  char *stops;
};

#define FIELD(f) offsetof (struct settings, f)

static const struct option_def options[] = {
  { "callers", OPTION_STR, FIELD (callers), 1, 4096, NULL, NULL, NULL,
    "journals of the callers, FILE,..." },
  { "targets", OPTION_STR, FIELD (targets), 1, 4096, NULL, NULL, NULL,
    "journals of the targets, FILE,..." },
  { "stops", OPTION_STR, FIELD (stops), 0, 4096, NULL, NULL, "",
    "planned stops, FROM_MS-TO_MS,... in wall-clock time since the epoch" },
  { NULL, 0, 0, 0, 0, NULL, NULL, NULL, NULL },
};

struct judge
{
  struct settings set;
  json_t *by_id;  /* executions by request id: count, host, cut_us */
  json_t *by_key; /* and by idempotency key */
  json_t *calls;  /* by journal and number: outcome, lost */
  int64_t stops[MAX_STOPS][2]; /* in us */
  int stop_count;
  int wrong, twice, not_run_ran, never_ran, cut, strange;
  int printed;
};

static const char *
text (const json_t *obj, const char *name)
{
  const char *value = json_string_value (json_object_get (obj, name));
  return value ? value : "";
}

static int64_t
number (const json_t *obj, const char *name)
{
  return json_integer_value (json_object_get (obj, name));
}

static bool
is_true (const json_t *obj, const char *name)
{
  return json_is_true (json_object_get (obj, name));
}

static void
violation (struct judge *jg, int *count, const char *what, const char *name,
           const char *detail)
{
  ++*count;
  if (jg->printed++ < MAX_PRINTED)
    printf ("violation: %s: %s (%s)\n", what, name, detail);
}

/* Calls EACH for every line of the comma-separated FILES.  */
static int
read_journals (struct judge *jg, char *files,
               void (*each) (struct judge *jg, const char *path,
                             const json_t *obj))
{
  char *save;
  char *line = NULL;
  size_t room = 0;
  int err = 0;
  for (char *path = strtok_r (files, ",", &save); path && err == 0;
       path = strtok_r (NULL, ",", &save))
    {
      json_error_t error;
      FILE *file = fopen (path, "r");
      if (!file)
        {
          fprintf (stderr, "verdict: %s: cannot be opened\n", path);
          err = ERR_IO;
          break;
        }
      for (size_t at = 1; err == 0 && getline (&line, &room, file) > 0; at++)
        {
          json_t *obj = json_loads (line, 0, &error);
          if (obj && *text (obj, "request_id"))
            each (jg, path, obj);
          else
            {
              fprintf (stderr, "verdict: %s: line %zu: %s\n", path, at,
                       obj ? "no request_id" : error.text);
              err = ERR_PROTOCOL;
            }
          json_decref (obj);
        }
      fclose (file);
    }
  free (line);
  return err;
}

static void
add_run (json_t *table, const char *name, const json_t *obj)
{
  const json_t *last = json_object_get (table, name);
  int64_t cut_us = number (obj, "cut_us");
  json_object_set_new (table, name,
                       json_pack ("{s:I, s:s, s:I}", "count",
                                  number (last, "count") + 1, "host",
                                  text (obj, "host"), "cut_us",
                                  cut_us ? cut_us : number (last, "cut_us")));
}

static void
add_execution (struct judge *jg, const char *path, const json_t *obj)
{
  add_run (jg->by_id, text (obj, "request_id"), obj);
  if (*text (obj, "key"))
    add_run (jg->by_key, text (obj, "key"), obj);
}

static bool
in_planned_stop (const struct judge *jg, int64_t at_us)
{
  for (int n = 0; n < jg->stop_count; n++)
    if (at_us >= jg->stops[n][0] && at_us <= jg->stops[n][1])
      return true;
  return false;
}

/* Counts the call by its last attempt.  After an attempt whose effect is
   unknown, a later "not run" says nothing about the call as a whole.  */
static void
count_call (struct judge *jg, const char *path, const json_t *obj)
{
  char *name = talloc_asprintf (jg, "%s:%" PRId64, path, number (obj, "call"));
  const char *outcome = text (obj, "outcome");
  bool lost = is_true (json_object_get (jg->calls, name), "lost")
              || (!is_true (obj, "final") && strcmp (outcome, "unknown") == 0);
  json_object_set_new (
      jg->calls, name,
      json_pack ("{s:s, s:b}", "outcome", outcome, "lost", lost));
}

static void
judge_attempt (struct judge *jg, const char *path, const json_t *obj)
{
  const char *id = text (obj, "request_id");
  const char *outcome = text (obj, "outcome");
  const char *key = text (obj, "key");
  bool answered = strcmp (outcome, "answered") == 0;
  const json_t *runs = json_object_get (jg->by_id, id);
  const char *host = text (runs, "host");
  int64_t cut_us = number (runs, "cut_us");
  count_call (jg, path, obj);
  if (strcmp (text (obj, "own"), "wrong") == 0)
    violation (jg, &jg->wrong, "wrong answer", id, text (obj, "entry"));
  if (strcmp (outcome, "not_run") == 0 && runs)
    violation (jg, &jg->not_run_ran, "told not run, but ran", id, host);
  if (answered && !runs && !json_object_get (jg->by_key, key))
    violation (jg, &jg->never_ran, "answered, but never ran", id,
               text (obj, "entry"));
  if (is_true (obj, "once") && !*key && number (runs, "count") > 1)
    violation (jg, &jg->twice, "request id run more than once", id, host);
  if (cut_us && in_planned_stop (jg, cut_us)
      && cut_us < number (obj, "sent_us") + number (obj, "deadline_ms") * 1000)
    violation (jg, &jg->cut, "cut during a planned stop", id, host);
  if (!answered && strcmp (outcome, "not_run") != 0
      && strcmp (outcome, "unknown") != 0)
    violation (jg, &jg->strange, "outcome of no known type", id, outcome);
}

static int
parse_stops (struct judge *jg)
{
  char *save;
  for (char *stop = strtok_r (jg->set.stops, ",", &save); stop;
       stop = strtok_r (NULL, ",", &save))
    {
      int64_t from;
      int64_t to;
      int end = 0;
      if (jg->stop_count == MAX_STOPS
          || sscanf (stop, "%" SCNd64 "-%" SCNd64 "%n", &from, &to, &end) != 2
          || stop[end] != '\0')
        {
          fprintf (stderr, "verdict: stops: \"%s\"\n", stop);
          return ERR_INVALID;
        }
      jg->stops[jg->stop_count][0] = from * 1000;
      jg->stops[jg->stop_count++][1] = to * 1000;
    }
  return 0;
}

static int
conclude (struct judge *jg)
{
  int answered = 0;
  int not_run = 0;
  const char *name;
  json_t *obj;
  json_object_foreach (jg->by_key, name, obj)
  {
    if (number (obj, "count") > 1)
      violation (jg, &jg->twice, "key run more than once", name,
                 text (obj, "host"));
  }
  json_object_foreach (jg->calls, name, obj)
  {
    const char *outcome = text (obj, "outcome");
    answered += strcmp (outcome, "answered") == 0;
    not_run += strcmp (outcome, "not_run") == 0 && !is_true (obj, "lost");
  }
  size_t count = json_object_size (jg->calls);
  if (count == 0)
    violation (jg, &jg->strange, "no request", jg->set.callers, "empty");
  printf ("demo: %zu requests, %d answered, %d not run, %d unknown, "
          "%d wrong answers, %d run twice\n",
          count, answered, not_run, (int)count - answered - not_run, jg->wrong,
          jg->twice);
  if (jg->not_run_ran || jg->never_ran || jg->cut || jg->strange)
    printf ("also: %d told not run but ran, %d answered but never ran, "
            "%d cut during a planned stop, %d of no known type\n",
            jg->not_run_ran, jg->never_ran, jg->cut, jg->strange);
  return jg->printed > 0 ? 1 : 0;
}

int
main (int argc, char **argv)
{
  struct judge *jg = talloc_zero (NULL, struct judge);
  int err = options_parse (jg, "verdict", options, argc - 1, argv + 1,
                           &jg->set, stdout, stderr);
  if (err != 0)
    return err < 0 ? 2 : 0;
  jg->by_id = json_object ();
  jg->by_key = json_object ();
  jg->calls = json_object ();
  err = parse_stops (jg);
  if (err == 0)
    err = read_journals (jg, jg->set.targets, add_execution);
  if (err == 0)
    err = read_journals (jg, jg->set.callers, judge_attempt);
  int code = err < 0 ? 2 : conclude (jg);
  json_decref (jg->by_id);
  json_decref (jg->by_key);
  json_decref (jg->calls);
  talloc_free (jg);
  return code;
}
