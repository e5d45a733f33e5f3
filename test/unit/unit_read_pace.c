#include <check.h>
#include <string.h>

#include "store/read_pace.h"

/* Replay of the load pattern of store/read_pace.c: readers that have fallen
   behind share the bandwidth of a store.  Time advances in steps; within one,
   all pages in transfer get an equal part of the bandwidth.  */

#define READERS 147
#define STEP_MS 5
#define TIMEOUT_MS 1000
#define URGENT_TIMEOUT_MS 400
#define BANDWIDTH_KB_MS 80
/* A reader takes one page at a time, so that it is limited by its own link as
   well.  */
#define LINK_KB_MS 2
#define BACKLOG_KB 3000

struct reader
{
  struct read_pace pace;
  double left_kb;    /* unread */
  double page_kb;    /* of the page in transfer; 0: none */
  double arrived_kb; /* of it */
  int64_t sent_ms;
  int64_t next_ms;
};

static struct reader readers[READERS];

/* Whether decisions are made; otherwise readers repeat full pages after a
   fixed delay.  */
static bool paced;
/* Whether time-outs begin as those of urgent records.  */
static bool urgent;

static void
begin_page (struct reader *rdr, int64_t now_ms)
{
  double kb = paced ? rdr->pace.page_kb : READ_PACE_PAGE_MAX_KB;
  rdr->page_kb = kb < rdr->left_kb ? kb : rdr->left_kb;
  rdr->arrived_kb = 0;
  rdr->sent_ms = now_ms;
}

static void
advance (struct reader *rdr, double kb, int64_t now_ms)
{
  rdr->arrived_kb += kb < LINK_KB_MS * STEP_MS ? kb : LINK_KB_MS * STEP_MS;
  if (rdr->arrived_kb >= rdr->page_kb)
    {
      rdr->left_kb -= rdr->page_kb;
      rdr->page_kb = 0;
      read_pace_responded (&rdr->pace, now_ms - rdr->sent_ms);
      read_pace_succeeded (&rdr->pace, rdr->left_kb > 0);
      rdr->next_ms = now_ms;
    }
  else if (now_ms - rdr->sent_ms
           > (urgent ? rdr->pace.timeout_ms : TIMEOUT_MS))
    {
      rdr->page_kb = 0;
      int64_t delay_ms = urgent ? read_pace_unanswered (&rdr->pace, false)
                                : read_pace_failed (&rdr->pace);
      rdr->next_ms = now_ms + (paced ? delay_ms : 200);
    }
}

/* Returns the time until all readers have caught up, or LIMIT_MS.  */
static int64_t
time_to_catch_up (int64_t limit_ms)
{
  for (size_t n = 0; n < READERS; n++)
    {
      readers[n] = (struct reader){ .left_kb = BACKLOG_KB };
      read_pace_init (&readers[n].pace, 0, n);
      read_pace_set_timeout (&readers[n].pace, urgent ? URGENT_TIMEOUT_MS : 0);
    }
  for (int64_t now_ms = 0; now_ms < limit_ms; now_ms += STEP_MS)
    {
      size_t busy = 0, behind = 0;
      for (size_t n = 0; n < READERS; n++)
        {
          struct reader *rdr = &readers[n];
          if (rdr->left_kb > 0 && rdr->page_kb == 0 && now_ms >= rdr->next_ms)
            begin_page (rdr, now_ms);
          busy += rdr->page_kb > 0;
          behind += rdr->left_kb > 0;
        }
      if (behind == 0)
        return now_ms;
      double share_kb
          = busy ? (double)BANDWIDTH_KB_MS * STEP_MS / (double)busy : 0;
      for (size_t n = 0; n < READERS; n++)
        if (readers[n].page_kb > 0)
          advance (&readers[n], share_kb, now_ms);
    }
  return limit_ms;
}

/* Guards against readers that never catch up: large pages for all of them take
   longer than the time-out, and are read again from the start.  The records
   fit through the bandwidth in 5.5 s.  */
START_TEST (test_catches_up)
{
  paced = true;
  ck_assert_int_lt (time_to_catch_up (60000), 15000);
  paced = false;
  ck_assert_int_eq (time_to_catch_up (60000), 60000);
}
END_TEST

/* The same for readers whose time-outs begin short.  */
START_TEST (test_catches_up_with_short_timeouts)
{
  paced = urgent = true;
  ck_assert_int_lt (time_to_catch_up (60000), 15000);
  urgent = false;
}
END_TEST

#define UNANSWERED (-1)

static const struct
{
  int64_t min_ms;
  int64_t took_ms[6]; /* of the responses, or UNANSWERED; until 0 */
  int64_t timeout_ms; /* afterwards */
} timeouts[] = {
  { 0, { 0 }, 1000 },
  { 0, { UNANSWERED, UNANSWERED, UNANSWERED }, 1000 },
  { 0, { 1 }, 1000 },
  { 400, { 0 }, 400 },
  { 400, { UNANSWERED }, 400 },
  { 400, { UNANSWERED, UNANSWERED }, 800 },
  { 400, { UNANSWERED, UNANSWERED, UNANSWERED, UNANSWERED }, 1000 },
  { 400, { UNANSWERED, 1, UNANSWERED }, 400 },
  { 400, { UNANSWERED, UNANSWERED, 10 }, 400 },
  { 400, { UNANSWERED, UNANSWERED, UNANSWERED, 150 }, 600 },
  { 400, { UNANSWERED, UNANSWERED, UNANSWERED, 300 }, 1000 },
  { 400, { 390 }, 400 },
};

/* Guards against a reader of urgent records that asks a slow store again and
   again for what it gives up too early, and against one that keeps long
   time-outs when the store is fast again.  */
START_TEST (test_timeouts)
{
  struct read_pace pace;
  read_pace_init (&pace, 0, 1);
  read_pace_set_timeout (&pace, timeouts[_i].min_ms);
  for (size_t n = 0; n < 6 && timeouts[_i].took_ms[n]; n++)
    if (timeouts[_i].took_ms[n] == UNANSWERED)
      read_pace_unanswered (&pace, false);
    else
      {
        read_pace_responded (&pace, timeouts[_i].took_ms[n]);
        read_pace_succeeded (&pace, false);
      }
  ck_assert_int_eq (pace.timeout_ms, timeouts[_i].timeout_ms);
}
END_TEST

/* Guards against a configuration that is read too late after a cut: a read on
   a connection that was silenced is repeated at once, the next ones after the
   same delays as others.  */
START_TEST (test_silenced_read_is_repeated_at_once)
{
  for (uint64_t seed = 0; seed < 200; seed++)
    {
      struct read_pace pace, other;
      read_pace_init (&pace, 400, seed * 7919);
      read_pace_init (&other, 400, seed * 7919);
      ck_assert_int_le (read_pace_unanswered (&pace, true), 20);
      read_pace_failed (&other);
      for (int n = 0; n < 5; n++)
        ck_assert_int_eq (read_pace_unanswered (&pace, true),
                          read_pace_failed (&other));
    }
}
END_TEST

static const struct
{
  int64_t delay_max_ms;
  uint32_t failures;
  int64_t bound_ms;
} delays[] = {
  { 0, 1, 200 },   { 0, 2, 400 },   { 0, 4, 1600 },
  { 0, 50, 2000 }, { 400, 1, 200 }, { 400, 50, 400 },
};

/* Guards against processes that repeat rejected reads at the same moment, and
   against a configuration that is read too late after an outage.  */
START_TEST (test_delays)
{
  int64_t least_ms = INT64_MAX, most_ms = 0;
  for (uint64_t seed = 0; seed < 200; seed++)
    {
      struct read_pace pace;
      int64_t delay_ms = 0;
      read_pace_init (&pace, delays[_i].delay_max_ms, seed * 7919);
      for (uint32_t n = 0; n < delays[_i].failures; n++)
        delay_ms = read_pace_failed (&pace);
      least_ms = delay_ms < least_ms ? delay_ms : least_ms;
      most_ms = delay_ms > most_ms ? delay_ms : most_ms;
      read_pace_succeeded (&pace, false);
      ck_assert_int_le (read_pace_failed (&pace), 200);
    }
  ck_assert_int_le (most_ms, delays[_i].bound_ms);
  ck_assert_int_gt (most_ms, delays[_i].bound_ms * 8 / 10);
  ck_assert_int_lt (least_ms, delays[_i].bound_ms / 4);
  ck_assert_int_gt (least_ms, 0);
}
END_TEST

/* Guards against a page size that stays small, or grows without bound.  */
START_TEST (test_page_size)
{
  struct read_pace pace;
  read_pace_init (&pace, 0, 1);
  for (int n = 0; n < 20; n++)
    read_pace_failed (&pace);
  ck_assert_uint_eq (pace.page_kb, READ_PACE_PAGE_MIN_KB);
  read_pace_succeeded (&pace, false);
  ck_assert_uint_eq (pace.page_kb, READ_PACE_PAGE_MIN_KB);
  for (int n = 0; n < 20; n++)
    read_pace_succeeded (&pace, true);
  ck_assert_uint_eq (pace.page_kb, READ_PACE_PAGE_MAX_KB);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("read_pace");
  TCase *tc = tcase_create ("read_pace");
  tcase_add_test (tc, test_catches_up);
  tcase_add_loop_test (tc, test_delays, 0, sizeof delays / sizeof *delays);
  tcase_add_test (tc, test_page_size);
  tcase_add_test (tc, test_catches_up_with_short_timeouts);
  tcase_add_loop_test (tc, test_timeouts, 0,
                       sizeof timeouts / sizeof *timeouts);
  tcase_add_test (tc, test_silenced_read_is_repeated_at_once);
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failures = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failures != 0;
}
