#pragma once

#include "entry/view.h"
#include "state/host_list.h"
#include "table/table.h"

/* Returns the pool that the log assigns to HOST, or NULL when the host is in
   its initial pool.  */
typedef const char *view_assignment_fn (const void *arg, const char *host);

struct view_input
{
  const struct view *previous; /* its handles are kept; may be NULL */
  const struct host_list *hosts;
  const struct table *table;
  const char *data_centre; /* only its hosts are targets; work for other data
                              centres goes through their own entry processes */
  view_assignment_fn *assignment; /* may be NULL */
  const void *assignment_arg;
  uint64_t folded_offset;
};

/* Builds a view for the traffic thread.  Returns 0 or ERR_NOMEM.  */
int view_build (const struct view_input *in, struct view **out);
