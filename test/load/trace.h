#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

/* Request traces for load tests.  A file holds one request a line, fields
   separated by spaces:
     TIME_MS KIND CALLER SERVICE_US DEADLINE_MS BODY_BYTES many|once
   "once" marks a request that must not run more than once.  Lines that start
   with # are comments.  */

#define TRACE_NAME_SIZE 32 /* of a kind or a caller, with the NUL */

struct trace_request
{
  int64_t time_ms; /* planned send time, from the start of the trace */
  char kind[TRACE_NAME_SIZE];
  char caller[TRACE_NAME_SIZE];
  int64_t service_us;
  int64_t deadline_ms; /* from the planned send time */
  int64_t body_bytes;
  bool once; /* must not run more than once */
};

struct trace
{
  struct trace_request *requests; /* a talloc child of the parent passed in */
  size_t count;
};

/* Load of one kind in a generated trace.  */
struct trace_kind
{
  const char *kind;
  const char *caller_prefix; /* "-" and a number follow in a caller's name */
  int caller_count;
  int surge_turn;     /* turn in which it surges, from 0; -1: a steady rate */
  double rate_s;      /* mean requests a second */
  int64_t service_us; /* mean */
  int64_t deadline_ms;
  int64_t body_bytes; /* mean */
  bool once;
};

/* Reads a trace from the file PATH.  Returns 0, ERR_IO when it cannot be
   opened, or ERR_INVALID with the number of the invalid line in *LINE.  */
int trace_read (void *parent, const char *path, struct trace *tr,
                size_t *line);
void trace_write (const struct trace *tr, FILE *out);

/* Generates a trace of SECONDS.  Time is divided into turns of TURN_MS,
   numbered from 0 to TURNS - 1 over and over.  A kind with a surge turn has
   SURGE times its mean rate in that turn and a twentieth of its mean rate in
   the others.  Intervals between arrivals and service times are exponential,
   limited to three times their mean.  */
void trace_generate (void *parent, const struct trace_kind *kinds,
                     size_t kinds_count, int turns, int64_t seconds,
                     int64_t turn_ms, double surge, unsigned seed,
                     struct trace *tr);
