#pragma once

/* The product's processes: each is started with the command of the deploy
   file and has a store port of its own.  */

#include <sys/types.h>

#include "test/soak/soak.h"

#define PROCESSES_MAX 150

enum process_state
{
  PROCESS_RUNS,
  PROCESS_PAUSED,
  PROCESS_STOPPING, /* SIGTERM was sent */
  PROCESS_ENDED,    /* ended by a fault; it is started again */
};

struct process
{
  int index;
  char name[16], zone[16], log[600];
  int store, listen, ready, metrics;
  pid_t pid;
  enum process_state state;
  size_t impairment; /* while paused, stopping or ended */
  int64_t pause_until;
  int ready_misses;
  bool was_ready; /* since its start */
};

extern struct process processes[PROCESSES_MAX];
extern int process_count;

/* Starts COUNT processes of the binary PROGRAM, with logs in FOLDER.  */
void process_start_all (const char *program, int count, const char *folder);
/* Whether all are ready; asks them again meanwhile.  */
bool process_all_ready (void);
/* Faults.  Each does nothing if the process has another one.  */
bool process_kill (int index, int64_t down_ms);
bool process_pause (int index, int64_t ms);
bool process_stop (int index, int64_t down_ms);
/* Sends SIGHUP to a process that has been ready.  */
void process_hup (int index);
/* Ends all processes.  */
void process_end_all (void);
/* A process to which the platform sends a new connection.  */
int process_pick (struct rng *rng);
