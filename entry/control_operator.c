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
#include "entry/story_json.h"
#include "entry/traffic.h"

/* Answers to operators: the control thread's own part at once, the traffic
   thread's part after it posted a snapshot.  */

#define MEMBERS_MAX 1024
/* A traffic thread that does not answer for this long is told as such.  */
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
  size_t count = infos ? peers_members (&ctl->peers, infos, MEMBERS_MAX) : 0;
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
  int64_t age = clock_now_us (ctl->clk) - ctl->hosts_us;
  return json_pack ("{s:I, s:I}", "version", (json_int_t)ctl->hosts->version,
                    "age_ms", (json_int_t)(age / 1000));
}

/* Who this process is; INCARNATION is the wall-clock time of its start.  */
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
pools_json (const struct mail_status *mail)
{
  json_t *list = json_array ();
  for (uint32_t n = 0; mail->view && n < mail->view->pool_count; n++)
    {
      const struct status_pool *pool = &mail->pools[n];
      json_array_append_new (
          list, json_pack ("{s:s, s:I, s:I, s:I, s:I, s:I, s:I}", "name",
                           mail->view->pools[n].name, "targets",
                           (json_int_t)pool->targets, "taking_work",
                           (json_int_t)pool->taking_work, "slots",
                           (json_int_t)pool->slots, "own_in_flight",
                           (json_int_t)pool->own, "peers_in_flight",
                           (json_int_t)pool->peers, "ejected",
                           (json_int_t)pool->ejected));
    }
  return list;
}

static json_t *
kinds_json (const struct mail_status *mail)
{
  json_t *list = json_array ();
  for (uint32_t n = 0; mail->view && n < mail->view->kind_count; n++)
    {
      const struct status_kind *kind = &mail->kinds[n];
      if (mail->view->kinds[n].removed && kind->running + kind->queued == 0)
        continue;
      json_array_append_new (list,
                             json_pack ("{s:s, s:I, s:I, s:I, s:I}", "name",
                                        mail->view->kinds[n].name, "running",
                                        (json_int_t)kind->running, "queued",
                                        (json_int_t)kind->queued, "started",
                                        (json_int_t)kind->started, "refused",
                                        (json_int_t)kind->refused));
    }
  return list;
}

static json_t *
traffic_json (const struct mail_status *mail)
{
  return json_pack ("{s:b, s:I, s:o, s:o, s:o}", "draining", mail->draining,
                    "open_requests", (json_int_t)mail->open, "in_force_offset",
                    mail->view
                        ? json_integer ((json_int_t)mail->view->folded_offset)
                        : json_null (),
                    "pools", pools_json (mail), "kinds", kinds_json (mail));
}

static void
answer (struct control *ctl, uint64_t ask, json_t *root)
{
  char *text = root ? json_dumps (root, JSON_COMPACT) : NULL;
  operator_answer (ctl->opl, ask, text ? 200 : 500, text ? text : "{}");
  free (text);
  json_decref (root);
}

/* MAIL is NULL when the traffic thread did not answer.  */
static void
answer_status (struct control *ctl, uint64_t ask,
               const struct mail_status *mail)
{
  const struct fold *fd = state_fold (&ctl->state);
  json_t *root = identity_json (ctl);
  json_t *part = json_pack (
      "{s:b, s:I, s:b, s:o, s:b, s:o, s:o, s:o}", "ready",
      mail && mail->view && !mail->draining, "folded_offset",
      (json_int_t)fd->next_offset, "state_ready", state_ready (&ctl->state),
      "log_age_ms", age_json (state_age_ms (&ctl->state)), "claims_ready",
      claims_ready (&ctl->claims), "hosts", hosts_json (ctl), "members",
      members_json (ctl), "traffic",
      mail ? traffic_json (mail) : json_null ());
  if (root && part)
    json_object_update (root, part);
  json_decref (part);
  answer (ctl, ask, root);
}

void
control_operator_status (struct control *ctl, struct mail_status *mail)
{
  answer_status (ctl, mail->ask, mail);
  view_unref (mail->view);
}

void
control_operator_story (struct control *ctl, const struct mail_story *mail)
{
  const struct stories_found *found = &mail->found;
  json_t *list = json_array ();
  for (uint32_t n = 0; n < found->count; n++)
    json_array_append_new (list, story_json (&found->stories[n]));
  json_t *root = identity_json (ctl);
  /* Before this time the process may have forgotten requests.  */
  int64_t since = found->overwritten > 0 ? found->oldest_ms
                                         : (int64_t)ctl->set.incarnation;
  json_t *part = json_pack ("{s:I, s:I, s:I, s:b, s:o}", "known_since_ms",
                            (json_int_t)since, "overwritten",
                            (json_int_t)found->overwritten, "more",
                            (json_int_t)found->more, "keeps_stories",
                            ctl->set.stories > 0, "stories", list);
  if (root && part)
    json_object_update (root, part);
  json_decref (part);
  answer (ctl, mail->ask, root);
}

static void
no_traffic (struct control *ctl, uint64_t ask, enum operator_query query)
{
  if (query == OPERATOR_STATUS)
    answer_status (ctl, ask, NULL);
  else
    operator_answer (ctl->opl, ask, 503,
                     "{\"error\":\"traffic_thread_does_not_answer\"}\n");
}

static void
on_ask (void *arg, uint64_t ask, enum operator_query query,
        const char *request_id)
{
  struct control *ctl = arg;
  struct mail_ask *mail
      = mail_new (query == OPERATOR_STATUS ? MAIL_ASK_STATUS : MAIL_ASK_STORY,
                  sizeof *mail);
  if (mail)
    {
      mail->ask = ask;
      snprintf (mail->id, sizeof mail->id, "%s", request_id);
      if (ctl->traffic
          && mailbox_post (traffic_mailbox (ctl->traffic), &mail->mail))
        return;
      free (mail);
    }
  no_traffic (ctl, ask, query);
}

static void
on_expired (void *arg, uint64_t ask, enum operator_query query)
{
  no_traffic (arg, ask, query);
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
      = { .ask = on_ask, .expired = on_expired, .arg = ctl };
  if (!*ctl->set.operator_listen)
    return 0;
  return operator_create (ctl, ctl->ev, &set, &handler, &ctl->opl);
}

uint16_t
control_operator_port (const struct control *ctl)
{
  return ctl->opl ? operator_port (ctl->opl) : 0;
}
