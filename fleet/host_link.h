#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "fleet/catalog.h"

/* The platform's operations on hosts as an interface.  Calls are asynchronous;
   a callback runs exactly once, never from inside the call.  */

struct host_link;

enum host_order_status
{
  HOST_ORDER_DONE, /* or was done before */
  HOST_ORDER_FENCED,
  HOST_ORDER_BUSY,      /* the host is not up, or leaves */
  HOST_ORDER_NOT_ASKED, /* the wave does not name the host */
  HOST_ORDER_INVALID,   /* no such host, or a pool of other hosts */
  HOST_ORDER_REJECTED,  /* nothing was done; may be tried again */
  HOST_ORDER_UNKNOWN,   /* may have been done, or may be later */
};

struct host_order
{
  const char *host;
  const char *pool; /* of a move; NULL: upkeep */
  uint64_t wave;    /* of an upkeep */
  const char *holder;
  uint64_t token;
};

struct host_list
{
  int err; /* 0 or ERR_UNAVAILABLE */
  const struct host_report *hosts;
  size_t count;
};

typedef void host_order_fn (void *arg, enum host_order_status status);
typedef void host_list_fn (void *arg, const struct host_list *list);

struct host_link_driver
{
  int (*list) (struct host_link *lnk, host_list_fn *fn, void *arg);
  int (*order) (struct host_link *lnk, const struct host_order *ord,
                host_order_fn *fn, void *arg);
};

struct host_link
{
  const struct host_link_driver *drv;
};
