/* Stand-in servers: the list of faults and the control port that sets it.  */

#include <errno.h>
#include <fnmatch.h>
#include <stdio.h>
#include <string.h>
#include <utlist.h>

#include "base/err.h"
#include "test/stand/stand_priv.h"

struct fault
{
  struct fault *prev, *next;
  struct stand_server *server;
  json_t *spec; /* as posted; owns the strings below */
  const char *name;
  const char *host;  /* name or fnmatch pattern; NULL: all */
  const char *match; /* prefix of "METHOD URL" */
  int64_t value;     /* its meaning depends on the fault */
  int64_t uses_left; /* -1: no limit */
  int64_t hits;      /* requests to which the fault applied */
  int64_t id;
};

static const char *const common_faults[]
    = { "down",        "frozen",    "cut",      "slow",    "late",
        "reply_lost",  "cut_short", "trailing", "crossed", "long",
        "reuse_close", "fail",      "silence",  NULL };

static bool
fault_applies (const struct fault *ft, const struct stand_request *rq,
               const char *host, const char *name)
{
  if (strcmp (ft->name, name) != 0
      || (ft->host && (!host || fnmatch (ft->host, host, 0) != 0)))
    return false;
  if (!rq)
    return true;
  return strncmp (rq->method_and_url, ft->match, strlen (ft->match)) == 0;
}

/* Brings the ports and the held requests in line with the current faults.  */
static void
apply_faults (struct stand_server *st)
{
  struct stand_request *rq;
  struct stand_request *tmp;
  for (int n = 0; n < st->ports_count; n++)
    {
      struct stand_port *port = st->ports[n];
      bool down = !port->control
                  && stand_check_fault (st, NULL, port->name, "down", NULL);
      if (down && !port->down)
        stand_close_port (port);
      else if (!down && port->down && stand_open_port (port) != 0)
        fprintf (stderr, "stand-in: cannot reopen port %d: %s\n", port->number,
                 strerror (errno));
    }
  DL_FOREACH_SAFE (st->held, rq, tmp)
    stand_hold_or_proceed (rq);
}

static void
remove_fault (struct fault *ft)
{
  struct stand_server *st = ft->server;
  DL_DELETE (st->faults, ft);
  st->drv->fault_changed (st, ft->name, ft->host, ft->spec, false);
  json_decref (ft->spec);
  talloc_free (ft);
}

bool
stand_check_fault (struct stand_server *st, const struct stand_request *rq,
                   const char *host, const char *name, int64_t *value)
{
  struct fault *ft;
  DL_FOREACH (st->faults, ft)
    if (fault_applies (ft, rq, rq ? rq->port->name : host, name))
      {
        if (value)
          *value = ft->value;
        if (rq)
          {
            ft->hits++;
            if (ft->uses_left > 0 && --ft->uses_left == 0)
              remove_fault (ft);
          }
        return true;
      }
  return false;
}

static bool
list_contains (const char *const *list, const char *name)
{
  for (int n = 0; list[n]; n++)
    if (strcmp (list[n], name) == 0)
      return true;
  return false;
}

static void
reply_error (struct stand_request *rq, int status, const char *text)
{
  stand_reply_json (rq, status, json_pack ("{s:s}", "error", text));
}

static void
add_fault (struct stand_server *st, struct stand_request *rq)
{
  struct fault *ft = talloc_zero (st, struct fault);
  json_error_t error;
  json_int_t value = 0;
  json_int_t count = -1;
  ft->server = st;
  ft->match = st->drv->default_match;
  ft->spec = json_loadb (rq->body, rq->size, 0, &error);
  if (!ft->spec
      || json_unpack_ex (ft->spec, &error, 0, "{s:s, s?s, s?s, s?I, s?I}",
                         "fault", &ft->name, "host", &ft->host, "match",
                         &ft->match, "value", &value, "count", &count)
             != 0)
    reply_error (rq, 400, error.text);
  else if (!list_contains (common_faults, ft->name)
           && !list_contains (st->drv->faults, ft->name))
    reply_error (rq, 400, "unknown fault");
  else if (ft->host && !stand_has_port (st, ft->host)
           && list_contains (common_faults, ft->name))
    reply_error (rq, 400, "unknown host");
  else if (count == 0 || count < -1)
    reply_error (rq, 400, "count must be at least 1");
  else
    {
      ft->value = value;
      ft->uses_left = count;
      int err
          = st->drv->fault_changed (st, ft->name, ft->host, ft->spec, true);
      if (err == 0)
        {
          ft->id = ++st->last_fault_id;
          DL_APPEND (st->faults, ft);
          if (strcmp (ft->name, "silence") == 0)
            stand_silence (st, ft->host);
          apply_faults (st);
          stand_reply_json (rq, 200, json_pack ("{s:I}", "id", ft->id));
          return;
        }
      reply_error (rq, 400, err_name (err));
    }
  json_decref (ft->spec);
  talloc_free (ft);
}

static void
list_faults (struct stand_server *st, struct stand_request *rq)
{
  json_t *list = json_array ();
  struct fault *ft;
  DL_FOREACH (st->faults, ft)
    {
      json_t *obj = json_deep_copy (ft->spec);
      json_object_set_new (obj, "id", json_integer (ft->id));
      json_object_set_new (obj, "hits", json_integer (ft->hits));
      json_array_append_new (list, obj);
    }
  stand_reply_json (rq, 200, list);
}

/* DELETE /faults?fault=NAME&host=HOST: clears the faults that match both
   parameters; an absent parameter matches all.  */
static void
clear_faults (struct stand_server *st, struct stand_request *rq)
{
  const char *name
      = MHD_lookup_connection_value (rq->mhd, MHD_GET_ARGUMENT_KIND, "fault");
  const char *host
      = MHD_lookup_connection_value (rq->mhd, MHD_GET_ARGUMENT_KIND, "host");
  struct fault *ft;
  struct fault *tmp;
  DL_FOREACH_SAFE (st->faults, ft, tmp)
    if ((!name || strcmp (ft->name, name) == 0)
        && (!host || (ft->host && strcmp (ft->host, host) == 0)))
      remove_fault (ft);
  apply_faults (st);
  stand_reply_json (rq, 200, json_object ());
}

void
stand_control_request (struct stand_request *rq)
{
  if (strcmp (rq->method, "POST") == 0 && strcmp (rq->url, "/fault") == 0)
    add_fault (rq->server, rq);
  else if (strcmp (rq->url, "/faults") == 0 && strcmp (rq->method, "GET") == 0)
    list_faults (rq->server, rq);
  else if (strcmp (rq->url, "/faults") == 0
           && strcmp (rq->method, "DELETE") == 0)
    clear_faults (rq->server, rq);
  else
    reply_error (rq, 404, "not found");
}
