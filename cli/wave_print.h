#pragma once

#include "cli/wave_session.h"

/* Output of `kingcuphollow wave` as text or JSON.  */

struct wave_fault
{
  const char *type; /* stable name such as "unknown_host" */
  const char *value;
  const char *text;
};

struct wave_faults
{
  void *ctx;
  struct wave_fault *items;
  size_t count;
};

/* Adds a fault with a copy of VALUE; TYPE and TEXT are not copied.  When out
   of memory, prints a message instead.  */
void wave_fault_add (struct wave_faults *faults, const char *type,
                     const char *value, const char *text);
void wave_print_faults (const struct wave_faults *faults, bool json);

/* Prints one line or JSON object for each wave.  */
void wave_print_list (struct wave_session *ses);

/* Prints WV with the planners of the data centres and the step of each
   host.  */
void wave_print_detail (struct wave_session *ses, const struct wave *wv);

/* Prints the outcome of a change of the wave ID and returns the exit code.
   EFFECT is ignored unless ERR is 0.  */
int wave_print_edit (struct wave_session *ses, const char *id, int err,
                     enum wave_effect effect);
