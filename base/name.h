#pragma once

#include <stddef.h>
#include <string.h>

#define NAME_BYTES 64 /* of names, with the NUL; longer ones are invalid */

/* Copies SRC of LEN bytes into DST; what does not fit is cut off.  */
static inline void
name_copy_len (char dst[NAME_BYTES], const char *src, size_t len)
{
  if (len > NAME_BYTES - 1)
    len = NAME_BYTES - 1;
  memcpy (dst, src, len);
  memset (dst + len, 0, NAME_BYTES - len);
}

static inline void
name_copy (char dst[NAME_BYTES], const char *src)
{
  name_copy_len (dst, src, strnlen (src, NAME_BYTES));
}
