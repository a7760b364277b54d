/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Seeds and mutated input for randomized tests.
 */
#ifndef ELMARCH_TEST_SEEDS_H
#define ELMARCH_TEST_SEEDS_H

#include "base.h"

void seeds_seed (uint64_t seed);
unsigned seeds_random (unsigned n);
uint64_t seeds_env (const char *name, uint64_t def);
void seeds_run (void (*play) (uint64_t seed));
el_buf_t seeds_mutate (const char *text);

#endif
