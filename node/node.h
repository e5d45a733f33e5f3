#pragma once

#include <stdint.h>

#include "base/option.h"

/* The scheduler process.  It accepts jobs from clients over HTTP and performs
   the duties that it has claimed.  A duty is held by one process at a time:
   the placement of one pool's tasks, or the maintenance and moves of hosts.
   The process runs one event loop on one thread.  */

struct node_settings
{
  char *name;
  char *data_centre;
  char *store;          /* IP:PORT of the platform's store */
  char *fleet_api;      /* IP:PORT of the platform's host API; "": none */
  char *orders_fenced;  /* "true": the host API rejects orders with a lower
                           token than an earlier one */
  char *listen;         /* IP:PORT for clients */
  char *ready_listen;   /* IP:PORT of the readiness check */
  char *metrics_listen; /* IP:PORT of the metrics page; "": none */
  char *log_level;
  int64_t partitions;   /* in each topic of the store */
  int64_t cpu_milli;    /* processor time of this process, in 1/1000 core */
  int64_t heartbeat_ms; /* interval between reports to the other members */
  int64_t lease_ms;     /* lease of running tasks */
  int64_t lease_max_ms; /* longest lease that workers grant */
  int64_t confirm_ms;   /* no commands to workers once the last confirmation
                           of the duty is older than this */
  int64_t start_confirm_ms;  /* the same for starts; not above confirm_ms */
  int64_t config_age_max_ms; /* within this time after the store has confirmed
                                a version, the answers to clients follow it */
  int64_t grace_ms; /* from a stop signal until the process is killed */
};

extern const struct option_def node_options[];

/* Runs until SIGTERM or SIGINT.  SET has to outlive the call.  Returns 0, or
   the error code of a failed start.  */
int node_run (void *parent, const struct node_settings *set);
