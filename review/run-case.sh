#!/bin/sh
# run-case.sh N: runs case N and writes review/N/record.txt. Exits with 1 if
# the rule was broken, 0 if it held and 2 if the case could not run.
set -u
root=$(cd "$(dirname "$0")/.." && pwd)
dir=$(mktemp -d) || exit 2
RIG_DIR=$dir
RIG_BIN=$root/target/bin
RIG_RECORD=$root/review/$1/record.txt
export RIG_DIR RIG_BIN RIG_RECORD
if ! rm -f "$RIG_RECORD" || ! [ -x "$root/target/review/rig" ] \
  || ! [ -x "$RIG_BIN/elmarchd" ]; then
  echo "build first: the deploy file's build and review/build.sh" >&2
  rm -rf "$dir"
  exit 2
fi
timeout -k 5 115 "$root/target/review/rig" "case-$1"
rc=$?
[ -n "${KEEP_LOGS:-}" ] && cp "$dir"/*.log "$KEEP_LOGS"
rm -rf "$dir"
case $rc in
0 | 1) exit $rc ;;
*) exit 2 ;;
esac
