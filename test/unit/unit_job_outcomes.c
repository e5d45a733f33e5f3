#include <check.h>
#include <string.h>
#include <talloc.h>

#include "job/job_codec.h"
#include "job_help.h"
#include "proto/job.pb-c.h"

/* How a job has ended is what its pool's owner has recorded; no reader finds
   it anew from its configuration.  */

#define ID 7
#define RECORDS_MAX 3
/* What a reader's configuration says of the queue's attempts: the route is
   removed, lowered, as it was, raised.  */
static const uint32_t attempts[] = { 0, 1, 2, 9 };

struct record
{
  bool cancel;
  uint32_t failures;
  bool done;
  enum job_outcome outcome;
};

static const struct
{
  const char *name;
  struct record records[RECORDS_MAX];
  size_t count;
  enum job_state states[sizeof attempts / sizeof *attempts];
  bool differs; /* the last record says otherwise, so it is recorded again */
} cases[] = {
  { "failed",
    { { .failures = 2, .outcome = JOB_OUTCOME_FAILED } },
    1,
    { JOB_FAILED, JOB_FAILED, JOB_FAILED, JOB_FAILED },
    false },
  { "failed after one run, as the limit was lowered for a time",
    { { .failures = 1, .outcome = JOB_OUTCOME_FAILED } },
    1,
    { JOB_FAILED, JOB_FAILED, JOB_FAILED, JOB_FAILED },
    false },
  { "not decided",
    { { .failures = 2, .outcome = JOB_OUTCOME_OPEN } },
    1,
    { JOB_RUNNING, JOB_RUNNING, JOB_RUNNING, JOB_RUNNING },
    false },
  { "completed",
    { { .done = true, .outcome = JOB_OUTCOME_COMPLETED } },
    1,
    { JOB_COMPLETED, JOB_COMPLETED, JOB_COMPLETED, JOB_COMPLETED },
    false },
  { "cancelled by a record that the log has dropped",
    { { .failures = 1, .outcome = JOB_OUTCOME_CANCELLED } },
    1,
    { JOB_CANCELLED, JOB_CANCELLED, JOB_CANCELLED, JOB_CANCELLED },
    false },
  { "failed, then cancelled",
    { { .failures = 2, .outcome = JOB_OUTCOME_FAILED }, { .cancel = true } },
    2,
    { JOB_FAILED, JOB_FAILED, JOB_FAILED, JOB_FAILED },
    false },
  { "cancelled before the owner recorded the failure",
    { { .cancel = true }, { .failures = 2, .outcome = JOB_OUTCOME_FAILED } },
    2,
    { JOB_CANCELLED, JOB_CANCELLED, JOB_CANCELLED, JOB_CANCELLED },
    true },
  { "failed, then a late record of an earlier owner",
    { { .failures = 2, .outcome = JOB_OUTCOME_FAILED },
      { .failures = 1, .outcome = JOB_OUTCOME_OPEN } },
    2,
    { JOB_FAILED, JOB_FAILED, JOB_FAILED, JOB_FAILED },
    true },
  { "of an earlier version",
    { { .failures = 2, .outcome = JOB_OUTCOME_UNSTATED } },
    1,
    { JOB_RUNNING, JOB_FAILED, JOB_FAILED, JOB_RUNNING },
    false },
};

static void *ctx;

static void
encode (const struct record *rec, uint8_t **data, size_t *len)
{
  Kingcuphollow__FailedRun runs[2];
  Kingcuphollow__FailedRun *rows[2] = { &runs[0], &runs[1] };
  Kingcuphollow__OccurrenceProgress occ
      = KINGCUPHOLLOW__OCCURRENCE_PROGRESS__INIT;
  Kingcuphollow__OccurrenceProgress *occs[] = { &occ };
  Kingcuphollow__JobProgress msg = KINGCUPHOLLOW__JOB_PROGRESS__INIT;
  uint32_t last_run = rec->failures + 1;
  uint8_t done = rec->done;
  for (uint32_t n = 0; n < rec->failures; n++)
    {
      kingcuphollow__failed_run__init (&runs[n]);
      runs[n].key = 1 + n;
    }
  occ.done.data = &done;
  occ.done.len = 1;
  occ.n_runs = 1;
  occ.runs = &last_run;
  occ.n_failures = rec->failures;
  occ.failures = rows;
  msg.n_occurrences = 1;
  msg.occurrences = occs;
  msg.token = 5;
  msg.outcome = rec->outcome;
  *len = kingcuphollow__job_progress__get_packed_size (&msg);
  *data = talloc_size (ctx, *len);
  kingcuphollow__job_progress__pack (&msg, *data);
}

static struct job_fold_result
fold (struct job_table *tab, const struct record *rec, uint32_t limit)
{
  uint8_t cancel[] = { 1 };
  uint8_t *data = cancel;
  size_t len = sizeof cancel;
  if (!rec->cancel)
    encode (rec, &data, &len);
  struct job_fold_result res
      = help_fold (tab, ctx, rec->cancel ? JOB_KEY_CANCEL : JOB_KEY_PROGRESS,
                   ID, data, len);
  job_note_record (res.job, &res, limit, 2000);
  return res;
}

/* Guards against a job that was shown as failed and runs again (BUDGET), or is
   shown otherwise, by a process that has another configuration or has started
   since.  */
START_TEST (test_outcome_is_recorded)
{
  ctx = talloc_new (NULL);
  for (size_t n = 0; n < sizeof attempts / sizeof *attempts; n++)
    {
      struct job_table tab;
      struct job_fold_result res = { 0 };
      job_table_init (&tab);
      struct job *job = help_fold_job (
          &tab, ctx, ID, "{\"steps\":[{\"count\":1}]}", 10, 0, 1000);
      for (size_t k = 0; k < cases[_i].count; k++)
        res = fold (&tab, &cases[_i].records[k], attempts[n]);
      ck_assert_msg (job->logged_state == cases[_i].states[n],
                     "%s, attempts %u: %d", cases[_i].name, attempts[n],
                     job->logged_state);
      ck_assert_int_eq (job->state, cases[_i].states[n]);
      ck_assert_msg (res.outcome_differs == cases[_i].differs, "%s",
                     cases[_i].name);
      ck_assert_msg ((res.change == JOB_CHANGE_STALE) == cases[_i].differs,
                     "%s", cases[_i].name);
      job_table_fini (&tab);
    }
  talloc_free (ctx);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("job_outcomes");
  TCase *tc = tcase_create ("job_outcomes");
  tcase_add_loop_test (tc, test_outcome_is_recorded, 0,
                       sizeof cases / sizeof *cases);
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed != 0;
}
