/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Crowds of clients that do not behave: each sends a head, then the same unit
 * over and over, then a tail, and stays connected.
 */
#ifndef ELMARCH_CROWD_TEST_H
#define ELMARCH_CROWD_TEST_H

#include "cluster.h"

typedef struct crowd_options
{
  const char *address;
  size_t clients;
  el_str_t head;
  el_str_t unit; /**< repeated; the last one may be cut */
  size_t repeat; /**< bytes of units */
  el_str_t tail; /**< sent last */
  int reads;     /**< whether the clients read what they are sent */
  int in_pieces; /**< all clients proceed alike, a short piece at a time */
  const proc_t *host; /**< its open descriptors are counted */
} crowd_options_t;

typedef struct crowd_client
{
  int fd; /* -1: closed */
  size_t sent;
  el_buf_t received;
} crowd_client_t;

typedef struct crowd
{
  crowd_options_t options;
  crowd_client_t *clients;
  size_t descriptors; /**< of the host, at most */
} crowd_t;

void crowd_play (crowd_t *crowd, const crowd_options_t *options);
void crowd_close (crowd_t *crowd);
int crowd_status (const crowd_t *crowd, size_t client);
size_t proc_descriptors (const proc_t *proc);
size_t proc_peak_kb (const proc_t *proc);

#endif
