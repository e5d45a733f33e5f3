#pragma once

#include <stdbool.h>
#include <stdint.h>

/* The platform's operations on one host, and the host's own health, as an
   interface beside log_store.h with the same rules: calls are asynchronous and
   belong to the control thread's tevent context; a callback runs exactly once,
   never from inside the call, and not at all once the store was finished.  */

#define HOST_OPERATION_ID_MAX 255 /* bytes */

struct host_store;

enum host_op
{
  HOST_OP_DRAIN,
  HOST_OP_REBOOT,
  HOST_OP_RETURN,
  HOST_OP_GET,    /* actual state of the host */
  HOST_OP_HEALTH, /* GET /health of the host itself */
};

enum host_call_status
{
  HOST_CALL_DONE,
  HOST_CALL_FENCED,   /* a higher fence has been seen for the host */
  HOST_CALL_REFUSED,  /* certainly without effect, and will be again: the host
                         or the operation is not known */
  HOST_CALL_NOT_DONE, /* certainly without effect; may be repeated */
  HOST_CALL_UNKNOWN,  /* may have taken effect: repeat under the same id */
};

enum host_actual
{
  HOST_ACTUAL_UNKNOWN,
  HOST_ACTUAL_LIVE,
  HOST_ACTUAL_LEAVING,
  HOST_ACTUAL_DOWN,
};

struct host_call
{
  enum host_op op;
  const char *host;         /* not for HOST_OP_HEALTH */
  const char *address;      /* IP:PORT, for HOST_OP_HEALTH */
  const char *operation_id; /* drain, reboot, return: the platform runs each id
                               once and repeats its answer */
  uint64_t fence;           /* the same */
};

struct host_result
{
  enum host_call_status status;
  enum host_actual state; /* all but HOST_OP_HEALTH */
  bool healthy;           /* HOST_OP_HEALTH: takes work */
  int32_t slots_in_use;   /* HOST_OP_HEALTH; -1: not told */
};

typedef void host_call_fn (void *arg, const struct host_result *res);

struct host_store_driver
{
  int (*call) (struct host_store *hs, const struct host_call *call,
               host_call_fn *fn, void *arg);
  void (*fini) (struct host_store *hs);
};

struct host_store
{
  const struct host_store_driver *drv;
};

/* Returns 0 when the call was started, ERR_INVALID (a name that cannot stand
   in a URL or header), ERR_FULL or ERR_NOMEM; the callback runs only after
   0.  */
int host_store_call (struct host_store *hs, const struct host_call *call,
                     host_call_fn *fn, void *arg);
void host_store_fini (struct host_store *hs);

bool host_op_is_change (enum host_op op);
const char *host_op_name (enum host_op op);
