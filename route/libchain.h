/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Declarations shared by the files that search for chains.
 */
#ifndef ELMARCH_LIBCHAIN_H
#define ELMARCH_LIBCHAIN_H

#include "relay.h"

/* Weight of a millisecond in the prefill queue relative to one of token
   latency. The delay of the first event occurs only once, and a stream is
   prefilled in only one of its chain's ten or so parts at a time. */
#define PREFILL_WAIT_WEIGHT 0.01

/* An engine that a search looks at. */
typedef struct chain_candidate
{
  rt_target_t *target;
  const rt_card_t *card;
  unsigned hall;
  double layer_ms; /* decode time per layer */
  rt_estimate_t estimate;
  int required;  /* is searched whatever it costs */
  int may_begin; /* its rate limit admits another stream that begins there */
} chain_candidate_t;

/* chain_reduce.c */
size_t chain_reduce (chain_candidate_t *list, size_t n);

#endif
