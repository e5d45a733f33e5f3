#include <string.h>
#include <talloc.h>

#include "base/err.h"
#include "state/config_record.h"
#include "state/fold_priv.h"

/* Folding of one batch: it is decoded, its expected versions are compared with
   the current ones, it is applied and validated, and undone if the validation
   finds a fault.  */
struct batch
{
  struct fold *fd;
  struct fold_result *res;
  uint64_t offset;
  struct fold_row_change *rows;
  size_t row_count;
  struct fold_host_change *hosts;
  size_t host_count;

  /* The row or assignment that each applied change replaced or removed; NULL:
     there was none.  */
  struct table_row **old_rows;
  size_t rows_applied;
  struct fold_host **old_hosts;
  size_t hosts_applied;
};

static bool
editor_valid (const char *editor)
{
  size_t len = strlen (editor);
  if (len == 0 || len >= TABLE_NAME_SIZE)
    return false;
  for (const char *p = editor; *p; p++)
    if (*p < ' ' || *p > '~')
      return false;
  return true;
}

static void
add_syntax_fault (struct batch *bt, const char *what)
{
  table_fault_add (&bt->res->faults, TABLE_FAULT_SYNTAX, NULL, what, "", 0, 0);
}

static void
decode_host (struct batch *bt, const Kingcuphollow__HostAssignment *msg,
             struct fold_host_change *change)
{
  struct fold_host *host = &change->host;
  memset (host, 0, sizeof *host);
  host->generation = msg->seen ? msg->seen_generation : TABLE_NO_VERSION;
  if (!table_name_valid (msg->host)
      || (*msg->pool && !table_name_valid (msg->pool)))
    {
      add_syntax_fault (bt, "host");
      return;
    }
  strncpy (host->host, msg->host, TABLE_NAME_SIZE - 1);
  strncpy (host->pool, msg->pool, TABLE_NAME_SIZE - 1);
}

/* Decodes the batch and adds syntax faults to the result.  Returns 0, also
   with faults, or ERR_NOMEM.  */
static int
batch_decode (struct batch *bt, const Kingcuphollow__ConfigBatch *msg)
{
  void *ctx = bt->fd->scratch;
  if (!editor_valid (msg->editor))
    add_syntax_fault (bt, "editor");
  if (msg->n_rows + msg->n_hosts == 0 || msg->n_rows > TABLE_ROWS_MAX
      || msg->n_hosts > FOLD_HOSTS_MAX)
    {
      add_syntax_fault (bt, "rows");
      return 0;
    }
  bt->rows = talloc_zero_array (ctx, struct fold_row_change, msg->n_rows);
  bt->old_rows = talloc_zero_array (ctx, struct table_row *, msg->n_rows);
  bt->hosts = talloc_zero_array (ctx, struct fold_host_change, msg->n_hosts);
  bt->old_hosts = talloc_zero_array (ctx, struct fold_host *, msg->n_hosts);
  if (!bt->rows || !bt->old_rows || !bt->hosts || !bt->old_hosts)
    return ERR_NOMEM;
  for (size_t n = 0; n < msg->n_rows; n++)
    {
      struct fold_row_change *change = &bt->rows[n];
      if (!config_row_decode (msg->rows[n]->row, &change->row))
        add_syntax_fault (bt, "row");
      change->deleted = msg->rows[n]->deleted;
      change->row.version
          = msg->rows[n]->seen ? msg->rows[n]->seen_version : TABLE_NO_VERSION;
    }
  for (size_t n = 0; n < msg->n_hosts; n++)
    decode_host (bt, msg->hosts[n], &bt->hosts[n]);
  bt->row_count = msg->n_rows;
  bt->host_count = msg->n_hosts;
  return 0;
}

/* Adds a conflict to the result, up to FOLD_CONFLICTS_MAX.  Returns 0 or
   ERR_NOMEM.  */
static int
conflict_add (struct batch *bt, const struct fold_conflict *conflict)
{
  struct fold_result *res = bt->res;
  if (res->conflict_count >= FOLD_CONFLICTS_MAX)
    return 0;
  struct fold_conflict *all = talloc_realloc (
      bt->fd->scratch, (struct fold_conflict *)res->conflicts,
      struct fold_conflict, res->conflict_count + 1);
  if (!all)
    return ERR_NOMEM;
  all[res->conflict_count++] = *conflict;
  res->conflicts = all;
  return 0;
}

/* Adds a conflict for each row and host whose expected version is not the
   current one.  Returns 0 or ERR_NOMEM.  */
static int
batch_check_versions (struct batch *bt)
{
  int err = 0;
  for (size_t n = 0; err == 0 && n < bt->row_count; n++)
    {
      const struct table_row *proposed = &bt->rows[n].row;
      const struct table_row *current
          = table_find (bt->fd->table, proposed->type, proposed->name);
      if ((current ? current->version : TABLE_NO_VERSION) == proposed->version)
        continue;
      struct fold_conflict conflict
          = { .row = bt->rows[n], .exists = current };
      if (current)
        conflict.current_row = *current;
      err = conflict_add (bt, &conflict);
    }
  for (size_t n = 0; err == 0 && n < bt->host_count; n++)
    {
      const struct fold_host *proposed = &bt->hosts[n].host;
      const struct fold_host *current
          = fold_host_find (bt->fd, proposed->host);
      if ((current ? current->generation : TABLE_NO_VERSION)
          == proposed->generation)
        continue;
      struct fold_conflict conflict
          = { .is_host = true, .host = bt->hosts[n], .exists = current };
      if (current)
        conflict.current_host = *current;
      err = conflict_add (bt, &conflict);
    }
  return err;
}

/* Applies the N-th row change.  A current row whose version is the batch's
   offset was set by this batch, which thus changes the row twice.  */
static int
apply_row (struct batch *bt, size_t n)
{
  const struct fold_row_change *change = &bt->rows[n];
  struct table *tab = bt->fd->table;
  const struct table_row *current
      = table_find (tab, change->row.type, change->row.name);
  if ((current && current->version == bt->offset)
      || (!current && change->deleted))
    {
      table_fault_add (&bt->res->faults, TABLE_FAULT_DUPLICATE_ROW,
                       &change->row, "", change->row.name, 0, 0);
      return ERR_EXISTS;
    }
  if (change->deleted)
    {
      bt->old_rows[n] = table_remove (tab, change->row.type, change->row.name);
      return 0;
    }
  struct table_row *row = talloc_memdup (tab, &change->row, sizeof *row);
  if (!row)
    return ERR_NOMEM;
  row->version = bt->offset;
  row->line = 0;
  struct table_row *old = row;
  int err = table_put (tab, &old);
  if (err == ERR_FULL)
    table_fault_add (&bt->res->faults, TABLE_FAULT_TOO_MANY_ROWS, row, "", "",
                     0, TABLE_ROWS_MAX);
  if (err)
    talloc_free (row);
  else
    bt->old_rows[n] = old;
  return err;
}

static int
apply_host (struct batch *bt, size_t n)
{
  const struct fold_host *change = &bt->hosts[n].host;
  const struct fold_host *current = fold_host_find (bt->fd, change->host);
  if ((current && current->generation == bt->offset)
      || (!current && !*change->pool))
    {
      add_syntax_fault (bt, "host named twice");
      return ERR_EXISTS;
    }
  if (*change->pool == '\0')
    {
      bt->old_hosts[n] = fold_host_remove (bt->fd, change->host);
      return 0;
    }
  struct fold_host *host
      = talloc_memdup (bt->fd->mem_ctx, change, sizeof *host);
  if (!host)
    return ERR_NOMEM;
  host->generation = bt->offset;
  struct fold_host *old = host;
  int err = fold_host_put (bt->fd, &old);
  if (err == ERR_FULL)
    add_syntax_fault (bt, "too many hosts");
  if (err)
    talloc_free (host);
  else
    bt->old_hosts[n] = old;
  return err;
}

/* Reverts the applied changes, last one first.  This does not allocate: the
   row and host arrays do not shrink on removal, so reinserting the old entries
   needs no new memory.  */
static void
batch_undo (struct batch *bt)
{
  struct table *tab = bt->fd->table;
  while (bt->hosts_applied > 0)
    {
      size_t n = --bt->hosts_applied;
      struct fold_host *host = bt->old_hosts[n];
      if (host)
        fold_host_put (bt->fd, &host);
      else
        host = fold_host_remove (bt->fd, bt->hosts[n].host.host);
      talloc_free (host);
    }
  while (bt->rows_applied > 0)
    {
      size_t n = --bt->rows_applied;
      struct table_row *row = bt->old_rows[n];
      if (row)
        table_put (tab, &row);
      else
        row = table_remove (tab, bt->rows[n].row.type, bt->rows[n].row.name);
      talloc_free (row);
    }
}

static bool
pool_in_use (const struct fold *fd, const char *pool)
{
  for (size_t n = 0; n < fd->table->count; n++)
    if (fd->table->rows[n]->type == TABLE_KIND
        && strcmp (fd->table->rows[n]->kind.pool, pool) == 0)
      return true;
  for (size_t n = 0; n < fd->host_count; n++)
    if (strcmp (fd->hosts[n]->pool, pool) == 0)
      return true;
  return false;
}

/* Validates the rows and hosts that the batch changed; the others were valid
   before and stay so.  */
static void
batch_validate (struct batch *bt)
{
  struct table_faults *faults = &bt->res->faults;
  const struct table *tab = bt->fd->table;
  for (size_t n = 0; n < bt->row_count; n++)
    {
      const struct table_row *row = &bt->rows[n].row;
      if (bt->rows[n].deleted)
        {
          if (row->type == TABLE_POOL && pool_in_use (bt->fd, row->name))
            table_fault_add (faults, TABLE_FAULT_POOL_IN_USE, row, "",
                             row->name, 0, 0);
          continue;
        }
      table_check_row (row, faults);
      if (row->type == TABLE_KIND)
        table_check_pool (tab, row, faults);
    }
  for (size_t n = 0; n < bt->host_count; n++)
    {
      const struct fold_host *host = &bt->hosts[n].host;
      if (*host->pool && !table_find (tab, TABLE_POOL, host->pool))
        table_fault_add (faults, TABLE_FAULT_UNKNOWN_POOL, NULL, "pool",
                         host->pool, 0, 0);
    }
}

/* Adds the changes to the history and frees the replaced rows and
   assignments.  */
static void
batch_add_history (struct batch *bt, int64_t time_ms, const char *editor)
{
  for (size_t n = 0; n < bt->row_count; n++)
    {
      struct fold_change *change = fold_history_next (bt->fd);
      change->offset = bt->offset;
      change->time_ms = time_ms;
      strncpy (change->editor, editor, TABLE_NAME_SIZE - 1);
      change->has_before = bt->old_rows[n] != NULL;
      if (change->has_before)
        change->before = *bt->old_rows[n];
      change->has_after = !bt->rows[n].deleted;
      if (change->has_after)
        {
          change->after = bt->rows[n].row;
          change->after.version = bt->offset;
        }
      talloc_free (bt->old_rows[n]);
    }
  for (size_t n = 0; n < bt->host_count; n++)
    {
      struct fold_change *change = fold_history_next (bt->fd);
      change->offset = bt->offset;
      change->time_ms = time_ms;
      strncpy (change->editor, editor, TABLE_NAME_SIZE - 1);
      change->is_host = true;
      memcpy (change->host, bt->hosts[n].host.host, TABLE_NAME_SIZE);
      if (bt->old_hosts[n])
        memcpy (change->pool_before, bt->old_hosts[n]->pool, TABLE_NAME_SIZE);
      memcpy (change->pool_after, bt->hosts[n].host.pool, TABLE_NAME_SIZE);
      talloc_free (bt->old_hosts[n]);
    }
}

static int
batch_apply (struct batch *bt)
{
  int err = 0;
  while (err == 0 && bt->rows_applied < bt->row_count)
    {
      err = apply_row (bt, bt->rows_applied);
      bt->rows_applied += err == 0;
    }
  while (err == 0 && bt->hosts_applied < bt->host_count)
    {
      err = apply_host (bt, bt->hosts_applied);
      bt->hosts_applied += err == 0;
    }
  return err;
}

int
fold_batch (struct fold *fd, uint64_t offset, int64_t time_ms,
            const Kingcuphollow__ConfigBatch *msg, struct fold_result *res)
{
  struct batch bt = { .fd = fd, .res = res, .offset = offset };
  int err = batch_decode (&bt, msg);
  if (err)
    return err;
  if (res->faults.total > 0)
    {
      res->outcome = FOLD_INVALID;
      return 0;
    }
  err = batch_check_versions (&bt);
  if (err)
    return err;
  if (res->conflict_count > 0)
    {
      res->outcome = FOLD_CONFLICT;
      return 0;
    }
  err = batch_apply (&bt);
  if (err == 0)
    batch_validate (&bt);
  if (err == ERR_NOMEM || res->faults.total > 0)
    {
      batch_undo (&bt);
      res->outcome = FOLD_INVALID;
      return err == ERR_NOMEM ? err : 0;
    }
  batch_add_history (&bt, time_ms, msg->editor);
  res->outcome = FOLD_APPLIED;
  return 0;
}
