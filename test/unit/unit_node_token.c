#include <check.h>
#include <stdio.h>
#include <string.h>

#include "node_world.h"
#include "sched/placer_priv.h"

/* Tests of the ranges of fencing tokens that claims of duties reserve.  */

#define CASE_STEPS 5
/* As the store counts a record: four bytes of length, one of the key's.  */
#define RECORD_OVERHEAD_BYTES 5
/* A claim is read by each process that may hold duties.  */
#define RESERVED_BYTES_MAX 400

static struct node_world wld;

static void
on_append (void *arg, const struct topic_append_result *res)
{
  ck_assert_int_eq (res->status, TOPIC_APPENDED);
}

/* Creates a process that claims no duty by itself.  */
static void
setup (void)
{
  node_world_create (&wld, true);
  wld.nod->started_us = INT64_MAX / 2;
  node_world_run (&wld, 100);
}

static void
teardown (void)
{
  node_world_fini (&wld);
}

/* Appends a record as this version does.  */
static void
append_here (const struct duty_claim *claims, size_t count)
{
  ck_assert_int_eq (duty_record_append (wld.nod, claims, count, on_append), 0);
  node_world_run (&wld, 60);
}

static void
append (char kind)
{
  const struct duty *dty = duty_find (&wld.nod->duties, "p");
  struct duty_claim rec = { .name = "p", .holder = "n2", .boot = 1 };
  switch (kind)
    {
    case 'n': /* a claim of this version */
      rec.token_count = TOKENS_RESERVED;
      append_here (&rec, 1);
      break;
    case 'r': /* a release of this version */
      rec.released = true;
      rec.released_token = dty->token;
      append_here (&rec, 1);
      break;
    case 'f': /* a claim of the fleet duty */
      rec.name = DUTY_FLEET;
      rec.token_count = 1;
      append_here (&rec, 1);
      break;
    default: /* a claim or a release of an earlier version */
      node_world_claim (&wld, "p", "n2", 1, kind == 'R');
      node_world_run (&wld, 60);
      break;
    }
}

/* Guards against two owners with a token in common: a worker that has seen it
   from one carries out the commands of the other (TWICE).  */
START_TEST (test_ranges_of_claims)
{
  static const char *const cases[] = {
    "nn",  "no",  "on",  "oo",  "nrn", "nRn", "nro",   "oRn",
    "orn", "nfn", "fnn", "nnn", "non", "ono", "nnono",
  };
  uint64_t end = 0; /* of the range of the last claim of the pool */
  const char *kinds = cases[_i];
  ck_assert_uint_le (strlen (kinds), CASE_STEPS);
  for (size_t n = 0; kinds[n]; n++)
    {
      append (kinds[n]);
      const struct duty *dty = duty_find (&wld.nod->duties, "p");
      if (kinds[n] == 'f')
        continue;
      ck_assert_ptr_nonnull (dty);
      ck_assert_msg (dty->token >= end, "%s, step %d: token %d, before %d",
                     kinds, (int)n, (int)dty->token, (int)end);
      uint32_t count = kinds[n] == 'n' ? TOKENS_RESERVED : 0;
      ck_assert_uint_eq (dty->token_count, count);
      end = dty->token + (count ? count : 1);
    }
}
END_TEST

/* Guards against claims of two duties in one append of which one reserves too
   few tokens.  */
START_TEST (test_range_of_claims_together)
{
  const struct duty_claim claims[]
      = { { .name = "p", .holder = "n2", .boot = 1, .token_count = 64 },
          { .name = "q", .holder = "n2", .boot = 1, .token_count = 64 },
          { .name = "s", .holder = "n2", .boot = 1, .token_count = 1 } };
  append_here (claims, 3);
  ck_assert_uint_ge (wld.duties->end,
                     duty_find (&wld.nod->duties, "q")->token + 63);
  ck_assert_uint_eq (duty_find (&wld.nod->duties, "s")->token_count, 1);
}
END_TEST

/* Guards against an owner that does not use its range, or the range of a claim
   of an earlier version, and against a range that costs much.  */
START_TEST (test_range_of_owner)
{
  bool earlier = _i;
  wld.nod->started_us = 0;
  size_t first = wld.duties->end;
  if (earlier)
    node_world_claim (&wld, "p", "n1", NODE_WORLD_BOOT, false);
  node_world_run (&wld, 1500);
  const struct held_duty *hld = node_held_duty (wld.nod, "p");
  ck_assert_ptr_nonnull (hld);
  ck_assert_ptr_nonnull (hld->plc);
  ck_assert_uint_eq (hld->plc->set.token, hld->token);
  ck_assert_uint_eq (hld->plc->set.token_count, earlier ? 0 : TOKENS_RESERVED);
  ck_assert_uint_ne (node_fleet_token (wld.nod), 0);
  size_t reserving = 0, bytes = 0;
  for (size_t n = first; n < wld.duties->end; n++)
    {
      const struct memory_record *rec = &wld.duties->records[n];
      if (rec->value_len > 0)
        continue;
      reserving++;
      bytes += RECORD_OVERHEAD_BYTES + rec->key_len;
    }
  ck_assert_uint_eq (reserving, earlier ? 0 : TOKENS_RESERVED - 1);
  ck_assert_uint_le (bytes, RESERVED_BYTES_MAX);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("node_token");
  TCase *tc = tcase_create ("node_token");
  tcase_set_timeout (tc, 20);
  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_add_loop_test (tc, test_ranges_of_claims, 0, 15);
  tcase_add_test (tc, test_range_of_claims_together);
  tcase_add_loop_test (tc, test_range_of_owner, 0, 2);
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed != 0;
}
