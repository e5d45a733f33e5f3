#pragma once

#include <jansson.h>

#include "entry/request_trace.h"

/* Request traces as JSON, in the form that /v1/explain returns.  */

/* Returns a new object, or NULL when out of memory.  */
json_t *request_trace_json (const struct request_trace *trc);
