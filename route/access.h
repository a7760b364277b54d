/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Availability of an endpoint: whether it may be sent requests now. Each
 * reason for avoiding it has its own expiry time, so that none shortens
 * another; the selection of an endpoint evaluates all of them together.
 * Nothing here reads a clock or draws random numbers.
 */
#ifndef ELMARCH_ACCESS_H
#define ELMARCH_ACCESS_H

#include "base.h"

/** Longest rest: the back-off that an endpoint may request. A longer one is
    capped: an endpoint that must stay out of use longer gets replaced, and one
    wrong number must not disable it for good. */
#define RT_REST_MOST (600 * EL_SEC)

/** Availability levels, in order of preference. */
typedef enum rt_open
{
  RT_OPEN,  /**< no reason to avoid it */
  RT_DOUBT, /**< a suspect request may crash it: only without an RT_OPEN one */
  RT_ASIDE, /**< set aside: only without an RT_DOUBT one */
  RT_CLOSED, /**< takes no new requests */
} rt_open_t;

/** Reasons to avoid an endpoint, the strongest last. */
typedef enum rt_why
{
  RT_WHY_NOTHING,
  RT_WHY_PROOF, /**< a suspect request may crash it */
  RT_WHY_TRIAL, /**< its rest is over; the first request since is unanswered */
  RT_WHY_BUSY,  /**< it refused a request: no capacity */
  RT_WHY_CHANGED, /**< its listed attributes are out of date */
  RT_WHY_FAILED,  /**< consecutive failures */
  RT_WHY_SILENT,  /**< it did not answer a health check */
  RT_WHY_RESTS,   /**< it requested a back-off */
  RT_WHY_LEAVES,  /**< it is draining */
  RT_WHY_GONE,    /**< it is no longer listed */
  RT_WHYS
} rt_why_t;

/** How long a failing endpoint is set aside: for FIRST after AFTER consecutive
    failures, twice as long with each further one, at most MOST. */
typedef struct rt_avoid
{
  unsigned after;
  el_time_t first;
  unsigned doublings; /**< most doublings of FIRST */
  el_time_t most;
} rt_avoid_t;

/** Reasons to avoid an endpoint and when each expires. */
typedef struct rt_access
{
  int gone;
  int silent;
  el_time_t leaves_until; /**< EL_TIME_NEVER: until it exits */
  el_time_t rest_began;
  el_time_t rest_until;
  int trial; /**< no request was answered since its rest; one goes first */
  el_time_t trial_until; /**< others wait until then for the trial request */
  el_time_t failed_until;
  el_time_t changed_until;
  el_time_t busy_until;
  el_time_t proof_until;
  unsigned failures; /**< consecutive */
} rt_access_t;

rt_why_t rt_access_why (const rt_access_t *access, el_time_t now);
rt_open_t rt_access_open (const rt_access_t *access, el_time_t now);
const char *rt_why_name (rt_why_t why);
int rt_access_leaves (const rt_access_t *access, el_time_t now);
el_time_t rt_access_rest_left (const rt_access_t *access, el_time_t now);

int rt_access_rest (rt_access_t *access, el_time_t now, el_time_t duration,
                    uint64_t draw);
void rt_access_sent (rt_access_t *access, el_time_t now);
void rt_access_answered (rt_access_t *access);
void rt_access_busy (rt_access_t *access, el_time_t now, el_time_t wait);
void rt_access_changed (rt_access_t *access, el_time_t now, el_time_t wait);
void rt_access_proof (rt_access_t *access, el_time_t now, el_time_t wait);
int rt_access_failed (rt_access_t *access, el_time_t now,
                      const rt_avoid_t *ejection, int immediate);
void rt_access_served (rt_access_t *access);

#endif
