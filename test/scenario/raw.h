#pragma once

#include "test/scenario/script.h"

/* Steps that use TCP connections without an HTTP library: floods of
   connections and malformed requests.  */
void raw_flood (struct scenario *sc, const struct step *st);
void raw_bad_input (struct scenario *sc, const struct step *st);
