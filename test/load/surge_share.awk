# Computes how requests and slots were shared in each turn of a surge; prints
# one JSON object a turn.
#
# Input files, in this order:
#   kinds       KIND POOL SLOTS FROM_MS TO_MS ..., one turn a line
#   requests without the surge and requests with it
#               id, kind, planned_us, end_us, in time ("true" or not);
#               ordered by planned_us
#   executions with the surge
#               id, kind, start_us, end_us, result
# Variables: first and first_base, the time in ms of the first request in the
# trace with and without the surge.
#
# Output, for the kind that surges in the turn:
#   same_pool_kept    requests of the pool's other kinds answered in time, as a
#                     ratio of those without the surge
#   other_pools_kept  likewise for the kinds of other pools
#   spare_taken       share of the slot time left by the pool's other kinds that
#                     the surging kind used for answers in time
#   useful_slots      share of the pool's slot time used for answers in time
#   surging_served    share of the surging kind's requests answered in time
# Slot time counts from RAMP_US after the start of a turn, since the surge first
# has to fill the slots.
BEGIN { RAMP_US = 500000 }
FNR == 1 { file++ }
file == 1 {
  split($0, f, " ")
  kinds++
  name[kinds] = f[1]; pool[f[1]] = f[2]; slots[f[2]] = f[3]
  from[kinds] = f[4] * 1000; to[kinds] = f[5] * 1000
  next
}
file == 2 || file == 3 {
  # Start of the trace, from the planned time of its first request.
  if (FNR == 1) start[file] = $3 - 1000 * (file == 2 ? first_base : first)
  ok = $5 == "true"
  if (file == 3) in_time[$1] = ok
  at = $3 - start[file]
  for (n = 1; n <= kinds; n++)
    if (at >= from[n] && at < to[n]) {
      requests[file, n, $2]++
      served[file, n, $2] += ok
    }
  next
}
{
  # Adds the part of the execution within each turn to the slot time of its
  # kind, in us.
  for (n = 1; n <= kinds; n++) {
    if (pool[$2] != pool[name[n]]) continue
    a = start[3] + from[n] + RAMP_US; b = start[3] + to[n]
    if ($3 > a) a = $3
    if ($4 < b) b = $4
    if (b <= a) continue
    used_us[n, $2] += b - a
    if ($5 == "completed" && in_time[$1]) useful_us[n, $2] += b - a
  }
}
function ratio(a, b) { return b ? a / b : 0 }
END {
  for (n = 1; n <= kinds; n++) {
    split("", with); split("", without) # served requests; index 1: same pool, 0: others
    others_us = pool_useful_us = 0
    for (m = 1; m <= kinds; m++) {
      k = name[m]
      same = pool[k] == pool[name[n]]
      if (m != n) {
        with[same] += served[3, n, k]; without[same] += served[2, n, k]
        if (same) others_us += used_us[n, k]
      }
      if (same) pool_useful_us += useful_us[n, k]
    }
    capacity_us = slots[pool[name[n]]] * (to[n] - from[n] - RAMP_US)
    printf "{\"surging\":\"%s\",\"same_pool_kept\":%.4f,\"other_pools_kept\":%.4f,\"spare_taken\":%.4f,\"useful_slots\":%.4f,\"surging_served\":%.4f}\n",
      name[n], ratio(with[1], without[1]), ratio(with[0], without[0]),
      ratio(useful_us[n, name[n]], capacity_us - others_us), ratio(pool_useful_us, capacity_us), ratio(served[3, n, name[n]], requests[3, n, name[n]])
  }
}
