/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Request routing: selects the endpoints that serve a request, controls
 * admission and handles endpoint failures. The router is a deterministic
 * state machine: it is passed the time and an event and emits actions through
 * a callback. It owns no socket, clock or thread, so that the daemon, a
 * replayed trace and a test can all drive the same object.
 */
#ifndef ELMARCH_ROUTE_H
#define ELMARCH_ROUTE_H

#include "base.h"
#include "coord.h"

typedef struct rt_router rt_router_t;

/** Type of a request. */
typedef enum rt_request_type
{
  RT_CHAT, /**< generates tokens with a model, one pipeline stage at a time */
  RT_CALL, /**< a single call to a service */
  RT_REQUEST_TYPES
} rt_request_type_t;

/** Identifies one call to an endpoint. Engines echo it in their answers, so
    that an answer to another call is recognized. */
typedef struct rt_call_id
{
  uint64_t stream;
  uint64_t attempt;    /**< starts at 1, incremented for each new attempt */
  uint64_t step;       /**< number of tokens delivered before this call */
  uint64_t first;      /**< first layer */
  uint64_t last;       /**< last layer, inclusive */
  uint64_t generation; /**< generation of the deployment */
} rt_call_id_t;

/** Why a call gave no usable answer. */
typedef enum rt_failure
{
  RT_FAIL_CONNECT, /**< the connection could not be established */
  RT_FAIL_BROKEN,  /**< the connection closed before the answer was complete */
  RT_FAIL_LEAVING, /**< refused: the endpoint is leaving */
  RT_FAIL_BUSY,    /**< refused: the endpoint has no capacity now */
  RT_FAIL_REFUSED, /**< refused: the endpoint rejects this particular call */
  RT_FAIL_TIMEOUT, /**< no answer within the time limit */
  RT_FAIL_CROSSED, /**< the answer belongs to another call */
  RT_FAILS
} rt_failure_t;

typedef enum rt_event_kind
{
  RT_EV_REQUEST, /**< a request arrived */
  RT_EV_REPLY,   /**< a call was answered */
  RT_EV_FAILED,  /**< a call failed */
  RT_EV_CANCEL,  /**< the caller disconnected */
  RT_EV_TICK,    /**< run the timers that are due */
  RT_EV_LEAVING, /**< an endpoint is reported to be leaving, or no longer to
                      be */
  RT_EV_HOSTS,   /**< the number of live entry hosts changed */
  RT_EV_STOP,    /**< this host is stopping and accepts no new requests */
  RT_EVENTS
} rt_event_kind_t;

/** One event; fields that its kind does not use are zero. */
typedef struct rt_event
{
  rt_event_kind_t kind;
  uint64_t stream; /**< assigned by the caller of the router, never reused */

  /* RT_EV_REQUEST */
  rt_request_type_t work;
  el_str_t customer;
  el_str_t target;        /**< model or service; an endpoint for
                               RT_EV_LEAVING */
  el_str_t prompt;        /**< passed unchanged to the first stage */
  const uint64_t *resume; /**< tokens that the caller has already received */
  size_t nresume;
  uint64_t max_tokens;
  el_time_t deadline;
  int repeatable;

  /* RT_EV_REPLY and RT_EV_FAILED */
  rt_call_id_t call; /**< the call that was sent */
  rt_call_id_t echo; /**< the call that the endpoint says it answers */
  el_str_t hidden;   /**< hidden state; from all stages but the last */
  uint64_t token;    /**< from the last stage */
  el_str_t text;
  int has_token;
  int finish; /**< this is the last token of the model's answer */
  el_verdict_t verdict;
  rt_failure_t fail;
  el_time_t rest; /**< backoff that the endpoint requests; 0: none */

  /* RT_EV_LEAVING and RT_EV_HOSTS */
  int leaving;
  uint64_t hosts;
} rt_event_t;

typedef enum rt_action_kind
{
  RT_ACT_CALL,    /**< call an endpoint */
  RT_ACT_ABANDON, /**< tell an endpoint to discard an attempt */
  RT_ACT_TOKEN,   /**< deliver a token to the caller */
  RT_ACT_END,     /**< the request has ended */
  RT_ACTIONS
} rt_action_kind_t;

/** Why a request ended. */
typedef enum rt_reason
{
  RT_DONE,            /**< complete: the model or service finished */
  RT_LENGTH,          /**< complete: the token limit was reached */
  RT_CANCELLED,       /**< the caller disconnected */
  RT_NOT_FOUND,       /**< unknown model, service or customer */
  RT_NO_ROUTE,        /**< no available endpoints can serve it */
  RT_QUEUE_FULL,      /**< the request queue is full */
  RT_CUSTOMER_LIMIT,  /**< the customer has too many requests in flight */
  RT_DEADLINE,        /**< the deadline has passed */
  RT_RETRIES_USED_UP, /**< failed, and no further retry is allowed */
  RT_ENDPOINT_FAILED, /**< failed at the endpoint and must not be retried */
  RT_STOPPING,        /**< this host is stopping */
  RT_REASONS
} rt_reason_t;

/** One action. Its strings and arrays are valid during the callback only. */
typedef struct rt_action
{
  rt_action_kind_t kind;
  uint64_t stream;
  rt_request_type_t work;

  /* RT_ACT_CALL and RT_ACT_ABANDON */
  rt_call_id_t call;
  el_str_t endpoint;
  el_str_t address;
  uint64_t priority;
  el_time_t due;        /**< an answer after this time is not used */
  el_str_t prompt;      /**< first stage, in an attempt's first step only */
  el_str_t hidden;      /**< hidden state; all stages but the first */
  const uint64_t *feed; /**< input tokens of the first stage */
  size_t nfeed;
  int final; /**< last stage: it samples a token */

  /* RT_ACT_TOKEN */
  uint64_t token;
  el_str_t text;

  /* RT_ACT_END */
  el_verdict_t verdict;
  rt_reason_t reason;
  uint64_t tokens; /**< in the answer; for RT_ACT_TOKEN, those before it */
  uint64_t retry_after_ms;
} rt_action_t;

typedef void (*rt_action_cb) (void *arg, const rt_action_t *action);

typedef struct rt_options
{
  uint64_t seed;        /**< seed of the random number generator */
  size_t max_active;    /**< maximum number of running streams */
  size_t max_queue;     /**< maximum number of queued streams */
  el_time_t call_limit; /**< time limit of one call to a pipeline stage */
  el_time_t leave_hold; /**< for how long an endpoint counts as leaving after
                             its notice */
  rt_action_cb act;
  void *arg;
} rt_options_t;

/** Counters since the start, exported as metrics. */
typedef struct rt_counts
{
  uint64_t requests;
  uint64_t refused;   /**< ended without having run */
  uint64_t whole;     /**< ended with a complete answer */
  uint64_t broken;    /**< ran or may have run, and ended without a complete
                           answer */
  uint64_t cancelled; /**< ended by the caller */
  uint64_t tokens;    /**< delivered to callers */
  uint64_t calls;     /**< sent to endpoints */
  uint64_t rebuilds;  /**< attempts scheduled after a failed call */
  uint64_t retries;   /**< of those, the ones charged to a retry budget */
  uint64_t late;      /**< results of calls that were no longer pending */
  uint64_t crossed;   /**< answers that belong to another call */
  uint64_t ejected;   /**< times an endpoint was ejected after failures */
  uint64_t leaving;   /**< calls refused because the endpoint is leaving */
  uint64_t backoffs;  /**< backoffs that began at an endpoint's request */
} rt_counts_t;

rt_router_t *rt_router_new (const rt_options_t *options);
void rt_router_free (rt_router_t *router);
void rt_router_handle_event (rt_router_t *router, el_time_t now,
                             const rt_event_t *event);
void rt_router_apply_config (rt_router_t *router, const co_resource_t *prev,
                             const co_resource_t *next);
el_time_t rt_router_next_tick (const rt_router_t *router);
const rt_counts_t *rt_router_counts (const rt_router_t *router);
size_t rt_router_active (const rt_router_t *router);
size_t rt_router_queued (const rt_router_t *router);
json_t *rt_router_dump (const rt_router_t *router, el_time_t now);
int rt_router_authenticate (const rt_router_t *router, el_str_t key_hash,
                            el_str_t *customer);
const co_service_t *rt_router_service (const rt_router_t *router,
                                       el_str_t name);

int rt_router_may_send (const rt_router_t *router, el_time_t now,
                        el_str_t endpoint);
const char *rt_reason_name (rt_reason_t reason);
const char *rt_failure_name (rt_failure_t fail);

/* Trace: events and actions as JSON objects, one per line. */

json_t *rt_trace_event (el_time_t now, const rt_event_t *event);
json_t *rt_trace_action (const rt_action_t *action);
json_t *rt_trace_config (const co_resource_t *prev, const co_resource_t *next);
el_status_t rt_trace_read (json_t *line, el_time_t *now, rt_event_t *event,
                           el_err_t *err);
void rt_trace_release (rt_event_t *event);

#endif
