#pragma once

/* `kingcuphollow table ...`: shows and edits the operators' table.  Returns
   the exit code; docs/operate/table.md lists them.  */
int run_table (void *ctx, int argc, char **argv);
