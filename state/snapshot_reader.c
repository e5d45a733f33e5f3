#include <string.h>
#include <talloc.h>

#include "base/err.h"
#include "proto/config.pb-c.h"
#include "state/fold_snapshot.h"
#include "store/record.h"

#define PARTIAL_SNAPSHOTS_MAX 2 /* incomplete snapshots kept at a time */

/* The pieces of one snapshot that have been read so far.  */
struct partial_snapshot
{
  uint64_t next_offset;
  uint64_t checksum;
  uint32_t total; /* pieces of the whole snapshot; 0: the slot is free */
  uint32_t received;
  uint64_t last_used; /* use_counter at the last piece, for LRU eviction */
  uint8_t *pieces[SNAPSHOT_PIECES_MAX];
  size_t lens[SNAPSHOT_PIECES_MAX];
};

struct priv
{
  struct partial_snapshot partials[PARTIAL_SNAPSHOTS_MAX];
  uint64_t use_counter;
  struct fold latest; /* the complete snapshot with the highest next_offset */
  bool has_latest;
  uint64_t invalid_count;
};

int
snapshot_reader_init (struct snapshot_reader *rd, void *parent)
{
  rd->priv = talloc_zero (parent, struct priv);
  return rd->priv ? 0 : ERR_NOMEM;
}

static void
partial_clear (struct partial_snapshot *partial)
{
  for (uint32_t n = 0; n < partial->total; n++)
    talloc_free (partial->pieces[n]);
  memset (partial, 0, sizeof *partial);
}

void
snapshot_reader_fini (struct snapshot_reader *rd)
{
  if (!rd->priv)
    return;
  if (rd->priv->has_latest)
    fold_fini (&rd->priv->latest);
  talloc_free (rd->priv);
  rd->priv = NULL;
}

/* The slot of the snapshot that PIECE belongs to; a new snapshot takes the
   least recently used slot.  */
static struct partial_snapshot *
find_or_evict (struct priv *p, const Kingcuphollow__SnapshotPiece *piece)
{
  struct partial_snapshot *least_recent = &p->partials[0];
  for (size_t n = 0; n < PARTIAL_SNAPSHOTS_MAX; n++)
    {
      struct partial_snapshot *partial = &p->partials[n];
      if (partial->total == piece->total
          && partial->checksum == piece->checksum
          && partial->next_offset == piece->next_offset)
        return partial;
      if (partial->last_used < least_recent->last_used)
        least_recent = partial;
    }
  partial_clear (least_recent);
  least_recent->next_offset = piece->next_offset;
  least_recent->checksum = piece->checksum;
  least_recent->total = piece->total;
  return least_recent;
}

/* Loads the snapshot whose last missing piece was read.  One that does not
   load is counted as invalid.  Returns 0 or ERR_NOMEM.  */
static int
partial_complete (struct priv *p, struct partial_snapshot *partial)
{
  struct fold fd;
  size_t len = 0;

  for (uint32_t n = 0; n < partial->total; n++)
    len += partial->lens[n];
  uint8_t *data = talloc_size (p, len ? len : 1);
  if (!data)
    return ERR_NOMEM;
  len = 0;
  for (uint32_t n = 0; n < partial->total; n++)
    {
      memcpy (data + len, partial->pieces[n], partial->lens[n]);
      len += partial->lens[n];
    }
  int err = snapshot_load (p, data, len, partial->checksum, &fd);
  talloc_free (data);
  if (err == 0 && fd.next_offset != partial->next_offset)
    {
      fold_fini (&fd);
      err = ERR_PROTOCOL;
    }
  partial_clear (partial);
  if (err == ERR_NOMEM)
    return err;
  if (err)
    {
      p->invalid_count++;
      return 0;
    }
  if (p->has_latest)
    fold_fini (&p->latest);
  p->latest = fd;
  p->has_latest = true;
  return 0;
}

static int
piece_add (struct priv *p, const Kingcuphollow__SnapshotPiece *piece,
           uint64_t min_next_offset)
{
  if (piece->total == 0 || piece->total > SNAPSHOT_PIECES_MAX
      || piece->index >= piece->total
      || piece->data.len > SNAPSHOT_PIECE_BYTES)
    return 0;
  if (piece->next_offset < min_next_offset
      || (p->has_latest && piece->next_offset <= p->latest.next_offset))
    return 0;
  struct partial_snapshot *partial = find_or_evict (p, piece);
  partial->last_used = ++p->use_counter;
  if (partial->pieces[piece->index])
    return 0;
  uint8_t *copy = talloc_size (p, piece->data.len ? piece->data.len : 1);
  if (!copy)
    return ERR_NOMEM;
  if (piece->data.len)
    memcpy (copy, piece->data.data, piece->data.len);
  partial->pieces[piece->index] = copy;
  partial->lens[piece->index] = piece->data.len;
  partial->received++;
  return partial->received == partial->total ? partial_complete (p, partial)
                                             : 0;
}

int
snapshot_reader_add (struct snapshot_reader *rd, const uint8_t *data,
                     size_t len, uint64_t min_next_offset)
{
  struct record rec;
  void *storage = NULL;
  int err = record_decode (rd->priv, data, len, &rec, &storage);
  if (err)
    return err == ERR_NOMEM ? err : 0;
  Kingcuphollow__ConfigRecord *msg
      = kingcuphollow__config_record__unpack (NULL, rec.body_len, rec.body);
  if (msg && msg->body_case == KINGCUPHOLLOW__CONFIG_RECORD__BODY_PIECE)
    err = piece_add (rd->priv, msg->piece, min_next_offset);
  if (msg)
    kingcuphollow__config_record__free_unpacked (msg, NULL);
  talloc_free (storage);
  return err;
}

int
snapshot_reader_take (struct snapshot_reader *rd, void *parent,
                      struct fold *fd)
{
  if (!rd->priv->has_latest)
    return ERR_NOT_FOUND;
  *fd = rd->priv->latest;
  talloc_steal (parent, fd->mem_ctx);
  rd->priv->has_latest = false;
  return 0;
}

uint64_t
snapshot_reader_invalid_count (const struct snapshot_reader *rd)
{
  return rd->priv->invalid_count;
}
