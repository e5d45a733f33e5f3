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
  fd->owner = talloc_new (parent);
  if (!fd->owner)
    return ERR_NOMEM;
  fd->table = table_create (fd->owner);
  fd->history
      = talloc_zero_array (fd->owner, struct fold_change, FOLD_HISTORY_MAX);
  fd->ids
      = talloc_zero_array (fd->owner, struct fold_id_entry, FOLD_ID_WINDOW);
  fd->scratch = talloc_new (fd->owner);
  if (fd->table && fd->history && fd->ids && fd->scratch)
    return 0;
  fold_fini (fd);
  return ERR_NOMEM;
}

void
fold_fini (struct fold *fd)
{
  if (!fd->owner)
    return;
  HASH_CLEAR (hh, fd->ids_by_id);
  talloc_free (fd->owner);
  memset (fd, 0, sizeof *fd);
}

struct fold_id
fold_id_make (const char *writer, uint64_t incarnation, uint64_t sequence)
{
  return (struct fold_id){
    .writer = XXH3_64bits (writer, strlen (writer)),
    .incarnation = incarnation,
    .sequence = sequence,
  };
}

bool
fold_seen (const struct fold *fd, const struct fold_id *id,
           enum fold_outcome *outcome, uint64_t *offset)
{
  struct fold_id_entry *entry = NULL;
  HASH_FIND (hh, fd->ids_by_id, id, sizeof *id, entry);
  if (!entry)
    return false;
  *outcome = entry->outcome;
  *offset = entry->offset;
  return true;
}

static void
forget (struct fold *fd, struct fold_id_entry *entry)
{
  if (entry->outcome != FOLD_NONE)
    HASH_DELETE (hh, fd->ids_by_id, entry);
  entry->outcome = FOLD_NONE;
}

static void
id_add (struct fold_id_entry **ids, struct fold_id_entry *entry)
{
  HASH_ADD (hh, *ids, id, sizeof entry->id, entry);
}

int
fold_remember (struct fold *fd, const struct fold_id *id, uint64_t offset,
               enum fold_outcome outcome)
{
  struct fold_id_entry *entry = &fd->ids[offset % FOLD_ID_WINDOW];
  forget (fd, entry);
  if (!id)
    return 0;
  entry->id = *id;
  entry->offset = offset;
  id_add (&fd->ids_by_id, entry);
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

static size_t
host_index (const struct fold *fd, const char *host, bool *found)
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
  size_t idx = host_index (fd, host, &found);
  return found ? fd->hosts[idx] : NULL;
}

int
fold_host_swap (struct fold *fd, struct fold_host **host)
{
  bool found;
  size_t idx = host_index (fd, (*host)->host, &found);
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
      struct fold_host **hosts = talloc_realloc (fd->owner, fd->hosts,
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
fold_host_take (struct fold *fd, const char *host)
{
  bool found;
  size_t idx = host_index (fd, host, &found);
  if (!found)
    return NULL;
  struct fold_host *old = fd->hosts[idx];
  fd->host_count--;
  memmove (fd->hosts + idx, fd->hosts + idx + 1,
           (fd->host_count - idx) * sizeof (struct fold_host *));
  return old;
}

/* A record that cannot be unpacked for want of memory must not be taken for
   a corrupt one, because other processes fold it.  */
static void *
counted_alloc (void *arg, size_t size)
{
  bool *failed = arg;
  void *mem = malloc (size);
  *failed |= mem == NULL;
  return mem;
}

static void
counted_free (void *arg, void *mem)
{
  free (mem);
}

/* Whether the record may be folded, by its id and age alone.  */
static enum fold_outcome
check_id (const struct fold *fd, uint64_t offset, uint64_t based_on,
          struct fold_result *res)
{
  enum fold_outcome first;
  if (based_on > offset)
    return FOLD_INVALID;
  if (offset - based_on >= FOLD_ID_WINDOW)
    return FOLD_STALE;
  if (fold_seen (fd, &res->id, &first, &res->first_offset))
    return FOLD_DUPLICATE;
  return FOLD_NONE;
}

static int
fold_body (struct fold *fd, uint64_t offset, int64_t time_ms,
           const struct record *rec, struct fold_result *res)
{
  bool failed = false;
  ProtobufCAllocator alloc = { .alloc = counted_alloc,
                               .free = counted_free,
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
      res->outcome = FOLD_PIECE;
      res->piece_last = msg->piece->index + 1 == msg->piece->total;
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
  void *holder = NULL;

  memset (res, 0, sizeof *res);
  if (offset != fd->next_offset)
    return ERR_INVALID;
  talloc_free_children (fd->scratch);
  res->faults.parent = fd->scratch;
  int err = record_decode (fd->scratch, data, len, &rec, &holder);
  if (err == ERR_CONFLICT || err == ERR_NOMEM)
    return err;
  if (err)
    res->outcome = FOLD_CORRUPT;
  else
    {
      res->id = fold_id_make (rec.writer, rec.incarnation, rec.sequence);
      res->outcome = check_id (fd, offset, rec.expected_generation, res);
    }
  bool first = holder && res->outcome != FOLD_DUPLICATE;
  /* Also of void records: a later copy of them must not count either.  */
  err = fold_remember (fd, first ? &res->id : NULL, offset, FOLD_CORRUPT);
  if (err == 0 && res->outcome == FOLD_NONE)
    err = fold_body (fd, offset, time_ms, &rec, res);
  talloc_free (holder);
  if (err)
    {
      fold_remember (fd, NULL, offset, FOLD_NONE);
      return err;
    }
  if (first)
    fd->ids[offset % FOLD_ID_WINDOW].outcome = res->outcome;
  fd->next_offset++;
  fd->last_time_ms = time_ms;
  fd->outcomes[res->outcome]++;
  return 0;
}
