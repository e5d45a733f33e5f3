#include "test/scenario/judge.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <utlist.h>

#include "test/scenario/explained.h"
#include "test/scenario/fleet.h"
#include "test/scenario/load.h"

#define MAX_OFFENDERS 3
#define MAX_LINES 25 /* of each journal or log, on one offender */

/* An execution, as the stand-in of the targets recorded it.  */
struct execution
{
  const char *id, *key, *host, *result; /* owned by the JSON */
  json_int_t start_us, end_us, cut_us;
  const struct call *call; /* NULL: of no known request */
};

static struct execution *runs;
static int run_count = -1; /* the journal is not read yet */
static struct
{
  const char *id, *key;
} offenders[MAX_OFFENDERS];
static int offender_count;

static const struct call *
find_call (struct scenario *sc, const char *id)
{
  struct load *ld;
  DL_FOREACH (sc->loads, ld)
    for (int n = 0; n < ld->begun; n++)
      if (strcmp (ld->calls[n].id, id) == 0)
        return &ld->calls[n];
  return NULL;
}

/* Waits for the callers, ends the targets and reads their journal.  */
static void
gather (struct scenario *sc)
{
  if (run_count >= 0 || sc->failure)
    return;
  if (!scenario_run_until (sc, load_ended, NULL, SCENARIO_WAIT_MS))
    scenario_fail (sc, "calls stay open");
  fleet_stop_targets (sc);
  char *text
      = read_file (sc, talloc_asprintf (sc, "%s/targets.jsonl", sc->dir));
  char *save;
  run_count = 0;
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
        scenario_fail (sc, "the targets' journal: %s", line);
      else
        {
          run.call = find_call (sc, run.id);
          runs = talloc_realloc (sc, runs, struct execution, run_count + 1);
          runs[run_count++] = run;
        }
      json_array_append_new (sc->keep, obj);
    }
  if (run_count == 0)
    scenario_fail (sc, "nothing ran at the targets");
}

static int
count_runs (const char *id, const char *key)
{
  int count = 0;
  for (int n = 0; n < run_count; n++)
    count += (id && strcmp (runs[n].id, id) == 0)
             || (key && runs[n].key && strcmp (runs[n].key, key) == 0);
  return count;
}

/* Rules: each judges single executions or single calls.  */

enum finding
{
  NOT_CONCERNED,
  GOOD,
  BAD,
};

struct rule
{
  const char *pattern;
  const char *what; /* is wrong with the offenders */
  enum finding (*run) (struct scenario *sc, const struct step *st,
                       const struct execution *run);
  enum finding (*call) (struct scenario *sc, const struct step *st,
                        const struct call *cl);
  bool may_concern_none;
};

static enum finding
find (bool good)
{
  return good ? GOOD : BAD;
}

static enum finding
run_once (struct scenario *sc, const struct step *st,
          const struct execution *run)
{
  return run->key ? find (count_runs (NULL, run->key) == 1) : NOT_CONCERNED;
}

static enum finding
run_uncut (struct scenario *sc, const struct step *st,
           const struct execution *run)
{
  const struct call *cl = run->call;
  return find (!run->cut_us || !cl
               || run->cut_us >= cl->sent_us + cl->ld->deadline_ms * 1000);
}

static enum finding
run_in_time (struct scenario *sc, const struct step *st,
             const struct execution *run)
{
  const struct call *cl = run->call;
  int64_t late_ms = step_number (st, "late", 0);
  return find (!cl
               || run->start_us
                      <= cl->sent_us + (cl->ld->deadline_ms + late_ms) * 1000);
}

static int64_t
left_us (struct scenario *sc, const char *host)
{
  struct fleet *ft = sc->fleet;
  for (int n = 0; n < ft->left_count; n++)
    if (strcmp (ft->left[n].host, host) == 0)
      return ft->left[n].at_us;
  scenario_fail (sc, "host %s was not marked as leaving", host);
  return 0;
}

/* Concerned is what started late enough on any host, so that the proof does
   not rest on a load that was over by then.  */
static enum finding
run_elsewhere (struct scenario *sc, const struct step *st,
               const struct execution *run)
{
  const char *host = step_text (st, "host");
  if (run->start_us <= left_us (sc, host) + step_number (st, "late", 0) * 1000)
    return NOT_CONCERNED;
  return find (strcmp (run->host, host) != 0);
}

static enum finding
run_finishes (struct scenario *sc, const struct step *st,
              const struct execution *run)
{
  const char *host = step_text (st, "host");
  int64_t at_us = left_us (sc, host);
  if (strcmp (run->host, host) != 0 || run->start_us > at_us
      || run->end_us < at_us)
    return NOT_CONCERNED;
  return find (strcmp (run->result, "completed") == 0);
}

static enum finding
not_run_is_true (struct scenario *sc, const struct step *st,
                 const struct call *cl)
{
  if (cl->result != CALL_NOT_RUN && cl->result != CALL_UNREACHABLE)
    return NOT_CONCERNED;
  return find (count_runs (cl->id, NULL) == 0);
}

static enum finding
answer_ran (struct scenario *sc, const struct step *st, const struct call *cl)
{
  if (cl->result != CALL_ANSWERED)
    return NOT_CONCERNED;
  return find (count_runs (cl->id, cl->key) > 0);
}

static enum finding
response_own (struct scenario *sc, const struct step *st,
              const struct call *cl)
{
  if (cl->result == CALL_LOST || cl->result == CALL_UNREACHABLE)
    return cl->strange ? BAD : NOT_CONCERNED;
  return find (!cl->strange);
}

static bool
of_load (const struct step *st, const struct call *cl)
{
  const char *name = step_text (st, "load");
  return strcmp (name, "calls") == 0 || strcmp (name, cl->ld->name) == 0;
}

static enum finding
call_is_so (struct scenario *sc, const struct step *st, const struct call *cl)
{
  if (!of_load (st, cl))
    return NOT_CONCERNED;
  return find (call_is (cl, step_text (st, "outcome")));
}

static enum finding
call_is_not_so (struct scenario *sc, const struct step *st,
                const struct call *cl)
{
  if (!of_load (st, cl))
    return NOT_CONCERNED;
  return find (!call_is (cl, step_text (st, "outcome")));
}

static enum finding
call_knows_edit (struct scenario *sc, const struct step *st,
                 const struct call *cl)
{
  struct edit *ed;
  int64_t late_us = step_number (st, "late", 0) * 1000;
  DL_FOREACH (sc->edits, ed)
    if (strcmp (ed->name, step_text (st, "edit")) == 0 && ed->accepted_us
        && cl->sent_us > ed->accepted_us + late_us)
      return call_is_not_so (sc, st, cl);
  return NOT_CONCERNED;
}

/* Whether an entry process that told AFTER to one call tells OUTCOME to a
   call that was sent later.  */
static enum finding
call_not_older (struct scenario *sc, const struct step *st,
                const struct call *cl)
{
  struct load *ld;
  if (!of_load (st, cl) || !call_is (cl, step_text (st, "outcome")))
    return NOT_CONCERNED;
  DL_FOREACH (sc->loads, ld)
    for (int n = 0; n < ld->begun; n++)
      if (strcmp (ld->calls[n].entry, cl->entry) == 0
          && ld->calls[n].end_us < cl->sent_us
          && call_is (&ld->calls[n], step_text (st, "after")))
        return BAD;
  return GOOD;
}

/* Concerned are calls whose caller was told an outcome.  */
static enum finding
call_explained (struct scenario *sc, const struct step *st,
                const struct call *cl)
{
  if (cl->result != CALL_ANSWERED && cl->result != CALL_NOT_RUN
      && cl->result != CALL_UNKNOWN)
    return NOT_CONCERNED;
  struct entry *en = fleet_next (sc, cl->entry, NULL);
  return find (en && explained_same (sc, en, cl));
}

static const struct rule rules[] = {
  { "expect no key run twice", "a key was run more than once", run_once, NULL,
    false },
  { "expect no work cut off", "work was cut off", run_uncut, NULL, false },
  { "expect nothing started more than <late:time> after its deadline",
    "started after its deadline", run_in_time, NULL, false },
  { "expect nothing started on host <host:word> more than <late:time> after "
    "it was leaving",
    "started on a host that leaves", run_elsewhere, NULL, false },
  { "expect work that ran on host <host:word> when it was leaving to finish",
    "did not finish on a host that leaves", run_finishes, NULL, false },
  { "expect nothing run that was told not_run", "told not_run, but ran", NULL,
    not_run_is_true, true },
  { "expect every answer run", "answered, but never ran", NULL, answer_ran,
    false },
  { "expect explain to tell what every caller was told",
    "explain does not tell what the caller was told", NULL, call_explained,
    false },
  { "expect every response whole and own", "not a whole response of its own",
    NULL, response_own, false },
  { "expect all of <load:word> <outcome:word>", "another outcome", NULL,
    call_is_so, false },
  { "expect none of <load:word> <outcome:word>", "such an outcome", NULL,
    call_is_not_so, false },
  { "expect none of <load:word> <outcome:word> more than <late:time> after "
    "edit <edit:word>",
    "the edit is not in force", NULL, call_knows_edit, false },
  { "expect none of <load:word> <outcome:word> once its entry process told "
    "<after:word>",
    "the older state came back", NULL, call_not_older, false },
};
#define RULES ((int)(sizeof rules / sizeof *rules))

static void
offend (struct scenario *sc, const char *what, const char *id, const char *key)
{
  scenario_fail (sc, "%s: %s", what, id);
  if (offender_count < MAX_OFFENDERS)
    {
      offenders[offender_count].id = id;
      offenders[offender_count++].key = key;
    }
}

static void
run_rule (struct scenario *sc, const struct step *st)
{
  const struct rule *rl = rules;
  struct load *ld;
  int concerned = 0;
  while (rl->pattern != st->def->pattern)
    rl++;
  gather (sc);
  for (int n = 0; rl->run && n < run_count; n++)
    {
      enum finding fd = rl->run (sc, st, &runs[n]);
      concerned += fd != NOT_CONCERNED;
      if (fd == BAD)
        offend (sc, rl->what, runs[n].id, runs[n].key);
    }
  DL_FOREACH (sc->loads, ld)
    for (int n = 0; rl->call && n < ld->begun; n++)
      {
        enum finding fd = rl->call (sc, st, &ld->calls[n]);
        concerned += fd != NOT_CONCERNED;
        if (fd == BAD)
          offend (sc, rl->what, ld->calls[n].id, ld->calls[n].key);
      }
  if (concerned == 0 && !rl->may_concern_none)
    scenario_fail (sc, "nothing to judge for: %s", st->text);
}

/* Counts  */

/* The bound is "N" or "N%" of the calls.  */
static void
run_share (struct scenario *sc, const struct step *st)
{
  struct load *ld;
  const char *bound_text = step_text (st, "n");
  double bound = atof (bound_text);
  int calls = 0;
  int count = 0;
  gather (sc);
  DL_FOREACH (sc->loads, ld)
    for (int n = 0; n < ld->begun; n++)
      if (of_load (st, &ld->calls[n]))
        {
          calls++;
          count += call_is (&ld->calls[n], step_text (st, "outcome"));
        }
  if (strchr (bound_text, '%'))
    bound = bound * calls / 100;
  bool least = strncmp (st->text, "expect at least", 15) == 0;
  if (calls == 0 || (least ? count < bound : count > bound))
    scenario_fail (sc, "%d of %d calls: %s", count, calls, st->text);
}

static void
run_hosts (struct scenario *sc, const struct step *st)
{
  const char *dc = step_text (st, "dc");
  int hosts = 0;
  gather (sc);
  for (int n = 0; n < run_count; n++)
    {
      int first = 0;
      while (strcmp (runs[first].host, runs[n].host) != 0)
        first++;
      hosts += first == n && *runs[n].host == *dc;
    }
  if (hosts < step_number (st, "n", 1))
    scenario_fail (sc, "only %d hosts ran work in data centre %s", hosts, dc);
}

static void
run_edits (struct scenario *sc, const struct step *st)
{
  struct edit *ed;
  int accepted = 0;
  DL_FOREACH (sc->edits, ed)
    accepted += ed->accepted_us != 0;
  if (accepted != step_number (st, "n", 0))
    scenario_fail (sc, "%d edits were accepted", accepted);
}

static const struct step_def counts[] = {
  { "expect at (least|most) <n:word> of <load:word> <outcome:word>",
    run_share },
  { "expect work on at least <n:number> hosts of <dc:who>", run_hosts },
  { "expect exactly <n:number> edits? accepted", run_edits },
  { NULL, NULL },
};

void
judge_add_steps (struct step_def *defs)
{
  for (int n = 0; n < RULES; n++)
    defs[n] = (struct step_def){ rules[n].pattern, run_rule };
  memcpy (defs + RULES, counts, sizeof counts);
}

/* Report  */

static void
print_lines (const char *path, const char *label, const char *text,
             const char *other)
{
  char *all = read_file (NULL, path);
  char *save;
  int left = MAX_LINES;
  for (char *line = strtok_r (all, "\n", &save); line && left > 0;
       line = strtok_r (NULL, "\n", &save))
    if (strstr (line, text) || (other && strstr (line, other)))
      {
        printf ("    %s: %s\n", label, line);
        left--;
      }
  talloc_free (all);
}

static void
print_offender (struct scenario *sc, const char *id, const char *key)
{
  static const char *const journals[] = { "callers", "targets" };
  char *in_json = talloc_asprintf (sc, "\"%s\"", id);
  char *key_json = key ? talloc_asprintf (sc, "\"%s\"", key) : NULL;
  char *in_log = talloc_asprintf (sc, "request=%s ", id);
  printf ("  request %s%s%s\n", id, key ? " under key " : "", key ? key : "");
  for (int n = 0; n < 2; n++)
    print_lines (talloc_asprintf (sc, "%s/%s.jsonl", sc->dir, journals[n]),
                 journals[n], in_json, key_json);
  for (struct entry *en = NULL; (en = fleet_next (sc, "all", en));)
    if (en->ps)
      print_lines (en->ps->log, en->name, in_log, NULL);
}

void
judge_print_trace (struct scenario *sc)
{
  printf ("%s failed: %s\nsteps, with times in s since the start:\n", sc->name,
          sc->failure);
  for (int n = 0; n < sc->step_count; n++)
    printf ("  %7.3f  %s\n", (double)(sc->steps[n].at_us - sc->start_us) / 1e6,
            sc->steps[n].text);
  for (struct entry *en = NULL; (en = fleet_next (sc, "all", en));)
    if (en->ps)
      print_lines (en->ps->log, en->name, "Sanitizer", "    #");
  for (int n = 0; n < offender_count; n++)
    print_offender (sc, offenders[n].id, offenders[n].key);
  printf ("journals and logs: %s\n", sc->dir);
}

void
judge_print_summary (struct scenario *sc)
{
  struct load *ld;
  DL_FOREACH (sc->loads, ld)
    {
      int by_result[CALL_UNREACHABLE + 1] = { 0 };
      printf ("  %s: %d %s:", ld->name, ld->begun, ld->kind);
      for (int n = 0; n < ld->begun; n++)
        by_result[ld->calls[n].result]++;
      for (int n = 0; n <= CALL_UNREACHABLE; n++)
        if (by_result[n] > 0)
          printf (" %d %s", by_result[n], call_result_name (n));
      printf ("\n");
    }
  printf ("  executions: %d\n", run_count);
}
