#include "test/soak/worker.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "test/soak/store.h"

#define TICK_MS 20
#define HEARTBEAT_MS 1500
#define SILENCE_MAX_MS (3 * HEARTBEAT_MS) /* then its entry is removed */
#define STOP_TAKES_MS 100
#define ENDS_PAGE 500
#define MOVE_MS 1500
#define UPKEEP_MS 2000
#define STARTUP_MS 300    /* until a perpetual item is at work */
#define PLACE_AGE_MS 3000 /* until a new worker counts as a place */
#define LATE_MIN_MS 1000
#define LATE_MAX_MS 4000
#define LATER_MIN_MS 2000
#define LATER_MAX_MS 11900 /* 12 s after it was sent */
/* First values of an instance's clock: after a boot, anywhere, or near the
   clock of the instance before.  */
#define CLOCK_BOOT_MAX_MS 2000
#define CLOCK_FAR_MAX_MS 10000000
#define CLOCK_NEAR_MS 15000
#define CLOCK_SLOW_PERMILLE 980

struct worker workers[WORKERS_MAX];
size_t worker_count;
int worker_spare_pool = -1;
bool worker_late_crosses;

const char *
pool_name (int pool)
{
  static char name[16];
  snprintf (name, sizeof name, "work-%d", pool);
  return name;
}

static int64_t
clock_of (const struct worker *wrk)
{
  return wrk->first_clock
         + (net_now () - wrk->begun) * wrk->clock_permille / 1000;
}

static void
write_entry (struct worker *wrk)
{
  char address[32];
  snprintf (address, sizeof address, "127.0.0.1:%d", wrk->port);
  json_t *doc = json_pack (
      "{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:s,s:{s:i,s:i,s:i},s:[ss],s:I,s:I,s:I}",
      "service", pool_name (wrk->pool), "address", address, "zone", wrk->zone,
      "version", "v1", "slots", 8, "state", "ready", "cold-left-ms", 0,
      "machine", wrk->machine, "capacity", "cpu", wrk->cpu, "mem-mb", wrk->mem,
      "gpu", 0, "labels", "plain", wrk->rack, "clock-ms",
      (json_int_t)clock_of (wrk), "born", (json_int_t)wrk->born, "sequence",
      (json_int_t)++wrk->sequence);
  char *text = json_dumps (doc, JSON_COMPACT);
  store_put ("keyed.servers", wrk->id, text);
  wrk->listed = true;
  free (text);
  json_decref (doc);
}

static void
remove_entry (struct worker *wrk)
{
  if (wrk->listed)
    store_put ("keyed.servers", wrk->id, "");
  wrk->listed = false;
}

/* A call that is carried out later, after newer ones.  */
struct late_call
{
  struct late_call *next;
  struct request req;
  struct worker *wrk;
  unsigned instance;
  int64_t arrived;
};

static struct late_call *
copy_call (struct worker *wrk, const struct request *req)
{
  struct late_call *late = calloc (1, sizeof *late);
  *late = (struct late_call){
    .req = *req, .wrk = wrk, .instance = wrk->instance, .arrived = soak_ms ()
  };
  late->req.body = malloc (req->len + 1);
  memcpy (late->req.body, req->body, req->len + 1);
  return late;
}

static void
free_call (struct late_call *late)
{
  if (late)
    free (late->req.body);
  free (late);
}

static void
answer_hold (struct worker *wrk)
{
  json_t *running = json_array (), *ended = json_array ();
  int64_t now = net_now ();
  for (size_t n = 0; n < wrk->run_count; n++)
    {
      const struct run *run = &wrk->runs[n];
      bool counts = !run->lasts && run->work_ms > 0;
      /* A perpetual item is at work when its percent is 100.  */
      int64_t span = run->lasts ? STARTUP_MS : run->work_ms;
      int64_t percent = span > 0 ? (now - run->started) * 100 / span : 100;
      int64_t most = counts ? 99 : 100;
      json_array_append_new (
          running,
          json_pack ("[s,I,s,I,i]", run->task, (json_int_t)run->number, "",
                     (json_int_t)(percent > most ? most : percent), 0));
    }
  for (size_t n = 0; n < wrk->end_count && n < ENDS_PAGE; n++)
    {
      const struct end *end = &wrk->ends[n];
      if (end->fact && !end->fact->listed)
        end->fact->listed = now;
      json_array_append_new (
          ended, json_pack ("[I,s,I,s,s]", (json_int_t)end->number, end->task,
                            (json_int_t)end->run, end->how, ""));
    }
  json_t *doc = json_pack (
      "{s:I,s:I,s:o,s:o}", "clock-ms", (json_int_t)clock_of (wrk), "born",
      (json_int_t)wrk->born, "running", running, "ended", ended);
  char *text = json_dumps (doc, JSON_COMPACT);
  net_reply (wrk->waiting, 200, "application/json", text, strlen (text));
  wrk->waiting.fd = -1;
  free_call (wrk->waiting_call);
  wrk->waiting_call = NULL;
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
      wrk->stopped
          = realloc (wrk->stopped, wrk->stopped_size * sizeof *wrk->stopped);
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
  struct end *end = &wrk->ends[wrk->end_count++];
  *end = (struct end){ .number = ++wrk->last_end,
                       .run = run.number,
                       .how = how,
                       .at = net_now (),
                       .fact = run.fact };
  memcpy (end->task, run.task, sizeof end->task);
  remember_stopped (wrk, run.task, run.number);
  judge_end (run.fact, how);
  if (wrk->waiting.fd >= 0)
    answer_hold (wrk);
}

/* Ends all runs if the lease is over, and remembers the time of the look.  */
static void
look_at_lease (struct worker *wrk)
{
  if (clock_of (wrk) < wrk->due)
    return;
  wrk->lapsed = net_now ();
  while (wrk->run_count > 0)
    end_run (wrk, wrk->run_count - 1, "lapsed");
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
  look_at_lease (wrk);
  int64_t most = clock_of (wrk) + HOLD_MAX_MS;
  if (due > most)
    due = most;
  if (due > wrk->due)
    wrk->due = due;
}

static struct run *
find_run (struct worker *wrk, const char *task, int64_t number)
{
  for (size_t n = 0; n < wrk->run_count; n++)
    if (wrk->runs[n].number == number && strcmp (wrk->runs[n].task, task) == 0)
      return &wrk->runs[n];
  return NULL;
}

/* An order to start, as it arrived.  */
struct order
{
  const char *task, *spec, *saved;
  int64_t number, due, token;
  bool late;
};

static int
cpu_of (const char *task)
{
  int step = 0;
  const struct job *job = job_find (task);
  if (!job || sscanf (task + 16, ".%*d.%d", &step) != 1 || step < 0
      || step >= job->step_count || job->steps[step].fills)
    return 0;
  return job->steps[step].cpu;
}

/* Returns the reason for which the start is refused, or NULL.  */
static const char *
start_run (struct worker *wrk, const struct order *ord)
{
  extend_lease (wrk, ord->due);
  if (find_run (wrk, ord->task, ord->number))
    return NULL;
  for (size_t n = 0; n < wrk->stopped_count; n++)
    if (strcmp (wrk->stopped[n].task, ord->task) == 0
        && ord->number <= wrk->stopped[n].run)
      return "old";
  if (ord->due <= clock_of (wrk))
    return "late";
  if (wrk->run_count == WORKER_RUNS_MAX)
    return "room";
  const struct start start = { .task = ord->task,
                               .spec = ord->spec,
                               .saved = ord->saved,
                               .worker = wrk->id,
                               .pool = wrk->pool,
                               .number = ord->number,
                               .token = ord->token,
                               .late = ord->late };
  struct run *run = &wrk->runs[wrk->run_count++];
  *run = (struct run){ .number = ord->number,
                       .started = net_now (),
                       .cpu = cpu_of (ord->task),
                       .lasts = job_find (ord->task)
                                && job_find (ord->task)->perpetual,
                       .fact = judge_start (&start) };
  run->work_ms = judge_work_ms (ord->task, ord->number, &run->fails);
  snprintf (run->task, sizeof run->task, "%s", ord->task);
  int in_use = 0;
  for (size_t n = 0; n < wrk->run_count; n++)
    in_use += wrk->runs[n].cpu;
  if (in_use > wrk->cpu)
    judge_broken ("LIMIT", "%s brings %s to %d of %d", ord->task, wrk->id,
                  in_use, wrk->cpu);
  return NULL;
}

static void
handle_hold (struct worker *wrk, const struct request *req, const json_t *doc)
{
  int64_t seen = json_integer_value (json_object_get (doc, "last-seen"));
  int64_t due = json_integer_value (json_object_get (doc, "due-ms"));
  int64_t now = net_now ();
  int64_t wait = json_integer_value (json_object_get (doc, "wait-ms"));
  size_t kept = 0;
  extend_lease (wrk, due);
  for (size_t n = 0; n < wrk->end_count; n++)
    if (wrk->ends[n].number > seen)
      wrk->ends[kept++] = wrk->ends[n];
    else if (wrk->ends[n].fact && wrk->lapsed < wrk->ends[n].at)
      wrk->ends[n].fact->noted = soak_ms ();
  wrk->end_count = kept;
  if (wrk->waiting.fd >= 0)
    answer_hold (wrk);
  wrk->waiting = req->conn;
  wrk->waiting_call = copy_call (wrk, req);
  wrk->wait_until = now + wait;
  if (wait == 0 || wrk->end_count > 0)
    answer_hold (wrk);
}

static void
handle_call (struct worker *wrk, const struct request *req, bool late)
{
  json_t *doc = json_loads (req->body, 0, NULL);
  int64_t token = json_integer_value (json_object_get (doc, "fencing-token"));
  const char *task = json_string_value (json_object_get (doc, "task"));
  int64_t number = json_integer_value (json_object_get (doc, "run-id"));
  if (token < wrk->token)
    {
      reply_command (wrk, req->conn, 409, "fence");
      json_decref (doc);
      return;
    }
  wrk->token = token;
  if (strcmp (req->path, "/v1/hold") == 0)
    handle_hold (wrk, req, doc);
  else if (strcmp (req->path, "/v1/run-start") == 0 && task)
    {
      const struct order ord = {
        .task = task,
        .spec = json_string_value (json_object_get (doc, "spec")),
        .saved = json_string_value (json_object_get (doc, "saved")),
        .number = number,
        .due = json_integer_value (json_object_get (doc, "due-ms")),
        .token = token,
        .late = late,
      };
      const char *reason = start_run (wrk, &ord);
      reply_command (wrk, req->conn, reason ? 409 : 200, reason);
    }
  else if (strcmp (req->path, "/v1/run-stop") == 0 && task)
    {
      struct run *run = find_run (wrk, task, number);
      if (run && !run->stopping)
        {
          run->stopping = true;
          run->work_ms = net_now () - run->started + STOP_TAKES_MS;
        }
      else if (!run)
        remember_stopped (wrk, task, number);
      reply_command (wrk, req->conn, 200, NULL);
    }
  else
    reply_command (wrk, req->conn, 400, NULL);
  json_decref (doc);
}

/* Tells of a call that reaches another instance than it was sent to.  */
static void
log_crossing (const struct late_call *late)
{
  const struct worker *wrk = late->wrk;
  if (wrk->instance != late->instance)
    soak_log ("late: %s of %.3f to instance %u of %s is done by %u: %.160s",
              late->req.path, (double)late->arrived / 1000, late->instance,
              wrk->id, wrk->instance, late->req.body);
}

static void
do_late_call (void *arg)
{
  struct late_call *late = arg;
  const struct worker *wrk = late->wrk;
  bool same
      = wrk->instance == late->instance
        || (worker_late_crosses && strcmp (wrk->id, late->req.instance) == 0);
  if (wrk->up && same)
    {
      log_crossing (late);
      handle_call (late->wrk, &late->req, true);
    }
  free_call (late);
}

static void
delay_call (struct worker *wrk, const struct request *req)
{
  int64_t ms = wrk->fault.later
                   ? soak_between (&soak_call_rng, LATER_MIN_MS, LATER_MAX_MS)
                   : soak_between (&soak_call_rng, LATE_MIN_MS, LATE_MAX_MS);
  net_after (ms, do_late_call, copy_call (wrk, req));
}

static void
keep_call (struct worker *wrk, const struct request *req)
{
  struct late_call *late = copy_call (wrk, req);
  late->next = wrk->kept;
  wrk->kept = late;
}

static void
drop_kept (struct worker *wrk)
{
  while (wrk->kept)
    {
      struct late_call *late = wrk->kept;
      wrk->kept = late->next;
      free_call (late);
    }
}

static void on_call (void *arg, const struct request *req);

/* Carries out the calls that were kept, the oldest first.  */
static void
do_kept (struct worker *wrk)
{
  struct late_call *first = NULL;
  while (wrk->kept)
    {
      struct late_call *late = wrk->kept;
      wrk->kept = late->next;
      late->next = first;
      first = late;
    }
  while (first)
    {
      struct late_call *late = first;
      first = late->next;
      log_crossing (late);
      on_call (wrk, &late->req);
      free_call (late);
    }
}

static void
on_call (void *arg, const struct request *req)
{
  struct worker *wrk = arg;
  const struct worker_fault *flt = &wrk->fault;
  bool hold = strcmp (req->path, "/v1/hold") == 0;
  if (!wrk->up && wrk->halted && wrk->outage == OUTAGE_KEPT)
    keep_call (wrk, req);
  else if (!wrk->up)
    net_silence (req->conn);
  else if (strcmp (req->path, "/health") == 0)
    net_reply (req->conn, 200, "text/plain", "", 0);
  else if (*req->instance && strcmp (req->instance, wrk->id) != 0)
    reply_command (wrk, req->conn, 421, "instance");
  else if (soak_draw (&soak_call_rng) < flt->busy)
    reply_command (wrk, req->conn, 503, NULL);
  else if (hold ? flt->late_holds > 0
                      && soak_draw (&soak_call_rng) < flt->late_holds
                : soak_draw (&soak_call_rng) < flt->late)
    {
      net_silence (req->conn);
      delay_call (wrk, req);
    }
  else if (soak_draw (&soak_call_rng) < flt->lose)
    {
      /* Done, and the answer is lost in either of two ways.  */
      bool reset = soak_draw (&soak_call_rng) < 0.5;
      net_silence (req->conn);
      handle_call (wrk, req, false);
      if (reset)
        net_reset (req->conn);
    }
  else
    handle_call (wrk, req, false);
}

static void
on_tick (void *arg)
{
  struct worker *wrk = arg;
  int64_t now = net_now ();
  net_after (TICK_MS, on_tick, wrk);
  if (wrk->silent_since && now - wrk->silent_since > SILENCE_MAX_MS)
    remove_entry (wrk);
  if (!wrk->up)
    return;
  if (now >= wrk->next_beat)
    {
      if (!wrk->fault.cut && !wrk->away)
        write_entry (wrk);
      wrk->next_beat = now + HEARTBEAT_MS;
    }
  for (size_t n = wrk->run_count; n-- > 0;)
    {
      const struct run *run = &wrk->runs[n];
      if (run->work_ms >= 0 && now >= run->started + run->work_ms)
        end_run (wrk, n,
                 run->stopping ? "stopped"
                 : run->fails  ? "failed"
                               : "done");
    }
  look_at_lease (wrk);
  if (wrk->waiting.fd >= 0 && now >= wrk->wait_until)
    answer_hold (wrk);
}

void
worker_faults_changed (struct worker *wrk)
{
  struct net_link *link = net_link_of (wrk->srv);
  link->drop_in = wrk->fault.cut;
  link->drop_out = wrk->fault.cut || wrk->fault.one_way;
  link->refuse = !wrk->up && wrk->outage == OUTAGE_REFUSED;
  if (wrk->up && !wrk->fault.cut && !wrk->away)
    wrk->silent_since = 0;
  else if (!wrk->silent_since)
    wrk->silent_since = net_now ();
}

void
worker_cut (struct worker *wrk, bool on)
{
  wrk->away = on;
  worker_faults_changed (wrk);
}

/* The clock of a new instance is behind or ahead of the one before.  */
static int64_t
draw_clock (const struct worker *wrk)
{
  struct rng *rng = &soak_call_rng;
  double draw = soak_draw (rng);
  if (wrk->instance > 0 && draw < 0.5)
    return soak_between (rng, 0, CLOCK_BOOT_MAX_MS);
  if (wrk->instance == 0 || draw < 0.7)
    return soak_between (rng, 0, CLOCK_FAR_MAX_MS);
  int64_t clock = clock_of (wrk);
  int64_t least = clock < CLOCK_NEAR_MS ? 0 : clock - CLOCK_NEAR_MS;
  return soak_between (rng, least, clock + CLOCK_NEAR_MS);
}

static void
begin_instance (struct worker *wrk, int64_t beat_ms)
{
  wrk->up = true;
  wrk->halted = false;
  wrk->outage = OUTAGE_REFUSED;
  wrk->first_clock = draw_clock (wrk);
  wrk->clock_permille
      = (int)soak_between (&soak_call_rng, CLOCK_SLOW_PERMILLE, 1000);
  wrk->born = net_wall ();
  wrk->begun = net_now ();
  wrk->instance++;
  wrk->next_beat = net_now () + beat_ms;
  wrk->sequence = wrk->token = wrk->due = wrk->last_end = wrk->lapsed = 0;
  wrk->run_count = wrk->end_count = wrk->stopped_count = 0;
  wrk->waiting.fd = -1;
  worker_faults_changed (wrk);
}

static void
drop_instance (struct worker *wrk, enum outage outage)
{
  for (size_t n = 0; n < wrk->run_count; n++)
    judge_end (wrk->runs[n].fact, "gone");
  wrk->up = wrk->halted = false;
  wrk->outage = outage;
  wrk->run_count = wrk->end_count = 0;
  wrk->waiting.fd = -1;
  free_call (wrk->waiting_call);
  wrk->waiting_call = NULL;
  drop_kept (wrk);
  worker_faults_changed (wrk);
}

static void
end_instance (struct worker *wrk, const char *state)
{
  drop_instance (wrk, OUTAGE_REFUSED);
  net_reset_all (wrk->srv);
  store_machine_state (wrk->machine, state, pool_name (wrk->pool), "");
}

void
worker_crash (struct worker *wrk)
{
  end_instance (wrk, "down");
}

void
worker_restart (struct worker *wrk, int64_t beat_ms, bool new_id)
{
  if (new_id)
    {
      remove_entry (wrk);
      snprintf (wrk->id, sizeof wrk->id, "i-%02d.%u", wrk->index,
                ++wrk->renamed);
    }
  begin_instance (wrk, beat_ms);
  store_machine_state (wrk->machine, "up", pool_name (wrk->pool), wrk->id);
}

void
worker_halt (struct worker *wrk, bool dark, enum outage outage)
{
  struct late_call *waiting = wrk->waiting_call;
  if (outage == OUTAGE_KEPT && dark)
    wrk->waiting_call = NULL;
  drop_instance (wrk, outage);
  wrk->halted = true;
  if (outage == OUTAGE_HANGS)
    net_hang (wrk->srv, true);
  if (outage == OUTAGE_KEPT && dark)
    wrk->kept = waiting;
  else if (outage == OUTAGE_KEPT)
    net_reset_busy (wrk->srv);
  else if (dark)
    net_silence_all (wrk->srv, false);
  else
    net_reset_all (wrk->srv);
  if (outage == OUTAGE_QUEUED)
    net_hold (wrk->srv, true);
}

bool
worker_resume (struct worker *wrk, int64_t beat_ms, bool boot)
{
  bool halted = wrk->halted;
  enum outage outage = wrk->outage;
  if (halted)
    begin_instance (wrk, beat_ms);
  if (halted && boot)
    wrk->first_clock = 0;
  net_hang (wrk->srv, false);
  if (outage == OUTAGE_QUEUED)
    net_hold (wrk->srv, false);
  if (halted)
    do_kept (wrk);
  return halted;
}

/* The machine's new worker joins the pool.  */
static void
finish_move (void *arg)
{
  struct worker *wrk = arg;
  wrk->in_upkeep = false;
  if (wrk->pool == worker_spare_pool)
    store_machine_state (wrk->machine, "up", pool_name (wrk->pool), "");
  else
    worker_restart (wrk, 0, true);
}

struct worker *
worker_of_machine (const char *machine)
{
  struct worker *wrk = workers;
  while (strcmp (wrk->machine, machine) != 0)
    wrk++;
  return wrk;
}

void
worker_upkeep (struct worker *wrk)
{
  wrk->in_upkeep = true;
  remove_entry (wrk);
  end_instance (wrk, "upkeep");
  net_after (UPKEEP_MS, finish_move, wrk);
}

/* What runs on the machine ends at once, and its worker leaves.  */
static void
move_machine (const char *machine, const char *pool)
{
  struct worker *wrk = worker_of_machine (machine);
  remove_entry (wrk);
  end_instance (wrk, "moving");
  sscanf (pool, "work-%d", &wrk->pool);
  store_machine_state (machine, "moving", pool, "");
  net_after (MOVE_MS, finish_move, wrk);
}

struct worker *
worker_add (int pool, int zone)
{
  if (worker_count == WORKERS_MAX)
    soak_fail ("too many workers");
  struct worker *wrk = &workers[worker_count];
  *wrk = (struct worker){
    .index = (int)worker_count++, .pool = pool, .cpu = WORKER_CPU, .mem = 65536
  };
  snprintf (wrk->id, sizeof wrk->id, "i-%02d", wrk->index);
  snprintf (wrk->machine, sizeof wrk->machine, "m-%02d", wrk->index);
  snprintf (wrk->zone, sizeof wrk->zone, "zone-%c", 'a' + zone);
  snprintf (wrk->rack, sizeof wrk->rack, "r-%d", zone);
  wrk->srv = net_listen (&wrk->port, on_call, wrk);
  store_machine (wrk->machine, pool_name (pool), wrk->zone, "plain", wrk->rack,
                 wrk->cpu, wrk->mem, wrk->id);
  store_move = move_machine;
  if (pool == worker_spare_pool)
    {
      worker_faults_changed (wrk);
      store_machine_state (wrk->machine, "up", pool_name (pool), "");
    }
  else
    begin_instance (wrk, 0);
  on_tick (wrk);
  return wrk;
}

int
worker_places (int pool)
{
  int count = 0;
  for (size_t n = 0; n < worker_count; n++)
    {
      const struct worker *wrk = &workers[n];
      const struct worker_fault *flt = &wrk->fault;
      count += wrk->up && wrk->pool == pool && !wrk->away && !flt->cut
               && !flt->one_way && flt->busy <= 0 && flt->lose <= 0
               && flt->late <= 0 && flt->late_holds <= 0
               && net_now () - wrk->begun > PLACE_AGE_MS;
    }
  return count;
}

int
worker_machines (int pool)
{
  int count = 0;
  for (size_t n = 0; n < worker_count; n++)
    count += workers[n].pool == pool;
  return count;
}

int64_t
worker_room (int pool, int64_t *all, int64_t *used)
{
  int64_t most = 0;
  *all = *used = 0;
  for (size_t n = 0; n < worker_count; n++)
    {
      const struct worker *wrk = &workers[n];
      int64_t in_use = 0;
      if (!wrk->up || wrk->pool != pool)
        continue;
      for (size_t m = 0; m < wrk->run_count; m++)
        in_use += wrk->runs[m].cpu;
      *all += wrk->cpu;
      *used += in_use;
      if (wrk->cpu - in_use > most)
        most = wrk->cpu - in_use;
    }
  return most;
}
