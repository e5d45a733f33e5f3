/* Stand-in of the platform: log service and host list after
   docs/design/platform-protocol.md.  Each data centre reaches it through a
   port of its own, so that one can be cut off from it; docs/testing.md
   describes its faults.  */

#include <curl/curl.h>
#include <endian.h>
#include <signal.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "base/option.h"
#include "test/stand/hosts.h"
#include "test/stand/stand.h"

#define MAX_RECORD_BYTES 262144
#define MAX_READ_BYTES (4 << 20)
#define MAX_WAIT_MS 60000
#define RECORD_HEAD_BYTES 20
#define MAX_STREAMS 64

struct settings
{
  char *layout;
  char *data_centres;
  char *addresses_out;
  int64_t appends_per_s;
  int64_t append_latency_ms;
  int64_t keep_records;
  int64_t keep_ms;
  int64_t lag_ms;
  int64_t reboot_ms;
};

#define FIELD(f) offsetof (struct settings, f)

static const struct option_def options[] = {
  { "layout", OPTION_STR, FIELD (layout), 0, 1024, NULL, NULL, "",
    "layout of the hosts, as written by stand_target --layout-out" },
  { "data-centres", OPTION_STR, FIELD (data_centres), 1, 256, NULL, NULL, "a",
    "data centres; each has a port of its own" },
  { "addresses-out", OPTION_STR, FIELD (addresses_out), 0, 1024, NULL, NULL,
    "", "file that receives the addresses as JSON" },
  { "appends-per-s", OPTION_INT, FIELD (appends_per_s), 1, 1000000, NULL,
    "appends/s", "400", "appends accepted a second, over all streams" },
  { "append-latency-ms", OPTION_INT, FIELD (append_latency_ms), 0, 60000, NULL,
    "ms", "2", "time from an append's arrival to its effect" },
  { "keep-records", OPTION_INT, FIELD (keep_records), 0, INT32_MAX, NULL,
    "records", "0", "records kept in each stream; 0 keeps all" },
  { "keep-ms", OPTION_INT, FIELD (keep_ms), 0, INT32_MAX, NULL, "ms", "0",
    "age up to which records are kept; 0 keeps all" },
  { "lag-ms", OPTION_INT, FIELD (lag_ms), 0, 600000, NULL, "ms", "500",
    "time until a host's state appears in the host list" },
  { "reboot-ms", OPTION_INT, FIELD (reboot_ms), 0, 600000, NULL, "ms", "1000",
    "duration of a reboot" },
  { NULL, 0, 0, 0, 0, NULL, NULL, NULL, NULL },
};

struct record
{
  int64_t time_ms;
  size_t size;
  char bytes[];
};

struct stream
{
  char *name;
  struct record **records; /* from offset first on */
  int64_t first;
  int64_t next;
};

/* An open request of the log service: a read that waits for records, or an
   append before its effect.  A talloc child of its request, which knows it as
   its work.  */
struct pending
{
  struct platform *pf;
  struct stand_request *rq;
  char *stream;
};

struct platform
{
  struct settings set;
  struct stand *st;
  struct hosts *hosts;
  struct stream streams[MAX_STREAMS];
  int stream_count;
  double tokens; /* appends that are accepted at once */
  int64_t tokens_us;
  struct stand_request *waiting[1024];
  int waiting_count;
};

/* Log service  */

static struct stream *
find_stream (struct platform *pf, const char *name, bool create)
{
  for (int n = 0; n < pf->stream_count; n++)
    if (strcmp (pf->streams[n].name, name) == 0)
      return &pf->streams[n];
  if (!create || pf->stream_count == MAX_STREAMS)
    return NULL;
  struct stream *sm = &pf->streams[pf->stream_count++];
  sm->name = talloc_strdup (pf, name);
  return sm;
}

static void
expire (struct stream *sm, int64_t count)
{
  int64_t kept = sm->next - sm->first;
  if (count > kept)
    count = kept;
  if (count <= 0)
    return;
  for (int64_t n = 0; n < count; n++)
    talloc_free (sm->records[n]);
  for (int64_t n = count; n < kept; n++)
    sm->records[n - count] = sm->records[n];
  sm->first += count;
}

static void
expire_by_settings (struct platform *pf, struct stream *sm)
{
  int64_t old = 0;
  int64_t oldest_ms = stand_wall_us () / 1000 - pf->set.keep_ms;
  if (pf->set.keep_records > 0)
    expire (sm, sm->next - sm->first - pf->set.keep_records);
  if (pf->set.keep_ms > 0)
    {
      while (old < sm->next - sm->first
             && sm->records[old]->time_ms < oldest_ms)
        old++;
      expire (sm, old);
    }
}

/* Answers a read; returns false when there is no record yet.  */
static bool
answer_read (struct platform *pf, struct stand_request *rq, const char *name,
             bool last)
{
  int64_t from = stand_query_int (rq, "from", 0);
  int64_t max = stand_query_int (rq, "max_bytes", MAX_READ_BYTES);
  struct stream none = { 0 };
  struct stream *sm = find_stream (pf, name, false);
  if (!sm)
    sm = &none;
  else
    expire_by_settings (pf, sm);
  if (from >= sm->first && from >= sm->next && !last)
    return false;
  stand_header_int (rq, "X-First-Offset", sm->first);
  stand_header_int (rq, "X-Next-Offset", sm->next);
  if (from < sm->first)
    {
      stand_reply_json (rq, 410, json_object ());
      return true;
    }
  if (max > MAX_READ_BYTES)
    max = MAX_READ_BYTES;
  char *body = talloc_size (rq, MAX_READ_BYTES + MAX_RECORD_BYTES + 64);
  size_t size = 0;
  for (int64_t at = from; at < sm->next; at++)
    {
      struct record *rec = sm->records[at - sm->first];
      if (at > from && (int64_t)(size + RECORD_HEAD_BYTES + rec->size) > max)
        break;
      uint64_t words[2] = { htobe64 (at), htobe64 (rec->time_ms) };
      uint32_t len = htobe32 (rec->size);
      memcpy (body + size, words, sizeof words);
      memcpy (body + size + sizeof words, &len, sizeof len);
      memcpy (body + size + RECORD_HEAD_BYTES, rec->bytes, rec->size);
      size += RECORD_HEAD_BYTES + rec->size;
    }
  stand_reply (rq, 200, "application/octet-stream", body, size);
  talloc_free (body);
  return true;
}

static int
forget_waiting (struct pending *pd)
{
  struct platform *pf = pd->pf;
  for (int n = 0; n < pf->waiting_count; n++)
    if (pf->waiting[n] == pd->rq)
      {
        pf->waiting[n] = pf->waiting[--pf->waiting_count];
        break;
      }
  return 0;
}

static void
on_wait_end (struct tevent_context *ev, struct tevent_timer *te,
             struct timeval now, void *arg)
{
  struct pending *pd = arg;
  struct stand_request *rq = pd->rq;
  rq->work = NULL;
  answer_read (pd->pf, rq, pd->stream, true);
  talloc_free (pd);
}

static struct pending *
create_pending (struct platform *pf, struct stand_request *rq,
                const char *stream)
{
  struct pending *pd = talloc_zero (rq, struct pending);
  pd->pf = pf;
  pd->rq = rq;
  pd->stream = talloc_strdup (pd, stream);
  rq->work = pd;
  return pd;
}

static void
read_log (struct platform *pf, struct stand_request *rq, const char *name)
{
  int64_t wait_ms = stand_query_int (rq, "wait_ms", 0);
  if (answer_read (pf, rq, name, wait_ms <= 0 || pf->waiting_count == 1024))
    return;
  struct pending *pd = create_pending (pf, rq, name);
  if (wait_ms > MAX_WAIT_MS)
    wait_ms = MAX_WAIT_MS;
  pf->waiting[pf->waiting_count++] = rq;
  talloc_set_destructor (pd, forget_waiting);
  tevent_add_timer (stand_events (pf->st), pd, stand_after_us (wait_ms * 1000),
                    on_wait_end, pd);
}

static void
wake_readers (struct platform *pf, const char *name)
{
  for (int n = pf->waiting_count - 1; n >= 0; n--)
    {
      struct stand_request *rq = pf->waiting[n];
      struct pending *pd = rq->work;
      if (strcmp (pd->stream, name) == 0 && answer_read (pf, rq, name, false))
        {
          rq->work = NULL;
          talloc_free (pd);
        }
    }
}

static void
on_append (struct tevent_context *ev, struct tevent_timer *te,
           struct timeval now, void *arg)
{
  struct pending *pd = arg;
  struct platform *pf = pd->pf;
  struct stand_request *rq = pd->rq;
  struct stream *sm = find_stream (pf, pd->stream, true);
  struct record *rec = talloc_size (pf, sizeof *rec + rq->size);
  rq->work = NULL;
  if (!sm)
    {
      stand_reply_json (rq, 503, json_pack ("{s:s}", "error", "streams"));
      return;
    }
  rec->time_ms = stand_wall_us () / 1000;
  rec->size = rq->size;
  memcpy (rec->bytes, rq->body, rq->size);
  sm->records = talloc_realloc (pf, sm->records, struct record *,
                                sm->next - sm->first + 1);
  sm->records[sm->next - sm->first] = rec;
  sm->next++;
  stand_reply_json (rq, 200,
                    json_pack ("{s:I, s:I}", "offset",
                               (json_int_t)sm->next - 1, "time_ms",
                               (json_int_t)rec->time_ms));
  expire_by_settings (pf, sm);
  wake_readers (pf, sm->name);
}

/* Takes one append from the budget of the current second.  */
static bool
take_token (struct platform *pf)
{
  int64_t now = stand_wall_us ();
  double rate = (double)pf->set.appends_per_s;
  /* A tenth of a second's appends may come in one burst.  */
  double burst = rate / 10 < 1 ? 1 : rate / 10;
  pf->tokens += (double)(now - pf->tokens_us) * rate / 1e6;
  pf->tokens_us = now;
  if (pf->tokens > burst)
    pf->tokens = burst;
  if (pf->tokens < 1)
    return false;
  pf->tokens -= 1;
  return true;
}

static void
append_log (struct platform *pf, struct stand_request *rq, const char *name)
{
  int64_t latency_ms = pf->set.append_latency_ms;
  int64_t more = 0;
  if (rq->size == 0 || rq->size > MAX_RECORD_BYTES)
    {
      stand_reply_json (rq, rq->size ? 413 : 400, json_object ());
      return;
    }
  if (!take_token (pf))
    {
      stand_header_int (rq, "X-Retry-After-Ms",
                        1000 / pf->set.appends_per_s + 1);
      stand_reply_json (rq, 429, json_object ());
      return;
    }
  if (stand_fault (pf->st, rq, NULL, "slow", &more))
    latency_ms += more;
  struct pending *pd = create_pending (pf, rq, name);
  tevent_add_timer (stand_events (pf->st), pd,
                    stand_after_us (latency_ms * 1000), on_append, pd);
}

static void
on_request (struct stand_request *rq)
{
  struct platform *pf = stand_owner (rq->st);
  int64_t status = 503;
  bool get = strcmp (rq->method, "GET") == 0;
  bool post = strcmp (rq->method, "POST") == 0;
  if (stand_fault (pf->st, rq, NULL, "fail", &status))
    stand_reply_json (rq, status ? (int)status : 503, json_object ());
  else if (strncmp (rq->url, "/log/", 5) == 0 && rq->url[5] && get)
    read_log (pf, rq, rq->url + 5);
  else if (strncmp (rq->url, "/log/", 5) == 0 && rq->url[5] && post)
    append_log (pf, rq, rq->url + 5);
  else if (strncmp (rq->url, "/hosts", 6) == 0 && (get || post))
    hosts_request (pf->hosts, rq);
  else
    stand_reply_json (rq, 404, json_object ());
}

/* An append whose connection is lost before its effect still takes effect:
   the service has received it.  */
static void
on_abandon (struct stand_request *rq)
{
  struct pending *pd = rq->work;
  if (pd && strcmp (rq->method, "POST") == 0)
    on_append (NULL, NULL, tevent_timeval_zero (), pd);
  talloc_free (pd);
  rq->work = NULL;
}

static int
on_change (struct stand *st, const char *fault, const char *host, json_t *spec,
           bool set)
{
  struct platform *pf = stand_owner (st);
  const char *state = json_string_value (json_object_get (spec, "state"));
  const char *name = json_string_value (json_object_get (spec, "stream"));
  if (strcmp (fault, "host_state") == 0 && set)
    return hosts_set_state (pf->hosts, host, state);
  if (strcmp (fault, "hosts_stale") == 0)
    hosts_set_stale (pf->hosts, set);
  if (strcmp (fault, "expire") == 0 && set)
    for (int n = 0; n < pf->stream_count; n++)
      if (!name || strcmp (pf->streams[n].name, name) == 0)
        expire (&pf->streams[n],
                json_integer_value (json_object_get (spec, "value")));
  return 0;
}

static const char *const faults[]
    = { "host_state", "hosts_stale", "expire", NULL };

static const struct stand_driver driver = {
  .match = "POST /log/",
  .faults = faults,
  .request = on_request,
  .abandon = on_abandon,
  .change = on_change,
};

static int
listen_ports (struct platform *pf)
{
  json_t *ports = json_object ();
  char address[64];
  char *save;
  for (char *dc = strtok_r (pf->set.data_centres, ",", &save); dc;
       dc = strtok_r (NULL, ",", &save))
    {
      struct stand_port *port = stand_listen (pf->st, dc, NULL, 0, 0);
      if (!port)
        return ERR_SYSTEM;
      snprintf (address, sizeof address, "127.0.0.1:%u", port->number);
      json_object_set_new (ports, dc, json_string (address));
      printf ("data-centre %s %s\n", dc, address);
    }
  snprintf (address, sizeof address, "127.0.0.1:%u",
            stand_control_port (pf->st));
  json_t *all
      = json_pack ("{s:s, s:o}", "control", address, "data_centres", ports);
  printf ("control %s\n", address);
  if (*pf->set.addresses_out)
    return stand_write_json (pf->set.addresses_out, all);
  json_decref (all);
  return 0;
}

int
main (int argc, char **argv)
{
  static struct platform *pf;
  signal (SIGPIPE, SIG_IGN);
  pf = talloc_zero (NULL, struct platform);
  int err = options_parse (pf, "stand_platform", options, argc - 1, argv + 1,
                           &pf->set, stdout, stderr);
  if (err != 0)
    return err < 0 ? 2 : 0;
  curl_global_init (CURL_GLOBAL_DEFAULT);
  pf->st = stand_create (pf, &driver, pf, 0);
  if (pf->st)
    pf->hosts = hosts_create (pf, pf->st, pf->set.layout, pf->set.lag_ms,
                              pf->set.reboot_ms);
  err = pf->hosts ? listen_ports (pf) : ERR_SYSTEM;
  if (err < 0)
    {
      fprintf (stderr, "stand_platform: cannot start: %s\n", err_name (err));
      return 1;
    }
  puts ("ready");
  fflush (stdout);
  stand_run (pf->st);
  hosts_destroy (pf->hosts);
  curl_global_cleanup ();
  return 0;
}
