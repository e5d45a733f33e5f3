#pragma once

#include "test/scenario/script.h"

/* The steps that act; end with a NULL pattern.  */
extern const struct step_def action_steps[];
