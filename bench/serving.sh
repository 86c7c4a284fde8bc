#!/usr/bin/env bash
# Processor time and memory of one balancer that serves, by requests a second and size of value: one JSON line a run.
# The process's own time (user and system) is read twice while it serves; clients, routers and store are another process.
# Usage: bench/serving.sh REQUESTS_PER_SECOND VALUE_SIZE [SECONDS]        such as: bench/serving.sh 400 64KiB
set -euo pipefail
here=$(cd "$(dirname "$0")/.." && pwd)
rate=$1
size=$2
seconds=${3:-12}
warm_up=5
work=$(mktemp -d)
tool=
trap '[ -z "$tool" ] || kill "$tool" 2>/dev/null || true; rm -rf "$work"' EXIT

cat >"$work/serving.toml" <<TOML
name = "serving"
about = "One balancer, all keys at its routers after a while."
zones = ["a"]
seed = 7
warm_up = "${warm_up}s"
duration = "$((seconds + 10))s"
[balancers]
count = 1
[[routers]]
kind = "many-core"
count = 12
cores = 8
speed = 8
errors = "0%"
[keys]
count = 200
size = "$size"
[origin]
capacity = "400/s"
[traffic]
rate = "$rate/s"
wave = "0%"
TOML

"$here/bin/baymoor" emulate run "$work/serving.toml" --processes --json "$work/out.json" >"$work/log" 2>&1 &
tool=$!

server() { # the balancer among the tool's children
  local pid
  for pid in $(cat "/proc/$tool/task/"*/children 2>/dev/null); do
    if tr '\0' ' ' <"/proc/$pid/cmdline" | grep -q 'baymoor.jar serve'; then
      echo "$pid"
      return
    fi
  done
}

figure() { # NAME: of the balancer's own counters or of the kernel's
  awk -v name="$1" '$1 == name {print $2}' "/proc/$balancer/status"
}

ticks() {
  awk '{print $14 + $15}' "/proc/$balancer/stat"
}

balancer=
while [ -z "$balancer" ]; do
  kill -0 "$tool" || { cat "$work/log" >&2; exit 1; }
  sleep 0.2
  balancer=$(server)
done
sleep $((warm_up + 4))
from=$(ticks)
began=$(date +%s%N)
sleep "$seconds"
ticks=$(($(ticks) - from))
micros=$((($(date +%s%N) - began) / 1000))
resident=$(figure VmRSS:)
kept=true # whether all four rules held
wait "$tool" || kept=false
tool=
awk -v kept="$kept" -v rate="$rate" -v size="$size" -v ticks="$ticks" -v micros="$micros" -v rss="$resident" -v hz="$(getconf CLK_TCK)" 'BEGIN {
  printf "{\"requestsPerSecond\": %s, \"value\": \"%s\", \"seconds\": %.2f, \"cpuSecondsPerSecond\": %.4f, ", rate, size, micros / 1e6, ticks / hz / (micros / 1e6)
  printf "\"cpuMicrosPerRequest\": %.1f, \"residentKilobytes\": %d, \"rulesKept\": %s}\n", ticks / hz / (micros / 1e6) / rate * 1e6, rss, kept }'
grep -E '^  (asked|served|worth)|rule|^seed' "$work/log" >&2 || tail -40 "$work/log" >&2
