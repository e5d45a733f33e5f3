#include <check.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base/err.h"
#include "config_help.h"

#define NO_VERSION TABLE_NO_VERSION
#define COUNT(a) (sizeof (a) / sizeof *(a))

static void *ctx;
static struct fold fd;

static void
setup (void)
{
  ctx = talloc_new (NULL);
  ck_assert_int_eq (fold_init (&fd, ctx), 0);
}

static void
teardown (void)
{
  fold_fini (&fd);
  talloc_free (ctx);
}

/* Adds pool a at offset 0 and kind k with weight 100 at offset 1.  */
static void
fold_base_table (struct fold *to)
{
  struct fold_row_change pool = help_set_row (help_pool_row ("a"), NO_VERSION);
  struct fold_row_change kind
      = help_set_row (help_kind_row ("k", "a", 100), NO_VERSION);
  ck_assert_int_eq (
      help_fold (to, help_rows_record (ctx, "base", 1, 0, &pool, 1), NULL),
      FOLD_APPLIED);
  ck_assert_int_eq (
      help_fold (to, help_rows_record (ctx, "base", 2, 1, &kind, 1), NULL),
      FOLD_APPLIED);
}

static uint32_t
weight_of (const struct fold *of, const char *kind)
{
  const struct table_row *row = table_find (of->table, TABLE_KIND, kind);
  return row ? row->kind.weight : 0;
}

static const int orders[][3] = { { 0, 1, 2 }, { 0, 2, 1 }, { 1, 0, 2 },
                                 { 1, 2, 0 }, { 2, 0, 1 }, { 2, 1, 0 } };

/* Three editors change the same row, based on the same version, in all orders:
   editors 0 and 1 set it, editor 2 deletes it.  Guards against several of the
   changes being applied, or none, and against wrong values in the conflict
   report.  */
START_TEST (test_racing_editors)
{
  const char *const names[] = { "marie", "joao", "ana" };
  struct fold_row_change changes[]
      = { help_set_row (help_kind_row ("k", "a", 201), 1),
          help_set_row (help_kind_row ("k", "a", 202), 1),
          help_delete_row (TABLE_KIND, "k", 1) };
  const uint32_t weights[] = { 201, 202, 0 };
  fold_base_table (&fd);
  for (int n = 0; n < 3; n++)
    {
      int editor_idx = orders[_i][n];
      struct fold_result res;
      enum fold_outcome got
          = help_fold (&fd,
                       help_rows_record (ctx, names[editor_idx], 1, 2,
                                         &changes[editor_idx], 1),
                       &res);
      ck_assert_int_eq (got, n == 0 ? FOLD_APPLIED : FOLD_CONFLICT);
      if (n == 0)
        continue;
      ck_assert_uint_eq (res.conflict_count, 1);
      const struct fold_conflict *conflict = &res.conflicts[0];
      ck_assert_uint_eq (conflict->row.row.version, 1);
      ck_assert_int_eq (conflict->row.deleted, editor_idx == 2);
      int winner = orders[_i][0];
      ck_assert_int_eq (conflict->exists, winner != 2);
      if (winner != 2)
        ck_assert_uint_eq (conflict->current_row.kind.weight, weights[winner]);
      if (editor_idx != 2)
        ck_assert_uint_eq (conflict->row.row.kind.weight, weights[editor_idx]);
    }
  ck_assert_uint_eq (weight_of (&fd, "k"), weights[orders[_i][0]]);
}
END_TEST

/* Guards against a duplicate that restores a row that was deleted after the
   first copy.  */
START_TEST (test_duplicate_after_delete)
{
  struct fold_result res;
  struct fold_row_change kind
      = help_set_row (help_kind_row ("m", "a", 5), NO_VERSION);
  fold_base_table (&fd);
  struct help_record rec = help_rows_record (ctx, "marie", 1, 2, &kind, 1);
  ck_assert_int_eq (help_fold (&fd, rec, NULL), FOLD_APPLIED);
  struct fold_row_change deletion = help_delete_row (TABLE_KIND, "m", 2);
  ck_assert_int_eq (
      help_fold (&fd, help_rows_record (ctx, "joao", 1, 3, &deletion, 1),
                 NULL),
      FOLD_APPLIED);
  ck_assert_int_eq (help_fold (&fd, rec, &res), FOLD_DUPLICATE);
  ck_assert_uint_eq (res.first_offset, 2);
  ck_assert_uint_eq (weight_of (&fd, "m"), 0);
}
END_TEST

/* Guards against an edit that was reported as void but is applied later by a
   duplicate of its record.  */
START_TEST (test_duplicate_of_void_record)
{
  struct fold_row_change creation
      = help_set_row (help_kind_row ("k", "a", 5), NO_VERSION);
  struct fold_row_change deletion = help_delete_row (TABLE_KIND, "k", 1);
  fold_base_table (&fd);
  struct help_record rec = help_rows_record (ctx, "marie", 1, 2, &creation, 1);
  ck_assert_int_eq (help_fold (&fd, rec, NULL), FOLD_CONFLICT);
  ck_assert_int_eq (
      help_fold (&fd, help_rows_record (ctx, "joao", 1, 2, &deletion, 1),
                 NULL),
      FOLD_APPLIED);
  ck_assert_int_eq (help_fold (&fd, rec, NULL), FOLD_DUPLICATE);
  ck_assert_uint_eq (weight_of (&fd, "k"), 0);
}
END_TEST

/* A record with base offset 2: where its first copy is, and the distance from
   the base offset to the copy under test.  */
static const struct
{
  uint64_t first; /* offset of the first copy; 0: there is none */
  uint64_t distance;
  enum fold_outcome outcome;
} window_cases[] = {
  { 2, FOLD_DEDUP_WINDOW - 1, FOLD_DUPLICATE },
  { 2, FOLD_DEDUP_WINDOW, FOLD_DUPLICATE },
  { 2, FOLD_DEDUP_WINDOW + 1, FOLD_STALE },
  { 50, FOLD_DEDUP_WINDOW + 1, FOLD_DUPLICATE },
  { 50, FOLD_DEDUP_WINDOW + 49, FOLD_STALE },
  { 0, FOLD_DEDUP_WINDOW - 1, FOLD_APPLIED },
  { 0, FOLD_DEDUP_WINDOW, FOLD_STALE },
};

/* Guards against a duplicate that is applied because its id has just left the
   window, and against an id that is stored twice: a snapshot with a duplicate
   id cannot be loaded.  */
START_TEST (test_window_edge)
{
  struct help_record corrupt = { (uint8_t *)"?", 1 };
  struct snapshot snap;
  struct fold loaded;
  uint64_t first = window_cases[_i].first;
  struct fold_row_change kind
      = help_set_row (help_kind_row ("m", "a", 5), NO_VERSION);
  fold_base_table (&fd);
  struct help_record rec = help_rows_record (ctx, "marie", 1, 2, &kind, 1);
  while (fd.next_offset < first)
    help_fold (&fd, corrupt, NULL);
  if (first)
    {
      ck_assert_int_eq (help_fold (&fd, rec, NULL), FOLD_APPLIED);
      struct fold_row_change deletion
          = help_delete_row (TABLE_KIND, "m", first);
      ck_assert_int_eq (
          help_fold (&fd, help_rows_record (ctx, "joao", 1, 3, &deletion, 1),
                     NULL),
          FOLD_APPLIED);
    }
  while (fd.next_offset < 2 + window_cases[_i].distance)
    ck_assert_int_eq (help_fold (&fd, corrupt, NULL), FOLD_CORRUPT);
  ck_assert_int_eq (help_fold (&fd, rec, NULL), window_cases[_i].outcome);
  ck_assert_uint_eq (weight_of (&fd, "m"),
                     window_cases[_i].outcome == FOLD_APPLIED ? 5 : 0);
  ck_assert_int_eq (snapshot_make (ctx, &fd, &snap), 0);
  ck_assert_int_eq (
      snapshot_load (ctx, snap.data, snap.len, snap.checksum, &loaded), 0);
  help_assert_same_state (&fd, &loaded);
  fold_fini (&loaded);
}
END_TEST

enum void_case
{
  VOID_STALE_ROW,
  VOID_RANGE,
  VOID_UNKNOWN_POOL,
  VOID_POOL_IN_USE,
  VOID_POOL_HAS_HOST,
  VOID_DUPLICATE_ROW,
  VOID_DELETE_ABSENT,
  VOID_HOST_POOL,
  VOID_HOST_GENERATION,
  VOID_DUPLICATE_HOST,
  VOID_EDITOR,
  VOID_FUTURE_BASE,
  VOID_CASES,
};

/* Guards against batches that are applied in part.  Each batch first sets a
   row, deletes one and moves a host, and then makes one change that voids it
   as a whole.  */
START_TEST (test_all_or_nothing)
{
  struct fold_row_change rows[4];
  struct fold_host_change hosts[3] = { { .host = { "h1", "b", 3 } },
                                       { .host = { "h2", "b", NO_VERSION } } };
  struct fold_edit edit = { .editor = "marie",
                            .rows = rows,
                            .row_count = 3,
                            .hosts = hosts,
                            .host_count = 2 };
  enum fold_outcome want = FOLD_INVALID;
  struct fold_row_change pool = help_set_row (help_pool_row ("b"), NO_VERSION);
  fold_base_table (&fd);
  help_fold (&fd, help_rows_record (ctx, "base", 3, 2, &pool, 1), NULL);
  struct fold_host_change host = { .host = { "h1", "a", NO_VERSION } };
  struct fold_edit assign
      = { .editor = "base", .hosts = &host, .host_count = 1 };
  ck_assert_int_eq (
      help_fold (&fd, help_edit_record (ctx, "base", 4, 3, &assign), NULL),
      FOLD_APPLIED);

  rows[0] = help_set_row (help_kind_row ("new", "b", 7), NO_VERSION);
  rows[1] = help_delete_row (TABLE_KIND, "k", 1);
  rows[2] = help_set_row (help_kind_row ("new2", "b", 7), NO_VERSION);
  switch (_i)
    {
    case VOID_STALE_ROW:
      rows[2] = help_set_row (help_pool_row ("b"), 1);
      want = FOLD_CONFLICT;
      break;
    case VOID_RANGE:
      rows[2].row.kind.weight = 10001;
      break;
    case VOID_UNKNOWN_POOL:
      rows[2] = help_set_row (help_kind_row ("new2", "c", 7), NO_VERSION);
      break;
    case VOID_POOL_IN_USE:
      rows[2] = help_delete_row (TABLE_POOL, "b", 2);
      edit.host_count = 1;
      break;
    case VOID_POOL_HAS_HOST:
      rows[2] = help_delete_row (TABLE_POOL, "a", 0);
      edit.host_count = 0;
      break;
    case VOID_DUPLICATE_ROW:
      rows[2] = help_set_row (help_kind_row ("new", "b", 8), NO_VERSION);
      break;
    case VOID_DELETE_ABSENT:
      rows[2] = help_delete_row (TABLE_KIND, "absent", NO_VERSION);
      break;
    case VOID_HOST_POOL:
      strcpy (hosts[1].host.pool, "c");
      break;
    case VOID_HOST_GENERATION:
      hosts[1].host.generation = 1;
      want = FOLD_CONFLICT;
      break;
    case VOID_DUPLICATE_HOST:
      hosts[1] = hosts[0];
      break;
    case VOID_EDITOR:
      edit.editor = "marie\n";
      break;
    default:
      break;
    }
  char *before = help_state_text (ctx, &fd);
  uint64_t base_offset = _i == VOID_FUTURE_BASE ? 100 : 4;
  ck_assert_int_eq (
      help_fold (&fd, help_edit_record (ctx, "marie", 1, base_offset, &edit),
                 NULL),
      want);
  ck_assert_str_eq (help_state_text (ctx, &fd), before);
  ck_assert_uint_eq (fd.history_count, 4);

  /* The same batch without the fault is applied.  */
  rows[2] = help_set_row (help_kind_row ("new2", "b", 7), NO_VERSION);
  edit.editor = "marie";
  edit.host_count = 1;
  ck_assert_int_eq (
      help_fold (&fd, help_edit_record (ctx, "marie", 2, 5, &edit), NULL),
      FOLD_APPLIED);
  ck_assert_uint_eq (fold_host_find (&fd, "h1")->generation, 5);
  ck_assert_str_eq (fold_host_find (&fd, "h1")->pool, "b");
}
END_TEST

/* Guards against a batch that cannot create a pool together with its kinds, or
   delete them together, because of the order of the rows.  */
START_TEST (test_batch_order)
{
  struct fold_row_change rows[]
      = { help_set_row (help_kind_row ("k", "a", 1), NO_VERSION),
          help_set_row (help_pool_row ("a"), NO_VERSION) };
  ck_assert_int_eq (
      help_fold (&fd, help_rows_record (ctx, "marie", 1, 0, rows, 2), NULL),
      FOLD_APPLIED);
  struct fold_row_change deletion[] = { help_delete_row (TABLE_POOL, "a", 0),
                                        help_delete_row (TABLE_KIND, "k", 0) };
  ck_assert_int_eq (
      help_fold (&fd, help_rows_record (ctx, "marie", 2, 1, deletion, 2),
                 NULL),
      FOLD_APPLIED);
  ck_assert_uint_eq (fd.table->count, 0);
}
END_TEST

/* Guards against records that are skipped or folded twice, and against folding
   past a record with an unknown format version.  */
START_TEST (test_order_and_format)
{
  struct fold_result res;
  struct fold_row_change kind = help_set_row (help_kind_row ("k", "a", 5), 1);
  fold_base_table (&fd);
  struct help_record rec = help_rows_record (ctx, "marie", 1, 2, &kind, 1);
  ck_assert_int_eq (fold_record (&fd, 3, 0, rec.data, rec.len, &res),
                    ERR_INVALID);
  ck_assert_int_eq (fold_record (&fd, 1, 0, rec.data, rec.len, &res),
                    ERR_INVALID);
  /* Field 1 of the envelope is the format version.  */
  ck_assert_uint_eq (rec.data[0], 0x08);
  rec.data[1]++;
  ck_assert_int_eq (fold_record (&fd, 2, 0, rec.data, rec.len, &res),
                    ERR_CONFLICT);
  rec.data[1]--;
  rec.data[rec.len / 2] ^= 1;
  ck_assert_int_eq (help_fold (&fd, rec, NULL), FOLD_CORRUPT);
  ck_assert_uint_eq (weight_of (&fd, "k"), 100);
  rec.data[rec.len / 2] ^= 1;
  ck_assert_int_eq (help_fold (&fd, rec, NULL), FOLD_APPLIED);
  ck_assert_uint_eq (weight_of (&fd, "k"), 5);
}
END_TEST

/* Guards against a history that grows without bound, or that has the wrong
   editor, time or values.  */
START_TEST (test_history)
{
  fold_base_table (&fd);
  for (uint64_t n = 2; n < FOLD_HISTORY_MAX + 10; n++)
    {
      struct fold_row_change kind
          = help_set_row (help_kind_row ("k", "a", (uint32_t)n), n - 1);
      ck_assert_int_eq (
          help_fold (&fd, help_rows_record (ctx, "marie", n, n, &kind, 1),
                     NULL),
          FOLD_APPLIED);
    }
  ck_assert_uint_eq (fd.history_count, FOLD_HISTORY_MAX);
  const struct fold_change *last = fold_history (&fd, FOLD_HISTORY_MAX - 1);
  ck_assert_uint_eq (last->offset, FOLD_HISTORY_MAX + 9);
  ck_assert_int_eq (last->time_ms, 1000 + FOLD_HISTORY_MAX + 9);
  ck_assert_str_eq (last->editor, "marie");
  ck_assert_uint_eq (last->before.kind.weight, FOLD_HISTORY_MAX + 8);
  ck_assert_uint_eq (last->after.kind.weight, FOLD_HISTORY_MAX + 9);
  ck_assert_uint_eq (fold_history (&fd, 0)->offset, 10);
  ck_assert_ptr_null (fold_history (&fd, FOLD_HISTORY_MAX));
}
END_TEST

/* Folds enough rows for a snapshot of several pieces, and one assignment.  */
static void
large_table (struct fold *to)
{
  enum
  {
    KINDS = 1500,
  };
  struct fold_row_change *rows
      = talloc_array (ctx, struct fold_row_change, KINDS);
  fold_base_table (to);
  for (int n = 0; n < KINDS; n++)
    {
      char name[TABLE_NAME_SIZE];
      snprintf (name, sizeof name, "kind-with-a-rather-long-name-%04d", n);
      rows[n] = help_set_row (help_kind_row (name, "a", 1 + n), NO_VERSION);
    }
  ck_assert_int_eq (
      help_fold (to, help_rows_record (ctx, "marie", 1, 2, rows, KINDS), NULL),
      FOLD_APPLIED);
  struct fold_host_change host = { .host = { "h1", "a", NO_VERSION } };
  struct fold_edit assign
      = { .editor = "base", .hosts = &host, .host_count = 1 };
  ck_assert_int_eq (
      help_fold (to, help_edit_record (ctx, "base", 4, 3, &assign), NULL),
      FOLD_APPLIED);
}

enum snapshot_case
{
  SNAP_COMPLETE,
  SNAP_REVERSED,
  SNAP_DUPLICATE_PIECES,
  SNAP_INCOMPLETE, /* the later snapshot lacks its last piece */
  SNAP_CORRUPT,    /* snapshot data is damaged; the envelope is intact */
  SNAP_ENVELOPE,   /* a record is damaged; its envelope checksum fails */
  SNAP_EXPIRED,    /* the records that follow it have expired */
  SNAP_CASES,
};

/* Guards against an incomplete or damaged snapshot that is loaded, or that
   hides the complete one before it.  */
START_TEST (test_snapshots)
{
  struct snapshot_reader rd;
  struct snapshot older;
  struct snapshot later;
  struct fold loaded;
  uint64_t seq = 0;
  large_table (&fd);
  ck_assert_int_eq (snapshot_make (ctx, &fd, &older), 0);
  ck_assert_uint_gt (older.total, 2);
  struct fold_row_change kind = help_set_row (help_kind_row ("k", "a", 5), 1);
  help_fold (&fd, help_rows_record (ctx, "marie", 2, 4, &kind, 1), NULL);
  ck_assert_int_eq (snapshot_make (ctx, &fd, &later), 0);

  ck_assert_int_eq (snapshot_reader_init (&rd, ctx), 0);
  for (int round = 0; round < 2; round++)
    for (uint32_t n = 0; n < later.total; n++)
      {
        struct snapshot *snap = round ? &later : &older;
        uint32_t idx = _i == SNAP_REVERSED ? snap->total - 1 - n : n;
        if (round && idx + 1 == snap->total && _i == SNAP_INCOMPLETE)
          continue;
        bool damage = round && idx == 1;
        if (damage && _i == SNAP_CORRUPT)
          {
            uint8_t *start = snap->data + SNAPSHOT_PIECE_BYTES;
            uint8_t *name = memmem (start, SNAPSHOT_PIECE_BYTES, "rather", 6);
            ck_assert_ptr_nonnull (name);
            *name = 'R';
          }
        struct help_record rec = help_piece_record (ctx, ++seq, snap, idx);
        if (damage && _i == SNAP_ENVELOPE)
          rec.data[rec.len / 2] ^= 4;
        ck_assert_uint_le (rec.len, 65536);
        for (int copy = 0; copy < (_i == SNAP_DUPLICATE_PIECES ? 2 : 1);
             copy++)
          ck_assert_int_eq (snapshot_reader_add (&rd, rec.data, rec.len,
                                                 _i == SNAP_EXPIRED ? 6 : 0),
                            0);
      }
  if (_i == SNAP_EXPIRED)
    ck_assert_int_eq (snapshot_reader_take (&rd, ctx, &loaded), ERR_NOT_FOUND);
  else
    {
      ck_assert_int_eq (snapshot_reader_take (&rd, ctx, &loaded), 0);
      bool fell_back
          = _i == SNAP_INCOMPLETE || _i == SNAP_CORRUPT || _i == SNAP_ENVELOPE;
      ck_assert_uint_eq (loaded.next_offset, fell_back ? 4 : 5);
      if (fell_back)
        help_fold (&loaded, help_rows_record (ctx, "marie", 2, 4, &kind, 1),
                   NULL);
      help_assert_same_state (&fd, &loaded);
      fold_fini (&loaded);
    }
  ck_assert_uint_eq (snapshot_reader_invalid_count (&rd), _i == SNAP_CORRUPT);
  snapshot_reader_fini (&rd);
}
END_TEST

/* Guards against a process that starts from a snapshot and gives a later
   record another outcome than processes that folded all records.  */
START_TEST (test_snapshot_keeps_ids)
{
  struct snapshot snap;
  struct fold loaded;
  struct fold_row_change kind
      = help_set_row (help_kind_row ("m", "a", 5), NO_VERSION);
  struct fold_row_change deletion = help_delete_row (TABLE_KIND, "m", 2);
  fold_base_table (&fd);
  struct help_record rec = help_rows_record (ctx, "marie", 1, 2, &kind, 1);
  help_fold (&fd, rec, NULL);
  help_fold (&fd, help_rows_record (ctx, "joao", 1, 3, &deletion, 1), NULL);
  ck_assert_int_eq (snapshot_make (ctx, &fd, &snap), 0);
  ck_assert_int_eq (
      snapshot_load (ctx, snap.data, snap.len, snap.checksum, &loaded), 0);
  ck_assert_int_eq (help_fold (&fd, rec, NULL), FOLD_DUPLICATE);
  ck_assert_int_eq (help_fold (&loaded, rec, NULL), FOLD_DUPLICATE);
  help_assert_same_state (&fd, &loaded);
  fold_fini (&loaded);
}
END_TEST

#define READERS 3
#define EDITS 3000

/* A random edit, based on the state SEEN, which may be behind the end of the
   log.  */
static struct help_record
random_edit (unsigned short seed[3], const struct fold *seen, uint64_t seq)
{
  struct fold_row_change rows[3];
  size_t count = 1 + nrand48 (seed) % COUNT (rows);
  for (size_t n = 0; n < count; n++)
    {
      char name[8];
      enum table_row_type row_type
          = nrand48 (seed) % 4 ? TABLE_KIND : TABLE_POOL;
      snprintf (name, sizeof name, "r%ld", nrand48 (seed) % 6);
      const struct table_row *now = table_find (seen->table, row_type, name);
      uint64_t version = now ? now->version : NO_VERSION;
      char pool[8];
      snprintf (pool, sizeof pool, "r%ld", nrand48 (seed) % 6);
      if (now && nrand48 (seed) % 5 == 0)
        rows[n] = help_delete_row (row_type, name, version);
      else if (row_type == TABLE_POOL)
        rows[n] = help_set_row (help_pool_row (name), version);
      else
        rows[n] = help_set_row (
            help_kind_row (name, pool, 1 + (uint32_t)(nrand48 (seed) % 10000)),
            version);
    }
  return help_rows_record (ctx, "random", seq, seen->next_offset, rows, count);
}

/* Readers fold the same log at different speeds, and one of them restarts from
   snapshots.  Guards against readers that end in different states or that go
   back to an older version.  */
START_TEST (test_random_readers)
{
  const char *env = getenv ("FOLD_SEED");
  uint32_t num = env ? (uint32_t)strtoul (env, NULL, 10) : 20261204;
  unsigned short seed[3]
      = { (unsigned short)num, (unsigned short)(num >> 16), 1 };
  struct fold readers[READERS];
  struct help_record log[EDITS * 2];
  uint64_t end = 0;
  uint64_t applied = 0;
  printf ("FOLD_SEED=%u\n", num);
  for (int n = 0; n < READERS; n++)
    ck_assert_int_eq (fold_init (&readers[n], ctx), 0);
  for (int step = 0; step < EDITS; step++)
    {
      struct fold *editor = &readers[nrand48 (seed) % READERS];
      log[end++] = random_edit (seed, editor, step);
      if (nrand48 (seed) % 7 == 0)
        {
          log[end] = log[end - 1 - nrand48 (seed) % (end < 20 ? end : 20)];
          end++;
        }
      for (int n = 0; n < READERS; n++)
        for (long m = nrand48 (seed) % (2 + n);
             m > 0 && readers[n].next_offset < end; m--)
          {
            uint64_t off = readers[n].next_offset;
            help_fold (&readers[n], log[off], NULL);
            for (size_t r = 0; r < readers[n].table->count; r++)
              ck_assert_uint_le (readers[n].table->rows[r]->version, off);
          }
      if (nrand48 (seed) % 100 == 0)
        {
          struct snapshot snap;
          int from = (int)(nrand48 (seed) % READERS);
          ck_assert_int_eq (snapshot_make (ctx, &readers[from], &snap), 0);
          if (snap.next_offset < readers[0].next_offset)
            continue;
          fold_fini (&readers[0]);
          ck_assert_int_eq (snapshot_load (ctx, snap.data, snap.len,
                                           snap.checksum, &readers[0]),
                            0);
          talloc_free (snap.data);
        }
    }
  for (int n = 0; n < READERS; n++)
    while (readers[n].next_offset < end)
      help_fold (&readers[n], log[readers[n].next_offset], NULL);
  for (int n = 1; n < READERS; n++)
    help_assert_same_state (&readers[0], &readers[n]);
  applied = readers[1].outcomes[FOLD_APPLIED];
  ck_assert_uint_gt (applied, EDITS / 20);
  ck_assert_uint_gt (readers[1].outcomes[FOLD_CONFLICT], EDITS / 20);
  ck_assert_uint_gt (readers[1].outcomes[FOLD_DUPLICATE], EDITS / 20);
  for (int n = 0; n < READERS; n++)
    fold_fini (&readers[n]);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("fold");
  TCase *tc = tcase_create ("fold");
  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_set_timeout (tc, 100);
  tcase_add_loop_test (tc, test_racing_editors, 0, COUNT (orders));
  tcase_add_test (tc, test_duplicate_after_delete);
  tcase_add_test (tc, test_duplicate_of_void_record);
  tcase_add_loop_test (tc, test_window_edge, 0, COUNT (window_cases));
  tcase_add_loop_test (tc, test_all_or_nothing, 0, VOID_CASES);
  tcase_add_test (tc, test_batch_order);
  tcase_add_test (tc, test_order_and_format);
  tcase_add_test (tc, test_history);
  tcase_add_loop_test (tc, test_snapshots, 0, SNAP_CASES);
  tcase_add_test (tc, test_snapshot_keeps_ids);
  tcase_add_test (tc, test_random_readers);
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed != 0;
}
