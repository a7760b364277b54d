/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Simulation of hosts that send to an endpoint which names a rate limit for
 * all of them together. The hosts decide with the code of coord/allowance.c,
 * or by one of the simpler strategies that it is compared with.
 */
#ifndef ELMARCH_LIMIT_SIM_H
#define ELMARCH_LIMIT_SIM_H

#include "coord.h"

/** How hosts share the limit. */
typedef enum lsim_strategy
{
  LSIM_ALONE, /**< each host keeps to all of it alone */
  LSIM_EVEN,  /**< an equal part for each host */
  LSIM_FEW,   /**< equal parts for as many hosts as the rate bears */
  LSIM_LEND,  /**< one host lends it to the others */
  LSIM_STRATEGIES
} lsim_strategy_t;

/** Which hosts have the demand. */
typedef enum lsim_demand
{
  LSIM_SPREAD, /**< all equally */
  LSIM_ONE,    /**< one host has 90 % */
  LSIM_MOVING, /**< 90 % at another third of the hosts each second */
  LSIM_DEMANDS
} lsim_demand_t;

typedef struct lsim_options
{
  lsim_strategy_t strategy;
  lsim_demand_t demand;
  size_t hosts;
  double rate;   /**< limit, requests per second */
  double excess; /**< demand in multiples of the limit */
  el_time_t duration;
  el_time_t step;  /**< time step; a call to another host takes two */
  unsigned faults; /**< hosts killed, frozen, cut off or added at random */
  unsigned lost_percent; /**< calls between hosts that are lost */
  int halving;           /**< the limit halves and doubles each second */
  uint64_t seed;
} lsim_options_t;

typedef struct lsim_results
{
  uint64_t sent;    /**< requests to the endpoint */
  uint64_t asked;   /**< calls to a lender */
  uint64_t busiest; /**< most calls to one host */
  unsigned most;    /**< most arrivals in four seconds */
  double worst;     /**< highest share of what is allowed in four seconds;
                       above 1: too many */
  double minute;    /**< highest share of the limit in a minute */
  double used;      /**< share of the limit that was used */
} lsim_results_t;

void lsim_draw (lsim_strategy_t strategy, uint64_t seed, lsim_options_t *out);
void lsim_run (const lsim_options_t *options, lsim_results_t *out);

#endif
