#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base/clock.h"
#include "base/err.h"
#include "base/log.h"
#include "entry/control_priv.h"
#include "entry/operator.h"
#include "entry/request_trace_json.h"
#include "entry/traffic.h"

/* Answers to operators' queries.  Each waits for a message with the traffic
   thread's part, to which the control thread adds its own.  */

#define MEMBERS_MAX 1024
/* A traffic thread that has not answered within this time is reported as not
   answering.  */
#define ANSWER_TIMEOUT_MS 2000

static json_t *
age_json (int64_t age_ms)
{
  return age_ms == INT64_MAX ? json_null () : json_integer (age_ms);
}

static json_t *
members_json (struct control *ctl)
{
  struct member_info *infos
      = ctl->peers.priv ? talloc_array (ctl, struct member_info, MEMBERS_MAX)
                        : NULL;
  size_t count
      = infos ? peers_list_members (&ctl->peers, infos, MEMBERS_MAX) : 0;
  json_t *list = json_array ();
  for (size_t n = 0; n < count; n++)
    json_array_append_new (
        list,
        json_pack ("{s:s, s:s, s:I, s:s, s:b, s:I}", "name", infos[n].name,
                   "data_centre", infos[n].data_centre, "incarnation",
                   (json_int_t)infos[n].incarnation, "state",
                   member_state_name (infos[n].state), "ready", infos[n].ready,
                   "folded_offset", (json_int_t)infos[n].folded_offset));
  talloc_free (infos);
  return list;
}

static json_t *
hosts_json (struct control *ctl)
{
  if (!ctl->hosts)
    return json_null ();
  int64_t age = clock_now_us (ctl->clk) - ctl->hosts_loaded_us;
  return json_pack ("{s:I, s:I}", "version", (json_int_t)ctl->hosts->version,
                    "age_ms", (json_int_t)(age / 1000));
}

/* Identity of this process.  The incarnation is the wall-clock time of its
   start in milliseconds.  */
static json_t *
identity_json (struct control *ctl)
{
  return json_pack (
      "{s:s, s:s, s:I, s:I}", "name", ctl->set.name, "data_centre",
      ctl->set.data_centre, "incarnation", (json_int_t)ctl->set.incarnation,
      "uptime_ms",
      (json_int_t)((clock_now_us (ctl->clk) - ctl->start_us) / 1000));
}

static json_t *
pools_json (const struct message_status *msg)
{
  json_t *list = json_array ();
  for (uint32_t n = 0; msg->view && n < msg->view->pool_count; n++)
    {
      const struct status_pool *pool = &msg->pools[n];
      json_array_append_new (
          list, json_pack ("{s:s, s:I, s:I, s:I, s:I, s:I, s:I}", "name",
                           msg->view->pools[n].name, "targets",
                           (json_int_t)pool->targets, "taking_work",
                           (json_int_t)pool->taking_work, "slots",
                           (json_int_t)pool->slots, "own_in_flight",
                           (json_int_t)pool->own_attempts, "peers_in_flight",
                           (json_int_t)pool->peer_attempts, "ejected",
                           (json_int_t)pool->ejected));
    }
  return list;
}

static json_t *
kinds_json (const struct message_status *msg)
{
  json_t *list = json_array ();
  for (uint32_t n = 0; msg->view && n < msg->view->kind_count; n++)
    {
      const struct status_kind *kind = &msg->kinds[n];
      if (msg->view->kinds[n].removed && kind->running + kind->queued == 0)
        continue;
      json_array_append_new (list,
                             json_pack ("{s:s, s:I, s:I, s:I, s:I}", "name",
                                        msg->view->kinds[n].name, "running",
                                        (json_int_t)kind->running, "queued",
                                        (json_int_t)kind->queued, "started",
                                        (json_int_t)kind->started, "refused",
                                        (json_int_t)kind->refused));
    }
  return list;
}

static json_t *
traffic_json (const struct message_status *msg)
{
  return json_pack (
      "{s:b, s:I, s:o, s:o, s:o}", "draining", msg->draining, "open_requests",
      (json_int_t)msg->open_requests, "in_force_offset",
      msg->view ? json_integer ((json_int_t)msg->view->folded_offset)
                : json_null (),
      "pools", pools_json (msg), "kinds", kinds_json (msg));
}

static void
send_answer (struct control *ctl, uint64_t query_id, json_t *root)
{
  char *text = root ? json_dumps (root, JSON_COMPACT) : NULL;
  operator_answer (ctl->opl, query_id, text ? 200 : 500, text ? text : "{}");
  free (text);
  json_decref (root);
}

/* MSG is NULL when the traffic thread did not answer.  */
static void
answer_status (struct control *ctl, uint64_t query_id,
               const struct message_status *msg)
{
  const struct fold *fold = state_fold (&ctl->state);
  json_t *root = identity_json (ctl);
  json_t *part = json_pack (
      "{s:b, s:I, s:b, s:o, s:b, s:o, s:o, s:o}", "ready",
      msg && msg->view && !msg->draining, "folded_offset",
      (json_int_t)fold->next_offset, "state_ready", state_ready (&ctl->state),
      "log_age_ms", age_json (state_age_ms (&ctl->state)), "claims_ready",
      claims_ready (&ctl->claims), "hosts", hosts_json (ctl), "members",
      members_json (ctl), "traffic", msg ? traffic_json (msg) : json_null ());
  if (root && part)
    json_object_update (root, part);
  json_decref (part);
  send_answer (ctl, query_id, root);
}

void
control_operator_answer_status (struct control *ctl,
                                struct message_status *msg)
{
  answer_status (ctl, msg->query_id, msg);
  view_unref (msg->view);
}

void
control_operator_answer_traces (struct control *ctl,
                                const struct message_traces *msg)
{
  const struct traces_found *found = &msg->found;
  json_t *list = json_array ();
  for (uint32_t n = 0; n < found->count; n++)
    json_array_append_new (list, request_trace_json (&found->traces[n]));
  json_t *root = identity_json (ctl);
  /* Traces of earlier requests may have been overwritten, and those from
     before the start are lost.  */
  int64_t since = found->overwritten > 0 ? found->oldest_ms
                                         : (int64_t)ctl->set.incarnation;
  json_t *part = json_pack ("{s:I, s:I, s:I, s:b, s:o}", "known_since_ms",
                            (json_int_t)since, "overwritten",
                            (json_int_t)found->overwritten, "more",
                            (json_int_t)found->not_copied, "keeps_stories",
                            ctl->set.trace_count > 0, "stories", list);
  if (root && part)
    json_object_update (root, part);
  json_decref (part);
  send_answer (ctl, msg->query_id, root);
}

static void
answer_without_traffic (struct control *ctl, uint64_t query_id,
                        enum operator_query type)
{
  if (type == OPERATOR_STATUS)
    answer_status (ctl, query_id, NULL);
  else
    operator_answer (ctl->opl, query_id, 503,
                     "{\"error\":\"traffic_thread_does_not_answer\"}\n");
}

static void
on_query (void *arg, uint64_t query_id, enum operator_query type,
          const char *request_id)
{
  struct control *ctl = arg;
  struct message_query *msg = message_new (
      type == OPERATOR_STATUS ? MSG_QUERY_STATUS : MSG_QUERY_TRACES,
      sizeof *msg);
  if (msg)
    {
      msg->query_id = query_id;
      snprintf (msg->request_id, sizeof msg->request_id, "%s", request_id);
      if (ctl->traffic
          && mailbox_post (traffic_mailbox (ctl->traffic), &msg->base))
        return;
      free (msg);
    }
  answer_without_traffic (ctl, query_id, type);
}

static void
on_expired (void *arg, uint64_t query_id, enum operator_query type)
{
  answer_without_traffic (arg, query_id, type);
}

int
control_operator_start (struct control *ctl)
{
  const struct operator_settings set = {
    .address = ctl->set.operator_listen,
    .token = ctl->set.operator_token,
    .timeout_ms = ANSWER_TIMEOUT_MS,
  };
  const struct operator_handler handler
      = { .query = on_query, .expired = on_expired, .arg = ctl };
  if (!*ctl->set.operator_listen)
    return 0;
  return operator_create (ctl, ctl->ev, &set, &handler, &ctl->opl);
}

uint16_t
control_operator_port (const struct control *ctl)
{
  return ctl->opl ? operator_port (ctl->opl) : 0;
}
