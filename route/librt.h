/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Internal types and functions of the request router.
 */
#ifndef ELMARCH_LIBRT_H
#define ELMARCH_LIBRT_H

#include "avail.h"
#include "map.h"
#include "route.h"

typedef struct rt_endpoint
{
  char *key;
  el_str_t address;
  el_str_t hall;
  co_role_t role;
  uint64_t capacity;
  int draining;     /* set by the operator: takes no new requests */
  rt_avail_t avail; /* whether requests may be sent to it */
  size_t in_flight; /* pending calls */
  UT_hash_handle hh;
} rt_endpoint_t;

/* Retry budget: each admitted request adds a fraction of a retry, up to a
   maximum. */
typedef struct rt_retry_budget
{
  uint64_t tenths; /* in tenths of a retry */
} rt_retry_budget_t;

typedef struct rt_deployment rt_deployment_t;

typedef struct rt_pipeline
{
  char *key;
  char *deployment;
  uint64_t weight;
  co_stage_t *stages; /* the endpoint names are owned */
  size_t nstages;
  uint64_t tokens_pending; /* upper bound of the tokens that its streams have
                              yet to generate */
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
  rt_pipeline_t **pipes; /* the pipelines of this deployment */
  size_t npipes;
  rt_retry_budget_t budget;
  UT_hash_handle hh;
};

/* A service with its retry budget. Unrelated to rt_service_t in relay.h. */
typedef struct rt_service_entry
{
  char *key;
  co_service_t spec; /* the endpoint names are owned */
  rt_retry_budget_t budget;
  UT_hash_handle hh;
} rt_service_entry_t;

typedef struct rt_stream rt_stream_t;

typedef struct rt_customer
{
  char *key;
  el_str_t key_hash;
  uint64_t priority;
  uint64_t weight;
  uint64_t max_in_flight;
  int removed; /* from the configuration; freed after its last stream ends */
  size_t in_flight;
  uint64_t virtual_time;
  rt_stream_t *queue; /* waiting streams, FIFO */
  rt_stream_t *queue_tail;
  UT_hash_handle hh;
  UT_hash_handle hh_key;
} rt_customer_t;

/* A route assigns each layer, in order, to exactly one endpoint of a single
   generation. It owns its names and addresses, so that a configuration change
   does not affect a route in use. */
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

typedef enum rt_stream_state
{
  RT_QUEUED,
  RT_RUNNING,
  RT_RETRY_DELAY /* delayed before another attempt */
} rt_stream_state_t;

struct rt_stream
{
  uint64_t id;
  rt_request_type_t work;
  rt_stream_state_t state;
  rt_router_t *router;
  rt_customer_t *customer;
  rt_stream_t *queue_next;
  el_str_t target;
  el_str_t prompt;
  uint64_t max_tokens;
  el_time_t deadline;
  int repeatable;
  el_verdict_t verdict; /* combined verdict of the calls that have ended */
  int call_pending;
  el_time_t call_due;
  el_time_t started; /* when the first attempt started */
  rt_route_t *route;
  uint64_t attempt;
  unsigned failures; /* consecutive */
  size_t hop;        /* index of the current stage in the route */
  uint64_t *tokens;  /* delivered, including those passed in by the caller */
  size_t ntokens;
  size_t tokens_capacity;
  el_str_t avoid; /* the endpoint that failed last */
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
  rt_service_entry_t *services;
  rt_customer_t *customers;
  rt_customer_t *customers_by_key;
  rt_stream_t *streams;
  size_t active;
  size_t queued;
  size_t hosts;
  uint64_t virtual_time;
  uint64_t mean_run_us; /* moving average of how long a stream runs */
  int stopping;
  int admitting; /* rt_admit_next is running; prevents recursion */
};

/* Operations that differ between request types. */
typedef struct rt_request_ops
{
  /* Choose endpoints for the stream's next attempt and call the first one.
     Returns RT_DONE if the call was sent. */
  rt_reason_t (*start) (rt_stream_t *stream, el_time_t now);
  /* Handle the answer to the pending call. */
  void (*reply) (rt_stream_t *stream, el_time_t now, const rt_event_t *event);
  /* The attempt is over: release its route. If ABANDON, tell the endpoints to
     discard the attempt. */
  void (*release) (rt_stream_t *stream, el_time_t now, int abandon);
  rt_retry_budget_t *(*budget) (rt_stream_t *stream);
  /* The earliest time at which endpoints can serve the stream, waiting only
     for backoffs to end; 0 if that never makes a route available. */
  el_time_t (*available_at) (const rt_stream_t *stream, el_time_t now);
} rt_request_ops_t;

extern const rt_request_ops_t rt_chat_ops;
extern const rt_request_ops_t rt_call_ops;

/* router.c */
uint64_t rt_random (rt_router_t *router);
void rt_emit_action (rt_router_t *router, const rt_action_t *action);
void rt_stream_send_call (rt_stream_t *stream, el_time_t now,
                          const rt_hop_t *hop, rt_action_t *action);
void rt_stream_call_failed (rt_stream_t *stream, el_time_t now,
                            el_verdict_t verdict, rt_failure_t fail);
void rt_stream_end (rt_stream_t *stream, el_time_t now, rt_reason_t reason);
void rt_stream_start (rt_stream_t *stream, el_time_t now);

/* table.c */
rt_endpoint_t *rt_endpoint_find (const rt_router_t *router, el_str_t name);
rt_service_entry_t *rt_service_find (const rt_router_t *router, el_str_t name);
rt_customer_t *rt_customer_find (const rt_router_t *router, el_str_t name);
rt_pipeline_t *rt_pipeline_find (const rt_router_t *router, el_str_t name);
void rt_customer_release (rt_router_t *router, rt_customer_t *customer);
void rt_tables_free (rt_router_t *router);

/* path.c */
rt_route_t *rt_route_build (const rt_router_t *router,
                            const rt_deployment_t *deployment,
                            const rt_pipeline_t *pipeline, el_err_t *err);
void rt_route_free (rt_route_t *route);

/* pick.c */
rt_pipeline_t *rt_choose_pipeline (rt_router_t *router, el_time_t now,
                                   const rt_deployment_t *deployment,
                                   el_str_t avoid);
rt_endpoint_t *rt_choose_worker (rt_router_t *router, el_time_t now,
                                 const rt_service_entry_t *service,
                                 el_str_t avoid);

/* health.c */
int rt_endpoint_usable (const rt_endpoint_t *endpoint, el_time_t now,
                        int ignore_ejection);
void rt_endpoint_failed (rt_router_t *router, el_str_t name, el_time_t now,
                         rt_failure_t fail);
void rt_endpoint_answered (rt_router_t *router, el_str_t name);
void rt_endpoint_backoff_requested (rt_router_t *router, el_str_t name,
                                    el_time_t now, el_time_t requested);
el_time_t rt_endpoint_available_at (const rt_endpoint_t *endpoint,
                                    el_time_t now);
void rt_endpoint_adjust_in_flight (rt_router_t *router, el_str_t name,
                                   el_time_t now, int delta);

/* admit.c */
rt_reason_t rt_admit (rt_stream_t *stream, el_time_t now);
void rt_admit_next (rt_router_t *router, el_time_t now);
void rt_admit_dequeue (rt_stream_t *stream);
uint64_t rt_admit_retry_after (rt_router_t *router);

/* retry.c */
void rt_retry_budget_earn (rt_retry_budget_t *budget);
int rt_retry_budget_spend (rt_retry_budget_t *budget);
el_time_t rt_retry_delay (rt_router_t *router, unsigned failures);

#endif
