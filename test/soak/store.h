#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Stand-in of the platform's store: a log of keyed topics, as PROTOCOL.md
   describes it (append with `at`, producers and sequences, reads that wait,
   newest records), and the list of machines.  */

#define STORE_RECORD_MAX 262144
#define STORE_CALL_MAX 2097152

#define STORE_PORTS_MAX 150 /* one for each process */

/* Faults of the calls of one process; the fields are shares of its calls.  */
struct store_fault
{
  double reject;    /* 503 or 429, nothing is done */
  double lose;      /* done, and the answer is lost */
  double late;      /* done 1 to 6 s later, without an answer */
  bool lose_silent; /* a lost answer leaves its connection open */
  bool slow;
};
extern struct store_fault store_faults[STORE_PORTS_MAX];

/* What happened to the appends of one process; `rejected` counts all calls. */
struct store_count
{
  size_t done, rejected, lost, late;
};
extern struct store_count store_counts[STORE_PORTS_MAX];

/* Listens for the process of this index.  */
void store_listen (int index, int *port);
struct net_link *store_link (int index);
struct server *store_server (int index);
/* Resets the process's connections; returns their number.  */
size_t store_reset (int index);
/* The process that claimed the duty with this fencing token, or -1.  */
int store_claimant (int64_t token);

/* Listens for calls of the list of machines; returns its port.  */
int store_machines_start (void);
void store_machine (const char *machine, const char *pool, const char *zone,
                    const char *label, const char *rack, int cpu, int mem,
                    const char *worker);

/* Carries out the move of a machine that is up.  */
extern void (*store_move) (const char *machine, const char *pool);
/* An order for the upkeep of a machine, which is up or not.  Returns the
   reason for which it is rejected, or NULL.  */
extern const char *(*store_upkeep) (const char *machine, int64_t wave,
                                    bool is_up);
/* A process has written the status of this key.  */
extern void (*store_status) (const char *key, const char *value);
void store_machine_state (const char *machine, const char *state,
                          const char *pool, const char *worker);

/* Appends a record on behalf of the operator or of a worker.  */
void store_put (const char *topic, const char *key, const char *value);
