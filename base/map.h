/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * uthash with XXH3 as hash function. Included instead of uthash.h by files
 * that use a hash table.
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
