/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Trials of suspect causes: asks the host that grants them, and grants them to
 * other hosts.
 */
#include <stdlib.h>

#include "librelay.h"

/* Causes with trials; the least recently added ones are forgotten. */
#define TRIALS_MAX 1024
/* When a host may ask again that asked one which is not the grantor. */
#define OTHER_GRANTOR_WAIT (100 * EL_MSEC)

/* A request for a trial that is under way. */
typedef struct trial_call
{
  gt_relays_t *relays;
  rt_digest_t cause;
} trial_call_t;

static void
trial_free (gt_relays_t *relays, relay_trial_t *trial)
{
  HASH_DEL (relays->trials, trial);
  free (trial);
}

/* Forgets trials that are not in use, and the oldest one if there are too
   many. */
static void
trials_prune (gt_relays_t *relays, el_time_t now)
{
  relay_trial_t *trial;
  relay_trial_t *next;

  HASH_ITER (hh, relays->trials, trial, next)
  if (rt_trial_is_idle (&trial->state, now))
    trial_free (relays, trial);
  if (HASH_COUNT (relays->trials) < TRIALS_MAX)
    return;
  EL_LOG (EL_LOG_WARN, "trial_forgotten",
          EL_FN ("trials", HASH_COUNT (relays->trials)));
  trial_free (relays, relays->trials);
}

static relay_trial_t *
trial_find (gt_relays_t *relays, rt_digest_t cause)
{
  relay_trial_t *trial;

  HASH_FIND (hh, relays->trials, &cause, sizeof cause, trial);
  return trial;
}

static relay_trial_t *
trial_get (gt_relays_t *relays, rt_digest_t cause)
{
  relay_trial_t *trial = trial_find (relays, cause);

  if (trial)
    return trial;
  trials_prune (relays, net_clock_now (relays->options.clock));
  trial = el_alloc (sizeof *trial);
  trial->cause = cause;
  HASH_ADD (hh, relays->trials, cause, sizeof trial->cause, trial);
  return trial;
}

static void
trial_answered (void *arg, const co_loan_t *loan)
{
  trial_call_t *call = arg;
  relay_trial_t *trial = trial_find (call->relays, call->cause);

  if (trial)
    rt_trial_answered (&trial->state,
                       net_clock_now (call->relays->options.clock),
                       loan && loan->tokens, loan ? loan->wait : 0);
  free (call);
}

static void
trial_ask (gt_relays_t *relays, relay_trial_t *trial, el_time_t now)
{
  const pr_loan_request_t request = { .cause = trial->cause, .wanted = 1 };
  trial_call_t *call = el_alloc (sizeof *call);

  call->relays = relays;
  call->cause = trial->cause;
  rt_trial_asked (&trial->state, now);
  relays->options.borrow (relays->options.arg, &request, trial_answered, call);
}

/** Takes the trial of CAUSE for RELAY. Returns 0 if it has to wait. */
int
relay_trial_take (gt_relay_t *relay, rt_digest_t cause, el_time_t now)
{
  gt_relays_t *relays = relay->relays;
  relay_trial_t *trial;
  rt_trial_take_t take;
  char hex[RT_DIGEST_HEX + 1];

  if (!relays->options.borrow)
    return 1;
  trial = trial_get (relays, cause);
  take = rt_trial_take (&trial->state, now);
  if (take == RT_TRIAL_ASK)
    {
      trial_ask (relays, trial, now);
      take = rt_trial_take (&trial->state, now);
    }
  if (take != RT_TRIAL_OK)
    return 0;
  relays->counts.trials++;
  rt_digest_hex (cause, hex);
  EL_LOG (EL_LOG_INFO, "trial", EL_FS ("request", relay->id),
          EL_FC ("cause", hex), EL_FN ("waits", relay->turn_waits));
  return 1;
}

/** Grants the trial of a cause to a host that asks, or refers it to a later
    time. */
void
relay_trial_lend (gt_relays_t *relays, rt_digest_t cause, int is_grantor,
                  co_loan_t *out)
{
  *out = (co_loan_t){ .wait = OTHER_GRANTOR_WAIT };
  if (is_grantor)
    out->tokens = (unsigned)rt_trial_grant (
        &trial_get (relays, cause)->state,
        net_clock_now (relays->options.clock), &out->wait);
}
