#include "state/host_list.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base/err.h"
#include "base/option.h"

#define HOSTS_MAX 65536
#define SLOTS_MAX 4096

static const char *const state_names[] = { "live", "leaving", "down" };

const char *
host_state_name (enum host_state state)
{
  return state_names[state];
}

static bool
copy_member (char dst[HOST_NAME_SIZE], json_t *obj, const char *name)
{
  const char *text = json_string_value (json_object_get (obj, name));
  if (!text || !*text || strlen (text) >= HOST_NAME_SIZE)
    return false;
  snprintf (dst, HOST_NAME_SIZE, "%s", text);
  return true;
}

static bool
copy_count (uint32_t *dst, json_t *obj, const char *name)
{
  json_t *val = json_object_get (obj, name);
  json_int_t num = json_integer_value (val);
  if (!json_is_integer (val) || num < 1 || num > SLOTS_MAX)
    return false;
  *dst = (uint32_t)num;
  return true;
}

static bool
parse_state (struct host *host, json_t *obj)
{
  const char *text = json_string_value (json_object_get (obj, "state"));
  for (int n = 0; text && n < 3; n++)
    if (strcmp (text, state_names[n]) == 0)
      {
        host->state = n;
        return true;
      }
  return false;
}

static bool
parse_host (struct host *host, json_t *obj)
{
  char addr[64];
  uint16_t port;
  return copy_member (host->name, obj, "host")
         && copy_member (host->address, obj, "address")
         && copy_member (host->data_centre, obj, "data_centre")
         && copy_member (host->rack, obj, "rack")
         && copy_member (host->initial_pool, obj, "initial_pool")
         && copy_count (&host->slots, obj, "slots")
         && copy_count (&host->connections, obj, "connections")
         && parse_state (host, obj)
         && address_parse (host->address, addr, &port) == 0;
}

static int
compare_hosts (const void *a, const void *b)
{
  return strcmp (((const struct host *)a)->name,
                 ((const struct host *)b)->name);
}

static int
parse_hosts (struct host_list *list, json_t *arr)
{
  size_t count = json_array_size (arr);
  if (!json_is_array (arr) || count > HOSTS_MAX)
    return ERR_PROTOCOL;
  list->hosts = talloc_zero_array (list, struct host, count ? count : 1);
  if (!list->hosts)
    return ERR_NOMEM;
  for (size_t n = 0; n < count; n++)
    if (!parse_host (&list->hosts[n], json_array_get (arr, n)))
      return ERR_PROTOCOL;
  list->count = count;
  qsort (list->hosts, count, sizeof *list->hosts, compare_hosts);
  for (size_t n = 1; n < count; n++)
    if (compare_hosts (&list->hosts[n - 1], &list->hosts[n]) == 0)
      return ERR_PROTOCOL;
  return 0;
}

int
host_list_parse (void *parent, const char *json, size_t len,
                 struct host_list **out)
{
  json_t *root = json_loadb (json, len, JSON_REJECT_DUPLICATES, NULL);
  struct host_list *list = talloc_zero (parent, struct host_list);
  int err = list ? ERR_PROTOCOL : ERR_NOMEM;

  if (!root || !list)
    goto done;
  json_t *ver = json_object_get (root, "version");
  if (!json_is_integer (ver))
    goto done;
  list->version = (uint64_t)json_integer_value (ver);
  err = parse_hosts (list, json_object_get (root, "hosts"));

done:
  json_decref (root);
  if (err)
    {
      talloc_free (list);
      return err;
    }
  *out = list;
  return 0;
}
