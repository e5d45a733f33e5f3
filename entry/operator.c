#include "entry/operator.h"

#include <nettle/memops.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>
#include <sys/time.h>
#include <talloc.h>
#include <tevent.h>
#include <utlist.h>

#include "base/err.h"
#include "entry/mhd_loop.h"
#include "entry/request.h"

/* Also bounds the pending queries, since each connection has at most one.  */
#define MAX_CONNECTIONS 32
#define IDLE_TIMEOUT_S 10
#define CONNECTION_MEMORY_BYTES 8192
#define EXPLAIN_PREFIX "/v1/explain/"
#define BEARER "Bearer "

struct pending_query
{
  struct operator_listener *op;
  uint64_t id;
  enum operator_query type;
  char request_id[REQUEST_ID_MAX + 1];
  struct MHD_Connection *conn;
  struct tevent_timer *timer;
  bool submitted;
  bool suspended;
  unsigned int status; /* 0: no answer yet */
  char *json;
  struct pending_query *prev;
  struct pending_query *next;
};

struct operator_listener
{
  struct tevent_context *ev;
  struct operator_handler handler;
  struct mhd_loop *loop;
  char token[OPERATOR_TOKEN_MAX]; /* padded with NUL */
  size_t token_len;
  int64_t timeout_ms;
  uint64_t last_query_id;
  struct pending_query *queries;
};

/* Always compares all bytes of both buffers, so that the response time reveals
   nothing about the token.  */
static bool
token_matches (const struct operator_listener *op, struct MHD_Connection *conn)
{
  char presented[OPERATOR_TOKEN_MAX] = { 0 };
  const char *val
      = MHD_lookup_connection_value (conn, MHD_HEADER_KIND, "Authorization");
  if (!val || strncasecmp (val, BEARER, strlen (BEARER)) != 0)
    return false;
  val += strlen (BEARER);
  size_t len = strnlen (val, sizeof presented + 1);
  memcpy (presented, val, len < sizeof presented ? len : sizeof presented);
  bool same = memeql_sec (presented, op->token, sizeof presented) != 0;
  return same & (len == op->token_len);
}

static enum MHD_Result
queue_json (struct MHD_Connection *conn, unsigned int status, const char *json)
{
  struct MHD_Response *resp = MHD_create_response_from_buffer (
      strlen (json), (void *)json, MHD_RESPMEM_MUST_COPY);
  if (!resp)
    return MHD_NO;
  MHD_add_response_header (resp, "Content-Type", "application/json");
  MHD_add_response_header (resp, "Cache-Control", "no-store");
  if (status == 401)
    MHD_add_response_header (resp, "WWW-Authenticate", "Bearer");
  enum MHD_Result ret = MHD_queue_response (conn, status, resp);
  MHD_destroy_response (resp);
  return ret;
}

static enum MHD_Result
refuse (struct MHD_Connection *conn, unsigned int status, const char *error)
{
  char json[64];
  snprintf (json, sizeof json, "{\"error\":\"%s\"}\n", error);
  return queue_json (conn, status, json);
}

/* Returns 0 and the query, or the HTTP status of the error reply.  */
static unsigned int
parse_path (const char *url, enum operator_query *type, char *request_id)
{
  if (strcmp (url, "/v1/status") == 0)
    {
      *type = OPERATOR_STATUS;
      return 0;
    }
  if (strncmp (url, EXPLAIN_PREFIX, strlen (EXPLAIN_PREFIX)) != 0)
    return 404;
  url += strlen (EXPLAIN_PREFIX);
  if (!request_text_valid (url, REQUEST_ID_MAX))
    return 400;
  *type = OPERATOR_EXPLAIN;
  snprintf (request_id, REQUEST_ID_MAX + 1, "%s", url);
  return 0;
}

static enum MHD_Result
query_begin (struct operator_listener *op, struct MHD_Connection *conn,
             const char *url, const char *method, void **con_cls)
{
  char request_id[REQUEST_ID_MAX + 1] = "";
  enum operator_query type;

  if (!token_matches (op, conn))
    return refuse (conn, 401, "unauthenticated");
  if (strcmp (method, "GET") != 0)
    return refuse (conn, 405, "method_not_allowed");
  unsigned int status = parse_path (url, &type, request_id);
  if (status)
    return refuse (conn, status, status == 404 ? "not_found" : "bad_request");
  struct pending_query *qry = talloc_zero (op, struct pending_query);
  if (!qry)
    return MHD_NO;
  qry->op = op;
  qry->id = ++op->last_query_id;
  qry->type = type;
  qry->conn = conn;
  memcpy (qry->request_id, request_id, sizeof request_id);
  DL_APPEND (op->queries, qry);
  *con_cls = qry;
  return MHD_YES;
}

static void
on_timeout (struct tevent_context *ev, struct tevent_timer *te,
            struct timeval now, void *arg)
{
  struct pending_query *qry = arg;
  struct operator_listener *op = qry->op;
  uint64_t query_id = qry->id;
  qry->timer = NULL;
  op->handler.expired (op->handler.arg, query_id, qry->type);
  operator_answer (op, query_id, 503, "{\"error\":\"timeout\"}\n");
}

static enum MHD_Result
on_access (void *cls, struct MHD_Connection *conn, const char *url,
           const char *method, const char *version, const char *data,
           size_t *data_len, void **con_cls)
{
  struct operator_listener *op = cls;
  struct pending_query *qry = *con_cls;

  if (!qry)
    return query_begin (op, conn, url, method, con_cls);
  if (*data_len > 0)
    return MHD_NO;
  if (!qry->submitted)
    {
      qry->submitted = true;
      qry->timer = tevent_add_timer (
          op->ev, qry,
          tevent_timeval_current_ofs (op->timeout_ms / 1000,
                                      op->timeout_ms % 1000 * 1000),
          on_timeout, qry);
      op->handler.query (op->handler.arg, qry->id, qry->type, qry->request_id);
    }
  if (qry->status)
    return queue_json (conn, qry->status, qry->json);
  qry->suspended = true;
  MHD_suspend_connection (conn);
  return MHD_YES;
}

static void
on_completed (void *cls, struct MHD_Connection *conn, void **con_cls,
              enum MHD_RequestTerminationCode code)
{
  struct operator_listener *op = cls;
  struct pending_query *qry = *con_cls;
  *con_cls = NULL;
  if (!qry)
    return;
  DL_DELETE (op->queries, qry);
  talloc_free (qry);
}

void
operator_answer (struct operator_listener *op, uint64_t query_id,
                 unsigned int status, const char *json)
{
  struct pending_query *qry;
  DL_SEARCH_SCALAR (op->queries, qry, id, query_id);
  if (!qry || qry->status)
    return;
  qry->json = talloc_strdup (qry, json);
  qry->status = qry->json ? status : 500;
  if (!qry->json)
    qry->json = "";
  TALLOC_FREE (qry->timer);
  if (!qry->suspended)
    return;
  qry->suspended = false;
  mhd_loop_resume (op->loop, qry->conn);
}

/* Resumes suspended connections first, because the daemon cannot be stopped
   while there are any.  */
static int
operator_destructor (struct operator_listener *op)
{
  struct pending_query *qry;
  DL_FOREACH (op->queries, qry)
    {
      TALLOC_FREE (qry->timer);
      if (qry->suspended)
        mhd_loop_resume (op->loop, qry->conn);
      qry->suspended = false;
    }
  TALLOC_FREE (op->loop);
  return 0;
}

int
operator_create (void *parent, struct tevent_context *ev,
                 const struct operator_settings *set,
                 const struct operator_handler *handler,
                 struct operator_listener **out)
{
  size_t len = strlen (set->token);
  if (len < OPERATOR_TOKEN_MIN || len > OPERATOR_TOKEN_MAX)
    return ERR_INVALID;
  struct operator_listener *op
      = talloc_zero (parent, struct operator_listener);
  if (!op)
    return ERR_NOMEM;
  op->ev = ev;
  op->handler = *handler;
  op->timeout_ms = set->timeout_ms;
  op->token_len = len;
  memcpy (op->token, set->token, len);
  talloc_set_destructor (op, operator_destructor);
  const struct mhd_loop_settings loop_set = {
    .address = set->address,
    .max_connections = MAX_CONNECTIONS,
    .idle_timeout_s = IDLE_TIMEOUT_S,
    .connection_memory = CONNECTION_MEMORY_BYTES,
    .access = on_access,
    .completed = on_completed,
    .arg = op,
  };
  int err = mhd_loop_create (op, ev, &loop_set, &op->loop);
  if (err)
    {
      talloc_free (op);
      return err;
    }
  *out = op;
  return 0;
}

uint16_t
operator_port (const struct operator_listener *op)
{
  return mhd_loop_port (op->loop);
}

void
operator_destroy (struct operator_listener *op)
{
  talloc_free (op);
}

int
operator_token_read (const char *path, char *token)
{
  char line[OPERATOR_TOKEN_MAX + 3];
  FILE *file = fopen (path, "r");
  if (!file)
    return ERR_NOT_FOUND;
  size_t len = fread (line, 1, sizeof line - 1, file);
  bool failed = ferror (file) != 0;
  fclose (file);
  if (failed)
    return ERR_NOT_FOUND;
  line[len] = '\0';
  line[strcspn (line, "\r\n")] = '\0';
  if (strlen (line) < OPERATOR_TOKEN_MIN
      || !request_text_valid (line, OPERATOR_TOKEN_MAX))
    return ERR_INVALID;
  snprintf (token, OPERATOR_TOKEN_MAX + 1, "%s", line);
  return 0;
}
