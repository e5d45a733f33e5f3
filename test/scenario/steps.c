#include "test/scenario/steps.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <utlist.h>

#include "test/scenario/fleet.h"
#include "test/scenario/expect.h"
#include "test/scenario/load.h"
#include "test/scenario/raw.h"

#define DEFAULT_DEADLINE_MS 5000
#define DEFAULT_SERVICE_MS 20

static void
run_set_options (struct scenario *sc, const struct step *st)
{
  static const char *const programs[] = { "serve", "target", "platform" };
  for (int n = 0; n < 3; n++)
    if (strcmp (programs[n], step_text (st, "program")) == 0)
      sc->fleet->options[n] = step_text (st, "options");
}

static void
run_fleet (struct scenario *sc, const struct step *st)
{
  fleet_start (sc, (int)step_number (st, "dcs", 1), step_text (st, "pools"));
}

/* Entry processes  */

static bool
entries_ready (struct scenario *sc, void *who)
{
  for (struct entry *en = NULL; (en = fleet_next_entry (sc, who, en));)
    if (en->caller_address[0] && !en->ready)
      return false;
  return true;
}

static void
run_wait_ready (struct scenario *sc, const struct step *st)
{
  char *who = talloc_strdup (sc, step_text (st, "who"));
  if (!scenario_run_until (sc, entries_ready, who, SCENARIO_WAIT_TIMEOUT_MS))
    scenario_fail (sc, "not every entry process of %s became ready in time",
                   who);
}

/* "start N entry processes" starts the first N of each data centre.  */
static void
run_start (struct scenario *sc, const struct step *st)
{
  const char *who = step_text (st, "who") ? step_text (st, "who") : "all";
  int64_t count = step_number (st, "n", ENTRIES_PER_DC);
  for (struct entry *en = NULL; (en = fleet_next_entry (sc, who, en));)
    if (en->name[1] - '0' <= count && !sc->failure)
      fleet_start_entry (sc, en);
  if (!strstr (st->text, "without waiting")
      && !scenario_run_until (sc, entries_ready, (void *)who,
                              SCENARIO_WAIT_TIMEOUT_MS))
    scenario_fail (sc, "not every entry process of %s became ready in time",
                   who);
}

static void
run_signal (struct scenario *sc, const struct step *st)
{
  static const struct
  {
    const char *verb;
    int sig;
  } verbs[] = { { "stop ", SIGTERM },
                { "kill ", SIGKILL },
                { "freeze ", SIGSTOP },
                { "resume ", SIGCONT } };
  int count = 0;
  int verb = 0;
  while (strncmp (st->text, verbs[verb].verb, strlen (verbs[verb].verb)) != 0)
    verb++;
  for (struct entry *en = NULL;
       (en = fleet_next_entry (sc, step_text (st, "who"), en));)
    if (en->ps && !en->ps->exited)
      {
        int sig = verbs[verb].sig;
        en->ps->may_exit |= sig == SIGTERM || sig == SIGKILL;
        process_signal (en->ps, sig);
        count++;
      }
  if (count == 0)
    scenario_fail (sc, "no entry process of %s is running",
                   step_text (st, "who"));
}

static void
run_wait_exit (struct scenario *sc, const struct step *st)
{
  for (struct entry *en = NULL;
       (en = fleet_next_entry (sc, step_text (st, "who"), en));)
    if (!en->ps)
      continue;
    else if (!scenario_run_until (
                 sc, process_exited, en->ps,
                 step_number (st, "bound", SCENARIO_WAIT_TIMEOUT_MS)))
      scenario_fail (sc, "entry process %s did not exit in time", en->name);
    else if (en->ps->status != step_number (st, "status", 0) << 8)
      scenario_fail (sc,
                     "entry process %s ended with another status than "
                     "expected: %s (see %s)",
                     en->name, process_status (en->ps), en->ps->log);
}

/* Faults of the stand-ins  */

static const char *
stand_in_control (struct scenario *sc, const struct step *st)
{
  return strcmp (step_text (st, "where"), "platform") == 0
             ? sc->fleet->platform_control
             : sc->fleet->target_control;
}

static void
run_set_fault (struct scenario *sc, const struct step *st)
{
  const char *host = step_text (st, "host");
  const char *match = step_text (st, "match");
  bool platform = strcmp (step_text (st, "where"), "platform") == 0;
  if (match)
    match
        = talloc_asprintf (sc, "POST /%s/%s", platform ? "log" : "run", match);
  json_t *spec = json_pack (
      "{s:s, s:I, s:s*, s:s*, s:I}", "fault", step_text (st, "fault"), "value",
      (json_int_t)step_number (st, "ms", step_number (st, "value", 0)), "host",
      host, "match", match, "count",
      (json_int_t)step_number (st, "times", -1));
  char *text = json_dumps (spec, JSON_COMPACT);
  fleet_set_fault (sc, stand_in_control (sc, st), text);
  free (text);
  json_decref (spec);
}

static void
run_clear_faults (struct scenario *sc, const struct step *st)
{
  const char *fault = step_text (st, "fault");
  fleet_clear_faults (sc, stand_in_control (sc, st),
                      fault ? talloc_asprintf (sc, "?fault=%s", fault) : "");
}

static void
run_cut_peers (struct scenario *sc, const struct step *st)
{
  for (struct entry *en = NULL;
       (en = fleet_next_entry (sc, step_text (st, "who"), en));)
    fleet_set_peers_cut (sc, en, true);
}

/* "cut" cuts only the connection to the platform; "heal" also restores the
   links to the peers.  */
static void
run_cut_platform_or_heal (struct scenario *sc, const struct step *st)
{
  const char *control = sc->fleet->platform_control;
  for (struct entry *en = NULL;
       (en = fleet_next_entry (sc, step_text (st, "who"), en));)
    if (strncmp (st->text, "cut ", 4) == 0)
      fleet_set_fault (sc, control,
                       talloc_asprintf (sc,
                                        "{\"fault\":\"cut\",\"host\":\"%s\"}",
                                        en->name));
    else
      {
        fleet_clear_faults (
            sc, control, talloc_asprintf (sc, "?fault=cut&host=%s", en->name));
        fleet_set_peers_cut (sc, en, false);
      }
}

/* Changes the host's state in the platform's list alone; the target itself
   still accepts work.  */
static void
run_mark_leaving (struct scenario *sc, const struct step *st)
{
  struct fleet *ft = sc->fleet;
  const char *host = step_text (st, "host");
  if (ft->leaving_count
      == sizeof ft->leaving_hosts / sizeof *ft->leaving_hosts)
    {
      scenario_fail (sc, "too many hosts marked as leaving");
      return;
    }
  ft->leaving_hosts[ft->leaving_count].host = host;
  ft->leaving_hosts[ft->leaving_count++].at_us = wall_us ();
  fleet_set_fault (sc, ft->platform_control,
                   talloc_asprintf (sc,
                                    "{\"fault\":\"host_state\",\"host\":"
                                    "\"%s\",\"state\":\"leaving\"}",
                                    host));
}

/* Edits of the table  */

static void
run_edit (struct scenario *sc, const struct step *st)
{
  struct edit *ed = talloc_zero (sc, struct edit);
  char *csv = read_file (sc, sc->fleet->table_path);
  const char *cell
      = csv_find_cell (csv, step_text (st, "sort"), step_text (st, "row"),
                       step_text (st, "column"));
  char *path
      = talloc_asprintf (sc, "%s/%s.csv", sc->out_dir, step_text (st, "name"));
  FILE *out = cell ? fopen (path, "w") : NULL;
  if (!out
      || fprintf (out, "%.*s%s%s", (int)(cell - csv), csv,
                  step_text (st, "value"), cell + strcspn (cell, ",\n"))
             < 0
      || fclose (out) != 0)
    {
      scenario_fail (
          sc, "cannot write the edited table: no such cell, or a file error");
      return;
    }
  ed->name = step_text (st, "name");
  ed->ps = fleet_start_table_command (sc, ed->name, "import", path);
  if (ed->ps)
    DL_APPEND (sc->edits, ed);
}

static bool
edits_ended (struct scenario *sc, void *arg)
{
  struct edit *ed;
  bool ended = true;
  DL_FOREACH (sc->edits, ed)
    {
      ended &= ed->ps->exited;
      if (ed->ps->exited && ed->ps->status == 0 && !ed->accepted_us)
        ed->accepted_us = wall_us ();
    }
  return ended;
}

static void
run_wait_edits (struct scenario *sc, const struct step *st)
{
  if (!scenario_run_until (sc, edits_ended, NULL, SCENARIO_WAIT_TIMEOUT_MS))
    scenario_fail (sc, "the edit commands did not exit in time");
}

/* Loads  */

static void
start_load (struct scenario *sc, const struct step *st, const char *kind,
            int64_t count, const struct load *original)
{
  struct load *ld = talloc_zero (sc, struct load);
  char *csv = read_file (ld, sc->fleet->table_path);
  const char *idempotent = csv_find_cell (csv, "kind", kind, "idempotent");
  const char *name = step_text (st, "name");
  ld->sc = sc;
  ld->kind = kind;
  ld->name = name ? name : original ? "retries" : kind;
  ld->destination = step_text (st, "who");
  ld->count = (int)count;
  ld->original = original;
  ld->duration_ms = step_number (st, "over", 0);
  ld->deadline_ms = step_number (st, "deadline", DEFAULT_DEADLINE_MS);
  ld->service_ms = step_number (st, "service", DEFAULT_SERVICE_MS);
  ld->body_bytes = step_number (st, "bytes", -1);
  ld->send_keys = idempotent && strncmp (idempotent, "no", 2) == 0;
  load_start (ld);
}

static void
run_send (struct scenario *sc, const struct step *st)
{
  start_load (sc, st, step_text (st, "kind"), step_number (st, "n", 1), NULL);
}

static void
run_retry (struct scenario *sc, const struct step *st)
{
  struct load *ld = load_find (sc, step_text (st, "load"));
  if (ld)
    start_load (sc, st, ld->kind, ld->count, ld);
}

static void
run_wait_load (struct scenario *sc, const struct step *st)
{
  const char *name = step_text (st, "load");
  struct load *ld = strcmp (name, "calls") == 0 ? NULL : load_find (sc, name);
  if (!scenario_run_until (sc, load_ended, ld, 2 * SCENARIO_WAIT_TIMEOUT_MS))
    scenario_fail (sc, "calls of the load %s did not end in time", name);
}

static void
run_wait (struct scenario *sc, const struct step *st)
{
  scenario_pause (sc, step_number (st, "time", 0));
}

const struct step_def action_steps[] = {
  { "with <program:word> options <options:rest>", run_set_options },
  { "fleet of <dcs:number> data centres? with <pools:rest>", run_fleet },
  { "start <n:number> entry process(es)? in each data centre [without "
    "waiting]",
    run_start },
  { "start <n:number> entry process(es)? in <who:who> [without waiting]",
    run_start },
  { "start <who:who>", run_start },
  { "(stop|kill|freeze|resume) <who:who>", run_signal },
  { "cut <who:who> from platform", run_cut_platform_or_heal },
  { "cut <who:who> from peers", run_cut_peers },
  { "heal <who:who>", run_cut_platform_or_heal },
  { "fault <where:word> <fault:word> [by <ms:time>] [of <value:number>] [at "
    "<host:word>] [on <match:word>] [<times:number> times]",
    run_set_fault },
  { "clear <where:word> [<fault:word>]", run_clear_faults },
  { "mark host <host:word> leaving", run_mark_leaving },
  { "edit <sort:word> <row:word> <column:word> <value:word> as <name:word>",
    run_edit },
  { "send <n:number> <kind:word> [over <over:time>] to <who:who> [taking "
    "<service:time>] [of <bytes:number> bytes] [with deadline "
    "<deadline:time>] [as <name:word>]",
    run_send },
  { "retry <load:word> [over <over:time>] at <who:who> [with deadline "
    "<deadline:time>] [as <name:word>]",
    run_retry },
  { "flood <who:who> with <n:number> connections", raw_flood },
  { "send bad input to <who:who>", raw_bad_input },
  { "wait for edits", run_wait_edits },
  { "wait for <who:who> to exit <status:number> [within <bound:time>]",
    run_wait_exit },
  { "wait until <who:who> is ready", run_wait_ready },
  { "wait for <load:word>", run_wait_load },
  { "wait <time:time>", run_wait },
  { NULL, NULL },
};
