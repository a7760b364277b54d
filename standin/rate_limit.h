/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Rate limit: a member names in its answers how many requests a second it
 * takes from all hosts together, and counts those that arrive nevertheless.
 */
#ifndef ELMARCH_STANDIN_RATE_LIMIT_H
#define ELMARCH_STANDIN_RATE_LIMIT_H

#include "standin.h"

/* The users' requirement: the requests allowed in any window. It holds from
   the contact time after the limit was first named. */
#define SN_LIMIT_WINDOW (4 * EL_SEC)
#define SN_LIMIT_FACTOR 1.5
#define SN_LIMIT_SLACK 5
#define SN_LIMIT_CONTACT_TIME (3 * EL_SEC)

/** Requests that may arrive in a window at RATE per second. */
static inline double
sn_limit_allowed (double rate)
{
  return SN_LIMIT_FACTOR * rate * (double)SN_LIMIT_WINDOW / (double)EL_SEC
         + SN_LIMIT_SLACK;
}

typedef struct sn_limit sn_limit_t;

sn_limit_t *sn_limit_new (net_clock_t *clock, const char *member,
                          const char *record);
void sn_limit_configure (sn_limit_t *limit, const json_t *json);
void sn_limit_count (sn_limit_t *limit, h2o_req_t *req);
json_t *sn_limit_stats (const sn_limit_t *limit);

#endif
