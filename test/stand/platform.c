/* Stand-in of the platform: implements the log service and the host list of
   docs/design/platform-protocol.md.  Each data centre has a port of its own,
   so that a fault can cut off one of them; docs/testing.md describes the
   faults.  */

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
#define RECORD_HEADER_BYTES 20
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
    "data centres, NAME,...; each has a port of its own" },
  { "addresses-out", OPTION_STR, FIELD (addresses_out), 0, 1024, NULL, NULL,
    "", "file that receives the addresses as JSON" },
  { "appends-per-s", OPTION_INT, FIELD (appends_per_s), 1, 1000000, NULL,
    "appends/s", "400", "appends accepted a second, over all streams" },
  { "append-latency-ms", OPTION_INT, FIELD (append_latency_ms), 0, 60000, NULL,
    "ms", "2", "time from the arrival of an append until it takes effect" },
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
  int64_t time_ms; /* wall-clock time of the append */
  size_t size;     /* of bytes */
  char bytes[];
};

struct stream
{
  char *name;
  struct record **records; /* those from first_offset on */
  int64_t first_offset;    /* of the oldest record kept */
  int64_t next_offset;     /* of the next append */
};

/* A request to the log service that awaits its reply: a read that waits for
   records, or an append that has yet to take effect.  It is the driver data
   and a talloc child of its request.  */
struct pending_request
{
  struct platform *pf;
  struct stand_request *rq;
  char *stream;
};

struct platform
{
  struct settings set;
  struct stand_server *server;
  struct hosts *hosts;
  struct stream streams[MAX_STREAMS];
  int stream_count;
  double append_tokens; /* of the token bucket that limits appends */
  int64_t tokens_updated_us;
  struct stand_request *waiting_reads[1024];
  int waiting_read_count;
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
expire_records (struct stream *sm, int64_t count)
{
  int64_t kept = sm->next_offset - sm->first_offset;
  if (count > kept)
    count = kept;
  if (count <= 0)
    return;
  for (int64_t n = 0; n < count; n++)
    talloc_free (sm->records[n]);
  for (int64_t n = count; n < kept; n++)
    sm->records[n - count] = sm->records[n];
  sm->first_offset += count;
}

static void
apply_retention (struct platform *pf, struct stream *sm)
{
  int64_t expired = 0;
  int64_t oldest_ms = stand_wall_us () / 1000 - pf->set.keep_ms;
  if (pf->set.keep_records > 0)
    expire_records (sm,
                    sm->next_offset - sm->first_offset - pf->set.keep_records);
  if (pf->set.keep_ms > 0)
    {
      while (expired < sm->next_offset - sm->first_offset
             && sm->records[expired]->time_ms < oldest_ms)
        expired++;
      expire_records (sm, expired);
    }
}

/* Replies to a read and returns true.  When the stream has no record at the
   requested offset yet, does so only with EVEN_IF_EMPTY, else returns
   false.  */
static bool
try_reply_to_read (struct platform *pf, struct stand_request *rq,
                   const char *name, bool even_if_empty)
{
  int64_t from = stand_request_query_int (rq, "from", 0);
  int64_t max = stand_request_query_int (rq, "max_bytes", MAX_READ_BYTES);
  struct stream empty = { 0 };
  struct stream *sm = find_stream (pf, name, false);
  if (!sm)
    sm = &empty;
  else
    apply_retention (pf, sm);
  if (from >= sm->first_offset && from >= sm->next_offset && !even_if_empty)
    return false;
  stand_reply_header_int (rq, "X-First-Offset", sm->first_offset);
  stand_reply_header_int (rq, "X-Next-Offset", sm->next_offset);
  if (from < sm->first_offset)
    {
      stand_reply_json (rq, 410, json_object ());
      return true;
    }
  if (max > MAX_READ_BYTES)
    max = MAX_READ_BYTES;
  char *body = talloc_size (rq, MAX_READ_BYTES + MAX_RECORD_BYTES + 64);
  size_t size = 0;
  for (int64_t offset = from; offset < sm->next_offset; offset++)
    {
      struct record *rec = sm->records[offset - sm->first_offset];
      if (offset > from
          && (int64_t)(size + RECORD_HEADER_BYTES + rec->size) > max)
        break;
      uint64_t words[2] = { htobe64 (offset), htobe64 (rec->time_ms) };
      uint32_t len = htobe32 (rec->size);
      memcpy (body + size, words, sizeof words);
      memcpy (body + size + sizeof words, &len, sizeof len);
      memcpy (body + size + RECORD_HEADER_BYTES, rec->bytes, rec->size);
      size += RECORD_HEADER_BYTES + rec->size;
    }
  stand_reply (rq, 200, "application/octet-stream", body, size);
  talloc_free (body);
  return true;
}

static int
remove_waiting_read (struct pending_request *pd)
{
  struct platform *pf = pd->pf;
  for (int n = 0; n < pf->waiting_read_count; n++)
    if (pf->waiting_reads[n] == pd->rq)
      {
        pf->waiting_reads[n] = pf->waiting_reads[--pf->waiting_read_count];
        break;
      }
  return 0;
}

static void
on_read_timeout (struct tevent_context *ev, struct tevent_timer *te,
                 struct timeval now, void *arg)
{
  struct pending_request *pd = arg;
  struct stand_request *rq = pd->rq;
  rq->driver_data = NULL;
  try_reply_to_read (pd->pf, rq, pd->stream, true);
  talloc_free (pd);
}

static struct pending_request *
create_pending_request (struct platform *pf, struct stand_request *rq,
                        const char *stream)
{
  struct pending_request *pd = talloc_zero (rq, struct pending_request);
  pd->pf = pf;
  pd->rq = rq;
  pd->stream = talloc_strdup (pd, stream);
  rq->driver_data = pd;
  return pd;
}

static void
read_log (struct platform *pf, struct stand_request *rq, const char *name)
{
  int64_t wait_ms = stand_request_query_int (rq, "wait_ms", 0);
  if (try_reply_to_read (pf, rq, name,
                         wait_ms <= 0 || pf->waiting_read_count == 1024))
    return;
  struct pending_request *pd = create_pending_request (pf, rq, name);
  if (wait_ms > MAX_WAIT_MS)
    wait_ms = MAX_WAIT_MS;
  pf->waiting_reads[pf->waiting_read_count++] = rq;
  talloc_set_destructor (pd, remove_waiting_read);
  tevent_add_timer (stand_event_context (pf->server), pd,
                    stand_after_us (wait_ms * 1000), on_read_timeout, pd);
}

static void
reply_to_waiting_reads (struct platform *pf, const char *name)
{
  for (int n = pf->waiting_read_count - 1; n >= 0; n--)
    {
      struct stand_request *rq = pf->waiting_reads[n];
      struct pending_request *pd = rq->driver_data;
      if (strcmp (pd->stream, name) == 0
          && try_reply_to_read (pf, rq, name, false))
        {
          rq->driver_data = NULL;
          talloc_free (pd);
        }
    }
}

static void
on_append_due (struct tevent_context *ev, struct tevent_timer *te,
               struct timeval now, void *arg)
{
  struct pending_request *pd = arg;
  struct platform *pf = pd->pf;
  struct stand_request *rq = pd->rq;
  struct stream *sm = find_stream (pf, pd->stream, true);
  struct record *rec = talloc_size (pf, sizeof *rec + rq->size);
  rq->driver_data = NULL;
  if (!sm)
    {
      stand_reply_json (rq, 503,
                        json_pack ("{s:s}", "error", "too many streams"));
      return;
    }
  rec->time_ms = stand_wall_us () / 1000;
  rec->size = rq->size;
  memcpy (rec->bytes, rq->body, rq->size);
  sm->records = talloc_realloc (pf, sm->records, struct record *,
                                sm->next_offset - sm->first_offset + 1);
  sm->records[sm->next_offset - sm->first_offset] = rec;
  sm->next_offset++;
  stand_reply_json (rq, 200,
                    json_pack ("{s:I, s:I}", "offset",
                               (json_int_t)sm->next_offset - 1, "time_ms",
                               (json_int_t)rec->time_ms));
  apply_retention (pf, sm);
  reply_to_waiting_reads (pf, sm->name);
}

/* Takes a token for one append from the token bucket, unless it is empty.  */
static bool
take_append_token (struct platform *pf)
{
  int64_t now = stand_wall_us ();
  double rate = (double)pf->set.appends_per_s;
  /* A burst may hold the appends of a tenth of a second.  */
  double burst = rate / 10 < 1 ? 1 : rate / 10;
  pf->append_tokens += (double)(now - pf->tokens_updated_us) * rate / 1e6;
  pf->tokens_updated_us = now;
  if (pf->append_tokens > burst)
    pf->append_tokens = burst;
  if (pf->append_tokens < 1)
    return false;
  pf->append_tokens -= 1;
  return true;
}

static void
append_log (struct platform *pf, struct stand_request *rq, const char *name)
{
  int64_t latency_ms = pf->set.append_latency_ms;
  int64_t extra_ms = 0;
  if (rq->size == 0 || rq->size > MAX_RECORD_BYTES)
    {
      stand_reply_json (rq, rq->size ? 413 : 400, json_object ());
      return;
    }
  if (!take_append_token (pf))
    {
      stand_reply_header_int (rq, "X-Retry-After-Ms",
                              1000 / pf->set.appends_per_s + 1);
      stand_reply_json (rq, 429, json_object ());
      return;
    }
  if (stand_check_fault (pf->server, rq, NULL, "slow", &extra_ms))
    latency_ms += extra_ms;
  struct pending_request *pd = create_pending_request (pf, rq, name);
  tevent_add_timer (stand_event_context (pf->server), pd,
                    stand_after_us (latency_ms * 1000), on_append_due, pd);
}

static void
on_request (struct stand_request *rq)
{
  struct platform *pf = stand_owner (rq->server);
  int64_t status = 503;
  bool get = strcmp (rq->method, "GET") == 0;
  bool post = strcmp (rq->method, "POST") == 0;
  if (stand_check_fault (pf->server, rq, NULL, "fail", &status))
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

/* An append that the service has received takes effect even when its
   connection is closed before that.  */
static void
on_connection_closed (struct stand_request *rq)
{
  struct pending_request *pd = rq->driver_data;
  if (pd && strcmp (rq->method, "POST") == 0)
    on_append_due (NULL, NULL, tevent_timeval_zero (), pd);
  talloc_free (pd);
  rq->driver_data = NULL;
}

static int
on_fault_changed (struct stand_server *st, const char *fault, const char *host,
                  json_t *spec, bool set)
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
        expire_records (&pf->streams[n],
                        json_integer_value (json_object_get (spec, "value")));
  return 0;
}

static const char *const faults[]
    = { "host_state", "hosts_stale", "expire", NULL };

static const struct stand_driver driver = {
  .default_match = "POST /log/",
  .faults = faults,
  .request = on_request,
  .connection_closed = on_connection_closed,
  .fault_changed = on_fault_changed,
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
      struct stand_port *port = stand_listen (pf->server, dc, NULL, 0, 0);
      if (!port)
        return ERR_SYSTEM;
      snprintf (address, sizeof address, "127.0.0.1:%u", port->number);
      json_object_set_new (ports, dc, json_string (address));
      printf ("data-centre %s %s\n", dc, address);
    }
  snprintf (address, sizeof address, "127.0.0.1:%u",
            stand_control_port (pf->server));
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
  pf->server = stand_create (pf, &driver, pf, 0);
  if (pf->server)
    pf->hosts = hosts_create (pf, pf->server, pf->set.layout, pf->set.lag_ms,
                              pf->set.reboot_ms);
  err = pf->hosts ? listen_ports (pf) : ERR_SYSTEM;
  if (err < 0)
    {
      fprintf (stderr, "stand_platform: cannot start: %s\n", err_name (err));
      return 1;
    }
  puts ("ready");
  fflush (stdout);
  stand_run (pf->server);
  hosts_destroy (pf->hosts);
  curl_global_cleanup ();
  return 0;
}
