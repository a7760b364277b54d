/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Calls to the platform's store and the delays after failed calls, shared by
 * all users of the store on this host.
 */
#include <stdlib.h>

#include "map.h"
#include "store.h"

#define RETRY_DELAY_FIRST (60 * EL_MSEC)
#define RETRY_DELAY_DOUBLINGS 5
#define RETRY_DELAY_MAX (500 * EL_MSEC)
/* Upper limit of the retry-after time: a host that cannot reach the store for
   5 s refuses all customers, and should have tried twice by then. */
#define RETRY_AFTER_MAX (2 * EL_SEC)
/* Jitter: up to 1/5 of the retry-after time is added to it. */
#define RETRY_AFTER_JITTER_PART 5

/* A call whose answer is awaited. */
typedef struct store_call
{
  st_store_t *store;
  net_result_cb done;
  void *arg;
} store_call_t;

/** Adds a listener, which is called on each new epoch. */
void
st_store_add_listener (st_store_t *store, st_store_listener_t *listener)
{
  DL_APPEND (store->listeners, listener);
}

/** Removes a listener. */
void
st_store_remove_listener (st_store_t *store, st_store_listener_t *listener)
{
  DL_DELETE (store->listeners, listener);
}

static void
listeners_notify (void *arg, el_time_t now)
{
  st_store_t *store = arg;
  st_store_listener_t *listener;
  st_store_listener_t *next;

  (void)now;
  DL_FOREACH_SAFE (store->listeners, listener, next)
  listener->epoch (listener->arg);
}

/** Records that the store has begun EPOCH, as reported by BY; a number not
    above the known one is ignored. Listeners are called from the loop, as one
    of them may be handling an answer now. The first known epoch is not a
    change. */
void
st_store_observe_epoch (st_store_t *store, uint64_t epoch, const char *by)
{
  uint64_t before = store->epoch;
  int first = !store->known;

  store->known = 1;
  if (epoch <= before)
    return;
  store->epoch = epoch;
  if (first)
    return;
  store->counts.epochs++;
  EL_LOG (EL_LOG_WARN, "store_epoch", EL_FN ("epoch", epoch),
          EL_FN ("before", before), EL_FC ("by", by));
  store->notify_timer.cb = listeners_notify;
  store->notify_timer.arg = store;
  net_clock_set (store->clock, &store->notify_timer, 0);
}

/* Returns whether an answer was given in the latest known epoch; an answer
   that names none is taken as if it were. */
static int
epoch_check (st_store_t *store, const net_result_t *result)
{
  uint64_t epoch = 0;
  st_store_epoch_field_t epoch_field
      = store->dialect->read_epoch (result, &epoch);

  if (epoch_field == ST_EPOCH_MALFORMED
      || (epoch_field == ST_EPOCH_ABSENT && store->epoch))
    EL_LOG (EL_LOG_WARN, "store_epoch_unread",
            EL_FN ("status", result->status), EL_FN ("epoch", store->epoch));
  if (epoch_field != ST_EPOCH_PRESENT)
    {
      store->known = 1;
      return 1;
    }
  st_store_observe_epoch (store, epoch, "store");
  if (epoch == store->epoch)
    return 1;
  store->counts.former++;
  EL_LOG (EL_LOG_INFO, "store_answer_former", EL_FN ("status", result->status),
          EL_FN ("epoch", epoch), EL_FN ("known", store->epoch));
  return 0;
}

static void
call_done (void *arg, const net_result_t *result)
{
  static const net_result_t none = { .net = NET_CONNECTION_LOST };
  store_call_t call = *(store_call_t *)arg;

  free (arg);
  if (result->net == NET_OK && !epoch_check (call.store, result))
    result = &none;
  call.done (call.arg, result);
}

/** Sends a call; BODY, which may be NULL, is JSON. An answer from a previous
    epoch is reported to DONE as a lost connection. */
net_exchange_t *
st_store_call (st_store_t *store, const char *method, const el_buf_t *path,
               const el_buf_t *body, el_time_t timeout, net_result_cb done,
               void *arg)
{
  static const net_header_t json
      = { EL_STR ("content-type"), EL_STR ("application/json") };
  store_call_t *call = el_alloc (sizeof *call);
  net_request_t send = { .address = store->address,
                         .method = el_str (method),
                         .path = el_buf_str (path),
                         .timeout = timeout,
                         .done = call_done,
                         .on_cancel = free,
                         .arg = call };

  *call = (store_call_t){ store, done, arg };
  if (body)
    {
      send.body = el_buf_str (body);
      send.headers = &json;
      send.nheaders = 1;
    }
  store->counts.calls++;
  return net_client_send (store->client, &send);
}

/** Applies the retry-after time of a failed call's answer to all users of the
    store on this host, except the renewal of a duty. A time in force that ends
    later stays as it is. */
void
st_store_apply_retry_after (st_store_t *store, const net_result_t *result)
{
  el_time_t now = net_clock_now (store->clock);
  el_time_t asked
      = result->net == NET_OK ? store->dialect->read_retry_after (result) : 0;
  el_time_t retry_after = asked < RETRY_AFTER_MAX ? asked : RETRY_AFTER_MAX;

  if (!retry_after)
    return;
  retry_after += el_random (&store->random)
                 % (retry_after / RETRY_AFTER_JITTER_PART + 1);
  if (now + retry_after <= store->retry_at)
    return;
  store->retry_at = now + retry_after;
  store->counts.rests++;
  EL_LOG (EL_LOG_INFO, "store_rests", EL_FN ("status", result->status),
          EL_FN ("asked_us", asked), EL_FN ("left_us", retry_after));
}

/** Returns the time until calls to the store are allowed again; 0 if they
    are. */
el_time_t
st_store_retry_after (const st_store_t *store)
{
  el_time_t now = net_clock_now (store->clock);

  return now < store->retry_at ? store->retry_at - now : 0;
}

/** Returns the delay before the retry of a call that failed with RESULT after
    FAILURES consecutive failures before it. Up to half of the delay is random,
    so that hosts do not retry at the same time. */
el_time_t
st_store_retry_delay (st_store_t *store, const net_result_t *result,
                      unsigned failures)
{
  el_time_t wait = RETRY_DELAY_FIRST << (failures < RETRY_DELAY_DOUBLINGS
                                             ? failures
                                             : RETRY_DELAY_DOUBLINGS);

  if (wait > RETRY_DELAY_MAX)
    wait = RETRY_DELAY_MAX;
  store->counts.failures++;
  wait = wait / 2 + el_random (&store->random) % (wait / 2 + 1);
  st_store_apply_retry_after (store, result);
  return wait > st_store_retry_after (store) ? wait
                                             : st_store_retry_after (store);
}

/** Frees the items of a list. */
void
st_store_list_free (st_store_list_t *list)
{
  size_t i;

  for (i = 0; i < list->n; i++)
    {
      el_str_free (&list->items[i].key);
      el_str_free (&list->items[i].value);
    }
  free (list->items);
  *list = (st_store_list_t){ 0 };
}
