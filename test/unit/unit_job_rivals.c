#include <check.h>
#include <string.h>
#include <talloc.h>

#include "job/job_codec.h"
#include "job/job_table.h"

/* Jobs that are stored for several pools.  A record of the table is in the
   partition of its pool; all readers have those of one partition in the same
   order, and those of several partitions in any.  */

#define RECORDS_MAX 4
#define ID 7

enum kind
{
  SPEC,
  PROGRESS,
  CANCEL,
  DELETION,  /* of the specification */
  WITHDRAWAL /* of the pool, by the specification of "c" */
};

struct record
{
  uint32_t part;
  enum kind kind;
  const char *pool;
  uint64_t version;
};

static const struct
{
  const char *name;
  struct record records[RECORDS_MAX];
  size_t count;
  const char *holds; /* NULL: the job is not known */
  bool contested;
  enum job_state state;
} cases[] = {
  { "the later configuration holds",
    { { 0, SPEC, "a", 2 }, { 1, SPEC, "b", 1 } },
    2,
    "a",
    true,
    JOB_QUEUED },
  { "the same version, or none stated",
    { { 0, SPEC, "a", 0 }, { 1, SPEC, "b", 0 } },
    2,
    "b",
    true,
    JOB_QUEUED },
  { "what has been started holds",
    { { 0, SPEC, "a", 2 }, { 1, SPEC, "b", 1 }, { 1, PROGRESS, "b", 0 } },
    3,
    "b",
    true,
    JOB_RUNNING },
  { "both have been started",
    { { 0, SPEC, "a", 2 },
      { 0, PROGRESS, "a", 0 },
      { 1, SPEC, "b", 1 },
      { 1, PROGRESS, "b", 0 } },
    4,
    "a",
    true,
    JOB_RUNNING },
  { "withdrawn",
    { { 0, SPEC, "a", 2 }, { 1, SPEC, "b", 1 }, { 1, DELETION, "b", 0 } },
    3,
    "a",
    false,
    JOB_QUEUED },
  { "withdrawn in favour of the started one",
    { { 0, SPEC, "a", 1 },
      { 0, PROGRESS, "a", 0 },
      { 1, SPEC, "b", 2 },
      { 1, DELETION, "b", 0 } },
    4,
    "a",
    false,
    JOB_RUNNING },
  { "cancelled in either partition",
    { { 0, SPEC, "a", 2 }, { 1, SPEC, "b", 1 }, { 1, CANCEL, "b", 0 } },
    3,
    "a",
    true,
    JOB_CANCELLED },
  { "two pools of one partition",
    { { 0, SPEC, "a", 2 }, { 0, SPEC, "c", 1 } },
    2,
    "a",
    true,
    JOB_QUEUED },
  { "withdrawn in one partition",
    { { 0, SPEC, "a", 1 }, { 0, SPEC, "c", 2 }, { 0, WITHDRAWAL, "a", 2 } },
    3,
    "c",
    false,
    JOB_QUEUED },
  /* Only a version that knows of one row deletes the key of both.  */
  { "two pools of one partition, deleted",
    { { 0, SPEC, "a", 2 }, { 0, SPEC, "c", 1 }, { 0, DELETION, "a", 0 } },
    3,
    "c",
    false,
    JOB_CANCELLED },
  { "progress in one partition, without the name of the pool",
    { { 0, SPEC, "a", 1 }, { 0, SPEC, "c", 2 }, { 0, PROGRESS, "a", 0 } },
    3,
    "a",
    true,
    JOB_RUNNING },
  { "deleted and not withdrawn",
    { { 0, SPEC, "a", 1 }, { 0, DELETION, "a", 0 } },
    2,
    "a",
    false,
    JOB_CANCELLED },
};

static void *ctx;

static void
make_spec (const struct record *rec, uint8_t **data, size_t *len)
{
  struct step stp = { .count = 2,
                      .need = { .cpu_milli = 100 },
                      .required_label = "",
                      .data_rack = "",
                      .image = "" };
  const struct job_spec spec = { .spec = "s", .steps = &stp, .step_count = 1 };
  bool withdrawal = rec->kind == WITHDRAWAL;
  const struct job_acceptance acc
      = { .queue = "q",
          .pool = withdrawal ? "c" : rec->pool,
          .config_version = rec->version,
          .withdrawn_pool = withdrawal ? rec->pool : NULL };
  ck_assert_int_eq (job_encode_spec (ctx, &acc, &spec, data, len), 0);
}

/* Progress of an owner that has started a task and knows of no other pool.  */
static void
make_progress (uint8_t **data, size_t *len)
{
  struct task tasks[2] = { { .prg.last_run = 1 } };
  struct step stp = { .count = 2 };
  uint32_t step_done = 0;
  struct occurrence occ = { .tasks = tasks, .step_done = &step_done };
  struct job job = { .id = ID,
                     .spec = { .steps = &stp, .step_count = 1 },
                     .task_count = 2,
                     .occurrences = &occ,
                     .occurrence_count = 1 };
  ck_assert_int_eq (job_encode_progress (ctx, &job, 5, data, len), 0);
}

static void
fold (struct job_table *tab, const struct record *rec, uint64_t offset)
{
  static uint8_t cancel[] = { 1 };
  uint8_t *data = NULL;
  size_t len = 0;
  char key[JOB_KEY_BYTES + 1];
  struct job_fold_result res;
  char kind = rec->kind == PROGRESS ? JOB_KEY_PROGRESS
              : rec->kind == CANCEL ? JOB_KEY_CANCEL
                                    : JOB_KEY_SPEC;
  if (rec->kind == SPEC || rec->kind == WITHDRAWAL)
    make_spec (rec, &data, &len);
  else if (rec->kind == PROGRESS)
    make_progress (&data, &len);
  else if (rec->kind == CANCEL)
    {
      data = cancel;
      len = sizeof cancel;
    }
  job_key_format (kind, ID, key);
  ck_assert_int_eq (job_table_fold (tab, ctx, rec->part, offset, key,
                                    JOB_KEY_BYTES, data, len, 1000, &res),
                    0);
  if (res.job)
    job_note_record (res.job, &res, 0, 1000);
}

static void
check_order (size_t n, const size_t *order)
{
  struct job_table tab;
  job_table_init (&tab);
  for (size_t k = 0; k < cases[n].count; k++)
    fold (&tab, &cases[n].records[order[k]], 1 + order[k]);
  const struct job *job = job_table_find (&tab, ID);
  const char *name = cases[n].name;
  ck_assert_msg (job, "%s: not known", name);
  ck_assert_msg (strcmp (job->pool, cases[n].holds) == 0,
                 "%s: %s holds, records %zu %zu %zu %zu", name, job->pool,
                 order[0], order[1], order[2], order[3]);
  ck_assert_msg (job->contested == cases[n].contested, "%s", name);
  ck_assert_uint_eq (tab.contested, cases[n].contested);
  ck_assert_msg (job->logged_state == cases[n].state, "%s: state %d", name,
                 job->logged_state);
  ck_assert_uint_eq (tab.count, 1);
  /* While the job is stored twice, its records are not deleted: the other one
     would be taken for a new job.  */
  job_table_expire (&tab, INT64_MAX, NULL, NULL);
  ck_assert_msg (
      (tab.count == 0)
          == (cases[n].state == JOB_CANCELLED && !cases[n].contested),
      "%s", name);
  job_table_fini (&tab);
}

/* Whether a reader can have the records in this order.  */
static bool
order_possible (size_t n, const size_t *order)
{
  for (size_t k = 0; k < cases[n].count; k++)
    for (size_t m = 0; m < k; m++)
      if (order[m] > order[k]
          && cases[n].records[order[m]].part
                 == cases[n].records[order[k]].part)
        return false;
  return true;
}

/* Guards against processes that disagree on the pool of a job which is stored
   for several, as they have read the partitions in different orders: two
   owners run it, or none does (TWICE, LOST).  */
START_TEST (test_any_order)
{
  size_t n = (size_t)_i;
  size_t total = 1;
  size_t checked = 0;
  ctx = talloc_new (NULL);
  for (size_t k = 0; k < cases[n].count; k++)
    total *= cases[n].count;
  for (size_t code = 0; code < total; code++)
    {
      size_t order[RECORDS_MAX] = { 0 };
      unsigned int used = 0;
      size_t rest = code;
      for (size_t k = 0; k < cases[n].count; k++, rest /= cases[n].count)
        {
          order[k] = rest % cases[n].count;
          used |= 1u << order[k];
        }
      if (used != (1u << cases[n].count) - 1 || !order_possible (n, order))
        continue;
      check_order (n, order);
      checked++;
    }
  ck_assert_uint_gt (checked, 0);
  talloc_free (ctx);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("job_rivals");
  TCase *tc = tcase_create ("job_rivals");
  tcase_add_loop_test (tc, test_any_order, 0, sizeof cases / sizeof *cases);
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed != 0;
}
