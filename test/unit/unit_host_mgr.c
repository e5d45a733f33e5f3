#include <check.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "fleet/host_mgr.h"
#include "platform/wire_decode.h"

#define S 1000000

static struct host_mgr mgr;
static void *ctx;
static int64_t now_us;
static struct mgr_host *ordered[64];
static size_t order_count;
static char vacated[256];
static char withdrawn[256];
static int completed;

static void
append (char text[256], const char *more)
{
  size_t len = strlen (text);
  snprintf (text + len, 256 - len, "%s", more);
}

static void
on_vacate (void *arg, struct mgr_host *host, int64_t grace_ms)
{
  append (vacated, host->rep.name);
  host->request_offset = 1;
}

static void
on_withdraw (void *arg, struct mgr_host *host)
{
  append (withdrawn, host->rep.name);
  /* "!": the order had been carried out.  */
  if (host->phase == PHASE_AWAITING_WORKER)
    append (withdrawn, "!");
}

static void
on_vacate_over (void *arg, const struct mgr_host *host, const char *reason,
                const char *kept_for, int64_t after_us)
{
}

static void
on_order (void *arg, struct mgr_host *host)
{
  ordered[order_count++] = host;
}

static void
on_wave (void *arg, struct mgr_wave *wave)
{
  completed += wave->completed;
}

static struct pool_config pools[]
    = { { .name = "p" }, { .name = "q" }, { .name = "spare", .spare = true } };
static const struct catalog cat = { .pools = pools, .pool_count = 3 };

static void
setup (void)
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
  order_count = 0;
  vacated[0] = withdrawn[0] = '\0';
  completed = 0;
}

static void
teardown (void)
{
  host_mgr_fini (&mgr);
  talloc_free (ctx);
}

/* Sets the platform's list of hosts.  Each letter of P, Q and SPARE names a
   host in the pool of that name; an upper-case letter stands for the same host
   with a new worker.  */
static void
list_hosts (const char *p, const char *q, const char *spare)
{
  struct host_report reps[32];
  size_t count = 0;
  const char *const names[] = { p, q, spare };
  for (size_t n = 0; n < 3; n++)
    for (const char *chr = names[n]; *chr; chr++)
      {
        struct host_report *rep = &reps[count++];
        *rep = (struct host_report){ .state = HOST_UP };
        rep->name[0] = (char)(*chr | 32);
        snprintf (rep->worker, NAME_BYTES, "w-%c", *chr);
        name_copy (rep->pool, pools[n].name);
      }
  const struct host_list lst = { .hosts = reps, .count = count };
  ck_assert_int_eq (host_mgr_set_hosts (&mgr, ctx, &lst, now_us), 0);
}

static void
urgent_demand (const char *pool, uint32_t short_hosts, uint32_t urgent_hosts,
               const char *idle)
{
  size_t count = strlen (idle);
  char (*names)[NAME_BYTES]
      = talloc_zero_size (ctx, (count + 1) * sizeof *names);
  for (size_t n = 0; n < count; n++)
    names[n][0] = idle[n];
  const struct pool_demand dem = { .pool = pool,
                                   .short_hosts = short_hosts,
                                   .urgent_hosts = urgent_hosts,
                                   .idle = names,
                                   .idle_count = count };
  host_mgr_set_demand (&mgr, &dem, now_us);
}

/* Of a pool all of whose work can be done in time.  */
static void
demand (const char *pool, uint32_t short_hosts, const char *idle)
{
  urgent_demand (pool, short_hosts, short_hosts, idle);
}

static void
wave (const char *json)
{
  host_mgr_add_wave (
      &mgr, ctx, wire_decode_wave (ctx, (const uint8_t *)json, strlen (json)),
      now_us);
}

static void
step (int64_t ms)
{
  now_us += ms * 1000;
  host_mgr_step (&mgr, now_us);
}

static void
host_emptied (const char *host)
{
  host_mgr_host_emptied (&mgr, host, 1, now_us);
}

/* Guards against more hosts of a wave down at the same time than it allows,
   including those whose order has no answer, and against a wave that is
   reported as completed too early.  */
START_TEST (test_wave_bound)
{
  list_hosts ("abcdefghi", "", "");
  wave (
      "{\"wave\":1,\"machines\":[\"a\",\"b\",\"c\",\"zz\"],\"duration-s\":20,"
      "\"cap\":1}");
  step (10);
  ck_assert_str_eq (vacated, "abc");
  host_emptied ("a");
  host_emptied ("b");
  step (10);
  ck_assert_uint_eq (order_count, 1);
  host_mgr_order_answered (&mgr, ordered[0], HOST_ORDER_UNKNOWN, now_us);
  step (10);
  ck_assert_uint_eq (order_count, 1);
  step (400);
  ck_assert_uint_eq (order_count, 2);
  ck_assert_ptr_eq (ordered[1], ordered[0]);
  host_mgr_order_answered (&mgr, ordered[1], HOST_ORDER_DONE, now_us);
  step (10);
  ck_assert_uint_eq (order_count, 2);
  now_us += 2 * S;
  list_hosts ("Abcdefghi", "", "");
  step (10);
  step (10);
  ck_assert_uint_eq (order_count, 3);
  ck_assert_str_eq (ordered[2]->rep.name, "b");
  host_mgr_order_answered (&mgr, ordered[2], HOST_ORDER_DONE, now_us);
  ck_assert_int_eq (completed, 0);
  now_us += 2 * S;
  list_hosts ("ABcdefghi", "", "");
  step (10);
  host_emptied ("c");
  step (10);
  host_mgr_order_answered (&mgr, ordered[3], HOST_ORDER_DONE, now_us);
  step (10);
  ck_assert_int_eq (completed, 1);
}
END_TEST

/* Guards against repeated maintenance of a host after a change of the duty's
   holder: the new holder may read the recorded progress before the wave.  */
START_TEST (test_earlier_progress)
{
  list_hosts ("abcdefghi", "", "");
  host_mgr_add_progress (&mgr, ctx, 1, "a");
  host_mgr_add_progress (&mgr, ctx, 1, "b");
  host_mgr_add_progress (&mgr, ctx, 2, "c");
  wave ("{\"wave\":1,\"machines\":[\"a\",\"b\",\"c\"],\"duration-s\":20,"
        "\"cap\":3}");
  step (10);
  ck_assert_str_eq (vacated, "c");
}
END_TEST

/* Guards against more hosts of a wave down than it allows (LIMIT): the list
   that a new holder of the duty reads first does not show yet that an earlier
   one has ordered maintenance.  */
START_TEST (test_list_older_than_holder)
{
  mgr.maintenance_listed_from_us = now_us + S;
  list_hosts ("", "", "ab");
  host_mgr_add_progress (&mgr, ctx, 1, "a");
  wave ("{\"wave\":1,\"machines\":[\"a\",\"b\"],\"duration-s\":20,"
        "\"cap\":1}");
  step (10);
  step (10);
  ck_assert_uint_eq (order_count, 0);
  step (1000);
  ck_assert_uint_eq (order_count, 0);
  list_hosts ("", "", "ab");
  step (10);
  ck_assert_uint_eq (order_count, 1);
  ck_assert_str_eq (ordered[0]->rep.name, "b");
}
END_TEST

static const struct shortage
{
  /* Hosts that the pools p and q are short of, and those of them for work that
     can be done in time.  */
  uint32_t p_short, p_urgent, q_short, q_urgent;
  const char *vacated; /* of p's hosts, which all do batch work */
} shortages[] = {
  { 40, 0, 2, 2, "ab" }, /* q's work can be done in time, p's not */
  { 40, 0, 9, 1, "a" },
  { 40, 0, 9, 0, "" }, /* both late: no host is moved back and forth */
  { 40, 1, 9, 9, "" },
  { 0, 0, 2, 0, "ab" },
};

/* Guards against a pool that keeps the fleet for its late work while others
   have work that can be done in time (RECOVER, SHORT): after the loss of all
   processes one pool kept 80 of 130 hosts for jobs from before.  */
START_TEST (test_late_work_gives_way)
{
  const struct shortage *it = &shortages[_i];
  list_hosts ("abcdef", "", "");
  urgent_demand ("p", it->p_short, it->p_urgent, "abc");
  urgent_demand ("q", it->q_short, it->q_urgent, "");
  step (10);
  ck_assert_str_eq (vacated, it->vacated);
  if (it->p_short == 0)
    return;
  /* Hosts with late work do not go to the spare pool.  */
  for (int n = 0; n < 3; n++)
    {
      step (1000);
      urgent_demand ("p", it->p_short, it->p_urgent, "abc");
    }
  ck_assert_str_eq (vacated, it->vacated);
}
END_TEST

/* Guards against an order for a host that is not empty yet.  */
START_TEST (test_order_waits_for_empty)
{
  list_hosts ("abcdef", "", "");
  demand ("p", 0, "a");
  demand ("q", 1, "");
  step (10);
  ck_assert_str_eq (vacated, "a");
  step (1000);
  ck_assert_uint_eq (order_count, 0);
  /* A report that answers another request is ignored.  */
  host_mgr_host_emptied (&mgr, "a", 99, now_us);
  step (10);
  ck_assert_uint_eq (order_count, 0);
  host_emptied ("a");
  step (10);
  ck_assert_uint_eq (order_count, 1);
  ck_assert_str_eq (ordered[0]->dest_pool, "q");
}
END_TEST

/* Guards against an order that ends the tasks of a new owner of the pool: the
   report that the host is empty is from the owner before.  */
START_TEST (test_owner_changed_after_report)
{
  list_hosts ("abcdefghi", "", "");
  wave ("{\"wave\":1,\"machines\":[\"a\",\"b\"],\"duration-s\":20,"
        "\"cap\":1}");
  step (10);
  host_emptied ("a");
  host_emptied ("b");
  step (10);
  ck_assert_uint_eq (order_count, 1);
  host_mgr_owner_changed (&mgr, "q", now_us);
  host_mgr_owner_changed (&mgr, "p", now_us);
  host_mgr_order_answered (&mgr, ordered[0], HOST_ORDER_DONE, now_us);
  now_us += 2 * S;
  list_hosts ("Abcdefghi", "", "");
  step (10);
  step (10);
  ck_assert_uint_eq (order_count, 1);
  host_emptied ("b");
  step (10);
  ck_assert_uint_eq (order_count, 2);
}
END_TEST

/* Guards against a moved host's previous worker that its pool's owner still
   considers usable: when the move is complete, the owner must be told that the
   worker has ended.  */
START_TEST (test_ended_worker)
{
  list_hosts ("abcdef", "", "");
  demand ("p", 0, "a");
  demand ("q", 1, "");
  step (10);
  host_emptied ("a");
  step (10);
  host_mgr_order_answered (&mgr, ordered[0], HOST_ORDER_DONE, now_us);
  now_us += 2 * S;
  demand ("q", 0, "");
  list_hosts ("bcdef", "A", "");
  step (10);
  ck_assert_str_eq (withdrawn, "a!");
}
END_TEST

/* Guards against two moves where one is enough: a host that is about to move
   to the spare pool goes to a pool that is short of hosts instead, and a host
   that has just become idle does not move to the spare pool immediately.  */
START_TEST (test_direct_moves)
{
  list_hosts ("abcdef", "", "");
  demand ("p", 0, "ab");
  step (10);
  ck_assert_str_eq (vacated, "");
  now_us += S;
  demand ("p", 0, "ab");
  step (600);
  ck_assert_str_eq (vacated, "ab");
  ck_assert_str_eq (host_mgr_find (&mgr, "a")->dest_pool, "spare");
  demand ("q", 1, "");
  step (10);
  ck_assert_str_eq (host_mgr_find (&mgr, "a")->dest_pool, "q");
  ck_assert_str_eq (host_mgr_find (&mgr, "b")->dest_pool, "spare");
  ck_assert_str_eq (vacated, "ab");
}
END_TEST

/* Guards against a pool that gets more hosts than it is short of, and against
   one that gets the hosts of a pool that is short itself.  */
START_TEST (test_move_counts)
{
  list_hosts ("abc", "", "xyz");
  demand ("p", 1, "ab");
  demand ("q", 2, "");
  step (10);
  step (10);
  ck_assert_uint_eq (order_count, 3);
  ck_assert_str_eq (vacated, "");
}
END_TEST

/* Guards against moves on a demand that its pool may no longer have.  */
START_TEST (test_old_demand)
{
  list_hosts ("", "", "xyz");
  demand ("q", 2, "");
  now_us += 4 * S + 1;
  list_hosts ("", "", "xyz");
  step (0);
  ck_assert_uint_eq (order_count, 0);
  demand ("q", 2, "");
  step (0);
  step (0);
  ck_assert_uint_eq (order_count, 2);
}
END_TEST

/* Guards against a wave that takes hosts while pools are short of them
   although most of its duration is left, and against a wave that is late
   because it waited for them.  */
START_TEST (test_wave_waits)
{
  list_hosts ("abcdefghi", "", "");
  demand ("q", 5, "");
  wave (
      "{\"wave\":1,\"machines\":[\"a\",\"b\",\"c\",\"d\"],\"duration-s\":100,"
      "\"cap\":4}");
  step (10);
  ck_assert_str_eq (vacated, "");
  step (80000);
  ck_assert_uint_gt (strlen (vacated), 1);
}
END_TEST

/* Guards against a wave that is reported as completed, or that takes more
   hosts down than it allows, while entries of the list cannot be read.  */
START_TEST (test_unreadable_hosts)
{
  const struct host_report unknown = { .name = "a", .state = HOST_UNKNOWN };
  const struct host_list without = { .incomplete = true };
  const struct host_list with
      = { .hosts = &unknown, .count = 1, .incomplete = true };
  list_hosts ("abcdefgh", "", "");
  wave ("{\"wave\":3,\"machines\":[\"a\",\"b\"],\"cap\":1,"
        "\"duration-s\":20}");
  ck_assert_int_eq (host_mgr_set_hosts (&mgr, ctx, &without, now_us), 0);
  step (10);
  ck_assert_int_eq (completed, 0);
  ck_assert_str_eq (vacated, "ab");
  ck_assert_int_eq (host_mgr_set_hosts (&mgr, ctx, &with, now_us), 0);
  ck_assert_str_eq (host_mgr_find (&mgr, "a")->rep.pool, "p");
  host_emptied ("b");
  step (10);
  ck_assert_uint_eq (order_count, 0);
  list_hosts ("abcdefgh", "", "");
  step (10);
  ck_assert_uint_eq (order_count, 1);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("host_mgr");
  TCase *tc = tcase_create ("host_mgr");
  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_add_test (tc, test_wave_bound);
  tcase_add_test (tc, test_earlier_progress);
  tcase_add_test (tc, test_list_older_than_holder);
  tcase_add_loop_test (tc, test_late_work_gives_way, 0,
                       sizeof shortages / sizeof *shortages);
  tcase_add_test (tc, test_order_waits_for_empty);
  tcase_add_test (tc, test_owner_changed_after_report);
  tcase_add_test (tc, test_ended_worker);
  tcase_add_test (tc, test_direct_moves);
  tcase_add_test (tc, test_move_counts);
  tcase_add_test (tc, test_old_demand);
  tcase_add_test (tc, test_wave_waits);
  tcase_add_test (tc, test_unreadable_hosts);
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed != 0;
}
