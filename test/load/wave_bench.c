/* Simulates a maintenance wave over whole fleets with the real planners and a
   manual clock.  Compares the time it takes with the lower bound set by the
   budgets and the hosts' own times, and with two baselines.
   docs/design/waves.md derives the bound.  */

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/option.h"
#include "test/unit/wave_sim.h"

#define END_US 86400000000LL
#define FAILURE_MS 600000 /* time until a failed host is back */

/* Budgets of the pools of the example tables, in percent.  */
static const uint32_t comptoir[] = { 75, 70, 75, 75, 70, 0 };
static const uint32_t colheitas[] = { 80, 75, 75, 70, 70, 0 };

static const struct fleet
{
  const char *name;
  uint32_t centres;
  uint32_t pools;
  uint32_t hosts;
  uint32_t spare;          /* hosts of the last, spare pool; 0: no such pool */
  const uint32_t *budgets; /* NULL: 75 % for each pool */
  int64_t latency_ms;      /* one-way latency of the log */
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
  { "seed", OPTION_INT, 0, 1, 1 << 30, NULL, NULL, "1",
    "random seed of host times and failures" },
  { "failures-pct", OPTION_INT, sizeof (int64_t), 0, 1000, NULL, "%", "5",
    "share of the hosts that fails per hour" },
  { "json", OPTION_BOOL, 2 * sizeof (int64_t), 0, 0, NULL, NULL, "no",
    "output as JSON" },
  { NULL, 0, 0, 0, 0, NULL, NULL, NULL, NULL },
};

struct failure
{
  uint32_t host;
  int64_t from_ms; /* since the start of the wave */
};

struct baselines
{
  /* Lower bound by the budgets over the fleet.  */
  double fleet_bound_s;
  /* Lower bound that also includes the limits of each data centre.  */
  double bound_s;
  double one_at_a_time_s; /* one host at a time */
  double fixed_tenth_s;   /* a tenth of each pool at a time */
  /* Drains beyond the budget in the schedule of fixed_tenth_s.  */
  uint32_t violations;
};

static void
build (struct wave_sim *sim, const struct fleet *fl)
{
  const struct wave_sim_settings set = {
    .centres = fl->centres,
    .pools = fl->pools,
    .hosts_per_rack = 4,
    .budget_pct = 75,
    .latency_ms = fl->latency_ms,
    .list_max_age_ms = 500,
    .seed = (uint64_t)opt.seed * 0x9e3779b97f4a7c15ULL,
  };
  uint32_t service_pools = fl->spare ? fl->pools - 1 : fl->pools;
  wave_sim_init (sim, &set);
  for (uint32_t n = 0; n < fl->pools && fl->budgets; n++)
    sim->budget_pct[n] = fl->budgets[n];
  for (uint32_t n = 0; n < fl->hosts; n++)
    {
      bool spare = n >= fl->hosts - fl->spare;
      struct wave_sim_host *ht
          = wave_sim_add_host (sim, spare ? service_pools : n % service_pools,
                               n / service_pools % fl->centres);
      /* Requests take some seconds.  Every fifth pool runs monitors that take
         minutes.  */
      ht->work_ms = ht->pool % 5 == 4
                        ? 60000 + (int64_t)wave_sim_random (sim, 240000)
                        : 2000 + (int64_t)wave_sim_random (sim, 28000);
      ht->reboot_ms = 120000 + (int64_t)wave_sim_random (sim, 120000);
    }
}

static int64_t
out_of_service_ms (const struct wave_sim_host *ht)
{
  return ht->work_ms + ht->reboot_ms;
}

static int
compare_longest_first (const void *a, const void *b)
{
  int64_t x = *(const int64_t *)a;
  int64_t y = *(const int64_t *)b;
  return (x < y) - (x > y);
}

/* Lower bound in seconds for any schedule of the pool's hosts in CENTRE
   (FLEET_NONE: all of them).  It is the larger of two bounds: the sum of all
   out-of-service times divided by the slots, that is, the hosts that may be
   out of service at a time; and, for each K, the sum of the K + 1 shortest of
   the K * slots + 1 longest times, because some slot has to take K + 1 of
   those hosts.  */
static double
pool_bound (const struct wave_sim *sim, uint32_t pool, uint32_t centre)
{
  int64_t *times = calloc (sim->host_count + 1, sizeof *times);
  uint32_t count = 0;
  int64_t bound = 0;
  for (uint32_t n = 0; n < sim->host_count; n++)
    if (sim->hosts[n].pool == pool
        && (centre == FLEET_NONE || sim->hosts[n].centre == centre))
      bound += times[count++] = out_of_service_ms (&sim->hosts[n]);
  uint32_t slots = wave_sim_out_allowed (sim, pool, count);
  slots = slots > 0 ? slots : 1;
  bound /= slots;
  qsort (times, count, sizeof *times, compare_longest_first);
  for (uint32_t k = 0; k * slots < count; k++)
    {
      int64_t slot_ms = 0;
      for (uint32_t n = 0; n <= k; n++)
        slot_ms += times[k * slots - n];
      bound = slot_ms > bound ? slot_ms : bound;
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

/* Baseline: takes a tenth of the pool out of service at a time, and the next
   tenth when all are back, regardless of other hosts out of service.  Returns
   the time, and counts the drains that exceeded the budget.  */
static int64_t
run_fixed_tenth (const struct wave_sim *sim, uint32_t pool,
                 const struct failure *fs, uint32_t count,
                 uint32_t *violations)
{
  uint32_t size = (sim->pool_hosts[pool] + 9) / 10;
  uint32_t in_batch = 0;
  int64_t now = 0;
  int64_t batch_ms = 0;
  for (uint32_t n = 0; n < sim->host_count; n++)
    {
      if (sim->hosts[n].pool != pool)
        continue;
      if (in_batch++ == size)
        {
          now += batch_ms;
          in_batch = 1;
          batch_ms = 0;
        }
      uint32_t out = in_batch;
      for (uint32_t m = 0; m < sim->host_count; m++)
        out += sim->hosts[m].pool == pool && m != n
               && is_failed (fs, count, m, now);
      *violations
          += out > wave_sim_out_allowed (sim, pool, sim->pool_hosts[pool]);
      if (out_of_service_ms (&sim->hosts[n]) > batch_ms)
        batch_ms = out_of_service_ms (&sim->hosts[n]);
    }
  return now + batch_ms;
}

static void
run_baselines (const struct wave_sim *sim, const struct failure *fs,
               uint32_t count, struct baselines *res)
{
  for (uint32_t p = 0; p < sim->set.pools; p++)
    {
      double bound = pool_bound (sim, p, FLEET_NONE);
      double tenth
          = (double)run_fixed_tenth (sim, p, fs, count, &res->violations)
            / 1000;
      res->fleet_bound_s
          = bound > res->fleet_bound_s ? bound : res->fleet_bound_s;
      for (uint32_t c = 0; c < sim->set.centres; c++)
        {
          double centre_bound_s = pool_bound (sim, p, c);
          bound = centre_bound_s > bound ? centre_bound_s : bound;
        }
      res->bound_s = bound > res->bound_s ? bound : res->bound_s;
      res->fixed_tenth_s
          = tenth > res->fixed_tenth_s ? tenth : res->fixed_tenth_s;
    }
  for (uint32_t n = 0; n < sim->host_count; n++)
    res->one_at_a_time_s += (double)out_of_service_ms (&sim->hosts[n]) / 1000;
}

static void
apply_failures (struct wave_sim *sim, const struct failure *fs, uint32_t count)
{
  int64_t at_ms = sim->now_us / 1000;
  for (uint32_t n = 0; n < count; n++)
    {
      struct wave_sim_host *ht = &sim->hosts[fs[n].host];
      bool fails = is_failed (fs, count, fs[n].host, at_ms);
      if (at_ms >= fs[n].from_ms && fails != ht->failed)
        wave_sim_fail_host (sim, ht, fails);
    }
}

static json_t *
report (const struct wave_sim *sim, const struct fleet *fl,
        const struct baselines *base, uint32_t failures, double took_s)
{
  const struct wave *wv = wave_find (&sim->log_fold, "w");
  double cpu_s = (double)sim->planner_cpu_us / 1e6 / sim->planner_count;
  return json_pack (
      "{s:s,s:I,s:i,s:i,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:i,s:i,s:i,s:f,s:f}",
      "fleet", fl->name, "seed", (json_int_t)opt.seed, "hosts", fl->hosts,
      "failures", failures, "fleet_bound_s", base->fleet_bound_s, "bound_s",
      base->bound_s, "took_s", took_s, "ratio", took_s / base->bound_s,
      "ratio_to_fleet_bound", took_s / base->fleet_bound_s, "one_at_a_time_s",
      base->one_at_a_time_s, "fixed_tenth_s", base->fixed_tenth_s, "breaches",
      sim->violations.budget + sim->violations.centre + sim->violations.reboots
          + sim->violations.busy,
      "fixed_tenth_breaches", base->violations, "hosts_not_back",
      wv->host_count - wv->hosts_in_step[WAVE_BACK], "appends_per_s",
      sim->appends / took_s, "planner_cpu_pct", 100 * cpu_s / took_s);
}

static json_t *
run_fleet (const struct fleet *fl, bool failures)
{
  struct wave_sim sim;
  struct baselines base = { 0 };
  uint32_t count = 0;
  build (&sim, fl);
  run_baselines (&sim, NULL, 0, &base);
  if (failures)
    count = (uint32_t)(base.bound_s / 3600 * sim.host_count
                       * (double)opt.failures_pct / 100);
  struct failure *fs = calloc (count + 1, sizeof *fs);
  for (uint32_t n = 0; n < count; n++)
    fs[n] = (struct failure){ (uint32_t)wave_sim_random (&sim, sim.host_count),
                              (int64_t)wave_sim_random (
                                  &sim, (uint64_t)(1000 * base.bound_s)) };
  base = (struct baselines){ 0 };
  run_baselines (&sim, fs, count, &base);
  for (uint32_t c = 0; c < fl->centres; c++)
    wave_sim_add_planner (&sim, c);
  wave_sim_create_wave (&sim, 0);
  while (wave_is_open (&sim.log_fold, wave_find (&sim.log_fold, "w"))
         && sim.now_us < END_US)
    {
      apply_failures (&sim, fs, count);
      wave_sim_tick (&sim);
    }
  json_t *row = report (&sim, fl, &base, count, (double)sim.now_us / 1e6);
  free (fs);
  wave_sim_fini (&sim);
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
      json_t *row = run_fleet (&fleets[n / 2], n % 2);
      if (!opt.json)
        print_text (row);
      json_array_append_new (all, row);
    }
  if (opt.json)
    json_dumpf (all, stdout, JSON_INDENT (1));
  json_decref (all);
  return 0;
}
