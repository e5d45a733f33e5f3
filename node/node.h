#pragma once

#include <stdint.h>

#include "base/option.h"

/* The scheduler process on the users' platform: takes jobs from clients and
   holds a share of the duties, the placing of a pool's tasks and the hosts'
   upkeep.  */

struct node_settings
{
  char *name;
  char *data_centre;
  char *store;
  char *fleet_api;
  char *listen;
  char *ready_listen;
  char *metrics_listen;
  char *log_level;
  int64_t partitions;
  int64_t cpu_milli;
  int64_t beat_ms;
  int64_t lease_ms;
  int64_t lease_max_ms;
  int64_t confirm_ms;
};

extern const struct option_def node_options[];

/* Runs until a stop.  Returns 0, or what kept it from starting.  */
int node_run (void *parent, const struct node_settings *set);
