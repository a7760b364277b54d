/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Rate limit: a member names in its answers how many requests a second it
 * takes from all hosts together, and counts those that arrive nevertheless.
 */
#ifndef ELMARCH_STANDIN_LIMIT_H
#define ELMARCH_STANDIN_LIMIT_H

#include "standin.h"

typedef struct sn_limit sn_limit_t;

sn_limit_t *sn_limit_new (net_clock_t *clock, const char *member,
                          const char *record);
void sn_limit_configure (sn_limit_t *limit, const json_t *json);
void sn_limit_count (sn_limit_t *limit, h2o_req_t *req);
json_t *sn_limit_stats (const sn_limit_t *limit);

#endif
