#include "cli/wave_print.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>
#include <time.h>

#include "base/clock.h"
#include "base/err.h"

#define TIME_TEXT_SIZE 32

void
wave_fault_add (struct wave_faults *faults, const char *type,
                const char *value, const char *text)
{
  struct wave_fault *items = talloc_realloc (
      faults->ctx, faults->items, struct wave_fault, faults->count + 1);
  char *copy = talloc_strdup (faults->ctx, value);
  if (!items || !copy)
    {
      fputs ("kingcuphollow wave: out of memory, a fault is not listed\n",
             stderr);
      return;
    }
  faults->items = items;
  items[faults->count++] = (struct wave_fault){ type, copy, text };
}

static void
print_json (json_t *root)
{
  json_dumpf (root, stdout, JSON_INDENT (2));
  putchar ('\n');
  json_decref (root);
}

void
wave_print_faults (const struct wave_faults *faults, bool json)
{
  json_t *list = json_array ();
  for (size_t n = 0; n < faults->count; n++)
    {
      const struct wave_fault *ft = &faults->items[n];
      if (json)
        json_array_append_new (list, json_pack ("{s:s,s:s,s:s}", "fault",
                                                ft->type, "value", ft->value,
                                                "text", ft->text));
      else
        fprintf (stderr, "%s: %s: %s\n", ft->type, ft->value, ft->text);
    }
  if (json)
    print_json (json_pack ("{s:s,s:O}", "outcome", "invalid", "faults", list));
  json_decref (list);
}

/* Formats wall-clock time MS in UTC; empty for 0.  */
static const char *
format_time (int64_t ms, char buf[TIME_TEXT_SIZE])
{
  time_t sec = (time_t)(ms / 1000);
  struct tm tm;
  buf[0] = '\0';
  if (ms != 0 && gmtime_r (&sec, &tm))
    strftime (buf, TIME_TEXT_SIZE, "%Y-%m-%dT%H:%M:%SZ", &tm);
  return buf;
}

static json_t *
wave_json (const struct wave_fold *fd, const struct wave *wv)
{
  char created[TIME_TEXT_SIZE];
  char deadline[TIME_TEXT_SIZE];
  json_t *steps = json_object ();
  for (int n = 0; n < WAVE_STEP_COUNT; n++)
    json_object_set_new (steps, wave_step_name (n),
                         json_integer (wv->hosts_in_step[n]));
  return json_pack (
      "{s:s,s:s,s:s,s:s,s:s,s:s,s:i,s:i,s:o}", "wave", wv->id, "state",
      wave_state_name (fd, wv), "reason", wave_reason_name (wv->reason),
      "editor", wv->editor, "created", format_time (wv->created_ms, created),
      "deadline", format_time (wv->deadline_ms, deadline), "most_out",
      wv->most_out, "hosts", wv->host_count, "steps", steps);
}

static void
print_summary (const struct wave_fold *fd, const struct wave *wv)
{
  char deadline[TIME_TEXT_SIZE];
  const char *reason = wave_reason_name (wv->reason);
  printf ("%s %s%s%s: %u hosts,", wv->id, wave_state_name (fd, wv),
          *reason ? " for " : "", reason, wv->host_count);
  for (int n = 0; n < WAVE_STEP_COUNT; n++)
    if (wv->hosts_in_step[n] > 0)
      printf (" %u %s", wv->hosts_in_step[n], wave_step_name (n));
  printf (", by %s", wv->editor);
  if (wv->deadline_ms)
    printf (", until %s", format_time (wv->deadline_ms, deadline));
  if (wv->most_out)
    printf (", at most %u out of service in each pool", wv->most_out);
  putchar ('\n');
}

void
wave_print_list (struct wave_session *ses)
{
  const struct wave_fold *fd = wave_run_state (&ses->run);
  json_t *list = json_array ();
  for (uint32_t n = 0; n < fd->wave_count; n++)
    if (ses->opt->json)
      json_array_append_new (list, wave_json (fd, fd->waves[n]));
    else
      print_summary (fd, fd->waves[n]);
  if (ses->opt->json)
    print_json (json_pack ("{s:O}", "waves", list));
  else if (fd->wave_count == 0)
    puts ("no waves");
  json_decref (list);
}

/* Why the planner of the data centre starts no host at present; empty when it
   starts one, has none to start, or the host list is not known.  */
static const char *
centre_wait_reason (struct wave_session *ses, const char *data_centre)
{
  const struct wave_plan_input in = {
    .set = &wave_plan_settings_default,
    .fold = wave_run_state (&ses->run),
    .fleet = ses->fleet,
    .data_centre = data_centre,
    .now_ms = clock_wall_ms (&clock_system),
  };
  struct wave_plan *plan;
  if (!ses->fleet || wave_plan_make (ses->ctx, &in, 1, &plan) != 0)
    return "";
  return wave_wait_name (plan->step_count ? WAVE_WAIT_NONE : plan->wait);
}

/* The planner that holds the lease of the data centre, or "none".  */
static const char *
centre_planner (const struct wave_lease *ls)
{
  return ls->granted && ls->expires_ms > clock_wall_ms (&clock_system)
             ? ls->holder
             : "none";
}

static void
print_hosts_text (struct wave_session *ses, const struct wave *wv)
{
  const struct wave_fold *fd = wave_run_state (&ses->run);
  char since[TIME_TEXT_SIZE];
  for (uint32_t n = 0; n < fd->lease_count; n++)
    {
      const struct wave_lease *ls = &fd->leases[n];
      const char *wait = centre_wait_reason (ses, ls->data_centre);
      printf ("data centre %s: planner %s%s%s\n", ls->data_centre,
              centre_planner (ls), *wait ? ", waits for " : "", wait);
    }
  printf ("%-24s %-12s %-10s %-16s %s\n", "host", "data centre", "step",
          "reason", "since");
  for (uint32_t n = 0; n < wv->host_count; n++)
    {
      const struct wave_host *wh = &wv->hosts[n];
      const char *reason = wave_reason_name (wh->reason);
      printf ("%-24s %-12s %-10s %-16s %s\n", wh->name,
              fd->leases[wh->centre].data_centre, wave_step_name (wh->step),
              *reason ? reason : "-", format_time (wh->since_ms, since));
    }
}

void
wave_print_detail (struct wave_session *ses, const struct wave *wv)
{
  const struct wave_fold *fd = wave_run_state (&ses->run);
  char since[TIME_TEXT_SIZE];
  if (!ses->opt->json)
    {
      print_summary (fd, wv);
      print_hosts_text (ses, wv);
      return;
    }
  json_t *root = wave_json (fd, wv);
  json_t *centres = json_array ();
  json_t *hosts = json_array ();
  for (uint32_t n = 0; n < fd->lease_count; n++)
    json_array_append_new (
        centres,
        json_pack ("{s:s,s:s,s:s}", "data_centre", fd->leases[n].data_centre,
                   "planner", centre_planner (&fd->leases[n]), "waits_for",
                   centre_wait_reason (ses, fd->leases[n].data_centre)));
  for (uint32_t n = 0; n < wv->host_count; n++)
    {
      const struct wave_host *wh = &wv->hosts[n];
      json_array_append_new (
          hosts, json_pack ("{s:s,s:s,s:s,s:s,s:s}", "host", wh->name,
                            "data_centre", fd->leases[wh->centre].data_centre,
                            "step", wave_step_name (wh->step), "reason",
                            wave_reason_name (wh->reason), "since",
                            format_time (wh->since_ms, since)));
    }
  json_object_set_new (root, "data_centres", centres);
  json_object_set_new (root, "host_steps", hosts);
  print_json (root);
}

int
wave_print_edit (struct wave_session *ses, const char *id, int err,
                 enum wave_effect effect)
{
  static const char *const effect_texts[WAVE_EFFECT_COUNT] = {
    [WAVE_EFFECT_DONE] = "accepted",
    [WAVE_EFFECT_VOID] = "conflict: the wave was changed meanwhile",
    [WAVE_EFFECT_INVALID] = "invalid",
    [WAVE_EFFECT_EXISTS] = "conflict: a wave with this id exists",
    [WAVE_EFFECT_OVERLAP] = "conflict: a host takes part in another open wave",
    [WAVE_EFFECT_FULL]
    = "not accepted: the limit of stored waves or hosts is reached",
    [WAVE_EFFECT_STALE]
    = "not accepted: too many records were appended meanwhile; try again",
  };
  int code = WAVE_EXIT_CONFLICT;
  const char *text = effect < WAVE_EFFECT_COUNT && effect_texts[effect]
                         ? effect_texts[effect]
                         : "conflict";
  if (err == ERR_UNKNOWN_EFFECT)
    {
      code = WAVE_EXIT_UNKNOWN;
      text = "unknown: it may or may not take effect; check with `wave show`";
    }
  else if (err)
    {
      code = WAVE_EXIT_NOT_ACCEPTED;
      text = "not accepted";
    }
  else if (effect == WAVE_EFFECT_DONE)
    code = 0;
  else if (effect == WAVE_EFFECT_FULL || effect == WAVE_EFFECT_STALE)
    code = WAVE_EXIT_NOT_ACCEPTED;
  const char *outcome = err ? err_name (err) : wave_effect_name (effect);
  if (ses->opt->json)
    print_json (json_pack ("{s:s,s:s,s:s}", "wave", id, "outcome", outcome,
                           "text", text));
  else
    printf ("%s: %s%s%s%s\n", id, text, err ? " (" : "", err ? outcome : "",
            err ? ")" : "");
  return code;
}
