#pragma once

/* `kingcuphollow table ...`: shows and edits the operators' table.  Returns
   one of the exit codes that docs/operate/table.md lists.  */
int run_table (void *ctx, int argc, char **argv);
