/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Which request is to blame for the ends of endpoints.
 *
 * Load pattern: one request ends each endpoint that begins to run it, and
 * comes again, at any host, as often as its caller likes. An engine holds some
 * fifty other requests when it ends; they did nothing. Engines also end for
 * reasons that no request has: a fault, a rack, a hall.
 *
 * Each host notes which requests ran where an endpoint ended, and all hosts
 * tell each other; what is known here is a set of such facts, and a judgement
 * follows from the set alone, in whatever order it was learned. Nothing here
 * does I/O or reads a clock.
 */
#ifndef ELMARCH_BLAME_H
#define ELMARCH_BLAME_H

#include "relay.h"

/** Longest id of an endpoint that is kept, with the final NUL. */
#define RT_START_MAX 48

/** What has run at an endpoint for less than this when it ended is more likely
    to be to blame than what ran for longer: the one that was seen ended its
    engines within 0.2 s, and of fifty streams some eight are as young. */
#define RT_BLAME_YOUNG (400 * EL_MSEC)

/** One start of an endpoint. */
typedef struct rt_start
{
  char id[RT_START_MAX];
  uint64_t born; /**< tells starts under one id apart */
} rt_start_t;

/** What one host saw: a start of an endpoint ended, and a request that ran
    there then. */
typedef struct rt_ended
{
  rt_start_t start;
  rt_digest_t digest; /**< 0: none that this host knows of */
  uint64_t customer;  /**< a hash: whose request it is */
  uint64_t host;      /**< who saw it; 0: the store, which is sure alone */
  el_time_t at;       /**< when it ended, or the request's run broke off */
  el_time_t found;    /**< when the host knew that it had; 0: at once */
  el_time_t ran;      /**< how long the request had run there */
  int first;          /**< it ran there as at the only or first endpoint */
} rt_ended_t;

typedef enum rt_blame_state
{
  RT_BLAME_NONE,    /**< nothing speaks against it */
  RT_BLAME_SUSPECT, /**< it ran where an endpoint ended, as others did */
  RT_BLAME_BLOCKED  /**< it is to blame: it is not sent any more for a while */
} rt_blame_state_t;

/** What is thought of a request. */
typedef struct rt_judgement
{
  rt_blame_state_t state;
  unsigned ends;   /**< of endpoints where it ran */
  double odds;     /**< that it is to blame for them */
  el_time_t until; /**< it is blocked until then */
  unsigned holds;  /**< times that it was blocked */
  int unsure;      /**< only one host saw the newest of these ends */
  int foremost;    /**< it was young there, and few are as likely to be to
                        blame */
} rt_judgement_t;

typedef struct rt_blame_options
{
  size_t most;          /**< requests remembered */
  size_t customer_most; /**< of these, those of one customer */
  /** How a request is judged: a table entry, so that ways can be compared. */
  const struct rt_blame_rule *rule;
} rt_blame_options_t;

typedef struct rt_blame rt_blame_t;

/** A way to judge. */
typedef struct rt_blame_rule
{
  const char *name;
  /** Work the odds of all requests out anew from the facts; ENDPOINTS are
      listed now. */
  void (*judge) (rt_blame_t *blame, size_t endpoints);
} rt_blame_rule_t;

extern const rt_blame_rule_t rt_blame_odds;  /**< weighs each end */
extern const rt_blame_rule_t rt_blame_count; /**< counts ends alone */

rt_blame_t *rt_blame_new (const rt_blame_options_t *options);
void rt_blame_free (rt_blame_t *blame);
int rt_blame_ended (rt_blame_t *blame, el_time_t now, const rt_ended_t *ended);
int rt_blame_told (const rt_blame_t *blame, const rt_ended_t *ended);
int rt_blame_unsure (const rt_blame_t *blame, const rt_start_t *start,
                     uint64_t host);
uint64_t rt_blame_survived (rt_blame_t *blame, rt_digest_t digest,
                            el_time_t at);
int rt_blame_block (rt_blame_t *blame, rt_digest_t digest, uint64_t customer,
                    el_time_t at, unsigned holds);
int rt_blame_clear (rt_blame_t *blame, rt_digest_t digest, el_time_t at);
rt_judgement_t rt_blame_of (const rt_blame_t *blame, el_time_t now,
                            rt_digest_t digest);
el_time_t rt_blame_hold (unsigned holds);
int rt_blame_empty (const rt_blame_t *blame);
typedef void (*rt_blame_visit_cb) (void *arg, rt_digest_t digest,
                                   const rt_judgement_t *judgement);
void rt_blame_judge (rt_blame_t *blame, el_time_t now, size_t endpoints,
                     rt_blame_visit_cb blocked, void *arg);
void rt_blame_visit (const rt_blame_t *blame, el_time_t now,
                     rt_blame_visit_cb visit, void *arg);
/** Visit the ends that a request ran under; a host each that saw one. */
typedef void (*rt_blame_end_cb) (void *arg, const rt_ended_t *ended);
void rt_blame_ends (const rt_blame_t *blame, rt_digest_t digest,
                    rt_blame_end_cb visit, void *arg);
uint64_t rt_start_key (const rt_start_t *start);
rt_start_t rt_target_start (const rt_target_t *target);

#endif
