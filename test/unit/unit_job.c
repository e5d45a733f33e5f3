#include <check.h>
#include <string.h>
#include <talloc.h>

#include "base/err.h"
#include "job/job_codec.h"
#include "job_help.h"
#include "platform/wire_decode.h"

#define TWO_STEPS                                                             \
  "{\"spec\":\"s\",\"steps\":[{\"count\":2,\"cpu\":500,\"mem-mb\":64,"        \
  "\"estimate-ms\":900},{\"count\":3,\"cpu\":1000,\"after\":[0]}]}"

static void *ctx;
static struct job_table tab;

static void
setup (void)
{
  ctx = talloc_new (NULL);
  job_table_init (&tab);
}

static void
teardown (void)
{
  job_table_fini (&tab);
  talloc_free (ctx);
}

static struct job_fold_result
fold_progress (struct job_table *into, const struct job *from, uint64_t token)
{
  uint8_t *data;
  size_t len;
  ck_assert_int_eq (job_encode_progress (ctx, from, token, &data, &len), 0);
  return help_fold (into, ctx, JOB_KEY_PROGRESS, from->id, data, len);
}

/* Guards against a malformed task reference that is parsed as the reference of
   another task.  */
START_TEST (test_task_ref_text)
{
  static const struct
  {
    const char *text;
    bool valid;
  } cases[] = {
    { "5c0e7a21d94b36f8.0.1.17", true },
    { "5c0e7a21d94b36f8.0.1", false },
    { "5c0e7a21d94b36f8.0.1.17.2", false },
    { "5c0e7a21d94b36f.0.1.17", false },
    { "5c0e7a21d94b36fg.0.1.17", false },
    { "5c0e7a21d94b36f8.-1.1.17", false },
    { "5c0e7a21d94b36f8.0.1.99999999999", false },
  };
  for (size_t n = 0; n < sizeof cases / sizeof *cases; n++)
    {
      struct task_ref ref;
      char text[TASK_NAME_MAX];
      ck_assert_msg (task_ref_parse (cases[n].text, &ref) == cases[n].valid,
                     "%s", cases[n].text);
      if (!cases[n].valid)
        continue;
      task_ref_format (&ref, text);
      ck_assert_str_eq (text, cases[n].text);
    }
}
END_TEST

/* Guards against a repeated request that replaces or duplicates its job: a
   second specification with the same id is ignored.  */
START_TEST (test_repeated_spec)
{
  struct job *job = help_fold_job (&tab, ctx, 7, TWO_STEPS, 10, 0, 1000);
  struct job *again = help_fold_job (
      &tab, ctx, 7, "{\"spec\":\"other\",\"steps\":[{\"count\":9}]}", 11, 0,
      2000);
  ck_assert_ptr_eq (job, again);
  ck_assert_uint_eq (job->offset, 10);
  ck_assert_str_eq (job->spec.spec, "s");
  ck_assert_uint_eq (job->task_count, 5);
  ck_assert_uint_eq (tab.count, 1);
}
END_TEST

/* Guards against processes that differ in a job's progress after reading the
   same records: done tasks stay done, a record that is folded twice counts
   once, and a record with less progress than the job is reported.  */
START_TEST (test_progress)
{
  struct job_table other;
  job_table_init (&other);
  struct job *job = help_fold_job (&tab, ctx, 7, TWO_STEPS, 10, 0, 1000);
  struct job *copy = help_fold_job (&other, ctx, 7, TWO_STEPS, 10, 0, 1000);
  const struct task_ref first = { .job = 7, .step = 0, .index = 1 };
  job->started = true;
  job->occurrences[0].tasks[1].prg.last_run = 2;
  job_mark_task_done (job, &first);
  struct job_fold_result res = fold_progress (&other, job, 5);
  ck_assert_int_eq (res.change, JOB_CHANGE_PROGRESS);
  ck_assert_uint_eq (res.token, 5);
  ck_assert (copy->occurrences[0].tasks[1].prg.done);
  ck_assert_uint_eq (copy->occurrences[0].step_done[0], 1);
  ck_assert_uint_eq (copy->occurrences[0].tasks[1].prg.last_run, 2);
  ck_assert_int_eq (fold_progress (&other, job, 5).change, JOB_CHANGE_NONE);

  const struct task_ref second = { .job = 7, .step = 0, .index = 0 };
  job_mark_task_done (copy, &second);
  ck_assert_int_eq (fold_progress (&other, job, 5).change, JOB_CHANGE_STALE);
  ck_assert_uint_eq (copy->occurrences[0].step_done[0], 2);
  job_table_fini (&other);
}
END_TEST

/* Guards against more runs of a task than the queue's attempts.  A new owner
   reads the ended runs of two workers in any order; the failure of a later run
   used to hide the failure of an earlier one.  */
START_TEST (test_failures_in_any_order)
{
  struct job *job = help_fold_job (&tab, ctx, 7, TWO_STEPS, 10, 0, 1000);
  struct task *tsk = &job->occurrences[0].tasks[0];
  uint64_t first = job_failure_key ("w1", 1000, 1);
  uint64_t second = job_failure_key ("w1", 1000, 2);
  ck_assert (job_add_failure (job, 0, 0, second, false));
  ck_assert (job_add_failure (job, 0, 0, first, false));
  ck_assert (!job_add_failure (job, 0, 0, second, false));
  ck_assert_uint_eq (tsk->failures, 2);
  ck_assert (!job_update_state (job, 3, 5000));
  ck_assert (job_update_state (job, 2, 5000));
  ck_assert_int_eq (job->state, JOB_FAILED);
}
END_TEST

/* Guards against failed runs that a later owner does not know of or counts
   twice: they are part of the progress record.  */
START_TEST (test_failures_in_record)
{
  struct job_table other;
  job_table_init (&other);
  struct job *job = help_fold_job (&tab, ctx, 7, TWO_STEPS, 10, 0, 1000);
  struct job *copy = help_fold_job (&other, ctx, 7, TWO_STEPS, 10, 0, 1000);
  ck_assert (
      job_add_failure (job, 0, 1, job_failure_key ("w1", 1000, 1), false));
  ck_assert (
      job_add_failure (job, 0, 1, job_failure_key ("w2", 1000, 1), false));
  ck_assert_int_eq (fold_progress (&other, job, 5).change,
                    JOB_CHANGE_PROGRESS);
  ck_assert_uint_eq (copy->occurrences[0].tasks[1].failures, 2);
  ck_assert_int_eq (fold_progress (&other, job, 5).change, JOB_CHANGE_NONE);
  ck_assert (
      !job_add_failure (copy, 0, 1, job_failure_key ("w2", 1000, 1), false));
  /* A failure that is not in the log makes a record stale, and is dropped when
     the ownership ends.  */
  ck_assert (
      job_add_failure (copy, 0, 0, job_failure_key ("w1", 1000, 1), false));
  ck_assert_int_eq (fold_progress (&other, job, 5).change, JOB_CHANGE_STALE);
  job_revert_to_log (copy);
  ck_assert_uint_eq (copy->occurrences[0].tasks[0].failures, 0);
  ck_assert_uint_eq (copy->occurrences[0].tasks[1].failures, 2);
  job_table_fini (&other);
}
END_TEST

/* Guards against a job that is reported as ended before its end is in the log:
   when the owner fails in between, the next owner resumes the job.  */
START_TEST (test_logged_state)
{
  struct job *job = help_fold_job (&tab, ctx, 7, "{\"steps\":[{\"count\":1}]}",
                                   10, 0, 1000);
  const struct task_ref ref = { .job = 7 };
  struct job_table before;
  job_table_init (&before);
  struct job *old = help_fold_job (&before, ctx, 7,
                                   "{\"steps\":[{\"count\":1}]}", 10, 0, 1000);
  old->started = true;
  old->occurrences[0].tasks[0].prg.last_run = 1;

  job->started = true;
  job_mark_task_done (job, &ref);
  job_update_state (job, 2, 2000);
  ck_assert_int_eq (job->state, JOB_COMPLETED);
  struct job_fold_result res = fold_progress (&tab, old, 5);
  job_note_record (job, &res, 2, 2000);
  ck_assert_int_eq (job->logged_state, JOB_RUNNING);
  res = fold_progress (&tab, job, 5);
  job_note_record (job, &res, 2, 2000);
  ck_assert_int_eq (job->logged_state, JOB_COMPLETED);
  job_table_fini (&before);
}
END_TEST

/* Guards against a job that is reported as ended before its end is in the log:
   its specification is read a second time, since the client sent the request
   to two processes or since the newest records are read again.  Of the log's
   progress that says nothing.  */
START_TEST (test_logged_state_after_repeated_spec)
{
  struct job *job = help_fold_job (&tab, ctx, 7, "{\"steps\":[{\"count\":1}]}",
                                   10, 0, 1000);
  const struct task_ref ref = { .job = 7 };
  struct job_spec spec;
  const char *fault;
  uint8_t *data;
  size_t len;
  static const char json[] = "{\"steps\":[{\"count\":1}]}";
  job->started = true;
  job_mark_task_done (job, &ref);
  job_update_state (job, 2, 2000);
  ck_assert_int_eq (job->state, JOB_COMPLETED);
  ck_assert_int_eq (wire_decode_job (ctx, (const uint8_t *)json, strlen (json),
                                     &spec, &fault),
                    0);
  ck_assert_int_eq (
      job_encode_spec (ctx,
                       &(struct job_acceptance){
                           .queue = "q", .pool = "p", .accepted_ms = 1001 },
                       &spec, &data, &len),
      0);
  struct job_fold_result res
      = help_fold (&tab, ctx, JOB_KEY_SPEC, 7, data, len);
  ck_assert_ptr_eq (res.job, job);
  job_note_record (job, &res, 2, 2000);
  ck_assert_int_lt (job->logged_state, JOB_COMPLETED);
}
END_TEST

/* Guards against a finished or cancelled job that runs again (TWICE, UNASKED):
   a process that reads by key may get its specification, while its progress
   and cancellation were deleted before they were read.  */
START_TEST (test_deleted_job)
{
  static const struct
  {
    enum job_state logged;
    char kind; /* of the deleted record */
    enum job_change change;
    size_t left; /* jobs after the next expiry */
  } cases[] = {
    { JOB_QUEUED, JOB_KEY_SPEC, JOB_CHANGE_CANCELLED, 0 },
    { JOB_RUNNING, JOB_KEY_SPEC, JOB_CHANGE_CANCELLED, 0 },
    { JOB_COMPLETED, JOB_KEY_SPEC, JOB_CHANGE_NONE, 1 },
    { JOB_RUNNING, JOB_KEY_PROGRESS, JOB_CHANGE_NONE, 1 },
    { JOB_RUNNING, JOB_KEY_CANCEL, JOB_CHANGE_NONE, 1 },
  };
  for (size_t n = 0; n < sizeof cases / sizeof *cases; n++)
    {
      struct job *job = help_fold_job (&tab, ctx, n, TWO_STEPS, 10, 0, 1000);
      job->state = job->logged_state = cases[n].logged;
      size_t before = tab.count;
      ck_assert_int_eq (
          help_fold (&tab, ctx, cases[n].kind, n, NULL, 0).change,
          cases[n].change);
      job_table_expire (&tab, 0, NULL, NULL);
      ck_assert_uint_eq (tab.count, before - 1 + cases[n].left);
    }
  /* A job that is not known.  */
  ck_assert_ptr_null (help_fold (&tab, ctx, JOB_KEY_SPEC, 99, NULL, 0).job);
}
END_TEST

/* Guards against a cancellation that is lost because it is read before the
   job's specification (the newest records are read in key order), and against
   one that changes the state of an ended job.  */
START_TEST (test_cancel)
{
  static const uint8_t mark[1] = { 1 };
  char spec[JOB_KEY_BYTES + 1], cancel[JOB_KEY_BYTES + 1];
  job_key_format (JOB_KEY_SPEC, 7, spec);
  job_key_format (JOB_KEY_CANCEL, 7, cancel);
  ck_assert_int_lt (strcmp (spec, cancel), 0);

  struct job *job = help_fold_job (&tab, ctx, 7, TWO_STEPS, 10, 0, 1000);
  ck_assert_int_eq (help_fold (&tab, ctx, JOB_KEY_CANCEL, 7, mark, 1).change,
                    JOB_CHANGE_CANCELLED);
  ck_assert_int_eq (job->logged_state, JOB_CANCELLED);
  ck_assert_int_eq (help_fold (&tab, ctx, JOB_KEY_CANCEL, 7, mark, 1).change,
                    JOB_CHANGE_NONE);
  ck_assert (!job_update_state (job, 2, 2000));
}
END_TEST

/* Guards against a malformed job that is accepted or crashes the process.  */
START_TEST (test_bad_jobs)
{
  static const struct
  {
    const char *json;
    const char *fault;
  } cases[] = {
    { "", "body" },
    { "[]", "body" },
    { "{\"spec\":1,\"steps\":[{\"count\":1}]}", "spec" },
    { "{\"spec\":\"s\"}", "steps" },
    { "{\"steps\":[]}", "steps" },
    { "{\"steps\":[1]}", "steps" },
    { "{\"steps\":[{\"count\":-1}]}", "count" },
    { "{\"steps\":[{\"count\":1,\"after\":[0]}]}", "after" },
    { "{\"steps\":[{\"count\":1},{\"count\":1,\"after\":[1]}]}", "after" },
    { "{\"steps\":[{\"count\":1,\"cpu\":-5}]}", "cpu" },
    { "{\"steps\":[{\"count\":9000},{\"count\":9000}]}", "max-runs" },
    { "{\"steps\":[{\"count\":1}],\"max-runs\":-1}", "max-runs" },
  };
  for (size_t n = 0; n < sizeof cases / sizeof *cases; n++)
    {
      struct job_spec spec;
      const char *fault = "";
      ck_assert_int_eq (wire_decode_job (ctx, (const uint8_t *)cases[n].json,
                                         strlen (cases[n].json), &spec,
                                         &fault),
                        ERR_INVALID);
      ck_assert_str_eq (fault, cases[n].fault);
    }
}
END_TEST

/* Guards against a malformed record that crashes the process.  */
START_TEST (test_bad_records)
{
  static const uint8_t junk[] = { 0xff, 0xff, 0xff, 0x01 };
  struct job_fold_result res;
  char key[JOB_KEY_BYTES + 1];
  job_key_format (JOB_KEY_SPEC, 9, key);
  ck_assert_int_eq (job_table_fold (&tab, ctx, 0, 1, key, JOB_KEY_BYTES, junk,
                                    sizeof junk, 0, &res),
                    ERR_PROTOCOL);
  ck_assert_int_eq (
      job_table_fold (&tab, ctx, 0, 1, "x", 1, junk, sizeof junk, 0, &res),
      ERR_PROTOCOL);
  ck_assert_uint_eq (tab.count, 0);
}
END_TEST

/* Guards against waiting jobs that are not counted, and against ended jobs
   that are never freed.  */
START_TEST (test_waiting_and_expiry)
{
  struct job *one = help_fold_job (&tab, ctx, 1, TWO_STEPS, 1, 0, 1000);
  help_fold_job (&tab, ctx, 2, TWO_STEPS, 2, 0, 1000);
  ck_assert_uint_eq (job_table_count_waiting (&tab, "q"), 2);
  ck_assert_uint_eq (job_table_count_waiting (&tab, "r"), 0);
  one->started = true;
  job_update_state (one, 2, 1500);
  ck_assert_uint_eq (job_table_count_waiting (&tab, "q"), 1);
  one->state = JOB_COMPLETED;
  one->ended_us = 2000;
  job_table_expire (&tab, 2000, NULL, NULL);
  ck_assert_uint_eq (tab.count, 2);
  job_table_expire (&tab, 2001, NULL, NULL);
  ck_assert_ptr_null (job_table_find (&tab, 1));
}
END_TEST

/* Guards against a job that runs although its cancellation was confirmed.  The
   cancellation comes first in the log when the append of the job has no
   answer, the client gives up, and the repeated append succeeds.  */
START_TEST (test_cancel_before_spec)
{
  const uint8_t mark[] = { 1 };
  for (int n = 0; n < 2; n++)
    help_fold (&tab, ctx, JOB_KEY_CANCEL, 7, mark, 1);
  struct job *job = help_fold_job (&tab, ctx, 7, TWO_STEPS, 5, 0, 1000);
  ck_assert_int_eq (job->state, JOB_CANCELLED);
  ck_assert_int_eq (job->logged_state, JOB_CANCELLED);
  job = help_fold_job (&tab, ctx, 8, TWO_STEPS, 6, 0, 1000);
  ck_assert_int_eq (job->state, JOB_QUEUED);
  ck_assert_ptr_nonnull (tab.early);
  job_table_expire (&tab, 1, NULL, NULL);
  ck_assert_ptr_null (tab.early);
}
END_TEST

/* Guards against a cancelled job that runs when its former owner owns the pool
   again.  The owner knew the job's end, but the log had the cancellation and
   not that end.  */
START_TEST (test_cancel_of_unlogged_end)
{
  const uint8_t mark[] = { 1 };
  struct job *job = help_fold_job (&tab, ctx, 7, "{\"steps\":[{\"count\":1}]}",
                                   10, 0, 1000);
  const struct task_ref ref = { .job = 7 };
  job->started = true;
  job_mark_task_done (job, &ref);
  job_update_state (job, 2, 2000);
  ck_assert_int_eq (job->state, JOB_COMPLETED);
  ck_assert_int_eq (help_fold (&tab, ctx, JOB_KEY_CANCEL, 7, mark, 1).change,
                    JOB_CHANGE_CANCELLED);
  job_revert_to_log (job);
  ck_assert_int_eq (job->state, JOB_CANCELLED);
  ck_assert_int_eq (job->logged_state, JOB_CANCELLED);
}
END_TEST

/* Guards against a job that other processes show as queued for as long as it
   runs.  Its owner records that it has started only if it does not take that
   for recorded, after an earlier ownership in which the record failed.  */
START_TEST (test_unlogged_start)
{
  struct job *jobs[2];
  struct job_table other;
  job_table_init (&other);
  for (int n = 0; n < 2; n++)
    {
      jobs[n] = help_fold_job (&tab, ctx, (uint64_t)n + 1, TWO_STEPS, 1, 0, 1);
      jobs[n]->started = true;
      jobs[n]->occurrences[0].tasks[0].prg.last_run = 1;
      job_update_state (jobs[n], 2, 2000);
    }
  struct job *logged = help_fold_job (&other, ctx, 2, TWO_STEPS, 1, 0, 1);
  logged->occurrences[0].tasks[0].prg.last_run = 1;
  fold_progress (&tab, logged, 5);
  for (int n = 0; n < 2; n++)
    job_revert_to_log (jobs[n]);
  ck_assert (!jobs[0]->started);
  ck_assert_int_eq (jobs[0]->state, JOB_QUEUED);
  ck_assert (jobs[1]->started);
  ck_assert_int_eq (jobs[1]->state, JOB_RUNNING);
  job_table_fini (&other);
}
END_TEST

/* Guards against a job that stops all others of its pool: the progress of its
   many occurrences exceeded the largest record, which the pool's owner
   repeated for ever.  */
START_TEST (test_progress_of_many_occurrences)
{
  static const char json[]
      = "{\"steps\":[{\"count\":300,\"cpu\":1000,\"mem-mb\":64}],"
        "\"max-runs\":1000,\"interval-ms\":1000}";
  struct job_table other;
  struct job_fold_result res;
  uint8_t *data;
  size_t len;
  job_table_init (&other);
  struct job *job = help_fold_job (&tab, ctx, 1, json, 10, 1, 1);
  struct job *copy = help_fold_job (&other, ctx, 1, json, 10, 1, 1);
  for (uint32_t n = 0; n < 1000; n++)
    {
      struct task_ref ref = { .job = 1, .occurrence = n };
      for (ref.index = 0; n < 990 && ref.index < 300; ref.index++)
        {
          job_task (job, &ref)->prg.last_run = 1 + n % 3;
          if (n < 980 || ref.index % 2)
            job_mark_task_done (job, &ref);
        }
    }
  ck_assert_int_eq (job_encode_progress (ctx, job, 5, &data, &len), 0);
  ck_assert_uint_lt (len, 262144 / 4);
  res = help_fold (&other, ctx, JOB_KEY_PROGRESS, 1, data, len);
  ck_assert_int_eq (res.change, JOB_CHANGE_PROGRESS);
  ck_assert (copy->started);
  for (uint32_t n = 0; n < 1000; n++)
    {
      ck_assert_uint_eq (copy->occurrences[n].done, job->occurrences[n].done);
      for (uint32_t m = 0; m < 300; m++)
        {
          const struct task *want = &job->occurrences[n].tasks[m];
          const struct task *got = &copy->occurrences[n].tasks[m];
          ck_assert_uint_eq (got->logged.done, want->prg.done);
          if (copy->occurrences[n].done < 300)
            ck_assert_uint_eq (got->logged.last_run, want->prg.last_run);
        }
    }
  /* A record without an occurrence of which progress is known is stale.  */
  const struct task_ref last = { .job = 1, .occurrence = 999 };
  job_mark_task_done (copy, &last);
  res = help_fold (&other, ctx, JOB_KEY_PROGRESS, 1, data, len);
  ck_assert_int_eq (res.change, JOB_CHANGE_STALE);
  /* A job whose tasks are done has begun, whatever the record leaves out.  */
  job_revert_to_log (copy);
  ck_assert (copy->started);
  ck_assert_int_eq (copy->state, JOB_RUNNING);
  job_table_fini (&other);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("job");
  TCase *tc = tcase_create ("job");
  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_add_test (tc, test_task_ref_text);
  tcase_add_test (tc, test_repeated_spec);
  tcase_add_test (tc, test_progress);
  tcase_add_test (tc, test_progress_of_many_occurrences);
  tcase_add_test (tc, test_failures_in_any_order);
  tcase_add_test (tc, test_failures_in_record);
  tcase_add_test (tc, test_logged_state);
  tcase_add_test (tc, test_logged_state_after_repeated_spec);
  tcase_add_test (tc, test_deleted_job);
  tcase_add_test (tc, test_cancel);
  tcase_add_test (tc, test_cancel_before_spec);
  tcase_add_test (tc, test_cancel_of_unlogged_end);
  tcase_add_test (tc, test_unlogged_start);
  tcase_add_test (tc, test_bad_jobs);
  tcase_add_test (tc, test_bad_records);
  tcase_add_test (tc, test_waiting_and_expiry);
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed != 0;
}
