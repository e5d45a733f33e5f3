#pragma once

#include <stddef.h>
#include <stdint.h>

/* HTTP towards operators, on the control thread: questions with a bearer
   token.  A request without the right token is refused at its headers and
   reaches no handler.  */

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
  const char *address; /* IP:PORT, port 0 takes a free one */
  const char *token;   /* copied */
  int64_t timeout_ms;  /* until a question counts as expired */
};

/* Each question is to be answered once by operator_answer, now or later.
   EXPIRED is called for one that had no answer in time; an answer that comes
   after it is dropped.  */
struct operator_handler
{
  void (*ask) (void *arg, uint64_t ask, enum operator_query query,
               const char *request_id);
  void (*expired) (void *arg, uint64_t ask, enum operator_query query);
  void *arg;
};

/* Returns 0, ERR_INVALID for the address or a token that is too short or too
   long, ERR_SYSTEM when the address cannot be bound, or ERR_NOMEM.  */
int operator_create (void *parent, struct tevent_context *ev,
                     const struct operator_settings *set,
                     const struct operator_handler *handler,
                     struct operator_listener **out);
uint16_t operator_port (const struct operator_listener *op);

/* STATUS is the HTTP status, JSON the body, which is copied.  A question that
   was answered before, or whose connection is gone, is left alone.  */
void operator_answer (struct operator_listener *op, uint64_t ask,
                      unsigned int status, const char *json);

/* Open questions get no answer.  */
void operator_destroy (struct operator_listener *op);

/* Reads a token file: one line.  TOKEN has OPERATOR_TOKEN_MAX + 1 bytes.
   Returns 0, ERR_NOT_FOUND when the file cannot be read, or ERR_INVALID for
   a token under OPERATOR_TOKEN_MIN or over OPERATOR_TOKEN_MAX bytes, or with
   bytes other than visible ASCII characters.  */
int operator_token_read (const char *path, char *token);
