/* Rolls a maintenance wave over whole fleets with the real planners and a
   manual clock, and compares the time with the bound that budgets and the
   hosts' own times allow, and with two baselines.  docs/design/waves.md
   derives the bound.  */

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/option.h"
#include "test/unit/wave_world.h"

#define END_US 86400000000LL
#define FAILURE_MS 600000 /* a failed host is back after this */

/* Budgets of the example tables.  */
static const uint32_t comptoir[] = { 75, 70, 75, 75, 70, 0 };
static const uint32_t colheitas[] = { 80, 75, 75, 70, 70, 0 };

static const struct fleet
{
  const char *name;
  uint32_t centres;
  uint32_t pools;
  uint32_t hosts;
  uint32_t spare;          /* hosts of the last pool */
  const uint32_t *budgets; /* NULL: 75 % */
  int64_t log_ms;          /* one way */
} fleets[] = {
  { "comptoir", 3, 6, 58, 8, comptoir, 5 },
  { "colheitas", 3, 6, 58, 8, colheitas, 5 },
  { "two_years", 1, 127, 1091, 0, NULL, 50 },
};

static struct
{
  int64_t seed;
  int64_t failures_pct;
  int64_t json;
} opt;

static const struct option_def opts[] = {
  { "seed", OPTION_INT, 0, 1, 1 << 30, NULL, NULL, "1", "of all times" },
  { "failures-pct", OPTION_INT, sizeof (int64_t), 0, 1000, NULL, "%", "5",
    "hosts that fail in an hour" },
  { "json", OPTION_BOOL, 2 * sizeof (int64_t), 0, 0, NULL, NULL, "no",
    "output as JSON" },
  { NULL, 0, 0, 0, 0, NULL, NULL, NULL, NULL },
};

struct failure
{
  uint32_t host;
  int64_t from_ms; /* since the start */
};

struct baselines
{
  double fleet_s;    /* bound by the budgets over the fleet */
  double bound_s;    /* the same, with the budgets in each data centre */
  double single_s;   /* one host at a time */
  double tenth_s;    /* a tenth of each pool at a time */
  uint32_t breaches; /* of a budget, by the last one */
};

static void
build (struct world *wd, const struct fleet *fl)
{
  const struct world_settings set = {
    .centres = fl->centres,
    .pools = fl->pools,
    .hosts_per_rack = 4,
    .budget_pct = 75,
    .log_ms = fl->log_ms,
    .list_ms = 500,
    .seed = (uint64_t)opt.seed * 0x9e3779b97f4a7c15ULL,
  };
  uint32_t services = fl->spare ? fl->pools - 1 : fl->pools;
  world_init (wd, &set);
  for (uint32_t n = 0; n < fl->pools && fl->budgets; n++)
    wd->budget_pct[n] = fl->budgets[n];
  for (uint32_t n = 0; n < fl->hosts; n++)
    {
      bool spare = n >= fl->hosts - fl->spare;
      struct world_host *ht = world_add_host (
          wd, spare ? services : n % services, n / services % fl->centres);
      /* Requests of some seconds, and monitors that run for minutes in every
         fifth pool.  */
      ht->work_ms = ht->pool % 5 == 4
                        ? 60000 + (int64_t)world_random (wd, 240000)
                        : 2000 + (int64_t)world_random (wd, 28000);
      ht->reboot_ms = 120000 + (int64_t)world_random (wd, 120000);
    }
}

static int64_t
out_ms (const struct world_host *ht)
{
  return ht->work_ms + ht->reboot_ms;
}

static int
longest_first (const void *a, const void *b)
{
  int64_t x = *(const int64_t *)a;
  int64_t y = *(const int64_t *)b;
  return (x < y) - (x > y);
}

/* No schedule of the pool's hosts in CENTRE (FLEET_NONE: all) is shorter: the
   sum of all times spread over the places out of service, and, as K * places
   + 1 hosts put K + 1 into one place, the K + 1 shortest of those.  */
static double
pool_bound (const struct world *wd, uint32_t pool, uint32_t centre)
{
  int64_t *times = calloc (wd->host_count + 1, sizeof *times);
  uint32_t count = 0;
  int64_t bound = 0;
  for (uint32_t n = 0; n < wd->host_count; n++)
    if (wd->hosts[n].pool == pool
        && (centre == FLEET_NONE || wd->hosts[n].centre == centre))
      bound += times[count++] = out_ms (&wd->hosts[n]);
  uint32_t places = world_allowed (wd, pool, count);
  places = places > 0 ? places : 1;
  bound /= places;
  qsort (times, count, sizeof *times, longest_first);
  for (uint32_t k = 0; k * places < count; k++)
    {
      int64_t stack = 0;
      for (uint32_t n = 0; n <= k; n++)
        stack += times[k * places - n];
      bound = stack > bound ? stack : bound;
    }
  free (times);
  return (double)bound / 1000;
}

static bool
is_failed (const struct failure *fs, uint32_t count, uint32_t host,
           int64_t at_ms)
{
  for (uint32_t n = 0; n < count; n++)
    if (fs[n].host == host && at_ms >= fs[n].from_ms
        && at_ms < fs[n].from_ms + FAILURE_MS)
      return true;
  return false;
}

/* A tenth of the pool at a time, the next when all are back, whatever else is
   out of service.  Returns the time and counts the drains that broke the
   budget.  */
static int64_t
tenth_ms (const struct world *wd, uint32_t pool, const struct failure *fs,
          uint32_t count, uint32_t *breaches)
{
  uint32_t size = (wd->pool_hosts[pool] + 9) / 10;
  uint32_t in_batch = 0;
  int64_t now = 0;
  int64_t batch_ms = 0;
  for (uint32_t n = 0; n < wd->host_count; n++)
    {
      if (wd->hosts[n].pool != pool)
        continue;
      if (in_batch++ == size)
        {
          now += batch_ms;
          in_batch = 1;
          batch_ms = 0;
        }
      uint32_t out = in_batch;
      for (uint32_t m = 0; m < wd->host_count; m++)
        out += wd->hosts[m].pool == pool && m != n
               && is_failed (fs, count, m, now);
      *breaches += out > world_allowed (wd, pool, wd->pool_hosts[pool]);
      if (out_ms (&wd->hosts[n]) > batch_ms)
        batch_ms = out_ms (&wd->hosts[n]);
    }
  return now + batch_ms;
}

static void
run_baselines (const struct world *wd, const struct failure *fs,
               uint32_t count, struct baselines *res)
{
  for (uint32_t p = 0; p < wd->set.pools; p++)
    {
      double bound = pool_bound (wd, p, FLEET_NONE);
      double tenth
          = (double)tenth_ms (wd, p, fs, count, &res->breaches) / 1000;
      res->fleet_s = bound > res->fleet_s ? bound : res->fleet_s;
      for (uint32_t c = 0; c < wd->set.centres; c++)
        {
          double cell = pool_bound (wd, p, c);
          bound = cell > bound ? cell : bound;
        }
      res->bound_s = bound > res->bound_s ? bound : res->bound_s;
      res->tenth_s = tenth > res->tenth_s ? tenth : res->tenth_s;
    }
  for (uint32_t n = 0; n < wd->host_count; n++)
    res->single_s += (double)out_ms (&wd->hosts[n]) / 1000;
}

static void
follow_failures (struct world *wd, const struct failure *fs, uint32_t count)
{
  int64_t at_ms = wd->now_us / 1000;
  for (uint32_t n = 0; n < count; n++)
    {
      struct world_host *ht = &wd->hosts[fs[n].host];
      bool fails = is_failed (fs, count, fs[n].host, at_ms);
      if (at_ms >= fs[n].from_ms && fails != ht->failed)
        world_fail_host (wd, ht, fails);
    }
}

static json_t *
report (const struct world *wd, const struct fleet *fl,
        const struct baselines *base, uint32_t failures, double took_s)
{
  const struct wave *wv = wave_find (&wd->judge, "w");
  double cpu_s = (double)wd->plans_us / 1e6 / wd->planner_count;
  return json_pack (
      "{s:s,s:I,s:i,s:i,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:i,s:i,s:i,s:f,s:f}",
      "fleet", fl->name, "seed", (json_int_t)opt.seed, "hosts", fl->hosts,
      "failures", failures, "fleet_bound_s", base->fleet_s, "bound_s",
      base->bound_s, "took_s", took_s, "ratio", took_s / base->bound_s,
      "ratio_to_fleet_bound", took_s / base->fleet_s, "one_at_a_time_s",
      base->single_s, "fixed_tenth_s", base->tenth_s, "breaches",
      wd->breach.budget + wd->breach.centre + wd->breach.reboots
          + wd->breach.busy,
      "fixed_tenth_breaches", base->breaches, "hosts_not_back",
      wv->count - wv->steps[WAVE_BACK], "appends_per_s", wd->appends / took_s,
      "planner_cpu_pct", 100 * cpu_s / took_s);
}

static json_t *
run (const struct fleet *fl, bool failures)
{
  struct world wd;
  struct baselines base = { 0 };
  uint32_t count = 0;
  build (&wd, fl);
  run_baselines (&wd, NULL, 0, &base);
  if (failures)
    count = (uint32_t)(base.bound_s / 3600 * wd.host_count
                       * (double)opt.failures_pct / 100);
  struct failure *fs = calloc (count + 1, sizeof *fs);
  for (uint32_t n = 0; n < count; n++)
    fs[n] = (struct failure){ (uint32_t)world_random (&wd, wd.host_count),
                              (int64_t)world_random (
                                  &wd, (uint64_t)(1000 * base.bound_s)) };
  base = (struct baselines){ 0 };
  run_baselines (&wd, fs, count, &base);
  for (uint32_t c = 0; c < fl->centres; c++)
    world_add_planner (&wd, c);
  world_create_wave (&wd, 0);
  while (wave_open (&wd.judge, wave_find (&wd.judge, "w"))
         && wd.now_us < END_US)
    {
      follow_failures (&wd, fs, count);
      world_step (&wd);
    }
  json_t *row = report (&wd, fl, &base, count, (double)wd.now_us / 1e6);
  free (fs);
  world_fini (&wd);
  return row;
}

static void
print_text (json_t *row)
{
  const char *key;
  json_t *val;
  printf ("%s\n", json_string_value (json_object_get (row, "fleet")));
  json_object_foreach (row, key, val) if (json_is_number (val))
      printf ("  %-22s %.7g\n", key, json_number_value (val));
}

int
main (int argc, char **argv)
{
  int err = options_parse (NULL, "wave_bench", opts, argc - 1, argv + 1, &opt,
                           stdout, stderr);
  if (err)
    return err < 0 ? 2 : 0;
  json_t *all = json_array ();
  for (size_t n = 0; n < 2 * sizeof fleets / sizeof *fleets; n++)
    {
      json_t *row = run (&fleets[n / 2], n % 2);
      if (!opt.json)
        print_text (row);
      json_array_append_new (all, row);
    }
  if (opt.json)
    json_dumpf (all, stdout, JSON_INDENT (1));
  json_decref (all);
  return 0;
}
