/* Host list and host operations of the platform's stand-in.  Draining or
   rebooting a host sets a fault in the stand-in of its target, so that the
   host's worker refuses work or is down.  */

#include "test/stand/hosts.h"

#include <curl/curl.h>
#include <stdio.h>
#include <string.h>

#include "base/err.h"

#define CONTROL_TIMEOUT_MS 2000

struct host
{
  struct hosts *hs;
  json_t *spec; /* entry of the host list; its "state" lags behind */
  const char *name;
  const char *control_address; /* of the target's stand-in, or NULL */
  const char *state;           /* actual state, except while rebooting */
  bool rebooting;
  json_int_t fence;          /* highest fencing token of an operation */
  json_t *operation_results; /* replies by operation id, for repeats */
  struct tevent_timer *reboot_timer;
};

struct hosts
{
  struct stand_server *server;
  int64_t lag_ms;
  int64_t reboot_ms;
  json_t *layout; /* its array "hosts" is the published list */
  struct host *hosts;
  size_t count;
  json_int_t version; /* of the list, raised by each change */
  bool stale;         /* the list is not updated */
};

static const char *
actual_state (const struct host *ht)
{
  return ht->rebooting ? "down" : ht->state;
}

static struct host *
find_host (struct hosts *hs, const char *name, size_t len)
{
  for (size_t n = 0; n < hs->count; n++)
    if (strlen (hs->hosts[n].name) == len
        && strncmp (hs->hosts[n].name, name, len) == 0)
      return &hs->hosts[n];
  return NULL;
}

static void
update_list (struct host *ht)
{
  const char *listed = json_string_value (json_object_get (ht->spec, "state"));
  if (ht->hs->stale || strcmp (listed, actual_state (ht)) == 0)
    return;
  json_object_set_new (ht->spec, "state", json_string (actual_state (ht)));
  ht->hs->version++;
}

static void
on_list_update (struct tevent_context *ev, struct tevent_timer *te,
                struct timeval now, void *arg)
{
  update_list (arg);
}

static void
schedule_list_update (struct host *ht)
{
  tevent_add_timer (stand_event_context (ht->hs->server), ht->hs,
                    stand_after_us (ht->hs->lag_ms * 1000), on_list_update,
                    ht);
}

void
hosts_set_stale (struct hosts *hs, bool stale)
{
  hs->stale = stale;
  for (size_t n = 0; n < hs->count; n++)
    update_list (&hs->hosts[n]);
}

static size_t
discard_body (char *data, size_t size, size_t count, void *arg)
{
  return size * count;
}

/* Sets or clears FAULT for the host's worker in the target's stand-in.  */
static void
set_target_fault (struct host *ht, const char *fault, bool set)
{
  if (!ht->control_address)
    return;
  CURL *curl = curl_easy_init ();
  char *url
      = set ? talloc_asprintf (NULL, "http://%s/fault", ht->control_address)
            : talloc_asprintf (NULL, "http://%s/faults?fault=%s&host=%s",
                               ht->control_address, fault, ht->name);
  char *body = talloc_asprintf (url, "{\"fault\":\"%s\",\"host\":\"%s\"}",
                                fault, ht->name);
  long status = 0;
  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, (long)CONTROL_TIMEOUT_MS);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, discard_body);
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  if (set)
    curl_easy_setopt (curl, CURLOPT_POSTFIELDS, body);
  else
    curl_easy_setopt (curl, CURLOPT_CUSTOMREQUEST, "DELETE");
  if (curl_easy_perform (curl) != CURLE_OK
      || curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &status) != CURLE_OK
      || status != 200)
    fprintf (stderr, "stand_platform: %s: fault request to %s failed\n",
             ht->name, ht->control_address);
  curl_easy_cleanup (curl);
  talloc_free (url);
}

/* Sets the state by a host operation: unlike hosts_set_state, also makes the
   host's worker refuse work or accept it again.  */
static void
set_state (struct host *ht, const char *state)
{
  set_target_fault (ht, "leaves", false);
  if (strcmp (state, "leaving") == 0)
    set_target_fault (ht, "leaves", true);
  ht->state = state;
  schedule_list_update (ht);
}

static void
on_rebooted (struct tevent_context *ev, struct tevent_timer *te,
             struct timeval now, void *arg)
{
  struct host *ht = arg;
  ht->reboot_timer = NULL;
  ht->rebooting = false;
  set_target_fault (ht, "down", false);
  schedule_list_update (ht);
}

static void
reboot (struct host *ht)
{
  struct hosts *hs = ht->hs;
  talloc_free (ht->reboot_timer);
  ht->reboot_timer = tevent_add_timer (stand_event_context (hs->server), hs,
                                       stand_after_us (hs->reboot_ms * 1000),
                                       on_rebooted, ht);
  if (!ht->rebooting)
    set_target_fault (ht, "down", true);
  ht->rebooting = true;
  schedule_list_update (ht);
}

int
hosts_set_state (struct hosts *hs, const char *host, const char *state)
{
  static const char *const states[] = { "live", "leaving", "down", NULL };
  struct host *ht = host ? find_host (hs, host, strlen (host)) : NULL;
  if (!ht)
    return ERR_NOT_FOUND;
  for (int n = 0; states[n] && state; n++)
    if (strcmp (states[n], state) == 0)
      {
        ht->state = states[n];
        schedule_list_update (ht);
        return 0;
      }
  return ERR_INVALID;
}

static void
handle_operation (struct host *ht, struct stand_request *rq,
                  const char *operation)
{
  const char *id = stand_request_header (rq, "X-Operation-Id");
  json_int_t fence = stand_request_header_int (rq, "X-Fence", -1);
  if (!id || fence < 0)
    {
      stand_reply_json (
          rq, 400,
          json_pack ("{s:s}", "error",
                     "X-Operation-Id or X-Fence missing or invalid"));
      return;
    }
  json_t *done = json_object_get (ht->operation_results, id);
  if (done)
    {
      stand_reply_json (rq, 200, json_incref (done));
      return;
    }
  if (fence < ht->fence)
    {
      stand_reply_json (rq, 409, json_pack ("{s:I}", "fence", ht->fence));
      return;
    }
  if (strcmp (operation, "drain") == 0)
    set_state (ht, "leaving");
  else if (strcmp (operation, "return") == 0)
    set_state (ht, "live");
  else if (strcmp (operation, "reboot") == 0)
    reboot (ht);
  else
    {
      stand_reply_json (rq, 404, json_object ());
      return;
    }
  ht->fence = fence;
  done = json_pack ("{s:s}", "state", actual_state (ht));
  json_object_set_new (ht->operation_results, id, done);
  stand_reply_json (rq, 200, json_incref (done));
}

void
hosts_request (struct hosts *hs, struct stand_request *rq)
{
  bool get = strcmp (rq->method, "GET") == 0;
  if (strcmp (rq->url, "/hosts") == 0 && get)
    {
      stand_reply_json (rq, 200,
                        json_pack ("{s:I, s:O}", "version", hs->version,
                                   "hosts",
                                   json_object_get (hs->layout, "hosts")));
      return;
    }
  const char *name = rq->url + strlen ("/hosts/");
  size_t len = strlen (rq->url) > 7 ? strcspn (name, "/") : 0;
  struct host *ht = find_host (hs, name, len);
  if (!ht || get != (name[len] == '\0'))
    {
      stand_reply_json (rq, 404, json_object ());
      return;
    }
  if (!get)
    {
      handle_operation (ht, rq, name + len + 1);
      return;
    }
  json_t *spec = json_copy (ht->spec);
  json_object_set_new (spec, "state", json_string (actual_state (ht)));
  stand_reply_json (rq, 200, spec);
}

struct hosts *
hosts_create (void *parent, struct stand_server *st, const char *path,
              int64_t lag_ms, int64_t reboot_ms)
{
  struct hosts *hs = talloc_zero (parent, struct hosts);
  json_error_t error;
  hs->server = st;
  hs->lag_ms = lag_ms;
  hs->reboot_ms = reboot_ms;
  hs->version = 1;
  hs->layout = *path ? json_load_file (path, 0, &error)
                     : json_pack ("{s:[]}", "hosts");
  json_t *list = json_object_get (hs->layout, "hosts");
  if (!json_is_array (list))
    {
      fprintf (stderr, "stand_platform: %s: %s\n", path,
               hs->layout ? "\"hosts\" is missing or no array" : error.text);
      return NULL;
    }
  hs->count = json_array_size (list);
  hs->hosts = talloc_zero_array (hs, struct host, hs->count);
  for (size_t n = 0; n < hs->count; n++)
    {
      struct host *ht = &hs->hosts[n];
      ht->hs = hs;
      ht->spec = json_array_get (list, n);
      if (json_unpack_ex (ht->spec, &error, 0, "{s:s, s?s}", "host", &ht->name,
                          "control", &ht->control_address)
          != 0)
        {
          fprintf (stderr, "stand_platform: %s: %s\n", path, error.text);
          return NULL;
        }
      ht->state = "live";
      ht->operation_results = json_object ();
      json_object_set_new (ht->spec, "state", json_string (ht->state));
    }
  return hs;
}

void
hosts_destroy (struct hosts *hs)
{
  for (size_t n = 0; n < hs->count; n++)
    json_decref (hs->hosts[n].operation_results);
  json_decref (hs->layout);
  talloc_free (hs);
}
