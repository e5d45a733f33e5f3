#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "test/scenario/scenario.h"

/* TCP relays between the entry processes, one for each direction of each
   pair, so that they can be cut from each other.  */

struct relay;

/* Listens on a free port of 127.0.0.1, given back in *PORT, and passes each
   connection on to the port at TARGET (0 there: refused for now).  NULL and a
   failed scenario when the system refuses.  */
struct relay *relay_create (struct scenario *sc, const uint16_t *target,
                            uint16_t *port);

/* While cut, nothing is passed on and no connection ends.  */
void relay_set_cut (struct relay *rl, bool cut);
