#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "cli/operators.h"

/* Polls /v1/status of every entry process of OPS until all have folded the
   config stream up to NEXT_OFFSET (exclusive), for TIMEOUT_MS at most, and
   prints the result.  Returns 0 or TABLE_EXIT_NOT_FOLDED.  */
int table_wait (const struct operators *ops, uint64_t next_offset,
                int64_t timeout_ms, bool json);
