#pragma once

#include <uthash.h>

#include "fleet/catalog.h"
#include "fleet/host_link.h"

/* Decides on the hosts' upkeep and moves.  Inputs are the platform's host
   list, the operators' upkeep waves, what the pools' owners want and have
   emptied, and the answers to its own orders; its steps go out through
   keeper_ops.

   Load pattern: queues ask for several times their mean by turns.  Hosts
   without work go to the pool that lacks some, or to the spare pool, where
   they cost nothing; upkeep takes idle hosts first.  */

#define KEEPER_HOSTS_MAX 4096
#define KEEPER_POOLS_MAX 64
#define KEEPER_WAVES_MAX 32

enum host_purpose
{
  PURPOSE_NONE,
  PURPOSE_UPKEEP,
  PURPOSE_MOVE,
};

enum host_phase
{
  PHASE_IDLE,
  PHASE_VACATING, /* the owner of its pool was asked to empty it */
  PHASE_EMPTY,    /* it is; the order may go out */
  PHASE_ORDERED,  /* the order has no settled answer yet */
  PHASE_AWAY,     /* done; the host's new worker is awaited */
};

struct kept_host
{
  struct host_report rep;
  bool listed;
  int64_t listed_us; /* when the list that last named it was asked for */
  enum host_purpose purpose;
  enum host_phase phase;
  int64_t phase_us;
  uint64_t wave;
  char target[NAME_BYTES]; /* pool of a move */
  uint64_t request_offset; /* of the request to empty it; 0: not known yet */
  char left_worker[NAME_BYTES]; /* its worker before the order */
  bool order_open;
  int64_t next_order_us;
  int64_t rest_us;    /* no other purpose before this time */
  int64_t offered_us; /* since when its pool can spare it; 0: it cannot */
  bool offer_heard;   /* in the report that is being read */
  bool in_wave;       /* a wave that is not completed waits for it */
};

/* Finds a host's place in the table by its name.  */
struct host_index
{
  UT_hash_handle hh;
  char name[NAME_BYTES];
  size_t index;
};

struct kept_pool
{
  char name[NAME_BYTES];
  uint32_t short_hosts;
  char (*idle)[NAME_BYTES];
  size_t idle_count;
  uint32_t busy_milli;
  int64_t heard_us;
};

struct kept_wave
{
  uint64_t number;
  struct upkeep_wave *wave;
  bool *done; /* by index of the wave's hosts */
  size_t done_count;
  bool completed;
  bool told_running;
  int64_t seen_us;
};

/* A host of a wave that is not known yet, or that had its upkeep before.  */
struct early_done
{
  uint64_t wave;
  char host[NAME_BYTES];
};

struct keeper_ops
{
  /* Asks a pool's owner to empty HOST, or withdraws that.  */
  void (*vacate) (void *arg, struct kept_host *host, int64_t keep_ms);
  void (*withdraw) (void *arg, struct kept_host *host);
  void (*order) (void *arg, struct kept_host *host);
  /* Records a wave's progress and tells its state.  */
  void (*wave_state) (void *arg, struct kept_wave *wave);
  void *arg;
};

struct keeper
{
  struct kept_host *hosts;
  size_t host_count;
  struct host_index *by_name;
  struct kept_pool pools[KEEPER_POOLS_MAX];
  size_t pool_count;
  struct kept_wave waves[KEEPER_WAVES_MAX];
  size_t wave_count;
  struct early_done *early;
  size_t early_count;
  const struct catalog *cat;
  struct keeper_ops ops;
};

void keeper_init (struct keeper *kpr, void *parent,
                  const struct keeper_ops *ops);
void keeper_fini (struct keeper *kpr);

/* A host list that was asked for at ASKED_US.  Returns 0 or ERR_NOMEM.  */
int keeper_hosts (struct keeper *kpr, void *parent,
                  const struct host_list *list, int64_t asked_us);

struct pool_demand
{
  const char *pool;
  uint32_t short_hosts;
  char (*idle)[NAME_BYTES]; /* hosts for other pools; a talloc array */
  size_t idle_count;

  uint32_t busy_milli;
};

/* What a pool's owner wants; takes over the array of hosts.  */
void keeper_demand (struct keeper *kpr, const struct pool_demand *dem,
                    int64_t now_us);

/* Takes over WAVE.  */
void keeper_wave (struct keeper *kpr, void *parent, struct upkeep_wave *wave,
                  int64_t now_us);

/* Progress that an earlier holder of the duty recorded; it may be read before
   the wave itself.  */
void keeper_wave_done (struct keeper *kpr, void *parent, uint64_t number,
                       const char *host);

/* The owner of its pool has emptied HOST for the request at OFFSET.  */
void keeper_emptied (struct keeper *kpr, const char *host, uint64_t offset,
                     int64_t now_us);

void keeper_ordered (struct keeper *kpr, struct kept_host *host,
                     enum host_order_status status, int64_t now_us);

/* Takes the steps that are due.  Returns whether anything is under way.  */
bool keeper_step (struct keeper *kpr, int64_t now_us);

struct kept_host *keeper_find (const struct keeper *kpr, const char *host);
