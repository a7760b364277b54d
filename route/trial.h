/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Trials: requests that share a suspect cause are sent one at a time, over all
 * hosts. One host grants the trials of a cause, the others ask it. Nothing
 * here does I/O or reads a clock.
 */
#ifndef ELMARCH_TRIAL_H
#define ELMARCH_TRIAL_H

#include "base.h"

/** Time from one trial of a cause to the next. In this time the trial's
    request begins to be answered, which ends the suspicion, or crashes its
    endpoint, which all hosts know by then. */
#define RT_TRIAL_INTERVAL (1 * EL_SEC)

/** A host's state of the trials of one cause, as grantor and as asker. */
typedef struct rt_trial
{
  el_time_t granted_at; /**< when this host last granted one; 0: never */
  el_time_t asked_at;   /**< the outstanding request; 0: none */
  el_time_t ask_next;   /**< does not ask before */
  int held;             /**< granted to this host and not yet used */
  el_time_t held_until; /**< when that expires */
} rt_trial_t;

/** Result of rt_trial_take. */
typedef enum rt_trial_take
{
  RT_TRIAL_OK,   /**< the trial was taken */
  RT_TRIAL_ASK,  /**< the caller should ask the grantor */
  RT_TRIAL_WAIT, /**< another trial is in progress, or the grantor has not
                    answered */
} rt_trial_take_t;

int rt_trial_grant (rt_trial_t *trial, el_time_t now, el_time_t *wait);
rt_trial_take_t rt_trial_take (rt_trial_t *trial, el_time_t now);
void rt_trial_asked (rt_trial_t *trial, el_time_t now);
void rt_trial_answered (rt_trial_t *trial, el_time_t now, int granted,
                        el_time_t wait);
int rt_trial_is_idle (const rt_trial_t *trial, el_time_t now);

#endif
