// Waiting for the signal that ends a program.

#pragma once

namespace peridot {

/** Blocks SIGTERM and SIGINT. Call it first in main, so that every thread started later inherits the mask. */
void blockEndSignals();

/** Waits for SIGTERM or SIGINT and returns its number. */
int waitForEndSignal();

}
