#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Membership of the entry processes as this one sees it.  Pure: the time
   comes as an argument, nothing here does I/O.  All times are monotonic
   microseconds.  */

#define MEMBER_NAME_MAX 65 /* with the final NUL */

enum member_state
{
  MEMBER_ALIVE,
  MEMBER_SUSPECT, /* several heartbeats missed */
  MEMBER_DEAD,
};

/* Index and generation into the member table; a handle of a member that was
   removed or replaced no longer matches.  */
struct member_handle
{
  uint32_t index;
  uint32_t generation;
};

struct member_info
{
  struct member_handle handle;
  char name[MEMBER_NAME_MAX];
  char data_centre[MEMBER_NAME_MAX];
  uint64_t incarnation; /* differs at each start of the process, and grows */
  enum member_state state;
  bool ready;
  uint64_t folded_offset;
  int64_t heard_us; /* last heartbeat */
};

struct member_settings
{
  uint32_t max_members;
  int64_t suspect_us; /* without a heartbeat */
  int64_t dead_us;
  int64_t forget_us; /* a dead member is removed */
};

extern const struct member_settings member_settings_default;

struct members
{
  struct priv *priv;
};

/* Returns 0, ERR_INVALID for settings out of order or ERR_NOMEM.  */
int members_init (struct members *mbs, void *parent,
                  const struct member_settings *set);
void members_fini (struct members *mbs);

/* A process said who it is.  A newer incarnation takes the place of an older
   one under a new handle.  Returns 0 and the handle, ERR_EXPIRED for an older
   incarnation than the known one, ERR_INVALID for an empty or too long name,
   or ERR_FULL when every slot has a member that is not dead.  */
int members_hello (struct members *mbs, const char *name,
                   const char *data_centre, uint64_t incarnation,
                   int64_t now_us, struct member_handle *out);

/* Returns 0, or ERR_NOT_FOUND for a handle that no longer matches.  A dead
   member that is heard again with its own incarnation is alive again.  */
int members_heartbeat (struct members *mbs, struct member_handle mbr,
                       bool ready, uint64_t folded_offset, int64_t now_us);

/* The next member whose state changed, with its new state in the info.
   Returns false when no further change is to be reported.  */
bool members_next_change (struct members *mbs, int64_t now_us,
                          struct member_info *out);

/* Moves all times by GAP_US.  For a process that was paused and has not yet
   read what its peers sent meanwhile.  */
void members_shift (struct members *mbs, int64_t gap_us);

/* NULL when the handle no longer matches.  */
const struct member_info *members_get (const struct members *mbs,
                                       struct member_handle mbr);

/* Returns 0 or ERR_NOT_FOUND.  */
int members_find (const struct members *mbs, const char *name,
                  struct member_handle *out);

/* Copies at most MAX members; returns how many.  */
size_t members_list (const struct members *mbs, struct member_info *out,
                     size_t max);

const char *member_state_name (enum member_state state);
