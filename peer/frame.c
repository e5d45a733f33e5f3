#include "peer/frame.h"

#include <nettle/memops.h>
#include <string.h>
#include <talloc.h>

#include "base/err.h"

/* The protobuf field mac: number 15 and wire type 2, then its length.  */
#define MAC_TAG ((15 << 3) | 2)
#define MAC_FIELD_BYTES (2 + FRAME_MAC_BYTES)
#define RESERVE_MIN_BYTES 2048 /* free space offered for one read */

static uint32_t
get_u32 (const uint8_t *buf)
{
  return (uint32_t)buf[0] << 24 | (uint32_t)buf[1] << 16
         | (uint32_t)buf[2] << 8 | buf[3];
}

static void
put_u32 (uint8_t *buf, uint32_t num)
{
  buf[0] = (uint8_t)(num >> 24);
  buf[1] = (uint8_t)(num >> 16);
  buf[2] = (uint8_t)(num >> 8);
  buf[3] = (uint8_t)num;
}

int
frame_key_init (struct frame_key *key, const uint8_t *secret, size_t len)
{
  if (!secret || len < FRAME_SECRET_MIN_BYTES)
    return ERR_INVALID;
  hmac_sha256_set_key (&key->hmac, len, secret);
  return 0;
}

/* Hashes NAME after its length, so that the names "ab" and "c" do not give the
   same key as "a" and "bc".  */
static void
update_name (struct hmac_sha256_ctx *ctx, const char *name)
{
  uint8_t buf[4];
  put_u32 (buf, (uint32_t)strlen (name));
  hmac_sha256_update (ctx, sizeof buf, buf);
  hmac_sha256_update (ctx, strlen (name), (const uint8_t *)name);
}

void
frame_key_derive (struct frame_key *out, const struct frame_key *base,
                  const struct frame_session *ses, bool from_dialer)
{
  struct hmac_sha256_ctx ctx = base->hmac;
  uint8_t secret[SHA256_DIGEST_SIZE];

  update_name (&ctx, from_dialer ? "peer link, dialer to acceptor"
                                 : "peer link, acceptor to dialer");
  update_name (&ctx, ses->dialer);
  update_name (&ctx, ses->acceptor);
  hmac_sha256_update (&ctx, FRAME_NONCE_BYTES, ses->dialer_nonce);
  hmac_sha256_update (&ctx, FRAME_NONCE_BYTES, ses->acceptor_nonce);
  hmac_sha256_digest (&ctx, sizeof secret, secret);
  hmac_sha256_set_key (&out->hmac, sizeof secret, secret);
}

/* Computes the MAC of the LEN bytes of a frame that precede its mac field.  */
static void
frame_mac (struct frame_key *key, const uint8_t *raw, size_t len,
           uint8_t mac[FRAME_MAC_BYTES])
{
  hmac_sha256_update (&key->hmac, len, raw);
  hmac_sha256_digest (&key->hmac, FRAME_MAC_BYTES, mac);
}

static uint8_t *
frame_alloc (size_t payload_len, void *parent, size_t *len)
{
  size_t body = payload_len + MAC_FIELD_BYTES;
  uint8_t *raw = talloc_array (parent, uint8_t, FRAME_PREFIX_BYTES + body);
  if (!raw)
    return NULL;
  put_u32 (raw, (uint32_t)body);
  *len = FRAME_PREFIX_BYTES + body;
  return raw;
}

static void
frame_finish (struct frame_key *key, uint8_t *raw, size_t len)
{
  uint8_t *field = raw + len - MAC_FIELD_BYTES;
  field[0] = MAC_TAG;
  field[1] = FRAME_MAC_BYTES;
  frame_mac (key, raw, len - MAC_FIELD_BYTES, field + 2);
}

int
frame_seal (struct frame_key *key, const PeerFrame *msg, void *parent,
            uint8_t **out, size_t *len)
{
  PeerFrame without_mac = *msg;
  without_mac.mac.len = 0;
  without_mac.mac.data = NULL;
  size_t size = peer_frame__get_packed_size (&without_mac);
  if (size > FRAME_MAX_BYTES - MAC_FIELD_BYTES)
    return ERR_TOO_LARGE;
  *out = frame_alloc (size, parent, len);
  if (!*out)
    return ERR_NOMEM;
  peer_frame__pack (&without_mac, *out + FRAME_PREFIX_BYTES);
  frame_finish (key, *out, *len);
  return 0;
}

int
frame_seal_payload (struct frame_key *key, const uint8_t *payload,
                    size_t payload_len, void *parent, uint8_t **out,
                    size_t *len)
{
  if (payload_len > FRAME_MAX_BYTES - MAC_FIELD_BYTES)
    return ERR_TOO_LARGE;
  *out = frame_alloc (payload_len, parent, len);
  if (!*out)
    return ERR_NOMEM;
  if (payload_len > 0)
    memcpy (*out + FRAME_PREFIX_BYTES, payload, payload_len);
  frame_finish (key, *out, *len);
  return 0;
}

int
frame_open (struct frame_key *key, const uint8_t *raw, size_t len,
            uint64_t want_sequence, PeerFrame **out)
{
  uint8_t mac[FRAME_MAC_BYTES];

  *out = NULL;
  if (len < FRAME_PREFIX_BYTES + MAC_FIELD_BYTES
      || len > FRAME_PREFIX_BYTES + FRAME_MAX_BYTES
      || get_u32 (raw) != len - FRAME_PREFIX_BYTES)
    return ERR_PROTOCOL;
  const uint8_t *field = raw + len - MAC_FIELD_BYTES;
  if (field[0] != MAC_TAG || field[1] != FRAME_MAC_BYTES)
    return ERR_UNAUTHENTICATED;
  frame_mac (key, raw, len - MAC_FIELD_BYTES, mac);
  if (!nettle_memeql_sec (mac, field + 2, FRAME_MAC_BYTES))
    return ERR_UNAUTHENTICATED;

  PeerFrame *msg = peer_frame__unpack (NULL, len - FRAME_PREFIX_BYTES,
                                       raw + FRAME_PREFIX_BYTES);
  if (!msg)
    return ERR_PROTOCOL;
  int err = 0;
  if (msg->version != FRAME_VERSION
      || msg->body_case == PEER_FRAME__BODY__NOT_SET)
    err = ERR_PROTOCOL;
  else if (msg->sequence != want_sequence)
    err = ERR_CONFLICT;
  if (err)
    peer_frame__free_unpacked (msg, NULL);
  else
    *out = msg;
  return err;
}

void
frame_reader_init (struct frame_reader *rd, void *parent, size_t max_bytes)
{
  *rd = (struct frame_reader){ .parent = parent, .max_bytes = max_bytes };
}

uint8_t *
frame_reader_reserve (struct frame_reader *rd, size_t *room)
{
  if (rd->start > 0)
    {
      memmove (rd->buf, rd->buf + rd->start, rd->len - rd->start);
      rd->len -= rd->start;
      rd->start = 0;
    }
  if (rd->cap - rd->len < RESERVE_MIN_BYTES)
    {
      /* Callers read all whole frames before they reserve space, so the buffer
         holds less than one frame of at most max_bytes here.  */
      size_t cap = rd->len + RESERVE_MIN_BYTES;
      uint8_t *buf = talloc_realloc (rd->parent, rd->buf, uint8_t, cap);
      if (!buf)
        return NULL;
      rd->buf = buf;
      rd->cap = cap;
    }
  *room = rd->cap - rd->len;
  return rd->buf + rd->len;
}

void
frame_reader_commit (struct frame_reader *rd, size_t len)
{
  rd->len += len;
}

int
frame_reader_next (struct frame_reader *rd, const uint8_t **raw, size_t *len)
{
  size_t have = rd->len - rd->start;
  if (have < FRAME_PREFIX_BYTES)
    return 0;
  size_t body = get_u32 (rd->buf + rd->start);
  if (body > rd->max_bytes)
    return ERR_TOO_LARGE;
  if (body < MAC_FIELD_BYTES)
    return ERR_PROTOCOL;
  if (have < FRAME_PREFIX_BYTES + body)
    return 0;
  *raw = rd->buf + rd->start;
  *len = FRAME_PREFIX_BYTES + body;
  rd->start += *len;
  return 1;
}
