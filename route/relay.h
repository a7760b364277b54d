/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Decisions for relayed requests: requests that are passed on to an endpoint
 * as the caller sent them, by rules of the operators. Rules, endpoints, the
 * choice of an endpoint or of a line of engines, where layers are placed, and
 * what follows an attempt. Nothing here does I/O or reads a clock.
 */
#ifndef ELMARCH_RELAY_H
#define ELMARCH_RELAY_H

#include "access.h"
#include "base.h"
#include "map.h"

#include <jansson.h>

/* Rules. */

/** What may be done again with a request. */
typedef enum rt_kind
{
  RT_SAFE,   /**< may run more than once */
  RT_UNSAFE, /**< runs at most once */
  RT_STREAM  /**< a stream of events; runs once unless it can be resumed */
} rt_kind_t;

/** A part of a rule's requests that goes to one service. */
typedef struct rt_share
{
  el_str_t service;
  uint64_t weight;
} rt_share_t;

/** Where the requests below a path of a host name go. */
typedef struct rt_rule
{
  el_str_t name;
  el_str_t host;   /**< as in the Host header, without a port */
  el_str_t prefix; /**< begins and ends with a slash */
  rt_kind_t kind;
  el_time_t timeout; /**< longest time that a request is held; 0 is none */
  el_time_t target;  /**< an answer after this is late */
  unsigned attempts; /**< most endpoints that may run one request */
  unsigned priority; /**< 0 is the most urgent */
  int open;          /**< asks for no key */
  int resumable;     /**< a stream may go on at another endpoint */
  rt_share_t *shares;
  size_t nshares;
  char *index; /* host and prefix, the key of the hash */
  UT_hash_handle hh;
} rt_rule_t;

/** A kind of accelerator. */
typedef struct rt_card
{
  el_str_t name;
  double memory_mb;
  double step_pace; /**< factor on the time of a token step */
  double read_pace; /**< factor on the time of reading a prompt */
} rt_card_t;

/** How the engines of a service run its model. */
typedef struct rt_model
{
  unsigned layers;     /**< 0: no engine holds a part of a model */
  double layer_mb;     /**< weights of one layer */
  double step_ms;      /**< a token through all layers, pace 1 */
  double read_ms;      /**< reading a prompt's token in all layers, pace 1 */
  double read_steps;   /**< token steps of others that an engine takes between
                            two reads, for each token read */
  double token_kv_mb;  /**< memory of one token in all layers */
  double usual_tokens; /**< prompt and answer of a usual request */
  double hall_ms;      /**< from one hall to another */
  double pipe_ms;      /**< a token's passage through the pipe between halls,
                            which all share */
  rt_card_t *cards;
  size_t ncards;
} rt_model_t;

typedef struct rt_service
{
  el_str_t name;
  rt_model_t model;
  UT_hash_handle hh;
} rt_service_t;

/** A customer's key. */
typedef struct rt_key
{
  el_str_t text;
  el_str_t customer;
  UT_hash_handle hh;
} rt_key_t;

/** One configuration, whole and never changed; shared by those that use it. */
typedef struct rt_rules
{
  unsigned refs;
  uint64_t version;
  json_t *json; /**< what the strings point into */
  rt_rule_t *rules;
  size_t nrules;
  rt_service_t *services;
  size_t nservices;
  rt_key_t *keys;
  size_t nkeys;
  int keyed; /**< requests need a key unless their rule is open */
  uint64_t max_body;
  uint64_t idle_ms; /**< callers' connections may rest this long */
  rt_rule_t *by_prefix;
  rt_service_t *by_name;
  rt_key_t *by_text;
} rt_rules_t;

rt_rules_t *rt_rules_new (json_t *json);
void rt_rules_index (rt_rules_t *rules);
rt_rules_t *rt_rules_ref (rt_rules_t *rules);
void rt_rules_unref (rt_rules_t *rules);
const rt_rule_t *rt_rules_match (const rt_rules_t *rules, el_str_t host,
                                 el_str_t path);
const rt_key_t *rt_rules_key (const rt_rules_t *rules, el_str_t text);
const rt_service_t *rt_rules_service (const rt_rules_t *rules, el_str_t name);
el_str_t rt_rule_service (const rt_rule_t *rule, uint64_t draw);

/* Endpoints. */

/** What is told of an endpoint. */
typedef struct rt_facts
{
  el_str_t id;
  uint64_t born; /**< of this start, which tells it from others under the id;
                      0: not told */
  el_str_t service;
  el_str_t address;
  el_str_t hall;
  el_str_t card; /**< kind of accelerator; empty for a plain service */
  uint64_t slots;
  int leaving;    /**< it says that it takes no new work */
  unsigned first; /**< first layer held */
  unsigned end;   /**< first layer after those held */
} rt_facts_t;

/** How an engine does, as it reports itself. */
typedef struct rt_load
{
  double fill;   /**< share of its memory beside the layers in use */
  double pace;   /**< how much slower than its kind it runs */
  double taken;  /**< requests that run or wait there, against its slots */
  uint64_t born; /**< of the start that reported; 0: not told */
} rt_load_t;

/** An endpoint as one host knows it. */
typedef struct rt_target
{
  rt_facts_t facts; /**< strings are owned */
  unsigned refs;
  uint64_t epoch;        /**< of the store, as its entry was told last */
  el_time_t listed;      /**< when that was */
  rt_access_t access;    /**< what is known against sending there */
  unsigned running;      /**< exchanges of this host with it */
  unsigned lines;        /**< streams of this host through it */
  double held;           /**< tokens times layers of this host's streams */
  double unread;         /**< of these, those still to be read */
  el_time_t alive;       /**< when a stream through it had its last event */
  double pace;           /**< how much slower than its kind it runs; 0 is not
                              known, as 1 */
  double fill;           /**< share of its memory beside the layers in use, as
                              it was told at TOLD */
  double held_then;      /**< what this host's streams held then */
  double taken;          /**< requests there against its slots, as told */
  unsigned running_then; /**< exchanges of this host with it then */
  el_time_t told;        /**< 0 is never */
  el_time_t asked;       /**< for a sign of life that has not come yet; 0:
                              none is awaited */
  el_time_t refused_at;  /**< nobody listens there since; 0: somebody does */
  double usual_ms;       /**< moving mean of its answers' times */
  UT_hash_handle hh;
} rt_target_t;

/** What an endpoint asks of a host beside what it answers. */
typedef struct rt_asks
{
  el_time_t rest; /**< it wants nothing for so long; 0: it did not say */
  int leaves;     /**< it takes no new work */
} rt_asks_t;

typedef struct rt_fleet rt_fleet_t;

rt_fleet_t *rt_fleet_new (uint64_t seed);
void rt_fleet_free (rt_fleet_t *fleet);
rt_target_t *rt_fleet_set (rt_fleet_t *fleet, const rt_facts_t *facts);
int rt_target_same_start (const rt_target_t *target, const rt_facts_t *facts);
void rt_fleet_remove (rt_fleet_t *fleet, el_str_t id);
rt_target_t *rt_fleet_find (const rt_fleet_t *fleet, el_str_t id);
rt_target_t *rt_fleet_first (const rt_fleet_t *fleet);
double rt_fleet_hosts (const rt_fleet_t *fleet);
size_t rt_fleet_count (const rt_fleet_t *fleet);
void rt_fleet_share (rt_fleet_t *fleet, size_t hosts, size_t all);
void rt_fleet_sent (rt_fleet_t *fleet, el_time_t now, double tokens);
double rt_fleet_flow (const rt_fleet_t *fleet, el_time_t now);
rt_target_t *rt_target_ref (rt_target_t *target);
void rt_target_unref (rt_target_t *target);
int rt_target_usable (const rt_target_t *target, el_time_t now);
int rt_target_leaves (const rt_target_t *target);
void rt_target_leave (rt_target_t *target);
rt_target_t *rt_fleet_leaves (rt_fleet_t *fleet, el_str_t id, uint64_t born);
typedef void (*rt_left_cb) (void *arg, el_str_t id, uint64_t born);
void rt_fleet_left (const rt_fleet_t *fleet, size_t most, rt_left_cb left,
                    void *arg);
int rt_fleet_rests (rt_fleet_t *fleet, rt_target_t *target, el_time_t now,
                    el_time_t asked);
el_time_t rt_fleet_opens (const rt_fleet_t *fleet, el_time_t now,
                          el_str_t service);
void rt_target_failed (rt_target_t *target, el_time_t now);
void rt_target_changed (rt_target_t *target, el_time_t now);
void rt_target_busy (rt_target_t *target, el_time_t now);
int rt_target_told (rt_target_t *target, const rt_load_t *load, el_time_t at);
void rt_target_served (rt_target_t *target, el_time_t took);

/** Most endpoints that one request leaves out. */
#define RT_TRIED_MAX 8

/** Endpoints that a request is not sent to again. */
typedef struct rt_tried
{
  const rt_target_t *list[RT_TRIED_MAX];
  size_t n;
} rt_tried_t;

void rt_tried_add (rt_tried_t *tried, const rt_target_t *target);
int rt_tried_has (const rt_tried_t *tried, const rt_target_t *target);
rt_target_t *rt_fleet_apart (const rt_fleet_t *fleet, el_time_t now,
                             el_str_t service, uint64_t draw,
                             const rt_tried_t *tried);
rt_target_t *rt_fleet_pick (rt_fleet_t *fleet, el_time_t now, el_str_t service,
                            el_str_t hall, const rt_tried_t *tried);

/* Lines of engines. */

/** What one more stream would meet at an engine. */
typedef struct rt_estimate
{
  double fill;      /**< share of its memory beside the layers, with it */
  double slower;    /**< factor on the time of a token step */
  double unread_ms; /**< until what waits there is read */
  double place_ms;  /**< cost of waiting for a place as the first engine, in
                         milliseconds of a token's time */
} rt_estimate_t;

rt_estimate_t rt_estimate (const rt_fleet_t *fleet, const rt_model_t *model,
                           const rt_target_t *target, double tokens,
                           el_time_t now);

/** Milliseconds that a token takes from one engine to the next in a hall. */
#define RT_HOP_MS 0.5

/** Most engines of a line. */
#define RT_LINE_MAX 32

/** An ordered cover of a model's layers: each runs once, in order. */
typedef struct rt_line
{
  struct rt_part
  {
    rt_target_t *target;
    unsigned from; /**< first layer that it runs */
    unsigned to;   /**< first layer after those */
    double unread; /**< tokens that it has yet to read */
  } part[RT_LINE_MAX];
  size_t n;
  double tokens; /**< that the stream has room for */
  int reading;   /**< some part has tokens to read */
  double fill;   /**< how full the fullest engine's memory would be with it, as
                      far as is known */
} rt_line_t;

/** What a line is wanted for. */
typedef struct rt_line_want
{
  const rt_service_t *service;
  el_str_t hall;            /**< of the caller */
  double tokens;            /**< that the stream will have */
  const rt_tried_t *tried;  /**< engines that it must not pass */
  const rt_target_t *first; /**< runs the first part; NULL: any */
} rt_line_want_t;

int rt_line_valid (const rt_line_t *line, unsigned layers);
int rt_line_pick (rt_fleet_t *fleet, el_time_t now, const rt_line_want_t *want,
                  rt_line_t *out);
el_time_t rt_line_opens (rt_fleet_t *fleet, el_time_t now,
                         const rt_line_want_t *want);
int rt_line_around (rt_fleet_t *fleet, el_time_t now,
                    const rt_service_t *service, const rt_line_t *old,
                    const rt_tried_t *tried, rt_line_t *out);
int rt_line_has (const rt_line_t *line, const rt_target_t *target);
rt_target_t *rt_line_engine (const rt_line_t *line, el_str_t address);
const struct rt_part *rt_line_part (const rt_line_t *line,
                                    const rt_target_t *target, unsigned from,
                                    unsigned to);
int rt_line_crosses (const rt_line_t *line);
void rt_line_hold (rt_line_t *line, const rt_line_t *old, double unread);
void rt_line_event (rt_line_t *line, el_time_t now);
rt_target_t *rt_line_fullest (const rt_line_t *line, const rt_line_t *old);
void rt_line_release (rt_line_t *line);

/* Placing of layers. */

/** An engine is to hold layers. */
typedef struct rt_order
{
  rt_target_t *target;
  unsigned first;
  unsigned end;
} rt_order_t;

const rt_card_t *rt_model_card (const rt_model_t *model, el_str_t name);
size_t rt_layout_next (rt_fleet_t *fleet, const rt_service_t *service,
                       const rt_order_t *pending, size_t npending,
                       rt_order_t *out, size_t most);

size_t rt_layout_repair (rt_fleet_t *fleet, const rt_service_t *service,
                         const rt_order_t *pending, size_t npending,
                         rt_order_t *out, size_t most);

/* Requests that come again, and orders. */

/** What a request asks for, and who asks. */
typedef struct rt_asked
{
  el_str_t customer; /**< empty under an open rule */
  el_str_t method;
  el_str_t host;
  el_str_t path; /**< with its query */
  el_str_t body;
} rt_asked_t;

/** Names a request by what it asks for; 0 is none. */
typedef uint64_t rt_digest_t;

#define RT_DIGEST_HEX 16

rt_digest_t rt_digest (el_str_t key, const rt_asked_t *asked);
void rt_digest_hex (rt_digest_t digest, char out[RT_DIGEST_HEX + 1]);
int rt_digest_read (el_str_t text, rt_digest_t *out);
rt_digest_t rt_order_digest (el_str_t key, const rt_order_t *order);

/** Kinds of orders that are remembered. */
#define RT_FALLS 64

/** How many engines ended under one kind of order, in a row. */
typedef struct rt_fall
{
  rt_digest_t digest;
  unsigned n;
} rt_fall_t;

typedef struct rt_falls
{
  rt_fall_t list[RT_FALLS];
  size_t next;
} rt_falls_t;

int rt_falls_ended (rt_falls_t *falls, rt_digest_t digest);
void rt_falls_done (rt_falls_t *falls, rt_digest_t digest);

/* What follows an attempt. */

/** What came of one attempt. */
typedef struct rt_attempt
{
  el_verdict_t verdict; /**< EL_NOT_RUN only when that is proved */
  int answered;         /**< a whole answer to this request came */
  int failed;           /**< that answer says that the work failed */
  int begun;            /**< the caller has a part of the answer */
} rt_attempt_t;

typedef enum rt_next
{
  RT_NEXT_PASS,   /**< the answer goes to the caller */
  RT_NEXT_AGAIN,  /**< try another endpoint */
  RT_NEXT_REFUSE, /**< it did not run and will not: the caller may repeat */
  RT_NEXT_FAIL    /**< it may have run */
} rt_next_t;

/** The state of one request's attempts. */
typedef struct rt_course
{
  unsigned sent;    /**< attempts that left this host */
  unsigned may_run; /**< of these, those that may have run */
} rt_course_t;

rt_next_t rt_course_next (rt_course_t *course, const rt_rule_t *rule,
                          const rt_attempt_t *attempt, int budget,
                          el_time_t left);

/* The budget of repeats that all hosts share, spent by each in its part. */

#define RT_WINDOW_SLOTS 11

typedef struct rt_spend
{
  double ratio;   /**< repeats for each request */
  double slack;   /**< repeats of all hosts besides */
  el_time_t born; /**< when the process began: one before it may have spent
                       its part of the slack */
  el_time_t slot; /**< length of a slot of the window */
  uint64_t at;    /**< number of the newest slot */
  uint64_t asked[RT_WINDOW_SLOTS];
  uint64_t spent[RT_WINDOW_SLOTS];
  size_t hosts[RT_WINDOW_SLOTS]; /**< the most that lived in it */
} rt_spend_t;

void rt_spend_open (rt_spend_t *spend, double ratio, double slack,
                    el_time_t window, el_time_t born);
void rt_spend_asked (rt_spend_t *spend, el_time_t now);
int rt_spend_left (rt_spend_t *spend, el_time_t now, size_t hosts);
int rt_spend_take (rt_spend_t *spend, el_time_t now, size_t hosts);

#endif
