#pragma once

#include "test/scenario/scenario.h"
#include "test/scenario/script.h"

/* Judges by the targets' journal and the callers' journal, never by the
   product's log or counters.  */

/* An edit of the table by an operator.  */
struct edit
{
  struct edit *prev, *next;
  const char *name;
  struct process *ps;
  int64_t accepted_us; /* 0: it was not */
};

/* Puts the steps that begin with "expect" at DEFS, which has room for
   JUDGE_MAX_STEPS of them and the end.  */
#define JUDGE_MAX_STEPS 20
void judge_add_steps (struct step_def *defs);

/* Prints the steps with their times, the lines of both journals on the
   offending requests, and for help the product's log lines on them.  */
void judge_print_trace (struct scenario *sc);

/* How the calls of each load ended, and how many executions there were.  */
void judge_print_summary (struct scenario *sc);
