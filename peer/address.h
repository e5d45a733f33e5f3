#pragma once

#include <stddef.h>
#include <stdint.h>

#include "peer/member.h"

/* The configured addresses of peers and the time at which each is dialed
   next.  Does no I/O and reads no clock: callers pass the time in monotonic
   microseconds.  Used by struct peers on the control thread.  */

#define ADDRESS_LIST_MAX 64     /* addresses in a list */
#define ADDRESS_NONE UINT32_MAX /* index that stands for no address */

struct conn;

struct address
{
  char text[64]; /* IP:PORT as configured */
  char host[64];
  uint16_t port;
  char name[MEMBER_NAME_SIZE]; /* of the peer last connected there, or "" */
  struct conn *con;            /* open connection dialed from here, or NULL */
  uint32_t failures;           /* consecutive failed attempts */
  int64_t dial_at_us;
};

struct address_list
{
  int64_t backoff_min_us;
  int64_t backoff_max_us;
  unsigned short jitter_state[3]; /* of erand48 */
  uint32_t count;
  struct address items[ADDRESS_LIST_MAX];
};

void address_list_init (struct address_list *lst, int64_t backoff_min_us,
                        int64_t backoff_max_us, uint64_t seed);

/* Replaces the addresses with a comma-separated list of IP:PORT.  An address
   that was in the old list too keeps its peer name, but not its connection or
   its back-off.  Returns 0, ERR_INVALID or ERR_FULL; changes nothing on an
   error.  */
int address_list_set (struct address_list *lst, const char *text,
                      int64_t now_us);

/* Records NAME as the peer that listens at address TEXT, if the list has that
   address.  */
void address_list_set_name (struct address_list *lst, const char *text,
                            const char *name);

/* Call when a dial failed or its connection ended.  Counts a failure and sets
   the time of the next dial: exponential back-off, times a random factor
   between 0.5 and 1.5.  */
void address_list_schedule_redial (struct address_list *lst, uint32_t index,
                                   int64_t now_us);
