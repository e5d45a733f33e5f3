#include "test/soak/clients.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "test/soak/judge.h"
#include "test/soak/net.h"
#include "test/soak/process.h"
#include "test/soak/store.h"
#include "test/soak/worker.h"

#define TRIES_MAX 4
#define TRY_MS 1200
#define BUDGET_MS 4000 /* from a client's first try */
#define READ_MS 2000
#define RETRY_AFTER_MAX_MS 3000
#define CANCEL_TRIES_MAX 8
#define EXTRA_PREFIX "/extra-"
#define STEADY_ROUTES_MAX 100
#define TIMEOUT_MIN_MS 2500
#define TIMEOUT_MAX_MS 3500
/* Between two requests for counts at one process, with up to ASK_PROCESSES
   processes; the total rate grows no further.  */
#define ASK_MIN_MS 40
#define ASK_MAX_MS 160
#define ASK_PROCESSES 8
#define LONG_MIN_MS 2500 /* work of an item of a burst */
#define LONG_MAX_MS 7000
/* Jobs whose runs outlive a lease; a few beside the others.  */
#define LASTING_SHARE 0.25
#define LASTING_MIN_MS 2500
#define LASTING_MAX_MS 15000

static struct traffic traffic;
static struct rng rng;
static bool stopped;
static int version = 3;
static unsigned extra_routes;          /* bits of those in the config */
static unsigned changed_routes;        /* by the last version */
static int timeouts[ROUTES_EXTRA + 1]; /* of all others, and of each extra */
static bool spare_pool;
static int steady_routes; /* give the versions their size */
static struct rng config_rng, ask_rng, burst_rng;
static size_t asking; /* reads of clients_ask_all without an answer */

/* The operator  */

static json_t *
make_route (const char *name, const char *prefix, const char *service,
            int timeout_ms)
{
  return json_pack ("{s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:s,s:i,s:f}", "name", name,
                    "host", SOAK_HOST, "path-prefix", prefix, "route-type",
                    "non_idempotent", "timeout-ms", timeout_ms,
                    "target-latency-ms", 600, "priority", 0, "service",
                    service, "attempts", ATTEMPTS, "stretch", 1.6);
}

static int
draw_timeout (void)
{
  return (int)soak_between (&config_rng, TIMEOUT_MIN_MS, TIMEOUT_MAX_MS);
}

static void
write_config (void)
{
  json_t *routes = json_array (), *services = json_array ();
  char name[24], prefix[24];
  for (int n = 0; n < traffic.pools; n++)
    {
      snprintf (name, sizeof name, "r-%d", n);
      snprintf (prefix, sizeof prefix, "/q%d/", n);
      json_array_append_new (
          routes, make_route (name, prefix, pool_name (n), timeouts[0]));
      json_array_append_new (
          services,
          json_pack ("{s:s,s:s,s:i,s:s,s:b,s:b,s:b}", "name", pool_name (n),
                     "health-path", "/health", "max-conns", 64, "protocol",
                     "h1", "tls", 0, "enforces-capacity", 0, "spare", 0));
    }
  if (spare_pool)
    json_array_append_new (
        services, json_pack ("{s:s,s:s,s:i,s:s,s:b,s:b,s:b}", "name",
                             pool_name (traffic.pools), "health-path",
                             "/health", "max-conns", 64, "protocol", "h1",
                             "tls", 0, "enforces-capacity", 0, "spare", 1));
  for (int n = 0; n < steady_routes; n++)
    {
      snprintf (name, sizeof name, "steady-%d", n);
      snprintf (prefix, sizeof prefix, "/steady-%d/", n);
      json_array_append_new (routes, make_route (name, prefix,
                                                 pool_name (n % traffic.pools),
                                                 TIMEOUT_MAX_MS));
    }
  for (int n = 1; n <= ROUTES_EXTRA; n++)
    if (extra_routes & 1U << n)
      {
        snprintf (name, sizeof name, "extra-%d", n);
        snprintf (prefix, sizeof prefix, EXTRA_PREFIX "%d/", n);
        json_array_append_new (
            routes, make_route (name, prefix, pool_name (0), timeouts[n]));
      }
  json_t *doc
      = json_pack ("{s:i,s:o,s:o,s:{s:i,s:i,s:i,s:i}}", "version", version,
                   "routes", routes, "services", services, "limits",
                   "max-header-bytes", 16384, "max-body-bytes", 262144,
                   "header-timeout-ms", 3000, "idle-timeout-ms", 15000);
  char *text = json_dumps (doc, JSON_COMPACT);
  store_put ("keyed.op", "config", text);
  judge_config (version, extra_routes);
  free (text);
  json_decref (doc);
}

void
operator_start (int pools, bool spare, uint64_t seed)
{
  spare_pool = spare;
  config_rng = rng_make (seed, "versions");
  traffic.pools = pools;
  steady_routes = (int)soak_between (&config_rng, 0, STEADY_ROUTES_MAX);
  for (int n = 0; n <= ROUTES_EXTRA; n++)
    timeouts[n] = TIMEOUT_MAX_MS;
  write_config ();
}

void
operator_change (void)
{
  unsigned before = extra_routes;
  double draw = soak_draw (&config_rng);
  int flips = draw < 0.2 ? 0 : draw < 0.8 ? 1 : 2;
  for (int n = 0; n < flips; n++)
    extra_routes ^= 1U << soak_between (&config_rng, 1, ROUTES_EXTRA);
  timeouts[soak_between (&config_rng, 0, ROUTES_EXTRA)] = draw_timeout ();
  version += (int)soak_between (&config_rng, 1, 5);
  changed_routes = extra_routes ^ before;
  write_config ();
  soak_log ("operator: config version %d, extra routes %02x, before %02x",
            version, extra_routes >> 1, before >> 1);
}

/* Handing in  */

/* One try of a client.  */
struct attempt
{
  struct job *job;
  int process;
  int64_t sent, budget_end;
  bool repeat; /* arrives after the job was accepted */
};

static const char *
path_of (const struct job *job)
{
  static char path[40];
  if (job->route)
    snprintf (path, sizeof path, EXTRA_PREFIX "%d/%s", job->route, job->id);
  else
    snprintf (path, sizeof path, "/q%d/%s", job->pool, job->id);
  return path;
}

static char *
body_of (const struct job *job)
{
  json_t *steps = json_array ();
  for (int n = 0; n < job->step_count; n++)
    {
      const struct step *stp = &job->steps[n];
      json_t *row = json_pack ("{s:i,s:i,s:i,s:i}", "count", stp->count, "cpu",
                               stp->cpu, "mem-mb", stp->mem, "estimate-ms",
                               stp->work_ms < 0 ? 1000 : (int)stp->work_ms);
      if (n > 0)
        json_object_set_new (row, "after", json_pack ("[i]", n - 1));
      if (job->perpetual)
        json_object_set_new (row, "perpetual", json_true ());
      if (stp->bound)
        json_object_set_new (row, "anti-affinity", json_integer (stp->bound));
      if (stp->fills)
        json_object_set_new (row, "fills", json_true ());
      if (stp->may_miss)
        json_object_set_new (row, "may-miss", json_integer (stp->may_miss));
      json_array_append_new (steps, row);
    }
  json_t *doc = json_pack ("{s:s,s:o}", "spec", job->spec, "steps", steps);
  char *text = json_dumps (doc, JSON_COMPACT);
  json_decref (doc);
  return text;
}

static void send_attempt (struct attempt *att);
static void plan_after_accepted (struct job *job);

static void
resend (void *arg)
{
  struct attempt *att = arg;
  att->process = process_pick (&rng);
  send_attempt (att);
}

/* Goes on after a try that did not settle the job.  */
static bool
try_again (struct attempt *att, const struct answer *ans, bool rejected)
{
  struct job *job = att->job;
  int64_t wait = 10;
  if (job->tries >= TRIES_MAX || soak_ms () > att->budget_end)
    return false;
  if (rejected && (!job->patient || ans->status == 404))
    return false;
  if (rejected)
    {
      wait = ans->retry_after_s * 1000;
      if (wait > RETRY_AFTER_MAX_MS)
        wait = RETRY_AFTER_MAX_MS;
      wait += soak_between (&rng, 50, 300);
      att->budget_end += wait;
    }
  net_after (wait, resend, att);
  return true;
}

static void
on_submitted (void *arg, const struct answer *ans)
{
  struct attempt *att = arg;
  struct job *job = att->job;
  const struct route_answer by_route = { .what = job->id,
                                         .route = job->route,
                                         .process = att->process,
                                         .status = ans->status,
                                         .sent = att->sent };
  judge_route (&by_route);
  judge_no_answer (&by_route, ans->broken);
  bool rejected = ans->status == 503 || ans->status == 429;
  if (rejected && !att->repeat)
    job->rejected++;
  if (ans->status == 0)
    job->unanswered++;
  if (ans->status == 502 || ans->status == 504)
    job->unsettled++;
  if (ans->status / 100 == 2 && !job->accepted)
    {
      job->accepted = soak_ms ();
      job->accepted_by = att->process;
      plan_after_accepted (job);
    }
  if (att->repeat || ans->status / 100 == 2 || ans->status == 400
      || !try_again (att, ans, rejected || ans->status == 404))
    free (att);
}

static void
send_attempt (struct attempt *att)
{
  char *body = body_of (att->job);
  const struct call call = { .port = processes[att->process].listen,
                             .timeout_ms = TRY_MS,
                             .method = "POST",
                             .path = path_of (att->job),
                             .host = SOAK_HOST,
                             .body = body };
  att->sent = soak_ms ();
  att->job->tries++;
  net_call (&call, on_submitted, att);
  free (body);
}

static void
submit (struct job *job, bool repeat)
{
  struct attempt *att = calloc (1, sizeof *att);
  *att = (struct attempt){ .job = job,
                           .process = process_pick (&rng),
                           .budget_end = soak_ms () + BUDGET_MS,
                           .repeat = repeat };
  send_attempt (att);
}

/* Occasionally a request arrives again after it was accepted.  */
static void
submit_again (void *arg)
{
  submit (arg, true);
}

/* Reading and cancelling  */

struct read_call
{
  struct job *job; /* NULL: of a job that nobody sent */
  int process;
  int64_t sent;
  bool final;
};

static void read_state (struct job *job, bool final);

static void
on_state (void *arg, const struct answer *ans)
{
  struct read_call *rdc = arg;
  struct job *job = rdc->job;
  json_t *doc = json_loads (ans->body, 0, NULL);
  const char *state = json_string_value (json_object_get (doc, "state"));
  const struct reading read = { .process = rdc->process,
                                .sent = rdc->sent,
                                .status = ans->status,
                                .state = state ? state : "" };
  const struct route_answer by_route = { .what = "request for a state",
                                         .route = job ? job->route : 0,
                                         .process = rdc->process,
                                         .status = ans->status,
                                         .sent = rdc->sent };
  judge_route (&by_route);
  judge_no_answer (&by_route, ans->broken);
  if (job)
    judge_reading (job, &read);
  else
    judge_unknown ("0123456789abcdef", &read);
  if (job && rdc->final)
    {
      asking--;
      job->final_known = job->final_known || ans->status == 200;
      if (!job->final_known && ++job->final_tries < TRIES_MAX)
        read_state (job, true);
    }
  json_decref (doc);
  free (rdc);
}

static void
read_state (struct job *job, bool final)
{
  struct read_call *rdc = calloc (1, sizeof *rdc);
  *rdc = (struct read_call){ .job = job,
                             .process = process_pick (&rng),
                             .sent = soak_ms (),
                             .final = final };
  asking += final;
  const struct call call
      = { .port = processes[rdc->process].listen,
          .timeout_ms = READ_MS,
          .method = "GET",
          .path = job ? path_of (job) : "/q0/0123456789abcdef",
          .host = SOAK_HOST };
  net_call (&call, on_state, rdc);
}

static void
read_soon (void *arg)
{
  read_state (arg, false);
}

static void cancel (void *arg);

static void
on_cancelled (void *arg, const struct answer *ans)
{
  struct job *job = arg;
  if (ans->status / 100 == 2)
    job->cancelled = soak_ms ();
  else if (ans->status != 410 && ++job->cancel_tries < CANCEL_TRIES_MAX)
    net_after (200, cancel, job);
}

static void
cancel (void *arg)
{
  struct job *job = arg;
  const struct call call = { .port = processes[process_pick (&rng)].listen,
                             .timeout_ms = READ_MS,
                             .method = "DELETE",
                             .path = path_of (job),
                             .host = SOAK_HOST };
  if (!job->cancel_sent)
    job->cancel_sent = soak_ms ();
  net_call (&call, on_cancelled, job);
}

static void
plan_after_accepted (struct job *job)
{
  double draw = soak_draw (&rng);
  int64_t span = job->perpetual ? 15000 : 2500;
  for (int n = 0; n < 3; n++)
    net_after (soak_between (&rng, 0, 9000), read_soon, job);
  if (job->standing || job->steps[0].work_ms >= LONG_MIN_MS)
    return;
  if (draw < (job->perpetual ? 0.7 : 0.1))
    net_after (soak_between (&rng, 0, span), cancel, job);
  else if (draw > 0.97)
    net_after (soak_between (&rng, 500, 4000), submit_again, job);
}

/* Counts, which clients ask of each process directly  */

struct count_call
{
  int process, route;
  int64_t sent;
};

static void
on_count (void *arg, const struct answer *ans)
{
  struct count_call *cnt = arg;
  const struct route_answer by_route = { .what = "request for a count",
                                         .route = cnt->route,
                                         .process = cnt->process,
                                         .status = ans->status,
                                         .sent = cnt->sent };
  judge_route (&by_route);
  judge_no_answer (&by_route, ans->broken);
  free (cnt);
}

/* Mostly a route that the last version has added or removed.  */
static int
draw_route (void)
{
  double draw = soak_draw (&ask_rng);
  int route = (int)soak_between (&ask_rng, 1, ROUTES_EXTRA);
  if (draw < 0.1)
    return ROUTE_NEVER;
  if (draw < 0.2)
    return 0;
  for (int n = 0; draw < 0.6 && n < ROUTES_EXTRA; n++)
    if (!(changed_routes & 1U << route))
      route = route % ROUTES_EXTRA + 1;
  return route;
}

static void
ask_count (void *arg)
{
  struct process *prc = arg;
  char path[40];
  if (stopped)
    return;
  struct count_call *cnt = malloc (sizeof *cnt);
  *cnt = (struct count_call){ .process = prc->index,
                              .route = draw_route (),
                              .sent = soak_ms () };
  if (cnt->route == 0)
    snprintf (path, sizeof path, "/q0/");
  else
    snprintf (path, sizeof path, EXTRA_PREFIX "%d/", cnt->route);
  const struct call call = { .port = prc->listen,
                             .timeout_ms = TRY_MS,
                             .method = "GET",
                             .path = path,
                             .host = SOAK_HOST };
  net_call (&call, on_count, cnt);
  int64_t ms = soak_between (&ask_rng, ASK_MIN_MS, ASK_MAX_MS);
  if (process_count > ASK_PROCESSES)
    ms = ms * process_count / ASK_PROCESSES;
  net_after (ms, ask_count, prc);
}

/* Traffic  */

static void
make_steps (struct job *job)
{
  job->step_count
      = job->perpetual ? 1 : (int)soak_between (&rng, 1, STEPS_MAX);
  for (int n = 0; n < job->step_count; n++)
    job->steps[n] = (struct step){
      .count = (int)soak_between (&rng, 1, job->step_count == 1 ? 4 : 2),
      .cpu = (int)soak_between (&rng, 1, 4) * 100,
      .mem = 64,
      .work_ms = job->perpetual ? -1 : soak_between (&rng, 50, 1200),
    };
}

static struct job *
make_bare_job (void)
{
  static uint64_t last;
  struct job *job = calloc (1, sizeof *job);
  uint64_t number = ++last;
  snprintf (job->id, sizeof job->id, "%08x%08x",
            (unsigned)(traffic.seed & 0xffffffff), (unsigned)number);
  snprintf (job->spec, sizeof job->spec, "spec %08x",
            (unsigned)(number * 2654435761U));
  return job;
}

static struct job *
make_job (void)
{
  struct job *job = make_bare_job ();
  job->pool = (int)soak_between (&rng, 0, traffic.pools - 1);
  job->patient = soak_draw (&rng) < 0.5;
  job->perpetual = soak_draw (&rng) < 0.06;
  if (!job->perpetual && soak_draw (&rng) < 0.03)
    job->route = (int)soak_between (&ask_rng, 1, ROUTES_EXTRA);
  if (job->route)
    job->pool = 0;
  make_steps (job);
  if (traffic.long_jobs && !job->perpetual
      && soak_draw (&burst_rng) < LASTING_SHARE)
    job->steps[0].work_ms
        = soak_between (&burst_rng, LASTING_MIN_MS, LASTING_MAX_MS);
  return job;
}

static void
add_job (struct job *job)
{
  HASH_ADD_KEYPTR (hh, jobs, job->id, strlen (job->id), job);
}

void
clients_burst (int pool, int64_t cpu)
{
  while (cpu > 0)
    {
      struct job *job = make_bare_job ();
      job->pool = pool;
      job->patient = true;
      job->step_count = 1;
      job->steps[0] = (struct step){
        .count = (int)soak_between (&burst_rng, 1, 5),
        .cpu = (int)soak_between (&burst_rng, 2, 6) * 500,
        .mem = 256,
        .work_ms = soak_between (&burst_rng, LONG_MIN_MS, LONG_MAX_MS),
      };
      cpu -= (int64_t)job->steps[0].count * job->steps[0].cpu;
      add_job (job);
      submit (job, false);
    }
}

void
clients_standing (int pool, int count, int bound, bool fills)
{
  struct job *job = make_bare_job ();
  job->pool = pool;
  job->patient = job->perpetual = job->standing = true;
  job->step_count = 1;
  job->steps[0]
      = (struct step){ .count = count < ITEMS_MAX ? count : ITEMS_MAX,
                       .cpu = 500,
                       .mem = 256,
                       .work_ms = -1,
                       .bound = bound,
                       .may_miss = 1,
                       .fills = fills };
  soak_log ("standing job %s: %d items in %s, %d on a worker%s", job->id,
            job->steps[0].count, pool_name (pool), bound,
            fills ? ", fills" : "");
  add_job (job);
  submit (job, false);
}

static void
on_turn (void *arg)
{
  if (stopped)
    return;
  struct job *job = make_job ();
  add_job (job);
  submit (job, false);
  if (soak_draw (&rng) < 0.02)
    read_state (NULL, false);
  net_after (soak_between (&rng, 0, 2000 / traffic.rate), on_turn, NULL);
}

void
clients_start (const struct traffic *plan)
{
  traffic = *plan;
  rng = rng_make (plan->seed, "clients");
  ask_rng = rng_make (plan->seed, "counts");
  burst_rng = rng_make (plan->seed, "bursts");
  for (int n = 0; n < process_count; n++)
    ask_count (&processes[n]);
  on_turn (NULL);
}

void
clients_stop (void)
{
  stopped = true;
}

void
clients_ask_all (void)
{
  for (struct job *job = jobs; job; job = job->hh.next)
    if (job->accepted && !job->cancel_sent && !job->route)
      read_state (job, true);
}

bool
clients_are_asking (void)
{
  return asking > 0;
}
