/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Skips and prints tests with a known failure that is not fixed yet.
 * KNOWN-RED.txt at the root has a line for each: "TEST | cause | issue |
 * command and seed | what was seen". ELMARCH_TEST runs such a test
 * nevertheless.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "test.h"

#define KNOWN_RED_FILE "KNOWN-RED.txt"
#define LINE_MAX_SIZE 1024

static int
known_red (const char *name)
{
  FILE *file = fopen (KNOWN_RED_FILE, "r");
  char line[LINE_MAX_SIZE];
  size_t len = strlen (name);
  int found = 0;

  while (file && !found && fgets (line, sizeof line, file))
    found = strncmp (line, name, len) == 0 && strchr (" |", line[len]);
  if (file)
    fclose (file);
  if (found)
    printf ("known red, not run: %s", line);
  return found;
}

/** Whether a test runs: the one that ELMARCH_TEST names, or without it all
    that have no known failure. */
int
test_wanted (const char *name)
{
  const char *only = getenv ("ELMARCH_TEST");

  return only ? strcmp (only, name) == 0 : !known_red (name);
}
