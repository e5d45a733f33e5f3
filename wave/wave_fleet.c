#include "wave/wave_fleet.h"

#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <uthash.h>

#include "base/err.h"
#include "state/host_list.h"
#include "table/table.h"
#include "table/table_check.h"

struct index_entry
{
  UT_hash_handle hh;
  uint32_t index;
  char name[2 * FLEET_NAME_SIZE];
};

/* Assigns indices to names in the order of their first use.  */
struct index
{
  void *parent;
  struct index_entry *entries;
  uint32_t count;
};

static void
index_add (struct index *ix, struct index_entry *entry)
{
  HASH_ADD_KEYPTR (hh, ix->entries, entry->name, strlen (entry->name), entry);
}

static struct index_entry *
index_get (struct index *ix, const char *name)
{
  struct index_entry *entry;
  HASH_FIND_STR (ix->entries, name, entry);
  if (entry)
    return entry;
  entry = talloc_zero (ix->parent, struct index_entry);
  if (!entry)
    return NULL;
  memcpy (entry->name, name, strlen (name) + 1);
  entry->index = ix->count++;
  index_add (ix, entry);
  return entry;
}

struct builder
{
  struct wave_fleet *fleet;
  struct index pools;
  struct index racks;
  struct index centres;
};

static int
add_host (struct builder *bd, const struct host *host, const char *pool)
{
  struct fleet_host *fh = &bd->fleet->hosts[bd->fleet->host_count++];
  char rack[2 * FLEET_NAME_SIZE];
  if (strlen (pool) >= FLEET_NAME_SIZE)
    return ERR_INVALID;
  size_t len = strlen (host->data_centre);
  memcpy (rack, host->data_centre, len);
  rack[len] = '/';
  memcpy (rack + len + 1, host->rack, strlen (host->rack) + 1);

  const struct index_entry *centre
      = index_get (&bd->centres, host->data_centre);
  const struct index_entry *rk = index_get (&bd->racks, rack);
  const struct index_entry *pl = index_get (&bd->pools, pool);
  if (!centre || !rk || !pl)
    return ERR_NOMEM;
  memcpy (fh->name, host->name, sizeof fh->name);
  memcpy (fh->address, host->address, sizeof fh->address);
  fh->pool = pl->index;
  fh->rack = rk->index;
  fh->centre = centre->index;
  fh->live = host->state == HOST_LIVE;
  return 0;
}

static void
set_budget (struct fleet_pool *pool, const struct table *tab)
{
  const struct table_row *row
      = tab ? table_find (tab, TABLE_POOL, pool->name) : NULL;
  if (!row)
    return;
  pool->has_row = true;
  pool->budget_pct = row->pool.availability_budget_pct;
  uint32_t min_serving = table_pct_ceil (pool->budget_pct, pool->hosts);
  pool->out_allowed
      = min_serving < pool->hosts ? pool->hosts - min_serving : 0;
}

/* Copies the indexed names and counts the hosts of each pool and rack.  */
static int
fill_groups (struct builder *bd, const struct table *tab)
{
  struct wave_fleet *fl = bd->fleet;
  struct index_entry *entry;
  fl->pool_count = bd->pools.count;
  fl->rack_count = bd->racks.count;
  fl->centre_count = bd->centres.count;
  fl->pools = talloc_zero_array (fl, struct fleet_pool, fl->pool_count + 1);
  fl->racks = talloc_zero_array (fl, struct fleet_rack, fl->rack_count + 1);
  fl->centres
      = talloc_zero_array (fl, struct fleet_centre, fl->centre_count + 1);
  fl->pool_centre_hosts = talloc_zero_array (
      fl, uint32_t, (size_t)fl->pool_count * fl->centre_count + 1);
  if (!fl->pools || !fl->racks || !fl->centres || !fl->pool_centre_hosts)
    return ERR_NOMEM;
  for (entry = bd->pools.entries; entry; entry = entry->hh.next)
    memcpy (fl->pools[entry->index].name, entry->name, FLEET_NAME_SIZE);
  for (entry = bd->racks.entries; entry; entry = entry->hh.next)
    memcpy (fl->racks[entry->index].name, entry->name, sizeof entry->name);
  for (entry = bd->centres.entries; entry; entry = entry->hh.next)
    memcpy (fl->centres[entry->index].name, entry->name, FLEET_NAME_SIZE);
  for (uint32_t n = 0; n < fl->host_count; n++)
    {
      const struct fleet_host *fh = &fl->hosts[n];
      fl->pools[fh->pool].hosts++;
      fl->racks[fh->rack].hosts++;
      fl->pool_centre_hosts[fh->pool * fl->centre_count + fh->centre]++;
    }
  for (uint32_t n = 0; n < fl->pool_count; n++)
    set_budget (&fl->pools[n], tab);
  return 0;
}

static int
compare_hosts (const void *a, const void *b)
{
  return strcmp (((const struct fleet_host *)a)->name,
                 ((const struct fleet_host *)b)->name);
}

int
wave_fleet_build (void *parent, const struct host_list *hosts,
                  const struct table *tab, fleet_pool_fn *pool_of, void *arg,
                  struct wave_fleet **out)
{
  struct builder bd = { 0 };
  int err = ERR_NOMEM;
  void *tmp = talloc_new (parent);
  struct wave_fleet *fl = talloc_zero (parent, struct wave_fleet);
  if (!tmp || !fl)
    goto done;
  bd.fleet = fl;
  bd.pools.parent = bd.racks.parent = bd.centres.parent = tmp;
  fl->hosts = talloc_zero_array (fl, struct fleet_host, hosts->count + 1);
  err = fl->hosts ? 0 : ERR_NOMEM;
  for (size_t n = 0; n < hosts->count && err == 0; n++)
    {
      const struct host *host = &hosts->hosts[n];
      const char *pool = pool_of ? pool_of (arg, host->name) : NULL;
      err = add_host (&bd, host, pool ? pool : host->initial_pool);
    }
  if (err == 0)
    err = fill_groups (&bd, tab);
  if (err == 0)
    qsort (fl->hosts, fl->host_count, sizeof *fl->hosts, compare_hosts);
done:
  HASH_CLEAR (hh, bd.pools.entries);
  HASH_CLEAR (hh, bd.racks.entries);
  HASH_CLEAR (hh, bd.centres.entries);
  talloc_free (tmp);
  if (err)
    TALLOC_FREE (fl);
  *out = fl;
  return err;
}

static int
compare_name (const void *key, const void *host)
{
  return strcmp (key, ((const struct fleet_host *)host)->name);
}

uint32_t
wave_fleet_find_host (const struct wave_fleet *fleet, const char *host)
{
  const struct fleet_host *fh = bsearch (host, fleet->hosts, fleet->host_count,
                                         sizeof *fleet->hosts, compare_name);
  return fh ? (uint32_t)(fh - fleet->hosts) : FLEET_NONE;
}

uint32_t
wave_fleet_find_pool (const struct wave_fleet *fleet, const char *pool)
{
  for (uint32_t n = 0; n < fleet->pool_count; n++)
    if (strcmp (fleet->pools[n].name, pool) == 0)
      return n;
  return FLEET_NONE;
}

uint32_t
wave_fleet_find_centre (const struct wave_fleet *fleet, const char *name)
{
  for (uint32_t n = 0; n < fleet->centre_count; n++)
    if (strcmp (fleet->centres[n].name, name) == 0)
      return n;
  return FLEET_NONE;
}

uint32_t
wave_fleet_out_allowed (const struct wave_fleet *fleet, uint32_t pool,
                        uint32_t centre)
{
  const struct fleet_pool *pl = &fleet->pools[pool];
  uint32_t hosts
      = fleet->pool_centre_hosts[pool * fleet->centre_count + centre];
  uint32_t min_serving = table_pct_ceil (pl->budget_pct, hosts);
  uint32_t cap = min_serving < hosts ? hosts - min_serving : 0;
  if (pl->out_allowed == 0)
    return 0;
  return cap > 0 ? cap : 1;
}
