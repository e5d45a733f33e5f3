#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

/* Traces of requests: one line each, fields separated by spaces
     TIME_MS KIND CALLER SERVICE_US DEADLINE_MS BODY_BYTES many|once
   "once" marks a request that must not be repeated.  Lines that start with #
   are comments.  */

#define TRACE_NAME_MAX 32

struct trace_item
{
  int64_t time_ms;
  char kind[TRACE_NAME_MAX];
  char caller[TRACE_NAME_MAX];
  int64_t service_us;
  int64_t deadline_ms;
  int64_t body_bytes;
  bool once;
};

struct trace
{
  struct trace_item *items; /* a talloc child of the parent given */
  size_t count;
};

/* One kind of a generated pattern.  */
struct trace_kind
{
  const char *kind;
  const char *caller; /* the name's start; a number follows */
  int callers;
  int turn;      /* when it surges, from 0; -1: a steady rate */
  double rate_s; /* mean requests a second */
  int64_t service_us;
  int64_t deadline_ms;
  int64_t body_bytes;
  bool once;
};

/* Reads FILE.  Returns 0, ERR_IO, or ERR_INVALID with the faulty line in
 *LINE.  */
int trace_read (void *parent, const char *path, struct trace *tr,
                size_t *line);
void trace_write (const struct trace *tr, FILE *out);

/* Makes a trace of SECONDS in which each turn lasts TURN_MS: Poisson arrivals
   at SURGE times the mean in the kind's own turn and at a twentieth of the
   mean in the others, service times exponential around the kind's.  */
void trace_generate (void *parent, const struct trace_kind *kinds,
                     size_t kinds_count, int turns, int64_t seconds,
                     int64_t turn_ms, double surge, unsigned seed,
                     struct trace *tr);
