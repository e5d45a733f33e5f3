#include "test/stand/hosts.h"

#include <curl/curl.h>
#include <stdio.h>
#include <string.h>

#include "base/err.h"

#define CONTROL_TIMEOUT_MS 2000

struct host
{
  struct hosts *hs;
  json_t *spec; /* from the layout; its state is the one in the list */
  const char *name;
  const char *control; /* of the target's stand-in, or NULL */
  const char *state;   /* after the end of a reboot */
  bool rebooting;
  json_int_t fence;
  json_t *answers; /* by operation id */
  struct tevent_timer *reboot;
};

struct hosts
{
  struct stand *st;
  int64_t lag_ms;
  int64_t reboot_ms;
  json_t *layout;
  struct host *hosts;
  size_t count;
  json_int_t version;
  bool stale;
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
publish (struct host *ht)
{
  const char *listed = json_string_value (json_object_get (ht->spec, "state"));
  if (ht->hs->stale || strcmp (listed, actual_state (ht)) == 0)
    return;
  json_object_set_new (ht->spec, "state", json_string (actual_state (ht)));
  ht->hs->version++;
}

static void
on_publish (struct tevent_context *ev, struct tevent_timer *te,
            struct timeval now, void *arg)
{
  publish (arg);
}

static void
publish_later (struct host *ht)
{
  tevent_add_timer (stand_events (ht->hs->st), ht->hs,
                    stand_after_us (ht->hs->lag_ms * 1000), on_publish, ht);
}

void
hosts_set_stale (struct hosts *hs, bool stale)
{
  hs->stale = stale;
  for (size_t n = 0; n < hs->count; n++)
    publish (&hs->hosts[n]);
}

static size_t
discard (char *data, size_t size, size_t count, void *arg)
{
  return size * count;
}

/* Sets or clears a fault of the host's worker at the target's stand-in.  */
static void
tell_target (struct host *ht, const char *fault, bool set)
{
  if (!ht->control)
    return;
  CURL *curl = curl_easy_init ();
  char *url = set ? talloc_asprintf (NULL, "http://%s/fault", ht->control)
                  : talloc_asprintf (NULL, "http://%s/faults?fault=%s&host=%s",
                                     ht->control, fault, ht->name);
  char *body = talloc_asprintf (url, "{\"fault\":\"%s\",\"host\":\"%s\"}",
                                fault, ht->name);
  long status = 0;
  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, (long)CONTROL_TIMEOUT_MS);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, discard);
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  if (set)
    curl_easy_setopt (curl, CURLOPT_POSTFIELDS, body);
  else
    curl_easy_setopt (curl, CURLOPT_CUSTOMREQUEST, "DELETE");
  if (curl_easy_perform (curl) != CURLE_OK
      || curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &status) != CURLE_OK
      || status != 200)
    fprintf (stderr, "stand_platform: %s: no answer from %s\n", ht->name,
             ht->control);
  curl_easy_cleanup (curl);
  talloc_free (url);
}

static void
set_state (struct host *ht, const char *state)
{
  tell_target (ht, "leaves", false);
  if (strcmp (state, "leaving") == 0)
    tell_target (ht, "leaves", true);
  ht->state = state;
  publish_later (ht);
}

static void
on_rebooted (struct tevent_context *ev, struct tevent_timer *te,
             struct timeval now, void *arg)
{
  struct host *ht = arg;
  ht->reboot = NULL;
  ht->rebooting = false;
  tell_target (ht, "down", false);
  publish_later (ht);
}

static void
reboot (struct host *ht)
{
  struct hosts *hs = ht->hs;
  talloc_free (ht->reboot);
  ht->reboot = tevent_add_timer (stand_events (hs->st), hs,
                                 stand_after_us (hs->reboot_ms * 1000),
                                 on_rebooted, ht);
  if (!ht->rebooting)
    tell_target (ht, "down", true);
  ht->rebooting = true;
  publish_later (ht);
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
        publish_later (ht);
        return 0;
      }
  return ERR_INVALID;
}

static void
operate (struct host *ht, struct stand_request *rq, const char *operation)
{
  const char *id = stand_get (rq, "X-Operation-Id");
  json_int_t fence = stand_get_int (rq, "X-Fence", -1);
  if (!id || fence < 0)
    {
      stand_reply_json (
          rq, 400, json_pack ("{s:s}", "error", "X-Operation-Id or X-Fence"));
      return;
    }
  json_t *done = json_object_get (ht->answers, id);
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
  json_object_set_new (ht->answers, id, done);
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
      operate (ht, rq, name + len + 1);
      return;
    }
  json_t *spec = json_copy (ht->spec);
  json_object_set_new (spec, "state", json_string (actual_state (ht)));
  stand_reply_json (rq, 200, spec);
}

struct hosts *
hosts_create (void *parent, struct stand *st, const char *path, int64_t lag_ms,
              int64_t reboot_ms)
{
  struct hosts *hs = talloc_zero (parent, struct hosts);
  json_error_t error;
  hs->st = st;
  hs->lag_ms = lag_ms;
  hs->reboot_ms = reboot_ms;
  hs->version = 1;
  hs->layout = *path ? json_load_file (path, 0, &error)
                     : json_pack ("{s:[]}", "hosts");
  json_t *list = json_object_get (hs->layout, "hosts");
  if (!json_is_array (list))
    {
      fprintf (stderr, "stand_platform: %s: %s\n", path,
               hs->layout ? "no array \"hosts\"" : error.text);
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
                          "control", &ht->control)
          != 0)
        {
          fprintf (stderr, "stand_platform: %s: %s\n", path, error.text);
          return NULL;
        }
      ht->state = "live";
      ht->answers = json_object ();
      json_object_set_new (ht->spec, "state", json_string (ht->state));
    }
  return hs;
}

void
hosts_destroy (struct hosts *hs)
{
  for (size_t n = 0; n < hs->count; n++)
    json_decref (hs->hosts[n].answers);
  json_decref (hs->layout);
  talloc_free (hs);
}
