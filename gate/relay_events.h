/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Events of a stream.
 */
#ifndef ELMARCH_RELAY_EVENTS_H
#define ELMARCH_RELAY_EVENTS_H

#include "base.h"

/* Splits an event stream into complete events; buffers a partial one. */
typedef struct relay_events
{
  el_buf_t part;
} relay_events_t;

typedef void (*relay_event_cb) (void *arg, el_str_t event, int has_id,
                                uint64_t id);

int relay_events_add (relay_events_t *events, el_str_t bytes,
                      relay_event_cb each, void *arg);
void relay_events_reset (relay_events_t *events);

#endif
