#pragma once

#include <uthash.h>

#include "fleet/catalog.h"
#include "fleet/host_link.h"

/* Controls the maintenance of hosts and their moves between pools.  It runs in
   the process that holds the duty for the fleet, on that process's event-loop
   thread.  Its inputs are the platform's list of hosts, the operators'
   maintenance waves, the demand of the pools and the hosts vacated, as
   reported by the pools' owners, and the answers to its own orders.  It does
   no I/O: it acts through host_mgr_ops.

   An operation on a host is a maintenance or a move.  It takes these steps:
   the owner of the host's pool is asked to vacate the host, that is, to end
   the tasks on it and to start no others; when the owner reports the host as
   empty, the platform is ordered to carry out the operation; when the host is
   up with a new worker, the operation is complete.

   Load pattern: load peaks of several times the mean move from queue to queue.
   Idle hosts go to a pool that is short of hosts, or else to the spare pool,
   where they cost nothing; maintenance takes idle hosts first.  */

#define HOST_MGR_HOSTS_MAX 4096
#define HOST_MGR_POOLS_MAX 64
#define HOST_MGR_WAVES_MAX 32

enum host_mgr_op
{
  OP_NONE,
  OP_MAINTENANCE,
  OP_MOVE,
};

/* Progress of the operation on a host.  */
enum host_phase
{
  PHASE_NONE,     /* no operation */
  PHASE_VACATING, /* the owner of the host's pool was asked to vacate it */
  PHASE_EMPTY,    /* the host is empty; the order may be sent */
  PHASE_ORDERED,  /* the order was sent and has no final answer yet */
  PHASE_AWAITING_WORKER, /* carried out; waiting for the host's new worker */
};

struct mgr_host
{
  struct host_report rep;
  bool listed;       /* in the newest list of hosts */
  int64_t listed_us; /* when the last list that contained it was requested */
  enum host_mgr_op current_op;
  enum host_phase phase;
  int64_t phase_began_us;     /* when the phase began */
  int64_t op_began_us;        /* when the operation began */
  int64_t grace_ms;           /* for the tasks there, if it is being vacated */
  uint64_t wave;              /* number of the wave, for maintenance */
  char dest_pool[NAME_BYTES]; /* destination pool of a move */
  uint64_t request_offset; /* log offset of the request to vacate the host; 0:
                              not known yet */
  uint64_t early_report_offset; /* request of a report of the owner that was
                                   read before the request; 0: none */
  bool early_refused;           /* that report is a refusal */
  char early_reason[NAME_BYTES];
  uint32_t refusals;        /* successive requests that ended with a refusal or
                               without an answer */
  int64_t refused_pause_us; /* length of the last pause after one; 0: none
                               since its pool got a host */
  int64_t refused_until_us; /* it is not asked for again before this time */
  uint32_t refused_remained;        /* pool_row.remain at the last refusal */
  char previous_worker[NAME_BYTES]; /* id of the worker before the order */
  bool order_in_flight;             /* an order has no answer yet */
  bool order_busy; /* by the last answer, the host cannot be ordered now */
  int64_t next_order_us;     /* no order is sent before this time */
  int64_t cooldown_until_us; /* no other operation begins before this time */
  int64_t idle_since_us;     /* since when its pool reports it as idle; 0: it
                             does not */
  bool reported_idle; /* scratch: reported as idle in the demand being read */
  bool wave_pending;  /* an unfinished wave still has to maintain the host */
  uint32_t pool_row;  /* of its pool in the present step */
};

/* Entry of the hash table that maps a host's name to its index in the array of
   hosts.  */
struct host_index
{
  UT_hash_handle hh;
  char name[NAME_BYTES];
  size_t index;
};

struct mgr_pool
{
  char name[NAME_BYTES];
  uint32_t short_hosts;  /* hosts that the pool lacks */
  uint32_t urgent_hosts; /* those for work that can be done in time */
  uint32_t
      needed_hosts; /* those without which perpetual tasks have no place */
  uint32_t placeless_hosts;      /* those of them for tasks that have no run */
  char needed_label[NAME_BYTES]; /* that these must have; "": any */
  int64_t needed_since_us; /* since when it needs hosts; 0: it does not */
  /* In the present step, needed hosts for which none is taken for other work:
     they have just arrived, or none with their label is on its way.  */
  uint32_t set_aside;
  char (*idle)[NAME_BYTES];
  size_t idle_count;
  uint32_t busy_milli;     /* share of its processors in use, in thousandths */
  int64_t demand_us;       /* when the last demand was received */
  int64_t next_awaited_us; /* when its need may be reported again */
};

/* What a step needs to know of the hosts of a pool.  It is computed once in a
   step: with 1,100 hosts and a wave of 570, a step that counted anew for each
   host took a second.  */
struct pool_row
{
  const char *name;
  bool spare;
  const struct mgr_pool *demand; /* NULL: no demand was received */
  uint32_t all;
  uint32_t down;
  uint32_t unavailable; /* in an operation or not up */
  uint32_t remain;      /* up, and their tasks were not moved away for an
                           operation */
};

struct mgr_wave
{
  uint64_t number;
  struct maintenance_wave *wave;
  bool *done; /* by index of the wave's hosts: needs no more maintenance */
  size_t done_count;
  struct mgr_host **hosts; /* by index, in the present step; NULL: unknown */
  uint32_t down;           /* in the present step: hosts that are or may be in
                              maintenance or down */
  uint32_t unlisted;       /* of the others, those that may be down according
                              to the progress of earlier holders */
  bool completed;
  bool running_reported; /* its start was reported through wave_state */
  int64_t received_us;   /* when the wave was received */
};

/* Progress that was read before the wave to which it belongs.  */
struct early_progress
{
  uint64_t wave;
  char host[NAME_BYTES]; /* host that has had its maintenance */
};

struct host_mgr_ops
{
  /* Asks the owner of HOST's pool to vacate it.  Tasks that still run there
     after GRACE_MS are stopped.  */
  void (*vacate) (void *arg, struct mgr_host *host, int64_t grace_ms);
  /* Withdraws the request to vacate HOST.  */
  void (*withdraw) (void *arg, struct mgr_host *host);
  /* Tells that HOST's operation ends AFTER_US after its begin without having
     been carried out, and why; KEPT_FOR is the owner's reason if it refused
     to vacate the host, else empty.  */
  void (*vacate_over) (void *arg, const struct mgr_host *host,
                       const char *reason, const char *kept_for,
                       int64_t after_us);
  /* Orders the platform to carry out HOST's operation.  The answer goes to
     host_mgr_order_answered.  */
  void (*order) (void *arg, struct mgr_host *host);
  /* Records the wave's progress and reports its state to the operators.  */
  void (*wave_state) (void *arg, struct mgr_wave *wave);
  void *arg;
};

struct host_mgr
{
  struct mgr_host *hosts;
  size_t host_count;
  struct host_index *by_name;
  struct mgr_pool pools[HOST_MGR_POOLS_MAX];
  size_t pool_count;
  struct pool_row rows[HOST_MGR_POOLS_MAX + 1]; /* the last one: of all pools
                                                   beyond the limit */
  uint32_t row_count;
  struct mgr_wave waves[HOST_MGR_WAVES_MAX];
  size_t wave_count;
  struct early_progress *early_progress;
  size_t early_count;
  const struct catalog *cat; /* set by the caller; NULL: not known yet */
  /* Set by the caller: a list that was requested before this time may not show
     maintenance that an earlier holder of the duty has ordered.  */
  int64_t maintenance_listed_from_us;
  int64_t answered_us; /* when the platform last answered an order */
  struct host_mgr_ops ops;
};

void host_mgr_init (struct host_mgr *mgr, void *parent,
                    const struct host_mgr_ops *ops);
void host_mgr_fini (struct host_mgr *mgr);

/* Takes a list of hosts that was requested at ASKED_US.  Returns 0, or
   ERR_NOMEM without memory or when a host would exceed HOST_MGR_HOSTS_MAX.  */
int host_mgr_set_hosts (struct host_mgr *mgr, void *parent,
                        const struct host_list *list, int64_t asked_us);

struct pool_demand
{
  const char *pool;
  uint32_t short_hosts;     /* hosts that the pool lacks */
  uint32_t urgent_hosts;    /* those for work that can be done in time */
  uint32_t needed_hosts;    /* those without which perpetual tasks have no
                               place */
  uint32_t placeless_hosts; /* those of them for tasks that have no run */
  const char *needed_label; /* that these must have; "" or NULL: any */
  char (*idle)[NAME_BYTES]; /* hosts that the pool can give up; a talloc
                               array */
  size_t idle_count;
  uint32_t busy_milli; /* share of its processors in use, in thousandths */
};

/* Takes the demand of a pool, as reported by its owner, and takes ownership of
   DEM->idle.  A demand of a new pool beyond HOST_MGR_POOLS_MAX is ignored.  */
void host_mgr_set_demand (struct host_mgr *mgr, const struct pool_demand *dem,
                          int64_t now_us);

/* Adds a maintenance wave and takes ownership of WAVE, a talloc context.  A
   wave that is known already or exceeds HOST_MGR_WAVES_MAX is ignored.  */
void host_mgr_add_wave (struct host_mgr *mgr, void *parent,
                        struct maintenance_wave *wave, int64_t now_us);

/* Takes progress that an earlier holder of the duty recorded: HOST has had the
   maintenance of the wave NUMBER.  It may be read before the wave itself.  */
void host_mgr_add_progress (struct host_mgr *mgr, void *parent,
                            uint64_t number, const char *host);

/* Takes the report of a pool's owner that HOST is empty.  OFFSET is the log
   offset of the request to vacate that it answers; the report counts only for
   the newest request.  */
void host_mgr_host_emptied (struct host_mgr *mgr, const char *host,
                            uint64_t offset, int64_t now_us);

/* Takes the report of a pool's owner that it refuses the request with the log
   offset OFFSET to vacate HOST, and uses the host.  The operation ends if the
   request is the newest one and the host was not reported as empty.  */
void host_mgr_host_refused (struct host_mgr *mgr, const char *host,
                            uint64_t offset, const char *reason,
                            int64_t now_us);

/* The request to vacate HOST was read back from the log, at OFFSET.  */
void host_mgr_request_read (struct host_mgr *mgr, struct mgr_host *host,
                            uint64_t offset, int64_t now_us);

/* Tells that POOL has a new owner.  It may have placed tasks on a host that an
   earlier owner reported as empty, so such hosts have to be reported again
   before an order is sent.  */
void host_mgr_owner_changed (struct host_mgr *mgr, const char *pool,
                             int64_t now_us);

/* Takes the platform's answer to the order for HOST.  */
void host_mgr_order_answered (struct host_mgr *mgr, struct mgr_host *host,
                              enum host_order_status status, int64_t now_us);

/* Starts and continues the operations that are due; to be called
   periodically.  Returns whether an operation or a wave is in progress.  */
bool host_mgr_step (struct host_mgr *mgr, int64_t now_us);

/* What the hosts of a wave that are still to be maintained wait for.  */
enum wave_wait
{
  WAIT_VACATING,   /* for the owner of their pool to vacate them */
  WAIT_EMPTY,      /* empty; for other hosts of the wave to return */
  WAIT_ORDERED,    /* for the platform */
  WAIT_MOVE,       /* for the end of their move */
  WAIT_NOT_UP,     /* not up, in no operation */
  WAIT_REFUSED,    /* for the end of the pause after a refusal */
  WAIT_COOLING,    /* for the end of COOLDOWN_US */
  WAIT_POOL_LIMIT, /* too many hosts of their pool are not available */
  WAIT_PACE,       /* for the wave itself to begin more */
  WAIT_COUNT,
};

/* Counts the wave's hosts by what they wait for, as of the last step.  */
void host_mgr_count_waits (const struct host_mgr *mgr,
                           const struct mgr_wave *wave, int64_t now_us,
                           uint32_t waits[WAIT_COUNT]);

/* What keeps a host from being taken for what a pool needs.  */
enum host_obstacle
{
  OBSTACLE_NONE_SPARE, /* nothing; it is in the spare pool */
  OBSTACLE_NONE_IDLE,  /* nothing; its pool reports it as idle */
  OBSTACLE_IN_USE,     /* its pool uses it */
  OBSTACLE_NOT_UP,     /* it is not up */
  OBSTACLE_OPERATION,  /* its maintenance, or a move to another pool */
  OBSTACLE_COOLING,    /* COOLDOWN_US */
  OBSTACLE_REFUSED,    /* the pause after a refusal */
  OBSTACLE_LABEL,      /* it lacks the label */
  OBSTACLE_COUNT,
};

/* A pool whose perpetual tasks wait for a host.  */
struct awaited_report
{
  const struct mgr_pool *pool;
  int64_t for_us; /* for how long it has needed hosts */
  uint32_t kept;  /* its hosts that its owner refused to vacate: as many of the
                     hosts are needed to give these up */
  uint32_t incoming; /* hosts with the label on their way, or just arrived */
  uint32_t late;     /* those of them that may not come */
  const struct mgr_host *host;        /* the first of them; NULL: none */
  uint32_t obstacles[OBSTACLE_COUNT]; /* of the other pools' hosts */
};

/* Returns whether the need of a pool is to be reported, and describes it in
   REP as of the last step.  To be called until it returns false.  */
bool host_mgr_next_awaited (struct host_mgr *mgr, int64_t now_us,
                            struct awaited_report *rep);

/* Returns NULL for an unknown host.  The pointer is valid until the next call
   of host_mgr_set_hosts.  */
struct mgr_host *host_mgr_find (const struct host_mgr *mgr, const char *host);
