#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "proto/peer.pb-c.h"

/* What this process tells its peers about targets: names, in-flight requests
   and health.  Pure: the time comes as an argument in monotonic microseconds,
   nothing here does I/O.  Targets have dense ids in the order in which they
   were first published; an epoch numbers the dictionary of ids.  */

#define LOAD_NAME_MAX 64 /* without the final NUL */
#define LOAD_COUNT_MAX 65535
/* Of LoadDelta.codes: a code is the gap times LOAD_CODE_BASE plus the count;
   LOAD_CODE_MORE stands for counts from there on.  */
#define LOAD_CODE_BASE 4
#define LOAD_CODE_MORE 3

struct load_settings
{
  uint32_t max_targets;
  uint32_t max_entries;        /* of one message */
  int64_t min_interval_us;     /* between deltas */
  int64_t refresh_us;          /* every target is repeated once in this time */
  uint32_t budget_bytes_per_s; /* of all deltas over all links; 0: none */
};

extern const struct load_settings load_settings_default;

struct load
{
  struct priv *priv;
};

/* Returns 0, ERR_INVALID for settings out of range or ERR_NOMEM.  */
int load_init (struct load *ld, void *parent, const struct load_settings *set);
void load_fini (struct load *ld);

/* SLOTS of the target weigh a change.  Returns 0, ERR_INVALID for an empty or
   too long host name, no slots or a count over LOAD_COUNT_MAX, ERR_FULL when
   max_targets targets have load or are ejected, or ERR_NOMEM.  */
int load_set (struct load *ld, const char *host, uint32_t in_flight,
              uint32_t slots);
int load_set_health (struct load *ld, const char *host, bool ejected);

/* The next message that is due for all LINKS peers, as body of FRAME, which
   points into memory of LD until the next call.  Call until it returns false.
   When the budget does not allow for all changed targets, the largest changes
   beside the slots go first and the others later; such a message, or a
   refresh, is given only with PARTIAL, for when the links are written to
   anyway.  */
bool load_next (struct load *ld, int64_t now_us, uint32_t links, bool partial,
                PeerFrame *frame);

/* How much of the dictionary one peer has got; zero for a new link or after
   a message to the peer was dropped.  */
struct load_cursor
{
  uint32_t epoch;
  uint32_t names;
  uint32_t values;
  bool health_sent;
};

/* The next message that one peer still needs in order to understand the
   deltas: names, then values as last sent, in ranges of at most MAX targets.
   Returns false when the peer is up to date.  */
bool load_catch_up (struct load *ld, struct load_cursor *cur, uint32_t max,
                    PeerFrame *frame);
