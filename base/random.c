/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Random numbers for choices that only have to differ between hosts; nothing
 * that must not be guessed may hang on them.
 */
#include "base.h"

/** The next number after STATE, which must not be 0 (xorshift64, by George
    Marsaglia). */
uint64_t
el_random (uint64_t *state)
{
  *state ^= *state << 13;
  *state ^= *state >> 7;
  *state ^= *state << 17;
  return *state;
}
