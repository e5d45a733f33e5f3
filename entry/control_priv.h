#pragma once

#include "claim/claim.h"
#include "entry/control.h"
#include "entry/mails.h"
#include "peer/link.h"
#include "state/hosts.h"
#include "state/state.h"
#include "wave/wave_run.h"

struct operator_listener;
struct tevent_timer;

struct control
{
  struct control_settings set;
  struct tevent_context *ev;
  struct log_store *store;
  struct host_store *host_store;
  const struct clock *clk;
  struct logger *lg;
  struct counters *ctr;
  struct mailbox inbox;
  struct claims claims;
  struct state state;
  struct peers peers;
  struct wave_run waves;
  struct traffic *traffic;
  struct operator_listener *opl;
  struct host_list *hosts;
  int64_t hosts_us; /* monotonic, of the last read that succeeded */
  int64_t start_us;
  uint64_t hosts_digest; /* XXH3 of the text of HOSTS */
  struct view *view;
  struct tevent_timer *hosts_timer;
  int64_t snapshot_us;    /* of the last snapshot, or of the first record
                             after it */
  int64_t snapshot_at_us; /* when this process writes the next; 0: not due */
  bool snapshot_open;
  unsigned short random[3];
  bool hosts_stale;
  bool table_known; /* folded to the end of the log once */
  bool draining;
  uint16_t peer_port;
  uint32_t entries; /* last told to the traffic thread; 0: never */
  bool traffic_idle;
};

/* control_claims.c: claims on behalf of the traffic thread.  */
void control_claim (struct control *ctl, const struct mail_claim *mail);
void control_release (struct control *ctl, const struct mail_release *mail);
void control_done (struct control *ctl, const struct mail_done *mail);

/* control_peers.c: what the peers say and hear.  */
int control_peers_start (struct control *ctl);

/* Tells the traffic thread how many entry processes share the targets, when
   that changed; a peer's readiness changes without an event of its own.  */
void control_peers_count (struct control *ctl);
void control_peers_load (struct control *ctl,
                         const struct mail_own_load *mail);
void control_peers_health (struct control *ctl,
                           const struct mail_own_health *mail);

/* control_waves.c: the planner of maintenance waves.  */
int control_waves_start (struct control *ctl);

/* CHANGED: the host list, the table or the assignments.  */
void control_waves_view (struct control *ctl, bool changed);

/* The pool that the log assigns to HOST, or NULL.  */
const char *control_assignment (const void *fold, const char *host);

/* control_operator.c: questions of operators.  */
int control_operator_start (struct control *ctl);
void control_operator_status (struct control *ctl, struct mail_status *mail);
void control_operator_story (struct control *ctl,
                             const struct mail_story *mail);

/* Posts MAIL to the traffic thread, or frees it.  */
void control_post (struct control *ctl, struct mail *mail);
