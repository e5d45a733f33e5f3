#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* The other entry processes that this one knows, and a failure detector based
   on their heartbeats.  Does no I/O and reads no clock: callers pass the time
   in monotonic microseconds.  Used by struct peers on the control thread.  */

#define MEMBER_NAME_SIZE 65 /* bytes, including the terminating NUL */

enum member_state
{
  MEMBER_ALIVE,
  MEMBER_SUSPECT, /* several heartbeats missed */
  MEMBER_DEAD,
};

/* Index into the member table and the generation of that slot.  A handle of a
   member that was removed or replaced is stale: its generation differs.  */
struct member_handle
{
  uint32_t index;
  uint32_t generation;
};

struct member_info
{
  struct member_handle handle;
  char name[MEMBER_NAME_SIZE];
  char data_centre[MEMBER_NAME_SIZE];
  uint64_t incarnation; /* differs between starts of the process; mostly it
                           grows */
  enum member_state state;
  bool ready;
  uint64_t folded_offset;    /* next config record that it will apply */
  int64_t last_heartbeat_us; /* or last hello */
};

struct member_settings
{
  uint32_t max_members;
  /* Times without a heartbeat until a member is suspect, is dead and is
     removed.  */
  int64_t suspect_after_us;
  int64_t dead_after_us;
  int64_t remove_after_us;
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

/* Adds a process that identified itself, or marks it alive.  A newer
   incarnation replaces the older one under a new handle.  When the table is
   full, the longest dead member is removed.  Returns 0 and the handle,
   ERR_EXPIRED for an incarnation lower than that of a member which is not
   dead, ERR_INVALID for an empty or too long name, or ERR_FULL when no member
   is dead.  */
int members_add (struct members *mbs, const char *name,
                 const char *data_centre, uint64_t incarnation, int64_t now_us,
                 struct member_handle *out);

/* Records a heartbeat, which also makes a suspect or dead member alive.
   Returns 0, or ERR_NOT_FOUND for a stale handle.  */
int members_heartbeat (struct members *mbs, struct member_handle mbr,
                       bool ready, uint64_t folded_offset, int64_t now_us);

/* Returns true and the next member that is new or whose state changed; false
   when all changes have been reported.  Also removes members that have been
   silent for remove_after_us.  */
bool members_next_change (struct members *mbs, int64_t now_us,
                          struct member_info *out);

/* Moves the times of the last heartbeats forward by GAP_US.  Call after this
   process was paused for GAP_US: the heartbeats that arrived in that time are
   still unread, and no member may be taken for dead because of it.  */
void members_shift_times (struct members *mbs, int64_t gap_us);

/* Returns NULL for a stale handle.  */
const struct member_info *members_get (const struct members *mbs,
                                       struct member_handle mbr);

/* Returns 0 or ERR_NOT_FOUND.  */
int members_find (const struct members *mbs, const char *name,
                  struct member_handle *out);

/* Copies at most MAX members.  Returns the number copied.  */
size_t members_list (const struct members *mbs, struct member_info *out,
                     size_t max);

const char *member_state_name (enum member_state state);
