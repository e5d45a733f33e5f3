#pragma once

#include <stdbool.h>
#include <stdint.h>

/* Parser of the scenario language: each line is a step, which is matched
   against the patterns of the known steps.  */

struct scenario;
struct step;

/* A pattern consists of words, alternatives "(one|other)", optional groups in
   square brackets, and arguments <name:type>; "?" makes the character or the
   parentheses before it optional.  The types are number, time (stored in ms),
   who (an entry process, a data centre or "all"), word, and rest (the rest of
   the line).  */
struct step_def
{
  const char *pattern;
  void (*run) (struct scenario *sc, const struct step *st);
};

struct step
{
  const struct step_def *def;
  const char *text;
  int64_t delay_ms; /* pause before the step, from "after TIME" */
  struct
  {
    char name[16];
    const char *value;
  } args[12];
  int arg_count;
};

struct script
{
  struct step *steps; /* talloc child of the parent given to script_read */
  int count;
  const char *error; /* why the file cannot be used, or NULL */
};

/* Parses the file PATH by the patterns of DEFS, which end with a NULL pattern.
   Sets SP->error when that fails.  */
void script_read (void *parent, const char *path, const struct step_def *defs,
                  struct script *sp);

/* Return the value of the argument NAME.  When its optional group was absent
   from the line, or the step has no such argument, step_text returns NULL and
   step_number returns DEFAULT_VALUE.  */
const char *step_text (const struct step *st, const char *name);
int64_t step_number (const struct step *st, const char *name,
                     int64_t default_value);
