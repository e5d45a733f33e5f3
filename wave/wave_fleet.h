#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Immutable view of hosts, pools, racks and availability budgets for planning,
   built once for each host list and table.  No I/O.  */

#define FLEET_NAME_SIZE 64 /* including the NUL; as HOST_NAME_SIZE */
#define FLEET_NONE UINT32_MAX

struct host_list;
struct table;

struct fleet_host
{
  char name[FLEET_NAME_SIZE];
  char address[FLEET_NAME_SIZE];
  uint32_t pool;
  uint32_t centre;
  uint32_t rack;
  bool live;
};

struct fleet_pool
{
  char name[FLEET_NAME_SIZE];
  bool has_row; /* the table has a row for the pool */
  uint32_t budget_pct;
  uint32_t hosts;
  uint32_t out_allowed; /* hosts out of service at a time; 0 without a row */
};

struct fleet_rack
{
  char name[2 * FLEET_NAME_SIZE]; /* DATA_CENTRE/RACK */
  uint32_t hosts;
};

struct fleet_centre
{
  char name[FLEET_NAME_SIZE];
};

struct wave_fleet
{
  struct fleet_host *hosts; /* sorted by name */
  uint32_t host_count;
  struct fleet_pool *pools;
  uint32_t pool_count;
  struct fleet_rack *racks;
  uint32_t rack_count;
  struct fleet_centre *centres;
  uint32_t centre_count;
  /* Number of hosts of pool P in data centre C, at P * centre_count + C.  */
  uint32_t *pool_centre_hosts;
};

/* Returns the pool that HOST is assigned to, or NULL for the initial pool of
   the host list.  */
typedef const char *fleet_pool_fn (void *arg, const char *host);

/* Builds *OUT, a talloc child of PARENT, which keeps no reference to the
   arguments.  POOL_OF may be NULL.  Returns 0, ERR_INVALID (a name is too
   long) or ERR_NOMEM.  */
int wave_fleet_build (void *parent, const struct host_list *hosts,
                      const struct table *tab, fleet_pool_fn *pool_of,
                      void *arg, struct wave_fleet **out);

/* Return the index, or FLEET_NONE.  */
uint32_t wave_fleet_find_host (const struct wave_fleet *fleet,
                               const char *host);
uint32_t wave_fleet_find_pool (const struct wave_fleet *fleet,
                               const char *pool);
uint32_t wave_fleet_find_centre (const struct wave_fleet *fleet,
                                 const char *name);

/* Number of hosts of the pool that may be out of service at a time in the data
   centre: what the pool's budget allows for the hosts there, but at least one.
   Otherwise a pool with few hosts in each data centre could never be
   maintained.  The pool's limit over the whole fleet applies in addition.  */
uint32_t wave_fleet_out_allowed (const struct wave_fleet *fleet, uint32_t pool,
                                 uint32_t centre);
