#pragma once

#include <stddef.h>
#include <sys/types.h>

/* Programs that a test starts.  They end with the test.  */

struct process
{
  pid_t pid;
  int out;
  char text[16384]; /* what it has written to its standard output */
  size_t size;
};

/* Starts ARGV and waits until its output holds a line UNTIL (NULL: does not
   wait).  Returns 0 or ERR_SYSTEM.  */
int process_start (struct process *pc, const char *const *argv,
                   const char *until);

/* The word after PREFIX in the output, in a buffer that the next calls use
   again; NULL when there is none.  */
const char *process_word (const struct process *pc, const char *prefix);

/* Sends SIGNAL (0: none), reads the rest of the output and waits for the end.
   Returns the exit code, or -1 when a signal ended the process.  */
int process_end (struct process *pc, int signal);
