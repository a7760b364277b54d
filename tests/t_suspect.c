/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Tests of requests that come again.
 */
#include "relay.h"
#include "test.h"

#define KEY EL_STR ("a key that the hosts share")

static const rt_asked_t asked = { .customer = EL_STR ("parking"),
                                  .method = EL_STR ("POST"),
                                  .host = EL_STR ("rel.example"),
                                  .path = EL_STR ("/chat/x?y=1"),
                                  .body = EL_STR ("body") };

/* Each part counts, and where one ends and the next begins. */
START_TEST (test_digest_names_what_is_asked_and_by_whom)
{
  rt_digest_t digest = rt_digest (KEY, &asked);
  rt_asked_t other[] = { asked, asked, asked, asked, asked, asked };
  char hex[RT_DIGEST_HEX + 1];
  size_t i;

  other[0].customer = EL_STR ("rosters");
  other[1].method = EL_STR ("PUT");
  other[2].host = EL_STR ("other.example");
  other[3].path = EL_STR ("/chat/x");
  other[4].body = EL_STR ("Body");
  other[5].path = EL_STR ("/chat/x?y=1b");
  other[5].body = EL_STR ("ody");
  ck_assert_uint_ne (digest, 0);
  ck_assert_uint_eq (digest, rt_digest (KEY, &asked));
  for (i = 0; i < sizeof other / sizeof *other; i++)
    ck_assert_uint_ne (digest, rt_digest (KEY, &other[i]));
  ck_assert_uint_ne (digest, rt_digest (EL_STR ("another key"), &asked));
  rt_digest_hex (0xab, hex);
  ck_assert_str_eq (hex, "00000000000000ab");
}
END_TEST

Suite *
suspect_suite (void)
{
  Suite *suite = suite_create ("suspect");
  TCase *tcase = tcase_create ("suspect");

  ADD (tcase, test_digest_names_what_is_asked_and_by_whom);
  suite_add_tcase (suite, tcase);
  return suite;
}
