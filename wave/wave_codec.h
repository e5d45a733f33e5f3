#pragma once

#include "wave/wave_plan.h"

/* Records of the waves stream: wave_record in the envelope of store/record.h.
   Writer, incarnation and sequence are the record's unique id.  */

/* Encodes REC into *DATA, owned by PARENT.  Returns 0, ERR_INVALID,
   ERR_TOO_LARGE or ERR_NOMEM.  */
int wave_record_encode (void *parent, const struct wave_record *rec,
                        uint8_t **data, size_t *len);

/* Decodes into *REC, which *HOLDER, a talloc child of PARENT, keeps valid.
   Returns 0, ERR_PROTOCOL, ERR_CONFLICT (a format or a value that this program
   does not know), ERR_CHECKSUM or ERR_NOMEM; *HOLDER is NULL then.  */
int wave_record_decode (void *parent, const uint8_t *data, size_t len,
                        struct wave_record *rec, void **holder);

/* Writes the operation id, which every planner makes alike.  A reboot has one
   id for the whole wave, so that the platform runs it once.  */
void wave_operation_id (const struct wave *wv, const struct wave_host *wh,
                        char id[HOST_OPERATION_ID_MAX + 1]);
