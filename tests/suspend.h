/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * A host that was suspended, as its process sees it: the steady clock stood
 * still, the clock since boot and the time of day went on.
 */
#ifndef ELMARCH_SUSPEND_H
#define ELMARCH_SUSPEND_H

#include "base.h"

/** The host was suspended for so long. */
void suspend_for (el_time_t span);

#endif
