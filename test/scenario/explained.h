#pragma once

#include <stdbool.h>

struct call;
struct entry;
struct scenario;

/* Whether EN tells by /v1/explain the same outcome, reason and status for the
   request of CL as its caller got.  */
bool explained_same (struct scenario *sc, const struct entry *en,
                     const struct call *cl);
