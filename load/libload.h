/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Declarations shared by the files of the load library.
 */
#ifndef ELMARCH_LIBLOAD_H
#define ELMARCH_LIBLOAD_H

#include "load.h"

/* A binary heap of the entries of one rank; the first goes next. */
typedef struct ld_heap
{
  ld_entry_t **list;
  size_t n;
  size_t size;
} ld_heap_t;

/* A customer whose entries wait in a rank. */
typedef struct ld_turns
{
  uint64_t customer;
  uint64_t last;  /* turn of its newest entry */
  size_t waiting; /* its entries in the rank */
  UT_hash_handle hh;
} ld_turns_t;

typedef struct ld_rank
{
  ld_heap_t heap;
  ld_entry_t *newest; /* list in the order of arrival, newest first */
  size_t refused;     /* entries that were sent and refused */
  ld_turns_t *customers;
  uint64_t turn;   /* of the entry that started last */
  double share;    /* of all that found room, a moving average */
  unsigned passed; /* others of higher ranks that found room meanwhile */
} ld_rank_t;

struct ld_queue
{
  ld_queue_options_t options;
  ld_rank_t ranks[LD_RANKS];
  size_t length;
  uint64_t sequence;
  size_t running;       /* requests that were sent and have not ended */
  double places;        /* as many as run under load: the highest number of
                           late, which it approaches slowly */
  double mean_duration; /* moving average, microseconds; 0: not known */
  el_time_t offered_at; /* last start that was to check the estimate */
  el_time_t return_at[LD_RANKS]; /* latest return of a refused caller */
  ld_rank_counts_t counts[LD_RANKS];
};

/* ld_heap.c */
void ld_heap_add (ld_heap_t *heap, ld_entry_t *entry);
void ld_heap_remove (ld_heap_t *heap, ld_entry_t *entry);

#endif
