#include "test/scenario/script.h"

#include <errno.h>
#include <regex.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define GROUPS_MAX 40

static const struct
{
  const char *name;
  const char *regex;
  int groups;  /* groups in the regex */
  int skipped; /* groups before the one that holds the value */
} arg_types[] = {
  { "number", "([0-9]+)", 1, 0 },
  { "time", "([0-9]+ (s|ms))", 2, 0 },
  { "who", "(data centre |entry )?([a-z][0-9]?|all)", 2, 1 },
  { "word", "([^ ]+)", 1, 0 },
  { "rest", "(.+)", 1, 0 },
};

struct arg_groups
{
  int index[12]; /* group that holds the argument, by argument */
  bool is_time[12];
};

/* Converts PATTERN to a regular expression.  Sets the names of ST's arguments,
   and in GR the group of each.  */
static char *
make_regex (const char *pattern, struct step *st, struct arg_groups *gr)
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
        while (strcmp (arg_types[t].name, type) != 0)
          t++;
        memcpy (st->args[st->arg_count].name, name, sizeof name);
        gr->is_time[st->arg_count] = strcmp (type, "time") == 0;
        gr->index[st->arg_count++] = groups + 1 + arg_types[t].skipped;
        groups += arg_types[t].groups;
        regex = talloc_strdup_append (regex, arg_types[t].regex);
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
match_step (struct step *st, const char *line, const char *pattern,
            void *parent)
{
  regmatch_t found[GROUPS_MAX];
  struct arg_groups gr;
  regex_t re;
  char *regex = make_regex (pattern, st, &gr);
  bool ok = regcomp (&re, regex, REG_EXTENDED) == 0
            && regexec (&re, line, GROUPS_MAX, found, 0) == 0;
  for (int n = 0; ok && n < st->arg_count; n++)
    {
      const regmatch_t *at = &found[gr.index[n]];
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

/* Removes "after TIME" from the end of LINE and returns the time in ms; 0 when
   there is none.  Leaves "expect" lines alone, whose "after" is part of their
   pattern.  */
static int64_t
strip_delay (char *line)
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
  st->delay_ms = strip_delay (line);
  for (st->def = defs; st->def->pattern; st->def++)
    if (match_step (st, line, st->def->pattern, parent))
      return true;
  return false;
}

void
script_read (void *parent, const char *path, const struct step_def *defs,
             struct script *sp)
{
  FILE *file = fopen (path, "r");
  char line[512];
  bool is_expect = false;
  *sp = (struct script){ 0 };
  if (!file)
    sp->error = talloc_asprintf (parent, "%s: %s", path, strerror (errno));
  for (int line_number = 1; !sp->error && fgets (line, sizeof line, file);
       line_number++)
    {
      line[strcspn (line, "\n")] = '\0';
      if (*line == '#' || line[strspn (line, " ")] == '\0')
        continue;
      bool was_expect = is_expect;
      is_expect = strncmp (line, "expect ", 7) == 0;
      sp->steps
          = talloc_realloc (parent, sp->steps, struct step, sp->count + 1);
      struct step *st = &sp->steps[sp->count++];
      memset (st, 0, sizeof *st);
      if (!parse_step (st, line, defs, parent))
        sp->error
            = talloc_asprintf (parent, "%s:%d: matches no known step: %s",
                               path, line_number, st->text);
      else if (was_expect && !is_expect)
        sp->error = talloc_asprintf (
            parent,
            "%s:%d: step after an \"expect\" line; these must come last", path,
            line_number);
    }
  if (file)
    fclose (file);
  if (!sp->error && !is_expect)
    sp->error = talloc_asprintf (
        parent, "%s: the file must end with an \"expect\" line", path);
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
step_number (const struct step *st, const char *name, int64_t default_value)
{
  const char *text = step_text (st, name);
  return text ? atoll (text) : default_value;
}
