/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * The decisions: which endpoints serve a request, whether it is admitted,
 * what happens when one of them fails. A router takes the time and an event
 * and hands actions back; it owns no socket, clock or thread, so the daemon,
 * a replayed trace and a test drive the same object.
 */
#ifndef ELMARCH_ROUTE_H
#define ELMARCH_ROUTE_H

#include "base.h"
#include "coord.h"

typedef struct rt_router rt_router_t;

/** What a request asks for. */
typedef enum rt_work
{
  RT_CHAT, /**< tokens of a model, stage by stage */
  RT_CALL, /**< one call to a plain service */
  RT_WORKS
} rt_work_t;

/** Which call of a stream is meant; an engine echoes it. */
typedef struct rt_place
{
  uint64_t stream;
  uint64_t attempt;    /**< from 1, rises with each rebuild */
  uint64_t step;       /**< tokens delivered before it */
  uint64_t first;      /**< first layer */
  uint64_t last;       /**< last layer, inclusive */
  uint64_t generation; /**< of the deployment */
} rt_place_t;

/** Why a call brought no answer that can be used. */
typedef enum rt_fail
{
  RT_FAIL_CONNECT, /**< no connection was made */
  RT_FAIL_BROKEN,  /**< the connection ended before the answer did */
  RT_FAIL_LEAVING, /**< the endpoint refuses new work: it is leaving */
  RT_FAIL_BUSY,    /**< the endpoint refuses: no room now */
  RT_FAIL_REFUSED, /**< the endpoint refuses this call itself */
  RT_FAIL_TIMEOUT, /**< no answer in time */
  RT_FAIL_CROSSED, /**< the answer was to another call */
  RT_FAILS
} rt_fail_t;

typedef enum rt_event_kind
{
  RT_EV_REQUEST, /**< a request arrived */
  RT_EV_REPLY,   /**< a call was answered */
  RT_EV_FAILED,  /**< a call failed */
  RT_EV_CANCEL,  /**< the caller has gone */
  RT_EV_TICK,    /**< time passed */
  RT_EV_LEAVING, /**< an endpoint gave a sign that it leaves, or that it
                      does not */
  RT_EV_HOSTS,   /**< the number of live entry hosts changed */
  RT_EV_STOP,    /**< this host takes no new work */
  RT_EVENTS
} rt_event_kind_t;

/** One event; the fields that do not belong to its kind are zero. */
typedef struct rt_event
{
  rt_event_kind_t kind;
  uint64_t stream; /**< chosen by the holder, never used twice */

  /* RT_EV_REQUEST */
  rt_work_t work;
  el_str_t customer;
  el_str_t target;        /**< model, or service */
  el_str_t prompt;        /**< handed on to the first stage as it is */
  const uint64_t *resume; /**< tokens that the caller already has */
  size_t nresume;
  uint64_t max_tokens;
  el_time_t deadline;
  int repeatable;

  /* RT_EV_REPLY and RT_EV_FAILED */
  rt_place_t call; /**< the call that it belongs to */
  rt_place_t echo; /**< what the endpoint says that it answers */
  el_str_t hidden; /**< from all stages but the last */
  uint64_t token;  /**< from the last stage */
  el_str_t text;
  int has_token;
  int finish; /**< the model ends its answer with this token */
  el_verdict_t verdict;
  rt_fail_t fail;
  el_time_t rest; /**< the endpoint wants nothing for so long */

  /* RT_EV_LEAVING (of the endpoint in target), RT_EV_HOSTS */
  int leaving;
  uint64_t hosts;
} rt_event_t;

typedef enum rt_action_kind
{
  RT_ACT_CALL,    /**< call an endpoint */
  RT_ACT_ABANDON, /**< tell an endpoint to drop an attempt */
  RT_ACT_TOKEN,   /**< hand a token to the caller */
  RT_ACT_END,     /**< the request has its final answer */
  RT_ACTIONS
} rt_action_kind_t;

/** Why a request ended. */
typedef enum rt_reason
{
  RT_DONE,          /**< whole: the model ended it */
  RT_LENGTH,        /**< whole: the most tokens were reached */
  RT_CANCELLED,     /**< the caller has gone */
  RT_NO_MODEL,      /**< no such model or service */
  RT_NO_ROUTE,      /**< no endpoints can serve it now */
  RT_QUEUE_FULL,    /**< too many wait */
  RT_CUSTOMER_FULL, /**< the customer has too many in flight */
  RT_DEADLINE,      /**< its time was over */
  RT_RETRIES,       /**< failed, and no further retry is allowed */
  RT_ENDPOINT,      /**< failed at the endpoint and may not be repeated */
  RT_STOPPING,      /**< this host is stopping */
  RT_REASONS
} rt_reason_t;

/** One action. Strings are valid during the callback only. */
typedef struct rt_action
{
  rt_action_kind_t kind;
  uint64_t stream;
  rt_work_t work;

  /* RT_ACT_CALL and RT_ACT_ABANDON */
  rt_place_t call;
  el_str_t endpoint;
  el_str_t address;
  uint64_t priority;
  el_time_t due;        /**< after this the answer is of no use */
  el_str_t prompt;      /**< first stage of an attempt's first step only */
  el_str_t hidden;      /**< all stages but the first */
  const uint64_t *feed; /**< tokens for the first stage to take in */
  size_t nfeed;
  int final; /**< the stage samples a token */

  /* RT_ACT_TOKEN */
  uint64_t token;
  el_str_t text;

  /* RT_ACT_END */
  el_verdict_t verdict;
  rt_reason_t reason;
  uint64_t tokens; /**< in the whole answer */
  uint64_t retry_after_ms;
} rt_action_t;

typedef void (*rt_act_cb) (void *arg, const rt_action_t *action);

typedef struct rt_options
{
  uint64_t seed;        /**< of the choices made at random */
  size_t max_active;    /**< streams running at once */
  size_t max_queue;     /**< streams waiting at once */
  el_time_t call_limit; /**< longest wait for one stage */
  el_time_t leave_hold; /**< how long an endpoint's own refusal counts */
  rt_act_cb act;
  void *arg;
} rt_options_t;

/** Counts since the start; read by the holder's metrics. */
typedef struct rt_counts
{
  uint64_t requests;
  uint64_t refused;   /**< ended as not run */
  uint64_t whole;     /**< ended with the whole answer */
  uint64_t broken;    /**< ended otherwise, not by the caller */
  uint64_t cancelled; /**< ended by the caller */
  uint64_t tokens;
  uint64_t calls;
  uint64_t rebuilds; /**< attempts after the first */
  uint64_t retries;  /**< of those, the ones that took from a budget */
  uint64_t late;     /**< answers to calls no longer waited for */
  uint64_t crossed;  /**< answers to another call than asked */
  uint64_t ejected;  /**< times an endpoint was set aside */
  uint64_t leaving;  /**< times an endpoint said that it leaves */
  uint64_t rests;    /**< times an endpoint asked for rest */
} rt_counts_t;

rt_router_t *rt_router_new (const rt_options_t *options);
void rt_router_free (rt_router_t *router);
void rt_router_event (rt_router_t *router, el_time_t now,
                      const rt_event_t *event);
void rt_router_config (rt_router_t *router, const co_resource_t *prev,
                       const co_resource_t *next);
el_time_t rt_router_next (const rt_router_t *router);
const rt_counts_t *rt_router_counts (const rt_router_t *router);
size_t rt_router_active (const rt_router_t *router);
size_t rt_router_queued (const rt_router_t *router);
json_t *rt_router_dump (const rt_router_t *router, el_time_t now);
int rt_router_auth (const rt_router_t *router, el_str_t key_hash,
                    el_str_t *customer);
const co_service_t *rt_router_service (const rt_router_t *router,
                                       el_str_t name);

int rt_router_may (const rt_router_t *router, el_time_t now,
                   el_str_t endpoint);
const char *rt_reason_name (rt_reason_t reason);
const char *rt_fail_name (rt_fail_t fail);

/* Trace: events and actions as JSON objects, one a line. */

json_t *rt_trace_event (el_time_t now, const rt_event_t *event);
json_t *rt_trace_action (const rt_action_t *action);
json_t *rt_trace_config (const co_resource_t *prev, const co_resource_t *next);
el_status_t rt_trace_read (json_t *line, el_time_t *now, rt_event_t *event,
                           el_err_t *err);
void rt_trace_release (rt_event_t *event);

#endif
