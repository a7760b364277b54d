/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Whether something may be sent to an endpoint now. What is known against it
 * is kept apart, each with its own end, so that none cuts another short; a
 * choice asks for all of it at once. Nothing here reads a clock or draws.
 */
#ifndef ELMARCH_ACCESS_H
#define ELMARCH_ACCESS_H

#include "base.h"

/** A longer rest is cut to this: an endpoint that is to stay away longer is
    replaced, and one misread number must not close it for good. */
#define RT_REST_MOST (600 * EL_SEC)

/** How far a choice may use an endpoint, from best to last. */
typedef enum rt_open
{
  RT_OPEN,   /**< nothing speaks against it */
  RT_DOUBT,  /**< a suspect may end it: where nothing else is left */
  RT_ASIDE,  /**< as RT_DOUBT, and after those */
  RT_CLOSED, /**< nothing new may go there */
} rt_open_t;

/** The strongest of what is known against an endpoint. */
typedef enum rt_why
{
  RT_WHY_NOTHING,
  RT_WHY_PROOF,   /**< a suspect may end it */
  RT_WHY_TRIAL,   /**< its rest is over, and the first request since then is
                       not answered yet */
  RT_WHY_BUSY,    /**< it refused for want of room */
  RT_WHY_CHANGED, /**< it is not what it was said to be */
  RT_WHY_FAILED,  /**< it failed some times in a row */
  RT_WHY_SILENT,  /**< it did not answer when it was asked */
  RT_WHY_RESTS,   /**< it asked this host for rest */
  RT_WHY_LEAVES,  /**< it takes no new work */
  RT_WHY_GONE,    /**< it is no longer listed */
  RT_WHYS
} rt_why_t;

/** For how long an endpoint is set aside that fails: for FIRST after so many
    failures in a row, twice as long with each further one. */
typedef struct rt_avoid
{
  unsigned after;
  el_time_t first;
  unsigned doublings; /**< at most */
  el_time_t most;
} rt_avoid_t;

/** What is known against an endpoint. */
typedef struct rt_access
{
  int gone;
  int silent;
  el_time_t leaves_until; /**< EL_TIME_NEVER: for good */
  el_time_t rest_began;
  el_time_t rest_until;
  int trial;             /**< no request was answered since its rest */
  el_time_t trial_until; /**< the one under way is given up for slow */
  el_time_t failed_until;
  el_time_t changed_until;
  el_time_t busy_until;
  el_time_t proof_until;
  unsigned failures; /**< in a row */
} rt_access_t;

rt_why_t rt_access_why (const rt_access_t *access, el_time_t now);
rt_open_t rt_access_open (const rt_access_t *access, el_time_t now);
const char *rt_why_name (rt_why_t why);
int rt_access_leaves (const rt_access_t *access, el_time_t now);
el_time_t rt_access_rest_left (const rt_access_t *access, el_time_t now);

int rt_access_rest (rt_access_t *access, el_time_t now, el_time_t asked,
                    uint64_t draw);
void rt_access_sent (rt_access_t *access, el_time_t now);
void rt_access_answered (rt_access_t *access);
void rt_access_busy (rt_access_t *access, el_time_t now, el_time_t wait);
void rt_access_changed (rt_access_t *access, el_time_t now, el_time_t wait);
void rt_access_proof (rt_access_t *access, el_time_t now, el_time_t wait);
int rt_access_failed (rt_access_t *access, el_time_t now,
                      const rt_avoid_t *avoid, int at_once);
void rt_access_served (rt_access_t *access);

#endif
