#include <check.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base/err.h"
#include "node_world.h"
#include "proto/job.pb-c.h"

/* Tests of the answers of a pool's owner to requests to vacate hosts, and of
   what the holder of the fleet duty makes of them (node/fleet*.c).  The placer
   is asked through the functions __wrap_*, which the linker puts in the place
   of its own, so that the test decides which hosts are kept and empty.  */

#define FAR_MS (INT64_MAX / 2000)

static struct node_world wld;
static enum placer_keep_reason keep; /* of the host m-w1 */
static bool empty;
static bool asked;       /* the placer is to empty the host */
static uint32_t begins;  /* of such requests */
static uint32_t ends;    /* withdrawals */
static bool fail_append; /* of answers */

bool __wrap_placer_vacate (struct placer *plc, const char *host,
                           int64_t until_us);
bool __wrap_placer_host_kept (const struct placer *plc, const char *host,
                              struct placer_kept *kept);
bool __wrap_placer_host_empty (const struct placer *plc, const char *host,
                               struct placer_vacated *vac);
int __wrap_node_fleet_append (struct appender *app, char kind,
                              const char *name, const uint8_t *data,
                              size_t len);
int __real_node_fleet_append (struct appender *app, char kind,
                              const char *name, const uint8_t *data,
                              size_t len);

bool
__wrap_placer_vacate (struct placer *plc, const char *host, int64_t until_us)
{
  begins += until_us > 0 && !asked;
  ends += until_us == 0;
  asked = until_us > 0;
  return strcmp (host, "m-w1") == 0;
}

bool
__wrap_placer_host_kept (const struct placer *plc, const char *host,
                         struct placer_kept *kept)
{
  *kept = (struct placer_kept){ .reason = keep, .task = "t" };
  return asked && keep != PLACER_KEEP_NONE;
}

bool
__wrap_placer_host_empty (const struct placer *plc, const char *host,
                          struct placer_vacated *vac)
{
  *vac = (struct placer_vacated){ 0 };
  return asked && empty;
}

int
__wrap_node_fleet_append (struct appender *app, char kind, const char *name,
                          const uint8_t *data, size_t len)
{
  if (fail_append && kind == 'e')
    return ERR_NOMEM;
  return __real_node_fleet_append (app, kind, name, data, len);
}

static uint64_t
own_pool (void)
{
  uint64_t token = node_world_claim (&wld, "p", "n1", NODE_WORLD_BOOT, false);
  node_world_run (&wld, 200);
  struct held_duty *hld = node_held_duty (wld.nod, "p");
  ck_assert_ptr_nonnull (hld);
  ck_assert_ptr_nonnull (hld->plc);
  return token;
}

static void
setup (void)
{
  keep = PLACER_KEEP_NONE;
  empty = asked = fail_append = false;
  begins = ends = 0;
  node_world_init (&wld, true);
  wld.nod->started_us = INT64_MAX / 2; /* claims no duty */
}

static void
teardown (void)
{
  fail_append = false;
  node_world_fini (&wld);
}

/* Counts the answers about m-w1; the last one is unpacked into *LAST.  */
static size_t
answers (Kingcuphollow__VacateReport **last)
{
  size_t count = 0;
  *last = NULL;
  for (size_t n = 0; n < wld.reports->end; n++)
    {
      const struct memory_record *rec = &wld.reports->records[n];
      if (rec->key_len != strlen ("e/m-w1")
          || memcmp (rec->key, "e/m-w1", rec->key_len) != 0)
        continue;
      if (*last)
        kingcuphollow__vacate_report__free_unpacked (*last, NULL);
      *last = kingcuphollow__vacate_report__unpack (NULL, rec->value_len,
                                                    rec->value);
      count++;
    }
  return count;
}

/* Checks that there are COUNT answers, and the last one of them: to the
   request at OFFSET, by the owner TOKEN, REASON NULL for an empty host.  */
static void
check_answers (size_t count, uint64_t offset, uint64_t token,
               const char *reason)
{
  Kingcuphollow__VacateReport *msg;
  ck_assert_uint_eq (answers (&msg), count);
  if (!msg)
    return;
  ck_assert_uint_eq (msg->request_offset, offset);
  ck_assert_uint_eq (msg->token, token);
  ck_assert_int_eq (msg->refused, reason != NULL);
  ck_assert_str_eq (msg->reason, reason ? reason : "");
  kingcuphollow__vacate_report__free_unpacked (msg, NULL);
}

static const struct reason_case
{
  enum placer_keep_reason keep;
  const char *text;
} reason_cases[] = {
  { PLACER_KEEP_NO_PLACE, "no_place" },
  { PLACER_KEEP_TASK_WAITS, "task_waits" },
  { PLACER_KEEP_NO_PROGRESS, "no_progress" },
};

/* Guards against two parties that wait for each other: the owner keeps a host
   and does not tell, or goes on vacating a host that it has refused.  */
START_TEST (test_refusal)
{
  const struct reason_case *it = &reason_cases[_i];
  uint64_t token = own_pool ();
  uint64_t offset = node_world_request (&wld, "m-w1", 7, FAR_MS);
  node_world_run (&wld, 300);
  check_answers (0, 0, 0, NULL);
  ck_assert_uint_eq (begins, 1);
  keep = it->keep;
  node_world_run (&wld, 300);
  check_answers (1, offset, token, it->text);
  ck_assert (!asked);
  /* The same request is neither begun nor answered again.  */
  keep = PLACER_KEEP_NONE;
  empty = true;
  node_world_run (&wld, 700);
  check_answers (1, offset, token, it->text);
  ck_assert_uint_eq (begins, 1);
  ck_assert_uint_eq (ends, 1);
  node_world_request (&wld, "m-w1", 7, 0);
  node_world_run (&wld, 200);
}
END_TEST

/* Guards against a host that is refused after it was reported as empty: its
   order may be under way.  */
START_TEST (test_no_refusal_after_empty)
{
  uint64_t token = own_pool ();
  uint64_t offset = node_world_request (&wld, "m-w1", 7, FAR_MS);
  empty = true;
  node_world_run (&wld, 300);
  check_answers (1, offset, token, NULL);
  keep = PLACER_KEEP_NO_PROGRESS;
  node_world_run (&wld, 500);
  check_answers (1, offset, token, NULL);
  ck_assert (asked);
  ck_assert_uint_eq (ends, 0);
  node_world_request (&wld, "m-w1", 7, 0);
  node_world_run (&wld, 200);
  ck_assert (!asked);
}
END_TEST

static const struct again_case
{
  bool withdrawn; /* in between */
  uint64_t holder;
} again_cases[] = { { true, 7 }, { false, 7 }, { false, 8 } };

/* Guards against a host that can never be vacated after a refusal: the next
   request, of the same holder or a new one, starts anew, also if the earlier
   one was not withdrawn.  */
START_TEST (test_request_after_refusal)
{
  const struct again_case *it = &again_cases[_i];
  uint64_t token = own_pool ();
  keep = PLACER_KEEP_NO_PLACE;
  uint64_t first = node_world_request (&wld, "m-w1", 7, FAR_MS);
  node_world_run (&wld, 300);
  check_answers (1, first, token, "no_place");
  if (it->withdrawn)
    node_world_request (&wld, "m-w1", 7, 0);
  uint64_t second = node_world_request (&wld, "m-w1", it->holder, FAR_MS);
  keep = PLACER_KEEP_NONE;
  node_world_run (&wld, 300);
  ck_assert_uint_eq (begins, 2);
  ck_assert (asked);
  check_answers (1, first, token, "no_place");
  empty = true;
  node_world_run (&wld, 300);
  check_answers (2, second, token, NULL);
  node_world_request (&wld, "m-w1", it->holder, 0);
  node_world_run (&wld, 200);
}
END_TEST

/* Guards against a refusal that is lost, or a host that is vacated meanwhile,
   when the answer cannot be appended at first.  */
START_TEST (test_append_fails)
{
  uint64_t token = own_pool ();
  fail_append = true;
  keep = PLACER_KEEP_TASK_WAITS;
  uint64_t offset = node_world_request (&wld, "m-w1", 7, FAR_MS);
  node_world_run (&wld, 500);
  check_answers (0, 0, 0, NULL);
  ck_assert_uint_eq (begins, 1);
  ck_assert_uint_eq (ends, 0);
  fail_append = false;
  node_world_run (&wld, 300);
  check_answers (1, offset, token, "task_waits");
  ck_assert_uint_eq (begins, 1);
  ck_assert_uint_eq (ends, 1);
  node_world_request (&wld, "m-w1", 7, 0);
  node_world_run (&wld, 200);
}
END_TEST

/* Guards against an answer to a request that was replaced before it: the
   placer kept the host for the earlier one.  */
START_TEST (test_replaced_before_answer)
{
  uint64_t token = own_pool ();
  fail_append = true;
  keep = PLACER_KEEP_TASK_WAITS;
  node_world_request (&wld, "m-w1", 7, FAR_MS);
  node_world_run (&wld, 300);
  uint64_t second = node_world_request (&wld, "m-w1", 8, FAR_MS);
  node_world_run (&wld, 50);
  fail_append = false;
  node_world_run (&wld, 300);
  ck_assert_uint_eq (begins, 2);
  ck_assert_uint_eq (ends, 2); /* by the second request and its refusal */
  check_answers (1, second, token, "task_waits");
  node_world_request (&wld, "m-w1", 8, 0);
  node_world_run (&wld, 200);
}
END_TEST

/* Guards against a request that a new owner of the pool does not answer
   because an earlier one, in the same process, has refused it.  */
START_TEST (test_new_owner_answers)
{
  own_pool ();
  keep = PLACER_KEEP_NO_PLACE;
  uint64_t offset = node_world_request (&wld, "m-w1", 7, FAR_MS);
  node_world_run (&wld, 300);
  node_world_claim (&wld, "p", "n2", 1, false);
  node_world_run (&wld, 300);
  ck_assert_ptr_null (node_held_duty (wld.nod, "p"));
  keep = PLACER_KEEP_NONE;
  empty = true;
  uint64_t token = own_pool ();
  node_world_run (&wld, 200);
  check_answers (2, offset, token, NULL);
  node_world_request (&wld, "m-w1", 7, 0);
  node_world_run (&wld, 200);
}
END_TEST

/* Whether the newest request to vacate m-w1 is withdrawn.  */
static bool
request_withdrawn (void)
{
  const struct memory_record *rec
      = &wld.fleet->records[topic_memory_find (wld.fleet, "v/m-w1")];
  Kingcuphollow__VacateRequest *msg = kingcuphollow__vacate_request__unpack (
      NULL, rec->value_len, rec->value);
  bool withdrawn = msg->until_ms == 0;
  kingcuphollow__vacate_request__free_unpacked (msg, NULL);
  return withdrawn;
}

static void
refuse (uint64_t token, uint64_t offset)
{
  uint8_t data[64];
  Kingcuphollow__VacateReport msg = KINGCUPHOLLOW__VACATE_REPORT__INIT;
  msg.request_offset = offset;
  msg.token = token;
  msg.refused = true;
  msg.reason = (char *)"no_place";
  topic_memory_add (wld.reports, "e/m-w1", data,
                    kingcuphollow__vacate_report__pack (&msg, data));
}

/* Guards against a request that stays in force after the present owner has
   refused it, or that ends on the report of an earlier owner.  With an index
   of 1, the holder reads the refusal before its own request.  */
START_TEST (test_holder_withdraws)
{
  static const char wave[] = "{\"wave\":1,\"machines\":[\"m-w1\"],"
                             "\"duration-s\":20,\"cap\":1}";
  wld.hosts[0].state = HOST_UP;
  name_copy (wld.hosts[0].name, "m-w1");
  name_copy (wld.hosts[0].pool, "p");
  name_copy (wld.hosts[0].worker, "w1");
  wld.host_count = 1;
  uint64_t earlier = node_world_claim (&wld, "p", "n2", 1, false);
  uint64_t present = node_world_claim (&wld, "p", "n3", 1, false);
  node_world_claim (&wld, DUTY_FLEET, "n1", NODE_WORLD_BOOT, false);
  node_world_run (&wld, 300);
  wld.fleet->hold_reads = _i == 1;
  node_fleet_add_wave (wld.nod, (const uint8_t *)wave, sizeof wave - 1);
  node_world_run (&wld, 200);
  int64_t offset = topic_memory_find (wld.fleet, "v/m-w1");
  ck_assert_int_ge (offset, 0);
  refuse (earlier, (uint64_t)offset);
  node_world_run (&wld, 200);
  ck_assert (!request_withdrawn ());
  refuse (present, (uint64_t)offset);
  node_world_run (&wld, 200);
  wld.fleet->hold_reads = false;
  while (topic_memory_run_held (wld.fleet))
    ;
  node_world_run (&wld, 300);
  ck_assert (request_withdrawn ());
  ck_assert_uint_eq (wld.orders, 0);
  /* It is asked for again after the pause, which is 1 s and which
     unit_host_mgr_vacate looks at.  */
  for (int n = 0; n < 100 && request_withdrawn (); n++)
    node_world_run (&wld, 100);
  ck_assert (!request_withdrawn ());
  node_world_request (&wld, "m-w1", 99, 0);
  node_world_run (&wld, 100);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("node_vacate");
  TCase *tc = tcase_create ("node_vacate");
  tcase_set_timeout (tc, 60);
  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_add_loop_test (tc, test_refusal, 0,
                       sizeof reason_cases / sizeof *reason_cases);
  tcase_add_test (tc, test_no_refusal_after_empty);
  tcase_add_loop_test (tc, test_request_after_refusal, 0,
                       sizeof again_cases / sizeof *again_cases);
  tcase_add_test (tc, test_append_fails);
  tcase_add_test (tc, test_replaced_before_answer);
  tcase_add_test (tc, test_new_owner_answers);
  tcase_add_loop_test (tc, test_holder_withdraws, 0, 2);
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed != 0;
}
