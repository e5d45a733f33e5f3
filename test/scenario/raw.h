#pragma once

#include "test/scenario/script.h"

/* Steps on raw connections: floods and malformed requests.  */
void raw_flood (struct scenario *sc, const struct step *st);
void raw_bad_input (struct scenario *sc, const struct step *st);
