#!/bin/sh
# Show that each test fails without its mechanism: tests/red.list names the
# test and the edit that takes the mechanism out of a scratch copy. An argument
# takes only the tests whose line it matches.
set -u
only=${1:-.}
dir=$(mktemp -d)
jobs=${JOBS:-6}
trap 'rm -rf "$dir"' EXIT
programs="build/bin/unit build/bin/proc build/bin/elmarchd build/bin/standin"
# shellcheck disable=SC2086
make -s all $programs || exit 1
{ git ls-files -co --exclude-standard; find build -path build/san -prune -o -type f -print; } |
  tar -cf "$dir/tree.tar" -T -

lines() {
  grep -v '^#' tests/red.list | grep -e "$only"
}

one() {
  n=$1
  line=$(lines | sed -n "${n}p")
  name=$(echo "$line" | cut -d'|' -f1)
  bin=$(echo "$line" | cut -d'|' -f2)
  file=$(echo "$line" | cut -d'|' -f3)
  script=$(echo "$line" | cut -d'|' -f4-)
  mkdir -p "$dir/$n" && cd "$dir/$n" && tar -xf ../tree.tar || return
  cp "$file" "$file.orig"
  sed -i "$script" "$file"
  if cmp -s "$file" "$file.orig"; then
    echo "UNCHANGED $name: the edit does not fit $file"
    return
  fi
  # shellcheck disable=SC2086
  if ! make -s WARN=-w $programs >build.log 2>&1; then
    echo "UNBUILT $name"
    return
  fi
  if ELMARCH_TEST_BIN=build/bin ELMARCH_TEST=$name CK_DEFAULT_TIMEOUT=20 \
    timeout 200 "build/bin/$bin" >run.log 2>&1; then
    echo "GREEN $name: passes without its mechanism"
  elif [ -n "$name" ] && grep -q 'Checks: [1-9]' run.log; then
    echo "red $name"
  else
    echo "NOT RUN $name: see the list and the program"
  fi
  cd / && rm -rf "${dir:?}/$n"
}

total=$(lines | wc -l)
[ "$total" -gt 0 ] || exit 1
n=1
while [ $n -le "$total" ]; do
  i=0
  while [ $i -lt "$jobs" ] && [ $n -le "$total" ]; do
    (one $n) &
    n=$((n + 1))
    i=$((i + 1))
  done
  wait
done >"$dir/result"
sort "$dir/result"
red=$(grep -c '^red ' "$dir/result")
echo "$red passed, $((total - red)) failed"
[ "$red" = "$total" ]
