#pragma once

#include <stddef.h>
#include <sys/types.h>

/* Child processes of a test, whose standard output it reads.  The kernel kills
   them when the test exits.  */

struct process
{
  pid_t pid;
  int stdout_fd;      /* read end of the pipe from its standard output */
  char output[16384]; /* start of its standard output, NUL-terminated */
  size_t output_size; /* of text in bytes */
};

/* Starts the program ARGV and waits until its output contains UNTIL (NULL:
   does not wait).  Returns 0, or ERR_SYSTEM when the program cannot be started
   or its output ends or pauses for a minute before that.  */
int process_start (struct process *pc, const char *const *argv,
                   const char *until);

/* The word that follows PREFIX in the output, or NULL.  The buffer is reused
   after 8 calls.  */
const char *process_output_word (const struct process *pc, const char *prefix);

/* Sends SIGNAL (0: none), reads the rest of the output and waits for the
   process to exit.  Returns its exit code, or -1 when a signal ended it.  */
int process_end (struct process *pc, int signal);
