/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Encoding of the ONC RPC messages between hosts.
 */
#ifndef ELMARCH_RPC_WIRE_H
#define ELMARCH_RPC_WIRE_H

#include <rpc/rpc.h>

#include "coord.h"
#include "peer_proto.h"

/** Marks the last fragment of a record on a stream (RFC 5531, section 11). */
#define RECORD_LAST_FRAGMENT 0x80000000U
#define RECORD_MARK_BYTES 4

void rpc_wire_write (el_str_t key, el_buf_t *out, struct rpc_msg *msg,
                     int record, uint32_t proc, el_str_t body);
int rpc_wire_read (el_str_t key, XDR *xdr, char direction, uint32_t proc,
                   uint32_t xid, peer_sealed *sealed);

#endif
