/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Relayed requests: taken from callers as they are, passed on to endpoints by
 * the rules in force, answered whole or event by event.
 */
#ifndef ELMARCH_GATE_RELAY_H
#define ELMARCH_GATE_RELAY_H

#include "net.h"
#include "peer.h"
#include "relay.h"
#include "blame.h"

typedef struct gt_relays gt_relays_t;
typedef struct gt_relay gt_relay_t;

/** The headers of a dialect, in lower case. */
typedef struct gt_relay_names
{
  const char *id;        /**< names the request; echoed in its answer */
  const char *time_left; /**< milliseconds */
  const char *expect;    /**< the endpoint's id: any other one refuses */
  const char *customer;
  const char *not_run;  /**< on an answer: the request did not run */
  const char *seal;     /**< on an answer: the endpoint vouches for it */
  const char *resume;   /**< the last event that the caller has */
  const char *tokens;   /**< of the prompt, and most of the answer */
  const char *guess;    /**< the caller's guess of the answer's tokens */
  const char *urgency;  /**< of reading its prompt, among others */
  const char *line;     /**< the engines that a request passes */
  const char *at_fault; /**< on a refusal: the address of the engine that
                             refused */
} gt_relay_names_t;

/** What came of asking an engine where a stream stands still. */
typedef void (*gt_stalled_cb) (void *arg, int answered, el_str_t address,
                               const rt_asks_t *asks);
/** What an endpoint gave when it was asked for a sign of life. */
typedef enum gt_life
{
  GT_LIFE_NONE,    /**< nothing: it or this host may be cut off */
  GT_LIFE_REFUSED, /**< nobody listens there */
  GT_LIFE_SIGN     /**< it answered */
} gt_life_t;

/** What an engine gave, and how it does; LOAD is NULL when it did not tell. */
typedef void (*gt_check_cb) (void *arg, gt_life_t life, const rt_load_t *load,
                             const rt_asks_t *asks);
/** What came of moving a stream to another line: whether it was done, else
    the address of the engine that can't have its part, if it was named. */
typedef void (*gt_reroute_cb) (void *arg, int done, el_str_t at_fault,
                               const rt_asks_t *asks);

/** How soon a stream's prompt should be read, among those that wait. */
typedef enum gt_urgency
{
  GT_URGENT_GOING, /**< its caller has events and waits for the next */
  GT_URGENT_NEW,   /**< it begins, or its caller resumes it */
  GT_URGENCIES
} gt_urgency_t;

/** What differs between dialects. */
typedef struct gt_relay_dialect
{
  gt_relay_names_t names;
  const char *urgencies[GT_URGENCIES]; /**< as the header's value */
  void (*write_line) (const rt_line_t *line, el_buf_t *out);
  /** What an answer's head asks of this host beside its result. */
  void (*read_asks) (const net_result_t *head, rt_asks_t *out);
  /** Ask the first engine of a line which engine the stream ID waits for;
      the exchange can be cancelled. */
  net_exchange_t *(*ask_stalled) (net_client_t *client,
                                  const rt_target_t *first, el_str_t id,
                                  gt_stalled_cb done, void *arg);
  /** Ask an engine for a sign of life; the exchange can be cancelled. */
  net_exchange_t *(*check) (net_client_t *client, const rt_target_t *engine,
                            gt_check_cb done, void *arg);
  /** Have the first engine pass the stream ID on over another line. */
  net_exchange_t *(*reroute) (net_client_t *client, el_str_t id,
                              const rt_line_t *line, gt_reroute_cb done,
                              void *arg);
} gt_relay_dialect_t;

typedef struct gt_relay_counts
{
  uint64_t requests;
  uint64_t passed;   /**< whole answers of endpoints handed on */
  uint64_t no_rules; /**< refused: no configuration yet, or too old */
  uint64_t unknown;  /**< no rule: 404 */
  uint64_t denied;   /**< no such key: 401 */
  uint64_t refused;  /**< not run: 503 */
  uint64_t failed;   /**< may have run: 502 */
  uint64_t timeouts; /**< 504 */
  uint64_t cut;      /**< streams that ended without their end */
  uint64_t gone;     /**< callers that left */
  uint64_t attempts;
  uint64_t repeats;  /**< attempts after a request's first */
  uint64_t resumed;  /**< streams that went on at another line */
  uint64_t rerouted; /**< streams moved within their line */
  uint64_t held;     /**< streams that stand still and may not be sent again */
  uint64_t waits;    /**< streams that found no endpoint to go on at */
  uint64_t checks;   /**< engines asked for a sign of life */
  uint64_t silent;   /**< of these, those that gave none */
  uint64_t crossed;  /**< answers to another request */
  uint64_t spent;    /**< repeats not made: the budget is spent */
  uint64_t ends;     /**< endpoints that ended where requests ran */
  uint64_t suspects; /**< runs that were noted under them */
  uint64_t blocked;  /**< requests found to be to blame */
  uint64_t barred;   /**< arrivals of these that were refused */
  uint64_t apart;    /**< sends of suspects apart from others */
  uint64_t turns;    /**< of these, waits for a turn */
  uint64_t rests;    /**< times that an endpoint asked for rest */
  uint64_t rest_us;  /**< time that endpoints rested, microseconds */
  uint64_t kept;     /**< sends kept back while a connection was made */
  uint64_t in_rest;  /**< sends to one that rests; stays 0 */
  uint64_t rested;   /**< refused as all endpoints rest */
  uint64_t leaves;   /**< endpoints that said in an answer that they leave, or
                          of which other hosts told it */
  uint64_t events;
  el_hist_t first_event; /**< microseconds from the request */
  el_hist_t answer;      /**< microseconds to the whole plain answer */
  el_hist_t event_gap;   /**< microseconds between events */
} gt_relay_counts_t;

typedef struct gt_relay_options
{
  net_clock_t *clock;
  net_client_t *client;
  rt_fleet_t *fleet;
  const gt_relay_dialect_t *dialect;
  el_str_t listen; /**< where callers connect, ip:port */
  el_str_t hall;
  el_str_t key; /**< shared by the hosts */
  size_t max_body;
  double repeat_ratio; /**< budget of repeats of all hosts */
  double repeat_slack;
  el_time_t repeat_window;
  el_time_t keys_limit; /**< keys are refused when the configuration is not
                             known to be in force as of this long ago; 0 is
                             no limit */
  uint64_t seed;
  /** Live hosts, this one included. */
  size_t (*hosts) (void *arg);
  /** Those of this host's hall. */
  size_t (*hall_hosts) (void *arg);
  /** Whether this host asks the engines of its hall how they do. */
  int (*polls) (void *arg);
  /** They were asked: the other hosts may be told. */
  void (*polled) (void *arg);
  uint64_t witness; /**< names this incarnation of the host */
  /** Have all hosts know BODY, named by ID, for HOLD. */
  void (*tell) (void *arg, uint64_t id, el_time_t hold, el_str_t body);
  /** A request was found to be to blame for ends of endpoints, the HOLDS-th
      time: that is to last for LEFT. */
  void (*blocked) (void *arg, rt_digest_t digest, unsigned holds,
                   el_time_t left);
  void *arg;
} gt_relay_options_t;

gt_relays_t *gt_relays_new (const gt_relay_options_t *options, el_err_t *err);
void gt_relays_rules (gt_relays_t *relays, rt_rules_t *rules);
void gt_relays_known (gt_relays_t *relays, el_time_t as_of);
const rt_rules_t *gt_relays_in_force (const gt_relays_t *relays);
size_t gt_relays_tell (gt_relays_t *relays, pr_engine_t **out);
void gt_relays_hear (gt_relays_t *relays, const pr_engine_t *news, size_t n);
void gt_relays_engine_changed (gt_relays_t *relays, rt_target_t *engine);
void gt_relays_engine_gone (gt_relays_t *relays, rt_target_t *target);
void gt_relays_rumor (gt_relays_t *relays, const co_rumor_t *rumor);
void gt_relays_block (gt_relays_t *relays, rt_digest_t digest, unsigned holds);
void gt_relays_ask (gt_relays_t *relays, rt_target_t *engine, el_time_t since);
int gt_relays_order_blocked (gt_relays_t *relays, const rt_order_t *order);
void gt_relays_order_ended (gt_relays_t *relays, rt_falls_t *falls,
                            const rt_order_t *order);
void gt_relays_order_done (const gt_relays_t *relays, rt_falls_t *falls,
                           const rt_order_t *order);
int gt_relays_unblock (gt_relays_t *relays, rt_digest_t digest);
json_t *gt_relays_suspects (gt_relays_t *relays);
json_t *gt_relays_closed (gt_relays_t *relays);
void gt_relays_asked (gt_relays_t *relays, rt_target_t *target,
                      const rt_asks_t *asks, el_str_t by);
void gt_relays_heard (gt_relays_t *relays);
void gt_relays_epoch (gt_relays_t *relays);
void gt_relays_blocked_keep (gt_relays_t *relays);
int gt_relays_behind (const gt_relays_t *relays);
void gt_relays_retire (gt_relays_t *relays);
void gt_relays_close (gt_relays_t *relays);
size_t gt_relays_running (const gt_relays_t *relays);
void gt_relays_metrics (gt_relays_t *relays, el_metrics_t *metrics);

#endif
