#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* The host list of the platform, parsed from its JSON.  */

#define HOST_NAME_SIZE 64 /* including the terminating NUL */

enum host_state
{
  HOST_LIVE,
  HOST_LEAVING,
  HOST_DOWN,
};

struct host
{
  char name[HOST_NAME_SIZE];
  char address[HOST_NAME_SIZE]; /* IP:PORT */
  char data_centre[HOST_NAME_SIZE];
  char rack[HOST_NAME_SIZE];
  char initial_pool[HOST_NAME_SIZE]; /* used until the config stream
                                             assigns a pool */
  uint32_t slots;
  uint32_t connections;
  enum host_state state;
};

struct host_list
{
  uint64_t version;
  struct host *hosts;
  size_t count;
};

/* Parses the platform's JSON into *OUT, a talloc child of PARENT, sorted by
   name.  Returns 0, ERR_PROTOCOL (an entry is malformed or a host is listed
   twice, which rejects the whole list) or ERR_NOMEM.  */
int host_list_parse (void *parent, const char *json, size_t len,
                     struct host_list **out);

const char *host_state_name (enum host_state state);
