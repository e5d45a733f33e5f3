#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "proto/peer.pb-c.h"

/* Decodes the load and health of targets that one peer sends, the counterpart
   of struct load_publisher.  Does no I/O and reads no clock: callers pass the
   time in monotonic microseconds.  Used by struct peers on the control thread.

   A peer sends mostly changes, so values stay valid for as long as any frame
   arrives from it.  */

struct load_view_settings
{
  uint32_t max_targets;
  int64_t ttl_us;    /* after so long without a frame, values count as 0 */
  int64_t repeat_us; /* values above 0 are reported again at this interval,
                        for receivers that expire them on their own */
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

/* Reports load 0 for targets last reported with load, and not ejected for
   targets last reported as ejected.  */
void load_view_fini (struct load_view *lv);

/* Apply a message and report the changes.  SEQUENCE is the message's sequence
   number on its link.  A value is ignored when a message with the same or a
   higher number has already set that of its target, and a delta is ignored
   when its epoch is not that of the names.  Return 0, ERR_NOMEM, or
   ERR_PROTOCOL for a message that no correct peer sends: lists of unequal
   length, ids or counts out of range, an invalid name, a changed or skipped
   name, or names of an older epoch.  */
int load_view_names (struct load_view *lv, const PeerNames *msg);
int load_view_load (struct load_view *lv, uint64_t sequence,
                    const LoadDelta *msg);
int load_view_health (struct load_view *lv, uint64_t sequence,
                      const HealthDelta *msg);

/* Call for a new link to the same incarnation: its sequence numbers start
   again.  */
void load_view_new_link (struct load_view *lv);

/* Call for each frame from the peer.  If the values have expired, reports them
   again.  */
void load_view_frame_received (struct load_view *lv, int64_t now_us);

/* Expires or repeats values.  To be called every few 100 ms.  */
void load_view_tick (struct load_view *lv, int64_t now_us);
