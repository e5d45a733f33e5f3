#pragma once

/* Stand-ins of the platform's workers: starts, stops, holds, leases, fencing
   tokens, instances.  They start whatever they are told to
   (`enforces-capacity` is false in the config).  */

#include "test/soak/judge.h"
#include "test/soak/net.h"

#define WORKERS_MAX 256
#define WORKER_RUNS_MAX 512
#define WORKER_CPU 16000
#define RACKS 3

struct run
{
  char task[64];
  int64_t number, started;
  int64_t work_ms; /* -1: until it is stopped */
  int cpu;
  bool stopping, fails;
  bool lasts; /* of a perpetual job */
  struct run_fact *fact;
};

struct end
{
  int64_t number, run;
  int64_t at;
  char task[64];
  const char *how;
  struct run_fact *fact;
};

struct stopped
{
  char task[64];
  int64_t run;
};

/* What becomes of new connections while a worker starts again.  */
enum outage
{
  OUTAGE_REFUSED,
  OUTAGE_HANGS,  /* connects hang, see net_hang */
  OUTAGE_QUEUED, /* what they carry reaches the next instance */
  OUTAGE_COUNT,
  /* A proxy keeps open connections and takes new ones.  What they carry is
     done by the next instance, even if the caller has given up.  */
  OUTAGE_KEPT = OUTAGE_COUNT,
};

struct worker_fault
{
  bool cut;     /* nothing arrives and nothing leaves; what runs goes on */
  bool one_way; /* calls arrive, answers do not */
  double busy;  /* share of calls answered 503, nothing is done */
  double lose;  /* share of calls done whose answer is lost */
  double late;  /* share of orders that are done 1 to 4 s later */
  double late_holds; /* the same of holds */
  bool later;        /* 2 to 12 s later instead */
};

struct late_call;

struct worker
{
  int index, pool, port;
  char id[32], machine[32], zone[16], rack[16];
  int cpu, mem;
  bool up, listed, in_upkeep;
  struct worker_fault fault;
  bool away;   /* cut off, see worker_cut */
  bool halted; /* see worker_halt */
  enum outage outage;
  struct server *srv;
  int64_t born;  /* Unix time of the instance's start */
  int64_t begun; /* the worker's clock counts from here */
  int64_t first_clock;
  int64_t silent_since;
  unsigned instance; /* counts the instances */
  unsigned renamed;  /* counts the ids */
  int clock_permille;
  int64_t next_beat, sequence, token, due;
  int64_t lapsed; /* when the lease was last found to be over */
  struct run runs[WORKER_RUNS_MAX];
  size_t run_count;
  struct end *ends;
  size_t end_count, end_size;
  int64_t last_end;
  struct stopped *stopped;
  size_t stopped_count, stopped_size;
  struct late_call *kept;  /* see OUTAGE_KEPT; the newest first */
  struct conn_ref waiting; /* fd -1: no hold waits */
  struct late_call *waiting_call;
  int64_t wait_until;
};

extern struct worker workers[WORKERS_MAX];
extern size_t worker_count;

/* Whether a call that is carried out late may reach the next instance under
   the same id, which Expect-Instance does not tell from the one before.  */
extern bool worker_late_crosses;

/* The pool whose machines are off; -1: none.  */
extern int worker_spare_pool;

struct worker *worker_add (int pool, int zone);
struct worker *worker_of_machine (const char *machine);
/* What runs on the machine ends at once, and its new worker joins the pool
   UPKEEP_MS later.  */
void worker_upkeep (struct worker *wrk);
/* Number of the pool's workers that have been up for long enough to be used
   and fail in nothing.  */
int worker_places (int pool);
/* Number of the pool's machines, in whatever state.  */
int worker_machines (int pool);
/* Name of a pool's service.  */
const char *pool_name (int pool);
/* Applies the fault after its fields were changed.  */
void worker_faults_changed (struct worker *wrk);
/* Begins or ends a time in which the worker does not reach the store.  */
void worker_cut (struct worker *wrk, bool on);
/* Ends the instance: what ran there is gone.  */
void worker_crash (struct worker *wrk);
/* A new instance on the same machine; it writes its entry BEAT_MS later.
   NEW_ID: under another id.  */
void worker_restart (struct worker *wrk, int64_t beat_ms, bool new_id);
/* Ends the instance at once, without a word to anyone: its entry and the
   machine's state stay.  Open connections are reset, or silent for good if
   DARK.  With OUTAGE_KEPT they stay, and a hold that waits is passed on to the
   next instance if DARK, or its connection is reset.  Nothing is done
   until worker_resume.  */
void worker_halt (struct worker *wrk, bool dark, enum outage outage);
/* A new instance under the same id, if the worker is halted still.  Returns
   whether it is.  BOOT: with a clock that is behind the one before.  */
bool worker_resume (struct worker *wrk, int64_t beat_ms, bool boot);
/* Processor time of the pool's workers that are up, and how much of it is in
   use; returns the most that is free on one worker.  */
int64_t worker_room (int pool, int64_t *all, int64_t *used);
