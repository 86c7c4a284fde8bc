#!/usr/bin/env bash
# Time from exec to the first +PONG, paired: this checkout against another built one, in turn, on half of one core
# (a spinning process shares it). Usage: bench/start.sh OTHER_CHECKOUT [PAIRS] [CORE]
set -euo pipefail
here=$(cd "$(dirname "$0")/.." && pwd)
other=$(cd "$1" && pwd)
pairs=${2:-20}
core=${3:-$(($(nproc) - 1))}
work=$(mktemp -d)
taskset -c "$core" sh -c 'while :; do :; done' &
spinner=$!
trap 'kill $spinner 2>/dev/null || true; rm -rf "$work"' EXIT
settings=$(cat "$here/balancer/src/test/resources/settings.json")

start() { # DIR -> micros
  local dir=$1 port=$((20000 + RANDOM % 20000)) from to line
  cat >"$work/config.json" <<JSON
{"name":"n0","listen":"127.0.0.1:$port","discovery":"127.0.0.1:1","seed":"1f",
 "limits":{"cores":0.5,"memory_mb":128,"sockets":1024},"settings":$settings}
JSON
  cd "$dir"
  from=$(date +%s%N)
  ROUTER_CONFIG=$work/config.json taskset -c "$core" sh -c "$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)" \
    2>"$work/log" &
  local pid=$! tries=0
  while [ $tries -lt 2000 ]; do
    tries=$((tries + 1))
    if ! kill -0 "$pid" 2>/dev/null; then # its port was taken
      wait "$pid" 2>/dev/null || true
      start "$dir"
      return
    fi
    if { exec 3<>"/dev/tcp/127.0.0.1/$port"; } 2>/dev/null; then
      printf '*1\r\n$4\r\nPING\r\n' >&3
      IFS= read -r -t 5 line <&3 || line=
      exec 3>&-
      [ "${line%$'\r'}" = +PONG ] && break
    fi
    sleep 0.002
  done
  to=$(date +%s%N)
  grep VmHWM "/proc/$pid/status" | tr -dc 0-9 >"$work/memory" || echo 0 >"$work/memory"
  kill -KILL "$pid"
  wait "$pid" 2>/dev/null || true
  echo $(((to - from) / 1000))
}

start "$here" >/dev/null
start "$other" >/dev/null
echo "pair this_ms other_ms ratio this_kb other_kb"
for i in $(seq "$pairs"); do
  a=$(start "$here"); am=$(cat "$work/memory")
  b=$(start "$other"); bm=$(cat "$work/memory")
  awk -v i="$i" -v a="$a" -v b="$b" -v am="$am" -v bm="$bm" \
    'BEGIN { printf "%d %.0f %.0f %.3f %d %d\n", i, a / 1000, b / 1000, a / b, am, bm }' | tee -a "$work/pairs"
done
median() { sort -n | awk '{ v[NR] = $1 } END { print NR % 2 ? v[(NR + 1) / 2] : (v[NR / 2] + v[NR / 2 + 1]) / 2 }'; }
echo "median: this $(awk '{print $2}' "$work/pairs" | median) ms, other $(awk '{print $3}' "$work/pairs" | median) ms," \
  "ratio $(awk '{print $4}' "$work/pairs" | median); memory this $(awk '{print $5}' "$work/pairs" | median) kB," \
  "other $(awk '{print $6}' "$work/pairs" | median) kB"
