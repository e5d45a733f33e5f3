#pragma once

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdio.h>

#include "cli/operators.h"

/* `kingcuphollow explain`: shows what happened to a request, merged from the
   request traces that the entry processes keep.  */

#define EXPLAIN_EXIT_NOT_FOUND 1 /* no trace of the request was found */
#define EXPLAIN_EXIT_PARTIAL 5   /* found; parts of its trace may be missing */

/* Runs the command and returns its exit code.  */
int run_explain (void *ctx, int argc, char **argv);

/* Merges the replies to GET /v1/explain/ID and prints their steps in order of
   time to OUT, as JSON or as one sentence for each step.  Returns 0,
   EXPLAIN_EXIT_PARTIAL or EXPLAIN_EXIT_NOT_FOUND, the latter also when memory
   runs out.  */
int explain_print (const char *id, const struct operator_reply *replies,
                   size_t count, bool json, FILE *out);

/* Writes one sentence about STEP of TRACE into the SIZE bytes at BUF.  */
void explain_step (const json_t *trace, const json_t *step, char *buf,
                   size_t size);

/* Writes one sentence about the arrival of the request of TRACE.  */
void explain_arrival (const json_t *trace, char *buf, size_t size);
