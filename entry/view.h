#pragma once

#include <stdatomic.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "admit/admit.h"
#include "route/route.h"

/* What the control thread knows and the traffic threads decide by: an
   immutable picture of kinds, pools and targets.  Shared by reference.  */

#define VIEW_NAME_MAX 64

struct view_kind
{
  char name[VIEW_NAME_MAX];
  struct admit_kind_limits limits;
  bool idempotent;
  bool removed; /* handles are never reused; a removed kind is refused */
  uint32_t max_attempts;
};

struct view_pool
{
  char name[VIEW_NAME_MAX];
};

struct view
{
  atomic_uint refs;
  uint64_t folded_offset; /* of the configuration */

  struct view_kind *kinds; /* indexed by kind handle */
  uint32_t kind_count;
  struct view_pool *pools; /* indexed by pool handle */
  uint32_t pool_count;
  struct target_info *targets;
  uint32_t target_count;
};

/* Returns an empty view with one reference, or NULL without memory.  Its
   arrays are talloc children of it.  */
struct view *view_create (void);
struct view *view_ref (struct view *vw);
void view_unref (struct view *vw);

/* Returns the handle, or -1.  */
int view_find_kind (const struct view *vw, const char *name);
int view_find_pool (const struct view *vw, const char *name);

/* Finds or adds a pool or kind by name; -1 without memory.  Only before the
   view is shared.  */
int view_add_pool (struct view *vw, const char *name);
int view_add_kind (struct view *vw, const char *name);
