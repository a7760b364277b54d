/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Rate limit of an endpoint: the requests a second that it takes from all
 * hosts together. Nothing here reads a clock or draws random numbers.
 */
#ifndef ELMARCH_LIMIT_H
#define ELMARCH_LIMIT_H

#include "base.h"

/** What an answer tells of its endpoint's rate limit. */
typedef enum rt_limit_hint
{
  RT_LIMIT_NONE,   /**< it names no limit */
  RT_LIMIT_NAMED,  /**< it names one */
  RT_LIMIT_UNREAD, /**< it names one that cannot be parsed */
} rt_limit_hint_t;

/** Rate limit of an endpoint, as this host knows it. */
typedef struct rt_limit
{
  int named;
  double rate; /**< requests per second, from all hosts together */
  el_time_t since;
  el_time_t heard_at; /**< when it was last named */
  uint64_t sent;      /**< requests of this host since it was first named */
} rt_limit_t;

int rt_limit_hear (rt_limit_t *limit, el_time_t now, double rate);
int rt_limit_lift (rt_limit_t *limit);

#endif
