#pragma once

/* `kingcuphollow wave ...`: creates, shows and changes maintenance waves.
   Returns the exit code; docs/operate/wave.md lists them.  */
int run_wave (void *ctx, int argc, char **argv);
