/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Requests that are answered after an asynchronous operation.
 */
#include "libgate.h"

/* Allocated in the request's pool; its destructor reports that h2o freed the
   request. */
typedef struct request_guard
{
  gt_deferred_t *deferred;
} request_guard_t;

struct gt_deferred
{
  h2o_req_t *req;
  request_guard_t *guard;
};

static void
guard_dispose (void *arg)
{
  request_guard_t *guard = arg;

  if (guard->deferred)
    guard->deferred->req = NULL;
}

/** Defers the answer to REQ, which h2o may free at any time. */
gt_deferred_t *
gt_deferred_new (h2o_req_t *req)
{
  gt_deferred_t *deferred = el_alloc (sizeof *deferred);

  deferred->req = req;
  deferred->guard = h2o_mem_alloc_shared (&req->pool, sizeof *deferred->guard,
                                          guard_dispose);
  deferred->guard->deferred = deferred;
  return deferred;
}

/** Frees DEFERRED. Returns the request, or NULL if the caller disconnected. */
h2o_req_t *
gt_deferred_finish (gt_deferred_t *deferred)
{
  h2o_req_t *req = deferred->req;

  if (req)
    deferred->guard->deferred = NULL;
  free (deferred);
  return req;
}
