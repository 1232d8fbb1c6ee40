"""Tells crashes of a group's endpoints from cuts, and logs under which tasks they happened."""

from collections.abc import Iterable

from logbook import Logger

from berylproxy.durable.crashes import CrashRecord
from berylproxy.durable.fleet import EndpointState
from berylproxy.durable.models import EndedRun, EndKind, EndpointInstance, TaskName
from berylproxy.durable.tenure import Tenure

MAX_LOGGED_TASKS = 20

logger = Logger(__name__)


class CrashWatch:
    """Feeds what is seen of a group's endpoints into the record of crashes.

    :ivar record: the endpoints lost under tasks.
    """

    def __init__(self, tenure: Tenure) -> None:
        self.record = CrashRecord()
        self._tenure = tenure

    def note_lapsed(self, endpoint: EndpointState) -> None:
        """Records that the lease of an endpoint has lapsed under its runs: a crash or a cut."""
        instance, names = endpoint.info.instance, _list_tasks(endpoint)
        if names:
            self.record.note_lost(instance, names, self._tenure.clock.now_s())
            self._log("endpoint lost under tasks, crashed or cut off", instance, "unknown", names)

    def note_answered(self, endpoint: EndpointState) -> None:
        """Records that the process of an endpoint answers again."""
        instance = endpoint.info.instance
        names = self.record.suspects(instance)
        if self.record.note_answered(instance):
            self._log("endpoint was cut off and has not crashed", instance, "cut", names)

    def note_restarted(self, endpoint: EndpointState) -> None:
        """Records that another process has taken the place of an endpoint's process."""
        if endpoint.info.leaving:
            self.record.note_answered(endpoint.info.instance)
            return
        self._note_crashed(endpoint.info.instance, endpoint)

    def note_listed(self, instance: EndpointInstance, endpoints: Iterable[EndpointState]) -> None:
        """Records a new entry of the list, which shows that earlier processes have ended.

        :param endpoints: the endpoints known so far.
        """
        if not instance.born_ms:
            return
        known = {endpoint.info.instance: endpoint for endpoint in endpoints}
        earlier = {i for i in known if i.endpoint_id == instance.endpoint_id}
        earlier.update(self.record.list_lost(instance.endpoint_id))
        for former in earlier:
            if 0 < former.born_ms < instance.born_ms:
                if former in known:
                    self.note_restarted(known[former])
                else:
                    self._note_crashed(former, None)

    def note_end(self, end: EndedRun) -> None:
        """Records the end of a run."""
        if end.kind in (EndKind.DONE, EndKind.FAILED):
            self.record.note_ended(end.name)

    def _note_crashed(self, instance: EndpointInstance, endpoint: EndpointState | None) -> None:
        names = _list_tasks(endpoint) if endpoint is not None else []
        known = self.record.suspects(instance)
        if not known.issuperset(names) or (known and not self.record.has_crashed(instance)):
            self._log("endpoint crashed under tasks", instance, "crash", known.union(names))
            self.record.note_crashed(instance, names, self._tenure.clock.now_s())

    def _log(
        self, message: str, instance: EndpointInstance, outcome: str, names: Iterable[TaskName]
    ) -> None:
        self._tenure.telemetry.count("endpoints_lost_under_tasks", outcome=outcome)
        tasks = sorted(names)
        logger.info(
            message,
            extra=self._tenure.extra(
                endpoint=instance.endpoint_id,
                born_ms=instance.born_ms,
                task_count=len(tasks),
                tasks=[list(name) for name in tasks[:MAX_LOGGED_TASKS]],
            ),
        )


def _list_tasks(endpoint: EndpointState) -> list[TaskName]:
    return [name for name, _ in endpoint.runs]
