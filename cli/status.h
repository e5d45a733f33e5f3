#pragma once

/* `kingcuphollow status`: what the given entry processes say of themselves.
   Returns the exit code.  */
int run_status (void *ctx, int argc, char **argv);
