/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Deterministic simulation of requests that share crashing parts of their
 * prompts, for the blame tests and benchmarks. No two requests are alike. Each
 * host has a blame table and trials of its own, the daemon's code; reports,
 * blocks and clearings reach the other hosts after a delay.
 */
#ifndef ELMARCH_PART_SIM_H
#define ELMARCH_PART_SIM_H

#include "blame.h"

/* Which crashing part a request gets, besides the first part, which is its
   customer's, and the second, which is its class's. */
typedef enum part_place
{
  PART_FIRST,
  PART_MIDDLE,
  PART_LAST_SHARED,
  PART_PLACES
} part_place_t;

typedef struct part_options
{
  uint64_t seed;
  int requests_only; /* parts are no causes */
  int no_trials;     /* requests with a suspect part are not sent singly */
  int no_testimony;  /* hosts do not say which parts ran well before */
  size_t hosts;
  size_t idle_hosts; /* of these, hosts that take few requests */
  size_t engines;
  size_t customers;
  double rate;          /* requests per second */
  double bad_share;     /* share of requests with a crashing part */
  size_t bad_parts;     /* number of different crashing parts */
  size_t bad_customers; /* number of customers that send them */
  part_place_t place;
  size_t extra_parts;   /* further parts of each prompt, shared by a class */
  double crash_rate;    /* unrelated crashes per engine and second */
  size_t rack_size;     /* engines that crash within a second, every 20 s */
  double delayed_share; /* share of messages that arrive a second late */
  double seconds;
} part_options_t;

typedef struct part_result
{
  size_t crashes;       /* by crashing parts */
  size_t before_block;  /* of these, up to the first block of each part, the
                           maximum over the parts */
  size_t late;          /* sends of such requests later than 3 s after the
                           fifth crash by their part, the maximum */
  size_t after_block;   /* sends of such requests after the block was known
                           to their host */
  size_t other_crashes; /* unrelated ones */
  size_t sound;         /* sound requests */
  size_t sound_blocked; /* of these, refused as blocked */
  size_t sound_refused; /* refused after a wait for a trial, or as no engine
                           was available */
  size_t sound_waited;  /* waited for a trial */
  size_t testimonies;   /* that a part ran well before */
  double wait_p50_ms;   /* of these */
  double wait_p99_ms;
  size_t blocked_parts; /* crashing parts that are blocked at the end */
  size_t first_tries;   /* sound requests of the same customers, later than
                           1 s after the block */
  size_t first_begun;   /* of these, begun at the first attempt */
} part_result_t;

part_result_t part_sim_run (const part_options_t *options);

#endif
