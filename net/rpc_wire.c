/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Sealed bodies: opaque bytes with a message authentication code over
 * direction, procedure, transaction ID and body.
 */
#include <stdlib.h>
#include <string.h>

#include <arpa/inet.h>

#include "rpc_wire.h"

/* Space for a message's header, authentication code and length fields, in
   bytes. */
#define HEAD_ROOM 512

static void
seal_mac (el_str_t key, char direction, uint32_t proc, uint32_t xid,
          el_str_t body, unsigned char out[CO_MAC_BYTES])
{
  el_buf_t text = { NULL, 0, 0 };

  el_buf_printf (&text, "%c%u.%u.", direction, proc, xid);
  el_buf_add (&text, body);
  co_mac (key, el_buf_str (&text), out);
  el_buf_free (&text);
}

/** Append MSG and the body, sealed with KEY. With RECORD set, a record mark
    comes first. */
void
rpc_wire_write (el_str_t key, el_buf_t *out, struct rpc_msg *msg, int record,
                uint32_t proc, el_str_t body)
{
  char direction = msg->rm_direction == CALL ? 'c' : 'r';
  size_t size = HEAD_ROOM + body.len;
  char *bytes = el_alloc (size);
  peer_sealed sealed;
  uint32_t mark;
  XDR xdr;
  int ok;

  seal_mac (key, direction, proc, msg->rm_xid, body,
            (unsigned char *)sealed.mac);
  sealed.body.body_val = (char *)(uintptr_t)body.ptr;
  sealed.body.body_len = (u_int)body.len;
  xdrmem_create (&xdr, bytes, (u_int)size, XDR_ENCODE);
  ok = direction == 'c' ? xdr_callmsg (&xdr, msg) : xdr_replymsg (&xdr, msg);
  if (ok && xdr_peer_sealed (&xdr, &sealed))
    {
      mark = htonl (RECORD_LAST_FRAGMENT | xdr_getpos (&xdr));
      if (record)
        el_buf_add (out, (el_str_t){ (char *)&mark, RECORD_MARK_BYTES });
      el_buf_add (out, (el_str_t){ bytes, xdr_getpos (&xdr) });
    }
  xdr_destroy (&xdr);
  free (bytes);
}

/** Decode and verify the sealed body of a message; returns 0 when the
    authentication code does not match. In any case the body is allocated
    memory that xdr_free releases. */
int
rpc_wire_read (el_str_t key, XDR *xdr, char direction, uint32_t proc,
               uint32_t xid, peer_sealed *sealed)
{
  unsigned char expected[CO_MAC_BYTES];
  el_str_t body;

  memset (sealed, 0, sizeof *sealed);
  if (!xdr_peer_sealed (xdr, sealed))
    return 0;
  body = (el_str_t){ sealed->body.body_val, sealed->body.body_len };
  seal_mac (key, direction, proc, xid, body, expected);
  return co_mac_eq (expected, (unsigned char *)sealed->mac);
}
