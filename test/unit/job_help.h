#pragma once

#include "job/job_table.h"

/* Folds the specification of a job in the queue "q" and the pool "p" as the
   record at OFFSET.  JSON is the body of the client's request.  */
struct job *help_fold_job (struct job_table *tab, void *parent, uint64_t id,
                           const char *json, uint64_t offset, int64_t now_us,
                           int64_t wall_ms);

/* Folds a record of KIND for the job ID; returns its effect.  */
struct job_fold_result help_fold (struct job_table *tab, void *parent,
                                  char kind, uint64_t id, const uint8_t *data,
                                  size_t len);
