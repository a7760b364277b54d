/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Internals of the coordination library.
 */
#ifndef ELMARCH_LIBCOORD_H
#define ELMARCH_LIBCOORD_H

#include "coord.h"
#include "map.h"

/* Times that a piece of news is passed on at the most, for any number of
   members: see mbr_news_most. */
#define MBR_SENDS_MAX 64

/* A piece of news that waits to be passed on. */
typedef struct mbr_news
{
  struct mbr_entry *entry;
  unsigned sent; /* times that it was passed on */
  int waits;
  struct mbr_news *prev;
  struct mbr_news *next;
} mbr_news_t;

/* News of one kind, by the times that they were passed on. */
typedef struct mbr_queue
{
  mbr_news_t *sent[MBR_SENDS_MAX];
} mbr_queue_t;

typedef struct mbr_entry
{
  co_members_t *members;
  co_member_t m;      /* its incarnation is the key; strings are owned */
  mbr_news_t whole;   /* for those that do not know it */
  mbr_news_t change;  /* for those that do */
  mbr_queue_t *queue; /* that its change waits in */
  el_timer_t timer;
  UT_hash_handle hh;
} mbr_entry_t;

typedef struct mbr_leaving
{
  co_members_t *members;
  co_leaving_t l; /* its id is the key */
  unsigned sent;
  el_timer_t timer;
  UT_hash_handle hh;
} mbr_leaving_t;

typedef struct mbr_probe
{
  uint64_t id;
  el_str_t address;
  int expects; /* an incarnation is expected there */
  co_incarnation_t incarnation;
  int indirect; /* other hosts were asked */
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
  mbr_entry_t **order; /* the order of this host's probes */
  size_t norder;
  size_t cursor;
  size_t live; /* others that are not known to be dead */
  el_str_t seeds;
  size_t seed_at;
  mbr_probe_t *probes;
  uint64_t next_probe;
  mbr_leaving_t *leaving;
  mbr_queue_t bad;   /* members that should be sent nothing any more */
  mbr_queue_t good;  /* other changes */
  mbr_queue_t whole; /* members that others may not know */
  uint64_t digest;   /* of the members held for alive, this one not included */
  unsigned strange;  /* messages in a row whose digest was another one */
  unsigned behind;   /* times that all members are still to be asked for */
  el_time_t changed; /* when a member was new or changed last */
  el_time_t heard;   /* when another host was heard last */
  el_time_t synced;  /* when all members were asked for last */
  el_timers_t timers;
  el_time_t next_period;
  el_time_t last_tick;
  el_time_t young_until; /* probes more often before */
  unsigned young;        /* such probes so far */
};

/* splitmix64, by Sebastiano Vigna, public domain. */
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
mbr_is_bad (const co_member_t *m)
{
  return m->state != CO_MBR_ALIVE || m->offer != CO_MBR_OFFERED;
}

/* mbr_members.c */
mbr_entry_t *mbr_entry_find (const co_members_t *members,
                             const co_incarnation_t *inc);
void mbr_member_hear (co_members_t *members, el_time_t now,
                      const co_member_t *member, int all);
void mbr_change_hear (co_members_t *members, el_time_t now,
                      const co_change_t *change);
void mbr_entry_state (co_members_t *members, el_time_t now, mbr_entry_t *entry,
                      co_mbr_state_t state);
el_time_t mbr_suspect_time (const co_members_t *members);

/* mbr_news.c */
void mbr_news_whole (mbr_entry_t *entry);
void mbr_news_change (mbr_entry_t *entry);
void mbr_news_drop (mbr_entry_t *entry);
int mbr_news_urgent (const co_members_t *members);
uint64_t mbr_digest (const co_member_t *member);
void mbr_leaving_free (co_members_t *members);

/* mbr_probe.c */
void mbr_probe_sooner (co_members_t *members, el_time_t now);
void mbr_probes_free (co_members_t *members);

#endif
