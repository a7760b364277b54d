/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Timers in a binary heap. The owner of the clock asks when the next timer is
 * due and calls el_timers_run then.
 */
#include <stdlib.h>

#include "base.h"

static void
heap_put (el_timers_t *timers, size_t i, el_timer_t *timer)
{
  timers->heap[i] = timer;
  timer->heap_index = i + 1;
}

static void
heap_up (el_timers_t *timers, size_t i)
{
  el_timer_t *timer = timers->heap[i];

  while (i > 0 && timers->heap[(i - 1) / 2]->due > timer->due)
    {
      heap_put (timers, i, timers->heap[(i - 1) / 2]);
      i = (i - 1) / 2;
    }
  heap_put (timers, i, timer);
}

static void
heap_down (el_timers_t *timers, size_t i)
{
  el_timer_t *timer = timers->heap[i];
  size_t child;

  while ((child = 2 * i + 1) < timers->len)
    {
      if (child + 1 < timers->len
          && timers->heap[child + 1]->due < timers->heap[child]->due)
        child++;
      if (timers->heap[child]->due >= timer->due)
        break;
      heap_put (timers, i, timers->heap[child]);
      i = child;
    }
  heap_put (timers, i, timer);
}

/** Set TIMER, or move it, to fire once at DUE. */
void
el_timers_set (el_timers_t *timers, el_timer_t *timer, el_time_t due)
{
  el_timers_cancel (timers, timer);
  timer->due = due;
  if (timers->len == timers->cap)
    {
      timers->cap = timers->cap ? 2 * timers->cap : 16;
      timers->heap = el_grow (timers->heap, timers->cap, sizeof *timers->heap);
    }
  heap_put (timers, timers->len++, timer);
  heap_up (timers, timers->len - 1);
}

void
el_timers_cancel (el_timers_t *timers, el_timer_t *timer)
{
  size_t i = timer->heap_index;
  el_timer_t *last;

  if (i-- == 0)
    return;
  timer->heap_index = 0;
  last = timers->heap[--timers->len];
  if (last == timer)
    return;
  heap_put (timers, i, last);
  heap_up (timers, i);
  heap_down (timers, last->heap_index - 1);
}

/** Return when the next timer is due, or EL_TIME_NEVER. */
el_time_t
el_timers_next_due (const el_timers_t *timers)
{
  return timers->len ? timers->heap[0]->due : EL_TIME_NEVER;
}

/** Fire all timers that are due at NOW. */
void
el_timers_run (el_timers_t *timers, el_time_t now)
{
  el_timer_t *timer;

  while (timers->len && timers->heap[0]->due <= now)
    {
      timer = timers->heap[0];
      el_timers_cancel (timers, timer);
      timer->cb (timer->arg, now);
    }
}

void
el_timers_free (el_timers_t *timers)
{
  free (timers->heap);
  *timers = (el_timers_t){ NULL, 0, 0 };
}
