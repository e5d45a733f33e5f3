#include "entry/view_build.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "base/err.h"

#define DEFAULT_ATTEMPTS 2
#define DEFAULT_WEIGHT 100
#define DEFAULT_QUEUE_LIMIT 1000
#define DEFAULT_QUEUE_DEADLINE_US 2000000

static int
copy_handles (struct view *vw, const struct view *previous)
{
  for (uint32_t n = 0; previous && n < previous->pool_count; n++)
    if (view_add_pool (vw, previous->pools[n].name) < 0)
      return ERR_NOMEM;
  for (uint32_t n = 0; previous && n < previous->kind_count; n++)
    {
      int kind = view_add_kind (vw, previous->kinds[n].name);
      if (kind < 0)
        return ERR_NOMEM;
      vw->kinds[kind].limits = previous->kinds[n].limits;
      vw->kinds[kind].removed = true;
    }
  return 0;
}

static int
add_target (struct view *vw, const struct view_input *in,
            const struct host *host)
{
  const char *name = in->assignment
                         ? in->assignment (in->assignment_arg, host->name)
                         : NULL;
  int pool = view_add_pool (vw, name ? name : host->initial_pool);
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
add_targets (struct view *vw, const struct view_input *in)
{
  const struct host_list *hosts = in->hosts;
  vw->targets = talloc_zero_array (vw, struct target_info, hosts->count + 1);
  if (!vw->targets)
    return ERR_NOMEM;
  for (size_t n = 0; n < hosts->count; n++)
    if (hosts->hosts[n].state != HOST_DOWN
        && strcmp (hosts->hosts[n].data_centre, in->data_centre) == 0)
      {
        int err = add_target (vw, in, &hosts->hosts[n]);
        if (err)
          return err;
      }
  return 0;
}

static int
add_kind (struct view *vw, const struct table *tab,
          const struct table_row *row)
{
  const struct table_kind *tk = &row->kind;
  int pool = view_add_pool (vw, tk->pool);
  int kind = view_add_kind (vw, row->name);
  if (pool < 0 || kind < 0)
    return ERR_NOMEM;
  struct view_kind *vk = &vw->kinds[kind];
  vk->removed = false;
  vk->idempotent = tk->idempotent != 0;
  vk->max_attempts = tk->attempts;
  vk->limits = (struct admit_kind_limits){
    .pool = (uint32_t)pool,
    .weight = tk->weight,
    .concurrency_limit = tk->concurrency_limit,
    .queue_limit = tk->queue_limit,
    .queue_deadline_us = (int64_t)table_queue_deadline_ms (tab, row) * 1000,
    .cls = (enum admit_class)tk->cls,
  };
  return 0;
}

static int
add_kinds (struct view *vw, const struct table *tab)
{
  for (size_t n = 0; tab && n < tab->count; n++)
    if (tab->rows[n]->type == TABLE_KIND)
      {
        int err = add_kind (vw, tab, tab->rows[n]);
        if (err)
          return err;
      }
  return 0;
}

/* While the table has no kinds, each pool serves one kind with the pool's
   name.  Nothing is known about such work, so it counts as not idempotent and
   never runs twice.  */
static int
add_default_kinds (struct view *vw)
{
  for (uint32_t pool = 0; pool < vw->pool_count; pool++)
    {
      int kind = view_add_kind (vw, vw->pools[pool].name);
      if (kind < 0)
        return ERR_NOMEM;
      struct view_kind *vk = &vw->kinds[kind];
      vk->removed = false;
      vk->idempotent = false;
      vk->max_attempts = DEFAULT_ATTEMPTS;
      vk->limits = (struct admit_kind_limits){
        .pool = pool,
        .weight = DEFAULT_WEIGHT,
        .queue_limit = DEFAULT_QUEUE_LIMIT,
        .queue_deadline_us = DEFAULT_QUEUE_DEADLINE_US,
        .cls = ADMIT_NORMAL,
      };
    }
  return 0;
}

static bool
has_kinds (const struct table *tab)
{
  for (size_t n = 0; tab && n < tab->count; n++)
    if (tab->rows[n]->type == TABLE_KIND)
      return true;
  return false;
}

int
view_build (const struct view_input *in, struct view **out)
{
  struct view *vw = view_create ();
  int err = vw ? copy_handles (vw, in->previous) : ERR_NOMEM;
  if (!err)
    err = add_targets (vw, in);
  if (!err)
    err = has_kinds (in->table) ? add_kinds (vw, in->table)
                                : add_default_kinds (vw);
  if (err)
    {
      view_unref (vw);
      return err;
    }
  vw->folded_offset = in->folded_offset;
  *out = vw;
  return 0;
}
