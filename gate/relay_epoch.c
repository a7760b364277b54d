/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * What this host knows and the store has lost, as it went on from an older
 * copy: other hosts, also those that start before it is written again, should
 * know.
 */
#include <string.h>

#include "librelay.h"

/* Of the endpoints that left and are listed no more, so many are told of: the
   copy is some seconds old. */
#define LEFT_MOST 256

static void
left_tell (void *arg, el_str_t id, uint64_t born)
{
  rt_start_t start = { .born = born };
  size_t len = id.len < RT_START_MAX ? id.len : RT_START_MAX - 1;

  memcpy (start.id, id.ptr, len);
  relay_rest_leaves_tell (arg, &start);
}

/** The store has begun an epoch. */
void
gt_relays_epoch (gt_relays_t *relays)
{
  rt_fleet_left (relays->options.fleet, LEFT_MOST, left_tell, relays);
}
