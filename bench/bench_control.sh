#!/bin/sh
# Load that idle hosts cause, and how fast a configuration change and the death
# of a host spread. Runs real processes on one machine.
set -eu
bin=$1
net=127.74.0
pids=
trap 'for p in $pids; do kill $p 2>/dev/null || true; done' EXIT
export ELMARCHD_CLUSTER_KEY=bench-cluster-key-00 ELMARCHD_OPERATOR_KEY=bench-operator-key-0
export ELMARCHCTL_OPERATOR_KEY=$ELMARCHD_OPERATOR_KEY
span=8

ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
counter() { curl -s "$net.$1:7000/metrics" | awk -v n="$2" '$1 == n {print $2}'; }
now_ms() { echo $(($(date +%s%N) / 1000000)); }
entries() { curl -s "$net.$1:7000/v1/entry-hosts" | grep -o '"address"' | wc -l; }

measure() {
  n=$1
  "$bin/standin" --role platform --listen $net.250:7000 >/dev/null 2>&1 &
  platform=$!
  pids="$pids $platform"
  seeds=
  for i in 1 2 3 4 5 6 7 8 9; do
    if [ "$i" -le "$n" ]; then seeds=$seeds$net.$i:7001,; fi
  done
  hosts=
  for i in $(seq 1 "$n"); do
    "$bin/elmarchd" --listen $net.$i:7000 --peer-listen $net.$i:7001 \
      --peers "$seeds" --hall hall-$((i % 3)) --platform $net.250:7000 \
      --log-level error >/dev/null 2>&1 &
    hosts="$hosts $!"
    pids="$pids $!"
  done
  until [ "$(entries "$n" 2>/dev/null)" = "$([ "$n" -gt 5 ] && echo 5 || echo "$n")" ]; do sleep 0.1; done
  sleep 3
  cpu=0 messages=0 bytes=0 calls=0
  for p in $hosts; do cpu=$((cpu - $(ticks "$p"))); done
  for i in $(seq 1 "$n"); do
    messages=$((messages - $(counter $i elmarch_peer_messages_total)))
    bytes=$((bytes - $(counter $i elmarch_peer_bytes_total)))
    calls=$((calls - $(counter $i elmarch_platform_calls_total)))
  done
  sleep $span
  for i in $(seq 1 "$n"); do
    messages=$((messages + $(counter $i elmarch_peer_messages_total)))
    bytes=$((bytes + $(counter $i elmarch_peer_bytes_total)))
    calls=$((calls + $(counter $i elmarch_platform_calls_total)))
  done
  rss=0
  for p in $hosts; do
    cpu=$((cpu + $(ticks "$p")))
    rss=$((rss + $(awk '/VmRSS/ {print $2}' "/proc/$p/status")))
  done
  began=$(now_ms)
  echo '[{"kind":"deployments","name":"d","spec":{"model":"m","layers":1}}]' |
    "$bin/elmarchctl" --host $net.1:7000 --wait-s 60 apply - >/dev/null
  in_force=$(($(now_ms) - began))
  victim=${hosts##* }
  live=$(curl -s -H "authorization: Bearer $ELMARCHD_OPERATOR_KEY" \
    $net.1:7000/admin/v1/dump | grep -o '"state":"alive"' | wc -l)
  began=$(now_ms)
  kill -9 "$victim"
  until [ "$(curl -s -H "authorization: Bearer $ELMARCHD_OPERATOR_KEY" \
    $net.1:7000/admin/v1/dump | grep -o '"state":"alive"' | wc -l)" -lt "$live" ]; do sleep 0.05; done
  dead_out=$(($(now_ms) - began))
  echo "bench=control objects=processes hosts=$n cpu_ms_per_s_host=$((cpu * 10 / n / span)).$((cpu * 100 / n / span % 10)) messages_per_s_host=$((messages / n / span)) bytes_per_s_host=$((bytes / n / span)) platform_calls_per_s=$((calls / span)) rss_kb_host=$((rss / n)) in_force_on_all_ms=$in_force dead_out_ms=$dead_out"
  for p in $hosts $platform; do kill -9 "$p" 2>/dev/null || true; done
  wait 2>/dev/null || true
}

measure 3
measure 9
measure 27
measure 81
