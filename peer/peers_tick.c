#include "peer/peers_priv.h"

#include <string.h>
#include <talloc.h>
#include <tevent.h>
#include <utlist.h>

#include "base/clock.h"
#include "base/err.h"
#include "base/log.h"

void
peers_send_heartbeat (struct priv *p, struct conn *con)
{
  PeerHeartbeat heartbeat = PEER_HEARTBEAT__INIT;
  PeerFrame msg = PEER_FRAME__INIT;
  heartbeat.folded_offset = p->folded_offset;
  heartbeat.ready = p->ready;
  msg.body_case = PEER_FRAME__BODY_HEARTBEAT;
  msg.heartbeat = &heartbeat;
  conn_send (con, &msg, false);
}

static struct conn *
find_link (const struct priv *p, const char *name)
{
  struct member_handle mbr;
  if (*name == '\0' || members_find (&p->members, name, &mbr) != 0)
    return NULL;
  const struct peer *per = &p->peers[mbr.index];
  return per->member.generation == mbr.generation ? per->con : NULL;
}

void
peers_free_closed (struct priv *p)
{
  struct conn *con;
  struct conn *tmp;
  DL_FOREACH_SAFE (p->conns, con, tmp)
    {
      if (con->state != CONN_CLOSED)
        continue;
      DL_DELETE (p->conns, con);
      talloc_free (con);
    }
}

static void
tick_conns (struct priv *p, int64_t now_us, bool paused)
{
  struct conn *con;
  DL_FOREACH (p->conns, con)
    {
      if (paused)
        con->unsent_since_us = now_us;
      conn_tick (con, now_us);
    }
}

static void
tick_members (struct priv *p, int64_t now_us)
{
  struct member_info mbr;
  while (members_next_change (&p->members, now_us, &mbr))
    {
      struct peer *per = &p->peers[mbr.handle.index];
      log_event (p->lg, EV_PEER_STATE, LOG_S ("peer", mbr.name),
                 LOG_S ("state", member_state_name (mbr.state)),
                 LOG_I ("incarnation", mbr.incarnation));
      if (mbr.state == MEMBER_DEAD && per->con
          && per->member.generation == mbr.handle.generation)
        conn_close (per->con, ERR_TIMEOUT);
      p->evs->on_member (p->arg, &mbr);
    }
}

static void
dial_due_addresses (struct priv *p, int64_t now_us)
{
  for (uint32_t n = 0; n < p->addresses.count; n++)
    {
      struct address *adr = &p->addresses.items[n];
      struct conn *con;
      if (adr->con || now_us < adr->dial_at_us || find_link (p, adr->name)
          || strcmp (adr->text, p->own_address) == 0)
        continue;
      int err = conn_dial (&p->shr, p, adr->host, adr->port, &con);
      if (err)
        {
          address_list_schedule_redial (&p->addresses, n, now_us);
          continue;
        }
      con->address_index = n;
      adr->con = con;
      DL_APPEND (p->conns, con);
    }
}

static bool
gets_deltas (const struct priv *p, const struct conn *con)
{
  return con->state == CONN_UP && p->peers[con->member.index].con == con
         && strcmp (con->data_centre, p->set.data_centre) == 0;
}

/* Brings new links up to date: sends the dictionary and the values that were
   last sent in deltas.  The number of names per tick is limited over all
   links, so that the start of a process does not cause a burst.  */
static void
send_catch_up (struct priv *p)
{
  uint32_t left = p->set.catch_up_targets_per_tick;
  struct conn *con;
  DL_FOREACH (p->conns, con)
    {
      PeerFrame msg;
      uint32_t names = con->cursor.names_sent;
      while (left > 0 && gets_deltas (p, con)
             && con->send_len < p->set.queue_max_bytes / 2
             && load_publisher_catch_up (&p->load, &con->cursor, left, &msg))
        {
          conn_send (con, &msg, false);
          uint32_t sent = con->cursor.names_sent - names;
          left -= sent < left ? sent : left;
          names = con->cursor.names_sent;
        }
    }
}

static void
send_deltas (struct priv *p, int64_t now_us)
{
  PeerFrame msg;
  struct conn *con;
  uint32_t links = 0;
  DL_FOREACH (p->conns, con)
    links += gets_deltas (p, con);
  /* Messages that can wait are sent with the heartbeat, in one TCP segment. */
  bool heartbeat_due = now_us >= p->next_heartbeat_us;
  while (load_publisher_next (&p->load, now_us, links, heartbeat_due, &msg))
    {
      DL_FOREACH (p->conns, con)
        {
          /* A peer that missed a delta is sent all values again once its queue
             has room.  */
          if (gets_deltas (p, con) && conn_send (con, &msg, true) == ERR_FULL)
            {
              con->cursor.values_sent = 0;
              con->cursor.health_sent = false;
            }
        }
    }
}

static void
send_heartbeats (struct priv *p, int64_t now_us)
{
  if (now_us < p->next_heartbeat_us)
    return;
  p->next_heartbeat_us += p->set.heartbeat_interval_us;
  if (p->next_heartbeat_us <= now_us)
    p->next_heartbeat_us = now_us + p->set.heartbeat_interval_us;
  struct conn *con;
  DL_FOREACH (p->conns, con)
    {
      if (con->state == CONN_UP)
        peers_send_heartbeat (p, con);
    }
}

static void
tick (struct priv *p)
{
  struct conn *con;
  int64_t now_us = clock_now_us (p->clk);
  /* After a pause of this process the heartbeats that arrived meanwhile are
     still unread and the send queues could not drain.  As neither shows that a
     peer failed, the pause does not count towards the time-outs.  */
  bool paused = now_us - p->last_tick_us >= p->set.member.suspect_after_us / 2;
  if (paused)
    members_shift_times (&p->members, now_us - p->last_tick_us);
  p->last_tick_us = now_us;

  tick_conns (p, now_us, paused);
  tick_members (p, now_us);
  peers_free_closed (p);
  dial_due_addresses (p, now_us);
  send_catch_up (p);
  send_deltas (p, now_us);
  send_heartbeats (p, now_us);
  /* Flushes once, so that all frames of a tick share one TCP segment per
     link.  */
  DL_FOREACH (p->conns, con)
    conn_flush (con);
  for (uint32_t n = 0; n < p->set.member.max_members; n++)
    if (p->peers[n].view.priv)
      load_view_tick (&p->peers[n].view, now_us);
}

void
peers_on_timer (struct tevent_context *ev, struct tevent_timer *timer,
                struct timeval current, void *arg)
{
  struct priv *p = arg;
  tick (p);
  p->timer = tevent_add_timer (
      ev, p, tevent_timeval_current_ofs (0, p->set.load.min_interval_us),
      peers_on_timer, p);
}
