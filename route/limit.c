/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Rate limit that an endpoint names for all hosts together.
 */
#include "limit.h"

/* The other hosts are told a rate that differs by this fraction, and are told
   again after RETELL_INTERVAL, for hosts that have started meanwhile. */
#define RATE_TOLERANCE 0.1
#define RETELL_INTERVAL (15 * EL_SEC)

/** Records that the endpoint named RATE at AT, and a limit since SINCE. News
    from before what is known changes nothing. */
void
rt_limit_hear (rt_limit_t *limit, el_time_t at, el_time_t since, double rate)
{
  if (at < limit->heard_at || at < limit->lifted_at)
    return;
  if (!limit->named)
    *limit = (rt_limit_t){ .named = 1, .rate = rate, .since = since };
  if (since < limit->since)
    limit->since = since;
  if (rate != limit->rate)
    co_borrower_rate_changed (&limit->borrower,
                              limit->rate > 0 ? rate / limit->rate : 1);
  limit->rate = rate;
  limit->heard_at = at;
}

/** Records that the endpoint named no limit any more at AT. */
void
rt_limit_lift (rt_limit_t *limit, el_time_t at)
{
  if (limit->named && at >= limit->heard_at)
    *limit = (rt_limit_t){ .lifted_at = at, .heard_at = limit->heard_at };
}

/** Whether the other hosts should be told of the limit. */
int
rt_limit_must_tell (const rt_limit_t *limit, el_time_t now)
{
  double difference = limit->rate > limit->told_rate
                          ? limit->rate - limit->told_rate
                          : limit->told_rate - limit->rate;

  return limit->named
         && (!limit->told_at || now > limit->told_at + RETELL_INTERVAL
             || difference > RATE_TOLERANCE * limit->told_rate);
}

/** Records that the other hosts know the limit. */
void
rt_limit_told (rt_limit_t *limit, el_time_t now)
{
  limit->told_at = now;
  limit->told_rate = limit->rate;
}

/** Whether a request may be sent: there is no limit, or this host has a token
    or may ask for one. */
int
rt_limit_admits (const rt_limit_t *limit, el_time_t now)
{
  return !limit->named || co_borrower_may_take (&limit->borrower, now);
}

/** Lends WANTED tokens to a host, as the lender. */
co_loan_t
rt_limit_lend (rt_limit_t *limit, el_time_t now, unsigned wanted)
{
  if (!limit->lender.opens_at)
    co_lender_open (&limit->lender, now, limit->rate, limit->since);
  else if (limit->lender.rate != limit->rate)
    co_lender_set_rate (&limit->lender, now, limit->rate);
  return co_lender_lend (&limit->lender, now, wanted);
}
