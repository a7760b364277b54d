#!/bin/sh
# Tests the command lines of the programs. Each tests/settings/*.in holds
# commands; their output and exit status must match the .out file beside it.
set -u
bin=$1
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
passed=0
failed=0
unset ELMARCHD_CLUSTER_KEY ELMARCHD_OPERATOR_KEY ELMARCHCTL_OPERATOR_KEY
for input in tests/settings/*.in; do
  expected=${input%.in}.out
  {
    # A line holds a command, preceded by its environment variables.
    (PATH=$bin:$PATH sh "$input") 2>&1
    echo "exit $?"
  } >"$dir/out"
  if cmp -s "$dir/out" "$expected"; then
    passed=$((passed + 1))
  else
    failed=$((failed + 1))
    echo "$input differs:"
    diff "$expected" "$dir/out"
  fi
done
echo "$passed passed, $failed failed"
[ "$failed" = 0 ]
