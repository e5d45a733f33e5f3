#include "cli/table_session.h"

#include <jansson.h>
#include <string.h>
#include <sys/random.h>
#include <talloc.h>
#include <tevent.h>

#include "base/clock.h"
#include "base/err.h"

#define WRITER "table-command"

static void
on_timeout (struct tevent_context *ev, struct tevent_timer *te,
            struct timeval now, void *arg)
{
  ((struct table_session *)arg)->timed_out = true;
}

static struct tevent_timer *
start_timeout (struct table_session *ses)
{
  ses->timed_out = false;
  return tevent_add_timer (ses->ev, ses->ctx,
                           tevent_timeval_current_ofs (
                               (uint32_t)(ses->opt->timeout_ms / 1000),
                               (uint32_t)(ses->opt->timeout_ms % 1000 * 1000)),
                           on_timeout, ses);
}

int
table_session_open (struct table_session *ses, void *ctx,
                    const struct table_options *opt)
{
  struct log_http_settings http = log_http_settings_default;
  struct state_settings set = state_settings_default;

  memset (ses, 0, sizeof *ses);
  ses->ctx = ctx;
  ses->opt = opt;
  ses->ev = tevent_context_init (ctx);
  http.address = opt->platform;
  set.writer = WRITER;
  if (!ses->ev)
    return ERR_NOMEM;
  if (getrandom (&set.incarnation, sizeof set.incarnation, 0)
      != sizeof set.incarnation)
    return ERR_SYSTEM;
  int err = log_http_init (&ses->http, ctx, ses->ev, &http);
  if (err)
    return err;
  err = state_init (&ses->st, ctx, &set, &ses->http.st, ses->ev,
                    &clock_system);
  if (err)
    return err;
  struct tevent_timer *timer = start_timeout (ses);
  while (!ses->timed_out && !state_ready (&ses->st))
    if (tevent_loop_once (ses->ev) != 0)
      return ERR_SYSTEM;
  /* A timer that has run was freed by tevent.  */
  if (!ses->timed_out)
    talloc_free (timer);
  return state_ready (&ses->st) ? 0 : ERR_TIMEOUT;
}

void
table_session_close (struct table_session *ses)
{
  if (ses->http.st.drv)
    log_store_fini (&ses->http.st);
  state_fini (&ses->st);
}

static void
on_edit (void *arg, const struct state_edit_result *res)
{
  struct table_edit_result *out = arg;
  void *ctx = out->faults.parent;
  out->done = true;
  out->outcome = res->outcome;
  out->offset = res->offset;
  if (res->conflict_count > 0)
    out->conflicts = talloc_memdup (
        ctx, res->conflicts, res->conflict_count * sizeof *res->conflicts);
  if (out->conflicts)
    out->conflict_count = res->conflict_count;
  for (size_t n = 0; res->faults && n < res->faults->count; n++)
    {
      const struct table_fault *fault = &res->faults->items[n];
      struct table_row row = { .type = fault->row_type };
      memcpy (row.name, fault->name, sizeof row.name);
      table_fault_add (&out->faults, fault->type, &row, fault->column,
                       fault->value, fault->min, fault->max);
    }
}

int
table_session_edit (struct table_session *ses, const struct fold_edit *edit,
                    struct table_edit_result *out)
{
  memset (out, 0, sizeof *out);
  out->faults.parent = ses->ctx;
  int err = state_edit (&ses->st, edit, ses->opt->timeout_ms, on_edit, out);
  while (err == 0 && !out->done)
    if (tevent_loop_once (ses->ev) != 0)
      {
        out->outcome = STATE_EDIT_UNKNOWN;
        out->offset = UINT64_MAX;
        return 0;
      }
  if (err == 0 && out->outcome == STATE_EDIT_ACCEPTED
      && out->offset != UINT64_MAX)
    ses->accepted_next = out->offset + 1;
  return err;
}

/* A read of the host list.  */
struct hosts_request
{
  bool done;
  int err;
  json_t *root;
};

static void
on_hosts (void *arg, const struct hosts_result *res)
{
  struct hosts_request *req = arg;
  req->done = true;
  req->err = res->err;
  if (res->err == 0)
    req->root = json_loadb (res->json, res->len, 0, NULL);
  if (res->err == 0 && !req->root)
    req->err = ERR_PROTOCOL;
}

/* Counts a host with SLOTS in the size of POOL.  */
static int
add_pool_host (struct table_session *ses, struct table_pool_size **sizes,
               size_t *count, const char *pool, uint32_t slots)
{
  size_t idx = 0;
  while (idx < *count && strcmp ((*sizes)[idx].pool, pool) != 0)
    idx++;
  if (idx == *count)
    {
      struct table_pool_size *grown = talloc_realloc (
          ses->ctx, *sizes, struct table_pool_size, *count + 1);
      if (!grown)
        return ERR_NOMEM;
      *sizes = grown;
      memset (&grown[idx], 0, sizeof grown[idx]);
      memcpy (grown[idx].pool, pool, strnlen (pool, TABLE_NAME_SIZE - 1));
      (*count)++;
    }
  (*sizes)[idx].hosts++;
  (*sizes)[idx].slots += slots;
  return 0;
}

int
table_session_pool_sizes (struct table_session *ses,
                          struct table_pool_size **sizes, size_t *count)
{
  struct hosts_request req = { 0 };
  *sizes = NULL;
  *count = 0;
  int err = log_store_read_hosts (&ses->http.st, on_hosts, &req);
  while (err == 0 && !req.done)
    if (tevent_loop_once (ses->ev) != 0)
      return ERR_SYSTEM;
  err = err ? err : req.err;
  const json_t *hosts = json_object_get (req.root, "hosts");
  for (size_t n = 0; err == 0 && n < json_array_size (hosts); n++)
    {
      const json_t *item = json_array_get (hosts, n);
      const char *host = json_string_value (json_object_get (item, "host"));
      const char *pool
          = json_string_value (json_object_get (item, "initial_pool"));
      json_int_t slots = json_integer_value (json_object_get (item, "slots"));
      const struct fold_host *assignment
          = host ? fold_host_find (state_fold (&ses->st), host) : NULL;
      pool = assignment ? assignment->pool : pool;
      if (pool)
        err = add_pool_host (ses, sizes, count, pool,
                             slots > 0 ? (uint32_t)slots : 0);
    }
  json_decref (req.root);
  return err;
}
