#!/bin/sh
# Play the seeds that broke a promise once.
set -eu
bin=$1
dir=$2
here=$(dirname "$0")
{ grep -v "^#" "$here/seeds.list" || :; } | while read -r seed seconds _; do
  "$bin/soak" --bin "$bin" --dir "$dir" --seed "$seed" --seconds "$seconds"
done
