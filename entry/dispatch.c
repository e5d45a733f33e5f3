#include "entry/dispatch.h"

#include <curl/curl.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <talloc.h>

#include "base/clock.h"
#include "base/curl_loop.h"
#include "base/err.h"

#define HEADER_VALUE_MAX 128

struct dispatch
{
  struct curl_loop loop;
  const struct clock *clk;
  struct dispatch_settings set;
};

struct attempt
{
  struct dispatch *dsp;
  CURL *easy;
  struct curl_slist *headers;
  attempt_fn *fn;
  void *arg;
  const char *request_id;
  int64_t start_us;
  int64_t deadline_us;

  /* State of the answer, updated while it is received.  */
  bool id_matches;
  bool not_started;
  bool has_length;   /* a length within max_answer was received */
  bool answer_begun; /* a header line of an answer was received */
  bool headers_done; /* all headers were received; checked because libcurl
                        reports success even when the connection closed in the
                        middle of them */
  size_t body_size;
  struct attempt_reply reply;
};

static bool
header_value (const char *line, size_t len, const char *name, char *out,
              size_t size)
{
  size_t name_len = strlen (name);
  if (len <= name_len || line[name_len] != ':'
      || strncasecmp (line, name, name_len) != 0)
    return false;
  const char *val = line + name_len + 1;
  const char *end = line + len;
  while (val < end && (*val == ' ' || *val == '\t'))
    val++;
  while (end > val && (end[-1] == '\r' || end[-1] == '\n' || end[-1] == ' '))
    end--;
  size_t val_len = end - val;
  if (val_len >= size)
    val_len = size - 1;
  memcpy (out, val, val_len);
  out[val_len] = '\0';
  return true;
}

/* Truncates a value that does not fit; a truncated value matches no known
   name.  */
static void
copy_value (char *dst, size_t size, const char *val)
{
  size_t len = strnlen (val, size - 1);
  memcpy (dst, val, len);
  dst[len] = '\0';
}

/* Called at the end of the headers.  Rejects an answer that belongs to another
   request, has no length or is too long; libcurl then also closes the
   connection.  */
static bool
headers_acceptable (struct attempt *att)
{
  long status = 0;
  curl_easy_getinfo (att->easy, CURLINFO_RESPONSE_CODE, &status);
  if (status < 200)
    return true;
  att->reply.status = (unsigned int)status;
  return att->id_matches && att->has_length;
}

static size_t
on_header (char *line, size_t one, size_t len, void *arg)
{
  struct attempt *att = arg;
  char val[HEADER_VALUE_MAX];

  att->answer_begun = true;
  if (len >= 5 && strncasecmp (line, "HTTP/", 5) == 0)
    {
      att->id_matches = att->has_length = att->not_started = false;
      att->reply.leaving = false;
      att->reply.slots_in_use = -1;
    }
  else if (header_value (line, len, "X-Request-Id", val, sizeof val))
    att->id_matches = strcmp (val, att->request_id) == 0;
  else if (header_value (line, len, "X-Not-Started", val, sizeof val))
    att->not_started = strcmp (val, "1") == 0;
  else if (header_value (line, len, "X-Leaving", val, sizeof val))
    att->reply.leaving = strcmp (val, "1") == 0;
  else if (header_value (line, len, "X-Slots-In-Use", val, sizeof val))
    att->reply.slots_in_use = (int32_t)strtol (val, NULL, 10);
  else if (header_value (line, len, "X-Outcome", val, sizeof val))
    copy_value (att->reply.outcome, sizeof att->reply.outcome, val);
  else if (header_value (line, len, "X-Reason", val, sizeof val))
    copy_value (att->reply.reason, sizeof att->reply.reason, val);
  else if (header_value (line, len, "X-Target", val, sizeof val))
    copy_value (att->reply.target, sizeof att->reply.target, val);
  else if (header_value (line, len, "X-Retry-After-Ms", val, sizeof val))
    att->reply.retry_after_ms = strtoll (val, NULL, 10);
  else if (header_value (line, len, "Content-Length", val, sizeof val))
    {
      unsigned long long size = strtoull (val, NULL, 10);
      att->has_length = size <= att->dsp->set.max_answer;
    }
  else if (header_value (line, len, "Content-Type", val, sizeof val))
    copy_value (att->reply.content_type, sizeof att->reply.content_type, val);
  else if (len <= 2)
    {
      if (!headers_acceptable (att))
        return 0;
      att->headers_done = att->reply.status != 0;
    }
  return len;
}

static size_t
on_body (char *data, size_t one, size_t len, void *arg)
{
  struct attempt *att = arg;
  size_t need = att->reply.body_len + len;
  if (need > att->dsp->set.max_answer)
    return 0;
  if (need > att->body_size)
    {
      size_t size = att->body_size ? att->body_size * 2 : 1024;
      while (size < need)
        size *= 2;
      void *body = realloc (att->reply.body, size);
      if (!body)
        return 0;
      att->reply.body = body;
      att->body_size = size;
    }
  memcpy ((char *)att->reply.body + att->reply.body_len, data, len);
  att->reply.body_len = need;
  return len;
}

static void
attempt_free (struct attempt *att)
{
  curl_slist_free_all (att->headers);
  curl_easy_cleanup (att->easy);
  free (att->reply.body);
  talloc_free (att);
}

/* Returns the bytes of the request that were written to the connection; 0
   proves that the target received nothing.  */
static long
bytes_sent (CURL *easy)
{
  long size = 0;
  curl_easy_getinfo (easy, CURLINFO_REQUEST_SIZE, &size);
  return size;
}

static enum attempt_result
classify (struct attempt *att, CURLcode code)
{
  if (code == CURLE_OK && att->headers_done)
    {
      if (att->reply.status == 503 && att->not_started)
        return ATTEMPT_TARGET_REFUSED;
      return att->reply.status >= 500 ? ATTEMPT_SERVER_ERROR
                                      : ATTEMPT_ANSWERED;
    }
  if (bytes_sent (att->easy) == 0)
    return ATTEMPT_CONNECT_FAILED;
  if (code == CURLE_OPERATION_TIMEDOUT)
    return ATTEMPT_TIMEOUT;
  att->reply.bad_answer = att->answer_begun;
  return ATTEMPT_NO_VALID_ANSWER;
}

/* Prepares for a peer that is silent: the idle connections to it may be so as
   well.  */
static void
note_result (struct dispatch *dsp, CURL *easy, CURLcode code)
{
  if (code == CURLE_OPERATION_TIMEDOUT)
    curl_loop_shut_idle (&dsp->loop, easy);
}

static void
on_done (void *arg, CURL *easy, CURLcode code)
{
  struct attempt *att = arg;
  note_result (att->dsp, easy, code);
  att->reply.result = classify (att, code);
  att->reply.latency_us = clock_now_us (att->dsp->clk) - att->start_us;
  att->fn (att->arg, &att->reply);
  attempt_free (att);
}

static bool
add_header (struct attempt *att, const char *name, const char *val)
{
  char *line = talloc_asprintf (att, "%s: %s", name, val);
  struct curl_slist *list
      = line ? curl_slist_append (att->headers, line) : NULL;
  talloc_free (line);
  if (!list)
    return false;
  att->headers = list;
  return true;
}

static bool
add_number_header (struct attempt *att, const char *name, int64_t val)
{
  char num[32];
  snprintf (num, sizeof num, "%lld", (long long)val);
  return add_header (att, name, num);
}

static bool
build_headers (struct attempt *att, const struct attempt_call *call)
{
  struct curl_slist *list = curl_slist_append (NULL, "Expect:");
  if (!list)
    return false;
  att->headers = list;
  return add_header (att, "Content-Type", "application/octet-stream")
         && add_header (att, "X-Request-Id", call->request_id)
         && add_header (att, "X-Caller", call->caller)
         && add_number_header (att, "X-Attempt", call->number)
         && add_number_header (att, "X-Deadline-Ms", call->timeout_ms)
         && (!call->key || add_header (att, "Idempotency-Key", call->key))
         && (!call->hops || add_number_header (att, "X-Hop", call->hops));
}

/* Called when the connection is ready.  The process may have been paused since
   the attempt began, and libcurl may handle the connection before its
   timeout.  */
static int
check_deadline (void *arg, char *remote_ip, char *local_ip, int remote_port,
                int local_port)
{
  struct attempt *att = arg;
  return clock_now_us (att->dsp->clk) < att->deadline_us
             ? CURL_PREREQFUNC_OK
             : CURL_PREREQFUNC_ABORT;
}

static int
set_options (struct attempt *att, const struct attempt_call *call)
{
  CURL *easy = att->easy;
  int64_t connect_ms = att->dsp->set.connect_timeout_ms;
  if (connect_ms > call->timeout_ms)
    connect_ms = call->timeout_ms;

  char *url = talloc_asprintf (att, "http://%s%s", call->address, call->path);
  if (!url || !build_headers (att, call))
    return ERR_NOMEM;
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, att->headers);
  curl_easy_setopt (easy, CURLOPT_POST, 1L);
  curl_easy_setopt (easy, CURLOPT_POSTFIELDS,
                    call->body ? call->body : (const void *)"");
  curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE_LARGE,
                    (curl_off_t)call->body_len);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, (long)call->timeout_ms);
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS, (long)connect_ms);
  att->deadline_us = att->start_us + call->timeout_ms * 1000;
  curl_easy_setopt (easy, CURLOPT_PREREQFUNCTION, check_deadline);
  curl_easy_setopt (easy, CURLOPT_PREREQDATA, att);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, att);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, att);
  if (!call->may_repeat)
    {
      curl_easy_setopt (easy, CURLOPT_FRESH_CONNECT, 1L);
      curl_easy_setopt (easy, CURLOPT_FORBID_REUSE, 1L);
    }
  return 0;
}

int
dispatch_send (struct dispatch *dsp, const struct attempt_call *call,
               attempt_fn *fn, void *arg, struct attempt **out)
{
  struct attempt *att = talloc_zero (dsp, struct attempt);
  if (!att)
    return ERR_NOMEM;
  att->dsp = dsp;
  att->fn = fn;
  att->arg = arg;
  att->request_id = call->request_id;
  att->start_us = clock_now_us (dsp->clk);
  att->reply.slots_in_use = -1;
  att->easy = curl_easy_init ();
  int err = att->easy ? set_options (att, call) : ERR_NOMEM;
  if (!err)
    err = curl_loop_add (&dsp->loop, att->easy, on_done, att);
  if (err)
    {
      attempt_free (att);
      return err;
    }
  *out = att;
  return 0;
}

void
dispatch_cancel (struct attempt *att)
{
  curl_loop_remove (&att->dsp->loop, att->easy);
  attempt_free (att);
}

struct probe
{
  struct dispatch *dsp;
  CURL *easy;
  probe_fn *fn;
  void *arg;
};

static int
probe_destructor (struct probe *prb)
{
  curl_easy_cleanup (prb->easy);
  return 0;
}

static void
on_probe_done (void *arg, CURL *easy, CURLcode code)
{
  struct probe *prb = arg;
  long status = 0;
  note_result (prb->dsp, easy, code);
  curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &status);
  prb->fn (prb->arg, code == CURLE_OK && status == 200);
  talloc_free (prb);
}

static size_t
discard_body (char *data, size_t one, size_t len, void *arg)
{
  return len;
}

int
dispatch_probe (struct dispatch *dsp, const char *address, int64_t timeout_ms,
                probe_fn *fn, void *arg)
{
  struct probe *prb = talloc_zero (dsp, struct probe);
  if (!prb)
    return ERR_NOMEM;
  talloc_set_destructor (prb, probe_destructor);
  prb->dsp = dsp;
  prb->fn = fn;
  prb->arg = arg;
  prb->easy = curl_easy_init ();
  char *url = talloc_asprintf (prb, "http://%s/health", address);
  int err = prb->easy && url ? 0 : ERR_NOMEM;
  if (!err)
    {
      curl_easy_setopt (prb->easy, CURLOPT_URL, url);
      curl_easy_setopt (prb->easy, CURLOPT_PROXY, "");
      curl_easy_setopt (prb->easy, CURLOPT_NOSIGNAL, 1L);
      curl_easy_setopt (prb->easy, CURLOPT_TIMEOUT_MS, (long)timeout_ms);
      curl_easy_setopt (prb->easy, CURLOPT_WRITEFUNCTION, discard_body);
      err = curl_loop_add (&dsp->loop, prb->easy, on_probe_done, prb);
    }
  if (err)
    talloc_free (prb);
  return err;
}

int
dispatch_create (void *parent, struct tevent_context *ev,
                 const struct clock *clk, const struct dispatch_settings *set,
                 struct dispatch **out)
{
  const struct curl_loop_settings loop_set = {
    .max_calls = set->max_attempts,
    .max_connections = set->max_connections,
    .max_idle = set->max_connections,
  };
  struct dispatch *dsp = talloc_zero (parent, struct dispatch);
  if (!dsp)
    return ERR_NOMEM;
  dsp->clk = clk;
  dsp->set = *set;
  int err = curl_loop_init (&dsp->loop, dsp, ev, &loop_set);
  if (err)
    {
      talloc_free (dsp);
      return err;
    }
  *out = dsp;
  return 0;
}

void
dispatch_destroy (struct dispatch *dsp)
{
  if (!dsp)
    return;
  curl_loop_fini (&dsp->loop);
  talloc_free (dsp);
}
