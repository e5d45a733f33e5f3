#pragma once

#include "job/job_table.h"
#include "sched/worker_link.h"
#include "store/topic_store.h"

/* The owner of one pool: starts the tasks of the pool's jobs on its workers,
   keeps their leases and records their ends.  All calls belong to one
   thread.  */

struct clock;
struct counters;
struct logger;
struct placer;

/* Key, with the pool's name after it, of the record that names the workers on
   which the pool's owners may have started tasks.  */
#define PLACER_WORKERS_PREFIX "w/"

enum persist_outcome
{
  PERSIST_DONE,
  PERSIST_FENCED, /* another owner has taken over */
};

typedef void persist_fn (void *arg, enum persist_outcome out);

struct placer_env
{
  const struct clock *clk;
  struct logger *lg;
  struct counters *ctr;
  struct worker_link *lnk;
  struct job_table *jobs;
  const struct catalog *const *cat; /* the configuration in force */
  /* Appends entries to the pool's partition, fenced by the owner's token.
     Returns 0 or ERR_FULL, ERR_NOMEM.  */
  int (*persist) (void *arg, const struct topic_entry *entries, size_t count,
                  persist_fn *fn, void *fn_arg);
  /* Asks for a turn of placer_tick soon.  */
  void (*wake) (void *arg);
  void *arg;
};

struct placer_settings
{
  const char *pool;
  uint64_t token;
  /* Jobs whose first record stands at or after this offset cannot have been
     started by an owner before this one.  */
  uint64_t fence_offset;
  int64_t lease_ms;
  /* An owner that has not confirmed its duty for so long extends no leases and
     starts nothing.  */
  int64_t confirm_ms;
};

/* Returns NULL without memory.  */
struct placer *placer_create (void *parent, const struct placer_settings *set,
                              const struct placer_env *env);

/* A worker on which an earlier owner may have started tasks, as the log
   tells.  */
void placer_earlier_worker (struct placer *plc, const char *id,
                            const char *host, int64_t born_ms);

/* Earlier owners certainly give no more orders.  */
void placer_earlier_over (struct placer *plc);

/* Whether all that earlier owners started is known or has lapsed.  */
bool placer_cleared (const struct placer *plc);

/* Whether the platform's list of hosts can tell more of a worker that does not
   answer.  */
bool placer_wants_hosts (const struct placer *plc);

/* The pool's partition holds the fence of an owner with TOKEN; one with a
   higher token than this owner's ends its orders before it reads what came
   after.  */
void placer_fence (struct placer *plc, uint64_t token);

/* Whether runs wait for a confirmation of the duty to be given up.  */
bool placer_wants_confirmation (const struct placer *plc);

/* Ends the owner's work.  Orders in progress are forgotten; what runs at the
   workers goes on under its leases.  */
void placer_destroy (struct placer *plc);

/* Takes a worker's report, or with a NULL REP that ID reports no more.  */
void placer_worker (struct placer *plc, const char *id,
                    const struct worker_report *rep);
/* Takes what the platform's list of hosts says of one; the list was asked for
   at ASKED_US.  */
void placer_host (struct placer *plc, const struct host_report *rep,
                  int64_t asked_us);
void placer_job (struct placer *plc, struct job *job, enum job_change change);
/* The log shows that no later owner had claimed the pool at AT_US.  */
void placer_confirmed (struct placer *plc, int64_t at_us);

/* Asks that HOST be emptied: it gets no new tasks, tasks that last move to
   other workers, and what is left at UNTIL_US is stopped.  UNTIL_US 0
   withdraws that.  Returns whether a worker of the host reports in this
   pool.  */
bool placer_vacate (struct placer *plc, const char *host, int64_t until_us);

/* The life of the worker ID has ended by an order of the platform.  */
void placer_worker_over (struct placer *plc, const char *id);

/* Whether nothing runs on the worker of HOST and nothing will while the host
   is to be emptied.  */
bool placer_host_empty (const struct placer *plc, const char *host);

/* Does what is due; returns the monotonic time of the next turn.  */
int64_t placer_tick (struct placer *plc);

/* One report names so many; a grown pool gives up two hundred after its turn.
 */
#define PLACER_IDLE_MAX 256

/* What the pool wants of the hosts of others.  */
struct placer_demand
{
  uint32_t open_hosts;  /* hosts that take tasks */
  uint32_t busy_milli;  /* share of the processors in use, in thousandths */
  uint32_t short_hosts; /* hosts that it lacks */
  const char *idle[PLACER_IDLE_MAX]; /* hosts that it can spare */
  size_t idle_count;
};
void placer_demand (const struct placer *plc, struct placer_demand *dem);
