/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Availability of an endpoint: the reasons to avoid it and their expiry.
 */
#include "access.h"

/* After a rest one trial request is sent first. The others follow when it was
   answered, or after this time. */
#define TRIAL_TIMEOUT (500 * EL_MSEC)
/* Each host extends a rest by a random time of up to this part of it, as an
   endpoint requests the rest from all hosts at about the same moment. */
#define JITTER_DIVISOR 10
#define JITTER_STEPS 1000

static const struct
{
  const char *name;
  rt_open_t open;
} reasons[RT_WHYS] = {
  [RT_WHY_NOTHING] = { "nothing", RT_OPEN },
  [RT_WHY_PROOF] = { "proof", RT_DOUBT },
  [RT_WHY_TRIAL] = { "trial", RT_ASIDE },
  [RT_WHY_BUSY] = { "busy", RT_ASIDE },
  [RT_WHY_CHANGED] = { "changed", RT_ASIDE },
  [RT_WHY_FAILED] = { "failed", RT_ASIDE },
  [RT_WHY_SILENT] = { "silent", RT_ASIDE },
  [RT_WHY_RESTS] = { "rests", RT_CLOSED },
  [RT_WHY_LEAVES] = { "leaves", RT_CLOSED },
  [RT_WHY_GONE] = { "gone", RT_CLOSED },
};

/** The strongest reason at NOW to avoid the endpoint. */
rt_why_t
rt_access_why (const rt_access_t *access, el_time_t now)
{
  if (access->gone)
    return RT_WHY_GONE;
  if (now < access->leaves_until)
    return RT_WHY_LEAVES;
  if (now < access->rest_until)
    return RT_WHY_RESTS;
  if (access->silent)
    return RT_WHY_SILENT;
  if (now < access->failed_until)
    return RT_WHY_FAILED;
  if (now < access->changed_until)
    return RT_WHY_CHANGED;
  if (now < access->busy_until)
    return RT_WHY_BUSY;
  if (access->trial && now < access->trial_until)
    return RT_WHY_TRIAL;
  return now < access->proof_until ? RT_WHY_PROOF : RT_WHY_NOTHING;
}

/** The availability level at NOW. */
rt_open_t
rt_access_open (const rt_access_t *access, el_time_t now)
{
  return reasons[rt_access_why (access, now)].open;
}

const char *
rt_why_name (rt_why_t why)
{
  return reasons[why].name;
}

/** Whether it is draining at NOW. */
int
rt_access_leaves (const rt_access_t *access, el_time_t now)
{
  return now < access->leaves_until;
}

/** Time left of its rest; 0 if it does not rest. */
el_time_t
rt_access_rest_left (const rt_access_t *access, el_time_t now)
{
  return now < access->rest_until ? access->rest_until - now : 0;
}

/** The endpoint requested at NOW a rest of DURATION. A rest in progress that
    ends later is kept, as the endpoint has not withdrawn it. DRAW is a random
    number. Returns 1 if a rest begins. */
int
rt_access_rest (rt_access_t *access, el_time_t now, el_time_t duration,
                uint64_t draw)
{
  el_time_t jitter
      = duration / JITTER_DIVISOR * (draw % JITTER_STEPS) / JITTER_STEPS;
  int begins = now >= access->rest_until;

  if (duration == 0 || now + duration + jitter <= access->rest_until)
    return 0;
  if (begins)
    access->rest_began = now;
  access->rest_until = now + duration + jitter;
  access->trial = 1;
  access->trial_until = 0;
  return begins;
}

/** A request is sent there. */
void
rt_access_sent (rt_access_t *access, el_time_t now)
{
  if (access->trial && now >= access->trial_until)
    access->trial_until = now + TRIAL_TIMEOUT;
}

/** It began to answer a request that it accepted. An answer to a request from
    before its rest does not end the trial. */
void
rt_access_answered (rt_access_t *access)
{
  if (access->trial_until)
    access->trial = 0;
}

/** It refused a request for lack of capacity. */
void
rt_access_busy (rt_access_t *access, el_time_t now, el_time_t wait)
{
  if (access->busy_until < now + wait)
    access->busy_until = now + wait;
}

/** Its listed attributes are out of date. */
void
rt_access_changed (rt_access_t *access, el_time_t now, el_time_t wait)
{
  if (access->changed_until < now + wait)
    access->changed_until = now + wait;
}

/** A suspect request is sent there. */
void
rt_access_proof (rt_access_t *access, el_time_t now, el_time_t wait)
{
  access->proof_until = now + wait;
}

/** A request failed there. Returns 1 if it is set aside now. With IMMEDIATE
    one failure is enough. */
int
rt_access_failed (rt_access_t *access, el_time_t now,
                  const rt_avoid_t *ejection, int immediate)
{
  unsigned excess;
  el_time_t wait;

  access->failures++;
  if (!immediate && access->failures < ejection->after)
    return 0;
  excess = access->failures > ejection->after
               ? access->failures - ejection->after
               : 0;
  wait = ejection->first << (excess < ejection->doublings
                                 ? excess
                                 : ejection->doublings);
  access->failed_until = now + (wait < ejection->most ? wait : ejection->most);
  return 1;
}

/** It answered successfully: clears its failures, and no other reason. */
void
rt_access_served (rt_access_t *access)
{
  access->failures = 0;
  access->failed_until = 0;
}
