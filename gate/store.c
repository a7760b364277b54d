/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Calls to the platform's store, and the waits after those that fail; the
 * follower and the duty share both.
 */
#include <stdlib.h>

#include "map.h"
#include "store.h"

#define BACKOFF_FIRST (60 * EL_MSEC)
#define BACKOFF_DOUBLINGS 5
#define BACKOFF_MOST (500 * EL_MSEC)
/* A longer rest is cut to this: a host that misses the store for 5 s lets no
   customer in, and should have tried twice before. */
#define REST_MOST (2 * EL_SEC)
/* Hosts come back later than they may by up to this part of a rest. */
#define REST_SPREAD 5

/* A call that is out. */
typedef struct store_call
{
  gt_store_t *store;
  net_result_cb done;
  void *arg;
} store_call_t;

/** PART is told of epochs from now on. */
void
gt_store_join (gt_store_t *store, gt_store_part_t *part)
{
  DL_APPEND (store->parts, part);
}

void
gt_store_leave (gt_store_t *store, gt_store_part_t *part)
{
  DL_DELETE (store->parts, part);
}

static void
parts_tell (void *arg, el_time_t now)
{
  gt_store_t *store = arg;
  gt_store_part_t *part;
  gt_store_part_t *next;

  (void)now;
  DL_FOREACH_SAFE (store->parts, part, next)
  part->epoch (part->arg);
}

/** The store has begun EPOCH, as BY tells; a lower one changes nothing. Parts
    are told from the loop: an answer may be under way to one of them. The
   first one that is heard of ends none. */
void
gt_store_epoch (gt_store_t *store, uint64_t epoch, const char *by)
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
  store->tell.cb = parts_tell;
  store->tell.arg = store;
  net_clock_set (store->clock, &store->tell, 0);
}

/* Whether an answer was given in the epoch that is known to be the latest; one
   that tells none counts as of that. */
static int
epoch_take (gt_store_t *store, const net_result_t *result)
{
  uint64_t epoch = 0;
  gt_store_said_t said = store->dialect->read_epoch (result, &epoch);

  if (said == GT_STORE_SAID_BADLY
      || (said == GT_STORE_SAID_NOTHING && store->epoch))
    EL_LOG (EL_LOG_WARN, "store_epoch_unread",
            EL_FN ("status", result->status), EL_FN ("epoch", store->epoch));
  if (said != GT_STORE_SAID)
    {
      store->known = 1;
      return 1;
    }
  gt_store_epoch (store, epoch, "store");
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
  static const net_result_t none = { .net = NET_BROKEN };
  store_call_t call = *(store_call_t *)arg;

  free (arg);
  if (result->net == NET_OK && !epoch_take (call.store, result))
    result = &none;
  call.done (call.arg, result);
}

/** Send one call; BODY, which may be NULL, is JSON. DONE has an answer of a
    former epoch as a call that broke off. */
net_exchange_t *
gt_store_call (gt_store_t *store, const char *method, const el_buf_t *path,
               const el_buf_t *body, el_time_t timeout, net_result_cb done,
               void *arg)
{
  static const net_header_t json
      = { EL_STR ("content-type"), EL_STR ("application/json") };
  store_call_t *call = el_alloc (sizeof *call);
  net_send_t send = { .address = store->address,
                      .method = el_str (method),
                      .path = el_buf_str (path),
                      .timeout = timeout,
                      .done = call_done,
                      .drop = free,
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

/** A call failed. A refusal may ask for no calls for a while, of whichever
   part of this host; a rest that ends later stays as it is. */
void
gt_store_heard (gt_store_t *store, const net_result_t *result)
{
  el_time_t now = net_clock_now (store->clock);
  el_time_t asked
      = result->net == NET_OK ? store->dialect->read_rest (result) : 0;
  el_time_t rest = asked < REST_MOST ? asked : REST_MOST;

  if (!rest)
    return;
  rest += el_random (&store->random) % (rest / REST_SPREAD + 1);
  if (now + rest <= store->rest_until)
    return;
  store->rest_until = now + rest;
  store->counts.rests++;
  EL_LOG (EL_LOG_INFO, "store_rests", EL_FN ("status", result->status),
          EL_FN ("asked_us", asked), EL_FN ("left_us", rest));
}

/** How much longer the store wants no calls. */
el_time_t
gt_store_rest_left (const gt_store_t *store)
{
  el_time_t now = net_clock_now (store->clock);

  return now < store->rest_until ? store->rest_until - now : 0;
}

/** How long to wait after a call that failed with RESULT, after FAILURES in a
    row; half of it is random, so that hosts do not come back together. */
el_time_t
gt_store_backoff (gt_store_t *store, const net_result_t *result,
                  unsigned failures)
{
  el_time_t wait = BACKOFF_FIRST
                   << (failures < BACKOFF_DOUBLINGS ? failures
                                                    : BACKOFF_DOUBLINGS);

  if (wait > BACKOFF_MOST)
    wait = BACKOFF_MOST;
  store->counts.failures++;
  wait = wait / 2 + el_random (&store->random) % (wait / 2 + 1);
  gt_store_heard (store, result);
  return wait > gt_store_rest_left (store) ? wait : gt_store_rest_left (store);
}

/** Free what a list holds. */
void
gt_store_list_free (gt_store_list_t *list)
{
  size_t i;

  for (i = 0; i < list->n; i++)
    {
      el_str_free (&list->items[i].key);
      el_str_free (&list->items[i].value);
    }
  free (list->items);
  *list = (gt_store_list_t){ 0 };
}
