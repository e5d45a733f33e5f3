#include "cli/explain.h"

#include <curl/curl.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/err.h"
#include "base/option.h"
#include "entry/request.h"
#include "entry/request_trace.h"

#define EXIT_USAGE 2
#define SENTENCE_MAX 1024
#define EVENTS_MAX                                                            \
  ((size_t)OPERATORS_MAX * TRACES_FOUND_MAX * (TRACE_STEPS_MAX + 1))

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
    "5000", "longest wait for each entry process" },
  { NULL, 0, 0, 0, 0, NULL, NULL, NULL, NULL },
};

/* A step of a request trace, or the arrival of its request.  */
struct event
{
  int64_t time_us;     /* wall clock of the entry process */
  size_t order;        /* running number; breaks ties of time_us */
  const char *entry;   /* name of the entry process */
  size_t trace_number; /* from 1, in the order of the replies */
  const json_t *trace;
  const json_t *step; /* NULL: the arrival */
};

/* The events of all replies, and notes on what may be missing.  */
struct explanation
{
  const char *id;
  struct event *events;
  size_t count;
  size_t traces;
  size_t entries;   /* entry processes that have a trace of the request */
  int64_t first_ms; /* earliest arrival, wall clock */
  int forwards_out; /* traces of requests forwarded to another data centre */
  int forwards_in;  /* traces of requests forwarded by another data centre */
  json_t *notes;    /* one sentence for each gap */
};

/* Adds a note.  FORMAT takes two strings.  */
static void
note (struct explanation *expl, const char *format, const char *subject,
      const char *detail)
{
  char buf[SENTENCE_MAX];
  snprintf (buf, sizeof buf, format, subject, detail);
  json_array_append_new (expl->notes, json_string (buf));
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
get_int (const json_t *obj, const char *key)
{
  return json_integer_value (json_object_get (obj, key));
}

static void
add_event (struct explanation *expl, const struct event *event)
{
  if (expl->count == EVENTS_MAX)
    return;
  expl->events[expl->count] = *event;
  expl->events[expl->count].order = expl->count;
  expl->count++;
}

static bool
step_is (const json_t *step, const char *name)
{
  const char *val = json_string_value (json_object_get (step, "step"));
  return val && strcmp (val, name) == 0;
}

static void
add_trace (struct explanation *expl, const char *entry, const json_t *trace)
{
  const json_t *step;
  size_t idx;
  bool forwarded = false;
  int64_t arrival_ms = get_int (trace, "arrival_ms");
  struct event event = { .time_us = arrival_ms * 1000,
                         .entry = entry,
                         .trace_number = ++expl->traces,
                         .trace = trace };
  if (expl->traces == 1 || arrival_ms < expl->first_ms)
    expl->first_ms = arrival_ms;
  expl->forwards_in += get_int (trace, "hops") > 0;
  add_event (expl, &event);
  json_array_foreach (json_object_get (trace, "steps"), idx, step)
  {
    event.step = step;
    event.time_us = arrival_ms * 1000 + get_int (step, "at_us");
    add_event (expl, &event);
    forwarded |= step_is (step, "forwarded");
  }
  expl->forwards_out += forwarded;
  if (json_is_true (json_object_get (trace, "steps_lost")))
    note (expl, "%s: some steps between those shown are lost%s.", entry,
          ", because its trace of the request was full");
}

static void
add_reply (struct explanation *expl, const struct operator_reply *reply)
{
  const json_t *trace;
  size_t idx;
  const json_t *list = json_object_get (reply->root, "stories");
  if (!reply->root)
    {
      note (expl, "%s: %s; its trace of the request, if any, is missing.",
            reply->address, reply->error);
      return;
    }
  expl->entries += json_array_size (list) > 0;
  json_array_foreach (list, idx, trace)
      add_trace (expl, entry_name (reply), trace);
  if (get_int (reply->root, "more") > 0)
    note (expl, "%s: it received more requests under this id%s.",
          entry_name (reply), " than the latest ones, which are shown here");
}

/* Adds a note if the process may have lost a trace of the request: it keeps
   none, or its oldest trace or its start is later than the request's arrival.
   Without any trace the arrival is unknown, so every process gets a note.  */
static void
note_retention (struct explanation *expl, const struct operator_reply *reply)
{
  char since[48];
  const char *entry = entry_name (reply);
  int64_t known_since_ms = get_int (reply->root, "known_since_ms");
  if (!reply->root)
    return;
  if (json_is_false (json_object_get (reply->root, "keeps_stories")))
    {
      note (expl, "%s: it keeps no request traces%s.", entry,
            " (setting `stories`)");
      return;
    }
  format_time (known_since_ms * 1000, since);
  bool overwritten = get_int (reply->root, "overwritten") > 0;
  /* A trace that was overwritten may have arrived in the same millisecond as
     the oldest one kept.  */
  if (expl->traces > 0 && known_since_ms + overwritten <= expl->first_ms)
    return;
  if (overwritten)
    note (expl,
          "%s: its oldest request traces were overwritten; it has traces only "
          "of requests received since %s.",
          entry, since);
  else
    note (expl, "%s: it started at %s; any earlier request traces are lost.",
          entry, since);
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
format_event (const struct event *event, char *buf, size_t size)
{
  if (event->step)
    explain_step (event->trace, event->step, buf, size);
  else
    explain_arrival (event->trace, buf, size);
}

static void
print_events (const struct explanation *expl, FILE *out)
{
  char buf[SENTENCE_MAX];
  char when[48];
  for (size_t n = 0; n < expl->count; n++)
    {
      const struct event *event = &expl->events[n];
      /* print_outcomes prints the outcomes in full.  */
      if (event->step && step_is (event->step, "end"))
        snprintf (buf, sizeof buf, "The request ended.");
      else
        format_event (event, buf, sizeof buf);
      format_time (event->time_us, when);
      fprintf (out, "%s  %s", when, event->entry);
      if (expl->traces > 1)
        fprintf (out, " (%zu)", event->trace_number);
      fprintf (out, "  %s\n", buf);
    }
}

/* Prints the outcome of each trace, in the order of the requests' ends, or of
   the arrival for a request that has not ended.  */
static void
print_outcomes (const struct explanation *expl, FILE *out)
{
  char buf[SENTENCE_MAX];
  if (expl->traces > 1)
    fprintf (out,
             "\nThe request was received %zu times under this id, by %zu "
             "entry process%s.\n",
             expl->traces, expl->entries, expl->entries == 1 ? "" : "es");
  if (expl->entries > 1)
    fputs ("Times are taken from each process's own clock.\n", out);
  fputc ('\n', out);
  for (size_t n = 0; n < expl->count; n++)
    {
      const struct event *event = &expl->events[n];
      bool open = !event->step
                  && !json_is_true (json_object_get (event->trace, "ended"));
      if (!open && !(event->step && step_is (event->step, "end")))
        continue;
      if (open)
        snprintf (buf, sizeof buf,
                  "Outcome: none yet. The request was still "
                  "open when the process was queried.");
      else
        format_event (event, buf, sizeof buf);
      if (expl->traces > 1)
        fprintf (out, "%s (%zu): ", event->entry, event->trace_number);
      fprintf (out, "%s\n", buf);
    }
}

static void
print_retention (const struct operator_reply *replies, size_t count, FILE *out)
{
  char since[48];
  for (size_t n = 0; n < count; n++)
    if (replies[n].root)
      {
        format_time (get_int (replies[n].root, "known_since_ms") * 1000,
                     since);
        fprintf (out, "%s has traces of requests received since %s.\n",
                 entry_name (&replies[n]), since);
      }
}

static void
print_text (const struct explanation *expl, FILE *out)
{
  const json_t *item;
  size_t idx;
  if (expl->traces == 0)
    fprintf (
        out,
        "No entry process that was reached has a trace of request \"%s\".\n",
        expl->id);
  else
    {
      print_events (expl, out);
      print_outcomes (expl, out);
    }
  if (json_array_size (expl->notes) > 0)
    fprintf (out, "\n%s:\n",
             expl->traces > 0
                 ? "The trace of the request may be incomplete"
                 : "The request may have been received nevertheless");
  json_array_foreach (expl->notes, idx, item)
      fprintf (out, "- %s\n", json_string_value (item));
}

static void
print_json (const struct explanation *expl, const char *found, FILE *out)
{
  char buf[SENTENCE_MAX];
  json_t *list = json_array ();
  for (size_t n = 0; n < expl->count; n++)
    {
      const struct event *event = &expl->events[n];
      format_event (event, buf, sizeof buf);
      json_array_append_new (
          list, json_pack ("{s:I, s:s, s:I, s:s, s:O?}", "time_us",
                           (json_int_t)event->time_us, "entry", event->entry,
                           "story", (json_int_t)event->trace_number,
                           "sentence", buf, "step", (json_t *)event->step));
    }
  json_t *root
      = json_pack ("{s:s, s:s, s:o, s:O}", "request_id", expl->id, "found",
                   found, "events", list, "missing", expl->notes);
  json_dumpf (root, out, JSON_INDENT (2));
  fputc ('\n', out);
  json_decref (root);
}

int
explain_print (const char *id, const struct operator_reply *replies,
               size_t count, bool json, FILE *out)
{
  struct explanation expl = { .id = id, .notes = json_array () };
  int code = EXPLAIN_EXIT_NOT_FOUND;
  expl.events = calloc (EVENTS_MAX, sizeof *expl.events);
  if (!expl.events || !expl.notes)
    goto done;
  for (size_t n = 0; n < count; n++)
    add_reply (&expl, &replies[n]);
  for (size_t n = 0; n < count; n++)
    note_retention (&expl, &replies[n]);
  if (expl.forwards_out > expl.forwards_in)
    note (&expl,
          "The entry process of the other data centre, to which the request "
          "was forwarded, %s%s.",
          "was not queried", " or no longer has a trace of it");
  if (expl.forwards_in > expl.forwards_out)
    note (&expl, "The entry process that forwarded the request %s%s.",
          "was not queried", " or no longer has a trace of it");
  qsort (expl.events, expl.count, sizeof *expl.events, compare_events);
  if (expl.traces > 0)
    code = json_array_size (expl.notes) > 0 ? EXPLAIN_EXIT_PARTIAL : 0;
  if (json)
    print_json (&expl,
                code == 0                      ? "whole"
                : code == EXPLAIN_EXIT_PARTIAL ? "in_part"
                                               : "no",
                out);
  else
    {
      print_text (&expl, out);
      fputc ('\n', out);
      print_retention (replies, count, out);
    }

done:
  free (expl.events);
  json_decref (expl.notes);
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
  int code = explain_print (id, replies, ops->count, opt->json != 0, stdout);
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
               "kingcuphollow: expected `explain REQUEST-ID --operators=...`, "
               "with an id of 1 to %d visible characters\n",
               REQUEST_ID_MAX);
      err = ERR_INVALID;
    }
  if (!err)
    err = operators_init (&ops, opt.operators, opt.token_file, stderr);
  if (err)
    return err < 0 ? EXIT_USAGE : 0;
  return explain (&ops, &opt, id);
}
