#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

/* What the scripts share: the record, the config, the project's processes
   (started with the command of the deploy file) and clients.  */

#define WORLD_POOL "work"
#define WORLD_HOST "q.example"
#define WORLD_PREFIX "/q/"
#define WORLD_NODES 3
#define WORLD_ATTEMPTS 4

struct node
{
  char name[16], zone[16], log[1200];
  int listen, ready, metrics;
  pid_t pid;
};
extern struct node nodes[WORLD_NODES];
extern bool world_trouble;

/* Arguments: PROGRAM RECORD FOLDER; environment TROUBLE.  */
void world_init (int argc, char **argv);
/* Writes the config and starts the project's processes, one a zone.  */
void world_start_nodes (void);
/* Ends the project's processes.  */
void world_stop_nodes (void);

__attribute__ ((format (printf, 1, 2))) void world_record (const char *format,
                                                           ...);
int64_t world_ms (void); /* since world_init */

/* The process whose log says that it holds the duty for the pool, or NULL.  */
struct node *world_owner (void);
/* Whether all processes are ready and the pool has an owner is polled until
   then; FN runs after that.  Exits with 2 if that takes too long.  */
void world_when_ready (void (*fn) (void));

struct job
{
  uint64_t id;
  struct job *next;
  char name[20];
  int attempts;
  int status;         /* of the last answer; 0: none */
  bool accepted;      /* a 2xx was received */
  int64_t accepted_at;
  char state[20];     /* as last read; "": not read */
  int state_status;   /* status of the last read */
  int64_t read_at;
};
extern struct job *jobs;

/* Hands a job in at NODE.  A broken or missing answer, 502 and 504 are
   followed by the same request at the next process, up to 4 times.  */
struct job *world_submit (int node, const char *body);
/* Asks NODE for the job's state.  */
void world_ask (struct job *job, int node);
struct job *world_find_job (const char *task);

/* Ends everything and exits with STATUS.  */
void world_exit (int status);
