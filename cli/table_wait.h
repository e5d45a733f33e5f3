#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "cli/operators.h"

/* Waits until every process of OPS says by /v1/status that it has folded the
   config stream up to NEXT_OFFSET, for TIMEOUT_MS at most, and prints which
   have.  Returns 0 or TABLE_EXIT_NOT_FOLDED.  */
int table_wait (const struct operators *ops, uint64_t next_offset,
                int64_t timeout_ms, bool json);
