/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * The arithmetic of the stand-in model. Each layer keeps a state that every
 * position changes, and what comes out depends on the layer's number, on its
 * state and on what went in: a layer left out, run twice or out of order
 * changes every token after it.
 */
#ifndef ELMARCH_MODEL_H
#define ELMARCH_MODEL_H

#include <stdint.h>

#define MODEL_VOCABULARY 50000
#define MODEL_STOP_EVERY 61 /* a token that this divides ends the answer */

static inline uint64_t
model_mix (uint64_t z)
{
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
  return z ^ (z >> 31);
}

/** What the first layer takes in for a token. */
static inline uint64_t
model_embed (uint64_t token)
{
  return model_mix (token + 0x9e3779b97f4a7c15ULL);
}

/** One layer on one position. */
static inline uint64_t
model_layer (uint64_t layer, uint64_t *state, uint64_t in)
{
  *state = model_mix (*state * 3 + in);
  return model_mix (in ^ (*state + (layer + 1) * 0x9e3779b97f4a7c15ULL));
}

#endif
