/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Rate limit that an endpoint names for all hosts together.
 */
#include "limit.h"

/* A rate that differs by less than this fraction is not a change. */
#define RATE_TOLERANCE 0.1

/** Records that the endpoint named RATE at NOW. Returns 1 if a limit begins or
    changes. */
int
rt_limit_hear (rt_limit_t *limit, el_time_t now, double rate)
{
  double difference
      = rate > limit->rate ? rate - limit->rate : limit->rate - rate;
  int changes = !limit->named || difference > RATE_TOLERANCE * limit->rate;

  if (!limit->named)
    *limit = (rt_limit_t){ .named = 1, .since = now };
  if (changes)
    limit->rate = rate;
  limit->heard_at = now;
  return changes;
}

/** Records that the endpoint named no limit any more. Returns 1 if that is a
    change. */
int
rt_limit_lift (rt_limit_t *limit)
{
  int changes = limit->named;

  limit->named = 0;
  return changes;
}
