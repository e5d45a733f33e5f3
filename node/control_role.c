#include <string.h>

#include "node/node_priv.h"

/* Part of this process in the control plane, see member/roster.h.  A change of
   the role takes effect without a gap: what the new role needs is read first,
   and what the earlier one needed is given up afterwards.  */

/* Shortest time between reads of the members' reports in an entry process,
   which only needs to know when controllers have failed.  */
#define ENTRY_MEMBERS_DELAY_MS 1000
#define CONTROLLER_MEMBERS_DELAY_MS 200
/* Longest time for which the store holds a read of the claims open.  A
   controller's reads confirm its duties.  */
#define ENTRY_DUTIES_WAIT_MS 2000
#define CONTROLLER_DUTIES_WAIT_MS 600

/* Whether this process holds a duty according to the claims that it has read,
   or may hold one when its last claim is read.  */
static bool
holds_duty (const struct node *nod)
{
  if (nod->held_duties || node_fleet_token (nod) || nod->claim_in_progress
      || follower_next_offset (&nod->duty_fol) < nod->claim_end_offset)
    return true;
  for (size_t n = 0; n < nod->duties.duty_count; n++)
    if (duty_held_by (&nod->duties.duties[n], nod->set->name, nod->boot))
      return true;
  return false;
}

static bool
control_caught_up (const struct node *nod)
{
  return node_jobs_current (nod) && node_fleet_caught_up (nod)
         && follower_is_open (&nod->directory_fol)
         && follower_caught_up (&nod->directory_fol);
}

static void
become_controller (struct node *nod)
{
  node_follow_workers (nod);
  node_fleet_follow (nod);
  node_follow_jobs (nod);
  if (control_caught_up (nod))
    node_unfollow_states (nod);
}

static void
become_entry (struct node *nod)
{
  node_follow_states (nod);
  if (!node_states_current (nod))
    return;
  node_unfollow_workers (nod);
  node_fleet_unfollow (nod);
  node_unfollow_jobs (nod);
}

void
node_update_role (struct node *nod)
{
  const struct roster_view view = {
    .self = nod->set->name,
    .cpu_milli = (uint32_t)nod->set->cpu_milli,
    .holds_duty = holds_duty (nod),
    .now_us = clock_now_us (nod->clk),
    .reports_read_us = nod->members_current_us,
    .slack_us = node_members_slack_us (nod),
  };
  if (!follower_caught_up (&nod->member_fol))
    return;
  bool changed = roster_update (&nod->roster, &nod->duties, &view);
  bool controller = nod->roster.role == ROSTER_CONTROLLER;
  if (changed)
    {
      log_event (nod->lg, EV_NODE_ROLE, LOG_S ("name", nod->set->name),
                 LOG_S ("role", controller ? "controller" : "entry"),
                 LOG_I ("members", duty_count_live_members (
                                       &nod->duties, view.reports_read_us)));
      /* The others learn of the change with the next report.  */
      nod->next_report_us = 0;
    }
  follower_set_batch_delay (&nod->member_fol, controller
                                                  ? CONTROLLER_MEMBERS_DELAY_MS
                                                  : ENTRY_MEMBERS_DELAY_MS);
  follower_set_wait (&nod->duty_fol, controller ? CONTROLLER_DUTIES_WAIT_MS
                                                : ENTRY_DUTIES_WAIT_MS);
  if (controller)
    become_controller (nod);
  else
    become_entry (nod);
}
