/* Rolls a maintenance wave over whole fleets with the real planners and a
   manual clock, and compares the time with the bound that budgets and the
   hosts' own times allow, and with two baselines.  docs/design/waves.md
   derives the bound.  */

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/option.h"
#include "test/unit/wave_world.h"

#define POOLS_MAX 128
#define END_MS 86400000
#define FAILURE_MS 600000 /* a failed host is back after this */

/* Budgets of the example tables; the last pool is the spare one.  */
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

struct result
{
  double fleet_s; /* bound by the budgets over the fleet */
  double bound_s; /* the same, with the budgets in each data centre */
  double took_s;
  double single_s; /* baseline: one host at a time */
  double tenth_s;  /* baseline: a tenth of each pool at a time */
  uint32_t failures;
  uint32_t breaches;       /* of a budget, by the planners */
  uint32_t tenth_breaches; /* the same by the baseline */
  uint32_t left;           /* hosts that are not back */
  double appends_s;
  double cpu_pct; /* of one core, by each planner */
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
    .seed = (uint64_t)opt.seed,
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
      bool longer = ht->pool % 5 == 4;
      ht->work_ms = 2000 + (int64_t)world_random (wd, 28000);
      if (longer)
        ht->work_ms = 60000 + (int64_t)world_random (wd, 240000);
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

/* No schedule of hosts with so many places out of service at a time is
   shorter: the sum of all times spread over the places, and, as K * places + 1
   hosts put K + 1 into one place, the K + 1 shortest of those.  */
static double
bound_s (int64_t *times, uint32_t count, uint32_t places)
{
  int64_t bound = 0;
  for (uint32_t n = 0; n < count; n++)
    bound += times[n];
  bound /= places;
  qsort (times, count, sizeof *times, longest_first);
  for (uint32_t k = 0; k * places < count; k++)
    {
      int64_t stack = 0;
      for (uint32_t n = 0; n <= k; n++)
        stack += times[k * places - n];
      bound = stack > bound ? stack : bound;
    }
  return (double)bound / 1000;
}

/* The bound of a pool; CENTRE: of its hosts there, else of all.  */
static double
pool_bound (const struct world *wd, uint32_t pool, uint32_t centre)
{
  int64_t *times = calloc (wd->host_count + 1, sizeof *times);
  uint32_t count = 0;
  for (uint32_t n = 0; n < wd->host_count; n++)
    if (wd->hosts[n].pool == pool
        && (centre == FLEET_NONE || wd->hosts[n].centre == centre))
      times[count++] = out_ms (&wd->hosts[n]);
  uint32_t places = world_allowed (wd, pool, count);
  double bound = bound_s (times, count, places > 0 ? places : 1);
  free (times);
  return bound;
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
  uint32_t allowed = world_allowed (wd, pool, wd->pool_hosts[pool]);
  uint32_t in_batch = 0;
  int64_t now = 0;
  int64_t batch_ms = 0;
  for (uint32_t n = 0; n < wd->host_count; n++)
    {
      if (wd->hosts[n].pool != pool)
        continue;
      if (in_batch == size)
        {
          now += batch_ms;
          in_batch = 0;
          batch_ms = 0;
        }
      in_batch++;
      uint32_t out = in_batch;
      for (uint32_t m = 0; m < wd->host_count; m++)
        out += wd->hosts[m].pool == pool && m != n
               && is_failed (fs, count, m, now);
      *breaches += out > allowed;
      if (out_ms (&wd->hosts[n]) > batch_ms)
        batch_ms = out_ms (&wd->hosts[n]);
    }
  return now + batch_ms;
}

static void
run_baselines (const struct world *wd, const struct failure *fs,
               uint32_t count, struct result *res)
{
  for (uint32_t p = 0; p < wd->set.pools; p++)
    {
      double bound = pool_bound (wd, p, FLEET_NONE);
      double tenth
          = (double)tenth_ms (wd, p, fs, count, &res->tenth_breaches) / 1000;
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
follow_failures (struct world *wd, const struct failure *fs, uint32_t count,
                 int64_t start_us)
{
  int64_t at_ms = (wd->now_us - start_us) / 1000;
  for (uint32_t n = 0; n < count; n++)
    {
      struct world_host *ht = &wd->hosts[fs[n].host];
      int64_t since = at_ms - fs[n].from_ms;
      if (since >= 0 && since < FAILURE_MS && !ht->failed)
        world_fail_host (wd, ht, true);
      if (since >= FAILURE_MS && since < FAILURE_MS + 1000 && ht->failed)
        world_fail_host (wd, ht, false);
    }
}

static void
run (const struct fleet *fl, bool failures, struct result *res)
{
  struct world wd;
  memset (res, 0, sizeof *res);
  build (&wd, fl);
  struct failure *fs = calloc (wd.host_count + 1, sizeof *fs);
  /* Over twice the bound, so that the whole roll-out sees them.  */
  run_baselines (&wd, fs, 0, res);
  double hours = 2 * res->bound_s / 3600;
  uint32_t count = failures ? (uint32_t)(hours * wd.host_count
                                         * (uint32_t)opt.failures_pct / 100)
                            : 0;
  for (uint32_t n = 0; n < count; n++)
    fs[n] = (struct failure){ (uint32_t)world_random (&wd, wd.host_count),
                              (int64_t)(2000 * res->bound_s / count * n) };
  memset (res, 0, sizeof *res);
  run_baselines (&wd, fs, count, res);
  for (uint32_t c = 0; c < fl->centres; c++)
    world_add_planner (&wd, c);
  world_create_wave (&wd, 0);
  int64_t start_us = wd.now_us;
  const struct wave *wv = wave_find (&wd.judge, "w");
  while (wave_open (&wd.judge, wv) && wd.now_us < END_MS * 1000LL)
    {
      follow_failures (&wd, fs, count, start_us);
      world_step (&wd);
    }
  res->took_s = (double)(wd.now_us - start_us) / 1e6;
  res->failures = count;
  res->breaches = wd.breach.budget + wd.breach.centre + wd.breach.reboots
                  + wd.breach.busy;
  res->left = wv->count - wv->steps[WAVE_BACK];
  res->appends_s = wd.appends / res->took_s;
  res->cpu_pct = (double)wd.plans_us / 1e4 / res->took_s / wd.planner_count;
  free (fs);
  world_fini (&wd);
}

static void
print_text (const json_t *row)
{
  const char *key;
  json_t *val;
  json_object_foreach ((json_t *)row, key, val) if (json_is_string (val))
      printf ("%s\n", json_string_value (val));
  else if (json_is_integer (val))
      printf ("  %-22s %12lld\n", key, (long long)json_integer_value (val));
  else printf ("  %-22s %12.3f\n", key, json_real_value (val));
}

static json_t *
to_json (const struct fleet *fl, const struct result *res)
{
  return json_pack (
      "{s:s,s:i,s:i,s:i,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:i,s:i,s:i,s:f,s:f}",
      "fleet", fl->name, "seed", (int)opt.seed, "hosts", fl->hosts,
      "failed_hosts", res->failures, "fleet_bound_s", res->fleet_s, "bound_s",
      res->bound_s, "took_s", res->took_s, "ratio", res->took_s / res->bound_s,
      "ratio_to_fleet_bound", res->took_s / res->fleet_s, "one_at_a_time_s",
      res->single_s, "fixed_tenth_s", res->tenth_s, "breaches", res->breaches,
      "fixed_tenth_breaches", res->tenth_breaches, "hosts_not_back", res->left,
      "appends_per_s", res->appends_s, "planner_cpu_pct", res->cpu_pct);
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
      struct result res;
      run (&fleets[n / 2], n % 2, &res);
      json_t *row = to_json (&fleets[n / 2], &res);
      json_array_append_new (all, row);
      if (!opt.json)
        print_text (row);
    }
  if (opt.json)
    json_dumpf (all, stdout, JSON_INDENT (1));
  json_decref (all);
  return 0;
}
