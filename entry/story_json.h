#pragma once

#include <jansson.h>

#include "entry/story.h"

/* Stories as JSON, as /v1/explain gives them.  */

/* Returns a new object, or NULL without memory.  */
json_t *story_json (const struct story *sty);
