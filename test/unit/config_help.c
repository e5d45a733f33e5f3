#include "config_help.h"

#include <check.h>
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "state/config_record.h"
#include "store/record.h"
#include "table/table_csv.h"

#define INCARNATION 7

struct table_row
help_pool_row (const char *name)
{
  struct table_row row;
  table_row_init (&row, TABLE_POOL, name);
  row.pool = (struct table_pool){ 75, 5, { 1000, 2000, 3000 }, 0, 50, 25, 25 };
  return row;
}

struct table_row
help_kind_row (const char *name, const char *pool, uint32_t weight)
{
  struct table_row row;
  table_row_init (&row, TABLE_KIND, name);
  row.kind = (struct table_kind){ "",  weight,      0,
                                  100, TABLE_UNSET, TABLE_CLASS_NORMAL,
                                  1,   3,           50 };
  strncpy (row.kind.pool, pool, TABLE_NAME_SIZE - 1);
  return row;
}

struct fold_row_change
help_set_row (struct table_row row, uint64_t version)
{
  row.version = version;
  return (struct fold_row_change){ .row = row };
}

struct fold_row_change
help_delete_row (enum table_row_type row_type, const char *name,
                 uint64_t version)
{
  struct fold_row_change change = { .deleted = true };
  table_row_init (&change.row, row_type, name);
  change.row.version = version;
  return change;
}

static struct help_record
wrap (void *ctx, const char *writer, uint64_t sequence, uint64_t base_offset,
      const uint8_t *body, size_t len)
{
  struct help_record out;
  struct record rec
      = { writer, INCARNATION, sequence, base_offset, body, len };
  ck_assert_int_eq (record_encode (ctx, &rec, &out.data, &out.len), 0);
  return out;
}

struct help_record
help_edit_record (void *ctx, const char *writer, uint64_t sequence,
                  uint64_t base_offset, const struct fold_edit *edit)
{
  uint8_t *body;
  size_t len;
  ck_assert_int_eq (config_edit_encode (ctx, edit, &body, &len), 0);
  return wrap (ctx, writer, sequence, base_offset, body, len);
}

struct help_record
help_rows_record (void *ctx, const char *writer, uint64_t sequence,
                  uint64_t base_offset, const struct fold_row_change *rows,
                  size_t count)
{
  struct fold_edit edit
      = { .editor = writer, .rows = rows, .row_count = count };
  return help_edit_record (ctx, writer, sequence, base_offset, &edit);
}

struct help_record
help_piece_record (void *ctx, uint64_t sequence, const struct snapshot *snap,
                   uint32_t index)
{
  uint8_t *body;
  size_t len;
  ck_assert_int_eq (snapshot_encode_piece (ctx, snap, index, &body, &len), 0);
  return wrap (ctx, "snapshots", sequence, snap->next_offset, body, len);
}

enum fold_outcome
help_fold (struct fold *fd, struct help_record rec, struct fold_result *res)
{
  struct fold_result own;
  res = res ? res : &own;
  ck_assert_int_eq (fold_record (fd, fd->next_offset,
                                 1000 + (int64_t)fd->next_offset, rec.data,
                                 rec.len, res),
                    0);
  return res->outcome;
}

char *
help_state_text (void *ctx, const struct fold *fd)
{
  char *text = table_csv_export (ctx, fd->table);
  for (size_t n = 0; n < fd->host_count; n++)
    text = talloc_asprintf_append (text, "%s %s %" PRIu64 "\n",
                                   fd->hosts[n]->host, fd->hosts[n]->pool,
                                   fd->hosts[n]->generation);
  return text;
}

void
help_assert_same_state (const struct fold *a, const struct fold *b)
{
  struct snapshot first;
  struct snapshot second;
  void *ctx = talloc_new (NULL);
  ck_assert_str_eq (help_state_text (ctx, a), help_state_text (ctx, b));
  ck_assert_int_eq (snapshot_make (ctx, a, &first), 0);
  ck_assert_int_eq (snapshot_make (ctx, b, &second), 0);
  ck_assert_uint_eq (first.next_offset, second.next_offset);
  ck_assert_uint_eq (first.len, second.len);
  ck_assert_mem_eq (first.data, second.data, first.len);
  ck_assert_uint_eq (first.checksum, second.checksum);
  talloc_free (ctx);
}
