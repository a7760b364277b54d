/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Replaces the C library's clock_gettime in the test program, for calls from
 * libuv too.
 */
#include "suspend.h"

#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

static el_time_t suspended_time;

int
clock_gettime (clockid_t clock_id, struct timespec *out)
{
  long rc = syscall (SYS_clock_gettime, clock_id, out);

  if (rc == 0 && (clock_id == CLOCK_BOOTTIME || clock_id == CLOCK_REALTIME))
    {
      out->tv_sec += (time_t)(suspended_time / EL_SEC);
      out->tv_nsec += (long)(suspended_time % EL_SEC) * 1000;
      out->tv_sec += out->tv_nsec / 1000000000;
      out->tv_nsec %= 1000000000;
    }
  return (int)rc;
}

void
suspend_for (el_time_t span)
{
  suspended_time += span;
}
