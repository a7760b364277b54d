/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Writes a key that the store removes after a time: it is created, unless it
 * exists, under a lease that is not renewed. Failed calls are retried with
 * exponential backoff for up to RETRY_FOR_MAX.
 */
#include <stdlib.h>

#include "store.h"

#define CALL_TIMEOUT (1000 * EL_MSEC)
/* The write is abandoned if the store is unreachable for longer. */
#define RETRY_FOR_MAX (60 * EL_SEC)

typedef struct leased_put
{
  st_store_t *store;
  el_str_t key;
  el_str_t value;
  uint64_t ttl_ms;
  uint64_t lease;
  el_time_t started_at;
  el_timer_t retry_timer;
  unsigned failures;
} leased_put_t;

static void put_start (void *arg, el_time_t now);

static void
put_free (leased_put_t *put)
{
  el_str_free (&put->key);
  el_str_free (&put->value);
  free (put);
}

static void
put_finish (leased_put_t *put, const char *outcome)
{
  EL_LOG (EL_LOG_INFO, "key_kept", EL_FS ("key", put->key),
          EL_FC ("outcome", outcome), EL_FN ("failures", put->failures));
  put_free (put);
}

static void
put_retry (leased_put_t *put, const net_result_t *result)
{
  st_store_t *store = put->store;

  if (net_clock_now (store->clock) > put->started_at + RETRY_FOR_MAX)
    {
      put_finish (put, "given up");
      return;
    }
  net_clock_set (store->clock, &put->retry_timer,
                 st_store_retry_delay (store, result, put->failures++));
}

static void
create_done (void *arg, const net_result_t *result)
{
  leased_put_t *put = arg;
  st_store_state_t state = ST_INVALID;

  if (result->net == NET_OK)
    state = put->store->dialect->read_create (result);
  if (state == ST_OK)
    put_finish (put, "put");
  else if (state == ST_CONFLICT)
    put_finish (put, "already there");
  else
    put_retry (put, result);
}

static void
grant_done (void *arg, const net_result_t *result)
{
  leased_put_t *put = arg;
  const st_store_dialect_t *dialect = put->store->dialect;
  el_buf_t path = { NULL, 0, 0 };
  el_buf_t body = { NULL, 0, 0 };

  if (result->net != NET_OK
      || dialect->read_grant (result, &put->lease) != ST_OK)
    {
      put_retry (put, result);
      return;
    }
  dialect->create (&path, &body, put->key, put->value, put->lease);
  st_store_call (put->store, "POST", &path, &body, CALL_TIMEOUT, create_done,
                 put);
  el_buf_free (&path);
  el_buf_free (&body);
}

static void
put_start (void *arg, el_time_t now)
{
  leased_put_t *put = arg;
  el_buf_t path = { NULL, 0, 0 };
  el_buf_t body = { NULL, 0, 0 };
  el_time_t retry_after = st_store_retry_after (put->store);

  (void)now;
  if (retry_after)
    {
      net_clock_set (put->store->clock, &put->retry_timer, retry_after);
      return;
    }
  put->store->dialect->grant (&path, &body, put->ttl_ms);
  st_store_call (put->store, "POST", &path, &body, CALL_TIMEOUT, grant_done,
                 put);
  el_buf_free (&path);
  el_buf_free (&body);
}

/** Writes VALUE under KEY, after WAIT, for TTL_MS; a key that exists is left
    as it is. */
void
st_store_put_leased (st_store_t *store, el_str_t key, el_str_t value,
                     uint64_t ttl_ms, el_time_t wait)
{
  leased_put_t *put = el_alloc (sizeof *put);

  put->store = store;
  put->key = el_str_dup (key);
  put->value = el_str_dup (value);
  put->ttl_ms = ttl_ms;
  put->started_at = net_clock_now (store->clock);
  put->retry_timer.cb = put_start;
  put->retry_timer.arg = put;
  net_clock_set (store->clock, &put->retry_timer, wait);
}
