#include "cli/table_wait.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "base/clock.h"
#include "cli/table_print.h"

#define POLL_INTERVAL_MS 100
/* Timeout of one status request, so that a process that hangs does not delay
   the next poll of the others.  */
#define STATUS_TIMEOUT_MS 3000

static bool
has_folded (const struct operator_reply *reply, uint64_t next_offset)
{
  const json_t *val = json_object_get (reply->root, "folded_offset");
  return json_is_integer (val) && json_integer_value (val) >= 0
         && (uint64_t)json_integer_value (val) >= next_offset;
}

static const char *
entry_name (const struct operator_reply *reply)
{
  const char *name = json_string_value (json_object_get (reply->root, "name"));
  return name ? name : "?";
}

static void
print_text (const struct operator_reply *replies, size_t count, size_t folded,
            uint64_t next_offset, int64_t timeout_ms)
{
  if (folded == count)
    {
      printf ("folded by all %zu entry processes, up to offset %" PRIu64 "\n",
              count, next_offset - 1);
      return;
    }
  fflush (stdout);
  fprintf (stderr,
           "accepted, but %zu of %zu entry processes have not folded offset "
           "%" PRIu64 " after %" PRId64 " ms:\n",
           count - folded, count, next_offset - 1, timeout_ms);
  for (size_t n = 0; n < count; n++)
    if (!replies[n].root)
      fprintf (stderr, "- %s: %s\n", replies[n].address, replies[n].error);
    else if (!has_folded (&replies[n], next_offset))
      fprintf (stderr, "- %s (%s): folded up to offset %" PRId64 "\n",
               entry_name (&replies[n]), replies[n].address,
               (int64_t)json_integer_value (
                   json_object_get (replies[n].root, "folded_offset"))
                   - 1);
}

static void
print_json (const struct operator_reply *replies, size_t count,
            uint64_t next_offset)
{
  json_t *list = json_array ();
  for (size_t n = 0; n < count; n++)
    json_array_append_new (
        list,
        json_pack ("{s:s, s:s?, s:b, s:s?}", "address", replies[n].address,
                   "name", replies[n].root ? entry_name (&replies[n]) : NULL,
                   "folded", has_folded (&replies[n], next_offset), "error",
                   replies[n].root ? NULL : replies[n].error));
  json_t *root = json_pack ("{s:I, s:o}", "waited_for_offset",
                            (json_int_t)(next_offset - 1), "entries", list);
  json_dumpf (root, stdout, JSON_COMPACT);
  putchar ('\n');
  json_decref (root);
}

int
table_wait (const struct operators *ops, uint64_t next_offset,
            int64_t timeout_ms, bool json)
{
  const struct timespec pause = { .tv_nsec = POLL_INTERVAL_MS * 1000000L };
  struct operator_reply replies[OPERATORS_MAX];
  int64_t end_us = clock_now_us (&clock_system) + timeout_ms * 1000;

  for (;;)
    {
      size_t folded = 0;
      int64_t remaining_ms = (end_us - clock_now_us (&clock_system)) / 1000;
      if (remaining_ms < 1)
        remaining_ms = 1;
      if (operators_get (ops, "/v1/status",
                         remaining_ms < STATUS_TIMEOUT_MS ? remaining_ms
                                                          : STATUS_TIMEOUT_MS,
                         replies)
          < 0)
        {
          fputs (
              "accepted, but out of memory while asking the entry processes\n",
              stderr);
          return TABLE_EXIT_NOT_FOLDED;
        }
      for (size_t n = 0; n < ops->count; n++)
        folded += has_folded (&replies[n], next_offset);
      bool finished = folded == ops->count
                      || clock_now_us (&clock_system) + POLL_INTERVAL_MS * 1000
                             >= end_us;
      if (finished && json)
        print_json (replies, ops->count, next_offset);
      else if (finished)
        print_text (replies, ops->count, folded, next_offset, timeout_ms);
      operators_free (ops, replies);
      if (finished)
        return folded == ops->count ? 0 : TABLE_EXIT_NOT_FOLDED;
      nanosleep (&pause, NULL);
    }
}
