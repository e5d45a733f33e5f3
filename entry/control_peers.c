#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "base/log.h"
#include "base/option.h"
#include "entry/control_priv.h"

#define MEMBERS_MAX 1024

static void
on_load (void *arg, uint32_t peer, const char *host, uint32_t in_flight)
{
  struct message_peer_load *msg = message_new (MSG_PEER_LOAD, sizeof *msg);
  if (!msg)
    return;
  msg->peer = peer;
  msg->in_flight = in_flight;
  snprintf (msg->host, sizeof msg->host, "%s", host);
  control_post (arg, &msg->base);
}

static void
on_health (void *arg, uint32_t peer, const char *host, bool ejected)
{
  struct message_peer_health *msg = message_new (MSG_PEER_HEALTH, sizeof *msg);
  if (!msg)
    return;
  msg->ejected = ejected;
  snprintf (msg->host, sizeof msg->host, "%s", host);
  control_post (arg, &msg->base);
}

/* Returns the number of entry processes that share the targets' slots: this
   one and the ready ones of its data centre.  */
static uint32_t
count_entries (struct control *ctl)
{
  static struct member_info infos[MEMBERS_MAX];
  size_t count = peers_list_members (&ctl->peers, infos, MEMBERS_MAX);
  uint32_t entry_count = 1;
  for (size_t n = 0; n < count; n++)
    entry_count += infos[n].state != MEMBER_DEAD && infos[n].ready
                   && strcmp (infos[n].data_centre, ctl->set.data_centre) == 0;
  return entry_count;
}

void
control_peers_update_entry_count (struct control *ctl)
{
  if (!ctl->peers.priv)
    return;
  uint32_t entry_count = count_entries (ctl);
  if (entry_count == ctl->entry_count)
    return;
  struct message_entry_count *msg = message_new (MSG_ENTRY_COUNT, sizeof *msg);
  if (!msg)
    return;
  ctl->entry_count = entry_count;
  log_event (ctl->lg, EV_ENTRIES_CHANGED, LOG_I ("entries", entry_count));
  msg->entry_count = entry_count;
  control_post (ctl, &msg->base);
}

static void
on_member (void *arg, const struct member_info *mbr)
{
  struct control *ctl = arg;
  log_event (ctl->lg, EV_MEMBER_CHANGED, LOG_S ("member", mbr->name),
             LOG_S ("state", member_state_name (mbr->state)),
             LOG_I ("incarnation", mbr->incarnation));
  control_peers_update_entry_count (ctl);
}

static int
listen_for_peers (struct control *ctl)
{
  char host[64];
  uint16_t port;
  int err = address_parse (ctl->set.peer_listen, host, &port);
  if (!err)
    err = peers_listen (&ctl->peers, host, port, &ctl->peer_port);
  return err ? err : peers_set_addresses (&ctl->peers, ctl->set.peers);
}

int
control_peers_start (struct control *ctl)
{
  static const struct peers_events events = {
    .on_load = on_load,
    .on_health = on_health,
    .on_member = on_member,
  };
  struct peers_settings set;

  if (!*ctl->set.peer_listen)
    return 0;
  peers_settings_init (&set);
  set.name = ctl->set.name;
  set.data_centre = ctl->set.data_centre;
  set.incarnation = ctl->set.incarnation;
  set.secret = (const uint8_t *)ctl->set.peer_secret;
  set.secret_len = strlen (ctl->set.peer_secret);
  set.seed = ctl->set.seed;
  int err = peers_init (&ctl->peers, ctl, &set, &events, ctl, ctl->ev,
                        ctl->clk, ctl->lg, ctl->ctr);
  return err ? err : listen_for_peers (ctl);
}

void
control_peers_publish_load (struct control *ctl,
                            const struct message_own_load *msg)
{
  if (!ctl->peers.priv)
    return;
  for (uint32_t n = 0; n < msg->count; n++)
    {
      int err
          = peers_publish_load (&ctl->peers, msg->loads[n].host,
                                msg->loads[n].in_flight, msg->loads[n].slots);
      if (err)
        log_event (ctl->lg, EV_LOAD_NOT_PUBLISHED,
                   LOG_S ("host", msg->loads[n].host),
                   LOG_S ("error", err_name (err)));
    }
}

void
control_peers_publish_health (struct control *ctl,
                              const struct message_own_health *msg)
{
  if (ctl->peers.priv)
    peers_publish_health (&ctl->peers, msg->host, msg->ejected);
}
