#pragma once

#include <stddef.h>
#include <string.h>

/* Names in buffers of fixed size.  */

/* Includes the terminating NUL; longer names are invalid.  */
#define NAME_BYTES 64

/* Copies the LEN bytes of SRC into DST, truncates them to fit and fills the
   rest of DST with NULs.  */
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
