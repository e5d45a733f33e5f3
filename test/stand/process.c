#include "test/stand/process.h"

#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "base/err.h"

#define OUTPUT_TIMEOUT_MS 60000 /* long, for tests on a busy machine */

/* Waits for output and reads it; what does not fit into the text is dropped.
   Returns 0 at the end of the output, on an error and on a timeout.  */
static int
read_output (struct process *pc)
{
  struct pollfd pfd = { .fd = pc->stdout_fd, .events = POLLIN };
  char dropped[4096];
  size_t room = sizeof pc->output - 1 - pc->output_size;
  if (poll (&pfd, 1, OUTPUT_TIMEOUT_MS) <= 0)
    return 0;
  ssize_t got = room > 0
                    ? read (pc->stdout_fd, pc->output + pc->output_size, room)
                    : read (pc->stdout_fd, dropped, sizeof dropped);
  if (room > 0 && got > 0)
    pc->output_size += got;
  pc->output[pc->output_size] = '\0';
  return got > 0;
}

int
process_start (struct process *pc, const char *const *argv, const char *until)
{
  int pipe_fds[2];
  memset (pc, 0, sizeof *pc);
  if (pipe (pipe_fds) != 0)
    return ERR_SYSTEM;
  pc->pid = fork ();
  if (pc->pid == 0)
    {
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      dup2 (pipe_fds[1], STDOUT_FILENO);
      close (pipe_fds[0]);
      close (pipe_fds[1]);
      execv (argv[0], (char *const *)argv);
      _exit (127);
    }
  close (pipe_fds[1]);
  pc->stdout_fd = pipe_fds[0];
  if (pc->pid < 0)
    return ERR_SYSTEM;
  while (until && !strstr (pc->output, until))
    if (!read_output (pc))
      return ERR_SYSTEM;
  return 0;
}

const char *
process_output_word (const struct process *pc, const char *prefix)
{
  static char words[8][64];
  static int next;
  char *word = words[next++ % 8];
  const char *at = strstr (pc->output, prefix);
  return at && sscanf (at + strlen (prefix), "%63s", word) == 1 ? word : NULL;
}

int
process_end (struct process *pc, int signal)
{
  int status;
  if (signal)
    kill (pc->pid, signal);
  while (read_output (pc))
    ;
  close (pc->stdout_fd);
  if (waitpid (pc->pid, &status, 0) != pc->pid)
    return -1;
  return WIFEXITED (status) ? WEXITSTATUS (status) : -1;
}
