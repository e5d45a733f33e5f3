#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "entry/mailbox.h"

/* The control thread of an entry process: reads the platform's host list and
   log, settles claims, exchanges load and health with peers, plans maintenance
   waves, answers operators and sends views to the traffic thread.  All
   functions must be called on the thread that runs the event loop.  */

struct clock;
struct counters;
struct host_api;
struct log_store;
struct logger;
struct tevent_context;
struct traffic;
struct control;

struct control_settings
{
  const char *name;
  const char *data_centre;
  uint64_t incarnation;
  int64_t hosts_poll_ms;
  int64_t key_lifetime_ms;
  uint32_t appends_per_s;
  const char *peer_listen; /* IP:PORT; empty: no peers */
  const char *peers;       /* comma-separated IP:PORT */
  const char *peer_secret; /* shared by all peers; may be empty only if
                              peer_listen is */
  uint64_t seed;
  const char *operator_listen; /* IP:PORT; empty: no listener */
  const char *operator_token;
  uint32_t trace_count; /* request traces that the traffic thread keeps */
};

/* Returns 0, ERR_INVALID for a malformed address, ERR_NOMEM or ERR_SYSTEM.
   After an error too, the caller destroys *OUT if it was set.  STORE and
   HOST_API remain the caller's, who finishes them before control_destroy,
   because their calls in progress refer to memory of *OUT.  */
int control_create (void *parent, struct tevent_context *ev,
                    const struct control_settings *set,
                    struct log_store *store, struct host_api *host_api,
                    const struct clock *clk, struct logger *lg,
                    struct counters *ctr, struct control **out);
void control_destroy (struct control *ctl);

/* Port of the listener for peers; 0: none.  */
uint16_t control_peer_port (const struct control *ctl);

/* Port of the listener for operators; 0: none.  */
uint16_t control_operator_port (const struct control *ctl);

struct mailbox *control_mailbox (struct control *ctl);

/* Sends views and claim verdicts to TRF from now on.  NULL stops sending, for
   use after the traffic thread was joined.  */
void control_attach (struct control *ctl, struct traffic *trf);

/* Stops posting to the traffic thread.  Called before it is freed.  */
void control_detach (struct control *ctl);

/* Asks the traffic thread to drain, or to stop at once.  */
void control_drain (struct control *ctl);
void control_stop_now (struct control *ctl);

/* Whether the traffic thread has ended its loop.  */
bool control_traffic_ended (const struct control *ctl);

/* Whether every result and release of a claim was recorded in the log or
   abandoned.  */
bool control_claims_idle (const struct control *ctl);
