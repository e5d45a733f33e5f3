#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "wave_world.h"

/* Planners against a platform in memory, under a manual clock.  Every run is
   judged from the platform's side.  */

#define ROWS(table) (int)(sizeof (table) / sizeof *(table))
#define END_S 7200 /* no run here lasts longer */
#define PER_S (1000000 / WORLD_TICK_US)

static struct world wd;

static void
start (uint32_t centres, uint32_t per_pool, uint32_t lost_pct, uint64_t seed)
{
  const struct world_settings set = {
    .centres = centres,
    .pools = 2,
    .hosts_per_rack = 4,
    .budget_pct = 75,
    .log_ms = 100,
    .list_ms = 500,
    .seed = seed,
    .lost_replies_pct = lost_pct,
  };
  world_init (&wd, &set);
  for (uint32_t n = 0; n < 2 * per_pool; n++)
    world_add_host (&wd, n % 2, n / 2 % centres);
  for (uint32_t c = 0; c < centres; c++)
    world_add_planner (&wd, c);
}

static void
run_s (int64_t seconds)
{
  for (int64_t n = 0; n < seconds * PER_S; n++)
    world_step (&wd);
}

static const struct wave *
wave_now (void)
{
  return wave_find (&wd.judge, "w");
}

/* Runs until the wave ends.  Returns the seconds that took.  */
static int64_t
run_to_end (void)
{
  int64_t from = wd.now_us;
  int64_t end = from + END_S * 1000000LL;
  while (wd.now_us < end && wave_open (&wd.judge, wave_now ()))
    world_step (&wd);
  return (wd.now_us - from) / 1000000;
}

static void
check_no_breach (void)
{
  ck_assert_uint_eq (wd.breach.budget, 0);
  ck_assert_uint_eq (wd.breach.centre, 0);
  ck_assert_uint_eq (wd.breach.reboots, 0);
  ck_assert_uint_eq (wd.breach.busy, 0);
}

/* Every host was rebooted once and serves again.  */
static void
check_all_done (void)
{
  check_no_breach ();
  ck_assert_str_eq (wave_state_name (&wd.judge, wave_now ()), "done");
  ck_assert_uint_eq (wave_now ()->steps[WAVE_BACK], wd.host_count);
  for (uint32_t n = 0; n < wd.host_count; n++)
    {
      ck_assert_msg (wd.hosts[n].reboots == 1, "%s: %u reboots",
                     wd.hosts[n].name, wd.hosts[n].reboots);
      ck_assert (world_in_service (&wd, &wd.hosts[n]));
    }
}

static void
change (enum wave_record_type type, bool retry)
{
  const struct wave_record rec = { .type = type,
                                   .id = "w",
                                   .generation = wave_now ()->generation,
                                   .retry = retry };
  world_edit (&wd, &rec);
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

/* Guards against a wave that breaks a budget, reboots a host twice or does not
   end, with replies lost; and against planners of several data centres that
   together take more than a pool's budget allows.  */
START_TEST (test_wave_ends)
{
  start (fleets[_i].centres, fleets[_i].per_pool, fleets[_i].lost_pct,
         (uint64_t)_i + 1);
  world_create_wave (&wd, fleets[_i].most_out);
  run_to_end ();
  check_all_done ();
  world_fini (&wd);
}
END_TEST

/* Guards against planners of several data centres that each take the last
   place of a pool: without patience all of them ask for it, and what they know
   of each other is a second old.  */
START_TEST (test_planners_race)
{
  struct wave_core_settings core = wave_core_settings_default;
  core.plan = wave_plan_settings_default;
  core.plan.quota_timeout_ms = -1;
  start (3, 10, 0, 1);
  for (uint32_t c = 0; c < wd.planner_count; c++)
    wave_core_fini (&wd.planners[c].core);
  wd.set.core = &core;
  wd.set.log_ms = 1000;
  for (uint32_t c = 0; c < wd.planner_count; c++)
    world_restart_planner (&wd, c);
  world_create_wave (&wd, 0);
  run_to_end ();
  check_all_done ();
  world_fini (&wd);
}
END_TEST

/* Guards against a wave that is slower than the budget asks for: two of eight
   hosts at a time take four rounds.  */
START_TEST (test_wave_is_quick)
{
  start (1, 8, 0, 1);
  world_create_wave (&wd, 0);
  /* Of work and reboot; the rest is what recording and asking add.  */
  int64_t bound = 4 * (10 + 60);
  int64_t took = run_to_end ();
  ck_assert_msg (took * 10 <= bound * 12, "%lld s", (long long)took);
  check_all_done ();
  world_fini (&wd);
}
END_TEST

/* Guards against a planner whose death at any event loses a host or costs a
   second reboot: it dies at the N-th event, and another takes over.  */
START_TEST (test_killed_at_every_event)
{
  bool killed = true;
  for (uint32_t at = 1; killed; at++)
    {
      start (1, 4, 0, 1);
      wd.planners[0].kill_at = at;
      world_create_wave (&wd, 0);
      while (wd.planners[0].alive && wave_open (&wd.judge, wave_now ()))
        world_step (&wd);
      killed = !wd.planners[0].alive;
      if (killed)
        world_restart_planner (&wd, 0);
      run_to_end ();
      ck_assert_msg (wave_now ()->steps[WAVE_BACK] == wd.host_count,
                     "killed at event %u", at);
      check_all_done ();
      world_fini (&wd);
    }
}
END_TEST

/* Guards against a paused planner that wakes after another took over, with
   what it had decided and what it had on the way, and does harm.  The pause
   begins at every tenth of a second of the first rounds.  */
START_TEST (test_paused_past_lease)
{
  for (int at = 1; at < 100 * PER_S; at += 7)
    {
      start (1, 4, 0, 1);
      uint32_t other = world_add_planner (&wd, 0);
      world_create_wave (&wd, 0);
      for (int n = 0; n < at; n++)
        world_step (&wd);
      uint32_t holder
          = wave_core_holds_lease (&wd.planners[other].core, wd.now_us) ? other
                                                                        : 0;
      wd.planners[holder].paused_until_us = wd.now_us + 60000000;
      run_to_end ();
      ck_assert_msg (wave_now ()->steps[WAVE_BACK] == wd.host_count,
                     "paused at tick %d", at);
      run_s (70);
      check_all_done ();
      world_fini (&wd);
    }
}
END_TEST

/* Guards against a wave that starts hosts while the log is down, or does not
   go on by itself afterwards.  */
START_TEST (test_log_down)
{
  start (2, 8, 0, 1);
  world_create_wave (&wd, 0);
  run_s (40);
  wd.log_down = true;
  run_s (30);
  uint32_t calls = wd.calls;
  run_s (600);
  ck_assert_uint_eq (wd.calls, calls);
  wd.log_down = false;
  run_to_end ();
  check_all_done ();
  world_fini (&wd);
}
END_TEST

/* Guards against a data centre cut off from the log whose share is lost to the
   others, or that goes on without them.  */
START_TEST (test_centre_cut_off)
{
  start (3, 10, 0, 1);
  world_create_wave (&wd, 0);
  run_s (20);
  wd.planners[1].cut = true;
  run_s (1500);
  for (uint32_t n = 0; n < wd.host_count; n++)
    if (wd.hosts[n].centre != 1)
      ck_assert_uint_eq (wd.hosts[n].reboots, 1);
  check_no_breach ();
  wd.planners[1].cut = false;
  run_to_end ();
  check_all_done ();
  world_fini (&wd);
}
END_TEST

/* Guards against a wave that does not count unplanned failures, and one that
   does not go on by itself when the failed hosts are back.  */
START_TEST (test_unplanned_failures)
{
  start (1, 8, 0, 1);
  /* Both that the budget allows in pool 0.  */
  world_fail_host (&wd, &wd.hosts[4], true);
  world_fail_host (&wd, &wd.hosts[6], true);
  world_create_wave (&wd, 0);
  run_s (700);
  uint32_t reboots = 0;
  for (uint32_t n = 0; n < wd.host_count; n += 2)
    reboots += wd.hosts[n].reboots;
  ck_assert_uint_eq (reboots, 0);
  world_fail_host (&wd, &wd.hosts[4], false);
  world_fail_host (&wd, &wd.hosts[6], false);
  run_to_end ();
  check_all_done ();
  world_fini (&wd);
}
END_TEST

/* Guards against failures at random moments that break a budget together with
   the wave, or that stop it.  */
START_TEST (test_random_failures)
{
  printf ("seed %d\n", _i);
  start (3, 30, 5, (uint64_t)_i);
  world_create_wave (&wd, 0);
  int64_t end = wd.now_us + END_S * 1000000LL;
  while (wd.now_us < end && wave_open (&wd.judge, wave_now ()))
    {
      world_step (&wd);
      struct world_host *ht = &wd.hosts[world_random (&wd, wd.host_count)];
      if (world_random (&wd, 100) == 0 && world_in_service (&wd, ht))
        world_fail_host (&wd, ht, true);
      else if (ht->failed && world_random (&wd, 20) == 0)
        world_fail_host (&wd, ht, false);
      struct world_planner *pn = &wd.planners[world_random (&wd, 3)];
      if (world_random (&wd, 3000) == 0)
        pn->paused_until_us = wd.now_us + 30000000;
    }
  check_no_breach ();
  ck_assert (!wave_open (&wd.judge, wave_now ()));
  world_fini (&wd);
}
END_TEST

static const struct
{
  bool unhealthy;
  uint32_t lost; /* hosts that do not return; 4: a rack */
  const char *state;
  enum wave_reason halt;
  enum wave_reason host;
} losses[] = {
  { false, 1, "done", WAVE_REASON_NONE, WAVE_REASON_NO_RETURN },
  { true, 1, "done", WAVE_REASON_NONE, WAVE_REASON_NOT_HEALTHY },
  { false, 4, "halted", WAVE_REASON_RACK_LOST, WAVE_REASON_NO_RETURN },
};

/* Guards against a wave that goes on although a rack is lost in it, that stops
   for one host, or that does not say why; and against an operator's resume
   that reboots hosts again.  */
START_TEST (test_hosts_lost)
{
  start (1, 16, 0, 1);
  for (uint32_t n = 0; n < losses[_i].lost; n++)
    {
      wd.hosts[n].never_returns = !losses[_i].unhealthy;
      wd.hosts[n].unhealthy = losses[_i].unhealthy;
    }
  world_create_wave (&wd, 0);
  run_s (3600);
  check_no_breach ();
  const struct wave *wv = wave_now ();
  ck_assert_str_eq (wave_state_name (&wd.judge, wv), losses[_i].state);
  ck_assert_int_eq (wv->reason, losses[_i].halt);
  uint32_t failed = 0;
  for (uint32_t n = 0; n < wv->count; n++)
    if (wv->hosts[n].step == WAVE_FAILED)
      {
        ck_assert_int_eq (wv->hosts[n].reason, losses[_i].host);
        failed++;
      }
  ck_assert_uint_ge (failed, 1);
  /* The operator repairs them and resumes.  */
  for (uint32_t n = 0; n < wd.host_count; n++)
    {
      wd.hosts[n].never_returns = wd.hosts[n].unhealthy = false;
      if (wd.hosts[n].up_ms == INT64_MAX)
        wd.hosts[n].up_ms = 0;
    }
  wd.list_version++;
  change (WAVE_RECORD_RESUME, true);
  run_to_end ();
  check_all_done ();
  world_fini (&wd);
}
END_TEST

/* Guards against a host that is rebooted with work because its drain, held
   back by the budget, came later than a drain may last.  */
START_TEST (test_drain_held_back)
{
  start (1, 8, 0, 1);
  world_create_wave (&wd, 0);
  while (wave_hosts_in_maintenance (wave_now ()) == 0)
    world_step (&wd);
  /* Recorded and not yet drained.  */
  ck_assert_uint_eq (wd.hosts[0].drains, 0);
  wave_core_fini (&wd.planners[0].core);
  wd.planners[0].alive = false;
  for (uint32_t n = 4; n < wd.host_count; n++)
    world_fail_host (&wd, &wd.hosts[n], true);
  world_restart_planner (&wd, 0);
  run_s (700);
  for (uint32_t n = 0; n < wd.host_count; n++)
    ck_assert_uint_eq (wd.hosts[n].drains, 0);
  for (uint32_t n = 4; n < wd.host_count; n++)
    world_fail_host (&wd, &wd.hosts[n], false);
  run_to_end ();
  check_all_done ();
  world_fini (&wd);
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
   out of service, and a paused one that does not go on when resumed.  */
START_TEST (test_changes)
{
  start (1, 8, 0, 1);
  world_create_wave (&wd, 0);
  run_s (85);
  change (changes[_i].type, false);
  run_s (200);
  const struct wave *wv = wave_now ();
  ck_assert_str_eq (wave_state_name (&wd.judge, wv), changes[_i].state);
  ck_assert_uint_eq (wave_hosts_in_maintenance (wv), 0);
  ck_assert_uint_gt (wv->steps[WAVE_WAITING], 0);
  for (uint32_t n = 0; n < wd.host_count; n++)
    ck_assert (world_in_service (&wd, &wd.hosts[n]));
  if (changes[_i].type == WAVE_RECORD_PAUSE)
    {
      change (WAVE_RECORD_RESUME, false);
      run_to_end ();
      check_all_done ();
    }
  check_no_breach ();
  world_fini (&wd);
}
END_TEST

/* Guards against a wave that never ends because a host that waits is gone.  */
START_TEST (test_host_gone)
{
  start (1, 8, 0, 1);
  world_fail_host (&wd, &wd.hosts[3], true);
  world_create_wave (&wd, 0);
  run_to_end ();
  check_no_breach ();
  const struct wave_host *wh = wave_find_host (wave_now (), wd.hosts[3].name);
  ck_assert_int_eq (wh->step, WAVE_FAILED);
  ck_assert_int_eq (wh->reason, WAVE_REASON_HOST_DOWN);
  ck_assert_uint_eq (wave_now ()->steps[WAVE_BACK], 7 + 8);
  world_fini (&wd);
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
  tcase_add_test (tc, test_wave_is_quick);
  tcase_add_test (tc, test_killed_at_every_event);
  tcase_add_test (tc, test_paused_past_lease);
  tcase_add_test (tc, test_log_down);
  tcase_add_test (tc, test_centre_cut_off);
  tcase_add_test (tc, test_unplanned_failures);
  tcase_add_loop_test (tc, test_random_failures, 1, 6);
  tcase_add_loop_test (tc, test_hosts_lost, 0, ROWS (losses));
  tcase_add_loop_test (tc, test_changes, 0, ROWS (changes));
  tcase_add_test (tc, test_host_gone);
  tcase_add_test (tc, test_drain_held_back);
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed != 0;
}
