/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * A binary heap of waiting requests of one rank, with removal.
 */
#include "libload.h"

#define HEAP_SIZE_MIN 16

/* Whether A goes before B: those that were sent and refused, then customers in
   turn, then the order of arrival. */
static int
goes_before (const ld_entry_t *a, const ld_entry_t *b)
{
  if (a->refused != b->refused)
    return a->refused;
  if (a->turn != b->turn)
    return a->turn < b->turn;
  return a->sequence < b->sequence;
}

static void
heap_set (ld_heap_t *heap, size_t at, ld_entry_t *entry)
{
  heap->list[at] = entry;
  entry->heap_index = at;
}

static void
heap_up (ld_heap_t *heap, size_t at, ld_entry_t *entry)
{
  for (; at && goes_before (entry, heap->list[(at - 1) / 2]);
       at = (at - 1) / 2)
    heap_set (heap, at, heap->list[(at - 1) / 2]);
  heap_set (heap, at, entry);
}

static void
heap_down (ld_heap_t *heap, size_t at, ld_entry_t *entry)
{
  for (;;)
    {
      size_t child = 2 * at + 1;

      if (child + 1 < heap->n
          && goes_before (heap->list[child + 1], heap->list[child]))
        child++;
      if (child >= heap->n || !goes_before (heap->list[child], entry))
        break;
      heap_set (heap, at, heap->list[child]);
      at = child;
    }
  heap_set (heap, at, entry);
}

/** Adds ENTRY. */
void
ld_heap_add (ld_heap_t *heap, ld_entry_t *entry)
{
  if (heap->n == heap->size)
    {
      heap->size = heap->size ? 2 * heap->size : HEAP_SIZE_MIN;
      heap->list = el_grow (heap->list, heap->size, sizeof *heap->list);
    }
  heap_up (heap, heap->n++, entry);
}

/** Removes ENTRY. */
void
ld_heap_remove (ld_heap_t *heap, ld_entry_t *entry)
{
  size_t at = entry->heap_index;
  ld_entry_t *last = heap->list[--heap->n];

  if (last == entry)
    return;
  if (at && goes_before (last, heap->list[(at - 1) / 2]))
    heap_up (heap, at, last);
  else
    heap_down (heap, at, last);
}
