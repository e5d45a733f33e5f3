#include <string.h>
#include <talloc.h>

#include "base/err.h"
#include "proto/config.pb-c.h"
#include "state/fold_snapshot.h"
#include "store/record.h"

#define PARTS 2 /* snapshots in parts at a time */

/* Pieces of one snapshot so far.  */
struct parts
{
  uint64_t next_offset;
  uint64_t checksum;
  uint32_t total; /* 0: free */
  uint32_t have;
  uint64_t used; /* order of the last piece, to evict the oldest */
  uint8_t *pieces[SNAPSHOT_PIECES_MAX];
  size_t lens[SNAPSHOT_PIECES_MAX];
};

struct priv
{
  struct parts parts[PARTS];
  uint64_t clock;
  struct fold best;
  bool has_best;
  uint64_t bad;
};

int
snapshot_reader_init (struct snapshot_reader *rd, void *parent)
{
  rd->priv = talloc_zero (parent, struct priv);
  return rd->priv ? 0 : ERR_NOMEM;
}

static void
parts_clear (struct parts *parts)
{
  for (uint32_t n = 0; n < parts->total; n++)
    talloc_free (parts->pieces[n]);
  memset (parts, 0, sizeof *parts);
}

void
snapshot_reader_fini (struct snapshot_reader *rd)
{
  if (!rd->priv)
    return;
  if (rd->priv->has_best)
    fold_fini (&rd->priv->best);
  talloc_free (rd->priv);
  rd->priv = NULL;
}

static struct parts *
parts_of (struct priv *p, const Kingcuphollow__SnapshotPiece *piece)
{
  struct parts *oldest = &p->parts[0];
  for (size_t n = 0; n < PARTS; n++)
    {
      struct parts *parts = &p->parts[n];
      if (parts->total == piece->total && parts->checksum == piece->checksum
          && parts->next_offset == piece->next_offset)
        return parts;
      if (parts->used < oldest->used)
        oldest = parts;
    }
  parts_clear (oldest);
  oldest->next_offset = piece->next_offset;
  oldest->checksum = piece->checksum;
  oldest->total = piece->total;
  return oldest;
}

static int
parts_complete (struct priv *p, struct parts *parts)
{
  struct fold fd;
  size_t len = 0;

  for (uint32_t n = 0; n < parts->total; n++)
    len += parts->lens[n];
  uint8_t *data = talloc_size (p, len ? len : 1);
  if (!data)
    return ERR_NOMEM;
  len = 0;
  for (uint32_t n = 0; n < parts->total; n++)
    {
      memcpy (data + len, parts->pieces[n], parts->lens[n]);
      len += parts->lens[n];
    }
  int err = snapshot_load (p, data, len, parts->checksum, &fd);
  talloc_free (data);
  if (err == 0 && fd.next_offset != parts->next_offset)
    {
      fold_fini (&fd);
      err = ERR_PROTOCOL;
    }
  parts_clear (parts);
  if (err == ERR_NOMEM)
    return err;
  if (err)
    {
      p->bad++;
      return 0;
    }
  if (p->has_best)
    fold_fini (&p->best);
  p->best = fd;
  p->has_best = true;
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
      || (p->has_best && piece->next_offset <= p->best.next_offset))
    return 0;
  struct parts *parts = parts_of (p, piece);
  parts->used = ++p->clock;
  if (parts->pieces[piece->index])
    return 0;
  uint8_t *copy = talloc_size (p, piece->data.len ? piece->data.len : 1);
  if (!copy)
    return ERR_NOMEM;
  if (piece->data.len)
    memcpy (copy, piece->data.data, piece->data.len);
  parts->pieces[piece->index] = copy;
  parts->lens[piece->index] = piece->data.len;
  parts->have++;
  return parts->have == parts->total ? parts_complete (p, parts) : 0;
}

int
snapshot_reader_add (struct snapshot_reader *rd, const uint8_t *data,
                     size_t len, uint64_t min_next_offset)
{
  struct record rec;
  void *holder = NULL;
  int err = record_decode (rd->priv, data, len, &rec, &holder);
  if (err)
    return err == ERR_NOMEM ? err : 0;
  Kingcuphollow__ConfigRecord *msg
      = kingcuphollow__config_record__unpack (NULL, rec.body_len, rec.body);
  if (msg && msg->body_case == KINGCUPHOLLOW__CONFIG_RECORD__BODY_PIECE)
    err = piece_add (rd->priv, msg->piece, min_next_offset);
  if (msg)
    kingcuphollow__config_record__free_unpacked (msg, NULL);
  talloc_free (holder);
  return err;
}

int
snapshot_reader_take (struct snapshot_reader *rd, void *parent,
                      struct fold *fd)
{
  if (!rd->priv->has_best)
    return ERR_NOT_FOUND;
  *fd = rd->priv->best;
  talloc_steal (parent, fd->owner);
  rd->priv->has_best = false;
  return 0;
}

uint64_t
snapshot_reader_bad (const struct snapshot_reader *rd)
{
  return rd->priv->bad;
}
