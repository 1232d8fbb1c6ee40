"""Attributes the processor time of a process to the parts of a daemon, by sampling its stack."""

import signal
import time
from collections import Counter
from types import FrameType

SAMPLE_INTERVAL_S = 0.002
START_UP = "start-up"
EVENT_LOOP = "event loop"
WHOLE_MODULE = ""
CALLER_DECIDES = ""

# The innermost frame that matches decides: its module's path ends with the first text, and its
# function is the second one, if that is not empty.
RULES = (
    ("platform/settings.py", "load_platform_settings", START_UP),
    ("durable/decisions/placement.py", WHOLE_MODULE, "decisions"),
    ("durable/decisions/acceptance.py", WHOLE_MODULE, "decisions"),
    ("durable/learning/estimates.py", WHOLE_MODULE, "decisions"),
    ("durable/decisions/routing.py", WHOLE_MODULE, "decisions"),
    ("durable/holding/contention.py", WHOLE_MODULE, "decisions"),
    ("durable/jobs/job_table.py", WHOLE_MODULE, "decisions"),
    ("berylproxy/logs.py", WHOLE_MODULE, "logs"),
    ("logbook/base.py", WHOLE_MODULE, "logs"),
    ("durable/holding/holder.py", "_send_heartbeat_to", "heartbeats of holders"),
    ("durable/holding/coordinator.py", "_handle_holder_heartbeat", "heartbeats of holders"),
    ("durable/holding/coordinator.py", "_check_holder", "checks of holders"),
    ("peers/prober.py", WHOLE_MODULE, "heartbeats of members"),
    ("peers/control.py", WHOLE_MODULE, "heartbeats of members"),
    ("peers/table.py", WHOLE_MODULE, "heartbeats of members"),
    ("durable/holding/holder.py", "_run_periodic_checks", "periodic checks"),
    ("platform/endpoints.py", "fetch", "list of endpoints"),
    ("platform/endpoints.py", "decode_entry", "list of endpoints"),
    ("platform/endpoints.py", WHOLE_MODULE, CALLER_DECIDES),
    ("durable/orders/group.py", "_poll_endpoint", "polls"),
    ("durable/orders/group.py", "_start", "start orders"),
    ("durable/orders/group.py", "_stop", "start orders"),
    ("durable/orders/group.py", WHOLE_MODULE, "polls"),
    ("durable/holding/holder.py", "_place_tasks", "decisions"),
    ("durable/holding/holder.py", "_admit", "decisions"),
    ("durable/holding/coordinator.py", "run", "checks of holders"),
    ("platform/reload.py", WHOLE_MODULE, "store and watches"),
    ("platform/store.py", WHOLE_MODULE, "store and watches"),
    ("berylproxy/http_exchange.py", WHOLE_MODULE, "HTTP client of endpoints and store"),
    ("durable/holding/best_effort.py", WHOLE_MODULE, "jobs at the holder"),
    ("durable/holding/holder.py", "submit", "jobs at the holder"),
    ("platform/callers.py", WHOLE_MODULE, "callers"),
    ("durable/entry/frontend.py", WHOLE_MODULE, "callers"),
    ("hypercorn/", WHOLE_MODULE, "HTTP server"),
    ("berylproxy/http_server.py", WHOLE_MODULE, "HTTP server"),
    ("berylproxy/http_request.py", WHOLE_MODULE, "HTTP server"),
    ("peers/", WHOLE_MODULE, "streams between daemons"),
    ("platform/process.py", WHOLE_MODULE, EVENT_LOOP),
    ("berylproxy/", WHOLE_MODULE, "rest of the daemon"),
)


def classify(frame: FrameType | None) -> str:
    """Returns the part that a stack belongs to, given its innermost frame."""
    decided = ""
    while frame is not None:
        path, function = frame.f_code.co_filename, frame.f_code.co_name
        if function == "_find_and_load":  # of the module that is being imported
            return START_UP
        decided = decided or find_part(path, function)
        frame = frame.f_back
    return decided or EVENT_LOOP


def find_part(path: str, function: str) -> str:
    """Returns the part that a frame decides for; empty if its caller decides."""
    for suffix, name, part in RULES:
        is_in_module = path.endswith(suffix) or (suffix.endswith("/") and f"/{suffix}" in path)
        if is_in_module and name in (WHOLE_MODULE, function):
            return part
    return ""


def list_functions(frame: FrameType | None) -> set[str]:
    """Returns the names of all functions of a stack, given its innermost frame."""
    functions = set()
    while frame is not None:
        path = "/".join(frame.f_code.co_filename.rsplit("/", 2)[-2:])
        functions.add(f"{path}:{frame.f_code.co_name}")
        frame = frame.f_back
    return functions


class Sampler:
    """Samples the main thread in intervals of processor time.

    :ivar samples: number of samples by part.
    :ivar functions: number of samples by function, each with all functions that it calls.
    """

    def __init__(self) -> None:
        self.samples: Counter[str] = Counter()
        self.functions: Counter[str] = Counter()
        self._started_s = time.process_time()

    def start(self) -> None:
        """Starts sampling; what the process has used before counts as its start-up."""
        signal.signal(signal.SIGPROF, self._sample)
        signal.setitimer(signal.ITIMER_PROF, SAMPLE_INTERVAL_S, SAMPLE_INTERVAL_S)

    def stop(self) -> dict[str, float]:
        """Stops sampling.

        :returns: processor time in seconds, by part.
        """
        signal.setitimer(signal.ITIMER_PROF, 0.0)
        used_s = time.process_time()
        total = self.samples.total() or 1
        sampled_s = used_s - self._started_s
        parts = {part: sampled_s * count / total for part, count in self.samples.items()}
        parts[START_UP] = parts.get(START_UP, 0.0) + self._started_s
        return parts

    def _sample(self, _: int, frame: FrameType | None) -> None:
        self.samples[classify(frame)] += 1
        self.functions.update(list_functions(frame))
