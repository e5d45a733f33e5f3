#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Choice of a target for each attempt, from this process's own view and the
   peers' deltas, and passive health checking.  Pure decisions: the time and
   the seed come as arguments, nothing here does I/O.  */

#define ROUTE_NAME_MAX 64
#define ROUTE_CANDIDATES 3
#define ROUTE_AVOID_MAX 8

/* Index and generation into the target table; a handle of a target that was
   removed no longer matches.  */
struct target_handle
{
  uint32_t index;
  uint32_t generation;
};

/* A target as the host list and the pool assignment give it.  */
struct target_info
{
  char host[ROUTE_NAME_MAX];
  char address[ROUTE_NAME_MAX]; /* IP:PORT */
  char rack[ROUTE_NAME_MAX];
  char data_centre[ROUTE_NAME_MAX];
  uint32_t pool;
  uint32_t slots;
  bool leaving;
};

enum attempt_result
{
  ATTEMPT_ANSWERED,       /* whole answer, any status but 5xx */
  ATTEMPT_SERVER_ERROR,   /* whole answer, 5xx */
  ATTEMPT_GUARD_REFUSED,  /* refused before it started */
  ATTEMPT_CONNECT_FAILED, /* never sent */
  ATTEMPT_CUT,            /* sent, no whole or no matching answer */
  ATTEMPT_TIMEOUT,        /* sent, no answer in time */
  ATTEMPT_CANCELLED,      /* the caller left; says nothing of the target */
};

enum target_state
{
  TARGET_LIVE,
  TARGET_SLOW_START,
  TARGET_EJECTED,
  TARGET_LEAVING,
};

struct route_settings
{
  uint32_t candidates;        /* sampled for each choice */
  uint32_t eject_after;       /* consecutive failures */
  uint32_t eject_failure_pct; /* of a window's attempts */
  uint32_t max_ejected_pct;   /* of a pool's targets */
  int64_t eject_base_us;      /* first ejection; doubles up to the longest */
  int64_t eject_max_us;
  int64_t slow_start_us;
  int64_t peer_load_ttl_us; /* 2 s: a peer's delta that old is ignored */
  uint64_t seed;
};

extern const struct route_settings route_settings_default;

struct route_query
{
  uint32_t pool;
  const char *data_centre;                     /* only targets there */
  struct target_handle avoid[ROUTE_AVOID_MAX]; /* tried before */
  uint32_t avoid_count;
};

struct route_candidate
{
  struct target_handle target;
  uint32_t in_flight; /* own and the peers' */
  uint32_t slots;     /* after slow start */
};

/* What was chosen and what it was weighed against, for the decision log.  */
struct route_choice
{
  struct target_handle target;
  struct route_candidate candidates[ROUTE_CANDIDATES];
  uint32_t candidate_count;
};

struct route_pool_load
{
  uint32_t targets; /* that take new work */
  uint32_t slots;   /* of those, after slow start */
  uint32_t own;     /* this process's in-flight attempts */
  uint32_t peers;   /* the peers' last known */
};

struct route;

struct route_driver
{
  const char *name;
  int (*pick) (struct route *rt, const struct route_query *query,
               int64_t now_us, struct route_choice *out);
};

extern const struct route_driver route_least_loaded;
extern const struct route_driver route_random; /* baseline */

struct route
{
  const struct route_driver *drv;
  struct priv *priv;
};

/* Memory hangs on the talloc context PARENT until route_fini.  Returns 0,
   ERR_INVALID for a setting out of range, or ERR_NOMEM.  */
int route_init (struct route *rt, void *parent, const struct route_driver *drv,
                const struct route_settings *set);
void route_fini (struct route *rt);

/* Replaces the list of targets.  Returns 0, or leaves the list as it was and
   returns ERR_INVALID for an empty or unterminated name, ERR_EXISTS for a host
   listed twice, ERR_TOO_LARGE or ERR_NOMEM.  A target with the same host and
   address keeps its handle, load and health.  A removed one gets no new work;
   its handle stays valid for route_end until its last attempt ended.  */
int route_set_targets (struct route *rt, const struct target_info *infos,
                       size_t count, int64_t now_us);

/* NULL when the handle no longer matches.  */
const struct target_info *route_target (const struct route *rt,
                                        struct target_handle tgt);
enum target_state route_target_state (const struct route *rt,
                                      struct target_handle tgt,
                                      int64_t now_us);
int route_find (const struct route *rt, const char *host,
                struct target_handle *out);

/* Returns 0, ERR_FULL when every eligible target has its slots in use, or
   ERR_UNAVAILABLE when there is none.  At most 64 targets in a row are looked
   at after the samples; in a larger pool ERR_FULL means that all of these were
   full.  Failing targets are chosen only where no healthy one is full.
   ERR_INVALID: too many targets to avoid, or no data centre.  */
int route_pick (struct route *rt, const struct route_query *query,
                int64_t now_us, struct route_choice *out);

void route_begin (struct route *rt, struct target_handle tgt, int64_t now_us);

/* LATENCY_US: since route_begin.  SLOTS_IN_USE: what the target said while it
   counted this attempt, or -1.  */
void route_end (struct route *rt, struct target_handle tgt,
                enum attempt_result result, int64_t latency_us,
                int32_t slots_in_use, int64_t now_us);

/* The target itself, a peer or the host list says that it is leaving.  */
void route_mark_leaving (struct route *rt, struct target_handle tgt,
                         int64_t now_us);

/* In-flight attempts of peer PEER (a small number) on the target.  */
void route_peer_load (struct route *rt, uint32_t peer,
                      struct target_handle tgt, uint32_t in_flight,
                      int64_t now_us);

/* A peer ejected the target or took it back.  Counts as a hint: it makes a
   probe due, it does not eject by itself.  */
void route_peer_health (struct route *rt, struct target_handle tgt,
                        bool ejected, int64_t now_us);

/* The next ejected target that is due for a probe and counts as being probed
   until route_probe_done.  Returns false when none is due.  Targets that a
   peer ejected and those that said they are leaving are due as well.  Call it
   every 100 ms until it gives false: a silence of more than 300 ms in all
   calls counts as a pause of this process, and attempts and probes that were
   open then and got no answer count as no failure.  */
bool route_next_probe (struct route *rt, int64_t now_us,
                       struct target_handle *out);
void route_probe_done (struct route *rt, struct target_handle tgt,
                       bool healthy, int64_t now_us);

/* Sums over the pool's targets in all data centres of the list.  */
void route_pool_load (const struct route *rt, uint32_t pool, int64_t now_us,
                      struct route_pool_load *out);

/* Own in-flight count of each target that changed since the last call, for
   the deltas to the peers.  Returns how many were written, at most MAX.  */
size_t route_take_changes (struct route *rt, struct route_candidate *out,
                           size_t max);

const char *attempt_result_name (enum attempt_result result);
const char *target_state_name (enum target_state state);
