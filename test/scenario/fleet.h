#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "test/scenario/process.h"
#include "test/scenario/relay.h"

/* The processes of a scenario: the stand-ins of the platform and the targets,
   and the entry processes.  Each entry process connects to the platform
   through its own port, so that one can be cut off without the others.  */

#define ENTRIES_PER_DC 4
#define DCS_MAX 6
#define ENTRIES_MAX (DCS_MAX * ENTRIES_PER_DC)

struct entry
{
  struct scenario *sc;
  char name[8];              /* such as "a1", the first of data centre a */
  struct process *ps;        /* NULL before the first start */
  char platform_address[64]; /* port of the platform for this process alone */
  char caller_address[64];   /* listener for callers; empty until it is open */
  bool ready;                /* result of the latest poll of /readyz */
  bool ready_poll_pending;   /* a poll of /readyz is in progress */
  char operator_address[64]; /* listener for operators */
  uint16_t peer_port;        /* 0: no listener for peers yet */
  /* Relays to the other entry processes of its data centre, indexed by their
     number from 0; NULL for itself.  */
  struct relay *relays[ENTRIES_PER_DC];
  uint16_t relay_ports[ENTRIES_PER_DC];
};

struct fleet
{
  int dc_count;
  struct entry entries[ENTRIES_MAX];
  int entry_count;
  /* CSV file exported at the start, with the rows' versions.  */
  const char *table_path;
  struct process *target_process;
  char target_control[64];
  char platform_control[64];
  char operator_address[64]; /* of the platform, for operators' commands */
  int ready_stand_ins;       /* number of stand-ins that are ready */
  struct
  {
    const char *host;
    int64_t at_us;
  } leaving_hosts[8]; /* with the time at which each was marked as leaving */
  int leaving_count;
  /* Extra options set by the scenario, indexed by FLEET_PROGRAM_...  */
  const char *options[3];
};

enum
{
  FLEET_PROGRAM_SERVE,
  FLEET_PROGRAM_TARGET,
  FLEET_PROGRAM_PLATFORM,
};

/* Starts the stand-ins and imports the table.  The data centres are named a,
   b, ...; POOLS gives the hosts of each, as in "4 stock hosts and 4 pallets
   hosts each".  Fails the scenario on an error.  */
void fleet_start (struct scenario *sc, int dcs, const char *pools);

/* Starts the operator's command "table COMMAND" (import or export) for FILE, a
   CSV file.  NAME is the operator's name.  Returns the running process, or
   NULL and fails the scenario.  */
struct process *fleet_start_table_command (struct scenario *sc,
                                           const char *name,
                                           const char *command,
                                           const char *file);

/* Returns the next entry process after EN that WHO selects (the name of an
   entry process or of a data centre, or "all"); NULL after the last.  With EN
   NULL, returns the first.  */
struct entry *fleet_next_entry (struct scenario *sc, const char *who,
                                struct entry *en);

/* Starts the entry process and waits until it listens for callers.  Fails the
   scenario when it does not.  */
void fleet_start_entry (struct scenario *sc, struct entry *en);

/* Cuts or heals the links between EN and its peers, in both directions.  */
void fleet_set_peers_cut (struct scenario *sc, struct entry *en, bool cut);

/* Sets the fault SPEC (JSON) at the stand-in whose control address is CONTROL,
   or clears the faults that QUERY selects (empty: all).  Fails the scenario
   when the stand-in refuses.  */
void fleet_set_fault (struct scenario *sc, const char *control,
                      const char *spec);
void fleet_clear_faults (struct scenario *sc, const char *control,
                         const char *query);

/* Stops the stand-in of the targets, so that its journal is complete.  */
void fleet_stop_targets (struct scenario *sc);

/* Returns the cell of COLUMN in the row ROW_TYPE,NAME of a table, given as CSV
   text without quotes.  The cell ends at the next comma or line end.  NULL
   when there is none.  */
const char *csv_find_cell (const char *csv, const char *row_type,
                           const char *name, const char *column);
/* Returns the contents as a talloc child of PARENT; empty when the file cannot
   be opened.  */
char *read_file (void *parent, const char *path);
