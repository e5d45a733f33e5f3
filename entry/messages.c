#include "entry/messages.h"

#include <stdlib.h>

void *
message_new (enum message_type type, size_t size)
{
  struct message *msg = calloc (1, size);
  if (msg)
    msg->type = type;
  return msg;
}
