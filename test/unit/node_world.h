#pragma once

#include "node/node_priv.h"
#include "topic_memory.h"

/* A scheduler process without a network: the store is in memory, workers
   answer each hold at once and run nothing, and the test answers host orders.
   The process's name is "n1", and its catalog has the queue "q" of the pool
   "p".
 */

#define NODE_WORLD_BOOT 5
#define NODE_WORLD_PARTITIONS 2

struct node_world
{
  struct node *nod;
  struct topic_memory mem;
  struct memory_part *duties;
  struct memory_part *jobs;    /* of the pool "p" */
  struct memory_part *fleet;   /* with the vacate requests */
  struct memory_part *reports; /* of the pool's owner about its hosts */
  size_t starts;               /* start commands sent */
  uint64_t last_started;       /* job of the last of them */
  struct host_report hosts[6]; /* the platform's list */
  size_t host_count;
  size_t orders;            /* host orders sent */
  int64_t order_timeout_ms; /* of the last of them */
  bool (*order_may_send) (void *arg);
  void *order_arg;
  size_t requests; /* of clients */
  size_t replies;  /* to them */
  struct front_response last_reply;
  struct catalog cat;
};

/* Starts the process and runs it until it has read all topics.  */
void node_world_init (struct node_world *wld, bool fleet);
/* Starts the process with an empty store and reads nothing yet.  */
void node_world_create (struct node_world *wld, bool fleet);
void node_world_fini (struct node_world *wld);
/* Runs the event loop for MS.  */
void node_world_run (struct node_world *wld, int64_t ms);
/* Handles a client's request for PATH below the path of the queue "q".  */
void node_world_handle (struct node_world *wld, enum front_op op,
                        const char *path);
/* Handles a client's submission of a job.  */
void node_world_submit (struct node_world *wld, const char *path,
                        const char *body);
/* Appends a claim or release of DUTY.  Returns its token.  */
uint64_t node_world_claim (struct node_world *wld, const char *duty,
                           const char *holder, uint64_t boot, bool released);
/* Appends a claim of DUTY that HOLDER makes when the holder EARLIER has not
   been heard of for some time.  */
uint64_t node_world_take_over (struct node_world *wld, const char *duty,
                               const char *holder, uint64_t boot,
                               const char *earlier);
/* Appends a job of the pool "p" with one task.  */
void node_world_add_job (struct node_world *wld, uint64_t id);
/* Registers the worker ID on the host "m-ID".  */
void node_world_add_worker (struct node_world *wld, const char *id);
/* Appends, as another holder of the fleet duty, a request to vacate HOST;
   UNTIL_MS 0 withdraws it.  Returns its offset.  */
uint64_t node_world_request (struct node_world *wld, const char *host,
                             uint64_t token, int64_t until_ms);
