/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * What the platform's client needs of the dialect that the platform speaks.
 */
#ifndef ELMARCH_LIBKV_H
#define ELMARCH_LIBKV_H

#include "libgate.h"

/* Items of a range or a watch. */
typedef struct gt_kv_list
{
  json_t *json;  /* to be released */
  json_t *items; /* borrowed from it */
  uint64_t revision;
  int compacted; /* the watch is too far behind */
} gt_kv_list_t;

typedef struct gt_kv_item
{
  co_kind_t kind;
  el_str_t name;
  uint64_t revision;
  json_t *spec; /* NULL: removed */
} gt_kv_item_t;

typedef struct gt_kv_put
{
  int conflict;
  uint64_t revision;               /* after the change, or the current one */
  char change_id[CO_NAME_MAX + 1]; /* on a conflict: of the current value */
} gt_kv_put_t;

/* Writers fill a path and a body; readers give 0 for what is no answer. */
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
