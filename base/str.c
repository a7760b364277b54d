/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Counted strings and growable buffers.
 */
#include <errno.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "base.h"

#define BUF_FIRST_CAP 64
#define U64_DIGITS_MAX 20
#define DECIMAL 10

/** Allocate zeroed memory; aborts when out of memory. */
void *
el_alloc (size_t size)
{
  void *ptr = calloc (1, size ? size : 1);

  if (!ptr)
    abort ();
  return ptr;
}

/** Resize an array to COUNT items of SIZE bytes each; aborts when out of
    memory. */
void *
el_grow (void *ptr, size_t count, size_t size)
{
  void *grown = reallocarray (ptr, count ? count : 1, size);

  if (!grown)
    abort ();
  return grown;
}

/** Make a counted string of a C string; NULL gives the empty string. */
el_str_t
el_str (const char *cstr)
{
  return (el_str_t){ cstr, cstr ? strlen (cstr) : 0 };
}

int
el_str_eq (el_str_t a, el_str_t b)
{
  return a.len == b.len && (a.len == 0 || memcmp (a.ptr, b.ptr, a.len) == 0);
}

int
el_str_starts_with (el_str_t s, el_str_t prefix)
{
  return s.len >= prefix.len
         && el_str_eq ((el_str_t){ s.ptr, prefix.len }, prefix);
}

/** Return S without its first N bytes; N is at most the length. */
el_str_t
el_str_after (el_str_t s, size_t n)
{
  return (el_str_t){ s.ptr + n, s.len - n };
}

/** Return the part of REST before SEP, and remove it and SEP from REST;
    without SEP, all of REST is returned. */
el_str_t
el_str_cut (el_str_t *rest, char sep)
{
  const char *at = rest->len ? memchr (rest->ptr, sep, rest->len) : NULL;
  el_str_t part = *rest;

  if (!at)
    {
      *rest = (el_str_t){ NULL, 0 };
      return part;
    }
  part.len = (size_t)(at - rest->ptr);
  *rest = el_str_after (*rest, part.len + 1);
  return part;
}

/** Parse a decimal number; returns 0 when S is not one. */
int
el_str_to_u64 (el_str_t s, uint64_t *out)
{
  char text[U64_DIGITS_MAX + 1];
  char *end;

  if (s.len == 0 || s.len > U64_DIGITS_MAX || s.ptr[0] < '0' || s.ptr[0] > '9')
    return 0;
  memcpy (text, s.ptr, s.len);
  text[s.len] = '\0';
  errno = 0;
  *out = strtoull (text, &end, DECIMAL);
  return errno == 0 && *end == '\0';
}

/** Parse a number of seconds, with an optional decimal fraction; a value above
    MAX is reduced to it. Returns 0 when S is not such a number. */
int
el_str_to_time (el_str_t s, el_time_t max, el_time_t *out)
{
  el_time_t unit = EL_SEC;
  int point = 0;
  size_t i;

  *out = 0;
  for (i = 0; i < s.len; i++)
    {
      el_time_t digit = (el_time_t)(s.ptr[i] - '0');

      if (s.ptr[i] == '.' && !point && i > 0 && i + 1 < s.len)
        {
          point = 1;
          continue;
        }
      if (s.ptr[i] < '0' || s.ptr[i] > '9')
        return 0;
      if (point)
        unit /= 10;
      *out = point ? *out + digit * unit : *out * 10 + digit * EL_SEC;
      if (*out > max)
        *out = max;
    }
  return s.len > 0;
}

uint64_t
el_str_hash (el_str_t s)
{
  return XXH3_64bits (s.ptr, s.len);
}

/** Return a NUL-terminated copy; free it with el_str_free. */
el_str_t
el_str_dup (el_str_t s)
{
  char *copy = el_alloc (s.len + 1);

  if (s.len)
    memcpy (copy, s.ptr, s.len);
  return (el_str_t){ copy, s.len };
}

void
el_str_free (el_str_t *s)
{
  free ((void *)(uintptr_t)s->ptr);
  *s = (el_str_t){ NULL, 0 };
}

/** Make room for MORE bytes. */
void
el_buf_reserve (el_buf_t *buf, size_t more)
{
  size_t cap = buf->cap ? buf->cap : BUF_FIRST_CAP;

  while (cap < buf->len + more + 1)
    cap *= 2;
  if (cap == buf->cap)
    return;
  buf->ptr = el_grow (buf->ptr, cap, 1);
  buf->cap = cap;
}

void
el_buf_add (el_buf_t *buf, el_str_t s)
{
  el_buf_reserve (buf, s.len);
  if (s.len)
    memcpy (buf->ptr + buf->len, s.ptr, s.len);
  buf->len += s.len;
  buf->ptr[buf->len] = '\0';
}

void
el_buf_printf (el_buf_t *buf, const char *fmt, ...)
{
  va_list ap;
  int len;

  va_start (ap, fmt);
  len = vsnprintf (NULL, 0, fmt, ap);
  va_end (ap);
  if (len < 0)
    return;
  el_buf_reserve (buf, (size_t)len);
  va_start (ap, fmt);
  vsnprintf (buf->ptr + buf->len, (size_t)len + 1, fmt, ap);
  va_end (ap);
  buf->len += (size_t)len;
}

/** Empty the buffer but keep its memory. */
void
el_buf_reset (el_buf_t *buf)
{
  buf->len = 0;
}

void
el_buf_free (el_buf_t *buf)
{
  free (buf->ptr);
  *buf = (el_buf_t){ NULL, 0, 0 };
}

el_str_t
el_buf_str (const el_buf_t *buf)
{
  return (el_str_t){ buf->ptr, buf->len };
}
