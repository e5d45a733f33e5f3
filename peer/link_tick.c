#include "peer/link_priv.h"

#include <string.h>
#include <talloc.h>
#include <tevent.h>
#include <utlist.h>

#include "base/clock.h"
#include "base/err.h"
#include "base/log.h"

void
link_send_heartbeat (struct priv *p, struct conn *con)
{
  PeerHeartbeat beat = PEER_HEARTBEAT__INIT;
  PeerFrame msg = PEER_FRAME__INIT;
  beat.folded_offset = p->folded_offset;
  beat.ready = p->ready;
  msg.body_case = PEER_FRAME__BODY_HEARTBEAT;
  msg.heartbeat = &beat;
  conn_send (con, &msg, false);
}

static struct conn *
linked (const struct priv *p, const char *name)
{
  struct member_handle mbr;
  if (*name == '\0' || members_find (&p->members, name, &mbr) != 0)
    return NULL;
  const struct peer *per = &p->peers[mbr.index];
  return per->member.generation == mbr.generation ? per->con : NULL;
}

void
link_reap (struct priv *p)
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
        con->out_since_us = now_us;
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
dial_due (struct priv *p, int64_t now_us)
{
  for (uint32_t n = 0; n < p->addresses.count; n++)
    {
      struct address *adr = &p->addresses.items[n];
      struct conn *con;
      if (adr->con || now_us < adr->dial_at_us || linked (p, adr->name)
          || strcmp (adr->text, p->own_address) == 0)
        continue;
      int err = conn_dial (&p->shr, p, adr->host, adr->port, &con);
      if (err)
        {
          address_failed (&p->addresses, n, now_us);
          continue;
        }
      con->slot = n;
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

/* Tells new links the dictionary, some targets a tick over all links, so that
   the start of a process causes no burst.  */
static void
send_catch_up (struct priv *p)
{
  uint32_t left = p->set.catch_up_targets;
  struct conn *con;
  DL_FOREACH (p->conns, con)
    {
      PeerFrame msg;
      uint32_t names = con->cursor.names;
      while (left > 0 && gets_deltas (p, con)
             && con->out_len < p->set.queue_bytes / 2
             && load_catch_up (&p->load, &con->cursor, left, &msg))
        {
          conn_send (con, &msg, false);
          uint32_t told = con->cursor.names - names;
          left -= told < left ? told : left;
          names = con->cursor.names;
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
  /* What need not go now shares a segment with the heartbeat.  */
  bool beat = now_us >= p->heartbeat_at_us;
  while (load_next (&p->load, now_us, links, beat, &msg))
    {
      DL_FOREACH (p->conns, con)
        {
          /* A peer that misses a delta gets all values when its queue has room
             again.  */
          if (gets_deltas (p, con) && conn_send (con, &msg, true) == ERR_FULL)
            {
              con->cursor.values = 0;
              con->cursor.health_sent = false;
            }
        }
    }
}

static void
send_heartbeats (struct priv *p, int64_t now_us)
{
  if (now_us < p->heartbeat_at_us)
    return;
  p->heartbeat_at_us += p->set.heartbeat_us;
  if (p->heartbeat_at_us <= now_us)
    p->heartbeat_at_us = now_us + p->set.heartbeat_us;
  struct conn *con;
  DL_FOREACH (p->conns, con)
    {
      if (con->state == CONN_UP)
        link_send_heartbeat (p, con);
    }
}

static void
tick (struct priv *p)
{
  struct conn *con;
  int64_t now_us = clock_now_us (p->clk);
  /* After a pause what the peers sent meanwhile is still unread, so their
     silence says nothing.  */
  bool paused = now_us - p->ticked_us >= p->set.member.suspect_us / 2;
  if (paused)
    members_shift (&p->members, now_us - p->ticked_us);
  p->ticked_us = now_us;

  tick_conns (p, now_us, paused);
  tick_members (p, now_us);
  link_reap (p);
  dial_due (p, now_us);
  send_catch_up (p);
  send_deltas (p, now_us);
  send_heartbeats (p, now_us);
  /* One segment a link carries all of it.  */
  DL_FOREACH (p->conns, con)
    conn_flush (con);
  for (uint32_t n = 0; n < p->set.member.max_members; n++)
    if (p->peers[n].view.priv)
      load_view_tick (&p->peers[n].view, now_us);
}

void
link_on_timer (struct tevent_context *ev, struct tevent_timer *timer,
               struct timeval current, void *arg)
{
  struct priv *p = arg;
  tick (p);
  p->timer = tevent_add_timer (
      ev, p, tevent_timeval_current_ofs (0, p->set.load.min_interval_us),
      link_on_timer, p);
}
