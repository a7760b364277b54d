#!/bin/sh
# Demo of chats and service calls on one machine: starts the platform, six
# engines in two pipelines over three halls, a service and three hosts, then runs
# the client. Stops every process that it started by its process id.
set -eu
bin=$1
dir=$(mktemp -d)
pids=
key=parking-customer-key
export ELMARCHD_CLUSTER_KEY=demo-cluster-key-000
export ELMARCHD_OPERATOR_KEY=demo-operator-key-00
export ELMARCHCTL_OPERATOR_KEY=$ELMARCHD_OPERATOR_KEY
net=127.71

finish() {
  for pid in $pids; do kill "$pid" 2>/dev/null || true; done
  for pid in $pids; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$dir"
}
trap finish EXIT

start() {
  log=$dir/$1.log
  shift
  "$@" >"$log" 2>&1 &
  pids="$pids $!"
}

start platform "$bin/standin" --role platform --listen $net.0.1:7000
i=0
for hall in bern-halle olten-halle biel-halle; do
  for line in 1 2; do
    start "engine-$i-$line" "$bin/standin" --role engine \
      --listen $net.$line.$((i + 1)):7100 \
      --first $((i * 4)) --last $((i * 4 + 3))
  done
  i=$((i + 1))
done
start service "$bin/standin" --role service --listen $net.3.1:7200
peers=$net.0.11:7301,$net.0.12:7301,$net.0.13:7301
n=1
for hall in bern-halle olten-halle biel-halle; do
  start "host-$n" "$bin/elmarchd" --listen $net.0.1$n:7300 \
    --peer-listen $net.0.1$n:7301 --peers $peers --hall $hall \
    --platform $net.0.1:7000
  n=$((n + 1))
done

hash=$(printf %s "$key" | sha256sum | cut -d' ' -f1)
{
  echo '['
  echo '{"kind":"deployments","name":"sprach-pool","spec":{"model":"sprach","layers":12}},'
  for line in 1 2; do
    i=0
    stages=
    for hall in bern-halle olten-halle biel-halle; do
      name=engine-$line-$hall
      echo '{"kind":"endpoints","name":"'$name'","spec":{"address":"'$net.$line.$((i + 1))':7100","hall":"'$hall'","role":"engine"}},'
      stages="$stages${stages:+,}"'{"endpoint":"'$name'","first":'$((i * 4))',"last":'$((i * 4 + 3))'}'
      i=$((i + 1))
    done
    echo '{"kind":"pipelines","name":"line-'$line'","spec":{"deployment":"sprach-pool","stages":['"$stages"']}},'
  done
  echo '{"kind":"endpoints","name":"zahl-1","spec":{"address":"'$net.3.1':7200","hall":"bern-halle","role":"worker"}},'
  echo '{"kind":"services","name":"zahl-app","spec":{"endpoints":["zahl-1"]}},'
  echo '{"kind":"customers","name":"parking","spec":{"keyHash":"'$hash'","priority":2}}'
  echo ']'
} >"$dir/config.json"

tries=0
until "$bin/elmarchctl" --host $net.0.11:7300 get customers >/dev/null 2>&1; do
  tries=$((tries + 1))
  [ $tries -lt 200 ] || { cat "$dir"/host-1.log; exit 1; }
  sleep 0.05
done
"$bin/elmarchctl" --host $net.0.11:7300 apply "$dir/config.json"
tries=0
until [ "$("$bin/elmarchctl" --host $net.0.11:7300 hosts | grep -c address)" = 3 ]; do
  tries=$((tries + 1))
  [ $tries -lt 200 ] || exit 1
  sleep 0.05
done
"$bin/elmarchctl" --host $net.0.12:7300 get pipelines
"$bin/demo" $net.0.13:7300 $key 12 4 $net.3.1:7200
