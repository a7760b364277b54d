/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Calls to the platform's store, and the waits after those that fail; the
 * follower and the duty share both.
 */
#include <stdlib.h>

#include "store.h"

#define BACKOFF_FIRST (60 * EL_MSEC)
#define BACKOFF_DOUBLINGS 5
#define BACKOFF_MOST (500 * EL_MSEC)

/** Send one call; BODY, which may be NULL, is JSON. */
net_exchange_t *
gt_store_call (gt_store_t *store, const char *method, const el_buf_t *path,
               const el_buf_t *body, el_time_t timeout, net_result_cb done,
               void *arg)
{
  static const net_header_t json
      = { EL_STR ("content-type"), EL_STR ("application/json") };
  net_send_t send = { .address = store->address,
                      .method = el_str (method),
                      .path = el_buf_str (path),
                      .timeout = timeout,
                      .done = done,
                      .arg = arg };

  if (body)
    {
      send.body = el_buf_str (body);
      send.headers = &json;
      send.nheaders = 1;
    }
  store->counts.calls++;
  return net_client_send (store->client, &send);
}

/** How long to wait after FAILURES in a row; half of it is random, so that
    hosts do not come back together. */
el_time_t
gt_store_backoff (gt_store_t *store, unsigned failures)
{
  el_time_t wait = BACKOFF_FIRST
                   << (failures < BACKOFF_DOUBLINGS ? failures
                                                    : BACKOFF_DOUBLINGS);

  if (wait > BACKOFF_MOST)
    wait = BACKOFF_MOST;
  store->counts.failures++;
  return wait / 2 + el_random (&store->random) % (wait / 2 + 1);
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
