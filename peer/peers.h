#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "peer/load_publisher.h"
#include "peer/load_view.h"
#include "peer/member.h"

/* Links to the other entry processes, in a tevent context on the control
   thread; docs/design/peers.md describes the protocol.  Each pair of processes
   keeps one link, whichever of the two dialed it.  */

struct clock;
struct counters;
struct logger;
struct tevent_context;

struct peers_settings
{
  const char *name;        /* of this process, 1 to 64 visible characters */
  const char *data_centre; /* deltas go only to peers of the same one */
  uint64_t incarnation;    /* grows with each start, such as wall-clock ms */
  const uint8_t *secret;   /* shared by all peers */
  size_t secret_len;       /* at least 16 bytes */
  uint64_t seed;           /* of the dial jitter */
  int64_t heartbeat_interval_us;
  int64_t backoff_min_us; /* delay before an address is dialed again; doubles
                             with each failure, up to backoff_max_us */
  int64_t backoff_max_us;
  int64_t handshake_timeout_us; /* until a peer is verified */
  int64_t stall_timeout_us; /* for a send queue that does not become empty */
  uint32_t max_pending;     /* accepted connections not yet verified */
  size_t queue_max_bytes;   /* size of a link's send queue above which deltas
                               are dropped */
  uint32_t catch_up_targets_per_tick; /* target names sent to new links, summed
                                         over the links */
  struct member_settings member;
  struct load_publisher_settings load;
  struct load_view_settings view;
};

/* Sets the defaults.  The caller sets name, data_centre, incarnation, secret,
   secret_len and seed.  */
void peers_settings_init (struct peers_settings *set);

/* Called on the control thread from its event loop.  Of the functions
   below only peers_fini calls them directly.  PEER is the index of the
   member's handle.  */
struct peers_events
{
  /* The peer's in-flight requests on a target.  A value above 0 is repeated
     every view.repeat_us; 0 is reported when nothing was received from the
     peer for view.ttl_us.  */
  void (*on_load) (void *arg, uint32_t peer, const char *host,
                   uint32_t in_flight);
  /* Called on a change.  False is also reported when nothing was received from
     the peer for view.ttl_us.  */
  void (*on_health) (void *arg, uint32_t peer, const char *host, bool ejected);
  void (*on_member) (void *arg, const struct member_info *mbr);
};

struct peers
{
  struct priv *priv;
};

/* Copies SET with its strings; the secret is not used after the call.  Returns
   0, ERR_INVALID (settings), ERR_NOMEM or ERR_SYSTEM.  LG may be NULL.  */
int peers_init (struct peers *prs, void *parent,
                const struct peers_settings *set,
                const struct peers_events *evs, void *arg,
                struct tevent_context *ev, const struct clock *clk,
                struct logger *lg, struct counters *ctr);
void peers_fini (struct peers *prs);

/* Listens on the IP address HOST; with PORT 0 the system chooses the port.
   BOUND receives the port.  Returns 0, ERR_INVALID (address), ERR_EXISTS
   (already listening), ERR_NOMEM or ERR_SYSTEM.  */
int peers_listen (struct peers *prs, const char *host, uint16_t port,
                  uint16_t *bound);

/* Replaces the addresses to dial, a comma-separated list of IP:PORT that may
   contain the address of this process.  Links that are up stay.  Returns 0,
   ERR_INVALID or ERR_FULL (more than 64); changes nothing on an error.  */
int peers_set_addresses (struct peers *prs, const char *list);

/* Publishes this process's in-flight requests on a target with SLOTS slots.
   Returns the results of load_publisher_set.  */
int peers_publish_load (struct peers *prs, const char *host,
                        uint32_t in_flight, uint32_t slots);
int peers_publish_health (struct peers *prs, const char *host, bool ejected);

/* Set what the next heartbeats say: whether this process is ready for
   requests, and the offset of the next record of the config stream that it
   will apply.  */
void peers_set_ready (struct peers *prs, bool ready);
void peers_set_folded_offset (struct peers *prs, uint64_t offset);

/* Copies at most MAX members, this process not among them.  Returns the number
   copied.  */
size_t peers_list_members (const struct peers *prs, struct member_info *out,
                           size_t max);

/* Returns the number of links that are up.  */
size_t peers_count_links (const struct peers *prs);
