/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Discrete-event simulation of hosts that all start at once and get the
 * contents of the store: the membership protocol and the feed run as in a
 * host, messages take their time on links and processors of limited capacity.
 * Deterministic for a given seed.
 */
#ifndef ELMARCH_FEED_NET_H
#define ELMARCH_FEED_NET_H

#include "mbr_net.h"

/** From whom the hosts get the contents. */
typedef enum feed_net_way
{
  FEED_NET_TREE,       /**< as co_feed plans */
  FEED_NET_STORE,      /**< every host reads the store */
  FEED_NET_ONE_SOURCE, /**< one host of each hall reads the store, all others
                          of the hall ask that one */
  FEED_NET_WAYS
} feed_net_way_t;

typedef struct feed_net_options
{
  uint64_t seed;
  size_t hosts;
  size_t halls;
  size_t entries; /**< in the store */
  feed_net_way_t way;
  size_t large_every; /**< one host of so many is large; 0: none */
  int store_cut;      /**< the store does not answer the first host of each
                         hall */
} feed_net_options_t;

typedef struct feed_net feed_net_t;

/** Totals over all hosts. */
typedef struct feed_net_result
{
  size_t ready;        /**< hosts that have all entries */
  el_time_t ready_p50; /**< from the first start */
  el_time_t ready_p99;
  el_time_t ready_last;
  uint64_t store_calls;
  uint64_t store_bytes;
  size_t children_max; /**< most hosts that got pages from one host */
  uint64_t sent_large; /**< most bytes sent by one large host */
  uint64_t sent_small; /**< most bytes sent by one other host */
} feed_net_result_t;

feed_net_t *feed_net_new (const feed_net_options_t *options);
void feed_net_run (feed_net_t *net, el_time_t span);
void feed_net_result (const feed_net_t *net, feed_net_result_t *out);
void feed_net_free (feed_net_t *net);

#endif
