#include <check.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base/err.h"
#include "peer/member.h"

#define SECOND_US 1000000

static const struct member_settings settings = {
  .max_members = 2,
  .suspect_after_us = 2 * SECOND_US,
  .dead_after_us = 4 * SECOND_US,
  .remove_after_us = 10 * SECOND_US,
};

static struct members mbs;

static void
setup (void)
{
  ck_assert_int_eq (members_init (&mbs, NULL, &settings), 0);
}

static void
teardown (void)
{
  members_fini (&mbs);
}

static struct member_handle
add (const char *name, uint64_t incarnation, int64_t now_us)
{
  struct member_handle mbr;
  ck_assert_int_eq (members_add (&mbs, name, "dc", incarnation, now_us, &mbr),
                    0);
  return mbr;
}

/* Returns the state changes that are due at NOW_US, one letter each: a for
   alive, s for suspect, d for dead.  */
static const char *
changes (int64_t now_us)
{
  static char text[16];
  size_t len = 0;
  struct member_info mbr;
  while (len < sizeof text - 1 && members_next_change (&mbs, now_us, &mbr))
    text[len++] = "asd"[mbr.state];
  text[len] = '\0';
  return text;
}

/* Guards against a member without heartbeats that stays alive, and against a
   state change that is reported twice or never.  */
START_TEST (test_states)
{
  struct member_handle mbr = add ("a", 1, 0);
  ck_assert_str_eq (changes (0), "a");
  ck_assert_str_eq (changes (2 * SECOND_US - 1), "");
  ck_assert_str_eq (changes (2 * SECOND_US), "s");
  ck_assert_int_eq (members_heartbeat (&mbs, mbr, true, 7, 3 * SECOND_US), 0);
  ck_assert_str_eq (changes (3 * SECOND_US), "a");
  ck_assert (members_get (&mbs, mbr)->ready);
  ck_assert_uint_eq (members_get (&mbs, mbr)->folded_offset, 7);
  ck_assert_str_eq (changes (7 * SECOND_US), "d");
  ck_assert (!members_get (&mbs, mbr)->ready);
  ck_assert_int_eq (members_heartbeat (&mbs, mbr, true, 8, 8 * SECOND_US), 0);
  ck_assert_str_eq (changes (8 * SECOND_US), "a");
  ck_assert_str_eq (changes (17 * SECOND_US), "d");
  ck_assert_str_eq (changes (18 * SECOND_US), "");
  ck_assert_ptr_null (members_get (&mbs, mbr));
  ck_assert_int_eq (members_heartbeat (&mbs, mbr, true, 8, 18 * SECOND_US),
                    ERR_NOT_FOUND);
}
END_TEST

/* Guards against accepting a heartbeat or hello of an older incarnation after
   the process was restarted.  */
START_TEST (test_incarnations)
{
  struct member_handle old = add ("a", 5, 0);
  struct member_handle same = add ("a", 5, 1);
  struct member_handle found;
  struct member_info list[4];
  ck_assert_mem_eq (&old, &same, sizeof old);
  ck_assert_str_eq (changes (1), "a");
  struct member_handle new = add ("a", 6, 2);
  ck_assert_str_eq (changes (2), "a");
  ck_assert_int_eq (members_heartbeat (&mbs, old, true, 1, 3), ERR_NOT_FOUND);
  ck_assert_int_eq (members_add (&mbs, "a", "dc", 5, 3, &found), ERR_EXPIRED);
  ck_assert_int_eq (members_find (&mbs, "a", &found), 0);
  ck_assert_mem_eq (&found, &new, sizeof found);
  ck_assert_uint_eq (members_list (&mbs, list, 4), 1);
  ck_assert_uint_eq (list[0].incarnation, 6);
}
END_TEST

/* Guards against more than max_members members, against removing a member that
   is not dead for a new one, and against names and handles out of range.  */
START_TEST (test_bounds)
{
  char longest[MEMBER_NAME_SIZE + 1];
  struct member_handle mbr, a = add ("a", 1, 0);
  add ("b", 1, 3 * SECOND_US);
  ck_assert_int_eq (members_add (&mbs, "c", "dc", 1, 3 * SECOND_US, &mbr),
                    ERR_FULL);
  ck_assert_str_eq (changes (4 * SECOND_US), "da");
  add ("c", 1, 4 * SECOND_US);
  ck_assert_ptr_null (members_get (&mbs, a));
  ck_assert_int_eq (members_find (&mbs, "b", &mbr), 0);

  memset (longest, 'x', sizeof longest);
  longest[MEMBER_NAME_SIZE] = '\0';
  ck_assert_int_eq (members_add (&mbs, longest, "", 1, 0, &mbr), ERR_INVALID);
  ck_assert_int_eq (members_add (&mbs, "", "", 1, 0, &mbr), ERR_INVALID);
  mbr.index = 99;
  ck_assert_ptr_null (members_get (&mbs, mbr));
}
END_TEST

/* Guards against a process that takes all its peers for dead after it was
   paused.  */
START_TEST (test_shift)
{
  add ("a", 1, 0);
  changes (0);
  members_shift_times (&mbs, 60 * SECOND_US);
  ck_assert_str_eq (changes (61 * SECOND_US), "");
  ck_assert_str_eq (changes (62 * SECOND_US), "s");
}
END_TEST

/* Guards against a process that its peers refuse for a minute after it was
   started again with its clock set back.  */
START_TEST (test_lower_incarnation_after_death)
{
  struct member_handle found;
  struct member_handle old = add ("a", 5, 0);
  ck_assert_int_eq (
      members_add (&mbs, "a", "dc", 4, settings.dead_after_us - 1, &found),
      ERR_EXPIRED);
  struct member_handle new = add ("a", 4, settings.dead_after_us);
  ck_assert_int_eq (
      members_heartbeat (&mbs, old, true, 1, settings.dead_after_us),
      ERR_NOT_FOUND);
  ck_assert_int_eq (
      members_heartbeat (&mbs, new, true, 1, settings.dead_after_us), 0);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("peer_member");
  TCase *tc = tcase_create ("peer_member");
  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_add_test (tc, test_states);
  tcase_add_test (tc, test_incarnations);
  tcase_add_test (tc, test_lower_incarnation_after_death);
  tcase_add_test (tc, test_bounds);
  tcase_add_test (tc, test_shift);
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed != 0;
}
