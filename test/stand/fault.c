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
  struct stand *st;
  json_t *spec;
  const char *name;
  const char *host;  /* name or pattern; NULL: all */
  const char *match; /* prefix of "METHOD URL" */
  int64_t value;
  int64_t left; /* uses left, -1: until cleared */
  int64_t hits;
  int64_t id;
};

static const char *const common_faults[]
    = { "down",        "frozen",    "cut",      "slow",    "late",
        "reply_lost",  "cut_short", "trailing", "crossed", "long",
        "reuse_close", "fail",      NULL };

static bool
fault_applies (const struct fault *ft, const struct stand_request *rq,
               const char *host, const char *name)
{
  if (strcmp (ft->name, name) != 0
      || (ft->host && (!host || fnmatch (ft->host, host, 0) != 0)))
    return false;
  if (!rq)
    return true;
  return strncmp (rq->line, ft->match, strlen (ft->match)) == 0;
}

/* Opens, closes, freezes and releases the ports as the faults say.  */
static void
apply_faults (struct stand *st)
{
  struct stand_request *rq;
  struct stand_request *tmp;
  for (int n = 0; n < st->ports_count; n++)
    {
      struct stand_port *port = st->ports[n];
      bool down
          = !port->control && stand_fault (st, NULL, port->name, "down", NULL);
      if (down && !port->down)
        stand_close_port (port);
      else if (!down && port->down && stand_open_port (port) != 0)
        fprintf (stderr, "stand-in: port %d cannot be opened again: %s\n",
                 port->number, strerror (errno));
    }
  DL_FOREACH_SAFE (st->held, rq, tmp)
    stand_hold_or_release (rq);
}

static void
remove_fault (struct fault *ft)
{
  struct stand *st = ft->st;
  DL_DELETE (st->faults, ft);
  st->drv->change (st, ft->name, ft->host, ft->spec, false);
  json_decref (ft->spec);
  talloc_free (ft);
}

bool
stand_fault (struct stand *st, const struct stand_request *rq,
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
            if (ft->left > 0 && --ft->left == 0)
              remove_fault (ft);
          }
        return true;
      }
  return false;
}

static bool
is_in (const char *const *list, const char *name)
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
add_fault (struct stand *st, struct stand_request *rq)
{
  struct fault *ft = talloc_zero (st, struct fault);
  json_error_t error;
  json_int_t value = 0;
  json_int_t count = -1;
  ft->st = st;
  ft->match = st->drv->match;
  ft->spec = json_loadb (rq->body, rq->size, 0, &error);
  if (!ft->spec
      || json_unpack_ex (ft->spec, &error, 0, "{s:s, s?s, s?s, s?I, s?I}",
                         "fault", &ft->name, "host", &ft->host, "match",
                         &ft->match, "value", &value, "count", &count)
             != 0)
    reply_error (rq, 400, error.text);
  else if (!is_in (common_faults, ft->name)
           && !is_in (st->drv->faults, ft->name))
    reply_error (rq, 400, "unknown fault");
  else if (ft->host && !stand_has_port (st, ft->host)
           && is_in (common_faults, ft->name))
    reply_error (rq, 400, "unknown host");
  else if (count == 0 || count < -1)
    reply_error (rq, 400, "count must be at least 1");
  else
    {
      ft->value = value;
      ft->left = count;
      int err = st->drv->change (st, ft->name, ft->host, ft->spec, true);
      if (err == 0)
        {
          ft->id = ++st->last_fault_id;
          DL_APPEND (st->faults, ft);
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
list_faults (struct stand *st, struct stand_request *rq)
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

/* DELETE /faults?fault=NAME&host=HOST; without a query all are cleared.  */
static void
clear_faults (struct stand *st, struct stand_request *rq)
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
    add_fault (rq->st, rq);
  else if (strcmp (rq->url, "/faults") == 0 && strcmp (rq->method, "GET") == 0)
    list_faults (rq->st, rq);
  else if (strcmp (rq->url, "/faults") == 0
           && strcmp (rq->method, "DELETE") == 0)
    clear_faults (rq->st, rq);
  else
    reply_error (rq, 404, "not found");
}
