#!/bin/sh
# Adds the licence header to each source file that lacks it. With --check,
# reports the first file that lacks it and exits with status 1.
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
