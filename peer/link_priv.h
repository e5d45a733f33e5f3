#pragma once

#include <sys/time.h>

#include "peer/address.h"
#include "peer/conn.h"
#include "peer/link.h"

/* Shared by link.c (calls and events of connections) and link_tick.c (what
   happens at intervals).  */

struct tevent_timer;

struct peer
{
  struct priv *priv;
  struct member_handle member;
  struct conn *con;
  struct load_view view; /* priv NULL: none */
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
  struct load load;

  struct address_list addresses;
  char own_address[64];
  int listen_fd;
  struct tevent_fd *listen_fde;

  struct tevent_timer *timer;
  int64_t ticked_us;
  int64_t heartbeat_at_us;
  int64_t rejected_logged_us;
  uint64_t rejected;
  bool ready;
  uint64_t folded_offset;
};

/* Frees closed connections; not from inside their events.  */
void link_reap (struct priv *p);

void link_send_heartbeat (struct priv *p, struct conn *con);

/* Handler of the timer, which it sets again.  */
void link_on_timer (struct tevent_context *ev, struct tevent_timer *timer,
                    struct timeval current, void *arg);
