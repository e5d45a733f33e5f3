#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "wave/wave_core.h"

/* Simulation for tests and wave_bench: a platform in memory with the waves
   stream, the host list, and hosts that drain and reboot, and planners that
   use it, under a manual clock.  On the platform's side it counts drains that
   exceed a budget, repeated reboots and reboots of hosts with work.  */

#define WAVE_SIM_TICK_US 100000
#define WAVE_SIM_PLANNERS_MAX 48

struct wave_sim_host
{
  char name[32];
  uint32_t pool;
  uint32_t centre;
  uint32_t rack;
  int64_t work_ms;    /* from the drain until the host is idle */
  int64_t reboot_ms;  /* from the reboot until the host is up */
  bool never_returns; /* does not come up after its reboot */
  bool unhealthy;     /* unhealthy after its reboot */

  /* State of the host.  */
  bool drained;
  bool failed;       /* out of service by a fault, not by a wave */
  int64_t failed_ms; /* time of the last failure or repair */
  int64_t idle_ms;
  int64_t up_ms; /* end of the reboot; INT64_MAX: does not come up */
  uint64_t fence;
  uint32_t reboots;
  uint32_t drains;
  struct wave_sim_done_op *done_ops; /* operations that took effect */
};

struct wave_sim_planner
{
  struct wave_core core;
  bool alive;
  uint64_t incarnation; /* differs at each start */
  int64_t paused_until_us;
  int64_t list_us; /* when it got its host list */
  uint64_t list_version;
  uint32_t events;        /* appends and calls sent, and their results */
  uint32_t kill_at_event; /* number of the event at which it dies; 0: never */
  bool cut_off;           /* has no access to the log */
  uint32_t centre;
};

struct wave_sim_settings
{
  uint32_t centres;
  uint32_t pools;
  uint32_t hosts_per_rack;
  uint32_t budget_pct;     /* default availability budget of the pools */
  int64_t latency_ms;      /* one-way latency of the log and of host calls */
  int64_t list_max_age_ms; /* planners read the host list at this age */
  uint64_t seed;
  uint32_t lost_replies_pct;
  const struct wave_core_settings *core; /* NULL: the defaults */
};

struct wave_sim_violations
{
  uint32_t budget;  /* drains that exceeded the pool's budget */
  uint32_t centre;  /* drains that exceeded a data centre's limit */
  uint32_t reboots; /* second reboots of a host */
  uint32_t busy;    /* reboots of a host with work */
};

struct wave_sim
{
  struct wave_sim_settings set;
  int64_t now_us;
  bool log_down;

  struct wave_sim_host *hosts;
  uint32_t host_count;
  uint32_t *budget_pct;        /* of each pool; constant once planners run */
  uint32_t *pool_hosts;        /* number of hosts of each pool */
  uint32_t *pool_centre_hosts; /* the same for each pool and data centre */
  uint64_t list_version;

  struct wave_sim_planner planners[WAVE_SIM_PLANNERS_MAX];
  uint32_t planner_count;

  struct wave_sim_record *records;
  uint64_t next_offset;
  struct wave_sim_event *events;
  struct wave_fold log_fold; /* state after all records in the log */
  struct wave_sim_violations violations;
  uint32_t appends;
  uint32_t calls;
  uint64_t rng_state;
  uint64_t last_incarnation;
  uint64_t planner_cpu_us; /* CPU time spent in planners */
  void *ctx;
};

/* Initialises a simulation without hosts and planners.  All hosts have to be
   added before the first planner.  */
void wave_sim_init (struct wave_sim *sim, const struct wave_sim_settings *set);
void wave_sim_fini (struct wave_sim *sim);
struct wave_sim_host *wave_sim_add_host (struct wave_sim *sim, uint32_t pool,
                                         uint32_t centre);

/* Starts a planner and returns its index, or restarts one that died as a new
   incarnation.  */
uint32_t wave_sim_add_planner (struct wave_sim *sim, uint32_t centre);
void wave_sim_restart_planner (struct wave_sim *sim, uint32_t index);

/* Appends REC with the writer and editor of an operator's command.  */
void wave_sim_append_edit (struct wave_sim *sim,
                           const struct wave_record *rec);

/* Creates the wave "w" of all hosts.  */
void wave_sim_create_wave (struct wave_sim *sim, uint32_t most_out);

/* Advances the clock by one tick.  */
void wave_sim_tick (struct wave_sim *sim);

void wave_sim_fail_host (struct wave_sim *sim, struct wave_sim_host *ht,
                         bool failed);
bool wave_sim_in_service (const struct wave_sim *sim,
                          const struct wave_sim_host *ht);

/* Number of hosts that the budget of POOL allows out of service if it has
   HOSTS hosts.  */
uint32_t wave_sim_out_allowed (const struct wave_sim *sim, uint32_t pool,
                               uint32_t hosts);

uint64_t wave_sim_random (struct wave_sim *sim, uint64_t below);
