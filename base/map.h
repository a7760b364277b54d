/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * uthash with the project's hash function. Included by the files that keep
 * a hash table, in place of uthash.h.
 */
#ifndef ELMARCH_MAP_H
#define ELMARCH_MAP_H

#include <stdlib.h>
#include <xxhash.h>

#define HASH_FUNCTION(key, len, hash)                                         \
  ((hash) = (unsigned)XXH3_64bits ((key), (len)))
#include <uthash.h>
#include <utlist.h>

#endif
