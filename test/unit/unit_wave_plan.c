#include <check.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "state/host_list.h"
#include "table/table.h"
#include "wave/wave_codec.h"

#define ROWS(table) (int)(sizeof (table) / sizeof *(table))
#define NOW_MS 100000000
#define HOSTS_MAX 32

static void *ctx;
static struct wave_fold fold;
static struct wave_fleet *fleet;
static struct wave_plan *plan;
static const struct wave_plan_settings *set = &wave_plan_settings_default;

/* Each letter of HOSTS is a host: '.' in service, 'x' out of service by the
   host list, 'd' draining, 'r' rebooting, 'l' rebooting and late, 'f' failed,
   'b' back.  Data centres are separated by '/', racks by ' '.  */
struct layout
{
  const char *hosts;
  uint32_t budget_pct;
  uint32_t most_out;
};

static enum wave_step
step_of (char letter)
{
  switch (letter)
    {
    case 'd':
      return WAVE_DRAINING;
    case 'r':
    case 'l':
      return WAVE_REBOOTING;
    case 'f':
      return WAVE_FAILED;
    case 'b':
      return WAVE_BACK;
    default:
      return WAVE_WAITING;
    }
}

static void
build_fleet (const struct layout *lay, struct host *hosts, size_t count)
{
  struct host_list list = { .hosts = hosts, .count = count };
  struct table *tab = table_create (ctx);
  struct table_row row;
  table_row_init (&row, TABLE_POOL, "p");
  row.pool.availability_budget_pct = lay->budget_pct;
  ck_assert_int_eq (table_add (tab, &row), 0);
  ck_assert_int_eq (wave_fleet_build (ctx, &list, tab, NULL, NULL, &fleet), 0);
}

static void
build (const struct layout *lay)
{
  struct host hosts[HOSTS_MAX] = { 0 };
  struct wave_new_host names[HOSTS_MAX];
  char letters[HOSTS_MAX];
  size_t count = 0;
  int centre = 0;
  int rack = 0;
  ctx = talloc_new (NULL);
  ck_assert_int_eq (wave_fold_init (&fold, ctx), 0);
  for (const char *p = lay->hosts; *p; p++)
    {
      struct host *host = &hosts[count];
      centre += *p == '/';
      rack += *p == '/' || *p == ' ';
      if (*p == '/' || *p == ' ')
        continue;
      letters[count] = *p;
      snprintf (host->name, sizeof host->name, "h%02zu", count);
      snprintf (host->data_centre, sizeof host->data_centre, "%c",
                'a' + centre);
      snprintf (host->rack, sizeof host->rack, "r%d", rack);
      snprintf (host->initial_pool, sizeof host->initial_pool, "p");
      host->state = strchr (".b", *p) ? HOST_LIVE : HOST_DOWN;
      names[count++] = (struct wave_new_host){ host->name, host->data_centre };
    }
  build_fleet (lay, hosts, count);
  const struct wave_record rec = { .type = WAVE_RECORD_CREATE,
                                   .id = "w",
                                   .editor = "ana",
                                   .most_out = lay->most_out,
                                   .hosts = names,
                                   .host_count = count };
  enum wave_effect effect;
  ck_assert_int_eq (
      wave_fold_record (&fold, 0, NOW_MS - 400000, &rec, &effect), 0);
  struct wave *wv = wave_find (&fold, "w");
  for (size_t n = 0; n < count; n++)
    {
      struct wave_host *wh = &wv->hosts[n];
      wv->hosts_in_step[WAVE_WAITING]--;
      wh->step = step_of (letters[n]);
      wh->reason = letters[n] == 'f' ? WAVE_REASON_NO_RETURN : 0;
      wh->since_ms
          = NOW_MS - (letters[n] == 'l' ? set->late_after_ms + 1 : 1000);
      wv->hosts_in_step[wh->step]++;
    }
  /* All data centres have a planner.  */
  for (uint32_t n = 0; n < fold.lease_count; n++)
    {
      fold.leases[n].granted = true;
      fold.leases[n].expires_ms = NOW_MS + 1000;
    }
}

static struct wave_plan_input
input (const char *data_centre, int64_t now_ms)
{
  return (struct wave_plan_input){ set, &fold, fleet, data_centre, now_ms };
}

static const struct
{
  struct layout lay;
  const char *started_a; /* hosts that the planner of "a" starts */
  const char *started_b;
  enum wave_reason halt;
  enum wave_wait wait; /* expected wait reason of "a"; WAVE_WAIT_NONE: any */
} plans[] = {
  /* Budgets, rounded in favour of the hosts in service.  */
  { { "....", 75, 0 }, "h00", "", 0, 0 },
  { { "....", 76, 0 }, "", "", 0, WAVE_WAIT_BUDGET },
  { { ".... ....", 75, 0 }, "h00 h04", "", 0, 0 },
  { { ".... ....", 0, 0 }, "h00 h01 h04 h05", "", 0, 0 },
  { { ".... ....", 100, 0 }, "", "", 0, WAVE_WAIT_BUDGET },
  /* Failures count against the budget, as do hosts in maintenance.  */
  { { "x... ....", 75, 0 }, "h04", "", 0, 0 },
  { { "x..x ....", 75, 0 }, "", "", 0, WAVE_WAIT_BUDGET },
  { { "d... ....", 75, 0 }, "h04", "", 0, 0 },
  { { "d... r...", 75, 0 }, "", "", 0, WAVE_WAIT_BUDGET },
  { { "f... ....", 75, 0 }, "h04", "", 0, 0 },
  { { "bbbb b..b", 75, 0 }, "h05 h06", "", 0, 0 },
  /* The limit set for the wave.  */
  { { ".... ....", 50, 1 }, "h00", "", 0, 0 },
  { { "d... ....", 50, 1 }, "", "", 0, 0 },
  /* At most half of a rack, and no host of a rack that lost several.  */
  { { "........", 0, 0 }, "h00 h01 h02 h03", "", 0, 0 },
  { { "xx.. ....", 0, 0 }, "h04 h05", "", 0, WAVE_WAIT_RACK },
  /* Late hosts stop further starts; failed hosts halt the wave.  */
  { { "l... ....", 0, 0 }, "h01 h04 h05", "", 0, 0 },
  { { "l... l...", 0, 0 }, "", "", 0, WAVE_WAIT_LATE },
  { { "f... f...", 0, 0 }, "h01 h02 h05 h06", "", 0, 0 },
  { { "ff.. ....", 0, 0 }, "", "", WAVE_REASON_RACK_LOST, 0 },
  { { "f... f... f...", 0, 0 }, "", "", WAVE_REASON_SEVERAL_LOST, 0 },
  /* A budget shared by two data centres is not exceeded.  The one with more
     rounds to go has precedence.  */
  { { "......./...", 80, 0 }, "h00", "h07", 0, 0 },
  { { "bbbbbb./...", 90, 0 }, "", "h07", 0, WAVE_WAIT_SHARE },
  { { "..../....", 80, 0 }, "h00", "", 0, 0 },
  { { "d.../....", 80, 0 }, "", "", 0, WAVE_WAIT_BUDGET },
  { { "..../....", 75, 0 }, "h00", "h04", 0, 0 },
};

static void
check_starts (const char *data_centre, const char *expected)
{
  struct wave_plan_input in = input (data_centre, NOW_MS);
  char text[256] = "";
  size_t len = 0;
  /* A recent step of the pool, so that quota_timeout_ms has not passed.  */
  fold.pools[0] = (struct wave_pool_state){ "p", 1, NOW_MS - 1000 };
  fold.pool_count = 1;
  ck_assert_int_eq (wave_plan_make (ctx, &in, 64, &plan), 0);
  for (size_t n = 0; n < plan->step_count; n++)
    {
      ck_assert_int_eq (plan->steps[n].step, WAVE_DRAINING);
      ck_assert_uint_eq (plan->steps[n].pool_generation, 1);
    }
  for (uint32_t n = 0; n < fleet->host_count; n++)
    if (plan->availability[n] == FLEET_TO_DRAIN)
      len += (size_t)snprintf (text + len, sizeof text - len, "%s%s",
                               len ? " " : "", fleet->hosts[n].name);
  ck_assert_str_eq (text, expected);
}

/* Guards against plans that together exceed a budget, that use less than it
   allows, or that continue a wave that loses hosts.  */
START_TEST (test_plan)
{
  build (&plans[_i].lay);
  check_starts ("a", plans[_i].started_a);
  if (plans[_i].wait != WAVE_WAIT_NONE)
    ck_assert_int_eq (plan->wait, plans[_i].wait);
  ck_assert_uint_eq (plan->halt_count, plans[_i].halt != 0);
  if (plan->halt_count)
    ck_assert_int_eq (plan->halts[0].reason, plans[_i].halt);
  if (*plans[_i].started_b)
    check_starts ("b", plans[_i].started_b);
  talloc_free (ctx);
}
END_TEST

/* Guards against a part of the budget that stays unused because it was given
   to a data centre that cannot use it.  */
START_TEST (test_quota_timeout)
{
  const struct layout lay = { "bbbbbb./...", 90, 0 };
  build (&lay);
  struct wave_plan_input in = input ("a", NOW_MS);
  fold.pools[0]
      = (struct wave_pool_state){ "p", 1, NOW_MS - set->quota_timeout_ms };
  fold.pool_count = 1;
  ck_assert_int_eq (wave_plan_make (ctx, &in, 64, &plan), 0);
  ck_assert_uint_eq (plan->step_count, 0);
  in.now_ms++;
  ck_assert_int_eq (wave_plan_make (ctx, &in, 64, &plan), 0);
  ck_assert_uint_eq (plan->step_count, 1);
  talloc_free (ctx);
}
END_TEST

static bool
none_drained (void *arg, const char *wave, const char *host)
{
  return false;
}

/* Guards against a recorded drain that is done although a host failed since,
   and against two such hosts that wait for each other.  */
START_TEST (test_may_drain)
{
  const struct layout lay = { "dd..x ...", 75, 0 };
  build (&lay);
  /* Neither host is drained yet.  */
  fleet->hosts[0].live = fleet->hosts[1].live = true;
  struct wave_plan_input in = input ("a", NOW_MS);
  ck_assert_int_eq (wave_plan_make (ctx, &in, 64, &plan), 0);
  ck_assert (wave_plan_may_drain (&in, plan, "h00", none_drained, NULL));
  ck_assert (!wave_plan_may_drain (&in, plan, "h01", none_drained, NULL));
  ck_assert (!wave_plan_may_drain (&in, plan, "h02", none_drained, NULL));
  talloc_free (ctx);
}
END_TEST

#define LIVE HOST_ACTUAL_LIVE
#define DOWN HOST_ACTUAL_DOWN
#define LEAVING HOST_ACTUAL_LEAVING
static const struct
{
  enum wave_step step;
  struct wave_observation obs;
  int64_t elapsed_ms;
  bool cancelled;
  bool may_drain;
  struct wave_decision expected;
} decisions[] = {
  { WAVE_DRAINING, { 0 }, 0, false, true, { .action = WAVE_ACTION_OPERATE } },
  { WAVE_DRAINING, { 0 }, 0, false, false, { .action = WAVE_ACTION_WAIT } },
  /* A host that was not drained is not rebooted after the time limit
     either.  */
  { WAVE_DRAINING,
    { 0 },
    700000,
    false,
    false,
    { .action = WAVE_ACTION_WAIT } },
  { WAVE_DRAINING,
    { .done = true },
    0,
    false,
    true,
    { .action = WAVE_ACTION_HEALTH } },
  { WAVE_DRAINING,
    { .done = true, .has_health = true, .slots_in_use = 1 },
    0,
    false,
    true,
    { .action = WAVE_ACTION_HEALTH } },
  { WAVE_DRAINING,
    { .done = true, .has_health = true, .slots_in_use = 0 },
    0,
    false,
    true,
    { WAVE_ACTION_RECORD, WAVE_REBOOTING, 0 } },
  { WAVE_DRAINING,
    { .done = true, .slots_in_use = -1 },
    600000,
    false,
    true,
    { WAVE_ACTION_RECORD, WAVE_REBOOTING, 0 } },
  { WAVE_DRAINING,
    { .refused = true },
    0,
    false,
    true,
    { WAVE_ACTION_RECORD, WAVE_FAILED, WAVE_REASON_REFUSED } },
  { WAVE_DRAINING,
    { 0 },
    0,
    true,
    true,
    { WAVE_ACTION_RECORD, WAVE_CHECKING, WAVE_REASON_CANCELLED } },
  { WAVE_DRAINING,
    { .unresolved = true },
    0,
    true,
    true,
    { .action = WAVE_ACTION_OPERATE } },
  { WAVE_REBOOTING, { 0 }, 0, true, true, { .action = WAVE_ACTION_OPERATE } },
  /* A state from before the reboot is ignored.  */
  { WAVE_REBOOTING,
    { .state = LIVE },
    0,
    false,
    true,
    { .action = WAVE_ACTION_OPERATE } },
  { WAVE_REBOOTING,
    { .done = true, .state = DOWN },
    0,
    false,
    true,
    { .action = WAVE_ACTION_GET } },
  { WAVE_REBOOTING,
    { .done = true, .state = LEAVING },
    0,
    false,
    true,
    { WAVE_ACTION_RECORD, WAVE_CHECKING, 0 } },
  { WAVE_REBOOTING,
    { .done = true, .state = DOWN },
    900000,
    false,
    true,
    { .action = WAVE_ACTION_GET } },
  { WAVE_REBOOTING,
    { .done = true, .state = DOWN, .late_results = 5 },
    900000,
    false,
    true,
    { WAVE_ACTION_RECORD, WAVE_FAILED, WAVE_REASON_NO_RETURN } },
  { WAVE_CHECKING, { 0 }, 0, false, true, { .action = WAVE_ACTION_OPERATE } },
  { WAVE_CHECKING,
    { .done = true },
    0,
    false,
    true,
    { .action = WAVE_ACTION_GET } },
  { WAVE_CHECKING,
    { .done = true, .state = LIVE },
    0,
    false,
    true,
    { .action = WAVE_ACTION_HEALTH } },
  { WAVE_CHECKING,
    { .done = true, .state = LIVE, .has_health = true, .healthy = true },
    0,
    false,
    true,
    { WAVE_ACTION_RECORD, WAVE_BACK, 0 } },
  { WAVE_CHECKING,
    { .done = true, .state = LIVE, .has_health = true, .late_results = 5 },
    300000,
    false,
    true,
    { WAVE_ACTION_RECORD, WAVE_FAILED, WAVE_REASON_NOT_HEALTHY } },
};

/* Guards against a host that is rebooted with work, is taken as back before it
   is in service, or is polled without end.  */
START_TEST (test_step_next)
{
  const struct wave wv
      = { .state = decisions[_i].cancelled ? WAVE_CANCELLED : WAVE_RUNNING };
  const struct wave_host wh = { .step = decisions[_i].step };
  struct wave_decision dec
      = wave_step_next (set, &wv, &wh, &decisions[_i].obs,
                        decisions[_i].elapsed_ms, decisions[_i].may_drain);
  ck_assert_int_eq (dec.action, decisions[_i].expected.action);
  ck_assert_int_eq (dec.step, decisions[_i].expected.step);
  ck_assert_int_eq (dec.reason, decisions[_i].expected.reason);
}
END_TEST

/* Guards against two reboots of a host in one wave under different ids, and
   against a second drain under the id of the first, which the platform would
   not run.  */
START_TEST (test_operation_id)
{
  const struct wave wv = { .id = "w", .offset = 7 };
  struct wave_host wh = { .name = "h", .step = WAVE_REBOOTING, .attempt = 2 };
  char one[HOST_OPERATION_ID_MAX_BYTES + 1];
  char two[HOST_OPERATION_ID_MAX_BYTES + 1];
  wave_operation_id (&wv, &wh, one);
  wh.generation = wh.attempt = 9;
  wave_operation_id (&wv, &wh, two);
  ck_assert_str_eq (one, "w/7/h/reboot/0");
  ck_assert_str_eq (one, two);
  wh.step = WAVE_DRAINING;
  wave_operation_id (&wv, &wh, two);
  ck_assert_str_eq (two, "w/7/h/drain/9");
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("wave_plan");
  TCase *tc = tcase_create ("wave_plan");
  tcase_add_loop_test (tc, test_plan, 0, ROWS (plans));
  tcase_add_test (tc, test_quota_timeout);
  tcase_add_test (tc, test_may_drain);
  tcase_add_loop_test (tc, test_step_next, 0, ROWS (decisions));
  tcase_add_test (tc, test_operation_id);
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed != 0;
}
