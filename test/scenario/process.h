#pragma once

#include <stdbool.h>
#include <sys/types.h>

#include "test/scenario/scenario.h"

/* Child processes.  Each dies with the runner, however that ends.  */

typedef void process_line_fn (void *arg, const char *line);

struct process
{
  struct process *prev, *next;
  struct scenario *sc;
  const char *name;
  pid_t pid;
  bool exited;
  int status;      /* as waitpid gives it */
  bool may_exit;   /* its end is part of the scenario */
  const char *log; /* file that receives its stderr */
  /* private */
  process_line_fn *line_fn;
  void *arg;
  int out_fd;
  struct tevent_fd *event;
  char line[1024];
  size_t line_len;
};

/* Starts ARGV (NULL-terminated; ARGV[0] is the path).  FN gets the lines of
   its standard output; its standard error goes to DIR/NAME.log.  Returns NULL
   and fails the scenario when the system refuses.  */
struct process *process_start (struct scenario *sc, const char *name,
                               char *const argv[], process_line_fn *fn,
                               void *arg);
void process_signal (struct process *ps, int sig);
bool process_exited (struct scenario *sc, void *process);

/* Notes the children that ended; an end that the scenario did not ask for
   fails it.  */
int process_watch (struct scenario *sc);

/* Kills all that still run.  */
void process_kill_all (struct scenario *sc);

/* "exit 0" or "signal 9", for messages.  */
const char *process_status (const struct process *ps);
