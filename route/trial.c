/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Trials of suspect causes, one at a time.
 */
#include "trial.h"

/* Delay after the grantor did not answer. */
#define GRANTOR_RETRY_DELAY (100 * EL_MSEC)
/* A granted trial that is not used by then expires; far shorter than the
   interval, so that two trials are never in progress. */
#define HELD_TIME (200 * EL_MSEC)
/* A host forgets trials that were unused for this long. */
#define IDLE_TIME (10 * EL_SEC)

/** Whether the grantor permits a trial now. If not, WAIT is the time until it
    may. */
int
rt_trial_grant (rt_trial_t *trial, el_time_t now, el_time_t *wait)
{
  el_time_t next = trial->granted_at + RT_TRIAL_INTERVAL;

  *wait = 0;
  if (trial->granted_at && now < next)
    {
      *wait = next - now;
      return 0;
    }
  trial->granted_at = now;
  return 1;
}

/** Takes the trial for a request, if it was granted to this host. */
rt_trial_take_t
rt_trial_take (rt_trial_t *trial, el_time_t now)
{
  if (trial->held && now < trial->held_until)
    {
      trial->held = 0;
      return RT_TRIAL_OK;
    }
  trial->held = 0;
  return trial->asked_at || now < trial->ask_next ? RT_TRIAL_WAIT
                                                  : RT_TRIAL_ASK;
}

/** The grantor is being asked. */
void
rt_trial_asked (rt_trial_t *trial, el_time_t now)
{
  trial->asked_at = now;
}

/** The grantor answered: it GRANTED the trial, or this host may ask again
    after WAIT; 0: it gave no answer. */
void
rt_trial_answered (rt_trial_t *trial, el_time_t now, int granted,
                   el_time_t wait)
{
  if (granted)
    {
      trial->held = 1;
      trial->held_until = trial->asked_at + HELD_TIME;
    }
  trial->ask_next = granted ? now : now + (wait ? wait : GRANTOR_RETRY_DELAY);
  trial->asked_at = 0;
}

/** Whether the state can be forgotten. */
int
rt_trial_is_idle (const rt_trial_t *trial, el_time_t now)
{
  return !trial->asked_at && !trial->held && now >= trial->ask_next + IDLE_TIME
         && now >= trial->granted_at + IDLE_TIME;
}
