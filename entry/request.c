#include "entry/request.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <sys/random.h>

const char *
outcome_name (enum request_outcome outcome)
{
  static const char *const names[]
      = { "open", "answered", "not_run", "unknown" };
  return names[outcome];
}

static const struct
{
  const char *name;
  unsigned int status;
} reasons[] = {
#define X(sym, name, status) { name, status },
  REASON_LIST (X)
#undef X
};

const char *
reason_name (enum request_reason reason)
{
  return reasons[reason].name;
}

enum request_reason
reason_find (const char *name)
{
  for (size_t n = 0; n < sizeof reasons / sizeof *reasons; n++)
    if (strcmp (reasons[n].name, name) == 0)
      return n;
  return REASON_INTERNAL;
}

unsigned int
reason_status (enum request_reason reason)
{
  return reasons[reason].status;
}

bool
request_text_valid (const char *text, size_t max)
{
  size_t len = strnlen (text, max + 1);
  if (len == 0 || len > max)
    return false;
  for (const char *p = text; *p; p++)
    if (*p <= ' ' || *p > '~' || *p == '"' || *p == '\\')
      return false;
  return true;
}

void
request_id_generate (char id[REQUEST_ID_MAX + 1])
{
  uint64_t rnd[2] = { 0, 0 };
  /* Once the kernel's random number generator is initialised, reads of up to
     256 bytes are never short.  */
  if (getrandom (rnd, sizeof rnd, 0) != sizeof rnd)
    rnd[0] ^= (uint64_t)(uintptr_t)id;
  snprintf (id, REQUEST_ID_MAX + 1, "%016" PRIx64 "%016" PRIx64, rnd[0],
            rnd[1]);
}
