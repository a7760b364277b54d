/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Allowances: a rate that all hosts share, such as the requests per second
 * that an endpoint takes from them together. For each allowance one host is
 * the lender: it keeps the only token bucket. The others borrow tokens from
 * it, each of which permits one unit and is valid for a short time only, so
 * that no host can save them up.
 */
#include "coord.h"

/* Size of a bucket: the tokens of this time, but at least BURST_MIN. */
#define BURST_TIME (250 * EL_MSEC)
#define BURST_MIN 2
/* A bucket is never refilled more slowly: a rate of 0 would never be tested
   again. */
#define RATE_MIN 0.1
/* A new lender lends nothing until the tokens of a former one have expired and
   the hosts' views of the membership agree. */
#define TAKEOVER_DELAY (CO_TOKEN_TTL + 500 * EL_MSEC)
/* A host that gets no token is referred to a later time, at most this far
   ahead. It bounds how often a host without tokens asks. */
#define REFERRAL_MAX (20 * EL_SEC)
#define REFERRAL_MIN EL_MSEC
/* Delay after a lender did not answer. */
#define LENDER_RETRY_DELAY (200 * EL_MSEC)
/* A host borrows as many tokens at once as it uses in this time. */
#define LOAN_TIME (250 * EL_MSEC)
#define LOAN_MAX 64
/* From this loan on, a host asks for the next one before it needs it. */
#define PREFETCH_LOAN_MIN 4
/* Averaging time of a borrower's demand. */
#define DEMAND_WINDOW EL_SEC

/* Time in which a token is added to the bucket. */
static double
lender_interval (const co_lender_t *lender)
{
  double rate = lender->rate > RATE_MIN ? lender->rate : RATE_MIN;

  return (double)EL_SEC / rate;
}

static double
lender_burst (const co_lender_t *lender)
{
  double burst = (double)BURST_TIME / lender_interval (lender);

  return burst > BURST_MIN ? burst : BURST_MIN;
}

static double
lender_debt (const co_lender_t *lender, el_time_t now)
{
  return lender->full_at > now
             ? (double)(lender->full_at - now) / lender_interval (lender)
             : 0;
}

/** Starts lending RATE tokens per second. LIMITED_SINCE is when the allowance
    began to be limited: tokens of a former lender may be in use unless it has
    begun only now. */
void
co_lender_open (co_lender_t *lender, el_time_t now, double rate,
                el_time_t limited_since)
{
  *lender = (co_lender_t){ .rate = rate };
  /* One token is in the bucket. */
  lender->full_at
      = now
        + (el_time_t)((lender_burst (lender) - 1) * lender_interval (lender));
  lender->opens_at
      = now < limited_since + CO_TOKEN_TTL ? now : now + TAKEOVER_DELAY;
}

/** Changes the rate. The tokens in the bucket stay, as far as a smaller one
    holds them. */
void
co_lender_set_rate (co_lender_t *lender, el_time_t now, double rate)
{
  double missing = lender_debt (lender, now);
  double former = lender_burst (lender);

  lender->rate = rate;
  missing += lender_burst (lender) - former;
  lender->full_at
      = now
        + (el_time_t)((missing > 0 ? missing : 0) * lender_interval (lender));
}

/* The time at which the next token is in the bucket. */
static el_time_t
lender_next_token (const co_lender_t *lender, el_time_t now)
{
  double spare = (lender_burst (lender) - 1) * lender_interval (lender);
  el_time_t at = lender->full_at > (el_time_t)spare
                     ? lender->full_at - (el_time_t)spare
                     : 0;

  if (at < lender->opens_at)
    at = lender->opens_at;
  return at > now ? at : now;
}

/* Refers a host to the time of a token that no other host was referred to. */
static el_time_t
lender_refer (co_lender_t *lender, el_time_t now)
{
  el_time_t at = lender_next_token (lender, now);

  if (at < lender->next_referral)
    at = lender->next_referral;
  if (at > now + REFERRAL_MAX)
    return REFERRAL_MAX;
  lender->next_referral = at + (el_time_t)lender_interval (lender);
  return at > now + REFERRAL_MIN ? at - now : REFERRAL_MIN;
}

/** Lends up to WANTED tokens to a host. */
co_loan_t
co_lender_lend (co_lender_t *lender, el_time_t now, unsigned wanted)
{
  co_loan_t loan = { 0 };
  double available = lender_burst (lender) - lender_debt (lender, now) + 1e-6;

  if (now >= lender->opens_at && available >= 1)
    {
      /* Half of them remain for other hosts. */
      loan.tokens = available >= 2 ? (unsigned)(available / 2) : 1;
      if (loan.tokens > wanted)
        loan.tokens = wanted;
      if (lender->full_at < now)
        lender->full_at = now;
      lender->full_at += (el_time_t)(loan.tokens * lender_interval (lender));
    }
  if (loan.tokens < wanted)
    loan.wait = lender_refer (lender, now);
  return loan;
}

/* Adds N wanted tokens to the moving average. */
static void
borrower_count (co_borrower_t *borrower, el_time_t now, double n)
{
  el_time_t elapsed
      = now > borrower->demand_at ? now - borrower->demand_at : 0;

  borrower->demand = borrower->demand * (double)DEMAND_WINDOW
                         / (double)(DEMAND_WINDOW + elapsed)
                     + n * (double)EL_SEC / (double)DEMAND_WINDOW;
  borrower->demand_at = now;
}

static int
borrower_has_token (const co_borrower_t *borrower, el_time_t now)
{
  return borrower->tokens && now < borrower->tokens_until;
}

/** Whether a token may be had: there is one, or the lender may be asked. */
int
co_borrower_may_take (const co_borrower_t *borrower, el_time_t now)
{
  return borrower_has_token (borrower, now) || now >= borrower->denied_until;
}

/** Takes a token, if there is one. */
co_take_t
co_borrower_take (co_borrower_t *borrower, el_time_t now)
{
  borrower_count (borrower, now, 1);
  if (borrower_has_token (borrower, now))
    {
      borrower->tokens--;
      return CO_TAKE_OK;
    }
  if (now < borrower->denied_until)
    return CO_TAKE_DENIED;
  return borrower->asked_at ? CO_TAKE_WAIT : CO_TAKE_ASK;
}

/** The number of tokens to ask the lender for. */
unsigned
co_borrower_loan (const co_borrower_t *borrower)
{
  double loan = borrower->demand * (double)LOAN_TIME / (double)EL_SEC;

  if (loan < 1)
    return 1;
  return loan < LOAN_MAX ? (unsigned)loan : LOAN_MAX;
}

/** Whether to ask the lender now, before the last token is used. */
int
co_borrower_should_prefetch (const co_borrower_t *borrower, el_time_t now)
{
  unsigned loan = co_borrower_loan (borrower);

  return loan >= PREFETCH_LOAN_MIN && !borrower->asked_at
         && now >= borrower->denied_until && borrower->tokens < loan / 2;
}

/** Records that the lender was asked at NOW. */
void
co_borrower_asked (co_borrower_t *borrower, el_time_t now)
{
  borrower->asked_at = now;
}

/** Records the answer of the lender; NULL if there was none. A token's time
    runs from when the lender was asked, so that it ends before the lender
    counts it as expired. */
void
co_borrower_answered (co_borrower_t *borrower, el_time_t now,
                      const co_loan_t *loan)
{
  el_time_t until = borrower->asked_at + CO_TOKEN_TTL;

  borrower->asked_at = 0;
  if (!loan)
    {
      borrower->denied_until = now + LENDER_RETRY_DELAY;
      return;
    }
  if (!borrower_has_token (borrower, now))
    borrower->tokens = 0;
  if (loan->tokens && (!borrower->tokens || until < borrower->tokens_until))
    borrower->tokens_until = until;
  borrower->tokens += loan->tokens;
  if (loan->wait)
    borrower->denied_until = now + loan->wait;
}

/** Gives back a token, valid until UNTIL, that was taken but not used. */
void
co_borrower_give_back (co_borrower_t *borrower, el_time_t now, el_time_t until)
{
  if (now >= until)
    return;
  if (!borrower_has_token (borrower, now))
    borrower->tokens = 0;
  if (!borrower->tokens || until < borrower->tokens_until)
    borrower->tokens_until = until;
  borrower->tokens++;
}

/** Records that the rate changed by FACTOR: tokens beyond a lower rate are
    dropped, and after a rise the lender may be asked at once. */
void
co_borrower_rate_changed (co_borrower_t *borrower, double factor)
{
  if (factor < 1)
    borrower->tokens = (unsigned)(borrower->tokens * factor);
  else
    borrower->denied_until = 0;
}
