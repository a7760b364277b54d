/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * ONC RPC version 2 over TCP and UDP (RFC 5531) on libuv, with libtirpc's
 * codecs.
 * Calls and results travel as sealed bodies: opaque bytes with an
 * authentication code over direction, procedure, transaction and body.
 */
#ifndef ELMARCH_RPC_H
#define ELMARCH_RPC_H

#include "coord.h"
#include "http.h"

typedef struct gt_rpc gt_rpc_t;
typedef struct gt_rpc_req gt_rpc_req_t;

typedef void (*gt_rpc_serve_fn) (void *arg, gt_rpc_req_t *req, uint32_t proc,
                                 el_str_t body);

/** The outcome of a call. OK is 0 when there is no answer; SENT tells whether
    the call may have arrived. */
typedef void (*gt_rpc_done_fn) (void *arg, int ok, int sent, el_str_t body);

typedef struct gt_rpc_options
{
  gt_clock_t *clock;
  el_str_t listen; /**< ip:port */
  el_str_t key;    /**< shared by the hosts */
  gt_rpc_serve_fn serve;
  void *arg;
  uint64_t *refused; /**< counts messages that are no call from a host */
  uint64_t *messages;
  uint64_t *bytes;
} gt_rpc_options_t;

gt_rpc_t *gt_rpc_new (const gt_rpc_options_t *options, el_err_t *err);
void gt_rpc_call (gt_rpc_t *rpc, el_str_t address, uint32_t proc,
                  el_str_t body, el_time_t timeout, gt_rpc_done_fn done,
                  void *arg);
void gt_rpc_send (gt_rpc_t *rpc, el_str_t address, uint32_t proc,
                  el_str_t body, el_time_t timeout, gt_rpc_done_fn done,
                  void *arg);
void gt_rpc_reply (gt_rpc_req_t *req, el_str_t body);
void gt_rpc_stop (gt_rpc_t *rpc);

#endif
