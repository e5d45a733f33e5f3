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
  struct mail_peer_load *mail = mail_new (MAIL_PEER_LOAD, sizeof *mail);
  if (!mail)
    return;
  mail->peer = peer;
  mail->in_flight = in_flight;
  snprintf (mail->host, sizeof mail->host, "%s", host);
  control_post (arg, &mail->mail);
}

static void
on_health (void *arg, uint32_t peer, const char *host, bool ejected)
{
  struct mail_peer_health *mail = mail_new (MAIL_PEER_HEALTH, sizeof *mail);
  if (!mail)
    return;
  mail->ejected = ejected;
  snprintf (mail->host, sizeof mail->host, "%s", host);
  control_post (arg, &mail->mail);
}

/* Processes that take part in the even shares of the targets' slots.  */
static uint32_t
count_entries (struct control *ctl)
{
  static struct member_info infos[MEMBERS_MAX];
  size_t count = peers_members (&ctl->peers, infos, MEMBERS_MAX);
  uint32_t entries = 1;
  for (size_t n = 0; n < count; n++)
    entries += infos[n].state != MEMBER_DEAD && infos[n].ready
               && strcmp (infos[n].data_centre, ctl->set.data_centre) == 0;
  return entries;
}

void
control_peers_count (struct control *ctl)
{
  if (!ctl->peers.priv)
    return;
  uint32_t entries = count_entries (ctl);
  if (entries == ctl->entries)
    return;
  struct mail_peer_count *mail = mail_new (MAIL_PEER_COUNT, sizeof *mail);
  if (!mail)
    return;
  ctl->entries = entries;
  log_event (ctl->lg, EV_ENTRIES_CHANGED, LOG_I ("entries", entries));
  mail->entries = entries;
  control_post (ctl, &mail->mail);
}

static void
on_member (void *arg, const struct member_info *mbr)
{
  struct control *ctl = arg;
  log_event (ctl->lg, EV_MEMBER_CHANGED, LOG_S ("member", mbr->name),
             LOG_S ("state", member_state_name (mbr->state)),
             LOG_I ("incarnation", mbr->incarnation));
  control_peers_count (ctl);
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
control_peers_load (struct control *ctl, const struct mail_own_load *mail)
{
  if (!ctl->peers.priv)
    return;
  for (uint32_t n = 0; n < mail->count; n++)
    {
      int err = peers_publish_load (&ctl->peers, mail->loads[n].host,
                                    mail->loads[n].in_flight,
                                    mail->loads[n].slots);
      if (err)
        log_event (ctl->lg, EV_LOAD_NOT_PUBLISHED,
                   LOG_S ("host", mail->loads[n].host),
                   LOG_S ("error", err_name (err)));
    }
}

void
control_peers_health (struct control *ctl, const struct mail_own_health *mail)
{
  if (ctl->peers.priv)
    peers_publish_health (&ctl->peers, mail->host, mail->ejected);
}
