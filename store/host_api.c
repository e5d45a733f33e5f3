#include "store/host_api.h"

#include <string.h>

#include "base/err.h"

static const char *const op_names[]
    = { "drain", "reboot", "return", "get", "health" };

const char *
host_op_name (enum host_op op)
{
  return op_names[op];
}

bool
host_op_is_change (enum host_op op)
{
  return op == HOST_OP_DRAIN || op == HOST_OP_REBOOT || op == HOST_OP_RETURN;
}

/* Names are put into URLs and headers without escaping.  */
static bool
name_valid (const char *name, size_t max)
{
  static const char allowed[] = "abcdefghijklmnopqrstuvwxyz"
                                "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-/";
  size_t len = name ? strlen (name) : 0;
  return len > 0 && len <= max && name[0] != '.'
         && strspn (name, allowed) == len;
}

int
host_api_call (struct host_api *api, const struct host_call *call,
               host_call_fn *fn, void *arg)
{
  if (call->op != HOST_OP_HEALTH
      && (!name_valid (call->host, 63) || strchr (call->host, '/')))
    return ERR_INVALID;
  if (host_op_is_change (call->op)
      && !name_valid (call->operation_id, HOST_OPERATION_ID_MAX_BYTES))
    return ERR_INVALID;
  return api->drv->call (api, call, fn, arg);
}

void
host_api_fini (struct host_api *api)
{
  if (api->drv)
    api->drv->fini (api);
  api->drv = NULL;
}
