#include "entry/listener.h"

#include <arpa/inet.h>
#include <inttypes.h>
#include <microhttpd.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/time.h>
#include <talloc.h>
#include <tevent.h>
#include <unistd.h>

#include "base/err.h"
#include "base/option.h"

#define WORK_PREFIX "/v1/work/"
#define CONNECTION_MEMORY_BYTES 16384
/* An upload beyond this multiple of the body limit is cut off instead of
   read to its end for the sake of an orderly refusal.  */
#define OVERSIZE_FACTOR 4
#define DEADLINE_MAX_MS 600000

struct listener
{
  struct tevent_context *ev;
  struct listener_settings set;
  struct listener_handler handler;
  struct MHD_Daemon *daemon;
  struct tevent_fd *fde;
  struct tevent_timer *timer;
  struct tevent_immediate *run_im;
  bool run_scheduled;
  MHD_socket listen_fd;
  uint16_t port;
  unsigned int open;
};

static void run_daemon (struct listener *lis);

static void
on_immediate (struct tevent_context *ev, struct tevent_immediate *im,
              void *arg)
{
  struct listener *lis = arg;
  lis->run_scheduled = false;
  run_daemon (lis);
}

/* Resumed connections and pending work need a turn of the daemon; several of
   them in one pass of the event loop share it.  */
static void
schedule_run (struct listener *lis)
{
  if (lis->run_scheduled)
    return;
  lis->run_scheduled = true;
  tevent_schedule_immediate (lis->run_im, lis->ev, on_immediate, lis);
}

static void
on_timer (struct tevent_context *ev, struct tevent_timer *te,
          struct timeval now, void *arg)
{
  struct listener *lis = arg;
  lis->timer = NULL;
  run_daemon (lis);
}

static void
on_ready (struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags,
          void *arg)
{
  run_daemon (arg);
}

static void
run_daemon (struct listener *lis)
{
  MHD_UNSIGNED_LONG_LONG ms;

  MHD_run (lis->daemon);
  TALLOC_FREE (lis->timer);
  if (MHD_get_timeout (lis->daemon, &ms) != MHD_YES)
    return;
  if (ms == 0)
    schedule_run (lis);
  else
    lis->timer = tevent_add_timer (
        lis->ev, lis, tevent_timeval_current_ofs (ms / 1000, ms % 1000 * 1000),
        on_timer, lis);
}

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
refuse_early (struct request *req, enum request_reason reason)
{
  if (req->early_reason == REASON_NONE)
    req->early_reason = reason;
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
    request_id_make (req->id);
  else if (!copy_text (req->id, REQUEST_ID_MAX, val))
    {
      request_id_make (req->id);
      refuse_early (req, REASON_BAD_REQUEST);
    }

  if (strncmp (url, WORK_PREFIX, strlen (WORK_PREFIX)) != 0
      || !copy_text (req->kind_name, REQUEST_NAME_MAX,
                     url + strlen (WORK_PREFIX)))
    refuse_early (req, REASON_UNKNOWN_KIND);
  if (strcmp (method, "POST") != 0)
    refuse_early (req, REASON_METHOD);

  val = header (conn, "X-Caller");
  if (!val)
    refuse_early (req, REASON_MISSING_CALLER);
  else if (!copy_text (req->caller, REQUEST_NAME_MAX, val))
    refuse_early (req, REASON_BAD_REQUEST);

  val = header (conn, "Idempotency-Key");
  req->has_key = val != NULL;
  if (val && !copy_text (req->key, REQUEST_KEY_MAX, val))
    refuse_early (req, REASON_BAD_REQUEST);

  val = header (conn, "X-Deadline-Ms");
  if (val && !parse_number (val, 1, DEADLINE_MAX_MS, &req->deadline_ms))
    refuse_early (req, REASON_BAD_REQUEST);
  val = header (conn, "X-Hop");
  if (val && !parse_number (val, 0, 1, &num))
    refuse_early (req, REASON_BAD_REQUEST);
  else if (val)
    req->hops = (uint32_t)num;

  val = header (conn, "Content-Length");
  if (val && !parse_number (val, 0, (int64_t)lis->set.max_body, &num))
    {
      req->body_too_large = true;
      refuse_early (req, REASON_TOO_LARGE);
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
      refuse_early (req, REASON_TOO_LARGE);
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

  lis->open++;
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
    lis->open--;
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
  MHD_resume_connection (req->conn);
  schedule_run (lis);
}

static int
listener_destructor (struct listener *lis)
{
  TALLOC_FREE (lis->fde);
  TALLOC_FREE (lis->timer);
  if (lis->daemon)
    MHD_stop_daemon (lis->daemon);
  if (lis->listen_fd != MHD_INVALID_SOCKET)
    close (lis->listen_fd);
  return 0;
}

static int
start_daemon (struct listener *lis, const struct sockaddr *sa, bool ipv6)
{
  unsigned int flags
      = MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | (ipv6 ? MHD_USE_IPv6 : 0);
  lis->daemon = MHD_start_daemon (
      flags, 0, NULL, NULL, on_access, lis, MHD_OPTION_SOCK_ADDR, sa,
      MHD_OPTION_CONNECTION_LIMIT, lis->set.max_connections,
      MHD_OPTION_CONNECTION_TIMEOUT, lis->set.idle_timeout_s,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONNECTION_MEMORY_BYTES,
      MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_LISTEN_BACKLOG_SIZE,
      1024u, MHD_OPTION_NOTIFY_COMPLETED, on_completed, lis, MHD_OPTION_END);
  if (!lis->daemon)
    return ERR_SYSTEM;
  const union MHD_DaemonInfo *info
      = MHD_get_daemon_info (lis->daemon, MHD_DAEMON_INFO_BIND_PORT);
  lis->port = info->port;
  info = MHD_get_daemon_info (lis->daemon, MHD_DAEMON_INFO_EPOLL_FD);
  lis->fde = tevent_add_fd (lis->ev, lis, info->epoll_fd, TEVENT_FD_READ,
                            on_ready, lis);
  return lis->fde ? 0 : ERR_NOMEM;
}

int
listener_create (void *parent, struct tevent_context *ev,
                 const struct listener_settings *set,
                 const struct listener_handler *handler, struct listener **out)
{
  char host[64];
  uint16_t port;
  struct sockaddr_in sa4 = { .sin_family = AF_INET };
  struct sockaddr_in6 sa6 = { .sin6_family = AF_INET6 };

  int err = address_parse (set->address, host, &port);
  if (err)
    return err;
  sa4.sin_port = sa6.sin6_port = htons (port);
  bool ipv6 = inet_pton (AF_INET, host, &sa4.sin_addr) != 1;
  if (ipv6 && inet_pton (AF_INET6, host, &sa6.sin6_addr) != 1)
    return ERR_INVALID;

  struct listener *lis = talloc_zero (parent, struct listener);
  if (!lis)
    return ERR_NOMEM;
  lis->ev = ev;
  lis->set = *set;
  lis->handler = *handler;
  lis->listen_fd = MHD_INVALID_SOCKET;
  lis->run_im = tevent_create_immediate (lis);
  talloc_set_destructor (lis, listener_destructor);
  err = lis->run_im ? start_daemon (
            lis, ipv6 ? (struct sockaddr *)&sa6 : (struct sockaddr *)&sa4,
            ipv6)
                    : ERR_NOMEM;
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
  return lis->port;
}

void
listener_quiesce (struct listener *lis)
{
  if (lis->listen_fd == MHD_INVALID_SOCKET)
    lis->listen_fd = MHD_quiesce_daemon (lis->daemon);
}

unsigned int
listener_open (const struct listener *lis)
{
  return lis->open;
}

void
listener_destroy (struct listener *lis)
{
  talloc_free (lis);
}
