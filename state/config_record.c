#include "state/config_record.h"

#include <string.h>
#include <talloc.h>

#include "base/err.h"
#include "store/log_store.h"

/* 256 bytes are reserved for the envelope, with the longest writer name.  */
#define BODY_MAX_BYTES (LOG_RECORD_MAX_BYTES - 256)

static Kingcuphollow__ConfigCell *
cell_message (void *parent, const struct table_row *row,
              const struct table_column *col)
{
  Kingcuphollow__ConfigCell *cell = talloc (parent, Kingcuphollow__ConfigCell);
  if (!cell)
    return NULL;
  kingcuphollow__config_cell__init (cell);
  cell->column = col->id;
  if (col->type == TABLE_VALUE_NAME)
    cell->text = (char *)table_cell_name (row, col);
  else
    cell->number = table_cell_number (row, col);
  return cell;
}

Kingcuphollow__ConfigRow *
config_row_message (void *parent, const struct table_row *row)
{
  Kingcuphollow__ConfigRow *msg = talloc (parent, Kingcuphollow__ConfigRow);
  if (!msg)
    return NULL;
  kingcuphollow__config_row__init (msg);
  msg->sort = row->type == TABLE_POOL ? KINGCUPHOLLOW__CONFIG_ROW__SORT__POOL
                                      : KINGCUPHOLLOW__CONFIG_ROW__SORT__KIND;
  msg->name = (char *)row->name;
  size_t count = 0;
  for (const struct table_column *col = table_columns; col->name; col++)
    count += col->row_type == row->type;
  msg->cells = talloc_array (msg, Kingcuphollow__ConfigCell *, count);
  if (!msg->cells)
    return NULL;
  for (const struct table_column *col = table_columns; col->name; col++)
    {
      bool set = col->type == TABLE_VALUE_NAME
                     ? *table_cell_name (row, col) != '\0'
                     : table_cell_number (row, col) != TABLE_UNSET;
      if (col->row_type != row->type || !set)
        continue;
      Kingcuphollow__ConfigCell *cell = cell_message (msg, row, col);
      if (!cell)
        return NULL;
      msg->cells[msg->n_cells++] = cell;
    }
  return msg;
}

bool
config_row_decode (const Kingcuphollow__ConfigRow *msg, struct table_row *row)
{
  if (!msg || strlen (msg->name) >= TABLE_NAME_SIZE
      || (msg->sort != KINGCUPHOLLOW__CONFIG_ROW__SORT__POOL
          && msg->sort != KINGCUPHOLLOW__CONFIG_ROW__SORT__KIND))
    return false;
  table_row_init (row,
                  msg->sort == KINGCUPHOLLOW__CONFIG_ROW__SORT__POOL
                      ? TABLE_POOL
                      : TABLE_KIND,
                  msg->name);
  for (size_t n = 0; n < msg->n_cells; n++)
    {
      const Kingcuphollow__ConfigCell *cell = msg->cells[n];
      const struct table_column *col
          = table_column_by_id (row->type, cell->column);
      if (!col || strlen (cell->text) >= TABLE_NAME_SIZE)
        return false;
      if (col->type == TABLE_VALUE_NAME)
        table_cell_set_name (row, col, cell->text);
      else
        table_cell_set_number (row, col, cell->number);
    }
  return true;
}

static Kingcuphollow__RowChange *
row_change_message (void *parent, const struct fold_row_change *change)
{
  Kingcuphollow__RowChange *msg = talloc (parent, Kingcuphollow__RowChange);
  if (!msg)
    return NULL;
  kingcuphollow__row_change__init (msg);
  msg->row = config_row_message (msg, &change->row);
  if (!msg->row)
    return NULL;
  msg->deleted = change->deleted;
  if (msg->deleted)
    msg->row->n_cells = 0;
  msg->seen = change->row.version != TABLE_NO_VERSION;
  msg->seen_version = msg->seen ? change->row.version : 0;
  return msg;
}

static Kingcuphollow__HostAssignment *
host_change_message (void *parent, const struct fold_host_change *change)
{
  Kingcuphollow__HostAssignment *msg
      = talloc (parent, Kingcuphollow__HostAssignment);
  if (!msg)
    return NULL;
  kingcuphollow__host_assignment__init (msg);
  msg->host = (char *)change->host.host;
  msg->pool = (char *)change->host.pool;
  msg->seen = change->host.generation != TABLE_NO_VERSION;
  msg->seen_generation = msg->seen ? change->host.generation : 0;
  return msg;
}

static int
batch_fill (void *parent, const struct fold_edit *edit,
            Kingcuphollow__ConfigBatch *batch)
{
  batch->editor = (char *)edit->editor;
  batch->rows
      = talloc_array (parent, Kingcuphollow__RowChange *, edit->row_count);
  batch->hosts = talloc_array (parent, Kingcuphollow__HostAssignment *,
                               edit->host_count);
  if (!batch->rows || !batch->hosts)
    return ERR_NOMEM;
  for (; batch->n_rows < edit->row_count; batch->n_rows++)
    {
      batch->rows[batch->n_rows]
          = row_change_message (parent, &edit->rows[batch->n_rows]);
      if (!batch->rows[batch->n_rows])
        return ERR_NOMEM;
    }
  for (; batch->n_hosts < edit->host_count; batch->n_hosts++)
    {
      batch->hosts[batch->n_hosts]
          = host_change_message (parent, &edit->hosts[batch->n_hosts]);
      if (!batch->hosts[batch->n_hosts])
        return ERR_NOMEM;
    }
  return 0;
}

int
config_edit_encode (void *parent, const struct fold_edit *edit, uint8_t **data,
                    size_t *len)
{
  Kingcuphollow__ConfigBatch batch = KINGCUPHOLLOW__CONFIG_BATCH__INIT;
  Kingcuphollow__ConfigRecord rec = KINGCUPHOLLOW__CONFIG_RECORD__INIT;
  void *ctx = talloc_new (parent);
  if (!ctx)
    return ERR_NOMEM;
  int err = batch_fill (ctx, edit, &batch);
  if (err)
    goto done;
  rec.body_case = KINGCUPHOLLOW__CONFIG_RECORD__BODY_BATCH;
  rec.batch = &batch;
  *len = kingcuphollow__config_record__get_packed_size (&rec);
  if (*len > BODY_MAX_BYTES)
    {
      err = ERR_TOO_LARGE;
      goto done;
    }
  *data = talloc_size (parent, *len);
  if (*data)
    kingcuphollow__config_record__pack (&rec, *data);
  else
    err = ERR_NOMEM;

done:
  talloc_free (ctx);
  return err;
}
