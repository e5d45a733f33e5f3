#pragma once

#include "wave/wave_plan.h"

/* Encoding of the records of the waves stream: a struct wave_record is stored
   in the envelope of store/record.h.  Writer, incarnation and sequence
   together are the record's unique id.  */

/* Encodes REC into *DATA, owned by PARENT.  Returns 0, ERR_INVALID,
   ERR_TOO_LARGE or ERR_NOMEM.  */
int wave_record_encode (void *parent, const struct wave_record *rec,
                        uint8_t **data, size_t *len);

/* Decodes into *REC, whose strings and arrays belong to *STORAGE, a talloc
   child of PARENT.  Returns 0, ERR_PROTOCOL, ERR_CONFLICT (unknown format or
   enum value), ERR_CHECKSUM or ERR_NOMEM; on an error *STORAGE is NULL.  */
int wave_record_decode (void *parent, const uint8_t *data, size_t len,
                        struct wave_record *rec, void **storage);

/* Writes the operation id of the current step of WH.  The id depends only on
   the fold, so that every planner derives the same one.  A reboot has a single
   id for the whole wave, so that the platform runs it once.  */
void wave_operation_id (const struct wave *wv, const struct wave_host *wh,
                        char id[HOST_OPERATION_ID_MAX_BYTES + 1]);
