#include "entry/view_build.h"

#include <stdio.h>
#include <talloc.h>

#include "base/err.h"

static int
copy_handles (struct view *vw, const struct view *last)
{
  for (uint32_t n = 0; last && n < last->pool_count; n++)
    if (view_add_pool (vw, last->pools[n].name) < 0)
      return ERR_NOMEM;
  for (uint32_t n = 0; last && n < last->kind_count; n++)
    {
      int kind = view_add_kind (vw, last->kinds[n].name);
      if (kind < 0)
        return ERR_NOMEM;
      vw->kinds[kind].limits = last->kinds[n].limits;
      vw->kinds[kind].removed = true;
    }
  return 0;
}

static int
add_target (struct view *vw, const struct host *host)
{
  int pool = view_add_pool (vw, host->initial_pool);
  if (pool < 0)
    return ERR_NOMEM;
  struct target_info *info = &vw->targets[vw->target_count++];
  snprintf (info->host, sizeof info->host, "%s", host->name);
  snprintf (info->address, sizeof info->address, "%s", host->address);
  snprintf (info->rack, sizeof info->rack, "%s", host->rack);
  snprintf (info->data_centre, sizeof info->data_centre, "%s",
            host->data_centre);
  info->pool = (uint32_t)pool;
  info->slots = host->slots;
  info->leaving = host->state == HOST_LEAVING;
  return 0;
}

static int
add_targets (struct view *vw, const struct host_list *hosts)
{
  vw->targets = talloc_zero_array (vw, struct target_info, hosts->count + 1);
  if (!vw->targets)
    return ERR_NOMEM;
  for (size_t n = 0; n < hosts->count; n++)
    if (hosts->hosts[n].state != HOST_DOWN)
      {
        int err = add_target (vw, &hosts->hosts[n]);
        if (err)
          return err;
      }
  return 0;
}

/* Without a table each pool has one kind of work of its own name.  */
static int
add_default_kinds (struct view *vw)
{
  for (uint32_t pool = 0; pool < vw->pool_count; pool++)
    {
      int kind = view_add_kind (vw, vw->pools[pool].name);
      if (kind < 0)
        return ERR_NOMEM;
      vw->kinds[kind].removed = false;
      vw->kinds[kind].idempotent = true;
      vw->kinds[kind].max_attempts = 3;
      vw->kinds[kind].limits = (struct admit_kind_limits){
        .pool = pool,
        .weight = 100,
        .queue_limit = 1000,
        .queue_deadline_us = 2000000,
        .cls = ADMIT_NORMAL,
      };
    }
  return 0;
}

int
view_build (const struct view *last, const struct host_list *hosts,
            struct view **out)
{
  struct view *vw = view_create ();
  int err = vw ? copy_handles (vw, last) : ERR_NOMEM;
  if (!err)
    err = add_targets (vw, hosts);
  if (!err)
    err = add_default_kinds (vw);
  if (err)
    {
      view_unref (vw);
      return err;
    }
  *out = vw;
  return 0;
}
