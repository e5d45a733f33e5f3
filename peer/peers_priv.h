#pragma once

#include <sys/time.h>

#include "peer/address.h"
#include "peer/conn.h"
#include "peer/peers.h"

/* State of struct peers, shared by peers.c (public functions and events of
   connections) and peers_tick.c (periodic work).  */

struct tevent_timer;

struct peer
{
  struct priv *priv;
  struct member_handle member;
  struct conn *con;      /* the link, or NULL */
  struct load_view view; /* priv is NULL before the first link */
};

struct priv
{
  struct peers_settings set;
  const struct peers_events *evs;
  void *arg;
  struct tevent_context *ev;
  const struct clock *clk;
  struct logger *lg;
  struct counters *ctr;

  struct conn_shared shr;
  struct conn *conns;
  struct members members;
  struct peer *peers; /* by index of the member's handle */
  struct load_publisher load;

  struct address_list addresses;
  char own_address[64];
  int listen_fd;
  struct tevent_fd *listen_fde;

  struct tevent_timer *timer;
  int64_t last_tick_us;
  int64_t next_heartbeat_us;
  int64_t rejected_logged_us;
  uint64_t rejected; /* since the last log line about rejected connections */
  bool ready;
  uint64_t folded_offset;
};

/* Frees closed connections.  Must not be called from their events.  */
void peers_free_closed (struct priv *p);

void peers_send_heartbeat (struct priv *p, struct conn *con);

/* Does the periodic work and restarts the timer.  */
void peers_on_timer (struct tevent_context *ev, struct tevent_timer *timer,
                     struct timeval current, void *arg);
