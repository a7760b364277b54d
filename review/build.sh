#!/bin/sh
# Builds what the scripts in review/ start: the project's stand-in for the
# store and the stand-ins and clients in review/rig. The hosts' program is
# built by the deploy file.
set -eu
cd "$(dirname "$0")/.."
make -s -j8 B=target target/bin/standin
mkdir -p target/review
gcc -std=gnu11 -O2 -g -Wall -Wextra -Werror -pthread -o target/review/rig \
  review/rig/main.c review/rig/rig.c review/rig/server.c review/rig/cases.c
