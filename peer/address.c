#include "peer/address.h"

#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "base/option.h"

void
address_list_init (struct address_list *lst, int64_t backoff_min_us,
                   int64_t backoff_max_us, uint64_t seed)
{
  memset (lst, 0, sizeof *lst);
  lst->backoff_min_us = backoff_min_us;
  lst->backoff_max_us = backoff_max_us;
  memcpy (lst->jitter_state, &seed, sizeof lst->jitter_state);
}

static int
parse_list (const char *text, struct address *out, uint32_t *count)
{
  *count = 0;
  while (*text)
    {
      size_t len = strcspn (text, ",");
      if (*count == ADDRESS_LIST_MAX)
        return ERR_FULL;
      struct address *adr = &out[(*count)++];
      if (len == 0 || len >= sizeof adr->text)
        return ERR_INVALID;
      memcpy (adr->text, text, len);
      if (address_parse (adr->text, adr->host, &adr->port) != 0
          || adr->port == 0)
        return ERR_INVALID;
      text += len;
      if (*text == ',' && *++text == '\0')
        return ERR_INVALID;
    }
  return 0;
}

int
address_list_set (struct address_list *lst, const char *text, int64_t now_us)
{
  struct address parsed[ADDRESS_LIST_MAX] = { 0 };
  uint32_t count;
  int err = parse_list (text, parsed, &count);
  if (err)
    return err;
  for (uint32_t n = 0; n < count; n++)
    {
      /* A random first delay, so that processes started at the same time do
         not all dial at once.  */
      parsed[n].dial_at_us = now_us
                             + (int64_t)((double)lst->backoff_min_us
                                         * erand48 (lst->jitter_state));
      for (uint32_t old = 0; old < lst->count; old++)
        if (strcmp (parsed[n].text, lst->items[old].text) == 0)
          memcpy (parsed[n].name, lst->items[old].name, sizeof parsed[n].name);
    }
  memcpy (lst->items, parsed, sizeof parsed);
  lst->count = count;
  return 0;
}

void
address_list_set_name (struct address_list *lst, const char *text,
                       const char *name)
{
  for (uint32_t n = 0; n < lst->count; n++)
    if (strcmp (lst->items[n].text, text) == 0)
      memcpy (lst->items[n].name, name, strlen (name) + 1);
}

void
address_list_schedule_redial (struct address_list *lst, uint32_t index,
                              int64_t now_us)
{
  struct address *adr = &lst->items[index];
  int64_t wait = lst->backoff_min_us;
  for (uint32_t n = 0; n < adr->failures && wait < lst->backoff_max_us; n++)
    wait *= 2;
  if (wait > lst->backoff_max_us)
    wait = lst->backoff_max_us;
  adr->failures++;
  adr->dial_at_us = now_us + wait / 2
                    + (int64_t)((double)wait * erand48 (lst->jitter_state));
}
