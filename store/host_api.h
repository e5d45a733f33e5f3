#pragma once

#include <stdbool.h>
#include <stdint.h>

/* Interface to the platform's operations on a host and to the host's own
   health endpoint.  Calls are asynchronous and belong to the control thread's
   tevent context; a callback runs exactly once, never from inside the call,
   and not at all after host_api_fini.  */

/* Longest operation id, without the terminating NUL.  */
#define HOST_OPERATION_ID_MAX_BYTES 255

struct host_api;

enum host_op
{
  HOST_OP_DRAIN,
  HOST_OP_REBOOT,
  HOST_OP_RETURN,
  HOST_OP_GET,    /* reads the actual state of the host */
  HOST_OP_HEALTH, /* GET /health on the host itself */
};

enum host_call_status
{
  HOST_CALL_DONE,
  HOST_CALL_FENCED,   /* the platform has seen a higher fencing token for the
                         host */
  HOST_CALL_REFUSED,  /* certainly without effect, and a repeat cannot
                         succeed: unknown host or operation */
  HOST_CALL_NOT_DONE, /* certainly without effect; may be repeated */
  HOST_CALL_UNKNOWN,  /* may have taken effect; repeat it with the same
                         operation id */
};

enum host_actual_state
{
  HOST_ACTUAL_UNKNOWN,
  HOST_ACTUAL_LIVE,
  HOST_ACTUAL_LEAVING,
  HOST_ACTUAL_DOWN,
};

struct host_call
{
  enum host_op op;
  const char *host;         /* all but HOST_OP_HEALTH */
  const char *address;      /* IP:PORT; HOST_OP_HEALTH only */
  const char *operation_id; /* drain, reboot, return: the platform executes
                               each id once and repeats its response to it */
  uint64_t fence;           /* drain, reboot, return: fencing token */
};

struct host_result
{
  enum host_call_status status;
  enum host_actual_state state; /* all but HOST_OP_HEALTH */
  bool healthy;                 /* HOST_OP_HEALTH: the host accepts work */
  int32_t slots_in_use;         /* HOST_OP_HEALTH; -1: not reported */
};

typedef void host_call_fn (void *arg, const struct host_result *res);

struct host_api_driver
{
  int (*call) (struct host_api *api, const struct host_call *call,
               host_call_fn *fn, void *arg);
  void (*fini) (struct host_api *api);
};

struct host_api
{
  const struct host_api_driver *drv;
};

/* Returns 0 when the call was started, ERR_INVALID (a name with characters
   that are not allowed in a URL or header, or an invalid address), ERR_FULL or
   ERR_NOMEM.  FN runs only after 0.  */
int host_api_call (struct host_api *api, const struct host_call *call,
                   host_call_fn *fn, void *arg);
void host_api_fini (struct host_api *api);

/* Whether OP changes the host's state: drain, reboot and return.  */
bool host_op_is_change (enum host_op op);
const char *host_op_name (enum host_op op);
