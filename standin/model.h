/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Arithmetic of the stand-in model. Each layer keeps a state that every
 * position updates, and its output depends on the layer's number, its state
 * and its input. A layer that is skipped, run twice or run out of order
 * therefore changes every later token.
 */
#ifndef ELMARCH_MODEL_H
#define ELMARCH_MODEL_H

#include <stdint.h>

#define MODEL_VOCABULARY_SIZE 50000
#define MODEL_STOP_EVERY 61 /* a token divisible by this ends the answer */

static inline uint64_t
model_mix (uint64_t z)
{
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
  return z ^ (z >> 31);
}

/** Returns the first layer's input for a token. */
static inline uint64_t
model_embed (uint64_t token)
{
  return model_mix (token + 0x9e3779b97f4a7c15ULL);
}

/** Runs one layer on one position: updates STATE and returns the output. */
static inline uint64_t
model_layer (uint64_t layer, uint64_t *state, uint64_t in)
{
  *state = model_mix (*state * 3 + in);
  return model_mix (in ^ (*state + (layer + 1) * 0x9e3779b97f4a7c15ULL));
}

#endif
