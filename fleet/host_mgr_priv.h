#pragma once

#include "fleet/host_mgr.h"

/* Internal interface between the source files of the host manager.  */

/* Whether an operation may begin on HOST.  */
bool host_mgr_may_begin_op (const struct mgr_host *host, int64_t now_us);
/* Ends the operation on HOST without its having been carried out.  KEPT_FOR is
   empty but for a refusal.  */
void host_mgr_give_up (struct host_mgr *mgr, struct mgr_host *host,
                       const char *reason, const char *kept_for,
                       int64_t now_us);
/* Begins the operation OP on HOST.  */
void host_mgr_begin_op (struct host_mgr *mgr, struct mgr_host *host,
                        enum host_mgr_op op, int64_t now_us);
/* Whether HOST can be taken without loss: its pool reports it as idle or is a
   spare pool.  */
bool host_mgr_host_is_idle (const struct host_mgr *mgr,
                            const struct mgr_host *host);
bool host_mgr_pool_is_spare (const struct host_mgr *mgr, const char *name);

/* Begins the moves that are due.  */
void host_mgr_step_moves (struct host_mgr *mgr, int64_t now_us);

/* fleet/host_mgr_await.c */
/* LABEL may be empty: any host has that.  */
bool host_mgr_host_has_label (const struct mgr_host *host, const char *label);
/* Whether HOST has come to POOL just now, or since the last demand.  */
bool host_mgr_has_arrived (const struct mgr_host *host,
                           const struct mgr_pool *pool, int64_t now_us);
/* Whether HOST is on its way to the pool NAME.  */
bool host_mgr_moves_to (const struct mgr_host *host, const char *name);
/* Whether HOST, which is on its way to a pool, may not come: it is down, or
   takes longer than a host does that comes.  NEEDED: for perpetual tasks.  */
bool host_mgr_is_late (const struct host_mgr *mgr, const struct mgr_host *host,
                       bool needed, int64_t now_us);
/* Hosts that count as coming to a pool that wants WANTED hosts.  Late ones do
   not, up to a limit: others are taken instead.  If they come after all, the
   pool reports as many as idle.  */
uint32_t host_mgr_count_coming (uint32_t on_time, uint32_t late,
                                uint32_t wanted);

/* fleet/host_mgr_report.c */
/* Ends the operation on HOST because its pool's owner does not vacate it, for
   REASON.  The host is not asked for again during a pause that grows with
   successive calls.  */
void host_mgr_not_vacated (struct host_mgr *mgr, struct mgr_host *host,
                           const char *reason, const char *kept_for,
                           int64_t now_us);
/* Ends the pauses after refusals in pools that have more hosts than then.  */
void host_mgr_end_pauses (struct host_mgr *mgr);
/* Ends the pauses in the pool of HOST, which has just returned to it or
   arrived there.  */
void host_mgr_host_returned (struct host_mgr *mgr,
                             const struct mgr_host *host);

/* fleet/host_mgr_wave.c */
/* Returns NULL for an unknown wave.  */
struct mgr_wave *host_mgr_find_wave (struct host_mgr *mgr, uint64_t number);
/* Notes that HOST needs no more maintenance in WAVE, which may be NULL.  */
void host_mgr_mark_done (struct mgr_wave *wave, const char *host);
/* Looks up the wave's hosts, and counts those that are or may be in
   maintenance or down.  */
void host_mgr_count_wave (const struct host_mgr *mgr, struct mgr_wave *wave);
/* Time that the tasks on HOST are given, which is next in WAVE.  */
int64_t host_mgr_wave_grace_ms (const struct host_mgr *mgr,
                                const struct mgr_wave *wave,
                                const struct mgr_host *host, int64_t now_us);
/* Begins the maintenance of the wave's hosts that is due.  Returns whether the
   wave is in progress.  */
bool host_mgr_step_wave (struct host_mgr *mgr, struct mgr_wave *wave,
                         int64_t now_us);
/* Marks the hosts that an unfinished wave still has to maintain.  */
void host_mgr_mark_wave_hosts (struct host_mgr *mgr);
