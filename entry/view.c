#include "entry/view.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>

struct view *
view_create (void)
{
  struct view *vw = talloc_zero (NULL, struct view);
  if (vw)
    atomic_init (&vw->refs, 1);
  return vw;
}

struct view *
view_ref (struct view *vw)
{
  atomic_fetch_add (&vw->refs, 1);
  return vw;
}

void
view_unref (struct view *vw)
{
  if (vw && atomic_fetch_sub (&vw->refs, 1) == 1)
    talloc_free (vw);
}

int
view_find_kind (const struct view *vw, const char *name)
{
  for (uint32_t n = 0; n < vw->kind_count; n++)
    if (strcmp (vw->kinds[n].name, name) == 0)
      return (int)n;
  return -1;
}

int
view_find_pool (const struct view *vw, const char *name)
{
  for (uint32_t n = 0; n < vw->pool_count; n++)
    if (strcmp (vw->pools[n].name, name) == 0)
      return (int)n;
  return -1;
}

int
view_add_pool (struct view *vw, const char *name)
{
  int found = view_find_pool (vw, name);
  if (found >= 0)
    return found;
  struct view_pool *pools
      = talloc_realloc (vw, vw->pools, struct view_pool, vw->pool_count + 1);
  if (!pools)
    return -1;
  vw->pools = pools;
  memset (&pools[vw->pool_count], 0, sizeof *pools);
  snprintf (pools[vw->pool_count].name, VIEW_NAME_SIZE, "%s", name);
  return (int)vw->pool_count++;
}

int
view_add_kind (struct view *vw, const char *name)
{
  int found = view_find_kind (vw, name);
  if (found >= 0)
    return found;
  struct view_kind *kinds
      = talloc_realloc (vw, vw->kinds, struct view_kind, vw->kind_count + 1);
  if (!kinds)
    return -1;
  vw->kinds = kinds;
  memset (&kinds[vw->kind_count], 0, sizeof *kinds);
  snprintf (kinds[vw->kind_count].name, VIEW_NAME_SIZE, "%s", name);
  return (int)vw->kind_count++;
}
