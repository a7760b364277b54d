/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * The components of a host that serve relayed requests.
 */
#ifndef ELMARCH_FRONTEND_H
#define ELMARCH_FRONTEND_H

#include "gate.h"

/** Longest body of a relayed request, in bytes, whatever the rules say. */
#define FRONTEND_BODY_MAX ((size_t)4 << 20)

/** Whether the hosts of a hall tell each other their load. */
typedef enum frontend_tell
{
  FRONTEND_TELL_UNEVEN, /**< if they differ in capacity */
  FRONTEND_TELL_ON,
  FRONTEND_TELL_OFF
} frontend_tell_t;

typedef struct frontend_options
{
  el_str_t entry;     /**< listens for callers, ip:port; empty: disabled */
  el_str_t ready;     /**< listens for readiness checks, ip:port */
  el_str_t directory; /**< listens for look-ups of entry addresses, ip:port;
                         empty: disabled */
  el_str_t store;     /**< address of the platform's store, ip:port */
  el_str_t name;      /**< of this host */
  el_str_t hall;
  el_str_t key;           /**< shared by all hosts */
  uint64_t entry_ttl_s;   /**< time for which callers cache entry addresses */
  double retry_ratio;     /**< retries allowed per request, over all hosts */
  double retry_slack;     /**< further retries allowed per window */
  el_time_t retry_window; /**< window in which retries are counted */
  el_time_t keys_limit;   /**< keys are refused when the rules are older */
  el_time_t change_limit; /**< time within which a change of the rules must
                             be in force */
  uint64_t lease_ms;      /**< time to live of the planner lease */
  el_time_t stop_min;     /**< shortest duration of a stop; callers learn of
                             the stop by their next look-up */
  el_time_t stop_max;     /**< longest duration of a stop */
  frontend_tell_t tell_load;
  el_time_t load_interval; /**< between reports of this host's load */
  size_t max_waiting;      /**< requests of a service that may wait in order of
                              rank */
  uint64_t seed;
} frontend_options_t;

typedef struct frontend frontend_t;

frontend_t *frontend_new (gt_gate_t *gate, const frontend_options_t *options,
                          el_err_t *err);
void frontend_stop (frontend_t *frontend, gt_drained_cb done, void *arg);

#endif
