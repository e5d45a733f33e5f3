#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/name.h"

/* The operators' configuration and the workers' own reports, as the rest of
   the program sees them.  */

#define WORKER_LABELS_MAX 8

/* A queue takes jobs under a host name and a path prefix; its jobs run on the
   workers of one pool.  */
struct queue
{
  const char *name;
  const char *host;
  const char *path_prefix;
  const char *pool;
  uint32_t priority; /* 0 comes first */
  uint32_t attempts; /* failed runs of a task after which its job fails */
  double stretch;    /* of the response-time goal: times the longest chain */
  int64_t goal_extra_ms; /* of the response-time goal: added to the chain */
  bool needs_advice;
  int64_t advice_valid_ms;
};

struct pool_config
{
  const char *name;
  bool spare;           /* its hosts are off */
  bool guards_capacity; /* its workers refuse what does not fit */
};

struct catalog
{
  uint64_t version;
  struct queue *queues; /* by name, after catalog_sort */
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

/* One life of a host that runs work.  */
struct worker_report
{
  char id[NAME_BYTES];
  char host[NAME_BYTES];
  char pool[NAME_BYTES];
  char address[NAME_BYTES];
  char data_centre[NAME_BYTES];
  char labels[WORKER_LABELS_MAX][NAME_BYTES];
  size_t label_count;
  char rack[NAME_BYTES]; /* "": not told */
  struct resources capacity;
  bool draining;
  int64_t drain_left_ms;
  int64_t born_ms;  /* wall clock at its start; 0: not told */
  int64_t clock_ms; /* its own steady clock when it reported */
  int64_t cold_left_ms;
};

struct upkeep_wave
{
  uint64_t number;
  const char *const *hosts;
  size_t host_count;
  uint32_t most_out; /* hosts of the wave down at a time */
  int64_t duration_ms;
};

enum host_state
{
  HOST_UP,
  HOST_MOVING,
  HOST_UPKEEP,
  HOST_DOWN,
};

/* A host in the platform's list.  */
struct host_report
{
  char name[NAME_BYTES];
  char pool[NAME_BYTES];
  char worker[NAME_BYTES]; /* id of its worker; empty: none */
  enum host_state state;
  struct resources capacity;
};

/* Sorts the queues for catalog_queue: an owner looks up the queue of every
   waiting job in each turn, and configurations have hundreds of queues.  */
void catalog_sort (struct catalog *cat);

/* Finds the queue of a request, by host name and longest path prefix.  */
const struct queue *catalog_route (const struct catalog *cat, const char *host,
                                   const char *path);
const struct queue *catalog_queue (const struct catalog *cat,
                                   const char *name);
const struct pool_config *catalog_pool (const struct catalog *cat,
                                        const char *name);
