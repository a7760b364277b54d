#!/bin/sh
# Runs clang-tidy. Usage: tidy.sh FLAG... FILE...
flags=
files=
take=
for a; do
  case $take$a in
    -isystem) take=-isystem ;;
    -isystem*) flags="$flags -isystem $a"; take= ;;
    -*) flags="$flags $a" ;;
    *) files="$files $a" ;;
  esac
done
# shellcheck disable=SC2086
out=$(clang-tidy --quiet $files -- -std=gnu11 $flags 2>/dev/null) || {
  echo "$out"
  exit 1
}
