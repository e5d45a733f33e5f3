#pragma once

#include <stddef.h>
#include <stdint.h>

#include "claim/claim_fold.h"
#include "store/record.h"

/* Records of the claims stream: a record envelope around the items of one
   batch.  Messages of proto/record.proto.  */

/* Upper bound of what one item takes in a record, without its answer.  */
#define CLAIM_ITEM_MAX_BYTES 64
/* Room for the envelope.  */
#define CLAIM_ENVELOPE_MAX_BYTES 256

struct claim_item
{
  struct claim_op op;
  const uint8_t *answer; /* done: NULL when it was not kept */
  size_t answer_len;
};

struct claim_batch
{
  struct record rec;
  const struct claim_item *items;
  size_t count;
};

/* Encodes ITEMS as the body of REC, whose body is ignored.  Returns 0 or an
   error of record_encode.  */
int claim_batch_encode (void *parent, const struct record *rec,
                        const struct claim_item *items, size_t count,
                        uint8_t **data, size_t *len);

/* Decodes into *BATCH, a talloc child of PARENT.  Returns 0, an error of
   record_decode, or ERR_CONFLICT for items of a kind that this program does
   not know.  */
int claim_batch_decode (void *parent, const uint8_t *data, size_t len,
                        struct claim_batch **batch);

/* Finds the answer of the claim CLAIM_ID.  Returns NULL when the batch holds
   none.  */
const struct claim_item *claim_batch_answer (const struct claim_batch *batch,
                                             uint64_t claim_id);
