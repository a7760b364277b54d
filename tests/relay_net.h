/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * A relay under test on one loop with its callers and with peers, which stand
 * for endpoints or other hosts and answer with the bytes that a test chooses.
 */
#ifndef ELMARCH_RELAY_NET_H
#define ELMARCH_RELAY_NET_H

#include "librelay.h"

#define PEER_ID_MAX 32
#define RELAY_NET_HELPERS 4

typedef struct peer peer_t;

/* A connection to a peer, with the request that it serves. */
typedef struct peer_conn
{
  uv_tcp_t tcp;
  peer_t *peer;
  el_buf_t in;
  char id[PEER_ID_MAX];      /* of the request */
  el_str_t head;             /* of the request; valid in the peer's serve */
  el_timer_t timer;          /* for the peer's use */
  unsigned step;             /* the same */
  char surplus[PEER_ID_MAX]; /* the same */
  int closing;
  struct peer_conn *prev;
  struct peer_conn *next;
} peer_conn_t;

/* A server that calls SERVE for each request. Zero it before first use. */
struct peer
{
  uv_tcp_t tcp;
  char address[32];
  void (*serve) (peer_conn_t *conn);
  void *arg;
  /* Body of answers to reports; NULL: the usual one. */
  const char *report;
  /* Answers reports without end; NULL: it does not. */
  const char *report_flood;
  int silent; /* reports get no answer */
  int lost;   /* as a host: not live */
  unsigned connections;
  unsigned requests; /* reports not counted */
  size_t sent;       /* bytes written by peer_flood */
  unsigned floods;   /* that have not ended */
  peer_conn_t *conns;
};

/* A caller's request. */
typedef struct net_call
{
  char id[PEER_ID_MAX];
  net_exchange_t *exchange; /* NULL once it has ended */
  net_outcome_t net;
  uint64_t conn;
  int status;
  int by_close;
  int sealed;
  double retry_after;
  el_buf_t body;
} net_call_t;

typedef struct relay_net
{
  uv_loop_t loop;
  net_clock_t clock;
  net_client_t *callers;
  gt_relays_t *relays;
  const peer_t *helpers[RELAY_NET_HELPERS];
  size_t nhelpers;
} relay_net_t;

extern relay_net_t rnet;

void relay_net_setup (const gt_relay_options_t *options, const char *rules);
rt_target_t *relay_net_add_part (const peer_t *peer, const char *id,
                                 const char *service, unsigned from,
                                 unsigned end);
rt_target_t *relay_net_add (const peer_t *peer, const char *id,
                            const char *service, unsigned end);
void relay_net_run (el_time_t span);
void relay_net_run_once (void);
size_t relay_net_heap (void);

void peer_open (peer_t *peer);
void peer_close (peer_t *peer);
void peer_write (peer_conn_t *conn, const char *bytes, size_t len);
void peer_printf (peer_conn_t *conn, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
void peer_flood (peer_conn_t *conn, const char *pattern);
void peer_end (peer_conn_t *conn);
void peer_after (peer_conn_t *conn, el_time_t wait, el_timer_cb cb);
void peer_refuse (peer_conn_t *conn);
void peer_stream_head (peer_conn_t *conn);
void peer_event (peer_conn_t *conn, unsigned id);
void peer_stream_end (peer_conn_t *conn);

void call_send_headers (net_call_t *call, const char *method, const char *path,
                        const net_header_t *headers, size_t nheaders);
void call_send (net_call_t *call, const char *id, const char *method,
                const char *path);
void call_send_to (net_call_t *call, net_client_t *client, const char *address,
                   const char *id);
int call_open (const char *id, const char *path);
void call_leave (net_call_t *call);
void call_wait (net_call_t *call);
void call_free (net_call_t *call);

#endif
