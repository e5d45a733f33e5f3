#pragma once

#include "cli/settings.h"

/* Runs an entry process until a signal stops it.  Returns 0 after a shutdown,
   or the error that prevented the start.  Prints one line "ready
   caller=IP:PORT peer_port=PORT", with " operator=IP:PORT" when there is a
   listener for operators, to stdout once it accepts requests.  */
int serve_run (void *parent, const struct serve_settings *set);
