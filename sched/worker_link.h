#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "job/job.h"

/* Interface for commands to workers.  Calls are asynchronous and return 0 or
   an error.  After a call that returned 0 the callback runs exactly once,
   never from inside the call, unless the link is destroyed before that.  */

struct worker_link;

enum command_status
{
  COMMAND_DONE,
  COMMAND_FENCED,    /* the worker has seen a higher fencing token */
  COMMAND_STALE_RUN, /* this run of the task, or a later one, has stopped or
                        ended on the worker */
  COMMAND_LEASE_EXPIRED, /* the lease had expired when the command arrived */
  COMMAND_NO_ROOM,       /* the worker's free resources do not suffice */
  COMMAND_NO_TICKET,     /* the worker requires a valid ticket */
  COMMAND_REJECTED,      /* the worker rejects the command as malformed */
  COMMAND_WORKER_BUSY,   /* the worker is busy or unhealthy; the command had no
                            effect */
  COMMAND_OTHER_INSTANCE, /* another worker instance answers at the address */
  COMMAND_NOT_SENT,       /* the command certainly had no effect */
  COMMAND_NO_ANSWER,      /* the command may have had an effect or may have one
                           later */
};

struct command_target
{
  const char *address;
  const char *worker;  /* its id; another worker at the address does nothing */
  bool new_connection; /* do not reuse an idle connection */
  int64_t idle_max_ms; /* nor one that has been idle for longer; 0: any */
  /* Called with the callback's argument just before the command is sent; it is
     not sent if the sender's permission has ended by then.  NULL: always
     sent.  */
  bool (*may_send) (void *arg);
};

struct start_command
{
  struct task_ref task;
  uint32_t run;
  const char *spec;
  const char *checkpoint; /* NULL: start from the beginning */
  const char *ticket;
  int64_t lease_end_ms; /* by the worker's clock; for all runs there */
  uint64_t token;
};

struct stop_command
{
  struct task_ref task;
  uint32_t run;
  uint64_t token;
};

/* Sets the speed of a run in percent.  */
struct pace_command
{
  struct task_ref task;
  uint32_t run;
  uint32_t percent;
  uint64_t token;
};

/* A hold is a long poll: it extends the leases of all runs on the worker,
   acknowledges ends and lists the runs.  The worker answers when a run ends or
   after wait_ms.  */
struct hold_command
{
  uint64_t token;
  uint64_t last_seen;   /* the worker may forget ends up to this number */
  int64_t lease_end_ms; /* by the worker's clock; 0: no extension */
  int64_t wait_ms;      /* longest time that the worker waits for an end */
};

struct command_result
{
  enum command_status status;
  int64_t clock_ms; /* the worker's clock; 0: not given */
};

/* How a run ended.  */
enum run_end
{
  RUN_END_DONE,
  RUN_END_FAILED,
  RUN_END_STOPPED,
  RUN_END_LEASE_EXPIRED,   /* its lease expired */
  RUN_END_GANG_BROKEN,     /* another member of its gang ended */
  RUN_END_GANG_INCOMPLETE, /* the rest of its gang did not start in time */
  RUN_END_UNREADABLE, /* only the number of the end is known; the task is not
                         valid */
};

struct running_row
{
  struct task_ref task;
  uint32_t run;
  const char *checkpoint; /* newest checkpoint; "": none */
  /* Share of its work that a batch task has done; 100 for a perpetual task
     that runs at its full capacity.  */
  uint32_t percent;
  /* Tail latency in milliseconds of a serving task, otherwise CPU in use.  */
  int64_t load;
};

struct ended_row
{
  uint64_t number; /* of this end; ascending on each worker */
  struct task_ref task;
  uint32_t run;
  enum run_end end;
  const char *checkpoint; /* last checkpoint; "": none */
};

/* The rows are valid during the callback only.  */
struct hold_result
{
  struct command_result command;
  int64_t born_ms; /* wall clock at the worker's start; 0: not given */
  const struct running_row *running;
  size_t running_count;
  const struct ended_row *ended;
  size_t ended_count;
  bool ended_truncated; /* more ends are listed once these are acknowledged */
  bool incomplete;      /* rows that cannot be read were left out */
};

typedef void command_fn (void *arg, const struct command_result *res);
typedef void hold_fn (void *arg, const struct hold_result *res);

struct worker_link_driver
{
  int (*start) (struct worker_link *lnk, const struct command_target *to,
                const struct start_command *cmd, command_fn *fn, void *arg);
  int (*stop) (struct worker_link *lnk, const struct command_target *to,
               const struct stop_command *cmd, command_fn *fn, void *arg);
  int (*pace) (struct worker_link *lnk, const struct command_target *to,
               const struct pace_command *cmd, command_fn *fn, void *arg);
  int (*hold) (struct worker_link *lnk, const struct command_target *to,
               const struct hold_command *cmd, hold_fn *fn, void *arg);
};

struct worker_link
{
  const struct worker_link_driver *drv;
};
