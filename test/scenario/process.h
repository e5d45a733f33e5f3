#pragma once

#include <stdbool.h>
#include <sys/types.h>

#include "test/scenario/scenario.h"

/* Child processes of the runner.  The kernel kills them when the runner ends
   in any way.  */

typedef void process_line_fn (void *arg, const char *line);

struct process
{
  struct process *prev, *next;
  struct scenario *sc;
  const char *name;
  pid_t pid;
  bool exited;
  int status;      /* as waitpid returns it */
  bool may_exit;   /* its exit does not fail the scenario */
  const char *log; /* file that receives its stderr */
  /* Private to process.c.  */
  process_line_fn *line_fn;
  void *arg;
  int out_fd;
  struct tevent_fd *event;
  char line[1024];
  size_t line_len;
};

/* Starts ARGV (NULL-terminated; ARGV[0] is the path).  FN is called for each
   line of its standard output; its standard error goes to NAME.log in the
   scenario's out_dir.  Returns NULL and fails the scenario on a system
   error.  */
struct process *process_start (struct scenario *sc, const char *name,
                               char *const argv[], process_line_fn *fn,
                               void *arg);
void process_signal (struct process *ps, int sig);
/* A scenario_cond: whether PROCESS exited.  */
bool process_exited (struct scenario *sc, void *process);

/* Installs the SIGCHLD handler, which records the exit of children and fails
   the scenario when one exits that may not.  Returns -1 on an error.  */
int process_watch (struct scenario *sc);

/* Kills the children that still run.  */
void process_kill_all (struct scenario *sc);

/* Returns a text such as "running", "exit 0" or "signal 9", for messages.  The
   next call overwrites it.  */
const char *process_status (const struct process *ps);
