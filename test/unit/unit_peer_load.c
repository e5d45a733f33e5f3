#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base/err.h"
#include "peer/load_publisher.h"
#include "peer/load_view.h"

#define TARGETS 400
#define STEP_US 100000
#define DELAYED_MAX 8
#define PACKED_MAX 4096

static struct load_publisher pub;
static struct load_view lv;
static uint32_t seen[TARGETS];
static bool seen_ejected[TARGETS];
static unsigned int reports;

static void
on_load (void *arg, const char *host, uint32_t in_flight)
{
  seen[atoi (host + 5)] = in_flight;
  reports++;
}

static void
on_health (void *arg, const char *host, bool ejected)
{
  seen_ejected[atoi (host + 5)] = ejected;
}

static const struct load_view_events events = { on_load, on_health };

static void
setup_with (uint32_t max_targets, uint32_t budget)
{
  struct load_publisher_settings set = load_publisher_settings_default;
  struct load_view_settings view = load_view_settings_default;
  set.max_targets = max_targets;
  set.refresh_us = budget > 0 ? 300000000 : 2000000;
  set.budget_bytes_per_s = budget;
  view.max_targets = max_targets;
  memset (seen, 0, sizeof seen);
  memset (seen_ejected, 0, sizeof seen_ejected);
  ck_assert_int_eq (load_publisher_init (&pub, NULL, &set), 0);
  ck_assert_int_eq (load_view_init (&lv, NULL, &view, &events, NULL), 0);
}

static void
setup (void)
{
  setup_with (TARGETS, 0);
}

static void
teardown (void)
{
  load_publisher_fini (&pub);
  load_view_fini (&lv);
}

static const char *
host (int n)
{
  static char text[16];
  snprintf (text, sizeof text, "host-%03d", n);
  return text;
}

static int
deliver (uint64_t seq, const PeerFrame *msg)
{
  switch (msg->body_case)
    {
    case PEER_FRAME__BODY_NAMES:
      return load_view_names (&lv, msg->names);
    case PEER_FRAME__BODY_LOAD:
      return load_view_load (&lv, seq, msg->load);
    default:
      return load_view_health (&lv, seq, msg->health);
    }
}

/* Delivers the messages of one interval without loss.  Returns the number of
   those that go to all peers.  */
static int
run_interval (uint64_t *seq, struct load_cursor *cur, int64_t now_us)
{
  PeerFrame msg;
  int count = 0;
  while (load_publisher_catch_up (&pub, cur, 7, &msg))
    ck_assert_int_eq (deliver (++*seq, &msg), 0);
  for (; load_publisher_next (&pub, now_us, 1, true, &msg); count++)
    ck_assert_int_eq (deliver (++*seq, &msg), 0);
  load_view_frame_received (&lv, now_us);
  load_view_tick (&lv, now_us);
  return count;
}

/* Messages that are delivered late and in random order.  */
struct delayed_messages
{
  uint8_t data[DELAYED_MAX][PACKED_MAX];
  size_t len[DELAYED_MAX];
  uint64_t seq[DELAYED_MAX];
  int count;
};

static void
delayed_deliver (struct delayed_messages *dly, int n)
{
  PeerFrame *msg = peer_frame__unpack (NULL, dly->len[n], dly->data[n]);
  ck_assert_ptr_nonnull (msg);
  ck_assert_int_eq (deliver (dly->seq[n], msg), 0);
  peer_frame__free_unpacked (msg, NULL);
  dly->count--;
  memmove (dly->data[n], dly->data[dly->count], PACKED_MAX);
  dly->len[n] = dly->len[dly->count];
  dly->seq[n] = dly->seq[dly->count];
}

static void
delayed_add (struct delayed_messages *dly, uint64_t seq, const PeerFrame *msg)
{
  if (dly->count == DELAYED_MAX)
    delayed_deliver (dly, rand () % DELAYED_MAX);
  size_t size = peer_frame__get_packed_size (msg);
  ck_assert_uint_le (size, PACKED_MAX);
  dly->len[dly->count] = peer_frame__pack (msg, dly->data[dly->count]);
  dly->seq[dly->count++] = seq;
}

/* Guards against a view that does not converge after deltas were lost, delayed
   or reordered.  */
START_TEST (test_converges)
{
  static struct delayed_messages dly;
  struct load_cursor cur = { 0 };
  uint32_t value[TARGETS] = { 0 };
  bool ejected[TARGETS] = { false };
  uint64_t seq = 0;
  int64_t now_us = 0;
  PeerFrame msg;

  printf ("seed %d\n", _i);
  srand (_i);
  dly.count = 0;
  for (int n = 0; n < 300; n++, now_us += STEP_US)
    {
      bool quiet = n >= 200; /* no changes and no losses any more */
      for (int k = 0; !quiet && k < 20; k++)
        {
          int t = rand () % TARGETS;
          value[t] = rand () % 9;
          ejected[t] = rand () % 8 == 0;
          ck_assert_int_eq (load_publisher_set (&pub, host (t), value[t], 8),
                            0);
          ck_assert_int_eq (
              load_publisher_set_health (&pub, host (t), ejected[t]), 0);
        }
      while (load_publisher_catch_up (&pub, &cur, 7, &msg))
        ck_assert_int_eq (deliver (++seq, &msg), 0);
      while (load_publisher_next (&pub, now_us, 1, true, &msg))
        {
          seq++;
          if (quiet)
            ck_assert_int_eq (deliver (seq, &msg), 0);
          else if (rand () % 3 > 0)
            delayed_add (&dly, seq, &msg);
        }
      if (!quiet && dly.count > 0 && rand () % 2 == 0)
        delayed_deliver (&dly, rand () % dly.count);
      load_view_frame_received (&lv, now_us);
      load_view_tick (&lv, now_us);
    }
  while (dly.count > 0)
    delayed_deliver (&dly, rand () % dly.count);
  for (int t = 0; t < TARGETS; t++)
    {
      ck_assert_uint_eq (seen[t], value[t]);
      ck_assert_int_eq (seen_ejected[t], ejected[t]);
    }
}
END_TEST

/* Guards against sending deltas more often than min_interval_us, and against
   sending targets that did not change.  */
START_TEST (test_only_changes)
{
  struct load_cursor cur = { 0 };
  uint64_t seq = 0;
  PeerFrame msg;
  load_publisher_set (&pub, host (1), 1, 8);
  load_publisher_set (&pub, host (2), 2, 8);
  run_interval (&seq, &cur, 0);
  ck_assert_uint_eq (seen[2], 2);
  load_publisher_set (&pub, host (2), 3, 8);
  ck_assert (!load_publisher_next (&pub, STEP_US - 1, 1, true, &msg));
  ck_assert (load_publisher_next (&pub, STEP_US, 1, true, &msg));
  ck_assert_int_eq (msg.body_case, PEER_FRAME__BODY_LOAD);
  ck_assert_uint_eq (msg.load->n_codes, 2); /* one target */
  ck_assert_int_eq (deliver (++seq, &msg), 0);
  ck_assert_uint_eq (seen[2], 3);
  ck_assert (!load_publisher_next (&pub, STEP_US, 1, true, &msg));
}
END_TEST

#define LINKS 20
#define SECONDS 60

/* Guards against deltas that exceed the budget with many targets and links,
   against sending small changes before large ones, and against changes that
   are never sent.  */
START_TEST (test_budget)
{
  struct load_cursor cur = { 0 };
  uint64_t seq = 0;
  uint64_t bytes = 0;
  int64_t now_us = 0;
  uint32_t value[TARGETS] = { 0 };
  PeerFrame msg;
  teardown ();
  setup_with (TARGETS, 1000);
  for (int t = 0; t < TARGETS; t++)
    load_publisher_set (&pub, host (t), 1, 8);
  ck_assert (!load_publisher_next (&pub, now_us, LINKS, false, &msg));
  srand (1);
  for (; now_us < SECONDS * 1000000; now_us += STEP_US)
    {
      for (int t = 0; t < TARGETS; t++)
        {
          value[t] = t >= 300 || rand () % 2;
          if (t % 100 == 17 && now_us > 55000000)
            value[t] += 50;
          load_publisher_set (&pub, host (t), value[t], 8);
        }
      while (load_publisher_catch_up (&pub, &cur, 0, &msg))
        ck_assert_int_eq (deliver (++seq, &msg), 0);
      /* Partial messages are allowed in every fifth interval only.  */
      bool partial = now_us / STEP_US % 5 == 0;
      while (load_publisher_next (&pub, now_us, LINKS, partial, &msg))
        {
          load_view_frame_received (&lv, now_us);
          bytes += LINKS * (peer_frame__get_packed_size (&msg) + 28);
          ck_assert_int_eq (deliver (++seq, &msg), 0);
        }
    }
  ck_assert_uint_le (bytes, (SECONDS + 5) * 1000);
  for (int t = 0; t < TARGETS; t++)
    {
      if (t >= 300)
        ck_assert_uint_gt (seen[t], 0);
      if (t % 100 == 17)
        ck_assert_uint_ge (seen[t], 50);
    }
  for (; now_us < 2 * SECONDS * 1000000; now_us += STEP_US)
    while (load_publisher_next (&pub, now_us, LINKS, true, &msg))
      ck_assert_int_eq (deliver (++seq, &msg), 0);
  load_view_frame_received (&lv, now_us);
  for (int t = 0; t < TARGETS; t++)
    ck_assert_uint_eq (seen[t], value[t]);
}
END_TEST

/* Guards against values that do not expire when no frames arrive, and against
   values that are not reported again once frames arrive.  */
START_TEST (test_expiry)
{
  struct load_cursor cur = { 0 };
  uint64_t seq = 0;
  load_publisher_set (&pub, host (1), 4, 8);
  load_publisher_set_health (&pub, host (2), true);
  run_interval (&seq, &cur, 0);
  ck_assert_uint_eq (seen[1], 4);
  ck_assert (seen_ejected[2]);
  reports = 0;
  load_view_tick (&lv, 999999);
  ck_assert_uint_eq (reports, 0);
  load_view_tick (&lv, 1000000);
  ck_assert_uint_eq (reports, 1);
  load_view_tick (&lv, 2000000);
  ck_assert_uint_eq (seen[1], 0);
  ck_assert (!seen_ejected[2]);
  load_view_frame_received (&lv, 9000000);
  ck_assert_uint_eq (seen[1], 4);
  ck_assert (seen_ejected[2]);
  load_view_fini (&lv);
  ck_assert_uint_eq (seen[1], 0);
}
END_TEST

/* Guards against a dictionary that fills up with targets without load, and
   against values that are applied to another target when ids are reused.  */
START_TEST (test_dictionary)
{
  struct load_cursor cur = { 0 };
  uint64_t seq = 0;
  int64_t now_us = 0;
  teardown ();
  setup_with (8, 0);
  for (int n = 0; n < TARGETS; n++, now_us += STEP_US)
    {
      ck_assert_int_eq (load_publisher_set (&pub, host (n), n + 1, 8), 0);
      if (n >= 5)
        load_publisher_set (&pub, host (n - 5), 0, 8);
      run_interval (&seq, &cur, now_us);
      for (int k = 0; k <= n; k++)
        ck_assert_uint_eq (seen[k], k > n - 5 ? k + 1 : 0);
    }
  for (int n = 0; n < 3; n++)
    ck_assert_int_eq (load_publisher_set (&pub, host (n), 1, 8), 0);
  ck_assert_int_eq (load_publisher_set (&pub, host (3), 1, 8), ERR_FULL);
  ck_assert_int_eq (load_publisher_set (&pub, "", 1, 8), ERR_INVALID);
  ck_assert_int_eq (load_publisher_set (&pub, host (0), 1, 0), ERR_INVALID);
  ck_assert_int_eq (load_publisher_set (&pub, host (0), LOAD_COUNT_MAX + 1, 8),
                    ERR_INVALID);
}
END_TEST

static const struct
{
  uint32_t epoch, first, span, n_codes;
  uint32_t codes[3];
  int err;
} deltas[] = {
  { 1, 0, 2, 2, { 1 * 4 + 3, 0 }, 0 },
  { 1, 0, 0, 1, { 1 * 4 + 3 }, ERR_PROTOCOL }, /* the count is missing */
  { 1, 0, TARGETS + 1, 0, { 0 }, ERR_PROTOCOL },
  { 1, UINT32_MAX, 2, 0, { 0 }, ERR_PROTOCOL },
  { 1, 0, 0, 1, { TARGETS * 4 + 1 }, ERR_PROTOCOL },
  { 1, 0, 0, 2, { 1 * 4 + 1, UINT32_MAX - 1 }, ERR_PROTOCOL },
  { 1, 0, 0, 2, { 3, LOAD_COUNT_MAX - 2 }, ERR_PROTOCOL },
  { 1, 0, 0, 2, { 3, UINT32_MAX }, ERR_PROTOCOL },
  { 9, 0, 2, 2, { 1 * 4 + 3, 0 }, 0 }, /* other epoch: ignored */
};

/* Guards against applying a delta with a missing count, or with ids or counts
   out of range.  */
START_TEST (test_malformed_delta)
{
  LoadDelta msg = LOAD_DELTA__INIT;
  struct load_cursor cur = { 0 };
  uint64_t seq = 0;
  uint32_t codes[3];
  load_publisher_set (&pub, host (0), 5, 8);
  load_publisher_set (&pub, host (1), 5, 8);
  run_interval (&seq, &cur, 0);
  memcpy (codes, deltas[_i].codes, sizeof codes);
  msg.epoch = deltas[_i].epoch;
  msg.first = deltas[_i].first;
  msg.span = deltas[_i].span;
  msg.n_codes = deltas[_i].n_codes;
  msg.codes = codes;
  ck_assert_int_eq (load_view_load (&lv, ++seq, &msg), deltas[_i].err);
  ck_assert_uint_eq (seen[0], _i == 0 ? 0 : 5);
  ck_assert_uint_eq (seen[1], _i == 0 ? 3 : 5);
}
END_TEST

static const struct
{
  uint32_t epoch, first, n_shared, shared;
  const char *suffix;
  int err;
} names[] = {
  { 1, 0, 1, 0, "host-000", 0 },
  { 1, 1, 1, 0, "host-001", 0 },
  { 1, 0, 1, 0, "host-001", ERR_PROTOCOL }, /* other name */
  { 1, 2, 1, 0, "host-002", ERR_PROTOCOL }, /* skips an id */
  { 1, 1, 2, 0, "host-001", ERR_PROTOCOL }, /* lists differ in length */
  { 1, 1, 1, 1, "ost-001", ERR_PROTOCOL },  /* no name before it */
  { 1, 1, 1, 0, "", ERR_PROTOCOL },         /* empty */
  { 1, 1, 1, 0, "host\n", ERR_PROTOCOL },   /* could forge a log line */
  { 0, 0, 1, 0, "host-001", ERR_PROTOCOL }, /* older epoch */
  { 2, 1, 1, 0, "host-001", ERR_PROTOCOL }, /* not from id 0 */
  { 1, UINT32_MAX, 1, 0, "x", ERR_PROTOCOL },
};

/* Guards against a dictionary with missing, invalid or changed names.  */
START_TEST (test_malformed_names)
{
  PeerNames msg = PEER_NAMES__INIT;
  struct load_cursor cur = { 0 };
  uint64_t seq = 0;
  uint32_t shared[2] = { names[_i].shared };
  ProtobufCBinaryData suffix
      = { strlen (names[_i].suffix), (uint8_t *)names[_i].suffix };
  load_publisher_set (&pub, host (0), 5, 8);
  run_interval (&seq, &cur, 0);
  msg.epoch = names[_i].epoch;
  msg.first = names[_i].first;
  msg.n_shared = names[_i].n_shared;
  msg.shared = shared;
  msg.n_suffixes = 1;
  msg.suffixes = &suffix;
  ck_assert_int_eq (load_view_names (&lv, &msg), names[_i].err);
}
END_TEST

#define COUNT(a) ((int)(sizeof (a) / sizeof *(a)))

int
main (void)
{
  Suite *suite = suite_create ("peer_load");
  TCase *tc = tcase_create ("peer_load");
  tcase_set_timeout (tc, 60);
  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_add_loop_test (tc, test_converges, 1, 21);
  tcase_add_test (tc, test_only_changes);
  tcase_add_test (tc, test_budget);
  tcase_add_test (tc, test_expiry);
  tcase_add_test (tc, test_dictionary);
  tcase_add_loop_test (tc, test_malformed_delta, 0, COUNT (deltas));
  tcase_add_loop_test (tc, test_malformed_names, 0, COUNT (names));
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed != 0;
}
