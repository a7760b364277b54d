/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Stands in for the C library's clock_gettime in the test program, libuv's
 * calls included.
 */
#include "suspend.h"

#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

static el_time_t suspended;

int
clock_gettime (clockid_t clock, struct timespec *out)
{
  long rc = syscall (SYS_clock_gettime, clock, out);

  if (rc == 0 && (clock == CLOCK_BOOTTIME || clock == CLOCK_REALTIME))
    {
      out->tv_sec += (time_t)(suspended / EL_SEC);
      out->tv_nsec += (long)(suspended % EL_SEC) * 1000;
      out->tv_sec += out->tv_nsec / 1000000000;
      out->tv_nsec %= 1000000000;
    }
  return (int)rc;
}

void
suspend_for (el_time_t span)
{
  suspended += span;
}
