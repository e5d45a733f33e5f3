#pragma once

#include "test/scenario/scenario.h"
#include "test/scenario/script.h"

/* The steps that begin with "expect", and the report on a failure.  They check
   the targets' journal and what the callers received, never the log or the
   counters of the product.  */

/* An edit of the table by an operator's command.  */
struct edit
{
  struct edit *prev, *next;
  const char *name;
  struct process *ps;
  int64_t accepted_us; /* 0: not accepted */
};

/* Copies the "expect" steps and a final NULL pattern to DEFS, which needs room
   for EXPECT_STEPS_MAX + 1 elements.  */
#define EXPECT_STEPS_MAX 20
void expect_add_steps (struct step_def *defs);

/* Prints the failure, the steps with their times, and for the first requests
   that broke an expectation their lines in both journals and, as a help, in
   the product's logs.  */
void expect_print_failure (struct scenario *sc);

/* Prints how many calls of each load had which result, and the number of
   executions.  */
void expect_print_summary (struct scenario *sc);
