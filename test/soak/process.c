#include "test/soak/process.h"

#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "test/soak/judge.h"
#include "test/soak/net.h"
#include "test/soak/store.h"

#define PARTITIONS 8
#define ARGS_MAX 16
#define WATCH_MS 20
#define READY_MS 1000 /* between looks of the platform */
#define READY_MISSES 2

struct process processes[PROCESSES_MAX];
int process_count;

static const char *program;
static int machines_port;
static bool ending;

static void
run_program (const struct process *prc)
{
  char args[ARGS_MAX][120];
  char *argv[ARGS_MAX];
  int n = 0;
  snprintf (args[n++], 120, "%.119s", program);
  snprintf (args[n++], 120, "schedule");
  snprintf (args[n++], 120, "--name=%s", prc->name);
  snprintf (args[n++], 120, "--data-centre=%s", prc->zone);
  snprintf (args[n++], 120, "--store=127.0.0.1:%d", prc->store);
  snprintf (args[n++], 120, "--partitions=%d", PARTITIONS);
  snprintf (args[n++], 120, "--fleet-api=127.0.0.1:%d", machines_port);
  snprintf (args[n++], 120, "--orders-fenced=true");
  snprintf (args[n++], 120, "--listen=127.0.0.1:%d", prc->listen);
  snprintf (args[n++], 120, "--ready-listen=127.0.0.1:%d", prc->ready);
  snprintf (args[n++], 120, "--metrics-listen=127.0.0.1:%d", prc->metrics);
  snprintf (args[n++], 120, "--cpu-share=0.25");
  snprintf (args[n++], 120, "--lease-max-ms=%d", HOLD_MAX_MS);
  for (int m = 0; m < n; m++)
    argv[m] = args[m];
  argv[0] = (char *)program;
  argv[n] = NULL;
  int fd = open (prc->log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  prctl (PR_SET_PDEATHSIG, SIGKILL);
  if (fd >= 0)
    {
      dup2 (fd, 1);
      dup2 (fd, 2);
    }
  execv (program, argv);
  _exit (127);
}

static void
start_process (struct process *prc)
{
  prc->pid = fork ();
  if (prc->pid < 0)
    soak_fail ("fork: %s", strerror (errno));
  if (prc->pid == 0)
    run_program (prc);
  prc->state = PROCESS_RUNS;
  prc->was_ready = false;
  int64_t now = soak_ms ();
  impair_span (IMPAIRED_PROCESS, prc->index, now, now);
}

static void
start_again (void *arg)
{
  struct process *prc = arg;
  if (ending || prc->state != PROCESS_ENDED)
    return;
  impair_end (prc->impairment);
  start_process (prc);
  soak_log ("process %s is started again", prc->name);
}

/* Looks for processes that have ended by themselves.  */
static void
watch (void *arg)
{
  struct process *prc = arg;
  int status;
  if (ending)
    return;
  net_after (WATCH_MS, watch, prc);
  if (prc->state == PROCESS_ENDED || waitpid (prc->pid, &status, WNOHANG) == 0)
    return;
  if (prc->state != PROCESS_STOPPING)
    {
      judge_broken ("FAULT", "process %s has ended by itself: %s %d",
                    prc->name, WIFSIGNALED (status) ? "signal" : "exit",
                    WIFSIGNALED (status) ? WTERMSIG (status)
                                         : WEXITSTATUS (status));
      prc->impairment = impair_begin (IMPAIRED_PROCESS, prc->index);
    }
  prc->state = PROCESS_ENDED;
  net_after (500, start_again, prc);
}

static void
end_process (struct process *prc)
{
  kill (prc->pid, SIGKILL);
  waitpid (prc->pid, NULL, 0);
  prc->state = PROCESS_ENDED;
}

bool
process_kill (int index, int64_t down_ms)
{
  struct process *prc = &processes[index];
  if (prc->state != PROCESS_RUNS)
    return false;
  soak_log ("fault: SIGKILL to %s, down for %ld ms", prc->name, (long)down_ms);
  prc->impairment = impair_begin (IMPAIRED_PROCESS, index);
  end_process (prc);
  net_after (down_ms, start_again, prc);
  return true;
}

static void
go_on (void *arg)
{
  struct process *prc = arg;
  if (ending || prc->state != PROCESS_PAUSED)
    return;
  kill (prc->pid, SIGCONT);
  prc->state = PROCESS_RUNS;
  impair_end (prc->impairment);
  soak_log ("process %s goes on", prc->name);
}

bool
process_pause (int index, int64_t ms)
{
  struct process *prc = &processes[index];
  if (prc->state != PROCESS_RUNS)
    return false;
  soak_log ("fault: SIGSTOP to %s for %ld ms", prc->name, (long)ms);
  prc->impairment = impair_begin (IMPAIRED_PROCESS, index);
  kill (prc->pid, SIGSTOP);
  prc->state = PROCESS_PAUSED;
  net_after (ms, go_on, prc);
  return true;
}

static void
end_grace (void *arg)
{
  struct process *prc = arg;
  if (ending || prc->state != PROCESS_STOPPING)
    return;
  soak_log ("process %s has not ended in time, SIGKILL", prc->name);
  end_process (prc);
  net_after (500, start_again, prc);
}

bool
process_stop (int index, int64_t down_ms)
{
  struct process *prc = &processes[index];
  if (prc->state != PROCESS_RUNS)
    return false;
  soak_log ("fault: SIGTERM to %s", prc->name);
  prc->impairment = impair_begin (IMPAIRED_STOP, index);
  kill (prc->pid, SIGTERM);
  prc->state = PROCESS_STOPPING;
  net_after (GRACE_MS, end_grace, prc);
  return true;
}

void
process_hup (int index)
{
  const struct process *prc = &processes[index];
  if (prc->state != PROCESS_RUNS || !prc->was_ready)
    return;
  soak_log ("SIGHUP to %s", prc->name);
  kill (prc->pid, SIGHUP);
}

/* The platform's look at a process.  */
static void
on_ready (void *arg, const struct answer *ans)
{
  struct process *prc = arg;
  prc->ready_misses = ans->status == 200 ? 0 : prc->ready_misses + 1;
  prc->was_ready |= ans->status == 200;
}

static void
look_at_ready (void *arg)
{
  struct process *prc = arg;
  const struct call call = { .port = prc->ready,
                             .timeout_ms = READY_MS - 100,
                             .method = "GET",
                             .path = "/v1/ready",
                             .host = "ready" };
  if (ending)
    return;
  net_call (&call, on_ready, prc);
  net_after (READY_MS, look_at_ready, prc);
}

bool
process_all_ready (void)
{
  for (int n = 0; n < process_count; n++)
    if (processes[n].ready_misses != 0)
      return false;
  return true;
}

int
process_pick (struct rng *rng)
{
  int in_rotation = 0;
  for (int n = 0; n < process_count; n++)
    in_rotation += processes[n].ready_misses < READY_MISSES;
  /* With under half in rotation the platform uses all.  */
  bool all = in_rotation * 2 < process_count;
  int pick;
  do
    pick = (int)soak_between (rng, 0, process_count - 1);
  while (!all && processes[pick].ready_misses >= READY_MISSES);
  return pick;
}

void
process_start_all (const char *binary, int count, const char *folder)
{
  program = binary;
  process_count = count;
  machines_port = store_machines_start ();
  for (int n = 0; n < count; n++)
    {
      struct process *prc = &processes[n];
      *prc = (struct process){ .index = n, .ready_misses = READY_MISSES };
      snprintf (prc->name, sizeof prc->name, "p-%02d", n);
      snprintf (prc->zone, sizeof prc->zone, "zone-%c", 'a' + n % 3);
      snprintf (prc->log, sizeof prc->log, "%.550s/%s.log", folder, prc->name);
      unlink (prc->log); /* of an earlier run */
      store_listen (n, &prc->store);
      prc->listen = net_free_port ();
      prc->ready = net_free_port ();
      prc->metrics = net_free_port ();
      start_process (prc);
      watch (prc);
      look_at_ready (prc);
    }
}

void
process_end_all (void)
{
  ending = true;
  for (int n = 0; n < process_count; n++)
    if (processes[n].state != PROCESS_ENDED)
      {
        kill (processes[n].pid, SIGKILL);
        waitpid (processes[n].pid, NULL, 0);
        processes[n].state = PROCESS_ENDED;
      }
}
