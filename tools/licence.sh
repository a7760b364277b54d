#!/bin/sh
# Put the licence line at the head of each source file that lacks it; with
# --check only say which does.
set -eu
for f in $(git ls-files -co --exclude-standard '*.c' '*.h' '*.x'); do
  case $f in peer/peer_xdr.c | peer/peer_proto.h) continue ;; esac
  head -4 "$f" | grep -q SPDX && continue
  if [ "${1:-}" = --check ]; then
    echo "$f: no licence line"
    exit 1
  fi
  {
    {
      printf '/*\n * Copyright (c) 2026 The elmarch authors\n'
      printf ' * SPDX-License-Identifier: ISC\n */\n'
      cat "$f"
    } >"$f.tmp"
    mv "$f.tmp" "$f"
  }
done
