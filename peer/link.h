#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "peer/load.h"
#include "peer/load_view.h"
#include "peer/member.h"

/* Links to the other entry processes, in a tevent context on the control
   thread; docs/design/peers.md describes the protocol.  One link a pair is
   kept, whoever connected.  */

struct clock;
struct counters;
struct logger;
struct tevent_context;

struct peers_settings
{
  const char *name;        /* of this process, 1 to 64 visible characters */
  const char *data_centre; /* deltas go to peers of the same one only */
  uint64_t incarnation;    /* grows with each start, such as wall-clock ms */
  const uint8_t *secret;   /* shared by all peers */
  size_t secret_len;       /* at least 16 bytes */
  uint64_t seed;           /* of the jitter */
  int64_t heartbeat_us;
  int64_t backoff_min_us;    /* between two dials of an address */
  int64_t backoff_max_us;    /* doubled up to it */
  int64_t handshake_us;      /* longest time until a peer is verified */
  int64_t stuck_us;          /* longest time that a send queue is not empty */
  uint32_t max_pending;      /* accepted connections not yet verified */
  size_t queue_bytes;        /* of a link; deltas beyond are dropped */
  uint32_t catch_up_targets; /* told a tick, over all links that need it */
  struct member_settings member;
  struct load_settings load;
  struct load_view_settings view;
};

/* Defaults; name, data_centre, incarnation, secret and seed remain to be
   set.  */
void peers_settings_init (struct peers_settings *set);

/* Run on the control thread, never from inside a call below but peers_fini.
   PEER is the index of the member's handle.  */
struct peers_events
{
  /* The peer's in-flight requests on a target.  A value above 0 is given
     again every view.repeat_us, and 0 follows when the peer was not heard for
     view.ttl_us.  */
  void (*on_load) (void *arg, uint32_t peer, const char *host,
                   uint32_t in_flight);
  /* Given when it changes; false also when the peer is no longer heard.  */
  void (*on_health) (void *arg, uint32_t peer, const char *host, bool ejected);
  void (*on_member) (void *arg, const struct member_info *mbr);
};

struct peers
{
  struct priv *priv;
};

/* Returns 0, ERR_INVALID (settings), ERR_NOMEM or ERR_SYSTEM.  LG may be
   NULL.  */
int peers_init (struct peers *prs, void *parent,
                const struct peers_settings *set,
                const struct peers_events *evs, void *arg,
                struct tevent_context *ev, const struct clock *clk,
                struct logger *lg, struct counters *ctr);
void peers_fini (struct peers *prs);

/* Listens on the IP address HOST; PORT 0 takes a free one, given back in
   BOUND.  Returns 0, ERR_INVALID (address), ERR_EXISTS (listens already),
   ERR_NOMEM or ERR_SYSTEM.  */
int peers_listen (struct peers *prs, const char *host, uint16_t port,
                  uint16_t *bound);

/* Replaces the addresses to be dialed, comma-separated IP:PORT; the own one
   may be among them.  Links that are up stay.  Returns 0, ERR_INVALID or
   ERR_FULL (more than 64), and then changes nothing.  */
int peers_set_addresses (struct peers *prs, const char *list);

/* This process's in-flight requests on a target with SLOTS slots.  Returns as
   load_set.  */
int peers_publish_load (struct peers *prs, const char *host,
                        uint32_t in_flight, uint32_t slots);
int peers_publish_health (struct peers *prs, const char *host, bool ejected);
void peers_set_ready (struct peers *prs, bool ready);
void peers_set_folded (struct peers *prs, uint64_t offset);

/* Copies at most MAX members, without this process; returns how many.  */
size_t peers_members (const struct peers *prs, struct member_info *out,
                      size_t max);

/* Links that are up.  */
size_t peers_links (const struct peers *prs);
