/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Seeds and mutated input for randomized tests. ELMARCH_SEEDS sets the number
 * of seeds to run; ELMARCH_SEED runs a single one, to reproduce a failure.
 */
#include "seeds.h"

#include <stdlib.h>
#include <string.h>

#define SEEDS_DEFAULT 2000

static uint64_t random_state;

/** A pseudo-random number below N (xorshift). */
unsigned
seeds_random (unsigned n)
{
  random_state ^= random_state << 13;
  random_state ^= random_state >> 7;
  random_state ^= random_state << 17;
  return (unsigned)(random_state % n);
}

/** The number in an environment variable, or DEF if it is unset. */
uint64_t
seeds_env (const char *name, uint64_t def)
{
  const char *text = getenv (name);

  return text ? strtoull (text, NULL, 10) : def;
}

/** Start the pseudo-random numbers of SEED. */
void
seeds_seed (uint64_t seed)
{
  random_state = seed * 0x9e3779b97f4a7c15ULL;
}

/** Run PLAY with each seed, or only with the one in ELMARCH_SEED. */
void
seeds_run (void (*play) (uint64_t seed))
{
  uint64_t one = seeds_env ("ELMARCH_SEED", 0);
  uint64_t n = seeds_env ("ELMARCH_SEEDS", SEEDS_DEFAULT);
  uint64_t seed;

  for (seed = one ? one : 1; seed <= (one ? one : n); seed++)
    {
      seeds_seed (seed);
      play (seed);
    }
}

/** A copy of TEXT with up to 5 bytes changed or dropped, some with a prefix of
    TEXT inserted before them, and sometimes truncated; the caller frees it. */
el_buf_t
seeds_mutate (const char *text)
{
  el_buf_t out = { NULL, 0, 0 };
  size_t len = strlen (text);
  unsigned changes = seeds_random (6);
  size_t i;
  char c;

  for (i = 0; i < len; i++)
    {
      c = text[i];
      if (changes && seeds_random ((unsigned)len) < 4)
        {
          changes--;
          if (seeds_random (3) == 0)
            continue;
          c = seeds_random (2) ? (char)seeds_random (256)
                               : "{}[]\",:0-9e\n"[seeds_random (12)];
          if (seeds_random (4) == 0)
            el_buf_add (&out,
                        (el_str_t){ text, seeds_random ((unsigned)len) });
        }
      el_buf_add (&out, (el_str_t){ &c, 1 });
    }
  if (seeds_random (8) == 0)
    out.len = seeds_random ((unsigned)out.len + 1);
  return out;
}
