/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Internals of the route package.
 */
#ifndef ELMARCH_LIBRT_H
#define ELMARCH_LIBRT_H

#include "access.h"
#include "map.h"
#include "route.h"

typedef struct rt_endpoint
{
  char *key;
  el_str_t address;
  el_str_t hall;
  co_role_t role;
  uint64_t capacity;
  int draining;       /* by the operator */
  rt_access_t access; /* what is known against sending there */
  size_t in_flight;
  UT_hash_handle hh;
} rt_endpoint_t;

/* Retries allowed: a share of the requests, saved up to a cap. */
typedef struct rt_budget
{
  uint64_t tenths;
} rt_budget_t;

typedef struct rt_deployment rt_deployment_t;

typedef struct rt_pipeline
{
  char *key;
  char *deployment;
  uint64_t weight;
  co_stage_t *stages; /* endpoint names are owned */
  size_t nstages;
  uint64_t load; /* tokens still to come of the streams on it */
  size_t streams;
  UT_hash_handle hh;
} rt_pipeline_t;

struct rt_deployment
{
  char *key;
  el_str_t model;
  uint64_t generation;
  uint64_t layers;
  uint64_t max_tokens;
  rt_pipeline_t **pipes; /* those of this deployment */
  size_t npipes;
  rt_budget_t budget;
  UT_hash_handle hh;
};

typedef struct rt_service
{
  char *key;
  co_service_t spec; /* strings are owned */
  rt_budget_t budget;
  UT_hash_handle hh;
} rt_service_t;

typedef struct rt_stream rt_stream_t;

typedef struct rt_customer
{
  char *key;
  el_str_t key_hash;
  uint64_t priority;
  uint64_t weight;
  uint64_t max_in_flight;
  int removed; /* kept while its streams last */
  size_t in_flight;
  uint64_t virtual_time;
  rt_stream_t *queue; /* first to come, first served */
  rt_stream_t *queue_tail;
  UT_hash_handle hh;
  UT_hash_handle hh_key;
} rt_customer_t;

/* Layers in order over endpoints, each layer once, of one generation. Copies
   what it needs, so that a change of configuration leaves it whole. */
typedef struct rt_hop
{
  el_str_t endpoint;
  el_str_t address;
  uint64_t first;
  uint64_t last;
} rt_hop_t;

typedef struct rt_route
{
  el_str_t pipeline;
  uint64_t generation;
  size_t nhops;
  rt_hop_t hops[];
} rt_route_t;

typedef enum rt_state
{
  RT_QUEUED,
  RT_RUNNING,
  RT_BACKOFF /* between two attempts */
} rt_state_t;

struct rt_stream
{
  uint64_t id;
  rt_work_t work;
  rt_state_t state;
  rt_router_t *router;
  rt_customer_t *customer;
  rt_stream_t *queue_next;
  el_str_t target;
  el_str_t prompt;
  uint64_t max_tokens;
  el_time_t deadline;
  int repeatable;
  el_verdict_t verdict; /* of the calls that have ended */
  int calling;          /* a call is out */
  el_time_t call_due;
  el_time_t started; /* the first attempt */
  rt_route_t *route;
  uint64_t attempt;
  unsigned failures; /* in a row */
  size_t hop;
  uint64_t *tokens; /* delivered, those that the caller brought included */
  size_t ntokens;
  size_t cap_tokens;
  el_str_t avoid; /* endpoint that failed last */
  el_timer_t timer;
  UT_hash_handle hh;
};

struct rt_router
{
  rt_options_t options;
  uint64_t rng;
  el_timers_t timers;
  rt_counts_t counts;
  rt_endpoint_t *endpoints;
  rt_pipeline_t *pipelines;
  rt_deployment_t *deployments;
  rt_service_t *services;
  rt_customer_t *customers;
  rt_customer_t *customers_by_key;
  rt_stream_t *streams;
  size_t active;
  size_t queued;
  size_t hosts;
  uint64_t virtual_time;
  uint64_t mean_run; /* of a stream, microseconds, smoothed */
  int stopping;
  int admitting; /* rt_admit_next is on the stack */
};

/* What differs between the kinds of work. */
typedef struct rt_work_ops
{
  /* Choose endpoints for the stream's next attempt and call the first. */
  rt_reason_t (*start) (rt_stream_t *stream, el_time_t now);
  /* The call that was out is answered. */
  void (*reply) (rt_stream_t *stream, el_time_t now, const rt_event_t *event);
  /* The attempt is over: give back what it held. */
  void (*leave) (rt_stream_t *stream, el_time_t now, int abandon);
  rt_budget_t *(*budget) (rt_stream_t *stream);
  /* When endpoints may be used again that only rests keep from it; 0 where
     that is not so. */
  el_time_t (*opens) (const rt_stream_t *stream, el_time_t now);
} rt_work_ops_t;

extern const rt_work_ops_t rt_chat_ops;
extern const rt_work_ops_t rt_call_ops;

/* router.c */
uint64_t rt_random (rt_router_t *router);
void rt_act (rt_router_t *router, const rt_action_t *action);
void rt_stream_call (rt_stream_t *stream, el_time_t now, const rt_hop_t *hop,
                     rt_action_t *action);
void rt_stream_failed (rt_stream_t *stream, el_time_t now,
                       el_verdict_t verdict, rt_fail_t fail);
void rt_stream_end (rt_stream_t *stream, el_time_t now, rt_reason_t reason);
void rt_stream_run (rt_stream_t *stream, el_time_t now);

/* table.c */
rt_endpoint_t *rt_endpoint_find (const rt_router_t *router, el_str_t name);
rt_service_t *rt_service_find (const rt_router_t *router, el_str_t name);
rt_customer_t *rt_customer_find (const rt_router_t *router, el_str_t name);
rt_pipeline_t *rt_pipeline_find (const rt_router_t *router, el_str_t name);
void rt_customer_put (rt_router_t *router, rt_customer_t *customer);
void rt_table_free (rt_router_t *router);

/* path.c */
rt_route_t *rt_route_build (const rt_router_t *router,
                            const rt_deployment_t *deployment,
                            const rt_pipeline_t *pipeline, el_err_t *err);
void rt_route_free (rt_route_t *route);

/* pick.c */
rt_pipeline_t *rt_pick_pipeline (rt_router_t *router, el_time_t now,
                                 const rt_deployment_t *deployment,
                                 el_str_t avoid);
rt_endpoint_t *rt_pick_worker (rt_router_t *router, el_time_t now,
                               const rt_service_t *service, el_str_t avoid);

/* health.c */
int rt_endpoint_usable (const rt_endpoint_t *endpoint, el_time_t now,
                        int ignore_ejection);
void rt_endpoint_failed (rt_router_t *router, el_str_t name, el_time_t now,
                         rt_fail_t fail);
void rt_endpoint_answered (rt_router_t *router, el_str_t name);
void rt_endpoint_rests (rt_router_t *router, el_str_t name, el_time_t now,
                        el_time_t asked);
el_time_t rt_endpoint_opens (const rt_endpoint_t *endpoint, el_time_t now);
void rt_endpoint_flight (rt_router_t *router, el_str_t name, el_time_t now,
                         int delta);

/* admit.c */
rt_reason_t rt_admit (rt_stream_t *stream, el_time_t now);
void rt_admit_next (rt_router_t *router, el_time_t now);
void rt_admit_remove (rt_stream_t *stream);
uint64_t rt_admit_retry_after (rt_router_t *router);

/* retry.c */
void rt_budget_earn (rt_budget_t *budget);
int rt_budget_spend (rt_budget_t *budget);
el_time_t rt_backoff (rt_router_t *router, unsigned failures);

#endif
