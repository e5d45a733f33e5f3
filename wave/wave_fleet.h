#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* The hosts, pools, racks and budgets that a planner decides by, prepared once
   for each host list and table.  No I/O.  */

#define FLEET_NAME_SIZE 64 /* as HOST_NAME_MAX_BYTES */
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
  bool has_row; /* in the table */
  uint32_t budget_pct;
  uint32_t hosts;
  uint32_t allowed; /* out of service at a time; 0 without a row */
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
  uint32_t *cells; /* hosts of pool P in centre C at P * centre_count + C */
};

/* The pool that HOST is assigned to; NULL: the list's initial pool.  */
typedef const char *fleet_pool_fn (void *arg, const char *host);

/* Builds *OUT, a talloc child of PARENT, from copies.  POOL_OF may be NULL.
   Returns 0, ERR_INVALID (a name too long) or ERR_NOMEM.  */
int wave_fleet_build (void *parent, const struct host_list *hosts,
                      const struct table *tab, fleet_pool_fn *pool_of,
                      void *arg, struct wave_fleet **out);

/* Index, or FLEET_NONE.  */
uint32_t wave_fleet_find (const struct wave_fleet *fleet, const char *host);
uint32_t wave_fleet_pool (const struct wave_fleet *fleet, const char *pool);
uint32_t wave_fleet_centre (const struct wave_fleet *fleet, const char *name);

/* Hosts of the pool that may be out of service at a time in the data centre:
   what its budget allows of the hosts there, and at least one, because
   otherwise a pool with few hosts in each data centre could never be
   maintained.  The pool's allowance over the fleet holds besides.  */
uint32_t wave_fleet_cap (const struct wave_fleet *fleet, uint32_t pool,
                         uint32_t centre);
