/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * The answer that the stand-in model gives, worked out in one piece: all
 * layers, from the prompt on, anew for every token.
 */
#ifndef ELMARCH_REFERENCE_H
#define ELMARCH_REFERENCE_H

#include <stddef.h>
#include <stdint.h>

/** Longest answer that is worked out. */
#define REFERENCE_TOKENS_MAX 4096

/** Fill OUT with the tokens of the answer to one user message of CONTENT, at
    most MAX of them; gives their number. */
size_t reference_answer (const char *content, uint64_t layers, size_t max,
                         uint64_t *out);

/** The text of an answer; the caller frees it. */
char *reference_text (const uint64_t *tokens, size_t n);

#endif
