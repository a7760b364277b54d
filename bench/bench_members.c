/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Cost of membership at 3 to 570 hosts. Runs the library's objects on a
 * simulated network, with messages of their encoded size.
 */
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <rpc/rpc.h>

#include "bench.h"
#include "mbr_net.h"
#include "rumor_net.h"
#include "peer_proto.h"

#define RUMOR_SEEDS 20
/* Bytes of a rumor in rumor_net. */
#define RUMOR_BODY_BYTES 26
#define SETTLE_TIME (60 * EL_SEC)
#define MEASURE_TIME (30 * EL_SEC)
#define TIME_LIMIT (120 * EL_SEC)
#define STEP (50 * EL_MSEC)
/* RPC header, authentication code, length fields, IP and UDP headers. */
#define ENVELOPE_BYTES (40 + 32 + 4 + 28)
#define WATCHERS 2

static void
member_size (const co_member_t *from, peer_member *to)
{
  memset (to, 0, sizeof *to);
  to->peer.peer_val = (char *)(uintptr_t)from->peer.ptr;
  to->peer.peer_len = (u_int)from->peer.len;
  to->http.http_val = (char *)(uintptr_t)from->http.ptr;
  to->http.http_len = (u_int)from->http.len;
  to->hall.hall_val = (char *)(uintptr_t)from->hall.ptr;
  to->hall.hall_len = (u_int)from->hall.len;
}

static size_t
gossip_size (const co_gossip_t *gossip)
{
  peer_member members[CO_GOSSIP_MEMBERS_MAX];
  peer_member_change changes[CO_GOSSIP_CHANGES_MAX];
  peer_gossip message;
  size_t i;

  memset (changes, 0, sizeof changes);
  memset (&message, 0, sizeof message);
  member_size (&gossip->self, &message.self);
  for (i = 0; i < gossip->nmembers; i++)
    member_size (&gossip->members[i], &members[i]);
  message.members.members_val = members;
  message.members.members_len = (u_int)gossip->nmembers;
  message.changes.changes_val = changes;
  message.changes.changes_len = (u_int)gossip->nchanges;
  return xdr_sizeof ((xdrproc_t)xdr_peer_gossip, &message) + ENVELOPE_BYTES;
}

static double
cpu_seconds (void)
{
  struct timespec now;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &now);
  return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

static void
sum_traffic (const mbr_net_t *net, uint64_t *sent, uint64_t *bytes)
{
  size_t i;

  *sent = 0;
  *bytes = 0;
  for (i = 0; i < net->n; i++)
    {
      *sent += net->hosts[i].sent;
      *bytes += net->hosts[i].bytes;
    }
}

/* Milliseconds until every host has the watchers' revision. */
static uint64_t
change_spread_ms (mbr_net_t *net)
{
  el_time_t began = net->now;
  size_t outdated = 1;
  size_t i;

  for (i = 0; i < net->n; i++)
    if (co_members_is_top_ranked (net->hosts[i].members, WATCHERS))
      mbr_net_set_revision (&net->hosts[i], 7);
  while (outdated && net->now < began + TIME_LIMIT)
    {
      mbr_net_run (net, net->now + STEP);
      outdated = 0;
      for (i = 0; i < net->n; i++)
        outdated += net->hosts[i].revision < 7;
    }
  return (net->now - began) / EL_MSEC;
}

/* Milliseconds until no other host considers a dead host alive, and so none
   hands it out as an entry address. */
static uint64_t
death_spread_ms (mbr_net_t *net, size_t hosts)
{
  el_time_t began = net->now;
  size_t stale = 1;
  size_t i;

  net->hosts[1].down = 1;
  while (stale && net->now < began + TIME_LIMIT)
    {
      mbr_net_run (net, net->now + STEP);
      stale = 0;
      for (i = 0; i < hosts; i++)
        stale += !net->hosts[i].down
                 && mbr_net_count_state (net, i, CO_MBR_ALIVE) > hosts - 1;
    }
  return (net->now - began) / EL_MSEC;
}

static void
measure (size_t hosts, size_t halls)
{
  mbr_net_t *net = mbr_net_new (1, hosts, halls);
  size_t heap = bench_heap ();
  uint64_t sent[2];
  uint64_t bytes[2];
  uint64_t news_sent;
  uint64_t news_bytes;
  uint64_t change_ms;
  uint64_t death_ms;
  double cpu;

  net->size = gossip_size;
  mbr_net_run (net, net->now + SETTLE_TIME);
  sum_traffic (net, &sent[0], &bytes[0]);
  cpu = cpu_seconds ();
  mbr_net_run (net, net->now + MEASURE_TIME);
  cpu = cpu_seconds () - cpu;
  sum_traffic (net, &sent[1], &bytes[1]);
  heap = bench_heap () - heap;
  change_ms = change_spread_ms (net);
  death_ms = death_spread_ms (net, hosts);
  sum_traffic (net, &news_sent, &news_bytes);
  printf ("bench=members objects=library hosts=%zu halls=%zu "
          "messages_per_s_host=%.1f bytes_per_s_host=%.0f "
          "cpu_us_per_s_host=%.0f bytes_of_memory_host=%zu change_ms=%llu "
          "dead_out_ms=%llu\n",
          hosts, halls,
          (double)(sent[1] - sent[0]) / (double)hosts
              / ((double)MEASURE_TIME / EL_SEC),
          (double)(bytes[1] - bytes[0]) / (double)hosts
              / ((double)MEASURE_TIME / EL_SEC),
          cpu * 1e6 / (double)hosts / ((double)MEASURE_TIME / EL_SEC),
          heap / hosts, (unsigned long long)change_ms,
          (unsigned long long)death_ms);
  mbr_net_free (net);
}

/* Time for a rumor to reach all hosts, over several seeds. */
static void
measure_rumor (size_t hosts, double loss)
{
  el_time_t half = 0;
  el_time_t max = 0;
  uint64_t bytes = 0;
  uint64_t seed;
  size_t i;

  for (seed = 1; seed <= RUMOR_SEEDS; seed++)
    {
      rumor_net_t *net = rumor_net_new (seed, hosts, loss);
      el_time_t began = net->now;
      el_time_t last;

      rumor_net_publish (net, 0, 1);
      rumor_net_run (net, began + 5 * EL_SEC);
      half += rumor_net_quantile (net, 0.5) - began;
      last = rumor_net_quantile (net, 1) - began;
      max = last > max ? last : max;
      for (i = 0; i < hosts; i++)
        bytes += net->hosts[i].bytes;
      rumor_net_free (net);
    }
  printf ("bench=rumor objects=library hosts=%zu loss=%.2f p50_ms=%.1f "
          "most_ms=%.1f bodies_sent_host=%.1f\n",
          hosts, loss, (double)half / RUMOR_SEEDS / (double)EL_MSEC,
          (double)max / (double)EL_MSEC,
          (double)bytes / (double)hosts / RUMOR_SEEDS / RUMOR_BODY_BYTES);
}

int
main (void)
{
  measure_rumor (9, 0);
  measure_rumor (9, 0.02);
  measure_rumor (300, 0);
  measure_rumor (300, 0.02);
  measure_rumor (570, 0.02);
  measure (3, 3);
  measure (9, 3);
  measure (27, 3);
  measure (81, 9);
  measure (270, 19);
  measure (570, 19);
  return EXIT_SUCCESS;
}
