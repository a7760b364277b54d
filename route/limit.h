/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Rate limit of an endpoint: the requests per second that it takes from all
 * hosts together. One host lends this rate to the others (coord.h). Nothing
 * here reads a clock or draws random numbers.
 */
#ifndef ELMARCH_LIMIT_H
#define ELMARCH_LIMIT_H

#include "coord.h"

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
  int named;           /**< it is in force */
  double rate;         /**< requests per second, from all hosts together */
  el_time_t since;     /**< when it was first named, to any host */
  el_time_t heard_at;  /**< when it was last named, to any host */
  el_time_t lifted_at; /**< if not named: when it was found to be lifted */
  double told_rate;    /**< rate that the other hosts were told */
  el_time_t told_at;
  uint64_t sent; /**< requests of this host since it was named */
  co_borrower_t borrower;
  co_lender_t lender; /**< opens_at 0: another host lends */
} rt_limit_t;

void rt_limit_hear (rt_limit_t *limit, el_time_t at, el_time_t since,
                    double rate);
void rt_limit_lift (rt_limit_t *limit, el_time_t at);
int rt_limit_must_tell (const rt_limit_t *limit, el_time_t now);
void rt_limit_told (rt_limit_t *limit, el_time_t now);
int rt_limit_admits (const rt_limit_t *limit, el_time_t now);
co_loan_t rt_limit_lend (rt_limit_t *limit, el_time_t now, unsigned wanted);

#endif
