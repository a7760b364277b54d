/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Requests that are held while news of another process is awaited.
 */
#include "libgate.h"

/* Lives in the request's pool and is disposed of with it. */
typedef struct hold_cell
{
  gt_hold_t *hold;
} hold_cell_t;

struct gt_hold
{
  h2o_req_t *req;
  hold_cell_t *cell;
};

static void
cell_dispose (void *arg)
{
  hold_cell_t *cell = arg;

  if (cell->hold)
    cell->hold->req = NULL;
}

/** Hold REQ; h2o may free it at any time. */
gt_hold_t *
gt_hold_new (h2o_req_t *req)
{
  gt_hold_t *hold = el_alloc (sizeof *hold);

  hold->req = req;
  hold->cell
      = h2o_mem_alloc_shared (&req->pool, sizeof *hold->cell, cell_dispose);
  hold->cell->hold = hold;
  return hold;
}

/** End the hold; gives the request, or NULL when the caller has gone. */
h2o_req_t *
gt_hold_release (gt_hold_t *hold)
{
  h2o_req_t *req = hold->req;

  if (req)
    hold->cell->hold = NULL;
  free (hold);
  return req;
}
