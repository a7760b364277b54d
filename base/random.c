/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Random numbers for choices that only need to differ between hosts. They are
 * predictable and must not be used for secrets.
 */
#include "base.h"

/** Return the next number and update STATE, which must not be 0 (xorshift64 by
    George Marsaglia). */
uint64_t
el_random (uint64_t *state)
{
  *state ^= *state << 13;
  *state ^= *state >> 7;
  *state ^= *state << 17;
  return *state;
}
