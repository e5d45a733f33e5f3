#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "proto/peer.pb-c.h"

/* Encodes this process's in-flight requests on targets, and the health of the
   targets, into messages for its peers.  Does no I/O and reads no clock:
   callers pass the time in monotonic microseconds.  Used by struct peers on
   the control thread.

   Messages refer to targets by id: dense numbers in the order of first
   publication.  PeerNames messages carry the dictionary of ids and host names;
   an epoch number tells successive dictionaries apart.  */

#define LOAD_NAME_MAX 64     /* bytes of a host name without the NUL */
#define LOAD_COUNT_MAX 65535 /* in-flight requests on one target */
/* Encoding of LoadDelta.codes: a code is the gap times LOAD_CODE_BASE plus the
   count.  For a count of LOAD_CODE_MORE or more, the code holds LOAD_CODE_MORE
   and the number after it is the count less LOAD_CODE_MORE.  */
#define LOAD_CODE_BASE 4
#define LOAD_CODE_MORE 3

struct load_publisher_settings
{
  uint32_t max_targets;
  uint32_t max_entries;        /* of one message */
  int64_t min_interval_us;     /* between deltas */
  int64_t refresh_us;          /* each target is sent again within this time */
  uint32_t budget_bytes_per_s; /* of all deltas on all links; 0: no limit */
};

extern const struct load_publisher_settings load_publisher_settings_default;

struct load_publisher
{
  struct priv *priv;
};

/* Returns 0, ERR_INVALID for settings out of range or ERR_NOMEM.  */
int load_publisher_init (struct load_publisher *pub, void *parent,
                         const struct load_publisher_settings *set);
void load_publisher_fini (struct load_publisher *pub);

/* Sets the load of a target.  When the budget is short, changes that are
   larger relative to SLOTS are sent first.  Returns 0; ERR_INVALID for an
   empty or too long host name, no slots or a count over LOAD_COUNT_MAX;
   ERR_FULL when max_targets targets have load or are ejected; or ERR_NOMEM.
 */
int load_publisher_set (struct load_publisher *pub, const char *host,
                        uint32_t in_flight, uint32_t slots);
int load_publisher_set_health (struct load_publisher *pub, const char *host,
                               bool ejected);

/* Returns true and the next message due for all LINKS peers, as the body of
   FRAME, which points into memory of PUB until the next call.  The caller
   repeats the call until it returns false.  When the budget does not cover all
   changed targets, the largest changes relative to the slots are sent first
   and the others later.  Such a partial message, or a refresh under a budget,
   is returned only with PARTIAL, which the caller sets when it writes to the
   links anyway.  */
bool load_publisher_next (struct load_publisher *pub, int64_t now_us,
                          uint32_t links, bool partial, PeerFrame *frame);

/* What was sent to one peer for it to catch up.  All zero for a new link;
   values_sent and health_sent are reset after a message to the peer was
   dropped.  */
struct load_cursor
{
  uint32_t epoch;
  uint32_t names_sent;  /* ids below have been sent with their names */
  uint32_t values_sent; /* ids below have been sent with their values */
  bool health_sent;
};

/* Returns true and the next message that one peer needs before it can apply
   deltas: in turn the names of at most MAX more targets and the values last
   sent for them, at the end health.  Returns false when the peer is up to
   date.  */
bool load_publisher_catch_up (struct load_publisher *pub,
                              struct load_cursor *cur, uint32_t max,
                              PeerFrame *frame);
