#pragma once

#include "route/route.h"

/* State and helpers of the routing module; used only in route/.  */

/* health.probe_pos of a target without a scheduled probe.  */
#define NO_POSITION UINT32_MAX

/* The failure ratio covers this many buckets.  */
#define HEALTH_BUCKETS 10
#define HEALTH_BUCKET_US 1000000

/* Maximum number of targets in one scan of a group.  Bounds the cost of a
   choice whose samples found no good target, as in a full pool.  */
#define SCAN_MAX 64

/* Last load report of one peer about one target.  */
struct peer_load
{
  uint32_t peer;
  uint32_t in_flight;
  int64_t received_us;
};

/* Results of the attempts in HEALTH_BUCKET_US.  */
struct health_bucket
{
  uint32_t attempts;
  uint32_t failures;
};

/* Health of one target as seen by this process.  */
struct health
{
  struct health_bucket buckets[HEALTH_BUCKETS];
  int64_t newest_bucket; /* time of the newest bucket / HEALTH_BUCKET_US */
  uint32_t consecutive_failures; /* since the last answer */
  /* Ejections and failed probes since it was last in service for
     2 * eject_max_us.  */
  uint32_t ejection_count;
  uint32_t severity; /* of its failures at the ejection, per mille */
  bool ejected;
  bool probation; /* reinstated, but no answer yet */
  bool slow_start;
  bool probing;                /* a probe is open */
  int64_t backoff_until_us;    /* avoid attempts before this time */
  int64_t slow_start_begin_us; /* start of the last slow start */
  int64_t probe_due_us;
  int64_t probe_begin_us; /* start of the last probe */
  uint32_t probe_pos;     /* index in priv.probes, or NO_POSITION */
};

/* Entry of the target table.  */
struct target
{
  struct target_info info;
  struct target_handle handle;
  uint64_t rack_digest; /* hash of the rack's name; 0: unknown */
  bool listed;          /* in the current list of targets */
  bool marked_leaving;  /* by route_mark_leaving */
  struct group *group;  /* NULL while it is leaving or not listed */
  uint32_t group_pos;   /* index in group->indexes */

  uint32_t own_in_flight; /* attempts of this process */
  bool change_queued;     /* own_in_flight changed; listed in priv.changes */
  struct peer_load *peer_loads;
  uint32_t peer_load_count;
  uint32_t consecutive_refusals;
  int64_t full_until_us; /* counts as full until then, after a refusal */
  uint32_t reported_other_slots; /* slots that others use, by its report */
  int64_t report_valid_until_us;

  struct health health;
};

/* Targets of one pool in one data centre.  The first available_count targets
   take work; the rest are ejected.  */
struct group
{
  uint32_t pool;
  const char *data_centre; /* allocated with the groups */
  uint32_t *indexes;       /* into priv.targets */
  uint32_t target_count;
  uint32_t available_count;
};

struct priv
{
  struct route_settings settings;
  unsigned short rng[3]; /* state of nrand48 */
  int64_t last_call_us;  /* latest time that a caller passed */
  int64_t pause_end_us;  /* end of the latest pause of this process */

  struct target **targets; /* by index; never freed before route_fini */
  uint32_t capacity;
  uint32_t *free_indexes; /* unused entries of targets */
  uint32_t free_count;
  uint32_t *by_host; /* indexes of the listed targets, sorted by host */
  uint32_t listed_count;
  struct group *groups; /* sorted by pool and data centre */
  uint32_t group_count;

  uint32_t *probes; /* indexes of targets with a scheduled probe */
  uint32_t probe_count;
  uint32_t probe_cursor; /* where route_next_probe continues */
  uint32_t *changes;     /* indexes of targets with change_queued */
  uint32_t change_count;
};

/* target.c: the target table.  */

/* NULL when the handle no longer matches.  */
struct target *target_get (const struct priv *p, struct target_handle tgt);

/* NULL when there is no such group.  */
struct group *group_find (const struct priv *p, uint32_t pool,
                          const char *data_centre);

/* The target joins as one that takes work.  */
void group_add (struct priv *p, struct group *grp, struct target *t);
void group_remove (struct priv *p, struct target *t);

/* Moves the target to the ejected or to the working part of its group.  */
void group_set_ejected (struct priv *p, struct target *t, bool ejected);

/* Attempts of this process and others on the target; at least its slots while
   it counts as full after a refusal.  */
uint32_t target_in_flight (const struct priv *p, const struct target *t,
                           int64_t now_us);

/* Lists the target for route_take_load_changes.  */
void target_queue_change (struct priv *p, struct target *t);

/* Frees the entry of a target that is not listed and has no attempts.  */
void target_free_if_unused (struct priv *p, struct target *t);

/* health.c: passive health checking.  */

/* Called with the time of each call into the module, to detect pauses of this
   process.  */
void health_detect_pause (struct priv *p, int64_t now_us);

/* Slots that may be used now: one while the target is suspect, a growing part
   in slow start, else all.  */
uint32_t health_usable_slots (const struct priv *p, const struct target *t,
                              int64_t now_us);

/* Whether its last result was a failure, or it is on probation.  */
bool health_is_suspect (const struct target *t);

/* Whether attempts should wait for the end of the backoff.  */
bool health_is_backing_off (const struct target *t, int64_t now_us);

/* Failure ratio of the attempts in the window of HEALTH_BUCKETS.  */
uint32_t health_failures_per_mille (const struct target *t, int64_t now_us);
void health_record_result (struct priv *p, struct target *t,
                           enum attempt_result result, int64_t latency_us,
                           int64_t now_us);
void health_begin_slow_start (struct target *t, int64_t now_us);
void health_schedule_probe (struct priv *p, struct target *t, int64_t due_us);
void health_cancel_probe (struct priv *p, struct target *t);

/* Reinstates ejected targets while more of the group are ejected than
   max_ejected_pct allows.  */
void health_enforce_cap (struct priv *p, struct group *grp, int64_t now_us);

/* route.c: a random number below N, which is at least 1.  */
uint32_t route_random_below (struct priv *p, uint32_t n);
