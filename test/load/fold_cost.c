/* Measures the cost of folding the config stream, with 100, 1,000 and 10,000
   rows: time per change, memory per row, and size and time of a snapshot.
   Prints a Markdown table; docs/design/agreed-state.md has the figures.  */

#include <inttypes.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base/clock.h"
#include "state/config_record.h"
#include "state/fold_snapshot.h"
#include "store/record.h"

#define POOLS 10
#define CHANGES_PER_DAY 77000
#define BATCH_ROWS 500

static uint64_t sequence;

static void
fail (const char *what)
{
  fprintf (stderr, "fold_cost: %s\n", what);
  exit (1);
}

/* Encodes a record with a batch of COUNT row changes, based on FD's state.  */
static void
make_record (void *ctx, const struct fold *fd,
             const struct fold_row_change *rows, size_t count, uint8_t **data,
             size_t *len)
{
  uint8_t *body;
  size_t body_len;
  const struct fold_edit edit
      = { .editor = "fold_cost", .rows = rows, .row_count = count };
  struct record rec = { .writer = "fold_cost",
                        .incarnation = 1,
                        .sequence = ++sequence,
                        .expected_generation = fd->next_offset };
  if (config_edit_encode (ctx, &edit, &body, &body_len) != 0)
    fail ("cannot encode the edit");
  rec.body = body;
  rec.body_len = body_len;
  if (record_encode (ctx, &rec, data, len) != 0)
    fail ("cannot encode the record");
}

static void
fold_one (struct fold *fd, const uint8_t *data, size_t len)
{
  struct fold_result res;
  if (fold_record (fd, fd->next_offset, 1, data, len, &res) != 0
      || res.outcome != FOLD_APPLIED)
    fail ("a record was not applied");
}

static void
make_row (struct table_row *row, uint32_t n)
{
  char name[TABLE_NAME_SIZE];
  if (n < POOLS)
    {
      snprintf (name, sizeof name, "pool-%02u", n);
      table_row_init (row, TABLE_POOL, name);
      row->pool
          = (struct table_pool){ 75, 5, { 1000, 2000, 3000 }, 0, 50, 25, 25 };
      return;
    }
  snprintf (name, sizeof name, "kind-of-work-%05u", n);
  table_row_init (row, TABLE_KIND, name);
  row->kind = (struct table_kind){ "", 100, 0, 200, 1500, 1, 1, 3, 120 };
  snprintf (row->kind.pool, sizeof row->kind.pool, "pool-%02u", n % POOLS);
}

static void
fill (void *ctx, struct fold *fd, uint32_t rows)
{
  struct fold_row_change *batch
      = talloc_zero_array (ctx, struct fold_row_change, BATCH_ROWS);
  for (uint32_t done = 0; done < rows;)
    {
      uint8_t *data;
      size_t len;
      uint32_t count = rows - done < BATCH_ROWS ? rows - done : BATCH_ROWS;
      for (uint32_t n = 0; n < count; n++)
        make_row (&batch[n].row, done + n);
      make_record (ctx, fd, batch, count, &data, &len);
      fold_one (fd, data, len);
      talloc_free (data);
      done += count;
    }
  talloc_free (batch);
}

/* Time in microseconds for folding CHANGES_PER_DAY changes of one row each,
   without the time for encoding the records.  */
static int64_t
fold_daily_changes (void *ctx, struct fold *fd, uint32_t rows,
                    size_t *record_bytes)
{
  int64_t spent_us = 0;
  for (uint32_t n = 0; n < CHANGES_PER_DAY; n++)
    {
      uint8_t *data;
      struct fold_row_change change = { 0 };
      make_row (&change.row, POOLS + n * 7919U % (rows - POOLS));
      const struct table_row *now
          = table_find (fd->table, TABLE_KIND, change.row.name);
      change.row.version = now->version;
      change.row.kind.weight = 1 + n % 10000;
      void *tmp = talloc_new (ctx);
      make_record (tmp, fd, &change, 1, &data, record_bytes);
      int64_t start_us = clock_now_us (&clock_system);
      fold_one (fd, data, *record_bytes);
      spent_us += clock_now_us (&clock_system) - start_us;
      talloc_free (tmp);
    }
  return spent_us;
}

static void
measure (uint32_t rows)
{
  void *ctx = talloc_new (NULL);
  struct fold fd;
  struct fold loaded;
  struct snapshot snap;
  size_t record_bytes = 0;
  if (fold_init (&fd, ctx) != 0)
    fail ("out of memory");
  size_t empty = talloc_total_size (fd.mem_ctx);
  /* Heap use includes the overhead of talloc and malloc.  */
  size_t heap = mallinfo2 ().uordblks;
  fill (ctx, &fd, rows);
  size_t full = mallinfo2 ().uordblks - heap;
  int64_t day_us = fold_daily_changes (ctx, &fd, rows, &record_bytes);
  int64_t start_us = clock_now_us (&clock_system);
  if (snapshot_make (ctx, &fd, &snap) != 0)
    fail ("cannot encode the snapshot");
  int64_t made_us = clock_now_us (&clock_system);
  if (snapshot_load (ctx, snap.data, snap.len, snap.checksum, &loaded) != 0)
    fail ("cannot load the snapshot");
  int64_t loaded_us = clock_now_us (&clock_system);
  printf ("| %u | %.1f | %.2f | %zu | %zu | %zu | %zu | %u | %.1f | %.1f |\n",
          rows, (double)day_us / CHANGES_PER_DAY, (double)day_us / 1e6,
          record_bytes, full / rows, empty / 1024, snap.len / 1024, snap.total,
          (double)(made_us - start_us) / 1000,
          (double)(loaded_us - made_us) / 1000);
  fold_fini (&loaded);
  fold_fini (&fd);
  talloc_free (ctx);
}

int
main (void)
{
  puts ("| rows | µs per change | s for 77,000 changes | bytes per record | "
        "bytes per row | KiB without rows | KiB per snapshot | pieces | ms to "
        "encode it | ms to load it "
        "|\n|---|---|---|---|---|---|---|---|---|---|");
  measure (100);
  measure (1000);
  measure (10000);
  return 0;
}
