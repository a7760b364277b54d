/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Helpers of the benchmarks, which print lines of key=value to standard
 * output.
 */
#ifndef ELMARCH_BENCH_H
#define ELMARCH_BENCH_H

#include <malloc.h>
#include <stdint.h>
#include <stdio.h>
#include <time.h>

static inline uint64_t
bench_ns (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (uint64_t)now.tv_sec * 1000000000U + (uint64_t)now.tv_nsec;
}

/** Bytes allocated on the heap. */
static inline size_t
bench_heap (void)
{
  return mallinfo2 ().uordblks;
}

#endif
