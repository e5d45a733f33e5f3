#include <check.h>
#include <talloc.h>

#include "base/err.h"
#include "claim/claim_fold.h"

#define LIFETIME_MS 1000
#define STEPS_MAX 8
#define ROWS(table) (int)(sizeof (table) / sizeof *(table))

struct step
{
  /* c: claim, d: done item with an answer, u: done item with unknown result,
     r: release.  */
  char op;
  uint64_t id;
  uint64_t body;
  int64_t wait_ms; /* log time since the record before */
  enum claim_effect effect;
};

#define NONE CLAIM_EFFECT_NONE
#define HOLDER CLAIM_EFFECT_HOLDER
#define HELD_BY_OTHER CLAIM_EFFECT_HELD_BY_OTHER
#define OTHER_BODY CLAIM_EFFECT_OTHER_BODY
#define RECORDED CLAIM_EFFECT_RECORDED
#define RELEASED CLAIM_EFFECT_RELEASED

static const struct
{
  const char *failure;
  struct step steps[STEPS_MAX];
} cases[] = {
  { "two claims hold one key",
    { { 'c', 1, 5, 0, HOLDER },
      { 'c', 2, 5, 1, HELD_BY_OTHER },
      { 'c', 1, 5, 1, HOLDER } } },
  { "a key is reused for another request",
    { { 'c', 1, 5, 0, HOLDER }, { 'c', 2, 6, 1, OTHER_BODY } } },
  { "a released key cannot be claimed again",
    { { 'c', 1, 5, 0, HOLDER },
      { 'r', 1, 0, 1, RELEASED },
      { 'c', 2, 6, 1, HOLDER } } },
  { "a release takes effect though its claim does not hold the key",
    { { 'c', 1, 5, 0, HOLDER },
      { 'c', 2, 5, 1, HELD_BY_OTHER },
      { 'r', 2, 0, 1, NONE },
      { 'c', 3, 5, 1, HELD_BY_OTHER } } },
  { "a repeated release frees the key of the next holder",
    { { 'c', 1, 5, 0, HOLDER },
      { 'r', 1, 0, 1, RELEASED },
      { 'c', 2, 5, 1, HOLDER },
      { 'r', 1, 0, 1, NONE },
      { 'c', 3, 5, 1, HELD_BY_OTHER } } },
  { "a release takes effect after the request was sent",
    { { 'c', 1, 5, 0, HOLDER },
      { 'u', 1, 0, 1, RECORDED },
      { 'r', 1, 0, 1, NONE },
      { 'c', 2, 5, 1, HELD_BY_OTHER } } },
  { "a done item takes effect though its claim does not hold the key",
    { { 'c', 1, 5, 0, HOLDER },
      { 'd', 2, 0, 1, NONE },
      { 'd', 1, 0, 1, RECORDED } } },
  { "a later record replaces an answer",
    { { 'c', 1, 5, 0, HOLDER },
      { 'u', 1, 0, 1, RECORDED },
      { 'd', 1, 0, 1, RECORDED },
      { 'u', 1, 0, 1, NONE },
      { 'd', 1, 0, 1, NONE } } },
  { "a key expires early, late, or not counted from its last claim",
    { { 'c', 1, 5, 0, HOLDER },
      { 'c', 2, 5, LIFETIME_MS - 1, HELD_BY_OTHER },
      { 'c', 3, 5, LIFETIME_MS - 1, HELD_BY_OTHER },
      { 'c', 4, 5, LIFETIME_MS, HOLDER },
      { 'd', 1, 0, 1, NONE } } },
  { "a key expires early after log time goes back",
    { { 'c', 1, 5, 0, HOLDER },
      { 'c', 2, 5, LIFETIME_MS, HOLDER },
      { 'c', 3, 5, -LIFETIME_MS, HELD_BY_OTHER },
      { 'c', 4, 5, LIFETIME_MS, HELD_BY_OTHER } } },
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
apply_item (struct claim_fold *fold, uint64_t key, char op, uint64_t id,
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
begin_record (struct claim_fold *fold, int64_t now, uint64_t seq)
{
  return claim_fold_begin_record (fold, claim_fold_next_offset (fold), now,
                                  "w", 1, seq);
}

/* Guards against the failure that the case names.  */
START_TEST (test_rules)
{
  struct claim_fold fold = fold_new (4);
  int64_t now = 5000;
  for (int n = 0; n < STEPS_MAX && cases[_i].steps[n].op; n++)
    {
      const struct step *st = &cases[_i].steps[n];
      now += st->wait_ms;
      ck_assert (begin_record (&fold, now, n + 1));
      enum claim_effect effect
          = apply_item (&fold, 1, st->op, st->id, st->body);
      ck_assert_msg (effect == st->effect, "%s: step %d gave %d, not %d",
                     cases[_i].failure, n, effect, st->effect);
    }
  claim_fold_fini (&fold);
}
END_TEST

/* Guards against a record that takes effect twice or after a later record of
   its writer, and against sequences mixed up between writers or
   incarnations.  */
START_TEST (test_sequences)
{
  static const struct
  {
    const char *writer;
    uint64_t incarnation;
    uint64_t seq;
    bool takes_effect;
  } rows[] = {
    { "a", 1, 5, true },  { "a", 1, 5, false }, { "a", 1, 7, true },
    { "a", 1, 6, false }, { "b", 1, 5, true },  { "a", 2, 5, true },
    { "a", 1, 8, true },
  };
  struct claim_fold fold = fold_new (4);
  for (int n = 0; n < ROWS (rows); n++)
    ck_assert_int_eq (claim_fold_begin_record (&fold, n, 10, rows[n].writer,
                                               rows[n].incarnation,
                                               rows[n].seq),
                      rows[n].takes_effect);
  claim_fold_fini (&fold);
}
END_TEST

#define KEY_COUNT 1000

/* Guards against keys lost or mixed up when the table grows, a table that
   grows without limit, and a fold that is complete although it had to
   drop a claim.  */
START_TEST (test_room)
{
  struct claim_fold fold = fold_new (KEY_COUNT);
  struct claim_key_state held;
  ck_assert (begin_record (&fold, 10, 1));
  for (uint64_t key = 1; key <= KEY_COUNT; key++)
    ck_assert_int_eq (apply_item (&fold, key, 'c', key, 0), HOLDER);
  for (uint64_t key = 1; key <= KEY_COUNT; key += 2)
    ck_assert_int_eq (apply_item (&fold, key, 'r', key, 0), RELEASED);
  for (uint64_t key = 1; key <= KEY_COUNT; key++)
    ck_assert_int_eq (
        claim_fold_find (&fold, (struct claim_key){ key, key }, &held),
        key % 2 == 0);
  for (uint64_t key = 1; key <= KEY_COUNT; key += 2)
    ck_assert_int_eq (apply_item (&fold, key, 'c', key, 0), HOLDER);
  ck_assert (claim_fold_complete (&fold));
  ck_assert_int_eq (apply_item (&fold, KEY_COUNT + 1, 'c', 1, 0),
                    CLAIM_EFFECT_NO_ROOM);
  ck_assert_uint_eq (claim_fold_key_count (&fold), KEY_COUNT);
  ck_assert (!claim_fold_complete (&fold));
  ck_assert (begin_record (&fold, 10 + LIFETIME_MS, 2));
  ck_assert_uint_eq (claim_fold_key_count (&fold), 0);
  ck_assert (claim_fold_complete (&fold));
  claim_fold_fini (&fold);
}
END_TEST

/* Guards against a fold that is complete although it started after the
   first record, or skipped a record that may have claims.  */
START_TEST (test_complete)
{
  struct claim_fold fold = fold_new (4);
  ck_assert (claim_fold_complete (&fold));
  claim_fold_skip (&fold, 0, 10, false);
  ck_assert (claim_fold_complete (&fold));
  claim_fold_skip (&fold, 1, 10, true);
  ck_assert (!claim_fold_complete (&fold));
  ck_assert (begin_record (&fold, 10 + LIFETIME_MS, 1));
  ck_assert (claim_fold_complete (&fold));
  claim_fold_reset (&fold, 40, true);
  ck_assert (!claim_fold_complete (&fold));
  ck_assert (begin_record (&fold, 9000, 1));
  ck_assert (begin_record (&fold, 9000 + LIFETIME_MS - 1, 2));
  ck_assert (!claim_fold_complete (&fold));
  ck_assert (begin_record (&fold, 9000 + LIFETIME_MS, 3));
  ck_assert (claim_fold_complete (&fold));
  ck_assert_uint_eq (claim_fold_next_offset (&fold), 43);
  claim_fold_fini (&fold);
}
END_TEST

#define SEQUENCE_LENGTH 5
#define WAIT_CHOICES 3
#define OP_CHOICES 3
#define STEP_CHOICES (WAIT_CHOICES * OP_CHOICES)

/* Runs the sequence that CODE encodes on a fold from the start and on one from
   FIRST_OFFSET, and compares the two after each record once the later one is
   complete.  Returns the number of comparisons.  */
static int
compare_folds (struct claim_fold *whole, struct claim_fold *partial, int code,
               int first_offset)
{
  static const int64_t waits[WAIT_CHOICES] = { 250, 500, 999 };
  static const char ops[OP_CHOICES] = { 'c', 'd', 'r' };
  struct claim_key key = { 1, 1 };
  struct claim_key_state held = { 0 };
  int compared = 0;
  int64_t now = 5000;
  claim_fold_reset (whole, 0, false);
  claim_fold_reset (partial, first_offset, true);
  for (int n = 0; n < SEQUENCE_LENGTH; n++, code /= STEP_CHOICES)
    {
      char op = ops[code % OP_CHOICES];
      uint64_t id = n + 1;
      now += waits[code / OP_CHOICES % WAIT_CHOICES];
      /* Only the holder appends a done item or a release.  */
      if (op != 'c' && claim_fold_find (whole, key, &held))
        id = held.claim_id;
      begin_record (whole, now, n + 1);
      apply_item (whole, 1, op, id, 0);
      if (n < first_offset)
        continue;
      begin_record (partial, now, n + 1);
      apply_item (partial, 1, op, id, 0);
      if (!claim_fold_complete (partial))
        continue;
      ck_assert_msg (!claim_fold_find (whole, key, &held)
                         || claim_fold_find (partial, key, &held),
                     "code %d first %d step %d: free in the later fold only",
                     code, first_offset, n);
      compared++;
    }
  return compared;
}

/* Guards against a process that reads the log from a later offset and grants a
   key that other processes know as held.  Runs every sequence of claims,
   done items and releases of one key, from every first offset.  */
START_TEST (test_later_start)
{
  struct claim_fold whole = fold_new (4);
  struct claim_fold partial = fold_new (4);
  int total = 1;
  int compared = 0;
  for (int n = 0; n < SEQUENCE_LENGTH; n++)
    total *= STEP_CHOICES;
  for (int code = 0; code < total; code++)
    for (int first_offset = 1; first_offset < SEQUENCE_LENGTH; first_offset++)
      compared += compare_folds (&whole, &partial, code, first_offset);
  ck_assert_int_gt (compared, total);
  claim_fold_fini (&whole);
  claim_fold_fini (&partial);
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
