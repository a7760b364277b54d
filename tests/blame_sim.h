/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Deterministic simulation of hosts, first engines and callers, for the blame
 * tests and benchmarks. Some callers resubmit a culprit: a request that
 * crashes each engine that starts to run it. Each host has a blame table of
 * its own, the daemon's code, and receives the reports of the other hosts
 * after a delay, some much later than others and in any order.
 */
#ifndef ELMARCH_BLAME_SIM_H
#define ELMARCH_BLAME_SIM_H

#include "blame.h"

/** What hosts do with the crashes of a service none of whose endpoints they
    reach any more. */
typedef enum sim_doubt
{
  SIM_DOUBT_NONE, /**< they know of each crash at once */
  SIM_DOUBT_DROP, /**< they take themselves for cut off: no crash is known */
  SIM_DOUBT_HOLD /**< the store's list decides; a request that may have crashed
                    two endpoints is not sent until then */
} sim_doubt_t;

typedef struct sim_options
{
  uint64_t seed;
  const rt_blame_rule_t *rule; /* NULL: no request is blamed */
  /* isolation of suspects; 0: none, 1: sent to different engines, 2: and those
     with several crashes wait for an engine that no other suspect uses, 3: as
     2, but after one crash only prime suspects are isolated */
  int isolation;
  int free_retries; /* attempts that end in a crash don't count as attempts */
  size_t hosts;
  size_t engines;  /* first engines, to which streams are sent */
  double rate;     /* streams per second */
  size_t culprits; /* distinct culprits: requests that crash engines */
  /* mean delay in seconds after which a culprit's caller resubmits it */
  double resubmit_delay_s;
  double crash_rate;    /* unrelated crashes per engine and second */
  size_t rack_size;     /* engines that crash within one second, every 20 s */
  double delayed_share; /* share of reports that arrive a second late */
  /* streams per second of one frequent innocent request */
  double frequent_rate;
  /* a completed run is reported to other hosts only after the request's second
     crash */
  int defer_completed;
  sim_doubt_t doubt;
  double restart_s; /* until a crashed engine is replaced; 0: 8 s */
  double seconds;   /* simulated time */
} sim_options_t;

typedef struct sim_result
{
  size_t sends;           /* of culprits */
  size_t culprit_crashes; /* engine crashes caused by culprits */
  size_t late; /* maximum over the culprits: sends later than 3 s after the
                  culprit's third crash */
  size_t other_crashes; /* unrelated engine crashes */
  size_t streams;       /* innocent ones */
  size_t refused;       /* innocent streams refused as culprits */
  size_t failed;        /* innocent streams without a complete answer */
  size_t broken;        /* interruptions of innocent streams */
  size_t blocked;       /* culprits that are blocked at the end */
} sim_result_t;

sim_result_t sim_run (const sim_options_t *options);

#endif
