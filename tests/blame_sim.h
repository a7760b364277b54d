/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Hosts, first engines and callers, some of which send a request that ends
 * each engine that begins to run it: arithmetic, deterministic for a seed. The
 * judgement is the daemon's own; each host has one, and hears from the others
 * after a delay, with losses, in any order.
 */
#ifndef ELMARCH_BLAME_SIM_H
#define ELMARCH_BLAME_SIM_H

#include "blame.h"

typedef struct sim_options
{
  uint64_t seed;
  const rt_blame_rule_t *rule; /* NULL: nothing is judged */
  int apart;   /* suspects are sent apart from each other; 2: and wait for
                  their turn */
  int patient; /* attempts at engines that ended don't count as such */
  size_t hosts;
  size_t engines;  /* that streams may be sent to first */
  double rate;     /* streams a second */
  size_t deadly;   /* different requests that end engines */
  double again_s;  /* such a one comes again so long after its answer */
  double end_rate; /* ends of an engine in a second without a reason */
  size_t rack;     /* engines that end within a second, each 20 s */
  double loss;     /* share of news that come a second late */
  double often;    /* streams a second that are one innocent request */
  int tell_late;   /* that it ran well is told from its second end on */
  double seconds;
} sim_options_t;

typedef struct sim_result
{
  size_t sends; /* of deadly requests */
  size_t ended; /* engines by them */
  size_t late;  /* sends later than 3 s after the third end, the most of one */
  size_t others;  /* engines that ended otherwise */
  size_t streams; /* innocent */
  size_t refused; /* of these, as being to blame */
  size_t failed;  /* without a whole answer */
  size_t broken;  /* times that one was broken off */
  size_t blocked; /* deadly requests that are blocked at the end */
} sim_result_t;

sim_result_t sim_run (const sim_options_t *options);

#endif
