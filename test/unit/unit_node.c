#include <check.h>
#include <string.h>

#include "node_world.h"

/* Tests of a whole scheduler process (node/) whose view of the store's topics
   is incomplete or out of date.  */

static struct node_world wld;

static struct held_duty *
held_duty (void)
{
  return node_held_duty (wld.nod, "p");
}

/* Guards against a new owner that starts tasks before it knows all of the
   pool's jobs and workers: it has read the fence only when the newest records
   of all keys were delivered.  */
START_TEST (test_new_owner_reads_all_pages)
{
  node_world_init (&wld, false);
  wld.mem.page_records = 2;
  wld.jobs->hold_reads = true;
  node_world_run (&wld, 300);
  for (uint64_t id = 1; id <= 4; id++)
    node_world_add_job (&wld, id);
  topic_memory_compact (wld.jobs);
  node_world_claim (&wld, "p", "n1", NODE_WORLD_BOOT, false);
  node_world_run (&wld, 100);
  ck_assert_ptr_nonnull (held_duty ());
  ck_assert_int_eq (held_duty ()->phase, HELD_DUTY_CATCHING_UP);
  while (wld.nod->jobs.count == 0)
    {
      topic_memory_run_held (wld.jobs);
      node_world_run (&wld, 20);
    }
  ck_assert_uint_eq (wld.nod->jobs.count, 2);
  ck_assert_int_eq (held_duty ()->phase, HELD_DUTY_CATCHING_UP);
  wld.jobs->hold_reads = false;
  topic_memory_run_held (wld.jobs);
  node_world_run (&wld, 100);
  ck_assert_int_eq (held_duty ()->phase, HELD_DUTY_ACTIVE);
  ck_assert_uint_eq (wld.nod->jobs.count, 4);
  node_world_fini (&wld);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("node");
  TCase *tc = tcase_create ("node");
  tcase_set_timeout (tc, 60);
  tcase_add_test (tc, test_new_owner_reads_all_pages);
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed != 0;
}
