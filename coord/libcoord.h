/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Internal definitions of the coordination library.
 */
#ifndef ELMARCH_LIBCOORD_H
#define ELMARCH_LIBCOORD_H

#include "coord.h"
#include "map.h"

/* Upper bound of the number of times that an update is sent, for any number of
   members; see update_transmit_limit in mbr_update.c. */
#define MBR_TRANSMITS_MAX 64

/* An update that is queued for sending. */
typedef struct mbr_update
{
  struct mbr_entry *entry;
  unsigned sent; /* number of times it was sent */
  int queued;
  struct mbr_update *prev;
  struct mbr_update *next;
} mbr_update_t;

/* Updates of one kind, indexed by the number of times they were sent. */
typedef struct mbr_queue
{
  mbr_update_t *sent[MBR_TRANSMITS_MAX];
} mbr_queue_t;

/* An entry of the member table. */
typedef struct mbr_entry
{
  co_members_t *members;
  co_member_t m;       /* keyed by its incarnation; owns its strings */
  mbr_update_t full;   /* full record, for hosts that do not know the member */
  mbr_update_t change; /* state only, for hosts that know it */
  mbr_queue_t *queue;  /* queue that holds its change */
  el_timer_t timer;
  UT_hash_handle hh;
} mbr_entry_t;

/* A notice that an endpoint is leaving, and how often it was sent. */
typedef struct mbr_leaving
{
  co_members_t *members;
  co_leaving_notice_t l; /* keyed by its id */
  unsigned sent;
  el_timer_t timer;
  UT_hash_handle hh;
} mbr_leaving_t;

/* A probe that was not answered yet. */
typedef struct mbr_probe
{
  uint64_t id;
  el_str_t address;
  int has_incarnation; /* a particular incarnation is expected there */
  co_incarnation_t incarnation;
  int indirect; /* other hosts were asked to probe it */
  el_time_t due;
  struct mbr_probe *prev;
  struct mbr_probe *next;
} mbr_probe_t;

struct co_members
{
  co_members_options_t options;
  uint64_t rng;
  co_member_t self;
  mbr_entry_t *entries;
  mbr_entry_t **order; /* all entries, in probing order */
  size_t norder;
  size_t cursor;       /* next index in order to probe */
  size_t near_cursor;  /* the same, for additional probes of this hall */
  unsigned additional; /* probes since updates became urgent */
  size_t live;         /* number of other members that are alive or suspect */
  el_str_t seeds;
  size_t seed_offset;
  mbr_probe_t *probes;
  uint64_t next_probe;
  mbr_leaving_t *leaving;
  mbr_queue_t unavailable; /* changes of members that must get no new work */
  mbr_queue_t available;   /* all other changes */
  mbr_queue_t full;    /* full records of members that others may not know */
  uint64_t digest;     /* digest of the available members, without this host */
  unsigned mismatches; /* consecutive messages whose digest differed from this
                          host's */
  unsigned syncs_left; /* full member lists that are still to be requested */
  el_time_t last_change;   /* time of the last change of a member */
  el_time_t last_received; /* time of the last message from another host */
  el_time_t last_sync; /* time of the last request for a full member list */
  el_timers_t timers;
  el_time_t next_period;
  el_time_t last_tick;
  el_time_t startup_until; /* probes are more frequent until then */
  unsigned startup_probes; /* number of such probes so far */
  int discovered;          /* another host has introduced members */
  el_time_t next_discovery;
};

/* splitmix64 by Sebastiano Vigna, public domain. */
static inline uint64_t
mbr_random (co_members_t *members)
{
  uint64_t z = (members->rng += 0x9e3779b97f4a7c15ULL);

  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
  return z ^ (z >> 31);
}

static inline unsigned
mbr_log2 (size_t n)
{
  return n < 2 ? 1 : 64U - (unsigned)__builtin_clzll ((uint64_t)n - 1);
}

static inline int
mbr_is_live (const mbr_entry_t *entry)
{
  return entry->m.state <= CO_MBR_SUSPECT;
}

static inline int
mbr_is_unavailable (const co_member_t *m)
{
  return m->state != CO_MBR_ALIVE || m->offer != CO_MBR_OFFERED;
}

/* mbr_members.c */
mbr_entry_t *mbr_entry_find (const co_members_t *members,
                             const co_incarnation_t *inc);
void mbr_member_apply (co_members_t *members, el_time_t now,
                       const co_member_t *member, int all);
void mbr_change_apply (co_members_t *members, el_time_t now,
                       const co_member_change_t *change);
void mbr_entry_set_state (co_members_t *members, el_time_t now,
                          mbr_entry_t *entry, co_mbr_state_t state);
el_time_t mbr_suspect_timeout (const co_members_t *members);

/* mbr_update.c */
void mbr_update_full (mbr_entry_t *entry);
void mbr_update_change (mbr_entry_t *entry);
void mbr_update_drop (mbr_entry_t *entry);
int mbr_update_urgent (const co_members_t *members);
uint64_t mbr_digest (const co_member_t *member);
void mbr_leaving_free (co_members_t *members);

/* mbr_probe.c */
void mbr_probe_expedite (co_members_t *members, el_time_t now);
void mbr_probes_free (co_members_t *members);
int mbr_has_other_seed (const co_members_t *members);

#endif
