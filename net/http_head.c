/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Heads of responses to the HTTP/1.1 client: headers as http_parser finds
 * them, whether a head can be that of a response, and to which request it
 * belongs.
 */
#include "libnet.h"

/* What a header takes beside its text: an entry, one that the array may hold
   unused, and two allocated blocks. */
#define HEADER_OVERHEAD (2 * sizeof (net_header_t) + 2 * 32)
#define HEADERS_FIRST_CAP 16
#define IDLE_MAX (20 * EL_SEC)
/* A connection is closed this long before the endpoint would close it. */
#define IDLE_MARGIN (400 * EL_MSEC)

/** Begins a response, an interim one too. */
int
net_head_begin (http_parser *parser)
{
  net_conn_t *conn = parser->data;

  if (!conn->exchange)
    return -1;
  net_exchange_clear_headers (conn->exchange);
  conn->exchange->headers_size = 0;
  conn->exchange->in_value = 0;
  el_buf_reset (&conn->exchange->name);
  el_buf_reset (&conn->exchange->value);
  return 0;
}

static void
header_finish (net_exchange_t *ex)
{
  net_header_t *header;

  if (!ex->in_value)
    return;
  if (ex->nheaders == ex->cap_headers)
    {
      ex->cap_headers
          = ex->cap_headers ? 2 * ex->cap_headers : HEADERS_FIRST_CAP;
      ex->headers
          = el_grow (ex->headers, ex->cap_headers, sizeof *ex->headers);
    }
  header = &ex->headers[ex->nheaders++];
  header->name = el_str_dup (el_buf_str (&ex->name));
  header->value = el_str_dup (el_buf_str (&ex->value));
  el_buf_reset (&ex->name);
  el_buf_reset (&ex->value);
  ex->in_value = 0;
}

/** Adds a part of a header's name. */
int
net_head_field (http_parser *parser, const char *at, size_t len)
{
  net_exchange_t *ex = ((net_conn_t *)parser->data)->exchange;

  header_finish (ex);
  ex->headers_size += len + (ex->name.len ? 0 : HEADER_OVERHEAD);
  el_buf_add (&ex->name, (el_str_t){ at, len });
  return 0;
}

/** Adds a part of a header's value. */
int
net_head_value (http_parser *parser, const char *at, size_t len)
{
  net_exchange_t *ex = ((net_conn_t *)parser->data)->exchange;

  ex->headers_size += len;
  ex->in_value = 1;
  el_buf_add (&ex->value, (el_str_t){ at, len });
  return 0;
}

/* Parse a Keep-Alive header. Returns for how long to keep an idle connection:
   the endpoint's "timeout=SECONDS" less the margin. */
static el_time_t
keep_alive_parse (el_str_t value)
{
  el_str_t part;
  uint64_t seconds;
  el_time_t keep;

  while (value.len)
    {
      part = el_str_cut (&value, ',');
      while (part.len && *part.ptr == ' ')
        part = el_str_after (part, 1);
      if (!el_str_starts_with (part, EL_STR ("timeout=")))
        continue;
      if (!el_str_to_u64 (el_str_after (part, 8), &seconds))
        break;
      keep = seconds * EL_SEC;
      if (keep > IDLE_MAX)
        keep = IDLE_MAX;
      return keep > IDLE_MARGIN ? keep - IDLE_MARGIN : 0;
    }
  return NET_IDLE_DEFAULT;
}

/* Whether the response HEAD belongs to another request. */
static int
head_is_crossed (const net_exchange_t *ex, const net_result_t *head)
{
  el_str_t id;

  if (!ex->id_header)
    return 0;
  id = net_result_header (head, ex->id_header);
  return id.len ? !el_str_eq (id, ex->id) : ex->id_required && ex->id.len;
}

static int
head_has_no_body (const net_exchange_t *ex)
{
  return ex->is_head || ex->status == 204 || ex->status == 304;
}

/* A body whose length is known is drawn from the account at once, so that it
   does not stop midway. */
static void
exchange_announce (net_exchange_t *ex, const http_parser *parser)
{
  ex->announced
      = !(parser->flags & F_CHUNKED) && parser->content_length != ULLONG_MAX;
  if (!ex->keeps_body || !ex->announced || head_has_no_body (ex))
    return;
  ex->part = parser->content_length < ex->max_response ? parser->content_length
                                                       : ex->max_response;
}

/* Whether the head can be that of a response: it is of this version of HTTP
   and its status one of HTTP's, no other protocol was asked for, and an
   interim response has no body. */
static int
head_is_valid (const http_parser *parser)
{
  if (parser->http_major != 1 || parser->status_code < 100
      || parser->status_code >= 600 || parser->status_code == 101)
    return 0;
  return parser->status_code >= 200
         || (!(parser->flags & F_CHUNKED)
             && (parser->content_length == 0
                 || parser->content_length == ULLONG_MAX));
}

/** Ends a head. Returns 1 if the response has no body, -1 if it is not one to
    the request. */
int
net_head_complete (http_parser *parser)
{
  net_conn_t *conn = parser->data;
  net_exchange_t *ex = conn->exchange;
  net_result_t result;

  header_finish (ex);
  ex->status = (int)parser->status_code;
  if (!head_is_valid (parser))
    {
      conn->client->counts.invalid++;
      EL_LOG (EL_LOG_WARN, "answer_invalid",
              EL_FC ("address", conn->pool->address),
              EL_FN ("status", ex->status),
              EL_FN ("http", parser->http_major));
      return -1;
    }
  if (ex->status < 200)
    return 0;
  result = (net_result_t){ .status = ex->status,
                           .headers = ex->headers,
                           .nheaders = ex->nheaders };
  if (head_is_crossed (ex, &result))
    {
      conn->client->counts.crossed++;
      net_exchange_fail (ex, NET_CROSSED);
      return -1;
    }
  conn->keep = keep_alive_parse (net_result_header (&result, "keep-alive"));
  ex->head_received = 1;
  if (ex->head)
    ex->head (ex->arg, &result);
  if (conn->exchange != ex)
    return -1;
  exchange_announce (ex, parser);
  return head_has_no_body (ex);
}
