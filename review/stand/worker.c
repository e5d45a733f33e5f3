#include "worker.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "store.h"
#include "world.h"

#define TICK_MS 20
#define ENDS_PAGE 500

/* What the check of TWICE needs.  */
struct fact
{
  char task[64];
  int64_t run;
  int64_t at;
  const char *worker;
  bool done;  /* of an end: "done" */
  bool noted; /* of an end: `last-seen` has reached it */
  int64_t listed_at; /* of an end; 0: not listed yet */
  uint64_t instance;
};

struct worker workers[64];
size_t worker_count;
int64_t (*worker_work_ms) (const char *task);
enum worker_fate (*worker_decide) (struct worker *wrk,
                                   const struct request *req);
void (*worker_started) (struct worker *wrk, const struct run *run,
                        int64_t token);

static struct fact *starts, *ends;
static size_t start_count, end_count;
static size_t overlaps;

static size_t
add_fact (struct fact **list, size_t *count, const struct fact *fact)
{
  if ((*count & (*count - 1)) == 0)
    *list = realloc (*list, (*count ? *count * 2 : 1) * sizeof **list);
  (*list)[*count] = *fact;
  return (*count)++;
}

static int64_t
clock_of (const struct worker *wrk)
{
  return net_now () - wrk->begun + 1000;
}

static void
write_entry (struct worker *wrk)
{
  json_t *doc = json_pack (
      "{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:s,s:{s:i,s:i,s:i},s:[ss],s:I,s:I,s:I}",
      "service", wrk->pool, "address", "", "zone", wrk->zone, "version", "v1",
      "slots", 8, "state", "ready", "cold-left-ms", 0, "machine",
      wrk->machine, "capacity", "cpu", wrk->cpu, "mem-mb", wrk->mem, "gpu", 0,
      "labels", wrk->label, wrk->rack, "clock-ms",
      (json_int_t)clock_of (wrk), "born", (json_int_t)wrk->born, "sequence",
      (json_int_t)++wrk->sequence);
  char address[32];
  snprintf (address, sizeof address, "127.0.0.1:%d", wrk->port);
  json_object_set_new (doc, "address", json_string (address));
  char *text = json_dumps (doc, JSON_COMPACT);
  store_put ("keyed.servers", wrk->id, text);
  free (text);
  json_decref (doc);
}

size_t
worker_running (const char *task)
{
  size_t count = 0;
  for (size_t n = 0; n < worker_count; n++)
    for (size_t m = 0; workers[n].up && m < workers[n].run_count; m++)
      count += strcmp (workers[n].runs[m].task, task) == 0;
  return count;
}

static void
answer_hold (struct worker *wrk)
{
  json_t *running = json_array (), *ended = json_array ();
  int64_t now = net_now ();
  for (size_t n = 0; n < wrk->run_count; n++)
    {
      const struct run *run = &wrk->runs[n];
      int64_t percent = run->work_ms > 0
                            ? (now - run->started) * 100 / run->work_ms
                            : 100;
      json_array_append_new (
          running, json_pack ("[s,I,s,I,i]", run->task,
                              (json_int_t)run->number, "",
                              (json_int_t)(percent > 99 && run->work_ms > 0
                                               ? 99
                                               : percent),
                              0));
    }
  for (size_t n = 0; n < wrk->end_count && n < ENDS_PAGE; n++)
    {
      const struct end *end = &wrk->ends[n];
      if (!ends[end->fact].listed_at)
        ends[end->fact].listed_at = now;
      json_array_append_new (
          ended, json_pack ("[I,s,I,s,s]", (json_int_t)end->number, end->task,
                            (json_int_t)end->run, end->how, ""));
    }
  json_t *doc
      = json_pack ("{s:I,s:I,s:o,s:o}", "clock-ms",
                   (json_int_t)clock_of (wrk), "born", (json_int_t)wrk->born,
                   "running", running, "ended", ended);
  char *text = json_dumps (doc, JSON_COMPACT);
  net_reply (wrk->waiting, 200, "application/json", text, strlen (text));
  wrk->waiting.fd = -1;
  free (text);
  json_decref (doc);
}

static void
remember_stopped (struct worker *wrk, const char *task, int64_t run)
{
  for (size_t n = 0; n < wrk->stopped_count; n++)
    if (strcmp (wrk->stopped[n].task, task) == 0)
      {
        if (run > wrk->stopped[n].run)
          wrk->stopped[n].run = run;
        return;
      }
  if (wrk->stopped_count == wrk->stopped_size)
    {
      wrk->stopped_size = wrk->stopped_size ? wrk->stopped_size * 2 : 64;
      wrk->stopped = realloc (wrk->stopped,
                              wrk->stopped_size * sizeof *wrk->stopped);
    }
  struct stopped *row = &wrk->stopped[wrk->stopped_count++];
  snprintf (row->task, sizeof row->task, "%s", task);
  row->run = run;
}

static void
end_run (struct worker *wrk, size_t index, const char *how)
{
  const struct run run = wrk->runs[index];
  wrk->runs[index] = wrk->runs[--wrk->run_count];
  if (wrk->end_count == wrk->end_size)
    {
      wrk->end_size = wrk->end_size ? wrk->end_size * 2 : 64;
      wrk->ends = realloc (wrk->ends, wrk->end_size * sizeof *wrk->ends);
    }
  struct fact fact = { .run = run.number,
                       .at = net_now (),
                       .worker = wrk->id,
                       .done = strcmp (how, "done") == 0,
                       .instance = wrk->instance };
  memcpy (fact.task, run.task, sizeof fact.task);
  struct end *end = &wrk->ends[wrk->end_count++];
  *end = (struct end){ .number = ++wrk->last_end,
                       .run = run.number,
                       .how = how,
                       .fact = add_fact (&ends, &end_count, &fact) };
  memcpy (end->task, run.task, sizeof end->task);
  remember_stopped (wrk, run.task, run.number);
  world_record ("%s: %s run %lld ended %s (end %lld)", wrk->id, run.task,
                (long long)run.number, how, (long long)end->number);
  if (wrk->waiting.fd >= 0)
    answer_hold (wrk);
}

static void
reply_command (struct worker *wrk, struct conn_ref conn, int status,
               const char *reason)
{
  char text[128];
  if (reason)
    snprintf (text, sizeof text, "{\"clock-ms\":%lld,\"reason\":\"%s\"}",
              (long long)clock_of (wrk), reason);
  else
    snprintf (text, sizeof text, "{\"clock-ms\":%lld}",
              (long long)clock_of (wrk));
  net_reply (conn, status, "application/json", text, strlen (text));
}

static void
extend_lease (struct worker *wrk, int64_t due)
{
  int64_t most = clock_of (wrk) + WORKER_HOLD_MAX_MS;
  if (due > most)
    due = most;
  if (due > wrk->due)
    wrk->due = due;
}

static struct run *
find_run (struct worker *wrk, const char *task, int64_t number)
{
  for (size_t n = 0; n < wrk->run_count; n++)
    if (wrk->runs[n].number == number
        && strcmp (wrk->runs[n].task, task) == 0)
      return &wrk->runs[n];
  return NULL;
}

/* Returns the reason for which the start is refused, or NULL.  */
static const char *
start_run (struct worker *wrk, const char *task, int64_t number, int64_t due,
           int64_t token)
{
  if (find_run (wrk, task, number))
    return NULL;
  extend_lease (wrk, due);
  for (size_t n = 0; n < wrk->stopped_count; n++)
    if (strcmp (wrk->stopped[n].task, task) == 0
        && number <= wrk->stopped[n].run)
      return "old";
  if (due <= clock_of (wrk))
    return "late";
  if (wrk->run_count == WORKER_RUNS_MAX)
    return "room";
  if (worker_running (task) > 0)
    {
      world_record ("BROKEN TWICE: %s starts on %s while another run of it is "
                    "under way",
                    task, wrk->id);
      overlaps++;
    }
  struct run *run = &wrk->runs[wrk->run_count++];
  *run = (struct run){ .number = number,
                       .started = net_now (),
                       .work_ms = worker_work_ms (task) };
  snprintf (run->task, sizeof run->task, "%s", task);
  struct fact fact = { .run = number,
                       .at = run->started,
                       .worker = wrk->id,
                       .instance = wrk->instance };
  memcpy (fact.task, run->task, sizeof fact.task);
  add_fact (&starts, &start_count, &fact);
  wrk->starts++;
  world_record ("%s: %s run %lld started, token %lld", wrk->id, task,
                (long long)number, (long long)token);
  if (worker_started)
    worker_started (wrk, run, token);
  return NULL;
}

static void
handle_hold (struct worker *wrk, const struct request *req,
             const json_t *doc)
{
  int64_t seen = json_integer_value (json_object_get (doc, "last-seen"));
  int64_t due = json_integer_value (json_object_get (doc, "due-ms"));
  int64_t wait = json_integer_value (json_object_get (doc, "wait-ms"));
  size_t kept = 0;
  extend_lease (wrk, due);
  for (size_t n = 0; n < wrk->end_count; n++)
    if (wrk->ends[n].number > seen)
      wrk->ends[kept++] = wrk->ends[n];
    else
      ends[wrk->ends[n].fact].noted = true;
  wrk->end_count = kept;
  if (wrk->waiting.fd >= 0)
    answer_hold (wrk);
  wrk->waiting = req->conn;
  wrk->wait_number = (uint64_t)(net_now () + wait);
  if (wait == 0 || wrk->end_count > 0)
    answer_hold (wrk);
}

static void
on_call (void *arg, const struct request *req)
{
  struct worker *wrk = arg;
  enum worker_fate fate = WORKER_NORMAL;
  if (strcmp (req->path, "/health") == 0)
    {
      net_reply (req->conn, 200, "text/plain", "", 0);
      return;
    }
  if (*req->instance && strcmp (req->instance, wrk->id) != 0)
    {
      reply_command (wrk, req->conn, 421, "instance");
      return;
    }
  if (worker_decide)
    fate = worker_decide (wrk, req);
  if (fate == WORKER_BUSY)
    {
      reply_command (wrk, req->conn, 503, NULL);
      return;
    }
  json_t *doc = json_loads (req->body, 0, NULL);
  int64_t token = json_integer_value (json_object_get (doc, "fencing-token"));
  const char *task = json_string_value (json_object_get (doc, "task"));
  int64_t number = json_integer_value (json_object_get (doc, "run-id"));
  if (token < wrk->token)
    {
      world_record ("%s: %s with token %lld is refused, %lld was seen",
                    wrk->id, req->path, (long long)token,
                    (long long)wrk->token);
      reply_command (wrk, req->conn, 409, "fence");
      json_decref (doc);
      return;
    }
  wrk->token = token;
  if (strcmp (req->path, "/v1/hold") == 0)
    handle_hold (wrk, req, doc);
  else if (strcmp (req->path, "/v1/run-start") == 0 && task)
    {
      const char *reason = start_run (
          wrk, task, number,
          json_integer_value (json_object_get (doc, "due-ms")), token);
      if (fate == WORKER_RESET)
        world_record ("%s: its %zu connections are reset, the answer to the "
                      "start of %s is lost",
                      wrk->id, net_reset_all (wrk->srv), task);
      else
        reply_command (wrk, req->conn, reason ? 409 : 200, reason);
    }
  else if (strcmp (req->path, "/v1/run-stop") == 0 && task)
    {
      struct run *run = find_run (wrk, task, number);
      world_record ("%s: %s run %lld is to stop", wrk->id, task,
                    (long long)number);
      if (run && !run->stopping)
        {
          run->stopping = true;
          run->work_ms = net_now () - run->started + WORKER_STOP_MS;
        }
      else if (!run)
        remember_stopped (wrk, task, number);
      reply_command (wrk, req->conn, 200, NULL);
    }
  else
    reply_command (wrk, req->conn, 400, NULL);
  json_decref (doc);
}

static void
on_tick (void *arg)
{
  struct worker *wrk = arg;
  int64_t now = net_now ();
  net_after (TICK_MS, on_tick, wrk);
  if (!wrk->up)
    return;
  if (now >= wrk->next_beat)
    {
      write_entry (wrk);
      wrk->next_beat += WORKER_HEARTBEAT_MS;
    }
  bool lapsed = clock_of (wrk) >= wrk->due;
  for (size_t n = wrk->run_count; n-- > 0;)
    {
      const struct run *run = &wrk->runs[n];
      if (run->work_ms >= 0 && now >= run->started + run->work_ms)
        end_run (wrk, n, run->stopping ? "stopped" : "done");
      else if (lapsed)
        end_run (wrk, n, "lapsed");
    }
  if (wrk->waiting.fd >= 0 && (uint64_t)now >= wrk->wait_number)
    answer_hold (wrk);
}

static void
begin_instance (struct worker *wrk, int64_t beat_ms)
{
  wrk->up = true;
  wrk->born = net_wall ();
  wrk->begun = net_now ();
  wrk->instance++;
  wrk->next_beat = net_now () + beat_ms;
  wrk->sequence = wrk->token = wrk->due = wrk->last_end = 0;
  wrk->run_count = wrk->end_count = wrk->stopped_count = 0;
  wrk->waiting.fd = -1;
  wrk->srv = net_listen (&wrk->port, on_call, wrk);
}

struct worker *
worker_add (const char *id, const char *zone, const char *label,
            const char *rack)
{
  struct worker *wrk = &workers[worker_count++];
  snprintf (wrk->id, sizeof wrk->id, "%s", id);
  snprintf (wrk->machine, sizeof wrk->machine, "m-%s", id);
  snprintf (wrk->pool, sizeof wrk->pool, "%s", WORLD_POOL);
  snprintf (wrk->zone, sizeof wrk->zone, "%s", zone);
  snprintf (wrk->label, sizeof wrk->label, "%s", label);
  snprintf (wrk->rack, sizeof wrk->rack, "%s", rack);
  wrk->cpu = 32000;
  wrk->mem = 131072;
  store_machine (wrk->machine, wrk->pool, zone, label, rack, wrk->cpu,
                 wrk->mem, id);
  begin_instance (wrk, 0);
  on_tick (wrk);
  return wrk;
}

void
worker_crash (struct worker *wrk)
{
  world_record ("%s: crashes with %zu runs", wrk->id, wrk->run_count);
  wrk->up = false;
  wrk->run_count = 0;
  wrk->waiting.fd = -1;
  net_shut (wrk->srv);
}

void
worker_restart (struct worker *wrk, int64_t beat_ms)
{
  begin_instance (wrk, beat_ms);
  world_record ("%s: starts again under its id", wrk->id);
}

bool
worker_job_started (const char *name)
{
  for (size_t n = 0; n < start_count; n++)
    if (strncmp (starts[n].task, name, 16) == 0)
      return true;
  return false;
}

void
worker_count_ends (int64_t age_ms, size_t *listed, size_t *noted)
{
  *listed = *noted = 0;
  for (size_t n = 0; n < end_count; n++)
    {
      bool present = false;
      for (size_t m = 0; m < worker_count; m++)
        present = present
                  || (workers[m].up && ends[n].worker == workers[m].id
                      && ends[n].instance == workers[m].instance);
      if (!present || !ends[n].listed_at
          || net_now () - ends[n].listed_at < age_ms)
        continue;
      ++*listed;
      *noted += ends[n].noted;
    }
}

size_t
worker_check_twice (void)
{
  size_t broken = overlaps;
  for (size_t n = 0; n < start_count; n++)
    for (size_t m = 0; m < end_count; m++)
      if (ends[m].done && ends[m].noted && ends[m].at < starts[n].at
          && strcmp (ends[m].task, starts[n].task) == 0)
        {
          world_record ("BROKEN TWICE: %s run %lld started on %s after run "
                        "%lld had ended done on %s, which was taken note of",
                        starts[n].task, (long long)starts[n].run,
                        starts[n].worker, (long long)ends[m].run,
                        ends[m].worker);
          broken++;
        }
  return broken;
}
