#include "entry/listener.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base/err.h"
#include "entry/mhd_loop.h"

#define WORK_PREFIX "/v1/work/"
#define CONNECTION_MEMORY_BYTES 16384
/* A body that is too large is read to its end so that an error reply can be
   sent.  Beyond this multiple of the body limit the connection is closed
   instead.  */
#define OVERSIZE_FACTOR 4
#define DEADLINE_MAX_MS 600000

struct listener
{
  struct listener_settings set;
  struct listener_handler handler;
  struct mhd_loop *loop;
  unsigned int open_count;
};

static const char *
header (struct MHD_Connection *conn, const char *name)
{
  return MHD_lookup_connection_value (conn, MHD_HEADER_KIND, name);
}

static bool
parse_number (const char *text, int64_t min, int64_t max, int64_t *out)
{
  char *end;
  if (*text < '0' || *text > '9')
    return false;
  *out = strtoll (text, &end, 10);
  return !*end && *out >= min && *out <= max;
}

static bool
copy_text (char *dst, size_t max, const char *src)
{
  if (!request_text_valid (src, max))
    return false;
  snprintf (dst, max + 1, "%s", src);
  return true;
}

static void
reject_request (struct request *req, enum request_reason reason)
{
  if (req->reject_reason == REASON_NONE)
    req->reject_reason = reason;
}

static void
parse_headers (struct listener *lis, struct request *req, const char *url,
               const char *method)
{
  struct MHD_Connection *conn = req->conn;
  const char *val;
  int64_t num;

  val = header (conn, "X-Request-Id");
  if (!val)
    request_id_generate (req->id);
  else if (!copy_text (req->id, REQUEST_ID_MAX, val))
    {
      request_id_generate (req->id);
      reject_request (req, REASON_BAD_REQUEST);
    }

  if (strncmp (url, WORK_PREFIX, strlen (WORK_PREFIX)) != 0
      || !copy_text (req->kind_name, REQUEST_NAME_MAX,
                     url + strlen (WORK_PREFIX)))
    reject_request (req, REASON_UNKNOWN_KIND);
  if (strcmp (method, "POST") != 0)
    reject_request (req, REASON_METHOD_NOT_ALLOWED);

  val = header (conn, "X-Caller");
  if (!val)
    reject_request (req, REASON_MISSING_CALLER);
  else if (!copy_text (req->caller, REQUEST_NAME_MAX, val))
    reject_request (req, REASON_BAD_REQUEST);

  val = header (conn, "Idempotency-Key");
  req->has_key = val != NULL;
  if (val && !copy_text (req->key, REQUEST_KEY_MAX, val))
    reject_request (req, REASON_BAD_REQUEST);

  val = header (conn, "X-Deadline-Ms");
  if (val && !parse_number (val, 1, DEADLINE_MAX_MS, &req->deadline_ms))
    reject_request (req, REASON_BAD_REQUEST);
  val = header (conn, "X-Hop");
  if (val && !parse_number (val, 0, 1, &num))
    reject_request (req, REASON_BAD_REQUEST);
  else if (val)
    req->hops = (uint32_t)num;

  val = header (conn, "Content-Length");
  if (val && !parse_number (val, 0, (int64_t)lis->set.max_body, &num))
    {
      req->body_too_large = true;
      reject_request (req, REASON_TOO_LARGE);
    }
}

static bool
body_append (struct listener *lis, struct request *req, const char *data,
             size_t len)
{
  size_t need = req->body_len + len;
  if (need > lis->set.max_body)
    {
      req->body_too_large = true;
      reject_request (req, REASON_TOO_LARGE);
    }
  if (req->body_too_large)
    {
      req->body_len = need;
      return need <= lis->set.max_body * OVERSIZE_FACTOR;
    }
  if (need > req->body_size)
    {
      size_t size = req->body_size ? req->body_size * 2 : 4096;
      while (size < need)
        size *= 2;
      char *body = realloc (req->body, size);
      if (!body)
        return false;
      req->body = body;
      req->body_size = size;
    }
  memcpy (req->body + req->body_len, data, len);
  req->body_len = need;
  return true;
}

static enum MHD_Result
queue_reply (struct listener *lis, struct request *req)
{
  struct MHD_Response *resp;
  char num[32];
  char *json = NULL;

  if (req->outcome == OUTCOME_ANSWERED)
    resp = MHD_create_response_from_buffer (req->answer_len, req->answer,
                                            MHD_RESPMEM_MUST_COPY);
  else
    {
      json = talloc_asprintf (
          NULL,
          "{\"request_id\":\"%s\",\"outcome\":\"%s\",\"reason\":\"%s\","
          "\"retry_after_ms\":%" PRId64 ",\"key_held\":%s}\n",
          req->id, outcome_name (req->outcome), reason_name (req->reason),
          req->retry_after_us / 1000, req->key_held ? "true" : "false");
      if (!json)
        return MHD_NO;
      resp = MHD_create_response_from_buffer (strlen (json), json,
                                              MHD_RESPMEM_MUST_COPY);
      talloc_free (json);
    }
  if (!resp)
    return MHD_NO;

  MHD_add_response_header (resp, "X-Request-Id", req->id);
  MHD_add_response_header (resp, "X-Outcome", outcome_name (req->outcome));
  MHD_add_response_header (resp, "X-Served-By", lis->set.server);
  if (req->target_name[0])
    MHD_add_response_header (resp, "X-Target", req->target_name);
  if (req->outcome == OUTCOME_ANSWERED)
    MHD_add_response_header (
        resp, "Content-Type",
        req->content_type[0] ? req->content_type : "application/octet-stream");
  else
    {
      MHD_add_response_header (resp, "Content-Type", "application/json");
      MHD_add_response_header (resp, "X-Reason", reason_name (req->reason));
    }
  if (req->retry_after_us > 0)
    {
      snprintf (num, sizeof num, "%" PRId64,
                (req->retry_after_us + 999999) / 1000000);
      MHD_add_response_header (resp, "Retry-After", num);
      snprintf (num, sizeof num, "%" PRId64,
                (req->retry_after_us + 999) / 1000);
      MHD_add_response_header (resp, "X-Retry-After-Ms", num);
    }
  if (req->has_key)
    {
      snprintf (num, sizeof num, "%" PRId64, lis->set.key_lifetime_ms / 1000);
      MHD_add_response_header (resp, "X-Key-Lifetime-S", num);
    }
  enum MHD_Result ret = MHD_queue_response (req->conn, req->status, resp);
  MHD_destroy_response (resp);
  return ret;
}

static enum MHD_Result
handle_get (struct listener *lis, struct MHD_Connection *conn, const char *url)
{
  void *ctx = talloc_new (NULL);
  char *text = NULL;
  enum MHD_Result ret = MHD_NO;

  unsigned int status = lis->handler.get (lis->handler.arg, url, ctx, &text);
  if (status == 0)
    {
      status = 404;
      text = talloc_strdup (ctx, "not found\n");
    }
  if (!text)
    goto done;
  struct MHD_Response *resp = MHD_create_response_from_buffer (
      strlen (text), text, MHD_RESPMEM_MUST_COPY);
  if (!resp)
    goto done;
  ret = MHD_queue_response (conn, status, resp);
  MHD_destroy_response (resp);

done:
  talloc_free (ctx);
  return ret;
}

static struct request *
request_begin (struct listener *lis, struct MHD_Connection *conn,
               const char *url, const char *method)
{
  struct request *req = talloc_zero (lis, struct request);
  if (!req)
    return NULL;
  req->conn = conn;
  parse_headers (lis, req, url, method);
  return req;
}

static enum MHD_Result
on_access (void *cls, struct MHD_Connection *conn, const char *url,
           const char *method, const char *version, const char *data,
           size_t *data_len, void **con_cls)
{
  struct listener *lis = cls;
  struct request *req = *con_cls;

  if (!req)
    {
      if (strcmp (method, "GET") == 0
          && strncmp (url, WORK_PREFIX, strlen (WORK_PREFIX)) != 0)
        return handle_get (lis, conn, url);
      req = request_begin (lis, conn, url, method);
      *con_cls = req;
      return req ? MHD_YES : MHD_NO;
    }
  if (*data_len > 0)
    {
      bool ok = body_append (lis, req, data, *data_len);
      *data_len = 0;
      return ok ? MHD_YES : MHD_NO;
    }
  if (req->state == REQUEST_REPLIED)
    return queue_reply (lis, req);

  lis->open_count++;
  req->in_handler = true;
  lis->handler.request (lis->handler.arg, req);
  req->in_handler = false;
  if (req->state == REQUEST_REPLIED)
    return queue_reply (lis, req);
  MHD_suspend_connection (conn);
  return MHD_YES;
}

static void
on_completed (void *cls, struct MHD_Connection *conn, void **con_cls,
              enum MHD_RequestTerminationCode code)
{
  struct request *req = *con_cls;
  *con_cls = NULL;
  if (!req)
    return;
  struct listener *lis = cls;
  if (req->state == REQUEST_REPLIED)
    lis->open_count--;
  free (req->body);
  free (req->answer);
  talloc_free (req);
}

void
listener_reply (struct listener *lis, struct request *req)
{
  req->state = REQUEST_REPLIED;
  free (req->body);
  req->body = NULL;
  if (req->in_handler)
    return;
  mhd_loop_resume (lis->loop, req->conn);
}

/* Stops the daemon first: it refers to requests, which are talloc children of
   the listener too.  */
static int
listener_destructor (struct listener *lis)
{
  TALLOC_FREE (lis->loop);
  return 0;
}

int
listener_create (void *parent, struct tevent_context *ev,
                 const struct listener_settings *set,
                 const struct listener_handler *handler, struct listener **out)
{
  struct listener *lis = talloc_zero (parent, struct listener);
  if (!lis)
    return ERR_NOMEM;
  lis->set = *set;
  lis->handler = *handler;
  talloc_set_destructor (lis, listener_destructor);
  const struct mhd_loop_settings loop_set = {
    .address = set->address,
    .max_connections = set->max_connections,
    .idle_timeout_s = set->idle_timeout_s,
    .connection_memory = CONNECTION_MEMORY_BYTES,
    .access = on_access,
    .completed = on_completed,
    .arg = lis,
  };
  int err = mhd_loop_create (lis, ev, &loop_set, &lis->loop);
  if (err)
    {
      talloc_free (lis);
      return err;
    }
  *out = lis;
  return 0;
}

uint16_t
listener_port (const struct listener *lis)
{
  return mhd_loop_port (lis->loop);
}

void
listener_quiesce (struct listener *lis)
{
  mhd_loop_quiesce (lis->loop);
}

bool
listener_read_pending (struct listener *lis)
{
  return mhd_loop_read_pending (lis->loop);
}

unsigned int
listener_open_count (const struct listener *lis)
{
  return lis->open_count;
}

void
listener_destroy (struct listener *lis)
{
  talloc_free (lis);
}
