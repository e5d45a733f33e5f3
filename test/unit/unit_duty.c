#include <check.h>
#include <stdio.h>
#include <talloc.h>

#include "base/err.h"
#include "member/duty.h"

#define S 1000000
/* An owner sends commands for 6 s after its duty was claimed, and the lease
   of a command lasts 5 s.  */
#define COMMAND (6 * S)
#define LEASE (5 * S)

static struct duty_table *tab;

static void
member (const char *name, uint64_t boot, bool stopping, int64_t now_us)
{
  const struct member_report rep
      = { .name = name, .boot = boot, .stopping = stopping };
  ck_assert_int_eq (duty_fold_member (tab, &rep, now_us), 0);
}

static void
setup (void)
{
  const struct holder_limits limits
      = { .command_us = COMMAND, .lease_us = LEASE };
  tab = talloc_zero (NULL, struct duty_table);
  duty_set_limits (tab, &limits);
  member ("a", 1, false, 10 * S);
  member ("b", 1, false, 10 * S);
  member ("c", 1, false, 10 * S);
}

static void
teardown (void)
{
  talloc_free (tab);
}

static void
claim (const char *holder, uint64_t boot, uint64_t token, int64_t now_us)
{
  const struct duty_claim clm
      = { .name = "p", .holder = holder, .boot = boot, .token = token };
  ck_assert_int_eq (duty_fold_claim (tab, &clm, now_us), 0);
}

static void
release (const char *holder, bool cleared, uint64_t token, int64_t now_us)
{
  const struct duty_claim clm = { .name = "p",
                                  .holder = holder,
                                  .boot = 1,
                                  .released = true,
                                  .cleared = cleared,
                                  .token = token };
  ck_assert_int_eq (duty_fold_claim (tab, &clm, now_us), 0);
}

/* Returns the names of the members that would claim the duty at NOW_US.  */
static const char *
claimants (int64_t now_us, int64_t slack_us)
{
  static char text[8];
  size_t len = 0;
  for (const char *name = "abc"; *name; name++)
    {
      const char self[2] = { *name, '\0' };
      const struct duty_view view = { .self = self,
                                      .now_us = now_us,
                                      .reports_read_us = now_us,
                                      .unclaimed_since_us = 10 * S,
                                      .slack_us = slack_us };
      if (duty_should_claim (tab, "p", &view))
        text[len++] = *name;
    }
  text[len] = '\0';
  return text;
}

/* Guards against members that all claim a vacant duty at the same time, and
   against a duty that no member claims.  */
START_TEST (test_candidates)
{
  ck_assert_uint_eq (strlen (claimants (10 * S, 0)), 1);
  ck_assert_uint_eq (strlen (claimants (10 * S + 300000, 0)), 2);
  ck_assert_str_eq (claimants (11 * S, 0), "abc");
}
END_TEST

/* Guards against a pool owned by a member with little processor time, which
   cannot start tasks fast enough when the pool's load peaks, while members
   with more processor time hold few duties.  */
START_TEST (test_most_cpu_first)
{
  const struct member_report strong
      = { .name = "c", .boot = 1, .cpu_milli = 5000 };
  const struct duty_claim other
      = { .name = "q", .holder = "c", .boot = 1, .token = 4 };
  ck_assert_int_eq (duty_fold_member (tab, &strong, 10 * S), 0);
  ck_assert_str_eq (claimants (10 * S, 0), "c");
  ck_assert_int_eq (duty_fold_claim (tab, &other, 10 * S), 0);
  ck_assert_str_eq (claimants (10 * S, 0), "c");
}
END_TEST

/* Guards against two holders of one duty: a member that reports keeps its
   duty, and one that does not loses it after 2 s, or later when the store is
   slow.  */
START_TEST (test_takeover)
{
  claim ("a", 1, 5, 10 * S);
  ck_assert (duty_held_by (duty_find (tab, "p"), "a", 1));
  ck_assert (!duty_held_by (duty_find (tab, "p"), "a", 2));
  member ("b", 1, false, 12 * S);
  member ("c", 1, false, 12 * S);
  ck_assert_str_eq (claimants (11 * S, 0), "");
  ck_assert_str_ne (claimants (12 * S, 0), "");
  ck_assert_str_eq (claimants (12 * S, 2 * S), "");
}
END_TEST

/* Guards against a stopping member that keeps its duty after its reports have
   ceased, and against one that loses the duty while it still performs it.  */
START_TEST (test_stopping)
{
  claim ("a", 1, 5, 10 * S);
  member ("a", 1, true, 11 * S);
  member ("b", 1, false, 13 * S);
  member ("c", 1, false, 13 * S);
  ck_assert_str_eq (claimants (12 * S, 0), "");
  ck_assert_str_ne (claimants (13 * S, 0), "");
  release ("a", true, 6, 12 * S);
  ck_assert_str_ne (claimants (12 * S, 0), "");
  ck_assert_ptr_null (strchr (claimants (14 * S, 0), 'a'));
}
END_TEST

/* Guards against a claim that is read after a later claim and replaces it.  */
START_TEST (test_tokens)
{
  claim ("b", 1, 9, 10 * S);
  claim ("a", 1, 5, 10 * S);
  ck_assert (duty_held_by (duty_find (tab, "p"), "b", 1));
  ck_assert_uint_eq (duty_find (tab, "p")->token, 9);
}
END_TEST

/* A change of the duty "p" or of a member.  */
struct step
{
  enum
  {
    END,
    CLAIM,
    OLD_CLAIM, /* by a version that does not state what earlier holders do */
    OLD_RELEASE,
    OLD_CLEARED_RELEASE,
    RELEASE,
    IDLE_RELEASE, /* by one that has sent no commands */
    RESTART,
  } kind;
  int64_t at_s;
  const char *holder;
  uint64_t boot; /* of a RESTART, the new one */
};

/* Appends a claim to TAB, as a claimant that has read everything does.  REC
   and EAR get the record.  */
static void
append_claim (const struct step *stp, uint64_t token, struct duty_claim *rec,
              struct earlier_holders *ear)
{
  duty_state_earlier (tab, "p", stp->at_s * S, ear);
  *rec = (struct duty_claim){ .name = "p",
                              .holder = stp->holder,
                              .boot = stp->boot,
                              .token = token,
                              .earlier = stp->kind == CLAIM ? ear : NULL };
  ck_assert_int_eq (duty_fold_claim (tab, rec, stp->at_s * S), 0);
}

static void
append_release (const struct step *stp, uint64_t token)
{
  struct earlier_holders ear;
  int64_t now_us = stp->at_s * S;
  duty_stop_holding (tab, "p", now_us, stp->kind == IDLE_RELEASE);
  duty_state_release (tab, duty_find (tab, "p"), now_us, &ear);
  const struct duty_claim rec = { .name = "p",
                                  .holder = stp->holder,
                                  .boot = stp->boot,
                                  .released = true,
                                  .token = token,
                                  .released_token = token - 1,
                                  .earlier = &ear };
  ck_assert_int_eq (duty_fold_claim (tab, &rec, now_us), 0);
}

static int64_t
leases_end_s (const struct duty_table *of)
{
  return duty_earlier_leases_end_us (of, duty_find (of, "p")) / S;
}

/* Guards against a new holder that starts a task while a lease from an earlier
   holder lasts, and against one that waits although the earlier holders have
   stopped.  The restart of the last holder used to count for the holders
   before it as well, which may be partitioned and send commands until 6 s
   after they lost the duty.  */
START_TEST (test_earlier_holders)
{
  static const struct
  {
    struct step steps[12];
    int64_t leases_end_s; /* of the holders before the last one */
    int64_t fresh_end_s;  /* the same for a process that starts at 40 s and
                             reads only the last record */
  } cases[] = {
    { { { CLAIM, 12, "b", 1 } }, 12, 40 },
    { { { CLAIM, 10, "a", 1 }, { CLAIM, 12, "b", 1 } }, 23, 51 },
    { { { CLAIM, 10, "a", 1 },
        { CLAIM, 12, "b", 1 },
        { RESTART, 13, "a", 2 } },
      18,
      51 },
    { { { CLAIM, 10, "a", 1 },
        { RESTART, 11, "a", 2 },
        { CLAIM, 12, "b", 1 } },
      16,
      44 },
    /* The holder reclaims the duty after a restart.  */
    { { { CLAIM, 10, "a", 1 },
        { RESTART, 11, "a", 2 },
        { CLAIM, 11, "a", 2 } },
      16,
      45 },
    /* "b" has restarted, "a" is only partitioned.  */
    { { { CLAIM, 10, "a", 1 },
        { CLAIM, 12, "b", 1 },
        { RESTART, 13, "b", 2 },
        { CLAIM, 13, "c", 1 } },
      23,
      50 },
    { { { CLAIM, 10, "a", 1 },
        { CLAIM, 12, "b", 1 },
        { CLAIM, 13, "c", 1 },
        { RESTART, 14, "b", 2 } },
      23,
      51 },
    { { { CLAIM, 10, "a", 1 },
        { CLAIM, 12, "b", 1 },
        { RESTART, 13, "b", 2 },
        { CLAIM, 13, "c", 1 },
        { RESTART, 14, "a", 2 } },
      19,
      50 },
    /* "a" stopped at 18 s, long before the last claim.  */
    { { { CLAIM, 10, "a", 1 },
        { CLAIM, 12, "b", 1 },
        { RESTART, 13, "b", 2 },
        { CLAIM, 22, "c", 1 } },
      23,
      41 },
    /* More holders than are kept apart.  */
    { { { CLAIM, 10, "a", 1 },
        { CLAIM, 11, "b", 1 },
        { CLAIM, 12, "c", 1 },
        { CLAIM, 13, "d", 1 },
        { CLAIM, 14, "e", 1 },
        { CLAIM, 15, "f", 1 } },
      26,
      51 },
    { { { CLAIM, 10, "a", 1 },
        { CLAIM, 11, "b", 1 },
        { CLAIM, 12, "c", 1 },
        { CLAIM, 13, "d", 1 },
        { CLAIM, 14, "e", 1 },
        { CLAIM, 15, "f", 1 },
        { RESTART, 15, "c", 2 } },
      26,
      51 },
    /* All but "a", which has no row of its own any more, have restarted.  */
    { { { CLAIM, 10, "a", 1 },
        { CLAIM, 11, "b", 1 },
        { CLAIM, 12, "c", 1 },
        { CLAIM, 13, "d", 1 },
        { CLAIM, 14, "e", 1 },
        { CLAIM, 15, "f", 1 },
        { RESTART, 15, "b", 2 },
        { RESTART, 15, "c", 2 },
        { RESTART, 15, "d", 2 },
        { RESTART, 15, "e", 2 } },
      22,
      51 },
    /* Owners that follow each other while all processes are restarted.  Each
       one used to wait for the longest time from its own claim.  */
    { { { CLAIM, 10, "a", 1 },
        { RESTART, 11, "a", 2 },
        { CLAIM, 11, "a", 2 },
        { RELEASE, 12, "a", 2 },
        { CLAIM, 13, "b", 1 },
        { RELEASE, 14, "b", 1 },
        { CLAIM, 15, "c", 1 } },
      19,
      44 },
    { { { CLAIM, 10, "a", 1 },
        { RESTART, 11, "a", 2 },
        { CLAIM, 11, "b", 1 },
        { IDLE_RELEASE, 14, "b", 1 },
        { CLAIM, 15, "c", 1 } },
      16,
      41 },
    /* "a" is only partitioned, and "b" has not reached all its workers.  */
    { { { CLAIM, 10, "a", 1 },
        { CLAIM, 12, "b", 1 },
        { RELEASE, 13, "b", 1 },
        { CLAIM, 14, "c", 1 } },
      23,
      49 },
    { { { CLAIM, 10, "a", 1 },
        { CLAIM, 12, "b", 1 },
        { RELEASE, 13, "b", 1 },
        { CLAIM, 14, "c", 1 },
        { RESTART, 15, "a", 2 } },
      20,
      49 },
    /* "b" has reached all its workers, but "a" may extend leases of its runs
       at one that has restarted.  */
    { { { CLAIM, 10, "a", 1 },
        { CLAIM, 12, "b", 1 },
        { RELEASE, 16, "b", 1 },
        { CLAIM, 17, "c", 1 } },
      23,
      46 },
    { { { CLAIM, 10, "a", 1 },
        { CLAIM, 12, "b", 1 },
        { RELEASE, 19, "b", 1 },
        { CLAIM, 20, "c", 1 } },
      24,
      44 },
    /* Records of earlier versions.  */
    { { { CLAIM, 10, "a", 1 },
        { RESTART, 11, "a", 2 },
        { OLD_CLAIM, 12, "b", 1 } },
      23,
      51 },
    { { { CLAIM, 10, "a", 1 },
        { OLD_CLEARED_RELEASE, 11, "a", 1 },
        { CLAIM, 12, "b", 1 } },
      16,
      44 },
    { { { CLAIM, 10, "a", 1 },
        { OLD_RELEASE, 11, "a", 1 },
        { CLAIM, 12, "b", 1 } },
      22,
      50 },
  };
  for (size_t n = 0; n < sizeof cases / sizeof *cases; n++)
    {
      struct earlier_holders ear;
      struct duty_claim rec;
      const struct holder_limits limits
          = { .command_us = COMMAND, .lease_us = LEASE };
      teardown ();
      setup ();
      uint64_t token = 5;
      for (const struct step *stp = cases[n].steps; stp->kind != END; stp++)
        if (stp->kind == RESTART)
          member (stp->holder, stp->boot, false, stp->at_s * S);
        else if (stp->kind == OLD_RELEASE || stp->kind == OLD_CLEARED_RELEASE)
          release (stp->holder, stp->kind == OLD_CLEARED_RELEASE, token++,
                   stp->at_s * S);
        else if (stp->kind == RELEASE || stp->kind == IDLE_RELEASE)
          append_release (stp, token++);
        else
          append_claim (stp, token++, &rec, &ear);
      ck_assert_msg (leases_end_s (tab) == cases[n].leases_end_s,
                     "case %zu: %d s", n, (int)leases_end_s (tab));
      struct duty_table *fresh = talloc_zero (NULL, struct duty_table);
      duty_set_limits (fresh, &limits);
      ck_assert_int_eq (duty_fold_claim (fresh, &rec, 40 * S), 0);
      ck_assert_msg (leases_end_s (fresh) == cases[n].fresh_end_s,
                     "case %zu: %d s from the record", n,
                     (int)leases_end_s (fresh));
      talloc_free (fresh);
    }
}
END_TEST

/* Guards against a holder that is taken for stopped because of a report that
   is older than its claim: the two topics are read separately.  */
START_TEST (test_report_before_claim)
{
  const struct step first = { CLAIM, 10, "a", 7 };
  const struct step second = { CLAIM, 12, "b", 1 };
  struct earlier_holders ear;
  struct duty_claim rec;
  append_claim (&first, 5, &rec, &ear);
  member ("a", 3, false, 11 * S);
  append_claim (&second, 6, &rec, &ear);
  member ("a", 4, false, 12 * S);
  ck_assert_int_eq (leases_end_s (tab), 23);
  member ("a", 8, false, 13 * S);
  ck_assert_int_eq (leases_end_s (tab), 18);
}
END_TEST

/* Guards against a release that is appended late and ends the duty of a later
   holder, whose leases the release does not state.  */
START_TEST (test_late_release)
{
  claim ("a", 1, 5, 10 * S);
  claim ("b", 1, 6, 12 * S);
  release ("a", true, 7, 13 * S);
  ck_assert (duty_held_by (duty_find (tab, "p"), "b", 1));
  ck_assert_uint_eq (duty_find (tab, "p")->token, 6);
  ck_assert_int_eq (leases_end_s (tab), 23);
  /* The process itself has claimed the duty again.  */
  claim ("a", 1, 8, 14 * S);
  const struct duty_claim rec = { .name = "p",
                                  .holder = "a",
                                  .boot = 1,
                                  .released = true,
                                  .token = 9,
                                  .released_token = 5 };
  ck_assert_int_eq (duty_fold_claim (tab, &rec, 15 * S), 0);
  ck_assert (duty_held_by (duty_find (tab, "p"), "a", 1));
}
END_TEST

/* Guards against a duty without a holder that nobody claims, as it looks as if
   its state was known: the release is read, and the claim is not.  */
START_TEST (test_release_without_claim)
{
  const struct duty_claim rec = { .name = "p",
                                  .holder = "a",
                                  .boot = 1,
                                  .released = true,
                                  .token = 6,
                                  .released_token = 5 };
  ck_assert_int_eq (duty_fold_claim (tab, &rec, 11 * S), 0);
  ck_assert_ptr_null (duty_find (tab, "p"));
  ck_assert_str_eq (claimants (11 * S, 0), "abc");
}
END_TEST

/* Guards against a member that restarts and whose duties no member claims.  */
START_TEST (test_restart)
{
  claim ("a", 1, 5, 10 * S);
  member ("a", 2, false, 11 * S);
  ck_assert_str_ne (claimants (11 * S, 0), "");
  ck_assert_uint_eq (duty_count_live_members (tab, 11 * S), 3);
}
END_TEST

/* Guards against a duty that nobody claims after the loss of all processes
   (RECOVER): its former holder has restarted and reports, and the members that
   rank first have not read the pool's jobs yet.  The others waited for a time
   without a report of it.  */
START_TEST (test_restarted_holder_reports)
{
  claim ("a", 1, 5, 10 * S);
  for (int64_t ms = 11000; ms <= 11600; ms += 200)
    member ("a", 2, false, ms * 1000);
  ck_assert_str_eq (claimants (11 * S + 650000, 0), "abc");
}
END_TEST

/* Guards against a duty that is claimed again right after a member that had
   not reported for a while claimed it: its claim may be read before its next
   report.  */
START_TEST (test_claim_counts_as_report)
{
  member ("b", 1, false, 15 * S);
  member ("c", 1, false, 15 * S);
  claim ("a", 1, 5, 15 * S);
  ck_assert_str_eq (claimants (15 * S + 400000, 0), "");
  claim ("a", 2, 6, 15 * S);
  ck_assert_str_eq (claimants (15 * S + 400000, 0), "");
  ck_assert_str_ne (claimants (17 * S, 0), "");
}
END_TEST

/* Guards against a process that was partitioned and considers the others dead
   because it has not read their reports yet: the time without a report counts
   only up to the time as of which the reports have been read.  */
START_TEST (test_view_age)
{
  const struct duty_view stale = { .self = "b",
                                   .now_us = 30 * S,
                                   .reports_read_us = 10 * S + 500000,
                                   .unclaimed_since_us = 10 * S };
  claim ("a", 1, 5, 10 * S);
  ck_assert (!duty_should_claim (tab, "p", &stale));
}
END_TEST

/* Guards against a change of all holders after a store outage: no member could
   report, and the first process that reads the store again would consider the
   others dead.  */
START_TEST (test_store_returns)
{
  const struct duty_view first = { .self = "b",
                                   .now_us = 30 * S,
                                   .reports_read_us = 30 * S,
                                   .reads_resumed_us = 30 * S,
                                   .unclaimed_since_us = 10 * S };
  struct duty_view later = first;
  later.now_us = later.reports_read_us = 32 * S;
  claim ("a", 1, 5, 10 * S);
  ck_assert (!duty_should_claim (tab, "p", &first));
  ck_assert (duty_should_claim (tab, "p", &later));
}
END_TEST

/* Guards against a holder that is taken for restarted, so that its successor
   does not wait for it, because a report of its earlier start was appended
   late.  */
START_TEST (test_late_report_of_earlier_start)
{
  claim ("a", 2, 5, 10 * S);
  member ("a", 1, false, 10 * S + 500000);
  member ("b", 1, false, 11 * S);
  member ("c", 1, false, 11 * S);
  ck_assert_str_eq (claimants (11 * S, 0), "");
  struct earlier_holders earlier;
  duty_state_earlier (tab, "p", 11 * S, &earlier);
  const struct duty_claim clm = {
    .name = "p", .holder = "b", .boot = 1, .token = 7, .earlier = &earlier
  };
  ck_assert_int_eq (duty_fold_claim (tab, &clm, 11 * S), 0);
  ck_assert_int_eq (duty_earlier_leases_end_us (tab, duty_find (tab, "p")),
                    11 * S + COMMAND + LEASE);
}
END_TEST

/* Guards against a start that counts as an earlier one because the time of day
   went back since the start before it, which may have been known only by its
   claim.  */
START_TEST (test_boot_after_time_went_back)
{
  ck_assert_uint_eq (duty_boot (tab, "d", 90), 90);
  member ("a", 100, false, 10 * S);
  ck_assert_uint_eq (duty_boot (tab, "a", 200), 200);
  ck_assert_uint_eq (duty_boot (tab, "a", 94), 101);
  claim ("b", 105, 5, 10 * S);
  ck_assert_uint_eq (duty_boot (tab, "b", 94), 106);
  claim ("e", 105, 6, 10 * S);
  ck_assert_uint_eq (duty_boot (tab, "e", 94), 106);
  /* The value stays once the others know it.  */
  member ("a", 101, false, 11 * S);
  ck_assert_uint_eq (duty_boot (tab, "a", 101), 101);
}
END_TEST

/* Guards against work that begins early because the time of day of half of the
   processes was set ahead, and against a single other process, or ones that
   are gone, which decide what the time of day is.  */
START_TEST (test_common_time_of_day)
{
  static const struct
  {
    int64_t own_ms;
    int64_t others_ms[4]; /* 0: does not say */
    int64_t age_ms;       /* of the others' reports */
    int64_t ahead_ms;     /* 0: not known */
  } cases[] = {
    { 7000, { 0, 0, 0, 0 }, 0, 0 },
    { 7000, { 1000, 0, 0, 0 }, 0, 0 },
    { 7000, { 1000, 1001, 0, 0 }, 0, 1001 },
    { 7000, { 7001, 1000, 1002, 0 }, 0, 1002 },
    { 7000, { 7001, 7002, 1000, 1001 }, 0, 7000 },
    { 1000, { 7001, 7002, 999, 0 }, 0, 1000 },
    { 7000, { 1000, 1001, 1002, 1003 }, 2500, 0 },
  };
  for (size_t n = 0; n < sizeof cases / sizeof *cases; n++)
    {
      int64_t ahead_us = 0;
      talloc_free (tab);
      tab = talloc_zero (NULL, struct duty_table);
      for (size_t m = 0; m < 4; m++)
        {
          const char name[2] = { (char)('b' + m), '\0' };
          int64_t ahead_ms = cases[n].others_ms[m];
          const struct member_report rep = {
            .name = name, .boot = 1, .wall_ms = ahead_ms ? 10000 + ahead_ms : 0
          };
          ck_assert_int_eq (duty_fold_member (tab, &rep, 10 * S), 0);
        }
      bool known
          = duty_wall_ahead (tab, "a", cases[n].own_ms * 1000,
                             10 * S + cases[n].age_ms * 1000, &ahead_us);
      ck_assert_msg (known == (cases[n].ahead_ms != 0), "case %zu", n);
      ck_assert_int_eq (ahead_us, cases[n].ahead_ms * 1000);
    }
}
END_TEST

/* Guards against a table of duties that grows beyond its limit.  */
START_TEST (test_bounds)
{
  char name[16];
  int err = 0;
  for (int n = 0; n < DUTIES_MAX + 1; n++)
    {
      snprintf (name, sizeof name, "d%d", n);
      const struct duty_claim clm
          = { .name = name, .holder = "a", .token = 1 };
      err = duty_fold_claim (tab, &clm, 0);
    }
  ck_assert_int_eq (err, ERR_FULL);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("duty");
  TCase *tc = tcase_create ("duty");
  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_add_test (tc, test_candidates);
  tcase_add_test (tc, test_most_cpu_first);
  tcase_add_test (tc, test_takeover);
  tcase_add_test (tc, test_stopping);
  tcase_add_test (tc, test_tokens);
  tcase_add_test (tc, test_earlier_holders);
  tcase_add_test (tc, test_report_before_claim);
  tcase_add_test (tc, test_late_release);
  tcase_add_test (tc, test_release_without_claim);
  tcase_add_test (tc, test_restart);
  tcase_add_test (tc, test_restarted_holder_reports);
  tcase_add_test (tc, test_claim_counts_as_report);
  tcase_add_test (tc, test_view_age);
  tcase_add_test (tc, test_store_returns);
  tcase_add_test (tc, test_late_report_of_earlier_start);
  tcase_add_test (tc, test_boot_after_time_went_back);
  tcase_add_test (tc, test_common_time_of_day);
  tcase_add_test (tc, test_bounds);
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed != 0;
}
