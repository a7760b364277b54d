/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Reference implementation of the stand-in model, without caches, stages or
 * steps.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>
#include <xxhash.h>

#include "base.h"
#include "model.h"
#include "reference.h"

#define PROMPT_CHUNK 16

/* Returns the first layer's inputs for the prompt. */
static uint64_t *
prompt_inputs (const char *content, size_t *n)
{
  json_t *prompt = json_pack ("{s:[{s:s,s:s}],s:{}}", "messages", "role",
                              "user", "content", content, "params");
  char *text = json_dumps (prompt, JSON_COMPACT | JSON_SORT_KEYS);
  size_t len = strlen (text);
  uint64_t *inputs;
  size_t i;

  *n = (len + PROMPT_CHUNK - 1) / PROMPT_CHUNK;
  inputs = el_alloc ((*n + REFERENCE_TOKENS_MAX) * sizeof *inputs);
  for (i = 0; i < *n; i++)
    {
      size_t at = i * PROMPT_CHUNK;
      size_t part = len - at < PROMPT_CHUNK ? len - at : PROMPT_CHUNK;

      inputs[i] = model_embed (XXH3_64bits (text + at, part));
    }
  free (text);
  json_decref (prompt);
  return inputs;
}

/* Returns the token that follows INPUTS, running layer by layer over all
   positions. */
static uint64_t
next_token (const uint64_t *inputs, size_t n, uint64_t layers)
{
  uint64_t *activations = el_alloc (n * sizeof *activations);
  uint64_t layer;
  uint64_t state;
  uint64_t token;
  size_t i;

  memcpy (activations, inputs, n * sizeof *activations);
  for (layer = 0; layer < layers; layer++)
    {
      state = 0;
      for (i = 0; i < n; i++)
        activations[i] = model_layer (layer, &state, activations[i]);
    }
  token = activations[n - 1] % MODEL_VOCABULARY_SIZE;
  free (activations);
  return token;
}

size_t
reference_answer (const char *content, uint64_t layers, size_t max,
                  uint64_t *out)
{
  size_t n;
  uint64_t *inputs = prompt_inputs (content, &n);
  size_t made = 0;

  while (made < max && made < REFERENCE_TOKENS_MAX)
    {
      out[made] = next_token (inputs, n, layers);
      inputs[n++] = model_embed (out[made]);
      if (out[made++] % MODEL_STOP_EVERY == 0)
        break;
    }
  free (inputs);
  return made;
}

char *
reference_text (const uint64_t *tokens, size_t n)
{
  el_buf_t text = { NULL, 0, 0 };
  size_t i;

  el_buf_add (&text, EL_STR (""));
  for (i = 0; i < n; i++)
    el_buf_printf (&text, " w%" PRIu64, tokens[i]);
  return text.ptr;
}
