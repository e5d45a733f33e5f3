#include <check.h>
#include <string.h>
#include <talloc.h>

#include "node_world.h"
#include "platform/wire_decode.h"

/* What a process tells clients while its view of the configuration or of the
   jobs is old (node/requests.c).  */

#define AWAIT_MS 20
#define AWAITS_MAX 1000

static struct node_world wld;
static struct memory_part *config;

static void
handle (enum front_op op, const char *path)
{
  struct front_request *req = talloc_zero (wld.nod, struct front_request);
  static const char job[] = "{\"steps\":[{\"count\":1,\"cpu\":1}]}";
  req->op = op;
  req->host = "h";
  req->path = talloc_strdup (req, path);
  req->body = (const uint8_t *)job;
  req->body_len = sizeof job - 1;
  node_handle_request (wld.nod, req);
}

enum config_age
{
  CURRENT,
  OLD,      /* a version may be in force that is not known here */
  VERY_OLD, /* such a version may be in force for seconds */
  AGES,
};

static enum config_age
config_age (void)
{
  if (node_config_current (wld.nod))
    return CURRENT;
  return node_config_usable (wld.nod) ? OLD : VERY_OLD;
}

static void
await_config_age (enum config_age age)
{
  for (int n = 0; n < AWAITS_MAX && config_age () != age; n++)
    node_world_run (&wld, AWAIT_MS);
  ck_assert_int_eq (config_age (), age);
}

static void
setup (void)
{
  node_world_create (&wld, false);
  config = topic_memory_part (&wld.mem, WIRE_TOPIC_OPERATOR, 0);
  node_world_add_job (&wld, 7);
  await_config_age (CURRENT);
  node_world_run (&wld, 200);
}

static void
teardown (void)
{
  node_world_fini (&wld);
}

#define KNOWN "/q/0000000000000007"
#define UNKNOWN "/q/0000000000000008"
/* An answer that follows later.  */
#define PENDING -1
#define REJECTED FRONT_REJECTED

static const struct
{
  enum front_op op;
  const char *path;
  int expected[AGES];
} answers[] = {
  /* A route that was added seconds ago is denied (CONFIG).  */
  { FRONT_STATE, "/added/", { FRONT_NO_QUEUE, REJECTED, REJECTED } },
  { FRONT_STATE,
    "/added/0000000000000007",
    { FRONT_NO_QUEUE, REJECTED, REJECTED } },
  { FRONT_SUBMIT,
    "/added/0000000000000009",
    { FRONT_NO_QUEUE, REJECTED, REJECTED } },
  { FRONT_CANCEL,
    "/added/0000000000000007",
    { FRONT_NO_QUEUE, REJECTED, REJECTED } },
  /* So is one below the prefix of another.  */
  { FRONT_STATE, "/q/added/", { FRONT_INVALID, REJECTED, REJECTED } },
  { FRONT_SUBMIT,
    "/q/added/0000000000000009",
    { FRONT_INVALID, REJECTED, REJECTED } },
  /* A route that was removed is served (CONFIG).  */
  { FRONT_STATE, "/q/", { FRONT_QUEUE_WAITING, REJECTED, REJECTED } },
  { FRONT_SUBMIT, UNKNOWN, { PENDING, PENDING, REJECTED } },
  { FRONT_CANCEL, UNKNOWN, { PENDING, PENDING, REJECTED } },
  /* A job whose queue was sent to another pool is denied (LOST).  */
  { FRONT_STATE, UNKNOWN, { FRONT_NO_JOB, REJECTED, REJECTED } },
  /* What is known of a job is withheld, although it stays true.  */
  { FRONT_SUBMIT, KNOWN, { FRONT_OK, FRONT_OK, FRONT_OK } },
  { FRONT_CANCEL, KNOWN, { PENDING, PENDING, PENDING } },
};

/* Guards against answers that only an older configuration allows, from a
   process that has not read the configuration for some time.  The event loop
   does not run between the requests, so that all meet the same state.  */
START_TEST (test_answer_with_old_config)
{
  enum config_age age = (enum config_age)_i;
  config->hold_reads = age != CURRENT;
  await_config_age (age);
  /* What is known of a job is withheld, although it stays true.  */
  wld.replies = 0;
  handle (FRONT_STATE, KNOWN);
  node_world_run (&wld, 100);
  ck_assert_uint_eq (wld.replies, 1);
  ck_assert_int_eq (wld.last_reply.status, FRONT_JOB_STATE);
  await_config_age (age);
  for (size_t n = 0; n < sizeof answers / sizeof *answers; n++)
    {
      int expected = answers[n].expected[age];
      wld.replies = 0;
      handle (answers[n].op, answers[n].path);
      ck_assert_msg (wld.replies == (expected != PENDING), "row %zu", n);
      if (expected != PENDING)
        ck_assert_msg ((int)wld.last_reply.status == expected,
                       "row %zu: status %d", n, wld.last_reply.status);
      if (expected == REJECTED)
        {
          ck_assert_str_eq (wld.last_reply.reason, "view_too_old");
          ck_assert_int_gt (wld.last_reply.retry_after_ms, 0);
        }
    }
}
END_TEST

/* Guards against a job that is told as never running and runs: an earlier
   submission of it waits for the store.  */
START_TEST (test_rejection_beside_earlier_try)
{
  config->hold_reads = true;
  wld.jobs->hold_appends = true;
  handle (FRONT_SUBMIT, UNKNOWN);
  await_config_age (VERY_OLD);
  wld.replies = 0;
  handle (FRONT_SUBMIT, UNKNOWN);
  ck_assert_uint_eq (wld.replies, 1);
  ck_assert_int_eq (wld.last_reply.status, FRONT_OUTCOME_UNKNOWN);
  handle (FRONT_SUBMIT, "/q/0000000000000009");
  ck_assert_int_eq (wld.last_reply.status, FRONT_REJECTED);
}
END_TEST

/* Guards against a process that goes on rejecting requests once it has read
   the configuration again.  */
START_TEST (test_config_read_again)
{
  config->hold_reads = true;
  await_config_age (OLD);
  config->hold_reads = false;
  while (topic_memory_run_held (config))
    ;
  await_config_age (CURRENT);
  handle (FRONT_STATE, "/added/");
  ck_assert_int_eq (wld.last_reply.status, FRONT_NO_QUEUE);
}
END_TEST

/* Guards against a process without faults that rejects requests: the view is
   as old as the start of the last read, while the next one waits.  */
START_TEST (test_two_waits_within_age_limit)
{
  ck_assert_int_gt (config->read_wait_ms, 0);
  ck_assert_int_lt (2 * config->read_wait_ms, wld.nod->set->config_age_max_ms);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("node_view");
  TCase *tc = tcase_create ("node_view");
  tcase_set_timeout (tc, 60);
  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_add_loop_test (tc, test_answer_with_old_config, 0, AGES);
  tcase_add_test (tc, test_rejection_beside_earlier_try);
  tcase_add_test (tc, test_config_read_again);
  tcase_add_test (tc, test_two_waits_within_age_limit);
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed != 0;
}
