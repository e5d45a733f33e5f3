#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "job/job.h"

/* Orders to workers as an interface.  Calls are asynchronous; a callback runs
   exactly once, never from inside the call, and not at all once the link was
   finished.  */

struct worker_link;

enum order_status
{
  ORDER_DONE,
  ORDER_FENCED, /* the worker has seen a higher fencing token */
  ORDER_OLD,    /* this run, or a higher one, stopped or ended there */
  ORDER_LATE,   /* the lease had run out when the order arrived */
  ORDER_NO_ROOM,
  ORDER_NO_TICKET,
  ORDER_REFUSED,    /* the order is malformed */
  ORDER_BUSY,       /* nothing was done; the worker is unhealthy */
  ORDER_OTHER_LIFE, /* another life of the worker answers at the address */
  ORDER_NOT_SENT,   /* certainly without effect */
  ORDER_NO_ANSWER,  /* may have taken effect, or may do so later */
};

struct order_target
{
  const char *address;
  const char *worker; /* its id; another one there does nothing */
  bool fresh;         /* on a new connection */
};

struct start_order
{
  struct task_ref task;
  uint32_t run;
  const char *spec;
  const char *saved; /* NULL: from the beginning */
  const char *ticket;
  int64_t lease_end_ms; /* on the worker's clock; of all that runs there */
  uint64_t token;
};

struct stop_order
{
  struct task_ref task;
  uint32_t run;
  uint64_t token;
};

struct pace_order
{
  struct task_ref task;
  uint32_t run;
  uint32_t percent;
  uint64_t token;
};

struct hold_order
{
  uint64_t token;
  uint64_t last_seen;   /* ends up to it are forgotten by the worker */
  int64_t lease_end_ms; /* 0: not extended */
  int64_t wait_ms;      /* longest wait for an end */
};

struct order_result
{
  enum order_status status;
  int64_t clock_ms; /* the worker's clock; 0: not told */
};

enum run_end
{
  RUN_DONE,
  RUN_FAILED,
  RUN_STOPPED,
  RUN_LAPSED,
  RUN_BROKEN, /* another member of its gang ended */
  RUN_ALONE,  /* waited in vain for the rest of its gang */
};

struct running_row
{
  struct task_ref task;
  uint32_t run;
  const char *saved; /* "": none */
  uint32_t percent;
  int64_t load; /* tail latency in ms of a serving task, else cpu in use */
};

struct ended_row
{
  uint64_t number;
  struct task_ref task;
  uint32_t run;
  enum run_end end;
  const char *saved;
};

struct hold_result
{
  struct order_result order;
  int64_t born_ms; /* 0: not told */
  const struct running_row *running;
  size_t running_count;
  const struct ended_row *ended;
  size_t ended_count;
  bool ended_cut; /* further ends are listed after these are seen */
};

typedef void order_fn (void *arg, const struct order_result *res);
typedef void hold_fn (void *arg, const struct hold_result *res);

struct worker_link_driver
{
  int (*start) (struct worker_link *lnk, const struct order_target *to,
                const struct start_order *ord, order_fn *fn, void *arg);
  int (*stop) (struct worker_link *lnk, const struct order_target *to,
               const struct stop_order *ord, order_fn *fn, void *arg);
  int (*pace) (struct worker_link *lnk, const struct order_target *to,
               const struct pace_order *ord, order_fn *fn, void *arg);
  int (*hold) (struct worker_link *lnk, const struct order_target *to,
               const struct hold_order *ord, hold_fn *fn, void *arg);
};

struct worker_link
{
  const struct worker_link_driver *drv;
};
