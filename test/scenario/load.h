#pragma once

#include <curl/curl.h>
#include <jansson.h>

#include "test/scenario/scenario.h"

/* Callers: loads of requests at planned times, and what each was told.  A
   load to a data centre or to all goes through a balancer: to the entry
   processes that were ready lately, and to another one when a connection is
   refused.  A load to one entry process always goes there.  */

enum call_result
{
  CALL_OPEN,
  CALL_ANSWERED,
  CALL_NOT_RUN,
  CALL_UNKNOWN,     /* told so */
  CALL_LOST,        /* connected, but no whole response */
  CALL_UNREACHABLE, /* never connected */
};

struct call
{
  struct load *ld;
  int number;
  const struct call *original; /* same key and body, earlier load */
  const char *id;
  const char *key; /* NULL: sent without */
  const char *caller;
  char *body;
  size_t body_len;
  int tries;
  int64_t sent_us;
  int64_t end_us;
  enum call_result result;
  long status;
  char entry[8];       /* addressed */
  char reason[64];     /* told, or libcurl's message */
  const char *strange; /* NULL, or why the response is not whole and own */
  /* while open */
  CURL *curl;
  struct curl_slist *headers;
  char *answer;
  size_t answer_len;
};

struct load
{
  struct load *prev, *next;
  struct scenario *sc;
  const char *name;
  const char *kind;
  const char *who;
  const struct load *original;
  int64_t over_ms;
  int64_t deadline_ms;
  int64_t service_ms; /* each call's */
  int64_t body_bytes;
  bool keyed;
  struct call *calls;
  int count;
  int64_t start_us;
  int begun;
  int done;
  int turn; /* of the balancer */
};

/* Starts sending LD, whose first fields the caller has set.  */
void load_start (struct load *ld);
/* Fails the scenario when there is no load NAME.  */
struct load *load_find (struct scenario *sc, const char *name);
bool load_ended (struct scenario *sc, void *load); /* NULL: all loads */

const char *call_result_name (enum call_result result);
/* Whether OUTCOME is the call's result or reason, or is "served" and the call
   was answered with success.  */
bool call_is (const struct call *cl, const char *outcome);
json_t *call_json (const struct call *cl);
