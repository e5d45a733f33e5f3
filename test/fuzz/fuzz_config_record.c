#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <xxhash.h>

#include "state/config_record.h"
#include "state/fold_snapshot.h"
#include "store/record.h"
#include "table/table_csv.h"

/* Guards against records of the config stream that crash a process, that
   change the state although they are void, or that lead to a state that has
   faults or that a snapshot does not reproduce.  The input is used as a
   record, as the body of a record and as an encoded snapshot.  */

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static void
require (int cond)
{
  if (!cond)
    abort ();
}

static char *
state_text (void *ctx, const struct fold *fd)
{
  char *text = table_csv_export (ctx, fd->table);
  for (size_t n = 0; text && n < fd->host_count; n++)
    text = talloc_asprintf_append (
        text, "%s %s %llu\n", fd->hosts[n]->host, fd->hosts[n]->pool,
        (unsigned long long)fd->hosts[n]->generation);
  require (text != NULL);
  return text;
}

static void
fold_one (void *ctx, struct fold *fd, const uint8_t *data, size_t size)
{
  struct fold_result res;
  struct table_faults faults = { .parent = ctx };
  char *before = state_text (ctx, fd);
  if (fold_record (fd, fd->next_offset, 1, data, size, &res) != 0)
    return;
  if (res.outcome != FOLD_APPLIED)
    require (strcmp (before, state_text (ctx, fd)) == 0);
  table_check (fd->table, NULL, 0, &faults);
  require (faults.total == 0);
}

static void
fold_body (void *ctx, struct fold *fd, const uint8_t *body, size_t size)
{
  uint8_t *data;
  size_t len;
  struct record rec
      = { "fuzz", 1, fd->next_offset, fd->next_offset, body, size };
  if (record_encode (ctx, &rec, &data, &len) == 0)
    fold_one (ctx, fd, data, len);
}

/* Adds pool a with kind k, so that the input finds something to change.  */
static void
fold_base (void *ctx, struct fold *fd)
{
  struct fold_row_change rows[2] = { 0 };
  uint8_t *body;
  size_t len;
  table_row_init (&rows[0].row, TABLE_POOL, "a");
  rows[0].row.pool = (struct table_pool){ 75, 5, { 1, 2, 3 }, 0, 50, 25, 25 };
  table_row_init (&rows[1].row, TABLE_KIND, "k");
  rows[1].row.kind
      = (struct table_kind){ "a", 1, 0, 1, TABLE_UNSET, 1, 1, 1, 1 };
  struct fold_edit edit = { .editor = "fuzz", .rows = rows, .row_count = 2 };
  require (config_edit_encode (ctx, &edit, &body, &len) == 0);
  fold_body (ctx, fd, body, len);
  require (fd->table->count == 2);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  void *ctx = talloc_new (NULL);
  struct fold fd;
  struct fold loaded;
  struct snapshot snap;
  struct snapshot again;
  struct snapshot_reader rd;

  require (fold_init (&fd, ctx) == 0);
  fold_base (ctx, &fd);
  fold_one (ctx, &fd, data, size);
  fold_body (ctx, &fd, data, size);
  require (snapshot_make (ctx, &fd, &snap) == 0);
  require (snapshot_load (ctx, snap.data, snap.len, snap.checksum, &loaded)
           == 0);
  require (snapshot_make (ctx, &loaded, &again) == 0);
  require (again.len == snap.len
           && memcmp (again.data, snap.data, snap.len) == 0);
  fold_fini (&loaded);
  fold_fini (&fd);

  if (snapshot_load (ctx, data, size, XXH3_64bits (data, size), &loaded) == 0)
    fold_fini (&loaded);
  require (snapshot_reader_init (&rd, ctx) == 0);
  require (snapshot_reader_add (&rd, data, size, 0) == 0);
  snapshot_reader_fini (&rd);
  talloc_free (ctx);
  return 0;
}
