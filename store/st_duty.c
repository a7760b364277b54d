/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * A leader lease in the store: the host whose lease the key is bound to has
 * the duty. The holder counts the lease's time to live on its own clock, from
 * before it sent the request, and stops ahead of the end; a holder that was
 * suspended thus sees when it continues that its lease is over. A store
 * restored from an older copy has lost the lease and may give the same lease
 * number to another host, so the duty is identified by lease and epoch.
 */
#include <string.h>

#include "store.h"

#define CALL_TIMEOUT (1000 * EL_MSEC)
/* Renewals within one time to live: two may be lost. */
#define RENEWALS_PER_TTL 3
/* Delay while another host has the duty; if that host crashed, its lease
   expires within a few seconds. */
#define HELD_ELSEWHERE_RETRY (700 * EL_MSEC)
/* How long a host leaves a vacant duty to each host before it, which may be
   unable to reach the store. */
#define TAKEOVER_STEP (400 * EL_MSEC)
/* Interval at which the vacant callback is called. */
#define VACANCY_CHECK_INTERVAL (100 * EL_MSEC)

typedef enum duty_step
{
  DUTY_IDLE,   /* no lease, no request */
  DUTY_GRANT,  /* a lease is requested */
  DUTY_CREATE, /* the key is being created */
  DUTY_HELD
} duty_step_t;

struct st_duty
{
  st_duty_options_t options;
  duty_step_t step;
  int wanted;
  uint64_t lease;
  uint64_t epoch; /* in which the lease was granted */
  el_time_t sent_at;
  el_time_t valid_until;  /* the lease does not expire before */
  el_time_t not_before;   /* no request before: the holder of the previous
                             epoch may not know of the new one yet */
  el_time_t vacant_since; /* 0: it is not */
  st_store_listener_t listener;
  net_exchange_t *call;
  el_timer_t timer;
  unsigned failures;
};

static void duty_run (void *arg, el_time_t now);
static void grant_write (const st_duty_t *duty, el_buf_t *path,
                         el_buf_t *body);
static void grant_done (void *arg, const net_result_t *result);
static void create_write (const st_duty_t *duty, el_buf_t *path,
                          el_buf_t *body);
static void create_done (void *arg, const net_result_t *result);
static void renew_write (const st_duty_t *duty, el_buf_t *path,
                         el_buf_t *body);
static void renew_done (void *arg, const net_result_t *result);

/* The request of each step and the callback for its answer. */
static const struct
{
  void (*write) (const st_duty_t *duty, el_buf_t *path, el_buf_t *body);
  net_result_cb done;
} calls[] = {
  [DUTY_GRANT] = { grant_write, grant_done },
  [DUTY_CREATE] = { create_write, create_done },
  [DUTY_HELD] = { renew_write, renew_done },
};

/** Returns whether this host has the duty at NOW. */
int
st_duty_held (const st_duty_t *duty, el_time_t now)
{
  return duty->step == DUTY_HELD && duty->epoch == duty->options.store->epoch
         && now + duty->options.margin < duty->valid_until;
}

/* Returns whether the lease was granted in a previous epoch. */
static int
duty_lease_stale (const st_duty_t *duty)
{
  return duty->lease && duty->epoch != duty->options.store->epoch;
}

static void
duty_schedule (st_duty_t *duty, el_time_t wait)
{
  net_clock_set (duty->options.store->clock, &duty->timer, wait);
}

static void
duty_lost (st_duty_t *duty, const char *why, el_time_t wait)
{
  if (duty->step == DUTY_HELD)
    EL_LOG (EL_LOG_WARN, "duty_lost", EL_FS ("duty", duty->options.key),
            EL_FC ("reason", why));
  duty->step = DUTY_IDLE;
  duty->lease = 0;
  duty_schedule (duty, wait);
}

static el_time_t
duty_ttl (const st_duty_t *duty)
{
  return duty->options.ttl_ms * EL_MSEC;
}

/* Called when the store has begun a new epoch. */
static void
duty_epoch_changed (void *arg)
{
  st_duty_t *duty = arg;

  duty->not_before
      = net_clock_now (duty->options.store->clock) + duty_ttl (duty);
  if (duty_lease_stale (duty) && !duty->call)
    duty_lost (duty, "store began a new epoch", 0);
}

static void
grant_write (const st_duty_t *duty, el_buf_t *path, el_buf_t *body)
{
  const st_duty_options_t *o = &duty->options;

  o->store->dialect->grant (path, body, o->ttl_ms);
}

static void
grant_done (void *arg, const net_result_t *result)
{
  st_duty_t *duty = arg;
  st_store_t *store = duty->options.store;

  duty->call = NULL;
  if (result->net != NET_OK
      || store->dialect->read_grant (result, &duty->lease) != ST_OK)
    {
      duty_lost (duty, "no lease granted",
                 st_store_retry_delay (store, result, duty->failures++));
      return;
    }
  duty->failures = 0;
  duty->epoch = store->epoch;
  duty->valid_until = duty->sent_at + duty_ttl (duty);
  duty->step = DUTY_CREATE;
  duty_run (duty, 0);
}

static void
create_write (const st_duty_t *duty, el_buf_t *path, el_buf_t *body)
{
  const st_duty_options_t *o = &duty->options;

  o->store->dialect->create (path, body, o->key, o->holder, duty->lease);
}

static void
create_done (void *arg, const net_result_t *result)
{
  st_duty_t *duty = arg;
  st_store_t *store = duty->options.store;
  st_store_state_t state = ST_INVALID;

  duty->call = NULL;
  if (result->net == NET_OK)
    state = store->dialect->read_create (result);
  if (state != ST_OK || duty_lease_stale (duty)
      || net_clock_now (store->clock) < duty->not_before)
    {
      st_store_apply_retry_after (store, result);
      duty_lost (duty, "key not created", HELD_ELSEWHERE_RETRY);
      return;
    }
  duty->step = DUTY_HELD;
  EL_LOG (EL_LOG_INFO, "duty_held", EL_FS ("duty", duty->options.key),
          EL_FN ("lease", duty->lease));
  duty_schedule (duty, duty_ttl (duty) / RENEWALS_PER_TTL);
}

static void
renew_write (const st_duty_t *duty, el_buf_t *path, el_buf_t *body)
{
  (void)body;
  duty->options.store->dialect->renew (path, duty->lease);
}

static void
renew_done (void *arg, const net_result_t *result)
{
  st_duty_t *duty = arg;
  st_store_t *store = duty->options.store;
  st_store_state_t state = ST_INVALID;
  el_time_t now = net_clock_now (store->clock);

  duty->call = NULL;
  if (result->net == NET_OK)
    state = store->dialect->read_renew (result);
  if (duty_lease_stale (duty))
    duty_lost (duty, "store began a new epoch", 0);
  else if (state == ST_OK)
    {
      duty->failures = 0;
      duty->valid_until = duty->sent_at + duty_ttl (duty);
      duty_schedule (duty, duty_ttl (duty) / RENEWALS_PER_TTL);
    }
  else if (state == ST_LEASE_EXPIRED || now >= duty->valid_until)
    {
      st_store_apply_retry_after (store, result);
      duty_lost (duty, "lease expired", HELD_ELSEWHERE_RETRY);
    }
  else
    duty_schedule (duty,
                   st_store_retry_delay (store, result, duty->failures++));
}

static void
release_done (void *arg, const net_result_t *result)
{
  st_duty_t *duty = arg;

  duty->call = NULL;
  EL_LOG (EL_LOG_INFO, "duty_released", EL_FS ("duty", duty->options.key),
          EL_FN ("status", result->status));
  if (duty->wanted)
    duty_schedule (duty, 0);
}

/* Revokes the lease, so that another host need not wait until it expires. If
   the last renewal failed or a new epoch has begun, the lease number may
   belong to another host by now, and the lease is left to expire. */
static void
duty_release (st_duty_t *duty)
{
  st_store_t *store = duty->options.store;
  el_buf_t path = { NULL, 0, 0 };

  if (duty->failures || duty_lease_stale (duty))
    {
      duty_lost (duty, "lease left to expire", duty_ttl (duty));
      return;
    }
  store->dialect->revoke (&path, duty->lease);
  duty->step = DUTY_IDLE;
  duty->lease = 0;
  duty->call = st_store_call (store, "DELETE", &path, NULL, CALL_TIMEOUT,
                              release_done, duty);
  el_buf_free (&path);
}

/* Sends the request of the current step. A held duty is renewed even during
   the retry-after time of the store: a renewal costs the store a tenth of a
   call, a change of holder costs three. A renewal is sent without a body. */
static void
duty_send (st_duty_t *duty)
{
  st_store_t *store = duty->options.store;
  el_buf_t path = { NULL, 0, 0 };
  el_buf_t body = { NULL, 0, 0 };

  duty->sent_at = net_clock_now (store->clock);
  calls[duty->step].write (duty, &path, &body);
  duty->call = st_store_call (store, "POST", &path, body.len ? &body : NULL,
                              CALL_TIMEOUT, calls[duty->step].done, duty);
  el_buf_free (&path);
  el_buf_free (&body);
}

/* Returns how long this host leaves a vacant duty to others. If the store has
   lost the lease, its former holder learns that with its next renewal, and
   only the first host, which is mostly that holder, does not wait for it. */
static el_time_t
duty_takeover_delay (const st_duty_t *duty)
{
  const st_duty_options_t *o = &duty->options;
  size_t rank = o->rank ? o->rank (o->arg) : 0;

  return rank ? duty_ttl (duty) / RENEWALS_PER_TTL + rank * TAKEOVER_STEP : 0;
}

/* Returns whether the duty is vacant and the hosts before this one have had
   the time to take it. */
static int
duty_is_due (st_duty_t *duty, el_time_t now)
{
  const st_duty_options_t *o = &duty->options;

  if (!o->vacant (o->arg))
    {
      duty->vacant_since = 0;
      return 0;
    }
  if (!duty->vacant_since)
    duty->vacant_since = now;
  return now - duty->vacant_since >= duty_takeover_delay (duty);
}

/* Returns the time until the duty may be requested. */
static el_time_t
duty_delay (const st_duty_t *duty, el_time_t now)
{
  el_time_t retry_after = st_store_retry_after (duty->options.store);
  el_time_t epoch = now < duty->not_before ? duty->not_before - now : 0;

  return retry_after > epoch ? retry_after : epoch;
}

static void
duty_run (void *arg, el_time_t now)
{
  st_duty_t *duty = arg;
  el_time_t wait;

  now = net_clock_now (duty->options.store->clock);
  if (!duty->wanted)
    duty->vacant_since = 0;
  if (duty->call || (!duty->wanted && duty->step == DUTY_IDLE))
    return;
  if (!duty->wanted && duty->lease)
    {
      duty_release (duty);
      return;
    }
  if (duty->step == DUTY_IDLE)
    {
      wait = duty_delay (duty, now);
      if (wait)
        {
          duty_schedule (duty, wait);
          return;
        }
      if (!duty_is_due (duty, now))
        {
          duty_schedule (duty, VACANCY_CHECK_INTERVAL);
          return;
        }
      duty->step = DUTY_GRANT;
    }
  duty_send (duty);
}

/** Creates a duty, which is not requested until st_duty_want. */
st_duty_t *
st_duty_new (const st_duty_options_t *options)
{
  st_duty_t *duty = el_alloc (sizeof *duty);

  duty->options = *options;
  duty->timer.cb = duty_run;
  duty->timer.arg = duty;
  duty->listener.epoch = duty_epoch_changed;
  duty->listener.arg = duty;
  st_store_add_listener (options->store, &duty->listener);
  return duty;
}

/** Sets whether this host should try to get and keep the duty. */
void
st_duty_want (st_duty_t *duty, int wanted)
{
  int changed = !wanted != !duty->wanted;

  duty->wanted = wanted;
  if (changed && !duty->call)
    duty_schedule (duty, 0);
}
