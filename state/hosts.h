#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* The platform's host list.  */

#define HOST_NAME_MAX_BYTES 64

enum host_state
{
  HOST_LIVE,
  HOST_LEAVING,
  HOST_DOWN,
};

struct host
{
  char name[HOST_NAME_MAX_BYTES];
  char address[HOST_NAME_MAX_BYTES]; /* IP:PORT */
  char data_centre[HOST_NAME_MAX_BYTES];
  char rack[HOST_NAME_MAX_BYTES];
  char initial_pool[HOST_NAME_MAX_BYTES]; /* until the log assigns another */
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

/* Parses the platform's JSON.  The list is a talloc child of PARENT.  Returns
   0, ERR_PROTOCOL when any entry is malformed or a host stands twice, or
   ERR_NOMEM; a list is taken whole or not at all.  */
int host_list_parse (void *parent, const char *json, size_t len,
                     struct host_list **out);

const char *host_state_name (enum host_state state);
