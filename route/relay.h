/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Relayed requests: requests that are forwarded to an endpoint unchanged,
 * according to the operators' rules. Covers rules, endpoints, the selection of
 * an endpoint or of a chain of engines, layer placement, and retries. Nothing
 * here does I/O or reads a clock.
 */
#ifndef ELMARCH_RELAY_H
#define ELMARCH_RELAY_H

#include "avail.h"
#include "reach.h"
#include "base.h"
#include "limit.h"
#include "load.h"
#include "map.h"

#include <jansson.h>

/* Rules. */

/** Whether a request may be retried. */
typedef enum rt_rule_kind
{
  RT_SAFE,   /**< idempotent: may run more than once */
  RT_UNSAFE, /**< not idempotent: runs at most once */
  RT_STREAM  /**< an event stream; runs once unless it is resumable */
} rt_rule_kind_t;

/** One service's weight in a rule's traffic split. */
typedef struct rt_service_weight
{
  el_str_t service;
  uint64_t weight;
} rt_service_weight_t;

/** Routes the requests for a host name and path prefix to services. */
typedef struct rt_rule
{
  el_str_t name;
  el_str_t host;   /**< as in the Host header, without the port */
  el_str_t prefix; /**< begins and ends with a slash */
  rt_rule_kind_t kind;
  el_time_t timeout;  /**< time limit of a request; 0: none */
  el_time_t target;   /**< target latency; a slower answer counts as late */
  el_time_t patience; /**< callers of a stream leave after this time without
                         an event; 0: not known */
  unsigned attempts;  /**< maximum number of attempts that may have run */
  unsigned priority;  /**< 0 is the highest */
  int is_public;      /**< needs no API key */
  int resumable;      /**< a stream may continue at another endpoint */
  rt_service_weight_t *shares;
  size_t nshares;
  char *index; /* hash key: host and prefix */
  UT_hash_handle hh;
} rt_rule_t;

/** An accelerator type. */
typedef struct rt_card
{
  el_str_t name;
  double memory_mb;
  double step_scale;    /**< factor on the time of a decode step */
  double prefill_scale; /**< factor on the prefill time */
} rt_card_t;

/** Size and timing of the model that a service's engines run. */
typedef struct rt_model
{
  unsigned layers;   /**< 0: the model is not split over engines */
  double layer_mb;   /**< size of one layer's weights */
  double step_ms;    /**< decode time of a token in all layers, at pace 1 */
  double prefill_ms; /**< prefill time of a token in all layers, at pace 1 */
  /** Decode steps of other streams that an engine runs between two prefill
      batches, per prefilled token. */
  double interleaved_steps;
  el_time_t report_lag; /**< age of the values in an engine's report */
  double token_kv_mb;   /**< size of the KV cache of one token in all layers */
  double typical_tokens; /**< prompt and answer of a typical request */
  double inter_hall_ms;  /**< latency from one hall to another */
  double link_ms; /**< transmission time of a token over the link between
                     halls, which all streams share */
  rt_card_t *cards;
  size_t ncards;
} rt_model_t;

/** The different priorities of customers, or of the rules of a service,
   highest first; of more than LD_RANKS, the highest. */
typedef struct rt_priorities
{
  unsigned list[LD_RANKS];
  size_t n;
} rt_priorities_t;

typedef struct rt_service
{
  el_str_t name;
  rt_model_t model;
  rt_priorities_t priorities; /**< of the rules of its streams */
  UT_hash_handle hh;
} rt_service_t;

/** Highest number of a priority. */
#define RT_PRIORITY_MAX 1000

/** A customer's API key. */
typedef struct rt_key
{
  el_str_t text;
  el_str_t customer;
  unsigned priority; /**< its customer's, 0 is the highest */
  UT_hash_handle hh;
} rt_key_t;

/** One complete configuration. Immutable and reference counted. */
typedef struct rt_rules
{
  unsigned refs;
  uint64_t version;
  json_t *json; /**< owns the strings */
  rt_rule_t *rules;
  size_t nrules;
  rt_service_t *services;
  size_t nservices;
  rt_key_t *keys;
  size_t nkeys;
  rt_priorities_t priorities; /**< of customers */
  int needs_key; /**< requests need an API key unless their rule is public */
  uint64_t max_head; /**< bytes of a request's head; 0: not set */
  uint64_t max_body; /**< bytes of a request's body; 0: not set */
  uint64_t head_ms;  /**< time that a head may take; 0: not set */
  uint64_t idle_ms;  /**< idle timeout of callers' connections */
  rt_rule_t *rules_by_prefix;
  rt_service_t *services_by_name;
  rt_key_t *keys_by_text;
} rt_rules_t;

rt_rules_t *rt_rules_new (json_t *json);
void rt_rules_build_index (rt_rules_t *rules);
rt_rules_t *rt_rules_ref (rt_rules_t *rules);
void rt_rules_unref (rt_rules_t *rules);
const rt_rule_t *rt_rules_match (const rt_rules_t *rules, el_str_t host,
                                 el_str_t path);
const rt_key_t *rt_rules_key (const rt_rules_t *rules, el_str_t text);
const rt_service_t *rt_rules_service (const rt_rules_t *rules, el_str_t name);
el_str_t rt_rule_pick_service (const rt_rule_t *rule, uint64_t draw);
int rt_service_has_ranks (const rt_service_t *service);
unsigned rt_rules_rank (const rt_rules_t *rules, const rt_service_t *service,
                        const rt_rule_t *rule, const rt_key_t *key);

/* Endpoints. */

/** Attributes of an endpoint as its entry in the store lists them. */
typedef struct rt_attrs
{
  el_str_t id;
  uint64_t born; /**< start time, which distinguishes the instances of an
                    endpoint; 0: unknown */
  el_str_t service;
  el_str_t address;
  el_str_t hall;
  el_str_t card; /**< accelerator type; empty for a plain service */
  uint64_t slots;
  int leaving;    /**< it will stop and takes no new requests */
  unsigned first; /**< first layer loaded */
  unsigned end;   /**< one past the last layer loaded */
} rt_attrs_t;

/** Load that an engine reports. */
typedef struct rt_load
{
  double fill;   /**< fraction of its KV memory in use */
  double pace;   /**< slowdown relative to its accelerator type */
  double taken;  /**< running and queued requests, per slot */
  uint64_t born; /**< start time of the instance that reported; 0: unknown */
  el_time_t lag; /**< age of these values when they were sent */
} rt_load_t;

/** Endpoints of one service, hall and accelerator type. Their number is small,
    whatever that of the endpoints. */
typedef struct rt_kind
{
  el_str_t service;
  el_str_t hall;
  el_str_t card;
  size_t endpoints; /**< listed ones of this kind */
  size_t index;     /**< below rt_fleet_kinds */
} rt_kind_t;

/** State that this host keeps for an endpoint. */
typedef struct rt_target
{
  rt_attrs_t attrs; /**< owns its strings */
  unsigned refs;
  rt_kind_t *kind; /**< NULL once it is not listed */
  uint64_t epoch;  /**< epoch of the store when its entry was last reported */
  el_time_t listed_at; /**< time at which its entry was last reported */
  rt_avail_t avail;    /**< availability for new requests */
  rt_reach_t reach;    /**< whether this host reaches it */
  rt_limit_t limit;    /**< limit on new requests, of all hosts together */
  unsigned running;    /**< requests of this host in flight there */
  unsigned chains;     /**< streams of this host whose chain includes it */
  double kv_held; /**< KV cache of this host's streams there, in tokens times
                     layers */
  double to_prefill;       /**< part of that load that is not prefilled yet */
  el_time_t last_event_at; /**< when a stream through it last had an event */
  double pace;  /**< slowdown relative to its accelerator type; 0: unknown,
                   taken as 1 */
  double fill;  /**< fraction of its KV memory in use, as last reported */
  double taken; /**< running and queued requests per slot, as last reported */
  ld_others_t others;    /**< what other hosts use of it */
  el_time_t reported_at; /**< time of the last load report; 0: none yet */
  el_time_t news_at; /**< when this host learned of a state that other hosts
                        should know */
  int idle;          /**< the last report showed no load worth passing on */
  el_time_t asked; /**< when the outstanding health check was sent; 0: none is
                      outstanding */
  el_time_t refused_at; /**< connections are refused since; 0: they are not */
  int reported_silent;  /**< another host got no answer to a health check; this
                           host has not checked it */
  int probing;          /**< a connect that shows its reach is outstanding */
  el_time_t probed_at;  /**< when the last such connect began; 0: never */
  double mean_ms;       /**< moving average of its response time */
  UT_hash_handle hh;
} rt_target_t;

/** Load-control hints that an endpoint sends with an answer. */
typedef struct rt_hints
{
  el_time_t backoff;       /**< requested backoff; 0: none */
  int leaving;             /**< it is leaving: takes no new requests */
  rt_limit_hint_t limited; /**< whether it names a rate limit */
  double limit; /**< requests per second that it takes from all hosts
                   together, if RT_LIMIT_NAMED */
} rt_hints_t;

typedef struct rt_fleet rt_fleet_t;

rt_fleet_t *rt_fleet_new (uint64_t seed);
void rt_fleet_free (rt_fleet_t *fleet);
rt_target_t *rt_fleet_update (rt_fleet_t *fleet, const rt_attrs_t *attrs);
int rt_target_same_instance (const rt_target_t *target,
                             const rt_attrs_t *attrs);
void rt_fleet_remove (rt_fleet_t *fleet, el_str_t id);
rt_target_t *rt_fleet_find (const rt_fleet_t *fleet, el_str_t id);
rt_target_t *rt_fleet_first (const rt_fleet_t *fleet);
double rt_fleet_hosts (const rt_fleet_t *fleet);
size_t rt_fleet_count (const rt_fleet_t *fleet);
size_t rt_fleet_kinds (const rt_fleet_t *fleet, rt_kind_t *const **out);
void rt_fleet_set_hosts (rt_fleet_t *fleet, size_t hosts, size_t all_hosts);
void rt_fleet_stream_sent (rt_fleet_t *fleet, el_time_t now, double tokens);
double rt_fleet_token_rate (const rt_fleet_t *fleet, el_time_t now);
rt_target_t *rt_target_ref (rt_target_t *target);
void rt_target_unref (rt_target_t *target);
int rt_target_usable (const rt_target_t *target, el_time_t now);
int rt_target_is_leaving (const rt_target_t *target);
void rt_target_mark_leaving (rt_target_t *target);
rt_target_t *rt_fleet_mark_leaving (rt_fleet_t *fleet, el_str_t id,
                                    uint64_t born);
typedef void (*rt_leaving_cb) (void *arg, el_str_t id, uint64_t born);
void rt_fleet_visit_leaving (const rt_fleet_t *fleet, size_t max_unlisted,
                             rt_leaving_cb visit, void *arg);
int rt_fleet_backoff (rt_fleet_t *fleet, rt_target_t *target, el_time_t now,
                      el_time_t requested);
el_time_t rt_fleet_available_at (const rt_fleet_t *fleet, el_time_t now,
                                 el_str_t service);
void rt_target_failed (rt_target_t *target, el_time_t now);
int rt_target_connect_failed (rt_target_t *target, el_time_t at);
int rt_target_connected (rt_target_t *target, el_time_t begun, el_time_t now);
void rt_target_changed (rt_target_t *target, el_time_t now);
void rt_target_busy (rt_target_t *target, el_time_t now);
int rt_target_report (const rt_fleet_t *fleet, rt_target_t *target,
                      const rt_load_t *load, el_time_t at);
uint64_t rt_target_load_key (const rt_target_t *target);
void rt_fleet_report_use (const rt_fleet_t *fleet, ld_report_t *report);
void rt_fleet_told_use (rt_fleet_t *fleet, el_time_t now, el_time_t ttl,
                        const ld_report_t *others);
void rt_target_succeeded (rt_target_t *target, el_time_t took);

/** Maximum number of endpoints that one request excludes. */
#define RT_TRIED_MAX 8

/** Endpoints that a request must not be sent to again. */
typedef struct rt_tried
{
  const rt_target_t *list[RT_TRIED_MAX];
  size_t n;
} rt_tried_t;

void rt_tried_add (rt_tried_t *tried, const rt_target_t *target);
int rt_tried_has (const rt_tried_t *tried, const rt_target_t *target);
rt_target_t *rt_fleet_pick_isolated (const rt_fleet_t *fleet, el_time_t now,
                                     el_str_t service, uint64_t draw,
                                     const rt_tried_t *tried);
rt_target_t *rt_fleet_pick (rt_fleet_t *fleet, el_time_t now, el_str_t service,
                            el_str_t hall, const rt_tried_t *tried);

/* Chains of engines. */

/** Estimated cost of one more stream at an engine. */
typedef struct rt_estimate
{
  double fill;            /**< KV memory in use, the stream included */
  double step_factor;     /**< factor on the time of a decode step */
  double prefill_wait_ms; /**< time to prefill what is queued there */
  double slot_wait_ms; /**< cost of waiting for a slot as the first engine, as
                          added token latency */
  double kv_room;   /**< streams of that size that its memory has room for */
  double slot_room; /**< streams for which it has slots, as the first
                       engine */
} rt_estimate_t;

rt_estimate_t rt_estimate (const rt_fleet_t *fleet, const rt_model_t *model,
                           const rt_card_t *card, const rt_target_t *target,
                           double tokens, el_time_t now);

/** Latency between two engines of a hall, in milliseconds. */
#define RT_HOP_MS 0.5

/** Maximum number of engines in a chain. */
#define RT_CHAIN_MAX 32

/** The ordered set of engines that runs a model's layers for one stream: every
    layer once, in order. */
typedef struct rt_chain
{
  struct rt_chain_part
  {
    rt_target_t *target;
    unsigned from;     /**< first layer that it runs for the stream */
    unsigned to;       /**< one past the last one */
    double to_prefill; /**< tokens that it has yet to prefill */
  } part[RT_CHAIN_MAX];
  size_t n;
  double tokens;  /**< KV cache reserved for the stream */
  int prefilling; /**< some part has tokens to prefill */
  double fill;    /**< highest estimated memory use of its engines, the stream
                     included */
  double room;    /**< streams of this size that it has room for, this one
                     included */
} rt_chain_t;

/** Requirements on a new chain. */
typedef struct rt_chain_query
{
  const rt_service_t *service;
  el_str_t hall;            /**< the caller's hall */
  double tokens;            /**< expected length of the stream */
  const rt_tried_t *tried;  /**< engines to exclude */
  const rt_target_t *first; /**< engine of the first part; NULL: any */
  int prefer_room; /**< engines without room for it are used only if there is
                      no chain without them */
} rt_chain_query_t;

int rt_chain_valid (const rt_chain_t *chain, unsigned layers);
int rt_chain_pick (rt_fleet_t *fleet, el_time_t now,
                   const rt_chain_query_t *query, rt_chain_t *out);
el_time_t rt_chain_available_at (rt_fleet_t *fleet, el_time_t now,
                                 const rt_chain_query_t *query);
int rt_chain_reroute (rt_fleet_t *fleet, el_time_t now,
                      const rt_service_t *service, const rt_chain_t *old,
                      const rt_tried_t *tried, rt_chain_t *out);
int rt_chain_has (const rt_chain_t *chain, const rt_target_t *target);
rt_target_t *rt_chain_engine_at (const rt_chain_t *chain, el_str_t address);
const struct rt_chain_part *rt_chain_find_part (const rt_chain_t *chain,
                                                const rt_target_t *target,
                                                unsigned from, unsigned to);
int rt_chain_crosses_halls (const rt_chain_t *chain);
void rt_chain_acquire (rt_chain_t *chain, const rt_chain_t *old,
                       double to_prefill);
void rt_chain_progress (rt_chain_t *chain, el_time_t now);
rt_target_t *rt_chain_fullest (const rt_chain_t *chain, const rt_chain_t *old);
void rt_chain_release (rt_chain_t *chain);

/* Layer placement. */

/** An order to an engine to load a range of layers. */
typedef struct rt_order
{
  rt_target_t *target;
  unsigned first;
  unsigned end; /**< one past the last layer */
} rt_order_t;

const rt_card_t *rt_model_card (const rt_model_t *model, el_str_t name);
size_t rt_layout_assign (rt_fleet_t *fleet, const rt_service_t *service,
                         const rt_order_t *pending, size_t npending,
                         rt_order_t *out, size_t max_orders);

size_t rt_layout_repair (rt_fleet_t *fleet, const rt_service_t *service,
                         const rt_order_t *pending, size_t npending,
                         rt_order_t *out, size_t max_orders);

/* Digests of requests and orders, and orders under which engines crash. */

/** The properties of a request that its digest covers. */
typedef struct rt_digest_input
{
  el_str_t customer; /**< empty under a public rule */
  el_str_t method;
  el_str_t host;
  el_str_t path; /**< includes the query */
  el_str_t body;
} rt_digest_input_t;

/** Identifies a request by its content and customer; 0: none. */
typedef uint64_t rt_digest_t;

#define RT_DIGEST_HEX 16

rt_digest_t rt_digest (el_str_t key, const rt_digest_input_t *input);
rt_digest_t rt_part_digest (el_str_t key, el_str_t model, el_str_t part);
void rt_digest_hex (rt_digest_t digest, char out[RT_DIGEST_HEX + 1]);
int rt_digest_parse (el_str_t text, rt_digest_t *out);
rt_digest_t rt_order_digest (el_str_t key, const rt_order_t *order);

/** Maximum number of distinct orders tracked. */
#define RT_ORDER_FAILURES 64

/** Engine crashes under equivalent orders, without a success in between. */
typedef struct rt_order_failure
{
  rt_digest_t digest;
  unsigned n; /**< number of crashes */
} rt_order_failure_t;

typedef struct rt_order_failures
{
  rt_order_failure_t list[RT_ORDER_FAILURES];
  size_t next;
} rt_order_failures_t;

int rt_order_failures_add (rt_order_failures_t *failures, rt_digest_t digest);
void rt_order_failures_clear (rt_order_failures_t *failures,
                              rt_digest_t digest);

/* Retries. */

/** Outcome of one attempt. */
typedef struct rt_attempt
{
  el_verdict_t verdict; /**< EL_NOT_RUN only if that is proven */
  int answered;         /**< a complete answer to this request arrived */
  int failed;           /**< the answer reports a failure */
  int unseen;           /**< no part of it arrived at an endpoint */
  int begun; /**< the caller has already received a part of the answer */
} rt_attempt_t;

typedef enum rt_next
{
  RT_NEXT_PASS,   /**< forward the answer to the caller */
  RT_NEXT_RETRY,  /**< retry at another endpoint */
  RT_NEXT_REFUSE, /**< refuse the request: it did not run, and the caller may
                     retry */
  RT_NEXT_FAIL    /**< fail the request: it may have run */
} rt_next_t;

/** Counts of one request's attempts. */
typedef struct rt_attempts
{
  unsigned sent;    /**< attempts sent */
  unsigned may_run; /**< of these, attempts that may have run */
  unsigned before;  /**< attempts of another host that may have run, before it
                       forwarded the request */
} rt_attempts_t;

rt_next_t rt_attempts_next (rt_attempts_t *state, const rt_rule_t *rule,
                            const rt_attempt_t *attempt, int budget,
                            el_time_t left);

/* The retry budget that all hosts share. Each spends its own portion. */

/** Slots of the sliding window: ten full ones and the newest, which is
    partial. */
#define RT_WINDOW_SLOTS 11

typedef struct rt_shared_budget
{
  double ratio;   /**< retries allowed per request */
  double slack;   /**< retries beyond that which all hosts together may make in
                     a window */
  el_time_t born; /**< when this process started; a previous one may have spent
                     this host's portion of the slack just before */
  el_time_t slot; /**< length of a slot */
  uint64_t at;    /**< index of the newest slot */
  uint64_t requests[RT_WINDOW_SLOTS];
  uint64_t retries[RT_WINDOW_SLOTS];
  size_t hosts[RT_WINDOW_SLOTS]; /**< maximum number of live hosts */
} rt_shared_budget_t;

void rt_shared_budget_init (rt_shared_budget_t *pool, double ratio,
                            double slack, el_time_t window, el_time_t born);
void rt_shared_budget_add_request (rt_shared_budget_t *pool, el_time_t now);
int rt_shared_budget_available (rt_shared_budget_t *pool, el_time_t now,
                                size_t hosts);
int rt_shared_budget_take (rt_shared_budget_t *pool, el_time_t now,
                           size_t hosts);

#endif
