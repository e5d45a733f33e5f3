#include <check.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "platform/wire_fleet.h"
#include "wire_server.h"

/* Tests of platform/wire_fleet.c against an HTTP server.  */

#define CAPACITY "\"capacity\":{\"cpu\":16000,\"mem-mb\":32768,\"gpu\":0}"
#define HOST(name, state, id)                                                 \
  "{\"machine\":\"" name "\",\"pool\":\"p\",\"state\":\"" state               \
  "\",\"zone\":\"a\",\"labels\":[\"a\",\"r1\"]," CAPACITY ",\"id\":\"" id     \
  "\"}"

static struct wire_server srv;
static struct wire_fleet fleet;
static int done;
static int err;
static char listed[256]; /* name, worker and state of each host */
static char labels[256]; /* those of each host */

static void
setup (void)
{
  wire_server_start (&srv);
  ck_assert_int_eq (wire_fleet_init (&fleet, srv.ev, &srv.cli, srv.address),
                    0);
}

static void
teardown (void)
{
  wire_server_stop (&srv);
}

static void
on_list (void *arg, const struct host_list *list)
{
  listed[0] = labels[0] = '\0';
  for (size_t n = 0; n < list->count; n++)
    {
      if (list->hosts[n].state > HOST_DOWN)
        continue; /* not known */
      char text[NAME_BYTES * 3];
      snprintf (text, sizeof text, "%s=%s/%d ", list->hosts[n].name,
                list->hosts[n].worker, (int)list->hosts[n].state);
      strncat (listed, text, sizeof listed - strlen (listed) - 1);
      ck_assert_int_ge (list->hosts[n].capacity.cpu_milli, 0);
      for (size_t m = 0; m < list->hosts[n].label_count; m++)
        {
          snprintf (text, sizeof text, "%s,", list->hosts[n].labels[m]);
          strncat (labels, text, sizeof labels - strlen (labels) - 1);
        }
      strncat (labels, ";", sizeof labels - strlen (labels) - 1);
    }
  err = list->err;
  done = 1;
}

static void
read_list (void)
{
  done = 0;
  ck_assert_int_eq (fleet.lnk.drv->list (&fleet.lnk, on_list, NULL), 0);
  wire_server_await (&srv, &done);
}

/* Guards against a holder of the fleet duty, and against owners, that know no
   hosts any more because one entry of the list cannot be read.  */
START_TEST (test_odd_host)
{
  static const char *const rows[] = {
    "0",
    "null",
    "\"x\"",
    "[]",
    "{}",
    "{\"machine\":5,\"pool\":\"p\"}",
    "{\"machine\":\"m-o\",\"pool\":null}",
    "{\"machine\":\"\",\"pool\":\"p\"}",
    "{\"machine\":\"m\\u0000x\",\"pool\":\"p\"}",
    "{\"machine\":\"m\xff\",\"pool\":\"p\"}",
    "{\"machine\":\"0123456789012345678901234567890123456789012345678901234567"
    "890123\",\"pool\":\"p\"}",
    "{\"machine\":\"m-o\",\"pool\":\"p\",\"capacity\":{\"cpu\":"
    "99999999999999999999}}",
    "{\"machine\":\"m-o\",\"pool\":\"p\",\"capacity\":{\"cpu\":1e400}}",
    "{\"machine\":\"m-o\",\"pool\":\"p\",\"x\":[[[[[[[[[[[[[[[[[[[[]]]]]]]]]]]"
    "]"
    "]]]]]]]],\"y\":1e400}",
  };
  for (size_t n = 0; n < sizeof rows / sizeof *rows; n++)
    {
      char *body = talloc_asprintf (
          srv.ev,
          "{\"machines\":[" HOST ("m-1", "up", "w1") ",%s," HOST (
              "m-2", "moving", "w2") "],\"next-token\":null}",
          rows[n]);
      srv.body = (const uint8_t *)body;
      srv.body_len = strlen (body);
      read_list ();
      ck_assert_msg (err == 0, "error %d: %s", err, rows[n]);
      ck_assert_msg (strcmp (listed, "m-1=w1/0 m-2=w2/1 ") == 0, "%s: %s",
                     listed, rows[n]);
    }
}
END_TEST

/* Guards against runs that are given up, and started again beside themselves,
   because an unreadable state of the host passes for "down", or an unreadable
   id for a host without a worker.  */
START_TEST (test_host_of_unknown_state)
{
  static const char *const rows[] = {
    HOST ("m-o", "resting", "w9"),
    HOST ("m-o", "", "w9"),
    "{\"machine\":\"m-o\",\"pool\":\"p\",\"state\":7,\"id\":\"w9\"}",
    "{\"machine\":\"m-o\",\"pool\":\"p\",\"id\":\"w9\"}",
    "{\"machine\":\"m-o\",\"pool\":\"p\",\"state\":\"up\",\"id\":5}",
    "{\"machine\":\"m-o\",\"pool\":\"p\",\"state\":\"up\",\"id\":\"0123456789"
    "0123456789012345678901234567890123456789012345678901234567890123\"}",
  };
  for (size_t n = 0; n < sizeof rows / sizeof *rows; n++)
    {
      char *body = talloc_asprintf (
          srv.ev, "{\"machines\":[" HOST ("m-1", "up", "w1") ",%s]}", rows[n]);
      srv.body = (const uint8_t *)body;
      srv.body_len = strlen (body);
      read_list ();
      ck_assert_int_eq (err, 0);
      ck_assert_msg (strcmp (listed, "m-1=w1/0 ") == 0, "%s: %s", listed,
                     rows[n]);
    }
}
END_TEST

/* Guards against a host that is not given to a task that needs its label, and
   against labels that cannot be read and hide the host.  */
START_TEST (test_host_labels)
{
  static const struct
  {
    const char *labels;
    const char *read;
  } rows[] = {
    { "[\"b\",\"r1-3\"]", "b,r1-3,;" },
    { "[]", ";" },
    { "null", ";" },
    { "\"b\"", ";" },
    { "{\"b\":1}", ";" },
    { "[5,null,\"b\"]", "b,;" },
    { "[\"0123456789012345678901234567890123456789012345678901234567890123\","
      "\"b\"]",
      "b,;" },
    { "[\"1\",\"2\",\"3\",\"4\",\"5\",\"6\"]", "1,2,3,4,;" },
  };
  for (size_t n = 0; n < sizeof rows / sizeof *rows; n++)
    {
      char *body = talloc_asprintf (srv.ev,
                                    "{\"machines\":[{\"machine\":\"m-o\","
                                    "\"pool\":\"p\",\"state\":\"up\","
                                    "\"id\":\"w1\",\"labels\":%s}]}",
                                    rows[n].labels);
      srv.body = (const uint8_t *)body;
      srv.body_len = strlen (body);
      read_list ();
      ck_assert_int_eq (err, 0);
      ck_assert_str_eq (listed, "m-o=w1/0 ");
      ck_assert_str_eq (labels, rows[n].read);
    }
}
END_TEST

/* Guards against a list that is taken as complete although it is not: the
   hosts that it leaves out would count as gone.  */
START_TEST (test_unreadable_list)
{
  static const char *const bodies[] = {
    "",
    "[]",
    "{}",
    "{\"machines\":{}}",
    "{\"machines\":[",
    "{\"machines\":[],\"next-token\":5}",
    "{\"machines\":[],\"next-token\":[\"x\"]}",
  };
  for (size_t n = 0; n < sizeof bodies / sizeof *bodies; n++)
    {
      srv.body = (const uint8_t *)bodies[n];
      srv.body_len = strlen (bodies[n]);
      read_list ();
      ck_assert_msg (err != 0, "%s", bodies[n]);
    }
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("wire_fleet");
  TCase *tc = tcase_create ("wire_fleet");
  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_add_test (tc, test_odd_host);
  tcase_add_test (tc, test_host_of_unknown_state);
  tcase_add_test (tc, test_host_labels);
  tcase_add_test (tc, test_unreadable_list);
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed != 0;
}
