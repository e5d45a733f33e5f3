#pragma once

#include <stddef.h>
#include <stdint.h>

#include "peer/member.h"

/* The configured addresses of peers and when each is dialed next.  Pure: the
   time comes as an argument in monotonic microseconds.  */

#define ADDRESS_MAX 64
#define ADDRESS_NONE UINT32_MAX

struct conn;

struct address
{
  char text[64]; /* IP:PORT as configured */
  char host[64];
  uint16_t port;
  char name[MEMBER_NAME_MAX]; /* of the peer last seen there, or "" */
  struct conn *con;           /* dialed and not closed */
  uint32_t failures;
  int64_t dial_at_us;
};

struct address_list
{
  int64_t backoff_min_us;
  int64_t backoff_max_us;
  unsigned short random[3]; /* of the jitter */
  uint32_t count;
  struct address items[ADDRESS_MAX];
};

void address_list_init (struct address_list *lst, int64_t backoff_min_us,
                        int64_t backoff_max_us, uint64_t seed);

/* Replaces the addresses by a comma-separated list of IP:PORT; names of
   addresses that stay are kept, connections are not.  Returns 0, ERR_INVALID
   or ERR_FULL, and then changes nothing.  */
int address_list_set (struct address_list *lst, const char *text,
                      int64_t now_us);

/* A peer gave its name and the address of its listener.  */
void address_list_learn (struct address_list *lst, const char *text,
                         const char *name);

/* A dial failed or its connection ended: sets the time of the next one, with
   jitter of half the back-off to one and a half of it.  */
void address_failed (struct address_list *lst, uint32_t index, int64_t now_us);
