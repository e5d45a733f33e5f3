#include "entry/serve.h"

#include <curl/curl.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include <sys/time.h>
#include <talloc.h>
#include <tevent.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/counter.h"
#include "base/err.h"
#include "base/log.h"
#include "entry/control.h"
#include "entry/operator.h"
#include "entry/traffic.h"
#include "store/host_http.h"
#include "store/log_http.h"

#define IDLE_TIMEOUT_S 30
#define MAX_CONNECTIONS 8192
/* Longest wait at shutdown for the remaining claim results to be recorded in
   the log.  */
#define CLAIMS_TIMEOUT_S 3
#define SECRET_MAX_BYTES 1024
#define SECRET_MIN_BYTES 16

struct serve
{
  const struct serve_settings *set;
  struct tevent_context *ev;
  struct logger *lg;
  struct counters ctr;
  struct log_http store;
  struct host_http host_api;
  struct control *ctl;
  struct traffic *trf;
  char secret[SECRET_MAX_BYTES + 1];
  char token[OPERATOR_TOKEN_MAX + 1];
  bool draining;
  bool stopping;
};

static void
stop_now (struct serve *srv, const char *cause)
{
  if (srv->stopping)
    return;
  srv->stopping = true;
  log_event (srv->lg, EV_SERVE_DRAINING, LOG_S ("mode", "at once"),
             LOG_S ("cause", cause));
  control_stop_now (srv->ctl);
}

static void
on_drain_deadline (struct tevent_context *ev, struct tevent_timer *te,
                   struct timeval tv, void *arg)
{
  stop_now (arg, "drain deadline");
}

static void
on_signal (struct tevent_context *ev, struct tevent_signal *se, int signum,
           int count, void *info, void *arg)
{
  struct serve *srv = arg;
  if (srv->draining)
    {
      stop_now (srv, "second signal");
      return;
    }
  srv->draining = true;
  log_event (srv->lg, EV_SERVE_DRAINING, LOG_S ("mode", "graceful"),
             LOG_I ("drain_ms", srv->set->drain_ms));
  control_drain (srv->ctl);
  int64_t ms = srv->set->drain_ms;
  tevent_add_timer (ev, ev,
                    tevent_timeval_current_ofs (ms / 1000, ms % 1000 * 1000),
                    on_drain_deadline, srv);
}

static uint64_t
random_number (void)
{
  uint64_t num = 0;
  if (getrandom (&num, sizeof num, 0) != sizeof num)
    num = (uint64_t)getpid ();
  return num;
}

static enum log_level
log_level_find (const char *name)
{
  static const char *const names[] = { "debug", "info", "warn", "error" };
  for (int n = 0; n < 4; n++)
    if (strcmp (name, names[n]) == 0)
      return n;
  return LOG_LEVEL_INFO;
}

/* The secret is read from a file so that it does not appear in flags, the
   environment or logs.  */
static int
read_secret (struct serve *srv)
{
  const char *path = srv->set->peer_secret_file;
  if (!*srv->set->peer_listen)
    return 0;
  FILE *file = fopen (path, "r");
  if (!file)
    return ERR_NOT_FOUND;
  size_t len = fread (srv->secret, 1, SECRET_MAX_BYTES, file);
  fclose (file);
  srv->secret[len] = '\0';
  srv->secret[strcspn (srv->secret, "\n")] = '\0';
  return strlen (srv->secret) >= SECRET_MIN_BYTES ? 0 : ERR_INVALID;
}

static int
start_control (struct serve *srv)
{
  const struct serve_settings *set = srv->set;
  struct log_http_settings store_set = log_http_settings_default;
  store_set.address = set->platform;
  store_set.client = set->name;
  int err = log_http_init (&srv->store, srv->ev, srv->ev, &store_set);
  if (err)
    return err;
  struct host_http_settings host_set = host_http_settings_default;
  host_set.address = set->platform;
  host_set.client = set->name;
  err = host_http_init (&srv->host_api, srv->ev, srv->ev, &host_set);
  if (err)
    return err;
  struct control_settings ctl_set = {
    .name = set->name,
    .data_centre = set->data_centre,
    .incarnation = (uint64_t)clock_wall_ms (&clock_system),
    .hosts_poll_ms = set->hosts_poll_ms,
    .key_lifetime_ms = set->key_lifetime_ms,
    .appends_per_s = (uint32_t)set->appends_per_s,
    .peer_listen = set->peer_listen,
    .peers = set->peers,
    .operator_listen = set->operator_listen,
    .operator_token = srv->token,
    .trace_count = (uint32_t)set->traces_max,
    .seed = random_number (),
  };
  err = read_secret (srv);
  if (!err && *set->operator_listen)
    err = operator_token_read (set->operator_token_file, srv->token);
  if (err)
    return err;
  ctl_set.peer_secret = srv->secret;
  return control_create (srv->ev, srv->ev, &ctl_set, &srv->store.st,
                         &srv->host_api.api, &clock_system, srv->lg, &srv->ctr,
                         &srv->ctl);
}

static int
start_traffic (struct serve *srv)
{
  const struct serve_settings *set = srv->set;
  const struct traffic_settings trf_set = {
    .listener = {
      .address = set->listen,
      .server = set->name,
      .max_body = (size_t)set->max_body,
      .max_connections = MAX_CONNECTIONS,
      .idle_timeout_s = IDLE_TIMEOUT_S,
      .key_lifetime_ms = set->key_lifetime_ms,
    },
    .data_centre = set->data_centre,
    .policy = set->policy,
    .remotes = set->remotes,
    .default_deadline_ms = set->deadline_ms,
    .leave_ms = set->leave_ms,
    .max_open = (uint32_t)set->max_open,
    .trace_count = (uint32_t)set->traces_max,
    .seed = set->seed ? (uint64_t)set->seed : random_number (),
  };
  int err = traffic_start (&trf_set, &clock_system, srv->lg, &srv->ctr,
                           control_mailbox (srv->ctl), &srv->trf);
  if (!err)
    control_attach (srv->ctl, srv->trf);
  return err;
}

static int
serve_start (struct serve *srv)
{
  srv->ev = tevent_context_init (NULL);
  if (!srv->ev)
    return ERR_NOMEM;
  if (!tevent_add_signal (srv->ev, srv->ev, SIGTERM, 0, on_signal, srv)
      || !tevent_add_signal (srv->ev, srv->ev, SIGINT, 0, on_signal, srv))
    return ERR_NOMEM;
  int err = start_control (srv);
  return err ? err : start_traffic (srv);
}

static void
print_ready_line (struct serve *srv)
{
  char *colon = strrchr (srv->set->listen, ':');
  uint16_t port = traffic_port (srv->trf);
  log_event (srv->lg, EV_SERVE_STARTED, LOG_S ("entry", srv->set->name),
             LOG_S ("data_centre", srv->set->data_centre),
             LOG_I ("port", port), LOG_S ("policy", srv->set->policy));
  printf ("ready caller=%.*s:%u peer_port=%u", (int)(colon - srv->set->listen),
          srv->set->listen, port, control_peer_port (srv->ctl));
  const char *operator_listen = srv->set->operator_listen;
  if (*operator_listen)
    printf (" operator=%.*s:%u",
            (int)(strrchr (operator_listen, ':') - operator_listen),
            operator_listen, control_operator_port (srv->ctl));
  putchar ('\n');
  fflush (stdout);
}

static void
on_claims_timeout (struct tevent_context *ev, struct tevent_timer *te,
                   struct timeval tv, void *arg)
{
  bool *timed_out = arg;
  *timed_out = true;
}

/* Waits for the results of claimed requests to be recorded in the log.
   Without that they would be lost, and their keys answered "unknown" from then
   on.  */
static void
wait_for_claims (struct serve *srv)
{
  bool timed_out = false;
  if (!tevent_add_timer (srv->ev, srv->ev,
                         tevent_timeval_current_ofs (CLAIMS_TIMEOUT_S, 0),
                         on_claims_timeout, &timed_out))
    return;
  while (!timed_out && !control_claims_idle (srv->ctl)
         && tevent_loop_once (srv->ev) == 0)
    ;
}

int
serve_run (void *parent, const struct serve_settings *set)
{
  struct serve *srv = talloc_zero (parent, struct serve);
  if (!srv)
    return ERR_NOMEM;
  signal (SIGPIPE, SIG_IGN);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  srv->set = set;
  srv->lg = logger_create (NULL, &clock_system, STDERR_FILENO,
                           log_level_find (set->log_level));
  int err = srv->lg ? serve_start (srv) : ERR_NOMEM;
  if (err)
    {
      log_event (srv->lg, EV_SERVE_FAILED, LOG_S ("error", err_name (err)));
      goto done;
    }
  print_ready_line (srv);
  while (!control_traffic_ended (srv->ctl) && tevent_loop_once (srv->ev) == 0)
    ;
  wait_for_claims (srv);
  log_event (srv->lg, EV_SERVE_STOPPED, LOG_S ("entry", set->name),
             LOG_S ("mode", srv->stopping ? "at once" : "graceful"));

done:
  if (srv->trf)
    {
      /* control_destroy reports the load of each closed peer as 0; these
         reports must not be posted to the freed traffic thread.  */
      control_detach (srv->ctl);
      traffic_join (srv->trf);
    }
  /* The log store and the host API end first: their calls in progress refer
     to memory of the control thread's state.  */
  if (srv->store.st.drv)
    log_store_fini (&srv->store.st);
  if (srv->host_api.api.drv)
    host_api_fini (&srv->host_api.api);
  control_destroy (srv->ctl);
  talloc_free (srv->ev);
  logger_destroy (srv->lg);
  curl_global_cleanup ();
  return err;
}
