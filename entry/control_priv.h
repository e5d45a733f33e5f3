#pragma once

#include "claim/claim.h"
#include "entry/control.h"
#include "entry/messages.h"
#include "peer/peers.h"
#include "state/host_list.h"
#include "state/state.h"
#include "wave/wave_run.h"

/* State of the control thread, shared by the files control*.c.  */

struct operator_listener;
struct tevent_timer;

struct control
{
  struct control_settings set;
  struct tevent_context *ev;
  struct log_store *store;
  struct host_api *host_api;
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
  int64_t hosts_loaded_us; /* when the host list was last read, monotonic */
  int64_t start_us;
  uint64_t hosts_digest; /* XXH3 of the JSON text of the host list */
  struct view *view;
  struct tevent_timer *hosts_timer;
  int64_t last_snapshot_us; /* when the last snapshot was started, or when a
                               poll last found no records after one */
  int64_t next_snapshot_us; /* of this process; 0: none is due */
  bool snapshot_in_progress;
  unsigned short jitter_state[3]; /* of erand48, for the snapshot's delay */
  bool hosts_stale;
  bool table_loaded; /* the log was folded to its end at least once */
  bool draining;
  uint16_t peer_port;
  uint32_t entry_count; /* last sent to the traffic thread; 0: never */
  bool traffic_ended;
};

/* control_claims.c: claims on behalf of the traffic thread.  */
void control_claim_key (struct control *ctl, const struct message_claim *msg);
void control_release_claim (struct control *ctl,
                            const struct message_claim_release *msg);
void control_record_result (struct control *ctl,
                            const struct message_claim_result *msg);

/* control_peers.c: exchange of load, health and membership with peers.  */
int control_peers_start (struct control *ctl);

/* Sends the traffic thread the number of entry processes that share the
   targets, if it has changed.  Also called by a timer, because a change of a
   peer's readiness raises no event.  */
void control_peers_update_entry_count (struct control *ctl);
void control_peers_publish_load (struct control *ctl,
                                 const struct message_own_load *msg);
void control_peers_publish_health (struct control *ctl,
                                   const struct message_own_health *msg);

/* control_waves.c: connection to the planner of maintenance waves.  */
int control_waves_start (struct control *ctl);

/* Passes the planner the host list, the table and the assignments if one of
   them has CHANGED, and otherwise only notes that the host list was read
   again.  */
void control_waves_update (struct control *ctl, bool changed);

/* Returns the pool that the log assigns to HOST, or NULL.  ARG is a struct
   fold.  */
const char *control_assigned_pool (const void *arg, const char *host);

/* control_operator.c: answers to operators' queries.  */
int control_operator_start (struct control *ctl);
void control_operator_answer_status (struct control *ctl,
                                     struct message_status *msg);
void control_operator_answer_traces (struct control *ctl,
                                     const struct message_traces *msg);

/* Posts MSG to the traffic thread, or frees it if that is not possible.  */
void control_post (struct control *ctl, struct message *msg);
