# Shares of service in the turns of a surge, one JSON object a turn.
# Files: kinds (KIND POOL SLOTS FROM_MS TO_MS ...), calls without the surge,
# calls with it (id, kind, planned_us, end_us, in time) ordered by planned_us,
# executions with it (id, kind, start_us, end_us, result).
# Variables: first, first_base: time in ms of the first request of each trace.
BEGIN { RAMP_US = 500000 } # the surge fills the slots first
FNR == 1 { file++ }
file == 1 {
  split($0, f, " ")
  kinds++
  name[kinds] = f[1]; pool[f[1]] = f[2]; slots[f[2]] = f[3]
  from[kinds] = f[4] * 1000; to[kinds] = f[5] * 1000
  next
}
file == 2 || file == 3 {
  if (FNR == 1) start[file] = $3 - 1000 * (file == 2 ? first_base : first)
  good = $5 == "true"
  if (file == 3) in_time[$1] = good
  at = $3 - start[file]
  for (n = 1; n <= kinds; n++)
    if (at >= from[n] && at < to[n]) {
      calls[file, n, $2]++
      served[file, n, $2] += good
    }
  next
}
{
  for (n = 1; n <= kinds; n++) {
    if (pool[$2] != pool[name[n]]) continue
    a = start[3] + from[n] + RAMP_US; b = start[3] + to[n]
    if ($3 > a) a = $3
    if ($4 < b) b = $4
    if (b <= a) continue
    held[n, $2] += b - a
    if ($5 == "completed" && in_time[$1]) useful[n, $2] += b - a
  }
}
function ratio(a, b) { return b ? a / b : 0 }
END {
  for (n = 1; n <= kinds; n++) {
    split("", with); split("", without)
    others = all = 0
    for (m = 1; m <= kinds; m++) {
      k = name[m]
      same = pool[k] == pool[name[n]]
      if (m != n) {
        with[same] += served[3, n, k]; without[same] += served[2, n, k]
        if (same) others += held[n, k]
      }
      if (same) all += useful[n, k]
    }
    room = slots[pool[name[n]]] * (to[n] - from[n] - RAMP_US)
    printf "{\"surging\":\"%s\",\"same_pool_kept\":%.4f,\"other_pools_kept\":%.4f,\"spare_taken\":%.4f,\"useful_slots\":%.4f,\"surging_served\":%.4f}\n",
      name[n], ratio(with[1], without[1]), ratio(with[0], without[0]),
      ratio(useful[n, name[n]], room - others), ratio(all, room), ratio(served[3, n, name[n]], calls[3, n, name[n]])
  }
}
