#pragma once

#include <stdbool.h>
#include <stdint.h>

/* The scenario language: one step a line, matched against patterns.  */

struct scenario;
struct step;

/* PATTERN: words, "one|other" alternatives, optional groups in brackets, and
   arguments <name:type> of the types number, time (kept in ms), who (an entry
   process, a data centre or "all"), word, rest (of the line).  */
struct step_def
{
  const char *pattern;
  void (*run) (struct scenario *sc, const struct step *st);
};

struct step
{
  const struct step_def *def;
  const char *text;
  int64_t after_ms; /* pause before the step */
  struct
  {
    char name[16];
    const char *value;
  } args[12];
  int arg_count;
};

struct script
{
  struct step *steps; /* talloc children of the parent given */
  int count;
  const char *error; /* NULL, or what is wrong with the file */
};

/* Reads the file PATH by the patterns of DEFS, which end with a NULL pattern.
   What is wrong with it is in the script's error.  */
void script_read (void *parent, const char *path, const struct step_def *defs,
                  struct script *sp);

/* The argument's text, or NULL when the optional group was absent.  */
const char *step_text (const struct step *st, const char *name);
int64_t step_number (const struct step *st, const char *name, int64_t def);
