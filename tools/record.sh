#!/bin/sh
# Records the traces in tests/replay. Usage: tools/record.sh BIN OUT-DIR
# Each scenario runs one host against stand-ins, mostly with an injected fault,
# and saves the events that the host's router received and its decisions.
set -eu
bin=$1
out=$2
dir=$(mktemp -d)
pids=
net=127.72.0
key=recorder-customer-key
trap 'for p in $pids; do kill $p 2>/dev/null || true; done; rm -rf "$dir"' EXIT

start() {
  "$@" >"$dir/log" 2>&1 &
  pids="$pids $!"
}

stop_all() {
  for p in $pids; do kill "$p" 2>/dev/null || true; done
  for p in $pids; do wait "$p" 2>/dev/null || true; done
  pids=
}

ask() { curl -s -m 20 -H "authorization: Bearer $key" "$@" >/dev/null || true; }
fault() { curl -s -X PUT "$net.$1:7000/fault" -d "$2"; }
ready() { until curl -s "$net.$1:7000$2" >/dev/null; do sleep 0.02; done; }
chat() {
  ask "$net.9:7000/v1/chat/completions" -d '{"model":"m","max_tokens":6,"stream":true,"messages":[{"role":"user","content":"'"$1"'"}]}'
}
pay() { ask -H 'x-elmarch-deadline-ms: 1500' "$net.9:7000/services/s/pay" -d '{"id":"'"$1"'"}'; }

scenario() {
  name=$1
  start "$bin/standin" --role platform --listen $net.1:7000
  start "$bin/standin" --role engine --listen $net.2:7000 --first 0 --last 1
  start "$bin/standin" --role engine --listen $net.3:7000 --first 2 --last 3
  start "$bin/standin" --role engine --listen $net.4:7000 --first 0 --last 1
  start "$bin/standin" --role engine --listen $net.5:7000 --first 2 --last 3
  start "$bin/standin" --role service --listen $net.6:7000
  start "$bin/standin" --role service --listen $net.7:7000
  ready 1 /stats
  "$bin/elmarchd" --listen $net.9:7000 --peer-listen $net.9:7001 --hall h \
    --platform $net.1:7000 --cluster-key recorder-cluster-key \
    --operator-key recorder-operator-key --call-limit-ms 300 --trace \
    --trace-fd 3 3>"$dir/$name.trace" 2>"$dir/host.log" &
  pids="$pids $!"
  host=$!
  ready 9 /metrics
  hash=$(printf %s "$key" | sha256sum | cut -d' ' -f1)
  for n in 2 3 4 5; do
    echo '{"kind":"endpoints","name":"e'$n'","spec":{"address":"'$net.$n':7000","hall":"h","role":"engine"}},'
  done >"$dir/list"
  cat >"$dir/config.json" <<EOC
[$(cat "$dir/list")
{"kind":"endpoints","name":"w6","spec":{"address":"$net.6:7000","hall":"h","role":"worker"}},
{"kind":"endpoints","name":"w7","spec":{"address":"$net.7:7000","hall":"h","role":"worker"}},
{"kind":"deployments","name":"d","spec":{"model":"m","layers":4}},
{"kind":"pipelines","name":"pa","spec":{"deployment":"d","stages":[{"endpoint":"e2","first":0,"last":1},{"endpoint":"e3","first":2,"last":3}]}},
{"kind":"pipelines","name":"pb","spec":{"deployment":"d","stages":[{"endpoint":"e4","first":0,"last":1},{"endpoint":"e5","first":2,"last":3}]}},
{"kind":"services","name":"s","spec":{"endpoints":["w6","w7"]}},
{"kind":"customers","name":"c","spec":{"keyHash":"$hash"}}]
EOC
  "$bin/elmarchctl" --host $net.9:7000 --operator-key recorder-operator-key \
    apply "$dir/config.json" >/dev/null
  "scenario_$name"
  kill "$host"
  wait "$host" || true
  stop_all
  cp "$dir/$name.trace" "$out/$name.trace"
}

scenario_whole() { chat one; chat two; pay t1; }
scenario_answer_lost() {
  fault 2 '{"fault":"lose","after":2,"times":1}'
  fault 4 '{"fault":"lose","after":2,"times":1}'
  chat one; chat two; chat three
}
scenario_engine_hangs() {
  fault 3 '{"fault":"hang","after":1,"times":2}'
  fault 5 '{"fault":"hang","after":1,"times":2}'
  chat one; chat two
}
scenario_crossed() {
  fault 3 '{"fault":"cross","after":1,"times":2}'
  fault 5 '{"fault":"cross","after":3,"times":1}'
  chat one; chat two
}
scenario_leaving() { fault 2 '{"fault":"leaving"}'; chat one; chat two; chat three; }
scenario_worker_lost() {
  fault 6 '{"fault":"lose"}'; fault 7 '{"fault":"lose"}'
  pay t1; fault 6 '{"fault":"busy"}'; fault 7 '{"fault":"none"}'; pay t2; pay t3
}

for s in whole answer_lost engine_hangs crossed leaving worker_lost; do
  scenario $s
done
