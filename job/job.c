#include "job/job.h"

#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <xxhash.h>

static int
hex_digit (char chr)
{
  if (chr >= '0' && chr <= '9')
    return chr - '0';
  if (chr >= 'a' && chr <= 'f')
    return chr - 'a' + 10;
  if (chr >= 'A' && chr <= 'F')
    return chr - 'A' + 10;
  return -1;
}

bool
job_id_parse (const char *text, size_t len, uint64_t *id)
{
  uint64_t num = 0;
  if (len != JOB_ID_CHARS)
    return false;
  for (size_t n = 0; n < len; n++)
    {
      int digit = hex_digit (text[n]);
      if (digit < 0)
        return false;
      num = num << 4 | (uint64_t)digit;
    }
  *id = num;
  return true;
}

void
job_id_format (uint64_t id, char text[JOB_ID_CHARS + 1])
{
  static const char digits[] = "0123456789abcdef";
  for (int n = JOB_ID_CHARS - 1; n >= 0; n--, id >>= 4)
    text[n] = digits[id & 15];
  text[JOB_ID_CHARS] = '\0';
}

/* Parses "." and a decimal number at *POS, and moves *POS past them.  */
static bool
parse_component (const char **pos, uint32_t *num)
{
  char *end;
  if (**pos != '.' || (*pos)[1] < '0' || (*pos)[1] > '9')
    return false;
  unsigned long val = strtoul (*pos + 1, &end, 10);
  if (val > UINT32_MAX)
    return false;
  *num = (uint32_t)val;
  *pos = end;
  return true;
}

bool
task_ref_parse (const char *text, struct task_ref *ref)
{
  size_t len = strcspn (text, ".");
  if (!job_id_parse (text, len, &ref->job))
    return false;
  const char *pos = text + len;
  return parse_component (&pos, &ref->occurrence)
         && parse_component (&pos, &ref->step)
         && parse_component (&pos, &ref->index) && !*pos;
}

/* Writes "." and NUM in decimal at POS; returns the position after them.  */
static char *
append_component (char *pos, uint32_t num)
{
  char digits[10];
  int count = 0;
  do
    digits[count++] = (char)('0' + num % 10);
  while ((num /= 10));
  *pos++ = '.';
  while (count > 0)
    *pos++ = digits[--count];
  return pos;
}

void
task_ref_format (const struct task_ref *ref, char text[TASK_NAME_MAX])
{
  job_id_format (ref->job, text);
  char *pos = text + JOB_ID_CHARS;
  pos = append_component (pos, ref->occurrence);
  pos = append_component (pos, ref->step);
  pos = append_component (pos, ref->index);
  *pos = '\0';
}

uint64_t
job_failure_key (const char *worker, int64_t born_ms, uint32_t run)
{
  XXH64_hash_t seed = XXH64 (&born_ms, sizeof born_ms, run);
  return XXH64 (worker, strlen (worker), seed);
}

bool
job_add_failure (struct job *job, uint32_t occurrence, uint32_t task,
                 uint64_t key, bool logged)
{
  for (size_t n = 0; n < job->failed_run_count; n++)
    {
      struct failed_run *row = &job->failed_runs[n];
      if (row->occurrence != occurrence || row->task != task
          || row->key != key)
        continue;
      row->logged = row->logged || logged;
      return false;
    }
  struct failed_run *rows = talloc_realloc (
      job, job->failed_runs, struct failed_run, job->failed_run_count + 1);
  if (!rows)
    return false;
  job->failed_runs = rows;
  rows[job->failed_run_count++] = (struct failed_run){
    .occurrence = occurrence, .task = task, .key = key, .logged = logged
  };
  job->occurrences[occurrence].tasks[task].failures++;
  return true;
}

struct task *
job_task (struct job *job, const struct task_ref *ref)
{
  if (ref->occurrence >= job->occurrence_count
      || ref->step >= job->spec.step_count
      || ref->index >= job->spec.steps[ref->step].count)
    return NULL;
  return &job->occurrences[ref->occurrence]
              .tasks[job->spec.steps[ref->step].first_task + ref->index];
}
