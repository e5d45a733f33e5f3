#include "peer/peers_priv.h"

#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <tevent.h>
#include <unistd.h>
#include <utlist.h>

#include "base/clock.h"
#include "base/counter.h"
#include "base/err.h"
#include "base/log.h"

#define ACCEPTS_PER_EVENT_MAX 32
/* A link that was up for at least this long resets the dial back-off.  */
#define LINK_STABLE_US 5000000
/* Delay before an address of this process itself is dialed again.  */
#define SELF_REDIAL_US 60000000
#define REJECTED_LOG_INTERVAL_US 1000000

void
peers_settings_init (struct peers_settings *set)
{
  *set = (struct peers_settings){
    .heartbeat_interval_us = 500000,
    .backoff_min_us = 100000,
    .backoff_max_us = 5000000,
    .handshake_timeout_us = 2000000,
    .stall_timeout_us = 5000000,
    .max_pending = 16,
    .queue_max_bytes = 16384,
    .catch_up_targets_per_tick = 64,
    .member = member_settings_default,
    .load = load_publisher_settings_default,
    .view = load_view_settings_default,
  };
}

static void
on_view_load (void *arg, const char *host, uint32_t in_flight)
{
  struct peer *per = arg;
  per->priv->evs->on_load (per->priv->arg, per->member.index, host, in_flight);
}

static void
on_view_health (void *arg, const char *host, bool ejected)
{
  struct peer *per = arg;
  per->priv->evs->on_health (per->priv->arg, per->member.index, host, ejected);
}

static const struct load_view_events view_events = {
  .load = on_view_load,
  .health = on_view_health,
};

static void
on_hello_received (void *arg, struct conn *con)
{
  peers_send_heartbeat (arg, con);
}

/* Decides which of two links to one peer is kept.  Both ends have to choose
   the same one: of two opposite directions, the link dialed by the process
   with the smaller name.  Of two links in the same direction the newer one is
   kept, because its dialer dials again only after it has lost the older one.
 */
static bool
prefer_new (const struct priv *p, const struct conn *con,
            const struct conn *old)
{
  if (con->dialed == old->dialed)
    return true;
  return con->dialed == (strcmp (p->set.name, con->name) < 0);
}

static int
peer_attach (struct priv *p, struct conn *con)
{
  struct peer *per = &p->peers[con->member.index];
  if (per->view.priv && per->member.generation != con->member.generation)
    {
      load_view_fini (&per->view);
      if (per->con)
        conn_close (per->con, ERR_EXPIRED);
    }
  per->member = con->member;
  if (!per->view.priv)
    {
      int err
          = load_view_init (&per->view, p, &p->set.view, &view_events, per);
      if (err)
        return err;
    }
  if (per->con && !prefer_new (p, con, per->con))
    return ERR_EXISTS;
  struct conn *old = per->con;
  per->con = con;
  if (old)
    conn_close (old, ERR_EXISTS);
  load_view_new_link (&per->view);
  return 0;
}

static void
on_up (void *arg, struct conn *con)
{
  struct priv *p = arg;
  if (con->address_index != ADDRESS_NONE)
    address_list_set_name (
        &p->addresses, p->addresses.items[con->address_index].text, con->name);
  address_list_set_name (&p->addresses, con->address, con->name);

  int err
      = members_add (&p->members, con->name, con->data_centre,
                     con->incarnation, clock_now_us (p->clk), &con->member);
  if (!err)
    err = peer_attach (p, con);
  if (err)
    {
      conn_close (con, err);
      return;
    }
  log_event (p->lg, EV_PEER_UP, LOG_S ("peer", con->name),
             LOG_S ("remote", con->remote), LOG_I ("dialed", con->dialed),
             LOG_I ("incarnation", con->incarnation));
}

static int
on_frame (void *arg, struct conn *con, const PeerFrame *msg)
{
  struct priv *p = arg;
  struct peer *per = &p->peers[con->member.index];
  if (per->con != con)
    return ERR_EXISTS;
  int64_t now_us = clock_now_us (p->clk);
  load_view_frame_received (&per->view, now_us);
  switch (msg->body_case)
    {
    case PEER_FRAME__BODY_HEARTBEAT:
      return members_heartbeat (&p->members, con->member,
                                msg->heartbeat->ready,
                                msg->heartbeat->folded_offset, now_us);
    case PEER_FRAME__BODY_NAMES:
      return load_view_names (&per->view, msg->names);
    case PEER_FRAME__BODY_LOAD:
      return load_view_load (&per->view, msg->sequence, msg->load);
    case PEER_FRAME__BODY_HEALTH:
      return load_view_health (&per->view, msg->sequence, msg->health);
    case PEER_FRAME__BODY_LOG_TAIL:
    case PEER_FRAME__BODY_PROBE:
      return 0;
    default:
      return ERR_PROTOCOL;
    }
}

/* Counts a rejected connection and logs at most one line per interval, so that
   many bad connections do not flood the log.  */
static void
log_rejected (struct priv *p, const struct conn *con, int err)
{
  counter_add (p->ctr, CTR_PEER_REJECTED, 1);
  int64_t now_us = clock_now_us (p->clk);
  p->rejected++;
  if (now_us - p->rejected_logged_us < REJECTED_LOG_INTERVAL_US)
    return;
  log_event (p->lg, EV_PEER_REJECTED, LOG_S ("remote", con->remote),
             LOG_S ("error", err_name (err)),
             LOG_I ("not_logged", p->rejected - 1));
  p->rejected = 0;
  p->rejected_logged_us = now_us;
}

static void
release_dialed_address (struct priv *p, const struct conn *con, int err)
{
  struct address *adr = &p->addresses.items[con->address_index];
  int64_t now_us = clock_now_us (p->clk);
  adr->con = NULL;
  if (con->up_us > 0 && now_us - con->up_us >= LINK_STABLE_US)
    adr->failures = 0;
  address_list_schedule_redial (&p->addresses, con->address_index, now_us);
  if (err == ERR_EXISTS && strcmp (con->name, p->set.name) == 0)
    adr->dial_at_us = now_us + SELF_REDIAL_US;
}

static void
on_closed (void *arg, struct conn *con, int err)
{
  struct priv *p = arg;
  if (con->address_index != ADDRESS_NONE)
    release_dialed_address (p, con, err);
  if (con->up_us == 0)
    {
      if (!con->dialed)
        log_rejected (p, con, err);
      return;
    }
  struct peer *per = &p->peers[con->member.index];
  if (per->con == con)
    per->con = NULL;
  counter_add (p->ctr, CTR_PEER_LINKS_LOST, 1);
  log_event (p->lg, EV_PEER_DOWN, LOG_S ("peer", con->name),
             LOG_S ("remote", con->remote), LOG_S ("error", err_name (err)));
}

static const struct conn_events conn_events = {
  .hello_received = on_hello_received,
  .up = on_up,
  .frame = on_frame,
  .closed = on_closed,
};

/* Closes the oldest unverified accepted connection when there are more than
   max_pending.  Under a flood of connections a real peer still gets through,
   as it is verified after one round trip; refusing new connections instead
   would lock it out.  */
static void
limit_pending (struct priv *p)
{
  struct conn *oldest = NULL;
  uint32_t count = 0;
  struct conn *con;
  DL_FOREACH (p->conns, con)
    {
      if (con->dialed || con->state >= CONN_UP)
        continue;
      count++;
      if (!oldest)
        oldest = con;
    }
  if (count > p->set.max_pending)
    conn_close (oldest, ERR_FULL);
}

static void
on_accept (struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags,
           void *arg)
{
  struct priv *p = arg;
  for (int n = 0; n < ACCEPTS_PER_EVENT_MAX; n++)
    {
      struct conn *con;
      int fd
          = accept4 (p->listen_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (fd < 0)
        return;
      if (conn_accept (&p->shr, p, fd, &con) != 0)
        continue;
      DL_APPEND (p->conns, con);
      limit_pending (p);
    }
}

static bool
settings_valid (const struct peers_settings *set)
{
  return set->name && *set->name != '\0'
         && strlen (set->name) < MEMBER_NAME_MAX && set->data_centre
         && strlen (set->data_centre) < MEMBER_NAME_MAX
         && set->heartbeat_interval_us > 0 && set->backoff_min_us > 0
         && set->backoff_max_us >= set->backoff_min_us
         && set->handshake_timeout_us > 0 && set->stall_timeout_us > 0
         && set->max_pending > 0 && set->queue_max_bytes >= 4096
         && set->catch_up_targets_per_tick > 0;
}

static int
init_parts (struct priv *p)
{
  int err = frame_key_init (&p->shr.key, p->set.secret, p->set.secret_len);
  if (!err)
    err = members_init (&p->members, p, &p->set.member);
  if (!err)
    err = load_publisher_init (&p->load, p, &p->set.load);
  if (err)
    return err;
  p->peers = talloc_zero_array (p, struct peer, p->set.member.max_members);
  p->timer = tevent_add_timer (
      p->ev, p, tevent_timeval_current_ofs (0, p->set.load.min_interval_us),
      peers_on_timer, p);
  if (!p->peers || !p->timer)
    return ERR_NOMEM;
  for (uint32_t n = 0; n < p->set.member.max_members; n++)
    p->peers[n].priv = p;
  return 0;
}

int
peers_init (struct peers *prs, void *parent, const struct peers_settings *set,
            const struct peers_events *evs, void *arg,
            struct tevent_context *ev, const struct clock *clk,
            struct logger *lg, struct counters *ctr)
{
  prs->priv = NULL;
  if (!settings_valid (set))
    return ERR_INVALID;
  struct priv *p = talloc_zero (parent, struct priv);
  if (!p)
    return ERR_NOMEM;
  prs->priv = p;
  p->set = *set;
  p->set.name = talloc_strdup (p, set->name);
  p->set.data_centre = talloc_strdup (p, set->data_centre);
  p->evs = evs;
  p->arg = arg;
  p->ev = ev;
  p->clk = clk;
  p->lg = lg;
  p->ctr = ctr;
  p->listen_fd = -1;
  p->last_tick_us = clock_now_us (p->clk);
  p->next_heartbeat_us = p->last_tick_us;
  address_list_init (&p->addresses, set->backoff_min_us, set->backoff_max_us,
                     set->seed);
  p->shr = (struct conn_shared){
    .ev = ev,
    .clk = clk,
    .ctr = ctr,
    .evs = &conn_events,
    .arg = p,
    .name = p->set.name,
    .data_centre = p->set.data_centre,
    .address = p->own_address,
    .incarnation = set->incarnation,
    .queue_max_bytes = set->queue_max_bytes,
    .handshake_timeout_us = set->handshake_timeout_us,
    .stall_timeout_us = set->stall_timeout_us,
  };
  int err = !p->set.name || !p->set.data_centre ? ERR_NOMEM : init_parts (p);
  p->set.secret = NULL;
  if (err)
    peers_fini (prs);
  return err;
}

void
peers_fini (struct peers *prs)
{
  struct priv *p = prs->priv;
  if (!p)
    return;
  struct conn *con;
  DL_FOREACH (p->conns, con)
    conn_close (con, ERR_CANCELLED);
  peers_free_closed (p);
  for (uint32_t n = 0; p->peers && n < p->set.member.max_members; n++)
    load_view_fini (&p->peers[n].view);
  TALLOC_FREE (p->listen_fde);
  if (p->listen_fd >= 0)
    close (p->listen_fd);
  load_publisher_fini (&p->load);
  members_fini (&p->members);
  TALLOC_FREE (prs->priv);
}

int
peers_listen (struct peers *prs, const char *host, uint16_t port,
              uint16_t *bound)
{
  struct priv *p = prs->priv;
  if (p->listen_fd >= 0)
    return ERR_EXISTS;
  int err = conn_listen (host, port, &p->listen_fd, bound);
  if (err)
    return err;
  p->listen_fde
      = tevent_add_fd (p->ev, p, p->listen_fd, TEVENT_FD_READ, on_accept, p);
  if (!p->listen_fde)
    {
      close (p->listen_fd);
      p->listen_fd = -1;
      return ERR_NOMEM;
    }
  snprintf (p->own_address, sizeof p->own_address,
            strchr (host, ':') ? "[%.48s]:%u" : "%.48s:%u", host, *bound);
  return 0;
}

int
peers_set_addresses (struct peers *prs, const char *list)
{
  struct priv *p = prs->priv;
  int err = address_list_set (&p->addresses, list, clock_now_us (p->clk));
  if (err)
    return err;
  struct conn *con;
  DL_FOREACH (p->conns, con)
    {
      con->address_index = ADDRESS_NONE;
      if (con->dialed && con->state < CONN_UP)
        conn_close (con, ERR_CANCELLED);
    }
  return 0;
}

int
peers_publish_load (struct peers *prs, const char *host, uint32_t in_flight,
                    uint32_t slots)
{
  return load_publisher_set (&prs->priv->load, host, in_flight, slots);
}

int
peers_publish_health (struct peers *prs, const char *host, bool ejected)
{
  return load_publisher_set_health (&prs->priv->load, host, ejected);
}

void
peers_set_ready (struct peers *prs, bool ready)
{
  prs->priv->ready = ready;
}

void
peers_set_folded_offset (struct peers *prs, uint64_t offset)
{
  prs->priv->folded_offset = offset;
}

size_t
peers_list_members (const struct peers *prs, struct member_info *out,
                    size_t max)
{
  return members_list (&prs->priv->members, out, max);
}

size_t
peers_count_links (const struct peers *prs)
{
  const struct priv *p = prs->priv;
  size_t count = 0;
  for (uint32_t n = 0; n < p->set.member.max_members; n++)
    count += p->peers[n].con != NULL;
  return count;
}
