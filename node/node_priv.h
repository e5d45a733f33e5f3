#pragma once

#include <tevent.h>
#include <uthash.h>

#include "base/clock.h"
#include "base/counter.h"
#include "base/log.h"
#include "base/timer.h"
#include "fleet/host_mgr.h"
#include "job/job_table.h"
#include "job/state_view.h"
#include "member/common_clock.h"
#include "member/duty.h"
#include "member/roster.h"
#include "node/node.h"
#include "platform/wire_fleet.h"
#include "platform/wire_front.h"
#include "platform/wire_store.h"
#include "platform/wire_worker.h"
#include "proto/job.pb-c.h"
#include "sched/admission.h"
#include "sched/placer.h"
#include "store/appender.h"
#include "store/follower.h"

/* State of the scheduler process, shared by the files of node/.  It belongs to
   the process's only thread.  Times in fields named _us are monotonic unless
   the field says otherwise.  */

#define TOPIC_JOBS "keyed.jobs"
#define TOPIC_MEMBERS "keyed.members"
/* Duty claims have a topic of their own: a claim is appended only if nothing
   was appended since the last read, and the members' frequent reports in the
   same topic would make these appends fail.  */
#define TOPIC_DUTIES "keyed.duties"
/* Vacate requests, reports on them and demands.  The first partition has the
   requests and the progress of maintenance waves, from the holder of the fleet
   duty.  The others have the reports of the pools' owners, each pool's in one
   partition, and only the holder reads them.  They are spread because a slow
   store processes the appends to one partition one after the other.  */
#define TOPIC_FLEET "keyed.fleet"
/* States of jobs and summaries of pools, from the pools' owners.  */
#define TOPIC_STATES "keyed.states"
/* First character of the key of a wave's progress.  */
#define WAVE_PROGRESS_KEY 'n'
/* The fleet duty: maintenance of hosts and their moves between pools.  All
   other duties are named after their pool, and no pool has this name.  */
#define DUTY_FLEET "@fleet"
/* Key prefix of the fence that each new owner of a pool appends to the pool's
   partition; the value is the owner's token in decimal digits.  */
#define FENCE_PREFIX "f/"
#define TOKEN_TEXT_BYTES 24
/* Age beyond which the known state of the jobs is out of date.  A read without
   new records takes 1 s, and its result is as old as the read's start.  */
#define VIEW_AGE_MAX_US 3000000
/* Longest delay after a failed read of the records that have to take effect
   within 2 s: the configuration, the duties and, in the owner of a pool, its
   jobs.  */
#define URGENT_RETRY_MAX_MS 400
/* Time-out of these reads, and of those whose age decides whether a request is
   answered, beyond the time that the store may wait.  A connection that a cut
   has silenced is noticed only by it.  */
#define URGENT_TIMEOUT_MS 400
/* Shortest time between reads of workers' reports, and between reads of vacate
   requests, in a process that holds a duty.  Workers report every 1.5 s, and
   acting on a changed report may take up to 2 s.  */
#define DIRECTORY_BATCH_DELAY_MS 120
#define FLEET_BATCH_DELAY_MS 20
/* First character of the keys of claims and of releases.  A release has a key
   of its own, so that one which is appended late does not replace a later
   claim as the newest record of its key.  Claims are read first, as newest
   records are read in the order of their keys.  */
#define CLAIM_KEY 'd'
#define RELEASE_KEY 'r'
/* Number of fencing tokens that belong to a claim of a pool: commands to a
   worker get a higher one for each of its instances that the owner learns of.
   Records of this key, without a value, take the offsets of those after the
   first one, so that no later claim has one of them.  The store drops the key,
   and versions that do not know it ignore it.  */
#define TOKENS_RESERVED 64
#define TOKEN_KEY "t"
#define DUTY_KEY_BYTES (NAME_BYTES + 2)
/* Most keys of odd entries that are logged.  */
#define ODD_ENTRIES_MAX 64
#define REFUSED_TOKENS_MAX 16
/* Counters of the line store.usage.  */
#define NODE_USAGE_COUNTERS 13
#define PRODUCER_BYTES (NAME_BYTES + 32)

struct node;

/* One partition of the job topic.  Holds the records of all pools whose names
   hash to it.  */
struct job_partition
{
  struct node *nod;
  uint32_t part;
  struct follower fol; /* open in controllers only */
  int64_t followed_us; /* when it was opened */
  bool read_logged;    /* that its end was reached since */
  struct appender app; /* for the jobs and cancellations of clients */
};

/* The last report of a worker.  */
struct worker_entry
{
  UT_hash_handle hh;
  struct worker_report rep;
  uint64_t fingerprint; /* of the report; see wire_worker_fingerprint */
};

/* The newest record of the workers on which the owners of a pool may have
   started tasks.  */
struct pool_workers
{
  UT_hash_handle hh;
  char pool[NAME_BYTES];
  uint8_t *data; /* a packed PoolWorkers message */
  size_t len;
  int64_t read_us; /* monotonic time at which it was read */
};

/* The share of new jobs that the owner of a pool accepts, as it has reported;
   there is none while it accepts all.  */
struct pool_admission
{
  UT_hash_handle hh;
  char pool[NAME_BYTES];
  char owner[NAME_BYTES];
  uint32_t accept_permille;
  int64_t retry_after_ms;
  int64_t read_us;
};

enum held_duty_phase
{
  HELD_DUTY_FENCING, /* the fence against earlier owners is being appended */
  HELD_DUTY_CATCHING_UP, /* records before the fence are being read */
  HELD_DUTY_ACTIVE,      /* the placer runs */
};

/* The duty for a pool that this process holds, as the pool's owner.  */
struct held_duty
{
  struct held_duty *next;
  struct node *nod;
  char pool[NAME_BYTES];
  uint64_t token;       /* fencing token, from the offset of the claim */
  uint32_t token_count; /* see struct duty */
  struct job_partition *prt;
  struct appender app;   /* for the owner's records; its epoch is the token */
  uint64_t fence_offset; /* APPENDER_OFFSET_UNKNOWN before it is known */
  bool fence_read;       /* the fence was read from the log */
  enum held_duty_phase phase;
  struct placer *plc;  /* NULL before HELD_DUTY_ACTIVE */
  struct timer *timer; /* of the placer's next tick */
  int64_t timer_us;    /* when the timer is due */
  int64_t tick_ended_us;
  int64_t tick_duration_us; /* of the last tick */
  bool refused; /* the store takes no more appends under the token */
  /* Reports to the holder of the fleet duty, and the last demand in them.  */
  struct appender report_app;
  int64_t demand_sent_us;
  int64_t next_demand_us; /* the demand is not computed before this time */
  int64_t withheld_us;    /* when it was first computed */
  uint32_t sent_short_hosts;
  uint32_t sent_urgent_hosts;
  uint32_t sent_needed_hosts;
  uint32_t sent_placeless_hosts;
  char sent_needed_label[NAME_BYTES];
  size_t sent_idle_count;
  /* The requests to vacate hosts of this pool, as of the given numbers of
     changes to all requests and to the pool's workers.  */
  struct vacate_request **vacating;
  size_t vacating_count;
  uint64_t vacating_request_changes;
  uint64_t vacating_worker_changes;
  int64_t vacating_us;      /* when they were looked up */
  struct admission adm;     /* of new jobs */
  uint32_t logged_permille; /* its share as last logged */
  /* Publication of the jobs' states to entry processes.  */
  struct appender states_app;
  int64_t next_rivals_us; /* jobs stored twice are not checked before */
  uint64_t *changed_jobs; /* ids of jobs whose state was not published */
  size_t changed_count;
  bool note_missing;      /* CHANGED_JOBS lacks a job, for want of memory */
  bool summary_in_flight; /* the last summary is being appended */
  uint64_t summary_number;
  int64_t summary_sent_us;
  int64_t summary_delay_us; /* from then until it was appended */
  int64_t states_sent_us;
};

struct node
{
  const struct node_settings *set;
  struct tevent_context *ev;
  struct common_clock common;
  const struct clock *clk; /* COMMON */
  struct logger *lg;
  struct counters ctr;
  struct http_client cli; /* for the store and the host API */
  struct post_client worker_cli;
  struct wire_store store;
  struct wire_worker worker_link;
  struct wire_fleet fleet_link;
  struct fleet_duty *flt;
  struct wire_front *frt;
  /* With the name it identifies this run of the process.  Its upper bits are
     the wall clock in ms at the start, its lower ones random; it is raised if
     an earlier run had a higher value.  */
  uint64_t boot;
  /* Random, and never changed.  Part of the names of this run's producers: the
     store answers an append under a name that an earlier run used as a repeat
     of that run's append.  */
  uint64_t run_id;
  int64_t started_us;

  struct catalog *cat;     /* NULL: no configuration read yet */
  int64_t first_config_us; /* when the first one was read */
  /* The names of the pools that have a queue, as of the configuration
     POOLS_CAT with POOLS_VERSION; see node_queue_pools.  */
  const char **queue_pools;
  size_t queue_pool_count;
  const struct catalog *pools_cat;
  uint64_t pools_version;
  size_t pools_queues;
  struct follower operator_fol;   /* configuration and maintenance waves */
  struct follower directory_fol;  /* workers' reports; open in controllers
                                     only */
  struct worker_entry *directory; /* by worker id */
  /* Keys under which the workers' topic had an entry that is not a worker's.
     Each is logged once.  */
  char odd_entries[ODD_ENTRIES_MAX][NAME_BYTES];
  size_t odd_entry_count;

  struct job_table jobs;
  struct job_partition **job_partitions; /* by number; NULL: not open */
  struct pool_workers *pool_workers;     /* by pool */

  /* Part of the process in the control plane.  */
  struct roster roster;
  bool follows_jobs;          /* the partitions' followers are to be open */
  struct follower states_fol; /* open in entry processes only */
  struct state_view states;
  bool publishes_states; /* there are entry processes */

  /* Membership and duties.  */
  struct follower member_fol;
  struct follower duty_fol;
  int64_t duties_read_us; /* to its end, by the last read that succeeded */
  struct appender member_app;
  struct pool_admission *admissions; /* by pool */
  struct duty_table duties;
  int64_t members_current_us;    /* reports appended before this are known */
  int64_t members_resumed_us;    /* when reports could be read again after an
                                    outage of the store; 0: no outage yet */
  struct held_duty *held_duties; /* without the fleet duty */
  /* Tokens under which the store refused appends; the oldest is replaced.  */
  uint64_t refused_tokens[REFUSED_TOKENS_MAX];
  size_t refused_count;
  bool claim_in_progress;
  bool release_in_progress;
  uint64_t claim_end_offset;    /* end of the topic after this process's last
                                   claim or release */
  int64_t next_claim_us;        /* no claim before this time */
  uint64_t claim_conflicts;     /* claims that lost to a concurrent append */
  uint64_t conflict_end_offset; /* end of the topic at the last of them */
  int64_t conflict_us;          /* when its result arrived */
  struct timer *claim_timer;
  int64_t next_queueless_us; /* pools without a queue are not checked before */
  struct pending_append *pending_appends; /* for clients' requests */
  struct state_query *state_queries;      /* that wait for a read */
  bool heartbeat_in_progress;
  int64_t confirmed_us; /* claims appended before this are known */
  /* A read of the claims that does not wait for new ones.  */
  bool confirm_in_progress;
  int64_t confirm_sent_us;
  uint64_t confirm_offset;
  int64_t next_confirm_us; /* no such read before this time */
  struct timer *heartbeat_timer;
  int64_t next_report_us; /* when the next report to the members is due */

  int64_t usage_logged_us;                    /* of the last store.usage */
  uint64_t usage_logged[NODE_USAGE_COUNTERS]; /* values as of then */
  bool store_unavailable;                     /* as last logged */
  bool ready;                                 /* as last logged */
  bool time_differs;                          /* as last logged */
  bool stopping;
  bool rejects_jobs; /* and cancellations: the process is about to end */
  bool stopped;
  int64_t stop_us; /* when the stop signal was handled */
};

/* node/identity.c */
/* Chooses what identifies this run of the process, which starts at WALL_MS.
   Returns 0 or ERR_SYSTEM.  */
int node_set_identity (struct node *nod, int64_t wall_ms);

/* node/directory.c */
/* Returns the names of the pools that have a queue, each once, and sets *COUNT
   to their number.  There are some pools and hundreds of queues.  The names
   are valid until the next configuration.  */
const char *const *node_queue_pools (struct node *nod, size_t *count);

/* node/job_partitions.c */
/* Returns the partition of POOL, which is opened if necessary, or NULL without
   memory.  */
struct job_partition *node_job_partition (struct node *nod, const char *pool);
/* Opens the partitions of all pools with a configured queue, and sets how
   often this process reads, which depends on its duties.  Returns 0 or
   ERR_NOMEM.  */
int node_open_job_partitions (struct node *nod);
/* The store answers again: reads that wait for longer than those of the duties
   after a failure are repeated, as a duty may have no holder since.  Entry
   processes, of which there are hundreds, claim none.  */
void node_retry_reads (struct node *nod);
/* Whether the configuration and all jobs, or their published states, are known
   as they were at most 3 s ago.  */
bool node_view_current (const struct node *nod);
/* Whether the configuration is known as it was at most config_age_max_ms
   ago.  */
bool node_config_current (const struct node *nod);
/* Whether jobs may be accepted under the configuration: it is known as it was
   at most VIEW_AGE_MAX_US more ago.  */
bool node_config_usable (const struct node *nod);
/* Whether the records of the jobs of POOL have been read once.  */
bool node_pool_followed (struct node *nod, const char *pool);
/* Whether they are known as they were at most 3 s ago.  Those of other pools
   may be out of reach meanwhile: the store may serve some partitions only.  */
bool node_pool_current (struct node *nod, const char *pool);
/* Whether the records of all jobs are known as they were at most 3 s ago.  */
bool node_jobs_current (const struct node *nod);
/* Whether the records of all jobs have been read once.  */
bool node_jobs_followed (const struct node *nod);
/* Monotonic time as of which the records of all jobs, or in an entry process
   the published states, are known; 0 before they were read.  */
int64_t node_jobs_known_us (const struct node *nod);
/* Starts and ends following the jobs.  */
void node_follow_jobs (struct node *nod);
void node_unfollow_jobs (struct node *nod);
/* Logs when the store becomes unavailable and when it is available again.  */
void node_log_store_state (struct node *nod);
/* Removes the records of an ended job from the store if this process owns its
   pool: the store keeps the newest record of each key for good, and rejects
   all appends when it is full.  Returns false if they could not be added to
   what is being appended.  ARG is the node.  */
bool node_forget_job (void *arg, const struct job *job);
/* Whether the store accepts appends to the partition in time.  */
bool node_partition_writable (const struct job_partition *prt);

/* node/job_rivals.c */
/* Whether a job that is accepted now for QUE may also be stored for another
   pool.  */
bool node_pool_uncertain (const struct node *nod, const struct queue *que);
/* Monotonic time as of which the records of all partitions but the duty's own
   are known; 0 before they were read.  */
int64_t node_others_read_us (const struct held_duty *hld);
/* The same for the partition of POOL, which may be the duty's own.  ARG is the
   held duty.  */
int64_t node_pool_read_us (void *arg, const char *pool);
/* Brings the former time up to now if they hold nothing new.  */
void node_confirm_others (struct held_duty *hld);
/* Notes that JOB is stored for another pool as well.  */
void node_note_rival (struct node *nod, const struct job *job);
/* The callback of the table for a row that was withdrawn.  */
bool node_drop_withdrawn (void *arg, struct job *job);
/* Withdraws the jobs that are stored for the duty's pool as well and hold for
   another one.  */
void node_withdraw_rivals (struct held_duty *hld);

/* node/usage.c */
/* Logs from time to time how much the process uses the store, and samples the
   ages of what it has read.  */
void node_log_usage (struct node *nod);

/* node/control_role.c */
/* Decides anew whether this process is a controller, and starts or ends
   following the records that only controllers need.  */
void node_update_role (struct node *nod);

/* node/placer_timer.c */
/* Schedules the placer's next tick at the monotonic time AT_US, or as soon
   after it as pauses between ticks allow; 0: as soon as possible.  A tick that
   is due earlier stays as it is.  */
void node_schedule_placer (struct held_duty *hld, int64_t at_us);

/* node/pool_admission.c */
/* Decides anew which share of new jobs the pool accepts.  */
void node_update_admission (struct held_duty *hld);
/* Adds the shares of the pools that this process owns to its report; the rows
   belong to CTX.  */
void node_report_admissions (struct node *nod, void *ctx,
                             Kingcuphollow__MemberBeat *msg);
/* Takes the shares from the report of OWNER.  */
void node_note_admissions (struct node *nod, const char *owner,
                           const Kingcuphollow__MemberBeat *msg);
/* Whether to accept a job of POOL.  If not, sets *RETRY_AFTER_MS to the time
   after which its client may return.  */
bool node_pool_accepts (const struct node *nod, const char *pool, uint64_t id,
                        int64_t *retry_after_ms);

/* node/job_states.c */
/* Starts and ends following the published states.  */
void node_follow_states (struct node *nod);
void node_unfollow_states (struct node *nod);
/* Whether the published states are read as they were at most 3 s ago.  */
bool node_states_current (const struct node *nod);
/* The summary of POOL if it is at most 3 s old, else NULL.  */
const struct published_pool *node_published_pool (const struct node *nod,
                                                  const char *pool);
/* Whether there is such a summary of each pool that a queue names.  */
bool node_pools_published (struct node *nod);
/* Opens the appender for the states of a pool's jobs.  */
int node_open_states (struct held_duty *hld);
/* Notes that the state of JOB may have changed in the log, as owner of its
   pool.  */
void node_note_job_state (struct held_duty *hld, struct job *job);
/* Publishes the states of all jobs of the pool anew.  */
void node_publish_all (struct held_duty *hld);
/* Publishes what has changed; for the pool's owner, after each tick of its
   placer.  */
void node_publish_states (struct held_duty *hld);

/* node/directory.c */
/* Starts to follow the operators' records.  */
int node_open_directory (struct node *nod);
/* Starts and ends following the workers' reports.  */
void node_follow_workers (struct node *nod);
void node_unfollow_workers (struct node *nod);
/* Tells the placer of HLD about the report of the worker ID; REP is NULL when
   the report was removed.  */
void node_tell_placer (struct held_duty *hld, const char *id,
                       const struct worker_report *rep);

/* node/duty_persist.c */
/* The functions of placer_env with the held duty as their argument.  */
int duty_persist (void *arg, const struct topic_entry *entries, size_t count,
                  persist_fn *fn, void *fn_arg);
int duty_persist_first (void *arg, const char *key, persist_fill_fn *fill,
                        persist_fn *fn, void *fn_arg);

/* node/duty_record.c */
/* Appends COUNT claims or releases of this process, all or none, with the
   tokens that the claims reserve; claims only if it has read all earlier
   records.  Returns 0 or an error; FN runs with NOD
   as argument after 0 only.  */
int duty_record_append (struct node *nod, const struct duty_claim *claims,
                        size_t count, topic_append_fn *fn);
/* Decodes a record of the duty NAME and folds it.  Returns 0, ERR_PROTOCOL or
   ERR_FULL.  */
int duty_record_fold (struct duty_table *tab, const char *name,
                      const struct topic_record *rec, int64_t now_us);

/* node/members.c */
/* Starts to report to the other members and to read their reports.  */
int node_open_members (struct node *nod);
/* Takes the name from the key of the record ENT, which has to begin with
   KIND.  Returns false for another key and for a tombstone.  */
bool node_parse_key (const struct topic_entry *ent, char kind,
                     char name[NAME_BYTES]);

/* node/duties.c */
/* Starts to report to the other members and to follow the claims.  */
int node_open_duties (struct node *nod);
/* Time by which reports of other members may be late, because the store is
   slow.  */
int64_t node_members_slack_us (const struct node *nod);
/* Ends duties that have passed to others, advances those being taken over and
   claims duties without a live holder.  */
void node_check_duties (struct node *nod);
/* Releases all duties at shutdown.  */
void node_release_duties (struct node *nod);
/* Reads the claims without waiting for new ones.  The follower's reads wait,
   and would confirm the duties up to DUTIES_READ_WAIT_MS later.  */
void node_request_confirmation (struct node *nod);
/* Returns the duty for POOL if this process holds it, else NULL.  */
struct held_duty *node_held_duty (const struct node *nod, const char *pool);

/* node/fleet.c */
int node_open_fleet (struct node *nod);
/* Sets the shortest time between reads of vacate requests.  */
void node_fleet_set_batch_delay (struct node *nod, int64_t batch_delay_ms);
/* Has the vacate requests read again, as by follower_retry_within.  */
void node_fleet_retry_within (struct node *nod, int64_t ms);
bool node_fleet_caught_up (const struct node *nod);
/* Starts and ends following the vacate requests.  */
void node_fleet_follow (struct node *nod);
void node_fleet_unfollow (struct node *nod);
/* Starts and ends the work of the fleet duty in this process.  */
void node_fleet_begin (struct node *nod, uint64_t token);
void node_fleet_end (struct node *nod);
/* Ends the work of the fleet duty before the process stops; the requests to
   vacate hosts that have led to no order are withdrawn.  */
void node_fleet_release (struct node *nod);
/* Token of the fleet duty while this process holds it, else 0.  */
uint64_t node_fleet_token (const struct node *nod);
/* Tells the holder of the fleet duty that a pool has a new owner.  */
void node_fleet_owner_changed (struct node *nod, const char *pool);
/* Decodes a maintenance wave of the operators and adds it, as holder of the
   fleet duty.  Returns false for a wave that cannot be read.  */
bool node_fleet_add_wave (struct node *nod, const uint8_t *data, size_t len);
/* Opens the appender for the reports of a pool's owner.  */
int node_fleet_open_reports (struct held_duty *hld);
/* Reports the pool's demand for hosts and the hosts that were emptied on
   request; for the pool's owner, after each tick of its placer.  */
void node_fleet_report (struct held_duty *hld);

/* node/fleet_demand.c */
/* First character of the keys of demand reports.  */
#define FLEET_DEMAND_KEY 'u'
/* Reports the pool's demand for hosts to the holder of the fleet duty, if it
   has changed or the last report is old.  */
void node_fleet_report_demand (struct held_duty *hld);

/* node/fleet_log.c */
/* Opens the appenders of the holder with TOKEN, to the first partition of the
   fleet's topic and to the state of waves for the operators, and appends the
   fence against earlier holders.  Returns 0 or an ERR_ code.  */
int node_fleet_open_log (struct node *nod, uint64_t token,
                         struct appender *app, struct appender *status_app);
/* Opens the appender of the waves' progress, which outlives the duty.  */
int node_fleet_open_progress (struct node *nod, struct appender *app);
/* Appends the record of KIND about the pool, host or wave NAME.  */
int node_fleet_append (struct appender *app, char kind, const char *name,
                       const uint8_t *data, size_t len);
/* Appends the progress of WAVE to APP, and its state for the operators to
   STATUS_APP when the wave has begun or is completed.  */
void node_fleet_record_wave (struct node *nod, const struct mgr_wave *wave,
                             uint64_t token, struct appender *app,
                             struct appender *status_app);

/* node/stop.c */
/* Handles a stop signal: the process releases its duties, answers the open
   requests and ends.  Further signals have no effect.  */
void node_begin_stop (struct node *nod);

/* node/requests.c */
/* Handles a request of a client; the request callback of wire_front.  */
void node_handle_request (void *arg, struct front_request *req);
/* Answers all requests that wait for the store; their outcome is unknown.
   Returns whether there were any.  */
bool node_answer_pending (struct node *nod);
/* Answers REQ with the state of the job ID as it is known here.  */
void node_reply_known_state (struct node *nod, struct front_request *req,
                             uint64_t id);

/* node/state_queries.c */
/* Answers REQ, a query of the job ID, once FOL has read the records that the
   store has now.  Returns false if what is known is recent or cannot be
   refreshed; then REQ is to be answered at once.  */
bool node_query_state (struct node *nod, struct front_request *req,
                       struct follower *fol, uint64_t id);
/* Answers the queries that wait for FOL, which has read records.  */
void node_answer_queries (struct node *nod, const struct follower *fol);
