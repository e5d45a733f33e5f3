#pragma once

#include <stddef.h>
#include <stdint.h>

/* HTTP listener for operators' queries, on the control thread.  A request
   without the right bearer token is refused as soon as its headers have
   been read, and reaches no handler.  */

struct tevent_context;
struct operator_listener;

#define OPERATOR_TOKEN_MIN 16 /* bytes */
#define OPERATOR_TOKEN_MAX 256

enum operator_query
{
  OPERATOR_STATUS,  /* GET /v1/status */
  OPERATOR_EXPLAIN, /* GET /v1/explain/REQUEST-ID */
};

struct operator_settings
{
  const char *address; /* IP:PORT; port 0 selects a free port */
  const char *token;   /* copied */
  int64_t timeout_ms;  /* time limit for the answer to a query */
};

/* Each query is to be answered once with operator_answer, during QUERY or
   later.  EXPIRED is called for a query that was not answered in time and may
   still answer it; later answers are dropped.  */
struct operator_handler
{
  void (*query) (void *arg, uint64_t query_id, enum operator_query type,
                 const char *request_id);
  void (*expired) (void *arg, uint64_t query_id, enum operator_query type);
  void *arg;
};

/* Returns 0, ERR_INVALID for a malformed address or a token that is too short
   or too long, ERR_SYSTEM when the address cannot be bound, or ERR_NOMEM.  */
int operator_create (void *parent, struct tevent_context *ev,
                     const struct operator_settings *set,
                     const struct operator_handler *handler,
                     struct operator_listener **out);
uint16_t operator_port (const struct operator_listener *op);

/* Answers a query with the HTTP status STATUS and a copy of JSON as body.
   Does nothing if the query was answered before or its connection was
   closed.  */
void operator_answer (struct operator_listener *op, uint64_t query_id,
                      unsigned int status, const char *json);

/* Pending queries get no answer.  */
void operator_destroy (struct operator_listener *op);

/* Reads a token file: one line.  TOKEN has OPERATOR_TOKEN_MAX + 1 bytes.
   Returns 0, ERR_NOT_FOUND when the file cannot be read, or ERR_INVALID for
   a token under OPERATOR_TOKEN_MIN or over OPERATOR_TOKEN_MAX bytes, or with
   bytes that request_text_valid does not accept.  */
int operator_token_read (const char *path, char *token);
