/* The connections of a worker are reset when it has done a start and not
   answered it yet; for the next second it answers 503.  Rule: TWICE.  */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "net.h"
#include "store.h"
#include "worker.h"
#include "world.h"

#define WORKERS 12
#define JOBS_INTERVAL_MS 200
#define JOBS 100 /* 20 s */
#define TROUBLE_AT_JOB 60
/* Length of the worker's grey time, and starts of a worker before it may be
   the grey one.  */
#define GREY_MS 1000
#define STARTS_MIN 50
#define SETTLE_MS 8000

static int job_count;
static struct worker *grey;
static int64_t grey_until;

static int64_t
work_ms (const char *task)
{
  return 2000;
}

static enum worker_fate
decide (struct worker *wrk, const struct request *req)
{
  if (wrk == grey && net_now () < grey_until)
    return WORKER_BUSY;
  /* Any start on a connection that has carried a call before; most have.  */
  if (!world_trouble || grey || job_count < TROUBLE_AT_JOB
      || wrk->starts < STARTS_MIN || req->served == 0
      || strcmp (req->path, "/v1/run-start") != 0)
    return WORKER_NORMAL;
  grey = wrk;
  grey_until = net_now () + GREY_MS;
  world_record ("%s: answers 503 for %d ms from the next call on", wrk->id,
                GREY_MS);
  return WORKER_RESET;
}

static void
finish (void *arg)
{
  size_t broken = worker_check_twice ();
  unsigned starts = 0;
  int accepted = 0;
  for (size_t n = 0; n < worker_count; n++)
    starts += workers[n].starts;
  for (struct job *job = jobs; job; job = job->next)
    accepted += job->accepted;
  world_record ("%d jobs, %d accepted, %u starts, TWICE broken %zu times",
                job_count, accepted, starts, broken);
  if (world_trouble && !grey)
    world_exit (2);
  world_exit (accepted == 0 ? 2 : broken > 0);
}

static void
submit (void *arg)
{
  world_submit (job_count % WORLD_NODES,
                "{\"spec\":\"count\",\"steps\":[{\"count\":6,\"cpu\":1800,"
                "\"mem-mb\":1024,\"estimate-ms\":2000}]}");
  if (++job_count < JOBS)
    net_after (JOBS_INTERVAL_MS, submit, NULL);
  else
    net_after (SETTLE_MS, finish, NULL);
}

static void
begin (void)
{
  submit (NULL);
}

int
main (int argc, char **argv)
{
  world_init (argc, argv);
  worker_work_ms = work_ms;
  worker_decide = decide;
  for (int n = 0; n < WORKERS; n++)
    {
      char id[32], zone[16], rack[16];
      snprintf (id, sizeof id, "i-%02d", n);
      snprintf (zone, sizeof zone, "zone-%c", 'a' + n % 3);
      snprintf (rack, sizeof rack, "r-%d", n / 4);
      worker_add (id, zone, "a", rack);
    }
  world_start_nodes ();
  world_when_ready (begin);
  net_run ();
  return 2;
}
