/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Cuts hosts of the tests of relayed requests off from the endpoints.
 */
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include <check.h>

#include "site.h"

static void
cut_file (size_t host, char *out, size_t size)
{
  snprintf (out, size, "/tmp/elmarch-cut-%d-%zu", (int)getpid (), host);
}

/** Makes the hosts that are started from now on subject to site_cut. */
void
site_cut_enable (void)
{
  site.cuttable = 1;
}

/** Cuts HOST off from the first N endpoints, or from all if N is 0, as
    tests/cut_preload.c describes; a HOW of 0 ends that. */
void
site_cut_some (size_t host, char how, unsigned n)
{
  char path[64];
  FILE *file;

  cut_file (host, path, sizeof path);
  file = fopen (path, "w");
  ck_assert_ptr_nonnull (file);
  if (how && n)
    fprintf (file, "%c%u", how, n);
  else if (how)
    fputc (how, file);
  fclose (file);
}

/** Cuts HOST off from all endpoints. */
void
site_cut (size_t host, char how)
{
  site_cut_some (host, how, 0);
}

/** Sets or clears the environment that makes a host subject to site_cut. */
void
site_cut_environment (size_t host, int on)
{
  const char *bin = getenv ("ELMARCH_TEST_BIN");
  char library[256];
  char path[64];

  if (!on)
    {
      unsetenv ("LD_PRELOAD");
      return;
    }
  cut_file (host, path, sizeof path);
  snprintf (library, sizeof library, "%s/cut_preload.so",
            bin ? bin : BIN_DIR_DEFAULT);
  setenv ("ELMARCH_TEST_CUT", path, 1);
  setenv ("ASAN_OPTIONS", "verify_asan_link_order=0", 0);
  setenv ("LD_PRELOAD", library, 1);
}

/** Removes what site_cut left. */
void
site_cut_remove (size_t host)
{
  char path[64];

  cut_file (host, path, sizeof path);
  unlink (path);
}
