#pragma once

#include "entry/view.h"
#include "state/hosts.h"
#include "table/table.h"

/* The pool that the log assigns to a host, or NULL: its initial pool.  */
typedef const char *view_assignment_fn (const void *arg, const char *host);

struct view_input
{
  const struct view *last; /* may be NULL; its handles stay */
  const struct host_list *hosts;
  const struct table *table;
  const char *data_centre; /* only its hosts are targets; work for others
                              goes through their own entry processes */
  view_assignment_fn *assignment; /* may be NULL */
  const void *assignment_arg;
  uint64_t folded_offset;
};

/* Builds the traffic threads' view.  Returns 0 or ERR_NOMEM.  */
int view_build (const struct view_input *in, struct view **out);
