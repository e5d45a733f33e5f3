#include "entry/mails.h"

#include <stdlib.h>

void *
mail_new (enum mail_type type, size_t size)
{
  struct mail *mail = calloc (1, size);
  if (mail)
    mail->type = type;
  return mail;
}
