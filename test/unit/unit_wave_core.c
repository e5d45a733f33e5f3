#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "wave_sim.h"

/* Runs planners on a simulated platform (struct wave_sim) under a manual
   clock.  The simulation counts violations of budgets and reboots at each
   operation.  */

#define ROWS(table) (int)(sizeof (table) / sizeof *(table))
#define RUN_MAX_S 7200 /* limit on the simulated time of one run */
#define TICKS_PER_S (1000000 / WAVE_SIM_TICK_US)

static struct wave_sim sim;

static void
start_sim (uint32_t centres, uint32_t per_pool, uint32_t lost_pct,
           uint64_t seed)
{
  const struct wave_sim_settings set = {
    .centres = centres,
    .pools = 2,
    .hosts_per_rack = 4,
    .budget_pct = 75,
    .latency_ms = 100,
    .list_max_age_ms = 500,
    .seed = seed,
    .lost_replies_pct = lost_pct,
  };
  wave_sim_init (&sim, &set);
  for (uint32_t n = 0; n < 2 * per_pool; n++)
    wave_sim_add_host (&sim, n % 2, n / 2 % centres);
  for (uint32_t c = 0; c < centres; c++)
    wave_sim_add_planner (&sim, c);
}

static void
run_seconds (int64_t seconds)
{
  for (int64_t n = 0; n < seconds * TICKS_PER_S; n++)
    wave_sim_tick (&sim);
}

static const struct wave *
current_wave (void)
{
  return wave_find (&sim.log_fold, "w");
}

/* Runs until the wave ends.  Returns the simulated seconds it took.  */
static int64_t
run_to_end (void)
{
  int64_t from = sim.now_us;
  int64_t end = from + RUN_MAX_S * 1000000LL;
  while (sim.now_us < end && wave_is_open (&sim.log_fold, current_wave ()))
    wave_sim_tick (&sim);
  return (sim.now_us - from) / 1000000;
}

static void
check_no_violations (void)
{
  ck_assert_uint_eq (sim.violations.budget, 0);
  ck_assert_uint_eq (sim.violations.centre, 0);
  ck_assert_uint_eq (sim.violations.reboots, 0);
  ck_assert_uint_eq (sim.violations.busy, 0);
}

/* Checks that every host was rebooted once and is in service again.  */
static void
check_all_done (void)
{
  check_no_violations ();
  ck_assert_str_eq (wave_state_name (&sim.log_fold, current_wave ()), "done");
  ck_assert_uint_eq (current_wave ()->hosts_in_step[WAVE_BACK],
                     sim.host_count);
  for (uint32_t n = 0; n < sim.host_count; n++)
    {
      ck_assert_msg (sim.hosts[n].reboots == 1, "%s: %u reboots",
                     sim.hosts[n].name, sim.hosts[n].reboots);
      ck_assert (wave_sim_in_service (&sim, &sim.hosts[n]));
    }
}

static void
append_change (enum wave_record_type type, bool retry)
{
  const struct wave_record rec = { .type = type,
                                   .id = "w",
                                   .generation = current_wave ()->generation,
                                   .retry = retry };
  wave_sim_append_edit (&sim, &rec);
}

static const struct
{
  uint32_t centres;
  uint32_t per_pool;
  uint32_t lost_pct;
  uint32_t most_out;
} fleets[] = {
  { 1, 8, 0, 0 },  { 3, 10, 0, 0 }, { 3, 10, 20, 0 },
  { 3, 10, 0, 1 }, { 3, 50, 5, 0 }, { 1, 4, 50, 0 },
};

/* Guards against a wave that exceeds a budget, reboots a host twice or does
   not end when replies are lost, and against planners of several data centres
   that together exceed a pool's budget.  */
START_TEST (test_wave_ends)
{
  start_sim (fleets[_i].centres, fleets[_i].per_pool, fleets[_i].lost_pct,
             (uint64_t)_i + 1);
  wave_sim_create_wave (&sim, fleets[_i].most_out);
  run_to_end ();
  check_all_done ();
  wave_sim_fini (&sim);
}
END_TEST

/* Guards against planners of several data centres that each take the last host
   that a pool's budget allows.  Without a quota timeout all of them request
   it, and each knows the others' state only with a delay of a second.  */
START_TEST (test_planners_race)
{
  struct wave_core_settings core = wave_core_settings_default;
  core.plan = wave_plan_settings_default;
  core.plan.quota_timeout_ms = -1;
  start_sim (3, 10, 0, 1);
  for (uint32_t c = 0; c < sim.planner_count; c++)
    wave_core_fini (&sim.planners[c].core);
  sim.set.core = &core;
  sim.set.latency_ms = 1000;
  for (uint32_t c = 0; c < sim.planner_count; c++)
    wave_sim_restart_planner (&sim, c);
  wave_sim_create_wave (&sim, 0);
  run_to_end ();
  check_all_done ();
  wave_sim_fini (&sim);
}
END_TEST

/* Guards against a wave that is slower than the budget requires: with two of
   eight hosts of a pool out of service at a time it takes four rounds.  */
START_TEST (test_wave_duration)
{
  start_sim (1, 8, 0, 1);
  wave_sim_create_wave (&sim, 0);
  /* Work and reboot times of four rounds.  A fifth is allowed on top for
     recording and polling.  */
  int64_t bound = 4 * (10 + 60);
  int64_t took = run_to_end ();
  ck_assert_msg (took * 10 <= bound * 12, "%lld s", (long long)took);
  check_all_done ();
  wave_sim_fini (&sim);
}
END_TEST

/* Guards against a planner that dies and thereby loses a host or causes a
   second reboot.  It is killed before its N-th event, for each N, and
   restarted.  */
START_TEST (test_killed_at_every_event)
{
  bool killed = true;
  for (uint32_t at = 1; killed; at++)
    {
      start_sim (1, 4, 0, 1);
      sim.planners[0].kill_at_event = at;
      wave_sim_create_wave (&sim, 0);
      while (sim.planners[0].alive
             && wave_is_open (&sim.log_fold, current_wave ()))
        wave_sim_tick (&sim);
      killed = !sim.planners[0].alive;
      if (killed)
        wave_sim_restart_planner (&sim, 0);
      run_to_end ();
      ck_assert_msg (current_wave ()->hosts_in_step[WAVE_BACK]
                         == sim.host_count,
                     "killed at event %u", at);
      check_all_done ();
      wave_sim_fini (&sim);
    }
}
END_TEST

/* Guards against a planner that is paused until another has taken over and
   then acts on outdated decisions or on results still in flight.  The pause
   begins at each seventh tick of the first 100 s.  */
START_TEST (test_paused_past_lease)
{
  for (int at = 1; at < 100 * TICKS_PER_S; at += 7)
    {
      start_sim (1, 4, 0, 1);
      uint32_t other = wave_sim_add_planner (&sim, 0);
      wave_sim_create_wave (&sim, 0);
      for (int n = 0; n < at; n++)
        wave_sim_tick (&sim);
      uint32_t holder
          = wave_core_holds_lease (&sim.planners[other].core, sim.now_us)
                ? other
                : 0;
      sim.planners[holder].paused_until_us = sim.now_us + 60000000;
      run_to_end ();
      ck_assert_msg (current_wave ()->hosts_in_step[WAVE_BACK]
                         == sim.host_count,
                     "paused at tick %d", at);
      run_seconds (70);
      check_all_done ();
      wave_sim_fini (&sim);
    }
}
END_TEST

/* Guards against a wave that starts hosts while the log is down, or does not
   resume by itself afterwards.  */
START_TEST (test_log_down)
{
  start_sim (2, 8, 0, 1);
  wave_sim_create_wave (&sim, 0);
  run_seconds (40);
  sim.log_down = true;
  run_seconds (30);
  uint32_t calls = sim.calls;
  run_seconds (600);
  ck_assert_uint_eq (sim.calls, calls);
  sim.log_down = false;
  run_to_end ();
  check_all_done ();
  wave_sim_fini (&sim);
}
END_TEST

/* Guards against a data centre without access to the log that continues the
   wave, or whose quota the other data centres cannot use.  */
START_TEST (test_centre_cut_off)
{
  start_sim (3, 10, 0, 1);
  wave_sim_create_wave (&sim, 0);
  run_seconds (20);
  sim.planners[1].cut_off = true;
  run_seconds (1500);
  for (uint32_t n = 0; n < sim.host_count; n++)
    if (sim.hosts[n].centre != 1)
      ck_assert_uint_eq (sim.hosts[n].reboots, 1);
  check_no_violations ();
  sim.planners[1].cut_off = false;
  run_to_end ();
  check_all_done ();
  wave_sim_fini (&sim);
}
END_TEST

/* Guards against a wave that does not count unplanned failures against the
   budget, or does not resume by itself once the failed hosts are back.  */
START_TEST (test_unplanned_failures)
{
  start_sim (1, 8, 0, 1);
  /* Two failed hosts are all that the budget of pool 0 allows.  */
  wave_sim_fail_host (&sim, &sim.hosts[4], true);
  wave_sim_fail_host (&sim, &sim.hosts[6], true);
  wave_sim_create_wave (&sim, 0);
  run_seconds (700);
  uint32_t reboots = 0;
  for (uint32_t n = 0; n < sim.host_count; n += 2)
    reboots += sim.hosts[n].reboots;
  ck_assert_uint_eq (reboots, 0);
  wave_sim_fail_host (&sim, &sim.hosts[4], false);
  wave_sim_fail_host (&sim, &sim.hosts[6], false);
  run_to_end ();
  check_all_done ();
  wave_sim_fini (&sim);
}
END_TEST

/* Guards against a wave that exceeds a budget together with host failures at
   random times, or never ends because of them.  */
START_TEST (test_random_failures)
{
  printf ("seed %d\n", _i);
  start_sim (3, 30, 5, (uint64_t)_i);
  wave_sim_create_wave (&sim, 0);
  int64_t end = sim.now_us + RUN_MAX_S * 1000000LL;
  while (sim.now_us < end && wave_is_open (&sim.log_fold, current_wave ()))
    {
      wave_sim_tick (&sim);
      struct wave_sim_host *ht
          = &sim.hosts[wave_sim_random (&sim, sim.host_count)];
      if (wave_sim_random (&sim, 100) == 0 && wave_sim_in_service (&sim, ht))
        wave_sim_fail_host (&sim, ht, true);
      else if (ht->failed && wave_sim_random (&sim, 20) == 0)
        wave_sim_fail_host (&sim, ht, false);
      struct wave_sim_planner *pn = &sim.planners[wave_sim_random (&sim, 3)];
      if (wave_sim_random (&sim, 3000) == 0)
        pn->paused_until_us = sim.now_us + 30000000;
    }
  check_no_violations ();
  ck_assert (!wave_is_open (&sim.log_fold, current_wave ()));
  wave_sim_fini (&sim);
}
END_TEST

static const struct
{
  bool unhealthy;
  uint32_t lost; /* hosts that fail after their reboot; 4: a rack */
  const char *state;
  enum wave_reason halt;
  enum wave_reason host;
} losses[] = {
  { false, 1, "done", WAVE_REASON_NONE, WAVE_REASON_NO_RETURN },
  { true, 1, "done", WAVE_REASON_NONE, WAVE_REASON_NOT_HEALTHY },
  { false, 4, "halted", WAVE_REASON_RACK_LOST, WAVE_REASON_NO_RETURN },
};

/* Guards against a wave that continues although it lost a rack, that halts for
   a single host or does not record the reason, and against a resume that
   reboots hosts a second time.  */
START_TEST (test_hosts_lost)
{
  start_sim (1, 16, 0, 1);
  for (uint32_t n = 0; n < losses[_i].lost; n++)
    {
      sim.hosts[n].never_returns = !losses[_i].unhealthy;
      sim.hosts[n].unhealthy = losses[_i].unhealthy;
    }
  wave_sim_create_wave (&sim, 0);
  run_seconds (3600);
  check_no_violations ();
  const struct wave *wv = current_wave ();
  ck_assert_str_eq (wave_state_name (&sim.log_fold, wv), losses[_i].state);
  ck_assert_int_eq (wv->reason, losses[_i].halt);
  uint32_t failed = 0;
  for (uint32_t n = 0; n < wv->host_count; n++)
    if (wv->hosts[n].step == WAVE_FAILED)
      {
        ck_assert_int_eq (wv->hosts[n].reason, losses[_i].host);
        failed++;
      }
  ck_assert_uint_ge (failed, 1);
  /* The operator repairs the hosts and resumes the wave.  */
  for (uint32_t n = 0; n < sim.host_count; n++)
    {
      sim.hosts[n].never_returns = sim.hosts[n].unhealthy = false;
      if (sim.hosts[n].up_ms == INT64_MAX)
        sim.hosts[n].up_ms = 0;
    }
  sim.list_version++;
  append_change (WAVE_RECORD_RESUME, true);
  run_to_end ();
  check_all_done ();
  wave_sim_fini (&sim);
}
END_TEST

/* Guards against a host that is rebooted with work because the budget delayed
   its drain beyond drain_limit_ms after the record.  */
START_TEST (test_drain_delayed)
{
  start_sim (1, 8, 0, 1);
  wave_sim_create_wave (&sim, 0);
  while (wave_hosts_in_maintenance (current_wave ()) == 0)
    wave_sim_tick (&sim);
  /* The step is recorded, but the host is not drained yet.  */
  ck_assert_uint_eq (sim.hosts[0].drains, 0);
  wave_core_fini (&sim.planners[0].core);
  sim.planners[0].alive = false;
  for (uint32_t n = 4; n < sim.host_count; n++)
    wave_sim_fail_host (&sim, &sim.hosts[n], true);
  wave_sim_restart_planner (&sim, 0);
  run_seconds (700);
  for (uint32_t n = 0; n < sim.host_count; n++)
    ck_assert_uint_eq (sim.hosts[n].drains, 0);
  for (uint32_t n = 4; n < sim.host_count; n++)
    wave_sim_fail_host (&sim, &sim.hosts[n], false);
  run_to_end ();
  check_all_done ();
  wave_sim_fini (&sim);
}
END_TEST

static const struct
{
  enum wave_record_type type;
  const char *state;
} changes[] = {
  { WAVE_RECORD_PAUSE, "paused" },
  { WAVE_RECORD_CANCEL, "cancelled" },
};

/* Guards against a paused or cancelled wave that starts hosts or leaves some
   out of service, and against a paused wave that does not continue when
   resumed.  */
START_TEST (test_changes)
{
  start_sim (1, 8, 0, 1);
  wave_sim_create_wave (&sim, 0);
  run_seconds (85);
  append_change (changes[_i].type, false);
  run_seconds (200);
  const struct wave *wv = current_wave ();
  ck_assert_str_eq (wave_state_name (&sim.log_fold, wv), changes[_i].state);
  ck_assert_uint_eq (wave_hosts_in_maintenance (wv), 0);
  ck_assert_uint_gt (wv->hosts_in_step[WAVE_WAITING], 0);
  for (uint32_t n = 0; n < sim.host_count; n++)
    ck_assert (wave_sim_in_service (&sim, &sim.hosts[n]));
  if (changes[_i].type == WAVE_RECORD_PAUSE)
    {
      append_change (WAVE_RECORD_RESUME, false);
      run_to_end ();
      check_all_done ();
    }
  check_no_violations ();
  wave_sim_fini (&sim);
}
END_TEST

/* Guards against a wave that never ends because one of its waiting hosts stays
   out of service.  */
START_TEST (test_host_stays_down)
{
  start_sim (1, 8, 0, 1);
  wave_sim_fail_host (&sim, &sim.hosts[3], true);
  wave_sim_create_wave (&sim, 0);
  run_to_end ();
  check_no_violations ();
  const struct wave_host *wh
      = wave_find_host (current_wave (), sim.hosts[3].name);
  ck_assert_int_eq (wh->step, WAVE_FAILED);
  ck_assert_int_eq (wh->reason, WAVE_REASON_HOST_DOWN);
  ck_assert_uint_eq (current_wave ()->hosts_in_step[WAVE_BACK], 7 + 8);
  wave_sim_fini (&sim);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("wave_core");
  TCase *tc = tcase_create ("wave_core");
  tcase_set_timeout (tc, 300);
  tcase_add_loop_test (tc, test_wave_ends, 0, ROWS (fleets));
  tcase_add_test (tc, test_planners_race);
  tcase_add_test (tc, test_wave_duration);
  tcase_add_test (tc, test_killed_at_every_event);
  tcase_add_test (tc, test_paused_past_lease);
  tcase_add_test (tc, test_log_down);
  tcase_add_test (tc, test_centre_cut_off);
  tcase_add_test (tc, test_unplanned_failures);
  tcase_add_loop_test (tc, test_random_failures, 1, 6);
  tcase_add_loop_test (tc, test_hosts_lost, 0, ROWS (losses));
  tcase_add_loop_test (tc, test_changes, 0, ROWS (changes));
  tcase_add_test (tc, test_host_stays_down);
  tcase_add_test (tc, test_drain_delayed);
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed != 0;
}
