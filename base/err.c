#include "base/err.h"

const char *
err_name (int err)
{
  switch (err)
    {
    case ERR_OK:
      return "ok";
#define X(sym, num, name)                                                     \
  case sym:                                                                   \
    return name;
      ERR_LIST (X)
#undef X
    default:
      return "unknown_error";
    }
}
