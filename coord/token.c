/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Incarnations and session tokens. A token has the form
 * v1~HTTP~PEER~INCARNATION~SESSION~CUSTOMER~MAC; no field may contain '~'.
 */
#include <inttypes.h>
#include <string.h>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include "coord.h"

#define TOKEN_VERSION EL_STR ("v1")
#define TOKEN_SEP '~'
#define MAC_HEX (2 * CO_MAC_BYTES)

static void
hex_write (const unsigned char *bytes, size_t n, char *out)
{
  static const char digits[] = "0123456789abcdef";
  size_t i;

  for (i = 0; i < n; i++)
    {
      out[2 * i] = digits[bytes[i] >> 4];
      out[2 * i + 1] = digits[bytes[i] & 0xf];
    }
  out[2 * n] = '\0';
}

static int
hex_digit (char c)
{
  if (c >= '0' && c <= '9')
    return c - '0';
  if (c >= 'a' && c <= 'f')
    return c - 'a' + 10;
  return -1;
}

static int
hex_read (el_str_t text, unsigned char *out, size_t n)
{
  size_t i;
  int high;
  int low;

  if (text.len != 2 * n)
    return 0;
  for (i = 0; i < n; i++)
    {
      high = hex_digit (text.ptr[2 * i]);
      low = hex_digit (text.ptr[2 * i + 1]);
      if (high < 0 || low < 0)
        return 0;
      out[i] = (unsigned char)(high << 4 | low);
    }
  return 1;
}

void
co_incarnation_hex (const co_incarnation_t *inc,
                    char out[CO_INCARNATION_HEX + 1])
{
  hex_write (inc->byte, CO_INCARNATION_BYTES, out);
}

int
co_incarnation_eq (const co_incarnation_t *a, const co_incarnation_t *b)
{
  return memcmp (a->byte, b->byte, CO_INCARNATION_BYTES) == 0;
}

/** HMAC-SHA-256 of DATA under KEY. */
void
co_mac (el_str_t key, el_str_t data, unsigned char out[CO_MAC_BYTES])
{
  HMAC (EVP_sha256 (), key.ptr, (int)key.len, (const unsigned char *)data.ptr,
        data.len, out, NULL);
}

/** Compare two authentication codes in constant time. */
int
co_mac_eq (const unsigned char *a, const unsigned char *b)
{
  return CRYPTO_memcmp (a, b, CO_MAC_BYTES) == 0;
}

/** Append the text of TOKEN, authenticated with KEY, to OUT. */
void
co_token_write (el_buf_t *out, const co_token_t *token, el_str_t key)
{
  size_t start = out->len;
  char inc[CO_INCARNATION_HEX + 1];
  char hex[MAC_HEX + 1];
  unsigned char mac[CO_MAC_BYTES];

  co_incarnation_hex (&token->home, inc);
  el_buf_printf (out, "v1~%.*s~%.*s~%s~%" PRIu64 "~%.*s~",
                 (int)token->http.len, token->http.ptr, (int)token->peer.len,
                 token->peer.ptr, inc, token->session,
                 (int)token->customer.len, token->customer.ptr);
  co_mac (key, el_str_after (el_buf_str (out), start), mac);
  hex_write (mac, CO_MAC_BYTES, hex);
  el_buf_add (out, el_str (hex));
}

/** Parse and verify a token; its strings point into TEXT. EL_DENIED when the
    authentication code does not match, EL_INVALID when TEXT is malformed. */
el_status_t
co_token_read (el_str_t text, el_str_t key, co_token_t *out, el_err_t *err)
{
  unsigned char mac[CO_MAC_BYTES];
  unsigned char expected[CO_MAC_BYTES];
  el_str_t rest = text;
  el_str_t signed_part;

  if (text.len > CO_TOKEN_MAX || text.len <= MAC_HEX)
    return el_err_set (err, EL_INVALID, "session token: wrong length");
  signed_part = (el_str_t){ text.ptr, text.len - MAC_HEX };
  if (!hex_read (el_str_after (text, signed_part.len), mac, CO_MAC_BYTES))
    return el_err_set (err, EL_INVALID, "session token: no code at its end");
  co_mac (key, signed_part, expected);
  if (!co_mac_eq (mac, expected))
    return el_err_set (err, EL_DENIED, "session token: not issued here");
  if (!el_str_eq (el_str_cut (&rest, TOKEN_SEP), TOKEN_VERSION))
    return el_err_set (err, EL_INVALID, "session token: unknown version");
  out->http = el_str_cut (&rest, TOKEN_SEP);
  out->peer = el_str_cut (&rest, TOKEN_SEP);
  if (!hex_read (el_str_cut (&rest, TOKEN_SEP), out->home.byte,
                 CO_INCARNATION_BYTES)
      || !el_str_to_u64 (el_str_cut (&rest, TOKEN_SEP), &out->session))
    return el_err_set (err, EL_INVALID, "session token: bad field");
  out->customer = el_str_cut (&rest, TOKEN_SEP);
  return EL_OK;
}

/** Return the key of a token's session. */
co_session_t
co_token_session (const co_token_t *token)
{
  return (co_session_t){ token->home, token->session };
}
