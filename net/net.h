/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * HTTP by h2o on libuv: a server, a client, and the clock that drives their
 * timers and those of the rest of the process.
 */
#ifndef ELMARCH_NET_H
#define ELMARCH_NET_H

#include <h2o.h>

#include "base.h"

/** The process's clock: runs timers from libuv's event loop. */
typedef struct net_clock
{
  uv_loop_t *loop;
  el_timers_t timers;
  uv_timer_t driver;
  /** Returns the due time of events that are not timers; may be NULL. */
  el_time_t (*next) (void *arg);
  /** Called each time that the driver fires, after the timers; may be
      NULL. */
  void (*fire) (void *arg, el_time_t now);
  void *arg;
  el_time_t expected;     /**< when the driver is to fire; 0: not */
  el_time_t stalled_from; /**< start of the last stall of the process */
  el_time_t stalled_to;   /**< its end; 0: there was none */
} net_clock_t;

void net_clock_init (net_clock_t *clock, uv_loop_t *loop);
el_time_t net_clock_now (const net_clock_t *clock);
void net_clock_arm (net_clock_t *clock);
int net_clock_has_stalled (net_clock_t *clock, el_time_t least,
                           el_time_t within);
void net_clock_set (net_clock_t *clock, el_timer_t *timer, el_time_t wait);
void net_clock_cancel (net_clock_t *clock, el_timer_t *timer);

int net_address_parse (el_str_t text, struct sockaddr_in *out);
int net_address_valid (el_str_t address);

/* Server. */

/** How often a long body is held at a time: by the input of its connection,
   and by the sends of an attempt and of its standby. */
#define NET_BODY_COPIES 3

typedef struct net_server net_server_t;

/** Limits on what callers send. */
typedef struct net_limits
{
  size_t head; /**< bytes of a request's head; more is answered with 431 */
  size_t body; /**< bytes of a body; more is answered with 413 */
  uint64_t head_ms; /**< time that a head may take */
  uint64_t idle_ms; /**< longest rest between two requests, and longest pause
                       within one */
} net_limits_t;

/** Counters of the servers of a process. */
typedef struct net_server_counts
{
  uint64_t refused_head;  /**< requests whose head was too long */
  uint64_t refused_body;  /**< requests whose body was too long */
  uint64_t refused_slow;  /**< requests that took too long to arrive */
  uint64_t refused_room;  /**< requests refused for want of room */
  uint64_t waited;        /**< bodies that waited for room */
  uint64_t paused;        /**< connections not read while a request is
                             processed, as they sent much ahead */
  uint64_t unread;        /**< connections closed as their response was not
                             read */
  uint64_t evicted;       /**< connections closed to make room for others */
  uint64_t turned_away;   /**< connections closed at once for want of room */
  uint64_t refused_http2; /**< HTTP/2 connections closed for want of room */
} net_server_counts_t;

typedef struct net_server_options
{
  uv_loop_t *loop;
  el_str_t address; /**< ip:port; port 0 picks a free port */
  size_t max_body;  /**< maximum body size in bytes; a longer body is answered
                       with 413 */
  uint64_t idle_ms; /**< idle timeout of connections; 0: 10 s */
  int http2;        /**< whether HTTP/2 is spoken as well */
  el_account_t *account; /**< what the process holds; NULL: not limited */
  el_conn_kind_t kind;   /**< of its connections in the account */
  net_server_counts_t *counts; /**< shared by the servers; NULL: none */
  void (*handle) (void *arg, h2o_req_t *req);
  void *arg;
} net_server_options_t;

net_server_t *net_server_new (const net_server_options_t *options,
                              el_err_t *err);
unsigned net_server_port (const net_server_t *server);
void net_server_stop (net_server_t *server);
void net_server_drain_connections (net_server_t *server);
void net_server_set_limits (net_server_t *server, const net_limits_t *limits);

typedef void (*net_req_watch_cb) (void *arg, int freed);
void net_req_watch (h2o_req_t *req, net_req_watch_cb on_gone, void *arg);
void net_req_abort (h2o_req_t *req);
void net_req_hold_answer (h2o_req_t *req, size_t bytes);
int net_req_has_room (const h2o_req_t *req);
const char *net_status_reason (int status);

el_str_t net_req_method (const h2o_req_t *req);
el_str_t net_req_path (const h2o_req_t *req);
int net_req_query (const h2o_req_t *req, el_str_t name, el_str_t *value);
el_str_t net_req_header (const h2o_req_t *req, const char *name);
el_str_t net_req_body (const h2o_req_t *req);
void net_req_add_header (h2o_req_t *req, el_str_t name, el_str_t value);
void net_req_reply (h2o_req_t *req, int status, el_str_t type, el_str_t body);

/* Client. */

typedef struct net_client net_client_t;
typedef struct net_exchange net_exchange_t;

/** Outcome of an exchange. */
typedef enum net_outcome
{
  NET_OK,              /**< a complete response arrived */
  NET_CONNECT_FAILED,  /**< connecting failed: nothing was sent */
  NET_CONNECT_REFUSED, /**< connection refused: nothing was sent */
  NET_CONNECTION_LOST, /**< connection lost: the request may have been sent,
                          but there is no complete response */
  NET_TIMEOUT,         /**< timed out: as NET_CONNECTION_LOST */
  NET_WITHHELD,        /**< withheld by the caller: nothing was sent */
  NET_TOO_BIG,         /**< the response's body is too long: as
                          NET_CONNECTION_LOST */
  NET_CROSSED          /**< a response with another id: as
                          NET_CONNECTION_LOST */
} net_outcome_t;

typedef struct net_header
{
  el_str_t name;
  el_str_t value;
} net_header_t;

/** The result of an exchange; strings are valid during the callback only. */
typedef struct net_result
{
  net_outcome_t net;    /**< outcome on the network, apart from the status */
  el_verdict_t verdict; /**< for this exchange only */
  int status;
  int by_close;     /**< the response has neither a length nor chunks: a clean
                       close of the connection ended it */
  uint64_t conn;    /**< number of the connection; 0: there was none */
  uint64_t carried; /**< requests that it carried before */
  const net_header_t *headers;
  size_t nheaders;
  el_str_t body;
} net_result_t;

typedef void (*net_result_cb) (void *arg, const net_result_t *result);
typedef void (*net_head_cb) (void *arg, const net_result_t *head);
/** Takes a part of the body. Returns 0 if it can't take it: the exchange ends
    with NET_TOO_BIG. */
typedef int (*net_body_part_cb) (void *arg, el_str_t bytes);

typedef struct net_request
{
  el_str_t address; /**< ip:port */
  el_str_t host;    /**< the Host header; the address if empty */
  el_str_t method;
  el_str_t path;
  const net_header_t *headers;
  size_t nheaders;
  el_str_t body;
  const char *id_header; /**< header of a response that names its request, in
                            lower case; NULL: not looked at */
  el_str_t id;           /**< the id it has to name. A request is sent only on
                            a connection that has not carried its id: a surplus
                            response to the former one could not be told from
                            this one's. Empty: a response must name none */
  int id_required;       /**< a response without an id is another's */
  int new_connection;    /**< use a new connection, do not reuse one */
  el_time_t max_idle;    /**< longest idle time of a reused connection; 0 is
                            any */
  el_time_t timeout;     /**< in microseconds; 0 is none */
  size_t max_response; /**< maximum size of the response's body in bytes; 0 is
                          the client's default */
  int keeps_body; /**< the body is for a caller and kept until it is whole: it
                       is read as there is room for it */
  int (*allow) (void *arg); /**< called before sending on a new connection; 0
                               withholds the request; may be NULL */
  net_head_cb head;         /**< called with status and headers; may be NULL */
  net_body_part_cb body_part; /**< called with each part of the body, which is
                                 not collected then; may be NULL */
  net_result_cb done; /**< called once unless the exchange is cancelled, and
                         never before net_client_send has returned */
  void (*on_cancel) (void *arg); /**< called instead of done when the exchange
                                    is cancelled; may be NULL */
  void *arg;
} net_request_t;

/** Counters of a client. */
typedef struct net_client_counts
{
  uint64_t requests;
  uint64_t opened;   /**< connections opened */
  uint64_t retired;  /**< connections closed after as many requests as they
                        remember */
  uint64_t crossed;  /**< responses with another id */
  uint64_t invalid;  /**< heads that no response can have */
  uint64_t too_long; /**< responses longer than their limit */
  uint64_t surplus;  /**< connections closed because of bytes that belong to no
                        request */
  uint64_t waited;   /**< responses whose reading waited for room */
  uint64_t evicted;  /**< idle connections closed to make room for others */
} net_client_counts_t;

net_client_t *net_client_new (net_clock_t *clock);
void net_client_set_account (net_client_t *client, el_account_t *account);
net_exchange_t *net_client_send (net_client_t *client,
                                 const net_request_t *request);
const net_client_counts_t *net_client_counts (const net_client_t *client);
void net_client_cancel (net_exchange_t *exchange);
void net_exchange_keep_body (net_exchange_t *exchange);
void net_exchange_set_kept (net_exchange_t *exchange, uint64_t length);
void net_exchange_set_callbacks (net_exchange_t *exchange, net_head_cb head,
                                 net_body_part_cb body_part,
                                 net_result_cb done);
int net_exchange_is_sent (const net_exchange_t *exchange);
int net_header_is (const net_header_t *header, el_str_t name);
el_str_t net_result_header (const net_result_t *result, const char *name);
void net_result_copy (const net_result_t *result, net_result_t *out);
void net_result_free (net_result_t *result);

#endif
