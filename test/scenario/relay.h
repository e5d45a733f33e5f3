#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "test/scenario/scenario.h"

/* TCP relays between the entry processes of a data centre, one for each
   direction of each pair, so that their links can be cut.  */

struct relay;

/* Listens on a free port of 127.0.0.1, stored in *PORT, and forwards each
   connection to the port that *TARGET_PORT holds at that time; while it is 0,
   connections are closed at once.  Returns NULL and fails the scenario on a
   system error.  */
struct relay *relay_create (struct scenario *sc, const uint16_t *target_port,
                            uint16_t *port);

/* While cut, the relay forwards nothing, accepts nothing and closes no
   connection.  */
void relay_set_cut (struct relay *rl, bool cut);
