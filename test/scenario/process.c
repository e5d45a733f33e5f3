#include "test/scenario/process.h"

#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <talloc.h>
#include <unistd.h>
#include <utlist.h>

static void
read_lines (struct process *ps)
{
  char buf[512];
  ssize_t len;
  while ((len = read (ps->out_fd, buf, sizeof buf)) > 0)
    for (ssize_t n = 0; n < len; n++)
      {
        if (buf[n] != '\n' && ps->line_len < sizeof ps->line - 1)
          ps->line[ps->line_len++] = buf[n];
        if (buf[n] != '\n')
          continue;
        ps->line[ps->line_len] = '\0';
        ps->line_len = 0;
        if (ps->line_fn)
          ps->line_fn (ps->arg, ps->line);
      }
  if (len == 0 || errno != EAGAIN)
    TALLOC_FREE (ps->event);
}

static void
on_output (struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags,
           void *arg)
{
  read_lines (arg);
}

static void
run_child (const struct process *ps, char *const argv[], int out_fd,
           pid_t parent)
{
  sigset_t none;
  int log_fd = open (ps->log, O_WRONLY | O_CREAT | O_APPEND, 0644);
  prctl (PR_SET_PDEATHSIG, SIGKILL);
  /* The parent may have exited before prctl took effect.  */
  if (getppid () != parent || log_fd < 0)
    _exit (127);
  sigemptyset (&none);
  sigprocmask (SIG_SETMASK, &none, NULL);
  signal (SIGPIPE, SIG_DFL);
  dup2 (out_fd, STDOUT_FILENO);
  dup2 (log_fd, STDERR_FILENO);
  execv (argv[0], argv);
  dprintf (STDERR_FILENO, "%s: %s\n", argv[0], strerror (errno));
  _exit (127);
}

struct process *
process_start (struct scenario *sc, const char *name, char *const argv[],
               process_line_fn *fn, void *arg)
{
  int fds[2];
  struct process *ps = talloc_zero (sc, struct process);
  pid_t parent = getpid ();
  ps->sc = sc;
  ps->name = talloc_strdup (ps, name);
  ps->log = talloc_asprintf (ps, "%s/%s.log", sc->out_dir, name);
  ps->line_fn = fn;
  ps->arg = arg;
  if (pipe2 (fds, O_CLOEXEC) != 0 || (ps->pid = fork ()) < 0)
    {
      scenario_fail (sc, "%s: %s", name, strerror (errno));
      return NULL;
    }
  if (ps->pid == 0)
    run_child (ps, argv, fds[1], parent);
  close (fds[1]);
  fcntl (fds[0], F_SETFL, O_NONBLOCK);
  ps->out_fd = fds[0];
  ps->event
      = tevent_add_fd (sc->ev, ps, ps->out_fd, TEVENT_FD_READ, on_output, ps);
  tevent_fd_set_auto_close (ps->event);
  DL_APPEND (sc->processes, ps);
  return ps;
}

void
process_signal (struct process *ps, int sig)
{
  if (!ps->exited)
    kill (ps->pid, sig);
}

bool
process_exited (struct scenario *sc, void *process)
{
  return ((struct process *)process)->exited;
}

const char *
process_status (const struct process *ps)
{
  static char text[32];
  if (!ps->exited)
    return "running";
  if (WIFEXITED (ps->status))
    snprintf (text, sizeof text, "exit %d", WEXITSTATUS (ps->status));
  else
    snprintf (text, sizeof text, "signal %d", WTERMSIG (ps->status));
  return text;
}

static void
on_child (struct tevent_context *ev, struct tevent_signal *se, int signum,
          int count, void *info, void *arg)
{
  struct scenario *sc = arg;
  struct process *ps;
  DL_FOREACH (sc->processes, ps)
    {
      if (ps->exited || waitpid (ps->pid, &ps->status, WNOHANG) != ps->pid)
        continue;
      ps->exited = true;
      if (ps->event)
        read_lines (ps);
      if (!ps->may_exit)
        scenario_fail (sc, "%s exited unexpectedly: %s (see %s)", ps->name,
                       process_status (ps), ps->log);
    }
}

int
process_watch (struct scenario *sc)
{
  return tevent_add_signal (sc->ev, sc, SIGCHLD, 0, on_child, sc) ? 0 : -1;
}

void
process_kill_all (struct scenario *sc)
{
  struct process *ps;
  DL_FOREACH (sc->processes, ps)
    {
      if (ps->exited)
        continue;
      ps->may_exit = true;
      kill (ps->pid, SIGKILL);
      waitpid (ps->pid, &ps->status, 0);
      ps->exited = true;
    }
}
