#include "base/option.h"

#include <argtable2.h>
#include <arpa/inet.h>
#include <ctype.h>
#include <errno.h>
#include <inttypes.h>
#include <math.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base/err.h"

#define ENV_PREFIX "KINGCUPHOLLOW_"

int
address_parse (const char *text, char host[64], uint16_t *port)
{
  const char *colon = strrchr (text, ':');
  if (!colon)
    return ERR_INVALID;
  const char *start = text;
  size_t len = colon - text;
  if (len >= 2 && text[0] == '[' && text[len - 1] == ']')
    {
      start++;
      len -= 2;
    }
  if (len == 0 || len >= 64)
    return ERR_INVALID;
  memcpy (host, start, len);
  host[len] = '\0';

  unsigned char addr[sizeof (struct in6_addr)];
  if (inet_pton (AF_INET, host, addr) != 1
      && inet_pton (AF_INET6, host, addr) != 1)
    return ERR_INVALID;

  char *end;
  errno = 0;
  long val = strtol (colon + 1, &end, 10);
  if (!isdigit ((unsigned char)colon[1]) || *end || errno || val > 65535)
    return ERR_INVALID;
  *port = (uint16_t)val;
  return 0;
}

static char *
env_name (void *parent, const char *name)
{
  char *env = talloc_asprintf (parent, ENV_PREFIX "%s", name);
  for (char *p = env; env && *p; p++)
    *p = *p == '-' ? '_' : (char)toupper ((unsigned char)*p);
  return env;
}

static void
print_allowed (const struct option_def *def, FILE *out)
{
  switch (def->type)
    {
    case OPTION_INT:
      fprintf (out, "%" PRId64 " to %" PRId64 "%s%s", def->min, def->max,
               def->unit ? " " : "", def->unit ? def->unit : "");
      break;
    case OPTION_MILLI:
      fprintf (out, "%.3f to %.3f%s%s", (double)def->min / 1000,
               (double)def->max / 1000, def->unit ? " " : "",
               def->unit ? def->unit : "");
      break;
    case OPTION_BOOL:
      fputs ("yes or no", out);
      break;
    case OPTION_ADDRESS:
      fputs ("IP:PORT", out);
      break;
    case OPTION_CHOICE:
      for (const char *const *c = def->choices; *c; c++)
        fprintf (out, "%s%s", c == def->choices ? "" : "|", *c);
      break;
    case OPTION_STR:
      fprintf (out, "text of %" PRId64 " to %" PRId64 " bytes", def->min,
               def->max);
      break;
    }
}

static bool
milli_parse (const char *val, int64_t *num)
{
  char *end;
  double dbl = strtod (val, &end);
  if (!*val || *end || !(dbl >= 0 && dbl <= 1e12))
    return false;
  *num = llround (dbl * 1000);
  return true;
}

static bool
value_valid (const struct option_def *def, const char *val, int64_t *num)
{
  char host[64];
  uint16_t port;
  char *end;

  switch (def->type)
    {
    case OPTION_INT:
      errno = 0;
      *num = strtoll (val, &end, 10);
      return *val && !*end && !errno && *num >= def->min && *num <= def->max;
    case OPTION_MILLI:
      return milli_parse (val, num) && *num >= def->min && *num <= def->max;
    case OPTION_BOOL:
      *num = strcmp (val, "yes") == 0;
      return *num || strcmp (val, "no") == 0;
    case OPTION_ADDRESS:
      return *val == '\0' ? def->default_value && *def->default_value == '\0'
                          : address_parse (val, host, &port) == 0;
    case OPTION_CHOICE:
      for (const char *const *c = def->choices; *c; c++)
        if (strcmp (val, *c) == 0)
          return true;
      return false;
    case OPTION_STR:
      return (int64_t)strlen (val) >= def->min
             && (int64_t)strlen (val) <= def->max;
    }
  return false;
}

static int
value_store (void *parent, const struct option_def *def, const char *val,
             const char *source, void *settings, FILE *errors)
{
  int64_t num = 0;

  if (!value_valid (def, val, &num))
    {
      fprintf (errors, "%s: \"%s\" given by %s, allowed: ", def->name, val,
               source);
      print_allowed (def, errors);
      fputc ('\n', errors);
      return ERR_INVALID;
    }
  char *field = (char *)settings + def->offset;
  if (def->type != OPTION_STR && def->type != OPTION_ADDRESS
      && def->type != OPTION_CHOICE)
    memcpy (field, &num, sizeof num);
  else
    {
      char *copy = talloc_strdup (parent, val);
      if (!copy)
        return ERR_NOMEM;
      memcpy (field, &copy, sizeof copy);
    }
  return 0;
}

static void
print_help (const char *command, const struct option_def *defs, FILE *out)
{
  fprintf (out,
           "Usage: kingcuphollow %s [--OPTION=VALUE]...\n\n"
           "Each option may also be given as " ENV_PREFIX "OPTION.\n\n",
           command);
  for (const struct option_def *def = defs; def->name; def++)
    {
      fprintf (out, "  --%s=", def->name);
      print_allowed (def, out);
      fprintf (out, "\n      %s (%s%s)\n", def->help,
               def->default_value ? "default: " : "required",
               def->default_value ? def->default_value : "");
    }
}

/* Stores the value of DEF: from the flag, else from the environment variable,
   else the default.  */
static int
option_resolve (void *parent, const struct option_def *def,
                const struct arg_str *arg, void *settings, FILE *errors)
{
  char *env = env_name (parent, def->name);
  if (!env)
    return ERR_NOMEM;
  const char *val = getenv (env);
  if (arg->count > 0)
    return value_store (parent, def, arg->sval[0], "flag", settings, errors);
  if (val)
    return value_store (parent, def, val, env, settings, errors);
  if (def->default_value)
    return value_store (parent, def, def->default_value, "default", settings,
                        errors);
  fprintf (errors, "%s: required, give --%s or %s, allowed: ", def->name,
           def->name, env);
  print_allowed (def, errors);
  fputc ('\n', errors);
  return ERR_INVALID;
}

int
options_parse (void *parent, const char *command,
               const struct option_def *defs, int argc, char **argv,
               void *settings, FILE *out, FILE *errors)
{
  int err = 0;
  size_t count = 0;

  while (defs[count].name)
    count++;

  /* argtable expects the program name as the first argument.  */
  char **args = talloc_zero_array (parent, char *, argc + 2);
  void **table = talloc_zero_array (parent, void *, count + 2);
  if (!args || !table)
    return ERR_NOMEM;
  args[0] = (char *)command;
  memcpy (args + 1, argv, argc * sizeof *argv);

  struct arg_end *end = arg_end (20);
  for (size_t n = 0; n < count; n++)
    table[n] = arg_str0 (NULL, defs[n].name, NULL, defs[n].help);
  /* Looks for --help before arg_parse, which would report other errors
     first.  */
  for (int n = 0; n < argc; n++)
    if (strcmp (argv[n], "--help") == 0 || strcmp (argv[n], "-h") == 0)
      {
        print_help (command, defs, out);
        err = 1;
        goto done;
      }
  table[count] = end;
  if (arg_nullcheck (table) != 0)
    {
      err = ERR_NOMEM;
      goto done;
    }
  if (arg_parse (argc + 1, args, table) > 0)
    {
      arg_print_errors (errors, end, command);
      err = ERR_INVALID;
    }
  for (size_t n = 0; n < count; n++)
    {
      int e = option_resolve (parent, &defs[n], table[n], settings, errors);
      err = e ? e : err;
    }

done:
  if (!table[count])
    free (end);
  for (size_t n = 0; n <= count; n++)
    free (table[n]);
  talloc_free (table);
  talloc_free (args);
  return err;
}

void
options_print_reference (const char *command, const struct option_def *defs,
                         FILE *out)
{
  fprintf (out,
           "## %s\n\n| flag | environment | allowed | default | meaning |\n"
           "|---|---|---|---|---|\n",
           command);
  for (const struct option_def *def = defs; def->name; def++)
    {
      char *env = env_name (NULL, def->name);
      fprintf (out, "| `--%s` | `%s` | ", def->name, env ? env : "");
      print_allowed (def, out);
      fprintf (out, " | %s | %s |\n",
               def->default_value ? def->default_value : "required",
               def->help);
      talloc_free (env);
    }
}
