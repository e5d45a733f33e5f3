#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Selects a target for each attempt, based on this process's own attempts and
   the load that its peers report, and checks the health of targets passively,
   by the results of attempts.  An instance belongs to one traffic thread.  It
   does no I/O: the caller passes the time, in us of one monotonic clock, and
   the random seed.  */

#define ROUTE_NAME_SIZE 64 /* bytes, with the terminating NUL */
#define ROUTE_CANDIDATES 3
#define ROUTE_AVOID_MAX 8

/* Index into the target table and generation of the entry.  The generation
   changes when the entry is reused, so the handle of a removed target no
   longer matches.  */
struct target_handle
{
  uint32_t index;
  uint32_t generation;
};

/* A target as described by the host list and the pool assignment.  */
struct target_info
{
  char host[ROUTE_NAME_SIZE];
  char address[ROUTE_NAME_SIZE]; /* IP:PORT */
  char rack[ROUTE_NAME_SIZE];    /* empty: unknown */
  char data_centre[ROUTE_NAME_SIZE];
  uint32_t pool;
  uint32_t slots; /* attempts that it runs at a time */
  bool leaving;   /* gets no new work */
};

enum attempt_result
{
  ATTEMPT_ANSWERED,        /* complete answer, any status but 5xx */
  ATTEMPT_SERVER_ERROR,    /* complete answer, 5xx */
  ATTEMPT_TARGET_REFUSED,  /* the target refused it before it started */
  ATTEMPT_CONNECT_FAILED,  /* nothing was sent */
  ATTEMPT_NO_VALID_ANSWER, /* sent, but no complete and valid answer */
  ATTEMPT_TIMEOUT,         /* sent, no answer in time */
  ATTEMPT_CANCELLED,       /* the caller disconnected; not a failure */
};

enum target_state
{
  TARGET_LIVE,
  TARGET_SLOW_START, /* in slow start or on probation */
  TARGET_EJECTED,    /* gets no work while others are available */
  TARGET_LEAVING,    /* leaving or no longer listed; gets no new work */
};

struct route_settings
{
  uint32_t candidates;                 /* targets sampled for each choice */
  uint32_t eject_consecutive_failures; /* failures in a row that eject */
  uint32_t eject_failure_pct;          /* recent failure ratio that ejects */
  uint32_t max_ejected_pct;            /* of the targets of a group, at most */
  int64_t eject_base_us;    /* duration of the first ejection; then doubles */
  int64_t eject_max_us;     /* longest ejection */
  int64_t slow_start_us;    /* duration of the slow start */
  int64_t peer_load_ttl_us; /* age at which a peer's load report expires;
                               default 2 s */
  uint64_t seed;            /* of the random generator */
};

extern const struct route_settings route_settings_default;

struct route_query
{
  uint32_t pool;
  const char *data_centre; /* of the targets to choose from */
  struct target_handle avoid[ROUTE_AVOID_MAX]; /* already tried */
  uint32_t avoid_count;
};

struct route_candidate
{
  struct target_handle target;
  uint32_t in_flight; /* attempts of this process and its peers */
  uint32_t slots;     /* usable now; fewer in slow start */
};

/* The chosen target and the candidates that it was compared with, for the
   decision log.  */
struct route_choice
{
  struct target_handle target;
  struct route_candidate candidates[ROUTE_CANDIDATES];
  uint32_t candidate_count;
};

struct route_pool_load
{
  uint32_t targets;       /* targets that take new work */
  uint32_t slots;         /* their usable slots; fewer in slow start */
  uint32_t own_attempts;  /* in-flight attempts of this process */
  uint32_t peer_attempts; /* the same of the peers, as last reported */
};

struct route;

/* Routing policy.  Production uses route_least_loaded.  */
struct route_policy
{
  const char *name;
  int (*pick) (struct route *rt, const struct route_query *query,
               int64_t now_us, struct route_choice *out);
};

extern const struct route_policy route_least_loaded;
extern const struct route_policy route_random; /* baseline for tests */

struct route
{
  const struct route_policy *policy;
  struct priv *priv;
};

/* Returns 0, ERR_INVALID for a setting out of range, or ERR_NOMEM.  The state
   is allocated under the talloc context PARENT and freed by route_fini.  */
int route_init (struct route *rt, void *parent,
                const struct route_policy *policy,
                const struct route_settings *set);
void route_fini (struct route *rt);

/* Replaces the list of targets.  Returns 0, or leaves the list unchanged and
   returns ERR_INVALID for an empty or unterminated name, ERR_EXISTS for a host
   that is listed twice, ERR_TOO_LARGE or ERR_NOMEM.  A target with the same
   host and address keeps its handle, load and health.  A removed target gets
   no new work; its handle stays valid for route_attempt_end until its last
   attempt has ended.  */
int route_set_targets (struct route *rt, const struct target_info *infos,
                       size_t count, int64_t now_us);

/* Valid until the next route_set_targets.  NULL when the handle no longer
   matches.  */
const struct target_info *route_target_info (const struct route *rt,
                                             struct target_handle tgt);

/* TARGET_LEAVING when the handle no longer matches.  */
enum target_state route_target_state (const struct route *rt,
                                      struct target_handle tgt,
                                      int64_t now_us);

/* Finds a listed target by its host.  Returns 0 or ERR_NOT_FOUND.  */
int route_find_target (const struct route *rt, const char *host,
                       struct target_handle *out);

/* Chooses a target for the next attempt.  Returns 0, ERR_FULL when all slots
   of every eligible target are in use, ERR_UNAVAILABLE when no target is
   eligible, or ERR_INVALID for too many targets to avoid or no data centre.
   After the samples it examines at most 64 targets; in a larger pool ERR_FULL
   means that these were full.  A failing target is chosen only when no
   healthy one was found, not even a full one.  */
int route_pick (struct route *rt, const struct route_query *query,
                int64_t now_us, struct route_choice *out);

/* Counts an attempt as in flight on the target.  */
void route_attempt_begin (struct route *rt, struct target_handle tgt,
                          int64_t now_us);

/* Ends an attempt.  LATENCY_US: time since route_attempt_begin.  SLOTS_IN_USE:
   slots in use as reported by the target, this attempt included, or -1 without
   a report.  */
void route_attempt_end (struct route *rt, struct target_handle tgt,
                        enum attempt_result result, int64_t latency_us,
                        int32_t slots_in_use, int64_t now_us);

/* Stops new work for a target that is reported as leaving, ahead of the host
   list.  Probes find out whether it takes work again.  */
void route_mark_leaving (struct route *rt, struct target_handle tgt,
                         int64_t now_us);

/* Records the in-flight attempts of a peer on the target.  PEER is the
   number of the peer.  */
void route_peer_load (struct route *rt, uint32_t peer,
                      struct target_handle tgt, uint32_t in_flight,
                      int64_t now_us);

/* A peer has ejected the target or reinstated it.  This is only a hint: it
   schedules a probe but does not change the state of the target.  */
void route_peer_health (struct route *rt, struct target_handle tgt,
                        bool ejected, int64_t now_us);

/* Stores the next target that is due for a probe in OUT; its probe is open
   until route_probe_done.  Returns false when none is due.  Probes go to
   ejected targets, to targets that a peer ejected or reinstated, and to those
   marked as leaving.  Call it every 100 ms until it returns false.  When no
   function of this module is called for more than 300 ms, the process was
   paused: attempts and probes that were open during the pause and got no
   answer do not count as failures.  */
bool route_next_probe (struct route *rt, int64_t now_us,
                       struct target_handle *out);

/* HEALTHY: whether the target answered the probe as a healthy one.  */
void route_probe_done (struct route *rt, struct target_handle tgt,
                       bool healthy, int64_t now_us);

/* Sums over the targets of the pool that take work, in all data centres.  */
void route_pool_load (const struct route *rt, uint32_t pool, int64_t now_us,
                      struct route_pool_load *out);

/* Writes the targets whose number of attempts in flight from this process
   changed since the last call, for the load deltas to the peers.  In OUT,
   in_flight is that number and slots are all slots of the target.  Returns how
   many were written, at most MAX; the rest stays for the next call.  */
size_t route_take_load_changes (struct route *rt, struct route_candidate *out,
                                size_t max);

const char *attempt_result_name (enum attempt_result result);
const char *target_state_name (enum target_state state);
