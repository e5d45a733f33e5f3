#include "cli/wave_session.h"

#include <string.h>
#include <sys/random.h>
#include <talloc.h>
#include <tevent.h>

#include "base/clock.h"
#include "base/err.h"

#define WRITER "wave-command"
#define US_PER_MS 1000

/* A read of the host list.  */
struct hosts_request
{
  struct wave_session *ses;
  bool done;
};

static void
on_hosts (void *arg, const struct hosts_result *res)
{
  struct hosts_request *req = arg;
  struct wave_session *ses = req->ses;
  req->done = true;
  ses->hosts_err = res->err;
  if (res->err == 0)
    ses->hosts_err
        = host_list_parse (ses->ctx, res->json, res->len, &ses->hosts);
}

const char *
wave_session_assigned_pool (void *arg, const char *host)
{
  struct wave_session *ses = arg;
  const struct fold_host *assignment
      = fold_host_find (state_fold (&ses->table.st), host);
  return assignment ? assignment->pool : NULL;
}

/* Reads the host list and builds the fleet.  Returns 0, also when the list
   cannot be read, ERR_SYSTEM or ERR_NOMEM.  */
static int
read_hosts (struct wave_session *ses)
{
  struct hosts_request req = { .ses = ses };
  int err = log_store_read_hosts (&ses->table.http.st, on_hosts, &req);
  while (err == 0 && !req.done)
    if (tevent_loop_once (ses->table.ev) != 0)
      return ERR_SYSTEM;
  if (err)
    ses->hosts_err = err;
  if (ses->hosts_err == 0)
    ses->hosts_err = wave_fleet_build (
        ses->ctx, ses->hosts, state_fold (&ses->table.st)->table,
        wave_session_assigned_pool, ses, &ses->fleet);
  return ses->hosts_err == ERR_NOMEM ? ERR_NOMEM : 0;
}

int64_t
wave_session_deadline_us (const struct wave_session *ses)
{
  return clock_now_us (&clock_system) + ses->opt->timeout_ms * US_PER_MS;
}

int
wave_session_open (struct wave_session *ses, void *ctx,
                   const struct wave_options *opt)
{
  struct wave_run_settings set;
  memset (ses, 0, sizeof *ses);
  ses->ctx = ctx;
  ses->opt = opt;
  ses->table_opt = (struct table_options){ .platform = opt->platform,
                                           .editor = opt->editor,
                                           .seen_version = "",
                                           .timeout_ms = opt->timeout_ms };
  int err = table_session_open (&ses->table, ctx, &ses->table_opt);
  if (err)
    return err;
  wave_run_settings_init (&set);
  set.core.name = WRITER;
  if (getrandom (&set.core.incarnation, sizeof set.core.incarnation, 0)
      != sizeof set.core.incarnation)
    return ERR_SYSTEM;
  err = wave_run_init (&ses->run, ctx, &set, &ses->table.http.st, NULL,
                       ses->table.ev, &clock_system, NULL);
  if (err)
    return err;
  int64_t deadline = wave_session_deadline_us (ses);
  while (!wave_run_ready (&ses->run))
    {
      if (clock_now_us (&clock_system) >= deadline)
        return ERR_TIMEOUT;
      if (tevent_loop_once (ses->table.ev) != 0)
        return ERR_SYSTEM;
    }
  return read_hosts (ses);
}

void
wave_session_close (struct wave_session *ses)
{
  wave_run_fini (&ses->run);
  table_session_close (&ses->table);
}

void
wave_session_edit_done (void *arg, int err, enum wave_effect effect)
{
  *(struct wave_edit_result *)arg = (struct wave_edit_result){
    .done = true, .err = err, .effect = effect
  };
}

int
wave_session_wait (struct wave_session *ses,
                   const struct wave_edit_result *res)
{
  while (!res->done)
    if (tevent_loop_once (ses->table.ev) != 0)
      return ERR_SYSTEM;
  return 0;
}
