#pragma once

#include <stdint.h>
#include <stdio.h>

/* Reads settings from flags and environment variables as a table of options
   defines them.  Each option is a flag --NAME and a variable
   KINGCUPHOLLOW_NAME.  The flag takes precedence over the variable, and the
   variable over the default.  */

enum option_type
{
  OPTION_STR,
  OPTION_INT,
  OPTION_MILLI, /* a decimal number, stored in thousandths */
  OPTION_BOOL,
  OPTION_ADDRESS, /* IP:PORT, port 0 to 65535 */
  OPTION_CHOICE,
};

struct option_def
{
  const char *name;
  enum option_type type;
  size_t offset; /* of a char * or int64_t in the settings struct */
  int64_t min;   /* of the value; for OPTION_STR of its length in bytes */
  int64_t max;
  const char *const *choices; /* NULL-terminated, for OPTION_CHOICE */
  const char *unit;
  const char *default_value; /* NULL: the option is required */
  const char *help;
};

/* Parses ARGV (without program and command names) and the environment into
   SETTINGS, whose strings are owned by the talloc context PARENT.  DEFS ends
   with a NULL name.  Writes one line for each error to ERRORS with the
   option's name, the given value, the allowed values and the unit.
   Returns 0, 1 when --help was printed to OUT, or ERR_INVALID.  */
int options_parse (void *parent, const char *command,
                   const struct option_def *defs, int argc, char **argv,
                   void *settings, FILE *out, FILE *errors);

/* Writes the reference of the options to OUT as a Markdown table.  */
void options_print_reference (const char *command,
                              const struct option_def *defs, FILE *out);

/* Splits "IP:PORT" or "[IPV6]:PORT" into HOST (at least 64 bytes) and PORT.
   Returns 0 or ERR_INVALID.  */
int address_parse (const char *text, char host[64], uint16_t *port);
