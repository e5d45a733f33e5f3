#pragma once

#include "test/stand/stand.h"

/* The host list of the platform's stand-in.  */

struct hosts;

/* Reads the hosts from the layout at PATH ("": no hosts).  A state appears in
   the list after LAG_MS; a reboot takes REBOOT_MS.  Returns NULL, having said
   why, when the layout cannot be read.  */
struct hosts *hosts_create (void *parent, struct stand *st, const char *path,
                            int64_t lag_ms, int64_t reboot_ms);
void hosts_destroy (struct hosts *hs);

/* Serves GET /hosts, GET /hosts/HOST and POST /hosts/HOST/OPERATION.  */
void hosts_request (struct hosts *hs, struct stand_request *rq);

/* Sets the actual state of HOST: live, leaving or down.  Returns 0,
   ERR_NOT_FOUND or ERR_INVALID.  */
int hosts_set_state (struct hosts *hs, const char *host, const char *state);

/* While stale, the list does not change.  */
void hosts_set_stale (struct hosts *hs, bool stale);
