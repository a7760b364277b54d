/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Discrete-event simulation of the membership protocol.
 */
#include "mbr_net.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LATENCY_MAX (20 * EL_MSEC)
#define PROBE_PERIOD (500 * EL_MSEC)
#define PROBE_TIMEOUT (200 * EL_MSEC)
#define FORGET_DEAD_AFTER (600 * EL_SEC)
#define LEAVING_HOLD (10 * EL_SEC)

/* A message in transit. */
typedef struct net_msg
{
  el_timer_t timer;
  mbr_net_host_t *from;
  mbr_net_host_t *to;
  mbr_net_host_t *requester; /* host that waits for the answer */
  mbr_net_host_t *proxy;     /* host that probes on the requester's behalf */
  uint64_t id;
  int answer;
  int indirect; /* requests that TO probes TARGET */
  mbr_net_host_t *target;
  co_gossip_t gossip;
} net_msg_t;

/* A configuration in transit from one host to another. */
typedef struct net_fetch
{
  el_timer_t timer;
  mbr_net_host_t *host;
  uint64_t revision;
} net_fetch_t;

static void msg_arrive (void *arg, el_time_t now);

/** Returns the next random number of the simulation. */
uint64_t
mbr_net_random (mbr_net_t *net)
{
  net->rng = net->rng * 6364136223846793005ULL + 1442695040888963407ULL;
  return net->rng >> 33;
}

static mbr_net_host_t *
find_host_by_address (mbr_net_t *net, el_str_t address)
{
  size_t i;

  for (i = net->n; i-- > 0;)
    if (el_str_eq (el_str (net->hosts[i].address), address))
      return &net->hosts[i];
  return NULL;
}

/* Points the strings of a member at those of the simulated host, which outlive
   the message that carried them. */
static void
member_use_stable_strings (mbr_net_t *net, co_member_t *m)
{
  const mbr_net_host_t *host;

  HASH_FIND (hh, net->by_incarnation, m->incarnation.byte,
             CO_INCARNATION_BYTES, host);
  if (!host)
    return;
  m->peer = el_str (host->address);
  m->http = m->peer;
  m->hall = el_str (host->hall);
}

static void
gossip_use_stable_strings (mbr_net_t *net, co_gossip_t *gossip)
{
  size_t i;

  member_use_stable_strings (net, &gossip->self);
  for (i = 0; i < gossip->nmembers; i++)
    member_use_stable_strings (net, &gossip->members[i]);
  for (i = 0; i < gossip->nleaving; i++)
    gossip->leaving[i].endpoint = EL_STR ("an-endpoint");
}

static void
msg_send (const net_msg_t *model, const co_incarnation_t *to_inc)
{
  mbr_net_t *net = model->from->net;
  net_msg_t *msg = malloc (sizeof *msg);

  *msg = *model;
  msg->from->sent++;
  msg->from->sent_far += strcmp (msg->from->hall, msg->to->hall) != 0;
  co_members_write_gossip (msg->from->members, to_inc, &msg->gossip);
  gossip_use_stable_strings (net, &msg->gossip);
  if (net->size)
    msg->from->bytes += net->size (&msg->gossip);
  memset (&msg->timer, 0, sizeof msg->timer);
  msg->timer.cb = msg_arrive;
  msg->timer.arg = msg;
  el_timers_set (&net->timers, &msg->timer,
                 net->now + 1 + mbr_net_random (net) % LATENCY_MAX);
}

static int
msg_lost (const net_msg_t *msg)
{
  mbr_net_t *net = msg->from->net;

  return msg->to->down || msg->to->paused || net->now < msg->to->starts_at
         || (net->link && !net->link (msg->from, msg->to));
}

static void
fetch_arrive (void *arg, el_time_t now)
{
  net_fetch_t *fetch = arg;

  (void)now;
  if (fetch->revision > fetch->host->revision)
    mbr_net_set_revision (fetch->host, fetch->revision);
  free (fetch);
}

/* Fetches a newer configuration that gossip has named; this takes a round
   trip. */
static void
host_check_revision (mbr_net_host_t *host, const co_gossip_t *gossip)
{
  mbr_net_t *net = host->net;
  net_fetch_t *fetch;

  if (gossip->self.revision <= host->revision)
    return;
  fetch = calloc (1, sizeof *fetch);
  fetch->host = host;
  fetch->revision = gossip->self.revision;
  fetch->timer.cb = fetch_arrive;
  fetch->timer.arg = fetch;
  el_timers_set (&net->timers, &fetch->timer, net->now + 2 * LATENCY_MAX);
}

/** Records that a host has all configuration changes up to REVISION. */
void
mbr_net_set_revision (mbr_net_host_t *host, uint64_t revision)
{
  host->revision = revision;
  co_members_set_revision (host->members, revision);
}

static void
msg_probe (const net_msg_t *msg)
{
  net_msg_t next = { .from = msg->to,
                     .to = msg->indirect ? msg->target : msg->from,
                     .requester = msg->requester,
                     .proxy = msg->indirect ? msg->to : msg->proxy,
                     .id = msg->id,
                     .answer = !msg->indirect };

  co_members_receive_gossip (msg->to->members, msg->to->net->now,
                             &msg->gossip);
  host_check_revision (msg->to, &msg->gossip);
  msg_send (&next, &msg->gossip.self.incarnation);
}

static void
msg_answer (const net_msg_t *msg)
{
  net_msg_t next = { .from = msg->to,
                     .to = msg->requester,
                     .requester = msg->requester,
                     .id = msg->id,
                     .answer = 1 };
  mbr_net_t *net = msg->to->net;

  if (msg->to == msg->requester)
    {
      co_members_probe_done (msg->to->members, net->now, msg->id, 1,
                             &msg->gossip);
      host_check_revision (msg->to, &msg->gossip);
    }
  else
    { /* forward the target's own answer */
      net_msg_t *forwarded = malloc (sizeof *forwarded);

      next.gossip = msg->gossip;
      *forwarded = next;
      forwarded->timer.cb = msg_arrive;
      forwarded->timer.arg = forwarded;
      forwarded->from->sent++;
      el_timers_set (&net->timers, &forwarded->timer, net->now + EL_MSEC);
    }
}

static void
msg_arrive (void *arg, el_time_t now)
{
  net_msg_t *msg = arg;

  (void)now;
  if (!msg_lost (msg))
    {
      if (msg->answer)
        msg_answer (msg);
      else
        msg_probe (msg);
    }
  free (msg);
}

static void
host_probe (void *arg, uint64_t id, el_str_t address, el_str_t proxy)
{
  mbr_net_host_t *host = arg;
  net_msg_t msg = { .from = host, .requester = host, .id = id };

  msg.target = find_host_by_address (host->net, address);
  msg.indirect = proxy.len > 0;
  msg.to = msg.indirect ? find_host_by_address (host->net, proxy) : msg.target;
  if (msg.to && msg.target)
    msg_send (&msg, NULL);
}

/** Whether messages pass between two hosts in both directions. */
int
mbr_net_passes (const mbr_net_host_t *a, const mbr_net_host_t *b)
{
  const mbr_net_t *net = a->net;

  return !a->down && !a->paused && !b->down && !b->paused
         && net->now >= b->starts_at
         && (!net->link || (net->link (a, b) && net->link (b, a)));
}

/* A member list on its way from one host to another. */
typedef struct net_list
{
  el_timer_t timer;
  mbr_net_host_t *from;
  mbr_net_host_t *to;
  int introduction; /* a few members only */
} net_list_t;

#define INTRODUCED_MAX 16

static void
sync_visit (void *arg, const co_member_t *member)
{
  mbr_net_host_t *host = arg;
  const co_member_change_t change = { .incarnation = member->incarnation,
                                      .counter = member->counter,
                                      .state = member->state,
                                      .offer = member->offer };

  if (member->state <= CO_MBR_SUSPECT)
    co_members_apply_member (host->members, host->net->now, member);
  else
    co_members_apply_change (host->members, host->net->now, &change);
}

static void
introduce (mbr_net_host_t *from, mbr_net_host_t *to)
{
  const co_member_t *list[INTRODUCED_MAX];
  size_t n = co_members_introduce (from->members, el_str (to->hall), list,
                                   INTRODUCED_MAX);
  size_t i;

  for (i = 0; i < n; i++)
    sync_visit (to, list[i]);
  co_members_set_discovered (to->members);
}

static void
list_arrive (void *arg, el_time_t now)
{
  net_list_t *list = arg;

  (void)now;
  if (mbr_net_passes (list->to, list->from))
    {
      if (list->introduction)
        introduce (list->from, list->to);
      else
        co_members_visit (list->from->members, sync_visit, list->to);
    }
  free (list);
}

static void
list_request (mbr_net_host_t *host, el_str_t address, int introduction)
{
  mbr_net_t *net = host->net;
  mbr_net_host_t *other = find_host_by_address (net, address);
  net_list_t *list;
  size_t n = introduction ? INTRODUCED_MAX : net->n;

  if (!other || !mbr_net_passes (host, other))
    return;
  list = calloc (1, sizeof *list);
  list->from = other;
  list->to = host;
  list->introduction = introduction;
  if (net->carry_list)
    {
      net->carry_list (other, host, n, list_arrive, list);
      return;
    }
  list->timer.cb = list_arrive;
  list->timer.arg = list;
  el_timers_set (&net->timers, &list->timer, net->now + 1);
}

static void
host_sync (void *arg, el_str_t address)
{
  list_request (arg, address, 0);
}

static void
host_discover (void *arg, el_str_t address)
{
  list_request (arg, address, 1);
}

static void
host_member_changed (void *arg, const co_member_t *member)
{
  (void)arg;
  (void)member;
}

static void
host_endpoint_leaving (void *arg, el_str_t endpoint)
{
  mbr_net_host_t *host = arg;

  (void)endpoint;
  host->leaving_notices++;
}

static void
host_open (mbr_net_t *net, mbr_net_host_t *host, const char *address,
           const char *hall)
{
  co_members_options_t options = { .period = PROBE_PERIOD,
                                   .timeout = PROBE_TIMEOUT,
                                   .forget = FORGET_DEAD_AFTER,
                                   .leaving_hold = LEAVING_HOLD,
                                   .probe = host_probe,
                                   .sync = host_sync,
                                   .discover = host_discover,
                                   .changed = host_member_changed,
                                   .leaving = host_endpoint_leaving,
                                   .arg = host };
  el_buf_t seeds = { NULL, 0, 0 };
  size_t i;

  host->net = net;
  snprintf (host->address, sizeof host->address, "%s", address);
  snprintf (host->hall, sizeof host->hall, "%s", hall);
  for (i = 0; i < CO_INCARNATION_BYTES; i++)
    host->incarnation.byte[i] = (unsigned char)mbr_net_random (net);
  HASH_ADD (hh, net->by_incarnation, incarnation, CO_INCARNATION_BYTES, host);
  options.seed = mbr_net_random (net);
  options.self.incarnation = host->incarnation;
  options.self.peer = el_str (host->address);
  options.self.http = options.self.peer;
  options.self.hall = el_str (host->hall);
  options.self.capacity = host->capacity;
  for (i = 0; i < net->seeds; i++)
    el_buf_printf (&seeds, "10.0.%zu.%zu:1,", i / 250, i % 250);
  options.seeds = el_buf_str (&seeds);
  host->members = co_members_new (&options);
  el_buf_free (&seeds);
}

static uint64_t
capacity_by_index (size_t host)
{
  return host / 3 * 4;
}

mbr_net_t *
mbr_net_new (uint64_t seed, size_t hosts, size_t halls)
{
  return mbr_net_new_with (seed, hosts, halls, capacity_by_index);
}

/** As mbr_net_new, with hosts of the given capacity. */
mbr_net_t *
mbr_net_new_with (uint64_t seed, size_t hosts, size_t halls,
                  uint64_t (*capacity) (size_t host))
{
  mbr_net_t *net = calloc (1, sizeof *net);
  char address[32];
  char hall[32];
  size_t i;

  net->rng = seed;
  net->seeds = hosts < 9 ? hosts : 9;
  net->now = EL_SEC;
  for (i = 0; i < hosts; i++)
    {
      snprintf (address, sizeof address, "10.0.%zu.%zu:1", i / 250, i % 250);
      snprintf (hall, sizeof hall, "hall-%zu", i % halls);
      net->hosts[i].capacity = capacity (i);
      host_open (net, &net->hosts[net->n++], address, hall);
    }
  return net;
}

/** Stops a host and starts a new incarnation at its address. */
mbr_net_host_t *
mbr_net_replace_host (mbr_net_t *net, size_t host)
{
  mbr_net_host_t *replacement = &net->hosts[net->n++];

  net->hosts[host].down = 1;
  replacement->capacity = (uint64_t)(net->n - 1) / 3 * 4;
  host_open (net, replacement, net->hosts[host].address,
             net->hosts[host].hall);
  return replacement;
}

void
mbr_net_free (mbr_net_t *net)
{
  size_t i;

  while (net->timers.len)
    {
      el_timer_t *timer = net->timers.heap[0];

      el_timers_cancel (&net->timers, timer);
      free (timer->arg);
    }
  el_timers_free (&net->timers);
  HASH_CLEAR (hh, net->by_incarnation);
  for (i = 0; i < net->n; i++)
    co_members_free (net->hosts[i].members);
  free (net);
}

/** Runs the simulation until a given time. */
void
mbr_net_run (mbr_net_t *net, el_time_t until)
{
  size_t i;

  while (net->now < until)
    {
      el_timers_run (&net->timers, net->now);
      for (i = 0; i < net->n; i++)
        if (!net->hosts[i].down && !net->hosts[i].paused
            && net->now >= net->hosts[i].starts_at
            && co_members_next_due (net->hosts[i].members) <= net->now)
          co_members_tick (net->hosts[i].members, net->now);
      net->now += 5 * EL_MSEC;
    }
}

typedef struct state_count
{
  co_mbr_state_t state;
  size_t n;
} state_count_t;

static void
state_count_visit (void *arg, const co_member_t *member)
{
  state_count_t *state_count = arg;

  state_count->n += member->state == state_count->state;
}

/** Returns how many members, itself included, a host has in a given state. */
size_t
mbr_net_count_state (mbr_net_t *net, size_t host, co_mbr_state_t state)
{
  state_count_t state_count = { state, 0 };

  co_members_visit (net->hosts[host].members, state_count_visit, &state_count);
  return state_count.n;
}

/** Whether every running host sees LIVE members alive and none suspect. */
int
mbr_net_is_converged (mbr_net_t *net, size_t live)
{
  size_t i;

  for (i = 0; i < net->n; i++)
    if (!net->hosts[i].down && !net->hosts[i].paused
        && (mbr_net_count_state (net, i, CO_MBR_ALIVE) != live
            || mbr_net_count_state (net, i, CO_MBR_SUSPECT)))
      return 0;
  return 1;
}

static int
host_runs (const mbr_net_host_t *host)
{
  return !host->down && !host->paused && !host->isolated;
}

/** Returns the number of pairs of a running host and a stopped host to which
    the running one would still send callers. */
size_t
mbr_net_count_dead_offered (mbr_net_t *net)
{
  const co_member_t *member;
  size_t n = 0;
  size_t i;
  size_t k;

  for (k = 0; k < net->n; k++)
    for (i = 0; net->hosts[k].down && i < net->n; i++)
      if (host_runs (&net->hosts[i]))
        {
          member = co_members_find (net->hosts[i].members,
                                    &net->hosts[k].incarnation);
          n += member && member->state == CO_MBR_ALIVE
               && member->offer == CO_MBR_OFFERED;
        }
  return n;
}

/** Returns how many running hosts would not send callers to HOST. */
size_t
mbr_net_count_not_offering (mbr_net_t *net, size_t host)
{
  const co_member_t *member;
  size_t n = 0;
  size_t i;

  for (i = 0; i < net->n; i++)
    if (host_runs (&net->hosts[i]))
      {
        member = co_members_find (net->hosts[i].members,
                                  &net->hosts[host].incarnation);
        n += !member || member->state != CO_MBR_ALIVE
             || member->offer != CO_MBR_OFFERED;
      }
  return n;
}
