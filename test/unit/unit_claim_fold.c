#include <check.h>
#include <talloc.h>

#include "base/err.h"
#include "claim/claim_fold.h"

#define LIFETIME_MS 1000
#define STEPS_MAX 8
#define ROWS(table) (int)(sizeof (table) / sizeof *(table))

struct step
{
  char op; /* c claim, d done with an answer, u done as unknown, r release */
  uint64_t id;
  uint64_t body;
  int64_t wait_ms; /* of log time before the record */
  enum claim_effect effect;
};

#define VOID CLAIM_EFFECT_VOID
#define HOLDS CLAIM_EFFECT_HOLDS
#define HELD CLAIM_EFFECT_HELD
#define OTHER CLAIM_EFFECT_OTHER_BODY
#define RECORDED CLAIM_EFFECT_RECORDED
#define RELEASED CLAIM_EFFECT_RELEASED

static const struct
{
  const char *guards;
  struct step steps[STEPS_MAX];
} cases[] = {
  { "a key that two claims hold",
    { { 'c', 1, 5, 0, HOLDS },
      { 'c', 2, 5, 1, HELD },
      { 'c', 1, 5, 1, HOLDS } } },
  { "a key reused for another request",
    { { 'c', 1, 5, 0, HOLDS }, { 'c', 2, 6, 1, OTHER } } },
  { "a released key that cannot be claimed again",
    { { 'c', 1, 5, 0, HOLDS },
      { 'r', 1, 0, 1, RELEASED },
      { 'c', 2, 6, 1, HOLDS } } },
  { "a release by a claim that does not hold the key",
    { { 'c', 1, 5, 0, HOLDS },
      { 'c', 2, 5, 1, HELD },
      { 'r', 2, 0, 1, VOID },
      { 'c', 3, 5, 1, HELD } } },
  { "a second release that frees the next holder",
    { { 'c', 1, 5, 0, HOLDS },
      { 'r', 1, 0, 1, RELEASED },
      { 'c', 2, 5, 1, HOLDS },
      { 'r', 1, 0, 1, VOID },
      { 'c', 3, 5, 1, HELD } } },
  { "a release after the request was sent",
    { { 'c', 1, 5, 0, HOLDS },
      { 'u', 1, 0, 1, RECORDED },
      { 'r', 1, 0, 1, VOID },
      { 'c', 2, 5, 1, HELD } } },
  { "a done by a claim that does not hold the key",
    { { 'c', 1, 5, 0, HOLDS },
      { 'd', 2, 0, 1, VOID },
      { 'd', 1, 0, 1, RECORDED } } },
  { "an answer that a later record takes back",
    { { 'c', 1, 5, 0, HOLDS },
      { 'u', 1, 0, 1, RECORDED },
      { 'd', 1, 0, 1, RECORDED },
      { 'u', 1, 0, 1, VOID },
      { 'd', 1, 0, 1, VOID } } },
  { "an expiry that is early, or late, or not counted from the last claim",
    { { 'c', 1, 5, 0, HOLDS },
      { 'c', 2, 5, LIFETIME_MS - 1, HELD },
      { 'c', 3, 5, LIFETIME_MS - 1, HELD },
      { 'c', 4, 5, LIFETIME_MS, HOLDS },
      { 'd', 1, 0, 1, VOID } } },
  { "a log time that goes back and ends a key early",
    { { 'c', 1, 5, 0, HOLDS },
      { 'c', 2, 5, LIFETIME_MS, HOLDS },
      { 'c', 3, 5, -LIFETIME_MS, HELD },
      { 'c', 4, 5, LIFETIME_MS, HELD } } },
};

static struct claim_fold
fold_new (uint32_t max_keys)
{
  struct claim_fold_settings set = { LIFETIME_MS, max_keys };
  struct claim_fold fold;
  ck_assert_int_eq (claim_fold_init (&fold, NULL, &set), 0);
  return fold;
}

static enum claim_effect
apply (struct claim_fold *fold, uint64_t key, char op, uint64_t id,
       uint64_t body)
{
  struct claim_op item = {
    .type = op == 'c'   ? CLAIM_OP_CLAIM
            : op == 'r' ? CLAIM_OP_RELEASE
                        : CLAIM_OP_DONE,
    .key = { key, key },
    .claim_id = id,
    .body_digest = body,
    .answered = op == 'd',
    .status = 201,
  };
  return claim_fold_item (fold, &item);
}

static bool
record (struct claim_fold *fold, int64_t now, uint64_t seq)
{
  return claim_fold_record (fold, claim_fold_next (fold), now, "w", 1, seq);
}

START_TEST (test_rules)
{
  struct claim_fold fold = fold_new (4);
  int64_t now = 5000;
  for (int n = 0; n < STEPS_MAX && cases[_i].steps[n].op; n++)
    {
      const struct step *st = &cases[_i].steps[n];
      now += st->wait_ms;
      ck_assert (record (&fold, now, n + 1));
      enum claim_effect effect = apply (&fold, 1, st->op, st->id, st->body);
      ck_assert_msg (effect == st->effect, "%s: step %d gave %d, not %d",
                     cases[_i].guards, n, effect, st->effect);
    }
  claim_fold_fini (&fold);
}
END_TEST

/* Guards against a record that counts twice, against one that lands after a
   later record of its writer, and against ids mixed up between writers.  */
START_TEST (test_sequences)
{
  static const struct
  {
    const char *writer;
    uint64_t incarnation;
    uint64_t seq;
    bool counts;
  } rows[] = {
    { "a", 1, 5, true },  { "a", 1, 5, false }, { "a", 1, 7, true },
    { "a", 1, 6, false }, { "b", 1, 5, true },  { "a", 2, 5, true },
    { "a", 1, 8, true },
  };
  struct claim_fold fold = fold_new (4);
  for (int n = 0; n < ROWS (rows); n++)
    ck_assert_int_eq (claim_fold_record (&fold, n, 10, rows[n].writer,
                                         rows[n].incarnation, rows[n].seq),
                      rows[n].counts);
  claim_fold_fini (&fold);
}
END_TEST

#define MANY 1000

/* Guards against keys lost or mixed up as the table grows, a table without
   bound, and grants from a table that had to drop a claim.  */
START_TEST (test_room)
{
  struct claim_fold fold = fold_new (MANY);
  struct claim_held held;
  ck_assert (record (&fold, 10, 1));
  for (uint64_t key = 1; key <= MANY; key++)
    ck_assert_int_eq (apply (&fold, key, 'c', key, 0), HOLDS);
  for (uint64_t key = 1; key <= MANY; key += 2)
    ck_assert_int_eq (apply (&fold, key, 'r', key, 0), RELEASED);
  for (uint64_t key = 1; key <= MANY; key++)
    ck_assert_int_eq (
        claim_fold_find (&fold, (struct claim_key){ key, key }, &held),
        key % 2 == 0);
  for (uint64_t key = 1; key <= MANY; key += 2)
    ck_assert_int_eq (apply (&fold, key, 'c', key, 0), HOLDS);
  ck_assert (claim_fold_complete (&fold));
  ck_assert_int_eq (apply (&fold, MANY + 1, 'c', 1, 0), CLAIM_EFFECT_NO_ROOM);
  ck_assert_uint_eq (claim_fold_count (&fold), MANY);
  ck_assert (!claim_fold_complete (&fold));
  ck_assert (record (&fold, 10 + LIFETIME_MS, 2));
  ck_assert_uint_eq (claim_fold_count (&fold), 0);
  ck_assert (claim_fold_complete (&fold));
  claim_fold_fini (&fold);
}
END_TEST

/* Guards against grants from a fold that started behind the first record, or
   that passed over claims which it could not read.  */
START_TEST (test_complete)
{
  struct claim_fold fold = fold_new (4);
  ck_assert (claim_fold_complete (&fold));
  claim_fold_skip (&fold, 0, 10, false);
  ck_assert (claim_fold_complete (&fold));
  claim_fold_skip (&fold, 1, 10, true);
  ck_assert (!claim_fold_complete (&fold));
  ck_assert (record (&fold, 10 + LIFETIME_MS, 1));
  ck_assert (claim_fold_complete (&fold));
  claim_fold_reset (&fold, 40, true);
  ck_assert (!claim_fold_complete (&fold));
  ck_assert (record (&fold, 9000, 1));
  ck_assert (record (&fold, 9000 + LIFETIME_MS - 1, 2));
  ck_assert (!claim_fold_complete (&fold));
  ck_assert (record (&fold, 9000 + LIFETIME_MS, 3));
  ck_assert (claim_fold_complete (&fold));
  ck_assert_uint_eq (claim_fold_next (&fold), 43);
  claim_fold_fini (&fold);
}
END_TEST

#define LENGTH 5
#define WAITS 3
#define OPS 3
#define CHOICES (WAITS * OPS)

/* Runs one sequence on a fold from the start and on one that starts at FIRST;
   returns the number of comparisons.  */
static int
compare_folds (struct claim_fold *whole, struct claim_fold *part, int code,
               int first)
{
  static const int64_t waits[WAITS] = { 250, 500, 999 };
  static const char ops[OPS] = { 'c', 'd', 'r' };
  struct claim_key key = { 1, 1 };
  struct claim_held held = { 0 };
  int compared = 0;
  int64_t now = 5000;
  claim_fold_reset (whole, 0, false);
  claim_fold_reset (part, first, true);
  for (int n = 0; n < LENGTH; n++, code /= CHOICES)
    {
      char op = ops[code % OPS];
      uint64_t id = n + 1;
      now += waits[code / OPS % WAITS];
      /* Done and release are the holder's, as the writer sees it.  */
      if (op != 'c' && claim_fold_find (whole, key, &held))
        id = held.claim_id;
      record (whole, now, n + 1);
      apply (whole, 1, op, id, 0);
      if (n < first)
        continue;
      record (part, now, n + 1);
      apply (part, 1, op, id, 0);
      if (!claim_fold_complete (part))
        continue;
      ck_assert_msg (!claim_fold_find (whole, key, &held)
                         || claim_fold_find (part, key, &held),
                     "code %d first %d step %d: free in the later fold only",
                     code, first, n);
      compared++;
    }
  return compared;
}

/* Guards against a process that read the log from a later offset and grants a
   key that others know as held: every sequence of claims, dones and releases
   of one key, at every first offset.  */
START_TEST (test_later_start)
{
  struct claim_fold whole = fold_new (4);
  struct claim_fold part = fold_new (4);
  int total = 1;
  int compared = 0;
  for (int n = 0; n < LENGTH; n++)
    total *= CHOICES;
  for (int code = 0; code < total; code++)
    for (int first = 1; first < LENGTH; first++)
      compared += compare_folds (&whole, &part, code, first);
  ck_assert_int_gt (compared, total);
  claim_fold_fini (&whole);
  claim_fold_fini (&part);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("claim_fold");
  TCase *tc = tcase_create ("claim_fold");
  tcase_set_timeout (tc, 120);
  tcase_add_loop_test (tc, test_rules, 0, ROWS (cases));
  tcase_add_test (tc, test_sequences);
  tcase_add_test (tc, test_room);
  tcase_add_test (tc, test_complete);
  tcase_add_test (tc, test_later_start);
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed != 0;
}
