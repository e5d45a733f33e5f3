#pragma once

#include "test/stand/stand.h"

/* Host list and host operations of the platform's stand-in.  */

struct hosts;

/* Reads the hosts from the layout file PATH ("": no hosts).  A change of state
   appears in the list LAG_MS later; a reboot takes REBOOT_MS.  Prints an error
   and returns NULL when the layout cannot be read.  */
struct hosts *hosts_create (void *parent, struct stand_server *st,
                            const char *path, int64_t lag_ms,
                            int64_t reboot_ms);
void hosts_destroy (struct hosts *hs);

/* Handles GET /hosts, GET /hosts/HOST and POST /hosts/HOST/OPERATION.  */
void hosts_request (struct hosts *hs, struct stand_request *rq);

/* Sets the state of HOST as the platform knows it: live, leaving or down.
   Does not affect its target.  Returns 0, ERR_NOT_FOUND or ERR_INVALID.  */
int hosts_set_state (struct hosts *hs, const char *host, const char *state);

/* Stops (STALE) or resumes updates of the host list.  */
void hosts_set_stale (struct hosts *hs, bool stale);
