#pragma once

/* Error numbers.  Functions that can fail return 0 or one of these negative
   numbers; the name of a number is stable and appears in logs and replies. */

#define ERR_LIST(X)                                                           \
  X (ERR_NOMEM, -1, "no_memory")                                              \
  X (ERR_INVALID, -2, "invalid_argument")                                     \
  X (ERR_NOT_FOUND, -3, "not_found")                                          \
  X (ERR_EXISTS, -4, "exists")                                                \
  X (ERR_FULL, -5, "full")                                                    \
  X (ERR_TOO_LARGE, -6, "too_large")                                          \
  X (ERR_TIMEOUT, -7, "timeout")                                              \
  X (ERR_IO, -8, "io_error")                                                  \
  X (ERR_PROTOCOL, -9, "protocol_error")                                      \
  X (ERR_CHECKSUM, -10, "checksum_mismatch")                                  \
  X (ERR_CONFLICT, -11, "conflict")                                           \
  X (ERR_EXPIRED, -12, "expired")                                             \
  X (ERR_UNAVAILABLE, -13, "unavailable")                                     \
  X (ERR_UNKNOWN_EFFECT, -14, "unknown_effect")                               \
  X (ERR_UNAUTHENTICATED, -15, "unauthenticated")                             \
  X (ERR_CANCELLED, -16, "cancelled")                                         \
  X (ERR_SYSTEM, -17, "system_error")

enum err
{
  ERR_OK = 0,
#define X(sym, num, name) sym = num,
  ERR_LIST (X)
#undef X
};

/* Returns the stable name of ERR, or "unknown_error".  */
const char *err_name (int err);
