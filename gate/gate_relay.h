/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Relay of callers' HTTP requests to endpoints: routes each request by the
 * rules in force and forwards the response whole or event by event.
 */
#ifndef ELMARCH_GATE_RELAY_H
#define ELMARCH_GATE_RELAY_H

#include "net.h"
#include "peer.h"
#include "relay.h"
#include "blame.h"

typedef struct gt_relays gt_relays_t;
typedef struct gt_relay gt_relay_t;

/** Header names of a platform, in lower case. */
typedef struct gt_relay_headers
{
  const char *id;        /**< request id, echoed in the response */
  const char *time_left; /**< milliseconds until the caller's deadline */
  const char *expect; /**< id of the endpoint that is meant; others refuse the
                         request */
  const char *customer;
  const char *not_executed; /**< on a response: the request was not executed */
  const char *seal;   /**< on a response: proves that the endpoint wrote it */
  const char *resume; /**< id of the last event that the caller received */
  const char *tokens; /**< prompt length and response limit, in tokens */
  const char *expected_tokens; /**< the caller's estimate of response tokens */
  const char *model;           /**< the model that the request is for */
  const char *prompt_parts;    /**< the parts of the prompt, in order */
  const char *priority; /**< priority of the prompt among those queued */
  const char *chain;    /**< engines of the chain and their layers */
  const char *at_fault; /**< on a refusal: address of the refusing engine */
} gt_relay_headers_t;

/** Result of a stall query: ADDRESS is the engine that the stream waits
    for. */
typedef void (*gt_stalled_cb) (void *arg, int answered, el_str_t address,
                               const rt_hints_t *hints);
/** Outcome of a health check. */
typedef enum gt_check_result
{
  GT_CHECK_NONE, /**< no response: the engine or this host may be unreachable
                  */
  GT_CHECK_REFUSED, /**< connection refused */
  GT_CHECK_OK       /**< the engine responded */
} gt_check_result_t;

/** Result of a health check; LOAD is NULL if the engine did not report any. */
typedef void (*gt_check_cb) (void *arg, gt_check_result_t result,
                             const rt_load_t *load, const rt_hints_t *hints);
/** Result of a reroute. If not DONE, AT_FAULT is the address of the engine
    that refused to join the new chain, or empty if none was named. */
typedef void (*gt_reroute_cb) (void *arg, int done, el_str_t at_fault,
                               const rt_hints_t *hints);

/** Priority of a stream's prompt among those queued at an engine. */
typedef enum gt_priority
{
  GT_PRIORITY_ACTIVE, /**< in progress: its caller has received events */
  GT_PRIORITY_NEW,    /**< new, or resumed by its caller */
  GT_PRIORITIES
} gt_priority_t;

/** Protocol differences between platforms. */
typedef struct gt_relay_dialect
{
  gt_relay_headers_t names;
  const char *priorities[GT_PRIORITIES]; /**< header values */
  const char *ranked[LD_RANKS]; /**< the same, of new streams by rank, if the
                                   streams of a service differ in it */
  /** Writes the header value that describes a chain. */
  void (*write_chain) (const rt_chain_t *chain, el_buf_t *out);
  /** Reads from a header value the ids of the parts of a prompt that other
      prompts may share, at most MAX. Returns how many there are. */
  size_t (*read_parts) (el_str_t value, el_str_t *ids, size_t max);
  /** Reads the backoff and the leaving notice from a response head. */
  void (*read_hints) (const net_result_t *head, rt_hints_t *out);
  /** Asks the first engine of a chain which engine the stream ID is
      waiting for. The exchange can be cancelled. */
  net_exchange_t *(*query_stalled) (net_client_t *client,
                                    const rt_target_t *first, el_str_t id,
                                    gt_stalled_cb done, void *arg);
  /** Sends a health check to an engine. The exchange can be cancelled. */
  net_exchange_t *(*check) (net_client_t *client, const rt_target_t *engine,
                            gt_check_cb done, void *arg);
  /** Tells the first engine to move the stream ID to another chain. */
  net_exchange_t *(*reroute) (net_client_t *client, el_str_t id,
                              const rt_chain_t *chain, gt_reroute_cb done,
                              void *arg);
} gt_relay_dialect_t;

/** Counters and histograms of relayed requests, exported as metrics. */
typedef struct gt_relay_counts
{
  uint64_t requests;
  uint64_t forwarded;    /**< complete responses forwarded */
  uint64_t no_config;    /**< refused: no configuration, or an outdated one */
  uint64_t unmatched;    /**< no matching rule: 404 */
  uint64_t denied;       /**< unknown key: 401 */
  uint64_t refused;      /**< not executed: 503 */
  uint64_t failed;       /**< may have been executed: 502 */
  uint64_t timeouts;     /**< 504 */
  uint64_t aborted;      /**< streams aborted before their end */
  uint64_t disconnected; /**< callers that disconnected */
  uint64_t attempts;
  uint64_t retries;     /**< attempts after a request's first */
  uint64_t resumed;     /**< streams resumed on another chain */
  uint64_t rerouted;    /**< streams moved to another chain without a retry */
  uint64_t not_retried; /**< stalled streams that may not be retried */
  uint64_t standby_begun;   /**< attempts that stayed open beside a later one
                             */
  uint64_t standby_resumed; /**< of these, resumed in its place */
  uint64_t waits;  /**< streams that waited for an endpoint to resume on */
  uint64_t queued; /**< times that a request began to wait in order of rank
                    */
  uint64_t refused_wait;     /**< refused: no room in their time, or others go
                                first */
  uint64_t checks;           /**< health checks sent to engines */
  uint64_t silent;           /**< of these, those without a response */
  uint64_t phase_errors;     /**< steps that a request's phase does not allow;
                                stays 0 */
  uint64_t wrong_id;         /**< responses with another request's id */
  uint64_t budget_exhausted; /**< retries not made: budget exhausted */
  uint64_t crashes;          /**< endpoint crashes with requests running */
  uint64_t suspects; /**< runs of requests recorded for these crashes */
  uint64_t doubts;   /**< runs that may have crashed an endpoint while no
                        endpoint of the service was reached */
  uint64_t doubts_confirmed; /**< of these, the endpoint had crashed */
  uint64_t doubts_cleared;   /**< of these, it had not */
  uint64_t testimonies;      /**< rumors that a part of prompts ran well */
  uint64_t blocks_refuted;   /**< blocks of parts that ran well here */
  uint64_t runs_forgotten;   /**< runs dropped undecided, as there were too
                                many */
  uint64_t surveys; /**< times that other hosts were asked what they reach */
  uint64_t blocked; /**< requests blocked because they crash endpoints */
  uint64_t refused_blocked; /**< arrivals of blocked requests, refused */
  uint64_t parts_ignored; /**< requests with more parts of the prompt than are
                             judged */
  uint64_t trials;        /**< sends of requests that have a suspect part */
  uint64_t trial_waits;   /**< waits of such requests */
  uint64_t refused_trial; /**< refused: they waited for too long */
  uint64_t isolated; /**< suspect requests sent to an endpoint of their own */
  uint64_t turn_waits; /**< waits of suspect requests for their turn */
  uint64_t backoffs;   /**< backoffs requested by endpoints */
  uint64_t backoff_us; /**< time spent in backoff, microseconds */
  uint64_t withheld;   /**< not sent: endpoint unavailable once connected */
  uint64_t sent_in_backoff; /**< sends to an endpoint in backoff; stays 0 */
  uint64_t refused_backoff; /**< refused: all endpoints in backoff */
  uint64_t leaving; /**< endpoints found leaving by a response or by gossip */
  uint64_t limits;  /**< rate limits that endpoints began to name */
  uint64_t limit_borrows;    /**< times that a lender was asked for tokens */
  uint64_t limit_unanswered; /**< of these, without an answer */
  uint64_t limit_tokens;     /**< tokens borrowed */
  uint64_t limit_lent;       /**< tokens lent, also to this host */
  uint64_t limit_returned;   /**< tokens of requests that were not sent */
  uint64_t limit_waits;      /**< waits of requests for a token */
  uint64_t limit_denied;     /**< times that a request got no token and another
                                endpoint was chosen */
  uint64_t refused_limit;    /**< refused: all endpoints' limits are used up */
  uint64_t sent_over_limit;  /**< sends to a limited endpoint without a token;
                                stays 0 */
  uint64_t over_host; /**< sends of requests to another host, which serves
                         them */
  uint64_t for_host;  /**< requests that came from another host */
  uint64_t refused_unreached; /**< refused: no endpoint is reached */
  uint64_t cut_off; /**< services of which this host reaches no endpoint */
  uint64_t cuts;    /**< times that a service became one of these */
  uint64_t probes;  /**< connects that show whether an endpoint is reached */
  uint64_t events;
  el_hist_t first_event; /**< arrival to first event, microseconds */
  el_hist_t answer;    /**< arrival to complete plain response, microseconds */
  el_hist_t event_gap; /**< between events, microseconds */
  el_hist_t wait;      /**< of requests that waited in order of rank and
                          started, microseconds */
} gt_relay_counts_t;

/** A host to which callers may send requests. */
typedef struct gt_entry_host
{
  el_str_t address; /**< for callers, ip:port */
  el_str_t hall;
  uint64_t capacity;
} gt_entry_host_t;

typedef void (*gt_entry_host_cb) (void *arg, const gt_entry_host_t *host);

typedef struct gt_relay_options
{
  net_clock_t *clock;
  net_client_t *client;
  rt_fleet_t *fleet;
  const gt_relay_dialect_t *dialect;
  el_str_t listen; /**< address for callers, ip:port */
  el_str_t hall;
  el_str_t key; /**< cluster key */
  size_t max_body;
  el_account_t *account;              /**< what the process holds; NULL: not
                                         limited */
  net_server_counts_t *server_counts; /**< of the process; NULL: none */
  size_t max_waiting;     /**< maximum number of requests of a service that
                             wait in order of rank */
  double retry_ratio;     /**< retries per request, over all hosts */
  double retry_slack;     /**< retries allowed in addition */
  el_time_t retry_window; /**< requests are counted over this time */
  el_time_t keys_limit;   /**< keys are refused if the configuration was last
                             known to be current longer ago; 0: no limit */
  uint64_t seed;
  /** Returns the number of live hosts, this one included. */
  size_t (*hosts) (void *arg);
  /** Returns how many of these are in this host's hall. */
  size_t (*hall_hosts) (void *arg);
  /** Returns whether this host polls the engines of its hall. */
  int (*is_poller) (void *arg);
  /** Called when all slices have been polled: the reports may be sent to
      other hosts. */
  void (*poll_done) (void *arg);
  /** Calls VISIT for each other live host that callers may use; may be
      NULL. */
  void (*entry_hosts) (void *arg, gt_entry_host_cb visit, void *visit_arg);
  /** Returns whether the host that callers use at ADDRESS is live. */
  int (*entry_is_live) (void *arg, el_str_t address);
  uint64_t host_incarnation; /**< identifies this host in crash reports */
  /** Publishes BODY as the rumor ID, which is gossiped for HOLD. */
  void (*publish) (void *arg, uint64_t id, el_time_t hold, el_str_t body);
  /** Asks the lender of an endpoint's rate limit for tokens. DONE may be
      called before it returns. */
  void (*borrow) (void *arg, const pr_loan_request_t *request, pr_loan_cb done,
                  void *done_arg);
  /** Asks some other hosts whether they reach endpoints, and returns their
      number. DONE is called for each of them. May be NULL. */
  unsigned (*ask_reach) (void *arg, const pr_reach_query_t *query,
                         pr_reach_cb done, void *done_arg);
  /** Called to store a block, which took effect for the HOLDS-th time and
      ends after LEFT. */
  void (*blocked) (void *arg, const rt_block_t *block, unsigned holds,
                   el_time_t left);
  void *arg;
} gt_relay_options_t;

gt_relays_t *gt_relays_new (const gt_relay_options_t *options, el_err_t *err);
void gt_relays_set_rules (gt_relays_t *relays, rt_rules_t *rules);
void gt_relays_set_rules_as_of (gt_relays_t *relays, el_time_t as_of);
const rt_rules_t *gt_relays_rules_in_force (const gt_relays_t *relays);
size_t gt_relays_engine_reports (gt_relays_t *relays, el_time_t after,
                                 pr_engine_report_t **out);
void gt_relays_receive_reports (gt_relays_t *relays,
                                const pr_engine_report_t *reports, size_t n);
void gt_relays_engine_changed (gt_relays_t *relays, rt_target_t *engine);
void gt_relays_engine_gone (gt_relays_t *relays, rt_target_t *target);
void gt_relays_receive_rumor (gt_relays_t *relays, const co_rumor_t *rumor);
void gt_relays_block (gt_relays_t *relays, const rt_block_t *block,
                      unsigned holds);
void gt_relays_check_engine (gt_relays_t *relays, rt_target_t *engine,
                             el_time_t since);
int gt_relays_order_blocked (gt_relays_t *relays, const rt_order_t *order);
void gt_relays_order_crashed (gt_relays_t *relays,
                              rt_order_failures_t *failures,
                              const rt_order_t *order);
void gt_relays_order_done (const gt_relays_t *relays,
                           rt_order_failures_t *failures,
                           const rt_order_t *order);
void gt_relays_lend (gt_relays_t *relays, const pr_loan_request_t *request,
                     int is_lender, co_loan_t *out);
void gt_relays_answer_reach (gt_relays_t *relays,
                             const pr_reach_query_t *query, pr_reach_cb done,
                             void *arg);
int gt_relays_unblock (gt_relays_t *relays, rt_digest_t digest);
json_t *gt_relays_suspects (gt_relays_t *relays);
json_t *gt_relays_unavailable_endpoints (gt_relays_t *relays);
json_t *gt_relays_limits (gt_relays_t *relays);
json_t *gt_relays_waiting (gt_relays_t *relays);
void gt_relays_report_waits (gt_relays_t *relays, ld_report_t *report);
void gt_relays_told_waits (gt_relays_t *relays, el_time_t ttl,
                           const ld_report_t *others);
void gt_relays_apply_hints (gt_relays_t *relays, rt_target_t *target,
                            const rt_hints_t *hints, el_str_t by);
void gt_relays_first_gossip_done (gt_relays_t *relays);
void gt_relays_store_epoch_began (gt_relays_t *relays);
void gt_relays_persist_blocked (gt_relays_t *relays);
int gt_relays_is_cut_off (gt_relays_t *relays);
int gt_relays_is_cut_off_from_engines (const gt_relays_t *relays);
int gt_relays_refusal_counts (gt_relays_t *relays, const rt_target_t *target);
int gt_relays_rules_outdated (const gt_relays_t *relays);
void gt_relays_drain_connections (gt_relays_t *relays);
void gt_relays_end (gt_relays_t *relays);
void gt_relays_stop (gt_relays_t *relays);
size_t gt_relays_running (const gt_relays_t *relays);
void gt_relays_metrics (gt_relays_t *relays, el_metrics_t *metrics);

#endif
