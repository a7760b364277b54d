#!/bin/sh
# Installs the packages that are missing for building and testing.
set -eu
want="gcc make libuv1-dev libh2o-dev libhttp-parser-dev libcurl4-openssl-dev libtirpc-dev
libpopt-dev liblog4c-dev libjansson-dev libxxhash-dev libssl-dev uthash-dev
check libsubunit-dev clang-format clang-tidy curl mandoc
pkg-config"
missing=
for p in $want; do
  dpkg-query -W -f='${Status}' "$p" 2>/dev/null | grep -q 'ok installed' ||
    missing="$missing $p"
done
[ -n "$missing" ] || exit 0
as=
[ "$(id -u)" = 0 ] || as=sudo
$as apt-get update -qq
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive $as apt-get install -y -qq $missing >/dev/null
