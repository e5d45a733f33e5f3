#pragma once

#include <stdatomic.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "admit/admit.h"
#include "route/route.h"

/* Immutable snapshot of kinds, pools and targets.  The control thread builds
   it, and the traffic thread bases its decisions on it.  Shared by reference
   count.  */

#define VIEW_NAME_SIZE 64 /* bytes, including the terminating NUL */

struct view_kind
{
  char name[VIEW_NAME_SIZE];
  struct admit_kind_limits limits;
  bool idempotent;
  bool removed; /* its handle is not reused, and its requests are refused */
  uint32_t max_attempts;
};

struct view_pool
{
  char name[VIEW_NAME_SIZE];
};

struct view
{
  atomic_uint refs;
  /* The log offset up to which the configuration is folded.  */
  uint64_t folded_offset;

  struct view_kind *kinds; /* indexed by kind handle */
  uint32_t kind_count;
  struct view_pool *pools; /* indexed by pool handle */
  uint32_t pool_count;
  struct target_info *targets;
  uint32_t target_count;
};

/* Returns an empty view with one reference, or NULL when out of memory.  Its
   arrays are its talloc children.  */
struct view *view_create (void);
struct view *view_ref (struct view *vw);
void view_unref (struct view *vw);

/* Returns the handle, or -1 when not found.  */
int view_find_kind (const struct view *vw, const char *name);
int view_find_pool (const struct view *vw, const char *name);

/* Finds or adds a pool or kind by name.  Returns its handle, or -1 when out of
   memory.  Only before the view is shared.  */
int view_add_pool (struct view *vw, const char *name);
int view_add_kind (struct view *vw, const char *name);
