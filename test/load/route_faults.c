#include <argtable2.h>
#include <jansson.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base/clock.h"
#include "base/err.h"
#include "route/retry.h"
#include "route/route.h"

/* Simulates failures of some targets of one pool, with a manual clock and the
   real routing and retry decisions of one process.  Requests arrive at half of
   the pool's capacity; the fault lasts from FAULT_US to REPAIR_US.  */

#define MS INT64_C (1000)
#define SLOTS 8
#define TARGETS_MAX 1000
#define SERVICE_MIN_US (20 * MS)
#define SERVICE_MAX_US (80 * MS)
#define SERVICE_MEAN_US ((double)(SERVICE_MIN_US + SERVICE_MAX_US) / 2)
#define LOAD_FRACTION 0.5
#define ERROR_LATENCY_US MS
#define PARTIAL_FAILURE_PCT 40
#define PROBE_LATENCY_US (50 * MS)
#define ATTEMPT_TIMEOUT_US (1000 * MS)
#define DEADLINE_US (3000 * MS)
#define WAITING_MAX 1000
#define TICK_US (100 * MS)
#define FAULT_US (5000 * MS)
/* By this time all failing targets are detected.  */
#define DETECTED_US (15000 * MS)
#define REPAIR_US (25000 * MS)
#define END_US (35000 * MS)
/* 0: before the fault, 1: during it, 2: after it.  */
#define PHASES 3
#define PHASE(at_us) ((at_us) < FAULT_US ? 0 : (at_us) < REPAIR_US ? 1 : 2)
#define RATIO(a, b) ((double)(a) / (double)((b) ? (b) : 1))
/* A failing target is avoided once it has got no attempt for this time.  */
#define AVOIDED_US (900 * MS)

enum fault
{
  FAULT_ERROR,     /* attempts and probes fail at once */
  FAULT_HANG,      /* neither attempts nor probes are answered */
  FAULT_HEALTH_OK, /* attempts fail at once, but probes are answered */
  FAULT_PARTIAL,   /* PARTIAL_FAILURE_PCT of attempts fail, no probes */
};
static const char *const faults[]
    = { "error", "hang", "error_health_ok", "partial" };
static const char *const fraction_names[] = { "tenth", "third", "all" };
static const double fractions[] = { 0.1, 1.0 / 3, 1 };
static const struct route_policy *const policies[]
    = { &route_least_loaded, &route_random };

struct request
{
  int64_t arrival_us;
  uint32_t attempts;
  struct target_handle tried[ROUTE_AVOID_MAX];
};

struct run;
struct event
{
  int64_t at_us;
  void (*run) (struct run *run, const struct event *ev);
  struct request *req;
  struct target_handle target;
  enum attempt_result result;
  int64_t begun_us;
};

/* Targets whose index is below failing_count fail during the fault.  */
struct run
{
  struct route rt;
  struct retry_budget budget;
  struct clock_manual clk;
  unsigned short rng[3];
  enum fault fault;
  uint32_t targets, failing_count, waiting_count;
  struct event *heap;
  size_t events;
  struct request *waiting[WAITING_MAX];
  uint32_t in_use[TARGETS_MAX];
  int64_t last_attempt_us[TARGETS_MAX]; /* until the target is avoided */
  bool avoided[TARGETS_MAX];
  uint64_t attempts[2];      /* during the fault: first attempts, retries */
  uint64_t late_attempts[2]; /* after detection: on good, on failing targets */
  uint64_t offered[PHASES], answered[PHASES]; /* by phase of arrival */
};

static void
push (struct run *run, struct event ev)
{
  size_t n = run->events++;
  run->heap = talloc_realloc (run, run->heap, struct event, run->events);
  for (; n > 0 && run->heap[(n - 1) / 2].at_us > ev.at_us; n = (n - 1) / 2)
    run->heap[n] = run->heap[(n - 1) / 2];
  run->heap[n] = ev;
}

static struct event
pop (struct run *run)
{
  struct event top = run->heap[0];
  struct event last = run->heap[--run->events];
  size_t n = 0;
  for (size_t c = 1; c < run->events; c = 2 * n + 1)
    {
      if (c + 1 < run->events && run->heap[c + 1].at_us < run->heap[c].at_us)
        c++;
      if (last.at_us <= run->heap[c].at_us)
        break;
      run->heap[n] = run->heap[c];
      n = c;
    }
  run->heap[n] = last;
  return top;
}

static void end_attempt (struct run *run, const struct event *ev);

/* Starts an attempt on the target and schedules its result.  */
static void
start_attempt (struct run *run, struct request *req, struct target_handle tgt)
{
  int64_t now = run->clk.now_us;
  uint32_t n = tgt.index;
  bool in_fault = PHASE (now) == 1;
  bool target_fails = in_fault && n < run->failing_count;
  bool attempt_fails = target_fails
                       && (run->fault != FAULT_PARTIAL
                           || nrand48 (run->rng) % 100 < PARTIAL_FAILURE_PCT);
  bool refuses = ++run->in_use[n] > SLOTS;
  int64_t latency_us = ERROR_LATENCY_US;
  enum attempt_result result = ATTEMPT_SERVER_ERROR;
  run->attempts[req->attempts > 0] += in_fault;
  run->late_attempts[target_fails] += in_fault && now >= DETECTED_US;
  run->avoided[n]
      |= target_fails && now - run->last_attempt_us[n] >= AVOIDED_US;
  if (target_fails && !run->avoided[n])
    run->last_attempt_us[n] = now;
  if (req->attempts == 0)
    retry_budget_first_attempt (&run->budget);
  req->tried[req->attempts++] = tgt;
  route_attempt_begin (&run->rt, tgt, now);
  if (attempt_fails && run->fault == FAULT_HANG)
    {
      latency_us = ATTEMPT_TIMEOUT_US;
      result = ATTEMPT_TIMEOUT;
    }
  else if (refuses)
    result = ATTEMPT_TARGET_REFUSED;
  else if (!attempt_fails)
    {
      latency_us = SERVICE_MIN_US
                   + nrand48 (run->rng) % (SERVICE_MAX_US - SERVICE_MIN_US);
      result = ATTEMPT_ANSWERED;
    }
  push (run, (struct event){ now + latency_us, end_attempt, req, tgt, result,
                             now });
}

/* Tries to start an attempt.  Returns false when the request has to wait for a
   slot; with QUEUE it is then added to the queue.  */
static bool
try_request (struct run *run, struct request *req, bool queue)
{
  struct route_choice choice;
  struct route_query query = { .data_centre = "a" };
  if (run->clk.now_us >= req->arrival_us + DEADLINE_US)
    return true;
  query.avoid_count = req->attempts;
  memcpy (query.avoid, req->tried, sizeof query.avoid);
  int err = route_pick (&run->rt, &query, run->clk.now_us, &choice);
  if (err == 0)
    start_attempt (run, req, choice.target);
  if (err == ERR_FULL && queue && run->waiting_count < WAITING_MAX)
    run->waiting[run->waiting_count++] = req;
  return err != ERR_FULL;
}

static void
serve_waiting (struct run *run)
{
  uint32_t n = 0;
  while (n < run->waiting_count && try_request (run, run->waiting[n], false))
    n++;
  run->waiting_count -= n;
  memmove (run->waiting, run->waiting + n,
           run->waiting_count * sizeof (struct request *));
}

static void
end_attempt (struct run *run, const struct event *ev)
{
  int64_t now = ev->at_us;
  uint32_t in_use = --run->in_use[ev->target.index];
  struct request *req = ev->req;
  route_attempt_end (&run->rt, ev->target, ev->result, now - ev->begun_us,
                     (int32_t)in_use, now);
  struct retry_query query = {
    true,          ev->result, req->attempts, 0, req->arrival_us + DEADLINE_US,
    SERVICE_MAX_US
  };
  run->answered[PHASE (req->arrival_us)] += ev->result == ATTEMPT_ANSWERED;
  if (retry_allow (&run->budget, &query, now) == RETRY_YES)
    try_request (run, req, true);
  serve_waiting (run);
}

static void
end_probe (struct run *run, const struct event *ev)
{
  route_probe_done (&run->rt, ev->target, ev->result == ATTEMPT_ANSWERED,
                    ev->at_us);
}

static void
tick (struct run *run, const struct event *due)
{
  int64_t now = due->at_us;
  struct event ev = { .run = end_probe };
  while (route_next_probe (&run->rt, now, &ev.target))
    {
      bool attempt_fails = PHASE (now) == 1
                           && ev.target.index < run->failing_count
                           && run->fault <= FAULT_HANG;
      ev.result = attempt_fails ? ATTEMPT_TIMEOUT : ATTEMPT_ANSWERED;
      ev.at_us = now + PROBE_LATENCY_US;
      push (run, ev);
    }
  serve_waiting (run);
  push (run, (struct event){ .run = tick, .at_us = now + TICK_US });
}

static void
arrive (struct run *run, const struct event *ev)
{
  int64_t now = ev->at_us;
  double gap = SERVICE_MEAN_US / (run->targets * SLOTS * LOAD_FRACTION);
  int64_t next = now + 1 - (int64_t)(log (1 - erand48 (run->rng)) * gap);
  struct request *req = talloc_zero (run, struct request);
  req->arrival_us = now;
  run->offered[PHASE (now)]++;
  try_request (run, req, true);
  if (next < END_US)
    push (run, (struct event){ .run = arrive, .at_us = next });
}

static int
set_targets (struct run *run)
{
  struct target_info *infos
      = talloc_zero_array (run, struct target_info, run->targets);
  for (uint32_t n = 0; n < run->targets; n++)
    {
      infos[n] = (struct target_info){ .data_centre = "a", .slots = SLOTS };
      snprintf (infos[n].host, ROUTE_NAME_SIZE, "%u", n);
      snprintf (infos[n].address, ROUTE_NAME_SIZE, "127.0.0.1:%u", 1000 + n);
      snprintf (infos[n].rack, ROUTE_NAME_SIZE, "r%u", n / 4);
      run->last_attempt_us[n] = FAULT_US;
    }
  return route_set_targets (&run->rt, infos, run->targets, 0);
}

static json_t *
run_case (size_t policy, enum fault fault, size_t fraction, int targets,
          int seed)
{
  struct run *run = talloc_zero (NULL, struct run);
  struct route_settings set = route_settings_default;
  double stop_s = 0;
  set.seed = (uint64_t)seed;
  run->rng[0] = (unsigned short)seed;
  run->fault = fault;
  run->targets = (uint32_t)targets;
  run->failing_count = (uint32_t)(targets * fractions[fraction] + 0.5);
  clock_manual_init (&run->clk, 0);
  retry_budget_init (&run->budget, &retry_settings_default);
  if (route_init (&run->rt, run, policies[policy], &set) < 0
      || set_targets (run) < 0)
    exit (1);
  push (run, (struct event){ .run = tick });
  push (run, (struct event){ .run = arrive });
  while (run->heap[0].at_us < END_US + DEADLINE_US)
    {
      struct event ev = pop (run);
      run->clk.now_us = ev.at_us;
      ev.run (run, &ev);
    }
  for (uint32_t n = 0; n < run->failing_count; n++)
    stop_s = fmax (stop_s, (double)(run->last_attempt_us[n] - FAULT_US) / 1e6);
  json_t *row = json_pack (
      "{s:s,s:s,s:s,s:f,s:f,s:f,s:f,s:f}", "policy", policies[policy]->name,
      "fault", faults[fault], "failing", fraction_names[fraction],
      "amplification",
      RATIO (run->attempts[0] + run->attempts[1], run->attempts[0]),
      "answered", RATIO (run->answered[1], run->offered[1]), "answered_after",
      RATIO (run->answered[2], run->offered[2]), "late_on_bad",
      RATIO (run->late_attempts[1],
             run->late_attempts[0] + run->late_attempts[1]),
      "stop_s", stop_s);
  talloc_free (run);
  return row;
}

static void
print_rows (const json_t *rows)
{
  const char *key;
  json_t *value;
  json_object_foreach (json_array_get (rows, 0), key, value)
      printf ("%-16s", key);
  puts ("");
  for (size_t n = 0; n < json_array_size (rows); n++, puts (""))
    {
      json_object_foreach (json_array_get (rows, n), key, value)
              json_is_string (value)
          ? printf ("%-16s", json_string_value (value))
          : printf ("%-16.5f", json_real_value (value));
    }
}

int
main (int argc, char **argv)
{
  struct arg_lit *json = arg_lit0 (NULL, "json", "print JSON");
  struct arg_int *seed = arg_int0 (NULL, "seed", "N", "default 1");
  struct arg_int *size = arg_int0 (NULL, "targets", "1..1000", "");
  struct arg_end *end = arg_end (5);
  void *table[] = { json, seed, size, end };
  seed->ival[0] = 1;
  size->ival[0] = 30;
  if (arg_parse (argc, argv, table) > 0 || size->ival[0] < 1
      || size->ival[0] > TARGETS_MAX)
    {
      arg_print_errors (stderr, end, "route_faults");
      fputs ("usage: route_faults", stderr);
      arg_print_syntaxv (stderr, table, "\n");
      return 2;
    }
  json_t *rows = json_array ();
  for (size_t n = 0; n < 24; n++)
    json_array_append_new (rows, run_case (n / 12, n / 3 % 4, n % 3,
                                           size->ival[0], seed->ival[0]));
  if (json->count > 0)
    json_dumpf (rows, stdout, JSON_INDENT (2));
  else
    print_rows (rows);
  json_decref (rows);
  arg_freetable (table, sizeof table / sizeof *table);
  return 0;
}
