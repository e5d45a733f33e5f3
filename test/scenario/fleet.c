#include "test/scenario/fleet.h"

#include <curl/curl.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define READY_POLL_MS 100
#define READY_TIMEOUT_MS 1000L
#define CONTROL_TIMEOUT_MS 5000L
#define ARGV_MAX 40

char *
read_file (void *parent, const char *path)
{
  FILE *file = fopen (path, "r");
  char *text = talloc_strdup (parent, "");
  char buf[4096];
  size_t len;
  while (file && (len = fread (buf, 1, sizeof buf, file)) > 0)
    text = talloc_strndup_append (text, buf, len);
  if (file)
    fclose (file);
  return text;
}

const char *
csv_find_cell (const char *csv, const char *row_type, const char *name,
               const char *column)
{
  char *start = talloc_asprintf (NULL, "\n%s,%s,", row_type, name);
  char *head = talloc_asprintf (start, ",%s,", column);
  const char *row = strstr (csv, start);
  const char *at = strstr (csv, head);
  row = row && at ? row + 1 : NULL;
  for (const char *p = csv; row && p <= at; p++)
    if (*p == ',')
      row += strcspn (row, ",\n") + 1;
  talloc_free (start);
  return row;
}

/* Processes  */

/* Starts the program whose path is in the environment variable ENV.  FORMAT
   gives its arguments, separated by spaces.  */
static struct process *__attribute__ ((format (printf, 6, 7)))
start_program (struct scenario *sc, const char *name, const char *env,
               process_line_fn *fn, void *arg, const char *format, ...)
{
  char *argv[ARGV_MAX] = { getenv (env) };
  int count = 1;
  char *save;
  va_list list;
  if (!argv[0])
    {
      scenario_fail (sc, "environment variable %s is not set", env);
      return NULL;
    }
  va_start (list, format);
  char *args = talloc_vasprintf (sc, format, list);
  va_end (list);
  for (char *word = strtok_r (args, " ", &save); word && count < ARGV_MAX - 1;
       word = strtok_r (NULL, " ", &save))
    argv[count++] = word;
  return process_start (sc, name, argv, fn, arg);
}

static const char *
program_options (const struct fleet *ft, int program)
{
  return ft->options[program] ? ft->options[program] : "";
}

static void
on_target_line (void *arg, const char *line)
{
  struct fleet *ft = arg;
  sscanf (line, "control %63s", ft->target_control);
  ft->ready_stand_ins += strcmp (line, "ready") == 0;
}

static void
on_platform_line (void *arg, const char *line)
{
  struct fleet *ft = arg;
  char name[16];
  char address[64];
  sscanf (line, "control %63s", ft->platform_control);
  ft->ready_stand_ins += strcmp (line, "ready") == 0;
  if (sscanf (line, "data-centre %15s %63s", name, address) != 2)
    return;
  if (strcmp (name, "operators") == 0)
    memcpy (ft->operator_address, address, sizeof address);
  for (int n = 0; n < ft->entry_count; n++)
    if (strcmp (ft->entries[n].name, name) == 0)
      memcpy (ft->entries[n].platform_address, address, sizeof address);
}

static bool
stand_ins_ready (struct scenario *sc, void *count)
{
  return sc->fleet->ready_stand_ins >= *(int *)count;
}

static void
wait_for_stand_ins (struct scenario *sc, int count)
{
  if (!scenario_run_until (sc, stand_ins_ready, &count,
                           SCENARIO_WAIT_TIMEOUT_MS))
    scenario_fail (sc, "a stand-in did not become ready in time");
}

/* Converts "4 stock hosts and 4 pallets hosts each" for three data centres to
   "stock:12,pallets:12".  */
static char *
pools_option (struct scenario *sc, int dcs, const char *pools)
{
  char *text = talloc_strdup (sc, "");
  int count;
  int end;
  char pool[32];
  while (sscanf (pools, "%d %31s hosts%n", &count, pool, &end) == 2)
    {
      text = talloc_asprintf_append (text, "%s%s:%d", *text ? "," : "", pool,
                                     count * dcs);
      pools += end;
      pools += strncmp (pools, " and ", 5) == 0 ? 5 : 0;
    }
  if (strcmp (pools, " each") != 0 || !*text)
    scenario_fail (sc, "bad hosts: expected \"N POOL hosts and ... each\"");
  return text;
}

/* Returns entry process number N, from 0, of the data centre of EN.  */
static struct entry *
same_dc_entry (struct scenario *sc, const struct entry *en, int n)
{
  struct fleet *ft = sc->fleet;
  for (struct entry *en2 = ft->entries; en2 < ft->entries + ft->entry_count;
       en2++)
    if (en2->name[0] == en->name[0] && en2->name[1] == '1' + n)
      return en2;
  return NULL;
}

static void
write_secret_file (struct scenario *sc, const char *name)
{
  FILE *file = fopen (talloc_asprintf (sc, "%s/%s", sc->out_dir, name), "w");
  if (!file
      || fprintf (file, "scenario-%s-%s-%u\n", name, sc->name, sc->seed) < 0
      || fclose (file) != 0)
    scenario_fail (sc, "cannot write the file %s", name);
}

static void
create_secrets_and_relays (struct scenario *sc)
{
  write_secret_file (sc, "secret");
  write_secret_file (sc, "token");
  for (struct entry *en = NULL; (en = fleet_next_entry (sc, "all", en));)
    for (int n = 0; n < ENTRIES_PER_DC && !sc->failure; n++)
      if (same_dc_entry (sc, en, n) != en)
        en->relays[n] = relay_create (
            sc, &same_dc_entry (sc, en, n)->peer_port, &en->relay_ports[n]);
}

void
fleet_set_peers_cut (struct scenario *sc, struct entry *en, bool cut)
{
  for (int n = 0; n < ENTRIES_PER_DC; n++)
    if (en->relays[n])
      {
        relay_set_cut (en->relays[n], cut);
        relay_set_cut (same_dc_entry (sc, en, n)->relays[en->name[1] - '1'],
                       cut);
      }
}

static void on_ready_poll (struct tevent_context *ev, struct tevent_timer *te,
                           struct timeval now, void *arg);

/* Runs the operator's command "table COMMAND FILE" and waits for its end.
   Fails the scenario when it does not succeed.  */
static void
run_table_command (struct scenario *sc, const char *command, const char *file)
{
  struct process *ps
      = sc->failure ? NULL
                    : fleet_start_table_command (sc, command, command, file);
  if (ps
      && !scenario_run_until (sc, process_exited, ps,
                              SCENARIO_WAIT_TIMEOUT_MS))
    scenario_fail (sc, "the command \"table %s\" did not exit in time",
                   command);
  else if (ps && ps->status != 0)
    scenario_fail (sc, "the command \"table %s\" failed: %s (see %s)", command,
                   process_status (ps), ps->log);
}

void
fleet_start (struct scenario *sc, int dcs, const char *pools)
{
  struct fleet *ft = sc->fleet;
  char *names = talloc_strdup (sc, "a");
  char *ports = talloc_strdup (sc, "operators");
  char *pool_option = pools_option (sc, dcs, pools);
  ft->dc_count = dcs < DCS_MAX ? dcs : DCS_MAX;
  for (int dc = 1; dc < ft->dc_count; dc++)
    names = talloc_asprintf_append (names, ",%c", 'a' + dc);
  for (int n = 0; n < ft->dc_count * ENTRIES_PER_DC; n++)
    {
      struct entry *en = &ft->entries[ft->entry_count++];
      en->sc = sc;
      snprintf (en->name, sizeof en->name, "%c%d", 'a' + n / ENTRIES_PER_DC,
                n % ENTRIES_PER_DC + 1);
      ports = talloc_asprintf_append (ports, ",%s", en->name);
    }
  ft->target_process = start_program (
      sc, "stand_target", "STAND_TARGET", on_target_line, ft,
      "--layout-out=%s/layout.json --journal=%s/targets.jsonl --pools=%s "
      "--data-centres=%s --seed=%u %s",
      sc->out_dir, sc->out_dir, pool_option, names, sc->seed,
      program_options (ft, FLEET_PROGRAM_TARGET));
  wait_for_stand_ins (sc, 1);
  if (!sc->failure)
    start_program (sc, "stand_platform", "STAND_PLATFORM", on_platform_line,
                   ft, "--layout=%s/layout.json --data-centres=%s %s",
                   sc->out_dir, ports,
                   program_options (ft, FLEET_PROGRAM_PLATFORM));
  wait_for_stand_ins (sc, 2);
  create_secrets_and_relays (sc);
  run_table_command (sc, "import",
                     talloc_asprintf (sc, "%s/fleet.csv", sc->script_dir));
  ft->table_path = talloc_asprintf (sc, "%s/table.csv", sc->out_dir);
  run_table_command (sc, "export", ft->table_path);
  on_ready_poll (sc->ev, NULL, tevent_timeval_zero (), sc);
}

static void
on_command_line (void *arg, const char *line)
{
  printf ("  %s\n", line);
}

struct process *
fleet_start_table_command (struct scenario *sc, const char *name,
                           const char *command, const char *file)
{
  struct process *ps
      = start_program (sc, name, "KINGCUPHOLLOW", on_command_line, NULL,
                       "table %s %s --platform=%s --editor=%s", command, file,
                       sc->fleet->operator_address, name);
  if (ps)
    ps->may_exit = true;
  return ps;
}

struct entry *
fleet_next_entry (struct scenario *sc, const char *who, struct entry *en)
{
  struct fleet *ft = sc->fleet;
  for (en = en ? en + 1 : ft->entries; en < ft->entries + ft->entry_count;
       en++)
    if (strcmp (who, "all") == 0 || strcmp (who, en->name) == 0
        || (strlen (who) == 1 && *who == en->name[0]))
      return en;
  return NULL;
}

static void
on_entry_line (void *arg, const char *line)
{
  struct entry *en = arg;
  sscanf (line, "ready caller=%63s peer_port=%hu operator=%63s",
          en->caller_address, &en->peer_port, en->operator_address);
}

static bool
entry_listens (struct scenario *sc, void *entry)
{
  return ((struct entry *)entry)->caller_address[0];
}

void
fleet_start_entry (struct scenario *sc, struct entry *en)
{
  char *peers = talloc_strdup (sc, "");
  for (int n = 0; n < ENTRIES_PER_DC; n++)
    if (en->relays[n])
      peers = talloc_asprintf_append (peers, "%s127.0.0.1:%u",
                                      *peers ? "," : "", en->relay_ports[n]);
  en->caller_address[0] = '\0';
  en->ready = false;
  en->ps = start_program (
      sc, en->name, "KINGCUPHOLLOW", on_entry_line, en,
      "serve --name=%s --data-centre=%c --platform=%s --seed=%u "
      "--leave-ms=500 --peer-listen=127.0.0.1:0 --peers=%s "
      "--peer-secret-file=%s/secret --operator-listen=127.0.0.1:0 "
      "--operator-token-file=%s/token %s",
      en->name, en->name[0], en->platform_address, sc->seed + 1, peers,
      sc->out_dir, sc->out_dir,
      program_options (sc->fleet, FLEET_PROGRAM_SERVE));
  if (en->ps
      && !scenario_run_until (sc, entry_listens, en, SCENARIO_WAIT_TIMEOUT_MS))
    scenario_fail (sc, "entry process %s did not listen for callers in time",
                   en->name);
}

/* Polls of /readyz for the balancer of the loads  */

struct ready_poll
{
  struct entry *en;
  struct process *ps;
  CURL *curl;
};

static int
ready_poll_fini (struct ready_poll *rp)
{
  curl_easy_cleanup (rp->curl);
  return 0;
}

static size_t
ignore_body (char *data, size_t size, size_t count, void *arg)
{
  return size * count;
}

static void
on_ready_response (void *arg, CURL *curl, CURLcode code)
{
  struct ready_poll *rp = arg;
  long status = 0;
  curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &status);
  rp->en->ready_poll_pending = false;
  if (rp->ps == rp->en->ps)
    rp->en->ready = code == CURLE_OK && status == 200;
  talloc_free (rp);
}

static CURL *
new_curl_handle (const char *url, long timeout_ms)
{
  CURL *curl = curl_easy_init ();
  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, ignore_body);
  curl_easy_setopt (curl, CURLOPT_FORBID_REUSE, 1L);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, timeout_ms);
  return curl;
}

static void
on_ready_poll (struct tevent_context *ev, struct tevent_timer *te,
               struct timeval now, void *arg)
{
  struct scenario *sc = arg;
  for (struct entry *en = NULL; (en = fleet_next_entry (sc, "all", en));)
    if (en->caller_address[0] && !en->ready_poll_pending)
      {
        struct ready_poll *rp = talloc_zero (sc, struct ready_poll);
        rp->en = en;
        rp->ps = en->ps;
        char *url
            = talloc_asprintf (rp, "http://%s/readyz", en->caller_address);
        rp->curl = new_curl_handle (url, READY_TIMEOUT_MS);
        talloc_set_destructor (rp, ready_poll_fini);
        en->ready_poll_pending
            = curl_loop_add (&sc->loop, rp->curl, on_ready_response, rp) == 0;
      }
  tevent_add_timer (ev, sc,
                    tevent_timeval_current_ofs (0, READY_POLL_MS * 1000),
                    on_ready_poll, sc);
}

/* Faults of the stand-ins  */

static void
send_control (struct scenario *sc, const char *address, const char *path,
              const char *spec)
{
  char *url = talloc_asprintf (NULL, "http://%s%s", address, path);
  CURL *curl = new_curl_handle (url, CONTROL_TIMEOUT_MS);
  long status = 0;
  if (spec)
    curl_easy_setopt (curl, CURLOPT_POSTFIELDS, spec);
  else
    curl_easy_setopt (curl, CURLOPT_CUSTOMREQUEST, "DELETE");
  curl_easy_perform (curl);
  curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &status);
  if (status != 200)
    scenario_fail (sc, "stand-in refused %s %s: expected status 200, got %ld",
                   path, spec ? spec : "", status);
  curl_easy_cleanup (curl);
  talloc_free (url);
}

void
fleet_set_fault (struct scenario *sc, const char *address, const char *spec)
{
  send_control (sc, address, "/fault", spec);
}

void
fleet_clear_faults (struct scenario *sc, const char *address,
                    const char *query)
{
  char *path = talloc_asprintf (NULL, "/faults%s", query);
  send_control (sc, address, path, NULL);
  talloc_free (path);
}

void
fleet_stop_targets (struct scenario *sc)
{
  struct process *ps = sc->fleet->target_process;
  if (!ps || ps->exited)
    return;
  ps->may_exit = true;
  process_signal (ps, SIGTERM);
  if (!scenario_run_until (sc, process_exited, ps, SCENARIO_WAIT_TIMEOUT_MS))
    scenario_fail (sc, "stand_target did not exit in time after SIGTERM");
}
