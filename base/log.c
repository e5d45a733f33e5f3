#include "base/log.h"

#include <inttypes.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>
#include <unistd.h>

#include "base/clock.h"

#define LINE_MAX_BYTES 1024
#define RING_LINES 4096
/* Delay before the first line of a batch is written, so that lines logged
   meanwhile share the write: on a small machine waking the writer thread costs
   more than writing a line.  */
#define WRITE_DELAY_US 50000
/* Writes of up to this size (PIPE_BUF) to a pipe are atomic, so that the lines
   of several processes are not interleaved.  */
#define WRITE_MAX_BYTES 4096

struct logger
{
  const struct clock *clk;
  int fd;
  enum log_level min_level;
  pthread_t thread;
  char *write_buf; /* used by the writer thread only */

  pthread_mutex_t lock;
  pthread_cond_t wake;
  /* The fields below are protected by lock.  */
  char (*lines)[LINE_MAX_BYTES];
  unsigned int head;
  unsigned int count;
  uint64_t dropped;
  uint64_t dropped_reported;
  bool stop;
};

struct event_info
{
  int num;
  const char *name;
  enum log_level level;
  const char *meaning;
};

#define DEBUG LOG_LEVEL_DEBUG
#define INFO LOG_LEVEL_INFO
#define WARN LOG_LEVEL_WARN
#define ERROR LOG_LEVEL_ERROR
static const struct event_info events[] = {
#define EVENT(num, sym, name, level, meaning) { num, name, level, meaning },
#include "base/events.def"
#undef EVENT
};
#undef DEBUG
#undef INFO
#undef WARN
#undef ERROR

static const char *const level_names[] = { "debug", "info", "warn", "error" };

static const struct event_info *
event_find (int num)
{
  for (size_t n = 0; n < sizeof events / sizeof *events; n++)
    if (events[n].num == num)
      return &events[n];
  return NULL;
}

/* Appends as much of TEXT as fits, so that a long value truncates the line
   instead of overflowing it.  */
static size_t
append_text (char *line, size_t len, const char *text)
{
  while (*text && len < LINE_MAX_BYTES - 2)
    line[len++] = *text++;
  return len;
}

/* Appends VAL, quoted and escaped if necessary, because values such as request
   ids come from callers and must not be able to forge a line or a field.  */
static size_t
append_value (char *line, size_t len, const char *val)
{
  bool plain = *val != '\0';
  for (const char *p = val; *p; p++)
    if (*p <= ' ' || *p == '"' || *p == '\\' || *p == '=' || *p > '~')
      plain = false;
  if (plain)
    return append_text (line, len, val);

  len = append_text (line, len, "\"");
  for (const char *p = val; *p; p++)
    {
      char buf[8];
      if (*p == '"' || *p == '\\')
        snprintf (buf, sizeof buf, "\\%c", *p);
      else if (*p < ' ' || *p > '~')
        snprintf (buf, sizeof buf, "\\x%02x", (unsigned char)*p);
      else
        snprintf (buf, sizeof buf, "%c", *p);
      len = append_text (line, len, buf);
    }
  return append_text (line, len, "\"");
}

static size_t
format_line (struct logger *lg, char *line, const struct event_info *info,
             const struct log_field *fields)
{
  struct timespec ts = clock_wall (lg->clk);
  struct tm tm;
  char buf[64];

  gmtime_r (&ts.tv_sec, &tm);
  size_t n = strftime (buf, sizeof buf, "%Y-%m-%dT%H:%M:%S", &tm);
  snprintf (buf + n, sizeof buf - n, ".%03ldZ", ts.tv_nsec / 1000000);

  size_t len = append_text (line, 0, "time=");
  len = append_text (line, len, buf);
  snprintf (buf, sizeof buf, " event=%d name=", info->num);
  len = append_text (line, len, buf);
  len = append_text (line, len, info->name);
  len = append_text (line, len, " level=");
  len = append_text (line, len, level_names[info->level]);
  for (; fields->type != LOG_FIELD_END; fields++)
    {
      len = append_text (line, len, " ");
      len = append_text (line, len, fields->key);
      len = append_text (line, len, "=");
      if (fields->type == LOG_FIELD_INT)
        {
          snprintf (buf, sizeof buf, "%" PRId64, fields->num);
          len = append_text (line, len, buf);
        }
      else
        len = append_value (line, len, fields->str ? fields->str : "");
    }
  line[len++] = '\n';
  return len;
}

static void
write_all (int fd, const char *buf, size_t len)
{
  while (len > 0)
    {
      ssize_t n = write (fd, buf, len);
      if (n <= 0)
        return;
      buf += n;
      len -= n;
    }
}

static void
report_dropped (struct logger *lg, uint64_t dropped)
{
  char line[LINE_MAX_BYTES];
  const struct log_field fields[]
      = { LOG_I ("lines", dropped), { .type = LOG_FIELD_END } };
  size_t len = format_line (lg, line, event_find (EV_LOG_DROPPED), fields);
  write_all (lg->fd, line, len);
}

/* Moves lines from the ring to BUF, up to WRITE_MAX_BYTES, and returns their
   total length.  Called with the lock held.  */
static size_t
dequeue_lines (struct logger *lg, char *buf)
{
  size_t len = 0;
  while (lg->count > 0 && len + LINE_MAX_BYTES <= WRITE_MAX_BYTES)
    {
      size_t line_len = strnlen (lg->lines[lg->head], LINE_MAX_BYTES);
      memcpy (buf + len, lg->lines[lg->head], line_len);
      len += line_len;
      lg->head = (lg->head + 1) % RING_LINES;
      lg->count--;
    }
  return len;
}

/* Waits until the ring holds a line, and then WRITE_DELAY_US for further ones.
   Called with the lock held, which is released while waiting.  */
static void
wait_for_lines (struct logger *lg)
{
  if (lg->count == 0 && !lg->stop)
    {
      pthread_cond_wait (&lg->wake, &lg->lock);
      if (!lg->stop)
        {
          pthread_mutex_unlock (&lg->lock);
          usleep (WRITE_DELAY_US);
          pthread_mutex_lock (&lg->lock);
        }
    }
}

static void *
writer_main (void *arg)
{
  struct logger *lg = arg;

  pthread_mutex_lock (&lg->lock);
  while (!lg->stop || lg->count > 0)
    {
      wait_for_lines (lg);
      size_t len = dequeue_lines (lg, lg->write_buf);
      uint64_t dropped = lg->dropped - lg->dropped_reported;
      bool report = dropped > 0 && lg->count == 0;
      if (report)
        lg->dropped_reported = lg->dropped;
      pthread_mutex_unlock (&lg->lock);
      write_all (lg->fd, lg->write_buf, len);
      if (report)
        report_dropped (lg, dropped);
      pthread_mutex_lock (&lg->lock);
    }
  pthread_mutex_unlock (&lg->lock);
  return NULL;
}

struct logger *
logger_create (void *parent, const struct clock *clk, int fd,
               enum log_level min_level)
{
  struct logger *lg = talloc_zero (parent, struct logger);
  if (!lg)
    return NULL;
  lg->lines = talloc_zero_size (lg, RING_LINES * LINE_MAX_BYTES);
  lg->write_buf = talloc_size (lg, WRITE_MAX_BYTES);
  if (!lg->lines || !lg->write_buf)
    goto fail;
  lg->clk = clk;
  lg->fd = fd;
  lg->min_level = min_level;
  pthread_mutex_init (&lg->lock, NULL);
  pthread_cond_init (&lg->wake, NULL);
  if (pthread_create (&lg->thread, NULL, writer_main, lg) != 0)
    goto fail;
  return lg;

fail:
  talloc_free (lg);
  return NULL;
}

void
logger_destroy (struct logger *lg)
{
  if (!lg)
    return;
  pthread_mutex_lock (&lg->lock);
  lg->stop = true;
  pthread_cond_signal (&lg->wake);
  pthread_mutex_unlock (&lg->lock);
  pthread_join (lg->thread, NULL);
  pthread_cond_destroy (&lg->wake);
  pthread_mutex_destroy (&lg->lock);
  talloc_free (lg);
}

uint64_t
logger_dropped (struct logger *lg)
{
  pthread_mutex_lock (&lg->lock);
  uint64_t dropped = lg->dropped;
  pthread_mutex_unlock (&lg->lock);
  return dropped;
}

void
log_fields (struct logger *lg, enum log_event_id ev,
            const struct log_field *fields)
{
  char line[LINE_MAX_BYTES];
  const struct event_info *info = event_find (ev);

  if (!lg || !info || info->level < lg->min_level)
    return;
  size_t len = format_line (lg, line, info, fields);

  pthread_mutex_lock (&lg->lock);
  if (lg->count == RING_LINES)
    lg->dropped++;
  else
    {
      char *slot = lg->lines[(lg->head + lg->count) % RING_LINES];
      memcpy (slot, line, len);
      if (len < LINE_MAX_BYTES)
        slot[len] = '\0';
      if (lg->count++ == 0)
        pthread_cond_signal (&lg->wake);
    }
  pthread_mutex_unlock (&lg->lock);
}

void
log_print_event_list (void)
{
  printf ("# Log events\n\nMade by `kingcuphollow events` from "
          "`base/events.def`.\n\n| number | name | level | meaning |\n"
          "|---|---|---|---|\n");
  for (size_t n = 0; n < sizeof events / sizeof *events; n++)
    printf ("| %d | `%s` | %s | %s |\n", events[n].num, events[n].name,
            level_names[events[n].level], events[n].meaning);
}
