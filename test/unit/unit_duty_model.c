#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <talloc.h>

#include "member/duty.h"

/* A model of processes that claim one duty in turn, with random restarts,
   releases and delays of reads, compared with what really happened.  */

#define MS 1000
#define COMMAND_MS 6000
#define LEASE_MS 5000
#define PROCESSES 5
#define RECORDS_MAX 400
#define STEPS 400
#define SEEDS 300

/* One record of the topic of claims, and what its holder really did.  */
struct record
{
  struct duty_claim claim;
  struct earlier_holders earlier;
  int process;
  int64_t at_ms;
  int64_t stop_ms; /* of a claim: the holder sends no commands after this */
};

struct process
{
  char name[4];
  uint64_t boot;
  struct duty_table *tab;
  size_t read; /* records read */
};

static struct record records[RECORDS_MAX];
static size_t record_count;
static struct record late; /* a release without an answer; boot 0: none */
static struct process processes[PROCESSES];
static int64_t now_ms;
static unsigned seed;

static int
pick (int below)
{
  return rand_r (&seed) % below;
}

static void
report (struct process *to, const struct process *from)
{
  const struct member_report rep = { .name = from->name, .boot = from->boot };
  ck_assert_int_eq (duty_fold_member (to->tab, &rep, now_ms * MS), 0);
}

/* Index of the last claim.  */
static size_t
last_claim (void)
{
  size_t last = record_count;
  while (last > 0 && records[--last].claim.released)
    ;
  return last;
}

static int64_t
true_end_ms (size_t last)
{
  int64_t end_ms = 0;
  for (size_t n = 0; n < last; n++)
    if (!records[n].claim.released && records[n].stop_ms + LEASE_MS > end_ms)
      end_ms = records[n].stop_ms + LEASE_MS;
  return end_ms;
}

/* The bound of a process that has read the newest record must not be earlier
   than the end of any lease given before that record.  */
static void
check_bound (const struct process *prc)
{
  const struct duty *dty = duty_find (prc->tab, "p");
  if (!dty || prc->read < record_count || !*dty->holder)
    return;
  int64_t end_us = duty_earlier_leases_end_us (prc->tab, dty);
  ck_assert_msg (end_us >= true_end_ms (last_claim ()) * MS,
                 "at %d ms: leases last until %d ms, bound %d ms", (int)now_ms,
                 (int)true_end_ms (last_claim ()), (int)(end_us / MS));
}

static void
fold (struct process *prc, const struct record *rec)
{
  ck_assert_int_eq (duty_fold_claim (prc->tab, &rec->claim, now_ms * MS), 0);
}

/* Reads all records, or the last claim and the last release.  */
static void
read_records (struct process *prc, bool newest_only)
{
  if (newest_only && record_count > 0)
    {
      size_t release = record_count;
      while (release > 0 && !records[--release].claim.released)
        ;
      fold (prc, &records[last_claim ()]);
      if (records[release].claim.released)
        fold (prc, &records[release]);
      prc->read = record_count;
    }
  for (; prc->read < record_count; prc->read++)
    fold (prc, &records[prc->read]);
  check_bound (prc);
}

static void
start (struct process *prc)
{
  const struct holder_limits limits
      = { .command_us = COMMAND_MS * MS, .lease_us = LEASE_MS * MS };
  for (size_t n = 0; n < record_count; n++)
    if (records[n].process == prc - processes && records[n].stop_ms > now_ms)
      records[n].stop_ms = now_ms;
  talloc_free (prc->tab);
  prc->tab = talloc_zero (NULL, struct duty_table);
  prc->boot++;
  duty_set_limits (prc->tab, &limits);
  report (prc, prc);
  read_records (prc, true);
}

static struct record *
append (struct process *prc, bool released)
{
  struct record *rec = &records[record_count++];
  ck_assert_uint_le (record_count, RECORDS_MAX);
  *rec = (struct record){ .process = (int)(prc - processes), .at_ms = now_ms };
  rec->claim = (struct duty_claim){ .name = "p",
                                    .holder = prc->name,
                                    .boot = prc->boot,
                                    .released = released,
                                    .token = record_count,
                                    .earlier = &rec->earlier };
  return rec;
}

static void
claim (struct process *prc)
{
  read_records (prc, false);
  if (duty_held_by (duty_find (prc->tab, "p"), prc->name, prc->boot))
    return;
  duty_state_earlier (prc->tab, "p", now_ms * MS,
                      &records[record_count].earlier);
  struct earlier_holders ear = records[record_count].earlier;
  now_ms += pick (4) * 100;
  for (size_t n = 0; n < record_count; n++)
    if (records[n].stop_ms > now_ms + COMMAND_MS)
      records[n].stop_ms = now_ms + COMMAND_MS;
  struct record *rec = append (prc, false);
  rec->earlier = ear;
  rec->stop_ms = INT64_MAX / MS / 2;
  now_ms += pick (4) * 100;
  read_records (prc, false);
}

static void
release (struct process *prc)
{
  read_records (prc, false);
  const struct duty *dty = duty_find (prc->tab, "p");
  if (!duty_held_by (dty, prc->name, prc->boot))
    return;
  bool idle = pick (3) == 0;
  struct earlier_holders ear;
  duty_stop_holding (prc->tab, "p", now_ms * MS, idle);
  struct record *own = &records[last_claim ()];
  own->stop_ms = idle ? own->at_ms - LEASE_MS : now_ms;
  now_ms += pick (4) * 100;
  duty_state_release (prc->tab, dty, now_ms * MS, &ear);
  struct record *rec = append (prc, true);
  rec->earlier = ear;
  rec->claim.released_token = dty->token;
  if (pick (3) > 0)
    {
      read_records (prc, false);
      return;
    }
  /* The append is carried out after others.  */
  late = *rec;
  record_count--;
  start (prc);
}

static void
append_late (void)
{
  if (late.claim.boot == 0)
    return;
  struct record *rec = &records[record_count++];
  *rec = late;
  rec->claim.earlier = &rec->earlier;
  rec->claim.token = record_count;
  late.claim.boot = 0;
}

/* Guards against a new holder that takes the leases of an earlier one for
   expired while they last.  */
START_TEST (test_bound_holds)
{
  seed = (unsigned)_i + 1;
  record_count = 0;
  late = (struct record){ 0 };
  now_ms = 10000;
  for (int n = 0; n < PROCESSES; n++)
    {
      processes[n] = (struct process){ .boot = 1 };
      snprintf (processes[n].name, sizeof processes[n].name, "%c", 'a' + n);
      start (&processes[n]);
    }
  for (int n = 0; n < STEPS; n++)
    {
      struct process *prc = &processes[pick (PROCESSES)];
      now_ms += pick (5) * pick (5) * 50;
      switch (pick (8))
        {
        case 0:
          if (record_count + 1 < RECORDS_MAX)
            claim (prc);
          break;
        case 1:
          if (record_count + 1 < RECORDS_MAX)
            release (prc);
          break;
        case 2:
          start (prc);
          break;
        case 3:
          if (record_count + 1 < RECORDS_MAX)
            append_late ();
          break;
        case 4:
        case 5:
          report (prc, &processes[pick (PROCESSES)]);
          check_bound (prc);
          break;
        default:
          read_records (prc, false);
          break;
        }
    }
  for (int n = 0; n < PROCESSES; n++)
    talloc_free (processes[n].tab);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("duty_model");
  TCase *tc = tcase_create ("duty_model");
  tcase_add_loop_test (tc, test_bound_holds, 0, SEEDS);
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed != 0;
}
