/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Attributes endpoint crashes to what requests have in common.
 *
 * The load pattern: a request crashes each endpoint that starts to run it (a
 * query of death), and its caller may retry it without limit, at any host; or
 * a part of a prompt does, which many different requests contain. An engine
 * that crashes was running some fifty other, innocent requests. Engines also
 * crash for reasons unrelated to requests: a fault, or the outage of a rack or
 * hall.
 *
 * A request has several possible causes of a crash: itself, each shared part
 * of its prompt, and each of these parts in the prompts of its customer. Each
 * host records which requests were running where an endpoint crashed, and the
 * hosts exchange these reports as rumors. The verdict on a cause depends only
 * on the set of reports, not on the order in which they arrived. Causes that
 * all reports name together can't be told apart: only requests that have all
 * of them are blocked. Nothing here does I/O or reads a clock.
 */
#ifndef ELMARCH_BLAME_H
#define ELMARCH_BLAME_H

#include "relay.h"

/** Size of an endpoint's id as kept here, including the final NUL; longer ids
    are truncated. */
#define RT_INSTANCE_ID_SIZE 48

/** A request that had run for less than this when its endpoint crashed is more
    likely to be the culprit than one that had run for longer. A culprit was
    observed to crash its engines within 0.2 s; about eight of fifty streams
    have run for less than this. */
#define RT_BLAME_SHORT_RUN (400 * EL_MSEC)

/** One instance of an endpoint: one start of its process. */
typedef struct rt_instance
{
  char id[RT_INSTANCE_ID_SIZE]; /**< id of the endpoint */
  uint64_t born; /**< start time, which distinguishes the instances of an
                    endpoint */
} rt_instance_t;

/** Most parts of a prompt that a report names; later parts are ignored. */
#define RT_PARTS_MAX 32
/** Most causes that a block combines. */
#define RT_BLOCK_CAUSES_MAX 8

typedef enum rt_cause_kind
{
  RT_CAUSE_REQUEST,       /**< a request, as identified by its digest */
  RT_CAUSE_PART,          /**< a part of a prompt */
  RT_CAUSE_CUSTOMER_PART, /**< the same, in prompts of one customer */
  RT_CAUSE_KINDS
} rt_cause_kind_t;

/** What a request has that may crash an endpoint. */
typedef struct rt_traits
{
  rt_digest_t digest;
  uint64_t customer; /**< hash of the name of its customer */
  const rt_digest_t *parts;
  size_t nparts;
} rt_traits_t;

/** What is blocked: requests that have all of these causes. */
typedef struct rt_block
{
  rt_digest_t id;       /**< the cause, or a hash of several */
  rt_cause_kind_t kind; /**< of all its causes */
  rt_digest_t causes[RT_BLOCK_CAUSES_MAX]; /**< in ascending order */
  size_t n;
  int taken_for_new; /**< none of them had run well yet, as far as the host
                        knew that decided */
} rt_block_t;

/** A report by a host or by the store that an endpoint instance crashed while
    a request was running there. */
typedef struct rt_crash_report
{
  rt_instance_t instance;
  rt_digest_t digest; /**< 0: no request of the reporting host ran there */
  uint64_t customer;  /**< hash of the name of the request's customer */
  uint64_t host;      /**< the reporter; 0: the store, whose report needs no
                         confirmation */
  el_time_t at; /**< when it crashed, or when the request's run broke off */
  el_time_t detected_at; /**< when the host detected the crash; 0: at AT */
  el_time_t ran;         /**< how long the request had been running there */
  int first;   /**< the endpoint was the only one, or the first engine of the
                  chain */
  int writing; /**< the response had begun to arrive: no part of the prompt is
                  a cause */
  rt_digest_t parts[RT_PARTS_MAX]; /**< shared parts of its prompt */
  size_t nparts;
} rt_crash_report_t;

typedef enum rt_blame_state
{
  RT_BLAME_NONE,    /**< no crash counts against it */
  RT_BLAME_SUSPECT, /**< it ran at an endpoint that crashed, or was blocked */
  RT_BLAME_BLOCKED  /**< it is the culprit: not sent until the block ends */
} rt_blame_state_t;

/** What the reports say about a cause or a request. */
typedef struct rt_blame_status
{
  rt_blame_state_t state;
  unsigned crashes;        /**< endpoint crashes during its runs */
  double odds;             /**< odds that it caused them */
  el_time_t blocked_until; /**< end of the current or last block */
  unsigned holds;          /**< how often it has been blocked */
  int unconfirmed;   /**< only one host reported the newest of these crashes */
  int prime_suspect; /**< no cause at the newest crash has far higher odds */
  rt_digest_t cause; /**< what it is blocked for; 0: not blocked */
  rt_cause_kind_t kind;   /**< kind of CAUSE */
  rt_digest_t trial;      /**< the likeliest culprit among what it shares with
                             other requests: only one of them is sent at a time.
                             0: there is none */
  unsigned trial_crashes; /**< endpoint crashes that count against TRIAL */
} rt_blame_status_t;

typedef struct rt_blame_options
{
  size_t max_causes;          /**< maximum number of tracked causes */
  size_t max_customer_causes; /**< the same per customer */
  size_t max_proven; /**< maximum number of parts remembered as having run
                        well */
  /** Scoring rule. Selectable so that benchmarks can compare rules. */
  const struct rt_blame_rule *rule;
} rt_blame_options_t;

typedef struct rt_blame rt_blame_t;

/** A rule that scores causes. */
typedef struct rt_blame_rule
{
  const char *name;
  /** Recompute the odds of all causes from the reports; ENDPOINTS is the
      number of endpoints listed. */
  void (*score) (rt_blame_t *blame, size_t endpoints);
} rt_blame_rule_t;

extern const rt_blame_rule_t rt_blame_rule_odds;  /**< weighs other causes */
extern const rt_blame_rule_t rt_blame_rule_count; /**< counts crashes only */

rt_blame_t *rt_blame_new (const rt_blame_options_t *options);
void rt_blame_free (rt_blame_t *blame);
int rt_blame_add_report (rt_blame_t *blame, el_time_t now,
                         const rt_crash_report_t *report);
int rt_blame_should_publish (const rt_blame_t *blame,
                             const rt_crash_report_t *report);
el_time_t rt_blame_crash_time (const rt_blame_t *blame,
                               const rt_instance_t *instance);
int rt_blame_needs_witness (const rt_blame_t *blame,
                            const rt_instance_t *instance, uint64_t host);
uint64_t rt_blame_completed (rt_blame_t *blame, rt_digest_t digest,
                             el_time_t at);
void rt_blame_prove (rt_blame_t *blame, rt_digest_t part, el_time_t at);
el_time_t rt_blame_ran_well_at (const rt_blame_t *blame, rt_digest_t part,
                                el_time_t now);
int rt_blame_should_testify (rt_blame_t *blame, rt_digest_t part,
                             el_time_t now, el_time_t until);
int rt_blame_testify (rt_blame_t *blame, rt_digest_t part, el_time_t at,
                      el_time_t until);
int rt_blame_block (rt_blame_t *blame, const rt_block_t *block,
                    uint64_t customer, el_time_t at, unsigned holds);
int rt_blame_clear (rt_blame_t *blame, rt_digest_t digest, el_time_t at);
rt_blame_status_t rt_blame_get_status (const rt_blame_t *blame, el_time_t now,
                                       rt_digest_t digest);
rt_blame_status_t rt_blame_judge (const rt_blame_t *blame, el_time_t now,
                                  const rt_traits_t *traits);
el_time_t rt_blame_block_time (unsigned holds);
int rt_blame_is_empty (const rt_blame_t *blame);
int rt_blame_tracks_parts (const rt_blame_t *blame);
/** Called with a cause, or what is blocked, and its status. */
typedef void (*rt_blame_cause_cb) (void *arg, const rt_block_t *block,
                                   const rt_blame_status_t *status);
void rt_blame_update (rt_blame_t *blame, el_time_t now, size_t endpoints,
                      rt_blame_cause_cb blocked, void *arg);
void rt_blame_visit_causes (const rt_blame_t *blame, el_time_t now,
                            rt_blame_cause_cb visit, void *arg);
/** Called for each crash of a cause, with one host that reported it. */
typedef void (*rt_blame_report_cb) (void *arg,
                                    const rt_crash_report_t *report);
void rt_blame_visit_crashes (const rt_blame_t *blame, rt_digest_t digest,
                             rt_blame_report_cb visit, void *arg);
uint64_t rt_instance_key (const rt_instance_t *instance);
rt_instance_t rt_target_instance (const rt_target_t *target);
rt_block_t rt_block_single (rt_cause_kind_t kind, rt_digest_t cause);
void rt_block_seal (rt_block_t *block);
int rt_block_remove (rt_block_t *block, rt_digest_t cause);
int rt_block_has (const rt_block_t *block, const rt_traits_t *traits);
const char *rt_cause_kind_name (rt_cause_kind_t kind);
rt_digest_t rt_customer_part (uint64_t customer, rt_digest_t part);

#endif
