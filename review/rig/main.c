/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Starts a case, or a stand-in for a server.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rig.h"

static const struct
{
  const char *name;
  int (*run) (void);
} cases[] = {
  { "case-1", case_1 },
  { "case-2", case_2 },
  { "case-3", case_3 },
};

int
main (int argc, char **argv)
{
  size_t i;

  signal (SIGPIPE, SIG_IGN);
  if (argc > 2 && strcmp (argv[1], "engine") == 0)
    return engine_main (argc - 2, argv + 2);
  if (argc > 2 && strcmp (argv[1], "service") == 0)
    return service_main (argc - 2, argv + 2);
  for (i = 0; argc == 2 && i < sizeof cases / sizeof *cases; i++)
    if (strcmp (argv[1], cases[i].name) == 0)
      {
        setenv ("RIG_SELF", argv[0], 1);
        record ("%s, %s the disruption", argv[1],
                trouble () ? "with" : "without");
        return cases[i].run ();
      }
  fprintf (stderr, "usage: rig case-1|case-2|case-3\n");
  return 2;
}
