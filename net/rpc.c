/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * ONC RPC over TCP and UDP on libuv. A record that is too long, truncated, of
 * another program or version, or not sealed with the key is rejected and
 * counted, and its connection is closed.
 */
#include <stdlib.h>
#include <string.h>

#include <arpa/inet.h>
#include <rpc/rpc.h>

#include "map.h"
#include "peer_proto.h"
#include "rpc.h"
#include "rpc_wire.h"

#define RECORD_MAX (PEER_BODY_MAX + 4096)
#define READ_CHUNK 65536
#define BACKLOG 256
/* Input that the price of a connection covers, in bytes. */
#define INPUT_FREE_BYTES 16384
#define ADDRESS_MAX 64

/* libtirpc declares xdr_void without arguments. */
static const xdrproc_t rpc_void = (xdrproc_t)(void (*) (void))xdr_void;

typedef struct rpc_conn rpc_conn_t;

typedef struct rpc_call
{
  uint32_t xid; /* key */
  uint32_t proc;
  rpc_conn_t *conn; /* NULL for a datagram */
  net_rpc_t *rpc;
  net_rpc_done_fn done;
  void *arg;
  el_timer_t timer;
  UT_hash_handle hh;
} rpc_call_t;

struct rpc_conn
{
  uv_tcp_t tcp;
  net_rpc_t *rpc;
  unsigned refs;
  int server;
  int open;
  int closing;
  char address[ADDRESS_MAX]; /* key of an outgoing connection */
  el_buf_t in;
  size_t want;     /* length of the record that is incomplete */
  uint64_t held;   /* of the account, for the input */
  el_buf_t unsent; /* written once the connection is established */
  rpc_conn_t *prev;
  rpc_conn_t *next;
  UT_hash_handle hh;
};

struct net_rpc_req
{
  net_rpc_t *rpc;
  rpc_conn_t *conn;        /* NULL for a datagram */
  struct sockaddr_in from; /* sender of a datagram */
  uint32_t xid;
  uint32_t proc;
};

struct net_rpc
{
  net_rpc_options_t options;
  uv_tcp_t listener;
  uv_udp_t datagrams;
  char datagram[READ_CHUNK];
  char chunk[READ_CHUNK]; /* what was just read from a connection */
  rpc_conn_t *clients;    /* outgoing connections, by address */
  rpc_conn_t *conns;      /* all connections */
  rpc_call_t *calls;
  uint32_t next_xid;
  int stopped;
};

typedef struct rpc_datagram
{
  uv_udp_send_t req;
  el_buf_t buf;
} rpc_datagram_t;

typedef struct rpc_write
{
  uv_write_t req;
  el_buf_t buf;
} rpc_write_t;

static void conn_read (uv_stream_t *stream, ssize_t nread,
                       const uv_buf_t *buf);

static void
conn_unref (rpc_conn_t *conn)
{
  if (--conn->refs)
    return;
  el_buf_free (&conn->in);
  el_buf_free (&conn->unsent);
  free (conn);
}

static void
conn_closed (uv_handle_t *handle)
{
  conn_unref (handle->data);
}

static void
call_end (net_rpc_t *rpc, rpc_call_t *call, int ok, int sent, el_str_t body)
{
  HASH_DEL (rpc->calls, call);
  net_clock_cancel (rpc->options.clock, &call->timer);
  call->done (call->arg, ok, sent, body);
  free (call);
}

/* Connections of other hosts are counted, and so is what they have sent of a
   message. */

static el_conn_kind_t
conn_kind (const rpc_conn_t *conn)
{
  return conn->server ? EL_CONN_PEER : EL_CONN_OWN;
}

static void
conn_release (rpc_conn_t *conn)
{
  el_account_t *account = conn->rpc->options.account;

  if (!account)
    return;
  el_account_give (account, EL_HOLD_PEER, conn->held);
  conn->held = 0;
  el_account_conn_give (account, conn_kind (conn));
}

/* Draw what the input of CONN takes from the account. Returns 0 if there is no
   room. */
static int
conn_hold (rpc_conn_t *conn)
{
  el_account_t *account = conn->rpc->options.account;
  uint64_t want = conn->want > INPUT_FREE_BYTES ? conn->want : 0;

  if (!account)
    return 1;
  if (want > conn->held
      && !el_account_take (account, EL_HOLD_PEER, want - conn->held))
    return 0;
  if (want < conn->held)
    el_account_give (account, EL_HOLD_PEER, conn->held - want);
  conn->held = want;
  return 1;
}

/* Close a connection; its calls fail without a reply. */
static void
conn_close (rpc_conn_t *conn)
{
  net_rpc_t *rpc = conn->rpc;
  int sent = conn->open;
  rpc_call_t *call;
  rpc_call_t *next;

  if (conn->closing)
    return;
  conn->closing = 1;
  conn->open = 0;
  conn_release (conn);
  DL_DELETE (rpc->conns, conn);
  if (!conn->server)
    HASH_DELETE (hh, rpc->clients, conn);
  uv_close ((uv_handle_t *)&conn->tcp, conn_closed);
  HASH_ITER (hh, rpc->calls, call, next)
  if (call->conn == conn)
    call_end (rpc, call, 0, sent, (el_str_t){ NULL, 0 });
}

static rpc_conn_t *
conn_new (net_rpc_t *rpc, int server)
{
  rpc_conn_t *conn = el_alloc (sizeof *conn);

  conn->rpc = rpc;
  conn->refs = 1;
  conn->server = server;
  if (rpc->options.account)
    el_account_conn_add (rpc->options.account, conn_kind (conn));
  uv_tcp_init (rpc->options.clock->loop, &conn->tcp);
  conn->tcp.data = conn;
  DL_APPEND (rpc->conns, conn);
  return conn;
}

static void
write_done (uv_write_t *req, int status)
{
  rpc_write_t *write = (rpc_write_t *)req;
  rpc_conn_t *conn = req->handle->data;

  el_buf_free (&write->buf);
  free (write);
  if (status)
    conn_close (conn);
}

/* Write the contents of BUF and take over its memory. */
static void
conn_write (rpc_conn_t *conn, el_buf_t *buf)
{
  rpc_write_t *write = el_alloc (sizeof *write);
  uv_buf_t uv;

  write->buf = *buf;
  *buf = (el_buf_t){ NULL, 0, 0 };
  uv = uv_buf_init (write->buf.ptr, (unsigned)write->buf.len);
  ++*conn->rpc->options.messages;
  *conn->rpc->options.bytes += write->buf.len;
  if (uv_write (&write->req, (uv_stream_t *)&conn->tcp, &uv, 1, write_done))
    {
      el_buf_free (&write->buf);
      free (write);
      conn_close (conn);
    }
}

static void
datagram_done (uv_udp_send_t *req, int status)
{
  rpc_datagram_t *datagram = (rpc_datagram_t *)req;

  (void)status;
  el_buf_free (&datagram->buf);
  free (datagram);
}

/* Send the contents of BUF and take over its memory. A lost datagram is
   noticed by the timeout of its call. */
static void
datagram_write (net_rpc_t *rpc, const struct sockaddr_in *to, el_buf_t *buf)
{
  rpc_datagram_t *datagram = el_alloc (sizeof *datagram);
  uv_buf_t uv;

  datagram->buf = *buf;
  *buf = (el_buf_t){ NULL, 0, 0 };
  uv = uv_buf_init (datagram->buf.ptr, (unsigned)datagram->buf.len);
  ++*rpc->options.messages;
  *rpc->options.bytes += datagram->buf.len;
  if (uv_udp_send (&datagram->req, &rpc->datagrams, &uv, 1,
                   (const struct sockaddr *)to, datagram_done))
    datagram_done (&datagram->req, -1);
}

/* Reject a message that is not from one of our hosts. */
static void
reject (net_rpc_t *rpc, rpc_conn_t *conn)
{
  ++*rpc->options.refused;
  if (conn)
    conn_close (conn);
}

static void
call_receive (net_rpc_t *rpc, rpc_conn_t *conn, const struct sockaddr_in *from,
              XDR *xdr)
{
  char cred[MAX_AUTH_BYTES];
  char verf[MAX_AUTH_BYTES];
  struct rpc_msg msg;
  peer_sealed sealed;
  net_rpc_req_t *req;
  el_str_t body;

  memset (&msg, 0, sizeof msg);
  memset (&sealed, 0, sizeof sealed);
  msg.rm_call.cb_cred.oa_base = cred;
  msg.rm_call.cb_verf.oa_base = verf;
  if (!xdr_callmsg (xdr, &msg) || msg.rm_call.cb_rpcvers != RPC_MSG_VERSION
      || msg.rm_call.cb_prog != ELMARCH_PEER
      || msg.rm_call.cb_vers != ELMARCH_PEER_V1
      || !rpc_wire_read (rpc->options.key, xdr, 'c',
                         (uint32_t)msg.rm_call.cb_proc, msg.rm_xid, &sealed))
    {
      xdr_free ((xdrproc_t)xdr_peer_sealed, (char *)&sealed);
      reject (rpc, conn);
      return;
    }
  req = el_alloc (sizeof *req);
  req->rpc = rpc;
  req->conn = conn;
  if (from)
    req->from = *from;
  req->xid = msg.rm_xid;
  req->proc = (uint32_t)msg.rm_call.cb_proc;
  if (conn)
    conn->refs++;
  body = (el_str_t){ sealed.body.body_val, sealed.body.body_len };
  rpc->options.serve (rpc->options.arg, req, req->proc, body);
  xdr_free ((xdrproc_t)xdr_peer_sealed, (char *)&sealed);
}

static void
reply_receive (net_rpc_t *rpc, rpc_conn_t *conn, XDR *xdr)
{
  char verf[MAX_AUTH_BYTES];
  struct rpc_msg msg;
  peer_sealed sealed;
  rpc_call_t *call = NULL;
  int ok;

  memset (&msg, 0, sizeof msg);
  memset (&sealed, 0, sizeof sealed);
  msg.acpted_rply.ar_verf.oa_base = verf;
  msg.acpted_rply.ar_results.proc = rpc_void;
  ok = xdr_replymsg (xdr, &msg) && msg.rm_reply.rp_stat == MSG_ACCEPTED
       && msg.acpted_rply.ar_stat == SUCCESS;
  if (ok)
    HASH_FIND (hh, rpc->calls, &msg.rm_xid, sizeof call->xid, call);
  if (ok && !call)
    return; /* the call has already ended */
  if (!ok || call->conn != conn
      || !rpc_wire_read (rpc->options.key, xdr, 'r', call->proc, call->xid,
                         &sealed))
    {
      xdr_free ((xdrproc_t)xdr_peer_sealed, (char *)&sealed);
      reject (rpc, conn);
      return;
    }
  call_end (rpc, call, 1, 1,
            (el_str_t){ sealed.body.body_val, sealed.body.body_len });
  xdr_free ((xdrproc_t)xdr_peer_sealed, (char *)&sealed);
}

static void
record_receive (rpc_conn_t *conn, char *bytes, size_t len)
{
  XDR xdr;

  xdrmem_create (&xdr, bytes, (u_int)len, XDR_DECODE);
  if (conn->server)
    call_receive (conn->rpc, conn, NULL, &xdr);
  else
    reply_receive (conn->rpc, conn, &xdr);
  xdr_destroy (&xdr);
}

/* Process all complete records at the start of the input. */
static void
conn_parse (rpc_conn_t *conn)
{
  size_t at = 0;
  uint32_t mark;
  size_t len;

  conn->want = 0;
  while (!conn->closing && conn->in.len - at >= RECORD_MARK_BYTES)
    {
      memcpy (&mark, conn->in.ptr + at, RECORD_MARK_BYTES);
      mark = ntohl (mark);
      len = mark & ~RECORD_LAST_FRAGMENT;
      if (!(mark & RECORD_LAST_FRAGMENT) || len > RECORD_MAX)
        {
          reject (conn->rpc, conn);
          return;
        }
      if (conn->in.len - at - RECORD_MARK_BYTES < len)
        {
          conn->want = RECORD_MARK_BYTES + len;
          break;
        }
      record_receive (conn, conn->in.ptr + at + RECORD_MARK_BYTES, len);
      at += RECORD_MARK_BYTES + len;
    }
  if (conn->closing || at == 0)
    return;
  memmove (conn->in.ptr, conn->in.ptr + at, conn->in.len - at);
  conn->in.len -= at;
  if (!conn->in.len)
    el_buf_free (&conn->in);
}

/* The connection of another host that holds most of a message, apart from
   CONN. */
static rpc_conn_t *
conn_largest (const rpc_conn_t *conn)
{
  rpc_conn_t *found = NULL;
  rpc_conn_t *other;

  DL_FOREACH (conn->rpc->conns, other)
  if (other != conn && other->server && other->held
      && (!found || other->held > found->held))
    found = other;
  return found;
}

/* Makes room for the record that CONN has begun to send. If there is none, the
   connection with the largest one is closed; its host sends it again. */
static int
conn_make_room (rpc_conn_t *conn)
{
  rpc_conn_t *largest;

  while (!conn_hold (conn))
    {
      largest = conn_largest (conn);
      if (!largest || largest->held < conn->want)
        {
          EL_LOG (EL_LOG_WARN, "peer_connection_closed",
                  EL_FC ("reason", "no room for its message"),
                  EL_FN ("bytes", conn->want));
          conn_close (conn);
          return 0;
        }
      EL_LOG (EL_LOG_WARN, "peer_connection_closed",
              EL_FC ("reason", "room for another message"),
              EL_FN ("bytes", largest->in.len));
      conn_close (largest);
    }
  return 1;
}

static void
conn_alloc (uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
  rpc_conn_t *conn = handle->data;

  (void)size;
  *buf = uv_buf_init (conn->rpc->chunk, sizeof conn->rpc->chunk);
}

static void
conn_read (uv_stream_t *stream, ssize_t nread, const uv_buf_t *buf)
{
  rpc_conn_t *conn = stream->data;

  if (nread < 0)
    {
      conn_close (conn);
      return;
    }
  el_buf_add (&conn->in, (el_str_t){ buf->base, (size_t)nread });
  conn->refs++;
  conn_parse (conn);
  if (!conn->closing && conn_make_room (conn))
    {
      if (conn->want > conn->in.len)
        el_buf_reserve (&conn->in, conn->want - conn->in.len);
      DL_DELETE (conn->rpc->conns, conn);
      DL_APPEND (conn->rpc->conns, conn);
    }
  conn_unref (conn);
}

static void
datagram_alloc (uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
  net_rpc_t *rpc = handle->data;

  (void)size;
  *buf = uv_buf_init (rpc->datagram, sizeof rpc->datagram);
}

/* The second word of a message distinguishes calls from replies. */
static void
datagram_read (uv_udp_t *handle, ssize_t nread, const uv_buf_t *buf,
               const struct sockaddr *from, unsigned flags)
{
  net_rpc_t *rpc = handle->data;
  uint32_t words[2];
  XDR xdr;

  (void)flags;
  if (nread <= 0 || !from)
    return;
  if ((size_t)nread < sizeof words)
    {
      reject (rpc, NULL);
      return;
    }
  memcpy (words, buf->base, sizeof words);
  xdrmem_create (&xdr, buf->base, (u_int)nread, XDR_DECODE);
  if (ntohl (words[1]) == CALL)
    call_receive (rpc, NULL, (const struct sockaddr_in *)from, &xdr);
  else
    reply_receive (rpc, NULL, &xdr);
  xdr_destroy (&xdr);
}

/* Closes the connection of another host that was used longest ago. */
static void
server_evict (net_rpc_t *rpc)
{
  rpc_conn_t *conn;

  DL_FOREACH (rpc->conns, conn)
  if (conn->server)
    {
      EL_LOG (EL_LOG_WARN, "peer_connection_closed",
              EL_FC ("reason", "room for another one"));
      conn_close (conn);
      return;
    }
}

static void
server_accept (uv_stream_t *listener, int status)
{
  net_rpc_t *rpc = listener->data;
  const el_account_t *account = rpc->options.account;
  rpc_conn_t *conn;

  if (status)
    return;
  if (account && !el_account_conn_fits (account, EL_CONN_PEER))
    server_evict (rpc);
  conn = conn_new (rpc, 1);
  if (uv_accept (listener, (uv_stream_t *)&conn->tcp))
    {
      conn_close (conn);
      return;
    }
  conn->open = 1;
  uv_tcp_nodelay (&conn->tcp, 1);
  uv_read_start ((uv_stream_t *)&conn->tcp, conn_alloc, conn_read);
}

/** Start listening for other hosts. Returns NULL, with the reason in ERR, when
    the address is not available. */
net_rpc_t *
net_rpc_new (const net_rpc_options_t *options, el_err_t *err)
{
  net_rpc_t *rpc;
  struct sockaddr_in addr;
  int rc;

  if (!net_address_parse (options->listen, &addr))
    {
      el_err_set (err, EL_INVALID, "%.*s: takes ip:port",
                  (int)options->listen.len, options->listen.ptr);
      return NULL;
    }
  rpc = el_alloc (sizeof *rpc);
  rpc->options = *options;
  rpc->next_xid = 1;
  uv_tcp_init (options->clock->loop, &rpc->listener);
  rpc->listener.data = rpc;
  rc = uv_tcp_bind (&rpc->listener, (struct sockaddr *)&addr, 0);
  if (rc == 0)
    rc = uv_listen ((uv_stream_t *)&rpc->listener, BACKLOG, server_accept);
  uv_udp_init (options->clock->loop, &rpc->datagrams);
  rpc->datagrams.data = rpc;
  if (rc == 0)
    rc = uv_udp_bind (&rpc->datagrams, (struct sockaddr *)&addr, 0);
  if (rc == 0)
    rc = uv_udp_recv_start (&rpc->datagrams, datagram_alloc, datagram_read);
  if (rc == 0)
    return rpc;
  el_err_set (err, EL_SYSTEM, "%.*s: %s", (int)options->listen.len,
              options->listen.ptr, uv_strerror (rc));
  uv_close ((uv_handle_t *)&rpc->listener, NULL);
  uv_close ((uv_handle_t *)&rpc->datagrams, NULL);
  return NULL;
}

static void
client_connected (uv_connect_t *req, int status)
{
  rpc_conn_t *conn = req->data;

  free (req);
  if (!conn->closing && status == 0)
    {
      conn->open = 1;
      uv_tcp_nodelay (&conn->tcp, 1);
      uv_read_start ((uv_stream_t *)&conn->tcp, conn_alloc, conn_read);
      conn_write (conn, &conn->unsent);
    }
  else
    conn_close (conn);
  conn_unref (conn);
}

static rpc_conn_t *
conn_get (net_rpc_t *rpc, el_str_t address)
{
  struct sockaddr_in addr;
  uv_connect_t *req;
  rpc_conn_t *conn;

  HASH_FIND (hh, rpc->clients, address.ptr, (unsigned)address.len, conn);
  if (conn)
    return conn;
  if (address.len >= ADDRESS_MAX || !net_address_parse (address, &addr))
    return NULL;
  conn = conn_new (rpc, 0);
  memcpy (conn->address, address.ptr, address.len);
  HASH_ADD_KEYPTR (hh, rpc->clients, conn->address, (unsigned)address.len,
                   conn);
  req = el_alloc (sizeof *req);
  req->data = conn;
  conn->refs++;
  if (uv_tcp_connect (req, &conn->tcp, (struct sockaddr *)&addr,
                      client_connected))
    {
      free (req);
      conn->refs--;
      conn_close (conn);
      return NULL;
    }
  return conn;
}

static void
call_timeout (void *arg, el_time_t now)
{
  rpc_call_t *call = arg;

  (void)now;
  call_end (call->rpc, call, 0, !call->conn || call->conn->open,
            (el_str_t){ NULL, 0 });
}

/* Register a call and encode its message. */
static void
call_begin (net_rpc_t *rpc, const rpc_call_t *template, el_str_t body,
            el_time_t timeout, el_buf_t *record)
{
  rpc_call_t *call = el_alloc (sizeof *call);
  struct rpc_msg msg;

  *call = *template;
  call->rpc = rpc;
  call->xid = rpc->next_xid++;
  call->timer.cb = call_timeout;
  call->timer.arg = call;
  HASH_ADD (hh, rpc->calls, xid, sizeof call->xid, call);
  net_clock_set (rpc->options.clock, &call->timer, timeout);
  memset (&msg, 0, sizeof msg);
  msg.rm_xid = call->xid;
  msg.rm_direction = CALL;
  msg.rm_call.cb_rpcvers = RPC_MSG_VERSION;
  msg.rm_call.cb_prog = ELMARCH_PEER;
  msg.rm_call.cb_vers = ELMARCH_PEER_V1;
  msg.rm_call.cb_proc = call->proc;
  rpc_wire_write (rpc->options.key, record, &msg, call->conn != NULL,
                  call->proc, body);
}

/** Call procedure PROC at ADDRESS over TCP. DONE is called once, within
    TIMEOUT microseconds and possibly before this function returns. */
void
net_rpc_call (net_rpc_t *rpc, el_str_t address, uint32_t proc, el_str_t body,
              el_time_t timeout, net_rpc_done_fn done, void *arg)
{
  rpc_conn_t *conn = rpc->stopped ? NULL : conn_get (rpc, address);
  rpc_call_t template
      = { .proc = proc, .conn = conn, .done = done, .arg = arg };
  el_buf_t record = { NULL, 0, 0 };

  if (!conn)
    {
      done (arg, 0, 0, (el_str_t){ NULL, 0 });
      return;
    }
  call_begin (rpc, &template, body, timeout, &record);
  if (conn->open)
    conn_write (conn, &record);
  else
    {
      el_buf_add (&conn->unsent, el_buf_str (&record));
      el_buf_free (&record);
    }
}

/** As net_rpc_call, but over UDP: for small messages that may be lost. */
void
net_rpc_call_udp (net_rpc_t *rpc, el_str_t address, uint32_t proc,
                  el_str_t body, el_time_t timeout, net_rpc_done_fn done,
                  void *arg)
{
  rpc_call_t template = { .proc = proc, .done = done, .arg = arg };
  el_buf_t record = { NULL, 0, 0 };
  struct sockaddr_in to;

  if (rpc->stopped || !net_address_parse (address, &to))
    {
      done (arg, 0, 0, (el_str_t){ NULL, 0 });
      return;
    }
  call_begin (rpc, &template, body, timeout, &record);
  datagram_write (rpc, &to, &record);
}

/** Send the reply to a call and free REQ. */
void
net_rpc_reply (net_rpc_req_t *req, el_str_t body)
{
  net_rpc_t *rpc = req->rpc;
  rpc_conn_t *conn = req->conn;
  el_buf_t record = { NULL, 0, 0 };
  struct rpc_msg msg;

  memset (&msg, 0, sizeof msg);
  msg.rm_xid = req->xid;
  msg.rm_direction = REPLY;
  msg.rm_reply.rp_stat = MSG_ACCEPTED;
  msg.acpted_rply.ar_stat = SUCCESS;
  msg.acpted_rply.ar_results.proc = rpc_void;
  if (!rpc->stopped && !(conn && conn->closing))
    {
      rpc_wire_write (rpc->options.key, &record, &msg, conn != NULL, req->proc,
                      body);
      if (conn)
        conn_write (conn, &record);
      else
        datagram_write (rpc, &req->from, &record);
    }
  if (conn)
    conn_unref (conn);
  free (req);
}

/** Stop listening and close all connections; outstanding calls fail without a
    reply. */
void
net_rpc_stop (net_rpc_t *rpc)
{
  if (rpc->stopped)
    return;
  rpc->stopped = 1;
  uv_close ((uv_handle_t *)&rpc->listener, NULL);
  uv_close ((uv_handle_t *)&rpc->datagrams, NULL);
  while (rpc->conns)
    conn_close (rpc->conns);
}
