/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Declarations shared by the files of the frontend.
 */
#ifndef ELMARCH_LIBFRONTEND_H
#define ELMARCH_LIBFRONTEND_H

#include "frontend.h"
#include "platform.h"

/* Load that the hosts of the hall tell each other. */
typedef struct frontend_load
{
  el_timer_t timer;
  ld_hall_t *hall;         /* reports of the hosts, on the hall's first one */
  el_time_t reports_until; /* reports go on until then */
  el_time_t told_at;       /* 0: never */
  uint64_t hosts;          /* other hosts whose load was told */
  uint64_t engines;        /* engines in use by them */
  uint64_t reports;
  uint64_t unanswered;
  uint64_t received;
  uint64_t stale;
  el_time_t refused_logged_at;
} frontend_load_t;

struct frontend
{
  gt_gate_t *gate;
  frontend_options_t options;
  st_store_t store;
  rt_fleet_t *fleet;
  gt_relays_t *relays;
  st_duty_t *duty;
  gt_planner_t *planner;
  st_follow_t *follow;
  frontend_load_t load;
  st_store_listener_t store_listener;
  int endpoints_known;
  int planner_held; /* some host is known to hold the planner lease */
  uint64_t gauge_endpoints;
  uint64_t gauge_placed;
  uint64_t gauge_leaving;
  uint64_t gauge_limits;
  uint64_t gauge_planner;
  int withdrawn;
  el_timer_t check_timer;
  el_time_t store_as_of;
  el_time_t started_at;
  int peers_synced; /* rumors were fetched, or there is no other host */
  int stopping;
  int stop_responded; /* no request is to outlast the stop */
  el_time_t stop_started_at;
  el_timer_t stop_timer;
  gt_drained_cb stop_done;
  void *stop_done_arg;
};

/* frontend_load.c */
void frontend_load_start (frontend_t *frontend);
void frontend_load_received (void *arg, uint64_t host, uint64_t sequence,
                             const ld_report_t *report, ld_report_t *out);
json_t *frontend_load_state (void *arg);

/* frontend_relays.c */
gt_relays_t *frontend_new_relays (frontend_t *frontend, el_err_t *err);
void frontend_set_relay_hooks (frontend_t *frontend);

#endif
