/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * The failure detector: which member to probe next, how answers and missing
 * answers are handled, and the timing of both.
 */
#include <string.h>

#include "libcoord.h"

#define INDIRECT_PROBES 3
/* A tick that is this many periods late shows that the process was paused: a
   missing answer is then no evidence against another host. */
#define PAUSED_PERIODS 3
/* For this many periods after its start, a host sends probes STARTUP_SPEEDUP
   times as often: hosts that all start at once know each other within a
   second. */
#define STARTUP_PERIODS 4
#define STARTUP_SPEEDUP 5
/* During that time, every STARTUP_SYNC_PROBES-th probe is accompanied by a
   request for the full member list. */
#define STARTUP_SYNC_PROBES 3
/* Every STARTUP_FAR_PROBES-th probe, the list is requested from a host of any
   hall; else from one of the same hall, to save links between halls. */
#define STARTUP_FAR_PROBES 18
/* Interval at which one seed after the other is asked for members, until one
   has answered. */
#define DISCOVERY_INTERVAL (40 * EL_MSEC)
/* Seeds among which the first one to be asked is chosen. */
#define DISCOVERY_SEEDS 3
/* While there are urgent updates, probes are this many times as frequent, to
   carry them. */
#define URGENT_SPEEDUP 5

/* Return the next live member to probe, of HALL if that is not empty. All are
   probed in turn, in an order that is random on each host. */
static mbr_entry_t *
probe_next (const co_members_t *members, size_t *cursor, el_str_t hall)
{
  mbr_entry_t *entry;
  size_t i;

  for (i = 0; i < members->norder; i++)
    {
      entry = members->order[(*cursor)++ % members->norder];
      if (mbr_is_live (entry)
          && (hall.len == 0 || el_str_eq (entry->m.hall, hall)))
        return entry;
    }
  return NULL;
}

/* Return the member to probe now. Of the additional probes that carry urgent
   updates, most go to hosts of the own hall, to save links between halls. */
static mbr_entry_t *
probe_select (co_members_t *members)
{
  mbr_entry_t *entry = NULL;

  if (members->additional && members->additional % URGENT_SPEEDUP)
    entry = probe_next (members, &members->near_cursor, members->self.hall);
  return entry ? entry
               : probe_next (members, &members->cursor, (el_str_t){ NULL, 0 });
}

static void
probe_add (co_members_t *members, el_time_t now, const mbr_entry_t *entry,
           el_str_t address)
{
  mbr_probe_t *probe = el_alloc (sizeof *probe);

  probe->id = members->next_probe++;
  probe->address = el_str_dup (address);
  probe->due = now + members->options.timeout;
  if (entry)
    {
      probe->has_incarnation = 1;
      probe->incarnation = entry->m.incarnation;
    }
  DL_APPEND (members->probes, probe);
  members->options.probe (members->options.arg, probe->id, probe->address,
                          (el_str_t){ NULL, 0 });
}

static int
address_is_live (const co_members_t *members, el_str_t address)
{
  size_t i;

  for (i = 0; i < members->norder; i++)
    if (mbr_is_live (members->order[i])
        && el_str_eq (members->order[i]->m.peer, address))
      return 1;
  return el_str_eq (address, members->self.peer);
}

/* Return the next seed address, in turn; empty when there are none. */
static el_str_t
seed_next (co_members_t *members)
{
  el_str_t rest = el_str_after (members->seeds, members->seed_offset);
  el_str_t address = el_str_cut (&rest, ',');

  members->seed_offset = rest.len ? members->seeds.len - rest.len : 0;
  return address;
}

/** Return whether there is a seed other than this host. */
int
mbr_has_other_seed (const co_members_t *members)
{
  el_str_t rest = members->seeds;
  el_str_t address;

  while (rest.len)
    {
      address = el_str_cut (&rest, ',');
      if (address.len && !el_str_eq (address, members->self.peer))
        return 1;
    }
  return 0;
}

/* Probe the next seed, unless a live member is known at its address: to join,
   and to rejoin after a network partition. */
static void
probe_seed (co_members_t *members, el_time_t now)
{
  el_str_t address = seed_next (members);

  if (address.len && !address_is_live (members, address))
    probe_add (members, now, NULL, address);
}

static void
probe_indirect (co_members_t *members, el_time_t now, mbr_probe_t *probe)
{
  mbr_entry_t *via;
  unsigned sent = 0;
  size_t i;

  probe->indirect = 1;
  probe->due = now + members->options.timeout;
  for (i = 0; i < members->norder && sent < INDIRECT_PROBES; i++)
    {
      via = members->order[mbr_random (members) % members->norder];
      if (!mbr_is_live (via) || el_str_eq (via->m.peer, probe->address))
        continue;
      members->options.probe (members->options.arg, probe->id, probe->address,
                              via->m.peer);
      sent++;
    }
}

static void
probe_drop (co_members_t *members, mbr_probe_t *probe)
{
  DL_DELETE (members->probes, probe);
  el_str_free (&probe->address);
  free (probe);
}

/* Neither the direct nor the indirect probe was answered. */
static void
probe_failed (co_members_t *members, el_time_t now, mbr_probe_t *probe)
{
  mbr_entry_t *entry = probe->has_incarnation
                           ? mbr_entry_find (members, &probe->incarnation)
                           : NULL;

  if (entry && entry->m.state == CO_MBR_ALIVE)
    mbr_entry_set_state (members, now, entry, CO_MBR_SUSPECT);
  probe_drop (members, probe);
}

static void
probes_check (co_members_t *members, el_time_t now, int paused)
{
  mbr_probe_t *probe;
  mbr_probe_t *next;

  DL_FOREACH_SAFE (members->probes, probe, next)
  {
    if (paused)
      probe_drop (members, probe);
    else if (now < probe->due)
      continue;
    else if (probe->indirect || !probe->has_incarnation)
      probe_failed (members, now, probe);
    else
      probe_indirect (members, now, probe);
  }
}

/** Handle the outcome of probe ID: an answer, direct or by way of another
    host, or no answer (OK is 0). */
void
co_members_probe_done (co_members_t *members, el_time_t now, uint64_t id,
                       int ok, const co_gossip_t *gossip)
{
  mbr_probe_t *probe;
  mbr_entry_t *entry;

  if (ok)
    co_members_receive_gossip (members, now, gossip);
  DL_FOREACH (members->probes, probe)
  if (probe->id == id)
    break;
  if (!probe || !ok)
    return;
  entry = probe->has_incarnation
              ? mbr_entry_find (members, &probe->incarnation)
              : NULL;
  if (entry
      && !co_incarnation_eq (&gossip->self.incarnation, &probe->incarnation)
      && el_str_eq (gossip->self.peer, probe->address) && mbr_is_live (entry))
    mbr_entry_set_state (members, now, entry, CO_MBR_DEAD);
  probe_drop (members, probe);
}

/* After a pause, restart the timeouts of suspects: their refutations from that
   time may not have been read yet. */
static void
suspects_restart (co_members_t *members, el_time_t now)
{
  mbr_entry_t *entry;
  mbr_entry_t *next;

  HASH_ITER (hh, members->entries, entry, next)
  if (entry->m.state == CO_MBR_SUSPECT)
    el_timers_set (&members->timers, &entry->timer,
                   now + mbr_suspect_timeout (members));
}

/* Probe all seeds once, as the first of them may be down. */
static void
probe_all_seeds (co_members_t *members, el_time_t now)
{
  do
    probe_seed (members, now);
  while (members->seed_offset);
}

/* Return a random live member among those of HALL, or of all halls if that is
   empty, whose capacity is at least half of the largest one; NULL when there
   is none. A member list is long, and hosts that start together ask the few
   members that they know. */
static const mbr_entry_t *
sync_source (co_members_t *members, el_str_t hall)
{
  const mbr_entry_t *source = NULL;
  uint64_t max = 0;
  size_t n = 0;
  size_t i;

  for (i = 0; i < members->norder; i++)
    {
      const mbr_entry_t *entry = members->order[i];

      if (!mbr_is_live (entry)
          || (hall.len && !el_str_eq (entry->m.hall, hall))
          || entry->m.capacity < max / 2)
        continue;
      if (entry->m.capacity / 2 > max)
        n = 0;
      if (entry->m.capacity > max)
        max = entry->m.capacity;
      if (mbr_random (members) % ++n == 0)
        source = entry;
    }
  return source;
}

/* Request a full member list along with some of the probes just after the
   start. */
static void
startup_sync (co_members_t *members)
{
  const mbr_entry_t *source;

  if (!members->options.sync
      || members->startup_probes % STARTUP_SYNC_PROBES != 0)
    return;
  source = (members->startup_probes + STARTUP_SYNC_PROBES) % STARTUP_FAR_PROBES
               ? sync_source (members, members->self.hall)
               : NULL;
  if (!source)
    source = sync_source (members, (el_str_t){ NULL, 0 });
  if (source)
    members->options.sync (members->options.arg, source->m.peer);
}

/* Ask one of the seeds for members, first a random one, so that hosts that
   start together do not all turn to the same one. */
static void
discover (co_members_t *members, el_time_t now, int first)
{
  size_t skip = first ? mbr_random (members) % DISCOVERY_SEEDS : 0;
  el_str_t address;

  if (members->discovered || !members->options.discover
      || now < members->next_discovery)
    return;
  members->next_discovery = now + DISCOVERY_INTERVAL;
  while (skip--)
    seed_next (members);
  address = seed_next (members);
  if (el_str_eq (address, members->self.peer))
    address = seed_next (members);
  if (address.len)
    members->options.discover (members->options.arg, address);
}

/** Record that another host has introduced members to this one. */
void
co_members_set_discovered (co_members_t *members)
{
  members->discovered = 1;
}

/** Return whether another host has introduced members, or there is no seed to
    ask for them. */
int
co_members_is_discovered (const co_members_t *members)
{
  return members->discovered;
}

/** Check probes and suspicions for timeouts and send the next probe; call it
    at the time that co_members_next_due gives. */
void
co_members_tick (co_members_t *members, el_time_t now)
{
  el_time_t period = members->options.period;
  int first = members->last_tick == 0;
  int paused = members->last_tick
               && now > members->last_tick + PAUSED_PERIODS * period;
  mbr_entry_t *entry;

  members->last_tick = now;
  probes_check (members, now, paused);
  if (paused)
    suspects_restart (members, now);
  el_timers_run (&members->timers, now);
  discover (members, now, first);
  if (now < members->next_period)
    return;
  if (first)
    members->startup_until = now + STARTUP_PERIODS * period;
  entry = probe_select (members);
  if (now < members->startup_until)
    {
      period /= STARTUP_SPEEDUP;
      if (entry)
        {
          startup_sync (members);
          members->startup_probes++;
        }
    }
  if (mbr_update_urgent (members))
    {
      period = members->options.period / URGENT_SPEEDUP;
      members->additional++;
    }
  else
    members->additional = 0;
  members->next_period = now + period;
  if (entry)
    probe_add (members, now, entry, entry->m.peer);
  if (first)
    probe_all_seeds (members, now);
  else
    probe_seed (members, now);
}

/** Return when to call co_members_tick. */
el_time_t
co_members_next_due (const co_members_t *members)
{
  el_time_t due = el_timers_next_due (&members->timers);
  mbr_probe_t *probe;

  if (members->next_period < due)
    due = members->next_period;
  if (!members->discovered && members->options.discover
      && members->next_discovery < due)
    due = members->next_discovery;
  DL_FOREACH (members->probes, probe)
  if (probe->due < due)
    due = probe->due;
  return due;
}

/** Send the next probe sooner, to carry an urgent update. */
void
mbr_probe_expedite (co_members_t *members, el_time_t now)
{
  el_time_t due = now + members->options.period / URGENT_SPEEDUP;

  if (due < members->next_period)
    members->next_period = due;
}

/* Free all outstanding probes. */
void
mbr_probes_free (co_members_t *members)
{
  while (members->probes)
    probe_drop (members, members->probes);
}
