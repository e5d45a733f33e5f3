/* Drives the admission module with a manual clock through surges: five kinds
   share the slots of one entry process, and each in its turn demands five
   times its mean.  Every run is repeated without the surges but with the same
   requests of the other kinds; the measures compare the two.  */

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
#define TURN_US 20000000LL /* a surge and a pause */
#define WAITS_MAX 500000
#define SURGE_FACTOR 5
/* Work that was queued or refused this recently shows more demand than
   slots.  */
#define DEMAND_MEMORY_US 100000
#define MONITOR 4
static struct
{
  const char *name;
  int64_t service_us; /* mean */
  struct admit_kind_limits lim;
} specs[KINDS] = {
  { "restock_batch", 500000, { 0, 1, 0, 4000, 30000000, ADMIT_BACKGROUND } },
  { "stock_query", 20000, { 0, 1, 0, 4000, 1000000, ADMIT_URGENT } },
  { "route_plan", 100000, { 0, 1, 0, 4000, 2000000, ADMIT_NORMAL } },
  { "lot_notice", 250000, { 0, 1, 0, 4000, 2000000, ADMIT_NORMAL } },
  { "monitor", 4000000, { 0, 1, 0, 4000, 10000000, ADMIT_NORMAL } },
};

static const struct pattern
{
  const char *name;
  double between;   /* demand without a surge, of the mean */
  double mean_load; /* sum of the kinds' means, of all slots */
} patterns[] = {
  { "others_at_a_twentieth", 0.05, 1.2 },
  { "others_at_their_mean", 1.0, 0.8 },
};

#define DRIVERS 3
static const struct admit_driver *const drivers[DRIVERS]
    = { &admit_fair, &admit_static_split, &admit_no_limits };

static int opt_seed = 1;
static int opt_slots = 50; /* of one entry process */

struct request
{
  struct admit_item item;
  int turn;
  int64_t service_us, start_us, end_us;
};

/* Sums over the turns in which one kind surges.  */
struct row
{
  double service[KINDS];  /* useful slot time by turn of arrival */
  double in_surge[KINDS]; /* useful slot time spent within the surge */
  double loaded, busy;    /* slot time while demand exceeds the slots */
  double late;            /* slot time of work that ended past its deadline */
  double queued, expired;
  int64_t waits[WAITS_MAX]; /* of urgent work */
  int wait_count;
};

struct run
{
  struct admit adm;
  struct request *running[SLOTS_MAX];
  int busy;
  int64_t now_us, loaded_until_us;
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
  double factor = surge ? SURGE_FACTOR : r->pattern->between;
  double held = r->pattern->mean_load / KINDS * opt_slots * factor;
  double step = exponential (r->rand[kind], specs[kind].service_us / held);
  r->arrival_us[kind] += (int64_t)ceil (step);
}

/* Every turn has its own seeds, so that a kind that does not surge sends the
   same requests with and without the surge of another.  */
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
refused (struct run *r, struct request *q)
{
  r->loaded_until_us = r->now_us + DEMAND_MEMORY_US;
  talloc_free (q);
}

static void
begin (struct run *r, struct request *q)
{
  if (r->busy == opt_slots)
    { /* The guards of the targets refuse what their slots cannot hold.  */
      admit_end (&r->adm, &q->item, r->now_us, 0);
      refused (r, q);
      return;
    }
  q->start_us = r->now_us;
  q->end_us = r->now_us + q->service_us;
  r->running[r->busy++] = q;
  struct row *row = &r->rows[q->turn % KINDS];
  if (specs[q->item.kind].lim.cls == ADMIT_URGENT
      && row->wait_count < WAITS_MAX)
    row->waits[row->wait_count++] = r->now_us - q->item.arrival_us;
}

static void
arrive (struct run *r, int kind)
{
  struct request *q = talloc_zero (r, struct request);
  if (!q)
    abort ();
  int64_t mean_us = specs[kind].service_us;
  q->service_us = ceil (exponential (r->rand[kind], mean_us));
  q->turn = r->turn;
  q->item.kind = kind;
  q->item.deadline_us
      = r->now_us + specs[kind].lim.queue_deadline_us + 10 * mean_us;
  draw_arrival (r, kind);

  struct admit_refusal ref;
  int result = admit_offer (&r->adm, &q->item, r->now_us, &ref);
  if (result == ADMIT_QUEUED)
    {
      r->rows[q->turn % KINDS].queued++;
      r->loaded_until_us = r->now_us + DEMAND_MEMORY_US;
    }
  else if (result == ADMIT_START)
    begin (r, q);
  else
    refused (r, q);
}

static void
end (struct run *r, int index)
{
  struct request *q = r->running[index];
  uint32_t kind = q->item.kind;
  r->running[index] = r->running[--r->busy];
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
    begin (r, (struct request *)item);
}

static void
expire (struct run *r)
{
  struct admit_refusal ref;
  struct admit_item *item;
  while ((item = admit_expire (&r->adm, r->now_us, &ref)))
    {
      r->rows[((struct request *)item)->turn % KINDS].expired++;
      refused (r, (struct request *)item);
    }
}

/* Carries out the earliest event.  Returns false when nothing is left.  */
static bool
step (struct run *r)
{
  int ending = 0;
  for (int n = 1; n < r->busy; n++)
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
  int64_t first = r->busy > 0 ? r->running[ending]->end_us : INT64_MAX;
  first = arrival_us < first ? arrival_us : first;
  first = expiry_us < first ? expiry_us : first;
  first = turn_us < first ? turn_us : first;
  if (first == INT64_MAX)
    return false;
  if (r->now_us < r->loaded_until_us && in_turns)
    {
      r->rows[r->turn % KINDS].loaded += opt_slots * (first - r->now_us);
      r->rows[r->turn % KINDS].busy += r->busy * (first - r->now_us);
    }
  r->now_us = first;
  if (first == turn_us)
    begin_turn (r, r->turn + 1);
  else if (first == expiry_us)
    expire (r);
  else if (first == arrival_us)
    arrive (r, kind);
  else
    end (r, ending);
  return true;
}

static struct run *
run_driver (const struct admit_driver *drv, int pattern, bool surges)
{
  struct run *r = talloc_zero (NULL, struct run);
  if (!r || admit_init (&r->adm, r, drv) < 0)
    abort ();
  r->surges = surges;
  r->pattern = &patterns[pattern];
  for (int k = 0; k < KINDS; k++)
    if (admit_set_kind (&r->adm, k, &specs[k].lim) < 0)
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
measure (struct row *row, const struct row *base, int surging)
{
  double kept = 0, without = 0, others_us = 0;
  double least = 1;
  for (int k = 0; k < KINDS; k++)
    {
      if (k == surging)
        continue;
      kept += row->service[k];
      without += base->service[k];
      others_us += row->in_surge[k];
      least = fmin (least, ratio (row->service[k], base->service[k]));
    }
  qsort (row->waits, row->wait_count, sizeof *row->waits, compare_waits);
  double spare = (double)opt_slots * SURGE_US * ROUNDS - others_us;
  if (specs[surging].lim.concurrency_limit > 0)
    spare = fmin (spare, 1.0 * specs[surging].lim.concurrency_limit * SURGE_US
                             * ROUNDS);
  return json_pack (
      "{s:s,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:f}", "surging", specs[surging].name,
      "others_keep", ratio (kept, without), "least_kept", least,
      "useful_slots", ratio (row->busy - row->late, row->loaded),
      "spare_taken", ratio (row->in_surge[surging], spare),
      "expired_of_queued", row->expired / fmax (row->queued, 1),
      "urgent_wait_p50_ms", quantile_ms (row, 0.5), "urgent_wait_p99_ms",
      quantile_ms (row, 0.99), "urgent_wait_max_ms", quantile_ms (row, 1));
}

static void
print_rows (const char *pattern, const char *driver, json_t *rows)
{
  printf ("%s, %s\n", pattern, driver);
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
compare (int pattern, const struct admit_driver *drv)
{
  struct run *with = run_driver (drv, pattern, true);
  struct run *without = run_driver (drv, pattern, false);
  json_t *rows = json_array ();
  for (int k = 0; k < KINDS; k++)
    json_array_append_new (rows,
                           measure (&with->rows[k], &without->rows[k], k));
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
      json_t *by_driver = json_object ();
      for (int d = 0; d < DRIVERS; d++)
        {
          json_t *rows = compare (p, drivers[d]);
          if (!as_json)
            print_rows (patterns[p].name, drivers[d]->name, rows);
          json_object_set_new (by_driver, drivers[d]->name, rows);
        }
      json_object_set_new (out, patterns[p].name, by_driver);
    }
  if (as_json)
    json_dumpf (out, stdout, JSON_INDENT (2) | JSON_REAL_PRECISION (6));
  json_decref (out);
}

int
main (int argc, char **argv)
{
  struct arg_lit *json = arg_lit0 (NULL, "json", "print JSON");
  struct arg_int *seed = arg_int0 (NULL, "seed", "N", "seed (1)");
  struct arg_int *slots = arg_int0 (NULL, "slots", "N", "1 to 128 (50)");
  struct arg_int *limit = arg_int0 (NULL, "monitor-limit", "N",
                                    "concurrency limit; 0: none (25)");
  struct arg_end *bad = arg_end (8);
  void *table[] = { json, seed, slots, limit, bad };
  int errors = arg_parse (argc, argv, table);
  opt_seed = seed->count ? seed->ival[0] : opt_seed;
  opt_slots = slots->count ? slots->ival[0] : opt_slots;
  bool valid = errors == 0 && opt_slots >= 1 && opt_slots <= SLOTS_MAX;
  specs[MONITOR].lim.concurrency_limit = limit->count ? limit->ival[0] : 25;
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
