/* Checks a run: compares the outcomes in the journals of its load callers with
   the executions in the journals of its targets, independently of the
   product's own log.  Exits with 0 when every reported outcome is true, 1 on a
   violation, 2 when an option is invalid or a journal cannot be read.  */

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
#define MAX_PRINTED_VIOLATIONS 20 /* further ones are only counted */

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

struct checker
{
  struct settings set;
  json_t *runs_by_id;  /* executions by request id: count, host, cut_us */
  json_t *runs_by_key; /* executions by idempotency key, likewise */
  json_t *requests;    /* by journal and number: outcome; lost: an earlier
                          attempt had an unknown outcome */
  int64_t stops[MAX_STOPS][2]; /* planned ones: start and end in us */
  int stop_count;
  /* Violations by type.  */
  int wrong_answers, duplicate_runs, ran_despite_not_run, answered_without_run,
      interrupted_in_stop, invalid_entries;
  int violation_count; /* of all types */
};

static const char *
string_field (const json_t *obj, const char *name)
{
  const char *value = json_string_value (json_object_get (obj, name));
  return value ? value : "";
}

static int64_t
int_field (const json_t *obj, const char *name)
{
  return json_integer_value (json_object_get (obj, name));
}

static bool
bool_field (const json_t *obj, const char *name)
{
  return json_is_true (json_object_get (obj, name));
}

static void
report_violation (struct checker *chk, int *count, const char *what,
                  const char *name, const char *detail)
{
  ++*count;
  if (chk->violation_count++ < MAX_PRINTED_VIOLATIONS)
    printf ("violation: %s: %s (%s)\n", what, name, detail);
}

/* Calls HANDLE_LINE for each line of FILES, paths separated by commas.
   Returns 0, ERR_IO or ERR_PROTOCOL.  */
static int
read_journals (struct checker *chk, char *files,
               void (*handle_line) (struct checker *chk, const char *path,
                                    const json_t *obj))
{
  char *save;
  char *line = NULL;
  size_t capacity = 0;
  int err = 0;
  for (char *path = strtok_r (files, ",", &save); path && err == 0;
       path = strtok_r (NULL, ",", &save))
    {
      json_error_t error;
      FILE *file = fopen (path, "r");
      if (!file)
        {
          fprintf (stderr, "verdict: %s: cannot open the journal\n", path);
          err = ERR_IO;
          break;
        }
      for (size_t line_number = 1;
           err == 0 && getline (&line, &capacity, file) > 0; line_number++)
        {
          json_t *obj = json_loads (line, 0, &error);
          if (obj && *string_field (obj, "request_id"))
            handle_line (chk, path, obj);
          else
            {
              fprintf (stderr, "verdict: %s: line %zu: %s\n", path,
                       line_number, obj ? "no request_id" : error.text);
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
count_run (json_t *table, const char *name, const json_t *obj)
{
  const json_t *previous = json_object_get (table, name);
  int64_t cut_us = int_field (obj, "cut_us");
  json_object_set_new (
      table, name,
      json_pack ("{s:I, s:s, s:I}", "count", int_field (previous, "count") + 1,
                 "host", string_field (obj, "host"), "cut_us",
                 cut_us ? cut_us : int_field (previous, "cut_us")));
}

static void
add_execution (struct checker *chk, const char *path, const json_t *obj)
{
  count_run (chk->runs_by_id, string_field (obj, "request_id"), obj);
  if (*string_field (obj, "key"))
    count_run (chk->runs_by_key, string_field (obj, "key"), obj);
}

static bool
in_planned_stop (const struct checker *chk, int64_t at_us)
{
  for (int n = 0; n < chk->stop_count; n++)
    if (at_us >= chk->stops[n][0] && at_us <= chk->stops[n][1])
      return true;
  return false;
}

/* Records the outcome of the request's last attempt so far, and whether an
   attempt before the last had an unknown outcome: it may have run, so that
   "not run" for a later attempt does not hold for the whole request.  */
static void
record_attempt (struct checker *chk, const char *path, const json_t *obj)
{
  char *name
      = talloc_asprintf (chk, "%s:%" PRId64, path, int_field (obj, "call"));
  const char *outcome = string_field (obj, "outcome");
  bool had_unknown_attempt
      = bool_field (json_object_get (chk->requests, name), "lost")
        || (!bool_field (obj, "final") && strcmp (outcome, "unknown") == 0);
  json_object_set_new (chk->requests, name,
                       json_pack ("{s:s, s:b}", "outcome", outcome, "lost",
                                  had_unknown_attempt));
}

static void
check_attempt (struct checker *chk, const char *path, const json_t *obj)
{
  const char *id = string_field (obj, "request_id");
  const char *outcome = string_field (obj, "outcome");
  const char *key = string_field (obj, "key");
  bool answered = strcmp (outcome, "answered") == 0;
  const json_t *runs = json_object_get (chk->runs_by_id, id);
  const char *host = string_field (runs, "host");
  int64_t cut_us = int_field (runs, "cut_us");
  record_attempt (chk, path, obj);
  if (strcmp (string_field (obj, "own"), "wrong") == 0)
    report_violation (chk, &chk->wrong_answers, "wrong answer", id,
                      string_field (obj, "entry"));
  if (strcmp (outcome, "not_run") == 0 && runs)
    report_violation (chk, &chk->ran_despite_not_run,
                      "reported as not run, but ran", id, host);
  if (answered && !runs && !json_object_get (chk->runs_by_key, key))
    report_violation (chk, &chk->answered_without_run,
                      "answered, but did not run", id,
                      string_field (obj, "entry"));
  if (bool_field (obj, "once") && !*key && int_field (runs, "count") > 1)
    report_violation (chk, &chk->duplicate_runs,
                      "request id run more than once", id, host);
  if (cut_us && in_planned_stop (chk, cut_us)
      && cut_us < int_field (obj, "sent_us")
                      + int_field (obj, "deadline_ms") * 1000)
    report_violation (chk, &chk->interrupted_in_stop,
                      "interrupted during a planned stop", id, host);
  if (!answered && strcmp (outcome, "not_run") != 0
      && strcmp (outcome, "unknown") != 0)
    report_violation (chk, &chk->invalid_entries, "unknown type of outcome",
                      id, outcome);
}

static int
parse_stops (struct checker *chk)
{
  char *save;
  for (char *stop = strtok_r (chk->set.stops, ",", &save); stop;
       stop = strtok_r (NULL, ",", &save))
    {
      int64_t from;
      int64_t to;
      int end = 0;
      if (chk->stop_count == MAX_STOPS
          || sscanf (stop, "%" SCNd64 "-%" SCNd64 "%n", &from, &to, &end) != 2
          || stop[end] != '\0')
        {
          fprintf (stderr,
                   "verdict: stops: invalid range or too many: \"%s\"\n",
                   stop);
          return ERR_INVALID;
        }
      chk->stops[chk->stop_count][0] = from * 1000;
      chk->stops[chk->stop_count++][1] = to * 1000;
    }
  return 0;
}

static int
report_result (struct checker *chk)
{
  int answered = 0;
  int not_run = 0;
  const char *name;
  json_t *obj;
  json_object_foreach (chk->runs_by_key, name, obj)
  {
    if (int_field (obj, "count") > 1)
      report_violation (chk, &chk->duplicate_runs, "key run more than once",
                        name, string_field (obj, "host"));
  }
  json_object_foreach (chk->requests, name, obj)
  {
    const char *outcome = string_field (obj, "outcome");
    answered += strcmp (outcome, "answered") == 0;
    not_run += strcmp (outcome, "not_run") == 0 && !bool_field (obj, "lost");
  }
  size_t count = json_object_size (chk->requests);
  if (count == 0)
    report_violation (chk, &chk->invalid_entries, "no request in the journals",
                      chk->set.callers, "empty");
  printf ("demo: %zu requests, %d answered, %d not run, %d unknown, "
          "%d wrong answers, %d run twice\n",
          count, answered, not_run, (int)count - answered - not_run,
          chk->wrong_answers, chk->duplicate_runs);
  if (chk->ran_despite_not_run || chk->answered_without_run
      || chk->interrupted_in_stop || chk->invalid_entries)
    printf ("other violations: %d reported as not run but ran, "
            "%d answered but did not run, "
            "%d interrupted during a planned stop, "
            "%d missing or of unknown outcome\n",
            chk->ran_despite_not_run, chk->answered_without_run,
            chk->interrupted_in_stop, chk->invalid_entries);
  return chk->violation_count > 0 ? 1 : 0;
}

int
main (int argc, char **argv)
{
  struct checker *chk = talloc_zero (NULL, struct checker);
  int err = options_parse (chk, "verdict", options, argc - 1, argv + 1,
                           &chk->set, stdout, stderr);
  if (err != 0)
    return err < 0 ? 2 : 0;
  chk->runs_by_id = json_object ();
  chk->runs_by_key = json_object ();
  chk->requests = json_object ();
  err = parse_stops (chk);
  if (err == 0)
    err = read_journals (chk, chk->set.targets, add_execution);
  if (err == 0)
    err = read_journals (chk, chk->set.callers, check_attempt);
  int code = err < 0 ? 2 : report_result (chk);
  json_decref (chk->runs_by_id);
  json_decref (chk->runs_by_key);
  json_decref (chk->requests);
  talloc_free (chk);
  return code;
}
