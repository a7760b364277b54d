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
#ifndef ELMARCH_AVAIL_H
#define ELMARCH_AVAIL_H

#include "base.h"

/** Longest backoff that an endpoint may request with Retry-After. A longer one
    is capped: an endpoint that must stay out of use for longer gets replaced,
    and one wrong number must not disable it for good. */
#define RT_BACKOFF_MAX (600 * EL_SEC)

/** Availability levels, in order of preference. */
typedef enum rt_avail_level
{
  RT_AVAIL_FULL,        /**< no reason to avoid it */
  RT_AVAIL_DOUBTFUL,    /**< a suspect request may crash it: only without an
                           RT_AVAIL_FULL one */
  RT_AVAIL_LAST_RESORT, /**< avoided: only without an RT_AVAIL_DOUBTFUL one */
  RT_AVAIL_NONE,        /**< takes no new requests */
} rt_avail_level_t;

/** Reasons to avoid an endpoint, in ascending order of strength. */
typedef enum rt_unavail
{
  RT_UNAVAIL_NOTHING,
  RT_UNAVAIL_SUSPECT,   /**< a suspect request may crash it */
  RT_UNAVAIL_TRIAL,     /**< its backoff is over; the first request since
                           then is unanswered */
  RT_UNAVAIL_BUSY,      /**< it refused a request: no capacity */
  RT_UNAVAIL_CHANGED,   /**< its listed attributes are out of date */
  RT_UNAVAIL_FAILED,    /**< consecutive failures */
  RT_UNAVAIL_SILENT,    /**< it did not answer a health check */
  RT_UNAVAIL_UNREACHED, /**< this host can open no connection to it */
  RT_UNAVAIL_BACKOFF,   /**< it requested a backoff */
  RT_UNAVAIL_LEAVING,   /**< it gave notice that it will stop */
  RT_UNAVAIL_GONE,      /**< it is no longer listed */
  RT_UNAVAIL_COUNT
} rt_unavail_t;

/** How long a failing endpoint is ejected, that is, avoided after consecutive
    failures. Each further failure doubles the time. */
typedef struct rt_ejection
{
  unsigned threshold;     /**< consecutive failures that eject an endpoint */
  el_time_t first;        /**< duration after that many failures */
  unsigned max_doublings; /**< maximum number of doublings */
  el_time_t max;          /**< maximum duration */
} rt_ejection_t;

/** Reasons to avoid an endpoint and when each expires. */
typedef struct rt_avail
{
  int gone;                /**< no longer listed */
  int silent;              /**< did not answer a health check */
  int unreached;           /**< no connection to it can be opened */
  el_time_t leaving_until; /**< EL_TIME_NEVER: until it exits */
  el_time_t backoff_since;
  el_time_t backoff_until;
  int trial; /**< no request was answered since its backoff: a single trial
                request is sent first */
  el_time_t trial_until; /**< until then, other requests wait for the answer
                            to the trial request */
  el_time_t ejected_until;
  el_time_t stale_until; /**< its listed attributes are out of date */
  el_time_t busy_until;
  el_time_t suspect_until;
  unsigned failures; /**< consecutive */
} rt_avail_t;

rt_unavail_t rt_avail_reason_at (const rt_avail_t *avail, el_time_t now);
rt_avail_level_t rt_avail_level_at (const rt_avail_t *avail, el_time_t now);
const char *rt_unavail_name (rt_unavail_t why);
int rt_avail_is_leaving (const rt_avail_t *avail, el_time_t now);
el_time_t rt_avail_backoff_left (const rt_avail_t *avail, el_time_t now);

int rt_avail_backoff (rt_avail_t *avail, el_time_t now, el_time_t duration,
                      uint64_t draw);
void rt_avail_sent (rt_avail_t *avail, el_time_t now);
void rt_avail_answered (rt_avail_t *avail);
void rt_avail_busy (rt_avail_t *avail, el_time_t now, el_time_t wait);
void rt_avail_changed (rt_avail_t *avail, el_time_t now, el_time_t wait);
void rt_avail_suspect_sent (rt_avail_t *avail, el_time_t now, el_time_t wait);
int rt_avail_failed (rt_avail_t *avail, el_time_t now,
                     const rt_ejection_t *ejection, int immediate);
void rt_avail_succeeded (rt_avail_t *avail);

#endif
