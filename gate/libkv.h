/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * The API of the platform's key-value service, as the platform client needs
 * it: functions that write requests and parse answers.
 */
#ifndef ELMARCH_LIBKV_H
#define ELMARCH_LIBKV_H

#include "libgate.h"

/* The items of a range or a watch. */
typedef struct gt_kv_list
{
  json_t *json;  /* owned; release it after use */
  json_t *items; /* borrowed from json */
  uint64_t revision;
  int compacted; /* the requested changes are no longer kept */
} gt_kv_list_t;

typedef struct gt_kv_item
{
  co_kind_t kind;
  el_str_t name;
  uint64_t revision;
  json_t *spec; /* NULL if the key was removed; borrowed */
} gt_kv_item_t;

typedef struct gt_kv_put
{
  int conflict;
  uint64_t revision;               /* after the change; on a conflict, the
                                      current one */
  char change_id[CO_NAME_MAX + 1]; /* on a conflict, that of the current
                                      value */
} gt_kv_put_t;

/* Writers append to a path and a body; readers return 0 for an answer that
   they cannot use. */
typedef struct gt_kv_dialect
{
  void (*range) (el_buf_t *path);
  void (*watch) (el_buf_t *path, uint64_t after, uint64_t wait_ms);
  void (*put) (const gt_change_t *change, el_buf_t *path, el_buf_t *body);
  void (*remove) (const gt_change_t *change, el_buf_t *path);
  void (*hosts) (el_buf_t *path);
  int (*read_list) (const net_result_t *result, gt_kv_list_t *out);
  int (*read_item) (json_t *item, gt_kv_item_t *out);
  int (*read_put) (const net_result_t *result, gt_kv_put_t *out);
  int (*read_hosts) (const net_result_t *result, json_t **out);
} gt_kv_dialect_t;

extern const gt_kv_dialect_t gt_kv_http;

#endif
