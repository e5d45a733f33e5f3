#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "entry/mailbox.h"

/* The control thread's part of an entry process: reads the platform's host
   list and log, settles claims, talks to peers, and gives the traffic threads
   their view.  Runs on the thread that calls tevent_loop_once.  */

struct clock;
struct counters;
struct host_store;
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
  const char *peer_secret; /* shared key; empty only without peers */
  uint64_t seed;
  const char *operator_listen; /* IP:PORT; empty: no listener */
  const char *operator_token;
  uint32_t stories; /* kept by the traffic thread */
};

/* Returns 0, ERR_INVALID for an address, ERR_NOMEM or ERR_SYSTEM; *OUT is to
   be destroyed in each case but ERR_NOMEM.  STORE and HOST_STORE stay the
   caller's, who finishes them before control_destroy.  */
int control_create (void *parent, struct tevent_context *ev,
                    const struct control_settings *set,
                    struct log_store *store, struct host_store *host_store,
                    const struct clock *clk, struct logger *lg,
                    struct counters *ctr, struct control **out);
void control_destroy (struct control *ctl);

/* Port of the listener for peers; 0: none.  */
uint16_t control_peer_port (const struct control *ctl);

/* Port of the listener for operators; 0: none.  */
uint16_t control_operator_port (const struct control *ctl);

struct mailbox *control_mailbox (struct control *ctl);

/* Gives TRF views and verdicts from now on; NULL: nobody, because the traffic
   thread was joined.  */
void control_attach (struct control *ctl, struct traffic *trf);

/* TRF is about to be freed: nothing is posted to it any more.  */
void control_detach (struct control *ctl);

/* Asks the traffic thread to drain, or to stop at once.  */
void control_drain (struct control *ctl);
void control_stop_now (struct control *ctl);

/* Whether the traffic thread has ended its loop.  */
bool control_traffic_idle (const struct control *ctl);

/* Whether every claim's result and release stands in the log or was given
   up.  */
bool control_idle (const struct control *ctl);
