#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/name.h"

/* Data types of the scheduler's input: the operators' configuration (the
   catalog), the workers' reports, maintenance waves and the platform's list of
   hosts.  The modules platform/wire_* decode them from the wire format.  */

#define WORKER_LABELS_MAX 8
/* Fewer than of a worker, as thousands of hosts are listed: the platform gives
   a host's kind and its rack.  */
#define HOST_LABELS_MAX 4

/* A queue takes the jobs that clients submit to an HTTP host name and a path
   prefix.  Its jobs run on the workers of one pool.  */
struct queue
{
  const char *name;
  const char *host;
  const char *path_prefix;
  const char *pool;
  uint32_t priority; /* 0 is the highest */
  uint32_t attempts; /* failed runs of a task after which its job fails */
  /* The response-time goal of a job is STRETCH times the estimated duration of
     its longest chain of dependent steps, plus GOAL_EXTRA_MS.  */
  double stretch;
  int64_t goal_extra_ms;
  /* Monotonic time since which this process has known that the queue leads to
     POOL; 0: always.  */
  int64_t pool_since_us;
  /* Whether the configuration has an object "advice", and its member
     "valid-ms".  Decoded, but not used by the scheduler.  */
  bool needs_advice;
  int64_t advice_valid_ms;
};

struct pool_config
{
  const char *name;
  bool spare;             /* holds hosts that no other pool needs; they are
                             switched off and run no tasks */
  bool enforces_capacity; /* its workers refuse tasks that do not fit */
};

struct catalog
{
  uint64_t version;
  struct queue *queues; /* sorted by name, see catalog_sort */
  size_t queue_count;
  struct pool_config *pools;
  size_t pool_count;
  size_t body_max_bytes;
};

struct resources
{
  int64_t cpu_milli;
  int64_t memory_mb;
  int64_t accelerators;
};

/* A worker's report about itself.  A worker is the process that runs tasks on
   a host.  After a restart, the host reports another worker id or a later
   born_ms.  */
struct worker_report
{
  char id[NAME_BYTES];
  char host[NAME_BYTES];
  char pool[NAME_BYTES];
  char address[NAME_BYTES];
  char data_centre[NAME_BYTES];
  char labels[WORKER_LABELS_MAX][NAME_BYTES];
  size_t label_count;
  char rack[NAME_BYTES]; /* "": unknown */
  struct resources capacity;
  bool draining;         /* shuts down soon and takes no new tasks */
  int64_t drain_left_ms; /* time until a draining worker shuts down */
  int64_t born_ms;       /* wall-clock time of its start; 0: unknown */
  int64_t clock_ms;      /* its monotonic clock at the time of the report */
  int64_t cold_left_ms;  /* time until it has warmed up; 0: it is warm */
  /* Monotonic time at which this process first read a report of this instance
     of the worker; 0: now.  */
  int64_t known_us;
};

/* An operator's order for the maintenance of a set of hosts.  */
struct maintenance_wave
{
  uint64_t number; /* identifies the wave */
  const char *const *hosts;
  size_t host_count;
  uint32_t most_out; /* hosts of the wave that may be down at the same time */
  int64_t duration_ms; /* time in which all hosts are to be maintained */
};

enum host_state
{
  HOST_UP,
  HOST_MOVING,      /* to another pool */
  HOST_MAINTENANCE, /* in maintenance */
  HOST_DOWN,
  HOST_UNKNOWN, /* its entry cannot be read; its other fields may be empty */
};

/* An entry of the platform's list of hosts.  */
struct host_report
{
  char name[NAME_BYTES];
  char pool[NAME_BYTES];
  char worker[NAME_BYTES]; /* id of its worker; empty: none */
  enum host_state state;
  char labels[HOST_LABELS_MAX][NAME_BYTES];
  size_t label_count;
  struct resources capacity;
};

/* Sorts the queues by name, as catalog_queue requires.  It searches them in
   logarithmic time, because a pool's owner looks up the queue of every waiting
   job in each tick, and a configuration has hundreds of queues.  */
void catalog_sort (struct catalog *cat);

/* Sets since when the queues of CAT, which is read at NOW_US, lead to their
   pools.  BEFORE is the configuration before; NULL: none is known.  Returns
   the number of queues that led to another pool before.  */
size_t catalog_note_pools (struct catalog *cat, const struct catalog *before,
                           int64_t now_us);

/* Finds the queue for a request by host name and longest matching path prefix.
   The lookups return NULL when nothing matches, and accept a NULL CAT.  */
const struct queue *catalog_route (const struct catalog *cat, const char *host,
                                   const char *path);
const struct queue *catalog_queue (const struct catalog *cat,
                                   const char *name);
const struct pool_config *catalog_pool (const struct catalog *cat,
                                        const char *name);
