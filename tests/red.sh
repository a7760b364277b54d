#!/bin/sh
# Mutation check: shows that each test fails without the code that it covers.
# Each line of tests/red.list names a test and a sed script that removes that
# code. The script is applied to a scratch copy of the tree, where the test must
# fail. With an argument, only the lines that match it are run.
set -u
pattern=${1:-.}
dir=$(mktemp -d)
jobs=${JOBS:-6}
trap 'rm -rf "$dir"' EXIT
programs="build/bin/unit build/bin/proc build/bin/elmarchd build/bin/standin"
# shellcheck disable=SC2086
make -s all $programs || exit 1
{ git ls-files -co --exclude-standard; find build -path build/san -prune -o -type f -print; } |
  tar -cf "$dir/tree.tar" -T -

matching_lines() {
  grep -v '^#' tests/red.list | grep -e "$pattern"
}

run_line() {
  n=$1
  line=$(matching_lines | sed -n "${n}p")
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
    echo "GREEN $name: passes without the code that it covers"
  elif [ -n "$name" ] && grep -q 'Checks: [1-9]' run.log; then
    echo "red $name"
  else
    echo "NOT RUN $name: build/bin/$bin ran no check of this name"
  fi
  cd / && rm -rf "${dir:?}/$n"
}

total=$(matching_lines | wc -l)
[ "$total" -gt 0 ] || exit 1
n=1
while [ $n -le "$total" ]; do
  started=0
  while [ $started -lt "$jobs" ] && [ $n -le "$total" ]; do
    (run_line $n) &
    n=$((n + 1))
    started=$((started + 1))
  done
  wait
done >"$dir/result"
sort "$dir/result"
red=$(grep -c '^red ' "$dir/result")
echo "$red passed, $((total - red)) failed"
[ "$red" = "$total" ]
