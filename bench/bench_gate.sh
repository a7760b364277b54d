#!/bin/sh
# Measures one host in front of a pipeline of three engines and a service
# against direct calls of these.
set -eu
bin=$1
net=127.73.0
key=bench-customer-key
pids=
trap 'for p in $pids; do kill $p 2>/dev/null || true; done' EXIT
export ELMARCHD_CLUSTER_KEY=bench-cluster-key-00 ELMARCHD_OPERATOR_KEY=bench-operator-key-0
export ELMARCHCTL_OPERATOR_KEY=$ELMARCHD_OPERATOR_KEY

start() {
  "$@" >/dev/null 2>&1 &
  pids="$pids $!"
}
start "$bin/standin" --role platform --listen $net.1:7000
for i in 0 1 2; do
  start "$bin/standin" --role engine --listen $net.1$i:7000 \
    --first $((i * 4)) --last $((i * 4 + 3))
done
start "$bin/standin" --role service --listen $net.20:7000
start "$bin/elmarchd" --listen $net.30:7000 --peer-listen $net.30:7001 \
  --hall bern-halle --platform $net.1:7000 --log-level error
host=$!
hash=$(printf %s $key | sha256sum | cut -d' ' -f1)
endpoint() {
  echo '{"kind":"endpoints","name":"'$1'","spec":{"address":"'$2'","hall":"h","role":"'$3'"}},'
}
until "$bin/elmarchctl" --host $net.30:7000 get customers >/dev/null 2>&1; do sleep 0.05; done
{
  echo '['
  for i in 0 1 2; do endpoint e$i $net.1$i:7000 engine; done
  endpoint w $net.20:7000 worker
  echo '{"kind":"deployments","name":"d","spec":{"model":"sprach","layers":12}},'
  echo '{"kind":"pipelines","name":"p","spec":{"deployment":"d","stages":[{"endpoint":"e0","first":0,"last":3},{"endpoint":"e1","first":4,"last":7},{"endpoint":"e2","first":8,"last":11}]}},'
  echo '{"kind":"services","name":"zahl-app","spec":{"endpoints":["w"]}},'
  echo '{"kind":"customers","name":"c","spec":{"keyHash":"'"$hash"'","maxInFlight":1000}}]'
} | "$bin/elmarchctl" --host $net.30:7000 apply - >/dev/null
"$bin/bench_gate" $net.30:7000 $host $key $net.20:7000 $net.10:7000 \
  $net.11:7000 $net.12:7000
