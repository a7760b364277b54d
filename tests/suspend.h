/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Simulates the suspension of a host as its processes see it:
 * CLOCK_MONOTONIC stands still, CLOCK_BOOTTIME and CLOCK_REALTIME advance.
 */
#ifndef ELMARCH_SUSPEND_H
#define ELMARCH_SUSPEND_H

#include "base.h"

/** Advances the clocks as if the host had been suspended for SPAN. */
void suspend_for (el_time_t span);

#endif
