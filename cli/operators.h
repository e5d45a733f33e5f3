#pragma once

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include "entry/operator.h"

/* HTTP client of the operator listeners of several entry processes, which it
   asks in parallel.  Calls block.  */

#define OPERATORS_MAX 64
#define OPERATOR_ADDRESS_SIZE 64 /* bytes, including the terminating NUL */

/* Addresses of operator listeners, and the bearer token for all of them.  */
struct operators
{
  char addresses[OPERATORS_MAX][OPERATOR_ADDRESS_SIZE];
  size_t count;
  char token[OPERATOR_TOKEN_MAX + 1];
};

struct operator_reply
{
  const char *address; /* in the struct operators */
  json_t *root;        /* JSON object of the reply; NULL: see error */
  char error[192];     /* message: why there is no reply */
};

/* Parses the comma-separated LIST of IP:PORT and reads the token.  Returns 0,
   ERR_INVALID or ERR_NOT_FOUND after a message to ERRORS, or ERR_NOMEM.  */
int operators_init (struct operators *ops, const char *list,
                    const char *token_file, FILE *errors);

/* Sends GET PATH to all listeners and waits for at most TIMEOUT_MS.  REPLIES
   has ops->count elements, to be freed by operators_free.  Returns how many
   gave a reply, or ERR_NOMEM.  */
int operators_get (const struct operators *ops, const char *path,
                   int64_t timeout_ms, struct operator_reply *replies);
void operators_free (const struct operators *ops,
                     struct operator_reply *replies);
