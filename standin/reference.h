/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Reference implementation of the stand-in model: computes an answer without
 * caching, running all layers from the start of the prompt for every token.
 */
#ifndef ELMARCH_REFERENCE_H
#define ELMARCH_REFERENCE_H

#include <stddef.h>
#include <stdint.h>

/** Longest answer, in tokens. */
#define REFERENCE_TOKENS_MAX 4096

/** Writes the tokens of the answer to one user message with CONTENT to OUT, at
    most MAX of them, and returns their number. */
size_t reference_answer (const char *content, uint64_t layers, size_t max,
                         uint64_t *out);

/** Returns the text of an answer; the caller frees it. */
char *reference_text (const uint64_t *tokens, size_t n);

#endif
