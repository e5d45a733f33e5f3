#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "test/scenario/process.h"
#include "test/scenario/relay.h"

/* The stand-ins of the platform and of the targets, and the entry processes.
   Every entry process reaches the platform through a port of its own, so that
   each can be cut from it alone.  */

#define ENTRIES_PER_DC 4
#define MAX_DCS 6
#define MAX_ENTRIES (MAX_DCS * ENTRIES_PER_DC)

struct entry
{
  struct scenario *sc;
  char name[8];       /* "a1": the first of data centre a */
  struct process *ps; /* NULL before the first start */
  char platform[64];  /* its own port there */
  char address[64];   /* for callers; empty until it listens */
  bool ready;         /* by the last look at /readyz, as a balancer has it */
  bool asking;        /* a look at /readyz is open */
  char operators[64]; /* its listener for operators */
  uint16_t peer_port; /* 0: it does not listen for peers */
  /* To the other entry processes of its data centre, by their number.  */
  struct relay *relays[ENTRIES_PER_DC];
  uint16_t relay_ports[ENTRIES_PER_DC];
};

struct fleet
{
  int dcs;
  struct entry entries[MAX_ENTRIES];
  int entry_count;
  const char *table; /* exported at the start, with the rows' versions */
  struct process *target;
  char target_control[64];
  char platform_control[64];
  char operators[64]; /* the platform's address for the operators' commands */
  int ready;          /* stand-ins */
  struct
  {
    const char *host;
    int64_t at_us;
  } left[8]; /* hosts marked as leaving */
  int left_count;
  const char *options[3]; /* of FLEET_..., set by the scenario */
};

enum
{
  FLEET_SERVE,
  FLEET_TARGET,
  FLEET_PLATFORM,
};

/* Starts the stand-ins: data centres a, b, ... with the hosts of POOLS, given
   as in "4 stock hosts and 4 pallets hosts each".  */
void fleet_start (struct scenario *sc, int dcs, const char *pools);

/* An operator's command on the table: imports or exports FILE (CSV).  NAME is
   the operator's.  */
struct process *fleet_table (struct scenario *sc, const char *name,
                             const char *command, const char *file);

/* The next entry process after EN (NULL: the first) that WHO (an entry
   process, a data centre or "all") names; NULL after the last.  */
struct entry *fleet_next (struct scenario *sc, const char *who,
                          struct entry *en);

/* Starts the entry process and waits until it listens.  */
void fleet_start_entry (struct scenario *sc, struct entry *en);

/* Cuts or heals all links between EN and its peers.  */
void fleet_cut_peers (struct scenario *sc, struct entry *en, bool cut);

/* Sets the fault SPEC (JSON) at the stand-in's port CONTROL, or clears those
   that the query names.  Fails the scenario when the stand-in refuses.  */
void fleet_set_fault (struct scenario *sc, const char *control,
                      const char *spec);
void fleet_clear_faults (struct scenario *sc, const char *control,
                         const char *query);

/* Ends the stand-in of the targets, so that its journal is whole.  */
void fleet_stop_targets (struct scenario *sc);

/* The cell of row SORT,NAME in a table as CSV text without quotes, up to the
   next comma; NULL when there is none.  */
const char *csv_cell (const char *csv, const char *sort, const char *name,
                      const char *column);
char *read_file (void *parent, const char *path);
