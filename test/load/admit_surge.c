/* Simulates admission during surges, with a simulated clock.  Five kinds share
   the slots of one entry process and take turns: in each turn one kind demands
   SURGE_FACTOR times its mean.  Each run is repeated without surges but with
   the same requests of the other kinds, and the two are compared.  */

#include <argtable2.h>
#include <jansson.h>
#include <math.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <talloc.h>

#include "admit/admit.h"

#define KINDS 5
#define ROUNDS 5
#define TURNS (ROUNDS * KINDS)
#define SLOTS_MAX 128
#define SURGE_US 10000000LL
#define TURN_US 20000000LL /* the surge and the time after it */
#define WAITS_MAX 500000
#define SURGE_FACTOR 5
/* Demand counts as exceeding the slots for this time after a request was
   queued or refused.  */
#define OVERLOAD_WINDOW_US 100000
#define MONITOR_KIND 4

static struct
{
  const char *name;
  int64_t service_us; /* mean */
  struct admit_kind_limits lim;
} kinds[KINDS] = {
  { "restock_batch", 500000, { 0, 1, 0, 4000, 30000000, ADMIT_BACKGROUND } },
  { "stock_query", 20000, { 0, 1, 0, 4000, 1000000, ADMIT_URGENT } },
  { "route_plan", 100000, { 0, 1, 0, 4000, 2000000, ADMIT_NORMAL } },
  { "lot_notice", 250000, { 0, 1, 0, 4000, 2000000, ADMIT_NORMAL } },
  { "monitor", 4000000, { 0, 1, 0, 4000, 10000000, ADMIT_NORMAL } },
};

static const struct pattern
{
  const char *name;
  double base_demand; /* demand outside a surge / mean demand */
  double mean_load;   /* sum of the mean demands / all slots */
} patterns[] = {
  { "others_at_a_twentieth", 0.05, 1.2 },
  { "others_at_their_mean", 1.0, 0.8 },
};

#define POLICIES 3
static const struct admit_policy *const policies[POLICIES]
    = { &admit_fair, &admit_static_split, &admit_no_limits };

static int opt_seed = 1;
static int opt_slots = 50; /* of the pool in one entry process */

struct request
{
  struct admit_item item;
  int turn; /* of its arrival */
  int64_t service_us, start_us, end_us;
};

/* Sums over the turns in which one kind surges.  Useful slot time is that of
   work that ended by its deadline; overload is while demand exceeds the slots,
   with all slots as its capacity.  */
struct row
{
  double service[KINDS];  /* useful slot time, by turn of arrival */
  double in_surge[KINDS]; /* useful slot time spent during the surge */
  double overload_capacity, overload_used; /* slot time during overload */
  double late; /* slot time of work that ended after its deadline */
  double queued, expired;
  int64_t waits[WAITS_MAX]; /* of urgent requests */
  int wait_count;
};

struct run
{
  struct admit adm;
  struct request *running[SLOTS_MAX];
  int running_count;
  int64_t now_us, overload_until_us;
  int turn;
  bool surges;
  const struct pattern *pattern;
  unsigned short rand[KINDS][3];
  int64_t arrival_us[KINDS];
  struct row rows[KINDS];
};

static double
exponential (unsigned short state[3], double mean)
{
  return -log (1 - erand48 (state)) * mean;
}

static void
draw_arrival (struct run *r, int kind)
{
  bool surge = r->surges && r->turn % KINDS == kind
               && r->arrival_us[kind] < r->turn * TURN_US + SURGE_US;
  double factor = surge ? SURGE_FACTOR : r->pattern->base_demand;
  double held = r->pattern->mean_load / KINDS * opt_slots * factor;
  double step = exponential (r->rand[kind], kinds[kind].service_us / held);
  r->arrival_us[kind] += (int64_t)ceil (step);
}

/* Starts a turn.  Each turn has its own seeds, so that a kind that does not
   surge sends the same requests with and without the surge of another.  */
static void
begin_turn (struct run *r, int turn)
{
  r->turn = turn;
  for (int k = 0; k < KINDS; k++)
    {
      r->rand[k][0] = opt_seed;
      r->rand[k][1] = opt_seed >> 16 ^ (unsigned)turn;
      r->rand[k][2] = k;
      r->arrival_us[k] = turn * TURN_US;
      draw_arrival (r, k);
    }
}

static void
drop_refused (struct run *r, struct request *q)
{
  r->overload_until_us = r->now_us + OVERLOAD_WINDOW_US;
  talloc_free (q);
}

static void
start_request (struct run *r, struct request *q)
{
  if (r->running_count == opt_slots)
    { /* The targets refuse work beyond their slots.  */
      admit_end (&r->adm, &q->item, r->now_us, 0);
      drop_refused (r, q);
      return;
    }
  q->start_us = r->now_us;
  q->end_us = r->now_us + q->service_us;
  r->running[r->running_count++] = q;
  struct row *row = &r->rows[q->turn % KINDS];
  if (kinds[q->item.kind].lim.cls == ADMIT_URGENT
      && row->wait_count < WAITS_MAX)
    row->waits[row->wait_count++] = r->now_us - q->item.arrival_us;
}

static void
offer_request (struct run *r, int kind)
{
  struct request *q = talloc_zero (r, struct request);
  if (!q)
    abort ();
  int64_t mean_us = kinds[kind].service_us;
  q->service_us = ceil (exponential (r->rand[kind], mean_us));
  q->turn = r->turn;
  q->item.kind = kind;
  q->item.deadline_us
      = r->now_us + kinds[kind].lim.queue_deadline_us + 10 * mean_us;
  draw_arrival (r, kind);

  struct admit_refusal ref;
  int result = admit_offer (&r->adm, &q->item, r->now_us, &ref);
  if (result == ADMIT_QUEUED)
    {
      r->rows[q->turn % KINDS].queued++;
      r->overload_until_us = r->now_us + OVERLOAD_WINDOW_US;
    }
  else if (result == ADMIT_START)
    start_request (r, q);
  else
    drop_refused (r, q);
}

static void
end_request (struct run *r, int index)
{
  struct request *q = r->running[index];
  uint32_t kind = q->item.kind;
  r->running[index] = r->running[--r->running_count];
  admit_end (&r->adm, &q->item, r->now_us, q->service_us);
  struct row *row = &r->rows[q->turn % KINDS];
  if (r->now_us > q->item.deadline_us)
    row->late += q->service_us;
  else
    {
      row->service[kind] += q->service_us;
      for (int t = q->start_us / TURN_US;
           t <= r->now_us / TURN_US && t < TURNS; t++)
        r->rows[t % KINDS].in_surge[kind]
            += fmax (0, fmin (r->now_us, t * TURN_US + SURGE_US)
                            - fmax (q->start_us, t * TURN_US));
    }
  talloc_free (q);

  struct admit_item *item;
  while ((item = admit_next (&r->adm, 0, r->now_us)))
    start_request (r, (struct request *)item);
}

static void
drop_expired (struct run *r)
{
  struct admit_refusal ref;
  struct admit_item *item;
  while ((item = admit_expire (&r->adm, r->now_us, &ref)))
    {
      r->rows[((struct request *)item)->turn % KINDS].expired++;
      drop_refused (r, (struct request *)item);
    }
}

/* Processes the earliest event.  Returns false when no event is left.  */
static bool
step (struct run *r)
{
  int ending = 0;
  for (int n = 1; n < r->running_count; n++)
    if (r->running[n]->end_us < r->running[ending]->end_us)
      ending = n;
  int kind = 0;
  for (int k = 1; k < KINDS; k++)
    if (r->arrival_us[k] < r->arrival_us[kind])
      kind = k;
  bool in_turns = r->turn < TURNS;
  int64_t turn_us = in_turns ? (r->turn + 1) * TURN_US : INT64_MAX;
  int64_t arrival_us = in_turns ? r->arrival_us[kind] : INT64_MAX;
  int64_t expiry_us = admit_next_expiry_us (&r->adm);
  int64_t first
      = r->running_count > 0 ? r->running[ending]->end_us : INT64_MAX;
  first = arrival_us < first ? arrival_us : first;
  first = expiry_us < first ? expiry_us : first;
  first = turn_us < first ? turn_us : first;
  if (first == INT64_MAX)
    return false;
  if (r->now_us < r->overload_until_us && in_turns)
    {
      r->rows[r->turn % KINDS].overload_capacity
          += opt_slots * (first - r->now_us);
      r->rows[r->turn % KINDS].overload_used
          += r->running_count * (first - r->now_us);
    }
  r->now_us = first;
  if (first == turn_us)
    begin_turn (r, r->turn + 1);
  else if (first == expiry_us)
    drop_expired (r);
  else if (first == arrival_us)
    offer_request (r, kind);
  else
    end_request (r, ending);
  return true;
}

static struct run *
run_policy (const struct admit_policy *policy, int pattern, bool surges)
{
  struct run *r = talloc_zero (NULL, struct run);
  if (!r || admit_init (&r->adm, r, policy) < 0)
    abort ();
  r->surges = surges;
  r->pattern = &patterns[pattern];
  for (int k = 0; k < KINDS; k++)
    if (admit_set_kind (&r->adm, k, &kinds[k].lim) < 0)
      abort ();
  if (admit_set_pool (&r->adm, 0, opt_slots) < 0)
    abort ();
  begin_turn (r, 0);
  while (step (r))
    ;
  return r;
}

static int
compare_waits (const void *a, const void *b)
{
  int64_t x = *(const int64_t *)a;
  int64_t y = *(const int64_t *)b;
  return (x > y) - (x < y);
}

static double
quantile_ms (const struct row *row, double q)
{
  return row->waits[(int)(q * fmax (0, row->wait_count - 1))] / 1000.0;
}

static double
ratio (double part, double whole)
{
  return whole > 0 ? part / whole : 1;
}

static json_t *
summarize_row (struct row *row, const struct row *base, int surging)
{
  double served = 0, served_without = 0, others_us = 0;
  double least = 1;
  for (int k = 0; k < KINDS; k++)
    {
      if (k == surging)
        continue;
      served += row->service[k];
      served_without += base->service[k];
      others_us += row->in_surge[k];
      least = fmin (least, ratio (row->service[k], base->service[k]));
    }
  qsort (row->waits, row->wait_count, sizeof *row->waits, compare_waits);
  double spare = (double)opt_slots * SURGE_US * ROUNDS - others_us;
  if (kinds[surging].lim.concurrency_limit > 0)
    spare = fmin (spare, 1.0 * kinds[surging].lim.concurrency_limit * SURGE_US
                             * ROUNDS);
  return json_pack (
      "{s:s,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:f}", "surging", kinds[surging].name,
      "others_keep", ratio (served, served_without), "least_kept", least,
      "useful_slots",
      ratio (row->overload_used - row->late, row->overload_capacity),
      "spare_taken", ratio (row->in_surge[surging], spare),
      "expired_of_queued", row->expired / fmax (row->queued, 1),
      "urgent_wait_p50_ms", quantile_ms (row, 0.5), "urgent_wait_p99_ms",
      quantile_ms (row, 0.99), "urgent_wait_max_ms", quantile_ms (row, 1));
}

static void
print_rows (const char *pattern, const char *policy, json_t *rows)
{
  printf ("%s, %s\n", pattern, policy);
  json_t *row = json_array_get (rows, 0);
  for (void *i = json_object_iter (row); i; i = json_object_iter_next (row, i))
    printf (" %18s", json_object_iter_key (i));
  for (size_t n = 0; (row = json_array_get (rows, n)); n++)
    {
      printf ("\n %18s", json_string_value (json_object_get (row, "surging")));
      void *i = json_object_iter (row);
      while ((i = json_object_iter_next (row, i)))
        printf (" %18.4f", json_real_value (json_object_iter_value (i)));
    }
  putchar ('\n');
}

static json_t *
compare (int pattern, const struct admit_policy *policy)
{
  struct run *with = run_policy (policy, pattern, true);
  struct run *without = run_policy (policy, pattern, false);
  json_t *rows = json_array ();
  for (int k = 0; k < KINDS; k++)
    json_array_append_new (
        rows, summarize_row (&with->rows[k], &without->rows[k], k));
  talloc_free (with);
  talloc_free (without);
  return rows;
}

static void
report (bool as_json)
{
  json_t *out = json_pack ("{s:i,s:i}", "seed", opt_seed, "slots", opt_slots);
  for (size_t p = 0; p < sizeof patterns / sizeof *patterns; p++)
    {
      json_t *by_policy = json_object ();
      for (int d = 0; d < POLICIES; d++)
        {
          json_t *rows = compare (p, policies[d]);
          if (!as_json)
            print_rows (patterns[p].name, policies[d]->name, rows);
          json_object_set_new (by_policy, policies[d]->name, rows);
        }
      json_object_set_new (out, patterns[p].name, by_policy);
    }
  if (as_json)
    json_dumpf (out, stdout, JSON_INDENT (2) | JSON_REAL_PRECISION (6));
  json_decref (out);
}

int
main (int argc, char **argv)
{
  struct arg_lit *json = arg_lit0 (NULL, "json", "print JSON");
  struct arg_int *seed = arg_int0 (NULL, "seed", "N", "random seed (1)");
  struct arg_int *slots
      = arg_int0 (NULL, "slots", "N", "slots, 1 to 128 (50)");
  struct arg_int *limit
      = arg_int0 (NULL, "monitor-limit", "N",
                  "concurrency limit of kind monitor; 0: none (25)");
  struct arg_end *bad = arg_end (8);
  void *table[] = { json, seed, slots, limit, bad };
  int errors = arg_parse (argc, argv, table);
  opt_seed = seed->count ? seed->ival[0] : opt_seed;
  opt_slots = slots->count ? slots->ival[0] : opt_slots;
  bool valid = errors == 0 && opt_slots >= 1 && opt_slots <= SLOTS_MAX;
  kinds[MONITOR_KIND].lim.concurrency_limit
      = limit->count ? limit->ival[0] : 25;
  if (valid)
    report (json->count > 0);
  else
    {
      arg_print_errors (stderr, bad, "admit_surge");
      arg_print_glossary (stderr, table, "  %-22s %s\n");
    }
  arg_freetable (table, sizeof table / sizeof *table);
  return valid ? 0 : 2;
}
