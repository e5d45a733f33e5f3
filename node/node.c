#include "node/node.h"

#include <curl/curl.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>
#include <unistd.h>

#include "base/err.h"
#include "node/node_priv.h"

/* Start and readiness of the scheduler process.  */

/* Clients can query the state of an ended job for 120 s; the rest allows for
   the time until all processes have read its end.  */
#define ENDED_JOB_RETENTION_US 125000000
/* Short, so that the pool's owner removes the records of few jobs at a
   time.  */
#define EXPIRE_INTERVAL_US 1000000
/* Connections to one worker: one is occupied by a long poll for ended runs,
   the others carry commands of about 2 ms each.  A worker accepts 64
   connections from all processes together.  */
#define WORKER_CONNECTIONS 4

static bool
node_ready (void *arg)
{
  struct node *nod = arg;
  bool ready = !nod->stopping && node_view_current (nod)
               && follower_caught_up (&nod->member_fol);
  if (ready != nod->ready)
    log_event (nod->lg, EV_NODE_READY, LOG_S ("name", nod->set->name),
               LOG_I ("ready", ready), LOG_I ("stopping", nod->stopping));
  nod->ready = ready;
  return ready;
}

static char *
node_metrics (void *arg, void *parent)
{
  struct node *nod = arg;
  return counters_format (&nod->ctr, parent);
}

static void
on_stop_signal (struct tevent_context *ev, struct tevent_signal *se,
                int signum, int count, void *info, void *arg)
{
  node_begin_stop (arg);
}

/* Settings are command-line flags, so there is nothing to reload.  */
static void
on_hangup (struct tevent_context *ev, struct tevent_signal *se, int signum,
           int count, void *info, void *arg)
{
  struct node *nod = arg;
  log_event (nod->lg, EV_NODE_RELOADED, LOG_S ("name", nod->set->name),
             LOG_S ("changed", "nothing"));
}

static void
on_expire_timer (void *arg)
{
  struct node *nod = arg;
  int64_t before_us = clock_now_us (nod->clk) - ENDED_JOB_RETENTION_US;
  job_table_expire (&nod->jobs, before_us, node_forget_job, nod);
  state_view_expire (&nod->states, before_us);
  timer_add (nod->ev, nod, EXPIRE_INTERVAL_US, on_expire_timer, nod);
}

static enum log_level
parse_log_level (const char *name)
{
  static const char *const names[] = { "debug", "info", "warn", "error" };
  for (int n = 0; n < 4; n++)
    if (strcmp (name, names[n]) == 0)
      return (enum log_level)n;
  return LOG_LEVEL_INFO;
}

static int
start_front (struct node *nod)
{
  const struct front_settings set = {
    .listen = nod->set->listen,
    .ready_listen = nod->set->ready_listen,
    .metrics_listen = nod->set->metrics_listen,
  };
  const struct front_handler hdl = {
    .request = node_handle_request,
    .ready = node_ready,
    .metrics = node_metrics,
    .arg = nod,
  };
  return wire_front_create (nod, nod->ev, &set, &hdl, &nod->frt);
}

static int
start (struct node *nod)
{
  nod->ev = tevent_context_init (nod);
  nod->job_partitions
      = talloc_zero_array (nod, struct job_partition *, nod->set->partitions);
  if (!nod->ev || !nod->job_partitions
      || !tevent_add_signal (nod->ev, nod, SIGTERM, 0, on_stop_signal, nod)
      || !tevent_add_signal (nod->ev, nod, SIGINT, 0, on_stop_signal, nod)
      || !tevent_add_signal (nod->ev, nod, SIGHUP, 0, on_hangup, nod))
    return ERR_NOMEM;
  job_table_init (&nod->jobs);
  nod->jobs.withdrawn = node_drop_withdrawn;
  nod->jobs.arg = nod;
  int err = http_client_init (&nod->cli, nod, nod->ev, 0);
  if (!err)
    err = post_client_init (&nod->worker_cli, nod, nod->ev,
                            WORKER_CONNECTIONS);
  if (!err)
    err = wire_store_init (&nod->store, nod, &nod->cli, nod->set->store,
                           nod->clk, &nod->ctr);
  if (!err)
    err = wire_worker_init (&nod->worker_link, nod, &nod->worker_cli);
  if (!err && *nod->set->fleet_api)
    err = wire_fleet_init (&nod->fleet_link, nod, &nod->cli,
                           nod->set->fleet_api);
  if (!err)
    err = start_front (nod);
  if (!err)
    err = node_open_fleet (nod);
  if (!err)
    err = node_open_directory (nod);
  if (!err)
    err = node_open_duties (nod);
  if (!err)
    on_expire_timer (nod);
  return err;
}

int
node_run (void *parent, const struct node_settings *set)
{
  struct node *nod = talloc_zero (parent, struct node);
  if (!nod)
    return ERR_NOMEM;
  signal (SIGPIPE, SIG_IGN);
  nod->set = set;
  common_clock_init (&nod->common, &clock_system);
  nod->clk = &nod->common.clk;
  nod->started_us = clock_now_us (nod->clk);
  int err = node_set_identity (nod, clock_wall_ms (nod->clk));
  nod->lg = logger_create (NULL, &clock_system, STDOUT_FILENO,
                           parse_log_level (set->log_level));
  if (!err)
    err = nod->lg ? start (nod) : ERR_NOMEM;
  if (err)
    {
      log_event (nod->lg, EV_NODE_FAILED, LOG_S ("error", err_name (err)));
      goto done;
    }
  log_event (nod->lg, EV_NODE_STARTED, LOG_S ("name", set->name),
             LOG_S ("data_centre", set->data_centre),
             LOG_S ("metrics", set->metrics_listen),
             LOG_I ("boot", nod->boot));
  while (!nod->stopped && tevent_loop_once (nod->ev) == 0)
    ;
  log_event (nod->lg, EV_NODE_STOPPED, LOG_S ("name", set->name));

done:
  http_client_fini (&nod->cli);
  post_client_fini (&nod->worker_cli);
  if (nod->frt)
    wire_front_destroy (nod->frt);
  job_table_fini (&nod->jobs);
  state_view_fini (&nod->states);
  HASH_CLEAR (hh, nod->admissions);
  logger_destroy (nod->lg);
  talloc_free (nod);
  return err;
}
