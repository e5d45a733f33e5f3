#include <check.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>
#include <unistd.h>

#include "node/node_priv.h"
#include "placer_world.h"

/* Tests of node/directory.c.  The store records the read of the workers'
   entries, and the test completes it.  */

#define ONE_TASK_JOB                                                          \
  "{\"steps\":[{\"count\":1,\"cpu\":1000,\"mem-mb\":64,\"estimate-ms\":900}]" \
  "}"
#define GOOD_SERVICE "p"

static struct world *wld;
static struct node *nod;
static topic_read_fn *read_fn;
static void *read_arg;
static FILE *log_file;
static uint64_t offset;

static int
fake_newest (struct topic_store *st, const char *topic, uint32_t part,
             const struct topic_key *after, int64_t timeout_ms,
             topic_read_fn *fn, void *arg)
{
  if (strcmp (topic, "keyed.servers") == 0)
    {
      read_fn = fn;
      read_arg = arg;
    }
  return 0;
}

static int
fake_read (struct topic_store *st, const char *topic, uint32_t part,
           uint64_t from, uint32_t max_kb, int64_t wait_ms, int64_t timeout_ms,
           topic_read_fn *fn, void *arg)
{
  read_fn = fn;
  read_arg = arg;
  return 0;
}

static const struct topic_store_driver driver
    = { .read = fake_read, .newest = fake_newest };

static const struct node_settings settings = { .name = "n1" };

static void
setup (void)
{
  wld = world_create ();
  nod = talloc_zero (NULL, struct node);
  log_file = tmpfile ();
  ck_assert_ptr_nonnull (log_file);
  nod->ev = tevent_context_init (nod);
  nod->clk = &wld->clk.clk;
  nod->lg
      = logger_create (nod, &clock_system, fileno (log_file), LOG_LEVEL_INFO);
  nod->store.st.drv = &driver;
  nod->cat = &wld->cat;
  nod->set = &settings;
  read_fn = NULL;
  offset = 0;
  node_follow_workers (nod);
  follower_set_batch_delay (&nod->directory_fol, 0);
  while (!read_fn)
    tevent_loop_once (nod->ev);
}

static void
teardown (void)
{
  logger_destroy (nod->lg);
  fclose (log_file);
  HASH_CLEAR (hh, nod->directory);
  talloc_free (nod);
  world_destroy (wld);
}

/* Delivers one record of the workers' topic.  */
static void
deliver (const char *key, size_t key_len, const char *value)
{
  const struct topic_record rec = { .offset = offset++,
                                    .entry = { .key = key,
                                               .key_len = key_len,
                                               .value = (const uint8_t *)value,
                                               .value_len = strlen (value) } };
  const struct topic_read_result res
      = { .end_offset = offset, .records = &rec, .count = 1 };
  topic_read_fn *fn = read_fn;
  read_fn = NULL;
  fn (read_arg, &res);
  /* The test calls the placer's ticks itself.  */
  if (nod->held_duties)
    TALLOC_FREE (nod->held_duties->timer);
  while (!read_fn)
    tevent_loop_once (nod->ev);
}

/* Delivers a worker's entry that is valid in itself.  */
static void
deliver_entry (const char *id, const char *service, const char *host,
               int64_t born_ms)
{
  char value[512];
  snprintf (value, sizeof value,
            "{\"service\":\"%s\",\"address\":\"10.0.0.1:80\",\"zone\":\"a\","
            "\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
            "\"sequence\":1,\"cold-left-ms\":0,\"born\":%d,\"machine\":\"%s\","
            "\"capacity\":{\"cpu\":4000,\"mem-mb\":8192,\"gpu\":0},"
            "\"labels\":[\"a\",\"r1\"],\"clock-ms\":1000}",
            service, (int)born_ms, host);
  deliver (id, strlen (id), value);
}

static bool
has_entry (const char *id)
{
  for (struct worker_entry *row = nod->directory; row; row = row->hh.next)
    if (strcmp (row->rep.id, id) == 0)
      return true;
  return false;
}

/* Ends the log and returns the number of its lines that contain TEXT.  */
static int
count_log_lines (const char *text)
{
  char line[2048];
  int count = 0;
  logger_destroy (nod->lg);
  nod->lg = NULL;
  rewind (log_file);
  while (fgets (line, sizeof line, log_file))
    count += strstr (line, text) != NULL;
  return count;
}

/* Gives the pool's placer to the node, and the worker w1 to both, with the run
   of a task on it.  */
static void
start_run_on_w1 (void)
{
  struct held_duty *hld = talloc_zero (nod, struct held_duty);
  hld->nod = nod;
  hld->plc = wld->plc;
  name_copy (hld->pool, GOOD_SERVICE);
  nod->held_duties = hld;
  deliver_entry ("w1", GOOD_SERVICE, "m-w1", 1000);
  world_enrol_worker (wld, "w1");
  world_add_job (wld, 1, ONE_TASK_JOB, 200);
  world_tick (wld, 1);
  world_answer (wld, world_call (wld, WORLD_START, "w1"), COMMAND_DONE);
  ck_assert_uint_eq (world_starts (wld, 1, 0), 1);
}

/* Guards against odd entries that hide good ones, that are used as workers, or
   that fill the log: each is named once, whatever it is repeated, and many are
   not named at all.  */
START_TEST (test_odd_entries_among_good)
{
  char key[300];
  memset (key, 'k', sizeof key);
  deliver_entry ("w1", GOOD_SERVICE, "m-w1", 1000);
  for (int n = 0; n < 20; n++)
    {
      deliver ("", 0, "x");
      deliver ("odd", 3, "{\"service\":5}");
      deliver ("odd\n2", 5, "\xff\xfe");
      deliver (key, 255, "{}");
    }
  for (int n = 0; n < 300; n++)
    deliver (key, (size_t)snprintf (key, sizeof key, "odd-%d", n), "[");
  deliver_entry ("w2", GOOD_SERVICE, "m-w2", 1000);
  ck_assert (has_entry ("w1"));
  ck_assert (has_entry ("w2"));
  ck_assert_uint_eq (HASH_COUNT (nod->directory), 2);
  ck_assert_int_eq (count_log_lines ("name=record.invalid"), 64);
  ck_assert_int_eq (count_log_lines ("key=odd "), 1);
  ck_assert_int_eq (count_log_lines ("error=service"), 1);
}
END_TEST

/* Guards against a worker that loses its entry, or gets another one, through a
   key that equals its id up to a NUL.  */
START_TEST (test_key_with_nul)
{
  deliver_entry ("w1", GOOD_SERVICE, "m-w1", 1000);
  deliver ("w1\0x", 4, "{}");
  ck_assert (has_entry ("w1"));
  deliver ("w1\0x", 4, "");
  ck_assert (has_entry ("w1"));
  deliver ("w1", 2, "");
  ck_assert (!has_entry ("w1"));
}
END_TEST

/* Guards against new tasks for a worker whose entry has become odd, and
   against the loss of the runs that it has: they are held, and its end is
   heard.  */
START_TEST (test_entry_becomes_odd)
{
  const struct world_row run = { .job = 1, .run = 1 };
  start_run_on_w1 ();
  deliver ("w1", 2, "{\"state\":\"ready\"}");
  ck_assert (!has_entry ("w1"));
  world_add_job (wld, 2, ONE_TASK_JOB, 201);
  for (int n = 0; n < 8; n++)
    {
      world_confirm_ownership (wld);
      world_tick (wld, 500);
      if (world_call (wld, WORLD_HOLD, "w1"))
        world_answer_hold (wld, "w1", &run, 1, NULL, 0);
    }
  ck_assert_uint_eq (world_starts (wld, 1, 0), 1);
  ck_assert_uint_eq (world_starts (wld, 2, 0), 0);
  world_tick (wld, 500);
  ck_assert_int_gt (world_call (wld, WORLD_HOLD, "w1")->lease_end_ms, 0);
  deliver_entry ("w1", GOOD_SERVICE, "m-w1", 1000);
  world_confirm_ownership (wld);
  world_tick (wld, 100);
  ck_assert_uint_eq (world_starts (wld, 2, 0), 1);
}
END_TEST

/* Guards against a second run of a task whose worker another writer's entry
   seems to replace: a later start on the same host, with a service that the
   configuration does not name.  */
START_TEST (test_unknown_service)
{
  start_run_on_w1 ();
  wld->clk.now_us += 1000;
  deliver_entry ("odd", "zzz", "m-w1", 2000);
  deliver_entry ("w2", GOOD_SERVICE, "m-w2", 1000);
  world_confirm_ownership (wld);
  world_enrol_worker (wld, "w2");
  world_tick (wld, 100);
  ck_assert_uint_eq (world_starts (wld, 1, 0), 1);
  ck_assert_int_eq (count_log_lines ("name=run.lost"), 0);
  ck_assert_int_eq (count_log_lines ("error=service"), 1);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("directory");
  TCase *tc = tcase_create ("directory");
  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_add_test (tc, test_odd_entries_among_good);
  tcase_add_test (tc, test_key_with_nul);
  tcase_add_test (tc, test_entry_becomes_odd);
  tcase_add_test (tc, test_unknown_service);
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed != 0;
}
