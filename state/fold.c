#include "state/fold.h"

#include <stdlib.h>
#include <talloc.h>
#include <xxhash.h>

#include "base/err.h"
#include "state/fold_priv.h"
#include "store/record.h"

static const char *const outcome_names[FOLD_OUTCOME_COUNT]
    = { "none",  "applied",   "conflict", "invalid",
        "stale", "duplicate", "corrupt",  "piece" };

const char *
fold_outcome_name (enum fold_outcome outcome)
{
  return outcome < FOLD_OUTCOME_COUNT ? outcome_names[outcome] : "unknown";
}

int
fold_init (struct fold *fd, void *parent)
{
  memset (fd, 0, sizeof *fd);
  fd->mem_ctx = talloc_new (parent);
  if (!fd->mem_ctx)
    return ERR_NOMEM;
  fd->table = table_create (fd->mem_ctx);
  fd->history
      = talloc_zero_array (fd->mem_ctx, struct fold_change, FOLD_HISTORY_MAX);
  fd->ids = talloc_zero_array (fd->mem_ctx, struct fold_id_entry,
                               FOLD_DEDUP_WINDOW);
  fd->scratch = talloc_new (fd->mem_ctx);
  if (fd->table && fd->history && fd->ids && fd->scratch)
    return 0;
  fold_fini (fd);
  return ERR_NOMEM;
}

void
fold_fini (struct fold *fd)
{
  if (!fd->mem_ctx)
    return;
  HASH_CLEAR (hh, fd->id_index);
  talloc_free (fd->mem_ctx);
  memset (fd, 0, sizeof *fd);
}

struct fold_record_id
fold_record_id_make (const char *writer, uint64_t incarnation,
                     uint64_t sequence)
{
  return (struct fold_record_id){
    .writer = XXH3_64bits (writer, strlen (writer)),
    .incarnation = incarnation,
    .sequence = sequence,
  };
}

bool
fold_id_find (const struct fold *fd, const struct fold_record_id *id,
              enum fold_outcome *outcome, uint64_t *offset)
{
  struct fold_id_entry *entry = NULL;
  HASH_FIND (hh, fd->id_index, id, sizeof *id, entry);
  if (!entry)
    return false;
  *outcome = entry->outcome;
  *offset = entry->offset;
  return true;
}

static void
id_slot_clear (struct fold *fd, struct fold_id_entry *entry)
{
  if (entry->outcome != FOLD_NONE)
    HASH_DELETE (hh, fd->id_index, entry);
  entry->outcome = FOLD_NONE;
}

static void
id_add (struct fold_id_entry **ids, struct fold_id_entry *entry)
{
  HASH_ADD (hh, *ids, id, sizeof entry->id, entry);
}

int
fold_id_store (struct fold *fd, const struct fold_record_id *id,
               uint64_t offset, enum fold_outcome outcome)
{
  struct fold_id_entry *entry = &fd->ids[offset % FOLD_DEDUP_WINDOW];
  id_slot_clear (fd, entry);
  if (!id)
    return 0;
  entry->id = *id;
  entry->offset = offset;
  id_add (&fd->id_index, entry);
  if (!entry->hh.tbl)
    return ERR_NOMEM;
  entry->outcome = outcome;
  return 0;
}

struct fold_change *
fold_history_next (struct fold *fd)
{
  size_t idx = (fd->history_start + fd->history_count) % FOLD_HISTORY_MAX;
  if (fd->history_count < FOLD_HISTORY_MAX)
    fd->history_count++;
  else
    fd->history_start = (fd->history_start + 1) % FOLD_HISTORY_MAX;
  memset (&fd->history[idx], 0, sizeof fd->history[idx]);
  return &fd->history[idx];
}

const struct fold_change *
fold_history (const struct fold *fd, size_t n)
{
  return n < fd->history_count
             ? &fd->history[(fd->history_start + n) % FOLD_HISTORY_MAX]
             : NULL;
}

/* Index of the host's assignment, or the index at which to insert it.  */
static size_t
find_host_index (const struct fold *fd, const char *host, bool *found)
{
  size_t low = 0;
  size_t high = fd->host_count;

  *found = false;
  while (low < high)
    {
      size_t mid = low + (high - low) / 2;
      int cmp = strcmp (fd->hosts[mid]->host, host);
      if (cmp == 0)
        {
          *found = true;
          return mid;
        }
      if (cmp < 0)
        low = mid + 1;
      else
        high = mid;
    }
  return low;
}

const struct fold_host *
fold_host_find (const struct fold *fd, const char *host)
{
  bool found;
  size_t idx = find_host_index (fd, host, &found);
  return found ? fd->hosts[idx] : NULL;
}

int
fold_host_put (struct fold *fd, struct fold_host **host)
{
  bool found;
  size_t idx = find_host_index (fd, (*host)->host, &found);
  if (found)
    {
      struct fold_host *old = fd->hosts[idx];
      fd->hosts[idx] = *host;
      *host = old;
      return 0;
    }
  if (fd->host_count >= FOLD_HOSTS_MAX)
    return ERR_FULL;
  if (fd->host_count == fd->host_capacity)
    {
      size_t capacity = fd->host_capacity ? 2 * fd->host_capacity : 16;
      struct fold_host **hosts = talloc_realloc (fd->mem_ctx, fd->hosts,
                                                 struct fold_host *, capacity);
      if (!hosts)
        return ERR_NOMEM;
      fd->hosts = hosts;
      fd->host_capacity = capacity;
    }
  memmove (fd->hosts + idx + 1, fd->hosts + idx,
           (fd->host_count - idx) * sizeof (struct fold_host *));
  fd->hosts[idx] = *host;
  fd->host_count++;
  *host = NULL;
  return 0;
}

struct fold_host *
fold_host_remove (struct fold *fd, const char *host)
{
  bool found;
  size_t idx = find_host_index (fd, host, &found);
  if (!found)
    return NULL;
  struct fold_host *old = fd->hosts[idx];
  fd->host_count--;
  memmove (fd->hosts + idx, fd->hosts + idx + 1,
           (fd->host_count - idx) * sizeof (struct fold_host *));
  return old;
}

/* Notes a failed allocation in *ARG.  A record that could not be unpacked
   because memory ran out must not count as corrupt, because other processes
   apply it.  */
static void *
tracked_alloc (void *arg, size_t size)
{
  bool *failed = arg;
  void *mem = malloc (size);
  *failed |= mem == NULL;
  return mem;
}

static void
tracked_free (void *arg, void *mem)
{
  free (mem);
}

/* Checks the record's id and age.  Returns FOLD_NONE if its body is to be
   folded, otherwise why the record is void.  */
static enum fold_outcome
check_id (const struct fold *fd, uint64_t offset, uint64_t base_offset,
          struct fold_result *res)
{
  enum fold_outcome first_outcome;
  /* Checked first, so that no id is stored twice.  */
  if (fold_id_find (fd, &res->id, &first_outcome, &res->first_offset))
    return FOLD_DUPLICATE;
  if (base_offset > offset)
    return FOLD_INVALID;
  if (offset - base_offset >= FOLD_DEDUP_WINDOW)
    return FOLD_STALE;
  return FOLD_NONE;
}

static int
fold_body (struct fold *fd, uint64_t offset, int64_t time_ms,
           const struct record *rec, struct fold_result *res)
{
  bool failed = false;
  ProtobufCAllocator alloc = { .alloc = tracked_alloc,
                               .free = tracked_free,
                               .allocator_data = &failed };
  int err = 0;
  Kingcuphollow__ConfigRecord *msg = kingcuphollow__config_record__unpack (
      &alloc, rec->body_len, rec->body);
  if (!msg && failed)
    return ERR_NOMEM;
  if (msg && msg->body_case == KINGCUPHOLLOW__CONFIG_RECORD__BODY_BATCH)
    err = fold_batch (fd, offset, time_ms, msg->batch, res);
  else if (msg && msg->body_case == KINGCUPHOLLOW__CONFIG_RECORD__BODY_PIECE)
    {
      res->outcome = FOLD_SNAPSHOT_PIECE;
      res->is_last_piece = msg->piece->index + 1 == msg->piece->total;
    }
  else
    res->outcome = FOLD_CORRUPT;
  if (msg)
    kingcuphollow__config_record__free_unpacked (msg, &alloc);
  return err;
}

int
fold_record (struct fold *fd, uint64_t offset, int64_t time_ms,
             const uint8_t *data, size_t len, struct fold_result *res)
{
  struct record rec;
  void *storage = NULL;

  memset (res, 0, sizeof *res);
  if (offset != fd->next_offset)
    return ERR_INVALID;
  talloc_free_children (fd->scratch);
  res->faults.parent = fd->scratch;
  int err = record_decode (fd->scratch, data, len, &rec, &storage);
  if (err == ERR_CONFLICT || err == ERR_NOMEM)
    return err;
  if (err)
    res->outcome = FOLD_CORRUPT;
  else
    {
      res->id
          = fold_record_id_make (rec.writer, rec.incarnation, rec.sequence);
      res->outcome = check_id (fd, offset, rec.expected_generation, res);
    }
  bool is_first_copy = storage && res->outcome != FOLD_DUPLICATE;
  /* The ids of void records are kept too, so that a later copy of them is void
     as well.  */
  err = fold_id_store (fd, is_first_copy ? &res->id : NULL, offset,
                       FOLD_CORRUPT);
  if (err == 0 && res->outcome == FOLD_NONE)
    err = fold_body (fd, offset, time_ms, &rec, res);
  talloc_free (storage);
  if (err)
    {
      fold_id_store (fd, NULL, offset, FOLD_NONE);
      return err;
    }
  if (is_first_copy)
    fd->ids[offset % FOLD_DEDUP_WINDOW].outcome = res->outcome;
  fd->next_offset++;
  fd->last_time_ms = time_ms;
  fd->outcomes[res->outcome]++;
  return 0;
}
