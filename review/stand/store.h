#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Stand-in of the platform's store: a log of keyed topics, as PROTOCOL.md
   describes it (append with `at`, producers and sequences, reads that wait,
   newest records), and the list of machines.  */

#define STORE_RECORD_MAX 262144
#define STORE_CALL_MAX 2097152

struct append_info
{
  const char *topic;
  unsigned part;
  const char *producer; /* "": none */
  const uint8_t *body;  /* the records with their lengths */
  size_t len;
  unsigned served; /* requests answered on this connection before */
};

enum append_fate
{
  APPEND_NORMAL,
  APPEND_LOSE_ANSWER, /* done, and the connection is reset unanswered */
};

/* Decides on an append that is about to be done; may be NULL.  */
extern enum append_fate (*store_fate) (const struct append_info *app);
/* While true, each call is answered 503 and nothing is done.  */
extern bool store_busy;

/* Listens; returns the port.  */
int store_start (void);
/* The same for the list of machines, which are told by store_machine.  */
int store_machines_start (void);
void store_machine (const char *machine, const char *pool, const char *zone,
                    const char *label, const char *rack, int cpu, int mem,
                    const char *worker);

/* Appends a record on behalf of the operator or of a worker.  */
void store_put (const char *topic, const char *key, const char *value);
/* Number of records in all partitions of TOPIC whose key is KEY.  */
size_t store_count (const char *topic, const char *key);
