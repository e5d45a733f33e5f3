#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "net.h"

/* Stand-ins of the workers of one service, as PROTOCOL.md describes them:
   starts, stops, holds, leases, fencing tokens, instances.  They start
   whatever they are told to (`enforces-capacity` is false in the config).  */

#define WORKER_HEARTBEAT_MS 1500
#define WORKER_HOLD_MAX_MS 10000
#define WORKER_STOP_MS 100
#define WORKER_RUNS_MAX 2048

enum worker_fate
{
  WORKER_NORMAL,
  WORKER_RESET, /* done, and all of the worker's connections are reset */
  WORKER_BUSY,        /* 503, and nothing is done */
};

struct run
{
  char task[64];
  int64_t number;
  int64_t started; /* monotonic, ms */
  int64_t work_ms; /* -1: runs until it is stopped */
  bool stopping;
};

struct end
{
  int64_t number;
  char task[64];
  int64_t run;
  const char *how;
  size_t fact; /* index of the recorded end */
};

struct stopped
{
  char task[64];
  int64_t run;
};

struct worker
{
  char id[32], machine[32], pool[32], zone[16], label[16], rack[16];
  int cpu, mem, port;
  bool up;
  struct server *srv;
  int64_t born;  /* Unix time in ms of the present instance */
  int64_t begun; /* monotonic; the worker's clock counts from here */
  uint64_t instance; /* counts the instances */
  int64_t next_beat;
  int64_t sequence;
  int64_t token, due;
  struct run runs[WORKER_RUNS_MAX];
  size_t run_count;
  struct end *ends;
  size_t end_count, end_size;
  int64_t last_end;
  struct stopped *stopped;
  size_t stopped_count, stopped_size;
  struct conn_ref waiting; /* fd -1: no hold waits */
  uint64_t wait_number;
  unsigned starts; /* runs started in its life */
};

struct worker *worker_add (const char *id, const char *zone,
                           const char *label, const char *rack);
extern struct worker workers[64];
extern size_t worker_count;

/* Ends the instance: what ran there is gone, and connections are reset.  */
void worker_crash (struct worker *wrk);
/* A new instance under the same id and address.  It writes its entry to the
   store BEAT_MS later, and then with each heartbeat.  */
void worker_restart (struct worker *wrk, int64_t beat_ms);

/* Duration of a work item's run; -1: until it is stopped.  */
extern int64_t (*worker_work_ms) (const char *task);
/* Decides on a call; PATH is its path.  May be NULL.  */
extern enum worker_fate (*worker_decide) (struct worker *wrk,
                                          const struct request *req);
/* Called after a run has started.  May be NULL.  */
extern void (*worker_started) (struct worker *wrk, const struct run *run,
                               int64_t token);

/* Number of runs of TASK that are under way on workers that are up.  */
size_t worker_running (const char *task);
/* Whether a work item of the job NAME has started.  */
bool worker_job_started (const char *name);
/* Number of ends that were listed at least AGE_MS ago by instances that still
   run, and of those that `last-seen` has reached.  */
void worker_count_ends (int64_t age_ms, size_t *listed, size_t *noted);
/* Writes the breaks of the rule TWICE to the record; returns their number. */
size_t worker_check_twice (void);
