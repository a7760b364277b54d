/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * What is known against an endpoint, and what follows from it for a choice.
 */
#include "access.h"

/* When a rest is over one request goes there first; the others follow when it
   was answered, or after this. */
#define TRIAL_MOST (500 * EL_MSEC)
/* Part of a rest, at the most, by which a host comes back later than it may:
   endpoints ask all hosts at about the same moment. */
#define SPREAD_PART 10
#define SPREAD_DRAWS 1000

static const struct
{
  const char *name;
  rt_open_t open;
} whys[RT_WHYS] = {
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

/** What speaks most against sending something there at NOW. */
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

/** How far a choice at NOW may use it. */
rt_open_t
rt_access_open (const rt_access_t *access, el_time_t now)
{
  return whys[rt_access_why (access, now)].open;
}

const char *
rt_why_name (rt_why_t why)
{
  return whys[why].name;
}

/** Whether it takes no new work, however long it lives. */
int
rt_access_leaves (const rt_access_t *access, el_time_t now)
{
  return now < access->leaves_until;
}

/** How much longer it is to be left in peace. */
el_time_t
rt_access_rest_left (const rt_access_t *access, el_time_t now)
{
  return now < access->rest_until ? access->rest_until - now : 0;
}

/** It asked at NOW to be left in peace for so long. A rest that ends later
    than this one would stays as it is: the endpoint has not taken it back.
    Gives 1 when a rest begins. */
int
rt_access_rest (rt_access_t *access, el_time_t now, el_time_t asked,
                uint64_t draw)
{
  el_time_t spread
      = asked / SPREAD_PART * (draw % SPREAD_DRAWS) / SPREAD_DRAWS;
  int begins = now >= access->rest_until;

  if (asked == 0 || now + asked + spread <= access->rest_until)
    return 0;
  if (begins)
    access->rest_began = now;
  access->rest_until = now + asked + spread;
  access->trial = 1;
  access->trial_until = 0;
  return begins;
}

/** A request goes there. */
void
rt_access_sent (rt_access_t *access, el_time_t now)
{
  if (access->trial && now >= access->trial_until)
    access->trial_until = now + TRIAL_MOST;
}

/** It began to answer a request that it took. One that was sent before its
    rest proves nothing of the time after it. */
void
rt_access_answered (rt_access_t *access)
{
  if (access->trial_until)
    access->trial = 0;
}

/** It refused for want of room. */
void
rt_access_busy (rt_access_t *access, el_time_t now, el_time_t wait)
{
  if (access->busy_until < now + wait)
    access->busy_until = now + wait;
}

/** What is told of it will soon change. */
void
rt_access_changed (rt_access_t *access, el_time_t now, el_time_t wait)
{
  if (access->changed_until < now + wait)
    access->changed_until = now + wait;
}

/** A suspect is sent there. */
void
rt_access_proof (rt_access_t *access, el_time_t now, el_time_t wait)
{
  access->proof_until = now + wait;
}

/** Something failed there; gives 1 when it is set aside for it. */
int
rt_access_failed (rt_access_t *access, el_time_t now, const rt_avoid_t *avoid,
                  int at_once)
{
  unsigned over;
  el_time_t wait;

  access->failures++;
  if (!at_once && access->failures < avoid->after)
    return 0;
  over = access->failures > avoid->after ? access->failures - avoid->after : 0;
  wait = avoid->first << (over < avoid->doublings ? over : avoid->doublings);
  access->failed_until = now + (wait < avoid->most ? wait : avoid->most);
  return 1;
}

/** It answered well: what failed before is forgotten, and nothing else. */
void
rt_access_served (rt_access_t *access)
{
  access->failures = 0;
  access->failed_until = 0;
}
