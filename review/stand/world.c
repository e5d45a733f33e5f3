#define _GNU_SOURCE
#include "world.h"

#include <fcntl.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "net.h"
#include "store.h"

#define PARTITIONS 8
#define RETRIES 4
#define BUDGET_MS 3000
#define READY_MAX_MS 20000

struct node nodes[WORLD_NODES];
bool world_trouble = true;
struct job *jobs;

static FILE *record;
static const char *folder;
static int64_t begun;
static int store_port, machines_port;
static uint64_t last_id = 0xa11ce00000000000;

int64_t
world_ms (void)
{
  return net_now () - begun;
}

void
world_record (const char *format, ...)
{
  va_list args;
  va_start (args, format);
  fprintf (record, "%7.3f ", (double)world_ms () / 1000);
  vfprintf (record, format, args);
  fputc ('\n', record);
  fflush (record);
  va_end (args);
}

void
world_init (int argc, char **argv)
{
  const char *trouble = getenv ("TROUBLE");
  if (argc != 3)
    exit (2);
  signal (SIGPIPE, SIG_IGN);
  world_trouble = !trouble || strcmp (trouble, "0") != 0;
  record = fopen (argv[1], "w");
  folder = argv[2];
  begun = net_now ();
  if (!record)
    exit (2);
  store_port = store_start ();
  machines_port = store_machines_start ();
  world_record ("trouble %s", world_trouble ? "on" : "off");
}

static void
start_node (struct node *nod)
{
  char args[12][96];
  char *argv[16];
  int n = 0;
  snprintf (args[n++], 96, "target/kingcuphollow");
  snprintf (args[n++], 96, "schedule");
  snprintf (args[n++], 96, "--name=%s", nod->name);
  snprintf (args[n++], 96, "--data-centre=%s", nod->zone);
  snprintf (args[n++], 96, "--store=127.0.0.1:%d", store_port);
  snprintf (args[n++], 96, "--partitions=%d", PARTITIONS);
  snprintf (args[n++], 96, "--fleet-api=127.0.0.1:%d", machines_port);
  snprintf (args[n++], 96, "--orders-fenced=true");
  snprintf (args[n++], 96, "--listen=127.0.0.1:%d", nod->listen);
  snprintf (args[n++], 96, "--ready-listen=127.0.0.1:%d", nod->ready);
  snprintf (args[n++], 96, "--metrics-listen=127.0.0.1:%d", nod->metrics);
  snprintf (args[n++], 96, "--cpu-share=0.25");
  for (int m = 0; m < n; m++)
    argv[m] = args[m];
  argv[n++] = "--lease-max-ms=10000";
  argv[n] = NULL;
  nod->pid = fork ();
  if (nod->pid == 0)
    {
      int fd = open (nod->log, O_WRONLY | O_CREAT | O_APPEND, 0600);
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      dup2 (fd, 1);
      dup2 (fd, 2);
      execv (argv[0], argv);
      _exit (127);
    }
  world_record ("%s: started", nod->name);
}

void
world_start_nodes (void)
{
  store_put ("keyed.op", "config",
             "{\"version\":3,\"routes\":[{\"name\":\"r-1\",\"host\":"
             "\"" WORLD_HOST "\",\"path-prefix\":\"" WORLD_PREFIX
             "\",\"route-type\":\"non_idempotent\",\"timeout-ms\":3000,"
             "\"target-latency-ms\":600,\"priority\":0,\"service\":"
             "\"" WORLD_POOL "\",\"attempts\":4,\"stretch\":1.6}],"
             "\"services\":[{\"name\":\"" WORLD_POOL
             "\",\"health-path\":\"/health\",\"max-conns\":64,\"protocol\":"
             "\"h1\",\"tls\":false,\"enforces-capacity\":false,\"spare\":"
             "false}],\"limits\":{\"max-header-bytes\":16384,"
             "\"max-body-bytes\":262144,\"header-timeout-ms\":3000,"
             "\"idle-timeout-ms\":15000}}");
  for (int n = 0; n < WORLD_NODES; n++)
    {
      struct node *nod = &nodes[n];
      snprintf (nod->name, sizeof nod->name, "edge-%c-1", 'a' + n);
      snprintf (nod->zone, sizeof nod->zone, "zone-%c", 'a' + n);
      snprintf (nod->log, sizeof nod->log, "%.1000s/%.15s.log", folder,
                nod->name);
      nod->listen = net_free_port ();
      nod->ready = net_free_port ();
      nod->metrics = net_free_port ();
      start_node (nod);
    }
}

void
world_stop_nodes (void)
{
  for (int n = 0; n < WORLD_NODES; n++)
    if (nodes[n].pid > 0)
      {
        kill (nodes[n].pid, SIGCONT);
        kill (nodes[n].pid, SIGKILL);
        waitpid (nodes[n].pid, NULL, 0);
        nodes[n].pid = 0;
      }
}

void
world_exit (int status)
{
  world_stop_nodes ();
  world_record ("exit %d", status);
  fclose (record);
  exit (status);
}

struct node *
world_owner (void)
{
  struct node *owner = NULL;
  long long highest = 0;
  for (int n = 0; n < WORLD_NODES; n++)
    {
      char line[1024];
      FILE *log = fopen (nodes[n].log, "r");
      while (log && fgets (line, sizeof line, log))
        {
          char *pos = strstr (line, "token=");
          if (!strstr (line, "name=duty.begun ")
              || !strstr (line, "duty=" WORLD_POOL " ") || !pos)
            continue;
          long long token = atoll (pos + 6);
          if (token > highest)
            {
              highest = token;
              owner = &nodes[n];
            }
        }
      if (log)
        fclose (log);
    }
  return owner;
}

static void (*ready_fn) (void);
static int ready_count;

static void
on_ready (void *arg, int status, const char *body)
{
  ready_count += status == 200;
}

static void
check_ready (void *arg)
{
  struct node *owner = world_owner ();
  if (ready_count == WORLD_NODES && owner)
    {
      world_record ("all processes are ready; %s owns the pool", owner->name);
      ready_fn ();
      return;
    }
  if (world_ms () > READY_MAX_MS)
    {
      world_record ("the processes are not ready");
      world_exit (2);
    }
  ready_count = 0;
  for (int n = 0; n < WORLD_NODES; n++)
    net_call (nodes[n].ready, "GET", "/v1/ready", "ready", "", 400, on_ready,
              NULL);
  net_after (500, check_ready, NULL);
}

void
world_when_ready (void (*fn) (void))
{
  ready_fn = fn;
  net_after (1000, check_ready, NULL);
}

struct attempt
{
  struct job *job;
  int node;
  int64_t end; /* of the client's time budget */
  char *body;
};

static void send_attempt (struct attempt *att);

static void
on_submitted (void *arg, int status, const char *body)
{
  struct attempt *att = arg;
  struct job *job = att->job;
  job->status = status;
  world_record ("client: job %s attempt %d at %s: %d %s", job->name,
                job->attempts, nodes[att->node].name, status, body);
  if (status / 100 == 2 && !job->accepted)
    {
      job->accepted = true;
      job->accepted_at = net_now ();
    }
  if ((status == 0 || status == 502 || status == 504)
      && job->attempts <= RETRIES && net_now () + 100 < att->end)
    {
      att->node = (att->node + 1) % WORLD_NODES;
      send_attempt (att);
      return;
    }
  free (att->body);
  free (att);
}

static void
send_attempt (struct attempt *att)
{
  char path[64];
  snprintf (path, sizeof path, WORLD_PREFIX "%s", att->job->name);
  att->job->attempts++;
  net_call (nodes[att->node].listen, "POST", path, WORLD_HOST, att->body,
            (int)(att->end - net_now ()), on_submitted, att);
}

struct job *
world_submit (int node, const char *body)
{
  struct job *job = calloc (1, sizeof *job);
  struct attempt *att = calloc (1, sizeof *att);
  job->id = ++last_id;
  snprintf (job->name, sizeof job->name, "%016llx",
            (unsigned long long)job->id);
  job->next = jobs;
  jobs = job;
  att->job = job;
  att->node = node;
  att->end = net_now () + BUDGET_MS;
  att->body = strdup (body);
  world_record ("client: job %s is handed in at %s", job->name,
                nodes[node].name);
  send_attempt (att);
  return job;
}

static void
on_state (void *arg, int status, const char *body)
{
  struct job *job = arg;
  const char *pos = strstr (body, "\"state\":\"");
  job->state_status = status;
  job->read_at = net_now ();
  *job->state = '\0';
  if (status == 200 && pos)
    snprintf (job->state, sizeof job->state, "%.*s",
              (int)strcspn (pos + 9, "\""), pos + 9);
}

void
world_ask (struct job *job, int node)
{
  char path[64];
  snprintf (path, sizeof path, WORLD_PREFIX "%s", job->name);
  net_call (nodes[node].listen, "GET", path, WORLD_HOST, "", 2000, on_state,
            job);
}

struct job *
world_find_job (const char *task)
{
  for (struct job *job = jobs; job; job = job->next)
    if (strncmp (job->name, task, 16) == 0)
      return job;
  return NULL;
}
