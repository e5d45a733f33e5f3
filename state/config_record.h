#pragma once

#include "proto/config.pb-c.h"
#include "state/fold.h"

/* Bodies of the config stream's records.  */

/* Packs EDIT into *DATA, owned by the talloc context PARENT.  Returns 0,
   ERR_TOO_LARGE or ERR_NOMEM.  */
int config_edit_encode (void *parent, const struct fold_edit *edit,
                        uint8_t **data, size_t *len);

/* Message for ROW with all cells that are set; the memory hangs on PARENT and
   texts stay ROW's.  NULL without memory.  */
Kingcuphollow__ConfigRow *config_row_message (void *parent,
                                              const struct table_row *row);

/* Returns false for a name that does not fit or a column that ROW's sort does
   not have; the row's values are not checked.  */
bool config_row_decode (const Kingcuphollow__ConfigRow *msg,
                        struct table_row *row);
