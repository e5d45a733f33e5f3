#include "store/host_http.h"

#include <curl/curl.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <talloc.h>

#include "base/curl_loop.h"
#include "base/err.h"
#include "base/option.h"

#define REPLY_MAX_BYTES 16384
#define URL_MAX_BYTES 256
#define HEADER_MAX_BYTES 320
#define IDLE_CONNECTIONS 4
#define SLOTS_HEADER "X-Slots-In-Use:"
#define SLOTS_MAX 65536

const struct host_http_settings host_http_settings_default = {
  .client = "kingcuphollow",
  .max_calls = 64,
  .connect_timeout_ms = 1000,
  .call_timeout_ms = 5000,
};

struct priv
{
  struct curl_loop loop;
  struct host_http_settings set;
  void *calls; /* talloc parent of the calls in progress */
};

struct call
{
  struct priv *priv;
  CURL *easy;
  struct curl_slist *headers;
  enum host_op op;
  host_call_fn *fn;
  void *arg;
  bool sent; /* libcurl started to send the request; while false, the platform
                cannot have received it */
  int32_t slots_in_use;
  size_t len;
  char buf[REPLY_MAX_BYTES];
};

static int
free_call (struct call *call)
{
  if (call->easy)
    {
      curl_loop_remove (&call->priv->loop, call->easy);
      curl_easy_cleanup (call->easy);
    }
  curl_slist_free_all (call->headers);
  return 0;
}

static size_t
on_body (char *data, size_t size, size_t count, void *arg)
{
  struct call *call = arg;
  size_t more = size * count;
  if (more > sizeof call->buf - call->len)
    return 0;
  memcpy (call->buf + call->len, data, more);
  call->len += more;
  return more;
}

static size_t
on_header (char *line, size_t size, size_t count, void *arg)
{
  struct call *call = arg;
  size_t len = size * count;
  char text[16];
  size_t skip = strlen (SLOTS_HEADER);
  if (len <= skip || len - skip >= sizeof text
      || strncasecmp (line, SLOTS_HEADER, skip) != 0)
    return len;
  memcpy (text, line + skip, len - skip);
  text[len - skip] = '\0';
  char *end;
  long num = strtol (text, &end, 10);
  if (end != text && num >= 0 && num <= SLOTS_MAX)
    call->slots_in_use = (int32_t)num;
  return len;
}

static int
before_request (void *arg, char *ip, char *local_ip, int port, int local_port)
{
  struct call *call = arg;
  if (curl_loop_is_repeat (call->easy))
    return CURL_PREREQFUNC_ABORT;
  call->sent = true;
  return CURL_PREREQFUNC_OK;
}

static enum host_actual_state
parse_state (const struct call *call)
{
  json_t *root = json_loadb (call->buf, call->len, 0, NULL);
  const char *text = json_string_value (json_object_get (root, "state"));
  enum host_actual_state state = HOST_ACTUAL_UNKNOWN;
  if (text && strcmp (text, "live") == 0)
    state = HOST_ACTUAL_LIVE;
  else if (text && strcmp (text, "leaving") == 0)
    state = HOST_ACTUAL_LEAVING;
  else if (text && strcmp (text, "down") == 0)
    state = HOST_ACTUAL_DOWN;
  json_decref (root);
  return state;
}

static enum host_call_status
call_status (const struct call *call, CURLcode code, long status)
{
  if (!call->sent)
    return HOST_CALL_NOT_DONE;
  if (code != CURLE_OK)
    return HOST_CALL_UNKNOWN;
  switch (status)
    {
    case 200:
      return HOST_CALL_DONE;
    case 409:
      return HOST_CALL_FENCED;
    case 400:
    case 404:
      return HOST_CALL_REFUSED;
    case 429:
    case 503:
      return HOST_CALL_NOT_DONE;
    default:
      return HOST_CALL_UNKNOWN;
    }
}

static void
on_done (void *arg, CURL *easy, CURLcode code)
{
  struct call *call = arg;
  struct host_result res = { .slots_in_use = call->slots_in_use };
  long status = 0;
  if (code == CURLE_OPERATION_TIMEDOUT)
    curl_loop_shut_idle (&call->priv->loop, easy);
  curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &status);
  res.status = call_status (call, code, status);
  if (call->op == HOST_OP_HEALTH)
    {
      /* Any complete response reports the health; 503 means that the host is
         leaving.  */
      if (call->sent && code == CURLE_OK)
        res.status = HOST_CALL_DONE;
      res.healthy = code == CURLE_OK && status == 200;
    }
  else if (res.status == HOST_CALL_DONE)
    {
      res.state = parse_state (call);
      if (res.state == HOST_ACTUAL_UNKNOWN)
        res.status = HOST_CALL_UNKNOWN;
    }
  host_call_fn *fn = call->fn;
  void *fn_arg = call->arg;
  talloc_free (call);
  fn (fn_arg, &res);
}

static bool
add_header (struct call *call, const char *text)
{
  struct curl_slist *list = curl_slist_append (call->headers, text);
  if (!list)
    return false;
  call->headers = list;
  return true;
}

static bool
add_headers (struct call *call, const struct host_call *hc)
{
  char line[HEADER_MAX_BYTES];
  if (!add_header (call, "Expect:"))
    return false;
  if (!host_op_is_change (hc->op))
    return true;
  snprintf (line, sizeof line, "X-Operation-Id: %s", hc->operation_id);
  if (!add_header (call, line))
    return false;
  snprintf (line, sizeof line, "X-Fence: %" PRIu64, hc->fence);
  return add_header (call, line);
}

static void
set_options (struct call *call, const struct host_call *hc)
{
  const struct host_http_settings *set = &call->priv->set;
  char url[URL_MAX_BYTES];
  CURL *easy = call->easy;
  if (hc->op == HOST_OP_HEALTH)
    snprintf (url, sizeof url, "http://%s/health", hc->address);
  else if (hc->op == HOST_OP_GET)
    snprintf (url, sizeof url, "http://%s/hosts/%s", set->address, hc->host);
  else
    snprintf (url, sizeof url, "http://%s/hosts/%s/%s", set->address, hc->host,
              host_op_name (hc->op));
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt (easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt (easy, CURLOPT_NOPROXY, "*");
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, call->headers);
  curl_easy_setopt (easy, CURLOPT_USERAGENT, set->client);
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS,
                    (long)set->connect_timeout_ms);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, (long)set->call_timeout_ms);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, call);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, call);
  curl_easy_setopt (easy, CURLOPT_PREREQFUNCTION, before_request);
  curl_easy_setopt (easy, CURLOPT_PREREQDATA, call);
  if (host_op_is_change (hc->op))
    curl_easy_setopt (easy, CURLOPT_COPYPOSTFIELDS, "");
}

static int
http_call (struct host_api *api, const struct host_call *hc, host_call_fn *fn,
           void *arg)
{
  struct priv *p = ((struct host_http *)api)->priv;
  char ip[64];
  uint16_t port;
  if (hc->op == HOST_OP_HEALTH
      && (!hc->address || address_parse (hc->address, ip, &port) != 0))
    return ERR_INVALID;
  struct call *call = talloc (p->calls, struct call);
  if (!call)
    return ERR_NOMEM;
  *call = (struct call){
    .priv = p, .op = hc->op, .fn = fn, .arg = arg, .slots_in_use = -1
  };
  call->easy = curl_easy_init ();
  talloc_set_destructor (call, free_call);
  if (!call->easy || !add_headers (call, hc))
    {
      talloc_free (call);
      return ERR_NOMEM;
    }
  set_options (call, hc);
  int err = curl_loop_add (&p->loop, call->easy, on_done, call);
  if (err)
    talloc_free (call);
  return err == ERR_SYSTEM ? ERR_NOMEM : err;
}

static void
http_fini (struct host_api *api)
{
  struct host_http *hh = (struct host_http *)api;
  struct priv *p = hh->priv;
  if (!p)
    return;
  hh->priv = NULL;
  /* Freeing a call removes its handle from the loop, so the calls are freed
     before the loop.  */
  TALLOC_FREE (p->calls);
  curl_loop_fini (&p->loop);
  talloc_free (p);
}

static const struct host_api_driver http_driver = {
  .call = http_call,
  .fini = http_fini,
};

int
host_http_init (struct host_http *hh, void *parent, struct tevent_context *ev,
                const struct host_http_settings *set)
{
  char ip[64];
  uint16_t port;
  memset (hh, 0, sizeof *hh);
  if (address_parse (set->address, ip, &port) != 0 || port == 0
      || set->max_calls == 0 || set->connect_timeout_ms <= 0
      || set->call_timeout_ms <= 0)
    return ERR_INVALID;
  struct priv *p = talloc_zero (parent, struct priv);
  if (!p)
    return ERR_NOMEM;
  struct curl_loop_settings loop = {
    .max_calls = set->max_calls,
    .max_connections = set->max_calls,
    .max_idle = IDLE_CONNECTIONS,
  };
  p->set = *set;
  p->set.address = talloc_strdup (p, set->address);
  p->set.client = talloc_strdup (p, set->client);
  p->calls = talloc_new (p);
  int err = p->set.address && p->set.client && p->calls
                ? curl_loop_init (&p->loop, p, ev, &loop)
                : ERR_NOMEM;
  if (err)
    {
      talloc_free (p);
      return err;
    }
  hh->api.drv = &http_driver;
  hh->priv = p;
  return 0;
}
