/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Splits event streams into complete events and reads their ids.
 */
#include "relay_events.h"

/* Size in bytes of the longest partial event that is kept. */
#define EVENT_SIZE_MAX ((size_t)1 << 20)

/* Reads the number in the event's "id" line. Returns 0 if there is none. */
static int
event_id (el_str_t event, uint64_t *id)
{
  el_str_t line;
  el_str_t name;

  while (event.len)
    {
      line = el_str_cut (&event, '\n');
      name = el_str_cut (&line, ':');
      if (!el_str_eq (name, EL_STR ("id")))
        continue;
      while (line.len && *line.ptr == ' ')
        line = el_str_after (line, 1);
      if (line.len && line.ptr[line.len - 1] == '\r')
        line.len--;
      return el_str_to_u64 (line, id);
    }
  return 0;
}

/* Returns the length of the first complete event of BYTES, blank line
   included, or 0 if it is incomplete. None ends before FROM. */
static size_t
event_length (el_str_t bytes, size_t from)
{
  size_t i;

  for (i = from ? from : 1; i < bytes.len; i++)
    if (bytes.ptr[i] == '\n'
        && (bytes.ptr[i - 1] == '\n'
            || (i > 2 && bytes.ptr[i - 1] == '\r'
                && bytes.ptr[i - 2] == '\n')))
      return i + 1;
  return 0;
}

static el_str_t
events_emit (el_str_t bytes, size_t from, relay_event_cb each, void *arg)
{
  size_t len;

  while ((len = event_length (bytes, from)))
    {
      el_str_t event = { bytes.ptr, len };
      uint64_t id = 0;
      int has_id = event_id (event, &id);

      each (arg, event, has_id, id);
      bytes = el_str_after (bytes, len);
      from = 0;
    }
  return bytes;
}

/** Appends BYTES and calls EACH for every event that they complete. Returns 0
    if the last one is too long to be kept. */
int
relay_events_add (relay_events_t *events, el_str_t bytes, relay_event_cb each,
                  void *arg)
{
  size_t from = events->part.len;
  el_buf_t buffered;

  if (from)
    {
      el_buf_add (&events->part, bytes);
      bytes = el_buf_str (&events->part);
      if (!event_length (bytes, from))
        return bytes.len <= EVENT_SIZE_MAX;
    }
  buffered = events->part;
  events->part = (el_buf_t){ NULL, 0, 0 };
  bytes = events_emit (bytes, from, each, arg);
  if (bytes.len)
    el_buf_add (&events->part, bytes);
  el_buf_free (&buffered);
  return 1;
}

/** Drops a partial event. */
void
relay_events_reset (relay_events_t *events)
{
  el_buf_free (&events->part);
}
