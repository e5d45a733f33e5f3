#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "proto/peer.pb-c.h"

/* What one peer says about targets.  Pure: the time comes as an argument in
   monotonic microseconds, nothing here does I/O.  Values hold as long as the
   peer is heard, because it sends changes only.  */

struct load_view_settings
{
  uint32_t max_targets;
  int64_t ttl_us;    /* values of a peer not heard for so long count as 0 */
  int64_t repeat_us; /* values above 0 are given again, for owners that age
                        them on their own */
};

extern const struct load_view_settings load_view_settings_default;

struct load_view_events
{
  void (*load) (void *arg, const char *host, uint32_t in_flight);
  void (*health) (void *arg, const char *host, bool ejected);
};

struct load_view
{
  struct priv *priv;
};

/* Returns 0, ERR_INVALID or ERR_NOMEM.  */
int load_view_init (struct load_view *lv, void *parent,
                    const struct load_view_settings *set,
                    const struct load_view_events *evs, void *arg);

/* Reports 0 and not ejected for what was reported otherwise.  */
void load_view_fini (struct load_view *lv);

/* Each takes a message and its sequence number within the link and reports
   what changed; a value with a lower number than the target's last one is
   ignored.  Returns 0, or ERR_PROTOCOL for a message that no peer sends
   (unpaired lists, ids or counts out of range, a changed name), or ERR_NOMEM.
   Deltas of another epoch than that of the names are ignored.  */
int load_view_names (struct load_view *lv, const PeerNames *msg);
int load_view_load (struct load_view *lv, uint64_t sequence,
                    const LoadDelta *msg);
int load_view_health (struct load_view *lv, uint64_t sequence,
                      const HealthDelta *msg);

/* A new link to the same incarnation: sequence numbers start again.  */
void load_view_new_link (struct load_view *lv);

/* The peer was heard.  Brings back values that had expired.  */
void load_view_heard (struct load_view *lv, int64_t now_us);

/* Expires or repeats values; call every few 100 ms.  */
void load_view_tick (struct load_view *lv, int64_t now_us);
