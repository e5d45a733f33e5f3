#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "wave/wave_core.h"

/* A platform in memory under a manual clock, with planners on it: the waves
   stream, hosts that drain and reboot, and the host list.  It judges from the
   platform's side: what each operation did to budgets and hosts.  */

#define WORLD_TICK_US 100000
#define WORLD_PLANNERS_MAX 48

struct world_host
{
  char name[32];
  uint32_t pool;
  uint32_t centre;
  uint32_t rack;
  int64_t work_ms;    /* until a drained host is idle */
  int64_t reboot_ms;  /* until it is up again */
  bool never_returns; /* after its reboot */
  bool unhealthy;     /* after its reboot */

  /* Actual state.  */
  bool drained;
  bool failed;       /* by a fault, not by a wave */
  int64_t failed_ms; /* when */
  int64_t idle_ms;
  int64_t up_ms; /* end of the reboot; INT64_MAX: never */
  uint64_t fence;
  uint32_t reboots;
  uint32_t drains;
  struct world_done *done; /* operation ids that took effect */
};

struct world_planner
{
  struct wave_core core;
  bool alive;
  uint64_t born; /* differs for each incarnation */
  int64_t paused_until_us;
  int64_t list_us; /* when it got the host list */
  uint64_t list_version;
  uint32_t events;  /* appends, calls and their results */
  uint32_t kill_at; /* dies before this event; 0: never */
  bool cut;         /* from the log */
  uint32_t centre;
};

struct world_settings
{
  uint32_t centres;
  uint32_t pools;
  uint32_t hosts_per_rack;
  uint32_t budget_pct; /* availability budget of the pools */
  int64_t log_ms;      /* latency of the log and of operations, one way */
  int64_t list_ms;     /* age at which the host list is read again */
  uint64_t seed;
  uint32_t lost_replies_pct;
  const struct wave_core_settings *core; /* NULL: the defaults */
};

struct world_breach
{
  uint32_t budget;  /* drains that broke a budget of the fleet */
  uint32_t centre;  /* drains beyond the share of a data centre */
  uint32_t reboots; /* reboots of a host that was rebooted for the wave */
  uint32_t busy;    /* reboots of a host that still had work */
};

struct world
{
  struct world_settings set;
  int64_t now_us;
  bool log_down;

  struct world_host *hosts;
  uint32_t host_count;
  uint32_t *budget_pct; /* of each pool; the tests may change it at first */
  uint32_t *pool_hosts; /* hosts of each pool */
  uint32_t *cell_hosts; /* of each pool and data centre */
  uint64_t list_version;

  struct world_planner planners[WORLD_PLANNERS_MAX];
  uint32_t planner_count;

  struct world_record *records;
  uint64_t next;
  struct world_event *events;
  struct wave_fold judge; /* folds what stands in the log */
  struct world_breach breach;
  uint32_t appends;
  uint32_t calls;
  uint64_t random;
  uint64_t born;
  uint64_t plans_us; /* real time spent in planners */
  void *ctx;
};

/* Hosts are added before the first planner.  */
void world_init (struct world *wd, const struct world_settings *set);
void world_fini (struct world *wd);
struct world_host *world_add_host (struct world *wd, uint32_t pool,
                                   uint32_t centre);

/* Starts a planner, or another incarnation in the place of one that died.  */
uint32_t world_add_planner (struct world *wd, uint32_t centre);
void world_restart_planner (struct world *wd, uint32_t index);

/* Appends REC as an operator's command would.  */
void world_edit (struct world *wd, const struct wave_record *rec);

/* Creates the wave "w" over all hosts.  */
void world_create_wave (struct world *wd, uint32_t most_out);

/* One tick.  */
void world_step (struct world *wd);

void world_fail_host (struct world *wd, struct world_host *ht, bool failed);
bool world_in_service (const struct world *wd, const struct world_host *ht);

/* Hosts, of so many of the pool, that may be out of service at a time.  */
uint32_t world_allowed (const struct world *wd, uint32_t pool, uint32_t hosts);

uint64_t world_random (struct world *wd, uint64_t below);
