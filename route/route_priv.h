#pragma once

#include "route/route.h"

/* State shared by the files of route/ and by nothing else.  */

#define NO_POSITION UINT32_MAX

#define HEALTH_BUCKETS 10
#define HEALTH_BUCKET_US 1000000

/* Longest part of a pool that one choice looks at after its samples gave
   nothing; it bounds the cost of a choice in a full pool.  */
#define SCAN_MAX 64

struct peer_load
{
  uint32_t peer;
  uint32_t in_flight;
  int64_t at_us;
};

struct health_bucket
{
  uint32_t attempts;
  uint32_t failures;
};

struct health
{
  struct health_bucket buckets[HEALTH_BUCKETS];
  int64_t newest_bucket;
  uint32_t consecutive; /* failures since the last answer */
  uint32_t ejections;   /* since it was last healthy for long */
  uint32_t badness;     /* failures per mille when it was ejected */
  bool ejected;
  bool probation; /* returned, no answer yet */
  bool slow_start;
  bool probing;
  int64_t backoff_until_us; /* preferably no attempt before */
  int64_t returned_us;      /* start of the slow start */
  int64_t probe_due_us;
  int64_t probed_us;
  uint32_t probe_pos; /* in priv.probes, or NO_POSITION */
};

struct target
{
  struct target_info info;
  struct target_handle handle;
  uint64_t rack; /* digest of the rack's name, 0: none */
  bool listed;
  bool marked_leaving; /* by the target or a peer, ahead of the list */
  struct group *group; /* NULL while it is leaving or not listed */
  uint32_t pos;        /* in group.members */

  uint32_t own;
  bool changed;
  struct peer_load *peers;
  uint32_t peer_count;
  uint32_t refusals; /* in a row */
  int64_t full_until_us;
  uint32_t reported_others; /* slots in use beyond the own ones */
  int64_t reported_until_us;

  struct health health;
};

/* Targets of one pool in one data centre.  Members before READY take work;
   the ejected ones follow.  */
struct group
{
  uint32_t pool;
  const char *data_centre; /* of the group's own copy */
  uint32_t *members;
  uint32_t count;
  uint32_t ready;
};

struct priv
{
  struct route_settings set;
  unsigned short rng[3]; /* of nrand48 */
  int64_t last_us;       /* latest time seen */
  int64_t pause_end_us;  /* end of the latest pause of this process */

  struct target **targets; /* by index; never freed before route_fini */
  uint32_t capacity;
  uint32_t *free_slots;
  uint32_t free_count;
  uint32_t *by_host; /* listed targets, sorted by host */
  uint32_t listed;
  struct group *groups; /* sorted by pool and data centre */
  uint32_t group_count;

  uint32_t *probes; /* targets that wait for a probe */
  uint32_t probe_count;
  uint32_t probe_cursor;
  uint32_t *changes; /* targets whose own count changed */
  uint32_t change_count;
};

/* target.c */
struct target *target_get (const struct priv *p, struct target_handle tgt);
struct group *group_find (const struct priv *p, uint32_t pool,
                          const char *data_centre);
void group_add (struct priv *p, struct group *grp, struct target *t);
void group_remove (struct priv *p, struct target *t);
void group_place (struct priv *p, struct target *t, bool ejected);
uint32_t target_in_flight (const struct priv *p, const struct target *t,
                           int64_t now_us);
void target_note_change (struct priv *p, struct target *t);
void target_free_if_unused (struct priv *p, struct target *t);

/* health.c */
void health_note_time (struct priv *p, int64_t now_us);
uint32_t health_slots (const struct priv *p, const struct target *t,
                       int64_t now_us);
bool health_is_suspect (const struct target *t);
bool health_is_backing_off (const struct target *t, int64_t now_us);
uint32_t health_failures_per_mille (const struct target *t, int64_t now_us);
void health_result (struct priv *p, struct target *t,
                    enum attempt_result result, int64_t latency_us,
                    int64_t now_us);
void health_start_slowly (struct target *t, int64_t now_us);
void health_schedule_probe (struct priv *p, struct target *t, int64_t due_us);
void health_cancel_probe (struct priv *p, struct target *t);
void health_enforce_cap (struct priv *p, struct group *grp, int64_t now_us);

/* route.c: a number below N, which is at least 1.  */
uint32_t route_random_below (struct priv *p, uint32_t n);
