#pragma once

#include <stddef.h>
#include <stdint.h>

#include "claim/claim_fold.h"
#include "store/record.h"

/* Encodes and decodes the records of the claims stream: the record envelope of
   store/record.h around a ClaimBatch message of proto/record.proto.  */

/* Largest encoded size of an item without its answer.  */
#define CLAIM_ITEM_MAX_BYTES 64
/* Largest encoded size of the envelope without its body.  */
#define CLAIM_ENVELOPE_MAX_BYTES 256

struct claim_item
{
  struct claim_op op;
  const uint8_t *answer; /* of a done item; NULL when it is not recorded */
  size_t answer_len;
};

struct claim_batch
{
  struct record rec;
  const struct claim_item *items;
  size_t count;
};

/* Encodes a record with the envelope fields of REC and ITEMS as its body; the
   body of REC is ignored.  *DATA is a talloc child of PARENT.  Returns 0 or an
   error of record_encode.  */
int claim_batch_encode (void *parent, const struct record *rec,
                        const struct claim_item *items, size_t count,
                        uint8_t **data, size_t *len);

/* Decodes into *BATCH, a talloc child of PARENT.  Returns 0, an error of
   record_decode, ERR_PROTOCOL for a malformed body, ERR_CONFLICT for an item
   of unknown type (written by a newer program), or ERR_NOMEM.  */
int claim_batch_decode (void *parent, const uint8_t *data, size_t len,
                        struct claim_batch **batch);

/* Returns the done item with the answer to the claim CLAIM_ID, or NULL when
   BATCH has none.  */
const struct claim_item *
claim_batch_find_answer (const struct claim_batch *batch, uint64_t claim_id);
