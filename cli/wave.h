#pragma once

/* `kingcuphollow wave ...`: creates, shows and changes maintenance waves.
   Returns one of the exit codes that docs/operate/wave.md lists.  */
int run_wave (void *ctx, int argc, char **argv);
