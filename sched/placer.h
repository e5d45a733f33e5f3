#pragma once

#include "job/job_table.h"
#include "sched/worker_link.h"
#include "store/topic_store.h"

/* Scheduler of one pool.  The process that owns the pool, by its duty for the
   pool (member/duty.h), runs a placer: it starts the tasks of the pool's jobs
   on the pool's workers, extends the leases of their runs and records how they
   end.

   A task of a perpetual step is restarted whenever it ends; other tasks are
   called batch tasks.  A run is one execution of a task on a worker.  A worker
   instance is a worker process from one start to its end.  The log is the
   pool's partition of the topic of jobs.

   All functions must be called from one thread.  */

struct clock;
struct counters;
struct host_list;
struct logger;
struct placer;

/* Key prefix, followed by the pool's name, of the record that names the
   workers on which the pool's owners may have started tasks.  */
#define PLACER_WORKERS_KEY_PREFIX "w/"

enum persist_outcome
{
  PERSIST_DONE,
  PERSIST_FENCED,   /* another owner has taken over */
  PERSIST_NOT_DONE, /* nothing was appended, as FILL had an error */
};

typedef void persist_fn (void *arg, enum persist_outcome out);
/* Supplies a value, which is copied at once.  Returns 0 or an error.  */
typedef int persist_fill_fn (void *arg, const uint8_t **value, size_t *len);

struct placer_env
{
  const struct clock *clk;
  struct logger *lg;
  struct counters *ctr;
  struct worker_link *lnk;
  struct job_table *jobs;
  const struct catalog *const *cat; /* the configuration in force */
  /* Appends entries to the pool's partition of the log, fenced by the owner's
     token.  Returns 0, ERR_FULL or ERR_NOMEM; after 0, FN is called once.  */
  int (*persist) (void *arg, const struct topic_entry *entries, size_t count,
                  persist_fn *fn, void *fn_arg);
  /* The same for one entry that goes ahead of those that wait.  FILL supplies
     its value, which is copied, when the append is sent: it may wait for the
     one in progress, and holds what is known after that.  */
  int (*persist_first) (void *arg, const char *key, persist_fill_fn *fill,
                        persist_fn *fn, void *fn_arg);
  /* The monotonic time for which the known jobs and fences show the log: all
     records appended before it are known.  0: they do not show the log as it
     was at one point in its history.  */
  int64_t (*log_read_us) (void *arg);
  /* The monotonic time for which the jobs of all other pools are known; 0: not
     known.  NULL: there are no other pools.  */
  int64_t (*others_read_us) (void *arg);
  /* The same for the jobs of POOL alone.  NULL: as others_read_us.  */
  int64_t (*pool_read_us) (void *arg, const char *pool);
  /* The monotonic time for which the reports of all workers are known; 0: not
     known.  NULL: they are always known.  */
  int64_t (*workers_read_us) (void *arg);
  /* Asks for a call of placer_tick soon.  */
  void (*wake) (void *arg);
  void *arg;
};

/* A call to a worker that has no answer may be carried out until this long
   after it was sent, also by the next instance of the worker.  */
#define LATE_CALL_MAX_US 12000000

struct placer_settings
{
  const char *pool;
  uint64_t token; /* fencing token of this ownership */
  /* This number of tokens from TOKEN on belong to this ownership; later owners
     have higher ones.  0 counts as 1.  */
  uint32_t token_count;
  /* Jobs whose first record has this offset or a higher one cannot have been
     started by an earlier owner.  */
  uint64_t fence_offset;
  int64_t lease_ms;
  int64_t lease_max_ms; /* longest lease that workers grant */
  /* An owner whose ownership was not confirmed for this time sends no commands
     and extends no leases.  */
  int64_t confirm_ms;
  /* The same for starts; at most CONFIRM_MS.  For this long after its claim, a
     later owner starts no task that this one may start: a worker that has
     restarted knows no token and would accept both starts.  */
  int64_t start_confirm_ms;
  int64_t confirmed_us; /* time for which ownership is confirmed already */
};

/* Returns NULL when out of memory.  SET and ENV are copied.  */
struct placer *placer_create (void *parent, const struct placer_settings *set,
                              const struct placer_env *env);

/* Adds a worker on which an earlier owner may have started tasks, from the
   pool's worker record.  BORN_MS is the wall clock at the worker's start; 0:
   not known.  KNOWN_US is the monotonic time at which the record was read.  */
void placer_add_earlier_worker (struct placer *plc, const char *id,
                                const char *host, int64_t born_ms,
                                int64_t known_us);

/* Adds what the pool's worker record in DATA tells of earlier owners: their
   workers, and their starts without an answer.  READ_US is the monotonic time
   at which it was read.  */
void placer_add_earlier_record (struct placer *plc, const uint8_t *data,
                                size_t len, int64_t read_us);

/* Longest time, by this process's clock, after which the leases of a command
   that another process sends now have expired at the worker, with the time
   that a command may take to arrive.  LEASE_MAX_MS is the longest lease that
   workers grant, see docs/design/instances.md.  */
int64_t placer_lease_span_us (int64_t lease_max_ms);

/* Tells the placer that all leases given by earlier owners have expired at
   END_US.  Without a call it assumes the longest time possible.  */
void placer_limit_earlier_leases (struct placer *plc, int64_t end_us);

/* Whether every run that earlier owners started is known or has lost its
   lease.  */
bool placer_takeover_done (const struct placer *plc);

/* Whether the platform's list of hosts could show that a worker which does not
   answer has ended.  */
bool placer_needs_host_list (const struct placer *plc);

/* Tells the placer that the pool's partition holds the fence record of an
   owner with TOKEN.  If TOKEN is higher than this owner's, the placer sends no
   more commands; call this before records that follow the fence are applied.
 */
void placer_note_fence (struct placer *plc, uint64_t token);

/* Whether a job that may be stored for another pool as well is not started
   before the jobs of the other pools are known as they are now.  */
bool placer_awaits_others (const struct placer *plc);

/* Whether the pool gives up JOB, which is stored for another pool as well and
   does not hold here: nothing of it was started, or nothing runs any more if
   the other pool has recorded progress.  Otherwise the placer stops what runs,
   or records that it has started the job.  */
bool placer_may_withdraw (struct placer *plc, struct job *job,
                          bool other_recorded);

/* Gives up JOB, which is about to be freed.  Returns false if the placer still
   refers to it.  */
bool placer_drop_job (struct placer *plc, struct job *job);

/* Whether runs of an ended worker instance are kept only until ownership is
   confirmed.  */
bool placer_needs_confirmation (const struct placer *plc);

/* Frees PLC, after the callbacks of commands and appends in flight if there
   are any; their results are ignored.  Runs on the workers continue until
   their leases expire.  */
void placer_destroy (struct placer *plc);

/* Takes the current report of the worker ID; with REP NULL, the worker's
   report was removed.  */
void placer_update_worker (struct placer *plc, const char *id,
                           const struct worker_report *rep);
/* Takes the entry of one host in the platform's list of hosts, which was
   requested at ASKED_US.  */
void placer_update_host (struct placer *plc, const struct host_report *rep,
                         int64_t asked_us);
/* Takes the platform's list of hosts, which was requested at ASKED_US.  A
   worker without an answer has ended if its host has left the list.  */
void placer_update_hosts (struct placer *plc, const struct host_list *list,
                          int64_t asked_us);
/* Tells the placer about a change of JOB.  */
void placer_update_job (struct placer *plc, struct job *job,
                        enum job_change change);
/* Confirms ownership: the topic of duties shows that no later owner had
   claimed the pool at AT_US.  */
void placer_confirm_ownership (struct placer *plc, int64_t at_us);

/* Starts to empty HOST: it gets no new tasks, its perpetual tasks move to
   other workers, and the tasks that are left at UNTIL_US are stopped. UNTIL_US
   0 withdraws this.  Returns whether a worker of this pool is registered for
   the host.

   The placer keeps the host if its perpetual tasks have no place elsewhere, a
   waiting one has no other place, or nothing moves; the host then takes tasks
   again at once, and calls change nothing until the request is withdrawn.  */
bool placer_vacate (struct placer *plc, const char *host, int64_t until_us);

/* The host that placer_vacate was asked for is to go to another pool.  If the
   pool keeps it, it needs no other host for that.  */
void placer_vacate_is_move (struct placer *plc, const char *host);

/* Why a host is kept.  */
enum placer_keep_reason
{
  PLACER_KEEP_NONE,
  PLACER_KEEP_NO_PLACE,    /* a perpetual task there has no place elsewhere */
  PLACER_KEEP_TASK_WAITS,  /* a perpetual task has no place but there */
  PLACER_KEEP_NO_PROGRESS, /* no run has left it for some time */
};

struct placer_kept
{
  enum placer_keep_reason reason;
  char task[TASK_NAME_MAX]; /* the first such task; "": none */
  int64_t took_us;          /* since placer_vacate was first called */
};

/* Whether the pool keeps HOST although placer_vacate asked for it; then *KEPT
   is set.  A host for which placer_host_empty has returned true is never kept.
 */
bool placer_host_kept (const struct placer *plc, const char *host,
                       struct placer_kept *kept);

/* Counts the workers that were added or were registered again, so that a
   caller can tell whether the result of placer_vacate may have changed.  */
uint64_t placer_worker_changes (const struct placer *plc);

/* Tells the placer that a host order to the platform has ended the instance of
   worker ID.  */
void placer_worker_ended (struct placer *plc, const char *id);

/* How a host was emptied; times since placer_vacate was first called.  */
struct placer_vacated
{
  int64_t took_us;
  int64_t cleared_us; /* until nothing ran there any more */
  uint32_t stopped;   /* runs stopped for it */
};

/* Whether the worker of HOST runs nothing and will start nothing as long as
   the host is to be emptied; then *VAC is set.  */
bool placer_host_empty (const struct placer *plc, const char *host,
                        struct placer_vacated *vac);

/* Does all work that is due.  Returns the monotonic time in microseconds at
   which to call again.  */
int64_t placer_tick (struct placer *plc);

/* Most idle hosts that one demand report names.  A pool that has grown under
   load gives up two hundred hosts when the load ends.  */
#define PLACER_IDLE_HOSTS_MAX 256

/* The hosts that the pool needs and those that it can give up.  */
struct placer_demand
{
  uint32_t schedulable_hosts; /* hosts that take new tasks */
  uint32_t awaited_hosts;     /* further ones that a new owner counts, as their
                                 workers have not answered it yet */
  bool withheld; /* the hosts that perpetual tasks need are not known yet, as
                    the workers' reports have not been read */
  uint32_t busy_milli;   /* share of their processors in use, in thousandths */
  uint32_t short_hosts;  /* further hosts that the pool needs */
  uint32_t urgent_hosts; /* those of them for work that can be done in time */
  uint32_t placeless_hosts; /* those of the needed ones for tasks that have no
                               run */
  uint32_t needed_hosts; /* those of them without which perpetual tasks have no
                            place */
  /* The label that these must have, or "" for any; valid until the placer's
     next call.  Hosts with different labels are asked for in turn.  */
  const char *needed_label;
  /* Names of surplus hosts, or, if the pool needs further hosts for late work
     only, of those that late work alone uses; valid until the placer's next
     call.  */
  const char *idle[PLACER_IDLE_HOSTS_MAX];
  size_t idle_count;
};
struct admission_load;

/* Computes what the share of new jobs to accept depends on.  */
void placer_admission_load (struct placer *plc, struct admission_load *load);

/* Computes the demand, and marks the workers of the hosts in DEM->idle so that
   they get new tasks last.  */
void placer_demand (const struct placer *plc, struct placer_demand *dem);
