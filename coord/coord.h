/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * The coordination library: session tokens, the request ledger, membership,
 * rumors and configuration. It does no I/O and has no clock, thread or global
 * state: the caller passes in the time and events, and acts on what the
 * functions return or pass to their callbacks.
 */
#ifndef ELMARCH_COORD_H
#define ELMARCH_COORD_H

#include <jansson.h>

#include "base.h"

/* Incarnations: an incarnation identifies one run of one host process. */

#define CO_INCARNATION_BYTES 16

/** Random bytes, so that an incarnation is unique without a store or a clock,
    even when another host takes over the address of a former one. */
typedef struct co_incarnation
{
  unsigned char byte[CO_INCARNATION_BYTES];
} co_incarnation_t;

/** Length of an incarnation in hexadecimal, without the final NUL. */
#define CO_INCARNATION_HEX (2 * CO_INCARNATION_BYTES)

void co_incarnation_hex (const co_incarnation_t *inc,
                         char out[CO_INCARNATION_HEX + 1]);
int co_incarnation_eq (const co_incarnation_t *a, const co_incarnation_t *b);

/* Session tokens: a token names the session, its home and the customer that
   opened it. */

#define CO_TOKEN_MAX 512

/** The fields of a token. The strings point into the token's text. */
typedef struct co_token
{
  el_str_t http;     /**< address of the home for callers, ip:port */
  el_str_t peer;     /**< address of the home for other hosts, ip:port */
  el_str_t customer; /**< customer that opened the session */
  uint64_t session;  /**< unique within the incarnation */
  co_incarnation_t home;
} co_token_t;

void co_token_write (el_buf_t *out, const co_token_t *token, el_str_t key);
el_status_t co_token_read (el_str_t text, el_str_t key, co_token_t *out,
                           el_err_t *err);

/** Size of a message authentication code (HMAC-SHA-256), in bytes. */
#define CO_MAC_BYTES 32
void co_mac (el_str_t key, el_str_t data, unsigned char out[CO_MAC_BYTES]);
int co_mac_eq (const unsigned char *a, const unsigned char *b);

/* The request ledger runs each (session, sequence) at most once. */

typedef struct co_ledger co_ledger_t;

/** Key of a session: the incarnation that opened it and its number there. */
typedef struct co_session
{
  co_incarnation_t home;
  uint64_t id;
} co_session_t;

/** How to handle a request that arrived. */
typedef enum co_led_result
{
  CO_LED_RUN,       /**< first arrival: run it */
  CO_LED_JOIN,      /**< already running: wait for its answer */
  CO_LED_ANSWER,    /**< finished: send the stored answer */
  CO_LED_FORGOTTEN, /**< unknown, may have run: never run it */
  CO_LED_MISMATCH,  /**< the sequence belongs to a different request */
  CO_LED_SEALED,    /**< the ledger is sealed and runs nothing new: not run */
  CO_LED_MOVED,     /**< the session was handed over to another host */
  CO_LED_ELSEWHERE, /**< still running at the session's former host */
  CO_LED_FULL       /**< no room for another entry: not run */
} co_led_result_t;

typedef struct co_ledger_options
{
  size_t max_sessions; /**< maximum number of sessions */
  size_t max_entries;  /**< maximum number of requests kept per session */
  size_t max_bytes; /**< maximum total size of the stored answers, in bytes */
  el_time_t idle;   /**< a session that is unused for this long is dropped */
  co_incarnation_t home; /**< incarnation of sessions opened here */
  void (*release) (void *arg, void *answer); /**< frees a dropped answer */
  void *arg;
} co_ledger_options_t;

/** A request of a session that is handed over. */
typedef struct co_led_entry
{
  uint64_t sequence;
  uint64_t digest;
  int ended; /**< 0: still running at the host that hands the session over */
  void *answer;
  size_t bytes;
} co_led_entry_t;

/** A session that is handed over. */
typedef struct co_led_session
{
  co_session_t key;
  el_str_t customer;
  uint64_t floor;
  co_led_entry_t *entries;
  size_t nentries;
} co_led_session_t;

/** Called for each session; the entries are valid during the call only. */
typedef void (*co_led_export_cb) (void *arg, const co_led_session_t *session);

co_ledger_t *co_ledger_new (const co_ledger_options_t *options);
void co_ledger_free (co_ledger_t *ledger);
co_session_t co_token_session (const co_token_t *token);
el_status_t co_ledger_open_session (co_ledger_t *ledger, el_time_t now,
                                    el_str_t customer, uint64_t *session,
                                    el_err_t *err);
el_status_t co_ledger_close_session (co_ledger_t *ledger,
                                     const co_session_t *session);
co_led_result_t co_ledger_begin_request (co_ledger_t *ledger, el_time_t now,
                                         const co_session_t *session,
                                         uint64_t sequence, uint64_t digest,
                                         void *new_answer, void **answer);
void co_ledger_end_request (co_ledger_t *ledger, el_time_t now,
                            const co_session_t *session, uint64_t sequence,
                            el_verdict_t verdict, size_t bytes);
int co_ledger_has_session (co_ledger_t *ledger, const co_session_t *session);
void co_ledger_export (co_ledger_t *ledger, co_led_export_cb visit, void *arg);
el_status_t co_ledger_import (co_ledger_t *ledger, el_time_t now,
                              const co_led_session_t *session);
void co_ledger_set_moved (co_ledger_t *ledger, const co_session_t *session,
                          int moved);
void co_ledger_seal (co_ledger_t *ledger);
void co_ledger_expire (co_ledger_t *ledger, el_time_t now);
size_t co_ledger_sessions (const co_ledger_t *ledger);
size_t co_ledger_entries (const co_ledger_t *ledger);
size_t co_ledger_bytes (const co_ledger_t *ledger);
const char *co_led_result_name (co_led_result_t result);

/* Membership: which hosts exist. The load per host does not depend on their
   number. Probing with suspicion and refutation follows SWIM (Das, Gupta,
   Motivala, 2002); updates are piggybacked on the probes. */

typedef enum co_mbr_state
{
  CO_MBR_ALIVE,
  CO_MBR_SUSPECT, /**< did not answer a probe; may still refute */
  CO_MBR_DEAD,    /**< not refuted in time, or replaced at its address */
  CO_MBR_LEFT     /**< announced that it stops */
} co_mbr_state_t;

/** Whether callers should be directed to a live host. */
typedef enum co_mbr_offer
{
  CO_MBR_OFFERED,
  CO_MBR_WITHDRAWN, /**< temporarily not: it can't serve callers at present */
  CO_MBR_DRAINING   /**< no longer: it is stopping */
} co_mbr_offer_t;

/** One incarnation of a host. */
typedef struct co_member
{
  co_incarnation_t incarnation; /**< identifies the member */
  el_str_t peer;                /**< address for other hosts, ip:port */
  el_str_t http;                /**< address for callers, ip:port */
  el_str_t hall;
  uint64_t capacity; /**< load that it can carry; where one host acts for
                        several, the one with the largest capacity is chosen */
  uint64_t counter;  /**< raised only by the member itself, to refute or to
                        announce a change of its own */
  co_mbr_state_t state;
  co_mbr_offer_t offer;
  uint64_t revision; /**< the member has seen all configuration changes up to
                        this revision */
  co_incarnation_t successor; /**< incarnation that took its sessions over; all
                                 zero when there is none */
} co_member_t;

/** A notice that an endpoint is leaving. */
typedef struct co_leaving_notice
{
  uint64_t id; /**< random, unique for each notice */
  el_str_t endpoint;
} co_leaving_notice_t;

/** Current state of a member, for hosts that know the member already. */
typedef struct co_member_change
{
  co_incarnation_t incarnation;
  uint64_t counter;
  co_mbr_state_t state;
  co_mbr_offer_t offer;
} co_member_change_t;

/** Maximum number of updates of each kind in one message, so that it fits a
    datagram. */
#define CO_GOSSIP_MEMBERS_MAX 4
#define CO_GOSSIP_CHANGES_MAX 12
#define CO_GOSSIP_LEAVING_MAX 4

/** Payload of a probe or of its answer. */
typedef struct co_gossip
{
  co_member_t self;
  uint64_t digest; /**< digest of the sender's available members */
  co_member_t members[CO_GOSSIP_MEMBERS_MAX]; /**< members that the receiver
                                                 may not know yet */
  size_t nmembers;
  co_member_change_t changes[CO_GOSSIP_CHANGES_MAX];
  size_t nchanges;
  co_leaving_notice_t leaving[CO_GOSSIP_LEAVING_MAX];
  size_t nleaving;
} co_gossip_t;

typedef struct co_members co_members_t;

typedef struct co_members_options
{
  co_member_t self;  /**< this host; the strings are copied */
  el_str_t seeds;    /**< comma-separated peer addresses that are probed for as
                        long as the process runs */
  uint64_t seed;     /**< seed of the random number generator */
  el_time_t period;  /**< time between two probes */
  el_time_t timeout; /**< timeout of a direct probe; an indirect probe takes as
                        long again */
  el_time_t forget;  /**< time for which members that are dead or left are
                        kept */
  el_time_t leaving_hold; /**< time for which a notice that an endpoint is
                             leaving is passed on */
  /** Probe the host at ADDRESS: send it the message that
      co_members_write_gossip makes, and pass the outcome to
      co_members_probe_done. With VIA set, ask the host at VIA to do the
      probing. */
  void (*probe) (void *arg, uint64_t id, el_str_t address, el_str_t via);
  /** Request the full member list from the host at ADDRESS; pass live members
      to co_members_apply_member and all others to co_members_apply_change. May
      be NULL. */
  void (*sync) (void *arg, el_str_t address);
  /** Ask the host at ADDRESS, a seed, for a few members, which it gets by
      co_members_introduce; pass them to co_members_apply_member and call
      co_members_set_discovered. May be NULL. */
  void (*discover) (void *arg, el_str_t address);
  /** A member was added or has changed. */
  void (*changed) (void *arg, const co_member_t *member);
  /** Another host reported that an endpoint is leaving. */
  void (*leaving) (void *arg, el_str_t endpoint);
  void *arg;
} co_members_options_t;

co_members_t *co_members_new (const co_members_options_t *options);
void co_members_free (co_members_t *members);
void co_members_tick (co_members_t *members, el_time_t now);
el_time_t co_members_next_due (const co_members_t *members);
void co_members_write_gossip (co_members_t *members,
                              const co_incarnation_t *to, co_gossip_t *out);
void co_members_receive_gossip (co_members_t *members, el_time_t now,
                                const co_gossip_t *gossip);
void co_members_probe_done (co_members_t *members, el_time_t now, uint64_t id,
                            int ok, const co_gossip_t *gossip);
void co_members_apply_member (co_members_t *members, el_time_t now,
                              const co_member_t *member);
void co_members_apply_change (co_members_t *members, el_time_t now,
                              const co_member_change_t *change);
void co_members_set_withdrawn (co_members_t *members, int withdrawn);
void co_members_drain (co_members_t *members, co_mbr_state_t state);
void co_members_set_successor (co_members_t *members,
                               const co_incarnation_t *successor);
const co_member_t *co_members_find (const co_members_t *members,
                                    const co_incarnation_t *incarnation);
const co_member_t *co_members_pick_available (co_members_t *members);
size_t co_members_sample (co_members_t *members, const co_member_t **out,
                          size_t max);
void co_members_set_revision (co_members_t *members, uint64_t revision);
void co_members_report_leaving (co_members_t *members, el_time_t now,
                                el_str_t endpoint);
size_t co_members_live_count (const co_members_t *members);
typedef void (*co_member_visit_cb) (void *arg, const co_member_t *member);
void co_members_visit (const co_members_t *members, co_member_visit_cb visit,
                       void *arg);
/** Returns nonzero to skip a member. */
typedef int (*co_member_skip_cb) (void *arg, const co_member_t *member);
const co_member_t *co_members_next_ranked (const co_members_t *members,
                                           const co_member_t *after,
                                           co_member_skip_cb skip, void *arg);
size_t co_members_rank_hall (const co_members_t *members,
                             co_member_skip_cb skip, void *arg,
                             const co_member_t ***out);
size_t co_members_introduce (co_members_t *members, el_str_t hall,
                             const co_member_t **out, size_t max);
void co_members_set_discovered (co_members_t *members);
int co_members_is_discovered (const co_members_t *members);
size_t co_members_count_preferred (const co_members_t *members);
const co_member_t *co_members_pick_by_draw (const co_members_t *members,
                                            uint64_t draw);
int co_member_ranks_before (const co_member_t *a, const co_member_t *b);
int co_members_is_top_ranked (const co_members_t *members, size_t max);
const char *co_mbr_state_name (co_mbr_state_t state);
const char *co_mbr_offer_name (co_mbr_offer_t offer);

/* Feeds: where a host gets the contents of a store that all hosts mirror. In
   each hall the first hosts read the store; the others get the contents from
   hosts of their hall that rank before them, in a tree whose width follows
   the capacity of the hosts. */

typedef struct co_feed co_feed_t;

typedef struct co_feed_options
{
  const co_members_t *members;
  size_t readers;      /**< hosts of a hall that read the store */
  el_time_t discovery; /**< longest wait for members after the start, before
                          this host reads the store itself */
  el_time_t born;      /**< when this host started */
  uint64_t seed;       /**< seed of the random number generator */
} co_feed_options_t;

/** What a host should do now; valid until the members change. */
typedef struct co_feed_plan
{
  int store;    /**< ask the store */
  int fallback; /**< only as HOST had nothing new enough for a long time */
  const co_member_t *host; /**< ask this host; NULL: none */
  int stand_in; /**< HOST is to ask the store, as it does not answer this host
                 */
  el_time_t until; /**< plan again then, at the latest; EL_TIME_NEVER: only
                      after the next answer */
} co_feed_plan_t;

/** The outcome of asking a host. */
typedef enum co_feed_answer
{
  CO_FEED_CURRENT, /**< it had what was asked for */
  CO_FEED_STALE,   /**< it answered, but had nothing new enough */
  CO_FEED_NONE     /**< it did not answer */
} co_feed_answer_t;

co_feed_t *co_feed_new (const co_feed_options_t *options);
void co_feed_free (co_feed_t *feed);
void co_feed_plan (co_feed_t *feed, el_time_t now, co_feed_plan_t *out);
void co_feed_host_done (co_feed_t *feed, el_time_t now,
                        const co_incarnation_t *host, int stand_in,
                        co_feed_answer_t answer);
void co_feed_store_done (co_feed_t *feed, el_time_t now, int ok);
void co_feed_store_overdue (co_feed_t *feed);
void co_feed_stand_in (co_feed_t *feed, el_time_t now);

/* Rumors: short messages that reach all hosts quickly. */

/** Maximum size of a rumor's body, and maximum number of rumors and total size
    of their bodies in one message, so that it fits a datagram. Sizes are in
    bytes. */
#define CO_RUMOR_BODY_MAX 1000
#define CO_RUMORS_BATCH_MAX 16
#define CO_RUMORS_BATCH_BYTES_MAX 1000

/** A rumor; the format of the body is up to the caller. */
typedef struct co_rumor
{
  uint64_t id;     /**< unique across all hosts */
  el_time_t at;    /**< time of its first publication, on this host's clock */
  el_time_t until; /**< time until which it is kept and forwarded */
  el_str_t body;
} co_rumor_t;

typedef struct co_rumors co_rumors_t;

typedef struct co_rumors_options
{
  size_t max_rumors;     /**< maximum number of rumors kept */
  el_time_t batch_delay; /**< delay to collect rumors for one message */
  /** Send rumors to a few other hosts. */
  void (*send) (void *arg, const co_rumor_t *list, size_t n);
  /** A rumor that was not known here arrived from another host. */
  void (*received) (void *arg, const co_rumor_t *rumor);
  void *arg;
} co_rumors_options_t;

co_rumors_t *co_rumors_new (const co_rumors_options_t *options);
void co_rumors_free (co_rumors_t *rumors);
void co_rumors_publish (co_rumors_t *rumors, el_time_t now,
                        const co_rumor_t *rumor);
int co_rumors_receive (co_rumors_t *rumors, el_time_t now,
                       const co_rumor_t *rumor);
void co_rumors_tick (co_rumors_t *rumors, el_time_t now);
el_time_t co_rumors_next_due (const co_rumors_t *rumors);
uint64_t co_rumors_digest (const co_rumors_t *rumors);
int co_rumors_needs_sync (co_rumors_t *rumors, el_time_t now, uint64_t digest);
void co_rumors_sync_done (co_rumors_t *rumors, size_t added);
typedef void (*co_rumor_visit_cb) (void *arg, const co_rumor_t *rumor);
void co_rumors_visit (const co_rumors_t *rumors, co_rumor_visit_cb visit,
                      void *arg);

/* Allowances: a rate that all hosts share. One host lends it in tokens, the
   others borrow. Neither part reads a clock or sends anything. */

/** Validity of a token, from when it was asked for. */
#define CO_TOKEN_TTL EL_SEC

/** The lender's token bucket. */
typedef struct co_lender
{
  double rate;             /**< tokens per second */
  el_time_t full_at;       /**< when the bucket will be full */
  el_time_t opens_at;      /**< lends nothing before; 0: it was never opened */
  el_time_t next_referral; /**< time to which the next host without a token is
                              referred */
} co_lender_t;

/** What a host gets when it asks for tokens. */
typedef struct co_loan
{
  unsigned tokens;
  el_time_t wait; /**< if these are fewer than it asked for: the time until it
                     should ask again */
} co_loan_t;

/** Tokens of one host. */
typedef struct co_borrower
{
  unsigned tokens;
  el_time_t tokens_until; /**< expiry of all of them */
  el_time_t denied_until; /**< does not ask before */
  el_time_t asked_at;     /**< the outstanding request; 0: none */
  double demand;          /**< tokens wanted per second, a moving average as of
                             DEMAND_AT */
  el_time_t demand_at;
} co_borrower_t;

/** Result of co_borrower_take. */
typedef enum co_take
{
  CO_TAKE_OK,    /**< a token was taken */
  CO_TAKE_ASK,   /**< none: the caller should ask the lender */
  CO_TAKE_WAIT,  /**< none: the lender was asked and has not answered */
  CO_TAKE_DENIED /**< none, and the lender has none */
} co_take_t;

void co_lender_open (co_lender_t *lender, el_time_t now, double rate,
                     el_time_t limited_since);
void co_lender_set_rate (co_lender_t *lender, el_time_t now, double rate);
co_loan_t co_lender_lend (co_lender_t *lender, el_time_t now, unsigned wanted);
int co_borrower_may_take (const co_borrower_t *borrower, el_time_t now);
co_take_t co_borrower_take (co_borrower_t *borrower, el_time_t now);
unsigned co_borrower_loan (const co_borrower_t *borrower);
int co_borrower_should_prefetch (const co_borrower_t *borrower, el_time_t now);
void co_borrower_asked (co_borrower_t *borrower, el_time_t now);
void co_borrower_answered (co_borrower_t *borrower, el_time_t now,
                           const co_loan_t *loan);
void co_borrower_give_back (co_borrower_t *borrower, el_time_t now,
                            el_time_t until);
void co_borrower_rate_changed (co_borrower_t *borrower, double factor);

/* Configuration: typed resources. */

typedef enum co_kind
{
  CO_DEPLOYMENT,
  CO_PIPELINE,
  CO_CUSTOMER,
  CO_ENDPOINT,
  CO_SERVICE,
  CO_KIND_COUNT
} co_kind_t;

/** Maximum number of stages of a pipeline, and of endpoints of a service. */
#define CO_STAGES_MAX 64
#define CO_NAME_MAX 63
#define CO_PRIORITIES 4

typedef enum co_role
{
  CO_ENGINE, /**< holds layers of a model */
  CO_WORKER  /**< serves calls of a service */
} co_role_t;

typedef struct co_stage
{
  el_str_t endpoint;
  uint64_t first; /**< first layer, from 0 */
  uint64_t last;  /**< last layer, inclusive */
} co_stage_t;

typedef struct co_deployment
{
  el_str_t model;      /**< model name that callers request */
  uint64_t generation; /**< generation of the weights; all stages of a route
                          have the same one */
  uint64_t layers;
  uint64_t max_tokens; /**< maximum number of tokens in one answer */
} co_deployment_t;

typedef struct co_pipeline
{
  el_str_t deployment;
  uint64_t weight; /**< share of the deployment's traffic */
  co_stage_t *stages;
  size_t nstages;
} co_pipeline_t;

typedef struct co_customer
{
  el_str_t key_hash;      /**< SHA-256 of the customer's key, hexadecimal */
  uint64_t priority;      /**< 0, the lowest, to CO_PRIORITIES - 1 */
  uint64_t weight;        /**< share relative to other customers */
  uint64_t max_in_flight; /**< maximum number of concurrent requests over all
                             hosts */
} co_customer_t;

typedef struct co_endpoint
{
  el_str_t address; /**< ip:port */
  el_str_t hall;
  uint64_t role;     /**< a co_role_t */
  uint64_t capacity; /**< number of concurrent calls that it batches well */
  uint64_t checks_orders;
  uint64_t draining; /**< an operator drains it: it gets no new work */
} co_endpoint_t;

typedef struct co_service
{
  el_str_t *endpoints;
  size_t nendpoints;
  uint64_t repeatable; /**< calls other than GET and HEAD may be retried */
  uint64_t timeout_ms;
} co_service_t;

/** A resource as declared by an operator; co_resource_free frees all of it. */
typedef struct co_resource
{
  co_kind_t kind;
  el_str_t name;
  uint64_t revision; /**< assigned by the platform, increasing */
  json_t *json;      /**< the spec; the strings in the union point into it */
  union
  {
    co_deployment_t deployment;
    co_pipeline_t pipeline;
    co_customer_t customer;
    co_endpoint_t endpoint;
    co_service_t service;
  } spec;
} co_resource_t;

const char *co_kind_name (co_kind_t kind);
int co_kind_parse (el_str_t name, co_kind_t *out);
int co_name_valid (el_str_t name);
co_resource_t *co_resource_parse (co_kind_t kind, el_str_t name, json_t *json,
                                  uint64_t revision, el_err_t *err);
void co_resource_free (co_resource_t *resource);

/** The configuration in effect on one host. */
typedef struct co_config co_config_t;

typedef struct co_config_options
{
  /** The resource NEXT replaced PREV. PREV is NULL for a new resource, NEXT
      for a removed one. PREV is freed after the call. */
  void (*changed) (void *arg, const co_resource_t *prev,
                   const co_resource_t *next);
  void *arg;
} co_config_options_t;

co_config_t *co_config_new (const co_config_options_t *options);
void co_config_free (co_config_t *config);
el_status_t co_config_apply (co_config_t *config, co_resource_t *resource,
                             el_err_t *err);
el_status_t co_config_remove (co_config_t *config, co_kind_t kind,
                              el_str_t name, uint64_t revision, el_err_t *err);
const co_resource_t *co_config_get (const co_config_t *config, co_kind_t kind,
                                    el_str_t name);
uint64_t co_config_revision (const co_config_t *config);
void co_config_advance (co_config_t *config, uint64_t revision);
size_t co_config_count (const co_config_t *config);
/** Called for each change after a revision; RESOURCE is NULL for a removal. */
typedef void (*co_config_change_cb) (void *arg, co_kind_t kind, el_str_t name,
                                     uint64_t revision,
                                     const co_resource_t *resource);
void co_config_visit_since (const co_config_t *config, uint64_t revision,
                            co_config_change_cb visit, void *arg);
typedef void (*co_config_visit_cb) (void *arg, const co_resource_t *resource);
void co_config_visit (const co_config_t *config, co_config_visit_cb visit,
                      void *arg);

#endif
