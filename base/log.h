#pragma once

#include <stdint.h>

/* Structured logging of numbered events, one line of key=value fields each.
   Lines pass through a bounded ring to the logger's own thread, so that a slow
   disk or pipe never blocks the caller.  Lines that do not fit into the ring
   are dropped, counted and reported by the event log.dropped.  */

enum log_level
{
  LOG_LEVEL_DEBUG,
  LOG_LEVEL_INFO,
  LOG_LEVEL_WARN,
  LOG_LEVEL_ERROR,
};

enum log_event_id
{
#define EVENT(num, sym, name, level, meaning) sym = num,
#include "base/events.def"
#undef EVENT
};

enum log_field_type
{
  LOG_FIELD_END,
  LOG_FIELD_STR,
  LOG_FIELD_INT,
};

struct log_field
{
  enum log_field_type type;
  const char *key;
  const char *str;
  int64_t num;
};

#define LOG_S(k, v)                                                           \
  {                                                                           \
    .type = LOG_FIELD_STR, .key = (k), .str = (v)                             \
  }
#define LOG_I(k, v)                                                           \
  {                                                                           \
    .type = LOG_FIELD_INT, .key = (k), .num = (int64_t)(v)                    \
  }

struct logger;
struct clock;

/* Creates a logger that writes to FD and starts its thread.  Returns NULL
   when memory is exhausted or the thread cannot be started.  PARENT is a
   talloc context.  */
struct logger *logger_create (void *parent, const struct clock *clk, int fd,
                              enum log_level min_level);

/* Writes the lines left in the ring, stops the thread and frees LG, which may
   be NULL.  */
void logger_destroy (struct logger *lg);

/* Number of lines dropped since the logger was created.  */
uint64_t logger_dropped (struct logger *lg);

void log_fields (struct logger *lg, enum log_event_id ev,
                 const struct log_field *fields);

/* Logs an event with fields, for example
   log_event (lg, EV_X, LOG_S ("request", id), LOG_I ("attempt", n));
   With a NULL logger nothing is logged.  Safe from any thread.  */
#define log_event(lg, ev, ...)                                                \
  log_fields (                                                                \
      (lg), (ev),                                                             \
      (const struct log_field[]){ __VA_ARGS__, { .type = LOG_FIELD_END } })

/* Writes the list of events to stdout as a Markdown table.  */
void log_print_event_list (void);
