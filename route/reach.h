/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Reach: whether this host can open connections to an endpoint. It concerns
 * the path from this host only; other hosts may reach an endpoint that this
 * one does not. Nothing here reads a clock or draws random numbers.
 */
#ifndef ELMARCH_REACH_H
#define ELMARCH_REACH_H

#include "base.h"

/** Reach of an endpoint, or of the endpoints as a whole. */
typedef struct rt_reach
{
  el_time_t lost_at; /**< no connection could be opened since; 0: not lost */
  el_time_t regained_at; /**< when it was last regained */
  unsigned proofs; /**< connects in a row that succeeded since the loss */
  unsigned losses; /**< losses soon after it was regained */
} rt_reach_t;

int rt_reach_failed (rt_reach_t *reach, el_time_t at);
int rt_reach_connected (rt_reach_t *reach, el_time_t begun, el_time_t now);

/** A sample of endpoints to which this host opens connections, to find out
    whether the loss of one is its own. */
typedef struct rt_reach_sample
{
  el_time_t begun; /**< 0: none yet */
  unsigned pending;
  unsigned failed;
  unsigned connected;
} rt_reach_sample_t;

/** What a complete sample shows. */
typedef enum rt_reach_verdict
{
  RT_REACH_PENDING, /**< connects are outstanding, or none was made */
  RT_REACH_SOME,    /**< some endpoint is reached */
  RT_REACH_NONE     /**< this host reaches no endpoint of the sample */
} rt_reach_verdict_t;

void rt_reach_sample_begin (rt_reach_sample_t *sample, el_time_t now,
                            unsigned endpoints);
rt_reach_verdict_t rt_reach_sample_add (rt_reach_sample_t *sample,
                                        int connected);

/** What another host replied when it was asked whether it reaches endpoints
    that this host does not. */
typedef enum rt_reach_reply
{
  RT_REACH_REPLY_NONE, /**< it did not reply */
  RT_REACH_REPLY_REACHED,
  RT_REACH_REPLY_UNREACHED /**< nor does it */
} rt_reach_reply_t;

/** Why this host reaches no endpoint of a service. */
typedef enum rt_reach_cause
{
  RT_REACH_CAUSE_UNKNOWN,
  RT_REACH_CAUSE_HOST,     /**< this host is cut off: another one reaches some
                              endpoint */
  RT_REACH_CAUSE_ENDPOINTS /**< the endpoints are gone: most of the hosts that
                              were asked reach none, and no host reaches any */
} rt_reach_cause_t;

/** The replies of some other hosts. */
typedef struct rt_reach_survey
{
  el_time_t begun;  /**< 0: none yet */
  unsigned replies; /**< or calls that ended without one */
  unsigned reached;
  unsigned unreached;
  rt_reach_cause_t cause; /**< by the newest survey that showed it */
} rt_reach_survey_t;

void rt_reach_survey_begin (rt_reach_survey_t *survey, el_time_t now);
int rt_reach_survey_add (rt_reach_survey_t *survey, unsigned hosts,
                         rt_reach_reply_t reply);

#endif
