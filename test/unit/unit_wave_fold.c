#include <check.h>
#include <string.h>
#include <talloc.h>

#include "base/err.h"
#include "store/log_store.h"
#include "wave/wave_codec.h"

#define ROWS(table) (int)(sizeof (table) / sizeof *(table))
#define LEASE_MS 10000

static struct wave_fold fold;
static const struct wave_new_host three_hosts[]
    = { { "h1", "a" }, { "h2", "a" }, { "h3", "b" } };

static enum wave_effect
fold_record (int64_t time_ms, const struct wave_record *rec)
{
  enum wave_effect effect = WAVE_EFFECT_COUNT;
  ck_assert_int_eq (
      wave_fold_record (&fold, fold.next_offset, time_ms, rec, &effect), 0);
  return effect;
}

static enum wave_effect
fold_create (const char *id, const struct wave_new_host *hosts, size_t count)
{
  const struct wave_record rec = { .type = WAVE_RECORD_CREATE,
                                   .writer = "cli",
                                   .id = id,
                                   .editor = "ana",
                                   .base_offset = fold.next_offset,
                                   .hosts = hosts,
                                   .host_count = count };
  return fold_record (1000, &rec);
}

static enum wave_effect
fold_lease (const char *writer, uint64_t inc, int64_t time_ms,
            int64_t duration_ms)
{
  const struct wave_record rec = { .type = WAVE_RECORD_LEASE,
                                   .writer = writer,
                                   .incarnation = inc,
                                   .data_centre = "a",
                                   .duration_ms = duration_ms };
  return fold_record (time_ms, &rec);
}

static enum wave_effect
fold_step (const char *writer, uint64_t fence,
           const struct wave_step_item *item)
{
  const struct wave_record rec = { .type = WAVE_RECORD_PLAN,
                                   .writer = writer,
                                   .incarnation = 1,
                                   .data_centre = "a",
                                   .fence = fence,
                                   .steps = item,
                                   .step_count = 1 };
  return fold_record (2000, &rec);
}

static enum wave_effect
fold_change (enum wave_record_type type, const char *id, uint32_t generation)
{
  const struct wave_record rec
      = { .type = type, .id = id, .editor = "ana", .generation = generation };
  return fold_record (2000, &rec);
}

/* A wave "w" of three hosts, and the planner e1 of data centre "a" with fence
   1.  */
static void
start (void)
{
  ck_assert_int_eq (wave_fold_init (&fold, NULL), 0);
  ck_assert_int_eq (fold_create ("w", three_hosts, 3), WAVE_EFFECT_DONE);
  ck_assert_int_eq (fold_lease ("e1", 1, 1000, LEASE_MS), WAVE_EFFECT_DONE);
}

static const struct
{
  const char *writer;
  uint64_t incarnation;
  int64_t time_ms;
  int64_t duration_ms;
  enum wave_effect effect;
  uint64_t fence;
} leases[] = {
  { "e1", 1, 5000, LEASE_MS, WAVE_EFFECT_DONE, 1 }, /* renewed */
  { "e2", 1, 5000, LEASE_MS, WAVE_EFFECT_HELD, 1 },
  { "e1", 2, 5000, LEASE_MS, WAVE_EFFECT_HELD, 1 }, /* restarted */
  { "e2", 1, 10999, LEASE_MS, WAVE_EFFECT_HELD, 1 },
  { "e2", 1, 11000, LEASE_MS, WAVE_EFFECT_DONE, 2 },
  { "e1", 1, 11000, LEASE_MS, WAVE_EFFECT_DONE, 2 }, /* has expired */
  { "e1", 1, 5000, 0, WAVE_EFFECT_DONE, 1 },         /* released */
  { "e2", 1, 5000, 0, WAVE_EFFECT_HELD, 1 },
  { "e1", 1, 5000, 10, WAVE_EFFECT_INVALID, 1 },
  { "e1", 1, 5000, WAVE_LEASE_MAX_MS + 1, WAVE_EFFECT_INVALID, 1 },
};

/* Guards against two planners that hold the lease of one data centre, and
   against a fence that is kept although another planner could have held the
   lease in between.  */
START_TEST (test_lease)
{
  start ();
  ck_assert_int_eq (fold_lease (leases[_i].writer, leases[_i].incarnation,
                                leases[_i].time_ms, leases[_i].duration_ms),
                    leases[_i].effect);
  ck_assert_uint_eq (wave_find_lease (&fold, "a")->fence, leases[_i].fence);
  wave_fold_fini (&fold);
}
END_TEST

/* Guards against a lease that is extended because the log's clock was set
   back.  */
START_TEST (test_clock_set_back)
{
  start ();
  ck_assert_int_eq (fold_lease ("e2", 1, 9000, LEASE_MS), WAVE_EFFECT_HELD);
  ck_assert_int_eq (fold_lease ("e1", 1, 500, LEASE_MS), WAVE_EFFECT_DONE);
  ck_assert_int_eq (wave_find_lease (&fold, "a")->expires_ms, 9000 + LEASE_MS);
  wave_fold_fini (&fold);
}
END_TEST

static const struct
{
  const char *writer;
  uint64_t fence;
  struct wave_step_item item;
  enum wave_effect effect;
} steps[] = {
  { "e1", 1, { "w", "h1", 1, WAVE_DRAINING, 0, "p", 0 }, WAVE_EFFECT_DONE },
  { "e1", 0, { "w", "h1", 1, WAVE_DRAINING, 0, "p", 0 }, WAVE_EFFECT_FENCED },
  { "e2", 1, { "w", "h1", 1, WAVE_DRAINING, 0, "p", 0 }, WAVE_EFFECT_FENCED },
  /* Wrong generation, host, wave, data centre, pool or pool generation.  */
  { "e1", 1, { "w", "h1", 2, WAVE_DRAINING, 0, "p", 0 }, WAVE_EFFECT_VOID },
  { "e1", 1, { "w", "h9", 1, WAVE_DRAINING, 0, "p", 0 }, WAVE_EFFECT_VOID },
  { "e1", 1, { "v", "h1", 1, WAVE_DRAINING, 0, "p", 0 }, WAVE_EFFECT_VOID },
  { "e1", 1, { "w", "h3", 1, WAVE_DRAINING, 0, "p", 0 }, WAVE_EFFECT_VOID },
  { "e1", 1, { "w", "h1", 1, WAVE_DRAINING, 0, "", 0 }, WAVE_EFFECT_VOID },
  { "e1", 1, { "w", "h1", 1, WAVE_DRAINING, 0, "p", 1 }, WAVE_EFFECT_VOID },
  /* Steps out of order.  */
  { "e1", 1, { "w", "h1", 1, WAVE_REBOOTING, 0, "p", 0 }, WAVE_EFFECT_VOID },
  { "e1", 1, { "w", "h1", 1, WAVE_CHECKING, 0, "p", 0 }, WAVE_EFFECT_VOID },
  { "e1", 1, { "w", "h1", 1, WAVE_BACK, 0, "p", 0 }, WAVE_EFFECT_VOID },
  { "e1", 1, { "w", "h1", 1, WAVE_WAITING, 0, "p", 0 }, WAVE_EFFECT_VOID },
  { "e1",
    1,
    { "w", "h1", 1, WAVE_FAILED, WAVE_REASON_HOST_DOWN, "", 0 },
    WAVE_EFFECT_DONE },
};

/* Guards against steps of a planner that was replaced, steps decided on an
   outdated state, and steps out of order.  */
START_TEST (test_step)
{
  start ();
  ck_assert_int_eq (
      fold_step (steps[_i].writer, steps[_i].fence, &steps[_i].item),
      steps[_i].effect);
  const struct wave *wv = wave_find (&fold, "w");
  ck_assert_uint_eq (wv->hosts_in_step[WAVE_WAITING],
                     steps[_i].effect == WAVE_EFFECT_DONE ? 2 : 3);
  /* A duplicate of the record has no effect.  */
  if (steps[_i].effect == WAVE_EFFECT_DONE)
    ck_assert_int_eq (fold_step ("e1", 1, &steps[_i].item), WAVE_EFFECT_VOID);
  wave_fold_fini (&fold);
}
END_TEST

/* Guards against two planners that each take the last host that a pool's
   budget allows out of service.  */
START_TEST (test_pool_generation)
{
  struct wave_step_item item = { "w", "h1", 1, WAVE_DRAINING, 0, "p", 0 };
  start ();
  uint64_t offset = fold.next_offset;
  ck_assert_int_eq (fold_step ("e1", 1, &item), WAVE_EFFECT_DONE);
  ck_assert_uint_eq (wave_find_pool (&fold, "p").generation, offset + 1);
  item.host = "h2";
  ck_assert_int_eq (fold_step ("e1", 1, &item), WAVE_EFFECT_VOID);
  item.pool = "q";
  ck_assert_int_eq (fold_step ("e1", 1, &item), WAVE_EFFECT_DONE);
  wave_fold_fini (&fold);
}
END_TEST

/* Guards against a pool whose generation was evicted and that then appears as
   if none of its hosts had been taken out of service.  */
START_TEST (test_pools_bounded)
{
  char name[16];
  start ();
  for (uint32_t n = 0; n < WAVE_POOLS_MAX; n++)
    {
      fold.pools[n].generation = n + 5;
      snprintf (fold.pools[n].name, sizeof fold.pools[n].name, "p%u", n);
    }
  fold.pool_count = WAVE_POOLS_MAX;
  struct wave_step_item item = { "w", "h1", 1, WAVE_DRAINING, 0, "new", 0 };
  ck_assert_int_eq (fold_step ("e1", 1, &item), WAVE_EFFECT_DONE);
  ck_assert_uint_eq (wave_find_pool (&fold, "p0").generation, 5);
  ck_assert_uint_eq (wave_find_pool (&fold, "other").generation, 5);
  snprintf (name, sizeof name, "p%d", WAVE_POOLS_MAX - 1);
  ck_assert_uint_eq (wave_find_pool (&fold, name).generation,
                     WAVE_POOLS_MAX + 4);
  wave_fold_fini (&fold);
}
END_TEST

static const struct wave_new_host duplicate_hosts[]
    = { { "h5", "a" }, { "h5", "b" } };
static const struct wave_new_host bad_host[] = { { "h/5", "a" } };
static const struct wave_new_host other_host[] = { { "h5", "a" } };
static const struct
{
  const char *id;
  const struct wave_new_host *hosts;
  size_t count;
  enum wave_effect effect;
} creations[] = {
  { "w", three_hosts, 3, WAVE_EFFECT_EXISTS },
  { "v", three_hosts + 1, 1, WAVE_EFFECT_OVERLAP },
  { "v", other_host, 1, WAVE_EFFECT_DONE },
  { "v", duplicate_hosts, 2, WAVE_EFFECT_INVALID },
  { "v", bad_host, 1, WAVE_EFFECT_INVALID },
  { "v w", other_host, 1, WAVE_EFFECT_INVALID },
  { "v", other_host, 0, WAVE_EFFECT_INVALID },
  { "v", other_host, WAVE_HOSTS_MAX + 1, WAVE_EFFECT_INVALID },
};

/* Guards against a wave that is created twice, and against a host in two open
   waves.  */
START_TEST (test_create)
{
  start ();
  ck_assert_int_eq (
      fold_create (creations[_i].id, creations[_i].hosts, creations[_i].count),
      creations[_i].effect);
  wave_fold_fini (&fold);
}
END_TEST

/* Guards against a duplicate of a creation that takes effect after its wave
   was evicted, and against an unlimited number of waves.  */
START_TEST (test_waves_bounded)
{
  char id[16];
  char name[16];
  struct wave_new_host host = { name, "a" };
  ck_assert_int_eq (wave_fold_init (&fold, NULL), 0);
  for (int n = 0; n < WAVE_WAVES_MAX; n++)
    {
      snprintf (id, sizeof id, "w%d", n);
      snprintf (name, sizeof name, "h%d", n);
      ck_assert_int_eq (fold_create (id, &host, 1), WAVE_EFFECT_DONE);
    }
  host.name = "more";
  ck_assert_int_eq (fold_create ("more", &host, 1), WAVE_EFFECT_FULL);
  /* An ended wave is evicted only once its creation would be void as too
     old.  */
  ck_assert_int_eq (fold_change (WAVE_RECORD_CANCEL, "w0", 1),
                    WAVE_EFFECT_DONE);
  ck_assert_int_eq (fold_create ("more", &host, 1), WAVE_EFFECT_FULL);
  for (int n = 0; n < WAVE_CREATE_WINDOW; n++)
    wave_fold_skip (&fold, fold.next_offset, 2000);
  ck_assert_int_eq (fold_create ("more", &host, 1), WAVE_EFFECT_DONE);
  ck_assert_ptr_null (wave_find (&fold, "w0"));
  const struct wave_record copy = { .type = WAVE_RECORD_CREATE,
                                    .id = "w0",
                                    .editor = "ana",
                                    .base_offset = 0,
                                    .hosts = &host,
                                    .host_count = 1 };
  ck_assert_int_eq (fold_record (3000, &copy), WAVE_EFFECT_STALE);
  wave_fold_fini (&fold);
}
END_TEST

static const struct
{
  enum wave_record_type type;
  uint32_t generation;
  enum wave_effect effect;
  enum wave_state state;
} changes[] = {
  { WAVE_RECORD_PAUSE, 1, WAVE_EFFECT_DONE, WAVE_PAUSED },
  { WAVE_RECORD_RESUME, 1, WAVE_EFFECT_DONE, WAVE_RUNNING },
  { WAVE_RECORD_CANCEL, 1, WAVE_EFFECT_DONE, WAVE_CANCELLED },
  { WAVE_RECORD_CANCEL, 2, WAVE_EFFECT_VOID, WAVE_RUNNING },
};

/* Guards against an operator's change that was based on an outdated state, and
   against one that takes effect twice.  */
START_TEST (test_change)
{
  start ();
  for (int n = 0; n < 2; n++)
    {
      ck_assert_int_eq (
          fold_change (changes[_i].type, "w", changes[_i].generation),
          n ? WAVE_EFFECT_VOID : changes[_i].effect);
      ck_assert_int_eq (wave_find (&fold, "w")->state, changes[_i].state);
    }
  wave_fold_fini (&fold);
}
END_TEST

/* Guards against a host that is started after its wave's deadline, and against
   one that waits in an expired wave and cannot join another.  */
START_TEST (test_deadline)
{
  struct wave_step_item item = { "d", "h5", 1, WAVE_DRAINING, 0, "p", 0 };
  start ();
  const struct wave_record rec = { .type = WAVE_RECORD_CREATE,
                                   .id = "d",
                                   .editor = "ana",
                                   .deadline_ms = 2000,
                                   .hosts = other_host,
                                   .host_count = 1 };
  ck_assert_int_eq (fold_record (1500, &rec), WAVE_EFFECT_DONE);
  ck_assert_int_eq (fold_create ("e", other_host, 1), WAVE_EFFECT_OVERLAP);
  ck_assert_int_eq (fold_step ("e1", 1, &item), WAVE_EFFECT_VOID);
  ck_assert_str_eq (wave_state_name (&fold, wave_find (&fold, "d")),
                    "expired");
  ck_assert_int_eq (fold_create ("e", other_host, 1), WAVE_EFFECT_DONE);
  wave_fold_fini (&fold);
}
END_TEST

/* Guards against records that change when they are encoded and decoded.  */
START_TEST (test_codec)
{
  const struct wave_step_item item
      = { "w", "h1", 7, WAVE_FAILED, WAVE_REASON_REFUSED, "p", 9 };
  const struct wave_halt_item halt = { "w", 3, WAVE_REASON_RACK_LOST };
  const struct wave_record recs[] = {
    { .type = WAVE_RECORD_CREATE,
      .writer = "e",
      .incarnation = 4,
      .id = "w",
      .editor = "ana",
      .deadline_ms = 5,
      .most_out = 6,
      .base_offset = 7,
      .hosts = three_hosts,
      .host_count = 3 },
    { .type = WAVE_RECORD_RESUME,
      .writer = "e",
      .id = "w",
      .editor = "ana",
      .generation = 8,
      .retry = true },
    { .type = WAVE_RECORD_LEASE,
      .writer = "e",
      .data_centre = "a",
      .duration_ms = 9 },
    { .type = WAVE_RECORD_PLAN,
      .writer = "e",
      .data_centre = "a",
      .fence = 10,
      .steps = &item,
      .step_count = 1,
      .halts = &halt,
      .halt_count = 1 },
  };
  for (int n = 0; n < ROWS (recs); n++)
    {
      void *ctx = talloc_new (NULL);
      struct wave_record out;
      uint8_t *data;
      uint8_t *again;
      size_t len;
      size_t again_len;
      void *storage;
      ck_assert_int_eq (wave_record_encode (ctx, &recs[n], &data, &len), 0);
      ck_assert_int_eq (wave_record_decode (ctx, data, len, &out, &storage),
                        0);
      ck_assert_int_eq (out.type, recs[n].type);
      ck_assert_int_eq (wave_record_encode (ctx, &out, &again, &again_len), 0);
      ck_assert_uint_eq (again_len, len);
      ck_assert_mem_eq (again, data, len);
      /* A corrupt byte is detected at any position.  */
      for (size_t at = 0; at < len; at++)
        {
          data[at] ^= 1;
          ck_assert_int_ne (
              wave_record_decode (ctx, data, len, &out, &storage), 0);
          data[at] ^= 1;
        }
      talloc_free (ctx);
    }
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("wave_fold");
  TCase *tc = tcase_create ("wave_fold");
  tcase_add_loop_test (tc, test_lease, 0, ROWS (leases));
  tcase_add_test (tc, test_clock_set_back);
  tcase_add_loop_test (tc, test_step, 0, ROWS (steps));
  tcase_add_test (tc, test_pool_generation);
  tcase_add_test (tc, test_pools_bounded);
  tcase_add_loop_test (tc, test_create, 0, ROWS (creations));
  tcase_add_test (tc, test_waves_bounded);
  tcase_add_loop_test (tc, test_change, 0, ROWS (changes));
  tcase_add_test (tc, test_deadline);
  tcase_add_test (tc, test_codec);
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed != 0;
}
