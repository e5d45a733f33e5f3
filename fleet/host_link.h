#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "fleet/catalog.h"

/* Interface to the platform's operations on hosts.  The functions of the
   driver are asynchronous and return 0 or an ERR_ code.  When one returns 0,
   its callback runs exactly once, from the event loop and never before the
   function has returned; otherwise the callback does not run.  */

struct host_link;

enum host_order_status
{
  HOST_ORDER_DONE,        /* carried out, now or by an earlier order */
  HOST_ORDER_FENCED,      /* the platform knows a higher token */
  HOST_ORDER_BUSY,        /* the host is not up, or is about to leave */
  HOST_ORDER_NOT_IN_WAVE, /* the wave does not contain the host */
  HOST_ORDER_INVALID,     /* no such host, or a pool that does not take it */
  HOST_ORDER_REJECTED,    /* not carried out; may be sent again */
  HOST_ORDER_UNKNOWN,     /* no answer: may have been carried out, or may be
                             carried out later */
};

struct host_order
{
  const char *host;
  const char *pool;   /* destination of a move; NULL: maintenance */
  uint64_t wave;      /* number of the wave, for maintenance */
  const char *holder; /* process that sends the order */
  uint64_t token;     /* its claim token; fences off earlier holders */
  /* Called with the callback's argument just before the order is sent; it is
     not sent if the holder's permission has ended by then.  NULL: always
     sent.  */
  bool (*may_send) (void *arg);
  int64_t timeout_ms; /* the sender gives the order up after this time, and it
                         has no effect unless the platform has received it by
                         then */
};

struct host_list
{
  int err; /* 0, or ERR_UNAVAILABLE and no hosts */
  const struct host_report *hosts;
  size_t count;
  bool incomplete; /* entries that name no host were left out */
};

typedef void host_order_fn (void *arg, enum host_order_status status);
/* LIST is valid until the callback returns.  */
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
