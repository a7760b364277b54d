#!/bin/sh
# Run the seeds that once violated an invariant.
set -eu
bin=$1
dir=$2
here=$(dirname "$0")
{ grep -v "^#" "$here/seeds.list" || :; } | while read -r seed seconds option _; do
  [ "$option" != - ] || option=
  # shellcheck disable=SC2086
  "$bin/soak" --bin "$bin" --dir "$dir" --seed "$seed" --seconds "$seconds" $option
done
