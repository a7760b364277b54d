/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Declarations shared by the files of the fleet.
 */
#ifndef ELMARCH_LIBFLEET_H
#define ELMARCH_LIBFLEET_H

#include "relay.h"

/* State of an endpoint instance that is not listed. While the store is
   unreachable, entries expire and later return. */
typedef struct unlisted
{
  el_str_t id;
  uint64_t born;
  rt_avail_t avail;
  rt_limit_t limit;
  UT_hash_handle hh;
} unlisted_t;

struct rt_fleet
{
  rt_target_t *by_id;
  rt_kind_t **kinds;
  size_t nkinds;
  unlisted_t *unlisted;
  uint64_t random;
  size_t hosts;      /* number of hosts that send to the same engines */
  size_t all_hosts;  /* number of hosts in all halls */
  double token_rate; /* tokens per second of this host's streams, a moving
                        average as of RATE_UPDATED */
  el_time_t rate_updated;
};

/* fleet_kind.c */
void fleet_kind_join (rt_fleet_t *fleet, rt_target_t *target);
void fleet_kind_leave (rt_fleet_t *fleet, rt_target_t *target);

#endif
