#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "fleet/host_mgr.h"
#include "platform/wire_decode.h"
#include "placer_sim.h"
#include "sched/placer_priv.h"
#include "sched/pool.h"

/* Tests of waits between the owner of a pool and the holder of the fleet duty
   about hosts that are to be vacated: a perpetual task that is left without a
   run, and hosts that are taken in vain.  */

#define LASTING(count, more)                                                  \
  "{\"steps\":[{\"count\":" count ",\"perpetual\":true," more "}]}"
#define ONE_EACH "\"cpu\":1000,\"mem-mb\":64,\"anti-affinity\":1"
#define BATCH(count)                                                          \
  "{\"steps\":[{\"count\":" count ",\"cpu\":1000,\"mem-mb\":1024,"            \
  "\"estimate-ms\":60000}]}"

/* Lets only the worker ON take tasks, or with "" all.  */
static void
use_only (const char *on)
{
  for (size_t n = 0; n < wld->plc->pool.count; n++)
    {
      struct worker *wrk = wld->plc->pool.workers[n];
      bool used = !*on || strcmp (wrk->rep.id, on) == 0;
      wrk->avoid_until_us = used ? 0 : INT64_MAX;
    }
}

/* Guards against two tasks of a step that wait for each other: one that is to
   leave its host keeps the only place of another one, which has lost its
   worker, and may not be stopped while that one is missing.  */
START_TEST (test_reservation_and_missing_sibling)
{
  sim_add_workers (3);
  sim_play (SIM_SETTLE_MS);
  use_only ("w2");
  world_add_job (wld, 2, BATCH ("4"), 200);
  sim_play (400);
  use_only ("w0");
  world_add_job (wld, 1, LASTING ("2", ONE_EACH), 201);
  sim_play (400);
  use_only ("w1");
  sim_play (400);
  use_only ("");
  uint32_t leaving = strcmp (sim_find_run (1, 0)->worker, "w0") == 0 ? 0 : 1;
  ck_assert_str_eq (sim_find_run (1, leaving)->worker, "w0");
  ck_assert_str_eq (sim_find_run (1, 1 - leaving)->worker, "w1");
  /* The batch runs on w2 take a moment to end.  */
  sim_ignores_stops = true;
  sim_vacate ("m-w0");
  sim_play (200);
  sim_find_worker ("w1")->rep.draining = true;
  sim_end_run (sim_find_run (1, 1 - leaving), RUN_END_FAILED);
  sim_play (200);
  sim_ignores_stops = false;
  int64_t waited_ms = 0;
  for (; waited_ms < 20000 && !(sim_find_run (1, 0) && sim_find_run (1, 1));
       waited_ms += SIM_TICK_MS)
    sim_play (SIM_TICK_MS);
  ck_assert_msg (waited_ms < 2000, "a task had no run for %d ms",
                 (int)waited_ms);
}
END_TEST

/* Guards against a pool that asks for as many hosts as its wave has: hosts
   that were refused one after the other, each after the last request had been
   withdrawn, are lacking together, though at most a third of the pool is asked
   for at a time.  */
START_TEST (test_refusals_in_turn_lack_a_third)
{
  struct placer_demand dem;
  char host[NAME_BYTES];
  sim_add_workers (6);
  sim_play (SIM_SETTLE_MS);
  world_add_job (wld, 1, LASTING ("6", ONE_EACH), 200);
  sim_play (1000);
  for (int n = 0; n < 6; n++)
    {
      struct placer_kept kept;
      snprintf (host, sizeof host, "m-w%d", n);
      sim_vacate (host);
      sim_play (200);
      ck_assert (placer_host_kept (wld->plc, host, &kept));
      placer_vacate (wld->plc, host, 0);
    }
  sim_play (200);
  placer_demand (wld->plc, &dem);
  ck_assert_uint_eq (dem.needed_hosts, 2);
}
END_TEST

/* The host manager.  */

#define S ((int64_t)1000000)

static struct host_mgr mgr;
static void *ctx;
static int64_t now_us;
static struct host_report reps[16];
static size_t rep_count;
static uint64_t next_offset;

static void
on_vacate (void *arg, struct mgr_host *host, int64_t grace_ms)
{
  host->request_offset = ++next_offset;
}

static void
on_withdraw (void *arg, struct mgr_host *host)
{
}

static void
on_vacate_over (void *arg, const struct mgr_host *host, const char *reason,
                const char *kept_for, int64_t after_us)
{
}

static void
on_order (void *arg, struct mgr_host *host)
{
}

static void
on_wave (void *arg, struct mgr_wave *wave)
{
}

static struct pool_config pools[]
    = { { .name = "p" }, { .name = "q" }, { .name = "spare", .spare = true } };
static const struct catalog cat = { .pools = pools, .pool_count = 3 };

static void
setup_mgr (void)
{
  static const struct host_mgr_ops ops = { .vacate = on_vacate,
                                           .withdraw = on_withdraw,
                                           .vacate_over = on_vacate_over,
                                           .order = on_order,
                                           .wave_state = on_wave };
  ctx = talloc_new (NULL);
  host_mgr_init (&mgr, ctx, &ops);
  mgr.cat = &cat;
  now_us = 100 * S;
  rep_count = 0;
  next_offset = 0;
}

static void
teardown_mgr (void)
{
  host_mgr_fini (&mgr);
  talloc_free (ctx);
}

/* Adds COUNT hosts of POOL to the list, named "a", "b" and so on.  */
static void
add_hosts (const char *pool, size_t count)
{
  for (size_t n = 0; n < count; n++)
    {
      struct host_report *rep = &reps[rep_count];
      *rep = (struct host_report){ .state = HOST_UP };
      rep->name[0] = (char)('a' + rep_count++);
      snprintf (rep->worker, NAME_BYTES, "w-%c", rep->name[0]);
      name_copy (rep->pool, pool);
    }
}

static void
list_hosts (void)
{
  const struct host_list list = { .hosts = reps, .count = rep_count };
  ck_assert_int_eq (host_mgr_set_hosts (&mgr, ctx, &list, now_us), 0);
}

static void
demand (const char *pool, uint32_t needed_hosts)
{
  const struct pool_demand dem = { .pool = pool,
                                   .short_hosts = needed_hosts,
                                   .urgent_hosts = needed_hosts,
                                   .needed_hosts = needed_hosts };
  host_mgr_set_demand (&mgr, &dem, now_us);
}

static void
step (int64_t ms)
{
  now_us += ms * 1000;
  host_mgr_step (&mgr, now_us);
}

/* Guards against a host that was emptied in advance for a wave and stays out
   of use without end: its order waits for another host of the wave, and its
   pool, which has a task without a place, may not take it back.  */
START_TEST (test_emptied_host_of_stopped_wave)
{
  static const char wave[] = "{\"wave\":1,\"machines\":[\"a\",\"e\"],"
                             "\"duration-s\":60,\"cap\":1}";
  add_hosts ("p", 4);
  add_hosts ("q", 4);
  list_hosts ();
  demand ("p", 0);
  demand ("q", 0);
  host_mgr_add_wave (
      &mgr, ctx, wire_decode_wave (ctx, (const uint8_t *)wave, strlen (wave)),
      now_us);
  step (30);
  struct mgr_host *first = host_mgr_find (&mgr, "a");
  struct mgr_host *second = host_mgr_find (&mgr, "e");
  ck_assert_int_eq (first->phase, PHASE_VACATING);
  ck_assert_int_eq (second->phase, PHASE_VACATING);
  host_mgr_host_emptied (&mgr, "a", first->request_offset, now_us);
  step (30);
  ck_assert_int_eq (first->phase, PHASE_ORDERED);
  host_mgr_order_answered (&mgr, first, HOST_ORDER_DONE, now_us);
  host_mgr_host_emptied (&mgr, "e", second->request_offset, now_us);
  /* The host in maintenance is not heard of for 20 s.  */
  reps[0].state = HOST_UNKNOWN;
  for (int n = 0; n < 40; n++)
    {
      list_hosts ();
      demand ("p", 0);
      demand ("q", 1);
      step (500);
    }
  ck_assert_msg (second->phase != PHASE_EMPTY,
                 "the host is empty and out of use for 20 s");
}
END_TEST

/* Guards against a host that a pool gets because it has refused to give up one
   of its own, while the pool that all of this is about gets none: the only
   spare host goes to the pool whose demand was read first.  */
START_TEST (test_refusal_takes_no_spare_host)
{
  add_hosts ("p", 6);
  add_hosts ("q", 2);
  list_hosts ();
  demand ("p", 0);
  demand ("q", 1);
  step (30);
  step (600);
  struct mgr_host *asked = host_mgr_find (&mgr, "a");
  ck_assert_int_eq (asked->phase, PHASE_VACATING);
  ck_assert_str_eq (asked->dest_pool, "q");
  host_mgr_host_refused (&mgr, "a", asked->request_offset, "no_place", now_us);
  /* What the owner of p reports for 10 s after a refusal; all its tasks
     run (test_refused_move_lacks_nothing).  */
  demand ("p", 1);
  add_hosts ("spare", 1);
  list_hosts ();
  step (30);
  const struct mgr_host *spare = host_mgr_find (&mgr, "i");
  ck_assert_int_eq (spare->current_op, OP_MOVE);
  ck_assert_str_eq (spare->dest_pool, "q");
}
END_TEST

/* Guards against the order for a host whose pool uses it: a new owner, whose
   claim the holder reads later than its answer, refuses the request that the
   earlier one has granted, and the order was not sent yet.  */
START_TEST (test_order_after_refusal)
{
  static const char wave[] = "{\"wave\":1,\"machines\":[\"a\",\"e\"],"
                             "\"duration-s\":60,\"cap\":1}";
  add_hosts ("p", 4);
  add_hosts ("q", 4);
  list_hosts ();
  host_mgr_add_wave (
      &mgr, ctx, wire_decode_wave (ctx, (const uint8_t *)wave, strlen (wave)),
      now_us);
  step (30);
  struct mgr_host *first = host_mgr_find (&mgr, "a");
  struct mgr_host *second = host_mgr_find (&mgr, "e");
  host_mgr_host_emptied (&mgr, "a", first->request_offset, now_us);
  step (30);
  host_mgr_order_answered (&mgr, first, HOST_ORDER_DONE, now_us);
  host_mgr_host_emptied (&mgr, "e", second->request_offset, now_us);
  step (30);
  ck_assert_int_eq (second->phase, PHASE_EMPTY);
  host_mgr_host_refused (&mgr, "e", second->request_offset, "task_waits",
                         now_us);
  now_us += 3 * S;
  name_copy (reps[0].worker, "other");
  list_hosts ();
  step (30);
  step (30);
  ck_assert_int_eq (first->phase, PHASE_NONE);
  ck_assert_msg (second->phase != PHASE_ORDERED,
                 "an order for a host that its pool uses");
}
END_TEST

/* Guards against a needed host that is not brought because one that came to
   the pool long ago counts as just arrived: it was asked for by a wave, and
   refused.  */
START_TEST (test_refused_host_has_not_arrived)
{
  static const char wave[] = "{\"wave\":1,\"machines\":[\"e\"],"
                             "\"duration-s\":60,\"cap\":1}";
  add_hosts ("p", 4);
  add_hosts ("spare", 1);
  list_hosts ();
  demand ("p", 1);
  step (30);
  struct mgr_host *moved = host_mgr_find (&mgr, "e");
  step (30);
  ck_assert_int_eq (moved->phase, PHASE_ORDERED);
  host_mgr_order_answered (&mgr, moved, HOST_ORDER_DONE, now_us);
  now_us += 2 * S;
  name_copy (reps[4].pool, "p");
  name_copy (reps[4].worker, "other");
  list_hosts ();
  demand ("p", 0);
  step (30);
  ck_assert_int_eq (moved->phase, PHASE_NONE);
  now_us += 20 * S;
  list_hosts ();
  demand ("p", 0);
  host_mgr_add_wave (
      &mgr, ctx, wire_decode_wave (ctx, (const uint8_t *)wave, strlen (wave)),
      now_us);
  step (30);
  ck_assert_int_eq (moved->phase, PHASE_VACATING);
  host_mgr_host_refused (&mgr, "e", moved->request_offset, "task_waits",
                         now_us);
  add_hosts ("spare", 1);
  list_hosts ();
  demand ("p", 1);
  step (30);
  const struct mgr_host *spare = host_mgr_find (&mgr, "f");
  ck_assert_int_eq (spare->current_op, OP_MOVE);
  ck_assert_str_eq (spare->dest_pool, "p");
}
END_TEST

/* Guards against a pool that counts as lacking a host for 10 s only because
   another one asked for one of its hosts, with all its tasks in place.  */
START_TEST (test_refused_move_lacks_nothing)
{
  struct placer_demand dem;
  struct placer_kept kept;
  sim_add_workers (2);
  sim_play (SIM_SETTLE_MS);
  world_add_job (wld, 1, LASTING ("2", ONE_EACH), 200);
  sim_play (1000);
  sim_vacate ("m-w0");
  placer_vacate_is_move (wld->plc, "m-w0");
  sim_play (200);
  ck_assert (placer_host_kept (wld->plc, "m-w0", &kept));
  placer_vacate (wld->plc, "m-w0", 0);
  sim_play (5000);
  placer_demand (wld->plc, &dem);
  ck_assert_uint_eq (dem.needed_hosts, 0);
}
END_TEST

/* Guards against a pool that asks for a further host because one that it
   lacked has arrived: the request to vacate the host for its move is still in
   force when its worker registers.  */
START_TEST (test_arrived_host_lacks_no_other)
{
  struct placer_demand dem;
  int64_t until_us;
  sim_add_workers (1);
  sim_play (SIM_SETTLE_MS);
  world_add_job (wld, 1, LASTING ("2", ONE_EACH), 200);
  sim_play (1000);
  until_us = wld->clk.now_us + (int64_t)SIM_GRACE_MS * 1000;
  ck_assert (!placer_vacate (wld->plc, "m-w1", until_us));
  sim_play (2000);
  sim_add_worker ("w1", 4000, 8192, NULL);
  /* Until the holder has seen the host in the list.  */
  for (int n = 0; n < 4; n++)
    {
      struct placer_kept kept;
      if (placer_host_kept (wld->plc, "m-w1", &kept))
        placer_vacate (wld->plc, "m-w1", 0);
      else if (n < 2)
        placer_vacate (wld->plc, "m-w1", until_us);
      sim_play (120);
    }
  placer_vacate (wld->plc, "m-w1", 0);
  sim_play (400);
  ck_assert_ptr_nonnull (sim_find_run (1, 0));
  ck_assert_ptr_nonnull (sim_find_run (1, 1));
  placer_demand (wld->plc, &dem);
  ck_assert_uint_eq (dem.needed_hosts, 0);
}
END_TEST

/* Guards against a broken worker that gets batch tasks each second, as a
   perpetual task that fits on no worker shortens its pause.  */
START_TEST (test_pause_beside_task_without_room)
{
  sim_add_workers (2);
  sim_play (SIM_SETTLE_MS);
  int64_t until_us = wld->clk.now_us + 20 * (int64_t)1000000;
  sim_find_worker ("w1")->failing_until_us = until_us;
  world_add_job (wld, 1, LASTING ("1", "\"cpu\":9000"), 200);
  sim_play (400);
  ck_assert_int_eq (sim_find_worker ("w1")->failing_until_us, until_us);
}
END_TEST

/* Guards against a task that is started on a host whose order may be under
   way: an earlier owner has reported it as empty, and the leases of that owner
   have ended before the new one begins, so that its takeover is complete
   before it is told of the request.  */
START_TEST (test_told_by_earlier_owner)
{
  struct placer_vacated vac;
  struct placer_kept kept;
  sim_add_workers (2);
  sim_play (SIM_SETTLE_MS);
  use_only ("w0");
  world_add_job (wld, 1, LASTING ("1", "\"cpu\":4000"), 120);
  sim_play (400);
  use_only ("");
  sim_vacate ("m-w1");
  sim_play (1000);
  ck_assert (placer_host_empty (wld->plc, "m-w1", &vac));
  world_take_over (wld, 8, 150);
  wld->call_count = 0;
  placer_limit_earlier_leases (wld->plc, wld->clk.now_us);
  sim_add_workers (2);
  /* As node/placer_timer.c does: a tick, and then the requests.  */
  sim_play (SIM_TICK_MS);
  ck_assert (placer_takeover_done (wld->plc));
  sim_vacate ("m-w1");
  world_add_job (wld, 9, LASTING ("1", "\"cpu\":4000"), 300);
  sim_play (2000);
  ck_assert (!placer_host_kept (wld->plc, "m-w1", &kept));
  ck_assert (!sim_find_run (9, 0)
             || strcmp (sim_find_run (9, 0)->worker, "w1") != 0);
}
END_TEST

/* Guards against a host that is reported as empty while a task waits that
   could run there since its last run has ended: places are planned each 100 ms
   only. The index is the number of ticks between the request and the loss of
   the task's worker.  */
START_TEST (test_freed_host_beside_waiting_task)
{
  struct placer_vacated vac;
  int64_t waited_ms = 0;
  bool told = false;
  sim_add_workers (3);
  sim_play (SIM_SETTLE_MS);
  use_only ("w0");
  world_add_job (wld, 1, LASTING ("1", "\"cpu\":3000"), 200);
  sim_play (400);
  use_only ("w1");
  world_add_job (wld, 2, LASTING ("1", "\"cpu\":3000"), 201);
  sim_play (400);
  use_only ("");
  sim_vacate ("m-w0");
  for (int n = 0; n < _i; n++)
    sim_play (SIM_TICK_MS);
  sim_find_worker ("w1")->rep.draining = true;
  sim_end_run (sim_find_run (2, 0), RUN_END_FAILED);
  const struct task *tsk
      = &job_table_find (&wld->jobs, 2)->occurrences[0].tasks[0];
  /* Whether the owner knew that the task waits when it first took the host for
     empty.  */
  bool known = false;
  for (; waited_ms < 4000; waited_ms += SIM_TICK_MS)
    {
      sim_play (SIM_TICK_MS);
      /* As in node/placer_timer.c: a tick, and then the answers.  */
      world_tick (wld, 0);
      if (told || !placer_host_empty (wld->plc, "m-w0", &vac))
        continue;
      told = true;
      known = !tsk->run;
    }
  ck_assert_msg (!told || !known || sim_find_run (2, 0),
                 "the host was reported as empty while the task waited");
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("placer");
  tcase_add_checked_fixture (tc, sim_setup, sim_teardown);
  tcase_add_test (tc, test_reservation_and_missing_sibling);
  tcase_add_test (tc, test_refusals_in_turn_lack_a_third);
  tcase_add_test (tc, test_refused_move_lacks_nothing);
  tcase_add_test (tc, test_arrived_host_lacks_no_other);
  tcase_add_test (tc, test_pause_beside_task_without_room);
  tcase_add_test (tc, test_told_by_earlier_owner);
  tcase_add_loop_test (tc, test_freed_host_beside_waiting_task, 0, 8);
  TCase *fleet = tcase_create ("host_mgr");
  tcase_add_checked_fixture (fleet, setup_mgr, teardown_mgr);
  tcase_add_test (fleet, test_emptied_host_of_stopped_wave);
  tcase_add_test (fleet, test_refusal_takes_no_spare_host);
  tcase_add_test (fleet, test_order_after_refusal);
  tcase_add_test (fleet, test_refused_host_has_not_arrived);
  Suite *suite = suite_create ("vacating");
  suite_add_tcase (suite, tc);
  suite_add_tcase (suite, fleet);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed > 0;
}
