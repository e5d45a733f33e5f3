#include "state/fold_snapshot.h"

#include <talloc.h>
#include <xxhash.h>

#include "base/err.h"
#include "state/config_record.h"
#include "state/fold_priv.h"

typedef Kingcuphollow__Snapshot snapshot_msg;

static int
make_rows (void *ctx, const struct fold *fd, snapshot_msg *msg)
{
  size_t count = fd->table->count;
  msg->rows = talloc_array (ctx, Kingcuphollow__SnapshotRow *, count);
  Kingcuphollow__SnapshotRow *items
      = talloc_array (ctx, Kingcuphollow__SnapshotRow, count);
  if (!msg->rows || !items)
    return ERR_NOMEM;
  for (size_t n = 0; n < count; n++)
    {
      kingcuphollow__snapshot_row__init (&items[n]);
      items[n].row = config_row_message (ctx, fd->table->rows[n]);
      items[n].version = fd->table->rows[n]->version;
      if (!items[n].row)
        return ERR_NOMEM;
      msg->rows[msg->n_rows++] = &items[n];
    }
  return 0;
}

static int
make_hosts (void *ctx, const struct fold *fd, snapshot_msg *msg)
{
  msg->hosts
      = talloc_array (ctx, Kingcuphollow__SnapshotHost *, fd->host_count);
  Kingcuphollow__SnapshotHost *items
      = talloc_array (ctx, Kingcuphollow__SnapshotHost, fd->host_count);
  if (!msg->hosts || !items)
    return ERR_NOMEM;
  for (size_t n = 0; n < fd->host_count; n++)
    {
      kingcuphollow__snapshot_host__init (&items[n]);
      items[n].host = fd->hosts[n]->host;
      items[n].pool = fd->hosts[n]->pool;
      items[n].generation = fd->hosts[n]->generation;
      msg->hosts[msg->n_hosts++] = &items[n];
    }
  return 0;
}

static uint64_t
window_start (uint64_t next_offset)
{
  return next_offset > FOLD_DEDUP_WINDOW ? next_offset - FOLD_DEDUP_WINDOW : 0;
}

static int
make_ids (void *ctx, const struct fold *fd, snapshot_msg *msg)
{
  msg->ids
      = talloc_array (ctx, Kingcuphollow__SnapshotId *, FOLD_DEDUP_WINDOW);
  Kingcuphollow__SnapshotId *items
      = talloc_array (ctx, Kingcuphollow__SnapshotId, FOLD_DEDUP_WINDOW);
  if (!msg->ids || !items)
    return ERR_NOMEM;
  for (uint64_t off = window_start (fd->next_offset); off < fd->next_offset;
       off++)
    {
      const struct fold_id_entry *entry = &fd->ids[off % FOLD_DEDUP_WINDOW];
      if (entry->outcome == FOLD_NONE)
        continue;
      Kingcuphollow__SnapshotId *item = &items[msg->n_ids];
      kingcuphollow__snapshot_id__init (item);
      item->writer = entry->id.writer;
      item->incarnation = entry->id.incarnation;
      item->sequence = entry->id.sequence;
      item->offset = entry->offset;
      item->outcome = entry->outcome;
      msg->ids[msg->n_ids++] = item;
    }
  return 0;
}

static int
make_history (void *ctx, const struct fold *fd, snapshot_msg *msg)
{
  size_t count = fd->history_count;
  msg->history = talloc_array (ctx, Kingcuphollow__SnapshotChange *, count);
  Kingcuphollow__SnapshotChange *items
      = talloc_array (ctx, Kingcuphollow__SnapshotChange, count);
  if (!msg->history || !items)
    return ERR_NOMEM;
  for (size_t n = 0; n < count; n++)
    {
      struct fold_change *change = (struct fold_change *)fold_history (fd, n);
      Kingcuphollow__SnapshotChange *item = &items[n];
      kingcuphollow__snapshot_change__init (item);
      item->offset = change->offset;
      item->time_ms = change->time_ms;
      item->editor = change->editor;
      item->host = change->host;
      item->pool_before = change->pool_before;
      item->pool_after = change->pool_after;
      if (change->has_before)
        item->row_before = config_row_message (ctx, &change->before);
      if (change->has_after)
        item->row_after = config_row_message (ctx, &change->after);
      if ((change->has_before && !item->row_before)
          || (change->has_after && !item->row_after))
        return ERR_NOMEM;
      msg->history[msg->n_history++] = item;
    }
  return 0;
}

int
snapshot_make (void *parent, const struct fold *fd, struct snapshot *out)
{
  snapshot_msg msg = KINGCUPHOLLOW__SNAPSHOT__INIT;
  void *ctx = talloc_new (parent);
  int err = ctx ? 0 : ERR_NOMEM;

  memset (out, 0, sizeof *out);
  msg.next_offset = fd->next_offset;
  msg.last_time_ms = fd->last_time_ms;
  err = err ? err : make_rows (ctx, fd, &msg);
  err = err ? err : make_hosts (ctx, fd, &msg);
  err = err ? err : make_ids (ctx, fd, &msg);
  err = err ? err : make_history (ctx, fd, &msg);
  if (err)
    goto done;
  out->len = kingcuphollow__snapshot__get_packed_size (&msg);
  if (out->len > (size_t)SNAPSHOT_PIECES_MAX * SNAPSHOT_PIECE_BYTES)
    {
      err = ERR_TOO_LARGE;
      goto done;
    }
  out->data = talloc_size (parent, out->len);
  if (!out->data)
    {
      err = ERR_NOMEM;
      goto done;
    }
  kingcuphollow__snapshot__pack (&msg, out->data);
  out->next_offset = fd->next_offset;
  out->checksum = XXH3_64bits (out->data, out->len);
  out->total = (uint32_t)((out->len + SNAPSHOT_PIECE_BYTES - 1)
                          / SNAPSHOT_PIECE_BYTES);
  if (out->total == 0)
    out->total = 1;

done:
  talloc_free (ctx);
  return err;
}

int
snapshot_encode_piece (void *parent, const struct snapshot *snap,
                       uint32_t index, uint8_t **body, size_t *len)
{
  Kingcuphollow__SnapshotPiece piece = KINGCUPHOLLOW__SNAPSHOT_PIECE__INIT;
  Kingcuphollow__ConfigRecord rec = KINGCUPHOLLOW__CONFIG_RECORD__INIT;
  if (index >= snap->total)
    return ERR_INVALID;
  size_t start = (size_t)index * SNAPSHOT_PIECE_BYTES;
  piece.next_offset = snap->next_offset;
  piece.index = index;
  piece.total = snap->total;
  piece.checksum = snap->checksum;
  piece.data.data = snap->data + start;
  piece.data.len = snap->len - start < SNAPSHOT_PIECE_BYTES
                       ? snap->len - start
                       : SNAPSHOT_PIECE_BYTES;
  rec.body_case = KINGCUPHOLLOW__CONFIG_RECORD__BODY_PIECE;
  rec.piece = &piece;
  *len = kingcuphollow__config_record__get_packed_size (&rec);
  *body = talloc_size (parent, *len);
  if (!*body)
    return ERR_NOMEM;
  kingcuphollow__config_record__pack (&rec, *body);
  return 0;
}

static int
load_rows (struct fold *fd, const snapshot_msg *msg)
{
  struct table_faults faults = { .parent = fd->scratch };
  for (size_t n = 0; n < msg->n_rows; n++)
    {
      struct table_row row;
      if (!config_row_decode (msg->rows[n]->row, &row)
          || msg->rows[n]->version >= msg->next_offset)
        return ERR_PROTOCOL;
      row.version = msg->rows[n]->version;
      int err = table_add (fd->table, &row);
      if (err)
        return err == ERR_NOMEM ? err : ERR_PROTOCOL;
    }
  table_check (fd->table, NULL, 0, &faults);
  return faults.total == 0 ? 0 : ERR_PROTOCOL;
}

static int
load_hosts (struct fold *fd, const snapshot_msg *msg)
{
  for (size_t n = 0; n < msg->n_hosts; n++)
    {
      const Kingcuphollow__SnapshotHost *item = msg->hosts[n];
      if (!table_name_valid (item->host) || !table_name_valid (item->pool)
          || !table_find (fd->table, TABLE_POOL, item->pool)
          || item->generation >= msg->next_offset
          || fold_host_find (fd, item->host))
        return ERR_PROTOCOL;
      struct fold_host *host = talloc_zero (fd->mem_ctx, struct fold_host);
      if (!host)
        return ERR_NOMEM;
      strncpy (host->host, item->host, TABLE_NAME_SIZE - 1);
      strncpy (host->pool, item->pool, TABLE_NAME_SIZE - 1);
      host->generation = item->generation;
      int err = fold_host_put (fd, &host);
      if (err)
        return err == ERR_NOMEM ? err : ERR_PROTOCOL;
    }
  return 0;
}

static int
load_ids (struct fold *fd, const snapshot_msg *msg)
{
  for (size_t n = 0; n < msg->n_ids; n++)
    {
      const Kingcuphollow__SnapshotId *item = msg->ids[n];
      struct fold_record_id id
          = { item->writer, item->incarnation, item->sequence };
      enum fold_outcome outcome;
      uint64_t offset;
      if (item->offset >= msg->next_offset
          || item->offset < window_start (msg->next_offset)
          || item->outcome == FOLD_NONE || item->outcome >= FOLD_OUTCOME_COUNT
          || fold_id_find (fd, &id, &outcome, &offset))
        return ERR_PROTOCOL;
      int err = fold_id_store (fd, &id, item->offset,
                               (enum fold_outcome)item->outcome);
      if (err)
        return err;
    }
  return 0;
}

static bool
load_text (char to[TABLE_NAME_SIZE], const char *from)
{
  if (strlen (from) >= TABLE_NAME_SIZE)
    return false;
  strncpy (to, from, TABLE_NAME_SIZE - 1);
  return true;
}

static int
load_history (struct fold *fd, const snapshot_msg *msg)
{
  if (msg->n_history > FOLD_HISTORY_MAX)
    return ERR_PROTOCOL;
  for (size_t n = 0; n < msg->n_history; n++)
    {
      const Kingcuphollow__SnapshotChange *item = msg->history[n];
      struct fold_change *change = fold_history_next (fd);
      change->offset = item->offset;
      change->time_ms = item->time_ms;
      change->is_host = *item->host != '\0';
      change->has_before = item->row_before != NULL;
      change->has_after = item->row_after != NULL;
      if (!load_text (change->editor, item->editor)
          || !load_text (change->host, item->host)
          || !load_text (change->pool_before, item->pool_before)
          || !load_text (change->pool_after, item->pool_after)
          || (change->has_before
              && !config_row_decode (item->row_before, &change->before))
          || (change->has_after
              && !config_row_decode (item->row_after, &change->after)))
        return ERR_PROTOCOL;
    }
  return 0;
}

int
snapshot_load (void *parent, const uint8_t *data, size_t len,
               uint64_t checksum, struct fold *fd)
{
  if (XXH3_64bits (data, len) != checksum)
    return ERR_CHECKSUM;
  snapshot_msg *msg = kingcuphollow__snapshot__unpack (NULL, len, data);
  if (!msg)
    return ERR_PROTOCOL;
  int err = fold_init (fd, parent);
  if (err == 0)
    {
      fd->next_offset = msg->next_offset;
      fd->last_time_ms = msg->last_time_ms;
      err = load_rows (fd, msg);
      err = err ? err : load_hosts (fd, msg);
      err = err ? err : load_ids (fd, msg);
      err = err ? err : load_history (fd, msg);
      if (err)
        fold_fini (fd);
    }
  kingcuphollow__snapshot__free_unpacked (msg, NULL);
  return err;
}
