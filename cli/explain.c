#include "cli/explain.h"

#include <curl/curl.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/err.h"
#include "base/option.h"
#include "entry/request.h"
#include "entry/story.h"

#define EXIT_USAGE 2
#define SENTENCE_MAX 1024
#define EVENTS_MAX                                                            \
  ((size_t)OPERATORS_MAX * STORIES_FOUND_MAX * (STORY_STEPS_MAX + 1))

struct explain_options
{
  char *operators;
  char *token_file;
  int64_t json;
  int64_t timeout_ms;
};

#define FIELD(f) offsetof (struct explain_options, f)

static const struct option_def option_defs[] = {
  { "operators", OPTION_STR, FIELD (operators), 1, 4096, NULL, NULL, NULL,
    "comma-separated operator addresses IP:PORT of entry processes" },
  { "token-file", OPTION_STR, FIELD (token_file), 1, 4096, NULL, NULL, NULL,
    "file with the operators' bearer token" },
  { "json", OPTION_BOOL, FIELD (json), 0, 0, NULL, NULL, "no",
    "output as JSON" },
  { "timeout-ms", OPTION_INT, FIELD (timeout_ms), 1, 600000, NULL, "ms",
    "5000", "longest wait for an entry process" },
  { NULL, 0, 0, 0, 0, NULL, NULL, NULL, NULL },
};

struct event
{
  int64_t time_us; /* wall clock of the entry process */
  size_t order;    /* among events of the same time */
  const char *entry;
  size_t story;       /* number of the story, from 1 */
  const json_t *from; /* the story */
  const json_t *step; /* NULL: the arrival */
};

/* What is told and what is known to be missing.  */
struct telling
{
  const char *id;
  struct event *events;
  size_t count;
  size_t stories;
  size_t entries; /* that know the request */
  int64_t first_ms;
  int forwarded; /* stories that were sent on */
  int hops;      /* stories that came from another data centre */
  json_t *notes; /* plain sentences on what is missing */
};

static void
note (struct telling *tell, const char *format, const char *who,
      const char *what)
{
  char buf[SENTENCE_MAX];
  snprintf (buf, sizeof buf, format, who, what);
  json_array_append_new (tell->notes, json_string (buf));
}

static void
format_time (int64_t time_us, char buf[48])
{
  time_t sec = (time_t)(time_us / 1000000);
  struct tm tm;
  char date[32];
  gmtime_r (&sec, &tm);
  strftime (date, sizeof date, "%Y-%m-%d %H:%M:%S", &tm);
  snprintf (buf, 48, "%s.%03d UTC", date, (int)(time_us / 1000 % 1000));
}

static const char *
entry_name (const struct operator_reply *reply)
{
  const char *name = json_string_value (json_object_get (reply->root, "name"));
  return name ? name : reply->address;
}

static int64_t
num (const json_t *obj, const char *key)
{
  return json_integer_value (json_object_get (obj, key));
}

static void
add_event (struct telling *tell, const struct event *event)
{
  if (tell->count == EVENTS_MAX)
    return;
  tell->events[tell->count] = *event;
  tell->events[tell->count].order = tell->count;
  tell->count++;
}

static bool
step_is (const json_t *step, const char *name)
{
  const char *val = json_string_value (json_object_get (step, "step"));
  return val && strcmp (val, name) == 0;
}

static void
add_story (struct telling *tell, const char *entry, const json_t *story)
{
  const json_t *step;
  size_t idx;
  bool forwarded = false;
  int64_t arrival_ms = num (story, "arrival_ms");
  struct event event = { .time_us = arrival_ms * 1000,
                         .entry = entry,
                         .story = ++tell->stories,
                         .from = story };
  if (tell->stories == 1 || arrival_ms < tell->first_ms)
    tell->first_ms = arrival_ms;
  tell->hops += num (story, "hops") > 0;
  add_event (tell, &event);
  json_array_foreach (json_object_get (story, "steps"), idx, step)
  {
    event.step = step;
    event.time_us = arrival_ms * 1000 + num (step, "at_us");
    add_event (tell, &event);
    forwarded |= step_is (step, "forwarded");
  }
  tell->forwarded += forwarded;
  if (json_is_true (json_object_get (story, "steps_lost")))
    note (tell, "%s: some steps between those told are lost%s.", entry,
          ", because its record of the request was full");
}

static void
add_reply (struct telling *tell, const struct operator_reply *reply)
{
  const json_t *story;
  size_t idx;
  const json_t *list = json_object_get (reply->root, "stories");
  if (!reply->root)
    {
      note (tell, "%s: %s; what it knows of the request is missing.",
            reply->address, reply->error);
      return;
    }
  tell->entries += json_array_size (list) > 0;
  json_array_foreach (list, idx, story)
      add_story (tell, entry_name (reply), story);
  if (num (reply->root, "more") > 0)
    note (tell, "%s: it received the request under this id more often%s.",
          entry_name (reply), " than is told here");
}

/* A process that began to remember only after the request arrived may have
   forgotten something about it.  */
static void
note_memory (struct telling *tell, const struct operator_reply *reply)
{
  char since[48];
  const char *who = entry_name (reply);
  int64_t known_ms = num (reply->root, "known_since_ms");
  if (!reply->root)
    return;
  if (json_is_false (json_object_get (reply->root, "keeps_stories")))
    {
      note (tell, "%s: it keeps no stories%s.", who, " (setting `stories`)");
      return;
    }
  format_time (known_ms * 1000, since);
  bool overwritten = num (reply->root, "overwritten") > 0;
  /* The oldest record kept may follow one of the same millisecond.  */
  if (tell->stories > 0 && known_ms + overwritten <= tell->first_ms)
    return;
  if (overwritten)
    note (tell,
          "%s: its ring of stories was overwritten; it knows only of requests "
          "since %s.",
          who, since);
  else
    note (tell, "%s: it started at %s; what it knew before is lost.", who,
          since);
}

static int
compare_events (const void *va, const void *vb)
{
  const struct event *a = va;
  const struct event *b = vb;
  if (a->time_us != b->time_us)
    return a->time_us < b->time_us ? -1 : 1;
  return a->order < b->order ? -1 : a->order > b->order;
}

static void
sentence (const struct event *event, char *buf, size_t size)
{
  if (event->step)
    explain_step (event->from, event->step, buf, size);
  else
    explain_arrival (event->from, buf, size);
}

static void
print_events (const struct telling *tell, FILE *out)
{
  char buf[SENTENCE_MAX];
  char when[48];
  for (size_t n = 0; n < tell->count; n++)
    {
      const struct event *event = &tell->events[n];
      /* The outcomes come last, in full.  */
      if (event->step && step_is (event->step, "end"))
        snprintf (buf, sizeof buf, "The request ended.");
      else
        sentence (event, buf, sizeof buf);
      format_time (event->time_us, when);
      fprintf (out, "%s  %s", when, event->entry);
      if (tell->stories > 1)
        fprintf (out, " (%zu)", event->story);
      fprintf (out, "  %s\n", buf);
    }
}

/* The outcome of each story that has one, in the order of their arrival.  */
static void
print_outcomes (const struct telling *tell, FILE *out)
{
  char buf[SENTENCE_MAX];
  if (tell->stories > 1)
    fprintf (out,
             "\nThe request was received %zu times under this id, by %zu "
             "entry process%s.\n",
             tell->stories, tell->entries, tell->entries == 1 ? "" : "es");
  if (tell->entries > 1)
    fputs ("Times are those of each process's own clock.\n", out);
  fputc ('\n', out);
  for (size_t n = 0; n < tell->count; n++)
    {
      const struct event *event = &tell->events[n];
      bool open = !event->step
                  && !json_is_true (json_object_get (event->from, "ended"));
      if (!open && !(event->step && step_is (event->step, "end")))
        continue;
      if (open)
        snprintf (buf, sizeof buf,
                  "Outcome: none yet. The request was still "
                  "open when the process was asked.");
      else
        sentence (event, buf, sizeof buf);
      if (tell->stories > 1)
        fprintf (out, "%s (%zu): ", event->entry, event->story);
      fprintf (out, "%s\n", buf);
    }
}

static void
print_memory (const struct operator_reply *replies, size_t count, FILE *out)
{
  char since[48];
  for (size_t n = 0; n < count; n++)
    if (replies[n].root)
      {
        format_time (num (replies[n].root, "known_since_ms") * 1000, since);
        fprintf (out, "%s tells of requests since %s.\n",
                 entry_name (&replies[n]), since);
      }
}

static void
print_text (const struct telling *tell, FILE *out)
{
  const json_t *item;
  size_t idx;
  if (tell->stories == 0)
    fprintf (out,
             "No entry process that was reached knows a request \"%s\".\n",
             tell->id);
  else
    {
      print_events (tell, out);
      print_outcomes (tell, out);
    }
  if (json_array_size (tell->notes) > 0)
    fprintf (out, "\n%s:\n",
             tell->stories > 0 ? "The story may not be whole"
                               : "It may have been known once");
  json_array_foreach (tell->notes, idx, item)
      fprintf (out, "- %s\n", json_string_value (item));
}

static void
print_json (const struct telling *tell, const char *found, FILE *out)
{
  char buf[SENTENCE_MAX];
  json_t *list = json_array ();
  for (size_t n = 0; n < tell->count; n++)
    {
      const struct event *event = &tell->events[n];
      sentence (event, buf, sizeof buf);
      json_array_append_new (
          list, json_pack ("{s:I, s:s, s:I, s:s, s:O?}", "time_us",
                           (json_int_t)event->time_us, "entry", event->entry,
                           "story", (json_int_t)event->story, "sentence", buf,
                           "step", (json_t *)event->step));
    }
  json_t *root
      = json_pack ("{s:s, s:s, s:o, s:O}", "request_id", tell->id, "found",
                   found, "events", list, "missing", tell->notes);
  json_dumpf (root, out, JSON_INDENT (2));
  fputc ('\n', out);
  json_decref (root);
}

int
explain_tell (const char *id, const struct operator_reply *replies,
              size_t count, bool json, FILE *out)
{
  struct telling tell = { .id = id, .notes = json_array () };
  int code = EXPLAIN_EXIT_NOT_FOUND;
  tell.events = calloc (EVENTS_MAX, sizeof *tell.events);
  if (!tell.events || !tell.notes)
    goto done;
  for (size_t n = 0; n < count; n++)
    add_reply (&tell, &replies[n]);
  for (size_t n = 0; n < count; n++)
    note_memory (&tell, &replies[n]);
  if (tell.forwarded > tell.hops)
    note (&tell,
          "The entry process of the other data centre, to which it was sent "
          "on, %s%s.",
          "was not asked", " or no longer knows it");
  if (tell.hops > tell.forwarded)
    note (&tell, "The entry process that sent it on %s%s.", "was not asked",
          " or no longer knows it");
  qsort (tell.events, tell.count, sizeof *tell.events, compare_events);
  if (tell.stories > 0)
    code = json_array_size (tell.notes) > 0 ? EXPLAIN_EXIT_IN_PART : 0;
  if (json)
    print_json (&tell,
                code == 0                      ? "whole"
                : code == EXPLAIN_EXIT_IN_PART ? "in_part"
                                               : "no",
                out);
  else
    {
      print_text (&tell, out);
      fputc ('\n', out);
      print_memory (replies, count, out);
    }

done:
  free (tell.events);
  json_decref (tell.notes);
  return code;
}

static int
explain (const struct operators *ops, const struct explain_options *opt,
         const char *id)
{
  struct operator_reply replies[OPERATORS_MAX];
  char path[32 + 3 * REQUEST_ID_MAX];
  char *escaped = curl_easy_escape (NULL, id, 0);
  if (!escaped)
    return EXIT_FAILURE;
  snprintf (path, sizeof path, "/v1/explain/%s", escaped);
  curl_free (escaped);
  int reached = operators_get (ops, path, opt->timeout_ms, replies);
  if (reached < 0)
    {
      fprintf (stderr, "kingcuphollow: explain: %s\n", err_name (reached));
      return EXIT_FAILURE;
    }
  int code = explain_tell (id, replies, ops->count, opt->json != 0, stdout);
  operators_free (ops, replies);
  return code;
}

int
run_explain (void *ctx, int argc, char **argv)
{
  struct explain_options opt;
  struct operators ops;
  const char *id = argc > 0 ? argv[0] : "";
  bool has_id = *id && strncmp (id, "--", 2) != 0 && strcmp (id, "-h") != 0;

  int err = options_parse (ctx, "explain REQUEST-ID", option_defs,
                           argc - has_id, argv + has_id, &opt, stdout, stderr);
  if (!err && (!has_id || !request_text_valid (id, REQUEST_ID_MAX)))
    {
      fprintf (stderr,
               "kingcuphollow: give `explain REQUEST-ID --operators=...`; an "
               "id has 1 to %d visible characters\n",
               REQUEST_ID_MAX);
      err = ERR_INVALID;
    }
  if (!err)
    err = operators_init (&ops, opt.operators, opt.token_file, stderr);
  if (err)
    return err < 0 ? EXIT_USAGE : 0;
  return explain (&ops, &opt, id);
}
