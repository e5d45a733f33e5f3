#pragma once

#include "claim/claim.h"
#include "entry/control.h"
#include "entry/mails.h"
#include "peer/link.h"
#include "state/hosts.h"
#include "state/state.h"

struct tevent_timer;

struct control
{
  struct control_settings set;
  struct tevent_context *ev;
  struct log_store *store;
  const struct clock *clk;
  struct logger *lg;
  struct counters *ctr;
  struct mailbox inbox;
  struct claims claims;
  struct state state;
  struct peers peers;
  struct traffic *traffic;
  struct host_list *hosts;
  uint64_t hosts_digest; /* XXH3 of the text of HOSTS */
  struct view *view;
  struct tevent_timer *hosts_timer;
  bool hosts_stale;
  bool table_known; /* folded to the end of the log once */
  uint16_t peer_port;
  bool traffic_idle;
};

/* control_claims.c: claims on behalf of the traffic thread.  */
void control_claim (struct control *ctl, const struct mail_claim *mail);
void control_release (struct control *ctl, const struct mail_release *mail);
void control_done (struct control *ctl, const struct mail_done *mail);

/* control_peers.c: what the peers say and hear.  */
int control_peers_start (struct control *ctl);
void control_peers_load (struct control *ctl,
                         const struct mail_own_load *mail);
void control_peers_health (struct control *ctl,
                           const struct mail_own_health *mail);

/* Posts MAIL to the traffic thread, or frees it.  */
void control_post (struct control *ctl, struct mail *mail);
