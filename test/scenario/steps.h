#pragma once

#include "test/scenario/script.h"

/* All steps except "expect" steps; the last element has a NULL pattern.  */
extern const struct step_def action_steps[];
