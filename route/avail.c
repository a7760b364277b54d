/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Availability of an endpoint: the reasons to avoid it and their expiry.
 */
#include "avail.h"

/* After a backoff a single trial request is sent first. The others follow when
   it has been answered, or after this time. */
#define TRIAL_TIMEOUT (500 * EL_MSEC)
/* Each host extends a backoff by a random time of up to this fraction (one
   part in so many) of it, as an endpoint requests the backoff from all hosts
   at about the same moment. */
#define JITTER_DIVISOR 10
#define JITTER_STEPS 1000

static const struct
{
  const char *name;
  rt_avail_level_t level;
} reasons[RT_UNAVAIL_COUNT] = {
  [RT_UNAVAIL_NOTHING] = { "nothing", RT_AVAIL_FULL },
  [RT_UNAVAIL_SUSPECT] = { "proof", RT_AVAIL_DOUBTFUL },
  [RT_UNAVAIL_TRIAL] = { "trial", RT_AVAIL_LAST_RESORT },
  [RT_UNAVAIL_BUSY] = { "busy", RT_AVAIL_LAST_RESORT },
  [RT_UNAVAIL_CHANGED] = { "changed", RT_AVAIL_LAST_RESORT },
  [RT_UNAVAIL_FAILED] = { "failed", RT_AVAIL_LAST_RESORT },
  [RT_UNAVAIL_SILENT] = { "silent", RT_AVAIL_LAST_RESORT },
  [RT_UNAVAIL_UNREACHED] = { "unreached", RT_AVAIL_LAST_RESORT },
  [RT_UNAVAIL_BACKOFF] = { "rests", RT_AVAIL_NONE },
  [RT_UNAVAIL_LEAVING] = { "leaves", RT_AVAIL_NONE },
  [RT_UNAVAIL_GONE] = { "gone", RT_AVAIL_NONE },
};

/** The strongest reason at NOW to avoid the endpoint. */
rt_unavail_t
rt_avail_reason_at (const rt_avail_t *avail, el_time_t now)
{
  if (avail->gone)
    return RT_UNAVAIL_GONE;
  if (now < avail->leaving_until)
    return RT_UNAVAIL_LEAVING;
  if (now < avail->backoff_until)
    return RT_UNAVAIL_BACKOFF;
  if (avail->unreached)
    return RT_UNAVAIL_UNREACHED;
  if (avail->silent)
    return RT_UNAVAIL_SILENT;
  if (now < avail->ejected_until)
    return RT_UNAVAIL_FAILED;
  if (now < avail->stale_until)
    return RT_UNAVAIL_CHANGED;
  if (now < avail->busy_until)
    return RT_UNAVAIL_BUSY;
  if (avail->trial && now < avail->trial_until)
    return RT_UNAVAIL_TRIAL;
  return now < avail->suspect_until ? RT_UNAVAIL_SUSPECT : RT_UNAVAIL_NOTHING;
}

/** The availability level at NOW. */
rt_avail_level_t
rt_avail_level_at (const rt_avail_t *avail, el_time_t now)
{
  return reasons[rt_avail_reason_at (avail, now)].level;
}

const char *
rt_unavail_name (rt_unavail_t why)
{
  return reasons[why].name;
}

/** Whether the endpoint is leaving at NOW. */
int
rt_avail_is_leaving (const rt_avail_t *avail, el_time_t now)
{
  return now < avail->leaving_until;
}

/** The remaining time of the endpoint's backoff; 0 if there is none. */
el_time_t
rt_avail_backoff_left (const rt_avail_t *avail, el_time_t now)
{
  return now < avail->backoff_until ? avail->backoff_until - now : 0;
}

/** Records that the endpoint requested a backoff of DURATION at NOW. A backoff
    in progress that ends later is kept, as the endpoint has not withdrawn it.
    DRAW is a random number. Returns 1 if a backoff begins, 0 if one is
    extended or nothing changes. */
int
rt_avail_backoff (rt_avail_t *avail, el_time_t now, el_time_t duration,
                  uint64_t draw)
{
  el_time_t jitter
      = duration / JITTER_DIVISOR * (draw % JITTER_STEPS) / JITTER_STEPS;
  int begins = now >= avail->backoff_until;

  if (duration == 0 || now + duration + jitter <= avail->backoff_until)
    return 0;
  if (begins)
    avail->backoff_since = now;
  avail->backoff_until = now + duration + jitter;
  avail->trial = 1;
  avail->trial_until = 0;
  return begins;
}

/** Records that a request is sent to the endpoint. */
void
rt_avail_sent (rt_avail_t *avail, el_time_t now)
{
  if (avail->trial && now >= avail->trial_until)
    avail->trial_until = now + TRIAL_TIMEOUT;
}

/** Records that the endpoint began to answer a request that it accepted. An
    answer to a request from before its backoff does not end the trial. */
void
rt_avail_answered (rt_avail_t *avail)
{
  if (avail->trial_until)
    avail->trial = 0;
}

/** Records that the endpoint refused a request for lack of capacity. */
void
rt_avail_busy (rt_avail_t *avail, el_time_t now, el_time_t wait)
{
  if (avail->busy_until < now + wait)
    avail->busy_until = now + wait;
}

/** Records that the endpoint's listed attributes are out of date. */
void
rt_avail_changed (rt_avail_t *avail, el_time_t now, el_time_t wait)
{
  if (avail->stale_until < now + wait)
    avail->stale_until = now + wait;
}

/** Records that a suspect request is sent to the endpoint. */
void
rt_avail_suspect_sent (rt_avail_t *avail, el_time_t now, el_time_t wait)
{
  avail->suspect_until = now + wait;
}

/** Records a failed request. Returns 1 if the endpoint is ejected now. With
    IMMEDIATE a single failure is enough. */
int
rt_avail_failed (rt_avail_t *avail, el_time_t now,
                 const rt_ejection_t *ejection, int immediate)
{
  unsigned excess;
  el_time_t wait;

  avail->failures++;
  if (!immediate && avail->failures < ejection->threshold)
    return 0;
  excess = avail->failures > ejection->threshold
               ? avail->failures - ejection->threshold
               : 0;
  wait = ejection->first << (excess < ejection->max_doublings
                                 ? excess
                                 : ejection->max_doublings);
  avail->ejected_until = now + (wait < ejection->max ? wait : ejection->max);
  return 1;
}

/** Records a successful answer: clears the endpoint's failures, but no other
    reason to avoid it. */
void
rt_avail_succeeded (rt_avail_t *avail)
{
  avail->failures = 0;
  avail->ejected_until = 0;
}
