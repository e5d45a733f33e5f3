#pragma once

/* Judges a run by what clients, workers and the operator saw.  Each check
   follows a sentence of the platform's rules and has the rule's name.  */

#include <uthash.h>

#include "test/soak/soak.h"

#define STEPS_MAX 3
#define ITEMS_MAX 16 /* work items of a step */
/* Routes that come and go, and one that is in no version.  */
#define ROUTES_EXTRA 6
#define ROUTE_NEVER (ROUTES_EXTRA + 1)

/* Impairments, from which "in touch" and "calm" follow.  */
enum impaired
{
  IMPAIRED_PROCESS,
  IMPAIRED_STOP, /* of a process: SIGTERM, which is planned */
  IMPAIRED_STORE,
  IMPAIRED_WORKER,
  IMPAIRED_ALL, /* the connections of all processes */
};
/* Begins an impairment; returns its number for impair_end.  */
size_t impair_begin (enum impaired what, int index);
void impair_end (size_t number);
void impair_span (enum impaired what, int index, int64_t from, int64_t until);
/* Whether PROCESS was in touch at each moment of the span.  */
bool in_touch (int process, int64_t from, int64_t until);
/* Whether nothing at all was impaired in the span.  */
bool calm (int64_t from, int64_t until);

struct step
{
  int count, cpu, mem;
  int bound;       /* items on one worker; 0: any number */
  int may_miss;    /* items that the system may make unavailable at once */
  bool fills;      /* its processor time does not count */
  int64_t work_ms; /* -1: perpetual */
};

/* A run of a work item on a worker.  */
struct run_fact
{
  struct run_fact *next;
  int64_t number, started, token;
  int64_t ended;   /* 0: not ended */
  int64_t listed;  /* when the end was listed first; 0: not yet */
  int64_t noted;   /* when the end was taken note of; 0: not yet */
  const char *how; /* of the end; "gone": the worker has ended */
  char worker[32];
  int starter; /* index of the process that claimed the token, or -1 */
  bool late;   /* the worker carried the order out late */
};

struct task_fact
{
  struct run_fact *runs; /* the newest first */
};

struct job
{
  char id[20];
  char spec[24];
  int pool;
  int route; /* > 0: handed in by the extra route of this number */
  bool perpetual;
  bool standing; /* perpetual, for the whole run; each of its runs fails in the
                    end */
  bool patient;  /* the client comes back after a rejection */
  struct step steps[STEPS_MAX]; /* each one after the step before */
  int step_count;
  struct task_fact tasks[STEPS_MAX][ITEMS_MAX];
  /* What its client saw.  */
  int tries, rejected, unanswered, unsettled;
  int64_t accepted;
  int accepted_by;
  int64_t cancel_sent, cancelled; /* 0: not */
  int cancel_tries;
  int final_tries;
  bool final_known;
  int64_t completed; /* when all its items had ended done */
  int64_t still_since, still_item[ITEMS_MAX];
  /* Of a standing job: time without a run while there are places, in all, and
     with nothing impaired; and the longest of it.  */
  int64_t bare_ms[ITEMS_MAX], bare_calm_ms[ITEMS_MAX], bare_most_ms,
      bare_calm_most_ms;
  int64_t bare_look; /* time of the last look */
  bool told[8];      /* rules for which a line was printed */
  UT_hash_handle hh;
};
extern struct job *jobs; /* by ID */
struct job *job_find (const char *task);

/* A worker starts an order.  SPEC, SAVED may be NULL.  Returns what to pass
   to the other functions, or NULL if no client sent the job.  */
struct start
{
  const char *task, *spec, *saved, *worker;
  int pool; /* of the worker */
  int64_t number, token;
  bool late;
};
struct run_fact *judge_start (const struct start *start);
/* The process that started a task last, or -1.  */
int judge_last_starter (void);
void judge_end (struct run_fact *run, const char *how);
/* Duration of a run; -1: until it is stopped.  FAILS tells how it ends.  */
int64_t judge_work_ms (const char *task, int64_t number, bool *fails);

/* A client has read the job's state.  */
struct reading
{
  int process;
  int64_t sent;
  int status;
  const char *state; /* "" if none can be read */
};
void judge_reading (struct job *job, const struct reading *read);
/* A process answered a GET of a job that nobody has sent.  */
void judge_unknown (const char *id, const struct reading *read);
/* The store has confirmed a version of the config; ROUTES has a bit for each
   extra route that is in it.  */
void judge_config (int version, unsigned routes);
/* A process has answered a request that was sent at SENT by a route: 0 is one
   that is in each version, 1 to ROUTES_EXTRA an extra one, and
   ROUTE_NEVER one that is in none.  */
struct route_answer
{
  const char *what; /* the request */
  int route, process, status;
  int64_t sent;
};
void judge_route (const struct route_answer *ans);
/* A request to a process has ended without an answer.  */
void judge_no_answer (const struct route_answer *ans, bool broken);
/* Checks what holds at any time, and, if FINISHING, what holds from
   finish_s after the end of the traffic.  */
void judge_tick (bool finishing);
/* Checks that need the whole run.  Prints the summary; returns the number of
   broken rules.  */
size_t judge_finish (void);
__attribute__ ((format (printf, 2, 3))) void
judge_broken (const char *rule, const char *format, ...);
