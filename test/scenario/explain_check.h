#pragma once

#include <stdbool.h>

struct call;
struct entry;
struct scenario;

/* Returns whether /v1/explain of EN reports the outcome, reason and status
   that the caller of CL received.  */
bool explain_check_call (struct scenario *sc, const struct entry *en,
                         const struct call *cl);
