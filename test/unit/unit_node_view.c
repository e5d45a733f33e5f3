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

static void
await_config_age (bool old)
{
  for (int n = 0; n < AWAITS_MAX && node_config_current (wld.nod) == old; n++)
    node_world_run (&wld, AWAIT_MS);
  ck_assert (node_config_current (wld.nod) != old);
}

static void
setup (void)
{
  node_world_create (&wld, false);
  config = topic_memory_part (&wld.mem, WIRE_TOPIC_OPERATOR, 0);
  node_world_add_job (&wld, 7);
  await_config_age (false);
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

static const struct
{
  enum front_op op;
  const char *path;
  int current; /* answer with the newest configuration */
  int old;     /* with one that may have been replaced */
} answers[] = {
  /* A route that was added seconds ago is denied (CONFIG).  */
  { FRONT_STATE, "/added/", FRONT_NO_QUEUE, FRONT_REJECTED },
  { FRONT_STATE, "/added/0000000000000007", FRONT_NO_QUEUE, FRONT_REJECTED },
  { FRONT_SUBMIT, "/added/0000000000000009", FRONT_NO_QUEUE, FRONT_REJECTED },
  { FRONT_CANCEL, "/added/0000000000000007", FRONT_NO_QUEUE, FRONT_REJECTED },
  /* So is one below the prefix of another.  */
  { FRONT_STATE, "/q/added/", FRONT_INVALID, FRONT_REJECTED },
  { FRONT_SUBMIT, "/q/added/0000000000000009", FRONT_INVALID, FRONT_REJECTED },
  /* A route that was removed seconds ago is served (CONFIG).  */
  { FRONT_STATE, "/q/", FRONT_QUEUE_WAITING, FRONT_REJECTED },
  { FRONT_SUBMIT, UNKNOWN, PENDING, FRONT_REJECTED },
  { FRONT_CANCEL, UNKNOWN, PENDING, FRONT_REJECTED },
  /* A job whose queue was sent to another pool is denied (LOST).  */
  { FRONT_STATE, UNKNOWN, FRONT_NO_JOB, FRONT_REJECTED },
  /* What is known of a job is withheld, although it stays true.  */
  { FRONT_STATE, KNOWN, FRONT_JOB_STATE, FRONT_JOB_STATE },
  { FRONT_SUBMIT, KNOWN, FRONT_OK, FRONT_OK },
  { FRONT_CANCEL, KNOWN, PENDING, PENDING },
};

/* Guards against answers that only an older configuration allows, from a
   process that has not read the configuration for some time.  */
START_TEST (test_answer_with_old_config)
{
  for (int old = 0; old < 2; old++)
    {
      int expected = old ? answers[_i].old : answers[_i].current;
      if (old)
        {
          config->hold_reads = true;
          await_config_age (true);
        }
      wld.replies = 0;
      handle (answers[_i].op, answers[_i].path);
      ck_assert_uint_eq (wld.replies, expected != PENDING);
      if (expected != PENDING)
        ck_assert_int_eq (wld.last_reply.status, expected);
      if (expected == FRONT_REJECTED)
        {
          ck_assert_str_eq (wld.last_reply.reason, "view_too_old");
          ck_assert_int_gt (wld.last_reply.retry_after_ms, 0);
        }
      /* The second round has to meet the job as the first one did.  */
      if (answers[_i].op != FRONT_STATE && !old)
        {
          teardown ();
          setup ();
        }
    }
  config->hold_reads = false;
  while (topic_memory_run_held (config))
    ;
  await_config_age (false);
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
  tcase_add_loop_test (tc, test_answer_with_old_config, 0,
                       sizeof answers / sizeof *answers);
  tcase_add_test (tc, test_two_waits_within_age_limit);
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed != 0;
}
