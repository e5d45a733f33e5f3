#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "node/fleet_priv.h"
#include "platform/wire_decode.h"
#include "proto/job.pb-c.h"

/* Records of the holder of the fleet duty.  All holders use the same producer
   name for requests, with the token as epoch, so that the store refuses those
   of an earlier holder once a later one has appended its fence.  An earlier
   holder's record could withdraw or replace a request of the later one.  The
   progress of waves is not fenced: a host that has had its maintenance needs
   no other, whoever ordered it.  */

#define PRODUCER "holder." DUTY_FLEET
/* Interval between lines that tell what a wave waits for.  */
#define PENDING_INTERVAL_US 2000000

static int
open_appender (struct node *nod, const char *topic, uint64_t token,
               struct appender *app)
{
  const struct appender_settings set = { .topic = topic,
                                         .producer = PRODUCER,
                                         .epoch = token,
                                         .shared_name = true,
                                         .lg = nod->lg,
                                         .ctr = &nod->ctr };
  return appender_init (app, nod, &nod->store.st, nod->ev, nod->clk, &set);
}

int
node_fleet_open_log (struct node *nod, uint64_t token, struct appender *app,
                     struct appender *status_app)
{
  char text[TOKEN_TEXT_BYTES];
  snprintf (text, sizeof text, "%" PRIu64, token);
  const struct topic_entry fence
      = { .key = FENCE_PREFIX DUTY_FLEET,
          .key_len = strlen (FENCE_PREFIX DUTY_FLEET),
          .value = (const uint8_t *)text,
          .value_len = strlen (text) };
  int err = open_appender (nod, TOPIC_FLEET, token, app);
  if (!err)
    err = open_appender (nod, WIRE_TOPIC_STATUS, token, status_app);
  if (!err)
    err = appender_add (app, &fence, true, NULL, NULL);
  if (err)
    {
      appender_fini (app);
      appender_fini (status_app);
    }
  return err;
}

int
node_fleet_open_progress (struct node *nod, struct appender *app)
{
  char producer[PRODUCER_BYTES];
  snprintf (producer, sizeof producer, "%s.%016" PRIx64, nod->set->name,
            nod->run_id);
  const struct appender_settings set = { .topic = TOPIC_FLEET,
                                         .producer = producer,
                                         .epoch = 1,
                                         .lg = nod->lg,
                                         .ctr = &nod->ctr };
  return appender_init (app, nod, &nod->store.st, nod->ev, nod->clk, &set);
}

int
node_fleet_append (struct appender *app, char kind, const char *name,
                   const uint8_t *data, size_t len)
{
  char key[DUTY_KEY_BYTES];
  snprintf (key, sizeof key, "%c/%s", kind, name);
  const struct topic_entry ent = {
    .key = key, .key_len = strlen (key), .value = data, .value_len = len
  };
  return appender_add (app, &ent, true, NULL, NULL);
}

void
node_fleet_record_wave (struct node *nod, const struct mgr_wave *wave,
                        uint64_t token, struct appender *app,
                        struct appender *status_app)
{
  char name[32];
  char text[64];
  Kingcuphollow__WaveProgress msg = KINGCUPHOLLOW__WAVE_PROGRESS__INIT;
  size_t count = 0;
  void *ctx = talloc_new (nod);
  msg.done_hosts = talloc_array (ctx, char *, wave->wave->host_count + 1);
  for (size_t n = 0; msg.done_hosts && n < wave->wave->host_count; n++)
    if (wave->done[n])
      msg.done_hosts[count++] = (char *)wave->wave->hosts[n];
  msg.n_done_hosts = count;
  msg.completed = wave->completed;
  msg.token = token;
  size_t len = kingcuphollow__wave_progress__get_packed_size (&msg);
  uint8_t *data = talloc_size (ctx, len + 1);
  snprintf (name, sizeof name, "%" PRIu64, wave->number);
  if (data)
    {
      kingcuphollow__wave_progress__pack (&msg, data);
      node_fleet_append (app, WAVE_PROGRESS_KEY, name, data, len);
    }
  if (count == 0 || wave->completed)
    {
      char key[64];
      snprintf (key, sizeof key, WIRE_KEY_WAVE "%" PRIu64, wave->number);
      wire_encode_wave_state (wave->completed, text, sizeof text);
      const struct topic_entry ent = { .key = key,
                                       .key_len = strlen (key),
                                       .value = (const uint8_t *)text,
                                       .value_len = strlen (text) };
      appender_add (status_app, &ent, true, NULL, NULL);
    }
  log_event (nod->lg, EV_UPKEEP_WAVE, LOG_S ("wave", name),
             LOG_I ("done", count), LOG_I ("hosts", wave->wave->host_count),
             LOG_I ("completed", wave->completed));
  talloc_free (ctx);
}

void
node_fleet_log_pending (struct fleet_duty *flt, int64_t now_us)
{
  if (now_us < flt->next_pending_us)
    return;
  flt->next_pending_us = now_us + PENDING_INTERVAL_US;
  for (size_t n = 0; n < flt->mgr.wave_count; n++)
    {
      const struct mgr_wave *wave = &flt->mgr.waves[n];
      uint32_t waits[WAIT_COUNT];
      if (wave->completed)
        continue;
      host_mgr_count_waits (&flt->mgr, wave, now_us, waits);
      log_event (flt->nod->lg, EV_UPKEEP_PENDING, LOG_I ("wave", wave->number),
                 LOG_I ("done", wave->done_count),
                 LOG_I ("hosts", wave->wave->host_count),
                 LOG_I ("vacating", waits[WAIT_VACATING]),
                 LOG_I ("empty", waits[WAIT_EMPTY]),
                 LOG_I ("ordered", waits[WAIT_ORDERED]),
                 LOG_I ("moving", waits[WAIT_MOVE]),
                 LOG_I ("not_up", waits[WAIT_NOT_UP]),
                 LOG_I ("refused", waits[WAIT_REFUSED]),
                 LOG_I ("cooling", waits[WAIT_COOLING]),
                 LOG_I ("pool_limit", waits[WAIT_POOL_LIMIT]),
                 LOG_I ("pace", waits[WAIT_PACE]));
    }
}

static const char *
name_phase (const struct mgr_host *host)
{
  switch (host->phase)
    {
    case PHASE_NONE:
      return "arrived";
    case PHASE_VACATING:
      return "vacating";
    case PHASE_EMPTY:
      return "empty";
    case PHASE_ORDERED:
      return "ordered";
    case PHASE_AWAITING_WORKER:
      return "awaiting_worker";
    }
  return "";
}

static const char *
name_state (enum host_state state)
{
  switch (state)
    {
    case HOST_UP:
      return "up";
    case HOST_MOVING:
      return "moving";
    case HOST_MAINTENANCE:
      return "upkeep";
    case HOST_DOWN:
      return "down";
    case HOST_UNKNOWN:
      return "unknown";
    }
  return "";
}

void
node_fleet_log_awaited (struct fleet_duty *flt, int64_t now_us)
{
  struct awaited_report rep;
  while (host_mgr_next_awaited (&flt->mgr, now_us, &rep))
    {
      const struct mgr_host *host = rep.host;
      int64_t phase_us = host ? now_us - host->phase_began_us : 0;
      log_event (
          flt->nod->lg, EV_POOL_HOST_AWAITED, LOG_S ("pool", rep.pool->name),
          LOG_I ("needed", rep.pool->needed_hosts),
          LOG_S ("label", rep.pool->needed_label),
          LOG_I ("for_ms", rep.for_us / 1000),
          LOG_I ("demand_age_ms", (now_us - rep.pool->demand_us) / 1000),
          LOG_I ("incoming", rep.incoming), LOG_I ("late", rep.late),
          LOG_S ("host", host ? host->rep.name : ""),
          LOG_S ("state", host ? name_state (host->rep.state) : ""),
          LOG_S ("phase", host ? name_phase (host) : ""),
          LOG_I ("phase_ms", phase_us / 1000),
          LOG_I ("spare", rep.obstacles[OBSTACLE_NONE_SPARE]),
          LOG_I ("idle", rep.obstacles[OBSTACLE_NONE_IDLE]),
          LOG_I ("in_use", rep.obstacles[OBSTACLE_IN_USE]),
          LOG_I ("not_up", rep.obstacles[OBSTACLE_NOT_UP]),
          LOG_I ("operation", rep.obstacles[OBSTACLE_OPERATION]),
          LOG_I ("cooling", rep.obstacles[OBSTACLE_COOLING]),
          LOG_I ("refused", rep.obstacles[OBSTACLE_REFUSED]),
          LOG_I ("without_label", rep.obstacles[OBSTACLE_LABEL]));
    }
}
