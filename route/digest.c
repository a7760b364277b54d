/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Recognizes the retries of a request by their content, as each retry has a
 * new id. The digest is SHA-256 with a prefixed key that only the hosts know,
 * so that no caller can forge the digest of another caller's request.
 */
#include <string.h>

#include <openssl/evp.h>

#include "relay.h"

/* Adds a part with its length, so that different lists of parts have different
   inputs. */
static void
digest_add (EVP_MD_CTX *ctx, el_str_t part)
{
  uint64_t len = part.len;

  EVP_DigestUpdate (ctx, &len, sizeof len);
  EVP_DigestUpdate (ctx, part.ptr, part.len);
}

/* The digest of N texts; never 0. */
static rt_digest_t
digest_texts (const el_str_t *texts, size_t n)
{
  unsigned char hash[EVP_MAX_MD_SIZE];
  EVP_MD_CTX *ctx = EVP_MD_CTX_new ();
  rt_digest_t digest;
  size_t i;

  EVP_DigestInit_ex (ctx, EVP_sha256 (), NULL);
  for (i = 0; i < n; i++)
    digest_add (ctx, texts[i]);
  EVP_DigestFinal_ex (ctx, hash, NULL);
  EVP_MD_CTX_free (ctx);
  memcpy (&digest, hash, sizeof digest);
  return digest ? digest : 1;
}

/** The digest of INPUT under the hosts' KEY; never 0. */
rt_digest_t
rt_digest (el_str_t key, const rt_digest_input_t *input)
{
  const el_str_t texts[] = { key,         input->customer, input->method,
                             input->host, input->path,     input->body };

  return digest_texts (texts, sizeof texts / sizeof *texts);
}

/** The digest under the hosts' KEY of a part of prompts for MODEL; never 0. */
rt_digest_t
rt_part_digest (el_str_t key, el_str_t model, el_str_t part)
{
  const el_str_t texts[] = { key, EL_STR ("part"), model, part };

  return digest_texts (texts, sizeof texts / sizeof *texts);
}

/** Formats DIGEST in hexadecimal, as in logs and in the admin interface. */
void
rt_digest_hex (rt_digest_t digest, char out[RT_DIGEST_HEX + 1])
{
  static const char digits[] = "0123456789abcdef";
  size_t i;

  for (i = RT_DIGEST_HEX; i-- > 0; digest >>= 4)
    out[i] = digits[digest & 0xf];
  out[RT_DIGEST_HEX] = '\0';
}

/** Parses the output of rt_digest_hex. Returns 0 if TEXT is malformed or 0. */
int
rt_digest_parse (el_str_t text, rt_digest_t *out)
{
  size_t i;
  char c;

  *out = 0;
  for (i = 0; i < text.len && i < RT_DIGEST_HEX; i++)
    {
      c = text.ptr[i];
      if (c >= '0' && c <= '9')
        *out = *out << 4 | (rt_digest_t)(c - '0');
      else if (c >= 'a' && c <= 'f')
        *out = *out << 4 | (rt_digest_t)(c - 'a' + 10);
      else
        return 0;
    }
  return text.len == RT_DIGEST_HEX && *out;
}
