#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "claim/claim.h"
#include "entry/mailbox.h"
#include "entry/story.h"
#include "entry/view.h"

/* Messages between the control thread and the traffic threads.  Allocated
   with malloc, because talloc contexts belong to one thread.  The receiver
   frees them.  */

enum mail_type
{
  /* To the traffic thread.  */
  MAIL_VIEW,
  MAIL_VERDICT,
  MAIL_RELEASED,
  MAIL_PEER_LOAD,
  MAIL_PEER_HEALTH,
  MAIL_PEER_COUNT,
  MAIL_ASK_STATUS,
  MAIL_ASK_STORY,
  MAIL_DRAIN,
  MAIL_STOP,
  /* To the control thread.  */
  MAIL_CLAIM,
  MAIL_DONE,
  MAIL_RELEASE,
  MAIL_OWN_LOAD,
  MAIL_OWN_HEALTH,
  MAIL_STATUS,
  MAIL_STORY,
  MAIL_TRAFFIC_IDLE,
};

struct request;

struct mail_view
{
  struct mail mail;
  struct view *view; /* one reference */
};

struct mail_verdict
{
  struct mail mail;
  struct request *req;
  enum claim_verdict verdict;
  enum claim_known known;
  uint32_t status;
  uint64_t claim_id;
  size_t body_len;
  bool has_body;
  uint8_t body[];
};

struct mail_released
{
  struct mail mail;
  struct request *req;
  bool recorded;
};

struct mail_peer_load
{
  struct mail mail;
  uint32_t peer;
  char host[VIEW_NAME_MAX];
  uint32_t in_flight;
};

struct mail_peer_health
{
  struct mail mail;
  char host[VIEW_NAME_MAX];
  bool ejected;
};

struct mail_peer_count
{
  struct mail mail;
  uint32_t entries; /* live entry processes of the data centre, own included */
};

struct mail_claim
{
  struct mail mail;
  struct request *req;
  struct claim_key key;
  uint64_t body_digest;
  int64_t deadline_us;
};

struct mail_done
{
  struct mail mail;
  struct claim_key key;
  uint64_t claim_id;
  bool answered;
  uint32_t status;
  size_t body_len;
  uint8_t body[];
};

struct mail_release
{
  struct mail mail;
  struct request *req;
  struct claim_key key;
  uint64_t claim_id;
  int64_t deadline_us;
};

struct mail_own_load
{
  struct mail mail;
  uint32_t count;
  struct
  {
    char host[VIEW_NAME_MAX];
    uint32_t in_flight;
    uint32_t slots;
  } loads[];
};

struct mail_own_health
{
  struct mail mail;
  char host[VIEW_NAME_MAX];
  bool ejected;
};

/* A question of an operator; the reply carries its number.  */
struct mail_ask
{
  struct mail mail;
  uint64_t ask;
  char id[STORY_TEXT_MAX + 1]; /* of the request, for MAIL_ASK_STORY */
};

struct status_pool
{
  uint32_t targets;
  uint32_t taking_work;
  uint32_t slots; /* of those that take new work */
  uint32_t own;
  uint32_t peers;
  uint32_t ejected;
};

struct status_kind
{
  uint32_t running;
  uint32_t queued;
  uint64_t started;
  uint64_t refused;
};

/* A snapshot of the traffic thread.  VIEW names the pools and kinds; NULL
   before the first view.  */
struct mail_status
{
  struct mail mail;
  uint64_t ask;
  struct view *view; /* one reference */
  bool draining;
  uint32_t open;
  struct status_pool *pools; /* within this message */
  struct status_kind *kinds;
  uint64_t data[];
};

struct mail_story
{
  struct mail mail;
  uint64_t ask;
  struct stories_found found;
};

/* Allocates a message of SIZE bytes with its type set, or NULL.  */
void *mail_new (enum mail_type type, size_t size);
