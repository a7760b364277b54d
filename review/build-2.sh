#!/bin/sh
# Builds the programs of the second review's cases under target/review-2.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for name in cut_answer cut_stream feed_gap; do
  ${CC:-gcc} -O2 -g -std=gnu11 -Wall -Wextra -Werror -D_GNU_SOURCE \
    -o "target/review-2/$name" "review/rig-2/$name.c" review/rig-2/rig.c \
    review/rig-2/store.c review/rig-2/worker.c review/rig-2/host.c \
    review/rig-2/site.c -ljansson -lpthread
done
