/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * The parts that serve relayed requests, wired together.
 */
#ifndef ELMARCH_SITE_H
#define ELMARCH_SITE_H

#include "gate.h"

typedef struct site_options
{
  el_str_t entry;     /**< callers, ip:port; empty: no relayed requests */
  el_str_t ready;     /**< asks for readiness, ip:port */
  el_str_t directory; /**< look-ups of entry addresses, ip:port */
  el_str_t store;     /**< the platform's store, ip:port */
  el_str_t name;      /**< of this host */
  el_str_t hall;
  el_str_t key; /**< shared by the hosts */
  uint64_t entry_ttl_s;
  double repeat_ratio;
  double repeat_slack;
  el_time_t repeat_window;
  el_time_t keys_limit;
  el_time_t change_limit; /**< a change of the rules must be in force after
                               this */
  uint64_t lease_ms;      /**< of the planner's duty */
  el_time_t stop_least;   /**< a stop goes on at least this long: callers learn
                               of it by their next look-up */
  el_time_t stop_most;
  uint64_t seed;
} site_options_t;

typedef struct site site_t;

site_t *site_new (gt_gate_t *gate, const site_options_t *options,
                  el_err_t *err);
void site_stop (site_t *site, gt_drained_cb done, void *arg);

#endif
