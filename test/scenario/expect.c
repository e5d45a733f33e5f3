#include "test/scenario/expect.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <utlist.h>

#include "test/scenario/explain_check.h"
#include "test/scenario/fleet.h"
#include "test/scenario/load.h"

#define VIOLATIONS_MAX 3 /* requests that the failure report covers */
/* Lines that the failure report prints of one journal or log, per request.  */
#define LINES_PER_FILE_MAX 25

/* An execution, as recorded in the targets' journal.  */
struct execution
{
  const char *id, *key, *host, *result; /* owned by scenario.json_refs */
  json_int_t start_us, end_us, cut_us;
  const struct call *call; /* call that caused it, or NULL when unknown */
};

static struct execution *executions;
static int execution_count = -1; /* -1: the journal has not been read */
static struct
{
  const char *id, *key;
} violations[VIOLATIONS_MAX];
static int violation_count;

static const struct call *
find_call (struct scenario *sc, const char *id)
{
  struct load *ld;
  DL_FOREACH (sc->loads, ld)
    for (int n = 0; n < ld->sent_count; n++)
      if (strcmp (ld->calls[n].id, id) == 0)
        return &ld->calls[n];
  return NULL;
}

/* Waits for the end of all calls, stops the targets and reads their journal.
   Later calls do nothing.  */
static void
read_executions (struct scenario *sc)
{
  if (execution_count >= 0 || sc->failure)
    return;
  if (!scenario_run_until (sc, load_ended, NULL, SCENARIO_WAIT_TIMEOUT_MS))
    scenario_fail (sc, "some calls did not end in time");
  fleet_stop_targets (sc);
  char *text
      = read_file (sc, talloc_asprintf (sc, "%s/targets.jsonl", sc->out_dir));
  char *save;
  execution_count = 0;
  for (char *line = strtok_r (text, "\n", &save); line;
       line = strtok_r (NULL, "\n", &save))
    {
      struct execution run = { .key = NULL };
      json_t *obj = json_loads (line, 0, NULL);
      if (json_unpack (obj, "{s:s, s?s, s:s, s:s, s:I, s:I, s:I}",
                       "request_id", &run.id, "key", &run.key, "host",
                       &run.host, "result", &run.result, "start_us",
                       &run.start_us, "end_us", &run.end_us, "cut_us",
                       &run.cut_us)
          != 0)
        scenario_fail (sc, "bad line in the targets' journal: %s", line);
      else
        {
          run.call = find_call (sc, run.id);
          executions = talloc_realloc (sc, executions, struct execution,
                                       execution_count + 1);
          executions[execution_count++] = run;
        }
      json_array_append_new (sc->json_refs, obj);
    }
  if (execution_count == 0)
    scenario_fail (sc, "the targets' journal has no executions");
}

static int
count_executions (const char *id, const char *key)
{
  int count = 0;
  for (int n = 0; n < execution_count; n++)
    count += (id && strcmp (executions[n].id, id) == 0)
             || (key && executions[n].key
                 && strcmp (executions[n].key, key) == 0);
  return count;
}

/* Rules, each of which checks single executions or single calls  */

enum check_result
{
  CHECK_NOT_APPLICABLE,
  CHECK_PASSED,
  CHECK_FAILED,
};

struct rule
{
  const char *pattern;
  const char *violation; /* message about an execution or call that fails */
  enum check_result (*check_execution) (struct scenario *sc,
                                        const struct step *st,
                                        const struct execution *run);
  enum check_result (*check_call) (struct scenario *sc, const struct step *st,
                                   const struct call *cl);
  bool may_apply_to_none; /* passes also when it applies to nothing */
};

static enum check_result
passed_if (bool good)
{
  return good ? CHECK_PASSED : CHECK_FAILED;
}

static enum check_result
check_key_executed_once (struct scenario *sc, const struct step *st,
                         const struct execution *run)
{
  return run->key ? passed_if (count_executions (NULL, run->key) == 1)
                  : CHECK_NOT_APPLICABLE;
}

static enum check_result
check_not_cut_off (struct scenario *sc, const struct step *st,
                   const struct execution *run)
{
  const struct call *cl = run->call;
  return passed_if (!run->cut_us || !cl
                    || run->cut_us
                           >= cl->sent_us + cl->ld->deadline_ms * 1000);
}

static enum check_result
check_started_in_time (struct scenario *sc, const struct step *st,
                       const struct execution *run)
{
  const struct call *cl = run->call;
  int64_t late_ms = step_number (st, "late", 0);
  return passed_if (!cl
                    || run->start_us
                           <= cl->sent_us
                                  + (cl->ld->deadline_ms + late_ms) * 1000);
}

static int64_t
leaving_since_us (struct scenario *sc, const char *host)
{
  struct fleet *ft = sc->fleet;
  for (int n = 0; n < ft->leaving_count; n++)
    if (strcmp (ft->leaving_hosts[n].host, host) == 0)
      return ft->leaving_hosts[n].at_us;
  scenario_fail (sc, "host %s was not marked as leaving", host);
  return 0;
}

/* Applies to the executions on all hosts that started late enough, so that the
   rule cannot pass because the load had ended before.  */
static enum check_result
check_not_on_leaving_host (struct scenario *sc, const struct step *st,
                           const struct execution *run)
{
  const char *host = step_text (st, "host");
  if (run->start_us
      <= leaving_since_us (sc, host) + step_number (st, "late", 0) * 1000)
    return CHECK_NOT_APPLICABLE;
  return passed_if (strcmp (run->host, host) != 0);
}

static enum check_result
check_finished_on_leaving_host (struct scenario *sc, const struct step *st,
                                const struct execution *run)
{
  const char *host = step_text (st, "host");
  int64_t at_us = leaving_since_us (sc, host);
  if (strcmp (run->host, host) != 0 || run->start_us > at_us
      || run->end_us < at_us)
    return CHECK_NOT_APPLICABLE;
  return passed_if (strcmp (run->result, "completed") == 0);
}

static enum check_result
check_not_run (struct scenario *sc, const struct step *st,
               const struct call *cl)
{
  if (cl->result != CALL_NOT_RUN && cl->result != CALL_UNREACHABLE)
    return CHECK_NOT_APPLICABLE;
  return passed_if (count_executions (cl->id, NULL) == 0);
}

static enum check_result
check_answer_executed (struct scenario *sc, const struct step *st,
                       const struct call *cl)
{
  if (cl->result != CALL_ANSWERED)
    return CHECK_NOT_APPLICABLE;
  return passed_if (count_executions (cl->id, cl->key) > 0);
}

static enum check_result
check_response (struct scenario *sc, const struct step *st,
                const struct call *cl)
{
  if (cl->result == CALL_LOST || cl->result == CALL_UNREACHABLE)
    return cl->response_error ? CHECK_FAILED : CHECK_NOT_APPLICABLE;
  return passed_if (!cl->response_error);
}

static bool
call_in_load (const struct step *st, const struct call *cl)
{
  const char *name = step_text (st, "load");
  return strcmp (name, "calls") == 0 || strcmp (name, cl->ld->name) == 0;
}

static enum check_result
check_outcome (struct scenario *sc, const struct step *st,
               const struct call *cl)
{
  if (!call_in_load (st, cl))
    return CHECK_NOT_APPLICABLE;
  return passed_if (call_is (cl, step_text (st, "outcome")));
}

static enum check_result
check_not_outcome (struct scenario *sc, const struct step *st,
                   const struct call *cl)
{
  if (!call_in_load (st, cl))
    return CHECK_NOT_APPLICABLE;
  return passed_if (!call_is (cl, step_text (st, "outcome")));
}

static enum check_result
check_edit_applied (struct scenario *sc, const struct step *st,
                    const struct call *cl)
{
  struct edit *ed;
  int64_t late_us = step_number (st, "late", 0) * 1000;
  DL_FOREACH (sc->edits, ed)
    if (strcmp (ed->name, step_text (st, "edit")) == 0 && ed->accepted_us
        && cl->sent_us > ed->accepted_us + late_us)
      return check_not_outcome (sc, st, cl);
  return CHECK_NOT_APPLICABLE;
}

/* Fails a call with OUTCOME when the same entry process had answered a call
   with AFTER before this one was sent.  */
static enum check_result
check_no_older_state (struct scenario *sc, const struct step *st,
                      const struct call *cl)
{
  struct load *ld;
  if (!call_in_load (st, cl) || !call_is (cl, step_text (st, "outcome")))
    return CHECK_NOT_APPLICABLE;
  DL_FOREACH (sc->loads, ld)
    for (int n = 0; n < ld->sent_count; n++)
      if (strcmp (ld->calls[n].entry, cl->entry) == 0
          && ld->calls[n].end_us < cl->sent_us
          && call_is (&ld->calls[n], step_text (st, "after")))
        return CHECK_FAILED;
  return CHECK_PASSED;
}

/* Applies to the calls whose caller received an outcome.  */
static enum check_result
check_explained (struct scenario *sc, const struct step *st,
                 const struct call *cl)
{
  if (cl->result != CALL_ANSWERED && cl->result != CALL_NOT_RUN
      && cl->result != CALL_UNKNOWN)
    return CHECK_NOT_APPLICABLE;
  struct entry *en = fleet_next_entry (sc, cl->entry, NULL);
  return passed_if (en && explain_check_call (sc, en, cl));
}

static const struct rule rules[] = {
  { "expect no key run twice", "key executed more than once",
    check_key_executed_once, NULL, false },
  { "expect no work cut off", "execution cut off before its deadline",
    check_not_cut_off, NULL, false },
  { "expect nothing started more than <late:time> after its deadline",
    "execution started after its deadline", check_started_in_time, NULL,
    false },
  { "expect nothing started on host <host:word> more than <late:time> after "
    "it was leaving",
    "execution started on a leaving host", check_not_on_leaving_host, NULL,
    false },
  { "expect work that ran on host <host:word> when it was leaving to finish",
    "execution not finished on a leaving host", check_finished_on_leaving_host,
    NULL, false },
  { "expect nothing run that was told not_run",
    "outcome not_run, but executed", NULL, check_not_run, true },
  { "expect every answer run", "outcome answered, but never executed", NULL,
    check_answer_executed, false },
  { "expect explain to tell what every caller was told",
    "explain differs from what the caller received", NULL, check_explained,
    false },
  { "expect every response whole and own",
    "response incomplete or of another request", NULL, check_response, false },
  { "expect all of <load:word> <outcome:word>",
    "call without the expected outcome", NULL, check_outcome, false },
  { "expect none of <load:word> <outcome:word>",
    "call with an outcome that is not allowed", NULL, check_not_outcome,
    false },
  { "expect none of <load:word> <outcome:word> more than <late:time> after "
    "edit <edit:word>",
    "edit not applied to a call", NULL, check_edit_applied, false },
  { "expect none of <load:word> <outcome:word> once its entry process told "
    "<after:word>",
    "entry process went back to an older state", NULL, check_no_older_state,
    false },
};
#define RULE_COUNT ((int)(sizeof rules / sizeof *rules))

static void
add_violation (struct scenario *sc, const char *what, const char *id,
               const char *key)
{
  scenario_fail (sc, "%s: %s", what, id);
  if (violation_count < VIOLATIONS_MAX)
    {
      violations[violation_count].id = id;
      violations[violation_count++].key = key;
    }
}

static void
run_expect_rule (struct scenario *sc, const struct step *st)
{
  const struct rule *rl = rules;
  struct load *ld;
  int checked_count = 0;
  while (rl->pattern != st->def->pattern)
    rl++;
  read_executions (sc);
  for (int n = 0; rl->check_execution && n < execution_count; n++)
    {
      enum check_result result = rl->check_execution (sc, st, &executions[n]);
      checked_count += result != CHECK_NOT_APPLICABLE;
      if (result == CHECK_FAILED)
        add_violation (sc, rl->violation, executions[n].id, executions[n].key);
    }
  DL_FOREACH (sc->loads, ld)
    for (int n = 0; rl->check_call && n < ld->sent_count; n++)
      {
        enum check_result result = rl->check_call (sc, st, &ld->calls[n]);
        checked_count += result != CHECK_NOT_APPLICABLE;
        if (result == CHECK_FAILED)
          add_violation (sc, rl->violation, ld->calls[n].id, ld->calls[n].key);
      }
  if (checked_count == 0 && !rl->may_apply_to_none)
    scenario_fail (sc, "no execution or call to check for: %s", st->text);
}

/* Steps that check a count  */

/* The bound is a number of calls, "N", or a share of them, "N%".  */
static void
run_expect_share (struct scenario *sc, const struct step *st)
{
  struct load *ld;
  const char *bound_text = step_text (st, "n");
  double bound = atof (bound_text);
  int calls = 0;
  int count = 0;
  read_executions (sc);
  DL_FOREACH (sc->loads, ld)
    for (int n = 0; n < ld->sent_count; n++)
      if (call_in_load (st, &ld->calls[n]))
        {
          calls++;
          count += call_is (&ld->calls[n], step_text (st, "outcome"));
        }
  if (strchr (bound_text, '%'))
    bound = bound * calls / 100;
  bool at_least = strncmp (st->text, "expect at least", 15) == 0;
  if (calls == 0 || (at_least ? count < bound : count > bound))
    scenario_fail (sc, "%d of %d calls have the outcome, which violates: %s",
                   count, calls, st->text);
}

static void
run_expect_hosts (struct scenario *sc, const struct step *st)
{
  const char *dc = step_text (st, "dc");
  int hosts = 0;
  read_executions (sc);
  for (int n = 0; n < execution_count; n++)
    {
      int first = 0;
      while (strcmp (executions[first].host, executions[n].host) != 0)
        first++;
      hosts += first == n && *executions[n].host == *dc;
    }
  if (hosts < step_number (st, "n", 1))
    scenario_fail (sc, "too few hosts executed work: %d in data centre %s",
                   hosts, dc);
}

static void
run_expect_edits (struct scenario *sc, const struct step *st)
{
  struct edit *ed;
  int accepted = 0;
  DL_FOREACH (sc->edits, ed)
    accepted += ed->accepted_us != 0;
  if (accepted != step_number (st, "n", 0))
    scenario_fail (sc, "unexpected number of accepted edits: %d", accepted);
}

static const struct step_def count_steps[] = {
  { "expect at (least|most) <n:word> of <load:word> <outcome:word>",
    run_expect_share },
  { "expect work on at least <n:number> hosts of <dc:who>", run_expect_hosts },
  { "expect exactly <n:number> edits? accepted", run_expect_edits },
  { NULL, NULL },
};

void
expect_add_steps (struct step_def *defs)
{
  for (int n = 0; n < RULE_COUNT; n++)
    defs[n] = (struct step_def){ rules[n].pattern, run_expect_rule };
  memcpy (defs + RULE_COUNT, count_steps, sizeof count_steps);
}

/* Failure report  */

static void
print_lines (const char *path, const char *label, const char *text,
             const char *other)
{
  char *all = read_file (NULL, path);
  char *save;
  int lines_left = LINES_PER_FILE_MAX;
  for (char *line = strtok_r (all, "\n", &save); line && lines_left > 0;
       line = strtok_r (NULL, "\n", &save))
    if (strstr (line, text) || (other && strstr (line, other)))
      {
        printf ("    %s: %s\n", label, line);
        lines_left--;
      }
  talloc_free (all);
}

static void
print_violation (struct scenario *sc, const char *id, const char *key)
{
  static const char *const journals[] = { "callers", "targets" };
  char *id_json = talloc_asprintf (sc, "\"%s\"", id);
  char *key_json = key ? talloc_asprintf (sc, "\"%s\"", key) : NULL;
  char *id_in_log = talloc_asprintf (sc, "request=%s ", id);
  printf ("  request %s%s%s\n", id, key ? " under key " : "", key ? key : "");
  for (int n = 0; n < 2; n++)
    print_lines (talloc_asprintf (sc, "%s/%s.jsonl", sc->out_dir, journals[n]),
                 journals[n], id_json, key_json);
  for (struct entry *en = NULL; (en = fleet_next_entry (sc, "all", en));)
    if (en->ps)
      print_lines (en->ps->log, en->name, id_in_log, NULL);
}

void
expect_print_failure (struct scenario *sc)
{
  printf ("%s failed: %s\nsteps, with times in s since the start:\n", sc->name,
          sc->failure);
  for (int n = 0; n < sc->step_count; n++)
    printf ("  %7.3f  %s\n", (double)(sc->steps[n].at_us - sc->start_us) / 1e6,
            sc->steps[n].text);
  for (struct entry *en = NULL; (en = fleet_next_entry (sc, "all", en));)
    if (en->ps)
      /* Reports of the sanitizers, with the frames of their stack traces.  */
      print_lines (en->ps->log, en->name, "Sanitizer", "    #");
  for (int n = 0; n < violation_count; n++)
    print_violation (sc, violations[n].id, violations[n].key);
  printf ("journals and logs: %s\n", sc->out_dir);
}

void
expect_print_summary (struct scenario *sc)
{
  struct load *ld;
  DL_FOREACH (sc->loads, ld)
    {
      int by_result[CALL_UNREACHABLE + 1] = { 0 };
      printf ("  %s: %d %s:", ld->name, ld->sent_count, ld->kind);
      for (int n = 0; n < ld->sent_count; n++)
        by_result[ld->calls[n].result]++;
      for (int n = 0; n <= CALL_UNREACHABLE; n++)
        if (by_result[n] > 0)
          printf (" %d %s", by_result[n], call_result_name (n));
      printf ("\n");
    }
  printf ("  executions: %d\n", execution_count);
}
