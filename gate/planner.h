/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * The planner assigns model layers to engines. One host runs it at a time, the
 * holder of the planner duty.
 */
#ifndef ELMARCH_PLANNER_H
#define ELMARCH_PLANNER_H

#include "gate_relay.h"
#include "store.h"

/** Outcome of an order. */
typedef enum gt_order_state
{
  GT_ORDER_BEGUN,   /**< the engine accepted it */
  GT_ORDER_REFUSED, /**< the engine did not accept it or never received it */
  GT_ORDER_UNKNOWN  /**< no answer: the engine may carry it out, also later */
} gt_order_state_t;

typedef void (*gt_order_cb) (void *arg, gt_order_state_t state, int status,
                             const rt_hints_t *hints);

typedef struct gt_planner_options
{
  gt_relays_t *relays;
  st_duty_t *duty;
  net_clock_t *clock;
  net_client_t *client;
  rt_fleet_t *fleet;
  /** Sends an engine the order to hold a range of layers. */
  void (*send_order) (net_client_t *client, const rt_order_t *order,
                      gt_order_cb done, void *arg);
  /** Whether this host should take the planner's duty if it is vacant. */
  int (*candidate) (void *arg);
  /** Returns whether orders from this host can reach the engines. Otherwise
      it gives the duty up. */
  int (*able) (void *arg);
  /** The time, by the clock, up to which the list of endpoints is current. */
  el_time_t (*known) (void *arg);
  void *arg;
} gt_planner_options_t;

typedef struct gt_planner gt_planner_t;

gt_planner_t *gt_planner_new (const gt_planner_options_t *options);
void gt_planner_stop (gt_planner_t *planner);

#endif
