#include "test/scenario/script.h"

#include <errno.h>
#include <regex.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define MAX_GROUPS 40

static const struct
{
  const char *name;
  const char *regex;
  int groups; /* in the regex; the value is the one after SKIPPED */
  int skipped;
} types[] = {
  { "number", "([0-9]+)", 1, 0 },
  { "time", "([0-9]+ (s|ms))", 2, 0 },
  { "who", "(data centre |entry )?([a-z][0-9]?|all)", 2, 1 },
  { "word", "([^ ]+)", 1, 0 },
  { "rest", "(.+)", 1, 0 },
};

struct groups
{
  int of[12]; /* by argument */
  bool is_time[12];
};

/* Turns PATTERN into a regular expression and notes which group holds which
   argument.  */
static char *
make_regex (const char *pattern, struct step *st, struct groups *gr)
{
  char *regex = talloc_strdup (NULL, "^");
  int groups = 0;
  int end;
  char name[16];
  char type[16];
  st->arg_count = 0;
  for (const char *p = pattern; *p; p++)
    if (sscanf (p, "<%15[^:]:%15[^>]>%n", name, type, &end) == 2)
      {
        int t = 0;
        while (strcmp (types[t].name, type) != 0)
          t++;
        memcpy (st->args[st->arg_count].name, name, sizeof name);
        gr->is_time[st->arg_count] = strcmp (type, "time") == 0;
        gr->of[st->arg_count++] = groups + 1 + types[t].skipped;
        groups += types[t].groups;
        regex = talloc_strdup_append (regex, types[t].regex);
        p += end - 1;
      }
    else if (strncmp (p, " [", 2) == 0)
      {
        regex = talloc_strdup_append (regex, "( ");
        groups++;
        p++;
      }
    else if (*p == ']')
      regex = talloc_strdup_append (regex, ")?");
    else if (*p == '(')
      {
        regex = talloc_strdup_append (regex, "(");
        groups++;
      }
    else
      regex = talloc_strndup_append (regex, p, 1);
  return talloc_strdup_append (regex, "$");
}

static int64_t
time_ms (const char *text)
{
  return atoll (text) * (strstr (text, "ms") ? 1 : 1000);
}

static bool
match (struct step *st, const char *line, const char *pattern, void *parent)
{
  regmatch_t found[MAX_GROUPS];
  struct groups gr;
  regex_t re;
  char *regex = make_regex (pattern, st, &gr);
  bool ok = regcomp (&re, regex, REG_EXTENDED) == 0
            && regexec (&re, line, MAX_GROUPS, found, 0) == 0;
  for (int n = 0; ok && n < st->arg_count; n++)
    {
      const regmatch_t *at = &found[gr.of[n]];
      char *value = at->rm_so < 0 ? NULL
                                  : talloc_strndup (parent, line + at->rm_so,
                                                    at->rm_eo - at->rm_so);
      if (value && gr.is_time[n])
        value = talloc_asprintf (parent, "%lld", (long long)time_ms (value));
      st->args[n].value = value;
    }
  regfree (&re);
  talloc_free (regex);
  return ok;
}

/* Takes a closing "after TIME" off the line; "after" within an expectation
   belongs to its own pattern.  */
static int64_t
take_after (char *line)
{
  char *after = NULL;
  for (char *p = line; (p = strstr (p, " after ")); p++)
    after = p;
  int64_t num;
  char unit[4];
  int end = 0;
  if (!after || strncmp (line, "expect ", 7) == 0
      || sscanf (after, " after %ld %3s%n", &num, unit, &end) != 2
      || after[end] != '\0')
    return 0;
  *after = '\0';
  return time_ms (after + strlen (" after "));
}

static bool
parse_step (struct step *st, char *line, const struct step_def *defs,
            void *parent)
{
  st->text = talloc_strdup (parent, line);
  st->after_ms = take_after (line);
  for (st->def = defs; st->def->pattern; st->def++)
    if (match (st, line, st->def->pattern, parent))
      return true;
  return false;
}

void
script_read (void *parent, const char *path, const struct step_def *defs,
             struct script *sp)
{
  FILE *file = fopen (path, "r");
  char line[512];
  bool expecting = false;
  *sp = (struct script){ 0 };
  if (!file)
    sp->error = talloc_asprintf (parent, "%s: %s", path, strerror (errno));
  for (int at = 1; !sp->error && fgets (line, sizeof line, file); at++)
    {
      line[strcspn (line, "\n")] = '\0';
      if (*line == '#' || line[strspn (line, " ")] == '\0')
        continue;
      bool was_expecting = expecting;
      expecting = strncmp (line, "expect ", 7) == 0;
      sp->steps
          = talloc_realloc (parent, sp->steps, struct step, sp->count + 1);
      struct step *st = &sp->steps[sp->count++];
      memset (st, 0, sizeof *st);
      if (!parse_step (st, line, defs, parent))
        sp->error = talloc_asprintf (parent, "%s:%d: no such step: %s", path,
                                     at, st->text);
      else if (was_expecting && !expecting)
        sp->error = talloc_asprintf (parent, "%s:%d: expectations come last",
                                     path, at);
    }
  if (file)
    fclose (file);
  if (!sp->error && !expecting)
    sp->error = talloc_asprintf (parent, "%s: expects nothing", path);
}

const char *
step_text (const struct step *st, const char *name)
{
  for (int n = 0; n < st->arg_count; n++)
    if (strcmp (st->args[n].name, name) == 0)
      return st->args[n].value;
  return NULL;
}

int64_t
step_number (const struct step *st, const char *name, int64_t def)
{
  const char *text = step_text (st, name);
  return text ? atoll (text) : def;
}
