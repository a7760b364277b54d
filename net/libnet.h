/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Shared by the files of the package. Of the server: net/http_server.c has
 * requests and their responses, net/http_intake.c what callers send, and
 * net/http_refuse.c responses to requests that are not read to their end. Of
 * the client: a request is an exchange, which net/http_client.c starts and
 * ends and net/http_conn.c transfers.
 */
#ifndef ELMARCH_LIBNET_H
#define ELMARCH_LIBNET_H

#include <netinet/in.h>

#include <http_parser.h>

#include "map.h"
#include "net.h"

/** Size of an ip:port address with its NUL; the longest takes 22 bytes. */
#define NET_ADDRESS_MAX 32
#define NET_READ_BYTES 65536

/* Server. */

typedef struct net_caller net_caller_t;
typedef struct net_linger net_linger_t;
typedef struct server_watch server_watch_t;

/** Longest body that is copied while its request is processed. A longer one
    stays in the input, so that its connection is not read. */
#define NET_COPIED_BODY_MAX 8192

/** Intervals at which bodies that wait for room, connections that are not
   read, and responses that are not read are looked at. */
#define NET_WAIT_POLL_MS 50
#define NET_BLIND_POLL_MS 100
#define NET_UNREAD_POLL_MS 250
/** While others wait for room, a body arrives at this rate at least, and a
   part of a response is read within the time. */
#define NET_RATE_BYTES 16384
#define NET_RATE_MS 1000

/** What a caller's connection is doing. */
typedef enum net_phase
{
  NET_RESTING, /**< between two requests */
  NET_HEAD,    /**< a head is incomplete */
  NET_BODY,    /**< a body is incomplete; there is room for all of it */
  NET_WAITING, /**< not read, until there is room for a body */
  NET_SERVING, /**< a request is processed or its response is sent */
  NET_HTTP2,
  NET_PHASES
} net_phase_t;

/** A caller's connection. */
struct net_caller
{
  uv_tcp_t tcp;
  net_server_t *server;
  h2o_socket_t *sock; /**< NULL once it is closed */
  h2o_socket_cb read; /**< the library's, called by caller_read */
  net_phase_t phase;
  uint64_t since_ms; /**< when it entered its phase or last made progress */
  uint64_t taken_ms; /**< when some of its responses was last taken */
  uint64_t began_ms; /**< when the first byte of its request arrived */
  uint64_t mark_ms;  /**< when the rate of its body was last looked at */
  size_t mark;       /**< bytes that it had sent then */
  size_t unsent;     /**< bytes of responses at the last look */
  size_t head_len;   /**< of the request that is read; 0: not known */
  size_t body_len;   /**< announced, or the longest that is allowed */
  size_t http2_sent; /**< bytes, without the bodies of requests that ended */
  uint64_t held[EL_HOLD_KINDS];
  unsigned requests; /**< number being served */
  int blind;         /**< is not read while its request is processed */
  int unsettled;     /**< in the server's list of such connections */
  server_watch_t *watch;
  net_caller_t *prev;
  net_caller_t *next;
  net_caller_t *next_unsettled;
};

struct net_server
{
  net_server_options_t options;
  net_clock_t clock;
  uv_tcp_t listener;
  uv_prepare_t settle;
  el_timer_t sweep;
  uint64_t sweep_ms; /**< when it is due */
  h2o_globalconf_t config;
  h2o_context_t context;
  h2o_accept_ctx_t accept;
  net_limits_t limits;
  uint64_t phase_ms[NET_PHASES]; /**< time after which a connection in a phase
                                    is looked at; 0: none */
  net_server_counts_t own_counts;
  net_server_counts_t *counts;
  net_caller_t *callers[NET_PHASES]; /**< by phase, the oldest first */
  net_caller_t *unsettled;
  size_t nblind;
  size_t nunread; /**< connections that hold a response */
  net_linger_t *lingers;
  uint64_t log_ms;
  unsigned log_lines;
  uint64_t log_suppressed;
  int stopped;
};

/* http_caller.c */
uint64_t net_server_now (const net_server_t *server);
int net_server_has_room (const net_server_t *server);
net_caller_t *net_caller_of (const h2o_req_t *req);
void net_caller_wake (net_server_t *server, uint64_t wait_ms);
void net_caller_enter (net_caller_t *caller, net_phase_t phase);
int net_caller_hold (net_caller_t *caller, el_hold_t kind, uint64_t bytes);
void net_caller_hold_answer (net_caller_t *caller, uint64_t bytes);
void net_caller_add_answer (net_caller_t *caller, uint64_t bytes);
void net_caller_release (net_caller_t *caller);
void net_caller_close (net_caller_t *caller, const char *reason);
void net_caller_begin (net_caller_t *caller, h2o_req_t *req);
void net_caller_end (net_caller_t *caller, size_t length);
void net_caller_watch (net_caller_t *caller, server_watch_t *watch);
void net_ahead_read (h2o_socket_t *sock, const char *err);

/* http_intake.c */
void net_intake_accept (net_server_t *server, net_caller_t *caller);
void net_intake_settle (net_caller_t *caller);
int net_intake_hold_long (net_caller_t *caller);
void net_intake_resume (net_caller_t *caller);
int net_refuse_room (net_caller_t *caller, const char *reason);

/* http_room.c */
int net_reclaim_conn (net_server_t *server);
int net_reclaim_body (net_server_t *server);
void net_refuse_slow (net_caller_t *caller, const char *reason);
void net_close_unread (net_server_t *server, net_phase_t phase,
                       uint64_t limit_ms);

/* http_sweep.c */
void net_sweep_open (net_server_t *server);
void net_sweep_set_limits (net_server_t *server);
uint64_t net_unread_interval (const net_server_t *server);

/* http_refuse.c */
void net_refuse (net_caller_t *caller, int status, const char *reason);
void net_refuse_log (net_server_t *server, const net_caller_t *caller,
                     const char *event, int status, const char *reason);
int net_refuse_close_oldest (net_server_t *server);
uint64_t net_refuse_sweep (net_server_t *server, uint64_t now_ms);

/* http_server.c */
void net_watch_gone (server_watch_t *watch, h2o_socket_t *sock);

/* Client. */

typedef struct net_conn net_conn_t;

/** The connections to one address. */
typedef struct net_pool
{
  char address[NET_ADDRESS_MAX];
  struct sockaddr_in addr;
  net_conn_t *idle; /**< most recently used first */
  UT_hash_handle hh;
} net_pool_t;

/** A connection; its exchange is NULL while it is idle or closing. */
struct net_conn
{
  uv_tcp_t tcp;
  uv_connect_t connect;
  net_client_t *client;
  net_pool_t *pool;
  net_exchange_t *exchange;
  http_parser parser;
  el_timer_t idle; /**< idle timeout; while connecting, connect timeout */
  el_time_t idle_since;
  el_time_t keep; /**< idle time that the endpoint allows */
  uint64_t number;
  uint64_t sent; /**< requests sent on it */
  uint64_t *ids; /**< hashes of their ids */
  size_t nids;
  unsigned writing; /**< number of pending writes */
  int pooled;       /**< in the pool's list of idle connections */
  int closing;
  net_conn_t *prev;
  net_conn_t *next;
  net_conn_t *idle_prev; /**< among those of all pools */
  net_conn_t *idle_next;
};

struct net_client
{
  net_clock_t *clock;
  net_pool_t *pools;
  net_exchange_t *open; /**< exchanges that have not ended */
  el_account_t *account;
  net_conn_t *idle; /**< idle connections, the one idle for longest first */
  el_timer_t room;  /**< looks whether there is room for what waits */
  size_t waiting;   /**< exchanges that wait for room */
  net_client_counts_t counts;
  char read[NET_READ_BYTES];
};

/* Idle time when the endpoint does not specify a whole number of seconds: it
   may close the connection at any moment. */
#define NET_IDLE_DEFAULT (500 * EL_MSEC)

struct net_exchange
{
  net_client_t *client;
  net_conn_t *conn;
  net_result_cb done;
  int (*allow) (void *arg);
  net_head_cb head;
  net_body_part_cb body_part;
  void (*on_cancel) (void *arg);
  void *arg;
  size_t max_response;
  const char *id_header;
  el_str_t id; /**< owned */
  int id_required;
  uint64_t conn_number;
  uint64_t carried; /**< requests that the connection carried before */
  int is_head;
  int sent;
  unsigned interim;  /**< number of 1xx responses */
  int head_received; /**< the response's header was passed on */
  int complete;
  int by_close; /**< the end of the connection ended the response */
  int stalled;  /**< its timeout was extended as the process was stalled */
  int status;
  el_buf_t request;
  net_header_t *headers;
  size_t nheaders;
  size_t cap_headers;
  int in_value; /**< the last header part was a value */
  el_buf_t name;
  el_buf_t value;
  el_buf_t body;
  int keeps_body;
  size_t headers_size; /**< in bytes, with what each header takes */
  int announced;       /**< the body's length is known */
  int waiting;         /**< not read until there is room for it */
  uint64_t part;       /**< bytes of the body that are kept */
  uint64_t held;       /**< bytes drawn from the account */
  el_timer_t timer;
  net_exchange_t *prev;
  net_exchange_t *next;
};

void net_exchange_end (net_exchange_t *ex, net_outcome_t net);
void net_exchange_fail (net_exchange_t *ex, net_outcome_t net);
void net_exchange_fail_connect (net_exchange_t *ex);
void net_exchange_clear_headers (net_exchange_t *ex);

void net_conn_open (net_pool_t *pool, net_exchange_t *ex);
void net_conn_begin (net_conn_t *conn, net_exchange_t *ex);
void net_conn_close (net_conn_t *conn);
void net_conn_take_idle (net_conn_t *conn);
void net_conn_resume (net_conn_t *conn);
int net_exchange_hold (net_exchange_t *ex);
void net_exchange_wait (net_exchange_t *ex);
int net_conn_has_carried (const net_conn_t *conn, el_str_t id);

/* The head of a response, as http_parser finds it: http_head.c. */
int net_head_begin (http_parser *parser);
int net_head_field (http_parser *parser, const char *at, size_t len);
int net_head_value (http_parser *parser, const char *at, size_t len);
int net_head_complete (http_parser *parser);

#endif
