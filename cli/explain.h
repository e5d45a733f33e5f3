#pragma once

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdio.h>

#include "cli/operators.h"

/* `kingcuphollow explain`: what happened to a request, from the stories that
   the entry processes keep.  */

#define EXPLAIN_EXIT_NOT_FOUND 1
#define EXPLAIN_EXIT_IN_PART 5

/* Returns the exit code.  */
int run_explain (void *ctx, int argc, char **argv);

/* Merges the replies to /v1/explain/ID and prints them to OUT, as JSON or as
   one sentence a step.  Returns the exit code.  */
int explain_tell (const char *id, const struct operator_reply *replies,
                  size_t count, bool json, FILE *out);

/* One plain sentence on STEP of STORY, into the SIZE bytes at BUF.  */
void explain_step (const json_t *story, const json_t *step, char *buf,
                   size_t size);

/* The sentence on the arrival of STORY.  */
void explain_arrival (const json_t *story, char *buf, size_t size);
