/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * A common start of 30 to 986 hosts, or as many as the argument says, in a
 * simulation that runs the decisions of the library. Compares the ways to get
 * the contents of the store.
 */
#include <stdio.h>
#include <stdlib.h>

#include "feed_net.h"

#define HALLS 5
#define TIME_LIMIT (60 * EL_SEC)
/* One host of so many has a large link and a whole core. */
#define LARGE_EVERY 20

static const char *const ways[FEED_NET_WAYS] = {
  [FEED_NET_TREE] = "tree",
  [FEED_NET_STORE] = "store",
  [FEED_NET_ONE_SOURCE] = "one-source",
};

static void
measure (size_t hosts, feed_net_way_t way, size_t large_every)
{
  feed_net_options_t options = { .seed = 1,
                                 .hosts = hosts,
                                 .halls = HALLS,
                                 .entries = 3 * hosts + 60,
                                 .way = way,
                                 .large_every = large_every };
  feed_net_t *net = feed_net_new (&options);
  feed_net_result_t result;

  feed_net_run (net, TIME_LIMIT);
  feed_net_result (net, &result);
  printf ("bench=feed objects=library way=%s hosts=%zu large_every=%zu "
          "ready=%zu p50_ms=%llu p99_ms=%llu last_ms=%llu store_calls=%llu "
          "store_mb=%.1f children_max=%zu sent_large_mb=%.1f "
          "sent_small_mb=%.1f\n",
          ways[way], hosts, large_every, result.ready,
          (unsigned long long)(result.ready_p50 / EL_MSEC),
          (unsigned long long)(result.ready_p99 / EL_MSEC),
          (unsigned long long)(result.ready_last / EL_MSEC),
          (unsigned long long)result.store_calls,
          (double)result.store_bytes / 1e6, result.children_max,
          (double)result.sent_large / 1e6, (double)result.sent_small / 1e6);
  fflush (stdout);
  feed_net_free (net);
}

int
main (int argc, char **argv)
{
  static const size_t sizes[] = { 30, 300, 986 };
  size_t i;
  int way;

  for (way = 0; way < FEED_NET_WAYS; way++)
    {
      for (i = 0; argc < 2 && i < sizeof sizes / sizeof *sizes; i++)
        measure (sizes[i], (feed_net_way_t)way, LARGE_EVERY);
      if (argc > 1)
        measure ((size_t)strtoul (argv[1], NULL, 10), (feed_net_way_t)way,
                 LARGE_EVERY);
    }
  for (i = 0; argc < 2 && i < sizeof sizes / sizeof *sizes; i++)
    measure (sizes[i], FEED_NET_TREE, 0);
  return EXIT_SUCCESS;
}
