// Signals are taken by sigwait on the main thread, so that shutdown code runs outside a signal handler.

#include "program/SignalWait.h"

#include <csignal>

namespace peridot {

namespace {

    sigset_t endSignals()
    {
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGTERM);
        sigaddset(&signals, SIGINT);
        return signals;
    }

}

void blockEndSignals()
{
    const auto signals = endSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    // A write to a connection that the other side closed must fail with an error code.
    std::signal(SIGPIPE, SIG_IGN);
}

int waitForEndSignal()
{
    const auto signals = endSignals();
    int number = 0;
    sigwait(&signals, &number);
    return number;
}

}
