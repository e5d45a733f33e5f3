#pragma once

#include "base/option.h"

/* Settings of `kingcuphollow serve`, one for each option in serve_options.
   options_parse fills them in and owns the strings.  */
struct serve_settings
{
  char *name;
  char *data_centre;
  char *listen;
  char *peer_listen;
  char *peers;
  char *peer_secret_file;
  char *remotes;
  char *platform;
  char *policy;
  char *log_level;
  int64_t drain_ms;
  int64_t deadline_ms;
  int64_t max_open;
  int64_t max_body; /* bytes */
  int64_t hosts_poll_ms;
  int64_t leave_ms;
  int64_t key_lifetime_ms;
  int64_t appends_per_s;
  int64_t seed;
  char *operator_listen;
  char *operator_token_file;
  int64_t traces_max;
};

extern const struct option_def serve_options[];
