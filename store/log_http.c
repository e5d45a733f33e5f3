#include "store/log_http.h"

#include <curl/curl.h>
#include <endian.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <talloc.h>

#include "base/curl_loop.h"
#include "base/err.h"
#include "base/option.h"

#define READ_MAX_BYTES (4U << 20)
#define RECORD_HEADER_BYTES 20
#define APPEND_REPLY_MAX_BYTES 4096
#define WAIT_MAX_MS 60000
#define URL_MAX_BYTES 256
#define STREAM_MAX_BYTES 64
#define IDLE_CONNECTIONS 4

const struct log_http_settings log_http_settings_default = {
  .client = "kingcuphollow",
  .max_calls = 64,
  .connect_timeout_ms = 1000,
  .append_timeout_ms = 5000,
  .read_timeout_ms = 5000,
  .hosts_timeout_ms = 5000,
  /* 24,000 hosts at about 250 bytes each, with headroom for growth.  */
  .max_hosts_bytes = 16U << 20,
};

struct priv
{
  struct curl_loop loop;
  struct log_http_settings set;
  struct curl_slist *headers;
  void *calls; /* talloc parent of the calls in progress */
};

enum call_kind
{
  CALL_APPEND,
  CALL_READ,
  CALL_HOSTS,
};

struct call
{
  struct priv *priv;
  CURL *easy;
  enum call_kind kind;
  union
  {
    append_fn *append;
    read_fn *read;
    hosts_fn *hosts;
  } fn;
  void *arg;
  uint64_t from;
  /* Whether libcurl started to send the request; while false, the service
     cannot have received it.  */
  bool sent;

  uint8_t *buf;
  size_t len;
  size_t max_len;
  int64_t retry_after_ms;
  uint64_t first_offset;
  uint64_t next_offset;
  bool has_first;
  bool has_next;
};

static int
free_call (struct call *call)
{
  if (call->easy)
    {
      curl_loop_remove (&call->priv->loop, call->easy);
      curl_easy_cleanup (call->easy);
    }
  return 0;
}

static size_t
on_body (char *data, size_t size, size_t count, void *arg)
{
  struct call *call = arg;
  size_t more = size * count;
  if (more > call->max_len - call->len)
    return 0;
  /* Leaves one byte for the NUL that terminates a text body.  */
  size_t cap = talloc_get_size (call->buf);
  if (call->len + more + 1 > cap)
    {
      size_t want
          = 2 * cap > call->len + more + 1 ? 2 * cap : call->len + more + 1;
      uint8_t *buf = talloc_realloc_size (call, call->buf, want);
      if (!buf)
        return 0;
      call->buf = buf;
    }
  memcpy (call->buf + call->len, data, more);
  call->len += more;
  return more;
}

/* Parses the header "NAME: NUMBER" of LEN bytes; LINE is not
   NUL-terminated.  */
static bool
header_number (const char *line, size_t len, const char *name, uint64_t *val)
{
  size_t n = strlen (name);
  if (len <= n || strncasecmp (line, name, n) != 0 || line[n] != ':')
    return false;
  n++;
  while (n < len && (line[n] == ' ' || line[n] == '\t'))
    n++;
  uint64_t num = 0;
  size_t digits = 0;
  for (; n < len && line[n] >= '0' && line[n] <= '9'; n++, digits++)
    if (__builtin_mul_overflow (num, 10, &num)
        || __builtin_add_overflow (num, line[n] - '0', &num))
      return false;
  while (n < len && (line[n] == ' ' || line[n] == '\r' || line[n] == '\n'))
    n++;
  if (digits == 0 || n != len)
    return false;
  *val = num;
  return true;
}

static size_t
on_header (char *line, size_t size, size_t count, void *arg)
{
  struct call *call = arg;
  size_t len = size * count;
  uint64_t num;
  if (header_number (line, len, "X-First-Offset", &num))
    {
      call->first_offset = num;
      call->has_first = true;
    }
  else if (header_number (line, len, "X-Next-Offset", &num))
    {
      call->next_offset = num;
      call->has_next = true;
    }
  else if (header_number (line, len, "X-Retry-After-Ms", &num))
    call->retry_after_ms = num < WAIT_MAX_MS ? (int64_t)num : WAIT_MAX_MS;
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

static void
parse_append_reply (struct call *call, struct append_result *res)
{
  json_t *root = json_loadb ((char *)call->buf, call->len, 0, NULL);
  json_t *offset = json_object_get (root, "offset");
  json_t *time_ms = json_object_get (root, "time_ms");
  if (json_is_integer (offset) && json_integer_value (offset) >= 0
      && json_is_integer (time_ms) && json_integer_value (time_ms) >= 0)
    {
      res->status = APPEND_DONE;
      res->offset = (uint64_t)json_integer_value (offset);
      res->time_ms = json_integer_value (time_ms);
    }
  json_decref (root);
}

static void
finish_append (struct call *call, CURLcode code, long status)
{
  struct append_result res = { .status = APPEND_UNKNOWN };
  if (!call->sent)
    res.status = APPEND_NOT_DONE;
  else if (code == CURLE_OK && status == 200)
    parse_append_reply (call, &res);
  else if (code == CURLE_OK
           && (status == 429 || status == 413 || status == 503))
    {
      res.status = APPEND_NOT_DONE;
      res.retry_after_ms = call->retry_after_ms;
    }
  append_fn *fn = call->fn.append;
  void *arg = call->arg;
  talloc_free (call);
  fn (arg, &res);
}

/* Splits the body into records.  Returns 0, ERR_NOMEM, or ERR_PROTOCOL unless
   the body consists of complete records with consecutive offsets from the
   requested one on, all below X-Next-Offset.  */
static int
parse_records (struct call *call, struct log_record_view **out, size_t *count)
{
  size_t pos = 0;
  size_t num = 0;
  uint64_t expected = call->from;
  struct log_record_view *views = NULL;

  while (pos < call->len)
    {
      uint64_t word[2];
      uint32_t len;
      if (call->len - pos < RECORD_HEADER_BYTES)
        return ERR_PROTOCOL;
      memcpy (word, call->buf + pos, sizeof word);
      memcpy (&len, call->buf + pos + sizeof word, sizeof len);
      pos += RECORD_HEADER_BYTES;
      len = be32toh (len);
      uint64_t offset = be64toh (word[0]);
      if (len > call->len - pos || len > LOG_RECORD_MAX_BYTES || len == 0
          || offset != expected || offset >= call->next_offset
          || be64toh (word[1]) > INT64_MAX)
        return ERR_PROTOCOL;
      if ((num & (num - 1)) == 0)
        views = talloc_realloc (call, views, struct log_record_view,
                                num ? 2 * num : 1);
      if (!views)
        return ERR_NOMEM;
      views[num++] = (struct log_record_view){
        .offset = offset,
        .time_ms = (int64_t)be64toh (word[1]),
        .data = call->buf + pos,
        .len = len,
      };
      expected = offset + 1;
      pos += len;
    }
  *out = views;
  *count = num;
  return 0;
}

static void
finish_read (struct call *call, CURLcode code, long status)
{
  struct read_result res = { .err = ERR_UNAVAILABLE };
  struct log_record_view *views = NULL;
  bool headers_valid = call->has_first && call->has_next
                       && call->first_offset <= call->next_offset;
  if (code == CURLE_WRITE_ERROR)
    res.err = ERR_PROTOCOL;
  else if (code == CURLE_OK && (status == 200 || status == 410))
    res.err = headers_valid ? (status == 410 ? ERR_EXPIRED : 0) : ERR_PROTOCOL;
  else if (code == CURLE_OK && status >= 400 && status < 500 && status != 429)
    res.err = ERR_PROTOCOL;
  if (res.err == 0)
    res.err = parse_records (call, &views, &res.count);
  if (res.err == 0 || res.err == ERR_EXPIRED)
    {
      res.first_offset = call->first_offset;
      res.next_offset = call->next_offset;
      res.records = views;
    }
  else
    res.count = 0;
  /* The records point into the call's buffer, so the call has to outlive the
     callback even when the callback runs log_store_fini.  */
  talloc_steal (NULL, call);
  curl_easy_cleanup (call->easy);
  call->easy = NULL;
  call->fn.read (call->arg, &res);
  talloc_free (call);
}

static void
finish_hosts (struct call *call, CURLcode code, long status)
{
  struct hosts_result res = { .err = ERR_UNAVAILABLE };
  if (code == CURLE_WRITE_ERROR)
    res.err = ERR_PROTOCOL;
  else if (code == CURLE_OK && status == 200)
    res.err = 0;
  if (res.err == 0)
    {
      call->buf[call->len] = '\0';
      res.json = (char *)call->buf;
      res.len = call->len;
    }
  talloc_steal (NULL, call);
  curl_easy_cleanup (call->easy);
  call->easy = NULL;
  call->fn.hosts (call->arg, &res);
  talloc_free (call);
}

static void
on_done (void *arg, CURL *easy, CURLcode code)
{
  struct call *call = arg;
  long status = 0;
  if (code == CURLE_OPERATION_TIMEDOUT)
    curl_loop_shut_idle (&call->priv->loop, easy);
  curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &status);
  switch (call->kind)
    {
    case CALL_APPEND:
      finish_append (call, code, status);
      break;
    case CALL_READ:
      finish_read (call, code, status);
      break;
    case CALL_HOSTS:
      finish_hosts (call, code, status);
      break;
    }
}

static struct call *
new_call (struct priv *p, enum call_kind kind, const char *path,
          size_t max_len, int64_t timeout_ms)
{
  char url[URL_MAX_BYTES];
  struct call *call = talloc_zero (p->calls, struct call);
  if (!call)
    return NULL;
  call->priv = p;
  call->kind = kind;
  call->max_len = max_len;
  call->buf = talloc_size (call, 1);
  call->easy = curl_easy_init ();
  talloc_set_destructor (call, free_call);
  if (!call->buf || !call->easy)
    {
      talloc_free (call);
      return NULL;
    }
  snprintf (url, sizeof url, "http://%s%s", p->set.address, path);
  CURL *easy = call->easy;
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt (easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt (easy, CURLOPT_NOPROXY, "*");
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, p->headers);
  curl_easy_setopt (easy, CURLOPT_USERAGENT, p->set.client);
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS,
                    (long)p->set.connect_timeout_ms);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, (long)timeout_ms);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, call);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, call);
  curl_easy_setopt (easy, CURLOPT_PREREQFUNCTION, before_request);
  curl_easy_setopt (easy, CURLOPT_PREREQDATA, call);
  return call;
}

static int
start_call (struct call *call)
{
  int err = curl_loop_add (&call->priv->loop, call->easy, on_done, call);
  if (err)
    talloc_free (call);
  return err == ERR_SYSTEM ? ERR_NOMEM : err;
}

/* Stream names are put into the URL without escaping.  */
static bool
stream_valid (const char *stream)
{
  static const char allowed[] = "abcdefghijklmnopqrstuvwxyz"
                                "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-";
  size_t len = strlen (stream);
  return len > 0 && len <= STREAM_MAX_BYTES && stream[0] != '.'
         && strspn (stream, allowed) == len;
}

static int
http_append (struct log_store *st, const char *stream, const uint8_t *data,
             size_t len, append_fn *fn, void *arg)
{
  struct priv *p = ((struct log_http *)st)->priv;
  char path[URL_MAX_BYTES];
  if (!stream_valid (stream))
    return ERR_INVALID;
  snprintf (path, sizeof path, "/log/%s", stream);
  struct call *call = new_call (p, CALL_APPEND, path, APPEND_REPLY_MAX_BYTES,
                                p->set.append_timeout_ms);
  if (!call)
    return ERR_NOMEM;
  call->fn.append = fn;
  call->arg = arg;
  curl_easy_setopt (call->easy, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)len);
  if (curl_easy_setopt (call->easy, CURLOPT_COPYPOSTFIELDS, data) != CURLE_OK)
    {
      talloc_free (call);
      return ERR_NOMEM;
    }
  return start_call (call);
}

static int
http_read (struct log_store *st, const char *stream, uint64_t from,
           size_t max_bytes, int64_t wait_ms, read_fn *fn, void *arg)
{
  struct priv *p = ((struct log_http *)st)->priv;
  char path[URL_MAX_BYTES];
  if (!stream_valid (stream))
    return ERR_INVALID;
  if (max_bytes > READ_MAX_BYTES)
    max_bytes = READ_MAX_BYTES;
  if (wait_ms < 0)
    wait_ms = 0;
  if (wait_ms > WAIT_MAX_MS)
    wait_ms = WAIT_MAX_MS;
  snprintf (path, sizeof path,
            "/log/%s?from=%" PRIu64 "&max_bytes=%zu&wait_ms=%" PRId64, stream,
            from, max_bytes, wait_ms);
  /* The body may exceed MAX_BYTES by one record, because the service sends
     only complete records.  */
  size_t max_len = max_bytes + LOG_RECORD_MAX_BYTES + RECORD_HEADER_BYTES;
  struct call *call = new_call (p, CALL_READ, path, max_len,
                                p->set.read_timeout_ms + wait_ms);
  if (!call)
    return ERR_NOMEM;
  call->fn.read = fn;
  call->arg = arg;
  call->from = from;
  return start_call (call);
}

static int
http_hosts (struct log_store *st, hosts_fn *fn, void *arg)
{
  struct priv *p = ((struct log_http *)st)->priv;
  struct call *call
      = new_call (p, CALL_HOSTS, "/hosts", p->set.max_hosts_bytes,
                  p->set.hosts_timeout_ms);
  if (!call)
    return ERR_NOMEM;
  call->fn.hosts = fn;
  call->arg = arg;
  return start_call (call);
}

static void
http_fini (struct log_store *st)
{
  struct log_http *lh = (struct log_http *)st;
  struct priv *p = lh->priv;
  if (!p)
    return;
  lh->priv = NULL;
  /* Freeing a call removes its handle from the loop, so the calls are freed
     before the loop.  */
  TALLOC_FREE (p->calls);
  curl_loop_fini (&p->loop);
  curl_slist_free_all (p->headers);
  talloc_free (p);
}

static const struct log_store_driver http_driver = {
  .append = http_append,
  .read = http_read,
  .hosts = http_hosts,
  .fini = http_fini,
};

static bool
settings_valid (const struct log_http_settings *set)
{
  char host[64];
  uint16_t port;
  return address_parse (set->address, host, &port) == 0 && port != 0
         && set->max_calls > 0 && set->connect_timeout_ms > 0
         && set->append_timeout_ms > 0 && set->read_timeout_ms > 0
         && set->hosts_timeout_ms > 0 && set->max_hosts_bytes > 0;
}

int
log_http_init (struct log_http *lh, void *parent, struct tevent_context *ev,
               const struct log_http_settings *set)
{
  memset (lh, 0, sizeof *lh);
  if (!settings_valid (set))
    return ERR_INVALID;
  struct priv *p = talloc_zero (parent, struct priv);
  if (!p)
    return ERR_NOMEM;
  struct curl_loop_settings loop = {
    .max_calls = set->max_calls,
    /* As many connections as calls, so that long polls cannot delay an
       append.  */
    .max_connections = set->max_calls,
    .max_idle = IDLE_CONNECTIONS,
  };
  p->set = *set;
  p->set.address = talloc_strdup (p, set->address);
  p->set.client = talloc_strdup (p, set->client);
  p->calls = talloc_new (p);
  /* Disables "Expect: 100-continue", with which libcurl holds back a larger
     body until the service responds, for up to one second.  */
  p->headers = curl_slist_append (NULL, "Expect:");
  int err = p->set.address && p->set.client && p->calls && p->headers
                ? curl_loop_init (&p->loop, p, ev, &loop)
                : ERR_NOMEM;
  if (err)
    {
      curl_slist_free_all (p->headers);
      talloc_free (p);
      return err;
    }
  lh->st.drv = &http_driver;
  lh->priv = p;
  return 0;
}
