/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * ONC RPC version 2 over TCP and UDP (RFC 5531) on libuv, with libtirpc's XDR
 * codecs. Calls and results are sent as sealed bodies: opaque bytes with a
 * message authentication code over direction, procedure, transaction ID and
 * body.
 */
#ifndef ELMARCH_RPC_H
#define ELMARCH_RPC_H

#include "coord.h"
#include "net.h"

typedef struct net_rpc net_rpc_t;
typedef struct net_rpc_req net_rpc_req_t;

typedef void (*net_rpc_serve_fn) (void *arg, net_rpc_req_t *req, uint32_t proc,
                                  el_str_t body);

/** Outcome of a call. OK is 0 when there is no reply; SENT tells whether the
    call may have reached the other host. */
typedef void (*net_rpc_done_fn) (void *arg, int ok, int sent, el_str_t body);

typedef struct net_rpc_options
{
  net_clock_t *clock;
  el_str_t listen;       /**< ip:port */
  el_str_t key;          /**< secret shared by the hosts */
  el_account_t *account; /**< what the process holds; NULL: not limited */
  net_rpc_serve_fn serve;
  void *arg;
  uint64_t *refused; /**< counts messages that are not from one of our hosts */
  uint64_t *messages; /**< counts messages sent */
  uint64_t *bytes;    /**< counts bytes sent */
} net_rpc_options_t;

net_rpc_t *net_rpc_new (const net_rpc_options_t *options, el_err_t *err);
void net_rpc_call (net_rpc_t *rpc, el_str_t address, uint32_t proc,
                   el_str_t body, el_time_t timeout, net_rpc_done_fn done,
                   void *arg);
void net_rpc_call_udp (net_rpc_t *rpc, el_str_t address, uint32_t proc,
                       el_str_t body, el_time_t timeout, net_rpc_done_fn done,
                       void *arg);
void net_rpc_reply (net_rpc_req_t *req, el_str_t body);
void net_rpc_stop (net_rpc_t *rpc);

#endif
