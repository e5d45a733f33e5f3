#include <check.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <tevent.h>

#include "base/clock.h"
#include "base/counter.h"
#include "entry/control_priv.h"
#include "store/log_store.h"

/* Tests of the control thread of an entry process.  */

#define HOST_LIST "{\"version\":3,\"hosts\":[]}"
#define POLL_MS 1

/* A store whose log does not answer and whose host list never changes.  */
static struct store
{
  struct log_store st;
  struct tevent_context *ev;
  hosts_fn *fn;
  void *arg;
  int answers;
} store;

static int
fake_append (struct log_store *st, const char *stream, const uint8_t *data,
             size_t len, append_fn *fn, void *arg)
{
  return 0;
}

static int
fake_read (struct log_store *st, const char *stream, uint64_t from,
           size_t max_bytes, int64_t wait_ms, read_fn *fn, void *arg)
{
  return 0;
}

static void
reply (struct tevent_context *ev, struct tevent_immediate *im, void *arg)
{
  const struct hosts_result res
      = { .json = HOST_LIST, .len = strlen (HOST_LIST) };
  talloc_free (im);
  store.answers++;
  store.fn (store.arg, &res);
}

static int
fake_hosts (struct log_store *st, hosts_fn *fn, void *arg)
{
  store.fn = fn;
  store.arg = arg;
  tevent_schedule_immediate (tevent_create_immediate (store.ev), store.ev,
                             reply, NULL);
  return 0;
}

static void
fake_fini (struct log_store *st)
{
}

static const struct log_store_driver driver = {
  .append = fake_append,
  .read = fake_read,
  .hosts = fake_hosts,
  .fini = fake_fini,
};

/* Guards against maintenance waves that stop one minute after the last change
   of the host list: the planner takes the list for out of date, although it is
   read all the time and does not change.  */
START_TEST (test_unchanged_host_list_is_current)
{
  void *ctx = talloc_new (NULL);
  struct counters ctr = { 0 };
  struct clock_manual clk;
  struct control *ctl = NULL;
  const struct control_settings set = { .name = "a-1",
                                        .data_centre = "a",
                                        .incarnation = 1,
                                        .hosts_poll_ms = POLL_MS,
                                        .key_lifetime_ms = 86400000,
                                        .appends_per_s = 10,
                                        .peer_listen = "",
                                        .peers = "",
                                        .peer_secret = "",
                                        .operator_listen = "",
                                        .operator_token = "" };
  static struct host_api hosts;
  clock_manual_init (&clk, 1000 * (int64_t)1000000);
  store.st.drv = &driver;
  store.ev = tevent_context_init (ctx);
  ck_assert_int_eq (control_create (ctx, store.ev, &set, &store.st, &hosts,
                                    &clk.clk, NULL, &ctr, &ctl),
                    0);
  while (store.answers < 2)
    tevent_loop_once (store.ev);
  clk.now_us += 120 * (int64_t)1000000;
  for (int seen = store.answers; store.answers < seen + 2;)
    tevent_loop_once (store.ev);
  ck_assert_int_eq (ctl->hosts_loaded_us, clk.now_us);
  talloc_free (ctx);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("control");
  TCase *tc = tcase_create ("control");
  tcase_add_test (tc, test_unchanged_host_list_is_current);
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed != 0;
}
