#pragma once

#include "entry/view.h"
#include "state/hosts.h"

/* Builds the traffic threads' view from the host list and the table.  Handles
   of kinds and pools stay as in LAST (may be NULL).  Returns 0 or
   ERR_NOMEM.  */
int view_build (const struct view *last, const struct host_list *hosts,
                struct view **out);
