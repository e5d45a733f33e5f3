#pragma once

#include <nettle/hmac.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "proto/peer.pb-c.h"

/* Frames of a peer link: a 4-byte big-endian length, then a PeerFrame whose
   last field is a MAC (HMAC-SHA-256, truncated) over the length and all bytes
   before the MAC.  The MAC is verified before the message is parsed.  */

#define FRAME_VERSION 1
#define FRAME_MAX_BYTES (256 * 1024) /* without the length prefix */
#define FRAME_PREFIX_BYTES 4
#define FRAME_MAC_BYTES 16
#define FRAME_NONCE_BYTES 16
#define FRAME_SECRET_MIN_BYTES 16

struct frame_key
{
  struct hmac_sha256_ctx hmac;
};

/* Sets KEY, which authenticates hellos, from the secret that all peers share.
   Returns 0, or ERR_INVALID for a secret shorter than
   FRAME_SECRET_MIN_BYTES.  */
int frame_key_init (struct frame_key *key, const uint8_t *secret, size_t len);

/* Input for the keys of one connection.  Because of the nonces, a frame that
   was recorded on one connection is invalid on every other.  */
struct frame_session
{
  const char *dialer;   /* name of the process that connected */
  const char *acceptor; /* name of the process that accepted */
  uint8_t dialer_nonce[FRAME_NONCE_BYTES];
  uint8_t acceptor_nonce[FRAME_NONCE_BYTES];
};

/* Derives the session key of one direction: of frames sent by the dialer with
   FROM_DIALER, else of frames sent by the acceptor.  */
void frame_key_derive (struct frame_key *out, const struct frame_key *base,
                       const struct frame_session *ses, bool from_dialer);

/* Packs MSG, whose mac is ignored, into a frame owned by the talloc context
   PARENT.  Returns 0, ERR_TOO_LARGE or ERR_NOMEM.  */
int frame_seal (struct frame_key *key, const PeerFrame *msg, void *parent,
                uint8_t **out, size_t *len);

/* Like frame_seal, for a message that is already packed.  */
int frame_seal_payload (struct frame_key *key, const uint8_t *payload,
                        size_t payload_len, void *parent, uint8_t **out,
                        size_t *len);

/* Verifies and parses one whole frame, length prefix included.  Returns 0 and
   a message that the caller frees with peer_frame__free_unpacked, or
   ERR_UNAUTHENTICATED (no or wrong MAC), ERR_PROTOCOL (truncated, malformed,
   other version, no known body) or ERR_CONFLICT (the sequence number is not
   WANT_SEQUENCE: a frame was replayed or is missing).  */
int frame_open (struct frame_key *key, const uint8_t *raw, size_t len,
                uint64_t want_sequence, PeerFrame **out);

/* Splits a byte stream into frames.  */
struct frame_reader
{
  void *parent;     /* talloc context of the buffer */
  size_t max_bytes; /* of a frame; small until the peer is authenticated */
  uint8_t *buf;
  size_t start; /* offset of the first byte not yet returned */
  size_t len;   /* offset after the last byte received */
  size_t cap;
};

void frame_reader_init (struct frame_reader *rd, void *parent,
                        size_t max_bytes);

/* Returns a buffer for received bytes and its size in ROOM, at least 1, or
   NULL when out of memory.  The caller writes there and passes the number of
   bytes written to frame_reader_commit.  */
uint8_t *frame_reader_reserve (struct frame_reader *rd, size_t *room);
void frame_reader_commit (struct frame_reader *rd, size_t len);

/* Returns 1 and a whole frame, valid until the next frame_reader_reserve; 0
   when more bytes are needed; ERR_TOO_LARGE for a frame over max_bytes; or
   ERR_PROTOCOL for a length that leaves no room for a MAC.  After an error the
   stream is unusable.  */
int frame_reader_next (struct frame_reader *rd, const uint8_t **raw,
                       size_t *len);
