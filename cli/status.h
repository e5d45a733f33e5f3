#pragma once

/* `kingcuphollow status`: prints the status that the given entry processes
   report.  Returns the exit code.  */
int run_status (void *ctx, int argc, char **argv);
