/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * A duty that is leased in the store: whoever holds the key has it. The
 * holder counts the lease from before it asked, on its own clock, and stops
 * ahead of its end; so a holder that was paused knows when it wakes. A store
 * that goes on from an older copy has lost the lease and may give its number
 * to somebody else: the duty is held by lease and epoch.
 */
#include <string.h>

#include "store.h"

#define CALL_LIMIT (1000 * EL_MSEC)
/* Renewals within one time to live: two may be lost. */
#define RENEWALS 3
/* When another holds it: its lease ends within a few seconds if it died. */
#define TAKEN_WAIT (700 * EL_MSEC)
/* Whether it is vacant is looked at this often. */
#define VACANT_EVERY (100 * EL_MSEC)

typedef enum duty_step
{
  DUTY_IDLE,  /* not wanted */
  DUTY_GRANT, /* a lease is asked for */
  DUTY_CLAIM, /* the key is asked for */
  DUTY_HELD
} duty_step_t;

struct gt_duty
{
  gt_duty_options_t options;
  duty_step_t step;
  int wanted;
  uint64_t lease;
  uint64_t epoch; /* of the lease */
  el_time_t sent;
  el_time_t valid; /* the lease lasts to here at least */
  el_time_t after; /* not asked for before: whoever held it in a former epoch
                      may not know yet */
  gt_store_part_t part;
  net_exchange_t *call;
  el_timer_t again;
  unsigned failures;
};

static void duty_next (void *arg, el_time_t now);
static void grant_write (const gt_duty_t *duty, el_buf_t *path,
                         el_buf_t *body);
static void grant_done (void *arg, const net_result_t *result);
static void claim_write (const gt_duty_t *duty, el_buf_t *path,
                         el_buf_t *body);
static void claim_done (void *arg, const net_result_t *result);
static void renew_write (const gt_duty_t *duty, el_buf_t *path,
                         el_buf_t *body);
static void renew_done (void *arg, const net_result_t *result);

/* The call of the store that each step waits for. */
static const struct
{
  void (*write) (const gt_duty_t *duty, el_buf_t *path, el_buf_t *body);
  net_result_cb done;
} calls[] = {
  [DUTY_GRANT] = { grant_write, grant_done },
  [DUTY_CLAIM] = { claim_write, claim_done },
  [DUTY_HELD] = { renew_write, renew_done },
};

/** Whether this host has the duty at NOW. */
int
gt_duty_held (const gt_duty_t *duty, el_time_t now)
{
  return duty->step == DUTY_HELD && duty->epoch == duty->options.store->epoch
         && now + duty->options.margin < duty->valid;
}

/* Whether the lease is of an epoch that is over. */
static int
duty_former (const gt_duty_t *duty)
{
  return duty->lease && duty->epoch != duty->options.store->epoch;
}

static void
duty_later (gt_duty_t *duty, el_time_t wait)
{
  net_clock_set (duty->options.store->clock, &duty->again, wait);
}

static void
duty_lost (gt_duty_t *duty, const char *why, el_time_t wait)
{
  if (duty->step == DUTY_HELD)
    EL_LOG (EL_LOG_WARN, "duty_lost", EL_FS ("duty", duty->options.key),
            EL_FC ("reason", why));
  duty->step = DUTY_IDLE;
  duty->lease = 0;
  duty_later (duty, wait);
}

static el_time_t
duty_ttl (const gt_duty_t *duty)
{
  return duty->options.ttl_ms * EL_MSEC;
}

/* The store has begun an epoch. */
static void
duty_epoch (void *arg)
{
  gt_duty_t *duty = arg;

  duty->after = net_clock_now (duty->options.store->clock) + duty_ttl (duty);
  if (duty_former (duty) && !duty->call)
    duty_lost (duty, "store's epoch over", 0);
}

static void
grant_write (const gt_duty_t *duty, el_buf_t *path, el_buf_t *body)
{
  const gt_duty_options_t *o = &duty->options;

  o->store->dialect->grant (path, body, o->ttl_ms);
}

static void
grant_done (void *arg, const net_result_t *result)
{
  gt_duty_t *duty = arg;
  gt_store_t *store = duty->options.store;

  duty->call = NULL;
  if (result->net != NET_OK
      || store->dialect->read_grant (result, &duty->lease) != GT_STORE_OK)
    {
      duty_lost (duty, "no lease granted",
                 gt_store_backoff (store, result, duty->failures++));
      return;
    }
  duty->failures = 0;
  duty->epoch = store->epoch;
  duty->valid = duty->sent + duty_ttl (duty);
  duty->step = DUTY_CLAIM;
  duty_next (duty, 0);
}

static void
claim_write (const gt_duty_t *duty, el_buf_t *path, el_buf_t *body)
{
  const gt_duty_options_t *o = &duty->options;

  o->store->dialect->claim (path, body, o->key, o->holder, duty->lease);
}

static void
claim_done (void *arg, const net_result_t *result)
{
  gt_duty_t *duty = arg;
  gt_store_t *store = duty->options.store;
  gt_store_state_t state = GT_STORE_BAD;

  duty->call = NULL;
  if (result->net == NET_OK)
    state = store->dialect->read_claim (result);
  if (state != GT_STORE_OK || duty_former (duty)
      || net_clock_now (store->clock) < duty->after)
    {
      gt_store_heard (store, result);
      duty_lost (duty, "not claimed", TAKEN_WAIT);
      return;
    }
  duty->step = DUTY_HELD;
  EL_LOG (EL_LOG_INFO, "duty_held", EL_FS ("duty", duty->options.key),
          EL_FN ("lease", duty->lease));
  duty_later (duty, duty_ttl (duty) / RENEWALS);
}

static void
renew_write (const gt_duty_t *duty, el_buf_t *path, el_buf_t *body)
{
  (void)body;
  duty->options.store->dialect->renew (path, duty->lease);
}

static void
renew_done (void *arg, const net_result_t *result)
{
  gt_duty_t *duty = arg;
  gt_store_t *store = duty->options.store;
  gt_store_state_t state = GT_STORE_BAD;
  el_time_t now = net_clock_now (store->clock);

  duty->call = NULL;
  if (result->net == NET_OK)
    state = store->dialect->read_renew (result);
  if (duty_former (duty))
    duty_lost (duty, "store's epoch over", 0);
  else if (state == GT_STORE_OK)
    {
      duty->failures = 0;
      duty->valid = duty->sent + duty_ttl (duty);
      duty_later (duty, duty_ttl (duty) / RENEWALS);
    }
  else if (state == GT_STORE_NO_LEASE || now >= duty->valid)
    {
      gt_store_heard (store, result);
      duty_lost (duty, "lease over", TAKEN_WAIT);
    }
  else
    duty_later (duty, gt_store_backoff (store, result, duty->failures++));
}

static void
release_done (void *arg, const net_result_t *result)
{
  gt_duty_t *duty = arg;

  duty->call = NULL;
  EL_LOG (EL_LOG_INFO, "duty_released", EL_FS ("duty", duty->options.key),
          EL_FN ("status", result->status));
  if (duty->wanted)
    duty_later (duty, 0);
}

/* End the lease, so that another host need not wait for its end. One that the
   store did not answer for last may be somebody else's by now: it runs out by
   itself. */
static void
duty_release (gt_duty_t *duty)
{
  gt_store_t *store = duty->options.store;
  el_buf_t path = { NULL, 0, 0 };

  if (duty->failures || duty_former (duty))
    {
      duty_lost (duty, "left to run out", duty_ttl (duty));
      return;
    }
  store->dialect->end (&path, duty->lease);
  duty->step = DUTY_IDLE;
  duty->lease = 0;
  duty->call = gt_store_call (store, "DELETE", &path, NULL, CALL_LIMIT,
                              release_done, duty);
  el_buf_free (&path);
}

/* Make the call of the step that the duty is at. A duty that is held is kept
   up also while the store rests: a renewal costs it a tenth of a call, a
   change of hands three. A call without a body, as that of a renewal, is sent
   without one. */
static void
duty_call (gt_duty_t *duty)
{
  gt_store_t *store = duty->options.store;
  el_buf_t path = { NULL, 0, 0 };
  el_buf_t body = { NULL, 0, 0 };

  duty->sent = net_clock_now (store->clock);
  calls[duty->step].write (duty, &path, &body);
  duty->call = gt_store_call (store, "POST", &path, body.len ? &body : NULL,
                              CALL_LIMIT, calls[duty->step].done, duty);
  el_buf_free (&path);
  el_buf_free (&body);
}

/* How long the duty is not to be asked for. */
static el_time_t
duty_wait (const gt_duty_t *duty, el_time_t now)
{
  el_time_t rest = gt_store_rest_left (duty->options.store);
  el_time_t epoch = now < duty->after ? duty->after - now : 0;

  return rest > epoch ? rest : epoch;
}

static void
duty_next (void *arg, el_time_t now)
{
  gt_duty_t *duty = arg;
  el_time_t wait;

  (void)now;
  if (duty->call || (!duty->wanted && duty->step == DUTY_IDLE))
    return;
  if (!duty->wanted && duty->lease)
    {
      duty_release (duty);
      return;
    }
  if (duty->step == DUTY_IDLE)
    {
      wait = duty_wait (duty, net_clock_now (duty->options.store->clock));
      if (wait)
        {
          duty_later (duty, wait);
          return;
        }
      if (!duty->options.vacant (duty->options.arg))
        {
          duty_later (duty, VACANT_EVERY);
          return;
        }
      duty->step = DUTY_GRANT;
    }
  duty_call (duty);
}

/** A duty that is not wanted yet. */
gt_duty_t *
gt_duty_new (const gt_duty_options_t *options)
{
  gt_duty_t *duty = el_alloc (sizeof *duty);

  duty->options = *options;
  duty->again.cb = duty_next;
  duty->again.arg = duty;
  duty->part.epoch = duty_epoch;
  duty->part.arg = duty;
  gt_store_join (options->store, &duty->part);
  return duty;
}

/** Whether this host should try to have the duty. */
void
gt_duty_want (gt_duty_t *duty, int wanted)
{
  int changed = !wanted != !duty->wanted;

  duty->wanted = wanted;
  if (changed && !duty->call)
    duty_later (duty, 0);
}
