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

/* Adds a fault with a copy of VALUE; without memory it is left out of the
   list and counted.  */
void wave_fault_add (struct wave_faults *faults, const char *type,
                     const char *value, const char *text);
void print_wave_faults (const struct wave_faults *faults, bool json);

void print_waves (struct wave_session *ses);
void print_wave (struct wave_session *ses, const struct wave *wv);

/* Prints how the change of wave ID ended, and returns the exit code.  */
int print_wave_end (struct wave_session *ses, const char *id, int err,
                    enum wave_effect effect);
