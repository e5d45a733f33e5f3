#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base/err.h"
#include "peer/load.h"
#include "peer/load_view.h"

#define TARGETS 400
#define STEP_US 100000
#define LATE_MAX 8
#define PACKED_MAX 4096

static struct load ld;
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
setup_max (uint32_t max_targets, uint32_t budget)
{
  struct load_settings set = load_settings_default;
  struct load_view_settings view = load_view_settings_default;
  set.max_targets = max_targets;
  set.refresh_us = budget > 0 ? 300000000 : 2000000;
  set.budget_bytes_per_s = budget;
  view.max_targets = max_targets;
  memset (seen, 0, sizeof seen);
  memset (seen_ejected, 0, sizeof seen_ejected);
  ck_assert_int_eq (load_init (&ld, NULL, &set), 0);
  ck_assert_int_eq (load_view_init (&lv, NULL, &view, &events, NULL), 0);
}

static void
setup (void)
{
  setup_max (TARGETS, 0);
}

static void
teardown (void)
{
  load_fini (&ld);
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

/* Runs one interval without loss; returns the messages to all peers.  */
static int
step (uint64_t *seq, struct load_cursor *cur, int64_t now_us)
{
  PeerFrame msg;
  int count = 0;
  while (load_catch_up (&ld, cur, 7, &msg))
    ck_assert_int_eq (deliver (++*seq, &msg), 0);
  for (; load_next (&ld, now_us, 1, true, &msg); count++)
    ck_assert_int_eq (deliver (++*seq, &msg), 0);
  load_view_heard (&lv, now_us);
  load_view_tick (&lv, now_us);
  return count;
}

/* Delays and drops messages of the kinds that a link may drop.  */
struct late
{
  uint8_t data[LATE_MAX][PACKED_MAX];
  size_t len[LATE_MAX];
  uint64_t seq[LATE_MAX];
  int count;
};

static void
late_deliver (struct late *lat, int n)
{
  PeerFrame *msg = peer_frame__unpack (NULL, lat->len[n], lat->data[n]);
  ck_assert_ptr_nonnull (msg);
  ck_assert_int_eq (deliver (lat->seq[n], msg), 0);
  peer_frame__free_unpacked (msg, NULL);
  lat->count--;
  memmove (lat->data[n], lat->data[lat->count], PACKED_MAX);
  lat->len[n] = lat->len[lat->count];
  lat->seq[n] = lat->seq[lat->count];
}

static void
late_add (struct late *lat, uint64_t seq, const PeerFrame *msg)
{
  if (lat->count == LATE_MAX)
    late_deliver (lat, rand () % LATE_MAX);
  size_t size = peer_frame__get_packed_size (msg);
  ck_assert_uint_le (size, PACKED_MAX);
  lat->len[lat->count] = peer_frame__pack (msg, lat->data[lat->count]);
  lat->seq[lat->count++] = seq;
}

/* Guards against a view that stays wrong after deltas were lost or came in
   another order.  */
START_TEST (test_converges)
{
  static struct late lat;
  struct load_cursor cur = { 0 };
  uint32_t value[TARGETS] = { 0 };
  bool ejected[TARGETS] = { false };
  uint64_t seq = 0;
  int64_t now_us = 0;
  PeerFrame msg;

  printf ("seed %d\n", _i);
  srand (_i);
  lat.count = 0;
  for (int n = 0; n < 300; n++, now_us += STEP_US)
    {
      bool quiet = n >= 200; /* no change, no loss */
      for (int k = 0; !quiet && k < 20; k++)
        {
          int t = rand () % TARGETS;
          value[t] = rand () % 9;
          ejected[t] = rand () % 8 == 0;
          ck_assert_int_eq (load_set (&ld, host (t), value[t], 8), 0);
          ck_assert_int_eq (load_set_health (&ld, host (t), ejected[t]), 0);
        }
      while (load_catch_up (&ld, &cur, 7, &msg))
        ck_assert_int_eq (deliver (++seq, &msg), 0);
      while (load_next (&ld, now_us, 1, true, &msg))
        {
          seq++;
          if (quiet)
            ck_assert_int_eq (deliver (seq, &msg), 0);
          else if (rand () % 3 > 0)
            late_add (&lat, seq, &msg);
        }
      if (!quiet && lat.count > 0 && rand () % 2 == 0)
        late_deliver (&lat, rand () % lat.count);
      load_view_heard (&lv, now_us);
      load_view_tick (&lv, now_us);
    }
  while (lat.count > 0)
    late_deliver (&lat, rand () % lat.count);
  for (int t = 0; t < TARGETS; t++)
    {
      ck_assert_uint_eq (seen[t], value[t]);
      ck_assert_int_eq (seen_ejected[t], ejected[t]);
    }
}
END_TEST

/* Guards against deltas more often than the interval, and against repeating
   targets that did not change.  */
START_TEST (test_only_changes)
{
  struct load_cursor cur = { 0 };
  uint64_t seq = 0;
  PeerFrame msg;
  load_set (&ld, host (1), 1, 8);
  load_set (&ld, host (2), 2, 8);
  step (&seq, &cur, 0);
  ck_assert_uint_eq (seen[2], 2);
  load_set (&ld, host (2), 3, 8);
  ck_assert (!load_next (&ld, STEP_US - 1, 1, true, &msg));
  ck_assert (load_next (&ld, STEP_US, 1, true, &msg));
  ck_assert_int_eq (msg.body_case, PEER_FRAME__BODY_LOAD);
  ck_assert_uint_eq (msg.load->n_codes, 2); /* one target */
  ck_assert_int_eq (deliver (++seq, &msg), 0);
  ck_assert_uint_eq (seen[2], 3);
  ck_assert (!load_next (&ld, STEP_US, 1, true, &msg));
}
END_TEST

#define LINKS 20
#define SECONDS 60

/* Guards against deltas that exceed the budget with many targets and links,
   against small changes that go before large ones, and against changes that
   are put off for ever.  */
START_TEST (test_budget)
{
  struct load_cursor cur = { 0 };
  uint64_t seq = 0;
  uint64_t bytes = 0;
  int64_t now_us = 0;
  uint32_t value[TARGETS] = { 0 };
  PeerFrame msg;
  teardown ();
  setup_max (TARGETS, 1000);
  for (int t = 0; t < TARGETS; t++)
    load_set (&ld, host (t), 1, 8);
  ck_assert (!load_next (&ld, now_us, LINKS, false, &msg));
  srand (1);
  for (; now_us < SECONDS * 1000000; now_us += STEP_US)
    {
      for (int t = 0; t < TARGETS; t++)
        {
          value[t] = t >= 300 || rand () % 2;
          if (t % 100 == 17 && now_us > 55000000)
            value[t] += 50;
          load_set (&ld, host (t), value[t], 8);
        }
      while (load_catch_up (&ld, &cur, 0, &msg))
        ck_assert_int_eq (deliver (++seq, &msg), 0);
      /* Only every fifth call may give a part of the changes.  */
      bool partial = now_us / STEP_US % 5 == 0;
      while (load_next (&ld, now_us, LINKS, partial, &msg))
        {
          load_view_heard (&lv, now_us);
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
    while (load_next (&ld, now_us, LINKS, true, &msg))
      ck_assert_int_eq (deliver (++seq, &msg), 0);
  load_view_heard (&lv, now_us);
  for (int t = 0; t < TARGETS; t++)
    ck_assert_uint_eq (seen[t], value[t]);
}
END_TEST

/* Guards against values of a silent peer that still count, and against ones
   that do not come back with the peer.  */
START_TEST (test_age_out)
{
  struct load_cursor cur = { 0 };
  uint64_t seq = 0;
  load_set (&ld, host (1), 4, 8);
  load_set_health (&ld, host (2), true);
  step (&seq, &cur, 0);
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
  load_view_heard (&lv, 9000000);
  ck_assert_uint_eq (seen[1], 4);
  ck_assert (seen_ejected[2]);
  load_view_fini (&lv);
  ck_assert_uint_eq (seen[1], 0);
}
END_TEST

/* Guards against a dictionary that fills up with targets that are gone, and
   against values that are taken for those of another target.  */
START_TEST (test_dictionary)
{
  struct load_cursor cur = { 0 };
  uint64_t seq = 0;
  int64_t now_us = 0;
  teardown ();
  setup_max (8, 0);
  for (int n = 0; n < TARGETS; n++, now_us += STEP_US)
    {
      ck_assert_int_eq (load_set (&ld, host (n), n + 1, 8), 0);
      if (n >= 5)
        load_set (&ld, host (n - 5), 0, 8);
      step (&seq, &cur, now_us);
      for (int k = 0; k <= n; k++)
        ck_assert_uint_eq (seen[k], k > n - 5 ? k + 1 : 0);
    }
  for (int n = 0; n < 3; n++)
    ck_assert_int_eq (load_set (&ld, host (n), 1, 8), 0);
  ck_assert_int_eq (load_set (&ld, host (3), 1, 8), ERR_FULL);
  ck_assert_int_eq (load_set (&ld, "", 1, 8), ERR_INVALID);
  ck_assert_int_eq (load_set (&ld, host (0), 1, 0), ERR_INVALID);
  ck_assert_int_eq (load_set (&ld, host (0), LOAD_COUNT_MAX + 1, 8),
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

/* Guards against ids or counts out of range that reach the tables.  */
START_TEST (test_malformed_delta)
{
  LoadDelta msg = LOAD_DELTA__INIT;
  struct load_cursor cur = { 0 };
  uint64_t seq = 0;
  uint32_t codes[3];
  load_set (&ld, host (0), 5, 8);
  load_set (&ld, host (1), 5, 8);
  step (&seq, &cur, 0);
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
  { 1, 0, 1, 0, "host-001", ERR_PROTOCOL }, /* changed */
  { 1, 2, 1, 0, "host-002", ERR_PROTOCOL }, /* left one out */
  { 1, 1, 2, 0, "host-001", ERR_PROTOCOL }, /* unpaired */
  { 1, 1, 1, 1, "ost-001", ERR_PROTOCOL },  /* shares with no name */
  { 1, 1, 1, 0, "", ERR_PROTOCOL },         /* empty */
  { 1, 1, 1, 0, "host\n", ERR_PROTOCOL },   /* would forge a log line */
  { 0, 0, 1, 0, "host-001", ERR_PROTOCOL }, /* older epoch */
  { 2, 1, 1, 0, "host-001", ERR_PROTOCOL }, /* starts in the middle */
  { 1, UINT32_MAX, 1, 0, "x", ERR_PROTOCOL },
};

/* Guards against a dictionary with holes, odd or changed names.  */
START_TEST (test_malformed_names)
{
  PeerNames msg = PEER_NAMES__INIT;
  struct load_cursor cur = { 0 };
  uint64_t seq = 0;
  uint32_t shared[2] = { names[_i].shared };
  ProtobufCBinaryData suffix
      = { strlen (names[_i].suffix), (uint8_t *)names[_i].suffix };
  load_set (&ld, host (0), 5, 8);
  step (&seq, &cur, 0);
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
  tcase_add_test (tc, test_age_out);
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
