"""Holds signals back until a starting process can handle them.

Without a handler they would end the process.
"""

import signal

STOP_SIGNALS = frozenset({signal.SIGTERM, signal.SIGINT})
RELOAD_SIGNAL = signal.SIGHUP
HANDLED_SIGNALS = STOP_SIGNALS | {RELOAD_SIGNAL}


def hold_signals() -> None:
    """Holds the handled signals back; call it before the process has other threads."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)


def release_signals() -> None:
    """Delivers the signals that were held back, and further ones at once."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)
