#pragma once

#include "proto/config.pb-c.h"
#include "state/fold.h"

/* Encoding and decoding of the record bodies of the config stream.  */

/* Encodes EDIT as a record body into *DATA, a talloc child of PARENT.  Returns
   0, ERR_TOO_LARGE or ERR_NOMEM.  */
int config_edit_encode (void *parent, const struct fold_edit *edit,
                        uint8_t **data, size_t *len);

/* Builds the message for ROW with all cells that have a value.  The message is
   a talloc child of PARENT; its strings point into ROW.  NULL: out of
   memory.  */
Kingcuphollow__ConfigRow *config_row_message (void *parent,
                                              const struct table_row *row);

/* Decodes MSG into *ROW.  Returns false if MSG is NULL, its row type or a
   column is unknown, or a text is too long.  Does not check names and values;
   table_check_row does.  */
bool config_row_decode (const Kingcuphollow__ConfigRow *msg,
                        struct table_row *row);
