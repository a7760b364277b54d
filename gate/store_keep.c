/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * A key that is kept in the store for a while, whoever wrote it: put under a
 * lease that is not renewed, unless it is there. Tried again, with waits that
 * grow, as long as it is worth it.
 */
#include <stdlib.h>

#include "store.h"

#define CALL_LIMIT (1000 * EL_MSEC)
/* A store that is away for longer than this is not waited for. */
#define TRY_MOST (60 * EL_SEC)

typedef struct keep
{
  gt_store_t *store;
  el_str_t key;
  el_str_t value;
  uint64_t ttl_ms;
  uint64_t lease;
  el_time_t began;
  el_timer_t again;
  unsigned failures;
} keep_t;

static void keep_grant (void *arg, el_time_t now);

static void
keep_free (keep_t *keep)
{
  el_str_free (&keep->key);
  el_str_free (&keep->value);
  free (keep);
}

static void
keep_over (keep_t *keep, const char *outcome)
{
  EL_LOG (EL_LOG_INFO, "key_kept", EL_FS ("key", keep->key),
          EL_FC ("outcome", outcome), EL_FN ("failures", keep->failures));
  keep_free (keep);
}

static void
keep_failed (keep_t *keep, const net_result_t *result)
{
  gt_store_t *store = keep->store;

  if (net_clock_now (store->clock) > keep->began + TRY_MOST)
    {
      keep_over (keep, "given up");
      return;
    }
  net_clock_set (store->clock, &keep->again,
                 gt_store_backoff (store, result, keep->failures++));
}

static void
claim_done (void *arg, const net_result_t *result)
{
  keep_t *keep = arg;
  gt_store_state_t state = GT_STORE_BAD;

  if (result->net == NET_OK)
    state = keep->store->dialect->read_claim (result);
  if (state == GT_STORE_OK)
    keep_over (keep, "put");
  else if (state == GT_STORE_CONFLICT)
    keep_over (keep, "was there");
  else
    keep_failed (keep, result);
}

static void
grant_done (void *arg, const net_result_t *result)
{
  keep_t *keep = arg;
  const gt_store_dialect_t *dialect = keep->store->dialect;
  el_buf_t path = { NULL, 0, 0 };
  el_buf_t body = { NULL, 0, 0 };

  if (result->net != NET_OK
      || dialect->read_grant (result, &keep->lease) != GT_STORE_OK)
    {
      keep_failed (keep, result);
      return;
    }
  dialect->claim (&path, &body, keep->key, keep->value, keep->lease);
  gt_store_call (keep->store, "POST", &path, &body, CALL_LIMIT, claim_done,
                 keep);
  el_buf_free (&path);
  el_buf_free (&body);
}

static void
keep_grant (void *arg, el_time_t now)
{
  keep_t *keep = arg;
  el_buf_t path = { NULL, 0, 0 };
  el_buf_t body = { NULL, 0, 0 };
  el_time_t rest = gt_store_rest_left (keep->store);

  (void)now;
  if (rest)
    {
      net_clock_set (keep->store->clock, &keep->again, rest);
      return;
    }
  keep->store->dialect->grant (&path, &body, keep->ttl_ms);
  gt_store_call (keep->store, "POST", &path, &body, CALL_LIMIT, grant_done,
                 keep);
  el_buf_free (&path);
  el_buf_free (&body);
}

/** Keep VALUE under KEY for TTL_MS, from WAIT on. */
void
gt_store_keep (gt_store_t *store, el_str_t key, el_str_t value,
               uint64_t ttl_ms, el_time_t wait)
{
  keep_t *keep = el_alloc (sizeof *keep);

  keep->store = store;
  keep->key = el_str_dup (key);
  keep->value = el_str_dup (value);
  keep->ttl_ms = ttl_ms;
  keep->began = net_clock_now (store->clock);
  keep->again.cb = keep_grant;
  keep->again.arg = keep;
  net_clock_set (store->clock, &keep->again, wait);
}
